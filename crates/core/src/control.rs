//! Election of a club's control holder by time-limited majority votes.
//!
//! Every admitted member is a voter. A vote binds its voter to one instance for
//! `LEASE` plus a margin, counted from receipt of the question; the holder
//! counts `LEASE` less a margin, from before it asked. While one instance holds
//! a majority of votes, no other instance can hold one, because any two
//! majorities that may be in use at a time overlap.
//!
//! Membership changes by one member at a time. Let v+1 follow v. The next
//! change begins only after a majority of the members of v+1 has voted for the
//! holder while knowing v+1. These voters refuse every candidate that knows no
//! more than v, and every majority of v contains one of them, so majorities of
//! v are out of use before v+2 exists.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::fold::ClubState;
use crate::ids::{Ballot, Instance, Offset};
use crate::time::{Time, max_with_drift};
use crate::wire::{Message, VoteRequest, VoteResponse};

mod candidacy;
pub mod extension;
mod voter;

use candidacy::Candidacy;
use voter::Voter;

/// Time for which a vote binds its voter, before the margin for drift.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_000);

/// Interval at which the holder renews its votes.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a candidate repeats its question to silent voters.
pub const VOTE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a candidate without a majority gives up.
pub const CANDIDACY_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest wait before an instance stands.
pub const MIN_CANDIDACY_DELAY: Duration = Duration::from_millis(50);

/// Range of the random part of that wait; spreads candidates over many times
/// the round trip, so that they seldom split the votes.
pub const CANDIDACY_DELAY_JITTER: Duration = Duration::from_millis(300);

/// Time for which an instance does not stand after it resigned on request.
/// Others take over within 2 s; after that, a club with no other candidate
/// gets its holder back.
pub const RESIGNATION_COOLDOWN: Duration = Duration::from_millis(2_000);

/// Members of the club under one membership version.
#[derive(Clone, Debug, Default)]
struct Roster {
    version: u32,
    members: BTreeSet<Instance>,
}

impl Roster {
    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn contains(&self, instance: Instance) -> bool {
        self.members.contains(&instance)
    }
}

/// One instance's part in the election: voter, candidate and holder.
#[derive(Clone, Debug)]
pub struct Election {
    me: Instance,
    term: Offset,
    /// Newest membership that was folded.
    roster: Roster,
    /// Previous membership, whose majority still counts while this instance
    /// holds control and no majority of `roster` has confirmed the new one.
    /// Without it a holder would lose control by admitting a silent member.
    previous: Option<Roster>,
    /// Highest ballot that wrote a record of the current term.
    logged: Option<Ballot>,
    voter: Voter,
    /// Highest round of the term that this instance has used or heard of.
    round: u32,
    /// Votes by which this instance holds control.
    held: Option<Candidacy>,
    /// Votes that it is collecting under a new ballot.
    trial: Option<Candidacy>,
    nonce: u64,
    next_ask: Time,
    stand_at: Option<Time>,
    abstain_until: Time,
    outbox: Vec<(Instance, Message)>,
}

/// Queries.
impl Election {
    /// Ballot under which control is held at `now`, if it is held.
    pub fn held_ballot(&self, now: Time) -> Option<Ballot> {
        let held = self.held.as_ref()?;
        (now < self.held_until(held)).then_some(held.ballot())
    }

    /// End of the control lease, as far as votes have renewed it.
    pub fn lease_end(&self) -> Option<Time> {
        self.held.as_ref().map(|held| self.held_until(held))
    }

    /// Best guess of the holder: the instance that this one's unexpired vote
    /// is for.
    pub fn holder(&self, now: Time) -> Option<Instance> {
        let guess = self.voter.bound_to(now)?;
        (guess != self.me || self.held_ballot(now).is_some()).then_some(guess)
    }

