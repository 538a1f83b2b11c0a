//! What a leader may do after the store has come back from a copy.
//!
//! The copy may lack the record of the latest grants, and of the leaders that sent them. A
//! leader that was in office knows its own grants, but not those of a leader that replaced
//! it and whose record is lost. It first renews its grants with fencing tokens of its former
//! epoch: if another leader has taken over since, upstreams refuse them. A leader that knows
//! of no grants waits until all have expired, or until the leader before it reports them.
//! It need not wait if every upstream that may hold keys releases them (`Sweep`).

use std::collections::BTreeMap;
use std::time::Duration;

use super::order::{Order, OrderKind, Reply};
use super::range::{self, Lease, LeasedRange, State, is_due, next_fence};
use super::{CALL_TIMEOUT, Ledger, RESEND_INTERVAL, first_fence, max_lease_duration};
use crate::entry::leadership::LEADER_LEASE;
use crate::entry::map::{KeyRange, Owner, OwnerMap};
use crate::time::{Time, max_with_drift};

/// Time within which a leader renews all grants once and learns of refusals: a third of a
/// lease, which lasts up to 4 s, and the timeout of a call.
pub const CONFIRMATION_TIME: Duration = Duration::from_millis(2_500);

/// Time for the report of the leader before to arrive, before upstreams are asked to release
/// their keys. It is sent in reply to the first heartbeat.
const REPORT_TIME: Duration = Duration::from_millis(300);

/// Typical time for the replies to the releases of a sweep.
const SWEEP_TIME: Duration = Duration::from_millis(500);

/// Stage of a leader's recovery after the store has lost records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Recovery {
    /// The possible holders of all keys are known.
    Complete,
    /// The holders are known unless another leader has replaced them. Grants are only
    /// renewed, until the given time; `None` before leadership was claimed again.
    Confirming { until: Option<Time> },
    /// Grants that are not known may be in force until the given time. Only the releases of a
    /// sweep are sent.
    Waiting { until: Time },
}

/// Release of all keys by every upstream that may hold some. Each refuses later grants of
/// former leaders by their lower fences.
#[derive(Debug)]
pub(super) struct Sweep {
    /// Time of the first releases.
    start: Time,
    /// Time until which upstreams may be missing from the directory.
    earliest_end: Time,
    /// Last known owners, which get their keys back.
    known_owners: OwnerMap,
    /// Upstreams by service.
    targets: BTreeMap<(String, Owner), Target>,
}

/// Upstream that may hold keys.
#[derive(Debug)]
enum Target {
    /// It has not released its keys.
    Pending {
        /// Time of the last order.
        sent: Option<Time>,
        /// Whether it shuts down or its registration was removed. Leaders grant it no
        /// further keys, so it holds those at most that it was known to own.
        is_leaving: bool,
    },
    /// It has released them, with this token for the next holder.
    Released(Option<String>),
    /// Its process has ended.
    Ended,
}

impl Sweep {
    /// Number of upstreams.
    pub(super) fn size(&self) -> usize {
        self.targets.len()
    }

    /// Typical time until it is done.
    pub(super) fn time_left(&self, now: Time) -> Duration {
        self.earliest_end.max(self.start + SWEEP_TIME).since(now)
    }

    /// Whether no upstream holds other keys of former leaders than those that it was known
    /// to own.
    fn is_done(&self, now: Time) -> bool {
        let may_hold_any = |target: &Target| {
            matches!(
                target,
                Target::Pending {
                    is_leaving: false,
                    ..
                }
            )
        };
        now >= self.earliest_end
            && !self.targets.is_empty()
            && !self.targets.values().any(may_hold_any)
    }

    /// Returns the releases that are due now, at most `max_orders`.
    fn take_due_orders(
        &mut self,
        now: Time,
        max_orders: usize,
        last_fence: &mut u64,
    ) -> Vec<Order> {
        if now < self.start {
            return Vec::new();
        }
        let due = self.targets.iter_mut().filter_map(|(key, target)| {
            let Target::Pending { sent, .. } = target else {
                return None;
            };
            is_due(*sent, now, RESEND_INTERVAL).then_some((key, sent))
        });
        due.take(max_orders)
            .map(|((service, owner), sent)| {
                *sent = Some(now);
                Order {
                    service: service.clone(),
                    first: 0,
                    last: u16::MAX,
                    owner: owner.clone(),
                    fence: next_fence(last_fence),
                    kind: OrderKind::Release,
                }
            })
            .collect()
    }

