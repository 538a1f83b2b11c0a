//! A range of keys in the leader's ledger: its lease and the state transitions that
//! move it to another upstream.

use std::time::Duration;

use super::order::{Order, OrderKind, Reply};
use super::{CALL_TIMEOUT, RENEWALS_PER_LEASE, RESEND_INTERVAL, UNREACHABLE_RESEND_INTERVAL};
use crate::entry::map::Owner;
use crate::entry::plan::PlannedRange;
use crate::time::Time;

/// Latest end of the grants that an upstream may have received for a range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Lease {
    /// Latest end of this leader's grants before the one in flight. It never decreases,
    /// since an unanswered grant may be in force.
    settled: Time,
    /// Latest end of this leader's grant that is in flight, if there is one.
    pending: Option<Time>,
    /// Time by which all grants in flight have arrived or are lost.
    arrived_by: Time,
    /// Latest end of the grants of earlier leaders. Cleared once the upstream has
    /// acknowledged a grant of this leader, and shortened when the predecessor reports
    /// that it has stopped.
    pub(super) inherited: Time,
}

impl Lease {
    pub(super) fn until(settled: Time) -> Lease {
        Lease {
            settled,
            pending: None,
            arrived_by: Time(0),
            inherited: Time(0),
        }
    }

    pub(super) fn inherited(until: Time) -> Lease {
        Lease {
            settled: Time(0),
            pending: None,
            arrived_by: Time(0),
            inherited: until,
        }
    }

    /// Latest end of all grants.
    pub(super) fn end(self) -> Time {
        self.own_end().max(self.inherited)
    }

    /// Latest end of this leader's grants.
    fn own_end(self) -> Time {
        self.pending.unwrap_or(self.settled).max(self.settled)
    }

    /// Lease of two ranges that are merged.
    pub(super) fn combined(self, other: Lease) -> Lease {
        Lease {
            settled: self.own_end().max(other.own_end()),
            pending: None,
            arrived_by: self.arrived_by.max(other.arrived_by),
            inherited: self.inherited.max(other.inherited),
        }
    }

    /// Whether another grant may follow the one sent at `sent`: once `interval` has
    /// passed, and with at most one call in flight.
    pub(super) fn allows_grant(self, sent: Option<Time>, now: Time, interval: Duration) -> bool {
        !self.is_grant_in_flight(now) && is_due(sent, now, interval)
    }

    /// Whether a grant may still arrive at the upstream.
    fn is_grant_in_flight(self, now: Time) -> bool {
        now < self.arrived_by
    }

    /// Records that a grant is sent now which ends at `end` at the latest.
    pub(super) fn record_grant(&mut self, now: Time, end: Time) {
        self.arrived_by = now + CALL_TIMEOUT;
        // The outcome of an earlier grant may still be unknown, and its reply will not
        // match the fence of this one.
        self.settled = self.own_end();
        self.pending = Some(end);
    }

    /// Records the outcome of the grant in flight. A grant that has arrived ends within
    /// `max_duration`.
    pub(super) fn settle(&mut self, reply: &Reply, now: Time, max_duration: Duration) {
        match reply {
            Reply::Done { .. } => {
                self.settled = self.settled.max(now + max_duration);
                self.inherited = Time(0);
            }
            Reply::Unknown => self.settled = self.pending.unwrap_or(self.settled).max(self.settled),
            Reply::NotSent | Reply::Withheld | Reply::Fenced | Reply::Misdirected => {}
        }
        self.pending = None;
        self.arrived_by = Time(0);
    }
}

/// State of a range of keys.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum State {
    /// No upstream may hold the keys.
    Free {
        /// Token for the state of the previous holder.
        handover: Option<String>,
    },
    /// The first grant to a new owner is not acknowledged yet.
    Granting {
        owner: Owner,
        fence: u64,
        handover: Option<String>,
        /// Version of the record that names the owner.
        version: u64,
        sent: Option<Time>,
        lease: Lease,
    },
    /// The owner has acknowledged a grant, or an earlier leader has recorded it as the
    /// possible holder. Its grants are renewed.
    Held {
        owner: Owner,
        fence: u64,
        /// Time at which the last grant was sent.
        sent: Time,
        lease: Lease,
    },
    /// The owner is asked to release the keys, or its grants are left to expire.
    Releasing {
        owner: Owner,
        fence: u64,
        sent: Option<Time>,
        lease: Lease,
    },
}

