//! Failure domains that the operator has evacuated: nothing more is to be sent to their
//! upstreams until the order is withdrawn.
//!
//! An order takes effect at once for requests that any upstream of a service can run, and for
//! the assignment of keys. The owner of a key gets requests on until shortly before the limit,
//! so that the key can move with its state before; after that they are refused.
//!
//! The limit runs from the acknowledgement of the order, which an instance does not see. It
//! uses the earliest time at which that may have been: that of the read before.
//!
//! A store that comes back from a copy may lack the latest orders. Like the configuration, an
//! order that was known is kept until a later record about the domain is read.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarreel_macros::data;

use super::era::Era;
use super::map::Owner;
use crate::time::Time;

/// Time before the limit at which the last request is sent to the owner of a key. Between the
/// choice of the upstream and the send lie at most 300 ms for the leave to send a suspected
/// request and 500 ms for a connection; the rest is for the way to the upstream.
const SEND_RESERVE: Duration = Duration::from_millis(1_000);

/// Delay that callers are told if only upstreams of evacuated domains could run a request.
/// Orders stay in force for seconds at least, and the keys have not moved by the limit since
/// the store cannot be written, which also lasts for seconds, or there is no other domain.
pub const EVACUATED_WAIT: Duration = Duration::from_secs(3);

/// Number of steps in which the keys of a service leave the evacuated domains. If the store
/// goes away meanwhile, only the keys of one step are without an owner. A step takes a run, a
/// write and a call, and all of them about half of the usual limit.
const STEPS: usize = 4;

/// An upstream of an evacuated domain that may hold keys of a service.
#[data(plain)]
pub struct Occupant {
    /// Current incarnation of the upstream.
    pub owner: Owner,
    /// Weight of the keys that it holds.
    pub weight: f64,
    /// Whether its keys must leave now, since half of the time that they have has passed.
    pub is_urgent: bool,
}

/// Upstreams that keep their keys for now. The others, those with the highest weight first,
/// give them up, once the keys of the step before have owners. `count` is the number of all
/// upstreams of the service in evacuated domains.
pub fn staying(mut occupants: Vec<Occupant>, count: usize, is_settled: bool) -> Vec<Owner> {
    occupants.retain(|occupant| !occupant.is_urgent);
    occupants.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.owner.cmp(&b.owner)));
    let leaving = match is_settled {
        true => count.div_ceil(STEPS),
        false => 0,
    };
    let staying = occupants.into_iter().skip(leaving);
    staying.map(|occupant| occupant.owner).collect()
}

/// An order as it is passed to an instance that loads all of them.
#[data(value)]
pub struct Evacuation {
    /// Failure domain that is evacuated.
    pub domain: String,
    /// Time since the order was acknowledged, at most; `None` if that is not known.
    pub age: Option<Duration>,
    /// Whether the order is missing in the store since that came back from a copy.
    pub is_carried: bool,
}

#[derive(Clone, Copy, Debug)]
struct Order {
    /// Earliest time at which the order may have been acknowledged; `None` if that may have
    /// been at any time.
    since: Option<Time>,
    is_carried: bool,
}

/// Orders in force.
#[derive(Debug, Default)]
pub struct Evacuations {
    orders: BTreeMap<String, Order>,
    /// Era of the store that all orders were last loaded in.
    era: Era,
    version: u64,
}

impl Evacuations {
    /// Counter that increases whenever the set of evacuated domains changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Number of evacuated domains.
    pub fn count(&self) -> usize {
        self.orders.len()
    }

    /// Applies the record of an order. All records written before `since` had been applied
    /// before; `None` if this instance had read none. An order that is repeated counts from
    /// its first record on. Returns whether the domain was not evacuated.
    pub fn order(&mut self, since: Option<Time>, domain: &str) -> bool {
        if let Some(order) = self.orders.get_mut(domain) {
            order.is_carried = false;
            return false;
        }
        let order = Order {
            since,
            is_carried: false,
        };
        self.orders.insert(domain.to_owned(), order);
        self.version += 1;
        true
    }