    /// Whether this instance, as holder, may begin the next membership change.
    ///
    /// A majority of the voters has voted for it while knowing the current
    /// membership. The log has also accepted a record under the present
    /// ballot, so no change of an earlier holder can still be accepted. The
    /// caller keeps at most one change of its own undecided.
    pub fn can_change_membership(&self, now: Time) -> bool {
        let Some(held) = &self.held else {
            return false;
        };
        self.held_ballot(now).is_some()
            && self.previous.is_none()
            && self.logged == Some(held.ballot())
            && held.informed(&self.roster)
    }

    fn held_until(&self, held: &Candidacy) -> Time {
        held.until(self.previous.as_ref().unwrap_or(&self.roster))
    }

    fn may_vote(&self, now: Time) -> bool {
        self.roster.contains(self.me) && self.voter.is_ready(now)
    }

    fn others(&self) -> impl Iterator<Item = Instance> + '_ {
        let me = self.me;
        let members = self.roster.members.iter().copied();
        members.filter(move |&member| member != me)
    }
}

/// Commands.
impl Election {
    /// Election state of a process that started at `now`.
    pub fn new(me: Instance, now: Time) -> Election {
        Election {
            me,
            term: Offset(0),
            roster: Roster::default(),
            previous: None,
            logged: None,
            voter: Voter::new(now + max_with_drift(LEASE_DURATION)),
            round: 0,
            held: None,
            trial: None,
            nonce: 0,
            next_ask: now,
            stand_at: None,
            abstain_until: now,
            outbox: Vec::new(),
        }
    }

    /// Takes over the membership, term and highest ballot from the fold.
    pub fn observe_club(&mut self, now: Time, club: &ClubState) {
        if (club.term, club.version) < (self.term, self.roster.version) {
            return;
        }
        if club.term > self.term {
            self.begin_term(club.term);
        }
        if club.version > self.roster.version {
            self.change_roster(now, club);
        }
        if let Some(ballot) = club.highest_ballot {
            self.observe_ballot(now, ballot);
        }
        if !self.roster.contains(self.me) {
            self.give_up(now);
        }
    }

    /// Does what is due at `now` and returns the messages to send.
    ///
    /// Call it at least every 50 ms, and once after `resign`. `random` spreads
    /// the candidates.
    pub fn tick(&mut self, now: Time, random: u64) -> Vec<(Instance, Message)> {
        self.expire(now);
        if self.may_vote(now) {
            self.stand_if_due(now, random);
            self.ask_if_due(now);
        }
        std::mem::take(&mut self.outbox)
    }

    /// Answers the question of another instance.
    pub fn handle_vote_request(
        &mut self,
        now: Time,
        from: Instance,
        ask: VoteRequest,
    ) -> VoteResponse {
        self.expire(now);
        let acceptable = self.accepts(now, from, &ask);
        if acceptable {
            self.yield_to(now, ask.ballot);
        }
        let granted = acceptable && self.voter.grant(now, ask.ballot);
        if granted {
            self.voter.record(ask.ballot);
            self.learn(ask.ballot);
            self.stand_at = None;
        }
        VoteResponse {
            ballot: ask.ballot,
            nonce: ask.nonce,
            granted,
            highest_ballot: self.highest_ballot(),
            membership_version: self.roster.version,
        }
    }

    /// Counts the answer of another instance.
    pub fn handle_vote_response(&mut self, now: Time, from: Instance, vote: VoteResponse) {
        if !self.roster.contains(from) {
            return;
        }
        self.learn(vote.highest_ballot);
        if let Some(trial) = self.trial.as_mut().filter(|trial| trial.matches(&vote)) {
            trial.count(from, &vote);
            self.settle_trial(now);
        } else if let Some(held) = self.held.as_mut().filter(|held| held.matches(&vote)) {
            held.count(from, &vote);
            self.confirm_roster(now);
        }
    }

    /// Releases the vote for an instance that gave up its ballots up to `ballot`.
    pub fn handle_resignation(&mut self, now: Time, from: Instance, ballot: Ballot) {
        if ballot.instance != from || ballot.term != self.term {
            return;
        }
        self.learn(ballot);
        if self.voter.release(now, ballot) {
            self.stand_at = None;
        }
    }

