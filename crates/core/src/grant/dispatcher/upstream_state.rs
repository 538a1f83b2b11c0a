//! State of one upstream at its dispatcher or backup.

use std::collections::BTreeMap;

use medlarreel_macros::data;

use super::{Action, GRANT_DURATION, MAX_RESPONSE_AGE, RENEWAL_INTERVAL, max_remaining};
use crate::grant::{Request, Response};
use crate::ids::{Ballot, Epoch, Instance, Shard, Upstream, Version};
use crate::preset::{Fencing, Isolation};
use crate::time::{Time, min_with_drift};
use crate::wire::{Assignment, Claim, Message, UpstreamObservation};

/// Latest response of an upstream and the local times of its exchange.
#[data(plain)]
struct ResponseSample {
    sent_at: Time,
    received_at: Time,
    response: Response,
}

/// Grants of a replaced assignment, which may still be in force.
#[data(plain)]
struct ReplacedGrants {
    until: Time,
    allowance: u16,
    shards: Vec<(Shard, Epoch)>,
}

/// Assignment, latest response and usage of one upstream.
#[data(plain)]
#[derive(Default)]
pub(super) struct UpstreamState {
    pub(super) assignment: Option<Assignment>,
    /// Whether the upstream was unchecked in the last assignment.
    unchecked: bool,
    /// Whether the upstream's acceptance of the assignment has been reported.
    acceptance_reported: bool,
    /// Whether the assignment has been acknowledged.
    acknowledged: bool,
    /// Lowest version that may be followed.
    min_version: Option<Version>,
    /// Version of a stop that has not been acknowledged yet.
    pub(super) pending_stop: Option<Version>,
    /// Local time at which the last grant under the assignment ends.
    last_grant_end: Time,
    replaced_grants: Vec<ReplacedGrants>,
    sample: Option<ResponseSample>,
    pub(super) next_send_at: Time,
    pub(super) exchanges: u32,
    pub(super) connections: u32,
    /// Requests that the upstream has run since the last observation was taken.
    pub(super) served: u32,
    /// Busy slots, in thousandths of the allowance.
    pub(super) busy_thousandths: u32,
    /// `served` by index of the shard, for requests that belong to one.
    pub(super) loads: BTreeMap<u16, u32>,
}

impl UpstreamState {
    /// Returns whether an unchecked upstream has open exchanges or connections.
    pub(super) fn is_in_use(&self) -> bool {
        self.unchecked && (self.exchanges > 0 || self.connections > 0)
    }

    /// Returns whether the assignment can outlast the holder's lease while the
    /// failure domain is isolated.
    pub(super) fn has_keep_isolation(&self) -> bool {
        let isolation = self.assignment.as_ref().map(|current| current.isolation);
        isolation == Some(Isolation::Keep)
    }

    /// Returns the time until which the assignment may be followed; `None` if neither a
    /// lease nor an extension covers it.
    pub(super) fn lease_end(
        &self,
        lease_end: Option<Time>,
        extension_end: Option<Time>,
    ) -> Option<Time> {
        if self.has_keep_isolation() {
            lease_end.max(extension_end)
        } else {
            lease_end
        }
    }

    /// Returns whether the upstream is served by order of an earlier holder or, if it is
    /// unchecked, is still in use without an assignment.
    pub(super) fn has_outdated_use(&self, highest_ballot: Option<Ballot>) -> bool {
        match &self.assignment {
            Some(assignment) => Some(assignment.version.ballot) < highest_ballot,
            None => self.is_in_use(),
        }
    }

    /// Follows the assignment unless it is older than the current one or than the
    /// lowest allowed version. Returns the acknowledgement, if it is not delayed.
    pub(super) fn follow_assignment(
        &mut self,
        now: Time,
        local_instance: Instance,
        assignment: Assignment,
    ) -> Option<Message> {
        let current_version = self.assignment.as_ref().map(|current| current.version);
        let version = Some(assignment.version);
        if version < self.min_version || version < current_version {
            return None;
        }
        if version > current_version {
            self.retire_assignment();
            self.next_send_at = now;
            self.acceptance_reported = false;
            let is_dispatcher =
                assignment.primary == local_instance || assignment.backup == Some(local_instance);
            self.min_version = version;
            self.unchecked = assignment.fencing == Fencing::Unchecked;
            self.assignment = is_dispatcher.then_some(assignment);
            if !is_dispatcher {
                return None;
            }
        }
        self.acknowledged = false;
        self.acknowledge_assignment()
    }

