//! The dispatcher's side of leases and grants.
//!
//! An instance acts for upstreams only under a dispatch lease. When the lease
//! lapses it forgets all assignments and starts a new session, so that an
//! instance that was counted as stopped cannot resume an old assignment.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarreel_macros::data;

use super::{Request, Response};
use crate::ids::{Ballot, Epoch, Instance, Shard, Upstream, Version};
use crate::preset::Fencing;
use crate::time::{Time, max_with_drift, min_with_drift};
use crate::wire::{Assignment, Lease, Message, UpstreamObservation};

mod upstream_state;

use upstream_state::Entry;

/// Interval of grants and queries.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Length of a grant.
pub const GRANT_DURATION: Duration = Duration::from_millis(900);

/// Age of an answer beyond which the upstream is queried instead of granted
/// anything, so that the last grant to a frozen upstream ends soon.
pub const MAX_RESPONSE_AGE: Duration = Duration::from_millis(450);

/// Delay before the next attempt after a failed one.
const RETRY: Duration = Duration::from_millis(50);

/// What the dispatcher wants to be sent to an upstream.
#[data(value)]
pub enum Action {
    /// Ask for the upstream's state.
    Query(Upstream),
    /// Send a grant.
    Grant(Upstream, Request),
}

/// Leave to send one request now.
#[data(key)]
pub enum Permit {
    /// The upstream keeps no shards.
    Unkeyed,
    /// The shard is held under this epoch.
    Shard(Epoch),
}

/// Dispatch lease and assignments of one instance.
#[data(plain)]
pub struct Dispatcher {
    me: Instance,
    /// Highest ballot seen, and when it was first seen.
    highest: Option<(Ballot, Time)>,
    /// End of the dispatch lease, while it has not been found lapsed.
    until: Option<Time>,
    /// End of the last dispatch lease, also once it has lapsed.
    last: Time,
    /// End of the extension for upstreams whose isolation is `keep`.
    extended: Option<Time>,
    session: u32,
    entries: BTreeMap<Upstream, Entry>,
}

