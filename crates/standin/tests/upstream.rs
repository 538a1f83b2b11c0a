//! Tests of the upstream: grants, refusals, slots, cancellation and recorded runs.

mod support;
#[path = "support/upstream.rs"]
mod upstreams;

use std::time::Duration;

use medlarreel_standin::client::{ClientRequest, Connection};
use medlarreel_standin::upstream::{Config, Phase};
use serde_json::json;
use support::{EVENT_TIMEOUT, change_faults, eventually, fetch_json, send};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use upstreams::*;

/// Guards against responses that cannot be matched with their request.
#[tokio::test]
async fn answers_echo_the_request() {
    let name = "u1".to_owned();
    let server = start_unchecked(Config {
        name,
        ..Config::default()
    })
    .await;
    let request = ClientRequest::post("/intake/x", "body").with_header("medlar-request-id", "r1");

    let response = send(server.address(), request.with_header("medlar-shard", "7")).await;

    assert_eq!(response.header("medlar-request-id"), Some("r1"));
    let echo: serde_json::Value = response.json().expect("the response is JSON");
    let expected = json!({"upstream": "u1", "service": "service", "request_id": "r1", "shard": 7,
                          "epoch": null, "run": 1, "body_bytes": 4, "deduplicated": false});
    assert_eq!(echo, expected);
}

/// Guards against a checked upstream that runs keyed requests without a lease, or under
/// another epoch than the lease's.
#[tokio::test]
async fn checked_upstreams_run_a_keyed_request_only_under_its_epoch() {
    let server = start_upstream(Config::default()).await;
    let address = server.address();
    assert_eq!(
        response_summary(&send(address, keyed_request(epoch(1))).await),
        not_run("108")
    );

    grant_shard(address, epoch(1)).await;

    assert_eq!(send(address, keyed_request(epoch(1))).await.status, 200);
    assert_eq!(
        response_summary(&send(address, keyed_request(epoch(2))).await),
        not_run("108")
    );
    assert_eq!(server.service().runs(0).total, 1);
}

/// Guards against a lease that remains valid after its deadline.
#[tokio::test]
async fn no_shard_is_held_after_its_grant_has_expired() {
    let server = start_upstream(Config::default()).await;
    let address = server.address();
    let request = grant_request(address, epoch(1), Duration::from_millis(300)).await;
    send_grant(address, &request).await;

    tokio::time::sleep(Duration::from_millis(300)).await;

    assert_eq!(
        response_summary(&send(address, keyed_request(epoch(1))).await),
        not_run("108")
    );
    assert_eq!(query_grants(address).await.shards, []);
}

/// Guards against accepting a grant that is outdated or meant for another incarnation.
#[tokio::test]
async fn stale_grants_are_refused_with_the_state_in_force() {
    let server = start_upstream(Config::default()).await;
    let address = server.address();
    let old = grant_request(address, epoch(1), MAX_TEST_DURATION).await;
    grant_shard(address, epoch(2)).await;

    let response = send_grant(address, &old).await;

    assert!(!response.accepted);
    assert_eq!(response.shards, [(SHARD, epoch(2))]);
    let mut foreign = grant_request(address, epoch(3), MAX_TEST_DURATION).await;
    foreign.incarnation ^= 1;
    assert!(!send_grant(address, &foreign).await.accepted);
}

/// Guards against requests that bypass a keyed service's fencing by omitting the shard.
#[tokio::test]
async fn keyed_upstreams_refuse_requests_without_a_shard() {
    let server = start_upstream(Config {
        keyed: true,
        ..Config::default()
    })
    .await;

    let response = send(server.address(), ClientRequest::get("/intake/x")).await;

    assert_eq!(response_summary(&response), not_run("108"));
}

