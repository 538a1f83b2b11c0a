//! Decoding of the registrations of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderValue;
use medlarreel_core::entry::directory::Registration;
use serde::Deserialize;

/// Topic with one registration record for each upstream, keyed by its ID.
pub const TOPIC: &str = "keyed.servers";

#[derive(Deserialize)]
struct RawRegistration {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: RawState,
    /// Remaining warm-up time in seconds, during which the upstream is slower than usual.
    #[serde(rename = "warmupLeftS", default)]
    warmup_left_s: f64,
    sequence: u64,
    /// Start of the upstream's process, in milliseconds since the Unix epoch.
    born: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum RawState {
    Ready,
    Draining,
}

/// Decodes a registration record; `None` if it is not a valid registration, if no upstream
/// can listen on its address, or if none can be addressed by its ID: header fields hold no
/// control characters and lose the blanks at their ends.
pub fn decode(id: &str, value: &[u8]) -> Option<Registration> {
    if id.is_empty() || id.trim() != id || HeaderValue::from_str(id).is_err() {
        return None;
    }
    let raw: RawRegistration = serde_json::from_slice(value).ok()?;
    let ip = raw.address.ip();
    if raw.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return None;
    }
    Some(Registration {
        id: id.to_owned(),
        service: raw.service,
        address: raw.address,
        domain: raw.zone,
        slots: raw.slots,
        draining: raw.state == RawState::Draining,
        warmup: Duration::try_from_secs_f64(raw.warmup_left_s).ok()?,
        sequence: raw.sequence,
        born: raw.born,
    })
}
