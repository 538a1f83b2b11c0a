//! Tests of the election of the control holder.

mod network;

use std::time::Duration;

use medlarreel_core::control::{Election, LEASE_DURATION};
use medlarreel_core::fold::ClubState;
use medlarreel_core::ids::{Ballot, Instance, Offset};
use medlarreel_core::time::{Time, min_with_drift};
use medlarreel_core::wire::{Message, VoteRequest, VoteResponse};
use network::{FAULTS_END_US, Fault, Network, member};
use proptest::prelude::*;

const SECOND_US: u64 = 1_000_000;
/// True time by which a network without faults has long had a holder.
const SETTLED_AT_US: u64 = 4 * SECOND_US;
const A: Instance = Instance(1);
const B: Instance = Instance(2);
const C: Instance = Instance(3);

fn any_fault() -> impl Strategy<Value = Fault> {
    let node = 0..8usize;
    prop_oneof![
        4 => (node.clone(), node.clone()).prop_map(|(from, to)| Fault::Cut(from, to)),
        3 => node.clone().prop_map(Fault::Isolate),
        4 => node.clone().prop_map(Fault::Pause),
        4 => node.clone().prop_map(Fault::Lag),
        1 => Just(Fault::Outage),
        3 => node.clone().prop_map(Fault::Replace),
        2 => node.prop_map(Fault::Restart),
        1 => Just(Fault::Reset),
    ]
}

/// Faults with their start and duration in milliseconds.
fn fault_schedule() -> impl Strategy<Value = Vec<(u64, Fault, u64)>> {
    prop::collection::vec((0..9_000u64, any_fault(), 100..5_000u64), 0..40)
}

fn network_with_faults(seed: u64, size: usize, faults: &[(u64, Fault, u64)]) -> Network {
    let mut network = Network::new(seed, size, FAULTS_END_US);
    // Further instances, not yet members, cause frequent membership changes.
    network.start_instance();
    network.start_instance();
    for &(at, fault, length) in faults {
        network.schedule(at * 1_000, fault, (at + length) * 1_000);
    }
    network
}

/// Network without faults and with an elected holder.
fn network_with_holder(seed: u64, size: usize) -> (Network, Instance) {
    let mut network = Network::new(seed, size, 0);
    network.run(SETTLED_AT_US).expect("at most one holder");
    let (holder, _) = network.holders()[0];
    (network, holder)
}

/// Runs until an instance holds control or `limit` is reached. Returns whether one
/// does.
fn run_until_elected(network: &mut Network, limit: u64) -> Result<bool, String> {
    while network.now < limit && network.holders().is_empty() {
        network.run(network.now + 1_000)?;
    }
    Ok(!network.holders().is_empty())
}

fn club_state(term: u64, version: u32, members: &[Instance]) -> ClubState {
    ClubState {
        name: "kashmir".to_owned(),
        term: Offset(term),
        is_first_term: true,
        highest_ballot: None,
        last_heard: Offset(0),
        members: members.iter().copied().map(member).collect(),
        version,
        membership_changed: Offset(0),
        reserved: 0,
    }
}

fn ballot(term: u64, round: u32, instance: Instance) -> Ballot {
    let term = Offset(term);
    Ballot {
        term,
        round,
        instance,
    }
}

fn vote_request(ballot: Ballot, membership_version: u32) -> VoteRequest {
    VoteRequest {
        ballot,
        nonce: 1,
        membership_version,
    }
}

/// Instance A of the club {A, B, C}, started at 0 and ready to vote.
fn voter() -> (Election, Time) {
    let mut election = Election::new(A, Time(0));
    election.observe_club(Time(0), &club_state(1, 3, &[A, B, C]));
    (election, Time(2 * SECOND_US))
}

/// Ticks A until it requests votes and returns the request.
fn next_vote_request(election: &mut Election, now: &mut Time) -> VoteRequest {
    loop {
        *now = *now + Duration::from_millis(10);
        for (_, message) in election.tick(*now, 0) {
            if let Message::VoteRequest(request) = message {
                return request;
            }
        }
    }
}

