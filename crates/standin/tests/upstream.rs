//! The upstream's contract: grants, refusals, slots, cancellation, records.

mod support;
#[path = "support/upstream.rs"]
mod upstreams;

use std::time::Duration;

use medlarreel_standin::client::{ClientRequest, Connection};
use medlarreel_standin::upstream::{Config, Phase};
use serde_json::json;
use support::{LONG, eventually, faults, fetch, send};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use upstreams::*;

/// Guards against answers that cannot be matched with their request.
#[tokio::test]
async fn answers_echo_the_request() {
    let name = "u1".to_owned();
    let server = unchecked(Config {
        name,
        ..Config::default()
    })
    .await;
    let ask = ClientRequest::post("/intake/x", "body").with_header("medlar-request-id", "r1");

    let answer = send(server.address(), ask.with_header("medlar-shard", "7")).await;

    assert_eq!(answer.header("medlar-request-id"), Some("r1"));
    let echo: serde_json::Value = answer.json().expect("the answer is JSON");
    let expected = json!({"upstream": "u1", "service": "service", "request_id": "r1", "shard": 7,
                          "epoch": null, "run": 1, "body_bytes": 4, "deduplicated": false});
    assert_eq!(echo, expected);
}

/// Guards against a checked upstream that runs requests without the lease.
#[tokio::test]
async fn checked_upstreams_run_a_keyed_request_only_under_its_epoch() {
    let server = upstream(Config::default()).await;
    let address = server.address();
    assert_eq!(
        verdict(&send(address, keyed(epoch(1))).await),
        not_run("108")
    );

    hold(address, epoch(1)).await;

    assert_eq!(send(address, keyed(epoch(1))).await.status, 200);
    assert_eq!(
        verdict(&send(address, keyed(epoch(2))).await),
        not_run("108")
    );
    assert_eq!(server.service().runs(0).total, 1);
}

/// Guards against a lease that outlasts its deadline.
#[tokio::test]
async fn an_expired_grant_holds_nothing() {
    let server = upstream(Config::default()).await;
    let address = server.address();
    let request = grant_request(address, epoch(1), Duration::from_millis(300)).await;
    grant(address, &request).await;

    tokio::time::sleep(Duration::from_millis(300)).await;

    assert_eq!(
        verdict(&send(address, keyed(epoch(1))).await),
        not_run("108")
    );
    assert_eq!(query(address).await.shards, []);
}

/// Guards against grants from the past or for another run of the process.
#[tokio::test]
async fn stale_grants_are_refused_with_the_state_in_force() {
    let server = upstream(Config::default()).await;
    let address = server.address();
    let old = grant_request(address, epoch(1), ENDLESS).await;
    hold(address, epoch(2)).await;

    let answer = grant(address, &old).await;

    assert!(!answer.accepted);
    assert_eq!(answer.shards, [(SHARD, epoch(2))]);
    let mut foreign = grant_request(address, epoch(3), ENDLESS).await;
    foreign.incarnation ^= 1;
    assert!(!grant(address, &foreign).await.accepted);
}

/// Guards against a keyed service whose fencing is bypassed by leaving out the shard.
#[tokio::test]
async fn keyed_upstreams_refuse_requests_without_a_shard() {
    let server = upstream(Config {
        keyed: true,
        ..Config::default()
    })
    .await;

    let answer = send(server.address(), ClientRequest::get("/intake/x")).await;

    assert_eq!(verdict(&answer), not_run("108"));
}

/// Guards against an unchecked class that protects its callers after all.
#[tokio::test]
async fn unchecked_upstreams_know_no_grants_and_run_everything() {
    let server = unchecked(Config::default()).await;

    assert_eq!(
        send(server.address(), ClientRequest::get("/medlar/grant"))
            .await
            .status,
        404
    );
    assert_eq!(send(server.address(), keyed(epoch(1))).await.status, 200);
    assert_eq!(send(server.address(), keyed(epoch(2))).await.status, 200);
}

/// Guards against more runs at a time than slots, in either class.
#[tokio::test]
async fn requests_over_the_slots_are_shed() {
    let config = Config {
        slots: 1,
        work_time: ENDLESS,
        ..Config::default()
    };
    for server in [upstream(config.clone()).await, unchecked(config).await] {
        let busy = running(&server, ClientRequest::get("/x")).await;

        let answer = send(server.address(), ClientRequest::get("/x")).await;

        assert_eq!(verdict(&answer), not_run("109"));
        assert_eq!(phases(&server), [Phase::Running]);
        busy.abort();
    }
}

/// Guards against work that goes on for a caller that is gone.
#[tokio::test]
async fn closing_the_connection_cancels_the_run_and_frees_the_slot() {
    let server = unchecked(Config {
        slots: 1,
        work_time: ENDLESS,
        ..Config::default()
    })
    .await;
    let task = running(&server, ClientRequest::get("/x")).await;

    task.abort();

    eventually(|| phases(&server) == [Phase::Cancelled]).await;
    assert_eq!(server.service().summary().in_flight, 0);
}

