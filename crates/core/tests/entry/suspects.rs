//! Tests of the requests that are suspected of crashing upstreams.

use std::time::Duration;

use medlarreel_core::entry::suspects::{Crash, Fingerprint, Suspects, Trials};

use crate::fixture::{address, at, ms};

fn crash(request: u128, upstream: u64) -> Crash {
    Crash {
        fingerprint: Fingerprint(request),
        upstream,
        age_ms: 0,
    }
}

/// Guards against an innocent request being kept out: it is in flight at upstreams that
/// crash, but is answered in between.
#[test]
fn request_that_is_answered_between_crashes_is_not_blocked() {
    let (mut suspects, request) = (Suspects::default(), Fingerprint(1));

    for upstream in 0..20 {
        let now = at(upstream * 1_000);
        suspects.record_crash(now, &crash(1, upstream));
        if upstream % 2 == 1 {
            suspects.acquit(now + ms(500), request, Duration::ZERO);
        }
        assert_eq!(suspects.blocked_until(now + ms(600), request), None);
    }
}

/// Guards against one crash that counts several times because several instances report it,
/// or because the report is repeated.
#[test]
fn each_upstream_counts_once() {
    let mut suspects = Suspects::default();

    for time in 0..10 {
        suspects.record_crash(at(time * 100), &crash(1, 7));
        suspects.record_crash(at(time * 100), &crash(1, 8));
    }
    let before = suspects.blocked_until(at(2_000), Fingerprint(1));
    let blocked = suspects.record_crash(at(2_000), &crash(1, 9));

    assert_eq!((before, blocked), (None, Some(3)));
    assert!(suspects.blocked_until(at(2_001), Fingerprint(1)).is_some());
    assert_eq!(suspects.blocked_until(at(2_001), Fingerprint(2)), None);
}

/// Guards against a report that arrives late and counts against a request that was answered
/// after the crash.
#[test]
fn crash_before_an_answer_does_not_count() {
    let mut suspects = Suspects::default();
    for upstream in 0..2 {
        suspects.record_crash(at(0), &crash(1, upstream));
    }
    suspects.acquit(at(1_000), Fingerprint(1), Duration::ZERO);

    let late = Crash {
        age_ms: 1_500,
        ..crash(1, 3)
    };
    suspects.record_crash(at(2_000), &late);
    suspects.record_crash(at(2_000), &crash(1, 4));
    suspects.record_crash(at(2_100), &crash(1, 5));

    assert_eq!(suspects.blocked_until(at(2_200), Fingerprint(1)), None);
}

/// Guards against a block without end, and against one that starts again from nothing.
#[test]
fn block_ends_and_lasts_longer_after_a_further_crash() {
    let mut suspects = Suspects::default();
    for upstream in 0..3 {
        suspects.record_crash(at(0), &crash(1, upstream));
    }
    let first = suspects.blocked_until(at(1), Fingerprint(1)).unwrap();

    let ended = suspects.blocked_until(first, Fingerprint(1));
    suspects.record_crash(first, &crash(1, 10));
    let second = suspects.blocked_until(first, Fingerprint(1)).unwrap();

    assert_eq!(ended, None);
    assert!(second.since(first) > first.since(at(0)));
}

/// Guards against callers that fill the table to push a crashing request out of it.
#[test]
fn blocked_request_stays_while_others_fill_the_table() {
    let mut suspects = Suspects::default();
    for upstream in 0..3 {
        suspects.record_crash(at(0), &crash(1, upstream));
    }

    for request in 100..10_000 {
        suspects.record_crash(at(1_000), &crash(request, 50));
    }

    assert!(suspects.blocked_until(at(1_001), Fingerprint(1)).is_some());
    assert_eq!(suspects.blocked_count(at(1_001)), 1);
}

/// Guards against an instance that has started since the crashes and knows nothing of them.
#[test]
fn instances_with_different_blocked_requests_notice_it() {
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    for upstream in 0..3 {
        one.record_crash(at(0), &crash(1, upstream));
    }
    let differs = one.digest(at(100)) != other.digest(at(100));

    for crash in one.blocked_crashes(at(100)) {
        other.record_crash(at(100), &crash);
    }

    assert!(differs);
    assert_eq!(one.digest(at(200)), other.digest(at(200)));
    assert!(other.blocked_until(at(200), Fingerprint(1)).is_some());
}

/// Guards against requests of different callers, or with shifted parts, counting as one.
#[test]
fn fingerprints_differ_by_each_part() {
    let requests: [&[&[u8]]; 4] = [&[b"a", b"bc"], &[b"ab", b"c"], &[b"abc"], &[b"a", b"bd"]];

    let mut fingerprints: Vec<_> = requests
        .iter()
        .map(|parts| Fingerprint::of(parts))
        .collect();
    fingerprints.sort();
    fingerprints.dedup();

    assert_eq!(fingerprints.len(), 4);
    assert_eq!(Fingerprint::of(requests[0]), Fingerprint::of(requests[0]));
}

/// Guards against two instances that send a suspected request at the same time, and against a
/// trial without end.
#[test]
fn one_instance_at_a_time_has_leave() {
    let (mut trials, request) = (Trials::default(), Fingerprint(1));

    let first = trials.begin(at(0), request, address(1));
    let second = trials.begin(at(100), request, address(2));
    let repeated = trials.begin(at(150), request, address(1));
    trials.end_of(request, address(2));
    let still = trials.begin(at(200), request, address(2));
    trials.end_of(request, address(1));
    let after = trials.begin(at(300), request, address(2));
    let unreported = trials.begin(at(10_000), request, address(3));

    assert_eq!((first, second, repeated), (true, false, true));
    assert_eq!((still, after, unreported), (false, true, true));
}
