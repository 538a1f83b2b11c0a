//! Sends orders to upstreams: grants and releases of keys.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, header};
use medlarreel_core::entry::ledger::{CALL_TIMEOUT, Order, OrderKind, Reply};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use crate::body::Payload;
use crate::connection::{Connection, Wanted};
use crate::error::Error;
use crate::platform::{grants, headers};
use crate::pool::Usage;
use crate::state::State;

/// Timeout of a release; the upstream waits for running requests before it answers.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a leader that may have been replaced looks for an idle connection.
const CONNECTION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of connections to an upstream that are kept for orders. Once this leader
/// may have been replaced it can't open others, and those for requests are in use.
const MAX_ORDER_CONNECTIONS: usize = 2;

/// Sends an order that the ledger has recorded as sent at `sent` to its upstream, and passes
/// the reply to the ledger.
pub(super) async fn execute_order(state: &Rc<State>, sent: Time, order: Order) {
    let reply = match send_order(state, sent, &order).await {
        Ok(reply) => reply,
        Err(Error::NotSent(_) | Error::NoListener | Error::NotAccepted) => Reply::NotSent,
        Err(Error::NoOldConnection) => Reply::Withheld,
        Err(_) => Reply::Unknown,
    };
    let outcome = match &reply {
        Reply::Done { .. } => "done",
        Reply::Fenced => "fenced",
        Reply::Misdirected => "misdirected",
        Reply::NotSent => "not_sent",
        Reply::Withheld => "withheld",
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
    record_sender(state, sent, &order, &reply);
    if let Some(ledger) = state.ledger.borrow_mut().as_mut() {
        ledger.handle_reply(now, sent, &order, &reply);
    }
}

/// Records what the reply to an order shows about which upstream listens at the address.
fn record_sender(state: &State, sent: Time, order: &Order, reply: &Reply) {
    let owner = &order.owner;
    let found = state.find_incarnation(&owner.id, owner.born);
    let found = found.filter(|upstream| {
        let directory = state.directory.borrow();
        let record = directory.get(*upstream);
        record.is_some_and(|record| record.registration.address == owner.address)
    });
    match (found, reply) {
        (Some(upstream), Reply::Done { .. }) => state.record_answer(upstream, sent),
        (Some(upstream), Reply::Misdirected) => state.record_displacement(upstream),
        _ => {}
    }
}

/// Returns a connection for an order that was due at `sent`. If this leader may have been
/// replaced, waits for one that is old enough and not in use.
async fn connect(
    state: &State,
    sent: Time,
    upstream: Option<Upstream>,
    address: SocketAddr,
) -> Result<Connection, Error> {
    loop {
        let now = state.clock.now();
        let min_age = state.leadership.borrow().min_connection_age(now, address);
        let usage = upstream.map(|upstream| Usage {
            upstream,
            idempotent: false,
            attempt: "",
            min_age,
            max_idle: usize::MAX,
        });
        if usage.is_none() && !min_age.is_zero() {
            return Err(Error::NoOldConnection);
        }
        let kept = usage.and_then(|usage| state.order_pool.take_idle(now, usage));
        if let Some(connection) = kept {
            return Ok(connection);
        }
        let connecting = state
            .pool
            .get_or_connect(now, usage, address, CALL_TIMEOUT / 2);
        match connecting.await {
            Err(Error::NoOldConnection) if now < sent + CALL_TIMEOUT / 2 => {
                tokio::time::sleep(CONNECTION_POLL_INTERVAL).await;
            }
            Ok(connection) => {
                let now = state.clock.now();
                let min_age = state.leadership.borrow().min_connection_age(now, address);
                // Connecting may have taken too long.
                return match min_age.is_zero() || connection.age() >= min_age {
                    true => Ok(connection),
                    false => Err(Error::NoOldConnection),
                };
            }
            Err(error) => return Err(error),
        }
    }
}

/// Opens another connection before an order is sent, so that the reply shows where it leads.
/// This leader can't replace the one that the order is sent on, which the upstream may close
/// after the reply. Returns `None` if there is another one or it is not needed.
async fn open_spare(
    state: &State,
    upstream: Option<Upstream>,
    address: SocketAddr,
) -> Option<Connection> {
    let is_certain = state.leadership.borrow().is_certain(state.clock.now());
    if is_certain || state.order_pool.idle_count(upstream?) > 0 {
        return None;
    }
    let connecting = Connection::connect(address, CALL_TIMEOUT / 2).await;
    connecting.ok()
}

/// Keeps a connection for further orders, or for requests if there are enough.
fn keep_connection(state: &State, upstream: Upstream, connection: Connection, headers: &HeaderMap) {
    let now = state.clock.now();
    if state.order_pool.idle_count(upstream) < MAX_ORDER_CONNECTIONS {
        let pool = &state.order_pool;
        pool.put_idle(now, upstream, connection, headers, MAX_ORDER_CONNECTIONS);
    } else {
        state.return_connection(now, upstream, connection, headers);
    }
}

async fn send_order(state: &State, sent: Time, order: &Order) -> Result<Reply, Error> {
    let (path, body) =
        grants::encode_order(order).map_err(|error| Error::NotSent(error.to_string()))?;
    let upstream = state.find_incarnation(&order.owner.id, order.owner.born);
    let address = order.owner.address;
    let mut connection = connect(state, sent, upstream, address).await?;
    let spare = open_spare(state, upstream, address).await;
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
        .body(Payload::from(Bytes::clone(&body)))
        .map_err(|error| Error::NotSent(error.to_string()))?;
    let response = connection
        .call(request, timeout, Wanted::Head, &state.memory)
        .await?;
    // The real reply may still follow an answer to something else, so that connection is closed.
    let reply = grants::decode_reply(&order.kind, response.status, &response.headers);
    let Some(reply) = reply else {
        return Ok(Reply::Unknown);
    };
    if reply == Reply::Misdirected && connection.has_refused() {
        // It may be a copy of a refusal of a request for a key that the upstream does not hold.
        return Ok(Reply::Unknown);
    }
    if let Some(upstream) = upstream {
        if let Some(mut spare) = spare {
            spare.take_place_of(&connection);
            keep_connection(state, upstream, spare, &HeaderMap::new());
        }
        // A copy of the reply to a release could be taken for that to another release.
        if order.kind != OrderKind::Release {
            keep_connection(state, upstream, connection, &response.headers);
        }
    }
    Ok(reply)
}
