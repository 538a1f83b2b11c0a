//! What the adapter reads from configurations and responses of upstreams.

use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use medlarreel_core::entry::permit::Rate;
use medlarreel_core::entry::routes::Config;
use medlarreel_core::entry::upstream_state::ReportedLoad;
use medlarreel_entry::platform::{config, headers};
use serde_json::json;

fn config_with(kind: &str, service: serde_json::Value) -> Config {
    let document = json!({
        "version": 1,
        "resources": [
            {
                "entryType": "routes",
                "metadata": { "name": "route" },
                "spec": {
                    "host": "example", "pathPrefix": "/", "kind": kind,
                    "timeoutS": 1.0, "targetLatencyS": 0.5, "service": "service",
                },
            },
            { "entryType": "services", "metadata": { "name": "service" }, "spec": service },
        ],
    });
    config::decode(document.to_string().as_bytes()).unwrap()
}

fn load_of(value: &'static str) -> Option<ReportedLoad> {
    let mut fields = HeaderMap::new();
    fields.insert(headers::BACKEND_LOAD, HeaderValue::from_static(value));
    headers::parse_load(&fields)
}

/// Guards against a download that is not sent again after its answer was lost, and against
/// requests of other kinds that run twice.
#[test]
fn only_safe_requests_and_downloads_may_run_again() {
    let kinds = ["safe", "download", "unsafe", "stream", ""];

    let repeatable = kinds.map(|kind| config_with(kind, json!({})).routes[0].idempotent);

    assert_eq!(repeatable, [true, true, false, false, false]);
}

/// Guards against sending cold upstreams more than they take, and against limiting those of
/// services that name no rate.
#[test]
fn the_rate_of_cold_upstreams_is_read() {
    let limited = config_with("safe", json!({ "warmupS": 3.0, "warmupPerS": 8.3 }));
    let unlimited = config_with("safe", json!({ "warmupS": 3.0, "warmupPerS": 0 }));

    assert_eq!(limited.services[0].warmup, Duration::from_secs(3));
    assert_eq!(limited.services[0].warmup_rate, Some(Rate(8_300)));
    assert_eq!(unlimited.services[0].warmup_rate, None);
}

/// Guards against ignoring that an upstream's machine is slow, and against refusing the
/// loads of upstreams that don't say so.
#[test]
fn the_fourth_figure_of_a_load_is_optional() {
    let loads = ["3,1,8,250", "3,1,8", "3,1,8,x"].map(|text| load_of(text).unwrap());

    assert_eq!(loads.map(|load| load.slowness), [250, 100, 100]);
    assert_eq!(load_of("3,1"), None);
}
