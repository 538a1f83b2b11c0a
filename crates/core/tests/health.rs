//! Tests of passive health checks, ejection and load balancing.

use std::time::Duration;

use medlarreel_core::health::{
    Candidate, FULL_WEIGHT, HealthState, Observation, Thresholds, UpstreamGroup,
};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;
use proptest::prelude::*;

/// One millisecond in microseconds, the unit of `Time`.
const MS: u64 = 1_000;

fn group(size: u32) -> UpstreamGroup {
    let mut group = UpstreamGroup::new(Thresholds::default());
    (0..size).for_each(|key| group.add(Time(0), Upstream(key), false));
    group
}

fn exchange(group: &mut UpstreamGroup, now: u64, upstream: u32, result: Observation) {
    group.observe(Time(now), Upstream(upstream), Observation::Sent);
    group.observe(Time(now), Upstream(upstream), result);
}

fn fail_three_times(group: &mut UpstreamGroup, now: u64, upstream: u32) {
    (0..3).for_each(|_| exchange(group, now, upstream, Observation::Failed));
}

fn answer(group: &mut UpstreamGroup, now: u64, upstream: u32, ms: u64) {
    exchange(
        group,
        now,
        upstream,
        Observation::Answered(Duration::from_millis(ms)),
    );
}

/// Guards against single errors ejecting an upstream, and against dead upstreams that
/// stay in service.
#[test]
fn consecutive_errors_eject_and_an_answer_restores() {
    let mut group = group(3);
    fail_three_times(&mut group, 0, 0);
    exchange(&mut group, 0, 1, Observation::Failed);
    exchange(&mut group, 0, 1, Observation::Failed);
    answer(&mut group, 0, 1, 1);
    exchange(&mut group, 0, 1, Observation::Failed);

    group.review(Time(MS));
    assert_eq!(group.state(Upstream(0)), Some(HealthState::Dead));
    assert_eq!(group.weight(Time(MS), Upstream(0)), 0);
    assert_eq!(group.state(Upstream(1)), Some(HealthState::Alive));

    exchange(&mut group, 2 * MS, 0, Observation::ProbeAnswered);
    group.review(Time(2 * MS));
    assert_eq!(group.state(Upstream(0)), Some(HealthState::Alive));
    assert!(!group.is_ejected(Upstream(0)));
}

/// Guards against full load on an upstream that has just recovered or joined.
#[test]
fn slow_start_takes_ten_seconds() {
    let mut group = group(1);
    group.add(Time(0), Upstream(9), true);

    let weights = [0, 5_000, 10_000].map(|ms| group.weight(Time(ms * MS), Upstream(9)));

    assert_eq!(weights, [100, 550, FULL_WEIGHT]);
    assert_eq!(group.weight(Time(0), Upstream(0)), FULL_WEIGHT);
}

/// Guards against one silent connection marking its upstream as dead, and against a
/// frozen upstream that still receives requests.
#[test]
fn silence_counts_only_while_answers_are_due() {
    let mut group = group(3);
    for upstream in 0..3 {
        group.observe(Time(0), Upstream(upstream), Observation::Sent);
    }
    // Upstream 2 has no outstanding request afterwards, so no answer is due.
    for upstream in [0, 2] {
        group.observe(Time(900 * MS), Upstream(upstream), Observation::Abandoned);
    }
    exchange(&mut group, 1_000 * MS, 0, Observation::ProbeAnswered);

    group.review(Time(1_600 * MS));

    assert_eq!(group.state(Upstream(0)), Some(HealthState::Alive));
    assert_eq!(group.state(Upstream(1)), Some(HealthState::Dead));
    assert_eq!(group.state(Upstream(2)), Some(HealthState::Alive));
}

