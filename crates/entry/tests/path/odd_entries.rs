//! Entries among the registrations that another writer has left.

use std::net::SocketAddr;

use medlarreel_entry::platform::registry;
use medlarreel_standin::platform::upstream;
use medlarreel_standin::server::any_port;
use serde_json::{Value, json};
use tokio::time::{Duration, sleep};

use crate::fixture::{
    TestCluster, config_text, is_ready, request_text, send_request, start_cluster, start_followers,
    start_instance, wait_until,
};

/// Registration of an upstream of the keyed service, with `fields` in place of its own.
fn entry(fields: &Value) -> String {
    let mut entry = json!({
        "service": "keyed", "address": "127.0.0.1:1", "zone": "a", "version": "v1",
        "slots": 6, "state": "ready", "warmupLeftS": 0, "sequence": 1, "born": 1000,
    });
    for (name, value) in fields.as_object().unwrap() {
        entry[name] = value.clone();
    }
    entry.to_string()
}

fn put(cluster: &TestCluster, id: &str, entry: &str) {
    let store = cluster.store.service();
    store.put("keyed.servers", id, entry.as_bytes());
}

/// Entries that can't be read, or that no upstream can have.
fn invalid_entries() -> Vec<String> {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let with_slots = |slots: &str| entry(&json!({"slots": "X"})).replace("\"X\"", slots);
    let addresses = [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "0.0.0.0:80",
        "[::]:80",
        "224.0.0.1:80",
        "127.0.0.1",
    ];
    let of_address = |address: &&str| entry(&json!({ "address": address }));
    let mut entries: Vec<String> = addresses.iter().map(of_address).collect();
    entries.extend([
        with_slots(&nested),
        with_slots(&"9".repeat(400)),
        with_slots("18446744073709551616"),
        with_slots("-1"),
        with_slots("1e999"),
        with_slots("NaN"),
        nested,
        String::new(),
        "null".into(),
        entry(&json!({"warmupLeftS": -1})),
        entry(&json!({"warmupLeftS": 1e300})),
        entry(&json!({"state": "asleep"})),
    ]);
    entries
}

/// Guards against an entry that ends the process that reads it, or that is taken for an
/// upstream.
#[test]
fn entry_that_no_upstream_can_have_is_not_a_registration() {
    for entry in invalid_entries() {
        let registration = registry::decode("odd", entry.as_bytes());

        assert_eq!(registration, None, "{:.200}", entry);
    }
}

/// Guards against an entry under an id by which no upstream can be addressed, and against an
/// upstream that is not used because its id is not ASCII.
#[test]
fn id_of_a_registration_can_be_addressed() {
    for id in ["", " ", "a ", "\ta", "a\nb", "a\r\nb: c", "a\0", "\u{7f}"] {
        assert_eq!(registry::decode(id, entry(&json!({})).as_bytes()), None);
    }
    for id in ["i-7f3a91c2", "a b", "a#1", "\u{e4}", "\u{1f511}", "%41"] {
        let registration = registry::decode(id, entry(&json!({})).as_bytes());
        assert_eq!(registration.map(|found| found.id).as_deref(), Some(id));
    }
}

/// Guards against an upstream that gets no requests because of its id.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_with_an_odd_id_is_used() {
    let mut cluster = start_cluster().await;
    let id = "p #1 \u{e4}\u{1f511}";
    cluster.plain[0].service().restart(id);
    cluster.register_plain_upstream(id, cluster.plain[0].address());
    cluster.register_upstreams(1, "draining");

    wait_until("it is used", async || {
        let response = cluster.get("/catalogue/x", "probe").await;
        response.starts_with("HTTP/1.1 200") && response.contains(id)
    })
    .await;
}

/// Guards against instances that stop to follow the registrations because of one of them.
#[tokio::test(flavor = "multi_thread")]
async fn registrations_are_followed_behind_invalid_entries() {
    let mut cluster = start_cluster().await;

    for (number, entry) in invalid_entries().iter().enumerate() {
        put(&cluster, &format!("odd-{number}"), entry);
    }
    let joined = upstream::start(any_port(), "k9", true).await.unwrap();
    cluster.register_keyed_upstream("k9", joined.address());
    wait_until("an upstream that has joined holds keys", async || {
        joined.service().held_key_count() > 0
    })
    .await;
    let started = start_instance(cluster.store.address()).await;

    wait_until("an instance starts", async || is_ready(&started).await).await;
    assert!(is_ready(&cluster.instance).await);
}

