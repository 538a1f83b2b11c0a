//! Requests under faults: lost and wrong responses, callers that disconnect, shutdown, and
//! loss of the leader.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use medlarreel_core::entry::era::Era;
use medlarreel_standin::platform::upstream::ResponseMode;
use medlarreel_standin::server::any_port;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::fixture::{
    read_response, request_text, send_request, start_cluster, start_instance, wait_until,
};

/// Guards against a non-idempotent request whose response was lost being run again or being
/// reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_with_a_lost_response_runs_once() {
    let cluster = start_cluster().await;

    cluster.set_mode(ResponseMode::DropResponse);
    let response = cluster.post("/booking/x", "one", "bag").await;

    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(cluster.run_count("one"), 1);
}

/// Guards against failing an idempotent request after a single lost response.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_with_a_lost_response_is_sent_again() {
    let cluster = start_cluster().await;
    // Each request earns a tenth of a retry, and the requests below need up to two.
    for number in 0..20 {
        cluster.get("/catalogue/x", &format!("earn-{number}")).await;
    }

    cluster.plain[0]
        .service()
        .set_mode(ResponseMode::DropResponse);
    let mut responses = Vec::new();
    for number in 0..2 {
        responses.push(cluster.get("/catalogue/x", &format!("two-{number}")).await);
    }

    let served = responses
        .iter()
        .filter(|response| response.starts_with("HTTP/1.1 200"));
    assert_eq!(served.count(), 2, "{responses:?}");
}

/// Guards against forwarding a response that belongs to another request.
#[tokio::test(flavor = "multi_thread")]
async fn response_to_another_request_is_not_forwarded() {
    let cluster = start_cluster().await;

    cluster.set_mode(ResponseMode::WrongAttemptId);
    let response = cluster.post("/booking/x", "one", "").await;

    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(cluster.run_count("one"), 1);
}

/// Guards against running requests of a caller that has disconnected: pipelined requests
/// that are still unread hide the close of the connection.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_caller_that_has_left_are_dropped() {
    let cluster = start_cluster().await;
    cluster.set_mode(ResponseMode::Serve(Duration::from_secs(2)));
    let finished_runs = || -> usize {
        cluster
            .keyed
            .iter()
            .map(|upstream| upstream.service().finished_run_count())
            .sum()
    };
    let before = finished_runs();

    let mut stream = TcpStream::connect(cluster.instance.callers).await.unwrap();
    let requests = ["first", "second"].map(|name| request_text("GET", "/status/x", name, ""));
    stream
        .write_all(requests.concat().as_bytes())
        .await
        .unwrap();
    wait_until("the first request runs", async || {
        cluster.run_count("first") == 1
    })
    .await;
    drop(stream);
    sleep(Duration::from_secs(4)).await;

    assert_eq!(finished_runs() - before, 0);
    assert_eq!(cluster.run_count("second"), 0);
}

/// Guards against losing responses at shutdown when further pipelined requests on the
/// connection are still unread.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_answers_forwarded_requests() {
    let mut cluster = start_cluster().await;
    cluster.set_mode(ResponseMode::Serve(Duration::from_millis(300)));

    let mut stream = TcpStream::connect(cluster.instance.callers).await.unwrap();
    let requests: String = (0..4)
        .map(|number| request_text("GET", "/status/x", &format!("n{number}"), ""))
        .collect();
    stream.write_all(requests.as_bytes()).await.unwrap();
    wait_until("the first request runs", async || {
        cluster.run_count("n0") == 1
    })
    .await;
    cluster.instance.signal("-TERM");
    let mut answered = 0;
    while read_response(&mut stream).await.starts_with("HTTP/1.1 200") {
        answered += 1;
    }
    drop(stream);

    let ran: usize = (0..4)
        .map(|number| cluster.run_count(&format!("n{number}")))
        .sum();
    assert_eq!(answered, ran);
    assert!(answered >= 1);
    assert!(cluster.instance.wait_for_exit().await);
}

/// Guards against a first leader that the other instances do not recognize because its
/// epoch is taken for "no leader".
#[tokio::test(flavor = "multi_thread")]
async fn first_leader_is_known_to_the_others() {
    let cluster = start_cluster().await;
    let second = start_instance(cluster.store.address()).await;
    let metrics = request_text("GET", "/metrics", "m", "");
    let first_epoch = format!("medlarreel_epoch {}\n", Era::FIRST.epoch_at(0));

    wait_until("the second instance knows the first leader", async || {
        let text = send_request(second.metrics, &metrics).await;
        text.contains(&first_epoch) && text.contains("medlarreel_leads 0\n")
    })
    .await;
}

