//! Requests without faults: routing, ownership, configuration, draining.

use std::time::Duration;

use medlarreel_standin::platform::upstream::ResponseMode;

use crate::fixture::{exchange, instance, request, site, until};

/// Guards against an answer that is not the owner's, or a request changed on its way.
#[tokio::test(flavor = "multi_thread")]
async fn owner_of_the_key_answers() {
    let site = site().await;

    let answer = site.post("/booking/a?b=c", "one", "bag").await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("attempt-id: one"), "{answer}");
    assert!(answer.contains("response-signature: 3e1b.07"), "{answer}");
    let runs: Vec<_> = site
        .keyed
        .iter()
        .flat_map(|one| one.service().runs())
        .collect();
    let run = runs.iter().find(|run| run.attempt == "one").unwrap();
    assert_eq!(
        (run.path.as_str(), run.body.as_ref()),
        ("/booking/a", &b"bag"[..])
    );
    assert_eq!(site.runs("one"), 1);
}

/// Guards against keys that nobody holds, and against keys held twice.
#[tokio::test(flavor = "multi_thread")]
async fn all_keys_are_granted_once() {
    let site = site().await;

    let held: Vec<usize> = site
        .keyed
        .iter()
        .map(|one| one.service().held_keys())
        .collect();

    assert_eq!(held.iter().sum::<usize>(), 1 << 16, "{held:?}");
}

/// Guards against 404 for a request that the configuration may allow.
#[tokio::test(flavor = "multi_thread")]
async fn instance_without_configuration_promises_that_nothing_ran() {
    let store = medlarreel_standin::platform::store::start(medlarreel_standin::server::any_port());
    let store = store.await.unwrap();
    let instance = instance(store.address()).await;
    let ready = request("GET", "/medlarreel/ready", "r", "");
    until("the instance listens", async || {
        !exchange(instance.readiness, &ready).await.is_empty()
    })
    .await;

    let answer = exchange(instance.callers, &request("GET", "/status/x", "one", "")).await;
    let readiness = exchange(instance.readiness, &ready).await;

    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(readiness.starts_with("HTTP/1.1 503"), "{readiness}");
}

/// Guards against requests for paths that no route has.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_path_is_not_found() {
    let site = site().await;

    let answer = site.get("/none/x", "one").await;

    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
}

/// Guards against work for an upstream that leaves, and against keys that stay there.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_hands_its_keys_over() {
    let mut site = site().await;

    site.register(0, "draining");
    until("the other upstream holds all keys", async || {
        site.keyed[1].service().held_keys() == 1 << 16
    })
    .await;
    let answer = site.get("/status/x", "one").await;
    let plain = site.get("/catalogue/x", "two").await;

    assert_eq!(site.keyed[0].service().held_keys(), 0);
    assert!(answer.contains("k1 /status/x"), "{answer}");
    assert!(plain.contains("p1 /catalogue/x"), "{plain}");
}

/// Guards against keys out of service while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn keys_stay_served_while_the_store_is_down() {
    let site = site().await;

    site.store.service().set_down(true);
    // Longer than a lease, so that only renewals keep the keys.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let answer = site.get("/status/x", "one").await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against losing the lead, and with it the keys, to a lost answer.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_do_not_stop_the_leader() {
    let mut site = site().await;

    site.store.service().drop_append_responses(2);
    site.register(0, "draining");

    until("the other upstream holds all keys", async || {
        site.keyed[1].service().held_keys() == 1 << 16
    })
    .await;
}

/// Guards against a refusal that the upstream's refusal does not justify.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_the_upstream_is_a_promise() {
    let site = site().await;

    site.set_mode(ResponseMode::Shed);
    let answer = site.post("/booking/x", "one", "").await;

    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(site.runs("one"), 0);
}
