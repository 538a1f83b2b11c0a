//! Owner maps: computing and applying changes.

use std::collections::BTreeMap;

use medlarreel_core::entry::map::{ChangeLog, KeyRange, OwnerMap, OwnerMapChange};
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

        let mut changed = before.clone();
        let applied = changed.apply(before.change_to(&after));

        prop_assert!(applied);
        prop_assert_eq!(changed, after);
    }
}

/// Guards against a change that is applied although the one before it was lost.
#[test]
fn change_based_on_another_map_is_rejected() {
    let services = |number| BTreeMap::from([("intake".into(), ranges([], &[number]))]);
    let first = owner_map(1, services(1));
    let (second, third) = (owner_map(2, services(2)), owner_map(3, services(3)));

    let mut changed = first.clone();
    let applied = changed.apply(second.change_to(&third));

    assert!(!applied);
    assert_eq!(changed, first);
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

/// Changes between maps with the versions 1 to `count`.
fn changes(count: u64) -> Vec<OwnerMapChange> {
    let map = |version: u64| {
        let owners = [1 + (version % 2) as u8];
        let services = BTreeMap::from([("intake".into(), ranges([], &owners))]);
        owner_map(version, services)
    };
    (1..count)
        .map(|version| map(version).change_to(&map(version + 1)))
        .collect()
}

/// Guards against a full map, whose size grows with the fleet, for each instance that has
/// missed a few changes.
#[test]
fn change_log_returns_the_missed_changes() {
    let mut log = ChangeLog::default();
    let changes = changes(10);

    changes
        .iter()
        .cloned()
        .for_each(|change| log.record(change));

    assert_eq!(log.since((3, 8)), Some(changes[7..].to_vec()));
    assert_eq!(log.since((3, 1)), Some(changes));
    assert_eq!(log.since((2, 8)), None);
}

/// Guards against a log that grows without bound, and against changes that do not follow
/// each other.
#[test]
fn change_log_forgets_old_and_unconnected_changes() {
    let mut log = ChangeLog::default();
    let changes = changes(200);

    changes
        .iter()
        .cloned()
        .for_each(|change| log.record(change));
    assert_eq!(log.since((3, 1)), None);
    assert!(log.since((3, 190)).is_some());

    log.record(changes[0].clone());
    assert_eq!(log.since((3, 190)), None);
    assert_eq!(log.since((3, 1)), Some(changes[..1].to_vec()));
}
