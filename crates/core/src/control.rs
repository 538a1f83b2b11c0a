//! Lease-based election of a club's control holder.
//!
//! Every admitted member is a voter. A vote binds its voter to one instance for
//! `LEASE_DURATION` plus a clock drift margin, counted from receipt of the vote
//! request. The holder counts `LEASE_DURATION` minus the margin, starting before
//! it sent the request. While one instance holds a majority of votes, no other
//! instance can hold one, because any two majorities that may be in use at the
//! same time overlap.
//!
//! Membership changes by one member at a time. Let version v+1 follow version v.
//! The next change begins only after a majority of the members of v+1 has voted
//! for the holder while knowing v+1. These voters refuse every candidate that
//! knows only v or older, and every majority of v contains one of them.
//! Majorities of v are therefore out of use before v+2 exists.

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

/// Time for which a vote binds its voter, without the clock drift margin.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_000);

/// Interval at which the holder renews its votes.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a candidate repeats requests to voters whose vote it lacks.
pub const VOTE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a candidate without a majority ends its candidacy.
pub const CANDIDACY_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum delay between the end of an instance's vote or cooldown and its candidacy.
pub const MIN_CANDIDACY_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of the random part of the candidacy delay. It spans many round
/// trips, so that concurrent candidates rarely split the votes.
pub const CANDIDACY_DELAY_JITTER: Duration = Duration::from_millis(300);

/// Time for which an instance does not become a candidate after `Election::resign`.
/// Another member takes over within 2 s. In a club without another candidate, the
/// former holder can be elected again after the cooldown.
pub const RESIGNATION_COOLDOWN: Duration = Duration::from_millis(2_000);

/// Set of club members under one membership version.
#[derive(Clone, Debug, Default)]
struct Membership {
    version: u32,
    members: BTreeSet<Instance>,
}

impl Membership {
    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn contains(&self, instance: Instance) -> bool {
        self.members.contains(&instance)
    }
}

/// Election state of one instance in its roles as voter, candidate and holder.
#[derive(Clone, Debug)]
pub struct Election {
    local_instance: Instance,
    term: Offset,
    /// Newest membership applied from the log.
    membership: Membership,
    /// Previous membership, whose majority still counts while this instance
    /// holds control and no majority of `membership` has confirmed the new
    /// version. Without it, a holder would lose control by admitting a member
    /// that does not respond.
    previous_membership: Option<Membership>,
    /// Highest ballot of the current term under which the log has accepted a record.
    logged_ballot: Option<Ballot>,
    voter: Voter,
    /// Highest round of the term that this instance has used or observed.
    highest_round: u32,
    /// Candidacy whose votes give this instance control.
    won_candidacy: Option<Candidacy>,
    /// Candidacy that is collecting votes under a new ballot.
    pending_candidacy: Option<Candidacy>,
    /// Nonce of the last vote request.
    nonce: u64,
    next_request_at: Time,
    next_candidacy_at: Option<Time>,
    cooldown_end: Time,
    outbox: Vec<(Instance, Message)>,
}

/// Queries.
impl Election {
    /// Returns the ballot under which this instance holds control at `now`; `None` if it
    /// does not.
    pub fn held_ballot(&self, now: Time) -> Option<Ballot> {
        let won = self.won_candidacy.as_ref()?;
        (now < self.support_end(won)).then_some(won.ballot())
    }

    /// Returns the end of the control lease, as far as votes have renewed it; `None`
    /// without a lease.
    pub fn lease_end(&self) -> Option<Time> {
        self.won_candidacy.as_ref().map(|won| self.support_end(won))
    }

    /// Returns the likely holder: the instance that this one's unexpired vote is for.
    ///
    /// Returns `None` without such a vote, and while this instance has voted for itself
    /// but does not hold control.
    pub fn holder(&self, now: Time) -> Option<Instance> {
        let voted_for = self.voter.voted_instance(now)?;
        (voted_for != self.local_instance || self.held_ballot(now).is_some()).then_some(voted_for)
    }

    /// Returns whether this instance, as holder, may begin the next membership
    /// change.
    ///
    /// This requires that a majority of the voters has voted for it while
    /// knowing the current membership. The log must also have accepted a record
    /// under the present ballot, so that no change of an earlier holder can
    /// still be accepted. The holder must also have no undecided change of its own, which
    /// is not checked here.
    pub fn can_change_membership(&self, now: Time) -> bool {
        let Some(won) = &self.won_candidacy else {
            return false;
        };
        self.held_ballot(now).is_some()
            && self.previous_membership.is_none()
            && self.logged_ballot == Some(won.ballot())
            && won.has_informed_majority(&self.membership)
    }