/// Guards against keys becoming unavailable after the loss of the leader.
#[tokio::test(flavor = "multi_thread")]
async fn another_instance_takes_the_lead() {
    let cluster = start_cluster().await;
    let second = start_instance(cluster.store.address()).await;
    let probe = request_text("GET", "/status/x", "probe", "");
    wait_until("the second instance serves", async || {
        send_request(second.callers, &probe)
            .await
            .starts_with("HTTP/1.1 200")
    })
    .await;

    cluster.instance.signal("-KILL");
    // Longer than a lease, so the keys are still held only if the second instance renews
    // them.
    sleep(Duration::from_secs(6)).await;
    let held: usize = cluster
        .keyed
        .iter()
        .map(|upstream| upstream.service().held_key_count())
        .sum();
    let served = send_request(second.callers, &probe).await;

    assert_eq!(held, 1 << 16);
    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
}

/// Guards against keys becoming unavailable when the leader is stopped while the store is
/// down, so that no instance can be elected.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_leader_passes_its_lead_on_without_the_store() {
    let mut cluster = start_cluster().await;
    let second = start_instance(cluster.store.address()).await;
    let probe = request_text("GET", "/status/x", "probe", "");
    wait_until("the second instance serves", async || {
        send_request(second.callers, &probe)
            .await
            .starts_with("HTTP/1.1 200")
    })
    .await;
    // The leader needs a report to know that the second instance is alive.
    sleep(Duration::from_secs(2)).await;

    cluster.store.service().set_unavailable(true);
    cluster.instance.signal("-TERM");
    assert!(cluster.instance.wait_for_exit().await);
    // Longer than a lease, so the keys are still held only if the second instance renews
    // them.
    sleep(Duration::from_secs(5)).await;
    let held: usize = cluster
        .keyed
        .iter()
        .map(|upstream| upstream.service().held_key_count())
        .sum();

    assert_eq!(held, 1 << 16);
}

/// Guards against a second leader of one epoch: an instance that was suspended while the
/// leader stopped reads the old messages of the transfer when it continues.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_instance_does_not_resume_an_old_epoch() {
    let mut cluster = start_cluster().await;
    let second = start_instance(cluster.store.address()).await;
    let probe = request_text("GET", "/status/x", "probe", "");
    wait_until("the second instance serves", async || {
        send_request(second.callers, &probe)
            .await
            .starts_with("HTTP/1.1 200")
    })
    .await;
    // The leader needs a report to know that the second instance is alive.
    sleep(Duration::from_secs(2)).await;

    second.signal("-STOP");
    cluster.instance.signal("-TERM");
    assert!(cluster.instance.wait_for_exit().await);
    second.signal("-CONT");
    let metrics = request_text("GET", "/metrics", "m", "");
    wait_until("the second instance leads", async || {
        let text = send_request(second.metrics, &metrics).await;
        text.contains("medlarreel_leads 1\n")
    })
    .await;

    let text = send_request(second.metrics, &metrics).await;
    assert!(!text.contains("medlarreel_epoch 1\n"), "{text}");
    wait_until("all keys are held", async || {
        let held = cluster.held_key_count();
        assert!(held <= 1 << 16, "{held} keys, some have two holders");
        held == 1 << 16
    })
    .await;
}

/// Guards against a caller that is told that its request failed, although no upstream has
/// received it: upstreams at their connection limit reset each new connection.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_refused_if_all_upstreams_reset_connections() {
    let mut cluster = start_cluster().await;
    let full = TcpListener::bind(any_port()).await.unwrap();
    let address = full.local_addr().unwrap();
    let resets = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&resets);
    tokio::spawn(async move {
        while let Ok((stream, _)) = full.accept().await {
            let options = socket2::SockRef::from(&stream);
            options.set_linger(Some(Duration::ZERO)).unwrap();
            counter.fetch_add(1, Ordering::SeqCst);
        }
    });

    cluster.register_plain_upstream("full", address);
    cluster.register_upstreams(0, "draining");
    cluster.register_upstreams(1, "draining");
    // A single probe may be sent to the full upstream twice while another one is still used.
    wait_until("only the full upstream is left", async || {
        for _ in 0..10 {
            let before = resets.load(Ordering::SeqCst);
            cluster.get("/catalogue/x", "probe").await;
            if resets.load(Ordering::SeqCst) < before + 2 {
                return false;
            }
        }
        true
    })
    .await;
    let response = cluster.get("/catalogue/x", "one").await;

    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after:"), "{response}");
}
