//! The leader's ledger of leases: which upstream may hold which keys.
//!
//! Each key has at most one possible holder, which is recorded in the store before the
//! first grant is sent. A holder is replaced when it has answered a release, when its
//! process is known to have ended, or when every grant that may have reached it has
//! expired. Each epoch has its own, higher range of fencing tokens, so an upstream that
//! has received an order of the current leader refuses those of earlier leaders.
//!
//! A leader may learn late that an upstream has restarted. Orders name their upstream, so
//! a process with another id refuses them. One with the same id accepts them: each grant
//! therefore has a new fencing token, and keys of an upstream that has restarted at its
//! address are released there before they get another holder.
//!
//! If the store comes back from a copy, the record may lack holders (`recovery`).

mod order;
mod range;
mod recovery;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

pub use order::{LedgerSnapshot, Order, OrderKind, Reply};
use range::{Lease, LeasedRange, State};
pub use recovery::{CONFIRMATION_TIME, unknown_grants_end};
use recovery::{Recovery, Sweep};

use super::era::is_same_claim;
use super::map::{KeyRange, Owner, OwnerMap};
use super::plan::{self, Candidate, KeyWeights, PlannedRange};
use crate::time::Time;

/// Number of fencing tokens per epoch; a claim has 16 epochs. A leader uses one token for
/// each order. The leaders of a claim use far fewer than 16 epochs have between two appends
/// to the topic, and the offset of a later claim is above that of the last append.
const FENCES_PER_EPOCH: u64 = 1 << 16;

/// Number of renewals within the duration of a lease, so that two of them may be lost.
const RENEWALS_PER_LEASE: u32 = 3;

/// Minimum time until a first grant or a release is sent again. A first grant is not
/// sent again while a call with it is in flight.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which the connection of an unanswered grant is reset. A grant cannot
/// arrive at the upstream later than this after it was sent.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval at which a release is sent again to an unreachable upstream. Each attempt on
/// a lost upstream costs a connection attempt.
const UNREACHABLE_RESEND_INTERVAL: Duration = Duration::from_millis(1_500);

/// Safety margin on a lease, in addition to 2% for an upstream's slow clock, for delays
/// between reading the clock and sending.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// Time after its last unanswered call for which an unreachable upstream is assigned no
/// keys. Each attempt makes the keys unavailable for the duration of a call.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(10);

/// Consecutive unanswered calls after which an upstream counts as unreachable.
const UNREACHABLE_FAILURES: u32 = 2;

/// Typical time to grant a free key: an append to the store and a call to the upstream.
const GRANT_TIME: Duration = Duration::from_millis(100);

/// Typical time to release a key, during which the running requests for it finish.
const RELEASE_TIME: Duration = Duration::from_millis(250);

/// Expected wait for a key without an owner while the store is unavailable. Outages
/// last for seconds.
const STORE_WAIT: Duration = Duration::from_secs(3);

/// Leases of all keyed services.
#[derive(Debug)]
pub struct Ledger {
    epoch: u64,
    /// Highest fencing token used so far.
    last_fence: u64,
    /// Duration of a lease.
    hold: Duration,
    /// Version of the ownership record, increased when a new record is needed.
    record_version: u64,
    /// Highest version of the record that the store has acknowledged.
    acknowledged_version: u64,
    view_version: u64,
    /// Epoch of the leader whose grants this ledger has taken over or waits for;
    /// otherwise 0.
    predecessor: u64,
    recovery: Recovery,
    /// Release of all keys while the recovery waits for unknown grants to end.
    sweep: Option<Sweep>,
    services: BTreeMap<String, Vec<LeasedRange>>,
    /// Consecutive unanswered calls, and the time at which the last one failed.
    failures: HashMap<Owner, (u32, Time)>,
    /// Time at which the latest order was sent that an upstream has carried out.
    answered: HashMap<Owner, Time>,
}