    /// Applies the record that withdraws an order. Returns whether the domain was evacuated.
    pub fn withdraw(&mut self, domain: &str) -> bool {
        let withdrawn = self.orders.remove(domain).is_some();
        self.version += u64::from(withdrawn);
        withdrawn
    }

    /// Applies all orders that the store holds in `era`. Those that are missing were withdrawn,
    /// unless the store has come back from a copy since they were read. Returns the domains
    /// that are evacuated now and were not before, and those that no longer are.
    pub fn load(
        &mut self,
        era: Era,
        since: Option<Time>,
        domains: &[&str],
    ) -> (Vec<String>, Vec<String>) {
        let is_restored = self.era.is_known() && era > self.era;
        self.era = self.era.max(era);
        for (domain, order) in &mut self.orders {
            order.is_carried |= is_restored && !domains.contains(&domain.as_str());
        }
        let is_withdrawn =
            |domain: &String, order: &Order| !order.is_carried && !domains.contains(&&**domain);
        let orders = self.orders.iter();
        let withdrawn: Vec<String> = orders
            .filter(|(domain, order)| is_withdrawn(domain, order))
            .map(|(domain, _)| domain.clone())
            .collect();
        for domain in &withdrawn {
            self.withdraw(domain);
        }
        let domains = domains.iter().copied();
        let ordered = domains.filter(|domain| self.order(since, domain));
        (ordered.map(ToOwned::to_owned).collect(), withdrawn)
    }

    /// Applies the orders that another instance had in `era` at `sent_at` or later, in place
    /// of a load from the store. Returns the same as that.
    pub fn load_snapshot(
        &mut self,
        era: Era,
        sent_at: Time,
        evacuations: &[Evacuation],
    ) -> (Vec<String>, Vec<String>) {
        let domains = evacuations.iter().map(|evacuation| &*evacuation.domain);
        let domains: Vec<&str> = domains.collect();
        let changes = self.load(era, None, &domains);
        for evacuation in evacuations {
            if let Some(order) = self.orders.get_mut(&evacuation.domain) {
                order.is_carried |= evacuation.is_carried;
                if changes.0.contains(&evacuation.domain) {
                    order.since = evacuation.age.map(|age| sent_at - age);
                }
            }
        }
        changes
    }

    /// Orders in force, for an instance that loads all of them.
    pub fn snapshot(&self, now: Time) -> Vec<Evacuation> {
        let orders = self.orders.iter();
        orders
            .map(|(domain, order)| Evacuation {
                domain: domain.clone(),
                age: order.since.map(|since| now.since(since)),
                is_carried: order.is_carried,
            })
            .collect()
    }

    /// Whether a domain is evacuated. Keys are not assigned to its upstreams, and requests
    /// without a key are not sent there.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        !self.orders.is_empty() && self.orders.contains_key(domain)
    }

    /// Whether the owner of a key in a domain may be sent requests at `now`, if `limit` is the
    /// time from the acknowledgement of an order until no request may arrive.
    pub fn admits_owner(&self, now: Time, domain: &str, limit: Duration) -> bool {
        if !self.is_evacuated(domain) {
            return true;
        }
        let since = self.orders.get(domain).and_then(|order| order.since);
        since.is_some_and(|since| now < since + limit.saturating_sub(SEND_RESERVE))
    }

    /// Whether the keys in a domain must leave now, since half of the time has passed for which
    /// their owners get requests.
    pub fn is_urgent(&self, now: Time, domain: &str, limit: Duration) -> bool {
        let since = self.orders.get(domain).and_then(|order| order.since);
        since.is_none_or(|since| now >= since + limit.saturating_sub(SEND_RESERVE) / 2)
    }

    /// Whether keys are about to leave a domain, since the limit of an order has not passed.
    pub fn is_recent(&self, now: Time, limit: Duration) -> bool {
        let mut orders = self.orders.values();
        orders.any(|order| order.since.is_some_and(|since| now < since + limit))
    }
}