/// Waits until all keys are held. The leader may be moving some at any moment, since requests
/// are not spread evenly.
async fn wait_until_held(cluster: &TestCluster) {
    wait_until("all keys are held", async || {
        cluster.held_key_count() == 1 << 16
    })
    .await;
}

/// Guards against keys that are taken from a healthy upstream for an entry behind which there
/// is no other one.
#[tokio::test(flavor = "multi_thread")]
async fn entry_without_an_upstream_gets_no_keys() {
    let cluster = start_cluster().await;
    let entries = [
        json!({}),
        json!({"address": "127.0.0.1:2", "slots": u32::MAX}),
        json!({"address": "127.0.0.1:0"}),
        json!({"address": cluster.plain[0].address().to_string(), "born": 2000}),
    ];

    for (number, fields) in entries.iter().enumerate() {
        put(&cluster, &format!("odd-{number}"), &entry(fields));
    }
    let mut refused = Vec::new();
    for number in 0..160_u32 {
        let request = request_text("GET", "/status/x", &format!("n{number}"), "");
        let key = format!("Shard-Key: {}", number * 409);
        let request = request.replace("Shard-Key: 77", &key);
        let response = send_request(cluster.instance.callers, &request).await;
        if !response.starts_with("HTTP/1.1 200") {
            refused.push(response);
        }
        let held = cluster.held_key_count();
        assert!(held <= 1 << 16, "{held} keys, so that some are held twice");
        sleep(Duration::from_millis(50)).await;
    }

    assert!(refused.is_empty(), "{refused:?}");
    wait_until_held(&cluster).await;
}

/// Guards against instances that can't load the registrations because of the key of one of
/// them, when a page of the store ends with it.
#[tokio::test(flavor = "multi_thread")]
async fn registrations_are_loaded_behind_odd_keys() {
    let mut cluster = start_cluster().await;
    let keys = [
        "", "a b", "k#1", "k&part=7", "k\"", "k\0", "k\n", "k\u{7f}", "k\u{e4}", "k%41",
    ];
    for key in keys {
        put(&cluster, key, r#"{"service":"backup","state":"done"}"#);
    }
    cluster.store.service().set_page_items(1);

    // It replaces the only instance, so that no other one has the registrations.
    cluster.instance = start_instance(cluster.store.address()).await;

    cluster.wait_until_served().await;
}

/// Puts an entry at the address of each upstream, which started later than this one, with
/// `fields` in place of its own. The keys of the entries begin with `prefix`.
fn put_at_all_addresses(cluster: &TestCluster, prefix: &str, fields: &Value) {
    let upstreams = cluster.keyed.iter().chain(&cluster.plain);
    for (number, upstream) in upstreams.enumerate() {
        let mut fields = fields.clone();
        fields["address"] = json!(upstream.address().to_string());
        fields["born"] = json!(2000);
        put(cluster, &format!("{prefix}-{number}"), &entry(&fields));
    }
}

/// Sends requests to both services for some seconds while the upstreams register again and
/// again. Returns the responses that are no success.
async fn failed_responses(cluster: &mut TestCluster) -> Vec<String> {
    let callers = cluster.instance.callers;
    failed_responses_at(callers, cluster).await
}

/// As `failed_responses`, at another instance.
async fn failed_responses_at(callers: SocketAddr, cluster: &mut TestCluster) -> Vec<String> {
    let mut failed = Vec::new();
    for number in 0..60 {
        for path in ["/status/x", "/catalogue/x"] {
            let request = request_text("GET", path, &format!("{number}{path}"), "");
            let response = send_request(callers, &request).await;
            if !response.starts_with("HTTP/1.1 200") {
                failed.push(response);
            }
        }
        cluster.register_upstreams(number % 2, "ready");
        sleep(Duration::from_millis(50)).await;
    }
    failed
}

/// Panics if a request fails, or keys are lost, at the running instance or at one that takes
/// its place and has nobody to get the registrations from.
async fn check_all_served(mut cluster: TestCluster) {
    let failed = failed_responses(&mut cluster).await;
    cluster.instance = start_instance(cluster.store.address()).await;
    cluster.wait_until_served().await;
    let failed_after_start = failed_responses(&mut cluster).await;

    assert!(failed.is_empty(), "{failed:?}");
    assert!(failed_after_start.is_empty(), "{failed_after_start:?}");
    wait_until_held(&cluster).await;
}

/// Guards against upstreams that are out of use because another writer has left entries with
/// their addresses, in a running system and after a start of all instances.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_unknown_services_do_not_end_upstreams() {
    let variants = [
        json!({"service": "watch"}),
        json!({"service": "watch", "state": "draining"}),
        json!({"service": ""}),
        json!({"service": "watch", "slots": 0}),
    ];
    let cluster = start_cluster().await;
    for (variant, fields) in variants.iter().enumerate() {
        put_at_all_addresses(&cluster, &format!("watch-{variant}"), fields);
    }

    check_all_served(cluster).await;
}

