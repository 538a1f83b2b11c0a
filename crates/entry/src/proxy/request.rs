//! Reading a caller's request and matching it to its route.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use medlarreel_core::entry::memory::{SMALL_BODY_BYTES, Stage};
use medlarreel_core::entry::routes::Route;
use medlarreel_core::entry::suspects::Fingerprint;
use medlarreel_core::time::Time;

use super::response::{empty_response, refusal_response, with_connection_close};
use crate::body::{self, CollectError, Payload, announced_length};
use crate::platform::headers;
use crate::state::State;

/// Time reserved from a caller's deadline for the response to travel back.
const RESPONSE_RESERVE: Duration = Duration::from_millis(5);

/// `Retry-After` of a request that is refused because memory is short. Most bodies that take
/// it are served or given up within a second.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A completely read request with its route, service, key and deadline.
pub(super) struct RoutedRequest {
    /// Attempt ID; `-` if the request has none.
    pub(super) id: String,
    pub(super) method: Method,
    /// Path and query.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Payload,
    pub(super) route: Route,
    pub(super) service: String,
    /// Shard key; `None` if the service is not keyed.
    pub(super) key: Option<u16>,
    pub(super) arrived: Time,
    /// Time by which the caller gets a response.
    pub(super) deadline: Time,
    fingerprint: OnceCell<Fingerprint>,
}

impl RoutedRequest {
    /// Fingerprint of what identifies the request apart from its attempt. It is computed
    /// only when it is first needed, since most requests are never looked up by it.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let field = |name: &HeaderName| {
                let value = self.headers.get(name);
                value.map_or(&[][..], HeaderValue::as_bytes)
            };
            let head = [
                self.method.as_str().as_bytes(),
                field(&header::HOST),
                self.path.as_bytes(),
                field(&headers::SHARD_KEY),
                field(&header::AUTHORIZATION),
                field(&header::COOKIE),
            ];
            let parts: Vec<&[u8]> = head.into_iter().chain(self.body.parts()).collect();
            Fingerprint::of(&parts)
        })
    }
}

/// Reads a request completely and matches it to its route.
///
/// # Errors
///
/// Returns the response for the caller if the request cannot be read or routed.
pub(super) async fn read_request(
    state: &State,
    incoming: Request<Incoming>,
    arrived: Time,
) -> Result<RoutedRequest, Box<Response<body::Response>>> {
    let (parts, body) = incoming.into_parts();
    let id = parts.headers.get(&headers::ATTEMPT_ID);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned();
    let table = Rc::clone(&state.route_table.borrow());
    if !table.is_loaded() {
        tracing::info!(id, reason = "no configuration", "request refused");
        state.metrics.count_request("-", "no_configuration");
        return Err(Box::new(refusal_response(Some(Duration::from_millis(300)))));
    }
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let Some(route) = table.find(host, parts.uri.path()) else {
        let version = table.config().version;
        tracing::info!(id, host, path = parts.uri.path(), version, "no route");
        state.metrics.count_request("-", "no_route");
        return Err(Box::new(empty_response(StatusCode::NOT_FOUND)));
    };
    let service = state
        .traffic_splitter
        .borrow_mut()
        .next_service(route)
        .map(ToOwned::to_owned);
    let service = service.unwrap_or_default();
    let keyed = table.service(&service).is_some_and(|service| service.keyed);
    let key = headers::parse_u64(&parts.headers, &headers::SHARD_KEY);
    let key = key.and_then(|key| u16::try_from(key).ok());
    if keyed && key.is_none() {
        tracing::info!(
            id,
            route = route.name,
            reason = "no key",
            "request rejected"
        );
        state.metrics.count_request(&route.name, "no_key");
        return Err(Box::new(empty_response(StatusCode::BAD_REQUEST)));
    }
    let timeout = headers::parse_u64(&parts.headers, &headers::DEADLINE_MS);
    let timeout = timeout.map(Duration::from_millis);
    let timeout = timeout.map(|time| time.saturating_sub(RESPONSE_RESERVE));
    let timeout = timeout.map_or(route.timeout, |time| time.min(route.timeout));
    let limit = table.config().limits.body_bytes;
    let body = match tokio::time::timeout(timeout, read_body(state, body, limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            tracing::info!(
                id,
                route = route.name,
                ?error,
                "failed to read request body"
            );
            let response = match error {
                CollectError::TooLong => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
                CollectError::Failed(_) => empty_response(StatusCode::BAD_REQUEST),
                CollectError::Evicted => {
                    state.metrics.count_request(&route.name, "no_memory");
                    refusal_response(Some(MEMORY_RETRY_AFTER.min(timeout / 3)))
                }
            };
            return Err(Box::new(with_connection_close(response)));
        }
        Err(_) => {
            tracing::info!(id, route = route.name, "request body timed out");
            return Err(Box::new(with_connection_close(empty_response(
                StatusCode::REQUEST_TIMEOUT,
            ))));
        }
    };
    let path = parts.uri.path_and_query();
    Ok(RoutedRequest {
        id,
        method: parts.method,
        path: path.map_or("/", |path| path.as_str()).to_owned(),
        headers: parts.headers,
        body,
        route: route.clone(),
        service,
        key: key.filter(|_| keyed),
        arrived,
        deadline: arrived + timeout,
        fingerprint: OnceCell::new(),
    })
}

/// Reads a request body. A large one is refused before it is read if there is no room for
/// it, and given up later if it is evicted.
async fn read_body(state: &State, body: Incoming, limit: usize) -> Result<Payload, CollectError> {
    let length = announced_length(&body);
    if length == Some(0) {
        return Ok(Payload::default());
    }
    let is_within_limit = length.filter(|length| *length <= limit);
    if is_within_limit.is_some_and(|length| !state.memory.admits(length)) {
        return Err(CollectError::Evicted);
    }
    let is_large = length.is_some_and(|length| length > SMALL_BODY_BYTES);
    let lease = state.memory.open(Stage::Reading, is_large);
    let body = tokio::select! {
        body = body::collect(body, length, limit, Some(&lease)) => body?,
        () = lease.wait_evicted() => return Err(CollectError::Evicted),
    };
    match lease.enter(Stage::Kept) {
        true => Ok(body),
        false => Err(CollectError::Evicted),
    }
}

pub(super) fn count_keyed_request(state: &State, request: &RoutedRequest) {
    if let Some(key) = request.key {
        let mut counts = state.key_counts.borrow_mut();
        let keys = counts.entry(request.service.clone()).or_default();
        *keys.entry(key).or_default() += 1;
    }
}
