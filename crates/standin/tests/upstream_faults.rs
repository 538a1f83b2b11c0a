//! The upstream's faults.

mod support;
#[path = "support/upstream.rs"]
mod upstreams;

use std::time::{Duration, Instant};

use medlarreel_standin::client::{ClientRequest, Connection};
use medlarreel_standin::error::Error;
use medlarreel_standin::upstream::{Config, Phase, start};
use serde_json::json;
use support::{LONG, SHORT, eventually, expect_silence, faults, fetch, send, send_and_leave};
use tokio::time::timeout;
use upstreams::*;

/// Freezes or releases an upstream.
async fn freeze(to: std::net::SocketAddr, frozen: bool) {
    faults(to, json!({ "freeze": frozen })).await;
    let state = fetch(to, ClientRequest::get("/admin/state")).await;
    assert_eq!(state["faults"]["freeze"], frozen);
}

/// Guards against a frozen upstream that answers anything but its tests.
#[tokio::test]
async fn a_frozen_upstream_answers_neither_requests_nor_grants() {
    let server = upstream(Config::default()).await;
    let address = server.address();

    freeze(address, true).await;

    expect_silence(address, ClientRequest::get("/x")).await;
    expect_silence(address, ClientRequest::get("/medlar/grant")).await;
    expect_silence(address, ClientRequest::get("/medlar/load")).await;
    freeze(address, false).await;
    assert_eq!(send(address, ClientRequest::get("/x")).await.status, 200);
}

/// Guards against a lease that does not run out during a freeze.
#[tokio::test]
async fn a_request_held_up_by_a_freeze_is_checked_against_the_lease_after_it() {
    let server = upstream(Config::default()).await;
    let address = server.address();
    let length = Duration::from_millis(300);
    let request = grant_request(address, epoch(1), length).await;
    grant(address, &request).await;
    freeze(address, true).await;
    let held_up = tokio::spawn(async move { send(address, keyed(epoch(1))).await });

    tokio::time::sleep(length).await;
    freeze(address, false).await;

    let answer = held_up.await.expect("the request does not panic");
    assert_eq!(verdict(&answer), not_run("108"));
}

/// Guards against an unchecked upstream that forgets what it received while frozen.
#[tokio::test]
async fn an_unchecked_upstream_runs_late_what_it_received_while_frozen() {
    let server = unchecked(Config::default()).await;
    let address = server.address();
    freeze(address, true).await;

    // The caller has given up before the release; the run starts nevertheless.
    send_and_leave(address, "/x").await;
    tokio::time::sleep(SHORT).await;
    assert_eq!(server.service().runs(0).total, 0);
    freeze(address, false).await;

    eventually(|| server.service().runs(0).total == 1).await;
}

/// Guards against work that goes on in a frozen process.
#[tokio::test]
async fn work_does_not_finish_during_a_freeze() {
    let work_time = Duration::from_millis(100);
    let server = unchecked(Config {
        work_time,
        ..Config::default()
    })
    .await;
    let task = running(&server, ClientRequest::get("/x")).await;

    freeze(server.address(), true).await;
    // On a very slow machine the work may have ended before the freeze.
    let before = phases(&server);
    tokio::time::sleep(work_time + SHORT).await;
    assert_eq!(phases(&server), before);

    freeze(server.address(), false).await;
    assert_eq!(task.await.expect("the request does not panic").status, 200);
}

/// Guards against silence that reaches new connections, or ends.
#[tokio::test]
async fn silence_affects_the_connections_open_now_for_good() {
    let server = unchecked(Config {
        max_connections: 1,
        ..Config::default()
    })
    .await;
    let address = server.address();
    let mut old = Connection::open(address).await.expect("it listens");
    old.send(ClientRequest::get("/x"))
        .await
        .expect("the connection works");

    faults(address, json!({"silence": true})).await;

    assert!(
        timeout(SHORT, old.send(ClientRequest::get("/x")))
            .await
            .is_err()
    );
    // The silent connection's place becomes free as soon as its task has seen it.
    eventually(|| server.service().summary().connections == 0).await;
    let mut new = Connection::open(address).await.expect("it listens");
    new.send(ClientRequest::get("/x"))
        .await
        .expect("a new connection works");
}