    /// Acknowledges the assignment, for an unchecked upstream once its allowance is not
    /// exceeded.
    pub(super) fn acknowledge_assignment(&mut self) -> Option<Message> {
        let assignment = self.assignment.as_ref()?;
        let is_within_allowance = match assignment.fencing {
            Fencing::Checked => true,
            Fencing::Unchecked => self.exchanges <= u32::from(assignment.allowance),
        };
        if self.acknowledged || !is_within_allowance {
            return None;
        }
        self.acknowledged = true;
        Some(Message::Assigned(assignment.upstream, assignment.version))
    }

    /// Stops following an assignment older than the version.
    pub(super) fn begin_stop(&mut self, now: Time, version: Version) {
        let current_version = self.assignment.as_ref().map(|current| current.version);
        if current_version.is_some_and(|current| current < version) {
            self.retire_assignment();
        }
        self.replaced_grants.retain(|old| now < old.until);
        self.min_version = self.min_version.max(Some(version));
        self.pending_stop = self.pending_stop.max(Some(version));
    }

    /// Acknowledges a pending stop once no older assignment is in use.
    pub(super) fn acknowledge_stop(&mut self, now: Time, upstream: Upstream) -> Option<Message> {
        if self.is_in_use() {
            return None;
        }
        let version = self.pending_stop.take()?;
        let ends = self.replaced_grants.iter().map(|old| old.until);
        let end = ends.max().unwrap_or_default();
        Some(Message::Stopped(upstream, version, max_remaining(now, end)))
    }

    /// Drops the assignment when its lease has expired. Its grants have ended too.
    pub(super) fn drop_assignment(&mut self) {
        self.assignment = None;
        self.replaced_grants.clear();
    }

    /// Ends the current assignment and keeps its grants until they expire.
    fn retire_assignment(&mut self) {
        if let Some(old) = self.assignment.take() {
            self.replaced_grants.push(ReplacedGrants {
                until: self.last_grant_end,
                allowance: old.allowance,
                shards: old.shards,
            });
        }
        self.last_grant_end = Time(0);
    }

