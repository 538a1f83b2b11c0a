//! Tests of the log and its faults.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use medlarreel_standin::client::ClientRequest;
use medlarreel_standin::error::Error;
use medlarreel_standin::log::{Config, Log, Page, start};
use medlarreel_standin::server::{Server, any_port};
use serde_json::json;
use support::{EVENT_TIMEOUT, change_faults, expect_no_response, send, send_and_disconnect};

async fn start_log(retention: usize) -> Server<Log> {
    start(any_port(), Config { retention })
        .await
        .expect("the log starts")
}

fn append_request(data: &'static str) -> ClientRequest {
    ClientRequest::post("/streams/control", data)
}

async fn read_page(address: SocketAddr, query: &str) -> (u16, Page) {
    let response = send(
        address,
        ClientRequest::get(&format!("/streams/control?{query}")),
    )
    .await;
    (
        response.status,
        response.json().expect("the response is a page"),
    )
}

/// Guards against gaps between offsets and altered records.
#[tokio::test]
async fn records_get_consecutive_offsets_and_can_be_read_from_any_offset() {
    let log = start_log(10).await;
    for data in ["a", "b", "c"] {
        send(log.address(), append_request(data)).await;
    }

    let (status, page) = read_page(log.address(), "from=1&max=1").await;

    assert_eq!((status, page.earliest, page.next), (200, 0, 3));
    let records: Vec<_> = page
        .records
        .iter()
        .map(|record| (record.offset, &*record.data))
        .collect();
    assert_eq!(records, [(1, "Yg==")]);
}

/// Guards against readers that miss a record appended while they wait.
#[tokio::test]
async fn a_waiting_read_returns_when_its_record_is_appended() {
    let log = start_log(10).await;
    let address = log.address();
    let waiting = tokio::spawn(async move { read_page(address, "from=0&wait_ms=60000").await });
    tokio::task::yield_now().await;

    send(address, append_request("a")).await;

    let (_, page) = waiting.await.expect("the read does not panic");
    assert_eq!(page.records.len(), 1);
}

/// Guards against a waiting read that never returns if no record is appended.
#[tokio::test]
async fn a_read_past_the_end_returns_empty_after_its_wait() {
    let log = start_log(10).await;

    let (status, page) = read_page(log.address(), "from=0&wait_ms=20").await;

    assert_eq!((status, page.next, page.records.len()), (200, 0, 0));
}

/// Guards against readers that silently skip records dropped by retention.
#[tokio::test]
async fn reads_below_the_retained_records_are_answered_410() {
    let log = start_log(2).await;
    for data in ["a", "b", "c"] {
        send(log.address(), append_request(data)).await;
    }

    let (status, page) = read_page(log.address(), "from=0").await;

    assert_eq!(
        (status, page.earliest, page.next, page.records.len()),
        (410, 1, 3, 0)
    );
}

/// Guards against a trim that shifts offsets or drops records from its offset on.
#[tokio::test]
async fn trim_drops_records_and_keeps_offsets() {
    let log = start_log(10).await;
    for data in ["a", "b", "c"] {
        send(log.address(), append_request(data)).await;
    }

    change_faults(log.address(), json!({"trim": {"control": 2}})).await;

    assert_eq!(read_page(log.address(), "from=1").await.0, 410);
    let (_, page) = read_page(log.address(), "from=2").await;
    assert_eq!((page.earliest, page.records[0].offset), (2, 2));
}

/// Guards against refused appends that take effect, and against waiting reads that do
/// not notice the outage.
#[tokio::test]
async fn an_unavailable_log_refuses_appends_and_waiting_reads() {
    let log = start_log(10).await;
    let address = log.address();
    let waiting = ClientRequest::get("/streams/control?from=0&wait_ms=60000");
    let waiting = tokio::spawn(async move { send(address, waiting).await });
    tokio::task::yield_now().await;

    change_faults(address, json!({"unavailable": "refuse"})).await;

    assert_eq!(waiting.await.expect("the read does not panic").status, 503);
    assert_eq!(send(address, append_request("a")).await.status, 503);
    change_faults(address, json!({"unavailable": "no"})).await;
    assert_eq!(read_page(address, "from=0").await.1.next, 0);
}

/// Guards against a hanging log that responds, or that stores the append.
#[tokio::test]
async fn a_hanging_log_accepts_connections_and_never_answers() {
    let log = start_log(10).await;
    change_faults(log.address(), json!({"unavailable": "hang"})).await;

    expect_no_response(log.address(), append_request("a")).await;

    change_faults(log.address(), json!({"unavailable": "no"})).await;
    assert_eq!(read_page(log.address(), "from=0").await.1.next, 0);
}

/// Guards against delay faults that have no effect.
#[tokio::test]
async fn a_slow_log_delays_appends_and_reads() {
    let log = start_log(10).await;
    change_faults(
        log.address(),
        json!({"slow_append_ms": 60, "slow_read_ms": 40}),
    )
    .await;

    let started = Instant::now();
    send(log.address(), append_request("a")).await;
    assert!(started.elapsed() >= Duration::from_millis(60));

    let started = Instant::now();
    read_page(log.address(), "from=0").await;
    assert!(started.elapsed() >= Duration::from_millis(40));
}

/// Guards against an append that is undone because its sender has disconnected.
#[tokio::test]
async fn an_abandoned_slow_append_still_takes_effect() {
    let log = start_log(10).await;
    change_faults(log.address(), json!({"slow_append_ms": 20})).await;

    send_and_disconnect(log.address(), "/streams/control").await;

    let (_, page) = read_page(log.address(), "from=0&wait_ms=60000").await;
    assert_eq!(page.records.len(), 1);
}

/// Guards against a dropped response that also undoes the append or drops the next
/// response.
#[tokio::test]
async fn a_lost_answer_leaves_the_append_in_effect() {
    let log = start_log(10).await;
    change_faults(log.address(), json!({"lose_answers": 1})).await;

    let lost = append_request("a").send(log.address(), EVENT_TIMEOUT).await;

    assert!(matches!(lost, Err(Error::Connection(_))), "{lost:?}");
    assert_eq!(send(log.address(), append_request("b")).await.status, 200);
    assert_eq!(read_page(log.address(), "from=0").await.1.next, 2);
}

/// Guards against a misspelled fault that is silently ignored.
#[tokio::test]
async fn unknown_faults_are_refused() {
    let log = start_log(10).await;

    let response = send(
        log.address(),
        ClientRequest::post("/admin/faults", r#"{"slow": 1}"#),
    )
    .await;

    assert_eq!(response.status, 400);
}
