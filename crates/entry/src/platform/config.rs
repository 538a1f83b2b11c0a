//! Decoding of the operator's configuration.

use std::time::Duration;

use medlarreel_core::entry::permit::Rate;
use medlarreel_core::entry::routes::{Config, Limits, Route, Service, Share};
use serde::Deserialize;
use serde_json::Value;

/// Topic with the configuration that the operator publishes.
pub const TOPIC: &str = "keyed.op";

/// Key of the record that holds the current configuration.
pub const RECORD_KEY: &str = "config";

/// Beginning of the keys of records that evacuate a failure domain, whose name follows.
const EVACUATION_PREFIX: &str = "evacuate/";

/// Failure domain that a record with this key evacuates; `None` if it is another record. One
/// without a value withdraws the order.
pub fn evacuated_domain(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATION_PREFIX)
}

/// Maximum number of attempts for a route that does not set one.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;

#[derive(Deserialize)]
struct ConfigDocument {
    version: u64,
    resources: Vec<Resource>,
}

#[derive(Deserialize)]
struct Resource {
    /// Kind of the resource: `routes`, `services` or `limits`.
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
    health_path: Option<String>,
    max_connections: Option<usize>,
    #[serde(default)]
    sharded: bool,
    #[serde(default)]
    warmup_s: f64,
    #[serde(default)]
    warmup_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    idle_timeout_s: f64,
}

/// Maximum number of connections to an upstream whose service does not set one.
const DEFAULT_MAX_CONNECTIONS: usize = 64;

/// Resource that can't be decoded.
#[derive(Debug)]
pub struct InvalidResource {
    /// Kind of the resource.
    pub kind: String,
    /// Its name; empty if it has none.
    pub name: String,
    /// What is wrong with it.
    pub error: serde_json::Error,
}

/// Decodes the value of a configuration record.
///
/// # Errors
///
/// Returns an error if the value is not JSON of the expected form.
pub fn decode(value: &[u8]) -> Result<Config, serde_json::Error> {
    let (config, invalid) = decode_valid(value)?;
    match invalid.into_iter().next() {
        Some(first) => Err(first.error),
        None => Ok(config),
    }
}

/// Decodes the valid resources of a configuration record, and returns the others beside.
///
/// # Errors
///
/// Returns an error if the value is not a list of resources.
pub fn decode_valid(value: &[u8]) -> Result<(Config, Vec<InvalidResource>), serde_json::Error> {
    let document: ConfigDocument = serde_json::from_slice(value)?;
    let mut config = Config {
        version: document.version,
        ..Config::default()
    };
    let mut invalid = Vec::new();
    for resource in document.resources {
        let (kind, name, spec) = (resource.kind, resource.metadata.name, resource.spec);
        let decoded = match kind.as_str() {
            "routes" => decode_route(name.clone(), spec).map(|route| config.routes.push(route)),
            "services" => {
                decode_service(name.clone(), spec).map(|service| config.services.push(service))
            }
            "limits" => decode_limits(spec).map(|limits| config.limits = limits),
            // Other kinds of resources are not used by the entry.
            _ => Ok(()),
        };
        if let Err(error) = decoded {
            invalid.push(InvalidResource { kind, name, error });
        }
    }
    Ok((config, invalid))
}

fn decode_route(name: String, spec: Value) -> Result<Route, serde_json::Error> {
    let raw: RawRoute = serde_json::from_value(spec)?;
    let full_share = |service| Share {
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
        // A request of any other kind must run at most once.
        idempotent: matches!(raw.kind.as_str(), "safe" | "download"),
        timeout: duration_from_secs(raw.timeout_s),
        target_latency: duration_from_secs(raw.target_latency_s),
        rank: raw.priority,
        max_attempts: raw.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
        shares: raw
            .service
            .map(full_share)
            .into_iter()
            .chain(split)
            .collect(),
    })
}

fn decode_service(name: String, spec: Value) -> Result<Service, serde_json::Error> {
    let raw: RawService = serde_json::from_value(spec)?;
    Ok(Service {
        name,
        keyed: raw.sharded,
        health_path: raw.health_path,
        max_connections: raw.max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
        warmup: duration_from_secs(raw.warmup_s),
        // A service whose cold upstreams take any rate names 0.
        warmup_rate: Rate::from_per_second(raw.warmup_per_s).filter(|rate| *rate > Rate(0)),
    })
}

fn decode_limits(spec: Value) -> Result<Limits, serde_json::Error> {
    let raw: RawLimits = serde_json::from_value(spec)?;
    Ok(Limits {
        head_bytes: raw.max_header_bytes,
        body_bytes: raw.max_body_bytes,
        idle_timeout: duration_from_secs(raw.idle_timeout_s),
    })
}

/// Returns zero if `seconds` is negative, too large or not a number.
fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}
