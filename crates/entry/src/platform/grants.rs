//! Grants and releases of keys at an upstream.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use medlarreel_core::entry::ledger::{Order, OrderKind, Reply};
use serde::Serialize;

use super::headers;

#[derive(Serialize)]
struct Body<'a> {
    /// Lowest key.
    from: u16,
    /// Highest key.
    target: u16,
    fence: u64,
    #[serde(rename = "holdS", skip_serializing_if = "Option::is_none")]
    hold_s: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    handover: Option<&'a str>,
}

/// Path and body of the call that carries an order.
///
/// # Errors
///
/// If the order can't be written as JSON.
pub fn encode_order(order: &Order) -> Result<(&'static str, Bytes), serde_json::Error> {
    let (path, hold_s, handover) = match &order.kind {
        OrderKind::Grant { hold, handover } => (
            "/medlarreel/grant",
            Some(hold.as_secs_f64()),
            handover.as_deref(),
        ),
        OrderKind::Release => ("/medlarreel/release", None, None),
    };
    let body = Body {
        from: order.first,
        target: order.last,
        fence: order.fence,
        hold_s,
        handover,
    };
    Ok((path, serde_json::to_vec(&body)?.into()))
}

/// Meaning of an upstream's answer.
pub fn decode_reply(status: StatusCode, answer: &HeaderMap) -> Reply {
    let handover = answer.get(&headers::HANDOVER);
    let handover = handover.and_then(|value| value.to_str().ok());
    match status {
        StatusCode::OK => Reply::Done {
            handover: handover.map(ToOwned::to_owned),
        },
        StatusCode::CONFLICT => Reply::Fenced,
        _ => Reply::Unknown,
    }
}