/// Guards against the same by entries of known services: the upstreams themselves say who they
/// are.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_known_services_do_not_end_upstreams() {
    let cluster = start_cluster().await;
    for service in ["keyed", "plain"] {
        put_at_all_addresses(&cluster, service, &json!({ "service": service }));
    }

    check_all_served(cluster).await;
}

/// Guards against the same when the entries come from other instances, to one that starts, to
/// the next leader, or from a store that was restored.
#[tokio::test(flavor = "multi_thread")]
async fn entries_end_no_upstreams_whichever_way_they_come() {
    let mut cluster = start_cluster().await;
    let mut followers = start_followers(&cluster, 1).await;
    for service in ["watch", "keyed", "plain"] {
        put_at_all_addresses(&cluster, service, &json!({ "service": service }));
    }
    followers.extend(start_followers(&cluster, 1).await);

    let mut failed = Vec::new();
    for follower in &followers {
        failed.push(failed_responses_at(follower.callers, &mut cluster).await);
    }
    cluster.instance.signal("-TERM");
    assert!(cluster.instance.wait_for_exit().await);
    failed.push(failed_responses_at(followers[0].callers, &mut cluster).await);
    let store = cluster.store.service();
    store.restore(store.backup());
    failed.push(failed_responses_at(followers[1].callers, &mut cluster).await);

    let failed: Vec<String> = failed.into_iter().flatten().collect();
    assert!(failed.is_empty(), "{failed:?}");
    wait_until_held(&cluster).await;
}

/// Guards against upstreams that stay unknown because they registered before the operators
/// named their service, or while it was not named for a time.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_are_used_once_their_service_is_named() {
    let cluster = start_cluster().await;
    let renamed = config_text(2, 1 << 20).replace("\"plain\"", "\"another\"");
    let renamed = renamed.replace("\"keyed\"", "\"further\"");
    let store = cluster.store.service();
    put_at_all_addresses(&cluster, "odd", &json!({"service": "another"}));

    store.put("keyed.op", "config", renamed.as_bytes());
    wait_until("no upstream is used", async || {
        let keyed = cluster.get("/status/x", "probe").await;
        let plain = cluster.get("/catalogue/x", "probe").await;
        keyed.starts_with("HTTP/1.1 503") && plain.starts_with("HTTP/1.1 503")
    })
    .await;
    cluster.publish_config(3);

    cluster.wait_until_served().await;
}

/// Guards against an upstream that is not used because the one before it at its address is
/// still registered.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_follows_another_at_its_address_is_used() {
    let mut cluster = start_cluster().await;
    let addresses = [0, 1].map(|number: usize| cluster.plain[number].address());

    for (number, address) in addresses.into_iter().enumerate() {
        let id = format!("next-{number}");
        cluster.plain[number].service().restart(&id);
        cluster.register_plain_upstream(&id, address);
    }

    wait_until("the followers serve", async || {
        let response = cluster.get("/catalogue/x", "probe").await;
        response.ends_with(" /catalogue/x") && response.contains("next-")
    })
    .await;
    assert!(failed_responses(&mut cluster).await.is_empty());
}
