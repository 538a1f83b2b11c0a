//! Differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use medlarreel_macros::data;

use super::check::Entry;
use super::routes::{Config, Limits, Route, Service};

/// Field whose value differs.
#[data(value)]
pub struct Field {
    /// Name of the field.
    pub name: String,
    /// Value before.
    pub before: String,
    /// Value after.
    pub after: String,
}

/// How an entry differs.
#[data(value)]
pub enum Difference {
    /// It is new.
    Added(Entry),
    /// It is gone.
    Removed(Entry),
    /// It is in both configurations with other values.
    Changed(Entry, Vec<Field>),
}

/// Compares two configurations entry by entry, routes and services by name.
pub fn compare(before: &Config, after: &Config) -> Vec<Difference> {
    let mut differences = compare_named(
        before.routes.iter().map(|route| (&route.name, route)),
        after.routes.iter().map(|route| (&route.name, route)),
        Entry::Route,
        route_fields,
    );
    differences.extend(compare_named(
        before
            .services
            .iter()
            .map(|service| (&service.name, service)),
        after
            .services
            .iter()
            .map(|service| (&service.name, service)),
        Entry::Service,
        service_fields,
    ));
    let limits = changed(limit_fields(&before.limits), limit_fields(&after.limits));
    if !limits.is_empty() {
        differences.push(Difference::Changed(Entry::Limits, limits));
    }
    differences
}

/// Name and value of each field of an entry.
type Fields = Vec<(&'static str, String)>;

fn compare_named<'a, T: 'a>(
    before: impl Iterator<Item = (&'a String, &'a T)>,
    after: impl Iterator<Item = (&'a String, &'a T)>,
    entry: impl Fn(String) -> Entry,
    fields: impl Fn(&T) -> Fields,
) -> Vec<Difference> {
    let (before, after): (BTreeMap<_, _>, BTreeMap<_, _>) = (before.collect(), after.collect());
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).copied().collect();
    let difference = |name: &String| match (before.get(name), after.get(name)) {
        (Some(old), Some(new)) => {
            let changed = changed(fields(old), fields(new));
            (!changed.is_empty()).then(|| Difference::Changed(entry(name.clone()), changed))
        }
        (Some(_), None) => Some(Difference::Removed(entry(name.clone()))),
        (None, _) => Some(Difference::Added(entry(name.clone()))),
    };
    names.into_iter().filter_map(difference).collect()
}

fn changed(before: Fields, after: Fields) -> Vec<Field> {
    let pairs = before.into_iter().zip(after);
    pairs
        .filter(|((_, old), (_, new))| old != new)
        .map(|((name, before), (_, after))| Field {
            name: name.to_owned(),
            before,
            after,
        })
        .collect()
}

fn text(value: &impl Debug) -> String {
    format!("{value:?}")
}

fn route_fields(route: &Route) -> Fields {
    let shares = route.shares.iter();
    let shares: Vec<String> = shares
        .map(|share| format!("{} {}", share.service, share.weight))
        .collect();
    vec![
        ("host", route.host.clone()),
        ("path prefix", route.prefix.clone()),
        ("may run again", text(&route.idempotent)),
        ("timeout", text(&route.timeout)),
        ("target latency", text(&route.target_latency)),
        ("rank", text(&route.rank)),
        ("attempts", text(&route.max_attempts)),
        ("services", shares.join(", ")),
    ]
}

fn service_fields(service: &Service) -> Fields {
    let warmup_rate = service.warmup_rate.map(|rate| rate.per_second());
    vec![
        ("keyed", text(&service.keyed)),
        (
            "health path",
            service.health_path.clone().unwrap_or_default(),
        ),
        ("connections", text(&service.max_connections)),
        ("warm-up", text(&service.warmup)),
        ("rate while cold", text(&warmup_rate)),
    ]
}

fn limit_fields(limits: &Limits) -> Fields {
    vec![
        ("head bytes", text(&limits.head_bytes)),
        ("body bytes", text(&limits.body_bytes)),
        ("idle timeout", text(&limits.idle_timeout)),
    ]
}
