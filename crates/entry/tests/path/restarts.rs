//! Upstreams that end, and start again at the same address before the leader knows.

use std::time::Duration;

use medlarreel_core::entry::leadership::STALE_RECORD_AGE;
use medlarreel_standin::platform::upstream::AcceptedGrant;
use tokio::time::sleep;

use crate::fixture::{TestCluster, start_cluster, wait_until};

/// Time in which the leader sends each upstream several renewals.
const SEVERAL_RENEWALS: Duration = Duration::from_secs(4);

/// Grants that the first keyed upstream has accepted before and after its restart.
fn grants_around_restart(cluster: &TestCluster) -> (Vec<AcceptedGrant>, Vec<AcceptedGrant>) {
    let grants = cluster.keyed[0].service().accepted_grants();
    grants.into_iter().partition(|grant| grant.incarnation == 0)
}

/// Guards against a renewal that grants keys to another upstream at the same address.
#[tokio::test(flavor = "multi_thread")]
async fn renewal_does_not_reach_the_next_upstream_at_an_address() {
    let cluster = start_cluster().await;

    cluster.keyed[0].service().restart("another");
    sleep(SEVERAL_RENEWALS).await;

    let (before, after) = grants_around_restart(&cluster);
    assert!(!before.is_empty());
    assert!(after.is_empty(), "{after:?}");
    wait_until("the other upstream holds all keys", async || {
        cluster.keyed[1].service().held_key_count() == 1 << 16
    })
    .await;
}

/// Guards against a restarted upstream that takes keys with fencing tokens which its former
/// process has had.
#[tokio::test(flavor = "multi_thread")]
async fn renewal_of_a_restarted_upstream_has_a_new_fence() {
    let cluster = start_cluster().await;

    cluster.keyed[0].service().restart("k0");
    sleep(SEVERAL_RENEWALS).await;

    let (before, after) = grants_around_restart(&cluster);
    let highest = before.iter().map(|grant| grant.fence).max();
    assert!(!after.is_empty());
    assert!(
        after.iter().all(|grant| Some(grant.fence) > highest),
        "{highest:?}: {after:?}"
    );
}

/// Guards against two holders of a key: a leader that can't reach the store may have been
/// replaced, and an upstream that has restarted under its id has forgotten the later leader.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_upstream_gets_no_grants_while_the_leader_may_be_replaced() {
    let cluster = start_cluster().await;

    cluster.store.service().set_unavailable(true);
    // Longer than the topic must stand still before another instance may lead.
    sleep(STALE_RECORD_AGE * 2).await;
    cluster.keyed[0].service().restart("k0");
    sleep(SEVERAL_RENEWALS).await;
    let (_, during_outage) = grants_around_restart(&cluster);
    cluster.store.service().set_unavailable(false);
    wait_until("all keys are held", async || {
        cluster.held_key_count() == 1 << 16
    })
    .await;

    let (_, after_outage) = grants_around_restart(&cluster);
    assert!(during_outage.is_empty(), "{during_outage:?}");
    assert!(!after_outage.is_empty());
}

/// Guards against keys that nobody serves while the store is away: a leader that may have been
/// replaced opens no connections, and a leaving upstream closes each one after its reply.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_closes_connections_keeps_its_keys_while_the_store_is_away() {
    let cluster = start_cluster().await;

    cluster.store.service().set_unavailable(true);
    cluster.keyed[0].service().close_after_responses();
    // Longer than a lease after the last moment at which the leader may connect.
    sleep(STALE_RECORD_AGE + SEVERAL_RENEWALS * 2).await;

    assert_eq!(cluster.held_key_count(), 1 << 16);
}