/// Keys from `first` to `last`, both inclusive, that share one state.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LeasedRange {
    pub(super) first: u16,
    pub(super) last: u16,
    pub(super) state: State,
}

impl LeasedRange {
    /// Priority of the order that is due, if any; the earliest time comes first. For
    /// a renewal it is the time at which the lease expires, for keys that no upstream
    /// serves a time in the past. `unreachable` tells whether the upstream has left
    /// several consecutive calls unanswered.
    pub(super) fn due_priority(
        &self,
        now: Time,
        acknowledged_version: u64,
        hold: Duration,
        unreachable: bool,
    ) -> Option<Time> {
        match &self.state {
            State::Granting {
                version,
                sent,
                lease,
                ..
            } => {
                let due = *version <= acknowledged_version
                    && lease.allows_grant(*sent, now, RESEND_INTERVAL);
                due.then_some(sent.unwrap_or(Time(0)))
            }
            State::Held { sent, lease, .. } => {
                let due = lease.allows_grant(Some(*sent), now, hold / RENEWALS_PER_LEASE);
                due.then(|| *sent + hold)
            }
            // A grant that arrives after the release would be refused, but not if the
            // upstream has restarted in between.
            State::Releasing { lease, .. } if lease.is_grant_in_flight(now) => None,
            State::Releasing { sent, .. } => {
                let interval = if unreachable {
                    UNREACHABLE_RESEND_INTERVAL
                } else {
                    RESEND_INTERVAL
                };
                is_due(*sent, now, interval).then_some(sent.unwrap_or(Time(0)))
            }
            State::Free { .. } => None,
        }
    }

    /// Returns the order for the current state and records it as sent now. A grant ends
    /// at `end` at the latest, and gets a new fencing token: the process that receives it
    /// may be a later incarnation than the one that received the last grant.
    pub(super) fn take_order(
        &mut self,
        now: Time,
        service: &str,
        hold: Duration,
        end: Time,
        last_fence: &mut u64,
    ) -> Option<Order> {
        let (owner, fence, kind) = match &mut self.state {
            State::Free { .. } => return None,
            State::Granting {
                owner,
                fence,
                handover,
                sent,
                lease,
                ..
            } => {
                *sent = Some(now);
                *fence = next_fence(last_fence);
                lease.record_grant(now, end);
                let handover = handover.clone();
                (owner, fence, OrderKind::Grant { hold, handover })
            }
            State::Held {
                owner,
                fence,
                sent,
                lease,
            } => {
                *sent = now;
                *fence = next_fence(last_fence);
                lease.record_grant(now, end);
                let handover = None;
                (owner, fence, OrderKind::Grant { hold, handover })
            }
            State::Releasing {
                owner, fence, sent, ..
            } => {
                *sent = Some(now);
                (owner, fence, OrderKind::Release)
            }
        };
        Some(Order {
            service: service.to_owned(),
            first: self.first,
            last: self.last,
            owner: owner.clone(),
            fence: *fence,
            kind,
        })
    }
}

pub(super) fn next_fence(last_fence: &mut u64) -> u64 {
    *last_fence += 1;
    *last_fence
}

pub(super) fn owner(state: &State) -> Option<&Owner> {
    match state {
        State::Free { .. } => None,
        State::Granting { owner, .. }
        | State::Held { owner, .. }
        | State::Releasing { owner, .. } => Some(owner),
    }
}

pub(super) fn lease_mut(state: &mut State) -> Option<&mut Lease> {
    match state {
        State::Free { .. } => None,
        State::Granting { lease, .. }
        | State::Held { lease, .. }
        | State::Releasing { lease, .. } => Some(lease),
    }
}

/// Latest end of all grants for a range.
pub(super) fn lease_end(state: &State) -> Time {
    match state {
        State::Free { .. } => Time(0),
        State::Granting { lease, .. }
        | State::Held { lease, .. }
        | State::Releasing { lease, .. } => lease.end(),
    }
}

pub(super) fn fence(state: &State) -> u64 {
    match state {
        State::Free { .. } => 0,
        State::Granting { fence, .. }
        | State::Held { fence, .. }
        | State::Releasing { fence, .. } => *fence,
    }
}

pub(super) fn is_due(sent: Option<Time>, now: Time, interval: Duration) -> bool {
    sent.is_none_or(|sent| now.since(sent) >= interval)
}

