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
    /// Where nobody serves the keys: milliseconds until somebody likely does.
    pub wait_ms: u32,
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

impl Map {
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
