//! Share of one instance in the connections that an upstream accepts.
//!
//! An upstream accepts a number of connections from all instances together, fewer while its
//! queue is long, and resets those beyond. The instances divide the number evenly: an upstream
//! runs far fewer requests at a time, so that none needs the share of another one. A
//! connection counts while it is in use or idle. At its share an instance closes an idle
//! connection that it can't use, and otherwise waits or chooses another upstream.

use std::collections::HashMap;

use crate::ids::Upstream;

/// Fraction of the connections that requests may use. The rest is for orders and health
/// checks, for connections whose close has not arrived, and for instances that are not
/// known yet.
const USABLE_FRACTION: f64 = 0.8;

/// Minimum share: one connection in use, and one that waits for the end of the run.
const MIN_SHARE: u32 = 2;

/// Number of connections that one of `instances` may have to an upstream that accepts
/// `max_connections`.
pub fn share(max_connections: usize, instances: usize) -> u32 {
    let share = max_connections as f64 * USABLE_FRACTION / instances.max(1) as f64;
    (share as u32).max(MIN_SHARE)
}

/// Number of idle connections that may be kept beside `in_use`.
pub fn max_idle(share: u32, in_use: u32) -> usize {
    share.saturating_sub(in_use) as usize
}

/// Shares of one instance, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    by_upstream: HashMap<Upstream, u32>,
}

impl Shares {
    /// Number of connections that the instance may have to an upstream; unlimited before the
    /// limit of its service is known.
    pub fn of(&self, upstream: Upstream) -> u32 {
        self.by_upstream.get(&upstream).copied().unwrap_or(u32::MAX)
    }
}

impl FromIterator<(Upstream, u32)> for Shares {
    fn from_iter<T: IntoIterator<Item = (Upstream, u32)>>(shares: T) -> Shares {
        Shares {
            by_upstream: shares.into_iter().collect(),
        }
    }
}
