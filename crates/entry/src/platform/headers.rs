//! Header fields of requests and answers.

use http::{HeaderMap, HeaderName};
use medlarreel_core::entry::upstream_state::ReportedLoad;

/// Identity of one attempt of a caller; upstreams return it.
pub const ATTEMPT: HeaderName = HeaderName::from_static("attempt-id");
/// Milliseconds that the sender will wait.
pub const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
/// Mark of an upstream on answers that it made.
pub const SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
/// Identity of the upstream that a request is meant for.
pub const TARGET: HeaderName = HeaderName::from_static("target-instance");
/// Running requests, waiting requests and slots of an upstream.
pub const LOAD: HeaderName = HeaderName::from_static("backend-load");
/// Present if the upstream didn't run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Key of a request, 0 to 65535.
pub const KEY: HeaderName = HeaderName::from_static("shard-key");
/// Token that carries state from one holder of a key to the next.
pub const HANDOVER: HeaderName = HeaderName::from_static("handover");

/// Path at which the platform asks whether an instance takes requests.
pub const READY_PATH: &str = "/medlarreel/ready";

/// Number in a header field.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Load that an answer reports.
pub fn load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let text = headers.get(&LOAD)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
    Some(ReportedLoad {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}
