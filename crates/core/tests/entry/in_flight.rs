//! Tests of the bound on bytes in flight to an upstream.

use medlarreel_core::entry::in_flight::BodiesInFlight;
use medlarreel_core::ids::Upstream;

/// Largest body that callers may send, in bytes.
const LIMIT: usize = 8 << 20;

/// Guards against an upstream that ends because it holds more large bodies than it has memory
/// for, and against ordinary requests or a single large one that are refused for that.
#[test]
fn large_bodies_to_one_upstream_are_bounded() {
    let (one, other) = (Upstream(1), Upstream(2));
    let mut bodies = BodiesInFlight::default();

    let largest = bodies.begin(one, LIMIT, LIMIT);
    let second = bodies.begin(one, 1 << 20, LIMIT);
    let small = bodies.begin(one, 1 << 10, LIMIT);
    let elsewhere = bodies.begin(other, 2 * LIMIT, LIMIT);
    bodies.end(one, 1 << 10);
    let still_full = bodies.begin(one, 1 << 20, LIMIT);
    bodies.end(one, LIMIT);
    let after = bodies.begin(one, 1 << 20, LIMIT);

    assert!(largest && small && elsewhere && after);
    assert!(!second && !still_full);
}
