//! Responses to callers: those forwarded from upstreams and those generated here.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use medlarreel_core::entry::link::LARGE_RESPONSE_BYTES;
use medlarreel_core::entry::memory::Stage;

use super::request::RoutedRequest;
use crate::body;
use crate::connection::BufferedResponse;
use crate::link::Transfer;
use crate::platform::headers;

/// Hop-by-hop header fields, which apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the header fields without the hop-by-hop ones, including those that the
/// `Connection` field names.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut fields = headers.clone();
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&connection_options) {
        fields.remove(name);
    }
    fields.remove("keep-alive");
    fields
}

pub(super) fn forwarded_response(
    request: &RoutedRequest,
    upstream_response: BufferedResponse,
    transfer: Option<Transfer>,
) -> Response<body::Response> {
    let lease = upstream_response.body.lease();
    if lease.is_some_and(|lease| !lease.enter(Stage::Writing)) {
        tracing::info!(id = request.id, "response given up: memory is short");
        return empty_response(StatusCode::BAD_GATEWAY);
    }
    let mut fields = end_to_end_headers(&upstream_response.headers);
    fields.remove(header::CONTENT_LENGTH);
    let body = upstream_response.body;
    if let Some(transfer) = &transfer {
        transfer.begin(&request.route.name, body.len());
    }
    let transfer = transfer.filter(|_| body.len() > LARGE_RESPONSE_BYTES);
    let body = match transfer {
        Some(transfer) => body::Response::paced(body, transfer),
        None => body.into(),
    };
    let mut response = Response::new(body);
    *response.status_mut() = upstream_response.status;
    *response.headers_mut() = fields;
    if let Ok(id) = HeaderValue::try_from(&request.id) {
        response.headers_mut().insert(headers::ATTEMPT_ID, id);
    }
    response
}

pub(super) fn empty_response(status: StatusCode) -> Response<body::Response> {
    let mut response = Response::new(body::Response::default());
    *response.status_mut() = status;
    response
}

pub(super) fn with_connection_close(
    mut response: Response<body::Response>,
) -> Response<body::Response> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Returns a 503 response, which promises that the request has not run and will not run.
/// `retry_after` becomes its `Retry-After` field, in seconds; `None` leaves that out.
pub(super) fn refusal_response(retry_after: Option<Duration>) -> Response<body::Response> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let text = retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
    if let Some(Ok(value)) = text.map(HeaderValue::try_from) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
