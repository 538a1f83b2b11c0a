//! Lanes of all upstreams that this instance dispatches for, or did.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use medlarreel_core::ids::Upstream;
use medlarreel_core::machine::Traffic;

use super::Lane;

/// Lanes with a permit, and those that still have exchanges or connections
/// after theirs has ended.
#[derive(Debug, Default)]
pub struct Lanes {
    active: HashMap<Upstream, Arc<Lane>>,
    retired: Vec<(Upstream, Arc<Lane>)>,
}

impl Lanes {
    /// Lanes with a permit.
    pub fn active(&self) -> &HashMap<Upstream, Arc<Lane>> {
        &self.active
    }

    /// Lane to the upstream at the address, also if its permit has ended: what
    /// is still open there uses slots and connections.
    pub fn find(&self, upstream: Upstream, address: SocketAddr) -> Option<Arc<Lane>> {
        let retired = self.retired.iter().filter(|(key, _)| *key == upstream);
        let retired = retired.map(|(_, lane)| lane);
        let mut lanes = self.active.get(&upstream).into_iter().chain(retired);
        lanes.find(|lane| lane.pool().address() == address).cloned()
    }

    /// Replaces the lanes with a permit; those left out are retired.
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

    /// What was done at each upstream since the last call.
    ///
    /// A retired lane is reported until it has closed, since a stop of an
    /// unchecked upstream is acknowledged only once nothing is open there.
    pub fn take_traffic(&mut self) -> Vec<(Upstream, Traffic)> {
        let mut sums = BTreeMap::new();
        for (upstream, lane) in &self.active {
            add(&mut sums, *upstream, lane.take_traffic());
        }
        self.retired.retain(|(upstream, lane)| {
            let traffic = lane.take_traffic();
            let open = traffic.exchanges > 0 || traffic.connections > 0;
            add(&mut sums, *upstream, traffic);
            open
        });
        sums.into_iter().collect()
    }
}

fn add(sums: &mut BTreeMap<Upstream, Traffic>, upstream: Upstream, traffic: Traffic) {
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
