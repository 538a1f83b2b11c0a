//! Requests without faults: routing, ownership, configuration, draining.

use std::time::Duration;

use medlarreel_standin::platform::upstream::Mode;

use crate::fixture::{request_text, send_request, start_cluster, start_instance, wait_until};

/// Guards against an answer that is not the owner's, or a request changed on its way.
#[tokio::test(flavor = "multi_thread")]
async fn owner_of_the_key_answers() {
    let cluster = start_cluster().await;

    let answer = cluster.post("/booking/a?b=c", "one", "bag").await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("attempt-id: one"), "{answer}");
    assert!(answer.contains("response-signature: 3e1b.07"), "{answer}");
    let runs: Vec<_> = cluster
        .keyed
        .iter()
        .flat_map(|one| one.service().runs())
        .collect();
    let run = runs.iter().find(|run| run.attempt == "one").unwrap();
    assert_eq!(
        (run.path.as_str(), run.body.as_ref()),
        ("/booking/a", &b"bag"[..])
    );
    assert_eq!(cluster.runs("one"), 1);
}

/// Guards against keys that nobody holds, and against keys held twice.
#[tokio::test(flavor = "multi_thread")]
async fn all_keys_are_granted_once() {
    let cluster = start_cluster().await;

    let held: Vec<usize> = cluster
        .keyed
        .iter()
        .map(|one| one.service().held())
        .collect();

    assert_eq!(held.iter().sum::<usize>(), 1 << 16, "{held:?}");
}

/// Guards against 404 for a request that the configuration may allow.
#[tokio::test(flavor = "multi_thread")]
async fn instance_without_configuration_promises_that_nothing_ran() {
    let store = medlarreel_standin::platform::store::start(medlarreel_standin::server::any_port());
    let store = store.await.unwrap();
    let instance = start_instance(store.address()).await;
    let ready = request_text("GET", "/medlarreel/ready", "r", "");
    wait_until("the instance listens", async || {
        !send_request(instance.readiness, &ready).await.is_empty()
    })
    .await;

    let answer = send_request(
        instance.callers,
        &request_text("GET", "/status/x", "one", ""),
    )
    .await;
    let readiness = send_request(instance.readiness, &ready).await;

    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(readiness.starts_with("HTTP/1.1 503"), "{readiness}");
}

/// Guards against requests for paths that no route has.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_path_is_not_found() {
    let cluster = start_cluster().await;

    let answer = cluster.get("/none/x", "one").await;

    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
}

/// Guards against work for an upstream that leaves, and against keys that stay there.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_hands_its_keys_over() {
    let mut cluster = start_cluster().await;

    cluster.register(0, "draining");
    wait_until("the other upstream holds all keys", async || {
        cluster.keyed[1].service().held() == 1 << 16
    })
    .await;
    let answer = cluster.get("/status/x", "one").await;
    let plain = cluster.get("/catalogue/x", "two").await;

    assert_eq!(cluster.keyed[0].service().held(), 0);
    assert!(answer.contains("k1 /status/x"), "{answer}");
    assert!(plain.contains("p1 /catalogue/x"), "{plain}");
}

/// Guards against keys out of service while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn keys_stay_served_while_the_store_is_down() {
    let cluster = start_cluster().await;

    cluster.store.service().set_down(true);
    // Longer than a lease, so that only renewals keep the keys.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let answer = cluster.get("/status/x", "one").await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against losing the lead, and with it the keys, to a lost answer.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_do_not_stop_the_leader() {
    let mut cluster = start_cluster().await;

    cluster.store.service().lose(2);
    cluster.register(0, "draining");

    wait_until("the other upstream holds all keys", async || {
        cluster.keyed[1].service().held() == 1 << 16
    })
    .await;
}

/// Guards against a refusal that the upstream's refusal does not justify.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_the_upstream_is_a_promise() {
    let cluster = start_cluster().await;

    cluster.set_mode(Mode::Shed);
    let answer = cluster.post("/booking/x", "one", "").await;

    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(cluster.runs("one"), 0);
}
