//! Metrics for operators.

use std::collections::HashMap;
use std::sync::Arc;

use http::Method;
use medlarreel::app::{App, Snapshot};
use medlarreel::metrics::fleet::shard_imbalance;
use medlarreel_core::fold::Place;
use medlarreel_core::ids::{Club, Upstream};
use medlarreel_core::preset::Rank;

use crate::fixture::*;

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn metrics_text(app: &App) -> String {
    app.metrics.encode(app, &app.snapshot())
}

/// Value of the sample with the given name and labels.
fn sample_value(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().parse().ok()
}

fn places_owned(counts: &[usize]) -> Vec<Place> {
    let upstreams = (0..).map(Upstream).zip(counts);
    let places = upstreams.flat_map(|(upstream, count)| {
        let owner = Some(upstream);
        let place = Place {
            owner,
            ..Place::default()
        };
        std::iter::repeat_n(place, *count)
    });
    places.collect()
}

/// Guards against an imbalance that counts shards without an owner, and against a value
/// when no shard has an owner.
#[test]
fn shard_imbalance_ignores_shards_without_an_owner() {
    let mut places = places_owned(&[6, 3, 3]);
    places.push(Place::default());

    assert_eq!(shard_imbalance(&places), Some(1.5));
    assert_eq!(shard_imbalance(&places_owned(&[])), None);
}

/// Guards against cached metric handles losing or duplicating counts.
#[tokio::test]
async fn every_request_is_counted_once() {
    let (address, _) = scripted_server(&[OK_RESPONSE]).await;
    let app = instance(&[local_upstream("workshop", address)], address);

    for _ in 0..3 {
        call(
            &app,
            Method::GET,
            "/workshop/x",
            &[("medlar-rank", "status")],
        )
        .await;
    }
    call(
        &app,
        Method::GET,
        "/workshop/x",
        &[("medlar-club", "souss")],
    )
    .await;

    let text = metrics_text(&app);
    let name = |rank: &str, club: &str| {
        format!(
            "medlarreel_requests_total{{service=\"workshop\",rank=\"{rank}\",club=\"{club}\",code=\"0\"}}"
        )
    };
    assert_eq!(
        sample_value(&text, &name("status", "kashmir")),
        Some(3.0),
        "{text}"
    );
    assert_eq!(
        sample_value(&text, &name("archive", "souss")),
        Some(1.0),
        "{text}"
    );
    let latency = "medlarreel_latency_seconds_count{service=\"workshop\",rank=\"status\"}";
    assert_eq!(sample_value(&text, latency), Some(3.0), "{text}");
}

/// Guards against reporting shards without a reachable owner as available, and against
/// not counting moves.
#[tokio::test]
async fn shards_without_a_reachable_owner_and_moves_are_counted() {
    let (address, _) = scripted_server(&[OK_RESPONSE]).await;
    let app = instance(
        &[
            local_upstream("intake", address),
            local_upstream("intake", address),
        ],
        address,
    );
    let unavailable = "medlarreel_shards_unavailable{service=\"intake\"}";
    let before = metrics_text(&app);
    let lane = app.snapshot().lanes[&Upstream(0)].clone();

    lane.retire();
    let after = metrics_text(&app);
    let moved = with_moved_shards(&app.snapshot());
    app.publish(moved);

    assert_eq!(sample_value(&before, unavailable), Some(0.0), "{before}");
    assert_eq!(sample_value(&after, unavailable), Some(64.0), "{after}");
    let text = metrics_text(&app);
    let changes = "medlarreel_ownership_changes_total{service=\"intake\"}";
    assert_eq!(sample_value(&text, changes), Some(2.0), "{text}");
    assert_eq!(
        sample_value(&text, "medlarreel_log_reachable"),
        Some(1.0),
        "{text}"
    );
}

/// Snapshot after two shards have moved to the second upstream.
fn with_moved_shards(snapshot: &Snapshot) -> Snapshot {
    let mut state = snapshot.state.as_ref().clone();
    move_shards(&mut state, &[3, 4], Upstream(1));
    Snapshot {
        established: true,
        log_reachable: true,
        table: medlarreel_core::route::RoutingTable::new(&state),
        state: Arc::new(state),
        holder: None,
        lanes: HashMap::new(),
        peers: HashMap::new(),
    }
}

/// Guards against queue lengths, slots and lease times missing from the metrics.
#[tokio::test]
async fn queues_and_slots_are_exported() {
    let (address, _) = scripted_server(&[OK_RESPONSE]).await;
    let app = instance(&[local_upstream("workshop", address)], address);
    let lane = app.snapshot().lanes[&Upstream(0)].clone();
    lane.update_permit(app.clock.now(), permit(app.clock, 1), limits(1));
    let deadline = app.clock.now() + TEST_TIMEOUT;
    let slot = lane
        .acquire_slot(app.clock, Rank::Order, Club(0), deadline)
        .await;
    let waiting = tokio::spawn({
        let (lane, clock) = (lane.clone(), app.clock);
        async move {
            let slot = lane
                .acquire_slot(clock, Rank::Order, Club(0), deadline)
                .await;
            slot.map(drop)
        }
    });
    eventually(|| lane.waiting_by_rank() == [0, 1, 0]).await;

    let text = metrics_text(&app);

    let order = "medlarreel_queue_length{rank=\"order\"}";
    assert_eq!(sample_value(&text, order), Some(1.0), "{text}");
    let busy = "medlarreel_slots_busy{upstream=\"upstream-0\"}";
    assert_eq!(sample_value(&text, busy), Some(1.0), "{text}");
    let allowed = "medlarreel_slots_allowed{upstream=\"upstream-0\"}";
    assert_eq!(sample_value(&text, allowed), Some(6.0), "{text}");
    let lease = "medlarreel_lease_left_seconds{upstream=\"upstream-0\"}";
    assert!(
        sample_value(&text, lease).is_some_and(|left| left > 0.0),
        "{text}"
    );
    drop(slot);
    assert!(waiting.await.expect("ends").is_ok());
}
