//! Grants of shards to upstreams.
//!
//! A grant is valid until a deadline in the upstream's own clock, derived from the
//! clock value in an earlier response. A grant delayed in transit therefore cannot
//! lengthen a lease. `Register` is the upstream's side of the protocol. Upstreams
//! that check grants must behave the same way.

use std::collections::BTreeMap;

use medlarreel_macros::data;

use crate::ids::{Epoch, Version};
use crate::time::Time;

pub mod dispatcher;

pub use dispatcher::Dispatcher;

/// Grant sent to an upstream.
#[data(value)]
pub struct Request {
    /// Version of the assignment that the grant is based on.
    pub version: Version,
    /// Process run of the upstream that the grant is for.
    pub incarnation: u64,
    /// All shards that the upstream must hold, by index, with their epochs.
    pub shards: Vec<(u16, Epoch)>,
    /// Maximum number of requests that may run concurrently.
    pub allowance: u16,
    /// End of the lease in the upstream's clock.
    pub deadline: Time,
}

/// Response of an upstream to a grant or a query.
#[data(value)]
pub struct Response {
    /// Process run of the upstream.
    pub incarnation: u64,
    /// The upstream's clock at the time of the response.
    pub clock: Time,
    /// Whether the grant was accepted. Always false for a query.
    pub accepted: bool,
    /// Highest version that the upstream has accepted.
    pub version: Option<Version>,
    /// Shards that the upstream holds under an unexpired lease.
    pub shards: Vec<(u16, Epoch)>,
    /// Number of requests that are running.
    pub in_flight: u16,
    /// Number of requests that the upstream can run concurrently.
    pub slots: u16,
    /// Whether the upstream is draining because it is about to leave.
    pub draining: bool,
}

/// Reason for which a grant was refused.
#[data(key)]
pub enum Refusal {
    /// The grant is for another run of the process.
    Incarnation,
    /// A newer version has been accepted.
    Version,
    /// The deadline has passed.
    Deadline,
}

/// Last grant that an upstream has accepted, and the end of its lease.
#[data(plain)]
pub struct Register {
    incarnation: u64,
    version: Option<Version>,
    shards: BTreeMap<u16, Epoch>,
    allowance: u16,
    lease_end: Time,
}

impl Register {
    /// Creates the register of a process that holds no shards yet.
    pub fn new(incarnation: u64) -> Register {
        let (version, shards) = (None, BTreeMap::new());
        Register {
            incarnation,
            version,
            shards,
            allowance: 0,
            lease_end: Time(0),
        }
    }

    /// Returns the process run of the upstream.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the highest accepted version; `None` before the first grant.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Returns how many requests may run concurrently, 0 after the lease expired.
    pub fn allowance(&self, now: Time) -> u16 {
        if now < self.lease_end {
            self.allowance
        } else {
            0
        }
    }

    /// Returns the shards held at `now`, none after the lease expired.
    pub fn held_shards(&self, now: Time) -> Vec<(u16, Epoch)> {
        let is_valid = now < self.lease_end;
        let shards = self.shards.iter().filter(|_| is_valid);
        shards.map(|(&index, &epoch)| (index, epoch)).collect()
    }

    /// Returns whether a request for the shard under this epoch may run at `now`.
    pub fn admits(&self, now: Time, index: u16, epoch: Epoch) -> bool {
        now < self.lease_end && self.shards.get(&index) == Some(&epoch)
    }

    /// Accepts a grant, which replaces the one accepted before.
    ///
    /// # Errors
    ///
    /// The reason for the refusal. The register is then unchanged.
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
        let is_renewal = self.version == Some(request.version);
        self.lease_end = if is_renewal {
            self.lease_end.max(request.deadline)
        } else {
            request.deadline
        };
        self.version = Some(request.version);
        self.shards = request.shards.iter().copied().collect();
        self.allowance = request.allowance;
        Ok(())
    }
}
