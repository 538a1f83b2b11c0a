//! Dispatcher's side of leases and grants.
//!
//! An instance acts for upstreams only under a dispatch lease. When the lease
//! expires, the instance drops its assignments and starts a new session, so that
//! an instance that was considered stopped cannot resume an old assignment.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarreel_macros::data;

use super::{Request, Response};
use crate::ids::{Ballot, Epoch, Instance, Shard, Upstream, Version};
use crate::preset::Fencing;
use crate::time::{Time, max_with_drift, min_with_drift};
use crate::wire::{Assignment, Lease, Message, UpstreamObservation};

mod upstream_state;

use upstream_state::UpstreamState;

/// Interval at which grants and queries are sent.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Duration of a grant.
pub const GRANT_DURATION: Duration = Duration::from_millis(900);

/// Age of the last response from which on the upstream is queried instead of
/// granted a lease, so that the last grant to a frozen upstream ends soon.
pub const MAX_RESPONSE_AGE: Duration = Duration::from_millis(450);

/// Delay before a failed grant or query is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Message to an upstream, which the code that calls `Dispatcher::tick` must send.
#[data(value)]
pub enum Action {
    /// Query the upstream's state.
    Query(Upstream),
    /// Send a grant.
    Grant(Upstream, Request),
}

/// Permission to send one request now.
#[data(key)]
pub enum Permit {
    /// The request belongs to no shard.
    Unkeyed,
    /// The shard is held under this epoch.
    Shard(Epoch),
}

/// Dispatch lease of one instance and state of its upstreams.
#[data(plain)]
pub struct Dispatcher {
    local_instance: Instance,
    /// Highest ballot seen, and when it was first seen.
    highest_ballot: Option<(Ballot, Time)>,
    /// End of the dispatch lease; `None` before the first one and after its expiry has
    /// been detected.
    lease_end: Option<Time>,
    /// End of the last dispatch lease, kept after it has expired.
    last_lease_end: Time,
    /// End of the dispatch lease with its extension by members of the failure domain,
    /// which counts only for upstreams whose isolation is `keep`. `None` until it is set
    /// and after its expiry has been detected.
    extension_end: Option<Time>,
    session: u32,
    upstreams: BTreeMap<Upstream, UpstreamState>,
}

/// Queries.
impl Dispatcher {
    /// Creates a dispatcher without a lease.
    pub fn new(local_instance: Instance) -> Dispatcher {
        Dispatcher {
            local_instance,
            highest_ballot: None,
            lease_end: None,
            last_lease_end: Time(0),
            extension_end: None,
            session: 0,
            upstreams: BTreeMap::new(),
        }
    }

    /// Returns the highest ballot seen; `None` before the first one.
    pub fn highest_ballot(&self) -> Option<Ballot> {
        self.highest_ballot.map(|(ballot, _)| ballot)
    }

    /// Returns the current session, for reports: the number of dispatch leases that have
    /// expired since the instance started.
    pub fn session(&self) -> u32 {
        self.session
    }

    /// Returns the number of upstreams served by order of an earlier holder, for
    /// reports.
    pub fn outdated_upstreams(&self) -> u16 {
        let highest_ballot = self.highest_ballot();
        let has_outdated_use = |state: &&UpstreamState| state.has_outdated_use(highest_ballot);
        self.upstreams.values().filter(has_outdated_use).count() as u16
    }

    /// Returns whether the dispatch lease is valid at `now`.
    pub fn has_lease(&self, now: Time) -> bool {
        self.lease_end.is_some_and(|lease_end| now < lease_end)
    }

    /// Returns the assignment that the instance follows for the upstream; `None` without
    /// one, or if the lease or extension that covers it has expired at `now`.
    pub fn assignment(&self, now: Time, upstream: Upstream) -> Option<&Assignment> {
        let state = self.upstreams.get(&upstream)?;
        let end = self.effective_lease_end(state);
        state
            .assignment
            .as_ref()
            .filter(|_| end.is_some_and(|end| now < end))
    }

    /// Returns the end of the last dispatch lease from the holder, even if expired.
    pub fn last_lease_end(&self) -> Time {
        self.last_lease_end
    }

    /// Returns whether the instance serves an upstream whose isolation is `keep`.
    pub fn has_kept_upstreams(&self) -> bool {
        self.upstreams
            .values()
            .any(UpstreamState::has_keep_isolation)
    }