/// Guards against requests that start after their caller has given up.
#[tokio::test]
async fn requests_past_their_deadline_are_refused() {
    let server = unchecked(Config::default()).await;

    let none_left = ClientRequest::get("/x").with_header("medlar-deadline-ms", "0");
    assert_eq!(
        verdict(&send(server.address(), none_left).await),
        not_run("107")
    );

    // The deadline passes between the head, whose arrival the upstream confirms
    // with 100, and the body.
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
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("an answer arrives");
    assert!(answer.contains("medlar-code: 107"), "{answer}");
    assert_eq!(server.service().runs(0).total, 0);
}

/// Guards against a draining upstream that interrupts or starts work.
#[tokio::test]
async fn draining_is_announced_first_and_then_refuses_new_requests() {
    let server = upstream(Config {
        work_time: ENDLESS,
        ..Config::default()
    })
    .await;
    let address = server.address();
    let busy = running(&server, ClientRequest::get("/x")).await;

    faults(address, json!({"drain": "announce"})).await;
    assert!(query(address).await.draining);
    let late = running(&server, ClientRequest::get("/x")).await;
    faults(address, json!({"drain": "refuse"})).await;
    assert_eq!(
        verdict(&send(address, ClientRequest::get("/x")).await),
        not_run("110")
    );

    let marks: Vec<_> = server
        .service()
        .runs(0)
        .runs
        .iter()
        .map(|run| run.draining)
        .collect();
    assert_eq!(marks, [false, true]);
    assert_eq!(phases(&server), [Phase::Running; 2]);
    busy.abort();
    late.abort();
}

/// Guards against a second run under one idempotency key.
#[tokio::test]
async fn deduplicating_upstreams_run_a_key_once() {
    let config = Config {
        deduplicates: true,
        ..Config::default()
    };
    let server = unchecked(config).await;
    let address = server.address();
    let order = |id: &str| {
        let ask = ClientRequest::post("/x", "order").with_header("idempotency-key", "k1");
        ask.with_header("medlar-request-id", id)
    };
    send(address, order("r1")).await;

    let answer = send(address, order("r2")).await;

    assert_eq!(answer.header("medlar-request-id"), Some("r2"));
    let echo: serde_json::Value = answer.json().expect("the answer is JSON");
    assert_eq!(
        (&echo["deduplicated"], &echo["request_id"]),
        (&json!(true), &json!("r1"))
    );
    assert_eq!(server.service().runs(0).total, 1);
}

/// Guards against an unresolved key that is run again or reported as not run.
#[tokio::test]
async fn keys_of_running_and_cancelled_requests_are_answered_unknown() {
    let server = unchecked(Config {
        deduplicates: true,
        work_time: ENDLESS,
        ..Config::default()
    })
    .await;
    let order = || ClientRequest::post("/x", "order").with_header("idempotency-key", "k1");
    let task = running(&server, order()).await;

    let answer = send(server.address(), order()).await;
    assert_eq!(verdict(&answer), (409, Some("303"), Some("unknown")));

    task.abort();
    eventually(|| phases(&server) == [Phase::Cancelled]).await;
    let answer = send(server.address(), order()).await;
    assert_eq!(verdict(&answer), (409, Some("304"), Some("unknown")));
}

/// Guards against a connection limit that is not kept, or locks out the tests.
#[tokio::test]
async fn connections_over_the_limit_are_closed() {
    let server = unchecked(Config {
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

    let second = ClientRequest::get("/x").send(address, LONG).await;

    assert!(second.is_err());
    let state = fetch(address, ClientRequest::get("/admin/state")).await;
    assert_eq!(
        (&state["connections"], &state["connections_refused"]),
        (&json!(1), &json!(1))
    );
    first
        .send(ClientRequest::get("/x"))
        .await
        .expect("the first connection still works");
}

/// Guards against records that lack what a checker compares, or grow for ever.
#[tokio::test]
async fn runs_are_recorded_within_bounds() {
    let server = unchecked(Config {
        max_recorded_runs: 2,
        ..Config::default()
    })
    .await;
    for number in ["1", "2", "3"] {
        let ask = keyed(epoch(4)).with_header("medlar-request-id", number);
        send(server.address(), ask.with_header("idempotency-key", "k1")).await;
    }

    let runs = fetch(server.address(), ClientRequest::get("/admin/runs?after=2")).await;

    assert_eq!((&runs["total"], &runs["forgotten"]), (&json!(3), &json!(1)));
    let [run] = &runs["runs"].as_array().expect("runs are a list")[..] else {
        panic!("one run is above 2: {runs}");
    };
    let expected = json!({"request_id": "3", "idempotency_key": "k1", "shard": SHARD,
                          "epoch": "1.2.4", "method": "GET", "path": "/intake/x", "phase": "done"});
    for (name, value) in expected.as_object().expect("the fixture is an object") {
        assert_eq!(&run[name], value, "{name}");
    }
    assert!(run["start_us"].as_u64() <= run["end_us"].as_u64());
    assert_eq!(server.service().runs(0).runs.len(), 2);
}
