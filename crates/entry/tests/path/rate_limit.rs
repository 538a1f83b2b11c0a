//! Upstreams that limit the rate of requests from all instances together.

use std::time::Duration;

use medlarreel_standin::platform::upstream::ResponseMode;
use tokio::time::{Instant, sleep};

use crate::fixture::{request_text, send_request, start_cluster, start_followers, wait_until};

/// Time from the first response that names a limit until all instances must keep to it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Window over which the requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Sends requests on new connections to all instances in turn for `duration`, about 100 a
/// second, and returns the responses.
async fn flood(
    callers: &[std::net::SocketAddr],
    path: &'static str,
    duration: Duration,
) -> Vec<String> {
    let end = Instant::now() + duration;
    let mut requests = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        let address = callers[number % callers.len()];
        let request = request_text("GET", path, &format!("flood-{number}"), "");
        requests.push(tokio::spawn(async move {
            send_request(address, &request).await
        }));
        number += 1;
        sleep(Duration::from_millis(10)).await;
    }
    let mut responses = Vec::new();
    for request in requests {
        responses.push(request.await.unwrap());
    }
    responses
}

/// Guards against an upstream that gets more requests than the limit it names, because each
/// instance ignores the limit or takes all of it for itself.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_get_no_more_than_the_limit_they_name() {
    let cluster = start_cluster().await;
    let followers = start_followers(&cluster, 2).await;
    let mut callers = vec![cluster.instance.callers];
    callers.extend(followers.iter().map(|follower| follower.callers));
    wait_until("all instances serve", async || {
        for address in &callers {
            let probe = request_text("GET", "/status/x", "probe", "");
            if !send_request(*address, &probe)
                .await
                .starts_with("HTTP/1.1 200")
            {
                return false;
            }
        }
        true
    })
    .await;
    cluster.set_mode(ResponseMode::Serve(Duration::from_millis(20)));
    for upstream in &cluster.keyed {
        upstream
            .service()
            .set_extra_headers(&[("server-limit", "5.0")]);
    }

    let limited_at = Instant::now();
    let responses = flood(&callers, "/status/x", CONTACT_TIME + 2 * WINDOW).await;

    for upstream in &cluster.keyed {
        let arrivals = upstream.service().arrivals();
        let later = arrivals
            .iter()
            .filter(|at| **at > limited_at + CONTACT_TIME);
        for start in later {
            let window = arrivals.iter();
            let count = window
                .filter(|at| **at >= *start && **at < *start + WINDOW)
                .count();
            assert!(count <= 35, "{count} requests in {WINDOW:?}");
        }
    }
    let served = responses
        .iter()
        .filter(|text| text.starts_with("HTTP/1.1 200"));
    let served = served.count();
    assert!(served >= 30, "{served} of {}", responses.len());
    let refused = responses
        .iter()
        .filter(|text| text.starts_with("HTTP/1.1 503"));
    for response in refused {
        assert!(response.contains("retry-after:"), "{response}");
    }
}

/// Guards against a limit that instances keep to after the upstream has stopped naming it.
#[tokio::test(flavor = "multi_thread")]
async fn limit_ends_when_responses_no_longer_name_it() {
    let cluster = start_cluster().await;
    let callers = [cluster.instance.callers];
    for upstream in &cluster.keyed {
        upstream
            .service()
            .set_extra_headers(&[("server-limit", "2.0")]);
    }
    flood(&callers, "/status/x", Duration::from_secs(2)).await;

    for upstream in &cluster.keyed {
        upstream.service().set_extra_headers(&[]);
    }
    flood(&callers, "/status/x", Duration::from_secs(2)).await;
    let responses = flood(&callers, "/status/x", Duration::from_secs(1)).await;

    let served = responses
        .iter()
        .filter(|text| text.starts_with("HTTP/1.1 200"));
    assert_eq!(served.count(), responses.len());
}

/// Guards against an upstream that becomes cold again while it is in use and gets more
/// requests in a second than its service names, because followers do not hear of it; and
/// against a limit that goes on once it is warm.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_become_cold_again_get_no_more_than_their_rate() {
    let mut cluster = start_cluster().await;
    let followers = start_followers(&cluster, 2).await;
    let mut callers = vec![cluster.instance.callers];
    callers.extend(followers.iter().map(|follower| follower.callers));
    cluster.set_mode(ResponseMode::Serve(Duration::from_millis(20)));
    flood(&callers, "/status/x", Duration::from_secs(1)).await;
    let warmup = Duration::from_secs(4);

    cluster.register_keyed_as_cold(warmup.as_secs_f64());
    let cold_at = Instant::now();
    // The registration reaches all instances within this time.
    sleep(Duration::from_millis(800)).await;
    let limited_at = Instant::now();
    let limited = flood(&callers, "/status/x", Duration::from_secs(3)).await;
    sleep((cold_at + warmup + Duration::from_secs(1)).duration_since(Instant::now())).await;
    let warm = flood(&callers, "/status/x", Duration::from_secs(1)).await;

    let served = |responses: &[String]| {
        let served = responses.iter();
        served
            .filter(|text| text.starts_with("HTTP/1.1 200"))
            .count()
    };
    for upstream in &cluster.keyed {
        let arrivals = upstream.service().arrivals();
        let counted = arrivals
            .iter()
            .filter(|at| **at >= limited_at && **at < cold_at + warmup);
        let counted: Vec<Instant> = counted.copied().collect();
        for start in &counted {
            let window = counted.iter().filter(|at| **at >= *start);
            let count = window
                .filter(|at| **at < *start + Duration::from_secs(1))
                .count();
            assert!(count <= 5, "{count} requests in a second");
        }
    }
    assert!(
        served(&limited) >= 3,
        "{} of {}",
        served(&limited),
        limited.len()
    );
    assert_eq!(served(&warm), warm.len());
}