/// State of keys whose holder has restarted as `newer`. The new process holds none of
/// them, unless a grant for its predecessor has reached it at the same address.
pub(super) fn state_after_restart(state: &State, newer: Owner, last_fence: &mut u64) -> State {
    match state {
        State::Granting { owner, lease, .. }
        | State::Held { owner, lease, .. }
        | State::Releasing { owner, lease, .. }
            if owner.address == newer.address =>
        {
            State::Releasing {
                owner: newer,
                fence: next_fence(last_fence),
                sent: None,
                lease: *lease,
            }
        }
        _ => State::Free { handover: None },
    }
}

/// The range for the planner, with the upstream that owns it or is being granted it.
pub(super) fn planned_range(range: &LeasedRange) -> PlannedRange {
    let owner = match &range.state {
        State::Held { owner, .. } | State::Granting { owner, .. } => Some(owner.clone()),
        State::Free { .. } | State::Releasing { .. } => None,
    };
    PlannedRange {
        first: range.first,
        last: range.last,
        owner,
    }
}

/// Next state on the way to the target owner. Returns `None` if nothing changes.
pub(super) fn next_state(
    range: &LeasedRange,
    target: Option<Owner>,
    last_fence: &mut u64,
    record_version: &mut u64,
    now: Time,
) -> Option<State> {
    match &range.state {
        State::Free { handover } => {
            let owner = target?;
            *record_version += 1;
            Some(State::Granting {
                owner,
                fence: next_fence(last_fence),
                handover: handover.clone(),
                version: *record_version,
                sent: None,
                lease: Lease::until(now),
            })
        }
        State::Held { owner, lease, .. } if target.as_ref() != Some(owner) => {
            Some(State::Releasing {
                owner: owner.clone(),
                fence: next_fence(last_fence),
                sent: None,
                lease: *lease,
            })
        }
        State::Granting {
            owner,
            sent,
            lease,
            handover,
            ..
        } if target.as_ref() != Some(owner) => Some(match sent {
            None => State::Free {
                handover: handover.clone(),
            },
            Some(_) => State::Releasing {
                owner: owner.clone(),
                fence: next_fence(last_fence),
                sent: None,
                lease: *lease,
            },
        }),
        _ => None,
    }
}

/// Splits ranges at `boundaries`, the first keys of the planned ranges, so that each
/// lies within one planned range.
pub(super) fn split_at(ranges: &mut Vec<LeasedRange>, boundaries: &[u16]) {
    for boundary in boundaries {
        let index = ranges.partition_point(|range| range.last < *boundary);
        let Some(range) = ranges
            .get_mut(index)
            .filter(|range| range.first < *boundary)
        else {
            continue;
        };
        let mut upper = range.clone();
        range.last = *boundary - 1;
        upper.first = *boundary;
        ranges.insert(index + 1, upper);
    }
}

/// Merges adjacent ranges that one upstream holds, unless a grant for one of them is in
/// flight. The fence of the result is not below that of either.
pub(super) fn merge_adjacent(
    ranges: &mut Vec<LeasedRange>,
    last_fence: &mut u64,
    now: Time,
    hold: Duration,
) {
    let mut index = 1;
    while index < ranges.len() {
        let merged = merge_states(
            &ranges[index - 1].state,
            &ranges[index].state,
            last_fence,
            now,
            hold,
        );
        match merged {
            Some(state) => {
                ranges[index - 1].last = ranges[index].last;
                ranges[index - 1].state = state;
                ranges.remove(index);
            }
            None => index += 1,
        }
    }
}

/// State of two adjacent ranges as one, if both are held by the same upstream.
fn merge_states(
    left: &State,
    right: &State,
    last_fence: &mut u64,
    now: Time,
    hold: Duration,
) -> Option<State> {
    let State::Held {
        owner,
        fence,
        sent,
        lease,
    } = left
    else {
        return None;
    };
    let State::Held {
        owner: right_owner,
        fence: right_fence,
        sent: right_sent,
        lease: right_lease,
    } = right
    else {
        return None;
    };
    let in_flight = lease.is_grant_in_flight(now) || right_lease.is_grant_in_flight(now);
    if owner != right_owner || in_flight {
        return None;
    }
    let same_fence = fence == right_fence;
    Some(State::Held {
        owner: owner.clone(),
        fence: if same_fence {
            *fence
        } else {
            next_fence(last_fence)
        },
        sent: if same_fence {
            *sent.min(right_sent)
        } else {
            // Makes a renewal due at once.
            now - hold
        },
        lease: lease.combined(*right_lease),
    })
}