impl Ledger {
    /// Ledger of a leader that knows of no grants; `hold` is the duration of a lease.
    pub fn new(epoch: u64, hold: Duration) -> Ledger {
        Ledger {
            epoch,
            last_fence: first_fence(epoch),
            hold,
            record_version: 0,
            acknowledged_version: 0,
            view_version: 0,
            predecessor: 0,
            recovery: Recovery::Complete,
            sweep: None,
            services: BTreeMap::new(),
            failures: HashMap::new(),
            answered: HashMap::new(),
        }
    }

    /// Takes over the record of earlier leaders, the last of which had the epoch
    /// `predecessor`. Their grants may remain valid until `until`; where a release is
    /// recorded, no longer than the record says.
    pub fn adopt(&mut self, map: &OwnerMap, predecessor: u64, now: Time, until: Time) {
        self.predecessor = predecessor;
        // Renewals are due at once, so that the upstreams learn the new fence.
        let overdue = now - self.hold;
        self.inherit_ranges(map, overdue, |range| match range.releasing {
            true => until.min(now + from_millis(range.wait_ms)),
            false => until,
        });
    }

    /// Takes over ranges whose grants remain valid until `until`, and renews those that
    /// are not being released. `overdue` is a send time that makes a renewal due at once.
    fn inherit_ranges(&mut self, map: &OwnerMap, overdue: Time, until: impl Fn(&KeyRange) -> Time) {
        let mut last_fence = self.last_fence;
        let mut services = BTreeMap::new();
        for (service, key_ranges) in &map.services {
            let range = |key_range: &KeyRange| LeasedRange {
                first: key_range.first,
                last: key_range.last,
                state: match key_range.owner.clone() {
                    Some(owner) if key_range.releasing => State::Releasing {
                        owner,
                        fence: range::next_fence(&mut last_fence),
                        sent: None,
                        lease: Lease::inherited(until(key_range)),
                    },
                    Some(owner) => State::Held {
                        owner,
                        fence: range::next_fence(&mut last_fence),
                        sent: overdue,
                        lease: Lease::inherited(until(key_range)),
                    },
                    None => State::Free { handover: None },
                },
            };
            services.insert(service.clone(), key_ranges.iter().map(range).collect());
        }
        self.services = services;
        self.last_fence = last_fence;
        self.view_version += 1;
    }

    /// State that a successor needs after this leader has stopped: the possible holder
    /// of each key, and how long the grants of this and all earlier leaders may remain
    /// valid. New owners whose record the store has not acknowledged are left out, since
    /// they have not been granted any keys yet. Returns `None` while the possible holders
    /// are not known.
    pub fn snapshot(&self, now: Time) -> Option<LedgerSnapshot> {
        if matches!(self.recovery, Recovery::Waiting { .. }) {
            return None;
        }
        let acknowledged_version = self.acknowledged_version;
        let owners = self.build_map(self.view_version, |state| match state {
            // Recorded again after a restore, it may have been sent before.
            State::Granting {
                version,
                sent: None,
                ..
            } if *version > acknowledged_version => (None, 0),
            state => (
                range::owner(state).cloned(),
                left(range::lease_end(state), now),
            ),
        });
        Some(LedgerSnapshot {
            owners,
            highest_fence: self.last_fence,
            is_confirmed: self.recovery == Recovery::Complete,
        })
    }

    /// Ledger of the leader of `epoch` to which one that stopped before `now` has passed its
    /// claim on.
    pub fn resume(epoch: u64, snapshot: &LedgerSnapshot, hold: Duration, now: Time) -> Ledger {
        let mut ledger = Ledger::new(epoch, hold);
        ledger.take_over(snapshot, now);
        // The snapshot contains what earlier leaders have reported.
        ledger.predecessor = ledger.epoch;
        ledger.view_version = snapshot.owners.version + 1;
        ledger
    }

    /// Takes over the ranges of a leader that stopped before `now`.
    fn take_over(&mut self, snapshot: &LedgerSnapshot, now: Time) {
        if snapshot.is_confirmed && is_same_claim(snapshot.owners.epoch, self.epoch) {
            self.last_fence = self.last_fence.max(snapshot.highest_fence);
        } else {
            self.last_fence = snapshot.highest_fence;
            self.start_confirming(now);
        }
        let overdue = now - self.hold;
        let until = |range: &KeyRange| now + from_millis(range.wait_ms);
        self.inherit_ranges(&snapshot.owners, overdue, until);
    }