    /// Gives up control, or a candidacy, in favour of others; the next `tick`
    /// returns the messages that tell them.
    pub fn resign(&mut self, now: Time) {
        self.give_up(now);
        self.stand_at = None;
        self.abstain_until = now + RESIGNATION_COOLDOWN;
    }
}

/// Membership and terms.
impl Election {
    /// Drops everything that belongs to a lower term.
    fn begin_term(&mut self, term: Offset) {
        self.term = term;
        self.voter.forget();
        self.previous = None;
        self.logged = None;
        self.round = 0;
        self.held = None;
        self.trial = None;
        self.stand_at = None;
        self.outbox.clear();
    }

    fn change_roster(&mut self, now: Time, club: &ClubState) {
        let roster = Roster {
            version: club.version,
            members: club.members.iter().map(|member| member.instance).collect(),
        };
        let before = std::mem::replace(&mut self.roster, roster);
        // Only neighbouring versions have overlapping majorities.
        let next = before.version + 1 == self.roster.version && self.previous.is_none();
        self.previous = (next && self.lease_under(now, &before)).then_some(before);
        self.confirm_roster(now);
    }

    fn lease_under(&self, now: Time, roster: &Roster) -> bool {
        self.held
            .as_ref()
            .is_some_and(|held| now < held.until(roster))
    }

    /// Drops the previous membership once a majority knows the current one.
    fn confirm_roster(&mut self, now: Time) {
        let informed = self
            .held
            .as_ref()
            .is_some_and(|held| held.informed(&self.roster));
        if informed && self.lease_under(now, &self.roster) {
            self.previous = None;
        }
    }

    fn observe_ballot(&mut self, now: Time, ballot: Ballot) {
        self.logged = Some(ballot);
        self.voter.record(ballot);
        self.learn(ballot);
        // Only an instance that held control writes records.
        let superseded = self
            .held
            .as_ref()
            .is_some_and(|held| held.ballot() < ballot);
        if superseded {
            self.give_up(now);
        }
    }
}

/// Voter.
impl Election {
    fn accepts(&self, now: Time, from: Instance, ask: &VoteRequest) -> bool {
        // A candidate with a newer membership may have been admitted by it.
        let known = ask.membership_version > self.roster.version || self.roster.contains(from);
        self.may_vote(now)
            && from != self.me
            && from == ask.ballot.instance
            && ask.ballot.term == self.term
            && ask.membership_version >= self.roster.version
            && known
    }

    /// Highest ballot seen in the current term; round 0 stands for none.
    pub fn highest_ballot(&self) -> Ballot {
        self.voter.highest().unwrap_or(Ballot {
            term: self.term,
            round: 0,
            instance: Instance(0),
        })
    }

    fn learn(&mut self, ballot: Ballot) {
        if ballot.term == self.term {
            self.round = self.round.max(ballot.round);
        }
    }
}

/// Candidate and holder.
impl Election {
    /// Ends a lease or candidacy whose time is over.
    fn expire(&mut self, now: Time) {
        if self.held.is_some() && self.held_ballot(now).is_none() {
            self.give_up(now);
        }
        let overdue = self.trial.as_ref().is_some_and(|trial| trial.is_over(now));
        if overdue {
            self.drop_trial(now);
        }
    }

    fn stand_if_due(&mut self, now: Time, random: u64) {
        if self.held.is_some() || self.trial.is_some() {
            return;
        }
        let free_at = self.voter.bound_until().max(self.abstain_until).max(now);
        let wait = || MIN_CANDIDACY_DELAY + random_part(random);
        let stand_at = *self.stand_at.get_or_insert_with(|| free_at + wait());
        if stand_at <= now {
            self.stand(now);
        }
    }

    /// Starts to collect votes under a new ballot.
    fn stand(&mut self, now: Time) {
        self.stand_at = None;
        self.next_ask = now;
        self.trial = Some(Candidacy::new(self.next_ballot(), now));
    }

