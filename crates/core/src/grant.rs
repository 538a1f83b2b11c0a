//! Grants of shards to upstreams.
//!
//! A grant is valid until a deadline in the upstream's own clock, as read from
//! an earlier answer of the upstream. A grant that is delayed on the way
//! therefore cannot lengthen a lease. `Register` is the upstream's side of the
//! contract; an upstream that checks grants must behave as it does.

use std::collections::BTreeMap;

use medlarreel_macros::data;

use crate::ids::{Epoch, Version};
use crate::time::Time;

pub mod dispatcher;

pub use dispatcher::Dispatcher;

/// Grant sent to an upstream.
#[data(value)]
pub struct Request {
    /// Version of the assignment behind the grant.
    pub version: Version,
    /// Run of the upstream's process that is meant.
    pub incarnation: u64,
    /// Every shard that the upstream shall hold, by index, with its epoch.
    pub shards: Vec<(u16, Epoch)>,
    /// Requests that it may run at a time.
    pub allowance: u16,
    /// End of the lease, in the upstream's clock.
    pub deadline: Time,
}

/// An upstream's answer to a grant or a query.
#[data(value)]
pub struct Response {
    /// Run of the upstream's process.
    pub incarnation: u64,
    /// The upstream's clock when it answered.
    pub clock: Time,
    /// Whether the grant was accepted; false for a query.
    pub accepted: bool,
    /// Highest version that it has accepted.
    pub version: Option<Version>,
    /// Shards that it holds under an unexpired lease.
    pub shards: Vec<(u16, Epoch)>,
    /// Requests that it is running.
    pub in_flight: u16,
    /// Requests that it can run at a time.
    pub slots: u16,
    /// Whether it is leaving.
    pub draining: bool,
}

/// Why a grant or request was refused.
#[data(key)]
pub enum Refusal {
    /// The grant names another run of the process.
    Incarnation,
    /// A newer version has been accepted.
    Version,
    /// The deadline has passed.
    Deadline,
}

/// Grants that an upstream has accepted.
#[data(plain)]
pub struct Register {
    incarnation: u64,
    version: Option<Version>,
    shards: BTreeMap<u16, Epoch>,
    allowance: u16,
    until: Time,
}

impl Register {
    /// Register of a process that holds nothing yet.
    pub fn new(incarnation: u64) -> Register {
        let (version, shards) = (None, BTreeMap::new());
        Register {
            incarnation,
            version,
            shards,
            allowance: 0,
            until: Time(0),
        }
    }

    /// Run of the process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Highest version accepted.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Requests that may run at a time; 0 once the lease has expired.
    pub fn allowance(&self, now: Time) -> u16 {
        if now < self.until { self.allowance } else { 0 }
    }

    /// Shards held now.
    pub fn held_shards(&self, now: Time) -> Vec<(u16, Epoch)> {
        let live = now < self.until;
        let shards = self.shards.iter().filter(|_| live);
        shards.map(|(&index, &epoch)| (index, epoch)).collect()
    }

    /// Whether a request for the shard under this epoch may run now.
    pub fn admits(&self, now: Time, index: u16, epoch: Epoch) -> bool {
        now < self.until && self.shards.get(&index) == Some(&epoch)
    }

    /// Accepts or refuses a grant.
    pub fn try_accept(&mut self, now: Time, request: &Request) -> Result<(), Refusal> {
        if request.incarnation != self.incarnation {
            return Err(Refusal::Incarnation);
        }
        if self
            .version
            .is_some_and(|version| request.version < version)
        {
            return Err(Refusal::Version);
        }
        if request.deadline <= now {
            return Err(Refusal::Deadline);
        }
        // A reordered renewal of the same version must not shorten the lease.
        let same = self.version == Some(request.version);
        self.until = if same {
            self.until.max(request.deadline)
        } else {
            request.deadline
        };
        self.version = Some(request.version);
        self.shards = request.shards.iter().copied().collect();
        self.allowance = request.allowance;
        Ok(())
    }
}
