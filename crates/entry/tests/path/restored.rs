//! A store that comes back from a copy: offsets go back and are assigned again.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_standin::platform::upstream;
use medlarreel_standin::server::any_port;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::fixture::{
    Instance, TEST_TIMEOUT, TestCluster, is_ready, metric, request_text, send_request,
    start_cluster, start_followers, start_instance, start_instance_in, wait_until,
};

/// Topic of the configurations.
const CONFIG_TOPIC: &str = "keyed.op";

/// Topic in which instances announce themselves.
const INSTANCES_TOPIC: &str = "keyed.medlarreel-instances";

/// Number of keys of a service.
const KEY_COUNT: usize = 1 << 16;

/// Distance between two keys whose holders are checked.
const SAMPLE_STEP: usize = 512;

/// Time between two checks of the holders.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which an upstream holds keys after its last renewal, and some more.
const LEASE_DURATION: Duration = Duration::from_millis(4_500);

/// Time in which a leader confirms its grants after a restore and records all owners.
const RECORDING_TIME: Duration = Duration::from_secs(6);

/// Starts a leader and a follower.
async fn start_pair() -> (TestCluster, Instance) {
    let cluster = start_cluster().await;
    let follower = start_followers(&cluster, 1).await.remove(0);
    (cluster, follower)
}

/// Starts a forwarder to an address. It closes its connections and accepts no more once
/// the returned sender is set.
async fn start_forwarder(to: SocketAddr) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (cut, is_cut) = watch::channel(false);
    let mut closed = is_cut.clone();
    tokio::spawn(async move {
        loop {
            let (mut inbound, _) = tokio::select! {
                accepted = listener.accept() => accepted.unwrap(),
                _ = closed.changed() => return,
            };
            let mut closed = is_cut.clone();
            tokio::spawn(async move {
                let mut outbound = TcpStream::connect(to).await.unwrap();
                tokio::select! {
                    _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
                    _ = closed.changed() => {}
                }
            });
        }
    });
    (address, cut)
}

/// Makes the second keyed upstream take the keys of the first.
async fn move_keys(cluster: &mut TestCluster) {
    cluster.register_upstreams(0, "draining");
    wait_until("the second upstream holds all keys", async || {
        cluster.keyed[1].service().held_key_count() == KEY_COUNT
            && cluster.keyed[0].service().held_key_count() == 0
    })
    .await;
}

/// Numbers of the keyed upstreams that hold each sampled key.
fn sampled_holders(cluster: &TestCluster) -> Vec<(u16, Vec<usize>)> {
    let sampled = (0..=u16::MAX).step_by(SAMPLE_STEP);
    sampled
        .map(|key| {
            let upstreams = 0..cluster.keyed.len();
            let holds = |number: &usize| cluster.keyed[*number].service().holds(key);
            (key, upstreams.filter(holds).collect())
        })
        .collect()
}

/// Sampled keys that two upstreams hold at the same time. The upstreams are read one after
/// the other, so a key that moves in between appears twice in one reading, but not in two.
fn keys_held_twice(cluster: &TestCluster) -> Vec<(u16, Vec<usize>)> {
    let readings = sampled_holders(cluster)
        .into_iter()
        .zip(sampled_holders(cluster));
    readings
        .filter(|((_, before), (_, holders))| holders.len() > 1 && before == holders)
        .map(|(_, reading)| reading)
        .collect()
}

/// Checks until `is_over` returns true that no key is held by two upstreams.
async fn check_holders_until(cluster: &TestCluster, is_over: impl Fn(Duration) -> bool) {
    let start = Instant::now();
    while !is_over(start.elapsed()) {
        let twice = keys_held_twice(cluster);
        let elapsed = start.elapsed();
        assert!(twice.is_empty(), "held twice after {elapsed:?}: {twice:?}");
        assert!(elapsed < TEST_TIMEOUT, "timed out");
        sleep(CHECK_INTERVAL).await;
    }
}

/// Checks that each fence was accepted by one upstream only.
fn check_fences(cluster: &TestCluster) {
    let [first, second] = [0, 1].map(|number| cluster.keyed[number].service().accepted_grants());
    let repeated = first
        .iter()
        .find(|grant| second.iter().any(|other| other.fence == grant.fence));
    assert_eq!(repeated, None);
}

/// Whether an instance serves a request of the keyed service.
async fn serves_keyed(instance: &Instance) -> bool {
    let probe = request_text("GET", "/status/x", "probe", "");
    let response = send_request(instance.callers, &probe).await;
    response.starts_with("HTTP/1.1 200")
}

/// Waits until both instances use a version of the configuration.
async fn wait_for_version(cluster: &TestCluster, follower: &Instance, version: u64) {
    for instance in [&cluster.instance, follower] {
        wait_until(&format!("version {version} is in force"), async || {
            metric(instance, "medlarreel_config_version").await == version
        })
        .await;
    }
}

