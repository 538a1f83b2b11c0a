//! Immutable routing table, which traffic threads read without a lock.
//!
//! The table is derived from the fold's state. It tells where a request for a key may be
//! served: by the owner or the standby of the key's shard, each reached through its
//! dispatchers in order of preference. The table may lag behind the holder's decisions;
//! an instance that is not the dispatcher refuses the request and names the right one.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use medlarreel_macros::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::fold::{Place, State};
use crate::ids::{Instance, Service, Shard, Upstream};
use crate::placement;
use crate::preset::{Fencing, Preset, ServiceLimits};

/// Number of dispatchers tried for one upstream: the primary and its backup.
pub const MAX_DISPATCHERS: usize = 2;

/// Address of an upstream and the dispatchers through which it is reached.
#[data(plain)]
pub struct Target {
    /// Name in the platform's list of upstreams.
    pub name: String,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Whether the upstream checks the grants and epochs of its requests.
    pub fencing: Fencing,
    /// Service that it belongs to.
    pub service: Service,
    /// Likely dispatchers, in order of preference.
    pub dispatchers: Vec<Instance>,
}

/// Shards and upstreams of a service.
#[data(plain)]
pub struct Route {
    /// Key of the service.
    pub service: Service,
    /// Limits in the active preset.
    pub limits: ServiceLimits,
    /// Owner and standby of each shard; empty for services that are not keyed.
    pub places: Vec<Place>,
    /// All upstreams of the service.
    pub upstreams: Vec<Upstream>,
}

/// Routes and addresses derived from one state of the fold.
#[data(plain)]
#[derive(Default)]
pub struct RoutingTable {
    /// Active preset; `None` before the first activation.
    pub preset: Option<Arc<Preset>>,
    /// Number of preset activations so far.
    pub activation: u32,
    routes: HashMap<String, Route>,
    targets: Vec<Target>,
    peers: BTreeMap<Instance, SocketAddr>,
}

impl RoutingTable {
    /// Derives the table from a state of the fold.
    pub fn new(state: &State) -> RoutingTable {
        let preset = state
            .active_preset()
            .map(|active| Arc::clone(&active.preset));
        let activation = state.active_preset().map_or(0, |active| active.count);
        let members = state.clubs().iter().flat_map(|club| &club.members);
        let peers = members
            .map(|member| (member.instance, member.peers))
            .collect();
        let keys = (0..state.upstreams().len() as u32).map(Upstream);
        let targets = keys.map(|key| build_target(state, key)).collect();
        let routes = preset.iter().flat_map(|preset| &preset.services);
        let routes = routes
            .filter_map(|limits| build_route(state, limits))
            .collect();
        RoutingTable {
            preset,
            activation,
            routes,
            targets,
            peers,
        }
    }

    /// Route of the named service; `None` if the active preset has no such service.
    pub fn route(&self, service: &str) -> Option<&Route> {
        self.routes.get(service)
    }

    /// Address and dispatchers of an upstream; `None` if it is unknown.
    pub fn target(&self, upstream: Upstream) -> Option<&Target> {
        self.targets.get(upstream.0 as usize)
    }

    /// Address of an instance's peer listeners; `None` if it is not a member of a club.
    pub fn peer_address(&self, instance: Instance) -> Option<SocketAddr> {
        self.peers.get(&instance).copied()
    }
}

impl Route {
    /// Shard that a key belongs to.
    pub fn shard(&self, key: &[u8]) -> Shard {
        let index = xxh3_64(key) % u64::from(self.limits.shards.max(1));
        Shard {
            service: self.service,
            index: index as u16,
        }
    }

    /// Owner and standby of a shard; neither if the service has no such shard.
    pub fn place(&self, shard: Shard) -> Place {
        self.places
            .get(usize::from(shard.index))
            .copied()
            .unwrap_or_default()
    }
}

fn build_route(state: &State, limits: &ServiceLimits) -> Option<(String, Route)> {
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

fn build_target(state: &State, key: Upstream) -> Target {
    let entry = state.upstream(key);
    let members = state.clubs().iter().flat_map(|club| &club.members);
    let same_domain = members.filter(|member| member.domain == entry.spec.domain);
    let same_domain: Vec<_> = same_domain.map(|member| member.instance).collect();
    let mut dispatchers = placement::dispatchers_by_preference(&entry.spec.name, &same_domain);
    dispatchers.truncate(MAX_DISPATCHERS);
    Target {
        name: entry.spec.name.clone(),
        address: entry.spec.address,
        fencing: entry.spec.fencing,
        service: entry.service,
        dispatchers,
    }
}