    /// Handles the report of the leader of `epoch`, which has stopped before `now` and has
    /// not passed its claim on. Shortens the inherited leases to what it says about its
    /// grants and those of earlier leaders, unless it has led by another claim than the
    /// recorded predecessor. Takes its grants over if this ledger does not know them.
    pub fn handle_predecessor_stop(&mut self, epoch: u64, now: Time, snapshot: &LedgerSnapshot) {
        if self.lacks_grants_of(epoch, now) {
            self.predecessor = epoch;
            self.take_over(snapshot, now);
            return;
        }
        // A successor that the claim was passed on to may have written no record.
        if epoch < self.predecessor || !is_same_claim(epoch, self.predecessor) {
            return;
        }
        let owners = &snapshot.owners;
        for (service, ranges) in &mut self.services {
            let Some(reported) = owners.services.get(service) else {
                continue;
            };
            for range in ranges {
                let Some(holder) = range::owner(&range.state) else {
                    continue;
                };
                // Leaders may know different incarnations of a holder, and their grants reach
                // whichever has the address.
                let overlaps = |key_range: &&KeyRange| {
                    let is_holder =
                        |owner: &Owner| owner.id == holder.id || owner.address == holder.address;
                    key_range.owner.as_ref().is_some_and(is_holder)
                        && key_range.first <= range.last
                        && range.first <= key_range.last
                };
                let waits = reported.iter().filter(overlaps).map(|range| range.wait_ms);
                let end = now + from_millis(waits.max().unwrap_or(0));
                if let Some(lease) = range::lease_mut(&mut range.state) {
                    lease.inherited = lease.inherited.min(end);
                }
            }
        }
    }

    /// Whether the store has yet to acknowledge the current record. New owners are
    /// granted keys only after that; releases are recorded for a later leader.
    pub fn needs_record(&self) -> bool {
        self.recovery == Recovery::Complete && self.acknowledged_version < self.record_version
    }

    /// Epoch of this leader.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Version of the record that `ownership_record` returns.
    pub fn record_version(&self) -> u64 {
        self.record_version
    }

    /// The only possible holder of each key, to be recorded in the store. For keys that
    /// are being released it includes how long the last grant may remain valid, since
    /// no grant follows without a further record.
    pub fn ownership_record(&self, now: Time) -> OwnerMap {
        self.build_map(self.record_version, |state| match state {
            State::Releasing { owner, lease, .. } => (Some(owner.clone()), left(lease.end(), now)),
            state => (range::owner(state).cloned(), 0),
        })
    }

    /// The upstream that serves each key now, or the expected wait until one does, to be
    /// published to the instances. `writable` tells whether the store can be written.
    pub fn view(&self, now: Time, writable: bool) -> OwnerMap {
        let recovery_time = match &self.sweep {
            Some(sweep) => sweep.time_left(now),
            None => self.recovery.time_left(now),
        };
        self.build_map(self.view_version, |state| match state {
            State::Held { owner, .. } => (Some(owner.clone()), 0),
            State::Free { .. } | State::Granting { .. } => {
                let wait = if writable { GRANT_TIME } else { STORE_WAIT };
                (None, millis(wait + recovery_time))
            }
            State::Releasing { lease, sent, .. } => {
                // A live upstream answers once its requests for the keys have ended.
                let unresponsive = sent.is_some() && self.has_recent_failure(range::owner(state));
                let wait = if unresponsive {
                    lease.end().since(now)
                } else {
                    RELEASE_TIME
                };
                (None, millis(wait + GRANT_TIME))
            }
        })
    }

    /// Whether a recent call to the upstream went unanswered, and none has succeeded
    /// since.
    fn has_recent_failure(&self, owner: Option<&Owner>) -> bool {
        owner.is_some_and(|owner| self.failures.contains_key(owner))
    }