/// Waits until both instances have seen that the store was restored.
async fn wait_for_restore(cluster: &TestCluster, follower: &Instance) {
    for instance in [&cluster.instance, follower] {
        wait_until("the restore is noticed", async || {
            metric(instance, "medlarreel_store_restores_total").await == 1
        })
        .await;
    }
}

/// Guards against a follower that takes the leader's records for known ones because their
/// offsets are lower than before the restore.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_published_after_a_restore_takes_effect() {
    let (cluster, follower) = start_pair().await;
    let backup = cluster.store.service().backup();
    for version in 2..=6 {
        cluster.publish_config(version);
    }
    wait_for_version(&cluster, &follower, 6).await;

    cluster.store.service().restore(backup);
    cluster.publish_config(6);
    // The leader reads the restored topic before the next version is published.
    sleep(Duration::from_secs(1)).await;
    cluster.publish_config(7);

    wait_for_version(&cluster, &follower, 7).await;
}

/// Guards against records that nobody reads because the restored topic has grown past the
/// offset that instances read from.
#[tokio::test(flavor = "multi_thread")]
async fn topic_that_has_grown_past_the_old_offset_is_loaded_again() {
    let (cluster, follower) = start_pair().await;
    let backup = cluster.store.service().backup();
    for version in 2..=4 {
        cluster.publish_config(version);
    }
    wait_for_version(&cluster, &follower, 4).await;

    let store = cluster.store.service();
    store.set_unavailable(true);
    sleep(Duration::from_secs(1)).await;
    store.restore(backup);
    cluster.publish_config(5);
    for _ in 0..5 {
        store.put(CONFIG_TOPIC, "other", b"{}");
    }
    store.set_unavailable(false);

    wait_for_version(&cluster, &follower, 5).await;
}

/// Guards against an instance that goes back to the configuration of the copy.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_does_not_go_back_after_a_restore() {
    let (cluster, follower) = start_pair().await;
    let backup = cluster.store.service().backup();
    cluster.publish_config(4);
    wait_for_version(&cluster, &follower, 4).await;

    cluster.store.service().restore(backup);
    wait_for_restore(&cluster, &follower).await;
    // Longer than the load from the store, whose newest version is 1.
    sleep(Duration::from_secs(2)).await;

    for instance in [&cluster.instance, &follower] {
        assert_eq!(metric(instance, "medlarreel_config_version").await, 4);
    }
    cluster.publish_config(5);
    wait_for_version(&cluster, &follower, 5).await;
}

/// Guards against instances that report that they are not ready, all at the same time,
/// while they load the topics again.
#[tokio::test(flavor = "multi_thread")]
async fn instances_stay_ready_after_a_restore() {
    let (cluster, follower) = start_pair().await;
    let backup = cluster.store.service().backup();
    cluster.publish_config(2);
    cluster.store.service().put("keyed.servers", "gone", b"");
    wait_for_version(&cluster, &follower, 2).await;
    sleep(Duration::from_millis(500)).await;

    cluster.store.service().restore(backup);
    let mut unready = 0;
    for _ in 0..100 {
        for instance in [&cluster.instance, &follower] {
            unready += u32::from(!is_ready(instance).await);
        }
        sleep(Duration::from_millis(15)).await;
    }

    assert_eq!(unready, 0);
    cluster.wait_until_served().await;
}

/// Guards against an instance that later ones do not know, because the record by which it
/// has announced itself was lost.
#[tokio::test(flavor = "multi_thread")]
async fn instance_announces_itself_again_after_a_restore() {
    let cluster = start_cluster().await;
    let backup = cluster.store.service().backup();
    let follower = start_followers(&cluster, 1).await.remove(0);
    let name = format!("entry-{}", follower.callers.port());
    let store = cluster.store.service();
    let is_announced = || store.get(INSTANCES_TOPIC, &name).is_some();
    assert!(is_announced());

    store.restore(backup);
    assert!(!is_announced());

    wait_until("the follower is announced", async || is_announced()).await;
}

/// Guards against instances that never hear of each other: one has read the list before
/// the other was back in it, and its greeting reached nobody.
#[tokio::test(flavor = "multi_thread")]
async fn instances_find_each_other_after_a_restore() {
    let cluster = start_cluster().await;
    let store = cluster.store.service();
    let backup = store.backup();
    // The follower learns its configuration from the leader alone.
    let follower = start_followers(&cluster, 1).await.remove(0);

    store.restore(backup);
    cluster.instance.signal("-STOP");
    let late = start_instance(cluster.store.address()).await;
    for instance in [&follower, &late] {
        wait_until("the other instances are known", async || {
            metric(instance, "medlarreel_members").await == 2
        })
        .await;
    }

    cluster.instance.signal("-CONT");
}