    /// Returns the assignments of all upstreams that requests may be sent to at
    /// `now`, each with the time until which this is allowed.
    pub fn sendable_assignments(&self, now: Time) -> impl Iterator<Item = (&Assignment, Time)> {
        self.upstreams.iter().filter_map(move |(upstream, state)| {
            let assignment = self.sendable_assignment(now, *upstream)?;
            Some((assignment, self.effective_lease_end(state)?))
        })
    }

    /// Returns how many requests may be open at the upstream, 0 if none may be sent.
    pub fn allowance(&self, now: Time, upstream: Upstream) -> u16 {
        let assignment = self.sendable_assignment(now, upstream);
        assignment.map_or(0, |assignment| assignment.allowance)
    }

    /// Returns a permit if a request may be sent at `now`.
    ///
    /// Must be called immediately before each send.
    pub fn may_send(&self, now: Time, upstream: Upstream, shard: Option<Shard>) -> Option<Permit> {
        let assignment = self.sendable_assignment(now, upstream)?;
        let Some(shard) = shard else {
            return Some(Permit::Unkeyed);
        };
        let held = assignment.shards.iter().find(|(held, _)| *held == shard);
        held.map(|&(_, epoch)| Permit::Shard(epoch))
    }

    /// Returns whether the upstream has a stop order that was not acknowledged yet.
    /// Connections to it must then be closed once they are idle.
    pub fn has_pending_stop(&self, upstream: Upstream) -> bool {
        let state = self.upstreams.get(&upstream);
        state.is_some_and(|state| state.pending_stop.is_some())
    }

    fn sendable_assignment(&self, now: Time, upstream: Upstream) -> Option<&Assignment> {
        let assignment = self.assignment(now, upstream)?;
        let is_primary = assignment.primary == self.local_instance;
        match assignment.fencing {
            Fencing::Checked => {
                (is_primary || assignment.backup == Some(self.local_instance)).then_some(assignment)
            }
            Fencing::Unchecked => {
                (is_primary && !self.has_pending_stop(upstream)).then_some(assignment)
            }
        }
    }
}

/// Commands.
impl Dispatcher {
    /// Renews the dispatch lease with one that was requested at `sent_at`. Ignores a
    /// lease that has already expired or comes from an outdated holder.
    pub fn handle_lease(&mut self, now: Time, sent_at: Time, lease: Lease) {
        self.expire_leases(now);
        if !self.observe_ballot(now, lease.ballot) {
            return;
        }
        let lease_end = sent_at + min_with_drift(lease.duration);
        if now < lease_end {
            self.lease_end = self.lease_end.max(Some(lease_end));
            self.last_lease_end = self.last_lease_end.max(lease_end);
        }
    }

    /// Sets the end of the dispatch lease with the extension that members of the failure
    /// domain support. It counts only for upstreams whose isolation is `keep`.
    pub fn extend_lease(&mut self, now: Time, extension_end: Time) {
        self.expire_leases(now);
        if now < extension_end {
            self.extension_end = self.extension_end.max(Some(extension_end));
        }
    }

    /// Follows an assignment of the holder and returns its acknowledgement.
    ///
    /// Returns `None` if the instance has no lease, or if the assignment is outdated or
    /// for other dispatchers. The acknowledgement for an unchecked upstream may be
    /// delayed until `update_usage` reports no more exchanges than the new allowance.
    pub fn handle_assignment(&mut self, now: Time, assignment: Assignment) -> Option<Message> {
        self.expire_leases(now);
        let is_current = self.has_lease(now) && assignment.session == self.session;
        if !is_current || !self.observe_ballot(now, assignment.version.ballot) {
            return None;
        }
        let (local_instance, upstream) = (self.local_instance, assignment.upstream);
        self.state_mut(upstream)
            .follow_assignment(now, local_instance, assignment)
    }

    /// Stops renewing grants older than the version and returns the acknowledgement.
    ///
    /// Returns `None` if the order comes from an outdated holder. The acknowledgement may
    /// be delayed until `update_usage` reports that an unchecked upstream is idle.
    pub fn handle_stop(
        &mut self,
        now: Time,
        upstream: Upstream,
        version: Version,
    ) -> Option<Message> {
        self.expire_leases(now);
        if !self.observe_ballot(now, version.ballot) {
            return None;
        }
        let state = self.state_mut(upstream);
        state.begin_stop(now, version);
        state.acknowledge_stop(now, upstream)
    }