    /// Handles the store's acknowledgement of the record with `version`.
    pub fn acknowledge_record(&mut self, version: u64) {
        self.acknowledged_version = self.acknowledged_version.max(version);
    }

    /// Upstream incarnations that may hold keys of a service.
    pub fn holders(&self, service: &str) -> Vec<Owner> {
        let ranges = self.services.get(service).into_iter().flatten();
        let mut owners: Vec<Owner> = ranges
            .filter_map(|range| range::owner(&range.state).cloned())
            .collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// Weight of the keys of a service that an upstream holds.
    pub fn held_weight(&self, service: &str, owner: &Owner, weights: &KeyWeights) -> f64 {
        let ranges = self.services.get(service).into_iter().flatten();
        ranges
            .filter(
                |range| matches!(&range.state, State::Held { owner: holder, .. } if holder == owner),
            )
            .map(|range| weights.range_weight(range.first, range.last))
            .sum()
    }

    /// Makes a renewal of all grants due at once.
    pub fn renew_all(&mut self, now: Time) {
        let overdue = now - self.hold;
        for range in self.services.values_mut().flatten() {
            if let State::Held { sent, .. } = &mut range.state {
                *sent = overdue;
            }
        }
    }

    /// Addresses of the upstreams that have carried out an order sent at `since` or later,
    /// and whether these are all that hold keys.
    pub fn answered_since(&self, since: Time) -> (Vec<SocketAddr>, bool) {
        let has_answered = |owner: &Owner| self.answered.get(owner).is_some_and(|at| *at >= since);
        let ranges = self.services.values().flatten();
        let mut holders = ranges.filter_map(|range| match &range.state {
            State::Held { owner, .. } => Some(owner),
            _ => None,
        });
        let is_complete = holders.all(has_answered);
        let owners = self.answered.keys().filter(|owner| has_answered(owner));
        (owners.map(|owner| owner.address).collect(), is_complete)
    }

    /// Whether every key of the service has an owner, with no move in progress.
    pub fn is_settled(&self, service: &str) -> bool {
        let ranges = self.services.get(service);
        ranges.is_some_and(|ranges| {
            ranges
                .iter()
                .all(|range| matches!(range.state, State::Held { .. }))
        })
    }

    /// Version of the view, increased with each change of it.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// Plans the owners of a service's keys and starts the required moves.
    pub fn rebalance(
        &mut self,
        now: Time,
        service: &str,
        candidates: &[Candidate],
        weights: &KeyWeights,
    ) {
        self.failures
            .retain(|_, (_, at)| now.since(*at) < FAILURE_COOLDOWN);
        self.answered.retain(|_, at| now.since(*at) < self.hold);
        let reachable = |candidate: &&Candidate| {
            let failure = self.failures.get(&candidate.owner);
            failure.is_none_or(|(count, _)| *count < UNREACHABLE_FAILURES)
        };
        let usable: Vec<Candidate> = candidates.iter().filter(reachable).cloned().collect();
        self.finish_recovery(now);
        if !self.services.contains_key(service) {
            let unassigned = LeasedRange {
                first: 0,
                last: u16::MAX,
                state: State::Free { handover: None },
            };
            self.services.insert(service.to_owned(), vec![unassigned]);
            self.view_version += 1;
        }
        if self.recovery != Recovery::Complete {
            return;
        }
        let Some(ranges) = self.services.get_mut(service) else {
            return;
        };
        let current: Vec<PlannedRange> = ranges.iter().map(range::planned_range).collect();
        let planned = plan::assign_ranges(&current, &usable, weights);
        let target_of = |key: u16| {
            let index = planned.partition_point(|range| range.last < key);
            planned.get(index).and_then(|range| range.owner.clone())
        };
        let boundaries: Vec<u16> = planned.iter().map(|range| range.first).collect();
        range::split_at(ranges, &boundaries);
        for range in ranges.iter_mut() {
            let target = target_of(range.first);
            let next_state = range::next_state(
                range,
                target,
                &mut self.last_fence,
                &mut self.record_version,
                now,
            );
            if let Some(state) = next_state {
                // A release is recorded, so that a later leader can rely on it that no
                // grant followed.
                self.record_version += u64::from(matches!(state, State::Releasing { .. }));
                range.state = state;
                self.view_version += 1;
            }
        }
        range::merge_adjacent(ranges, &mut self.last_fence, now, self.hold);
    }

    /// Drops the services for which `keep` returns false.
    pub fn retain_services(&mut self, keep: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| keep(service));
    }

