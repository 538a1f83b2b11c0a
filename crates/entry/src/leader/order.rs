//! Sends orders to upstreams: grants and releases of keys.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use medlarreel_core::entry::ledger::{CALL_TIMEOUT, Order, OrderKind, Reply};
use medlarreel_core::time::Time;

use crate::error::Error;
use crate::platform::{grants, headers};
use crate::pool::Usage;
use crate::state::State;

/// Timeout of a release; the upstream waits for running requests before it answers.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends an order that the ledger has recorded as sent at `sent` to its upstream, and passes
/// the reply to the ledger.
pub(super) async fn execute_order(state: &Rc<State>, sent: Time, order: Order) {
    let reply = match send_order(state, sent, &order).await {
        Ok(reply) => reply,
        Err(Error::NotSent(_) | Error::NotAccepted) => Reply::NotSent,
        Err(_) => Reply::Unknown,
    };
    let outcome = match &reply {
        Reply::Done { .. } => "done",
        Reply::Fenced => "fenced",
        Reply::Misdirected => "misdirected",
        Reply::NotSent => "not_sent",
        Reply::Unknown => "unknown",
    };
    let kind = match order.kind {
        OrderKind::Grant { .. } => "grant",
        OrderKind::Release => "release",
    };
    state.metrics.count_call(kind, outcome);
    let now = state.clock.now();
    if outcome != "done" || kind == "release" {
        tracing::info!(
            kind,
            outcome,
            service = order.service,
            first = order.first,
            last = order.last,
            upstream = order.owner.id,
            born = order.owner.born,
            address = %order.owner.address,
            fence = order.fence,
            took_ms = now.since(sent).as_millis() as u64,
            "order finished"
        );
    }
    if let Some(ledger) = state.ledger.borrow_mut().as_mut() {
        ledger.handle_reply(now, sent, &order, &reply);
    }
}

async fn send_order(state: &State, sent: Time, order: &Order) -> Result<Reply, Error> {
    let (path, body) =
        grants::encode_order(order).map_err(|error| Error::NotSent(error.to_string()))?;
    let upstream = {
        let directory = state.directory.borrow();
        let found = directory.find(&order.owner.id);
        found
            .filter(|(_, record)| record.registration.born == order.owner.born)
            .map(|(upstream, _)| upstream)
    };
    let now = state.clock.now();
    let address = order.owner.address;
    let usage = upstream.map(|upstream| Usage {
        upstream,
        idempotent: false,
        attempt: "",
    });
    let connection = state
        .pool
        .get_or_connect(now, usage, address, CALL_TIMEOUT / 2);
    let mut connection = connection.await?;
    // A grant must arrive within `CALL_TIMEOUT` of `sent` or not at all.
    let timeout = match order.kind {
        OrderKind::Grant { .. } => (sent + CALL_TIMEOUT).since(state.clock.now()),
        OrderKind::Release => RELEASE_TIMEOUT,
    };
    if timeout.is_zero() {
        return Err(Error::NotSent("the order is too late".into()));
    }
    let request = Request::post(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CONTENT_LENGTH, body.len())
        .header(headers::TARGET_INSTANCE, order.owner.id.as_str())
        .body(Full::new(Bytes::clone(&body)))
        .map_err(|error| Error::NotSent(error.to_string()))?;
    let response = connection.send_request(request, timeout).await?;
    // The real reply may still follow an answer to a request, so that connection is closed.
    let Some(reply) = grants::decode_reply(response.status, &response.headers) else {
        return Ok(Reply::Unknown);
    };
    if let Some(upstream) = upstream {
        let now = state.clock.now();
        state.return_connection(now, upstream, connection, &response.headers);
    }
    Ok(reply)
}