fn grant_vote(request: VoteRequest, membership_version: u32) -> VoteResponse {
    VoteResponse {
        ballot: request.ballot,
        nonce: request.nonce,
        granted: true,
        highest_ballot: request.ballot,
        membership_version,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against two holders at the same time, decreasing ballots, and a club
    /// without a holder after the faults have ended.
    #[test]
    fn at_most_one_instance_holds_control(
        seed: u64,
        size in 1..8usize,
        faults in fault_schedule(),
    ) {
        let mut network = network_with_faults(seed, size, &faults);

        let faulty_run = network.run(FAULTS_END_US);
        let elected = faulty_run
            .and_then(|()| run_until_elected(&mut network, FAULTS_END_US + 2 * SECOND_US));
        let final_run = network.run(FAULTS_END_US + 4 * SECOND_US);

        prop_assert!(elected.is_ok() && final_run.is_ok(), "{elected:?} {final_run:?}");
        let is_missing = elected == Ok(false) && network.can_elect();
        prop_assert!(!is_missing, "no holder 2 s after the last fault");
    }

    /// Guards against a slow takeover and an election storm. The limit is four times
    /// the number of messages without faults: 4 renewals per second for 2 s, each a
    /// request and a response per member.
    #[test]
    fn control_moves_after_the_loss_of_its_holder(seed: u64, size in 3..13usize) {
        let (mut network, holder) = network_with_holder(seed, size);
        let sent = network.sent;

        network.remove_node(holder);
        let elected = run_until_elected(&mut network, SETTLED_AT_US + 2 * SECOND_US);

        prop_assert_eq!(elected, Ok(true));
        let limit = 4 * 4 * 2 * 2 * size as u64;
        prop_assert!(network.sent - sent <= limit, "{} messages", network.sent - sent);
    }

    /// Guards against a shutdown that leaves the club without a holder for the
    /// rest of the lease.
    #[test]
    fn resignation_frees_the_voters(seed: u64, size in 3..13usize) {
        let (mut network, holder) = network_with_holder(seed, size);

        network.resign(holder);
        let elected = run_until_elected(&mut network, SETTLED_AT_US + SECOND_US);

        prop_assert_eq!(elected, Ok(true));
        prop_assert_ne!(network.holders()[0].0, holder);
    }
}

/// Guards against a lease that is counted from the response instead of the request,
/// and against one that outlasts its duration in a paused process.
#[test]
fn lease_counts_from_before_the_request() {
    let (mut election, mut now) = voter();
    let request = next_vote_request(&mut election, &mut now);
    let responded_at = now + Duration::from_millis(200);

    election.handle_vote_response(responded_at, B, grant_vote(request, 3));
    election.handle_vote_response(responded_at, C, grant_vote(request, 3));

    let end = now + min_with_drift(LEASE_DURATION);
    assert_eq!(
        election.held_ballot(end - Duration::from_micros(1)),
        Some(request.ballot)
    );
    assert_eq!(election.held_ballot(end), None);
}

/// Guards against a restarted process that votes before a vote of its earlier run
/// under the same identity has expired.
#[test]
fn started_process_waits_before_it_votes() {
    let mut election = Election::new(A, Time(0));
    election.observe_club(Time(0), &club_state(1, 3, &[A, B, C]));
    let request = vote_request(ballot(1, 1, B), 3);

    let early = election.handle_vote_request(Time(SECOND_US), B, request);
    let late = election.handle_vote_request(Time(SECOND_US + 10_000), B, request);

    assert!(!early.granted);
    assert!(late.granted);
}

/// Guards against votes for a candidate with an outdated membership or term, or for
/// a second candidate in the same round.
#[test]
fn voter_refuses_outdated_candidates() {
    let (mut election, now) = voter();
    let later = now + 2 * LEASE_DURATION;

    let members = election.handle_vote_request(now, B, vote_request(ballot(1, 1, B), 2));
    let term = election.handle_vote_request(now, B, vote_request(ballot(0, 1, B), 3));
    let first = election.handle_vote_request(now, B, vote_request(ballot(1, 2, B), 3));
    let bound = election.handle_vote_request(
        now + Duration::from_millis(1_009),
        C,
        vote_request(ballot(1, 3, C), 3),
    );
    let second = election.handle_vote_request(later, C, vote_request(ballot(1, 2, C), 3));
    let third = election.handle_vote_request(later, C, vote_request(ballot(1, 3, C), 3));

    let granted = [members, term, first, bound, second, third].map(|vote| vote.granted);
    assert_eq!(granted, [false, false, true, false, false, true]);
}

/// Guards against votes for a ballot lower than one that the log has accepted.
#[test]
fn voter_knows_the_highest_ballot_of_the_log() {
    let (mut election, now) = voter();
    let mut state = club_state(1, 3, &[A, B, C]);
    state.highest_ballot = Some(ballot(1, 7, C));

    election.observe_club(now, &state);
    let lower = election.handle_vote_request(now, B, vote_request(ballot(1, 6, B), 3));
    let higher = election.handle_vote_request(now, B, vote_request(ballot(1, 8, B), 3));

    assert!(!lower.granted);
    assert!(higher.granted);
}

/// Guards against a membership change before a majority knows the previous one.
#[test]
fn membership_can_change_once_a_majority_knows_it() {
    let (mut election, mut now) = voter();
    let request = next_vote_request(&mut election, &mut now);
    let mut state = club_state(1, 3, &[A, B, C]);
    state.highest_ballot = Some(request.ballot);

    election.handle_vote_response(now, B, grant_vote(request, 2));
    election.observe_club(now, &state);
    let before = election.can_change_membership(now);
    let renewal = next_vote_request(&mut election, &mut now);
    election.handle_vote_response(now, C, grant_vote(renewal, 3));

    assert!(!before);
    assert!(election.can_change_membership(now));
}

/// Guards against a membership change of an earlier holder that the log accepts
/// after the current holder has begun its own.
#[test]
fn membership_can_change_only_after_an_own_record() {
    let (mut election, mut now) = voter();
    let request = next_vote_request(&mut election, &mut now);
    let mut state = club_state(1, 3, &[A, B, C]);

    election.handle_vote_response(now, B, grant_vote(request, 3));
    let before = election.can_change_membership(now);
    state.highest_ballot = Some(request.ballot);
    election.observe_club(now, &state);

    assert!(!before);
    assert!(election.can_change_membership(now));
}

/// Guards against a single voter that loses control by admitting another member. The
/// new member does not vote before it has read the record of its admission.
#[test]
fn admission_does_not_end_the_lease() {
    let mut election = Election::new(A, Time(0));
    election.observe_club(Time(0), &club_state(1, 1, &[A]));
    let mut now = Time(2 * SECOND_US);
    while election.held_ballot(now).is_none() {
        now = now + Duration::from_millis(10);
        election.tick(now, 0);
    }

    election.observe_club(now, &club_state(1, 2, &[A, B]));

    assert!(election.held_ballot(now).is_some());
    assert!(!election.can_change_membership(now));
}

/// Guards against a holder that keeps counting the majority of the previous
/// membership after a change.
#[test]
fn informed_majority_replaces_the_previous_one() {
    let (mut election, mut now) = voter();
    let request = next_vote_request(&mut election, &mut now);
    election.handle_vote_response(now, B, grant_vote(request, 3));
    let mut state = club_state(1, 4, &[A, B, C, Instance(4)]);
    state.highest_ballot = Some(request.ballot);

    election.observe_club(now, &state);
    let renewal = next_vote_request(&mut election, &mut now);
    election.handle_vote_response(now, B, grant_vote(renewal, 4));
    let may_change = election.can_change_membership(now);
    election.handle_vote_response(now, C, grant_vote(renewal, 4));

    assert!(!may_change);
    assert!(election.can_change_membership(now));
}

/// Guards against a holder that keeps control after its term was reset, even if it is
/// the only voter of the new term.
#[test]
fn reset_ends_the_lease() {
    for voter_of_new_term in [A, C] {
        let (mut election, mut now) = voter();
        let request = next_vote_request(&mut election, &mut now);
        election.handle_vote_response(now, B, grant_vote(request, 3));
        assert_eq!(election.holder(now), Some(A));

        election.observe_club(now, &club_state(9, 4, &[voter_of_new_term]));

        assert_eq!(election.held_ballot(now), None);
        assert_eq!(election.holder(now), None);
    }
}
