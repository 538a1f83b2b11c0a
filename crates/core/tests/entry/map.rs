//! Owner maps: computing and applying changes.

use std::collections::BTreeMap;

use medlarreel_core::entry::map::{KeyRange, OwnerMap};
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;

use crate::fixture::owner;

/// Ranges that end at the given keys, with owners by number; 0 means no owner.
fn ranges(ends: impl IntoIterator<Item = u16>, owners: &[u8]) -> Vec<KeyRange> {
    let mut first = 0;
    let ends = ends.into_iter().filter(|end| *end < u16::MAX);
    let ends = ends.chain([u16::MAX]);
    let ranges = ends.zip(owners.iter().cycle()).map(|(last, &number)| {
        let range = KeyRange {
            first,
            last,
            owner: (number > 0).then(|| owner(number)),
            wait_ms: if number > 0 { 0 } else { 400 },
            releasing: false,
        };
        first = last.saturating_add(1);
        range
    });
    ranges.collect()
}

fn owner_map(version: u64, services: BTreeMap<String, Vec<KeyRange>>) -> OwnerMap {
    OwnerMap {
        epoch: 3,
        version,
        services,
    }
}

fn services() -> impl Strategy<Value = BTreeMap<String, Vec<KeyRange>>> {
    let key_ranges = (btree_set(0..40u16, 0..8), vec(0..4u8, 1..9));
    let key_ranges = key_ranges.prop_map(|(ends, owners)| ranges(ends, &owners));
    proptest::collection::btree_map("[ab]", key_ranges, 0..3)
}

proptest! {
    /// Guards against an instance whose map diverges from the leader's after a change.
    #[test]
    fn applied_change_yields_the_newer_map(before in services(), after in services()) {
        let (before, after) = (owner_map(1, before), owner_map(2, after));

        let changed = before.apply(before.change_to(&after));

        prop_assert_eq!(changed, Some(after));
    }
}

/// Guards against a change that is applied although the one before it was lost.
#[test]
fn change_based_on_another_map_is_rejected() {
    let services = |number| BTreeMap::from([("intake".into(), ranges([], &[number]))]);
    let first = owner_map(1, services(1));
    let (second, third) = (owner_map(2, services(2)), owner_map(3, services(3)));

    let changed = first.apply(second.change_to(&third));

    assert_eq!(changed, None);
}

/// Guards against a change whose size grows with the map instead of with the number of
/// ranges that differ.
#[test]
fn change_contains_only_ranges_that_differ() {
    let ends: Vec<u16> = (0..100).map(|index| index * 500).collect();
    let mut owners: Vec<u8> = (1..=101).collect();
    let before = owner_map(
        1,
        BTreeMap::from([("intake".into(), ranges(ends.clone(), &owners))]),
    );
    owners[40] = 0;
    let after = owner_map(
        2,
        BTreeMap::from([("intake".into(), ranges(ends, &owners))]),
    );

    let change = before.change_to(&after);

    assert_eq!(
        change.ranges["intake"],
        [after.services["intake"][40].clone()]
    );
}
