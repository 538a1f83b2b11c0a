//! Immutable routing table, read by traffic threads without a lock.
//!
//! The table is derived from the fold. It says where a request for a key may be
//! served: the shard's owner and standby, and for each of them the dispatchers
//! in order of preference. It may lag behind the holder's decisions; an
//! instance that is not the dispatcher refuses and names the right one.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use medlarreel_macros::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::fold::{Place, State};
use crate::ids::{Instance, Service, Shard, Upstream};
use crate::placement;
use crate::preset::{Fencing, Preset, ServiceLimits};

/// Dispatchers tried for one upstream: the primary and its backup.
pub const MAX_DISPATCHERS: usize = 2;

/// Where one upstream is reached.
#[data(plain)]
pub struct Target {
    /// Name from the platform's list.
    pub name: String,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Whether it checks who gives it work.
    pub fencing: Fencing,
    /// Service that it belongs to.
    pub service: Service,
    /// Likely dispatchers, best first.
    pub dispatchers: Vec<Instance>,
}

/// Where one service is served.
#[data(plain)]
pub struct Route {
    /// Key of the service.
    pub service: Service,
    /// Limits under the preset in force.
    pub limits: ServiceLimits,
    /// Place of each shard; empty for services that are not keyed.
    pub places: Vec<Place>,
    /// All upstreams of the service.
    pub upstreams: Vec<Upstream>,
}

/// Routing under one state of the fold.
#[data(plain)]
#[derive(Default)]
pub struct RoutingTable {
    /// Preset in force.
    pub preset: Option<Arc<Preset>>,
    /// Number of activations so far.
    pub activation: u32,
    routes: HashMap<String, Route>,
    targets: Vec<Target>,
    peers: BTreeMap<Instance, SocketAddr>,
}

impl RoutingTable {
    /// Derives the table from the fold.
    pub fn new(state: &State) -> RoutingTable {
        let preset = state.active().map(|active| Arc::clone(&active.preset));
        let activation = state.active().map_or(0, |active| active.count);
        let members = state.clubs().iter().flat_map(|club| &club.members);
        let peers = members
            .map(|member| (member.instance, member.peers))
            .collect();
        let keys = (0..state.upstreams().len() as u32).map(Upstream);
        let targets = keys.map(|key| target(state, key)).collect();
        let routes = preset.iter().flat_map(|preset| &preset.services);
        let routes = routes.filter_map(|limits| route(state, limits)).collect();
        RoutingTable {
            preset,
            activation,
            routes,
            targets,
            peers,
        }
    }

    /// Route of the named service.
    pub fn route(&self, service: &str) -> Option<&Route> {
        self.routes.get(service)
    }

    /// Where the upstream is reached.
    pub fn target(&self, upstream: Upstream) -> Option<&Target> {
        self.targets.get(upstream.0 as usize)
    }

    /// Address of an instance's peer listeners.
    pub fn peer_address(&self, instance: Instance) -> Option<SocketAddr> {
        self.peers.get(&instance).copied()
    }
}

impl Route {
    /// Shard of a key.
    pub fn shard(&self, key: &[u8]) -> Shard {
        let index = xxh3_64(key) % u64::from(self.limits.shards.max(1));
        Shard {
            service: self.service,
            index: index as u16,
        }
    }

    /// Owner and standby of a shard.
    pub fn place(&self, shard: Shard) -> Place {
        self.places
            .get(usize::from(shard.index))
            .copied()
            .unwrap_or_default()
    }
}

fn route(state: &State, limits: &ServiceLimits) -> Option<(String, Route)> {
    let service = state.service_named(&limits.name)?;
    let places = state.service(service).plan.places.clone();
    let upstreams = state.upstreams_of(service).collect();
    let limits = limits.clone();
    Some((
        limits.name.clone(),
        Route {
            service,
            limits,
            places,
            upstreams,
        },
    ))
}

fn target(state: &State, key: Upstream) -> Target {
    let entry = state.upstream(key);
    let members = state.clubs().iter().flat_map(|club| &club.members);
    let nearby = members.filter(|member| member.domain == entry.server.domain);
    let nearby: Vec<_> = nearby.map(|member| member.instance).collect();
    let mut dispatchers = placement::dispatchers_by_preference(&entry.server.name, &nearby);
    dispatchers.truncate(MAX_DISPATCHERS);
    Target {
        name: entry.server.name.clone(),
        address: entry.server.address,
        fencing: entry.server.fencing,
        service: entry.service,
        dispatchers,
    }
}
