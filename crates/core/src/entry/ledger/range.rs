//! One range of keys in the leader's account: its state and the steps of a move.

use std::time::Duration;

use super::order::{Order, OrderKind, Reply};
use super::{CALL_TIMEOUT, RENEW_PART, RESEND_INTERVAL, RESEND_SILENT};
use crate::entry::map::Owner;
use crate::entry::plan::PlannedRange;
use crate::time::Time;

/// Latest end of the grants that an upstream may have received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Lease {
    /// End of the own grants whose outcome is known. It never moves back, since
    /// an unanswered grant may arrive after a later one with the same fence.
    known: Time,
    /// End of an own grant that is on its way.
    pending: Option<Time>,
    /// End of the grants of earlier leaders, until the upstream has heard this one.
    pub(super) inherited: Time,
}

impl Lease {
    pub(super) fn until(known: Time) -> Lease {
        Lease {
            known,
            pending: None,
            inherited: Time(0),
        }
    }

    pub(super) fn inherited(until: Time) -> Lease {
        Lease {
            known: Time(0),
            pending: None,
            inherited: until,
        }
    }

    pub(super) fn end(self) -> Time {
        self.own().max(self.inherited)
    }

    /// Latest end of the own grants.
    fn own(self) -> Time {
        self.pending.unwrap_or(self.known).max(self.known)
    }

    /// Lease of two ranges that become one under a new fence, so that the answers to
    /// grants on their way don't settle it.
    pub(super) fn joined(self, other: Lease) -> Lease {
        Lease {
            known: self.own().max(other.own()),
            pending: None,
            inherited: self.inherited.max(other.inherited),
        }
    }

    /// Whether a grant may follow the one sent at `sent`: after `span`, and with
    /// one call on its way at a time.
    pub(super) fn allows(self, sent: Option<Time>, now: Time, span: Duration) -> bool {
        let span = if self.pending.is_some() {
            span.max(CALL_TIMEOUT)
        } else {
            span
        };
        due(sent, now, span)
    }

    /// Notes a grant that is sent now and ends at `end` at the latest.
    pub(super) fn send(&mut self, end: Time) {
        self.pending = Some(self.pending.unwrap_or(end).max(end));
    }

    /// Notes how the grant on its way ended; `longest` is the length of a lease.
    pub(super) fn settle(&mut self, reply: &Reply, now: Time, longest: Duration) {
        match reply {
            Reply::Done { .. } => {
                self.known = self.known.max(now + longest);
                self.inherited = Time(0);
            }
            Reply::Unknown => self.known = self.pending.unwrap_or(self.known).max(self.known),
            Reply::NotSent | Reply::Fenced => {}
        }
        self.pending = None;
    }
}

