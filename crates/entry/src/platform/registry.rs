//! Registrations of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_core::entry::directory::Registration;
use serde::Deserialize;

/// Topic whose keys are the ids of upstreams.
pub const TOPIC: &str = "keyed.servers";

#[derive(Deserialize)]
struct Raw {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: State,
    /// Seconds during which the upstream is still slow.
    #[serde(rename = "warmupLeftS", default)]
    warmup_left_s: f64,
    sequence: u64,
    /// Unix millisecond of the start of the process.
    born: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Registration from its record; `None` if it names no upstream.
pub fn decode(id: &str, value: &[u8]) -> Option<Registration> {
    let raw: Raw = serde_json::from_slice(value).ok()?;
    Some(Registration {
        id: id.to_owned(),
        service: raw.service,
        address: raw.address,
        domain: raw.zone,
        slots: raw.slots,
        draining: raw.state == State::Draining,
        warmup: Duration::try_from_secs_f64(raw.warmup_left_s).ok()?,
        sequence: raw.sequence,
        born: raw.born,
    })
}
