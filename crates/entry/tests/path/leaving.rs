//! Upstreams that say in their responses that they are leaving.

use std::time::Duration;

use medlarreel_standin::platform::upstream::Upstream;
use medlarreel_standin::server::Server;
use tokio::time::{Instant, sleep};

use crate::fixture::{TestCluster, request_text, send_request, start_cluster, start_followers};

/// `drain` in the settings of the instances.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Sends a request about every 10 ms to the instances in turn, and returns how many were
/// served.
async fn send_requests(
    cluster: &TestCluster,
    callers: &[std::net::SocketAddr],
    path: &str,
    duration: Duration,
) -> usize {
    assert!(!cluster.plain.is_empty());
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

/// Number of requests that have reached an upstream since `start`.
fn arrivals_since(upstream: &Server<Upstream>, start: Instant) -> usize {
    let arrivals = upstream.service().arrivals();
    arrivals.iter().filter(|at| **at >= start).count()
}

/// Guards against requests that reach an upstream too long after it has said in a response
/// that it is leaving, while its registration still says that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_says_it_is_leaving_gets_no_requests_after_the_drain_limit() {
    let cluster = start_cluster().await;
    let followers = start_followers(&cluster, 1).await;
    let callers = [cluster.instance.callers, followers[0].callers];
    for path in ["/status/x", "/catalogue/x"] {
        send_requests(&cluster, &callers, path, Duration::from_secs(1)).await;
    }
    let owner = cluster
        .keyed
        .iter()
        .find(|server| server.service().holds(77));
    let leaving = [owner.unwrap(), &cluster.plain[0]];
    for upstream in leaving {
        upstream
            .service()
            .set_extra_headers(&[("server-leaving", "1")]);
    }

    for path in ["/status/x", "/catalogue/x"] {
        send_requests(&cluster, &callers, path, Duration::from_secs(1)).await;
    }
    sleep(DRAIN_LIMIT).await;
    let start = Instant::now();
    for path in ["/status/x", "/catalogue/x"] {
        let served = send_requests(&cluster, &callers, path, Duration::from_secs(1)).await;
        assert!(served >= 20, "{served} of {path}");
    }

    for upstream in leaving {
        assert_eq!(arrivals_since(upstream, start), 0);
    }
}
