//! Connections that go silent while new ones work.

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

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn upstream(fencing: Fencing, work_time: Duration) -> Server<Upstream> {
    let config = Config {
        fencing,
        work_time,
        ..Config::default()
    };
    start(any_port(), config).await.expect("starts")
}

/// Deadline in which everything happens on a busy machine.
const PATIENT: (&str, &str) = ("medlar-deadline-ms", "30000");

async fn served_after_silence(fencing: Fencing) {
    let upstream = upstream(fencing, Duration::ZERO).await;
    let address = upstream.address();
    let app = instance(&[place("workshop", address)], address);
    let first = call(&app, Method::GET, "/workshop/x", &[]).await;
    assert_eq!(first.status, StatusCode::OK);
    upstream.service().change_faults(FaultChange {
        silence: true,
        ..FaultChange::default()
    });

    let answer = call(&app, Method::GET, "/workshop/x", &[PATIENT]).await;

    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(upstream.service().runs(0).total, 2);
    let suspect = app
        .snapshot()
        .lanes
        .values()
        .any(|lane| lane.pool().recently_failed());
    assert!(!suspect, "the upstream is not blamed");
}

/// Guards against idempotent requests waiting for their deadline on a silent
/// connection while a new one would work.
#[tokio::test]
async fn a_read_on_a_silent_connection_is_served_on_a_fresh_one() {
    served_after_silence(Fencing::Checked).await;
}

/// As above, for upstreams that answer 404 to grant queries.
#[tokio::test]
async fn upstreams_without_grants_are_asked_for_their_load() {
    served_after_silence(Fencing::Unchecked).await;
}

/// Guards against running a non-idempotent request again, or calling it not
/// run, when its connection goes silent.
#[tokio::test]
async fn an_order_on_a_silent_connection_is_unknown() {
    let upstream = upstream(Fencing::Checked, Duration::ZERO).await;
    let address = upstream.address();
    let app = instance(&[place("workshop", address)], address);
    call(&app, Method::GET, "/workshop/x", &[]).await;
    upstream.service().change_faults(FaultChange {
        silence: true,
        ..FaultChange::default()
    });

    let answer = call(&app, Method::POST, "/workshop/x", &[PATIENT]).await;

    assert_eq!(verdict(&answer), ("300", "unknown"));
    assert_eq!(upstream.service().runs(0).total, 1);
}

/// Guards against giving up exchanges of an upstream that is slow but honest.
#[tokio::test]
async fn slow_work_is_not_given_up() {
    let upstream = upstream(Fencing::Checked, Duration::from_millis(1_500)).await;
    let address = upstream.address();
    let app = instance(&[place("workshop", address)], address);

    let calls = (0..3).map(|_| {
        let app = app.clone();
        tokio::spawn(async move { call(&app, Method::GET, "/workshop/x", &[PATIENT]).await })
    });
    let calls: Vec<_> = calls.collect();

    for one in calls {
        let answer = one.await.expect("ends");
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    assert_eq!(upstream.service().runs(0).total, 3, "none was run again");
}

/// Listener that reports one request in flight, answers `/slow` when notified
/// and `/lost` never.
async fn one_in_flight(slow: Arc<Notify>, asked: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, slow.clone(), asked.clone()));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, slow: Arc<Notify>, asked: Arc<AtomicUsize>) {
    let Some(head) = read_head(&mut stream).await else {
        return;
    };
    if head.starts_with("GET /lost") {
        std::future::pending::<()>().await;
    }
    let text = if head.starts_with("GET /slow") {
        slow.notified().await;
        OK
    } else {
        asked.fetch_add(1, Ordering::SeqCst);
        "HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n{\"in_flight\":1}"
    };
    stream.write_all(text.as_bytes()).await.ok();
}

/// Guards against giving up the oldest exchange, whose work the upstream has
/// reported before, in place of the one that is stuck.
#[tokio::test]
async fn an_exchange_that_was_seen_outlives_one_that_was_not() {
    let (slow, asked) = (Arc::new(Notify::new()), Arc::new(AtomicUsize::new(0)));
    let address = one_in_flight(slow.clone(), asked.clone()).await;
    let pool = Arc::new(Pool::new(address, 10));
    let silence = Arc::new(SilenceDetector::default());
    let send = |path: &'static str| {
        let (pool, silence) = (pool.clone(), silence.clone());
        tokio::spawn(async move {
            let request = http::Request::get(path).header("host", "test");
            let request = request.body(Default::default()).expect("is valid");
            silence
                .exchange(&pool, request, LONG, 1_024, &|| true, &|_| ())
                .await
        })
    };
    let older = send("/slow");
    // The first answer has been compared once the second question arrives.
    eventually(|| asked.load(Ordering::SeqCst) >= 2).await;

    let lost = send("/lost").await.expect("ends");
    slow.notify_one();
    let older = older.await.expect("ends");

    assert_eq!(lost.unwrap_err(), ExchangeError::Silent);
    assert!(older.is_ok(), "{older:?}");
    assert_eq!(silence.in_flight(), 0);
}

/// Guards against a silent exchange that goes unnoticed because other requests
/// come and go, and against those being given up for it.
#[tokio::test]
async fn a_silent_connection_is_found_under_traffic() {
    // All slots but the silent one are busy at any time.
    let upstream = upstream(Fencing::Checked, Duration::from_millis(15)).await;
    let address = upstream.address();
    let app = instance(&[place("workshop", address)], address);
    call(&app, Method::GET, "/workshop/x", &[]).await;
    upstream.service().change_faults(FaultChange {
        silence: true,
        ..FaultChange::default()
    });

    let silent = tokio::spawn({
        let app = app.clone();
        async move { call(&app, Method::POST, "/workshop/x", &[PATIENT]).await }
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
                let answer = call(&app, Method::GET, "/workshop/x", &[PATIENT]).await;
                assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
            }
        });
    }

    let silent = silent.await.expect("ends");

    // With any other code, such as 301, it has waited for its deadline.
    assert_eq!(verdict(&silent), ("300", "unknown"));
    while let Some(outcome) = traffic.join_next().await {
        outcome.expect("all others are answered");
    }
}