/// Guards against an unchecked upstream that offers the grant endpoint, or that refuses
/// requests by epoch.
#[tokio::test]
async fn unchecked_upstreams_have_no_grant_endpoint_and_ignore_epochs() {
    let server = start_unchecked(Config::default()).await;

    assert_eq!(
        send(server.address(), ClientRequest::get("/medlar/grant"))
            .await
            .status,
        404
    );
    assert_eq!(
        send(server.address(), keyed_request(epoch(1))).await.status,
        200
    );
    assert_eq!(
        send(server.address(), keyed_request(epoch(2))).await.status,
        200
    );
}

/// Guards against more concurrent runs than slots, with and without fencing.
#[tokio::test]
async fn requests_over_the_slots_are_shed() {
    let config = Config {
        slots: 1,
        work_time: MAX_TEST_DURATION,
        ..Config::default()
    };
    for server in [
        start_upstream(config.clone()).await,
        start_unchecked(config).await,
    ] {
        let busy = start_run(&server, ClientRequest::get("/x")).await;

        let response = send(server.address(), ClientRequest::get("/x")).await;

        assert_eq!(response_summary(&response), not_run("109"));
        assert_eq!(run_phases(&server), [Phase::Running]);
        busy.abort();
    }
}

/// Guards against a run that continues although its caller has disconnected.
#[tokio::test]
async fn closing_the_connection_cancels_the_run_and_frees_the_slot() {
    let server = start_unchecked(Config {
        slots: 1,
        work_time: MAX_TEST_DURATION,
        ..Config::default()
    })
    .await;
    let task = start_run(&server, ClientRequest::get("/x")).await;

    task.abort();

    eventually(|| run_phases(&server) == [Phase::Cancelled]).await;
    assert_eq!(server.service().summary().in_flight, 0);
}

/// Guards against a run that starts after the caller's deadline.
#[tokio::test]
async fn requests_past_their_deadline_are_refused() {
    let server = start_unchecked(Config::default()).await;

    let none_left = ClientRequest::get("/x").with_header("medlar-deadline-ms", "0");
    assert_eq!(
        response_summary(&send(server.address(), none_left).await),
        not_run("107")
    );

    // The deadline passes after the upstream has received the head, which it confirms
    // with status 100, and before the body is sent.
    let mut stream = tokio::net::TcpStream::connect(server.address())
        .await
        .expect("it listens");
    let head = "POST /x HTTP/1.1\r\nhost: u\r\nconnection: close\r\nexpect: 100-continue\r\n\
                medlar-deadline-ms: 30\r\ncontent-length: 1\r\n\r\n";
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is sent");
    let mut confirmation = [0; 25];
    stream
        .read_exact(&mut confirmation)
        .await
        .expect("the head is confirmed");
    assert_eq!(&confirmation, b"HTTP/1.1 100 Continue\r\n\r\n");
    tokio::time::sleep(Duration::from_millis(30)).await;
    stream.write_all(b"x").await.expect("the body is sent");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("a response arrives");
    assert!(response.contains("medlar-code: 107"), "{response}");
    assert_eq!(server.service().runs(0).total, 0);
}

/// Guards against a draining upstream that cancels runs, or starts new ones once it
/// refuses requests.
#[tokio::test]
async fn draining_is_announced_first_and_then_refuses_new_requests() {
    let server = start_upstream(Config {
        work_time: MAX_TEST_DURATION,
        ..Config::default()
    })
    .await;
    let address = server.address();
    let busy = start_run(&server, ClientRequest::get("/x")).await;

    change_faults(address, json!({"drain": "announce"})).await;
    assert!(query_grants(address).await.draining);
    let late = start_run(&server, ClientRequest::get("/x")).await;
    change_faults(address, json!({"drain": "refuse"})).await;
    assert_eq!(
        response_summary(&send(address, ClientRequest::get("/x")).await),
        not_run("110")
    );

    let draining_flags: Vec<_> = server
        .service()
        .runs(0)
        .runs
        .iter()
        .map(|run| run.draining)
        .collect();
    assert_eq!(draining_flags, [false, true]);
    assert_eq!(run_phases(&server), [Phase::Running; 2]);
    busy.abort();
    late.abort();
}

