//! The leader's account of who may hold which keys.
//!
//! Keys have at most one possible holder, and the store names it before the
//! first grant is sent. A holder is replaced when it has answered a release, when
//! its life is over, or when every grant that may have reached it has run out.
//! Fences start from the leader's epoch, so upstreams refuse what earlier
//! leaders send as soon as they have heard the present one.

mod order;
mod range;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

pub use order::{LedgerSnapshot, Order, OrderKind, Reply};
use range::{Lease, LeasedRange, State};

use super::map::{KeyRange, Owner, OwnerMap};
use super::plan::{self, Candidate, KeyWeights, PlannedRange};
use crate::time::Time;

/// Fences of one epoch; an epoch makes far fewer grants than this.
const FENCES_PER_EPOCH: u64 = 1 << 20;

/// LeasedRange of a hold after which it is renewed, so that two renewals may be lost.
const RENEW_PART: u32 = 3;

/// Time after which an unanswered first grant or release is sent again.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Time that a call to an upstream may take before its connection is reset.
/// A call can't arrive later than this.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which a release is sent again to an upstream that didn't answer
/// several calls. A lost one costs a connection attempt each time.
const RESEND_SILENT: Duration = Duration::from_millis(1_500);

/// Addition to a hold for an upstream's clock that measures it slowly (2%) and
/// for delays between a clock reading and a send.
const HOLD_MARGIN: Duration = Duration::from_millis(150);

/// Time for which an upstream that didn't answer is given no keys. Each attempt
/// takes its keys out of service for a call's time.
const AVOID: Duration = Duration::from_secs(10);

/// Unanswered calls in a row after which an upstream counts as unreachable.
const UNANSWERED: u32 = 2;

/// Usual time until a free key is granted: a record in the store and a grant.
const GRANT_TIME: Duration = Duration::from_millis(100);

/// Usual time of a release: the rest of the requests that run on the keys.
const RELEASE_TIME: Duration = Duration::from_millis(250);

/// Time that a key without an owner waits while the store is away; outages
/// last for seconds.
const OUTAGE_TIME: Duration = Duration::from_secs(3);

/// Account of all keyed services.
#[derive(Debug)]
pub struct Ledger {
    epoch: u64,
    fences: u64,
    hold: Duration,
    version: u64,
    recorded: u64,
    views: u64,
    /// Epoch of the leader before this one.
    predecessor: u64,
    services: BTreeMap<String, Vec<LeasedRange>>,
    failures: HashMap<Owner, (u32, Time)>,
}

impl Ledger {
    /// Account of a leader that knows of no grants; `hold` is the length of a lease.
    pub fn new(epoch: u64, hold: Duration) -> Ledger {
        Ledger {
            epoch,
            fences: (epoch + 1) * FENCES_PER_EPOCH,
            hold,
            version: 0,
            recorded: 0,
            views: 0,
            predecessor: 0,
            services: BTreeMap::new(),
            failures: HashMap::new(),
        }
    }

    /// Takes over what earlier leaders recorded, the last of them being the leader of
    /// the epoch `predecessor`. Their grants may last until `until`, but where a
    /// release is recorded, no longer than the record says.
    pub fn adopt(&mut self, map: &OwnerMap, predecessor: u64, now: Time, until: Time) {
        self.predecessor = predecessor;
        // Due at once, so that the upstream hears the new fence.
        let overdue = now - self.hold;
        self.inherit(map, overdue, |slice| match slice.releasing {
            true => until.min(now + span(slice.wait_ms)),
            false => until,
        });
    }

