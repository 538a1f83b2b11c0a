//! The lanes of all upstreams that this instance dispatches to, and those that it no
//! longer uses but that are not closed yet. A lane is the permit, queue and connections
//! for one upstream.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use medlarreel_core::ids::Upstream;
use medlarreel_core::machine::Traffic;

use super::Lane;

/// The lanes that hold a permit, and retired lanes that still have open exchanges
/// or connections.
#[derive(Debug, Default)]
pub struct Lanes {
    active: HashMap<Upstream, Arc<Lane>>,
    retired: Vec<(Upstream, Arc<Lane>)>,
}

impl Lanes {
    /// Returns the lanes that hold a permit.
    pub fn active(&self) -> &HashMap<Upstream, Arc<Lane>> {
        &self.active
    }

    /// Returns the lane to the upstream at this address; `None` if there is none. Retired
    /// lanes are included, because their open exchanges still use slots and connections
    /// of the upstream.
    pub fn find(&self, upstream: Upstream, address: SocketAddr) -> Option<Arc<Lane>> {
        let retired = self.retired.iter().filter(|(key, _)| *key == upstream);
        let retired = retired.map(|(_, lane)| lane);
        let mut lanes = self.active.get(&upstream).into_iter().chain(retired);
        lanes.find(|lane| lane.pool().address() == address).cloned()
    }

    /// Replaces the lanes that hold a permit and retires all others.
    pub fn replace_active(&mut self, active: HashMap<Upstream, Arc<Lane>>) {
        let old = std::mem::replace(&mut self.active, active);
        self.retired.extend(old);
        let active = &self.active;
        let is_active = |upstream: &Upstream, lane: &Arc<Lane>| {
            let current = active.get(upstream);
            current.is_some_and(|current| Arc::ptr_eq(current, lane))
        };
        self.retired
            .retain(|(upstream, lane)| !is_active(upstream, lane));
        for (_, lane) in &self.retired {
            lane.retire();
        }
    }

    /// Returns the current use of each upstream and the requests served since the last
    /// call.
    ///
    /// A retired lane is reported until it has closed: stopping dispatch to an upstream
    /// with unchecked fencing is acknowledged only once nothing is open there.
    pub fn take_traffic(&mut self) -> Vec<(Upstream, Traffic)> {
        let mut sums = BTreeMap::new();
        for (upstream, lane) in &self.active {
            merge_traffic(&mut sums, *upstream, lane.take_traffic());
        }
        self.retired.retain(|(upstream, lane)| {
            let traffic = lane.take_traffic();
            let still_open = traffic.exchanges > 0 || traffic.connections > 0;
            merge_traffic(&mut sums, *upstream, traffic);
            still_open
        });
        sums.into_iter().collect()
    }
}

fn merge_traffic(sums: &mut BTreeMap<Upstream, Traffic>, upstream: Upstream, traffic: Traffic) {
    match sums.get_mut(&upstream) {
        None => {
            sums.insert(upstream, traffic);
        }
        Some(sum) => {
            sum.exchanges += traffic.exchanges;
            sum.connections += traffic.connections;
            sum.busy_permille = sum.busy_permille.max(traffic.busy_permille);
            sum.served.extend(traffic.served);
        }
    }
}