    fn handle_reply(&mut self, order: &Order, reply: &Reply) {
        let key = (order.service.clone(), order.owner.clone());
        let Some(target) = self.targets.get_mut(&key) else {
            return;
        };
        match reply {
            Reply::Done { handover } => *target = Target::Released(handover.clone()),
            Reply::Misdirected => *target = Target::Ended,
            Reply::Fenced | Reply::NotSent | Reply::Withheld | Reply::Unknown => {}
        }
    }

    /// State of a range after the sweep: its last known owner gets the keys back. If it has
    /// not answered, its grants may last until `until`.
    fn state_after(
        &self,
        now: Time,
        until: Time,
        service: &str,
        key_range: &KeyRange,
        last_fence: &mut u64,
    ) -> State {
        let target = key_range.owner.clone().and_then(|owner| {
            let target = self.targets.get(&(service.to_owned(), owner.clone()))?;
            Some((owner, target))
        });
        match target {
            Some((owner, Target::Released(handover))) => State::Granting {
                owner,
                fence: next_fence(last_fence),
                handover: handover.clone(),
                version: 0,
                sent: None,
                lease: Lease::until(now),
            },
            Some((owner, Target::Pending { .. })) => State::Releasing {
                owner,
                fence: next_fence(last_fence),
                sent: None,
                lease: Lease::inherited(until),
            },
            Some((_, Target::Ended)) | None => State::Free { handover: None },
        }
    }
}

impl Recovery {
    /// Time until keys can be granted to new holders.
    pub(super) fn time_left(self, now: Time) -> Duration {
        match self {
            Recovery::Complete | Recovery::Confirming { until: None } => Duration::ZERO,
            Recovery::Confirming { until: Some(until) } | Recovery::Waiting { until } => {
                until.since(now)
            }
        }
    }
}

/// Latest time at which grants of other leaders are valid that are not known `now`. An
/// order that a leader sends at the end of its lease arrives up to `CALL_TIMEOUT` later,
/// and its grant is then valid for a whole lease of duration `hold`.
pub fn unknown_grants_end(now: Time, hold: Duration) -> Time {
    now + max_with_drift(LEADER_LEASE) + CALL_TIMEOUT + max_lease_duration(hold)
}

impl Ledger {
    /// Ledger of a leader that claimed `epoch` and does not know all grants of the leaders
    /// before it, the last known of which had the epoch `predecessor`.
    pub fn without_record(epoch: u64, hold: Duration, predecessor: u64, now: Time) -> Ledger {
        let mut ledger = Ledger::new(epoch, hold);
        ledger.predecessor = predecessor;
        ledger.wait_for_unknown_grants(now);
        ledger
    }

