//! One upstream as its dispatcher or backup sees it.

use std::collections::BTreeMap;

use medlarreel_macros::data;

use super::{Action, GRANT_DURATION, MAX_RESPONSE_AGE, RENEWAL_INTERVAL, remaining};
use crate::grant::{Request, Response};
use crate::ids::{Ballot, Epoch, Instance, Shard, Upstream, Version};
use crate::preset::{Fencing, Isolation};
use crate::time::{Time, min_with_drift};
use crate::wire::{Assignment, Claim, Message, UpstreamObservation};

/// The newest answer of an upstream and its local times.
#[data(plain)]
struct Sample {
    asked: Time,
    received: Time,
    answer: Response,
}

/// Grants of an assignment that was replaced, which may still be in force.
#[data(plain)]
struct Lingering {
    until: Time,
    allowance: u16,
    shards: Vec<(Shard, Epoch)>,
}

/// Assignment, answers and use of one upstream.
#[data(plain)]
#[derive(Default)]
pub(super) struct Entry {
    pub(super) assignment: Option<Assignment>,
    /// Whether the last assignment named the upstream unchecked.
    unchecked: bool,
    /// Whether the upstream's acceptance of the assignment has been reported.
    confirmed: bool,
    /// Whether the assignment has been acknowledged.
    acknowledged: bool,
    /// Lowest version that may be followed.
    floor: Option<Version>,
    /// Stop that has not been answered yet.
    pub(super) stopping: Option<Version>,
    /// Local end of the last grant made under the assignment.
    granted: Time,
    lingering: Vec<Lingering>,
    sample: Option<Sample>,
    pub(super) due: Time,
    pub(super) exchanges: u32,
    pub(super) connections: u32,
    pub(super) served: u32,
    pub(super) busy: u32,
    pub(super) loads: BTreeMap<u16, u32>,
}

impl Entry {
    /// Whether an unchecked upstream has open exchanges or connections.
    pub(super) fn is_open(&self) -> bool {
        self.unchecked && (self.exchanges > 0 || self.connections > 0)
    }

    /// Whether the assignment outlives the holder's lease in isolation.
    pub(super) fn keeps(&self) -> bool {
        let isolation = self.assignment.as_ref().map(|known| known.isolation);
        isolation == Some(Isolation::Keep)
    }

    /// End of what the assignment may be followed until.
    pub(super) fn end(&self, lease: Option<Time>, extended: Option<Time>) -> Option<Time> {
        if self.keeps() {
            lease.max(extended)
        } else {
            lease
        }
    }

    /// Whether the upstream is served by order of an earlier holder.
    pub(super) fn is_older(&self, highest: Option<Ballot>) -> bool {
        match &self.assignment {
            Some(assignment) => Some(assignment.version.ballot) < highest,
            None => self.is_open(),
        }
    }

    pub(super) fn follow(
        &mut self,
        now: Time,
        me: Instance,
        assignment: Assignment,
    ) -> Option<Message> {
        let known = self.assignment.as_ref().map(|known| known.version);
        let version = Some(assignment.version);
        if version < self.floor || version < known {
            return None;
        }
        if version > known {
            self.retire();
            self.due = now;
            self.confirmed = false;
            let concerned = assignment.primary == me || assignment.backup == Some(me);
            self.floor = version;
            self.unchecked = assignment.fencing == Fencing::Unchecked;
            self.assignment = concerned.then_some(assignment);
            if !concerned {
                return None;
            }
        }
        self.acknowledged = false;
        self.assigned()
    }

    /// Acknowledges the assignment once its allowance is kept.
    pub(super) fn assigned(&mut self) -> Option<Message> {
        let assignment = self.assignment.as_ref()?;
        let kept = match assignment.fencing {
            Fencing::Checked => true,
            Fencing::Unchecked => self.exchanges <= u32::from(assignment.allowance),
        };
        if self.acknowledged || !kept {
            return None;
        }
        self.acknowledged = true;
        Some(Message::Assigned(assignment.upstream, assignment.version))
    }

