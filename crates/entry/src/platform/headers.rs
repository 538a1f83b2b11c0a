//! Header fields of requests and responses.

use std::time::Duration;

use http::{HeaderMap, HeaderName, StatusCode, header};
use medlarreel_core::entry::permit::{Notice, Rate};
use medlarreel_core::entry::upstream_state::ReportedLoad;
use medlarreel_macros::data;

/// Identifies one attempt of a caller. Upstreams echo it in their response.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Time that the sender will wait for the response, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Set by upstreams on every response that they generate themselves.
pub const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
/// ID of the upstream that the request is addressed to.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
/// Load of an upstream: running requests, waiting requests and slots, separated by
/// commas. Some add a fourth figure: how long work takes there at this moment, in percent
/// of the usual.
pub const BACKEND_LOAD: HeaderName = HeaderName::from_static("backend-load");
/// Present if the upstream did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Requests per second that an upstream in need takes from all instances together, a
/// decimal number. It holds until a response lacks the field.
pub const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// `1` in all responses of an upstream that is leaving.
pub const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// ID of the upstream that responds, in responses to health checks and in refusals of what
/// is addressed to another one.
const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");
/// Milliseconds for which an upstream stays cold, in responses to health checks.
const WARMUP_MS: HeaderName = HeaderName::from_static("warmup-ms");
/// Shard key of a request, from 0 to 65535.
pub const SHARD_KEY: HeaderName = HeaderName::from_static("shard-key");
/// Opaque token that hands state over from one owner of a key range to the next.
pub const HANDOVER: HeaderName = HeaderName::from_static("handover");
/// Era of the store, in all its responses: 1 at first, and one more each time that the
/// store has come back from a copy.
pub const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Path of the platform's readiness probe.
pub const READY_PATH: &str = "/medlarreel/ready";

/// Parses a header field as an unsigned integer; `None` if it is missing or malformed.
pub fn parse_u64(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Parses the load that a response reports; `None` if it is missing or malformed.
pub fn parse_load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let text = headers.get(&BACKEND_LOAD)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
    Some(ReportedLoad {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
        slowness: numbers
            .next()
            .flatten()
            .unwrap_or(ReportedLoad::USUAL_SLOWNESS),
    })
}

/// Parses what a response says about the rate that its upstream accepts.
pub fn parse_rate_limit(headers: &HeaderMap) -> Notice {
    let Some(value) = headers.get(&SERVER_LIMIT) else {
        return Notice::Unlimited;
    };
    let text = value.to_str().ok();
    let per_second = text.and_then(|text| text.trim().parse().ok());
    let rate = per_second.and_then(Rate::from_per_second);
    rate.map_or(Notice::Unreadable, Notice::Limited)
}

/// Parses how much longer an upstream is cold; `None` if the response doesn't say.
pub fn parse_warmup(headers: &HeaderMap) -> Option<Duration> {
    parse_u64(headers, &WARMUP_MS).map(Duration::from_millis)
}

/// Whether a response says that its upstream is leaving.
pub fn is_leaving(headers: &HeaderMap) -> bool {
    headers
        .get(&SERVER_LEAVING)
        .is_some_and(|value| value == "1")
}

/// Which upstream has sent a response to what is addressed to one.
#[data(key)]
pub enum Sender {
    /// The one that it is addressed to.
    Addressee,
    /// Another one, which refuses it.
    Another,
    /// The response doesn't tell.
    Unknown,
}

/// Tells by its name who has sent a response to what is addressed to the upstream with `id`.
pub fn named_sender(headers: &HeaderMap, id: &str) -> Sender {
    match headers.get(&INSTANCE_ID) {
        Some(named) if named == id => Sender::Addressee,
        Some(_) => Sender::Another,
        None => Sender::Unknown,
    }
}

/// As `named_sender`, also by how health checks and requests without a key are refused. An
/// owner refuses keys that it does not hold with the status by which others refuse all.
pub fn sender(status: StatusCode, headers: &HeaderMap, id: &str) -> Sender {
    match named_sender(headers, id) {
        Sender::Unknown if status == StatusCode::MISDIRECTED_REQUEST => Sender::Another,
        // A full upstream turns health checks away without its name.
        Sender::Unknown if headers.contains_key(&NOT_EXECUTED) => Sender::Addressee,
        sender => sender,
    }
}

/// Parses the time for which an upstream wants no requests after it has turned one away, in
/// seconds with an optional fraction; `None` if it names none, or one that is malformed.
pub fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(text.trim().parse().ok()?).ok()
}
