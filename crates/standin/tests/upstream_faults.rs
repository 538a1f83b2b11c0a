//! Tests of the upstream's faults.

mod support;
#[path = "support/upstream.rs"]
mod upstreams;

use std::time::{Duration, Instant};

use medlarreel_standin::client::{ClientRequest, Connection};
use medlarreel_standin::error::Error;
use medlarreel_standin::upstream::{Config, Phase, start};
use serde_json::json;
use support::{
    EVENT_TIMEOUT, QUIET_PERIOD, change_faults, eventually, expect_no_response, fetch_json, send,
    send_and_disconnect,
};
use tokio::time::timeout;
use upstreams::*;

/// Freezes or unfreezes an upstream, and checks that its state shows the change.
async fn set_frozen(address: std::net::SocketAddr, frozen: bool) {
    change_faults(address, json!({ "freeze": frozen })).await;
    let state = fetch_json(address, ClientRequest::get("/admin/state")).await;
    assert_eq!(state["faults"]["freeze"], frozen);
}

/// Guards against a frozen upstream that responds to any but administrative requests.
#[tokio::test]
async fn a_frozen_upstream_answers_neither_requests_nor_grants() {
    let server = start_upstream(Config::default()).await;
    let address = server.address();

    set_frozen(address, true).await;

    expect_no_response(address, ClientRequest::get("/x")).await;
    expect_no_response(address, ClientRequest::get("/medlar/grant")).await;
    expect_no_response(address, ClientRequest::get("/medlar/load")).await;
    set_frozen(address, false).await;
    assert_eq!(send(address, ClientRequest::get("/x")).await.status, 200);
}

/// Guards against a lease that is prolonged by a freeze.
#[tokio::test]
async fn a_request_delayed_by_a_freeze_is_refused_if_the_lease_has_expired_meanwhile() {
    let server = start_upstream(Config::default()).await;
    let address = server.address();
    let duration = Duration::from_millis(300);
    let request = grant_request(address, epoch(1), duration).await;
    send_grant(address, &request).await;
    set_frozen(address, true).await;
    let delayed = tokio::spawn(async move { send(address, keyed_request(epoch(1))).await });

    tokio::time::sleep(duration).await;
    set_frozen(address, false).await;

    let response = delayed.await.expect("the request does not panic");
    assert_eq!(response_summary(&response), not_run("108"));
}

/// Guards against an unchecked upstream that drops requests received while frozen.
#[tokio::test]
async fn an_unchecked_upstream_runs_requests_received_while_frozen_after_the_freeze() {
    let server = start_unchecked(Config::default()).await;
    let address = server.address();
    set_frozen(address, true).await;

    // The caller disconnects before the freeze ends; the run starts nevertheless.
    send_and_disconnect(address, "/x").await;
    tokio::time::sleep(QUIET_PERIOD).await;
    assert_eq!(server.service().runs(0).total, 0);
    set_frozen(address, false).await;

    eventually(|| server.service().runs(0).total == 1).await;
}

/// Guards against a run that finishes in a frozen process.
#[tokio::test]
async fn work_does_not_finish_during_a_freeze() {
    let work_time = Duration::from_millis(100);
    let server = start_unchecked(Config {
        work_time,
        ..Config::default()
    })
    .await;
    let task = start_run(&server, ClientRequest::get("/x")).await;

    set_frozen(server.address(), true).await;
    // On a very slow machine the run may have finished before the freeze.
    let before = run_phases(&server);
    tokio::time::sleep(work_time + QUIET_PERIOD).await;
    assert_eq!(run_phases(&server), before);

    set_frozen(server.address(), false).await;
    assert_eq!(task.await.expect("the request does not panic").status, 200);
}

/// Guards against silence that affects new connections, or that ends.
#[tokio::test]
async fn silence_is_permanent_and_affects_only_the_connections_open_now() {
    let server = start_unchecked(Config {
        max_connections: 1,
        ..Config::default()
    })
    .await;
    let address = server.address();
    let mut old = Connection::open(address).await.expect("it listens");
    old.send(ClientRequest::get("/x"))
        .await
        .expect("the connection works");

    change_faults(address, json!({"silence": true})).await;

    assert!(
        timeout(QUIET_PERIOD, old.send(ClientRequest::get("/x")))
            .await
            .is_err()
    );
    // The silent connection stops counting once its task has noticed the fault.
    eventually(|| server.service().summary().connections == 0).await;
    let mut new = Connection::open(address).await.expect("it listens");
    new.send(ClientRequest::get("/x"))
        .await
        .expect("a new connection works");
}

