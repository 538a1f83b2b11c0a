//! Tests of route lookup and of traffic splitting.

use std::time::Duration;

use medlarreel_core::entry::routes::{Config, Route, RouteTable, Share, TrafficSplitter};
use proptest::prelude::*;

fn route(name: &str, prefix: &str, shares: &[(&str, f64)]) -> Route {
    let share = |(service, weight): &(&str, f64)| Share {
        service: (*service).into(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: "Loft.example".into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(500),
        rank: 1,
        max_attempts: 2,
        shares: shares.iter().map(share).collect(),
    }
}

fn table() -> RouteTable {
    let single = [("intake", 1.0)];
    RouteTable::new(Config {
        version: 1,
        routes: vec![
            route("all", "/", &single),
            route("short", "/a/", &single),
            route("long", "/a/b/", &single),
        ],
        ..Config::default()
    })
}

/// Guards against sending a request to the service of a route with a shorter prefix or
/// of another host, and against refusing a host because of its case or its port.
#[test]
fn longest_prefix_of_the_host_wins() {
    let table = table();

    let name = |host, path| table.find(host, path).map(|route| route.name.clone());

    assert_eq!(name("loft.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("LOFT.example:80", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name("loft.example", "/b").as_deref(), Some("all"));
    assert_eq!(name("other.example", "/a/b/"), None);
}

proptest! {
    /// Guards against shares that hold only on average over many requests.
    #[test]
    fn shares_hold_in_every_short_span(first in 1.0..99.0f64, count in 20usize..200) {
        let route = route("split", "/", &[("one", first), ("two", 100.0 - first)]);
        let mut splitter = TrafficSplitter::default();

        let first_count = (0..count).filter(|_| splitter.next_service(&route) == Some("one")).count();

        let expected = first / 100.0 * count as f64;
        prop_assert!((first_count as f64 - expected).abs() <= 1.0, "{first_count} of {count}, expected {expected}");
    }
}
