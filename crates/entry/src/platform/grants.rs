//! Wire format of the calls that grant keys to an upstream and release them.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use medlarreel_core::entry::ledger::{Order, OrderKind, Reply};
use serde::Serialize;

use super::headers;

#[derive(Serialize)]
struct OrderBody<'a> {
    /// First key of the range.
    from: u16,
    /// Last key of the range (inclusive).
    target: u16,
    fence: u64,
    /// Duration of the lease in seconds; missing in a release.
    #[serde(rename = "holdS", skip_serializing_if = "Option::is_none")]
    hold_s: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    handover: Option<&'a str>,
}

/// Returns the path and the body of the call that carries `order`.
///
/// # Errors
///
/// Returns an error if the order cannot be encoded as JSON.
pub fn encode_order(order: &Order) -> Result<(&'static str, Bytes), serde_json::Error> {
    let (path, hold_s, handover) = match &order.kind {
        OrderKind::Grant { hold, handover } => (
            "/medlarreel/grant",
            Some(hold.as_secs_f64()),
            handover.as_deref(),
        ),
        OrderKind::Release => ("/medlarreel/release", None, None),
    };
    let body = OrderBody {
        from: order.first,
        target: order.last,
        fence: order.fence,
        hold_s,
        handover,
    };
    Ok((path, serde_json::to_vec(&body)?.into()))
}

/// Decodes an upstream's response to an order. Returns `None` if it answers something else:
/// upstreams may repeat a response on a connection that is used again. Only requests have
/// marks, and the keys that a release hands over are named by a token.
pub fn decode_reply(
    kind: &OrderKind,
    status: StatusCode,
    response_headers: &HeaderMap,
) -> Option<Reply> {
    let is_of_request = [headers::ATTEMPT_ID, headers::RESPONSE_SIGNATURE]
        .iter()
        .any(|name| response_headers.contains_key(name));
    let handover = response_headers.get(&headers::HANDOVER);
    let handover = handover.and_then(|value| value.to_str().ok());
    let is_of_grant = *kind == OrderKind::Release && status == StatusCode::OK && handover.is_none();
    if is_of_request || is_of_grant {
        return None;
    }
    Some(match status {
        StatusCode::OK => Reply::Done {
            handover: handover.map(ToOwned::to_owned),
        },
        StatusCode::CONFLICT => Reply::Fenced,
        StatusCode::MISDIRECTED_REQUEST => Reply::Misdirected,
        _ => Reply::Unknown,
    })
}
