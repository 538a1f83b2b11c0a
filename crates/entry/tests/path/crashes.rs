//! Requests that crash the upstreams that run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use medlarreel_standin::server::any_port;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fixture::{
    TestCluster, metric, read_response, request_text, send_request, start_cluster, start_followers,
    wait_until,
};

/// Path of the requests that crash upstreams.
const CRASHING_PATH: &str = "/catalogue/crash";

/// Time for which an upstream runs such a request before it ends.
const RUN_TIME: Duration = Duration::from_millis(50);

/// The same for a request that its callers give up before.
const LONG_RUN_TIME: Duration = Duration::from_millis(600);

/// Counts of what the upstreams of a test have seen.
#[derive(Default)]
struct Seen {
    ended: AtomicUsize,
    arrived: AtomicUsize,
}

/// Starts an upstream that answers requests until it runs one for `CRASHING_PATH`. It then
/// ends like a process: all its connections close, and its address refuses new ones.
async fn start_fragile_upstream(seen: &Arc<Seen>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Arc::clone(seen);
    tokio::spawn(async move {
        let (crash, mut crashed) = mpsc::channel(1);
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                _ = crashed.recv() => break,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.unwrap();
                    connections.spawn(serve(stream, crash.clone(), Arc::clone(&seen)));
                }
            }
        }
        seen.ended.fetch_add(1, Ordering::SeqCst);
    });
    address
}

async fn serve(mut stream: TcpStream, crash: mpsc::Sender<()>, seen: Arc<Seen>) {
    loop {
        let request = read_response(&mut stream).await;
        let Some(attempt) = request
            .lines()
            .find_map(|line| line.strip_prefix("attempt-id: "))
        else {
            return;
        };
        if request.contains(CRASHING_PATH) {
            seen.arrived.fetch_add(1, Ordering::SeqCst);
            let run_time = match request.contains("slow") {
                true => LONG_RUN_TIME,
                false => RUN_TIME,
            };
            if request.contains("answered") {
                let late = format!(
                    "HTTP/1.1 504 Gateway Timeout\r\nattempt-id: {attempt}\r\n\
                     response-signature: 3e1b\r\ncontent-length: 0\r\n\r\n"
                );
                stream.write_all(late.as_bytes()).await.ok();
            }
            // The upstream ends also if the connection was closed meanwhile.
            let crash = crash.clone();
            tokio::spawn(async move {
                sleep(run_time).await;
                crash.send(()).await.ok();
            });
            std::future::pending::<()>().await;
        }
        let response = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-signature: 3e1b\r\n\
             content-length: 2\r\n\r\nok"
        );
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Replaces the upstreams of the plain service by twelve fragile ones, and waits until all
/// instances use them.
async fn use_fragile_upstreams(cluster: &mut TestCluster, callers: &[SocketAddr]) -> Arc<Seen> {
    let seen = Arc::new(Seen::default());
    for number in 0..12 {
        let address = start_fragile_upstream(&seen).await;
        cluster.register_plain_upstream(&format!("fragile-{number}"), address);
    }
    cluster.register_upstreams(0, "draining");
    cluster.register_upstreams(1, "draining");
    wait_until("only fragile upstreams are used", async || {
        for address in callers {
            let probe = request_text("GET", "/catalogue/x", "probe", "");
            if !send_request(*address, &probe).await.ends_with("ok") {
                return false;
            }
        }
        true
    })
    .await;
    seen
}

/// Guards against a request that crashes upstream after upstream, since nothing is kept of a
/// crash for the next attempt, here or at another instance.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_upstreams_is_blocked_at_all_instances() {
    let mut cluster = start_cluster().await;
    let followers = start_followers(&cluster, 1).await;
    let mut callers = vec![cluster.instance.callers, followers[0].callers];
    let seen = use_fragile_upstreams(&mut cluster, &callers).await;

    for number in 0..20 {
        let request = request_text("GET", CRASHING_PATH, &format!("crash-{number}"), "");
        send_request(callers[number % 2], &request).await;
        sleep(Duration::from_millis(50)).await;
    }
    let ended = seen.ended.load(Ordering::SeqCst);
    let latecomer = start_followers(&cluster, 1).await;
    callers.push(latecomer[0].callers);
    wait_until("the new instance knows the blocked request", async || {
        metric(&latecomer[0], "medlarreel_blocked_requests").await == 1
    })
    .await;
    let arrived = seen.arrived.load(Ordering::SeqCst);
    for address in &callers {
        let request = request_text("GET", CRASHING_PATH, "late", "");
        let response = send_request(*address, &request).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("retry-after:"), "{response}");
        let other = request_text("GET", "/catalogue/x", "other", "");
        let response = send_request(*address, &other).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }

    assert!((3..=6).contains(&ended), "{ended} upstreams have ended");
    assert_eq!(seen.arrived.load(Ordering::SeqCst), arrived);
}

/// Guards against requests that reach one upstream after another all at once, before the
/// first of them has crashed it.
#[tokio::test(flavor = "multi_thread")]
async fn suspected_requests_are_sent_one_at_a_time() {
    let mut cluster = start_cluster().await;
    let followers = start_followers(&cluster, 1).await;
    let callers = [cluster.instance.callers, followers[0].callers];
    let seen = use_fragile_upstreams(&mut cluster, &callers).await;

    let first = request_text("GET", CRASHING_PATH, "first", "");
    send_request(callers[0], &first).await;
    for instance in [&cluster.instance, &followers[0]] {
        wait_until("an instance knows of the crash", async || {
            metric(instance, "medlarreel_suspected_requests").await == 1
        })
        .await;
    }
    let mut requests = JoinSet::new();
    for number in 0..20 {
        let request = request_text("GET", CRASHING_PATH, &format!("crash-{number}"), "");
        let address = callers[number % 2];
        requests.spawn(async move { send_request(address, &request).await });
    }
    requests.join_all().await;

    let arrived = seen.arrived.load(Ordering::SeqCst);
    assert!(arrived <= 4, "{arrived} requests");
}

/// Crashes an upstream, then sends further attempts with the given prefix, one after the
/// other. Returns how many upstreams have ended.
async fn repeat_crashing_request(prefix: &str, deadline_ms: u32) -> usize {
    let mut cluster = start_cluster().await;
    let callers = [cluster.instance.callers];
    let seen = use_fragile_upstreams(&mut cluster, &callers).await;
    let first = request_text("GET", CRASHING_PATH, "first", "");
    send_request(callers[0], &first).await;
    for number in 0..8 {
        let request = request_text("GET", CRASHING_PATH, &format!("{prefix}-{number}"), "");
        let deadline = format!("Deadline-Ms: {deadline_ms}");
        let request = request.replace("Deadline-Ms: 4000", &deadline);
        send_request(callers[0], &request).await;
        sleep(3 * LONG_RUN_TIME).await;
    }
    seen.ended.load(Ordering::SeqCst)
}

/// Guards against a request that crashes upstreams after its callers have left, so that no
/// connection ends under it.
#[tokio::test(flavor = "multi_thread")]
async fn crash_after_the_caller_has_left_counts() {
    let ended = repeat_crashing_request("slow", 200).await;

    assert!(ended <= 4, "{ended} upstreams have ended");
}

/// Guards against a request that crashes upstreams after they have answered that its deadline
/// has passed.
#[tokio::test(flavor = "multi_thread")]
async fn crash_after_a_response_at_the_deadline_counts() {
    let ended = repeat_crashing_request("answered", 4_000).await;

    assert!(ended <= 4, "{ended} upstreams have ended");
}