    /// Returns the orders that are due now, at most `max_orders`, and records them as
    /// sent. If more are due, orders for keys that no upstream serves take precedence,
    /// then the renewals whose leases expire first. `newer_incarnation` returns the latest
    /// known incarnation of an upstream that has restarted.
    ///
    /// First takes the keys of restarted holders back, and frees keys in release whose
    /// grants have expired.
    pub fn take_due_orders(
        &mut self,
        now: Time,
        max_orders: usize,
        newer_incarnation: impl Fn(&Owner) -> Option<Owner>,
    ) -> Vec<Order> {
        if matches!(self.recovery, Recovery::Waiting { .. }) {
            return self.take_sweep_orders(now, max_orders);
        }
        self.take_back_ended_ranges(now, newer_incarnation);
        let renewals_only = self.recovery != Recovery::Complete;
        let mut due: Vec<(Time, &str, &mut LeasedRange)> = Vec::new();
        for (service, ranges) in &mut self.services {
            for range in ranges {
                if renewals_only && !matches!(range.state, State::Held { .. }) {
                    continue;
                }
                let unreachable = range::owner(&range.state).is_some_and(|owner| {
                    let failure = self.failures.get(owner);
                    failure.is_some_and(|(count, _)| *count >= UNREACHABLE_FAILURES)
                });
                let priority =
                    range.due_priority(now, self.acknowledged_version, self.hold, unreachable);
                due.extend(priority.map(|at| (at, service.as_str(), range)));
            }
        }
        if due.len() > max_orders {
            due.sort_by_key(|(at, ..)| *at);
            due.truncate(max_orders);
        }
        let end = now + CALL_TIMEOUT + max_lease_duration(self.hold);
        let (hold, last_fence) = (self.hold, &mut self.last_fence);
        let orders = due.into_iter();
        orders
            .filter_map(|(_, service, range)| range.take_order(now, service, hold, end, last_fence))
            .collect()
    }

    /// Takes the keys of restarted holders back, and frees keys in release whose grants
    /// have expired.
    fn take_back_ended_ranges(
        &mut self,
        now: Time,
        newer_incarnation: impl Fn(&Owner) -> Option<Owner>,
    ) {
        for range in self.services.values_mut().flatten() {
            let holder = range::owner(&range.state);
            if let Some(newer) = holder.and_then(&newer_incarnation) {
                range.state = range::state_after_restart(&range.state, newer, &mut self.last_fence);
                let is_releasing = matches!(range.state, State::Releasing { .. });
                self.record_version += u64::from(is_releasing);
                self.view_version += 1;
            } else if matches!(&range.state, State::Releasing { lease, .. } if lease.end() <= now) {
                range.state = State::Free { handover: None };
            }
        }
    }

    /// Number of orders that a round of renewals takes, or of releases during a sweep.
    pub fn round_size(&self) -> usize {
        match &self.sweep {
            Some(sweep) => sweep.size(),
            None => self.services.values().map(Vec::len).sum(),
        }
    }

