//! Lookup of routes by host and path prefix, and splitting of traffic by weight.

use std::collections::HashMap;
use std::time::Duration;

use medlarreel_macros::data;

use super::permit::Rate;

/// Limits on requests and connections of callers.
#[data(plain)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time that a connection may take to deliver a request head, including the
    /// idle time before it. The connection is closed afterwards.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Defaults of common HTTP servers, used while the configuration sets no limits.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Share of a route's traffic that is sent to one service.
#[data(plain)]
pub struct Share {
    /// Service that receives the share.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: f64,
}

/// A route, which matches requests by host and path prefix.
#[data(plain)]
pub struct Route {
    /// Name given by the operator.
    pub name: String,
    /// Value of the `Host` header, compared without regard to case.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// Whether a request may be run more than once.
    pub idempotent: bool,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
    /// Latency that responses should stay within, as set by the operator; zero if none is set.
    /// Requests that can't meet it any more yield to those that can.
    pub target_latency: Duration,
    /// Rank, 0 being the most urgent.
    pub rank: u8,
    /// Maximum number of times that one request is sent to an upstream.
    pub max_attempts: u32,
    /// Services that receive the traffic; a single one unless the traffic is split.
    pub shares: Vec<Share>,
}

/// A service of the configuration.
#[data(plain)]
pub struct Service {
    /// Name by which routes refer to the service.
    pub name: String,
    /// Whether upstreams run only requests whose key they own.
    pub keyed: bool,
    /// Path of health checks; `None` if upstreams answer none.
    pub health_path: Option<String>,
    /// Maximum number of connections to one upstream from all instances together.
    pub max_connections: usize,
    /// Time for which an upstream is cold after its start.
    pub warmup: Duration,
    /// Requests that a cold upstream takes from all instances together; `None` if any number.
    pub warmup_rate: Option<Rate>,
}

/// A complete configuration.
#[data(plain)]
#[derive(Default)]
pub struct Config {
    /// Version, which increases with each configuration; 0 before one is loaded.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
}

/// A configuration, with its routes indexed by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: Config,
    /// Indices of the routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Indexes the routes of a configuration.
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

    /// Whether a configuration has been loaded.
    pub fn is_loaded(&self) -> bool {
        self.config.version > 0
    }

    /// Finds the route of the host with the longest matching path prefix. If no route of
    /// that host and port matches, a port in `host` is ignored. Returns `None` if no
    /// route matches.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let lowercase;
        let name = match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            true => {
                lowercase = host.to_ascii_lowercase();
                &lowercase
            }
            false => host,
        };
        let find_route = |name: &str| {
            let indexes = self.hosts.get(name)?;
            let mut routes = indexes.iter().map(|index| &self.config.routes[*index]);
            routes.find(|route| path.starts_with(&route.prefix))
        };
        find_route(name).or_else(|| find_route(name.rsplit_once(':')?.0))
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config
            .services
            .iter()
            .find(|service| service.name == name)
    }
}

/// Distributes the requests of each split route over its services by weight.
///
/// The service that is furthest below its share receives the next request, so that the
/// shares hold over every short sequence of requests and not only on average.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    /// Number of requests that each service of a route has received beyond its share, by
    /// route; negative if it has received fewer.
    surpluses: HashMap<String, Vec<f64>>,
}

impl TrafficSplitter {
    /// Chooses the service for the next request of a route. Returns `None` if the route
    /// has no services.
    pub fn next_service<'a>(&mut self, route: &'a Route) -> Option<&'a str> {
        if route.shares.len() < 2 {
            return route.shares.first().map(|share| share.service.as_str());
        }
        let total: f64 = route.shares.iter().map(|share| share.weight).sum();
        let surpluses = self.surpluses.entry(route.name.clone()).or_default();
        surpluses.resize(route.shares.len(), 0.0);
        let deficit = |index: usize| route.shares[index].weight / total - surpluses[index];
        let next = (0..route.shares.len()).max_by(|a, b| deficit(*a).total_cmp(&deficit(*b)))?;
        for (index, surplus) in surpluses.iter_mut().enumerate() {
            *surplus -= route.shares[index].weight / total;
        }
        surpluses[next] += 1.0;
        Some(&route.shares[next].service)
    }

    /// Resets the distribution, for use when the weights change.
    pub fn reset(&mut self) {
        self.surpluses.clear();
    }
}
