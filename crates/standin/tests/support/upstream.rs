//! Helpers of the upstream tests.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_core::grant::{Request, Response};
use medlarreel_core::ids::{Ballot, Epoch, Instance, Offset, Version};
use medlarreel_core::preset::Fencing;
use medlarreel_standin::client::{self, ClientRequest};
use medlarreel_standin::server::{Server, any_port};
use medlarreel_standin::upstream::{Config, Phase, Upstream, start};

use crate::support::{eventually, send};

/// Upper bound of the duration of a test. Leases, runs and cold starts of this length do
/// not end during a test.
pub const MAX_TEST_DURATION: Duration = Duration::from_secs(600);

/// Shard in the grants and keyed requests of the tests.
pub const SHARD: u16 = 7;

/// Starts an upstream on a free port.
pub async fn start_upstream(config: Config) -> Server<Upstream> {
    start(any_port(), config)
        .await
        .expect("the upstream starts")
}

/// Starts an unchecked upstream on a free port.
pub async fn start_unchecked(config: Config) -> Server<Upstream> {
    start_upstream(Config {
        fencing: Fencing::Unchecked,
        ..config
    })
    .await
}

/// Epoch with the given count; its other components are the same in all tests.
pub fn epoch(count: u64) -> Epoch {
    Epoch {
        term: Offset(1),
        round: 2,
        count,
    }
}

/// Request for `SHARD` under an epoch.
pub fn keyed_request(epoch: Epoch) -> ClientRequest {
    let request = ClientRequest::get("/intake/x").with_header("medlar-shard", &SHARD.to_string());
    request.with_header("medlar-epoch", &epoch.to_string())
}

/// Queries the state of the grants.
pub async fn query_grants(address: SocketAddr) -> Response {
    let response = send(address, ClientRequest::get("/medlar/grant")).await;
    response.json().expect("the response follows the protocol")
}

/// Grant of `SHARD` under `epoch`, valid for `duration` from now on.
pub async fn grant_request(address: SocketAddr, epoch: Epoch, duration: Duration) -> Request {
    let state = query_grants(address).await;
    let ballot = Ballot {
        term: Offset(1),
        round: 2,
        instance: Instance(3),
    };
    Request {
        version: Version {
            ballot,
            count: epoch.count,
        },
        incarnation: state.incarnation,
        shards: vec![(SHARD, epoch)],
        allowance: 6,
        deadline: state.clock + duration,
    }
}

/// Sends a grant.
pub async fn send_grant(address: SocketAddr, request: &Request) -> Response {
    let response = send(address, ClientRequest::post_json("/medlar/grant", request)).await;
    response.json().expect("the response follows the protocol")
}

/// Grants `SHARD` under `epoch` until after the end of the test.
pub async fn grant_shard(address: SocketAddr, epoch: Epoch) {
    let request = grant_request(address, epoch, MAX_TEST_DURATION).await;
    assert!(send_grant(address, &request).await.accepted);
}

/// Sends a request in the background and waits until its run has started.
pub async fn start_run(
    server: &Server<Upstream>,
    request: ClientRequest,
) -> tokio::task::JoinHandle<client::ClientResponse> {
    let (address, before) = (server.address(), server.service().runs(0).total);
    let task = tokio::spawn(async move { send(address, request).await });
    eventually(|| server.service().runs(0).total > before).await;
    task
}

/// Status, code and outcome of a response.
pub fn response_summary(response: &client::ClientResponse) -> (u16, Option<&str>, Option<&str>) {
    (
        response.status,
        response.header("medlar-code"),
        response.header("medlar-outcome"),
    )
}

/// Status, code and outcome of a response to a request that was not run.
pub fn not_run(code: &str) -> (u16, Option<&str>, Option<&str>) {
    (503, Some(code), Some("not-run"))
}

/// Phases of the recorded runs.
pub fn run_phases(server: &Server<Upstream>) -> Vec<Phase> {
    server
        .service()
        .runs(0)
        .runs
        .iter()
        .map(|run| run.phase)
        .collect()
}