    /// Returns the grant or query that is due.
    pub(super) fn next_action(
        &mut self,
        now: Time,
        local_instance: Instance,
        upstream: Upstream,
        lease_end: Time,
    ) -> Option<Action> {
        let assignment = self.assignment.as_ref()?;
        let is_dispatcher =
            assignment.primary == local_instance || assignment.backup == Some(local_instance);
        if now < self.next_send_at || !is_dispatcher {
            return None;
        }
        self.next_send_at = now + RENEWAL_INTERVAL;
        let Some((deadline, end)) = self.grant_deadline(now, lease_end) else {
            return Some(Action::Query(upstream));
        };
        let assignment = self.assignment.as_ref()?;
        self.last_grant_end = self.last_grant_end.max(end);
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

    /// Returns the end of a grant made at `now`, in the upstream's and in the local
    /// clock, or `None` if no grant may be made.
    fn grant_deadline(&self, now: Time, lease_end: Time) -> Option<(Time, Time)> {
        let assignment = self.assignment.as_ref()?;
        let sample = self.sample.as_ref()?;
        let may_grant = assignment.fencing == Fencing::Checked
            && sample.response.incarnation == assignment.incarnation
            && now.since(sample.received_at) < MAX_RESPONSE_AGE;
        if !may_grant {
            return None;
        }
        let end = (now + GRANT_DURATION).min(lease_end);
        // The upstream read its clock before the response was received here, so its
        // clock shows at least this value when the local clock shows `end`.
        let deadline = sample.response.clock + min_with_drift(end.since(sample.received_at));
        Some((deadline, end))
    }

    /// Processes a response to a grant or query sent at `sent_at`. Returns a message
    /// for the holder if the upstream has newly accepted the assignment.
    pub(super) fn handle_response(
        &mut self,
        now: Time,
        upstream: Upstream,
        sent_at: Time,
        response: Response,
    ) -> Option<Message> {
        // A response overtaken by a later one may come from an earlier process run.
        if self
            .sample
            .as_ref()
            .is_some_and(|last| sent_at < last.sent_at)
        {
            return None;
        }
        let (incarnation, version) = (response.incarnation, response.version);
        let is_first = self.sample.is_none();
        self.sample = Some(ResponseSample {
            sent_at,
            received_at: now,
            response,
        });
        let assignment = self.assignment.as_ref()?;
        if incarnation != assignment.incarnation {
            return None;
        }
        if is_first {
            self.next_send_at = now;
        }
        let newly_accepted = version == Some(assignment.version) && !self.acceptance_reported;
        self.acceptance_reported |= newly_accepted;
        newly_accepted.then_some(Message::Granted(upstream, incarnation, assignment.version))
    }

    /// Returns what was observed since the last call and resets the counters.
    pub(super) fn take_observation(
        &mut self,
        now: Time,
        local_instance: Instance,
        upstream: Upstream,
        highest_ballot: Option<(Ballot, Time)>,
    ) -> UpstreamObservation {
        let sample = self.sample.as_ref();
        let response = sample.map(|sample| &sample.response);
        let has_outdated_use = self.has_outdated_use(highest_ballot.map(|(ballot, _)| ballot));
        let ballot_seen_at = highest_ballot.map_or(now, |(_, seen_at)| seen_at);
        UpstreamObservation {
            upstream,
            response_age: sample.map(|sample| now.since(sample.received_at)),
            incarnation: response.map_or(0, |response| response.incarnation),
            version: response.and_then(|response| response.version),
            assigned_version: self.assignment.as_ref().map(|current| current.version),
            allowance: self.largest_allowance(now),
            in_use: self.is_in_use(),
            claims: if has_outdated_use {
                self.shard_claims(now, local_instance, ballot_seen_at)
            } else {
                Vec::new()
            },
            loads: std::mem::take(&mut self.loads).into_iter().collect(),
            held_shards: response.map_or(0, |response| response.shards.len() as u32),
            draining: response.is_some_and(|response| response.draining),
            served: std::mem::take(&mut self.served),
            busy_thousandths: self.busy_thousandths,
        }
    }

    /// Returns the largest allowance of any grant that may still be in force.
    fn largest_allowance(&self, now: Time) -> u16 {
        let current = self.assignment.iter().map(|current| current.allowance);
        let replaced = self.replaced_grants.iter().filter(|old| now < old.until);
        let allowances = current.chain(replaced.map(|old| old.allowance));
        allowances.max().unwrap_or(0)
    }

    /// Returns all shards that the upstream may hold by order of this instance, or
    /// reports that it holds.
    fn shard_claims(
        &self,
        now: Time,
        local_instance: Instance,
        ballot_seen_at: Time,
    ) -> Vec<Claim> {
        let mut claims = BTreeMap::new();
        let replaced = self.replaced_grants.iter().filter(|old| now < old.until);
        let replaced = replaced.flat_map(|old| &old.shards);
        let mut add_claim = |index: u16, epoch: Epoch, confirmed: bool| {
            let claim = Claim {
                index,
                epoch,
                confirmed,
            };
            let entry = claims.entry(index).or_insert(claim);
            if (claim.epoch, claim.confirmed) > (entry.epoch, entry.confirmed) {
                *entry = claim;
            }
        };
        replaced.for_each(|&(shard, epoch)| add_claim(shard.index, epoch, false));
        if let Some(current) = &self.assignment {
            let confirmed =
                current.fencing == Fencing::Unchecked && current.primary == local_instance;
            let shards = current.shards.iter();
            shards.for_each(|&(shard, epoch)| add_claim(shard.index, epoch, confirmed));
        }
        let is_checked = self
            .assignment
            .as_ref()
            .is_some_and(|current| current.fencing == Fencing::Checked);
        if let Some(sample) = self.sample.as_ref().filter(|_| is_checked) {
            let confirmed = sample.sent_at >= ballot_seen_at;
            let shards = sample.response.shards.iter();
            shards.for_each(|&(index, epoch)| add_claim(index, epoch, confirmed));
        }
        claims.into_values().collect()
    }
}