    /// Returns the end of majority support under the membership that counts.
    fn support_end(&self, candidacy: &Candidacy) -> Time {
        candidacy.support_end(
            self.previous_membership
                .as_ref()
                .unwrap_or(&self.membership),
        )
    }

    fn may_vote(&self, now: Time) -> bool {
        self.membership.contains(self.local_instance) && self.voter.is_ready(now)
    }

    fn other_members(&self) -> impl Iterator<Item = Instance> + '_ {
        let local_instance = self.local_instance;
        let members = self.membership.members.iter().copied();
        members.filter(move |&member| member != local_instance)
    }
}

/// Commands.
impl Election {
    /// Creates the election state of a process that started at `now`.
    pub fn new(local_instance: Instance, now: Time) -> Election {
        Election {
            local_instance,
            term: Offset(0),
            membership: Membership::default(),
            previous_membership: None,
            logged_ballot: None,
            voter: Voter::new(now + max_with_drift(LEASE_DURATION)),
            highest_round: 0,
            won_candidacy: None,
            pending_candidacy: None,
            nonce: 0,
            next_request_at: now,
            next_candidacy_at: None,
            cooldown_end: now,
            outbox: Vec::new(),
        }
    }

    /// Adopts the membership, term and highest ballot of the log state, unless the state
    /// is older than the one adopted before.
    pub fn observe_club(&mut self, now: Time, club: &ClubState) {
        if (club.term, club.version) < (self.term, self.membership.version) {
            return;
        }
        if club.term > self.term {
            self.begin_term(club.term);
        }
        if club.version > self.membership.version {
            self.adopt_membership(now, club);
        }
        if let Some(ballot) = club.highest_ballot {
            self.observe_ballot(now, ballot);
        }
        if !self.membership.contains(self.local_instance) {
            self.step_down(now);
        }
    }

    /// Runs the timers due at `now` and returns the messages to send.
    ///
    /// Must be called at least every 50 ms, and once after `resign`. `random`
    /// determines the jitter of the candidacy delay.
    pub fn tick(&mut self, now: Time, random: u64) -> Vec<(Instance, Message)> {
        self.expire_candidacies(now);
        if self.may_vote(now) {
            self.start_candidacy_if_due(now, random);
            self.request_votes_if_due(now);
        }
        std::mem::take(&mut self.outbox)
    }

    /// Responds to a vote request of another instance.
    pub fn handle_vote_request(
        &mut self,
        now: Time,
        from: Instance,
        request: VoteRequest,
    ) -> VoteResponse {
        self.expire_candidacies(now);
        let is_acceptable = self.accepts_candidate(now, from, &request);
        if is_acceptable {
            self.yield_to_ballot(now, request.ballot);
        }
        let granted = is_acceptable && self.voter.try_vote(now, request.ballot);
        if granted {
            self.voter.record_ballot(request.ballot);
            self.observe_round(request.ballot);
            self.next_candidacy_at = None;
        }
        VoteResponse {
            ballot: request.ballot,
            nonce: request.nonce,
            granted,
            highest_ballot: self.highest_ballot(),
            membership_version: self.membership.version,
        }
    }

    /// Counts the vote or the refusal of another instance.
    pub fn handle_vote_response(&mut self, now: Time, from: Instance, response: VoteResponse) {
        if !self.membership.contains(from) {
            return;
        }
        self.observe_round(response.highest_ballot);
        if let Some(pending) = self
            .pending_candidacy
            .as_mut()
            .filter(|pending| pending.matches(&response))
        {
            pending.count_response(from, &response);
            self.resolve_candidacy(now);
        } else if let Some(won) = self
            .won_candidacy
            .as_mut()
            .filter(|won| won.matches(&response))
        {
            won.count_response(from, &response);
            self.confirm_membership(now);
        }
    }

    /// Releases the vote for an instance that resigned all its ballots up to
    /// `ballot`.
    pub fn handle_resignation(&mut self, now: Time, from: Instance, ballot: Ballot) {
        if ballot.instance != from || ballot.term != self.term {
            return;
        }
        self.observe_round(ballot);
        if self.voter.release_vote(now, ballot) {
            self.next_candidacy_at = None;
        }
    }

    /// Gives up control, or a candidacy, in favour of other instances. The next
    /// `tick` returns the messages that notify them.
    pub fn resign(&mut self, now: Time) {
        self.step_down(now);
        self.next_candidacy_at = None;
        self.cooldown_end = now + RESIGNATION_COOLDOWN;
    }
}

