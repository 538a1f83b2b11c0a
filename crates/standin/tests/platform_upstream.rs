//! Tests of the platform's upstream: targets of grants, restarts and recorded grants.

mod support;

use std::ops::RangeInclusive;

use medlarreel_standin::client::{ClientRequest, ClientResponse, Connection};
use medlarreel_standin::error::Error;
use medlarreel_standin::platform::upstream::{AcceptedGrant, ResponseMode, Upstream, start};
use medlarreel_standin::server::{Server, any_port};
use serde_json::json;
use support::{EVENT_TIMEOUT, eventually, send};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

async fn start_upstream() -> Server<Upstream> {
    start(any_port(), "i-1", true)
        .await
        .expect("the upstream starts")
}

/// Grant that does not expire during a test.
fn grant_request(keys: RangeInclusive<u16>, fence: u64) -> ClientRequest {
    let body = json!({"from": keys.start(), "target": keys.end(), "fence": fence, "holdS": 600});
    ClientRequest::post_json("/medlarreel/grant", &body)
}

fn release_request(keys: RangeInclusive<u16>, fence: u64) -> ClientRequest {
    let body = json!({"from": keys.start(), "target": keys.end(), "fence": fence});
    ClientRequest::post_json("/medlarreel/release", &body)
}

async fn send_grant(server: &Server<Upstream>, keys: RangeInclusive<u16>, fence: u64) -> u16 {
    send(server.address(), grant_request(keys, fence))
        .await
        .status
}

fn status_and_instance(response: &ClientResponse) -> (u16, Option<&str>) {
    (response.status, response.header("instance-id"))
}

/// Guards against an upstream that takes or loses keys by a call meant for another one.
#[tokio::test]
async fn grants_and_releases_for_another_upstream_are_refused_without_effect() {
    let server = start_upstream().await;
    let address = server.address();
    let own_grant = grant_request(1..=2, 5).with_header("target-instance", "i-1");
    assert_eq!(send(address, own_grant).await.status, 200);

    let grant = grant_request(2..=3, 9).with_header("target-instance", "i-2");
    let grant = send(address, grant).await;
    let release = release_request(1..=2, 9).with_header("target-instance", "i-2");
    let release = send(address, release).await;

    assert_eq!(status_and_instance(&grant), (421, Some("i-1")));
    assert_eq!(status_and_instance(&release), (421, Some("i-1")));
    assert_eq!(
        [1, 2, 3].map(|key| server.service().holds(key)),
        [true, true, false]
    );
    assert_eq!(server.service().accepted_grants().len(), 1);
    // A fence of 9 that had been taken in would refuse this one.
    assert_eq!(send_grant(&server, 1..=3, 6).await, 200);
}

/// Guards against a restart that keeps leases, fences or the former id.
#[tokio::test]
async fn a_restarted_upstream_holds_no_keys_and_knows_no_fences() {
    let server = start_upstream().await;
    send_grant(&server, 1..=2, 5).await;

    server.service().restart("i-2");

    assert_eq!(server.service().held_key_count(), 0);
    let stale = grant_request(1..=2, 5).with_header("target-instance", "i-1");
    let stale = send(server.address(), stale).await;
    assert_eq!(status_and_instance(&stale), (421, Some("i-2")));
    assert_eq!(send_grant(&server, 1..=1, 4).await, 200);
    assert_eq!(server.service().held_key_count(), 1);
}

/// Guards against a restart that keeps a connection, whether idle, unused or busy with a
/// request.
#[tokio::test]
async fn a_restart_closes_all_connections_and_cancels_their_requests() {
    let server = start_upstream().await;
    let (address, service) = (server.address(), server.service().clone());
    let mut idle = Connection::open(address).await.expect("it listens");
    let granted = idle.send(grant_request(7..=7, 5)).await;
    assert_eq!(granted.expect("a response arrives").status, 200);
    let mut unused = TcpStream::connect(address).await.expect("it listens");
    service.set_mode(ResponseMode::Serve(EVENT_TIMEOUT));
    let request = ClientRequest::get("/x").with_header("shard-key", "7");
    let busy = tokio::spawn(request.send(address, EVENT_TIMEOUT));
    eventually(|| service.runs().len() == 1).await;

    service.restart("i-1");

    assert!(idle.send(grant_request(7..=7, 5)).await.is_err());
    let busy = busy.await.expect("the request does not panic");
    assert!(!matches!(busy, Ok(_) | Err(Error::Timeout)), "{busy:?}");
    let read = tokio::time::timeout(EVENT_TIMEOUT, unused.read(&mut [0])).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
    assert_eq!(
        (service.held_key_count(), service.finished_run_count()),
        (0, 0)
    );
    assert_eq!(send_grant(&server, 7..=7, 6).await, 200);
}

/// Guards against records that omit a renewal, contain a refused grant, or do not
/// distinguish incarnations with the same id.
#[tokio::test]
async fn accepted_grants_are_recorded_with_their_incarnation() {
    let server = start_upstream().await;

    send_grant(&server, 1..=2, 5).await;
    send_grant(&server, 1..=2, 5).await;
    assert_eq!(send_grant(&server, 2..=3, 4).await, 409);
    server.service().restart("i-1");
    send_grant(&server, 2..=3, 4).await;

    let grant = |incarnation, first_key, last_key, fence| AcceptedGrant {
        id: "i-1".to_owned(),
        incarnation,
        first_key,
        last_key,
        fence,
        has_handover: false,
    };
    let expected = [grant(0, 1, 2, 5), grant(0, 1, 2, 5), grant(1, 2, 3, 4)];
    assert_eq!(server.service().accepted_grants(), expected);
}
