//! Collection of votes under one ballot.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{CANDIDACY_TIMEOUT, LEASE_DURATION, Membership};
use crate::ids::{Ballot, Instance};
use crate::time::{Time, min_with_drift};
use crate::wire::VoteResponse;

/// Number of requests whose responses are still counted. The holder sends one
/// every 250 ms, so a vote in response to an older request has already expired.
const MAX_TRACKED_REQUESTS: usize = 8;

/// Vote of one voter for the ballot.
#[derive(Clone, Copy, Debug)]
struct Support {
    /// Local time just before the newest granted request was sent.
    sent_at: Time,
    /// Newest membership version that the voter reported.
    membership_version: u32,
}

/// Requests sent and votes received under one ballot.
#[derive(Clone, Debug)]
pub(super) struct Candidacy {
    ballot: Ballot,
    started_at: Time,
    /// Nonces and send times of the most recent requests.
    requests: VecDeque<(u64, Time)>,
    support: BTreeMap<Instance, Support>,
    refused: BTreeSet<Instance>,
    /// Whether a voter that refused has seen another ballot of the same or a higher
    /// round, so that this instance needs a higher round.
    outdated: bool,
}

impl Candidacy {
    pub(super) fn new(ballot: Ballot, started_at: Time) -> Candidacy {
        Candidacy {
            ballot,
            started_at,
            requests: VecDeque::new(),
            support: BTreeMap::new(),
            refused: BTreeSet::new(),
            outdated: false,
        }
    }

    pub(super) fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub(super) fn started_at(&self) -> Time {
        self.started_at
    }

    pub(super) fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// Returns whether the time to collect a first majority has passed.
    pub(super) fn has_timed_out(&self, now: Time) -> bool {
        self.started_at + CANDIDACY_TIMEOUT <= now
    }

    pub(super) fn matches(&self, response: &VoteResponse) -> bool {
        response.ballot == self.ballot
    }

    pub(super) fn has_vote_from(&self, voter: Instance) -> bool {
        self.support.contains_key(&voter)
    }

    /// Records when a request is sent. Votes in response count from that time.
    pub(super) fn record_request(&mut self, now: Time, nonce: u64) {
        self.requests.push_back((nonce, now));
        if self.requests.len() > MAX_TRACKED_REQUESTS {
            self.requests.pop_front();
        }
    }

    /// Counts a response to one of the recorded requests and ignores any other.
    pub(super) fn count_response(&mut self, from: Instance, response: &VoteResponse) {
        let request = self
            .requests
            .iter()
            .find(|(nonce, _)| *nonce == response.nonce);
        let Some(&(_, sent_at)) = request else {
            return;
        };
        if response.granted {
            self.add_support(from, sent_at, response.membership_version);
        } else {
            self.refused.insert(from);
            self.outdated |= self.is_exceeded_by(response.highest_ballot);
        }
    }

    pub(super) fn count_own_vote(
        &mut self,
        local_instance: Instance,
        now: Time,
        membership_version: u32,
    ) {
        self.add_support(local_instance, now, membership_version);
    }

    /// Returns whether a voter that has seen `highest` requires a higher round.
    fn is_exceeded_by(&self, highest: Ballot) -> bool {
        let is_reached = highest.term == self.ballot.term && highest.round >= self.ballot.round;
        is_reached && highest != self.ballot
    }

    /// Adds a vote. Responses can arrive out of order, so an older one must not
    /// shorten a vote.
    fn add_support(&mut self, from: Instance, sent_at: Time, membership_version: u32) {
        let support = Support {
            sent_at,
            membership_version,
        };
        let entry = self.support.entry(from).or_insert(support);
        entry.sent_at = entry.sent_at.max(sent_at);
        entry.membership_version = entry.membership_version.max(membership_version);
        self.refused.remove(&from);
    }

    /// Returns the time until which a majority of the members supports the ballot.
    pub(super) fn support_end(&self, membership: &Membership) -> Time {
        let mut sent_times: Vec<Time> = self
            .support
            .iter()
            .filter(|(voter, _)| membership.contains(**voter))
            .map(|(_, support)| support.sent_at)
            .collect();
        sent_times.sort_unstable_by(|a, b| b.cmp(a));
        let decisive = sent_times.get(membership.majority() - 1);
        decisive.map_or(Time(0), |&sent_at| sent_at + min_with_drift(LEASE_DURATION))
    }

    /// Returns whether so many members refused that a majority is out of reach.
    pub(super) fn cannot_win(&self, membership: &Membership) -> bool {
        let refused = self
            .refused
            .iter()
            .filter(|voter| membership.contains(**voter))
            .count();
        membership.members.len() - refused < membership.majority()
    }

    /// Returns whether a majority of the members voted for the ballot while
    /// knowing this membership version or a newer one.
    pub(super) fn has_informed_majority(&self, membership: &Membership) -> bool {
        let informed = self.support.iter().filter(|(voter, support)| {
            membership.contains(**voter) && support.membership_version >= membership.version
        });
        informed.count() >= membership.majority()
    }
}
