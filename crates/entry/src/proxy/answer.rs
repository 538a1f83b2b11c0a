//! Answers to callers: those of upstreams and own ones.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

use super::request::Exchange;
use crate::connection::BufferedResponse;
use crate::platform::headers;

/// Header fields that concern one connection only.
const PER_CONNECTION: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Header fields without those that concern one connection.
pub(super) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut fields = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in PER_CONNECTION.iter().chain(&named) {
        fields.remove(name);
    }
    fields.remove("keep-alive");
    fields
}

pub(super) fn pass_on(exchange: &Exchange, answer: BufferedResponse) -> Response<Full<Bytes>> {
    let mut fields = forwarded(&answer.headers);
    fields.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = fields;
    if let Ok(id) = HeaderValue::try_from(&exchange.id) {
        response.headers_mut().insert(headers::ATTEMPT_ID, id);
    }
    response
}

pub(super) fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

pub(super) fn closing(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Answer that promises that the request didn't and won't run.
pub(super) fn refusal(after: Option<Duration>) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    let text = after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(Ok(value)) = text.map(HeaderValue::try_from) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