/// Guards against a failure domain that follows the store's old era because the store
/// turns its calls away.
#[tokio::test(flavor = "multi_thread")]
async fn instance_without_the_store_loads_the_new_era_from_the_leader() {
    let cluster = start_cluster().await;
    let (address, cut) = start_forwarder(cluster.store.address()).await;
    let follower = start_instance_in("b", address).await;
    let store = cluster.store.service();
    let backup = store.backup();
    cluster.publish_config(6);
    wait_for_version(&cluster, &follower, 6).await;

    cut.send_replace(true);
    store.set_unavailable(true);
    store.restore(backup);
    // The leader loads this version and passes no batch with it on.
    cluster.publish_config(7);
    store.set_unavailable(false);
    wait_for_version(&cluster, &follower, 7).await;
    cluster.publish_config(8);

    wait_for_version(&cluster, &follower, 8).await;
    assert!(is_ready(&follower).await);
}

/// Guards against an upstream that is not used for good after its removal was read: the
/// copy shows it as it was, and the store writes nothing while only its sequence changes.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_the_copy_shows_again_is_used_again() {
    let (mut cluster, follower) = start_pair().await;
    let upstream = upstream::start(any_port(), "p2", false).await.unwrap();
    let is_used_by = async |instance: &Instance, attempt: &str| {
        let request = request_text("GET", "/catalogue/x", attempt, "");
        send_request(instance.callers, &request).await;
        let runs = upstream.service().runs();
        runs.iter().any(|run| run.attempt == attempt)
    };
    cluster.register_plain_upstream("p2", upstream.address());
    for instance in [&cluster.instance, &follower] {
        wait_until("the upstream is used", async || {
            is_used_by(instance, "before").await
        })
        .await;
    }
    let store = cluster.store.service();
    let backup = store.backup();
    store.put("keyed.servers", "p2", b"");
    sleep(Duration::from_secs(1)).await;
    for _ in 0..10 {
        assert!(!is_used_by(&cluster.instance, "removed").await);
    }

    store.restore(backup);

    for (instance, attempt) in [(&cluster.instance, "leader"), (&follower, "follower")] {
        wait_until("the upstream is used again", async || {
            is_used_by(instance, attempt).await
        })
        .await;
    }
}

/// Guards against two holders of a key: the copy's record of owners lacks the last move,
/// and the leader that knows of it is lost.
#[tokio::test(flavor = "multi_thread")]
async fn keys_have_one_holder_after_a_restore_without_the_leader() {
    let (mut cluster, follower) = start_pair().await;
    let backup = cluster.store.service().backup();
    move_keys(&mut cluster).await;

    cluster.store.service().set_unavailable(true);
    cluster.instance.signal("-KILL");
    cluster.store.service().restore(backup);
    cluster.register_upstreams(0, "ready");
    cluster.store.service().set_unavailable(false);
    // The grants of the leader that was lost end in this time.
    check_holders_until(&cluster, |elapsed| elapsed >= LEASE_DURATION).await;
    check_holders_until(&cluster, |_| cluster.held_key_count() == KEY_COUNT).await;

    check_fences(&cluster);
    wait_until("requests are served", async || {
        serves_keyed(&follower).await
    })
    .await;
    check_holders_until(&cluster, |elapsed| elapsed >= LEASE_DURATION).await;
    assert_eq!(cluster.held_key_count(), KEY_COUNT);
}

/// Guards against a leader that gives its keys up after a restore, or that does not record
/// their owners again, so that its successor has to wait.
#[tokio::test(flavor = "multi_thread")]
async fn keys_stay_held_after_a_restore_and_a_later_loss_of_the_leader() {
    let (mut cluster, follower) = start_pair().await;
    let backup = cluster.store.service().backup();
    move_keys(&mut cluster).await;

    cluster.store.service().set_unavailable(true);
    cluster.store.service().restore(backup);
    cluster.register_upstreams(0, "draining");
    sleep(Duration::from_millis(500)).await;
    cluster.store.service().set_unavailable(false);
    let holder = cluster.keyed[1].service();
    let has_lapsed = Cell::new(false);
    check_holders_until(&cluster, |elapsed| {
        has_lapsed.set(has_lapsed.get() || holder.held_key_count() < KEY_COUNT);
        elapsed >= RECORDING_TIME
    })
    .await;
    cluster.instance.signal("-KILL");
    check_holders_until(&cluster, |elapsed| elapsed >= LEASE_DURATION * 3 / 2).await;

    assert!(!has_lapsed.get(), "keys were not held all the time");
    assert_eq!(holder.held_key_count(), KEY_COUNT);
    assert!(serves_keyed(&follower).await);
    check_fences(&cluster);
}
