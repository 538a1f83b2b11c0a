//! What a leader may do after the store has come back from a copy.
//!
//! The copy may lack the record of the latest grants, and of the leaders that sent them. A
//! leader that was in office knows its own grants, but not those of a leader that replaced
//! it and whose record is lost. It first renews its grants with fencing tokens of its former
//! epoch: if another leader has taken over since, upstreams refuse them. A leader that knows
//! of no grants waits until all have expired, or until the leader before it reports them.

use std::time::Duration;

use super::order::Order;
use super::range::State;
use super::{CALL_TIMEOUT, Ledger, first_fence, max_lease_duration, range};
use crate::entry::leadership::LEADER_LEASE;
use crate::time::{Time, max_with_drift};

/// Time within which a leader renews all grants once and learns of refusals: a third of a
/// lease, which lasts up to 4 s, and the timeout of a call.
pub const CONFIRMATION_TIME: Duration = Duration::from_millis(2_500);

/// Stage of a leader's recovery after the store has lost records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Recovery {
    /// The possible holders of all keys are known.
    Complete,
    /// The holders are known unless another leader has replaced them. Grants are only
    /// renewed, until the given time; `None` before leadership was claimed again.
    Confirming { until: Option<Time> },
    /// Grants that are not known may be in force until the given time. No order is sent.
    Waiting { until: Time },
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
        let until = Some(now + CONFIRMATION_TIME);
        self.recovery = Recovery::Confirming { until };
    }

    /// Forgets all holders, and waits until no grant that was sent before `now` is in force.
    pub(super) fn wait_for_unknown_grants(&mut self, now: Time) {
        let until = unknown_grants_end(now, self.hold);
        self.recovery = Recovery::Waiting { until };
        self.services.clear();
        self.last_fence = self.last_fence.max(first_fence(self.epoch));
        self.view_version += 1;
    }

    /// Ends the recovery if its time has come. All owners are then recorded again.
    pub(super) fn finish_recovery(&mut self, now: Time) {
        let until = match self.recovery {
            Recovery::Confirming { until: Some(until) } | Recovery::Waiting { until } => until,
            Recovery::Complete | Recovery::Confirming { until: None } => return,
        };
        if now < until {
            return;
        }
        self.recovery = Recovery::Complete;
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
    /// force.
    pub(super) fn lacks_grants_of(&self, epoch: u64) -> bool {
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
