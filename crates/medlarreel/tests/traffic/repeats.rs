//! Non-idempotent requests run at most once.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Method, StatusCode};
use medlarreel::app::App;
use medlarreel::clock::Clock;
use medlarreel::dispatch::{BufferedResponse, Lane, Pool};
use medlarreel_core::ids::{Service, Shard};
use medlarreel_core::time::Time;
use medlarreel_standin::server::any_port;
use medlarreel_standin::upstream::{Config, start};

use crate::fixture::*;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn order(app: &Arc<App>, key: &str, attempt: &str) -> BufferedResponse {
    let headers = [("idempotency-key", key), ("medlar-attempt", attempt)];
    call(app, Method::POST, "/workshop/x", &headers).await
}

/// Guards against a key that counts as running for good after its caller has
/// left, which would also fill the table.
#[tokio::test]
async fn a_key_whose_caller_left_is_unknown() {
    let config = Config {
        work_time: LONG * 10,
        fencing: medlarreel_core::preset::Fencing::Unchecked,
        ..Config::default()
    };
    let upstream = start(any_port(), config).await.expect("starts");
    let address = upstream.address();
    let app = instance(&[place("workshop", address)], address);
    let first = tokio::spawn({
        let app = app.clone();
        async move { order(&app, "a", "1").await }
    });
    eventually(|| upstream.service().runs(0).total == 1).await;

    let during = order(&app, "a", "1").await;
    first.abort();
    assert!(first.await.is_err(), "it was cancelled");
    let after = order(&app, "a", "1").await;

    assert_eq!(verdict(&during), ("303", "unknown"));
    assert_eq!(verdict(&after), ("304", "unknown"));
    assert_eq!(upstream.service().runs(0).total, 1);
}

/// Guards against a repeat running again right after this instance became the
/// dispatcher, when its predecessor may have run the first attempt.
#[tokio::test]
async fn a_repeat_within_the_longest_key_age_of_a_move_is_not_run() {
    let (address, requests) = speaker(&[OK]).await;
    let app = instance(&[place("workshop", address)], address);

    let repeat = order(&app, "a", "2").await;

    assert_eq!(verdict(&repeat), ("304", "unknown"));
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// Guards against a repeat without a key, which nothing can recognise, running
/// a second time.
#[tokio::test]
async fn a_repeat_without_a_key_is_not_run() {
    let (address, requests) = speaker(&[OK]).await;
    let app = instance(&[place("workshop", address)], address);

    let headers = [("medlar-attempt", "2")];
    let repeat = call(&app, Method::POST, "/workshop/x", &headers).await;

    assert_eq!(verdict(&repeat), ("304", "unknown"));
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// Guards against a stored answer being withheld from a repeat.
#[tokio::test]
async fn a_repeat_gets_the_stored_answer() {
    let (address, requests) = speaker(&[OK]).await;
    let app = instance(&[place("workshop", address)], address);
    let first = order(&app, "a", "1").await;

    let repeat = order(&app, "a", "2").await;

    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(repeat.body, first.body);
    assert_eq!(requests.load(Ordering::SeqCst), 1);
}

fn shard(index: u16) -> Option<Shard> {
    let service = Service(0);
    Some(Shard { service, index })
}

fn unpermitted() -> Lane {
    Lane::new(Pool::new(any_port(), 1), limits(6))
}

/// Guards against a shard that moves to a lane later being counted as covered
/// from the start of the lane.
#[test]
fn a_shard_is_covered_from_the_moment_it_arrives() {
    let lane = unpermitted();
    let clock = Clock::start();
    let (early, late) = (clock.now(), clock.now() + Duration::from_secs(100));
    let mut permit = permit(clock, 1);
    lane.update_permit(early, permit.clone(), limits(6));

    permit.shards.insert(7, epoch(2));
    lane.update_permit(late, permit, limits(6));

    assert_eq!(lane.exclusive_since(shard(7)), Some(late));
    assert_eq!(lane.exclusive_since(shard(8)), Some(early));
    assert_eq!(lane.exclusive_since(None), Some(early));
}

/// Guards against a gap in the lease, in which another dispatcher may have
/// sent, being counted as covered.
#[test]
fn coverage_starts_again_after_a_gap() {
    let lane = unpermitted();
    let clock = Clock::start();
    lane.update_permit(clock.now(), permit(clock, 1), limits(6));
    let late = clock.now() + Duration::from_secs(1_000);
    let mut next = permit(clock, 1);
    next.until = Time(u64::MAX);

    lane.update_permit(late, next, limits(6));

    assert_eq!(lane.exclusive_since(shard(7)), Some(late));
    assert_eq!(lane.exclusive_since(None), Some(late));
}

/// Guards against relying on this table alone while a backup may send too.
#[test]
fn nothing_is_covered_while_another_instance_may_send() {
    let lane = unpermitted();
    let clock = Clock::start();
    let mut shared = permit(clock, 1);
    shared.exclusive = false;

    lane.update_permit(clock.now(), shared, limits(6));

    assert_eq!(lane.exclusive_since(shard(7)), None);
    assert_eq!(lane.exclusive_since(None), None);
}