    /// Handles the reply to an order that was sent at `sent`.
    pub fn handle_reply(&mut self, now: Time, sent: Time, order: &Order, reply: &Reply) {
        match reply {
            Reply::Done { .. } => {
                self.failures.remove(&order.owner);
                let answered = self.answered.entry(order.owner.clone()).or_insert(sent);
                *answered = sent.max(*answered);
            }
            Reply::Misdirected => {
                self.handle_sweep_reply(order, reply);
                self.free_ranges_of(&order.owner);
                let failure = (UNREACHABLE_FAILURES, now);
                self.failures.insert(order.owner.clone(), failure);
                return;
            }
            Reply::NotSent | Reply::Unknown => {
                let failure = self.failures.entry(order.owner.clone()).or_insert((0, now));
                *failure = (failure.0 + 1, now);
            }
            Reply::Fenced | Reply::Withheld => {}
        }
        self.handle_sweep_reply(order, reply);
        if *reply == Reply::Fenced && self.contradicts_confirmation(order) {
            self.wait_for_unknown_grants(now);
            return;
        }
        let max_duration = self.max_lease_duration();
        let Some(ranges) = self.services.get_mut(&order.service) else {
            return;
        };
        let covered =
            |range: &&mut LeasedRange| order.first <= range.first && range.last <= order.last;
        for range in ranges.iter_mut().filter(covered) {
            if range::owner(&range.state) != Some(&order.owner)
                || range::fence(&range.state) != order.fence
            {
                continue;
            }
            match &mut range.state {
                State::Granting { lease, .. } | State::Held { lease, .. } => {
                    lease.settle(reply, now, max_duration);
                }
                State::Free { .. } | State::Releasing { .. } => {}
            }
            match (&range.state, reply) {
                (
                    State::Granting {
                        owner,
                        fence,
                        lease,
                        ..
                    },
                    Reply::Done { .. },
                ) => {
                    range.state = State::Held {
                        owner: owner.clone(),
                        fence: *fence,
                        sent,
                        lease: *lease,
                    };
                    self.view_version += 1;
                }
                (State::Releasing { .. }, Reply::Done { handover }) => {
                    let handover = handover.clone();
                    range.state = State::Free { handover };
                }
                _ => {}
            }
        }
    }

    /// Frees all keys of an upstream whose process has ended.
    fn free_ranges_of(&mut self, owner: &Owner) {
        let ranges = self.services.values_mut().flatten();
        for range in ranges.filter(|range| range::owner(&range.state) == Some(owner)) {
            range.state = State::Free { handover: None };
            self.view_version += 1;
        }
    }

    /// Longest time for which this leader's grants may remain valid after arrival.
    fn max_lease_duration(&self) -> Duration {
        max_lease_duration(self.hold)
    }

    /// Builds a map with the owner and the wait that `visible` returns for each state,
    /// merging adjacent ranges with equal contents.
    fn build_map(
        &self,
        version: u64,
        visible: impl Fn(&State) -> (Option<Owner>, u32),
    ) -> OwnerMap {
        let to_key_ranges = |ranges: &Vec<LeasedRange>| {
            let mut key_ranges: Vec<KeyRange> = Vec::new();
            for range in ranges {
                let (owner, wait_ms) = visible(&range.state);
                let releasing = matches!(range.state, State::Releasing { .. });
                let next = KeyRange {
                    first: range.first,
                    last: range.last,
                    // A published view names no owner of keys that are being released
                    // and leaves this false.
                    releasing: releasing && owner.is_some(),
                    owner,
                    wait_ms,
                };
                match key_ranges.last_mut() {
                    Some(last) if last.has_same_assignment(&next) => last.last = next.last,
                    _ => key_ranges.push(next),
                }
            }
            key_ranges
        };
        let services = self.services.iter();
        OwnerMap {
            epoch: self.epoch,
            version,
            services: services
                .map(|(service, ranges)| (service.clone(), to_key_ranges(ranges)))
                .collect(),
        }
    }
}

/// Lowest fencing token of an epoch's leader.
fn first_fence(epoch: u64) -> u64 {
    (epoch + 1) * FENCES_PER_EPOCH
}

/// Longest time for which a grant of duration `hold` may remain valid after its
/// arrival, as an upstream's clock may run 2% slow.
pub fn max_lease_duration(hold: Duration) -> Duration {
    hold + hold / 50 + LEASE_MARGIN
}

/// Milliseconds left until `end`, rounded up.
fn left(end: Time, now: Time) -> u32 {
    millis(end.since(now) + Duration::from_millis(1))
}

fn from_millis(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
