//! Refusals that an upstream sends twice on a kept connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use medlarreel_standin::server::any_port;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::fixture::{read_response, start_cluster, wait_until};

/// Delay after which a refusal is sent again.
const COPY_DELAY: Duration = Duration::from_millis(60);

/// Time for which a request runs. The copy arrives meanwhile.
const RUN_TIME: Duration = Duration::from_millis(200);

/// Number of arrivals of each attempt.
type Arrivals = Arc<Mutex<HashMap<String, usize>>>;

/// Starts a keyed upstream that accepts all grants and health checks, refuses the first send of each attempt
/// whose id begins with `refused`, and repeats that refusal later. If `named`, refusals bear the attempt's id.
async fn start_repeating_upstream(named: bool) -> (SocketAddr, Arrivals) {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = Arrivals::default();
    let counts = Arc::clone(&arrivals);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&counts), named));
        }
    });
    (address, arrivals)
}

async fn serve(mut stream: TcpStream, arrivals: Arrivals, named: bool) {
    loop {
        let request = read_response(&mut stream).await;
        if request.is_empty() {
            return;
        }
        let mut lines = request.lines();
        let attempt = lines.find_map(|line| line.strip_prefix("attempt-id: "));
        let Some(attempt) = attempt else {
            let reply = "HTTP/1.1 200 OK\r\ninstance-id: repeating\r\nhandover: 5c0e7a21\r\n\
                         content-length: 0\r\n\r\n";
            stream.write_all(reply.as_bytes()).await.ok();
            continue;
        };
        let count = {
            let mut arrivals = arrivals.lock().unwrap();
            let count = arrivals.entry(attempt.to_owned()).or_default();
            *count += 1;
            *count
        };
        let id = match named {
            true => format!("attempt-id: {attempt}\r\n"),
            false => String::new(),
        };
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{id}not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        );
        if count == 1 && attempt.starts_with("refused") {
            stream.write_all(refusal.as_bytes()).await.ok();
            sleep(COPY_DELAY).await;
            stream.write_all(refusal.as_bytes()).await.ok();
            continue;
        }
        sleep(RUN_TIME).await;
        let response = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-signature: 3e1b\r\n\
             content-length: 2\r\n\r\nok"
        );
        stream.write_all(response.as_bytes()).await.ok();
    }
}

async fn send_refused_request(named: bool) {
    let mut cluster = start_cluster().await;
    for number in 0..40 {
        cluster.get("/status/x", &format!("earn-{number}")).await;
    }
    let (address, arrivals) = start_repeating_upstream(named).await;
    cluster.register_keyed_upstream("repeating", address);
    cluster.register_upstreams(0, "draining");
    cluster.register_upstreams(1, "draining");
    wait_until("the repeating upstream owns the key", async || {
        cluster.get("/status/x", "probe").await.ends_with("ok")
    })
    .await;

    let response = cluster.post("/booking/x", "refused-once", "bag").await;
    sleep(2 * RUN_TIME).await;

    let arrivals = arrivals.lock().unwrap();
    let runs = arrivals.get("refused-once").map_or(0, |count| count - 1);
    assert!(runs <= 1, "{runs} runs");
    if response.starts_with("HTTP/1.1 503") {
        assert_eq!(runs, 0);
    }
}

/// Guards against a request that runs twice, or is reported as not run though it has, because
/// a copy of its first refusal is taken for the answer to its second send.
#[tokio::test(flavor = "multi_thread")]
async fn copy_of_a_refusal_does_not_make_a_request_run_twice() {
    send_refused_request(true).await;
}

/// The same with refusals that do not name the attempt.
#[tokio::test(flavor = "multi_thread")]
async fn copy_of_a_refusal_without_an_id_does_not_make_a_request_run_twice() {
    send_refused_request(false).await;
}
