//! Evacuation of failure domains by the operator.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_standin::platform::upstream::Upstream;
use medlarreel_standin::server::Server;
use tokio::time::{Instant, sleep};

use crate::fixture::{
    TestCluster, is_ready, metric, request_text, send_request, start_cluster, start_followers,
    start_instance, wait_until,
};

/// Topic of the operator.
const OPERATOR_TOPIC: &str = "keyed.op";

/// Default of `evacuate` in the settings.
const LIMIT: Duration = Duration::from_secs(5);

/// Time for which a read waits for a record at most, and some more.
const READ_WAIT: Duration = Duration::from_millis(800);

/// Number of keys of a service.
const KEY_COUNT: usize = 1 << 16;

/// Orders the evacuation of a domain.
fn evacuate(cluster: &TestCluster, domain: &str) {
    let store = cluster.store.service();
    store.put(OPERATOR_TOPIC, &format!("evacuate/{domain}"), b"{}");
}

/// Withdraws the order.
fn withdraw(cluster: &TestCluster, domain: &str) {
    let store = cluster.store.service();
    store.put(OPERATOR_TOPIC, &format!("evacuate/{domain}"), b"");
}

/// Starts a cluster with an upstream of each service in each of the domains `a` and `b`.
async fn start_domains() -> TestCluster {
    let mut cluster = start_cluster().await;
    cluster.register_upstreams_in("b", 1, "ready");
    wait_until("both keyed upstreams hold keys", async || {
        let mut upstreams = cluster.keyed.iter();
        upstreams.all(|upstream| upstream.service().held_key_count() > 0)
    })
    .await;
    // A change of a domain alone is not seen from outside. Reads take far less.
    sleep(Duration::from_secs(1)).await;
    cluster
}

/// Upstreams of a domain, by the number that it has at the cluster.
fn upstreams_of(cluster: &TestCluster, number: usize) -> [&Server<Upstream>; 2] {
    [&cluster.keyed[number], &cluster.plain[number]]
}

/// Sends a request of each service with one of several keys about every 5 ms, to the
/// instances in turn. Returns how many were served, and how many were sent.
async fn send_requests(callers: &[SocketAddr], duration: Duration) -> (usize, usize) {
    let end = Instant::now() + duration;
    let (mut served, mut sent) = (0, 0);
    while Instant::now() < end {
        for path in ["/status/x", "/catalogue/x"] {
            let key = sent * 7_919 % KEY_COUNT;
            let request = request_text("GET", path, &format!("n{sent}"), "");
            let request = request.replace("Shard-Key: 77", &format!("Shard-Key: {key}"));
            let request = request.replace("Deadline-Ms: 4000", "Deadline-Ms: 1500");
            let response = send_request(callers[sent % callers.len()], &request).await;
            served += usize::from(response.starts_with("HTTP/1.1 200"));
            sent += 1;
        }
        sleep(Duration::from_millis(5)).await;
    }
    (served, sent)
}

/// Number of requests that have reached upstreams since `start`.
fn arrivals_since(upstreams: &[&Server<Upstream>], start: Instant) -> usize {
    let arrivals = upstreams.iter().map(|server| server.service().arrivals());
    arrivals.flatten().filter(|at| *at >= start).count()
}

