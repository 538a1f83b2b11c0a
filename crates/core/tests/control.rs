//! Election of the control holder.

mod network;

use std::time::Duration;

use medlarreel_core::control::{Election, LEASE_DURATION};
use medlarreel_core::fold::ClubState;
use medlarreel_core::ids::{Ballot, Instance, Offset};
use medlarreel_core::time::{Time, min_with_drift};
use medlarreel_core::wire::{Message, VoteRequest, VoteResponse};
use network::{CALM, Fault, Network, member};
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;
/// True time at which an undisturbed network has long had a holder.
const SETTLED: u64 = 4 * SECOND;
const A: Instance = Instance(1);
const B: Instance = Instance(2);
const C: Instance = Instance(3);

fn fault() -> impl Strategy<Value = Fault> {
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

/// Faults with their start and length in milliseconds.
fn schedule() -> impl Strategy<Value = Vec<(u64, Fault, u64)>> {
    prop::collection::vec((0..9_000u64, fault(), 100..5_000u64), 0..40)
}

fn disturbed(seed: u64, size: usize, faults: &[(u64, Fault, u64)]) -> Network {
    let mut network = Network::new(seed, size, CALM);
    // Instances that are not members yet let the membership change often.
    network.start();
    network.start();
    for &(at, fault, length) in faults {
        network.schedule(at * 1_000, fault, (at + length) * 1_000);
    }
    network
}

/// Undisturbed network with an established holder.
fn settled(seed: u64, size: usize) -> (Network, Instance) {
    let mut network = Network::new(seed, size, 0);
    network.run(SETTLED).expect("one holder at most");
    let (holder, _) = network.holders()[0];
    (network, holder)
}

/// Runs until control is held or `limit`; returns whether it is held.
fn run_to_holder(network: &mut Network, limit: u64) -> Result<bool, String> {
    while network.now < limit && network.holders().is_empty() {
        network.run(network.now + 1_000)?;
    }
    Ok(!network.holders().is_empty())
}

fn club(term: u64, version: u32, members: &[Instance]) -> ClubState {
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

fn question(ballot: Ballot, members: u32) -> VoteRequest {
    VoteRequest {
        ballot,
        nonce: 1,
        membership_version: members,
    }
}

/// Instance A of the club {A, B, C}, started at 0 and past its first wait.
fn voter() -> (Election, Time) {
    let mut election = Election::new(A, Time(0));
    election.observe_club(Time(0), &club(1, 3, &[A, B, C]));
    (election, Time(2 * SECOND))
}

/// Ticks A until it asks for votes; returns its question.
fn stand(election: &mut Election, now: &mut Time) -> VoteRequest {
    loop {
        *now = *now + Duration::from_millis(10);
        for (_, message) in election.tick(*now, 0) {
            if let Message::VoteRequest(ask) = message {
                return ask;
            }
        }
    }
}

fn support(ask: VoteRequest, members: u32) -> VoteResponse {
    VoteResponse {
        ballot: ask.ballot,
        nonce: ask.nonce,
        granted: true,
        highest_ballot: ask.ballot,
        membership_version: members,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against two holders at a time, ballots that go back, and a club
    /// that stays without a holder after faults.
    #[test]
    fn at_most_one_instance_holds_control(
        seed: u64,
        size in 1..8usize,
        faults in schedule(),
    ) {
        let mut network = disturbed(seed, size, &faults);

        let run = network.run(CALM);
        let held = run.and_then(|()| run_to_holder(&mut network, CALM + 2 * SECOND));
        let rest = network.run(CALM + 4 * SECOND);

        prop_assert!(held.is_ok() && rest.is_ok(), "{held:?} {rest:?}");
        let lost = held == Ok(false) && network.can_elect();
        prop_assert!(!lost, "no holder 2 s after the last fault");
    }

    /// Guards against a slow takeover, and against an election storm: more
    /// messages than four times those of undisturbed renewal, 4 a second and
    /// member.
    #[test]
    fn control_moves_after_the_loss_of_its_holder(seed: u64, size in 3..13usize) {
        let (mut network, holder) = settled(seed, size);
        let sent = network.sent;

        network.kill(holder);
        let held = run_to_holder(&mut network, SETTLED + 2 * SECOND);

        prop_assert_eq!(held, Ok(true));
        let bound = 4 * 4 * 2 * 2 * size as u64;
        prop_assert!(network.sent - sent <= bound, "{} messages", network.sent - sent);
    }

    /// Guards against a shutdown that leaves the club without a holder for the
    /// rest of the lease.
    #[test]
    fn resignation_frees_the_voters(seed: u64, size in 3..13usize) {
        let (mut network, holder) = settled(seed, size);

        network.resign(holder);
        let held = run_to_holder(&mut network, SETTLED + SECOND);

        prop_assert_eq!(held, Ok(true));
        prop_assert_ne!(network.holders()[0].0, holder);
    }
}

/// Guards against a lease that is counted from the answer, or that outlives
/// its time in a process that was paused.
#[test]
fn lease_counts_from_before_the_question() {
    let (mut election, mut now) = voter();
    let ask = stand(&mut election, &mut now);
    let answered = now + Duration::from_millis(200);

    election.handle_vote_response(answered, B, support(ask, 3));
    election.handle_vote_response(answered, C, support(ask, 3));

    let end = now + min_with_drift(LEASE_DURATION);
    assert_eq!(
        election.held_ballot(end - Duration::from_micros(1)),
        Some(ask.ballot)
    );
    assert_eq!(election.held_ballot(end), None);
}

/// Guards against a process that votes again before the vote it may have given
/// under the same identity has ended.
#[test]
fn started_process_waits_before_it_votes() {
    let mut election = Election::new(A, Time(0));
    election.observe_club(Time(0), &club(1, 3, &[A, B, C]));
    let ask = question(ballot(1, 1, B), 3);

    let early = election.handle_vote_request(Time(SECOND), B, ask);
    let late = election.handle_vote_request(Time(SECOND + 10_000), B, ask);

    assert!(!early.granted);
    assert!(late.granted);
}

/// Guards against votes for a candidate with an old membership or term, or for
/// a second one with the same round.
#[test]
fn voter_refuses_outdated_candidates() {
    let (mut election, now) = voter();
    let later = now + 2 * LEASE_DURATION;

    let members = election.handle_vote_request(now, B, question(ballot(1, 1, B), 2));
    let term = election.handle_vote_request(now, B, question(ballot(0, 1, B), 3));
    let first = election.handle_vote_request(now, B, question(ballot(1, 2, B), 3));
    let bound = election.handle_vote_request(
        now + Duration::from_millis(1_009),
        C,
        question(ballot(1, 3, C), 3),
    );
    let second = election.handle_vote_request(later, C, question(ballot(1, 2, C), 3));
    let third = election.handle_vote_request(later, C, question(ballot(1, 3, C), 3));

    let granted = [members, term, first, bound, second, third].map(|vote| vote.granted);
    assert_eq!(granted, [false, false, true, false, false, true]);
}

/// Guards against a ballot below one that the log has accepted.
#[test]
fn voter_knows_the_highest_ballot_of_the_log() {
    let (mut election, now) = voter();
    let mut state = club(1, 3, &[A, B, C]);
    state.highest_ballot = Some(ballot(1, 7, C));

    election.observe_club(now, &state);
    let lower = election.handle_vote_request(now, B, question(ballot(1, 6, B), 3));
    let higher = election.handle_vote_request(now, B, question(ballot(1, 8, B), 3));

    assert!(!lower.granted);
    assert!(higher.granted);
}

/// Guards against a membership change before a majority knows the last one.
#[test]
fn members_are_known_once_a_majority_reports_them() {
    let (mut election, mut now) = voter();
    let ask = stand(&mut election, &mut now);
    let mut state = club(1, 3, &[A, B, C]);
    state.highest_ballot = Some(ask.ballot);

    election.handle_vote_response(now, B, support(ask, 2));
    election.observe_club(now, &state);
    let before = election.can_change_membership(now);
    let again = stand(&mut election, &mut now);
    election.handle_vote_response(now, C, support(again, 3));

    assert!(!before);
    assert!(election.can_change_membership(now));
}

/// Guards against a change of an earlier holder that the log accepts after the
/// present holder has begun its own.
#[test]
fn members_are_known_only_after_an_own_record() {
    let (mut election, mut now) = voter();
    let ask = stand(&mut election, &mut now);
    let mut state = club(1, 3, &[A, B, C]);

    election.handle_vote_response(now, B, support(ask, 3));
    let before = election.can_change_membership(now);
    state.highest_ballot = Some(ask.ballot);
    election.observe_club(now, &state);

    assert!(!before);
    assert!(election.can_change_membership(now));
}

/// Guards against a single voter that loses control by admitting another
/// member, which does not vote before it has read the record.
#[test]
fn admission_does_not_end_the_lease() {
    let mut election = Election::new(A, Time(0));
    election.observe_club(Time(0), &club(1, 1, &[A]));
    let mut now = Time(2 * SECOND);
    while election.held_ballot(now).is_none() {
        now = now + Duration::from_millis(10);
        election.tick(now, 0);
    }

    election.observe_club(now, &club(1, 2, &[A, B]));

    assert!(election.held_ballot(now).is_some());
    assert!(!election.can_change_membership(now));
}

/// Guards against a holder that never counts the majority of the membership
/// that it has changed to.
#[test]
fn informed_majority_replaces_the_previous_one() {
    let (mut election, mut now) = voter();
    let ask = stand(&mut election, &mut now);
    election.handle_vote_response(now, B, support(ask, 3));
    let mut state = club(1, 4, &[A, B, C, Instance(4)]);
    state.highest_ballot = Some(ask.ballot);

    election.observe_club(now, &state);
    let again = stand(&mut election, &mut now);
    election.handle_vote_response(now, B, support(again, 4));
    let known = election.can_change_membership(now);
    election.handle_vote_response(now, C, support(again, 4));

    assert!(!known);
    assert!(election.can_change_membership(now));
}

/// Guards against a holder that keeps control of a term that was reset, even
/// where it is the only voter of the new term.
#[test]
fn reset_ends_the_lease() {
    for voter_of_new_term in [A, C] {
        let (mut election, mut now) = voter();
        let ask = stand(&mut election, &mut now);
        election.handle_vote_response(now, B, support(ask, 3));
        assert_eq!(election.holder(now), Some(A));

        election.observe_club(now, &club(9, 4, &[voter_of_new_term]));

        assert_eq!(election.held_ballot(now), None);
        assert_eq!(election.holder(now), None);
    }
}