/// Guards against a second run for the same idempotency key.
#[tokio::test]
async fn deduplicating_upstreams_run_a_key_once() {
    let config = Config {
        deduplicates: true,
        ..Config::default()
    };
    let server = start_unchecked(config).await;
    let address = server.address();
    let order = |id: &str| {
        let request = ClientRequest::post("/x", "order").with_header("idempotency-key", "k1");
        request.with_header("medlar-request-id", id)
    };
    send(address, order("r1")).await;

    let response = send(address, order("r2")).await;

    assert_eq!(response.header("medlar-request-id"), Some("r2"));
    let echo: serde_json::Value = response.json().expect("the response is JSON");
    assert_eq!(
        (&echo["deduplicated"], &echo["request_id"]),
        (&json!(true), &json!("r1"))
    );
    assert_eq!(server.service().runs(0).total, 1);
}

/// Guards against a key of unknown outcome that is run again or reported as not run.
#[tokio::test]
async fn keys_of_running_and_cancelled_requests_are_answered_unknown() {
    let server = start_unchecked(Config {
        deduplicates: true,
        work_time: MAX_TEST_DURATION,
        ..Config::default()
    })
    .await;
    let order = || ClientRequest::post("/x", "order").with_header("idempotency-key", "k1");
    let task = start_run(&server, order()).await;

    let response = send(server.address(), order()).await;
    assert_eq!(
        response_summary(&response),
        (409, Some("303"), Some("unknown"))
    );

    task.abort();
    eventually(|| run_phases(&server) == [Phase::Cancelled]).await;
    let response = send(server.address(), order()).await;
    assert_eq!(
        response_summary(&response),
        (409, Some("304"), Some("unknown"))
    );
}

/// Guards against a connection limit that is not enforced, or that also applies to
/// administrative requests.
#[tokio::test]
async fn connections_over_the_limit_are_closed() {
    let server = start_unchecked(Config {
        max_connections: 1,
        ..Config::default()
    })
    .await;
    let address = server.address();
    let mut first = Connection::open(address).await.expect("it listens");
    first
        .send(ClientRequest::get("/x"))
        .await
        .expect("the first connection works");

    let second = ClientRequest::get("/x").send(address, EVENT_TIMEOUT).await;

    assert!(second.is_err());
    let state = fetch_json(address, ClientRequest::get("/admin/state")).await;
    assert_eq!(
        (&state["connections"], &state["connections_refused"]),
        (&json!(1), &json!(1))
    );
    first
        .send(ClientRequest::get("/x"))
        .await
        .expect("the first connection still works");
}

/// Guards against run records that lack a field that checkers compare, and against
/// unbounded growth of the records.
#[tokio::test]
async fn runs_are_recorded_within_bounds() {
    let server = start_unchecked(Config {
        max_recorded_runs: 2,
        ..Config::default()
    })
    .await;
    for number in ["1", "2", "3"] {
        let request = keyed_request(epoch(4)).with_header("medlar-request-id", number);
        send(
            server.address(),
            request.with_header("idempotency-key", "k1"),
        )
        .await;
    }

    let runs = fetch_json(server.address(), ClientRequest::get("/admin/runs?after=2")).await;

    assert_eq!((&runs["total"], &runs["forgotten"]), (&json!(3), &json!(1)));
    let [run] = &runs["runs"].as_array().expect("runs are a list")[..] else {
        panic!("one run is above 2: {runs}");
    };
    let expected = json!({"request_id": "3", "idempotency_key": "k1", "shard": SHARD,
                          "epoch": "1.2.4", "method": "GET", "path": "/intake/x", "phase": "done"});
    for (name, value) in expected
        .as_object()
        .expect("the expected value is an object")
    {
        assert_eq!(&run[name], value, "{name}");
    }
    assert!(run["start_us"].as_u64() <= run["end_us"].as_u64());
    assert_eq!(server.service().runs(0).runs.len(), 2);
}