    /// Takes over ranges whose grants last until `until`, and renews those that are
    /// not being released.
    fn inherit(&mut self, map: &OwnerMap, overdue: Time, until: impl Fn(&KeyRange) -> Time) {
        let mut fences = self.fences;
        let mut services = BTreeMap::new();
        for (service, slices) in &map.services {
            let part = |slice: &KeyRange| LeasedRange {
                first: slice.first,
                last: slice.last,
                state: match slice.owner.clone() {
                    Some(owner) if slice.releasing => State::Releasing {
                        owner,
                        fence: range::next(&mut fences),
                        sent: None,
                        lease: Lease::inherited(until(slice)),
                    },
                    Some(owner) => State::Held {
                        owner,
                        fence: range::next(&mut fences),
                        sent: overdue,
                        lease: Lease::inherited(until(slice)),
                    },
                    None => State::Free { handover: None },
                },
            };
            services.insert(service.clone(), slices.iter().map(part).collect());
        }
        self.services = services;
        self.fences = fences;
        self.views += 1;
    }

    /// What a successor needs, after this leader has stopped: the possible holder of
    /// each key, and how long the grants of this leader and of all before it may last.
    /// Owners that the store's record lacks were not granted anything yet.
    pub fn snapshot(&self, now: Time) -> LedgerSnapshot {
        let recorded = self.recorded;
        let owners = self.map(self.views, |state| match state {
            State::Granting { version, .. } if *version > recorded => (None, 0),
            state => (range::owner(state).cloned(), left(range::end(state), now)),
        });
        LedgerSnapshot {
            owners,
            highest_fence: self.fences,
        }
    }

    /// Account of a leader that goes on under the epoch of one that has stopped
    /// before `now`.
    pub fn resume(snapshot: &LedgerSnapshot, hold: Duration, now: Time) -> Ledger {
        let owners = &snapshot.owners;
        let mut ledger = Ledger::new(owners.epoch, hold);
        ledger.fences = ledger.fences.max(snapshot.highest_fence);
        ledger.inherit(owners, now - hold, |slice| now + span(slice.wait_ms));
        ledger.views = owners.version + 1;
        ledger
    }

    /// Shortens the time for which grants of the leader of `epoch` and of those
    /// before it may last, because it has stopped before `now` and said in `owners`
    /// how long they may last.
    pub fn predecessor_stopped(&mut self, epoch: u64, now: Time, owners: &OwnerMap) {
        if epoch != self.predecessor {
            return;
        }
        for (service, parts) in &mut self.services {
            let Some(slices) = owners.services.get(service) else {
                continue;
            };
            for part in parts {
                let Some(holder) = range::owner(&part.state) else {
                    continue;
                };
                let overlaps = |slice: &&KeyRange| {
                    let same = slice.owner.as_ref() == Some(holder);
                    same && slice.first <= part.last && part.first <= slice.last
                };
                let waits = slices.iter().filter(overlaps).map(|slice| slice.wait_ms);
                let end = now + span(waits.max().unwrap_or(0));
                if let Some(lease) = range::lease(&mut part.state) {
                    lease.inherited = lease.inherited.min(end);
                }
            }
        }
    }

    /// Whether the record in the store lacks an owner that is about to be granted keys.
    pub fn needs_record(&self) -> bool {
        self.recorded < self.version
    }

    /// Epoch of this leader.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Version of the record returned by `record`.
    pub fn record_version(&self) -> u64 {
        self.version
    }

    /// The only possible holder of each key, for the store. Where no grant follows
    /// without a further record, it tells how long the last one may last.
    pub fn ownership_record(&self, now: Time) -> OwnerMap {
        self.map(self.version, |state| match state {
            State::Releasing { owner, lease, .. } => (Some(owner.clone()), left(lease.end(), now)),
            state => (range::owner(state).cloned(), 0),
        })
    }

    /// The upstream that serves each key now, for the instances. `able` tells
    /// whether the store can be written.
    pub fn view(&self, now: Time, able: bool) -> OwnerMap {
        self.map(self.views, |state| match state {
            State::Held { owner, .. } => (Some(owner.clone()), 0),
            State::Free { .. } | State::Granting { .. } => {
                (None, millis(if able { GRANT_TIME } else { OUTAGE_TIME }))
            }
            State::Releasing { lease, sent, .. } => {
                // An upstream that is alive answers once its requests have ended.
                let silent = sent.is_some() && self.is_silent(range::owner(state));
                let wait = if silent {
                    lease.end().since(now)
                } else {
                    RELEASE_TIME
                };
                (None, millis(wait + GRANT_TIME))
            }
        })
    }

