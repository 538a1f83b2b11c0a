//! Owners of a keyed service's keys, as the leader publishes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use medlarreel_macros::data;

/// One life of an upstream, as the map names it.
#[data(value)]
#[derive(PartialOrd, Ord, Hash)]
pub struct Owner {
    /// Identity of the upstream.
    pub id: String,
    /// Start of the life that holds the keys, in wall-clock milliseconds.
    pub born: u64,
    /// Address at which this life listens.
    pub address: SocketAddr,
}

/// Keys from `first` to `last`, both inclusive, with one owner.
#[data(value)]
pub struct KeyRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// The only upstream that may hold the keys; `None` if nobody does.
    pub owner: Option<Owner>,
    /// Where nobody serves the keys: milliseconds until somebody likely does. In
    /// records and accounts: milliseconds for which grants may last.
    pub wait_ms: u32,
    /// In records and accounts: whether the keys are being released, so that no grant
    /// follows without a further record.
    pub releasing: bool,
}

impl KeyRange {
    /// Whether another slice says the same of its keys.
    pub(super) fn says_the_same(&self, other: &KeyRange) -> bool {
        let all = |slice: &KeyRange| (slice.wait_ms, slice.releasing);
        self.owner == other.owner && all(self) == all(other)
    }
}

/// Owners of all keyed services.
#[data(value)]
#[derive(Default)]
pub struct OwnerMap {
    /// Epoch of the leader that wrote the map.
    pub epoch: u64,
    /// Counter of the leader's changes.
    pub version: u64,
    /// Slices by service, in the order of their keys and without gaps.
    pub services: BTreeMap<String, Vec<KeyRange>>,
}

/// What differs between two maps of one leader. Most maps differ from their
/// predecessor in a few slices, and whole ones grow with the fleet.
#[data(value)]
pub struct OwnerMapChange {
    /// Order of the map that it applies to.
    pub from: (u64, u64),
    /// Order of the map that it leads to.
    pub to: (u64, u64),
    /// Slices by service that replace those of their keys.
    pub ranges: BTreeMap<String, Vec<KeyRange>>,
    /// Services that are gone.
    pub removed_services: Vec<String>,
}

impl OwnerMap {
    /// What leads from this map to a newer one.
    pub fn change_to(&self, newer: &OwnerMap) -> OwnerMapChange {
        let mut ranges = BTreeMap::new();
        for (service, after) in &newer.services {
            let before = self.services.get(service).map_or(&[][..], Vec::as_slice);
            let same = |slice: &&KeyRange| {
                let index = before.partition_point(|other| other.first < slice.first);
                before.get(index) == Some(*slice)
            };
            let differs: Vec<KeyRange> = after.iter().filter(|s| !same(s)).cloned().collect();
            if !differs.is_empty() {
                ranges.insert(service.clone(), differs);
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

    /// The map after a change; `None` if the change applies to another one.
    pub fn apply(&self, change: OwnerMapChange) -> Option<OwnerMap> {
        if change.from != self.revision() {
            return None;
        }
        let mut services = self.services.clone();
        for service in &change.removed_services {
            services.remove(service);
        }
        for (service, replacements) in change.ranges {
            let ranges = services.entry(service).or_default();
            let overlaps =
                |old: &KeyRange, new: &KeyRange| new.first <= old.last && old.first <= new.last;
            ranges.retain(|old| !replacements.iter().any(|new| overlaps(old, new)));
            ranges.extend(replacements);
            ranges.sort_by_key(|slice| slice.first);
        }
        let (epoch, version) = change.to;
        Some(OwnerMap {
            epoch,
            version,
            services,
        })
    }

    /// Order in which maps supersede each other.
    pub fn revision(&self) -> (u64, u64) {
        (self.epoch, self.version)
    }

    /// Slice of a key.
    pub fn range_of(&self, service: &str, key: u16) -> Option<&KeyRange> {
        let slices = self.services.get(service)?;
        let index = slices.partition_point(|slice| slice.last < key);
        slices.get(index)
    }
}
