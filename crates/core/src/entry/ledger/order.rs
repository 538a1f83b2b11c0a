//! Orders that a leader sends to upstreams, their replies, and the snapshot for a
//! successor.

use std::time::Duration;

use medlarreel_macros::data;

use crate::entry::map::{Owner, OwnerMap};

/// A grant or release of a range of keys, to be sent to an upstream.
#[data(plain)]
pub struct Order {
    /// Service that the keys belong to.
    pub service: String,
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Upstream that the order is sent to.
    pub owner: Owner,
    /// Fencing token.
    pub fence: u64,
    /// Grant or release.
    pub kind: OrderKind,
}

/// State of the ledger of a leader that has stopped, from which its successor resumes.
#[data(value)]
pub struct LedgerSnapshot {
    /// Possible holder of each key, how long its grants may remain valid, and the
    /// leader's epoch.
    pub owners: OwnerMap,
    /// Highest fencing token that was used.
    pub highest_fence: u64,
    /// Whether no other leader can have granted keys since, although the store may have
    /// lost its record.
    pub is_confirmed: bool,
}

/// Kind of an order.
#[data(plain)]
pub enum OrderKind {
    /// The upstream may hold the keys for `hold` after the order arrives.
    Grant {
        /// Duration of the lease.
        hold: Duration,
        /// Token for the state of the previous holder, returned by its release; `None` in
        /// a renewal, or if there is no token.
        handover: Option<String>,
    },
    /// The upstream must start no new work on the keys, and replies once its running
    /// requests for them have ended.
    Release,
}

/// Reply to an order, or the outcome of sending it.
#[data(plain)]
pub enum Reply {
    /// The order was carried out. A release returns a token for the next holder.
    Done {
        /// Token to pass to the next holder, if the reply contains one.
        handover: Option<String>,
    },
    /// The upstream has seen a higher fencing token and refused the order.
    Fenced,
    /// Another process has the upstream's address, and refused the order. The upstream has
    /// ended.
    Misdirected,
    /// The order did not reach the upstream.
    NotSent,
    /// The order was not sent, since the upstream may have restarted and forgotten a later
    /// leader. This says nothing about the upstream.
    Withheld,
    /// There was no usable reply; the order may have been carried out.
    Unknown,
}
