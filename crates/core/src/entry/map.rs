//! The map from keys of keyed services to their owners, published by the leader.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use medlarreel_macros::data;

/// Number of recent changes that are kept for instances that have missed some. The leader
/// publishes a few each second.
const MAX_LOGGED_CHANGES: usize = 32;

/// One incarnation of an upstream process.
#[data(value)]
#[derive(PartialOrd, Ord, Hash)]
pub struct Owner {
    /// Identifier of the upstream.
    pub id: String,
    /// Start of this incarnation, in milliseconds of the upstream's wall clock.
    pub born: u64,
    /// Address that this incarnation listens on.
    pub address: SocketAddr,
}

/// Keys from `first` to `last`, both inclusive, that share one owner.
#[data(value)]
pub struct KeyRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// In a published view: the upstream that serves the keys; `None` if none does now.
    /// In records and snapshots: the only upstream that may hold the keys; `None` if no
    /// upstream may hold them.
    pub owner: Option<Owner>,
    /// In a published view: expected milliseconds until the keys are served, if no
    /// upstream serves them now, otherwise 0. In snapshots: milliseconds for which
    /// outstanding grants may remain valid. In records: the same for keys that are being
    /// released, otherwise 0.
    pub wait_ms: u32,
    /// In records and snapshots: whether the keys are being released, so that no grant
    /// follows without a further record. In a published view: always false.
    pub releasing: bool,
}

impl KeyRange {
    /// Whether both ranges have the same owner, wait and release state.
    pub(super) fn has_same_assignment(&self, other: &KeyRange) -> bool {
        let assignment = |range: &KeyRange| (range.wait_ms, range.releasing);
        self.owner == other.owner && assignment(self) == assignment(other)
    }
}

/// Owners of all keyed services.
#[data(value)]
#[derive(Default)]
pub struct OwnerMap {
    /// Epoch of the leader that wrote the map.
    pub epoch: u64,
    /// Version within the epoch, increased with each change.
    pub version: u64,
    /// Ranges by service, in ascending order of keys and without gaps.
    pub services: BTreeMap<String, Vec<KeyRange>>,
}

/// Difference between two maps of one leader. Most maps differ from the previous one
/// in a few ranges, while the size of a full map grows with the number of upstreams.
#[data(value)]
pub struct OwnerMapChange {
    /// Epoch and version of the map that the change applies to; see
    /// `OwnerMap::revision`.
    pub from: (u64, u64),
    /// Epoch and version of the map after the change.
    pub to: (u64, u64),
    /// New ranges by service; they replace all ranges that they overlap.
    pub ranges: BTreeMap<String, Vec<KeyRange>>,
    /// Services that are no longer part of the map.
    pub removed_services: Vec<String>,
}

impl OwnerMap {
    /// Computes the change from this map to a newer one.
    pub fn change_to(&self, newer: &OwnerMap) -> OwnerMapChange {
        let mut ranges = BTreeMap::new();
        for (service, after) in &newer.services {
            let before = self.services.get(service).map_or(&[][..], Vec::as_slice);
            let is_unchanged = |range: &&KeyRange| {
                let index = before.partition_point(|other| other.first < range.first);
                before.get(index) == Some(*range)
            };
            let changed: Vec<KeyRange> = after
                .iter()
                .filter(|range| !is_unchanged(range))
                .cloned()
                .collect();
            if !changed.is_empty() {
                ranges.insert(service.clone(), changed);
            }
        }
        let removed = self.services.keys();
        let removed = removed.filter(|service| !newer.services.contains_key(*service));
        OwnerMapChange {
            from: self.revision(),
            to: newer.revision(),
            ranges,
            removed_services: removed.cloned().collect(),
        }
    }

    /// Applies a change. Returns false, and changes nothing, if the change is based on
    /// another revision.
    pub fn apply(&mut self, change: OwnerMapChange) -> bool {
        if change.from != self.revision() {
            return false;
        }
        for service in &change.removed_services {
            self.services.remove(service);
        }
        for (service, replacements) in change.ranges {
            let ranges = self.services.entry(service).or_default();
            let overlaps =
                |old: &KeyRange, new: &KeyRange| new.first <= old.last && old.first <= new.last;
            ranges.retain(|old| !replacements.iter().any(|new| overlaps(old, new)));
            ranges.extend(replacements);
            ranges.sort_by_key(|range| range.first);
        }
        (self.epoch, self.version) = change.to;
        true
    }

    /// Epoch and version; a map supersedes all maps with a lower revision.
    pub fn revision(&self) -> (u64, u64) {
        (self.epoch, self.version)
    }

    /// Range that contains a key; `None` if the map does not have the service.
    pub fn range_of(&self, service: &str, key: u16) -> Option<&KeyRange> {
        let ranges = self.services.get(service)?;
        let index = ranges.partition_point(|range| range.last < key);
        ranges.get(index)
    }
}

/// Recent changes of the owner map, for instances that have missed some of them.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<OwnerMapChange>,
}

impl ChangeLog {
    /// Adds a change that was just applied.
    pub fn record(&mut self, change: OwnerMapChange) {
        if self
            .changes
            .back()
            .is_some_and(|last| last.to != change.from)
        {
            self.changes.clear();
        }
        if self.changes.len() >= MAX_LOGGED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Changes that lead from `revision` to the latest one; `None` if some of them are no
    /// longer known.
    pub fn since(&self, revision: (u64, u64)) -> Option<Vec<OwnerMapChange>> {
        let start = self
            .changes
            .iter()
            .position(|change| change.from == revision)?;
        Some(self.changes.iter().skip(start).cloned().collect())
    }
}
