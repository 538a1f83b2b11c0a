//! Helpers of the upstream's tests.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_core::grant::{Request, Response};
use medlarreel_core::ids::{Ballot, Epoch, Instance, Offset, Version};
use medlarreel_core::preset::Fencing;
use medlarreel_standin::client::{self, ClientRequest};
use medlarreel_standin::server::{Server, any_port};
use medlarreel_standin::upstream::{Config, Phase, Upstream, start};

use crate::support::{eventually, send};

/// Work that does not end within a test.
pub const ENDLESS: Duration = Duration::from_secs(600);

/// Shard that the tests' grants contain.
pub const SHARD: u16 = 7;

/// Starts an upstream.
pub async fn upstream(config: Config) -> Server<Upstream> {
    start(any_port(), config)
        .await
        .expect("the upstream starts")
}

/// Starts an unchecked upstream.
pub async fn unchecked(config: Config) -> Server<Upstream> {
    upstream(Config {
        fencing: Fencing::Unchecked,
        ..config
    })
    .await
}

/// Epoch that differs in its counter.
pub fn epoch(count: u64) -> Epoch {
    Epoch {
        term: Offset(1),
        round: 2,
        count,
    }
}

/// Request for the shard under an epoch.
pub fn keyed(epoch: Epoch) -> ClientRequest {
    let ask = ClientRequest::get("/intake/x").with_header("medlar-shard", &SHARD.to_string());
    ask.with_header("medlar-epoch", &epoch.to_string())
}

/// Asks for the grants in force.
pub async fn query(to: SocketAddr) -> Response {
    let answer = send(to, ClientRequest::get("/medlar/grant")).await;
    answer.json().expect("the answer follows the contract")
}

/// Grant of the shard under `epoch`, valid for `length` from now on.
pub async fn grant_request(to: SocketAddr, epoch: Epoch, length: Duration) -> Request {
    let state = query(to).await;
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
        deadline: state.clock + length,
    }
}

/// Sends a grant.
pub async fn grant(to: SocketAddr, request: &Request) -> Response {
    let answer = send(to, ClientRequest::post_json("/medlar/grant", request)).await;
    answer.json().expect("the answer follows the contract")
}

/// Grants the shard for as long as a test may take.
pub async fn hold(to: SocketAddr, epoch: Epoch) {
    let request = grant_request(to, epoch, ENDLESS).await;
    assert!(grant(to, &request).await.accepted);
}

/// Sends a request in the background and waits until it runs.
pub async fn running(
    server: &Server<Upstream>,
    ask: ClientRequest,
) -> tokio::task::JoinHandle<client::ClientResponse> {
    let (address, before) = (server.address(), server.service().runs(0).total);
    let task = tokio::spawn(async move { send(address, ask).await });
    eventually(|| server.service().runs(0).total > before).await;
    task
}

/// Status and code of an answer.
pub fn verdict(answer: &client::ClientResponse) -> (u16, Option<&str>, Option<&str>) {
    (
        answer.status,
        answer.header("medlar-code"),
        answer.header("medlar-outcome"),
    )
}

/// Verdict on a request that was not run.
pub fn not_run(code: &str) -> (u16, Option<&str>, Option<&str>) {
    (503, Some(code), Some("not-run"))
}

/// Phases of the recorded runs.
pub fn phases(server: &Server<Upstream>) -> Vec<Phase> {
    server
        .service()
        .runs(0)
        .runs
        .iter()
        .map(|run| run.phase)
        .collect()
}
