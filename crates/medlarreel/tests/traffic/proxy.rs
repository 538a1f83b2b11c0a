//! Outcomes reported to callers, and the slots and permits of their requests.

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

const REFUSED_OTHER_REQUEST: &str = "HTTP/1.1 503 Service Unavailable\r\nmedlar-code: 109\r\n\
    medlar-outcome: not-run\r\nmedlar-request-id: 1\r\ncontent-length: 0\r\n\r\n";

/// Guards against reporting `not-run` because the last attempt was refused, although the
/// first attempt was lost and may have run.
#[tokio::test]
async fn a_request_that_may_have_run_once_is_never_reported_as_not_run() {
    let (address, requests) = scripted_server(&["", REFUSED]).await;
    let app = instance(
        &[
            local_upstream("workshop", address),
            local_upstream("workshop", address),
        ],
        address,
    );

    let response = call(&app, Method::GET, "/workshop/x", &[]).await;

    assert!(
        requests.load(Ordering::SeqCst) > 1,
        "the request is retried"
    );
    assert_eq!(code_and_outcome(&response), ("300", "unknown"));
}

/// Guards against a retry at the standby, which does not own the key, after an overloaded
/// owner has refused the request, and against reporting the refusal of the standby.
#[tokio::test]
async fn overload_of_the_owner_is_final() {
    let (owner, _) = scripted_server(&[REFUSED]).await;
    let (standby, standby_requests) = scripted_server(&[REFUSED]).await;
    let app = instance(
        &[
            local_upstream("intake", owner),
            local_upstream("intake", standby),
        ],
        owner,
    );

    let response = call(&app, Method::GET, "/intake/x", &[("medlar-key", "k")]).await;

    assert_eq!(code_and_outcome(&response), ("109", "not-run"));
    assert_eq!(
        standby_requests.load(Ordering::SeqCst),
        0,
        "the standby receives no request"
    );
}

/// Guards against taking a refusal of another request for the outcome of this one.
#[tokio::test]
async fn a_refusal_of_another_request_is_a_mismatch() {
    let (address, _) = scripted_server(&[REFUSED_OTHER_REQUEST]).await;
    let app = instance(&[local_upstream("workshop", address)], address);

    let response = call(&app, Method::POST, "/workshop/x", &[]).await;

    assert_eq!(code_and_outcome(&response), ("302", "unknown"));
}

/// Guards against reporting a successful response with refusal headers as not run.
#[tokio::test]
async fn a_successful_response_is_not_a_refusal() {
    let (address, _) = scripted_server(&[
        "HTTP/1.1 200 OK\r\nmedlar-code: 109\r\nmedlar-outcome: not-run\r\n\
        content-length: 2\r\n\r\nok",
    ])
    .await;
    let app = instance(&[local_upstream("workshop", address)], address);

    let response = call(&app, Method::POST, "/workshop/x", &[]).await;

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(code_and_outcome(&response), ("", ""));
}

/// Guards against passing on an error of the peer's listener, such as a rejected token,
/// as the response of the upstream.
#[tokio::test]
async fn an_error_of_the_peer_is_not_taken_for_the_upstreams_response() {
    let (peer, _) =
        scripted_server(&["HTTP/1.1 401 Unauthorized\r\ncontent-length: 5\r\n\r\ntoken"]).await;
    let remote = TestUpstream {
        dispatcher: OTHER,
        ..local_upstream("workshop", peer)
    };
    let app = instance(&[remote], peer);

    let response = call(&app, Method::POST, "/workshop/x", &[]).await;

    assert_eq!(code_and_outcome(&response), ("302", "unknown"));
}

/// Guards against sending an upstream a body that exceeds the limit in the preset.
#[tokio::test]
async fn a_body_beyond_the_services_limit_is_refused() {
    let (address, requests) = scripted_server(&[REFUSED]).await;
    let app = instance(&[local_upstream("workshop", address)], address);
    let body = Bytes::from(vec![0; 1024 * 1024 + 1]);

    let response = call_with_body(&app, Method::POST, "/workshop/x", &[], body).await;

    assert_eq!(code_and_outcome(&response), ("111", "not-run"));
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// Guards against sending under a lease that ended while the connection was being
/// opened.
#[tokio::test]
async fn the_permit_is_checked_after_connecting() {
    let (address, requests) = scripted_server(&[REFUSED]).await;
    let pool = Pool::new(address, 1);
    let request = http::Request::get("/x").header("host", "test");
    let request = request.body(Default::default()).expect("is valid");

    let outcome = pool
        .exchange_if(request, TEST_TIMEOUT, 1_024, &|| false)
        .await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::Revoked);
    eventually(|| pool.open_connections() == 0).await;
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// Guards against requests waiting until their deadline at a dispatcher that has lost its
/// permit, instead of being sent through the new dispatcher.
#[tokio::test]
async fn waiting_requests_are_refused_when_the_permit_ends() {
    let (address, _) = scripted_server(&[REFUSED]).await;
    let app = instance(&[local_upstream("workshop", address)], address);
    let lane = lane(app.clock, address);
    lane.update_permit(app.clock.now(), permit(app.clock, 1), limits(1));
    let deadline = app.clock.now() + TEST_TIMEOUT;
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

/// Guards against losing a slot to a request that was cancelled while it waited for one.
#[tokio::test]
async fn a_request_cancelled_while_waiting_takes_no_slot() {
    let (address, _) = scripted_server(&[REFUSED]).await;
    let app = instance(&[local_upstream("workshop", address)], address);
    let lane = lane(app.clock, address);
    lane.update_permit(app.clock.now(), permit(app.clock, 1), limits(1));
    let deadline = app.clock.now() + TEST_TIMEOUT;
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

/// Guards against cutting off forwarded requests in a shutdown that waits only for
/// requests from callers.
#[tokio::test]
async fn forwarded_requests_count_as_open() {
    let (address, _) = scripted_server(&[REFUSED]).await;
    let app = instance(&[local_upstream("workshop", address)], address);

    let open = app.open_forwarded_request();

    assert_eq!(app.open_requests(), 1);
    drop(open);
    assert_eq!(app.open_requests(), 0);
    assert_eq!(app.me, Instance(1));
}
