//! Assignment of keys: balance, movement and hot keys.

use std::collections::BTreeMap;

use medlarreel_core::entry::permit::Rate;
use medlarreel_core::entry::plan::{self, Candidate, KeyWeights, PlannedRange, assign_ranges};
use proptest::prelude::*;

use crate::fixture::{candidates, ms, owner};

/// Maximum ratio of an upstream's load to its share that the requirements allow.
const MAX_IMBALANCE: f64 = 1.15;

fn unassigned() -> Vec<PlannedRange> {
    vec![PlannedRange {
        first: 0,
        last: u16::MAX,
        owner: None,
    }]
}

fn load(ranges: &[PlannedRange], candidate: &Candidate, weights: &KeyWeights) -> f64 {
    let owned = ranges
        .iter()
        .filter(|range| range.owner.as_ref() == Some(&candidate.owner));
    owned
        .map(|range| weights.range_weight(range.first, range.last))
        .sum()
}

fn moved_fraction(before: &[PlannedRange], after: &[PlannedRange]) -> f64 {
    let owner_of = |ranges: &[PlannedRange], key: u16| {
        let index = ranges.partition_point(|range| range.last < key);
        ranges[index].owner.clone()
    };
    let keys = (0..=u16::MAX).step_by(16);
    let all = keys.clone().count() as f64;
    let changed = keys.filter(|key| owner_of(before, *key) != owner_of(after, *key));
    changed.count() as f64 / all
}

/// Guards against an uneven initial assignment.
#[test]
fn initial_assignment_is_even() {
    let candidates = candidates(15);
    let weights = KeyWeights::default();

    let ranges = assign_ranges(&unassigned(), &candidates, &weights);

    for candidate in &candidates {
        let relative = load(&ranges, candidate, &weights) * 15.0;
        assert!(relative < MAX_IMBALANCE, "{relative}");
    }
}

/// Guards against moving keys of live owners when another owner is lost.
#[test]
fn only_the_keys_of_a_lost_owner_move() {
    let all = candidates(15);
    let weights = KeyWeights::default();
    let before = assign_ranges(&unassigned(), &all, &weights);

    let after = assign_ranges(&before, &all[1..], &weights);

    assert!(moved_fraction(&before, &after) < 1.2 / 15.0);
}

/// Guards against an upstream that joins and is assigned no keys.
#[test]
fn joining_upstream_gets_its_share() {
    let all = candidates(16);
    let weights = KeyWeights::default();
    let before = assign_ranges(&unassigned(), &all[1..], &weights);

    let after = assign_ranges(&before, &all, &weights);

    let share = load(&after, &all[0], &weights) * 16.0;
    assert!(share > 0.5, "{share}");
    assert!(moved_fraction(&before, &after) < 1.2 * 2.0 / 16.0);
}

/// Guards against keys that queue behind a hot key with a third of all requests.
#[test]
fn hot_key_gets_an_owner_to_itself() {
    let all = candidates(15);
    let before = assign_ranges(&unassigned(), &all, &KeyWeights::default());
    let mut counts: BTreeMap<u16, f64> = (0..200).map(|key| (key * 300, 1.0)).collect();
    counts.insert(12_345, 100.0);
    let weights = KeyWeights::new(counts);

    let after = assign_ranges(&before, &all, &weights);

    let hot = after
        .iter()
        .find(|range| (range.first..=range.last).contains(&12_345));
    let hot = hot.unwrap();
    assert_eq!((hot.first, hot.last), (12_345, 12_345));
    let range_count = after
        .iter()
        .filter(|range| range.owner == hot.owner)
        .count();
    assert_eq!(range_count, 1);
}

proptest! {
    /// Guards against gaps, overlaps and missing keys, for arbitrary weights.
    #[test]
    fn every_key_has_one_owner(
        count in 1u8..20,
        lost in 0u8..5,
        counts in prop::collection::btree_map(any::<u16>(), 0.1..50.0f64, 0..60),
    ) {
        let all = candidates(count);
        let weights = KeyWeights::new(counts);
        let before = assign_ranges(&unassigned(), &all, &KeyWeights::default());
        let remaining = &all[usize::from(lost.min(count - 1))..];

        let after = assign_ranges(&before, remaining, &weights);

        let mut next = 0u32;
        for range in &after {
            prop_assert_eq!(u32::from(range.first), next);
            prop_assert!(
                remaining
                    .iter()
                    .any(|candidate| Some(&candidate.owner) == range.owner.as_ref())
            );
            next = u32::from(range.last) + 1;
        }
        prop_assert_eq!(next, 65_536);
    }
}

/// Guards against a plan that drops the current owners when there is no candidate.
#[test]
fn nothing_moves_without_candidates() {
    let before = assign_ranges(&unassigned(), &candidates(2), &KeyWeights::default());

    let after = assign_ranges(&before, &[], &KeyWeights::default());

    assert_eq!(before, after);
    assert_eq!(after[0].owner, Some(owner(1)));
}

/// Guards against keys that move because of random variation alone, when there are many
/// owners and each receives only a few requests within the measured period.
#[test]
fn random_variation_of_few_requests_moves_nothing() {
    let candidates = candidates(200);
    let current = assign_ranges(&unassigned(), &candidates, &KeyWeights::default());
    // Counts of 1 to 7 requests per owner, four on average.
    let counts = current.iter().enumerate().map(|(index, range)| {
        let count = 1.0 + (index * 37 % 7) as f64;
        (range.first, count)
    });
    let weights = KeyWeights::new(counts.collect());

    let planned = assign_ranges(&current, &candidates, &weights);

    assert_eq!(planned, current);
}

/// Guards against keys that stay with an owner that limits its rate, while others have room.
#[test]
fn owner_that_limits_its_rate_gives_keys_up() {
    let mut upstreams = candidates(3);
    let weights = KeyWeights::new(BTreeMap::new());
    let before = assign_ranges(&unassigned(), &upstreams, &weights);
    let run_time = ms(200);

    // 3 requests per second of 200 ms keep 0.6 of its 6 slots busy.
    upstreams[0].capacity = plan::capacity(6, 1.0, Rate::from_per_second(3.0), run_time);
    let after = assign_ranges(&before, &upstreams, &weights);

    let share = load(&after, &upstreams[0], &weights);
    assert!(load(&before, &upstreams[0], &weights) > 0.3);
    assert!(share > 0.0 && share < 0.1, "{share}");
}

/// Guards against keys that an upstream loses before its step of an evacuation, against ones
/// that it gains, and against others that get more than their share at the end.
#[test]
fn upstream_without_capacity_keeps_its_keys_and_gets_no_more() {
    let mut candidates = candidates(4);
    let weights = KeyWeights::default();
    let before = assign_ranges(&unassigned(), &candidates, &weights);
    let staying = candidates[0].owner.clone();
    let kept = load(&before, &candidates[0], &weights);
    candidates[0].capacity = 0.0;
    candidates.remove(1);

    let after = assign_ranges(&before, &candidates, &weights);

    assert_eq!(candidates[0].owner, staying);
    assert!((load(&after, &candidates[0], &weights) - kept).abs() < 1e-9);
    assert!((moved_fraction(&before, &after) - 0.25).abs() < 0.01);
    for candidate in &candidates[1..] {
        let relative = load(&after, candidate, &weights) * 2.0;
        assert!(relative < MAX_IMBALANCE, "{relative}");
    }
}
