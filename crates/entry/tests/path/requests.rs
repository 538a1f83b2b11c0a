//! Requests without faults: routing, ownership, configuration, draining.

use std::time::Duration;

use medlarreel_standin::platform::upstream::ResponseMode;

use crate::fixture::{request_text, send_request, start_cluster, start_instance, wait_until};

/// Guards against a response that does not come from the owner of the key, and against
/// requests that are changed while they are forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn owner_of_the_key_answers() {
    let cluster = start_cluster().await;

    let response = cluster.post("/booking/a?b=c", "one", "bag").await;

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("attempt-id: one"), "{response}");
    assert!(
        response.contains("response-signature: 3e1b.07"),
        "{response}"
    );
    let runs: Vec<_> = cluster
        .keyed
        .iter()
        .flat_map(|upstream| upstream.service().runs())
        .collect();
    let run = runs.iter().find(|run| run.attempt == "one").unwrap();
    assert_eq!(
        (run.path.as_str(), run.body.as_ref()),
        ("/booking/a", &b"bag"[..])
    );
    assert_eq!(cluster.run_count("one"), 1);
}

/// Guards against keys without an owner, and against keys with two owners.
#[tokio::test(flavor = "multi_thread")]
async fn all_keys_are_granted_once() {
    let cluster = start_cluster().await;

    let held: Vec<usize> = cluster
        .keyed
        .iter()
        .map(|upstream| upstream.service().held_key_count())
        .collect();

    assert_eq!(held.iter().sum::<usize>(), 1 << 16, "{held:?}");
}

/// Guards against a 404 response before the configuration is loaded, since the
/// configuration may contain a route for the request.
#[tokio::test(flavor = "multi_thread")]
async fn instance_without_configuration_refuses_requests() {
    let store = medlarreel_standin::platform::store::start(medlarreel_standin::server::any_port());
    let store = store.await.unwrap();
    let instance = start_instance(store.address()).await;
    let ready = request_text("GET", "/medlarreel/ready", "r", "");
    wait_until("the instance listens", async || {
        !send_request(instance.readiness, &ready).await.is_empty()
    })
    .await;

    let response = send_request(
        instance.callers,
        &request_text("GET", "/status/x", "one", ""),
    )
    .await;
    let readiness = send_request(instance.readiness, &ready).await;

    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(readiness.starts_with("HTTP/1.1 503"), "{readiness}");
}

/// Guards against forwarding requests whose path matches no route.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_path_is_not_found() {
    let cluster = start_cluster().await;

    let response = cluster.get("/none/x", "one").await;

    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
}

/// Guards against sending requests to a draining upstream, and against leaving its keys
/// there.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_hands_its_keys_over() {
    let mut cluster = start_cluster().await;

    cluster.register_upstreams(0, "draining");
    wait_until("the other upstream holds all keys", async || {
        cluster.keyed[1].service().held_key_count() == 1 << 16
    })
    .await;
    let response = cluster.get("/status/x", "one").await;
    let plain = cluster.get("/catalogue/x", "two").await;

    assert_eq!(cluster.keyed[0].service().held_key_count(), 0);
    assert!(response.contains("k1 /status/x"), "{response}");
    assert!(plain.contains("p1 /catalogue/x"), "{plain}");
}

/// Guards against keys that are not served while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn keys_stay_served_while_the_store_is_down() {
    let cluster = start_cluster().await;

    cluster.store.service().set_unavailable(true);
    // Longer than a lease, so that the keys are still owned only if leases are renewed.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let response = cluster.get("/status/x", "one").await;

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against a leader that gives up leadership, and with it the keys, because the
/// store's response to a write was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_responses_of_the_store_do_not_stop_the_leader() {
    let mut cluster = start_cluster().await;

    cluster.store.service().drop_append_responses(2);
    cluster.register_upstreams(0, "draining");

    wait_until("the other upstream holds all keys", async || {
        cluster.keyed[1].service().held_key_count() == 1 << 16
    })
    .await;
}

/// Guards against a 503 response to a request that has run: callers rely on it that a
/// refused request has not run.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_refusal_is_passed_on_without_a_run() {
    let cluster = start_cluster().await;

    cluster.set_mode(ResponseMode::Shed);
    let response = cluster.post("/booking/x", "one", "").await;

    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert_eq!(cluster.run_count("one"), 0);
}