    fn next_ballot(&mut self) -> Ballot {
        self.round = self.round.saturating_add(1);
        self.own_ballot()
    }

    /// Ballot of this instance for the highest round; no ballot that it has
    /// used is higher.
    fn own_ballot(&self) -> Ballot {
        Ballot {
            term: self.term,
            round: self.round,
            instance: self.me,
        }
    }

    fn ask_if_due(&mut self, now: Time) {
        if now < self.next_ask {
            return;
        }
        self.rise(now);
        let Some(candidacy) = self.trial.as_mut().or(self.held.as_mut()) else {
            return;
        };
        self.nonce += 1;
        candidacy.note_question(now, self.nonce);
        let ask = VoteRequest {
            ballot: candidacy.ballot(),
            nonce: self.nonce,
            membership_version: self.roster.version,
        };
        if self.voter.grant(now, ask.ballot) {
            candidacy.count_own(self.me, now, self.roster.version);
        }
        let trial = self.trial.is_some();
        self.next_ask = now
            + if trial {
                VOTE_RETRY_INTERVAL
            } else {
                RENEWAL_INTERVAL
            };
        let asked: Vec<_> = self.others().filter(|&to| self.is_open(to)).collect();
        let message = |to| (to, Message::VoteRequest(ask));
        self.outbox.extend(asked.into_iter().map(message));
        self.settle_trial(now);
    }

    /// Changes to a higher ballot if a voter cannot support the present one.
    ///
    /// Votes under either ballot bind the voters to this instance, so a
    /// holder's lease under the present ballot continues meanwhile.
    fn rise(&mut self, now: Time) {
        let started = match (&self.trial, &self.held) {
            (Some(trial), _) if trial.is_outdated() => trial.started(),
            (None, Some(held)) if held.is_outdated() => now,
            _ => return,
        };
        self.trial = Some(Candidacy::new(self.next_ballot(), started));
    }

    /// Whether a voter has to be asked. A holder renews every vote; a candidate
    /// also asks again who refused, as another candidate may have given up.
    fn is_open(&self, voter: Instance) -> bool {
        self.trial
            .as_ref()
            .is_none_or(|trial| !trial.has_support(voter))
    }

    fn settle_trial(&mut self, now: Time) {
        let Some(trial) = &self.trial else {
            return;
        };
        if now < self.held_until(trial) {
            self.voter.record(trial.ballot());
            self.held = self.trial.take();
            self.next_ask = now + RENEWAL_INTERVAL;
            self.confirm_roster(now);
        } else if trial.is_lost(&self.roster) {
            self.drop_trial(now);
        }
    }

    /// Ends a candidacy in favour of a higher ballot. Otherwise candidates that
    /// stand at about the same time could split the votes again and again.
    fn yield_to(&mut self, now: Time, ballot: Ballot) {
        let lower = self
            .trial
            .as_ref()
            .is_some_and(|trial| trial.ballot() < ballot);
        if lower && self.held.is_none() {
            self.give_up(now);
        }
    }

    /// Ends a candidacy. A holder keeps its votes, as its lease rests on them.
    fn drop_trial(&mut self, now: Time) {
        if self.held.is_some() {
            self.trial = None;
        } else {
            self.give_up(now);
        }
    }

    /// Gives up every ballot so far and tells the voters.
    fn give_up(&mut self, now: Time) {
        self.previous = None;
        let candidacies = [self.trial.take(), self.held.take()];
        if candidacies.iter().all(Option::is_none) {
            return;
        }
        let ballot = self.own_ballot();
        self.voter.release(now, ballot);
        self.stand_at = None;
        // Questions that were not sent yet must not follow the resignation.
        self.outbox.clear();
        let told: Vec<_> = self.others().collect();
        let message = |to| (to, Message::Resign(ballot));
        self.outbox.extend(told.into_iter().map(message));
    }
}

fn random_part(random: u64) -> Duration {
    Duration::from_micros(random % CANDIDACY_DELAY_JITTER.as_micros() as u64)
}
