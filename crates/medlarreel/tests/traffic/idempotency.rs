//! Deduplication of non-idempotent requests, which must run at most once.

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

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn post_with_key(app: &Arc<App>, key: &str, attempt: &str) -> BufferedResponse {
    let headers = [("idempotency-key", key), ("medlar-attempt", attempt)];
    call(app, Method::POST, "/workshop/x", &headers).await
}

/// Guards against a key counting as in progress forever after its request was cancelled,
/// which would also fill the table.
#[tokio::test]
async fn a_key_whose_request_was_cancelled_is_unknown() {
    let config = Config {
        work_time: TEST_TIMEOUT * 10,
        fencing: medlarreel_core::preset::Fencing::Unchecked,
        ..Config::default()
    };
    let upstream = start(any_port(), config).await.expect("starts");
    let address = upstream.address();
    let app = instance(&[local_upstream("workshop", address)], address);
    let first = tokio::spawn({
        let app = app.clone();
        async move { post_with_key(&app, "a", "1").await }
    });
    eventually(|| upstream.service().runs(0).total == 1).await;

    let during = post_with_key(&app, "a", "1").await;
    first.abort();
    assert!(first.await.is_err(), "it was cancelled");
    let after = post_with_key(&app, "a", "1").await;

    assert_eq!(code_and_outcome(&during), ("303", "unknown"));
    assert_eq!(code_and_outcome(&after), ("304", "unknown"));
    assert_eq!(upstream.service().runs(0).total, 1);
}

/// Guards against running a repeated request soon after this instance became the
/// dispatcher, when the previous dispatcher may have run the first attempt.
#[tokio::test]
async fn a_repeat_within_the_key_retention_after_a_move_is_not_run() {
    let (address, requests) = scripted_server(&[OK_RESPONSE]).await;
    let app = instance(&[local_upstream("workshop", address)], address);

    let repeat = post_with_key(&app, "a", "2").await;

    assert_eq!(code_and_outcome(&repeat), ("304", "unknown"));
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// Guards against running a repeated request without a key, which cannot be deduplicated.
#[tokio::test]
async fn a_repeat_without_a_key_is_not_run() {
    let (address, requests) = scripted_server(&[OK_RESPONSE]).await;
    let app = instance(&[local_upstream("workshop", address)], address);

    let headers = [("medlar-attempt", "2")];
    let repeat = call(&app, Method::POST, "/workshop/x", &headers).await;

    assert_eq!(code_and_outcome(&repeat), ("304", "unknown"));
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// Guards against running a repeated request again, or refusing it, although its
/// response is stored.
#[tokio::test]
async fn a_repeat_gets_the_stored_response() {
    let (address, requests) = scripted_server(&[OK_RESPONSE]).await;
    let app = instance(&[local_upstream("workshop", address)], address);
    let first = post_with_key(&app, "a", "1").await;

    let repeat = post_with_key(&app, "a", "2").await;

    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(repeat.body, first.body);
    assert_eq!(requests.load(Ordering::SeqCst), 1);
}

fn shard(index: u16) -> Option<Shard> {
    let service = Service(0);
    Some(Shard { service, index })
}

fn lane_without_permit() -> Lane {
    Lane::new(Pool::new(any_port(), 1), limits(6))
}

/// Guards against counting a shard that moves to a lane later as exclusive from the
/// start of the lane.
#[test]
fn a_shard_is_exclusive_from_the_time_it_arrives() {
    let lane = lane_without_permit();
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

/// Guards against ignoring a gap in the lease, during which another dispatcher may have
/// sent requests.
#[test]
fn exclusivity_restarts_after_a_gap() {
    let lane = lane_without_permit();
    let clock = Clock::start();
    lane.update_permit(clock.now(), permit(clock, 1), limits(6));
    let late = clock.now() + Duration::from_secs(1_000);
    let mut next = permit(clock, 1);
    next.until = Time(u64::MAX);

    lane.update_permit(late, next, limits(6));

    assert_eq!(lane.exclusive_since(shard(7)), Some(late));
    assert_eq!(lane.exclusive_since(None), Some(late));
}

/// Guards against relying on this lane's keys alone while the backup dispatcher may also
/// send requests.
#[test]
fn nothing_is_exclusive_while_another_instance_may_send() {
    let lane = lane_without_permit();
    let clock = Clock::start();
    let mut shared = permit(clock, 1);
    shared.exclusive = false;

    lane.update_permit(clock.now(), shared, limits(6));

    assert_eq!(lane.exclusive_since(shard(7)), None);
    assert_eq!(lane.exclusive_since(None), None);
}
