//! Outcomes that callers are told.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::{Method, StatusCode};
use medlarreel::dispatch::{ExchangeError, Pool};
use medlarreel_core::code::Code;
use medlarreel_core::ids::{Club, Instance};
use medlarreel_core::preset::Rank;

use crate::fixture::*;

const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nmedlar-code: 109\r\n\
    medlar-outcome: not-run\r\ncontent-length: 0\r\n\r\n";

const REFUSED_ANOTHER: &str = "HTTP/1.1 503 Service Unavailable\r\nmedlar-code: 109\r\n\
    medlar-outcome: not-run\r\nmedlar-request-id: 1\r\ncontent-length: 0\r\n\r\n";

/// Guards against `not-run` for a request whose first attempt was lost and may
/// have run, because the last attempt was refused.
#[tokio::test]
async fn a_request_that_may_have_run_once_is_never_reported_as_not_run() {
    let (address, requests) = speaker(&["", REFUSED]).await;
    let app = instance(
        &[place("workshop", address), place("workshop", address)],
        address,
    );

    let answer = call(&app, Method::GET, "/workshop/x", &[]).await;

    assert!(requests.load(Ordering::SeqCst) > 1, "it is tried again");
    assert_eq!(verdict(&answer), ("300", "unknown"));
}

/// Guards against requests that the owner is too busy for being sent to the
/// standby, which does not own the key, and reported with its refusal.
#[tokio::test]
async fn overload_of_the_owner_is_final() {
    let (owner, _) = speaker(&[REFUSED]).await;
    let (standby, asked) = speaker(&[REFUSED]).await;
    let app = instance(&[place("intake", owner), place("intake", standby)], owner);

    let answer = call(&app, Method::GET, "/intake/x", &[("medlar-key", "k")]).await;

    assert_eq!(verdict(&answer), ("109", "not-run"));
    assert_eq!(asked.load(Ordering::SeqCst), 0, "the standby is not asked");
}

/// Guards against a refusal that belongs to another request being taken for
/// the outcome of this one.
#[tokio::test]
async fn a_refusal_of_another_request_proves_nothing() {
    let (address, _) = speaker(&[REFUSED_ANOTHER]).await;
    let app = instance(&[place("workshop", address)], address);

    let answer = call(&app, Method::POST, "/workshop/x", &[]).await;

    assert_eq!(verdict(&answer), ("302", "unknown"));
}

/// Guards against a successful answer that carries refusal headers being
/// reported as not run.
#[tokio::test]
async fn a_successful_answer_is_no_refusal() {
    let (address, _) = speaker(&[
        "HTTP/1.1 200 OK\r\nmedlar-code: 109\r\nmedlar-outcome: not-run\r\n\
        content-length: 2\r\n\r\nok",
    ])
    .await;
    let app = instance(&[place("workshop", address)], address);

    let answer = call(&app, Method::POST, "/workshop/x", &[]).await;

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(verdict(&answer), ("", ""));
}

/// Guards against an error of the peer's listener, such as a refused token,
/// reaching the caller as the upstream's answer.
#[tokio::test]
async fn an_answer_of_the_peer_itself_is_not_the_upstreams() {
    let (peer, _) = speaker(&["HTTP/1.1 401 Unauthorized\r\ncontent-length: 5\r\n\r\ntoken"]).await;
    let remote = Place {
        dispatcher: OTHER,
        ..place("workshop", peer)
    };
    let app = instance(&[remote], peer);

    let answer = call(&app, Method::POST, "/workshop/x", &[]).await;

    assert_eq!(verdict(&answer), ("302", "unknown"));
}

/// Guards against a body beyond the preset's limit reaching an upstream.
#[tokio::test]
async fn a_body_beyond_the_services_limit_is_refused() {
    let (address, requests) = speaker(&[REFUSED]).await;
    let app = instance(&[place("workshop", address)], address);
    let body = Bytes::from(vec![0; 1024 * 1024 + 1]);

    let answer = call_with(&app, Method::POST, "/workshop/x", &[], body).await;

    assert_eq!(verdict(&answer), ("111", "not-run"));
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// Guards against sending under a lease that ended while the connection was
/// being opened.
#[tokio::test]
async fn the_right_to_send_is_checked_on_the_open_connection() {
    let (address, requests) = speaker(&[REFUSED]).await;
    let pool = Pool::new(address, 1);
    let request = http::Request::get("/x").header("host", "test");
    let request = request.body(Default::default()).expect("is valid");

    let outcome = pool.exchange_if(request, LONG, 1_024, &|| false).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::Revoked);
    eventually(|| pool.open_connections() == 0).await;
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// Guards against requests that wait at a dispatcher without a permit until
/// their deadline, instead of going to the new dispatcher.
#[tokio::test]
async fn waiting_requests_are_refused_when_the_permit_ends() {
    let (address, _) = speaker(&[REFUSED]).await;
    let app = instance(&[place("workshop", address)], address);
    let lane = lane(app.clock, address);
    lane.update_permit(app.clock.now(), permit(app.clock, 1), limits(1));
    let deadline = app.clock.now() + LONG;
    let slot = |rank| lane.acquire_slot(app.clock, rank, Club(0), deadline);
    let held = slot(Rank::Status).await.expect("a slot is free");
    let waiting = tokio::spawn({
        let (lane, clock) = (lane.clone(), app.clock);
        async move {
            let slot = lane
                .acquire_slot(clock, Rank::Status, Club(0), deadline)
                .await;
            slot.map(drop)
        }
    });
    eventually(|| lane.overview(app.clock.now()).waiting == 1).await;

    lane.retire();

    assert_eq!(waiting.await.expect("ends"), Err(Code::NotDispatcher));
    drop(held);
    assert_eq!(lane.overview(app.clock.now()).busy, 0);
}

/// Guards against a slot that is lost when its caller leaves.
#[tokio::test]
async fn a_caller_that_leaves_gives_its_slot_back() {
    let (address, _) = speaker(&[REFUSED]).await;
    let app = instance(&[place("workshop", address)], address);
    let lane = lane(app.clock, address);
    lane.update_permit(app.clock.now(), permit(app.clock, 1), limits(1));
    let deadline = app.clock.now() + LONG;
    let held = lane
        .acquire_slot(app.clock, Rank::Status, Club(0), deadline)
        .await;
    let waiting = tokio::spawn({
        let (lane, clock) = (lane.clone(), app.clock);
        async move {
            let slot = lane
                .acquire_slot(clock, Rank::Status, Club(0), deadline)
                .await;
            slot.map(drop)
        }
    });
    eventually(|| lane.overview(app.clock.now()).waiting == 1).await;

    waiting.abort();

    eventually(|| lane.overview(app.clock.now()).waiting == 0).await;
    drop(held);
    let slot = lane
        .acquire_slot(app.clock, Rank::Status, Club(0), deadline)
        .await;
    assert!(slot.is_ok());
}

/// Guards against forwarded requests being cut off by a shutdown that counts
/// only the callers' requests.
#[tokio::test]
async fn forwarded_requests_count_as_open() {
    let (address, _) = speaker(&[REFUSED]).await;
    let app = instance(&[place("workshop", address)], address);

    let open = app.open_forwarded();

    assert_eq!(app.open_requests(), 1);
    drop(open);
    assert_eq!(app.open_requests(), 0);
    assert_eq!(app.me, Instance(1));
}