    /// Name of the stage of the recovery, for logs.
    pub fn recovery_stage(&self) -> &'static str {
        match self.recovery {
            Recovery::Complete => "complete",
            Recovery::Confirming { .. } => "confirming grants",
            Recovery::Waiting { .. } if self.is_sweeping() => "releasing all keys",
            Recovery::Waiting { .. } => "waiting for unknown grants",
        }
    }

    /// Whether upstreams are asked to release all keys.
    pub fn is_sweeping(&self) -> bool {
        self.sweep.is_some()
    }

    /// Shortens the wait for unknown grants, since no process that may have led before is
    /// left: what it has sent ends within a lease.
    pub fn expect_no_former_leader(&mut self, now: Time) {
        let end = now + CALL_TIMEOUT + max_lease_duration(self.hold);
        if let Recovery::Waiting { until } = &mut self.recovery {
            *until = (*until).min(end);
        }
    }

    /// Releases all keys soon at the upstreams named by `add_possible_holder`, which must
    /// name all that former leaders may have known. From `earliest_end` on none is missing.
    /// `known_owners` says who served the keys before.
    pub fn start_sweep(&mut self, now: Time, earliest_end: Time, known_owners: OwnerMap) {
        self.sweep = Some(Sweep {
            start: now + REPORT_TIME,
            earliest_end,
            known_owners,
            targets: BTreeMap::new(),
        });
    }

    /// Adds an upstream that may hold keys of a service to the sweep, if there is one, or
    /// records that it is leaving.
    pub fn add_possible_holder(&mut self, service: &str, owner: Owner, leaving: bool) {
        let Some(sweep) = self.sweep.as_mut() else {
            return;
        };
        let target = sweep.targets.entry((service.to_owned(), owner));
        let target = target.or_insert(Target::Pending {
            sent: None,
            is_leaving: leaving,
        });
        if let Target::Pending { is_leaving, .. } = target {
            *is_leaving = leaving;
        }
    }

    /// Releases of the sweep that are due.
    pub(super) fn take_sweep_orders(&mut self, now: Time, max_orders: usize) -> Vec<Order> {
        let last_fence = &mut self.last_fence;
        let sweep = self.sweep.as_mut();
        sweep.map_or_else(Vec::new, |sweep| {
            sweep.take_due_orders(now, max_orders, last_fence)
        })
    }

    /// Passes a reply to the sweep, if there is one.
    pub(super) fn handle_sweep_reply(&mut self, order: &Order, reply: &Reply) {
        if let Some(sweep) = self.sweep.as_mut() {
            sweep.handle_reply(order, reply);
        }
    }

    /// Gives the keys back to their last known owners if the sweep is done. Returns whether
    /// it is.
    fn finish_sweep(&mut self, now: Time, until: Time) -> bool {
        let Some(sweep) = self.sweep.take_if(|sweep| sweep.is_done(now)) else {
            return false;
        };
        let last_fence = &mut self.last_fence;
        for (service, key_ranges) in &sweep.known_owners.services {
            let range = |key_range: &KeyRange| LeasedRange {
                first: key_range.first,
                last: key_range.last,
                state: sweep.state_after(now, until, service, key_range, last_fence),
            };
            let ranges = key_ranges.iter().map(range).collect();
            self.services.insert(service.clone(), ranges);
        }
        self.view_version += 1;
        true
    }

    /// Stops moves of keys because the store has lost records, until leadership has been
    /// claimed again.
    pub fn suspend_moves(&mut self) {
        if !matches!(self.recovery, Recovery::Waiting { .. }) {
            self.recovery = Recovery::Confirming { until: None };
        }
    }

    /// Continues in the epoch in which this leader has claimed leadership again.
    pub fn continue_in(&mut self, epoch: u64, now: Time) {
        self.predecessor = self.predecessor.max(self.epoch);
        self.epoch = epoch;
        self.view_version += 1;
        if !matches!(self.recovery, Recovery::Waiting { .. }) {
            self.start_confirming(now);
        }
    }

    pub(super) fn start_confirming(&mut self, now: Time) {
        self.sweep = None;
        let until = Some(now + CONFIRMATION_TIME);
        self.recovery = Recovery::Confirming { until };
    }

    /// Forgets all holders, and waits until no grant that was sent before `now` is in force.
    pub(super) fn wait_for_unknown_grants(&mut self, now: Time) {
        let until = unknown_grants_end(now, self.hold);
        self.recovery = Recovery::Waiting { until };
        self.sweep = None;
        self.services.clear();
        self.last_fence = self.last_fence.max(first_fence(self.epoch));
        self.view_version += 1;
    }

    /// Ends the recovery if its time has come. All owners are then recorded again.
    pub(super) fn finish_recovery(&mut self, now: Time) {
        let is_over = match self.recovery {
            Recovery::Complete | Recovery::Confirming { until: None } => false,
            Recovery::Confirming { until: Some(until) } => now >= until,
            Recovery::Waiting { until } => self.finish_sweep(now, until) || now >= until,
        };
        if !is_over {
            return;
        }
        self.recovery = Recovery::Complete;
        self.sweep = None;
        self.last_fence = self.last_fence.max(first_fence(self.epoch));
        self.acknowledged_version = 0;
        self.record_version += 1;
        for range in self.services.values_mut().flatten() {
            if let State::Granting { version, .. } = &mut range.state {
                *version = self.record_version;
            }
        }
    }

    /// Whether this ledger lacks the grants of the leader of `epoch`, which may still be in
    /// force. Once upstreams are asked to release them, they cannot be taken over.
    pub(super) fn lacks_grants_of(&self, epoch: u64, now: Time) -> bool {
        if self.sweep.as_ref().is_some_and(|sweep| now >= sweep.start) {
            return false;
        }
        match self.recovery {
            Recovery::Complete => false,
            Recovery::Confirming { .. } => epoch > self.predecessor && epoch < self.epoch,
            Recovery::Waiting { .. } => epoch >= self.predecessor && epoch < self.epoch,
        }
    }

    /// Whether the refusal of an order shows that another leader has sent orders since. No
    /// order of this leader has a higher fence for the same keys while it only renews.
    pub(super) fn contradicts_confirmation(&self, order: &Order) -> bool {
        let ranges = self.services.get(&order.service).into_iter().flatten();
        let mut fences = ranges.map(|range| range::fence(&range.state));
        matches!(self.recovery, Recovery::Confirming { .. })
            && fences.any(|fence| fence == order.fence)
    }
}
