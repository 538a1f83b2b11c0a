//! The log's contract and its faults.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use medlarreel_standin::client::ClientRequest;
use medlarreel_standin::error::Error;
use medlarreel_standin::log::{Config, Log, Page, start};
use medlarreel_standin::server::{Server, any_port};
use serde_json::json;
use support::{LONG, expect_silence, faults, send, send_and_leave};

async fn log(retention: usize) -> Server<Log> {
    start(any_port(), Config { retention })
        .await
        .expect("the log starts")
}

fn append(data: &'static str) -> ClientRequest {
    ClientRequest::post("/streams/control", data)
}

async fn read(to: SocketAddr, query: &str) -> (u16, Page) {
    let answer = send(to, ClientRequest::get(&format!("/streams/control?{query}"))).await;
    (answer.status, answer.json().expect("the answer is a page"))
}

/// Guards against offsets with gaps and records that are changed on the way.
#[tokio::test]
async fn records_get_consecutive_offsets_and_are_read_from_any_of_them() {
    let log = log(10).await;
    for data in ["a", "b", "c"] {
        send(log.address(), append(data)).await;
    }

    let (status, page) = read(log.address(), "from=1&max=1").await;

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
    let log = log(10).await;
    let address = log.address();
    let waiting = tokio::spawn(async move { read(address, "from=0&wait_ms=60000").await });
    tokio::task::yield_now().await;

    send(address, append("a")).await;

    let (_, page) = waiting.await.expect("the read does not panic");
    assert_eq!(page.records.len(), 1);
}

/// Guards against a wait that outlasts `wait_ms`, which would look like a hang.
#[tokio::test]
async fn a_read_past_the_end_returns_empty_after_its_wait() {
    let log = log(10).await;

    let (status, page) = read(log.address(), "from=0&wait_ms=20").await;

    assert_eq!((status, page.next, page.records.len()), (200, 0, 0));
}

/// Guards against readers that silently skip records dropped by retention.
#[tokio::test]
async fn reads_below_the_retained_records_are_answered_410() {
    let log = log(2).await;
    for data in ["a", "b", "c"] {
        send(log.address(), append(data)).await;
    }

    let (status, page) = read(log.address(), "from=0").await;

    assert_eq!(
        (status, page.earliest, page.next, page.records.len()),
        (410, 1, 3, 0)
    );
}

/// Guards against a trim that moves offsets or touches the records above it.
#[tokio::test]
async fn trim_drops_records_and_keeps_offsets() {
    let log = log(10).await;
    for data in ["a", "b", "c"] {
        send(log.address(), append(data)).await;
    }

    faults(log.address(), json!({"trim": {"control": 2}})).await;

    assert_eq!(read(log.address(), "from=1").await.0, 410);
    let (_, page) = read(log.address(), "from=2").await;
    assert_eq!((page.earliest, page.records[0].offset), (2, 2));
}

/// Guards against appends that take effect in spite of a refusal, and against
/// waiting reads that do not see the outage.
#[tokio::test]
async fn an_unavailable_log_refuses_appends_and_waiting_reads() {
    let log = log(10).await;
    let address = log.address();
    let waiting = ClientRequest::get("/streams/control?from=0&wait_ms=60000");
    let waiting = tokio::spawn(async move { send(address, waiting).await });
    tokio::task::yield_now().await;

    faults(address, json!({"unavailable": "refuse"})).await;

    assert_eq!(waiting.await.expect("the read does not panic").status, 503);
    assert_eq!(send(address, append("a")).await.status, 503);
    faults(address, json!({"unavailable": "no"})).await;
    assert_eq!(read(address, "from=0").await.1.next, 0);
}

/// Guards against a hanging log that answers after all, or takes the append.
#[tokio::test]
async fn a_hanging_log_accepts_connections_and_never_answers() {
    let log = log(10).await;
    faults(log.address(), json!({"unavailable": "hang"})).await;

    expect_silence(log.address(), append("a")).await;

    faults(log.address(), json!({"unavailable": "no"})).await;
    assert_eq!(read(log.address(), "from=0").await.1.next, 0);
}

/// Guards against slowness that is set and not shown.
#[tokio::test]
async fn a_slow_log_delays_appends_and_reads() {
    let log = log(10).await;
    faults(
        log.address(),
        json!({"slow_append_ms": 60, "slow_read_ms": 40}),
    )
    .await;

    let begin = Instant::now();
    send(log.address(), append("a")).await;
    assert!(begin.elapsed() >= Duration::from_millis(60));

    let begin = Instant::now();
    read(log.address(), "from=0").await;
    assert!(begin.elapsed() >= Duration::from_millis(40));
}

/// Guards against a stand-in on which giving up takes an append back.
#[tokio::test]
async fn an_abandoned_slow_append_still_takes_effect() {
    let log = log(10).await;
    faults(log.address(), json!({"slow_append_ms": 20})).await;

    send_and_leave(log.address(), "/streams/control").await;

    let (_, page) = read(log.address(), "from=0&wait_ms=60000").await;
    assert_eq!(page.records.len(), 1);
}

/// Guards against a lost answer that also loses the append, or the next answer.
#[tokio::test]
async fn a_lost_answer_leaves_the_append_in_effect() {
    let log = log(10).await;
    faults(log.address(), json!({"lose_answers": 1})).await;

    let lost = append("a").send(log.address(), LONG).await;

    assert!(matches!(lost, Err(Error::Connection(_))), "{lost:?}");
    assert_eq!(send(log.address(), append("b")).await.status, 200);
    assert_eq!(read(log.address(), "from=0").await.1.next, 2);
}

/// Guards against a misspelled fault that is taken for no fault.
#[tokio::test]
async fn unknown_faults_are_refused() {
    let log = log(10).await;

    let answer = send(
        log.address(),
        ClientRequest::post("/admin/faults", r#"{"slow": 1}"#),
    )
    .await;

    assert_eq!(answer.status, 400);
}