/// Guards against gray failures: an upstream that sheds or is slow, but keeps full load.
#[test]
fn slow_and_shedding_upstreams_get_less_weight() {
    let mut group = group(4);
    for upstream in 0..4 {
        let ms = if upstream == 0 { 50 } else { 2 };
        (0..8).for_each(|_| answer(&mut group, 0, upstream, ms));
    }
    (0..4).for_each(|_| exchange(&mut group, 0, 1, Observation::Shed));

    group.review(Time(MS));
    assert_eq!(group.state(Upstream(0)), Some(HealthState::Slow));
    assert_eq!(group.state(Upstream(1)), Some(HealthState::Shedding));
    assert!(group.weight(Time(MS), Upstream(0)) < FULL_WEIGHT);
    assert!(group.weight(Time(MS), Upstream(1)) < FULL_WEIGHT);

    (0..40).for_each(|_| answer(&mut group, MS, 0, 2));
    group.review(Time(3_000 * MS));
    assert_eq!(group.state(Upstream(0)), Some(HealthState::Alive));
    assert_eq!(group.state(Upstream(1)), Some(HealthState::Alive));
}

/// Guards against new requests to a draining upstream, whether alive or dead.
#[test]
fn a_draining_upstream_gets_no_requests() {
    let mut group = group(3);
    group.set_draining(Upstream(0), true);
    fail_three_times(&mut group, 0, 0);

    group.review(Time(0));

    assert_eq!(group.state(Upstream(0)), Some(HealthState::Draining));
    assert_eq!(group.weight(Time(0), Upstream(0)), 0);
    assert_eq!(group.max_ejected(), 0, "two stay, so none may be ejected");
}

/// Guards against a stale or wrong load report attracting requests to a busy upstream.
#[test]
fn load_reports_only_break_ties() {
    let group = group(3);
    let candidates = [(0, 5, Some(0)), (1, 2, Some(6)), (2, 2, Some(3))];
    let candidates = candidates.map(|(key, queue, reported)| Candidate {
        upstream: Upstream(key),
        local_load: queue,
        reported_load: reported,
    });

    for draw in 0..3 {
        assert_eq!(group.choose(Time(0), &candidates, draw), Some(Upstream(2)));
    }
    assert_eq!(group.choose(Time(0), &[], 0), None);
}

/// Guards against all instances choosing the same one of several equal upstreams.
#[test]
fn draws_spread_over_equal_upstreams() {
    let group = group(4);
    let candidate = |key| Candidate {
        upstream: Upstream(key),
        local_load: 0,
        reported_load: None,
    };
    let candidates = [0, 1, 2, 3].map(candidate);
    let mut counts = [0; 4];

    for draw in 0..4_000_u64 {
        let chosen = group.choose(
            Time(0),
            &candidates,
            draw.wrapping_mul(0xA076_1D64_78BD_642F),
        );
        counts[chosen.expect("all are alive").0 as usize] += 1;
    }

    assert!(
        counts.iter().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}

proptest! {
    /// Guards against a faulty instance ejecting all upstreams.
    #[test]
    fn at_most_a_third_is_ejected(
        size in 0..20u32,
        steps in prop::collection::vec((0..20u32, 0..5u8, 0..500u64), 1..200),
    ) {
        let mut group = group(size);
        let mut now = 0;
        for (upstream, action, wait) in steps {
            now += wait * MS;
            match action {
                0 => answer(&mut group, now, upstream, 1),
                1 => group.set_draining(Upstream(upstream), wait % 2 == 0),
                2 => group.remove(Upstream(upstream)),
                _ => fail_three_times(&mut group, now, upstream),
            }

            group.review(Time(now));

            let known = (0..20).map(Upstream).filter(|key| group.state(*key).is_some());
            let states: Vec<_> = known.map(|key| (group.state(key), group.is_ejected(key))).collect();
            let staying = states.iter().filter(|state| state.0 != Some(HealthState::Draining)).count();
            let dead = states.iter().filter(|state| state.0 == Some(HealthState::Dead)).count();
            let ejected = states.iter().filter(|state| state.1).count();
            prop_assert_eq!(ejected, dead.min(staying / 3));
        }
    }
}