/// Queries.
impl Dispatcher {
    /// Dispatcher without a lease.
    pub fn new(me: Instance) -> Dispatcher {
        Dispatcher {
            me,
            highest: None,
            until: None,
            last: Time(0),
            extended: None,
            session: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Highest ballot seen.
    pub fn highest_ballot(&self) -> Option<Ballot> {
        self.highest.map(|(ballot, _)| ballot)
    }

    /// Number of leases that have lapsed, for reports.
    pub fn session(&self) -> u32 {
        self.session
    }

    /// Number of upstreams served by order of an earlier holder, for reports.
    pub fn outdated_upstreams(&self) -> u16 {
        let highest = self.highest_ballot();
        let older = |entry: &&Entry| entry.is_older(highest);
        self.entries.values().filter(older).count() as u16
    }

    /// Whether the dispatch lease is in force.
    pub fn has_lease(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Assignment that the instance follows for the upstream.
    pub fn assignment(&self, now: Time, upstream: Upstream) -> Option<&Assignment> {
        let entry = self.entries.get(&upstream)?;
        let end = self.end(entry);
        entry
            .assignment
            .as_ref()
            .filter(|_| end.is_some_and(|end| now < end))
    }

    /// End of the holder's last dispatch lease, lapsed or not.
    pub fn last_lease_end(&self) -> Time {
        self.last
    }

    /// Whether an upstream is served whose isolation is `keep`.
    pub fn has_kept_upstreams(&self) -> bool {
        self.entries.values().any(Entry::keeps)
    }

    /// Assignments of all upstreams that requests may be sent to now, and the
    /// time until which they may.
    pub fn sendable_assignments(&self, now: Time) -> impl Iterator<Item = (&Assignment, Time)> {
        self.entries.iter().filter_map(move |(upstream, entry)| {
            let assignment = self.sendable(now, *upstream)?;
            Some((assignment, self.end(entry)?))
        })
    }

    /// Requests that may be open at the upstream; 0 without a right to send.
    pub fn allowance(&self, now: Time, upstream: Upstream) -> u16 {
        let assignment = self.sendable(now, upstream);
        assignment.map_or(0, |assignment| assignment.allowance)
    }

    /// Whether a request may be sent at this moment.
    ///
    /// To be asked right before each send.
    pub fn may_send(&self, now: Time, upstream: Upstream, shard: Option<Shard>) -> Option<Permit> {
        let assignment = self.sendable(now, upstream)?;
        let Some(shard) = shard else {
            return Some(Permit::Unkeyed);
        };
        let held = assignment.shards.iter().find(|(held, _)| *held == shard);
        held.map(|&(_, epoch)| Permit::Shard(epoch))
    }

    /// Whether connections to the upstream shall be closed as they become idle.
    pub fn is_closing(&self, upstream: Upstream) -> bool {
        let entry = self.entries.get(&upstream);
        entry.is_some_and(|entry| entry.stopping.is_some())
    }

    fn sendable(&self, now: Time, upstream: Upstream) -> Option<&Assignment> {
        let assignment = self.assignment(now, upstream)?;
        let primary = assignment.primary == self.me;
        match assignment.fencing {
            Fencing::Checked => {
                (primary || assignment.backup == Some(self.me)).then_some(assignment)
            }
            Fencing::Unchecked => (primary && !self.is_closing(upstream)).then_some(assignment),
        }
    }
}

/// Commands.
impl Dispatcher {
    /// Takes over a dispatch lease that was requested at `asked`.
    pub fn handle_lease(&mut self, now: Time, asked: Time, lease: Lease) {
        self.lapse(now);
        if !self.learn(now, lease.ballot) {
            return;
        }
        let until = asked + min_with_drift(lease.duration);
        if now < until {
            self.until = self.until.max(Some(until));
            self.last = self.last.max(until);
        }
    }

    /// Takes over the end of an extension that members of the failure domain
    /// support.
    pub fn extend_lease(&mut self, now: Time, until: Time) {
        self.lapse(now);
        if now < until {
            self.extended = self.extended.max(Some(until));
        }
    }

    /// Follows an assignment of the holder and acknowledges it.
    pub fn handle_assignment(&mut self, now: Time, assignment: Assignment) -> Option<Message> {
        self.lapse(now);
        let current = self.has_lease(now) && assignment.session == self.session;
        if !current || !self.learn(now, assignment.version.ballot) {
            return None;
        }
        let (me, upstream) = (self.me, assignment.upstream);
        self.entry(upstream).follow(now, me, assignment)
    }

    /// Renews nothing older than the version from now on.
    ///
    /// The answer may be delayed until `in_use` reports that an unchecked
    /// upstream is idle.
    pub fn handle_stop(
        &mut self,
        now: Time,
        upstream: Upstream,
        version: Version,
    ) -> Option<Message> {
        self.lapse(now);
        if !self.learn(now, version.ballot) {
            return None;
        }
        let entry = self.entry(upstream);
        entry.stop(now, version);
        entry.stopped(now, upstream)
    }

    /// Notes the exchanges and connections that are open at the upstream.
    ///
    /// Returns acknowledgements that waited for them to end.
    pub fn update_usage(
        &mut self,
        now: Time,
        upstream: Upstream,
        exchanges: u32,
        connections: u32,
    ) -> Vec<Message> {
        self.lapse(now);
        let entry = self.entry(upstream);
        entry.exchanges = exchanges;
        entry.connections = connections;
        let stopped = entry.stopped(now, upstream);
        stopped.into_iter().chain(entry.assigned()).collect()
    }

    /// Counts requests that the upstream has run.
    pub fn record_served(&mut self, upstream: Upstream, shard: Option<Shard>, count: u32) {
        let entry = self.entry(upstream);
        entry.served += count;
        if let Some(shard) = shard {
            *entry.loads.entry(shard.index).or_insert(0) += count;
        }
    }

    /// Notes the slots that were busy on average, in thousandths.
    pub fn set_busy_slots(&mut self, upstream: Upstream, thousandths: u32) {
        self.entry(upstream).busy = thousandths;
    }

    /// Grants and queries that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.lapse(now);
        let (me, until, extended) = (self.me, self.until, self.extended);
        let entries = self.entries.iter_mut();
        let due = entries.filter_map(|(&upstream, entry)| {
            let until = entry.end(until, extended)?;
            entry.due(now, me, upstream, until)
        });
        due.collect()
    }

    /// Takes in an upstream's answer to a grant or query sent at `asked`.
    ///
    /// Returns the news that the upstream has accepted the assignment.
    pub fn handle_response(
        &mut self,
        now: Time,
        upstream: Upstream,
        asked: Time,
        answer: Response,
    ) -> Option<Message> {
        self.lapse(now);
        // An upstream that follows a newer holder reveals it. Without this, a
        // cut-off majority of an older term would go on, and could grant shards
        // again to an upstream that restarts and forgets the newer version.
        if let Some(version) = answer.version {
            self.learn(now, version.ballot);
        }
        let entry = self.entries.get_mut(&upstream)?;
        entry.answered(now, upstream, asked, answer)
    }

    /// Notes that a grant or query failed.
    pub fn handle_failure(&mut self, now: Time, upstream: Upstream) {
        if let Some(entry) = self.entries.get_mut(&upstream) {
            entry.due = entry.due.min(now + RETRY);
        }
    }

    /// What was seen of each upstream since the last call, for reports.
    pub fn take_observations(&mut self, now: Time) -> Vec<UpstreamObservation> {
        self.lapse(now);
        let (me, highest) = (self.me, self.highest);
        let entries = self.entries.iter_mut();
        entries
            .filter(|(_, entry)| entry.assignment.is_some() || entry.is_open())
            .map(|(&upstream, entry)| entry.observed(now, me, upstream, highest))
            .collect()
    }

    fn entry(&mut self, upstream: Upstream) -> &mut Entry {
        self.entries.entry(upstream).or_default()
    }

    /// Notes a ballot; false if a higher one was seen.
    fn learn(&mut self, now: Time, ballot: Ballot) -> bool {
        match self.highest {
            Some((highest, _)) if highest >= ballot => highest == ballot,
            _ => {
                self.highest = Some((ballot, now));
                true
            }
        }
    }

    /// Forgets everything that rested on a lease that has ended.
    fn lapse(&mut self, now: Time) {
        let lapsed = self.until.take_if(|until| now >= *until).is_some();
        let ended = self.extended.take_if(|until| now >= *until).is_some();
        self.session += u32::from(lapsed);
        if !lapsed && !ended {
            return;
        }
        let (until, extended) = (self.until, self.extended);
        let entries = self.entries.values_mut();
        entries
            .filter(|entry| entry.end(until, extended).is_none())
            .for_each(Entry::forget);
    }

    fn end(&self, entry: &Entry) -> Option<Time> {
        entry.end(self.until, self.extended)
    }
}

/// Local time that may pass until a grant with this local end is over.
fn remaining(now: Time, end: Time) -> Duration {
    max_with_drift(end.since(now))
}