    fn is_silent(&self, owner: Option<&Owner>) -> bool {
        owner.is_some_and(|owner| self.failures.contains_key(owner))
    }

    /// Notes that the store has acknowledged the record of `version`.
    pub fn acknowledge_record(&mut self, version: u64) {
        self.recorded = self.recorded.max(version);
    }

    /// Lives of upstreams that may hold keys of a service.
    pub fn holders(&self, service: &str) -> Vec<Owner> {
        let parts = self.services.get(service).into_iter().flatten();
        let mut owners: Vec<Owner> = parts
            .filter_map(|part| range::owner(&part.state).cloned())
            .collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// Whether every key of the service has an owner that acknowledged its grant.
    pub fn is_settled(&self, service: &str) -> bool {
        let parts = self.services.get(service);
        parts.is_some_and(|parts| {
            parts
                .iter()
                .all(|part| matches!(part.state, State::Held { .. }))
        })
    }

    /// Counter of the changes of the view.
    pub fn view_version(&self) -> u64 {
        self.views
    }

    /// Moves keys of a service to where they should be.
    pub fn rebalance(
        &mut self,
        now: Time,
        service: &str,
        candidates: &[Candidate],
        weights: &KeyWeights,
    ) {
        self.failures.retain(|_, (_, at)| now.since(*at) < AVOID);
        let reachable = |one: &&Candidate| {
            let failed = self.failures.get(&one.owner);
            failed.is_none_or(|(count, _)| *count < UNANSWERED)
        };
        let usable: Vec<Candidate> = candidates.iter().filter(reachable).cloned().collect();
        let whole = || {
            vec![LeasedRange {
                first: 0,
                last: u16::MAX,
                state: State::Free { handover: None },
            }]
        };
        let parts = self
            .services
            .entry(service.to_owned())
            .or_insert_with(whole);
        let current: Vec<PlannedRange> = parts.iter().map(range::range).collect();
        let planned = plan::assign_ranges(&current, &usable, weights);
        let wanted = |key: u16| {
            let index = planned.partition_point(|range| range.last < key);
            planned.get(index).and_then(|range| range.owner.clone())
        };
        let cuts: Vec<u16> = planned.iter().map(|range| range.first).collect();
        range::split(parts, &cuts);
        for part in parts.iter_mut() {
            let target = wanted(part.first);
            let next_state = range::step(part, target, &mut self.fences, &mut self.version, now);
            if let Some(state) = next_state {
                // A later leader must know that no grant follows.
                self.version += u64::from(matches!(state, State::Releasing { .. }));
                part.state = state;
                self.views += 1;
            }
        }
        range::merge(parts, &mut self.fences, now, self.hold);
    }

    /// Drops services that are no longer keyed or no longer exist.
    pub fn retain_services(&mut self, keyed: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| keyed(service));
    }

    /// Orders that are due now, at most `most`: first those for keys that nobody
    /// serves, then renewals by the time at which they lapse. `reborn` tells whether
    /// a later life of an upstream is known.
    pub fn take_due_orders(
        &mut self,
        now: Time,
        most: usize,
        reborn: impl Fn(&Owner) -> bool,
    ) -> Vec<Order> {
        self.drop_ended(now, reborn);
        let mut due: Vec<(Time, &str, &mut LeasedRange)> = Vec::new();
        for (service, parts) in &mut self.services {
            for part in parts {
                let silent = range::owner(&part.state).is_some_and(|owner| {
                    let failed = self.failures.get(owner);
                    failed.is_some_and(|(count, _)| *count >= UNANSWERED)
                });
                let urgency = part.urgency(now, self.recorded, self.hold, silent);
                due.extend(urgency.map(|at| (at, service.as_str(), part)));
            }
        }
        if due.len() > most {
            due.sort_by_key(|(at, ..)| *at);
            due.truncate(most);
        }
        let end = now + CALL_TIMEOUT + max_lease_duration(self.hold);
        let orders = due.into_iter();
        orders
            .filter_map(|(_, service, part)| part.order(now, service, self.hold, end))
            .collect()
    }

