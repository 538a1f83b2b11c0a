//! What a leader sends and hears: orders, their answers, and its account for a successor.

use std::time::Duration;

use medlarreel_macros::data;

use crate::entry::map::{Owner, OwnerMap};

/// What is to be sent to an upstream.
#[data(plain)]
pub struct Order {
    /// Service that the keys belong to.
    pub service: String,
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Receiver.
    pub owner: Owner,
    /// Fencing token.
    pub fence: u64,
    /// Grant or release.
    pub kind: OrderKind,
}

/// Account of a leader that has stopped, for the one that goes on.
#[data(value)]
pub struct LedgerSnapshot {
    /// Possible holder of each key, with the leader's epoch.
    pub owners: OwnerMap,
    /// Highest fence that was used.
    pub highest_fence: u64,
}

/// Kind of an order.
#[data(plain)]
pub enum OrderKind {
    /// The upstream may hold the keys for `hold` from arrival.
    Grant {
        /// Length of the lease.
        hold: Duration,
        /// State of the last holder, by the token that its release returned.
        handover: Option<String>,
    },
    /// The upstream must start no new work on the keys.
    Release,
}

/// Answer to an order.
#[data(plain)]
pub enum Reply {
    /// Carried out; a release returns the token for the next holder.
    Done {
        /// Token for the next holder.
        handover: Option<String>,
    },
    /// A higher fence was seen.
    Fenced,
    /// The order certainly did not arrive.
    NotSent,
    /// The order may have arrived.
    Unknown,
}