/// Membership and terms.
impl Election {
    /// Enters a higher term and drops all state of the previous one.
    fn begin_term(&mut self, term: Offset) {
        self.term = term;
        self.voter.reset();
        self.previous_membership = None;
        self.logged_ballot = None;
        self.highest_round = 0;
        self.won_candidacy = None;
        self.pending_candidacy = None;
        self.next_candidacy_at = None;
        self.outbox.clear();
    }

    /// Adopts the membership observed in the log.
    fn adopt_membership(&mut self, now: Time, club: &ClubState) {
        let membership = Membership {
            version: club.version,
            members: club.members.iter().map(|member| member.instance).collect(),
        };
        let old_membership = std::mem::replace(&mut self.membership, membership);
        // Only the majorities of adjacent versions are known to overlap.
        let is_adjacent = old_membership.version + 1 == self.membership.version
            && self.previous_membership.is_none();
        self.previous_membership =
            (is_adjacent && self.has_lease_under(now, &old_membership)).then_some(old_membership);
        self.confirm_membership(now);
    }

    fn has_lease_under(&self, now: Time, membership: &Membership) -> bool {
        self.won_candidacy
            .as_ref()
            .is_some_and(|won| now < won.support_end(membership))
    }

    /// Drops the previous membership once a majority of the current one knows it.
    fn confirm_membership(&mut self, now: Time) {
        let is_informed = self
            .won_candidacy
            .as_ref()
            .is_some_and(|won| won.has_informed_majority(&self.membership));
        if is_informed && self.has_lease_under(now, &self.membership) {
            self.previous_membership = None;
        }
    }

    /// Records a ballot of the current term that the log has accepted.
    fn observe_ballot(&mut self, now: Time, ballot: Ballot) {
        self.logged_ballot = Some(ballot);
        self.voter.record_ballot(ballot);
        self.observe_round(ballot);
        // Only a control holder writes records, so a higher ballot in the log means
        // that another instance has been elected.
        let superseded = self
            .won_candidacy
            .as_ref()
            .is_some_and(|won| won.ballot() < ballot);
        if superseded {
            self.step_down(now);
        }
    }
}

/// Voter.
impl Election {
    fn accepts_candidate(&self, now: Time, from: Instance, request: &VoteRequest) -> bool {
        // The candidate may have been admitted by a version not yet applied here.
        let is_known_member =
            request.membership_version > self.membership.version || self.membership.contains(from);
        self.may_vote(now)
            && from != self.local_instance
            && from == request.ballot.instance
            && request.ballot.term == self.term
            && request.membership_version >= self.membership.version
            && is_known_member
    }

    /// Returns the highest known ballot of the current term that may have held control.
    /// Round 0 means that none is known.
    pub fn highest_ballot(&self) -> Ballot {
        self.voter.highest_ballot().unwrap_or(Ballot {
            term: self.term,
            round: 0,
            instance: Instance(0),
        })
    }

    /// Raises the highest known round of the term to that of the ballot.
    fn observe_round(&mut self, ballot: Ballot) {
        if ballot.term == self.term {
            self.highest_round = self.highest_round.max(ballot.round);
        }
    }
}

/// Candidate and holder.
impl Election {
    /// Ends an expired lease or candidacy.
    fn expire_candidacies(&mut self, now: Time) {
        if self.won_candidacy.is_some() && self.held_ballot(now).is_none() {
            self.step_down(now);
        }
        let overdue = self
            .pending_candidacy
            .as_ref()
            .is_some_and(|pending| pending.has_timed_out(now));
        if overdue {
            self.drop_candidacy(now);
        }
    }

    fn start_candidacy_if_due(&mut self, now: Time, random: u64) {
        if self.won_candidacy.is_some() || self.pending_candidacy.is_some() {
            return;
        }
        let earliest = self.voter.vote_end().max(self.cooldown_end).max(now);
        let delay = || MIN_CANDIDACY_DELAY + random_jitter(random);
        let next_candidacy_at = *self
            .next_candidacy_at
            .get_or_insert_with(|| earliest + delay());
        if next_candidacy_at <= now {
            self.start_candidacy(now);
        }
    }

    /// Starts collecting votes under a new ballot.
    fn start_candidacy(&mut self, now: Time) {
        self.next_candidacy_at = None;
        self.next_request_at = now;
        self.pending_candidacy = Some(Candidacy::new(self.next_ballot(), now));
    }

    fn next_ballot(&mut self) -> Ballot {
        self.highest_round = self.highest_round.saturating_add(1);
        self.own_ballot()
    }

