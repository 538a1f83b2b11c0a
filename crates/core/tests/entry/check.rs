//! Check of configurations before they are published.

use std::time::Duration;

use medlarreel_core::entry::check::{Entry, Severity, find_problems};
use medlarreel_core::entry::difference::{Difference, compare};
use medlarreel_core::entry::permit::Rate;
use medlarreel_core::entry::routes::{Config, Limits, Route, Service, Share};

fn route(name: &str, prefix: &str, services: &[(&str, f64)]) -> Route {
    let shares = services.iter().map(|(service, weight)| Share {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Route {
        name: name.to_owned(),
        host: "example".to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_secs(1),
        rank: 0,
        max_attempts: 2,
        shares: shares.collect(),
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        keyed: false,
        health_path: Some("/health".to_owned()),
        max_connections: 10,
        warmup: Duration::ZERO,
        warmup_rate: None,
    }
}

fn valid_config() -> Config {
    Config {
        version: 7,
        routes: vec![route("r1", "/a/", &[("s1", 9.0), ("s2", 1.0)])],
        services: vec![service("s1"), service("s2")],
        limits: Limits::default(),
    }
}

/// Entries with problems of a severity.
fn entries(config: &Config, severity: Severity) -> Vec<Entry> {
    let problems = find_problems(config, None).into_iter();
    let problems = problems.filter(|problem| problem.severity == severity);
    problems.map(|problem| problem.entry).collect()
}

fn route_entry(name: &str) -> Entry {
    Entry::Route(name.to_owned())
}

/// Guards against complaints that operators learn to ignore.
#[test]
fn a_valid_configuration_has_no_problems() {
    let config = valid_config();

    let problems = find_problems(&config, None);

    assert_eq!(problems, []);
}

/// Guards against routes that silently get no requests.
#[test]
fn routes_that_never_match_are_errors() {
    let mut config = valid_config();
    config.routes.push(Route {
        host: "EXAMPLE".to_owned(),
        ..route("behind", "/a/", &[("s1", 1.0)])
    });
    config.routes.push(route("no-slash", "b/", &[("s1", 1.0)]));
    config.routes.push(Route {
        host: String::new(),
        ..route("no-host", "/c/", &[("s1", 1.0)])
    });

    let errors = entries(&config, Severity::Error);

    let expected = ["no-slash", "no-host", "behind"].map(route_entry);
    assert_eq!(errors, expected);
}

/// Guards against values that exclude each other, under which no request is served in time.
#[test]
fn contradicting_limits_are_errors() {
    let mut config = valid_config();
    config.routes[0].target_latency = Duration::from_secs(3);
    config.services[0].max_connections = 0;
    config.limits.idle_timeout = Duration::ZERO;

    let errors = entries(&config, Severity::Error);

    let service = Entry::Service("s1".to_owned());
    assert_eq!(errors, [route_entry("r1"), service, Entry::Limits]);
}

/// Guards against requests that are refused because their service is misspelled, and against
/// shares that can't be computed.
#[test]
fn shares_must_name_services_and_add_up() {
    let mut config = valid_config();
    config.routes.push(route("unknown", "/b/", &[("s3", 1.0)]));
    config.routes.push(route("empty", "/c/", &[]));
    config.routes.push(route("nan", "/d/", &[("s1", f64::NAN)]));
    config
        .routes
        .push(route("zero", "/e/", &[("s1", 0.0), ("s2", 0.0)]));

    let errors = entries(&config, Severity::Error);

    assert_eq!(errors, ["unknown", "empty", "nan", "zero"].map(route_entry));
}

/// Guards against entries without an effect that look as if they had one.
#[test]
fn entries_without_effect_are_warnings() {
    let mut config = valid_config();
    config.routes[0].shares[1].weight = 0.0;
    config.services[0].warmup_rate = Rate::from_per_second(8.0);

    let warnings = entries(&config, Severity::Warning);

    let service = |name: &str| Entry::Service(name.to_owned());
    assert_eq!(warnings, [route_entry("r1"), service("s1"), service("s2")]);
}

/// Guards against a version that every instance ignores.
#[test]
fn the_version_must_rise() {
    let config = valid_config();

    let problems = find_problems(&config, Some(&valid_config()));

    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].entry, Entry::Config);
}

/// Guards against changes that an operator did not intend.
#[test]
fn differences_name_entries_and_fields() {
    let before = valid_config();
    let mut after = valid_config();
    after.routes[0].timeout = Duration::from_secs(5);
    after.routes.push(route("r2", "/b/", &[("s1", 1.0)]));
    after.services.pop();

    let differences = compare(&before, &after);

    let [Difference::Changed(changed, fields), rest @ ..] = differences.as_slice() else {
        panic!("{differences:?}");
    };
    assert_eq!(*changed, route_entry("r1"));
    assert_eq!(fields.len(), 1);
    assert_eq!(
        (fields[0].before.as_str(), fields[0].after.as_str()),
        ("2s", "5s")
    );
    let added = Difference::Added(route_entry("r2"));
    let removed = Difference::Removed(Entry::Service("s2".to_owned()));
    assert_eq!(rest, [added, removed]);
    assert_eq!(compare(&before, &before), []);
}
