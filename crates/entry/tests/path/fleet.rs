//! Several instances of one fleet.

use crate::fixture::{Instance, metric, start_cluster, start_followers, wait_until};

/// Metric that counts reads of the configuration.
const READS: &str = "medlarreel_calls_total{kind=\"config\",outcome=\"done\"}";

/// Number of reads of the configuration that an instance has made.
async fn read_count(instance: &Instance) -> u64 {
    metric(instance, READS).await
}

/// Guards against a store that all instances read at once while there is no leader. In a
/// fleet of 295 instances this took thousands of calls, of which the store refused many.
#[tokio::test(flavor = "multi_thread")]
async fn instances_without_a_leader_do_not_all_read_the_store() {
    let cluster = start_cluster().await;
    let followers = start_followers(&cluster, 10).await;
    let mut reads_before = Vec::new();
    for follower in &followers {
        reads_before.push(read_count(follower).await);
    }

    cluster.instance.signal("-STOP");
    wait_until("another instance leads", async || {
        let mut leaders = 0;
        for follower in &followers {
            leaders += metric(follower, "medlarreel_leads").await;
        }
        leaders > 0
    })
    .await;
    cluster.publish_config(2);
    for follower in &followers {
        wait_until("all use the new configuration", async || {
            metric(follower, "medlarreel_config_version").await == 2
        })
        .await;
    }

    cluster.instance.signal("-CONT");
    let mut readers = 0;
    for (follower, before) in followers.iter().zip(reads_before) {
        readers += usize::from(read_count(follower).await > before);
    }
    assert!(
        readers <= followers.len() / 2,
        "{readers} instances have read"
    );
}
