//! Connections that go silent while new connections work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use medlarreel::dispatch::{ExchangeError, Pool, silence::SilenceDetector};
use medlarreel_core::preset::Fencing;
use medlarreel_standin::server::{Server, any_port};
use medlarreel_standin::upstream::{Config, FaultChange, Upstream, start};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::fixture::*;

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn upstream(fencing: Fencing, work_time: Duration) -> Server<Upstream> {
    let config = Config {
        fencing,
        work_time,
        ..Config::default()
    };
    start(any_port(), config).await.expect("starts")
}

/// Header with a deadline of 30 s, which leaves a margin for a busy machine.
const LONG_DEADLINE: (&str, &str) = ("medlar-deadline-ms", "30000");

async fn assert_served_after_silence(fencing: Fencing) {
    let upstream = upstream(fencing, Duration::ZERO).await;
    let address = upstream.address();
    let app = instance(&[local_upstream("workshop", address)], address);
    let first = call(&app, Method::GET, "/workshop/x", &[]).await;
    assert_eq!(first.status, StatusCode::OK);
    upstream.service().change_faults(FaultChange {
        silence: true,
        ..FaultChange::default()
    });

    let response = call(&app, Method::GET, "/workshop/x", &[LONG_DEADLINE]).await;

    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert_eq!(upstream.service().runs(0).total, 2);
    let failed = app
        .snapshot()
        .lanes
        .values()
        .any(|lane| lane.pool().recently_failed());
    assert!(!failed, "the upstream does not count as failed");
}

/// Guards against idempotent requests waiting until their deadline on a silent connection
/// while a new connection would work.
#[tokio::test]
async fn a_get_on_a_silent_connection_is_served_on_a_new_one() {
    assert_served_after_silence(Fencing::Checked).await;
}

/// Guards against silent connections going undetected if the upstream responds to grant
/// queries with 404.
#[tokio::test]
async fn upstreams_without_grants_are_queried_for_their_load() {
    assert_served_after_silence(Fencing::Unchecked).await;
}

/// Guards against running a non-idempotent request again, or reporting it as not run,
/// when its connection goes silent.
#[tokio::test]
async fn a_post_on_a_silent_connection_has_an_unknown_outcome() {
    let upstream = upstream(Fencing::Checked, Duration::ZERO).await;
    let address = upstream.address();
    let app = instance(&[local_upstream("workshop", address)], address);
    call(&app, Method::GET, "/workshop/x", &[]).await;
    upstream.service().change_faults(FaultChange {
        silence: true,
        ..FaultChange::default()
    });

    let response = call(&app, Method::POST, "/workshop/x", &[LONG_DEADLINE]).await;

    assert_eq!(code_and_outcome(&response), ("300", "unknown"));
    assert_eq!(upstream.service().runs(0).total, 1);
}

/// Guards against aborting exchanges of a slow upstream that reports them correctly.
#[tokio::test]
async fn slow_requests_are_not_aborted() {
    let upstream = upstream(Fencing::Checked, Duration::from_millis(1_500)).await;
    let address = upstream.address();
    let app = instance(&[local_upstream("workshop", address)], address);

    let calls = (0..3).map(|_| {
        let app = app.clone();
        tokio::spawn(async move { call(&app, Method::GET, "/workshop/x", &[LONG_DEADLINE]).await })
    });
    let calls: Vec<_> = calls.collect();

    for task in calls {
        let response = task.await.expect("ends");
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
    assert_eq!(upstream.service().runs(0).total, 3, "none was run again");
}

/// Starts a server that reports one request in flight, responds to `/slow` when notified
/// and never responds to `/lost`.
async fn start_server_with_one_in_flight(
    slow: Arc<Notify>,
    queries: Arc<AtomicUsize>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, slow.clone(), queries.clone()));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, slow: Arc<Notify>, queries: Arc<AtomicUsize>) {
    let Some(head) = read_head(&mut stream).await else {
        return;
    };
    if head.starts_with("GET /lost") {
        std::future::pending::<()>().await;
    }
    let text = if head.starts_with("GET /slow") {
        slow.notified().await;
        OK_RESPONSE
    } else {
        queries.fetch_add(1, Ordering::SeqCst);
        "HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n{\"in_flight\":1}"
    };
    stream.write_all(text.as_bytes()).await.ok();
}

/// Guards against aborting the oldest exchange, which the upstream has accounted for
/// before, instead of the one that is stuck.
#[tokio::test]
async fn an_exchange_never_reported_is_aborted_first() {
    let (slow, queries) = (Arc::new(Notify::new()), Arc::new(AtomicUsize::new(0)));
    let address = start_server_with_one_in_flight(slow.clone(), queries.clone()).await;
    let pool = Arc::new(Pool::new(address, 10));
    let detector = Arc::new(SilenceDetector::default());
    let send = |path: &'static str| {
        let (pool, detector) = (pool.clone(), detector.clone());
        tokio::spawn(async move {
            let request = http::Request::get(path).header("host", "test");
            let request = request.body(Default::default()).expect("is valid");
            detector
                .exchange(&pool, request, TEST_TIMEOUT, 1_024, &|| true, &|_| ())
                .await
        })
    };
    let older = send("/slow");
    // When the second query arrives, the first report has been processed.
    eventually(|| queries.load(Ordering::SeqCst) >= 2).await;

    let lost = send("/lost").await.expect("ends");
    slow.notify_one();
    let older = older.await.expect("ends");

    assert_eq!(lost.unwrap_err(), ExchangeError::Silent);
    assert!(older.is_ok(), "{older:?}");
    assert_eq!(detector.in_flight(), 0);
}

/// Guards against missing a silent connection because other requests start and finish,
/// and against aborting those requests instead.
#[tokio::test]
async fn a_silent_connection_is_detected_under_load() {
    // All slots except that of the silent exchange are busy at all times.
    let upstream = upstream(Fencing::Checked, Duration::from_millis(15)).await;
    let address = upstream.address();
    let app = instance(&[local_upstream("workshop", address)], address);
    call(&app, Method::GET, "/workshop/x", &[]).await;
    upstream.service().change_faults(FaultChange {
        silence: true,
        ..FaultChange::default()
    });

    let silent = tokio::spawn({
        let app = app.clone();
        async move { call(&app, Method::POST, "/workshop/x", &[LONG_DEADLINE]).await }
    });
    eventually(|| {
        app.snapshot()
            .lanes
            .values()
            .any(|lane| lane.in_flight() == 1)
    })
    .await;
    let mut traffic = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (app, ended) = (app.clone(), silent.abort_handle());
        traffic.spawn(async move {
            while !ended.is_finished() {
                let response = call(&app, Method::GET, "/workshop/x", &[LONG_DEADLINE]).await;
                assert_eq!(response.status, StatusCode::OK, "{response:?}");
            }
        });
    }

    let silent = silent.await.expect("ends");

    // Any other code, such as 301, would mean that it waited until its deadline.
    assert_eq!(code_and_outcome(&silent), ("300", "unknown"));
    while let Some(outcome) = traffic.join_next().await {
        outcome.expect("all other requests are served");
    }
}
