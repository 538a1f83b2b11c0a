//! Votes that an instance has collected under one ballot.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{CANDIDACY_TIMEOUT, LEASE_DURATION, Roster};
use crate::ids::{Ballot, Instance};
use crate::time::{Time, min_with_drift};
use crate::wire::VoteResponse;

/// Number of questions whose answers are still counted. The holder asks every
/// 250 ms, so answers to older questions confirm nothing that is unexpired.
const QUESTIONS: usize = 8;

/// Support of one voter.
#[derive(Clone, Copy, Debug)]
struct Support {
    /// Time before the question was sent.
    since: Time,
    /// Membership version that the voter knew.
    members: u32,
}

/// Votes under one ballot.
#[derive(Clone, Debug)]
pub(super) struct Candidacy {
    ballot: Ballot,
    started: Time,
    questions: VecDeque<(u64, Time)>,
    support: BTreeMap<Instance, Support>,
    refused: BTreeSet<Instance>,
    /// Whether a voter has seen a ballot that this one does not exceed.
    outdated: bool,
}

impl Candidacy {
    pub(super) fn new(ballot: Ballot, started: Time) -> Candidacy {
        Candidacy {
            ballot,
            started,
            questions: VecDeque::new(),
            support: BTreeMap::new(),
            refused: BTreeSet::new(),
            outdated: false,
        }
    }

    pub(super) fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub(super) fn started(&self) -> Time {
        self.started
    }

    pub(super) fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// Whether the time to collect a first majority is over.
    pub(super) fn is_over(&self, now: Time) -> bool {
        self.started + CANDIDACY_TIMEOUT <= now
    }

    pub(super) fn matches(&self, vote: &VoteResponse) -> bool {
        vote.ballot == self.ballot
    }

    pub(super) fn has_support(&self, voter: Instance) -> bool {
        self.support.contains_key(&voter)
    }

    /// Notes when a question is sent; its answers count from that time.
    pub(super) fn note_question(&mut self, now: Time, nonce: u64) {
        self.questions.push_back((nonce, now));
        if self.questions.len() > QUESTIONS {
            self.questions.pop_front();
        }
    }

    pub(super) fn count(&mut self, from: Instance, vote: &VoteResponse) {
        let question = self
            .questions
            .iter()
            .find(|(nonce, _)| *nonce == vote.nonce);
        let Some(&(_, since)) = question else {
            return;
        };
        if vote.granted {
            self.add(from, since, vote.membership_version);
        } else {
            self.refused.insert(from);
            self.outdated |= self.is_exceeded_by(vote.highest_ballot);
        }
    }

    pub(super) fn count_own(&mut self, me: Instance, now: Time, members: u32) {
        self.add(me, now, members);
    }

    /// Whether a voter that has seen `highest` needs a higher round.
    fn is_exceeded_by(&self, highest: Ballot) -> bool {
        let seen = highest.term == self.ballot.term && highest.round >= self.ballot.round;
        seen && highest != self.ballot
    }

    /// Answers arrive in any order; an older one must not shorten a vote.
    fn add(&mut self, from: Instance, since: Time, members: u32) {
        let support = Support { since, members };
        let entry = self.support.entry(from).or_insert(support);
        entry.since = entry.since.max(since);
        entry.members = entry.members.max(members);
        self.refused.remove(&from);
    }

    /// Time until which a majority of the members supports the ballot.
    pub(super) fn until(&self, roster: &Roster) -> Time {
        let mut since: Vec<Time> = self
            .support
            .iter()
            .filter(|(voter, _)| roster.contains(**voter))
            .map(|(_, support)| support.since)
            .collect();
        since.sort_unstable_by(|a, b| b.cmp(a));
        let decisive = since.get(roster.majority() - 1);
        decisive.map_or(Time(0), |&since| since + min_with_drift(LEASE_DURATION))
    }

    /// Whether so many members refused that no majority can remain.
    pub(super) fn is_lost(&self, roster: &Roster) -> bool {
        let refused = self
            .refused
            .iter()
            .filter(|voter| roster.contains(**voter))
            .count();
        roster.members.len() - refused < roster.majority()
    }

    /// Whether a majority of the members supported the ballot while knowing
    /// this membership.
    pub(super) fn informed(&self, roster: &Roster) -> bool {
        let informed = self.support.iter().filter(|(voter, support)| {
            roster.contains(**voter) && support.members >= roster.version
        });
        informed.count() >= roster.majority()
    }
}
