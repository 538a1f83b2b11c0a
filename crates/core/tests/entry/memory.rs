//! Tests of the budget of memory.

use medlarreel_core::entry::memory::{Budget, Holder, Reply, SMALL_BODY_BYTES, Stage};
use medlarreel_core::time::Time;

use crate::fixture::at;

/// Memory of the smallest machines in bytes.
const MEMORY: u64 = 120_000_000;

const MEGABYTE: usize = 1 << 20;

/// Opens a holder of a large body and reserves `bytes` for it, which there is room for.
fn open_large(budget: &mut Budget, now: Time, stage: Stage, bytes: usize) -> Holder {
    let holder = budget.open(now, stage, true);
    assert_eq!(budget.reserve(now, holder, bytes), Reply::Granted);
    holder
}

/// Opens holders in a stage until no further one gets its bytes; returns those that did.
fn fill(budget: &mut Budget, now: Time, stage: Stage) -> Vec<Holder> {
    let room = budget.capacity() * 7 / 8 - budget.held();
    let open = |_| open_large(budget, now, stage, 4 * MEGABYTE);
    (0..room / (4 * MEGABYTE)).map(open).collect()
}

/// Guards against a limit that a single request inside the callers' limits meets.
#[test]
fn one_large_request_and_its_response_fit_into_the_smallest_machine() {
    let mut budget = Budget::new(MEMORY);

    let admitted = budget.admits(64 * MEGABYTE);
    let request = open_large(&mut budget, at(0), Stage::Reading, 64 * MEGABYTE);
    let kept = budget.enter(at(0), request, Stage::Kept);
    let response = budget.open(at(0), Stage::Receiving, true);

    let answered = budget.reserve(at(0), response, 16 * MEGABYTE);
    assert!(admitted && kept);
    assert_eq!(answered, Reply::Granted);
}

/// Guards against more memory being held than there is, whatever arrives in which order.
#[test]
fn holders_never_exceed_the_capacity() {
    let mut budget = Budget::new(MEMORY);
    let stages = [Stage::Reading, Stage::Receiving, Stage::Reading];
    let mut holders = Vec::new();

    for step in 0..20_000_usize {
        let now = at(step as u64);
        if step % 7 == 0 {
            holders.push(budget.open(now, stages[step % 3], step % 2 == 0));
        }
        let holder = holders[(step * 31) % holders.len()];
        match budget.reserve(now, holder, 48 * 1024) {
            Reply::Evict(victim) => budget.close(now, victim),
            Reply::Refused => budget.close(now, holder),
            Reply::Granted | Reply::Wait => {}
        }

        assert!(budget.held() <= budget.capacity());
    }
}

/// Guards against large bodies that leave no memory for ordinary requests.
#[test]
fn small_bodies_fit_beside_large_ones() {
    let mut budget = Budget::new(MEMORY);
    fill(&mut budget, at(0), Stage::Reading);

    let admits_large = budget.admits(8 * MEGABYTE);
    let small = budget.open(at(0), Stage::Reading, false);

    let reply = budget.reserve(at(0), small, SMALL_BODY_BYTES);
    assert!(!admits_large);
    assert_eq!(reply, Reply::Granted);
}

/// Guards against bodies that stall short of their end and are kept while others are refused.
#[test]
fn body_that_stalls_ends_before_one_that_moves() {
    let mut budget = Budget::new(MEMORY);
    let holders = fill(&mut budget, at(0), Stage::Reading);
    let (stalled, moving) = (holders[3], &holders[4..]);
    for holder in holders[..3].iter().chain(moving) {
        budget.release(at(1_500), *holder, MEGABYTE);
        budget.reserve(at(1_500), *holder, MEGABYTE);
    }

    let reply = budget.reserve(at(1_600), moving[0], 8 * MEGABYTE);
    budget.close(at(1_600), stalled);
    let repeated = budget.reserve(at(1_600), moving[0], 4 * MEGABYTE);

    assert_eq!(reply, Reply::Evict(stalled));
    assert_eq!(repeated, Reply::Granted);
}

/// Guards against an answer that its caller reads, slowly but steadily, being closed for a
/// body that arrives.
#[test]
fn request_body_does_not_displace_a_response_that_is_read() {
    let mut budget = Budget::new(MEMORY);
    let responses = fill(&mut budget, at(0), Stage::Writing);
    for response in &responses {
        budget.release(at(1_900), *response, SMALL_BODY_BYTES);
    }
    let request = budget.open(at(2_000), Stage::Reading, true);

    let refused = budget.reserve(at(2_000), request, 8 * MEGABYTE);
    let other = budget.open(at(3_500), Stage::Reading, true);
    let unread = budget.reserve(at(3_500), other, 8 * MEGABYTE);

    assert_eq!(refused, Reply::Refused);
    assert!(matches!(unread, Reply::Evict(victim) if responses.contains(&victim)));
}

/// Guards against a request that was told that it ran, or may run, and is given up for memory.
#[test]
fn requests_in_flight_are_never_evicted() {
    let mut budget = Budget::new(MEMORY);
    for holder in fill(&mut budget, at(0), Stage::Reading) {
        assert!(budget.enter(at(0), holder, Stage::Kept));
    }
    let request = budget.open(at(9_000), Stage::Reading, true);
    let response = budget.open(at(9_000), Stage::Receiving, true);

    let for_request = budget.reserve(at(9_000), request, 16 * MEGABYTE);
    let for_response = budget.reserve(at(9_000), response, 16 * MEGABYTE);

    assert_eq!(for_request, Reply::Refused);
    assert_eq!(for_response, Reply::Wait);
}

/// Guards against responses that wait for each other's memory until their deadlines.
#[test]
fn oldest_response_goes_on_when_only_responses_hold_memory() {
    let mut budget = Budget::new(MEMORY);
    let responses = fill(&mut budget, at(0), Stage::Receiving);
    let (oldest, newest) = (responses[0], responses[responses.len() - 1]);

    let for_newer = budget.reserve(at(0), responses[1], 16 * MEGABYTE);
    let for_oldest = budget.reserve(at(0), oldest, 16 * MEGABYTE);

    assert_eq!(for_newer, Reply::Wait);
    assert_eq!(for_oldest, Reply::Evict(newest));
}

/// Guards against bytes that are counted twice, or not given back, when an evicted body ends.
#[test]
fn evicted_holders_give_back_all_bytes() {
    let mut budget = Budget::new(MEMORY);
    let holders = fill(&mut budget, at(0), Stage::Reading);
    let reply = budget.reserve(at(2_000), holders[0], 16 * MEGABYTE);

    for holder in &holders {
        budget.release(at(2_000), *holder, MEGABYTE);
        budget.close(at(2_000), *holder);
    }

    assert!(matches!(reply, Reply::Evict(_) | Reply::Refused));
    assert_eq!(budget.held(), 0);
    let again = fill(&mut budget, at(3_000), Stage::Reading);
    assert_eq!(again.len(), holders.len());
}

/// Guards against connections without a bound on their memory: they make bodies end.
#[test]
fn connections_displace_bodies_when_memory_is_full() {
    let mut budget = Budget::new(MEMORY);
    fill(&mut budget, at(0), Stage::Reading);
    let room = budget.capacity() - budget.held();

    let with_room = budget.take(at(2_000), room);
    let without = budget.take(at(2_000), 16 * 1024);

    assert_eq!(with_room, None);
    assert!(without.is_some());
}
