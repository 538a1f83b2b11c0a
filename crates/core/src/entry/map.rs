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
pub struct Slice {
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

impl Slice {
    /// Whether another slice says the same of its keys.
    pub(super) fn says_the_same(&self, other: &Slice) -> bool {
        let all = |slice: &Slice| (slice.wait_ms, slice.releasing);
        self.owner == other.owner && all(self) == all(other)
    }
}

/// Owners of all keyed services.
#[data(value)]
#[derive(Default)]
pub struct Map {
    /// Epoch of the leader that wrote the map.
    pub epoch: u64,
    /// Counter of the leader's changes.
    pub version: u64,
    /// Slices by service, in the order of their keys and without gaps.
    pub services: BTreeMap<String, Vec<Slice>>,
}

/// What differs between two maps of one leader. Most maps differ from their
/// predecessor in a few slices, and whole ones grow with the fleet.
#[data(value)]
pub struct Change {
    /// Order of the map that it applies to.
    pub from: (u64, u64),
    /// Order of the map that it leads to.
    pub to: (u64, u64),
    /// Slices by service that replace those of their keys.
    pub slices: BTreeMap<String, Vec<Slice>>,
    /// Services that are gone.
    pub gone: Vec<String>,
}

impl Map {
    /// What leads from this map to a newer one.
    pub fn change(&self, newer: &Map) -> Change {
        let mut slices = BTreeMap::new();
        for (service, after) in &newer.services {
            let before = self.services.get(service).map_or(&[][..], Vec::as_slice);
            let same = |slice: &&Slice| {
                let index = before.partition_point(|other| other.first < slice.first);
                before.get(index) == Some(*slice)
            };
            let differs: Vec<Slice> = after.iter().filter(|s| !same(s)).cloned().collect();
            if !differs.is_empty() {
                slices.insert(service.clone(), differs);
            }
        }
        let gone = self.services.keys();
        let gone = gone.filter(|service| !newer.services.contains_key(*service));
        Change {
            from: self.order(),
            to: newer.order(),
            slices,
            gone: gone.cloned().collect(),
        }
    }

    /// The map after a change; `None` if the change applies to another one.
    pub fn changed(&self, change: Change) -> Option<Map> {
        if change.from != self.order() {
            return None;
        }
        let mut services = self.services.clone();
        for service in &change.gone {
            services.remove(service);
        }
        for (service, replacements) in change.slices {
            let slices = services.entry(service).or_default();
            let overlaps =
                |old: &Slice, new: &Slice| new.first <= old.last && old.first <= new.last;
            slices.retain(|old| !replacements.iter().any(|new| overlaps(old, new)));
            slices.extend(replacements);
            slices.sort_by_key(|slice| slice.first);
        }
        let (epoch, version) = change.to;
        Some(Map {
            epoch,
            version,
            services,
        })
    }

    /// Order in which maps supersede each other.
    pub fn order(&self) -> (u64, u64) {
        (self.epoch, self.version)
    }

    /// Slice of a key.
    pub fn slice(&self, service: &str, key: u16) -> Option<&Slice> {
        let slices = self.services.get(service)?;
        let index = slices.partition_point(|slice| slice.last < key);
        slices.get(index)
    }
}
