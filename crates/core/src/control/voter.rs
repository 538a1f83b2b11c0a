//! What a voter remembers.

use crate::control::LEASE_DURATION;
use crate::ids::{Ballot, Instance};
use crate::time::{Time, max_with_drift};

/// Vote and highest ballot of a voter, in memory only.
#[derive(Clone, Debug)]
pub(super) struct Voter {
    /// Time from which votes are given. A process that ran under the same
    /// identity before may have voted until its end.
    ready: Time,
    vote: Option<(Ballot, Time)>,
    /// Highest ballot that may have held control.
    highest: Option<Ballot>,
    /// Ballot of the last resignation; questions may arrive after it.
    resigned: Option<Ballot>,
}

impl Voter {
    pub(super) fn new(ready: Time) -> Voter {
        Voter {
            ready,
            vote: None,
            highest: None,
            resigned: None,
        }
    }

    pub(super) fn is_ready(&self, now: Time) -> bool {
        self.ready <= now
    }

    pub(super) fn highest(&self) -> Option<Ballot> {
        self.highest
    }

    /// Time until which the last vote binds.
    pub(super) fn bound_until(&self) -> Time {
        self.vote.map_or(self.ready, |(_, until)| until)
    }

    /// Instance that the unexpired vote is for.
    pub(super) fn bound_to(&self, now: Time) -> Option<Instance> {
        let vote = self.vote.filter(|&(_, until)| now < until);
        vote.map(|(ballot, _)| ballot.instance)
    }

    /// Votes for the ballot, or renews the vote, if that breaks no promise.
    pub(super) fn grant(&mut self, now: Time, ballot: Ballot) -> bool {
        let free = self
            .bound_to(now)
            .is_none_or(|instance| instance == ballot.instance);
        let granted = free && self.is_high_enough(ballot) && !self.is_resigned(ballot);
        if granted {
            self.vote = Some((ballot, now + max_with_drift(LEASE_DURATION)));
        }
        granted
    }

    /// Remembers a ballot that may hold control. The vote of a candidate for
    /// itself is recorded only once it has won, so that an instance that was
    /// cut off still accepts the ballot of the holder when it returns.
    pub(super) fn record(&mut self, ballot: Ballot) {
        self.highest = self.highest.max(Some(ballot));
    }

    /// Ends the vote for any ballot of the same instance up to `ballot`.
    pub(super) fn release(&mut self, now: Time, ballot: Ballot) -> bool {
        self.resigned = Some(ballot);
        let released = self
            .vote
            .is_some_and(|(given, until)| now < until && self.is_resigned(given));
        if released {
            self.vote = None;
        }
        released
    }

    /// Forgets the ballots of a term that has ended.
    pub(super) fn forget(&mut self) {
        *self = Voter::new(self.ready);
    }

    /// A different instance needs a higher round, so that a term and a round
    /// name one holder.
    fn is_high_enough(&self, ballot: Ballot) -> bool {
        self.highest.is_none_or(|highest| {
            let rank = (ballot.term, ballot.round);
            let limit = (highest.term, highest.round);
            rank > limit || ballot == highest
        })
    }

    fn is_resigned(&self, ballot: Ballot) -> bool {
        self.resigned
            .is_some_and(|last| last.instance == ballot.instance && ballot <= last)
    }
}
