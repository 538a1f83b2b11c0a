//! Ranges whose owner has refused a request.

use medlarreel_core::entry::doubt::Doubts;
use medlarreel_core::ids::Upstream;

use crate::fixture::at;

const OWNER: Upstream = Upstream(7);

/// Guards against requests that are each refused by an owner whose lease has lapsed: on a
/// site of 295 instances 9,233 of 10,180 second sends were refused like the first.
#[test]
fn requests_wait_after_a_refusal() {
    let mut doubts = Doubts::default();

    doubts.record(at(0), OWNER, 100);

    assert_eq!(doubts.until(at(10), OWNER, 100), Some(at(150)));
    assert_eq!(doubts.until(at(150), OWNER, 100), None);
}

/// Guards against requests that wait although the map names another owner or range.
#[test]
fn another_owner_or_range_is_not_doubted() {
    let mut doubts = Doubts::default();

    doubts.record(at(0), OWNER, 100);

    assert_eq!(doubts.until(at(10), Upstream(8), 100), None);
    assert_eq!(doubts.until(at(10), OWNER, 200), None);
}

/// Guards against refusals of requests in flight that prolong the wait one by one.
#[test]
fn refusals_at_the_same_time_count_once() {
    let mut doubts = Doubts::default();

    doubts.record(at(0), OWNER, 100);
    doubts.record(at(5), OWNER, 100);
    doubts.record(at(140), OWNER, 100);

    assert_eq!(doubts.until(at(141), OWNER, 100), Some(at(150)));
}

/// Guards against an owner that has lost a range for long and is asked again and again.
#[test]
fn wait_grows_with_each_refusal_and_starts_anew_after_a_run() {
    let mut doubts = Doubts::default();
    doubts.record(at(0), OWNER, 100);

    doubts.record(at(200), OWNER, 100);
    assert_eq!(doubts.until(at(201), OWNER, 100), Some(at(500)));
    doubts.clear(OWNER, 100);
    doubts.record(at(600), OWNER, 100);

    assert_eq!(doubts.until(at(601), OWNER, 100), Some(at(750)));
}