    /// Frees keys whose holder's life or last grant has ended.
    fn drop_ended(&mut self, now: Time, reborn: impl Fn(&Owner) -> bool) {
        for part in self.services.values_mut().flatten() {
            // A process that has started anew holds nothing.
            if range::owner(&part.state).is_some_and(&reborn) {
                part.state = State::Free { handover: None };
                self.views += 1;
            } else if matches!(&part.state, State::Releasing { lease, .. } if lease.end() <= now) {
                part.state = State::Free { handover: None };
            }
        }
    }

    /// Number of ranges that are accounted for.
    pub fn range_count(&self) -> usize {
        self.services.values().map(Vec::len).sum()
    }

    /// Notes the answer to an order sent at `sent`.
    pub fn handle_reply(&mut self, now: Time, sent: Time, order: &Order, reply: &Reply) {
        match reply {
            Reply::Done { .. } => {
                self.failures.remove(&order.owner);
            }
            Reply::NotSent | Reply::Unknown => {
                let failed = self.failures.entry(order.owner.clone()).or_insert((0, now));
                *failed = (failed.0 + 1, now);
            }
            Reply::Fenced => {}
        }
        let longest = self.max_lease_duration();
        let Some(parts) = self.services.get_mut(&order.service) else {
            return;
        };
        let covered =
            |part: &&mut LeasedRange| order.first <= part.first && part.last <= order.last;
        for part in parts.iter_mut().filter(covered) {
            if range::owner(&part.state) != Some(&order.owner)
                || range::fence(&part.state) != order.fence
            {
                continue;
            }
            match &mut part.state {
                State::Granting { lease, .. } | State::Held { lease, .. } => {
                    lease.settle(reply, now, longest);
                }
                State::Free { .. } | State::Releasing { .. } => {}
            }
            match (&part.state, reply) {
                (_, Reply::Fenced) => range::refence(&mut part.state, &mut self.fences),
                (
                    State::Granting {
                        owner,
                        fence,
                        lease,
                        ..
                    },
                    Reply::Done { .. },
                ) => {
                    part.state = State::Held {
                        owner: owner.clone(),
                        fence: *fence,
                        sent,
                        lease: *lease,
                    };
                    self.views += 1;
                }
                (State::Releasing { .. }, Reply::Done { handover }) => {
                    let handover = handover.clone();
                    part.state = State::Free { handover };
                }
                _ => {}
            }
        }
    }

    /// Longest time that a hold lasts after its grant has arrived.
    fn max_lease_duration(&self) -> Duration {
        max_lease_duration(self.hold)
    }

    /// Map of the owner and the wait that each state shows.
    fn map(&self, version: u64, shown: impl Fn(&State) -> (Option<Owner>, u32)) -> OwnerMap {
        let slices = |parts: &Vec<LeasedRange>| {
            let mut slices: Vec<KeyRange> = Vec::new();
            for part in parts {
                let (owner, wait_ms) = shown(&part.state);
                let releasing = matches!(part.state, State::Releasing { .. });
                let slice = KeyRange {
                    first: part.first,
                    last: part.last,
                    // The instances are shown no owner for keys in release.
                    releasing: releasing && owner.is_some(),
                    owner,
                    wait_ms,
                };
                match slices.last_mut() {
                    Some(last) if last.says_the_same(&slice) => last.last = slice.last,
                    _ => slices.push(slice),
                }
            }
            slices
        };
        let services = self.services.iter();
        OwnerMap {
            epoch: self.epoch,
            version,
            services: services
                .map(|(service, parts)| (service.clone(), slices(parts)))
                .collect(),
        }
    }
}

/// Longest time that a hold lasts after its grant has arrived.
pub fn max_lease_duration(hold: Duration) -> Duration {
    hold + hold / 50 + HOLD_MARGIN
}

/// Time until `end`, in milliseconds and rounded up.
fn left(end: Time, now: Time) -> u32 {
    millis(end.since(now) + Duration::from_millis(1))
}

fn span(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
