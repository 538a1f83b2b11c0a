//! Maps of owners: differences between two of them.

use std::collections::BTreeMap;

use medlarreel_core::entry::map::{KeyRange, OwnerMap};
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;

use crate::fixture::owner;

/// Slices that end at the given keys, with owners by number; 0 is nobody.
fn slices(ends: impl IntoIterator<Item = u16>, owners: &[u8]) -> Vec<KeyRange> {
    let mut first = 0;
    let ends = ends.into_iter().filter(|end| *end < u16::MAX);
    let ends = ends.chain([u16::MAX]);
    let slices = ends.zip(owners.iter().cycle()).map(|(last, &number)| {
        let slice = KeyRange {
            first,
            last,
            owner: (number > 0).then(|| owner(number)),
            wait_ms: if number > 0 { 0 } else { 400 },
            releasing: false,
        };
        first = last.saturating_add(1);
        slice
    });
    slices.collect()
}

fn map(version: u64, services: BTreeMap<String, Vec<KeyRange>>) -> OwnerMap {
    OwnerMap {
        epoch: 3,
        version,
        services,
    }
}

fn services() -> impl Strategy<Value = BTreeMap<String, Vec<KeyRange>>> {
    let some = (btree_set(0..40u16, 0..8), vec(0..4u8, 1..9));
    let some = some.prop_map(|(ends, owners)| slices(ends, &owners));
    proptest::collection::btree_map("[ab]", some, 0..3)
}

proptest! {
    /// Guards against an instance whose map differs from the leader's after a change.
    #[test]
    fn changes_lead_to_the_newer_map(before in services(), after in services()) {
        let (before, after) = (map(1, before), map(2, after));

        let changed = before.apply(before.change_to(&after));

        prop_assert_eq!(changed, Some(after));
    }
}

/// Guards against a change that is applied although an earlier one was lost.
#[test]
fn changes_of_other_maps_are_refused() {
    let services = |number| BTreeMap::from([("intake".into(), slices([], &[number]))]);
    let first = map(1, services(1));
    let (second, third) = (map(2, services(2)), map(3, services(3)));

    let changed = first.apply(second.change_to(&third));

    assert_eq!(changed, None);
}

/// Guards against changes that grow with the map instead of what has changed.
#[test]
fn changes_hold_only_slices_that_differ() {
    let ends: Vec<u16> = (0..100).map(|index| index * 500).collect();
    let mut owners: Vec<u8> = (1..=101).collect();
    let before = map(
        1,
        BTreeMap::from([("intake".into(), slices(ends.clone(), &owners))]),
    );
    owners[40] = 0;
    let after = map(
        2,
        BTreeMap::from([("intake".into(), slices(ends, &owners))]),
    );

    let change = before.change_to(&after);

    assert_eq!(
        change.ranges["intake"],
        [after.services["intake"][40].clone()]
    );
}