/// Guards against requests that reach an evacuated domain after the limit, against keys that
/// are served late or lose their state since they stay there or move without it, and against
/// a domain that gets nothing after it was taken back.
#[tokio::test(flavor = "multi_thread")]
async fn keys_leave_an_evacuated_domain_and_come_back() {
    let cluster = start_domains().await;
    let followers = start_followers(&cluster, 1).await;
    let callers = [cluster.instance.callers, followers[0].callers];
    send_requests(&callers, Duration::from_secs(1)).await;
    let grants_before = cluster.keyed[1].service().accepted_grants().len();

    evacuate(&cluster, "a");
    let (served_meanwhile, sent_meanwhile) = send_requests(&callers, LIMIT).await;
    let held = [0, 1].map(|number| cluster.keyed[number].service().held_key_count());
    let gauges = [
        metric(&cluster.instance, "medlarreel_evacuated_domains").await,
        metric(&followers[0], "medlarreel_evacuated_keys").await,
    ];
    let limit = Instant::now();
    let (served, sent) = send_requests(&callers, Duration::from_secs(1)).await;
    let late = arrivals_since(&upstreams_of(&cluster, 0), limit);
    let grants = cluster.keyed[1].service().accepted_grants();
    withdraw(&cluster, "a");
    wait_until("the keys are back", async || {
        let held = cluster.keyed[0].service().held_key_count();
        held > KEY_COUNT / 3
    })
    .await;
    let back = Instant::now();
    send_requests(&callers, Duration::from_secs(1)).await;

    assert_eq!(held, [0, KEY_COUNT]);
    assert_eq!(gauges, [1, 0]);
    assert_eq!(late, 0);
    assert_eq!(served, sent);
    // Some wait for their key to move, but none is refused.
    assert_eq!(served_meanwhile, sent_meanwhile);
    assert!(
        grants[grants_before..]
            .iter()
            .any(|grant| grant.has_handover)
    );
    for upstream in upstreams_of(&cluster, 0) {
        assert!(arrivals_since(&[upstream], back) > 0);
    }
}

/// Guards against keys that are taken from their owners with nowhere to go, against requests
/// that reach them all the same after the limit, also from an instance that starts later, and
/// against domains that stay evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_while_all_domains_are_evacuated() {
    let cluster = start_domains().await;
    let all = [upstreams_of(&cluster, 0), upstreams_of(&cluster, 1)].concat();
    // Both orders are read at once: between two reads, keys would begin to move.
    cluster.store.service().set_unavailable(true);
    sleep(READ_WAIT).await;
    let ordered = Instant::now();

    evacuate(&cluster, "a");
    evacuate(&cluster, "b");
    cluster.store.service().set_unavailable(false);
    sleep(LIMIT).await;
    let limit = Instant::now();
    let newcomer = start_instance(cluster.store.address()).await;
    wait_until("the instance is ready", async || is_ready(&newcomer).await).await;
    let callers = [cluster.instance.callers, newcomer.callers];
    let (served, sent) = send_requests(&callers, Duration::from_secs(1)).await;
    let held = cluster.held_key_count();
    let late = arrivals_since(&all, limit);
    withdraw(&cluster, "b");
    wait_until("all keys have moved", async || {
        cluster.keyed[1].service().held_key_count() == KEY_COUNT
    })
    .await;
    cluster.wait_until_served().await;

    assert!(limit.duration_since(ordered) >= LIMIT);
    assert_eq!(late, 0);
    assert_eq!(served, 0, "of {sent}");
    assert_eq!(held, KEY_COUNT);
}

/// Guards against an order that is forgotten since the store comes back from an older copy,
/// and against one that can't be withdrawn then.
#[tokio::test(flavor = "multi_thread")]
async fn order_outlives_a_restore_of_the_store() {
    let cluster = start_domains().await;
    let callers = [cluster.instance.callers];
    let backup = cluster.store.service().backup();
    evacuate(&cluster, "a");
    wait_until("all keys have moved", async || {
        cluster.keyed[1].service().held_key_count() == KEY_COUNT
    })
    .await;

    cluster.store.service().restore(backup);
    wait_until("the restore is known", async || {
        metric(&cluster.instance, "medlarreel_store_restores_total").await == 1
    })
    .await;
    let restored = Instant::now();
    // A new leader needs some seconds until it moves keys.
    send_requests(&callers, Duration::from_secs(8)).await;
    let late = arrivals_since(&upstreams_of(&cluster, 0), restored);
    withdraw(&cluster, "a");
    wait_until("requests reach the domain", async || {
        send_requests(&callers, Duration::from_millis(100)).await;
        arrivals_since(&[&cluster.plain[0]], restored) > 0
    })
    .await;

    assert_eq!(late, 0);
}
