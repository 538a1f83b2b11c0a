//! Traffic reports and reuse of lanes whose permit has ended.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use medlarreel::clock::Clock;
use medlarreel::dispatch::{BufferedResponse, ExchangeError, Lane, Lanes};
use medlarreel_core::ids::Upstream;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::fixture::*;

const UPSTREAM: Upstream = Upstream(0);

/// Starts a listener that accepts connections and never responds.
async fn unresponsive_listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            held.push(stream);
        }
    });
    address
}

/// Creates a lane with an open exchange.
async fn busy_lane(
    clock: Clock,
) -> (
    Arc<Lane>,
    JoinHandle<Result<BufferedResponse, ExchangeError>>,
) {
    let lane = lane(clock, unresponsive_listener().await);
    let exchange = tokio::spawn({
        let lane = lane.clone();
        async move {
            let request = http::Request::get("/x").header("host", "test");
            let request = request.body(Default::default()).expect("is valid");
            lane.exchange(clock, None, None, request, TEST_TIMEOUT * 10, 1_024)
                .await
        }
    });
    eventually(|| lane.pool().open_connections() == 1).await;
    (lane, exchange)
}

/// Number of exchanges and connections reported for the upstream.
fn reported_traffic(lanes: &mut Lanes) -> Option<(u32, u32)> {
    let traffic = lanes.take_traffic();
    let traffic = traffic.iter().find(|(upstream, _)| *upstream == UPSTREAM);
    traffic.map(|(_, traffic)| (traffic.exchanges, traffic.connections))
}

/// Guards against acknowledging a stop of dispatch while an exchange is open, because the
/// lane was dropped when its permit ended.
#[tokio::test]
async fn a_retired_lane_is_reported_until_it_has_closed() {
    let (lane, exchange) = busy_lane(Clock::start()).await;
    let mut lanes = Lanes::default();
    lanes.replace_active(HashMap::from([(UPSTREAM, lane.clone())]));

    lanes.replace_active(HashMap::new());

    assert!(lanes.active().is_empty());
    assert_eq!(reported_traffic(&mut lanes), Some((1, 1)));
    exchange.abort();
    eventually(|| lane.in_flight() == 0 && lane.pool().open_connections() == 0).await;
    assert_eq!(
        reported_traffic(&mut lanes),
        Some((0, 0)),
        "its end is reported"
    );
    assert_eq!(reported_traffic(&mut lanes), None);
}

/// Guards against exceeding the slots and connections of an upstream: exchanges of a lane
/// whose permit has lapsed may still be open when the upstream is assigned again, and a
/// new lane would not count them.
#[tokio::test]
async fn a_retired_lane_with_open_exchanges_is_reused() {
    let (lane, exchange) = busy_lane(Clock::start()).await;
    let address = lane.pool().address();
    let mut lanes = Lanes::default();
    lanes.replace_active(HashMap::from([(UPSTREAM, lane.clone())]));
    lanes.replace_active(HashMap::new());

    let found = lanes.find(UPSTREAM, address).expect("is still open");
    lanes.replace_active(HashMap::from([(UPSTREAM, found.clone())]));

    assert!(Arc::ptr_eq(&found, &lane));
    assert_eq!(reported_traffic(&mut lanes), Some((1, 1)));
    exchange.abort();
}

/// Guards against omitting exchanges at a former address of an upstream from its report.
#[tokio::test]
async fn lanes_to_two_addresses_of_an_upstream_are_reported_together() {
    let clock = Clock::start();
    let (old, first) = busy_lane(clock).await;
    let (new, second) = busy_lane(clock).await;
    let mut lanes = Lanes::default();
    lanes.replace_active(HashMap::from([(UPSTREAM, old)]));

    lanes.replace_active(HashMap::from([(UPSTREAM, new)]));

    assert_eq!(reported_traffic(&mut lanes), Some((2, 2)));
    first.abort();
    second.abort();
}