/// Guards against silence that cancels the run along with its response.
#[tokio::test]
async fn a_run_on_a_silent_connection_ends_without_an_answer() {
    // Long enough for the silence to begin during the run on a busy machine too.
    let work_time = Duration::from_secs(3);
    let server = start_unchecked(Config {
        work_time,
        ..Config::default()
    })
    .await;
    let mut task = start_run(&server, ClientRequest::get("/x")).await;

    change_faults(server.address(), json!({"silence": true})).await;

    eventually(|| run_phases(&server) == [Phase::Done]).await;
    assert!(timeout(QUIET_PERIOD, &mut task).await.is_err());
    task.abort();
}

/// Guards against a late response that occupies its slot, or that arrives early.
#[tokio::test]
async fn late_answers_arrive_after_the_run_has_ended() {
    let server = start_unchecked(Config::default()).await;
    change_faults(server.address(), json!({"late_ms": 300})).await;
    let started = Instant::now();

    let task = start_run(&server, ClientRequest::get("/x")).await;
    eventually(|| run_phases(&server) == [Phase::Done]).await;

    assert_eq!(server.service().summary().in_flight, 0);
    assert_eq!(task.await.expect("the request does not panic").status, 200);
    assert!(started.elapsed() >= Duration::from_millis(300));
}

/// Guards against a dropped response that also undoes the run or drops the next
/// response.
#[tokio::test]
async fn a_lost_answer_leaves_its_run_done() {
    let server = start_unchecked(Config::default()).await;
    change_faults(server.address(), json!({"lose_answers": 1})).await;

    let lost = ClientRequest::post("/x", "order")
        .send(server.address(), EVENT_TIMEOUT)
        .await;

    assert!(matches!(lost, Err(Error::Connection(_))), "{lost:?}");
    assert_eq!(run_phases(&server), [Phase::Done]);
    assert_eq!(
        send(server.address(), ClientRequest::get("/x"))
            .await
            .status,
        200
    );
}

/// Guards against a false load report that also changes the responses to grants.
#[tokio::test]
async fn a_misleading_load_report_can_be_set_and_withdrawn() {
    let server = start_upstream(Config::default()).await;
    let address = server.address();
    let false_report = json!({"in_flight": 0, "slots": 99});

    change_faults(address, json!({ "load": false_report })).await;
    assert_eq!(
        fetch_json(address, ClientRequest::get("/medlar/load")).await,
        false_report
    );
    assert_eq!(query_grants(address).await.slots, 6);

    change_faults(address, json!({"late_ms": 0})).await;
    assert_eq!(
        fetch_json(address, ClientRequest::get("/medlar/load")).await,
        false_report
    );

    change_faults(address, json!({"load": null})).await;
    let true_report = json!({"in_flight": 0, "slots": 6});
    assert_eq!(
        fetch_json(address, ClientRequest::get("/medlar/load")).await,
        true_report
    );
}

/// Guards against a shed request that still runs.
#[tokio::test]
async fn a_shedding_upstream_runs_nothing() {
    let server = start_unchecked(Config::default()).await;
    change_faults(server.address(), json!({"shed": true})).await;

    let response = send(server.address(), ClientRequest::get("/x")).await;

    assert_eq!(response_summary(&response), not_run("109"));
    assert_eq!(server.service().runs(0).total, 0);
}

/// Guards against a cold start without effect or without end.
#[tokio::test]
async fn requests_are_slower_during_a_cold_start() {
    let (work_time, cold_start, cold_factor) =
        (Duration::from_millis(10), MAX_TEST_DURATION, 60_000);
    let server = start_unchecked(Config {
        work_time,
        cold_start,
        cold_factor,
        ..Config::default()
    })
    .await;

    expect_no_response(server.address(), ClientRequest::get("/x")).await;

    change_faults(server.address(), json!({"cold_ms": 0})).await;
    assert_eq!(
        send(server.address(), ClientRequest::get("/x"))
            .await
            .status,
        200
    );
}

/// Guards against a restart that keeps the grants or the incarnation of the old
/// process.
#[tokio::test]
async fn a_restarted_upstream_has_a_new_incarnation_and_holds_nothing() {
    let server = start_upstream(Config::default()).await;
    let address = server.address();
    grant_shard(address, epoch(1)).await;
    let before = query_grants(address).await;

    server.stop().await;
    assert!(
        ClientRequest::get("/x")
            .send(address, EVENT_TIMEOUT)
            .await
            .is_err()
    );
    let _server = start(address, Config::default())
        .await
        .expect("the port is free again");

    let after = query_grants(address).await;
    assert_ne!(after.incarnation, before.incarnation);
    assert_eq!((after.version, after.shards), (None, vec![]));
}