    /// Updates the number of open exchanges and connections at the upstream.
    ///
    /// Returns the delayed acknowledgements that the new numbers permit.
    pub fn update_usage(
        &mut self,
        now: Time,
        upstream: Upstream,
        exchanges: u32,
        connections: u32,
    ) -> Vec<Message> {
        self.expire_leases(now);
        let state = self.state_mut(upstream);
        state.exchanges = exchanges;
        state.connections = connections;
        let stop = state.acknowledge_stop(now, upstream);
        stop.into_iter()
            .chain(state.acknowledge_assignment())
            .collect()
    }

    /// Adds to the number of requests that the upstream has run since the last
    /// `take_observations`. Requests for a shard count as the shard's load too.
    pub fn record_served(&mut self, upstream: Upstream, shard: Option<Shard>, count: u32) {
        let state = self.state_mut(upstream);
        state.served += count;
        if let Some(shard) = shard {
            *state.loads.entry(shard.index).or_insert(0) += count;
        }
    }

    /// Sets the number of busy slots, in thousandths of the allowance.
    pub fn set_busy_slots(&mut self, upstream: Upstream, thousandths: u32) {
        self.state_mut(upstream).busy_thousandths = thousandths;
    }

    /// Returns the grants and queries that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.expire_leases(now);
        let (local_instance, lease_end, extension_end) =
            (self.local_instance, self.lease_end, self.extension_end);
        let states = self.upstreams.iter_mut();
        let due = states.filter_map(|(&upstream, state)| {
            let lease_end = state.lease_end(lease_end, extension_end)?;
            state.next_action(now, local_instance, upstream, lease_end)
        });
        due.collect()
    }

    /// Processes an upstream's response to a grant or query sent at `sent_at`.
    ///
    /// Returns a message for the holder if the upstream has newly accepted the
    /// assignment.
    pub fn handle_response(
        &mut self,
        now: Time,
        upstream: Upstream,
        sent_at: Time,
        response: Response,
    ) -> Option<Message> {
        self.expire_leases(now);
        // The response of an upstream that follows a newer holder reveals that
        // holder. Otherwise a partitioned majority of an older term would continue,
        // and could grant shards again to an upstream that restarts and loses the
        // newer version.
        if let Some(version) = response.version {
            self.observe_ballot(now, version.ballot);
        }
        let state = self.upstreams.get_mut(&upstream)?;
        state.handle_response(now, upstream, sent_at, response)
    }

    /// Schedules a retry after a failed grant or query.
    pub fn handle_failure(&mut self, now: Time, upstream: Upstream) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.next_send_at = state.next_send_at.min(now + RETRY_DELAY);
        }
    }

    /// Returns the observations of each upstream since the last call, for reports.
    pub fn take_observations(&mut self, now: Time) -> Vec<UpstreamObservation> {
        self.expire_leases(now);
        let (local, highest) = (self.local_instance, self.highest_ballot);
        let states = self.upstreams.iter_mut();
        states
            .filter(|(_, state)| state.assignment.is_some() || state.is_in_use())
            .map(|(&upstream, state)| state.take_observation(now, local, upstream, highest))
            .collect()
    }

    fn state_mut(&mut self, upstream: Upstream) -> &mut UpstreamState {
        self.upstreams.entry(upstream).or_default()
    }

    /// Records a ballot. Returns false if a higher one has been seen.
    fn observe_ballot(&mut self, now: Time, ballot: Ballot) -> bool {
        match self.highest_ballot {
            Some((highest, _)) if highest >= ballot => highest == ballot,
            _ => {
                self.highest_ballot = Some((ballot, now));
                true
            }
        }
    }

    /// Ends expired leases, and drops the assignments that no valid lease or extension
    /// covers any more.
    fn expire_leases(&mut self, now: Time) {
        let lease_expired = self.lease_end.take_if(|end| now >= *end).is_some();
        let extension_expired = self.extension_end.take_if(|end| now >= *end).is_some();
        self.session += u32::from(lease_expired);
        if !lease_expired && !extension_expired {
            return;
        }
        let (lease_end, extension_end) = (self.lease_end, self.extension_end);
        let states = self.upstreams.values_mut();
        states
            .filter(|state| state.lease_end(lease_end, extension_end).is_none())
            .for_each(UpstreamState::drop_assignment);
    }

    /// Returns the time until which the upstream's assignment may be followed.
    fn effective_lease_end(&self, state: &UpstreamState) -> Option<Time> {
        state.lease_end(self.lease_end, self.extension_end)
    }
}

/// Returns the longest time that another instance's clock may show until the local
/// clock reaches `end`.
fn max_remaining(now: Time, end: Time) -> Duration {
    max_with_drift(end.since(now))
}
