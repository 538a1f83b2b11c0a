//! Check of a configuration before it is published.
//!
//! A configuration that decodes can still hold entries that no request ever reaches, and
//! values that exclude each other. Each problem names the entry, so that an operator finds it
//! in the text.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use medlarreel_macros::data;

use super::routes::{Config, Route, Service};

/// How grave a problem is.
#[data(key)]
pub enum Severity {
    /// The configuration works, but not all of it has an effect.
    Warning,
    /// Requests are refused or reach the wrong service.
    Error,
}

/// Entry of a configuration.
#[data(value)]
pub enum Entry {
    /// Route with this name.
    Route(String),
    /// Service with this name.
    Service(String),
    /// Limits on requests and connections.
    Limits,
    /// The configuration as a whole.
    Config,
}

impl fmt::Display for Entry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Entry::Route(name) => write!(formatter, "route {name:?}"),
            Entry::Service(name) => write!(formatter, "service {name:?}"),
            Entry::Limits => formatter.write_str("limits"),
            Entry::Config => formatter.write_str("configuration"),
        }
    }
}

/// Problem of a configuration.
#[data(value)]
pub struct Problem {
    /// How grave it is.
    pub severity: Severity,
    /// Entry that has it.
    pub entry: Entry,
    /// What is wrong.
    pub text: String,
}

impl Problem {
    /// Problem by which requests are refused or reach the wrong service.
    pub fn error(entry: Entry, text: impl Into<String>) -> Problem {
        Problem {
            severity: Severity::Error,
            entry,
            text: text.into(),
        }
    }

    fn warning(entry: Entry, text: impl Into<String>) -> Problem {
        Problem {
            severity: Severity::Warning,
            ..Problem::error(entry, text)
        }
    }
}

/// Finds the problems of a configuration, those of the gravest kind first. `in_force` is the
/// configuration that it replaces, if there is one.
pub fn find_problems(config: &Config, in_force: Option<&Config>) -> Vec<Problem> {
    let mut problems = version_problems(config, in_force);
    problems.extend(name_problems(config));
    let routes = config.routes.iter();
    problems.extend(routes.flat_map(|route| route_problems(config, route)));
    problems.extend(shadowed_routes(&config.routes));
    problems.extend(config.services.iter().flat_map(service_problems));
    problems.extend(unused_services(config));
    problems.extend(limit_problems(config));
    problems.sort_by_key(|problem| std::cmp::Reverse(problem.severity));
    problems
}

fn version_problems(config: &Config, in_force: Option<&Config>) -> Vec<Problem> {
    let mut problems = Vec::new();
    if config.version == 0 {
        let text = "version 0 counts as no configuration";
        problems.push(Problem::error(Entry::Config, text));
    }
    if let Some(before) = in_force.filter(|before| config.version <= before.version) {
        let (version, known) = (config.version, before.version);
        let text = format!("version {version} is not above {known}, which is in force");
        problems.push(Problem::error(Entry::Config, text));
    }
    if config.routes.is_empty() {
        problems.push(Problem::error(Entry::Config, "there are no routes"));
    }
    problems
}

/// Names that several routes or several services have.
fn name_problems(config: &Config) -> Vec<Problem> {
    let repeated = |names: Vec<&String>| -> Vec<String> {
        let mut seen = BTreeSet::new();
        let names = names.into_iter().filter(|name| !seen.insert(*name));
        names.cloned().collect()
    };
    let routes = repeated(config.routes.iter().map(|route| &route.name).collect());
    let services = config.services.iter().map(|service| &service.name);
    let services = repeated(services.collect());
    let entries = routes.into_iter().map(Entry::Route);
    let entries = entries.chain(services.into_iter().map(Entry::Service));
    entries
        .map(|entry| Problem::error(entry, "another entry of its kind has the same name"))
        .collect()
}