#[derive(Clone, Debug, PartialEq)]
pub(super) enum State {
    Free {
        handover: Option<String>,
    },
    Granting {
        owner: Owner,
        fence: u64,
        handover: Option<String>,
        /// Version of the record that names the owner.
        version: u64,
        sent: Option<Time>,
        lease: Lease,
    },
    Held {
        owner: Owner,
        fence: u64,
        sent: Time,
        lease: Lease,
    },
    Releasing {
        owner: Owner,
        fence: u64,
        sent: Option<Time>,
        lease: Lease,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub(super) struct LeasedRange {
    pub(super) first: u16,
    pub(super) last: u16,
    pub(super) state: State,
}

impl LeasedRange {
    /// Time at which its keys lose or have lost their service, if an order is due;
    /// the past for keys that nobody serves. `silent` tells whether its upstream has
    /// failed to answer.
    pub(super) fn urgency(
        &self,
        now: Time,
        recorded: u64,
        hold: Duration,
        silent: bool,
    ) -> Option<Time> {
        match &self.state {
            State::Granting {
                version,
                sent,
                lease,
                ..
            } => {
                let due = *version <= recorded && lease.allows(*sent, now, RESEND_INTERVAL);
                due.then_some(sent.unwrap_or(Time(0)))
            }
            State::Held { sent, lease, .. } => {
                let due = lease.allows(Some(*sent), now, hold / RENEW_PART);
                due.then(|| *sent + hold)
            }
            State::Releasing { sent, .. } => {
                let pause = if silent {
                    RESEND_SILENT
                } else {
                    RESEND_INTERVAL
                };
                due(*sent, now, pause).then_some(sent.unwrap_or(Time(0)))
            }
            State::Free { .. } => None,
        }
    }

    /// Order that is due, noted as sent now; a grant ends at `end` at the latest.
    pub(super) fn order(
        &mut self,
        now: Time,
        service: &str,
        hold: Duration,
        end: Time,
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
                lease.send(end);
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
                lease.send(end);
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

pub(super) fn next(fences: &mut u64) -> u64 {
    *fences += 1;
    *fences
}

pub(super) fn owner(state: &State) -> Option<&Owner> {
    match state {
        State::Free { .. } => None,
        State::Granting { owner, .. }
        | State::Held { owner, .. }
        | State::Releasing { owner, .. } => Some(owner),
    }
}

pub(super) fn lease(state: &mut State) -> Option<&mut Lease> {
    match state {
        State::Free { .. } => None,
        State::Granting { lease, .. }
        | State::Held { lease, .. }
        | State::Releasing { lease, .. } => Some(lease),
    }
}

/// Latest end of all grants.
pub(super) fn end(state: &State) -> Time {
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

pub(super) fn due(sent: Option<Time>, now: Time, span: Duration) -> bool {
    sent.is_none_or(|sent| now.since(sent) >= span)
}

pub(super) fn refence(state: &mut State, fences: &mut u64) {
    match state {
        State::Free { .. } => {}
        State::Granting { fence, .. }
        | State::Held { fence, .. }
        | State::Releasing { fence, .. } => *fence = next(fences),
    }
}

/// Owner that a part has or is getting, for the planner.
pub(super) fn range(part: &LeasedRange) -> PlannedRange {
    let owner = match &part.state {
        State::Held { owner, .. } | State::Granting { owner, .. } => Some(owner.clone()),
        State::Free { .. } | State::Releasing { .. } => None,
    };
    PlannedRange {
        first: part.first,
        last: part.last,
        owner,
    }
}

/// State that brings a part closer to its target; `None` if nothing changes.
pub(super) fn step(
    part: &LeasedRange,
    target: Option<Owner>,
    fences: &mut u64,
    version: &mut u64,
    now: Time,
) -> Option<State> {
    match &part.state {
        State::Free { handover } => {
            let owner = target?;
            *version += 1;
            Some(State::Granting {
                owner,
                fence: next(fences),
                handover: handover.clone(),
                version: *version,
                sent: None,
                lease: Lease::until(now),
            })
        }
        State::Held { owner, lease, .. } if target.as_ref() != Some(owner) => {
            Some(State::Releasing {
                owner: owner.clone(),
                fence: next(fences),
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
                fence: next(fences),
                sent: None,
                lease: *lease,
            },
        }),
        _ => None,
    }
}

/// Splits parts so that none reaches over the beginning of a planned range.
pub(super) fn split(parts: &mut Vec<LeasedRange>, cuts: &[u16]) {
    for cut in cuts {
        let index = parts.partition_point(|part| part.last < *cut);
        let Some(part) = parts.get_mut(index).filter(|part| part.first < *cut) else {
            continue;
        };
        let mut upper = part.clone();
        part.last = *cut - 1;
        upper.first = *cut;
        parts.insert(index + 1, upper);
    }
}

/// Joins neighbours that one upstream holds, under a fence not below both.
pub(super) fn merge(parts: &mut Vec<LeasedRange>, fences: &mut u64, now: Time, hold: Duration) {
    let mut index = 1;
    while index < parts.len() {
        let joined = join(
            &parts[index - 1].state,
            &parts[index].state,
            fences,
            now - hold,
        );
        match joined {
            Some(state) => {
                parts[index - 1].last = parts[index].last;
                parts[index - 1].state = state;
                parts.remove(index);
            }
            None => index += 1,
        }
    }
}

/// State of two neighbours as one; `overdue` is a time of sending long past.
fn join(left: &State, right: &State, fences: &mut u64, overdue: Time) -> Option<State> {
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
        owner: other,
        fence: second,
        sent: also,
        lease: more,
    } = right
    else {
        return None;
    };
    if owner != other {
        return None;
    }
    let same = fence == second;
    Some(State::Held {
        owner: owner.clone(),
        fence: if same { *fence } else { next(fences) },
        sent: if same { *sent.min(also) } else { overdue },
        lease: lease.joined(*more),
    })
}