    pub(super) fn stop(&mut self, now: Time, version: Version) {
        let known = self.assignment.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known < version) {
            self.retire();
        }
        self.lingering.retain(|old| now < old.until);
        self.floor = self.floor.max(Some(version));
        self.stopping = self.stopping.max(Some(version));
    }

    /// Answers a pending stop once nothing older is in use.
    pub(super) fn stopped(&mut self, now: Time, upstream: Upstream) -> Option<Message> {
        if self.is_open() {
            return None;
        }
        let version = self.stopping.take()?;
        let ends = self.lingering.iter().map(|old| old.until);
        let end = ends.max().unwrap_or_default();
        Some(Message::Stopped(upstream, version, remaining(now, end)))
    }

    /// Forgets the assignment with the dispatch lease; its grants end with it.
    pub(super) fn forget(&mut self) {
        self.assignment = None;
        self.lingering.clear();
    }

    fn retire(&mut self) {
        if let Some(old) = self.assignment.take() {
            self.lingering.push(Lingering {
                until: self.granted,
                allowance: old.allowance,
                shards: old.shards,
            });
        }
        self.granted = Time(0);
    }

    pub(super) fn due(
        &mut self,
        now: Time,
        me: Instance,
        upstream: Upstream,
        lease: Time,
    ) -> Option<Action> {
        let assignment = self.assignment.as_ref()?;
        let concerned = assignment.primary == me || assignment.backup == Some(me);
        if now < self.due || !concerned {
            return None;
        }
        self.due = now + RENEWAL_INTERVAL;
        let Some((deadline, end)) = self.deadline(now, lease) else {
            return Some(Action::Query(upstream));
        };
        let assignment = self.assignment.as_ref()?;
        self.granted = self.granted.max(end);
        let shards = assignment.shards.iter();
        let request = Request {
            version: assignment.version,
            incarnation: assignment.incarnation,
            shards: shards.map(|&(shard, epoch)| (shard.index, epoch)).collect(),
            allowance: assignment.allowance,
            deadline,
        };
        Some(Action::Grant(upstream, request))
    }

    /// End of a grant made now, in the upstream's and in the local clock.
    fn deadline(&self, now: Time, lease: Time) -> Option<(Time, Time)> {
        let assignment = self.assignment.as_ref()?;
        let sample = self.sample.as_ref()?;
        let granted = assignment.fencing == Fencing::Checked
            && sample.answer.incarnation == assignment.incarnation
            && now.since(sample.received) < MAX_RESPONSE_AGE;
        if !granted {
            return None;
        }
        let end = (now + GRANT_DURATION).min(lease);
        // The upstream read its clock before the answer was received here, so
        // its clock shows at least this much when the local clock shows `end`.
        let deadline = sample.answer.clock + min_with_drift(end.since(sample.received));
        Some((deadline, end))
    }

    pub(super) fn answered(
        &mut self,
        now: Time,
        upstream: Upstream,
        asked: Time,
        answer: Response,
    ) -> Option<Message> {
        // An answer that was overtaken by a later one may come from an earlier run.
        if self
            .sample
            .as_ref()
            .is_some_and(|known| asked < known.asked)
        {
            return None;
        }
        let (incarnation, version) = (answer.incarnation, answer.version);
        let first = self.sample.is_none();
        self.sample = Some(Sample {
            asked,
            received: now,
            answer,
        });
        let assignment = self.assignment.as_ref()?;
        if incarnation != assignment.incarnation {
            return None;
        }
        if first {
            self.due = now;
        }
        let accepted = version == Some(assignment.version) && !self.confirmed;
        self.confirmed |= accepted;
        accepted.then_some(Message::Granted(upstream, incarnation, assignment.version))
    }

    pub(super) fn observed(
        &mut self,
        now: Time,
        me: Instance,
        upstream: Upstream,
        highest: Option<(Ballot, Time)>,
    ) -> UpstreamObservation {
        let sample = self.sample.as_ref();
        let answer = sample.map(|sample| &sample.answer);
        let older = self.is_older(highest.map(|(ballot, _)| ballot));
        let learned = highest.map_or(now, |(_, learned)| learned);
        UpstreamObservation {
            upstream,
            response_age: sample.map(|sample| now.since(sample.received)),
            incarnation: answer.map_or(0, |answer| answer.incarnation),
            version: answer.and_then(|answer| answer.version),
            assigned_version: self.assignment.as_ref().map(|known| known.version),
            allowance: self.largest_allowance(now),
            in_use: self.is_open(),
            claims: if older {
                self.claims(now, me, learned)
            } else {
                Vec::new()
            },
            loads: std::mem::take(&mut self.loads).into_iter().collect(),
            held_shards: answer.map_or(0, |answer| answer.shards.len() as u32),
            draining: answer.is_some_and(|answer| answer.draining),
            served: std::mem::take(&mut self.served),
            busy_thousandths: self.busy,
        }
    }

    fn largest_allowance(&self, now: Time) -> u16 {
        let current = self.assignment.iter().map(|known| known.allowance);
        let old = self.lingering.iter().filter(|old| now < old.until);
        let all = current.chain(old.map(|old| old.allowance));
        all.max().unwrap_or(0)
    }

    /// Everything that the upstream may hold by this instance's orders or says it holds.
    fn claims(&self, now: Time, me: Instance, learned: Time) -> Vec<Claim> {
        let mut claims = BTreeMap::new();
        let old = self.lingering.iter().filter(|old| now < old.until);
        let old = old.flat_map(|old| &old.shards);
        let mut add = |index: u16, epoch: Epoch, held: bool| {
            let claim = Claim {
                index,
                epoch,
                confirmed: held,
            };
            let entry = claims.entry(index).or_insert(claim);
            if (claim.epoch, claim.confirmed) > (entry.epoch, entry.confirmed) {
                *entry = claim;
            }
        };
        old.for_each(|&(shard, epoch)| add(shard.index, epoch, false));
        if let Some(known) = &self.assignment {
            let dispatched = known.fencing == Fencing::Unchecked && known.primary == me;
            let shards = known.shards.iter();
            shards.for_each(|&(shard, epoch)| add(shard.index, epoch, dispatched));
        }
        let checked = self
            .assignment
            .as_ref()
            .is_some_and(|known| known.fencing == Fencing::Checked);
        if let Some(sample) = self.sample.as_ref().filter(|_| checked) {
            let held = sample.asked >= learned;
            let shards = sample.answer.shards.iter();
            shards.for_each(|&(index, epoch)| add(index, epoch, held));
        }
        claims.into_values().collect()
    }
}
