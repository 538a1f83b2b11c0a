//! Routes in force: host and path prefix to service.

use std::collections::HashMap;
use std::time::Duration;

use medlarreel_macros::data;

/// Limits on what a caller may send.
#[data(plain)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Values of common HTTP servers, until a configuration is known.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One part of a route's traffic.
#[data(plain)]
pub struct Share {
    /// Service that the part goes to.
    pub service: String,
    /// Weight against the other parts.
    pub weight: f64,
}

/// Requests of one host and path prefix.
#[data(plain)]
pub struct Route {
    /// Name that the operator gave.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank, 0 being the most urgent.
    pub rank: u8,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Services, with one entry unless the traffic is split.
    pub shares: Vec<Share>,
}

/// A service of the configuration.
#[data(plain)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Whether upstreams run only requests whose key they hold.
    pub keyed: bool,
    /// Most connections to one upstream from all instances together.
    pub max_connections: usize,
}

/// A whole configuration.
#[data(plain)]
#[derive(Default)]
pub struct Config {
    /// Version; later configurations have higher ones.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Limits,
}

/// A configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: Config,
    /// Indexes of each host's routes, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: Config) -> RouteTable {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        RouteTable { config, hosts }
    }

    /// Configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Whether a configuration is known.
    pub fn is_loaded(&self) -> bool {
        self.config.version > 0
    }

    /// Route with the longest prefix of the path among those of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let lower;
        let name = match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            true => {
                lower = host.to_ascii_lowercase();
                &lower
            }
            false => host,
        };
        let by_name = |name: &str| {
            let indexes = self.hosts.get(name)?;
            let mut routes = indexes.iter().map(|index| &self.config.routes[*index]);
            routes.find(|route| path.starts_with(&route.prefix))
        };
        by_name(name).or_else(|| by_name(name.rsplit_once(':')?.0))
    }

    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config
            .services
            .iter()
            .find(|service| service.name == name)
    }
}

/// Counts of the requests that went to each part of each split route.
///
/// The part that is furthest below its share comes next, so that the shares
/// hold in every short span and not only on average.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    sent: HashMap<String, Vec<f64>>,
}

impl TrafficSplitter {
    /// Service that the next request of a route goes to.
    pub fn next_service<'a>(&mut self, route: &'a Route) -> Option<&'a str> {
        if route.shares.len() < 2 {
            return route.shares.first().map(|share| share.service.as_str());
        }
        let total: f64 = route.shares.iter().map(|share| share.weight).sum();
        let sent = self.sent.entry(route.name.clone()).or_default();
        sent.resize(route.shares.len(), 0.0);
        let deficit = |index: usize| route.shares[index].weight / total - sent[index];
        let next = (0..route.shares.len()).max_by(|a, b| deficit(*a).total_cmp(&deficit(*b)))?;
        for (index, credit) in sent.iter_mut().enumerate() {
            *credit -= route.shares[index].weight / total;
        }
        sent[next] += 1.0;
        Some(&route.shares[next].service)
    }

    /// Forgets the counts when the weights change.
    pub fn reset(&mut self) {
        self.sent.clear();
    }
}
