//! Upstreams that say in their responses that they are leaving, or that an instance shall send
//! them nothing for some time.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_standin::platform::upstream::{ResponseMode, Upstream};
use medlarreel_standin::server::Server;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::fixture::{
    TestCluster, request_text, send_request, start_cluster, start_followers, wait_until,
};

/// `drain` in the settings of the instances.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Number of requests at a time that two upstreams run.
const CROWD: usize = 24;

/// Sends a request about every 10 ms to the instances in turn, and returns how many were
/// served.
async fn send_requests(callers: &[SocketAddr], path: &str, duration: Duration) -> usize {
    let end = Instant::now() + duration;
    let mut served = 0;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let request = request_text("GET", path, &format!("n{number}"), "");
        let response = send_request(callers[number % callers.len()], &request).await;
        served += usize::from(response.starts_with("HTTP/1.1 200"));
        sleep(Duration::from_millis(10)).await;
    }
    served
}

/// Owner of the key of all requests.
fn key_owner(cluster: &TestCluster) -> &Server<Upstream> {
    let mut upstreams = cluster.keyed.iter();
    let owner = upstreams.find(|upstream| upstream.service().holds(77));
    owner.unwrap()
}

/// Number of requests that have reached an upstream since `start`.
fn arrivals_since(upstream: &Server<Upstream>, start: Instant) -> usize {
    let arrivals = upstream.service().arrivals();
    arrivals.iter().filter(|at| **at >= start).count()
}

/// Sends requests until one has reached each of the upstreams. An idle instance sends requests
/// without a key to the first upstream in its own order, so these are so many at a time that
/// the second plain upstream alone can't run them.
async fn send_until_reached(
    cluster: &TestCluster,
    callers: &[SocketAddr],
    upstreams: &[&Server<Upstream>],
) {
    let start = Instant::now();
    let busy = cluster.plain[1].service();
    busy.set_mode(ResponseMode::Serve(Duration::from_millis(100)));
    wait_until("all upstreams are reached", async || {
        send_requests(callers, "/status/x", Duration::from_millis(100)).await;
        let mut crowd = JoinSet::new();
        for number in 0..CROWD {
            let request = request_text("GET", "/catalogue/x", &format!("crowd-{number}"), "");
            let address = callers[number % callers.len()];
            crowd.spawn(async move { send_request(address, &request).await });
        }
        crowd.join_all().await;
        let mut upstreams = upstreams.iter();
        upstreams.all(|upstream| arrivals_since(upstream, start) > 0)
    })
    .await;
    busy.set_mode(ResponseMode::Serve(Duration::ZERO));
}

/// Guards against requests that reach an upstream too long after it has said in a response
/// that it is leaving, while its registration still says that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_says_it_is_leaving_gets_no_requests_after_the_drain_limit() {
    let cluster = start_cluster().await;
    let followers = start_followers(&cluster, 1).await;
    let callers = [cluster.instance.callers, followers[0].callers];
    for path in ["/status/x", "/catalogue/x"] {
        send_requests(&callers, path, Duration::from_secs(1)).await;
    }
    let owner = key_owner(&cluster);
    let leaving = [owner, &cluster.plain[0]];
    for upstream in leaving {
        upstream
            .service()
            .set_extra_headers(&[("server-leaving", "1")]);
    }

    send_until_reached(&cluster, &callers, &leaving).await;
    // A report to the leader, and what it tells the others, take up to a second each.
    sleep(Duration::from_secs(2) + DRAIN_LIMIT).await;
    let start = Instant::now();
    for path in ["/status/x", "/catalogue/x"] {
        let served = send_requests(&callers, path, Duration::from_secs(1)).await;
        assert!(served >= 20, "{served} of {path}");
    }

    for upstream in leaving {
        assert_eq!(arrivals_since(upstream, start), 0);
    }
}

/// Guards against an instance that sends requests to an upstream that has turned one away and
/// has said for how long it wants none.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_names_a_retry_time_gets_no_requests_until_then() {
    let cluster = start_cluster().await;
    let callers = [cluster.instance.callers];
    for path in ["/status/x", "/catalogue/x"] {
        send_requests(&callers, path, Duration::from_millis(500)).await;
    }
    let owner = key_owner(&cluster);
    for upstream in [owner, &cluster.plain[0]] {
        upstream.service().set_mode(ResponseMode::Shed);
        upstream
            .service()
            .set_extra_headers(&[("retry-after", "20.5")]);
    }

    send_until_reached(&cluster, &callers, &[owner, &cluster.plain[0]]).await;
    let start = Instant::now();
    let keyed = send_requests(&callers, "/status/x", Duration::from_secs(1)).await;
    let plain = send_requests(&callers, "/catalogue/x", Duration::from_secs(1)).await;
    let arrived = [owner, &cluster.plain[0]].map(|upstream| arrivals_since(upstream, start));

    assert_eq!(arrived, [0, 0]);
    assert_eq!(keyed, 0);
    assert!(plain >= 20, "{plain}");
}
