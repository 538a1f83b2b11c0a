//! The operator's configuration.

use std::time::Duration;

use medlarreel_core::entry::routes::{Config, Limits, Route, Service, Share};
use serde::Deserialize;
use serde_json::Value;

/// Topic of what the operator writes.
pub const TOPIC: &str = "keyed.op";

/// Key of the newest configuration.
pub const RECORD_KEY: &str = "config";

/// Most attempts where a route names none.
const DEFAULT_ATTEMPTS: u32 = 1;

#[derive(Deserialize)]
struct Document {
    version: u64,
    resources: Vec<Resource>,
}

#[derive(Deserialize)]
struct Resource {
    /// What the resource is: routes, services or limits.
    #[serde(rename = "entryType")]
    kind: String,
    #[serde(default)]
    metadata: Metadata,
    spec: Value,
}

#[derive(Deserialize, Default)]
struct Metadata {
    #[serde(default)]
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawRoute {
    host: String,
    path_prefix: String,
    kind: String,
    timeout_s: f64,
    target_latency_s: f64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    traffic_split: Option<Vec<RawShare>>,
    max_attempts: Option<u32>,
}

#[derive(Deserialize)]
struct RawShare {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawService {
    max_connections: Option<usize>,
    #[serde(default)]
    sharded: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    idle_timeout_s: f64,
}

/// Connections to an upstream where its service names no limit.
const DEFAULT_CONNECTIONS: usize = 64;

/// Configuration from its record.
///
/// # Errors
///
/// What can't be read.
pub fn decode(value: &[u8]) -> Result<Config, serde_json::Error> {
    let document: Document = serde_json::from_slice(value)?;
    let mut config = Config {
        version: document.version,
        ..Config::default()
    };
    for resource in document.resources {
        let (name, spec) = (resource.metadata.name, resource.spec);
        match resource.kind.as_str() {
            "routes" => config.routes.push(route(name, spec)?),
            "services" => config.services.push(service(name, spec)?),
            "limits" => config.limits = limits(spec)?,
            // Kinds that are unknown here belong to other matters.
            _ => {}
        }
    }
    Ok(config)
}

fn route(name: String, spec: Value) -> Result<Route, serde_json::Error> {
    let raw: RawRoute = serde_json::from_value(spec)?;
    let single = |service| Share {
        service,
        weight: 1.0,
    };
    let split = raw.traffic_split.unwrap_or_default().into_iter();
    let split = split.map(|share| Share {
        service: share.service,
        weight: share.weight,
    });
    Ok(Route {
        name,
        host: raw.host,
        prefix: raw.path_prefix,
        // Every kind but `safe` may run at most once.
        idempotent: raw.kind == "safe",
        timeout: seconds(raw.timeout_s),
        target_latency: seconds(raw.target_latency_s),
        rank: raw.priority,
        max_attempts: raw.max_attempts.unwrap_or(DEFAULT_ATTEMPTS),
        shares: raw.service.map(single).into_iter().chain(split).collect(),
    })
}

fn service(name: String, spec: Value) -> Result<Service, serde_json::Error> {
    let raw: RawService = serde_json::from_value(spec)?;
    Ok(Service {
        name,
        keyed: raw.sharded,
        max_connections: raw.max_connections.unwrap_or(DEFAULT_CONNECTIONS),
    })
}

fn limits(spec: Value) -> Result<Limits, serde_json::Error> {
    let raw: RawLimits = serde_json::from_value(spec)?;
    Ok(Limits {
        head_bytes: raw.max_header_bytes,
        body_bytes: raw.max_body_bytes,
        idle_timeout: seconds(raw.idle_timeout_s),
    })
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}
