//! Cost and traffic of the renewal of control, by members that vote.

use std::time::Instant;

use medlarreel_core::control::{Election, RENEWAL_INTERVAL};
use medlarreel_core::ids::Instance;
use medlarreel_core::time::Time;
use medlarreel_core::wire::{Message, VoteRequest, VoteResponse};

use super::fleet::Fleet;
use super::sizes::frame_size;
use super::table::{Table, slope};
use super::{heap_bytes, measure};

/// Time after which a new process may vote, and some more.
const WARM: Time = Time(2_000_000);

/// Votes that are timed at a holder that has all other votes.
const VOTES: usize = 100;

/// Table by members.
pub fn tables() -> Vec<Table> {
    let columns = [
        "members",
        "tick us",
        "slope",
        "ask ns",
        "vote ns",
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
    let (mut ticks, mut votes) = (None, None);
    for members in [5, 10, 12, 31, 100, 1_000, 14_000] {
        let cost = cost(members);
        let rate = 1.0 / RENEWAL_INTERVAL.as_secs_f64();
        let others = members as f64 - 1.0;
        let size = members as f64;
        let busy = rate * (cost.tick * 1e3 + others * cost.vote) / 1e7;
        table.row(vec![
            members.to_string(),
            format!("{:.1}", cost.tick),
            slope(ticks, size, cost.tick),
            format!("{:.0}", cost.ask),
            format!("{:.0}", cost.vote),
            slope(votes, size, cost.vote),
            format!("{:.0}", 2.0 * others * rate),
            format!("{:.0}", others * rate * cost.asked),
            format!("{:.0}", others * rate * cost.voted),
            format!("{:.0}", rate * (cost.asked + cost.voted)),
            format!("{busy:.3}"),
            format!("{:.0}", cost.bytes),
        ]);
        (ticks, votes) = (Some((size, cost.tick)), Some((size, cost.vote)));
    }
    vec![table]
}

/// Cost in microseconds of a tick, nanoseconds of the others, and bytes.
struct Cost {
    tick: f64,
    ask: f64,
    vote: f64,
    asked: f64,
    voted: f64,
    bytes: f64,
}

fn cost(members: u64) -> Cost {
    let fleet = Fleet {
        members,
        upstreams: 1,
        shards: 1,
        domains: 3,
    };
    let state = fleet.state();
    let club = &state.clubs()[0];
    let joined = |key| {
        let mut election = Election::new(Instance(key), Time(0));
        election.observe_club(WARM, club);
        election
    };
    let mut holder = joined(1);
    // A candidate draws its wait at one tick and stands at a later one.
    holder.tick(WARM, 0);
    let now = WARM + std::time::Duration::from_millis(500);
    let asked = ask_of(&holder.tick(now, 0));
    (2..=members).for_each(|key| holder.handle_vote_response(now, Instance(key), vote_for(asked)));
    assert!(holder.held_ballot(now).is_some(), "all members voted");
    let later = now + RENEWAL_INTERVAL;
    let asked = ask_of(&holder.clone().tick(later, 0));
    let tick = measure(&holder, 1, |holder| holder.tick(later, 0)) / 1e3;
    holder.tick(later, 0);
    let count = VOTES.min(members as usize - 1);
    let vote = measure(&holder, count, |holder| {
        (2..2 + count as u64)
            .for_each(|key| holder.handle_vote_response(later, Instance(key), vote_for(asked)));
    });
    let mut voter = joined(2);
    let begin = Instant::now();
    let rounds = 1_000;
    let granted =
        (0..rounds).filter(|_| voter.handle_vote_request(later, Instance(1), asked).granted);
    assert_eq!(granted.count(), rounds, "the only candidate gets the votes");
    let ask = begin.elapsed().as_nanos() as f64 / rounds as f64;
    let (asked, voted) = realistic(asked);
    Cost {
        tick,
        ask,
        vote,
        asked: frame_size(Message::VoteRequest(asked)) as f64,
        voted: frame_size(Message::VoteResponse(voted)) as f64,
        bytes: heap_bytes(&holder),
    }
}

fn ask_of(messages: &[(Instance, Message)]) -> VoteRequest {
    let ask = messages.iter().find_map(|(_, message)| match message {
        Message::VoteRequest(ask) => Some(*ask),
        _ => None,
    });
    ask.expect("a candidate or holder asks")
}

fn vote_for(ask: VoteRequest) -> VoteResponse {
    VoteResponse {
        ballot: ask.ballot,
        nonce: ask.nonce,
        granted: true,
        highest_ballot: ask.ballot,
        membership_version: ask.membership_version,
    }
}

/// The same messages with random ids and a late term, as they are in service.
fn realistic(mut ask: VoteRequest) -> (VoteRequest, VoteResponse) {
    ask.ballot = super::sizes::ballot();
    ask.nonce = 1_000_000;
    (ask, vote_for(ask))
}
