//! Upstreams that repeat their replies to orders.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use medlarreel_standin::server::{Server, any_port};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

use crate::fixture::{TEST_TIMEOUT, TestCluster, read_response, start_cluster, wait_until};

/// Id of the upstream that repeats its replies.
const ID: &str = "k9";

/// Time that may pass between two looks at what upstreams hold.
const LOOK_TIME: Duration = Duration::from_millis(100);

/// First and last keys of the grants that an upstream has accepted, and when they expire.
type Leases = Arc<Mutex<Vec<(u16, u16, Instant)>>>;

/// Starts a keyed upstream that replies to each release as it did to the grant before, and
/// goes on holding the keys until the grant expires.
async fn start_repeating_upstream(leases: &Leases) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let leases = Arc::clone(leases);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&leases)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, leases: Leases) {
    loop {
        let request = read_response(&mut stream).await;
        let Some((head, body)) = request.split_once("\r\n\r\n") else {
            return;
        };
        let reply = match head.split(' ').nth(1) {
            Some("/medlarreel/grant") => {
                let grant: Value = serde_json::from_str(body).unwrap();
                let key = |name: &str| grant[name].as_u64().unwrap() as u16;
                let hold = Duration::from_secs_f64(grant["holdS"].as_f64().unwrap());
                let lease = (key("from"), key("target"), Instant::now() + hold);
                leases.lock().unwrap().push(lease);
                "200 OK\r\n".to_owned()
            }
            Some("/medlarreel/release") => "200 OK\r\n".to_owned(),
            Some("/health") => format!("200 OK\r\nInstance-Id: {ID}\r\n"),
            _ => "503 Busy\r\nNot-Executed: 1\r\n".to_owned(),
        };
        let reply = format!("HTTP/1.1 {reply}Content-Length: 0\r\n\r\n");
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Keys that the repeating upstream holds for longer than a look takes, and another upstream
/// as well.
fn keys_held_twice(cluster: &TestCluster, leases: &Leases) -> Vec<u16> {
    let certain = Instant::now() + LOOK_TIME;
    let leases = leases.lock().unwrap();
    let valid = leases.iter().filter(|(.., until)| *until > certain);
    let keys = valid.flat_map(|(first, last, _)| [*first, *last]);
    let is_held = |key: &u16| {
        let mut others = cluster.keyed.iter().map(Server::service);
        others.any(|upstream| upstream.holds(*key))
    };
    keys.filter(is_held).collect()
}

/// Guards against keys that go to another upstream while their holder works on them: it has
/// repeated its reply to a grant, which is taken for that to the release.
#[tokio::test(flavor = "multi_thread")]
async fn copy_of_a_reply_to_a_grant_releases_nothing() {
    let mut cluster = start_cluster().await;
    let leases = Leases::default();
    let address = start_repeating_upstream(&leases).await;
    cluster.register_keyed_upstream(ID, address);
    wait_until("the upstream holds keys", async || {
        !leases.lock().unwrap().is_empty()
    })
    .await;

    let draining = json!({
        "service": "keyed", "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 6, "state": "draining", "warmupLeftS": 0, "sequence": 1_000, "born": 1_000,
    });
    let store = cluster.store.service();
    store.put("keyed.servers", ID, draining.to_string().as_bytes());

    let until = Instant::now() + TEST_TIMEOUT;
    while cluster.held_key_count() < 1 << 16 {
        let held_twice = keys_held_twice(&cluster, &leases);
        assert!(held_twice.is_empty(), "{held_twice:?}");
        assert!(Instant::now() < until, "keys are not granted again");
        sleep(Duration::from_millis(10)).await;
    }
    assert!(keys_held_twice(&cluster, &leases).is_empty());
}
