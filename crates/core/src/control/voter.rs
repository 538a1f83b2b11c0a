//! State of a voter.

use crate::control::LEASE_DURATION;
use crate::ids::{Ballot, Instance};
use crate::time::{Time, max_with_drift};

/// Vote and highest ballot of a voter, kept in memory only.
#[derive(Clone, Debug)]
pub(super) struct Voter {
    /// Time from which votes may be granted. An earlier process with the same
    /// identity may have voted until it ended.
    ready_at: Time,
    /// Ballot voted for and end of the vote.
    vote: Option<(Ballot, Time)>,
    /// Highest ballot that may have held control.
    highest_ballot: Option<Ballot>,
    /// Ballot of the last resignation. Vote requests that it revokes may still
    /// arrive after it.
    resigned_ballot: Option<Ballot>,
}

impl Voter {
    pub(super) fn new(ready_at: Time) -> Voter {
        Voter {
            ready_at,
            vote: None,
            highest_ballot: None,
            resigned_ballot: None,
        }
    }

    pub(super) fn is_ready(&self, now: Time) -> bool {
        self.ready_at <= now
    }

    pub(super) fn highest_ballot(&self) -> Option<Ballot> {
        self.highest_ballot
    }

    /// Returns the time until which the last vote binds this voter or, without a vote,
    /// the time from which it may vote.
    pub(super) fn vote_end(&self) -> Time {
        self.vote.map_or(self.ready_at, |(_, until)| until)
    }

    /// Returns the instance that the unexpired vote is for.
    pub(super) fn voted_instance(&self, now: Time) -> Option<Instance> {
        let vote = self.vote.filter(|&(_, until)| now < until);
        vote.map(|(ballot, _)| ballot.instance)
    }

    /// Votes for the ballot, or renews the vote, unless an unexpired vote for
    /// another instance, a higher ballot or a resignation forbids it.
    pub(super) fn try_vote(&mut self, now: Time, ballot: Ballot) -> bool {
        let is_free = self
            .voted_instance(now)
            .is_none_or(|instance| instance == ballot.instance);
        let granted = is_free && self.is_high_enough(ballot) && !self.is_resigned(ballot);
        if granted {
            self.vote = Some((ballot, now + max_with_drift(LEASE_DURATION)));
        }
        granted
    }

    /// Records a ballot that may hold control.
    ///
    /// A candidate's vote for itself is recorded only after the candidate has
    /// won, so that an instance that was partitioned still accepts the holder's
    /// ballot when it reconnects.
    pub(super) fn record_ballot(&mut self, ballot: Ballot) {
        self.highest_ballot = self.highest_ballot.max(Some(ballot));
    }

    /// Ends the vote if it is for a ballot of the same instance up to `ballot`.
    /// Returns whether an unexpired vote was released.
    pub(super) fn release_vote(&mut self, now: Time, ballot: Ballot) -> bool {
        self.resigned_ballot = Some(ballot);
        let released = self
            .vote
            .is_some_and(|(given, until)| now < until && self.is_resigned(given));
        if released {
            self.vote = None;
        }
        released
    }

    /// Discards the vote and all ballots when a new term begins.
    pub(super) fn reset(&mut self) {
        *self = Voter::new(self.ready_at);
    }

    /// Returns whether the ballot is the highest one or has a higher round.
    /// Another instance must use a higher round, so that a term and round
    /// identify one holder.
    fn is_high_enough(&self, ballot: Ballot) -> bool {
        self.highest_ballot.is_none_or(|highest| {
            let round = (ballot.term, ballot.round);
            let highest_round = (highest.term, highest.round);
            round > highest_round || ballot == highest
        })
    }

    fn is_resigned(&self, ballot: Ballot) -> bool {
        self.resigned_ballot
            .is_some_and(|last| last.instance == ballot.instance && ballot <= last)
    }
}