    /// Returns this instance's ballot for the highest round. It has used no
    /// higher ballot.
    fn own_ballot(&self) -> Ballot {
        Ballot {
            term: self.term,
            round: self.highest_round,
            instance: self.local_instance,
        }
    }

    fn request_votes_if_due(&mut self, now: Time) {
        if now < self.next_request_at {
            return;
        }
        self.raise_ballot(now);
        let Some(candidacy) = self
            .pending_candidacy
            .as_mut()
            .or(self.won_candidacy.as_mut())
        else {
            return;
        };
        self.nonce += 1;
        candidacy.record_request(now, self.nonce);
        let request = VoteRequest {
            ballot: candidacy.ballot(),
            nonce: self.nonce,
            membership_version: self.membership.version,
        };
        if self.voter.try_vote(now, request.ballot) {
            candidacy.count_own_vote(self.local_instance, now, self.membership.version);
        }
        let is_candidate = self.pending_candidacy.is_some();
        self.next_request_at = now
            + if is_candidate {
                VOTE_RETRY_INTERVAL
            } else {
                RENEWAL_INTERVAL
            };
        let recipients: Vec<_> = self
            .other_members()
            .filter(|&to| self.needs_vote_from(to))
            .collect();
        let message = |to| (to, Message::VoteRequest(request));
        self.outbox.extend(recipients.into_iter().map(message));
        self.resolve_candidacy(now);
    }

    /// Switches to a higher ballot if a voter cannot support the current one.
    ///
    /// Votes under either ballot bind the voters to this instance, so a holder
    /// keeps its lease under the current ballot in the meantime.
    fn raise_ballot(&mut self, now: Time) {
        let started_at = match (&self.pending_candidacy, &self.won_candidacy) {
            (Some(pending), _) if pending.is_outdated() => pending.started_at(),
            (None, Some(won)) if won.is_outdated() => now,
            _ => return,
        };
        self.pending_candidacy = Some(Candidacy::new(self.next_ballot(), started_at));
    }

    /// Returns whether a vote request must be sent to the voter.
    ///
    /// A holder renews every vote. A candidate also repeats requests to voters
    /// that refused, because another candidate may have resigned since.
    fn needs_vote_from(&self, voter: Instance) -> bool {
        self.pending_candidacy
            .as_ref()
            .is_none_or(|pending| !pending.has_vote_from(voter))
    }

    /// Takes control if the candidacy has a majority, or ends it if it cannot win.
    fn resolve_candidacy(&mut self, now: Time) {
        let Some(pending) = &self.pending_candidacy else {
            return;
        };
        if now < self.support_end(pending) {
            self.voter.record_ballot(pending.ballot());
            self.won_candidacy = self.pending_candidacy.take();
            self.next_request_at = now + RENEWAL_INTERVAL;
            self.confirm_membership(now);
        } else if pending.cannot_win(&self.membership) {
            self.drop_candidacy(now);
        }
    }

    /// Ends a candidacy in favour of a higher ballot. Otherwise concurrent
    /// candidates could split the votes repeatedly.
    fn yield_to_ballot(&mut self, now: Time, ballot: Ballot) {
        let is_lower = self
            .pending_candidacy
            .as_ref()
            .is_some_and(|pending| pending.ballot() < ballot);
        if is_lower && self.won_candidacy.is_none() {
            self.step_down(now);
        }
    }

    /// Ends the pending candidacy. A holder keeps its votes, because its lease
    /// depends on them.
    fn drop_candidacy(&mut self, now: Time) {
        if self.won_candidacy.is_some() {
            self.pending_candidacy = None;
        } else {
            self.step_down(now);
        }
    }

    /// Resigns every ballot used so far and notifies the voters.
    fn step_down(&mut self, now: Time) {
        self.previous_membership = None;
        let candidacies = [self.pending_candidacy.take(), self.won_candidacy.take()];
        if candidacies.iter().all(Option::is_none) {
            return;
        }
        let ballot = self.own_ballot();
        self.voter.release_vote(now, ballot);
        self.next_candidacy_at = None;
        // Vote requests not yet sent must not follow the resignation.
        self.outbox.clear();
        let recipients: Vec<_> = self.other_members().collect();
        let message = |to| (to, Message::Resign(ballot));
        self.outbox.extend(recipients.into_iter().map(message));
    }
}

fn random_jitter(random: u64) -> Duration {
    Duration::from_micros(random % CANDIDACY_DELAY_JITTER.as_micros() as u64)
}
