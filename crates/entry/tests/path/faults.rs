//! Requests under faults: lost and wrong answers, callers that leave, shutdown.

use std::time::Duration;

use medlarreel_standin::platform::upstream::ResponseMode;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fixture::{answer, exchange, instance, request, site, until};

/// Guards against a second run, and a promise that it has not run, of a booking
/// whose answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn booking_with_a_lost_answer_runs_once() {
    let site = site().await;

    site.set_mode(ResponseMode::DropResponse);
    let answer = site.post("/booking/x", "one", "bag").await;

    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(site.runs("one"), 1);
}

/// Guards against giving up an idempotent request after one lost answer.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_sent_again() {
    let site = site().await;
    for number in 0..20 {
        site.get("/catalogue/x", &format!("earn-{number}")).await;
    }

    site.plain[0].service().set_mode(ResponseMode::DropResponse);
    let mut answers = Vec::new();
    for number in 0..2 {
        answers.push(site.get("/catalogue/x", &format!("two-{number}")).await);
    }

    let served = answers
        .iter()
        .filter(|answer| answer.starts_with("HTTP/1.1 200"));
    assert_eq!(served.count(), 2, "{answers:?}");
}

/// Guards against an answer that belongs to another request.
#[tokio::test(flavor = "multi_thread")]
async fn answer_to_another_request_is_not_passed_on() {
    let site = site().await;

    site.set_mode(ResponseMode::WrongAttemptId);
    let answer = site.post("/booking/x", "one", "").await;

    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(site.runs("one"), 1);
}

/// Guards against work for a caller that has left, if further requests stand
/// behind its request on the connection and hide the close.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_caller_that_has_left_are_dropped() {
    let site = site().await;
    site.set_mode(ResponseMode::Serve(Duration::from_secs(2)));
    let ended = || -> usize {
        site.keyed
            .iter()
            .map(|one| one.service().finished_runs())
            .sum()
    };
    let before = ended();

    let mut stream = TcpStream::connect(site.instance.callers).await.unwrap();
    let requests = ["first", "second"].map(|name| request("GET", "/status/x", name, ""));
    stream
        .write_all(requests.concat().as_bytes())
        .await
        .unwrap();
    until("the first request runs", async || site.runs("first") == 1).await;
    drop(stream);
    sleep(Duration::from_secs(4)).await;

    assert_eq!(ended() - before, 0);
    assert_eq!(site.runs("second"), 0);
}

/// Guards against answers that are lost at a shutdown because further requests
/// stand behind theirs on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_answers_what_was_passed_on() {
    let mut site = site().await;
    site.set_mode(ResponseMode::Serve(Duration::from_millis(300)));

    let mut stream = TcpStream::connect(site.instance.callers).await.unwrap();
    let requests: String = (0..4)
        .map(|number| request("GET", "/status/x", &format!("n{number}"), ""))
        .collect();
    stream.write_all(requests.as_bytes()).await.unwrap();
    until("the first request runs", async || site.runs("n0") == 1).await;
    site.instance.signal("-TERM");
    let mut answered = 0;
    while answer(&mut stream).await.starts_with("HTTP/1.1 200") {
        answered += 1;
    }
    drop(stream);

    let ran: usize = (0..4).map(|number| site.runs(&format!("n{number}"))).sum();
    assert_eq!(answered, ran);
    assert!(answered >= 1);
    assert!(site.instance.ended().await);
}

/// Guards against a first leader that the others do not recognise, because
/// its epoch looks like none.
#[tokio::test(flavor = "multi_thread")]
async fn first_leader_is_known_to_the_others() {
    let site = site().await;
    let second = instance(site.store.address()).await;
    let metrics = request("GET", "/metrics", "m", "");

    until("the second instance knows the first leader", async || {
        let text = exchange(second.metrics, &metrics).await;
        text.contains("medlarreel_epoch 1\n") && text.contains("medlarreel_leads 0\n")
    })
    .await;
}

/// Guards against keys out of service after the loss of the leader.
#[tokio::test(flavor = "multi_thread")]
async fn another_instance_takes_the_lead() {
    let site = site().await;
    let second = instance(site.store.address()).await;
    let probe = request("GET", "/status/x", "probe", "");
    until("the second instance serves", async || {
        exchange(second.callers, &probe)
            .await
            .starts_with("HTTP/1.1 200")
    })
    .await;

    site.instance.signal("-KILL");
    // Longer than a lease, so that only renewals by the second one keep the keys.
    sleep(Duration::from_secs(6)).await;
    let held: usize = site.keyed.iter().map(|one| one.service().held_keys()).sum();
    let served = exchange(second.callers, &probe).await;

    assert_eq!(held, 1 << 16);
    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
}

/// Guards against keys out of service when the leader is stopped while the store
/// is down and nobody can take the lead.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_leader_passes_its_lead_on_without_the_store() {
    let mut site = site().await;
    let second = instance(site.store.address()).await;
    let probe = request("GET", "/status/x", "probe", "");
    until("the second instance serves", async || {
        exchange(second.callers, &probe)
            .await
            .starts_with("HTTP/1.1 200")
    })
    .await;
    // Reports show the leader that the second instance lives.
    sleep(Duration::from_secs(2)).await;

    site.store.service().set_down(true);
    site.instance.signal("-TERM");
    assert!(site.instance.ended().await);
    // Longer than a lease, so that only renewals by the second one keep the keys.
    sleep(Duration::from_secs(5)).await;
    let held: usize = site.keyed.iter().map(|one| one.service().held_keys()).sum();

    assert_eq!(held, 1 << 16);
}
