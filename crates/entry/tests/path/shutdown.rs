//! Requests that arrive while an instance shuts down.

use std::time::Duration;

use medlarreel_standin::platform::upstream::ResponseMode;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fixture::{TEST_TIMEOUT, read_response, request_text, send_request, start_cluster};

/// Guards against requests that are cut off without an answer when the time of a shutdown is
/// over, among them some that may not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_at_the_end_of_a_shutdown_are_answered() {
    let mut cluster = start_cluster().await;
    cluster.set_mode(ResponseMode::Serve(Duration::from_millis(4_500)));
    let address = cluster.instance.callers;

    cluster.instance.signal("-TERM");
    // Before connections are closed; the deadlines are after the end of the shutdown.
    sleep(Duration::from_millis(1_900)).await;
    let mut requests = JoinSet::new();
    for number in 0..4 {
        let attempt = format!("late-{number}");
        let request = request_text("POST", "/booking/x", &attempt, "bag");
        requests.spawn(async move { (attempt, send_request(address, &request).await) });
        sleep(Duration::from_millis(150)).await;
    }
    let responses = requests.join_all().await;

    for (attempt, response) in responses {
        assert!(
            response.starts_with("HTTP/1.1 50"),
            "{attempt}: {response:?}"
        );
        if response.starts_with("HTTP/1.1 503") {
            assert_eq!(cluster.run_count(&attempt), 0, "{attempt}");
        }
    }
    assert!(cluster.instance.wait_for_exit().await);
}

/// Guards against a request that is read late in a shutdown, on a kept connection, and passed
/// on although its answer can't come in time.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_read_late_in_a_shutdown_is_refused() {
    let mut cluster = start_cluster().await;
    cluster.set_mode(ResponseMode::Serve(Duration::from_secs(3)));
    let mut stream = TcpStream::connect(cluster.instance.callers).await.unwrap();
    let request = request_text("POST", "/booking/x", "slow", "bag");
    let (start, end) = request.split_at(request.len() - 1);

    stream.write_all(start.as_bytes()).await.unwrap();
    cluster.instance.signal("-TERM");
    sleep(Duration::from_millis(3_500)).await;
    stream.write_all(end.as_bytes()).await.unwrap();
    let response = tokio::time::timeout(TEST_TIMEOUT, read_response(&mut stream)).await;
    let response = response.unwrap();

    assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    assert!(response.contains("connection: close"), "{response:?}");
    assert_eq!(cluster.run_count("slow"), 0);
    drop(stream);
    assert!(cluster.instance.wait_for_exit().await);
}
