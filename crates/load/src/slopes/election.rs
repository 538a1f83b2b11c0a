//! Cost and traffic of renewing the control lease, by the number of voting members.

use std::time::Instant;

use medlarreel_core::control::{Election, RENEWAL_INTERVAL};
use medlarreel_core::ids::Instance;
use medlarreel_core::time::Time;
use medlarreel_core::wire::{Message, VoteRequest, VoteResponse};

use super::fleet::Fleet;
use super::sizes::frame_size;
use super::table::{Table, slope};
use super::{heap_bytes, measure};

/// Time at which a process started at time 0 may vote, with some margin.
const VOTING_START: Time = Time(2_000_000);

/// Maximum number of vote responses timed in one measurement.
const MAX_TIMED_VOTES: usize = 100;

/// Costs by the number of members.
pub fn tables() -> Vec<Table> {
    let columns = [
        "members",
        "tick us",
        "slope",
        "request ns",
        "response ns",
        "slope",
        "holder msg/s",
        "holder B/s out",
        "holder B/s in",
        "voter B/s",
        "holder core %",
        "state bytes",
    ];
    let title = "control::Election with a renewal every 250 ms, by voters";
    let mut table = Table::new(title, &columns);
    let (mut previous_tick, mut previous_response) = (None, None);
    for members in [5, 10, 12, 31, 100, 1_000, 14_000] {
        let cost = renewal_cost(members);
        let renewals_per_second = 1.0 / RENEWAL_INTERVAL.as_secs_f64();
        let other_members = members as f64 - 1.0;
        let size = members as f64;
        let core_percent =
            renewals_per_second * (cost.tick_us * 1e3 + other_members * cost.response_ns) / 1e7;
        table.add_row(vec![
            members.to_string(),
            format!("{:.1}", cost.tick_us),
            slope(previous_tick, size, cost.tick_us),
            format!("{:.0}", cost.request_ns),
            format!("{:.0}", cost.response_ns),
            slope(previous_response, size, cost.response_ns),
            format!("{:.0}", 2.0 * other_members * renewals_per_second),
            format!(
                "{:.0}",
                other_members * renewals_per_second * cost.request_bytes
            ),
            format!(
                "{:.0}",
                other_members * renewals_per_second * cost.response_bytes
            ),
            format!(
                "{:.0}",
                renewals_per_second * (cost.request_bytes + cost.response_bytes)
            ),
            format!("{core_percent:.3}"),
            format!("{:.0}", cost.state_bytes),
        ]);
        (previous_tick, previous_response) =
            (Some((size, cost.tick_us)), Some((size, cost.response_ns)));
    }
    vec![table]
}

/// Cost of renewing the control lease once.
struct RenewalCost {
    /// Holder's tick that requests the votes.
    tick_us: f64,
    /// Voter's handling of a vote request.
    request_ns: f64,
    /// Holder's handling of a vote response.
    response_ns: f64,
    /// Frame size of a vote request.
    request_bytes: f64,
    /// Frame size of a vote response.
    response_bytes: f64,
    /// Heap size of the holder's election state.
    state_bytes: f64,
}

fn renewal_cost(members: u64) -> RenewalCost {
    let fleet = Fleet {
        members,
        upstreams: 1,
        shards: 1,
        domains: 3,
    };
    let state = fleet.state();
    let club = &state.clubs()[0];
    let new_member = |key| {
        let mut election = Election::new(Instance(key), Time(0));
        election.observe_club(VOTING_START, club);
        election
    };
    let mut holder = new_member(1);
    // A candidate draws its random delay at one tick and requests votes at a later one.
    holder.tick(VOTING_START, 0);
    let now = VOTING_START + std::time::Duration::from_millis(500);
    let request = vote_request_in(&holder.tick(now, 0));
    (2..=members)
        .for_each(|key| holder.handle_vote_response(now, Instance(key), granted_vote(request)));
    assert!(holder.held_ballot(now).is_some(), "all members voted");
    let due = now + RENEWAL_INTERVAL;
    let request = vote_request_in(&holder.clone().tick(due, 0));
    let tick_us = measure(&holder, 1, |holder| holder.tick(due, 0)) / 1e3;
    holder.tick(due, 0);
    let count = MAX_TIMED_VOTES.min(members as usize - 1);
    let response_ns = measure(&holder, count, |holder| {
        (2..2 + count as u64)
            .for_each(|key| holder.handle_vote_response(due, Instance(key), granted_vote(request)));
    });
    let mut voter = new_member(2);
    let begin = Instant::now();
    let rounds = 1_000;
    let votes =
        (0..rounds).filter(|_| voter.handle_vote_request(due, Instance(1), request).granted);
    assert_eq!(votes.count(), rounds, "the only candidate gets the votes");
    let request_ns = begin.elapsed().as_nanos() as f64 / rounds as f64;
    let (request, response) = with_realistic_sizes(request);
    RenewalCost {
        tick_us,
        request_ns,
        response_ns,
        request_bytes: frame_size(Message::VoteRequest(request)) as f64,
        response_bytes: frame_size(Message::VoteResponse(response)) as f64,
        state_bytes: heap_bytes(&holder),
    }
}

/// Vote request among the messages of a candidate or holder.
fn vote_request_in(messages: &[(Instance, Message)]) -> VoteRequest {
    let request = messages.iter().find_map(|(_, message)| match message {
        Message::VoteRequest(request) => Some(*request),
        _ => None,
    });
    request.expect("candidates and holders request votes")
}

/// Response that grants the vote.
fn granted_vote(request: VoteRequest) -> VoteResponse {
    VoteResponse {
        ballot: request.ballot,
        nonce: request.nonce,
        granted: true,
        highest_ballot: request.ballot,
        membership_version: request.membership_version,
    }
}

/// The request and its response with ids and a term as large as in production.
fn with_realistic_sizes(mut request: VoteRequest) -> (VoteRequest, VoteResponse) {
    request.ballot = super::sizes::ballot();
    request.nonce = 1_000_000;
    (request, granted_vote(request))
}