fn route_problems(config: &Config, route: &Route) -> Vec<Problem> {
    let entry = || Entry::Route(route.name.clone());
    let mut problems = Vec::new();
    if route.host.is_empty() {
        problems.push(Problem::error(entry(), "never matches: its host is empty"));
    }
    if !route.prefix.starts_with('/') {
        let text = "never matches: its path prefix does not begin with a slash";
        problems.push(Problem::error(entry(), text));
    } else if !route.prefix.ends_with('/') {
        let text = "its path prefix does not end with a slash, so it also matches longer names";
        problems.push(Problem::warning(entry(), text));
    }
    if route.timeout.is_zero() {
        let text = "its timeout is zero or invalid, so no request is served";
        problems.push(Problem::error(entry(), text));
    } else if route.target_latency > route.timeout {
        let (target, timeout) = (route.target_latency, route.timeout);
        let text = format!("its target latency {target:?} is above its timeout {timeout:?}");
        problems.push(Problem::error(entry(), text));
    }
    if route.max_attempts == 0 {
        let text = "it allows no attempt; one is made all the same";
        problems.push(Problem::warning(entry(), text));
    }
    problems.extend(share_problems(config, route));
    problems
}

fn share_problems(config: &Config, route: &Route) -> Vec<Problem> {
    let entry = || Entry::Route(route.name.clone());
    let mut problems = Vec::new();
    let mut named = BTreeSet::new();
    for share in &route.shares {
        let service = &share.service;
        if !config.services.iter().any(|known| known.name == *service) {
            let text = format!("service {service:?} does not exist");
            problems.push(Problem::error(entry(), text));
        }
        if !named.insert(service) {
            let text = format!("service {service:?} has several shares");
            problems.push(Problem::warning(entry(), text));
        }
        if !share.weight.is_finite() || share.weight < 0.0 {
            let text = format!("the share of service {service:?} has an invalid weight");
            problems.push(Problem::error(entry(), text));
        } else if share.weight == 0.0 && route.shares.len() > 1 {
            let text = format!("the share of service {service:?} is zero: it gets no request");
            problems.push(Problem::warning(entry(), text));
        }
    }
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    if route.shares.is_empty() {
        problems.push(Problem::error(entry(), "it names no service"));
    } else if total <= 0.0 {
        problems.push(Problem::error(entry(), "all of its shares are zero"));
    }
    problems
}

/// Routes behind one with the same host and path prefix, which takes all of their requests.
fn shadowed_routes(routes: &[Route]) -> Vec<Problem> {
    let mut first: BTreeMap<(String, &str), &str> = BTreeMap::new();
    let mut problems = Vec::new();
    for route in routes {
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        if let Some(name) = first.get(&key) {
            let text = format!("never matches: route {name:?} has the same host and path prefix");
            problems.push(Problem::error(Entry::Route(route.name.clone()), text));
        } else {
            first.insert(key, &route.name);
        }
    }
    problems
}

fn service_problems(service: &Service) -> Vec<Problem> {
    let entry = || Entry::Service(service.name.clone());
    let mut problems = Vec::new();
    if service.max_connections == 0 {
        let text = "it allows no connection, so no request is served";
        problems.push(Problem::error(entry(), text));
    }
    if service.warmup_rate.is_some() && service.warmup.is_zero() {
        let text = "its rate for cold upstreams has no effect: it names no warm-up time";
        problems.push(Problem::warning(entry(), text));
    }
    if service
        .health_path
        .as_ref()
        .is_some_and(|path| !path.starts_with('/'))
    {
        let text = "its health path does not begin with a slash";
        problems.push(Problem::error(entry(), text));
    }
    problems
}

fn unused_services(config: &Config) -> Vec<Problem> {
    let shares = config.routes.iter().flat_map(|route| &route.shares);
    let used: BTreeSet<&String> = shares
        .filter(|share| share.weight > 0.0)
        .map(|share| &share.service)
        .collect();
    let unused = config.services.iter();
    unused
        .filter(|service| !used.contains(&service.name))
        .map(|service| {
            let entry = Entry::Service(service.name.clone());
            Problem::warning(entry, "no route sends requests to it")
        })
        .collect()
}

fn limit_problems(config: &Config) -> Vec<Problem> {
    let limits = &config.limits;
    let mut problems = Vec::new();
    if limits.head_bytes == 0 {
        let text = "no request head is accepted";
        problems.push(Problem::error(Entry::Limits, text));
    }
    if limits.idle_timeout.is_zero() {
        let text = "the idle timeout is zero or invalid, so connections close at once";
        problems.push(Problem::error(Entry::Limits, text));
    }
    if limits.body_bytes == 0 {
        let text = "only requests without a body are accepted";
        problems.push(Problem::warning(Entry::Limits, text));
    }
    problems
}