/// Guards against silence that loses the run along with its answer.
#[tokio::test]
async fn a_run_on_a_silent_connection_ends_without_an_answer() {
    // Long enough that the silence begins during the run on a busy machine too.
    let work_time = Duration::from_secs(3);
    let server = unchecked(Config {
        work_time,
        ..Config::default()
    })
    .await;
    let mut task = running(&server, ClientRequest::get("/x")).await;

    faults(server.address(), json!({"silence": true})).await;

    eventually(|| phases(&server) == [Phase::Done]).await;
    assert!(timeout(SHORT, &mut task).await.is_err());
    task.abort();
}

/// Guards against a late answer that keeps its slot, or comes early.
#[tokio::test]
async fn late_answers_arrive_after_the_run_has_ended() {
    let server = unchecked(Config::default()).await;
    faults(server.address(), json!({"late_ms": 300})).await;
    let begin = Instant::now();

    let task = running(&server, ClientRequest::get("/x")).await;
    eventually(|| phases(&server) == [Phase::Done]).await;

    assert_eq!(server.service().summary().in_flight, 0);
    assert_eq!(task.await.expect("the request does not panic").status, 200);
    assert!(begin.elapsed() >= Duration::from_millis(300));
}

/// Guards against a lost answer that undoes the run, or the next answer.
#[tokio::test]
async fn a_lost_answer_leaves_its_run_done() {
    let server = unchecked(Config::default()).await;
    faults(server.address(), json!({"lose_answers": 1})).await;

    let lost = ClientRequest::post("/x", "order")
        .send(server.address(), LONG)
        .await;

    assert!(matches!(lost, Err(Error::Connection(_))), "{lost:?}");
    assert_eq!(phases(&server), [Phase::Done]);
    assert_eq!(
        send(server.address(), ClientRequest::get("/x"))
            .await
            .status,
        200
    );
}

/// Guards against a false load report that also changes the answers to grants.
#[tokio::test]
async fn a_misleading_load_report_can_be_set_and_withdrawn() {
    let server = upstream(Config::default()).await;
    let address = server.address();
    let lie = json!({"in_flight": 0, "slots": 99});

    faults(address, json!({ "load": lie })).await;
    assert_eq!(
        fetch(address, ClientRequest::get("/medlar/load")).await,
        lie
    );
    assert_eq!(query(address).await.slots, 6);

    faults(address, json!({"late_ms": 0})).await;
    assert_eq!(
        fetch(address, ClientRequest::get("/medlar/load")).await,
        lie
    );

    faults(address, json!({"load": null})).await;
    let truth = json!({"in_flight": 0, "slots": 6});
    assert_eq!(
        fetch(address, ClientRequest::get("/medlar/load")).await,
        truth
    );
}

/// Guards against shedding that still starts the request.
#[tokio::test]
async fn a_shedding_upstream_runs_nothing() {
    let server = unchecked(Config::default()).await;
    faults(server.address(), json!({"shed": true})).await;

    let answer = send(server.address(), ClientRequest::get("/x")).await;

    assert_eq!(verdict(&answer), not_run("109"));
    assert_eq!(server.service().runs(0).total, 0);
}

/// Guards against a cold start that slows nothing down, or never ends.
#[tokio::test]
async fn requests_are_slower_during_a_cold_start() {
    let (work_time, cold_start, cold_factor) = (Duration::from_millis(10), ENDLESS, 60_000);
    let server = unchecked(Config {
        work_time,
        cold_start,
        cold_factor,
        ..Config::default()
    })
    .await;

    expect_silence(server.address(), ClientRequest::get("/x")).await;

    faults(server.address(), json!({"cold_ms": 0})).await;
    assert_eq!(
        send(server.address(), ClientRequest::get("/x"))
            .await
            .status,
        200
    );
}

/// Guards against a restart that keeps grants, or the identity of the old process.
#[tokio::test]
async fn a_restarted_upstream_has_a_new_incarnation_and_holds_nothing() {
    let server = upstream(Config::default()).await;
    let address = server.address();
    hold(address, epoch(1)).await;
    let before = query(address).await;

    server.stop().await;
    assert!(ClientRequest::get("/x").send(address, LONG).await.is_err());
    let _server = start(address, Config::default())
        .await
        .expect("the port is free again");

    let after = query(address).await;
    assert_ne!(after.incarnation, before.incarnation);
    assert_eq!((after.version, after.shards), (None, vec![]));
}
