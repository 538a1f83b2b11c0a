//! Hostile input to the callers' listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarreel::app::{App, MAX_BUFFERED_BODY_BYTES};
use medlarreel::listen::{self, Limits, MAX_HEADERS};
use medlarreel::proxy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fixture::*;

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

const PLAIN_REQUEST: &str = "GET /workshop/x HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n";

const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Head and body timeout for tests in which it is meant to elapse.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

fn listener_limits(timeout: Duration) -> Limits {
    Limits {
        workers: 2,
        head_timeout: timeout,
        body_timeout: timeout,
        idle_timeout: TEST_TIMEOUT,
        max_body: 1024 * 1024,
        max_head_size: MAX_HEAD_BYTES,
        max_headers: MAX_HEADERS,
        limit_open_requests: true,
    }
}

/// Starts the callers' listener of an instance.
fn caller_listener(app: &Arc<App>, timeout: Duration) -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = socket.local_addr().expect("has an address");
    socket.set_nonblocking(true).expect("is a socket");
    let handler = |app: Arc<App>, incoming: listen::IncomingRequest| async move {
        proxy::serve(&app, incoming.head(), incoming.body.clone()).await
    };
    listen::start(app.clone(), socket, listener_limits(timeout), handler).expect("starts");
    address
}

async fn start_instance(timeout: Duration) -> (Arc<App>, SocketAddr) {
    let (upstream, _) = scripted_server(&[OK_RESPONSE]).await;
    let app = instance(&[local_upstream("workshop", upstream)], upstream);
    let address = caller_listener(&app, timeout);
    (app, address)
}

/// Sends bytes, and reads until the connection ends or the head of a response is
/// complete.
async fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.expect("listens");
    // The listener may close the connection before everything has been sent.
    stream.write_all(bytes).await.ok();
    let mut response = Vec::new();
    let reading = async {
        let mut buffer = [0; 4_096];
        while let Ok(count) = stream.read(&mut buffer).await
            && count > 0
        {
            response.extend_from_slice(&buffer[..count]);
            if response.windows(4).any(|end| end == b"\r\n\r\n") {
                return;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, reading)
        .await
        .expect("the connection is answered or closed");
    String::from_utf8_lossy(&response).into_owned()
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("")
}

async fn expect_served(to: SocketAddr) {
    let response = send_raw(to, PLAIN_REQUEST.as_bytes()).await;
    assert_eq!(
        status(&response),
        "200",
        "other callers are served: {response}"
    );
}

/// Guards against request smuggling through framing that HTTP implementations interpret
/// differently.
#[tokio::test]
async fn ambiguous_framing_is_refused() {
    let (_, address) = start_instance(TEST_TIMEOUT).await;
    let cases = [
        (
            "both",
            "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        (
            "both, swapped",
            "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n",
        ),
        (
            "two lengths",
            "content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        ),
        (
            "equal lengths",
            "content-length: 3\r\ncontent-length: 3\r\n\r\nabc",
        ),
        ("length list", "content-length: 3, 3\r\n\r\nabc"),
        ("signed length", "content-length: +3\r\n\r\nabc"),
        (
            "other coding",
            "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        ),
        ("bad coding", "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n"),
        (
            "two codings",
            "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        (
            "bad chunk size",
            "transfer-encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
        ),
        (
            "huge chunk size",
            "transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n",
        ),
        (
            "negative chunk size",
            "transfer-encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n",
        ),
        ("line folding", "x-a: one\r\n two\r\n\r\n"),
        ("blank before colon", "content-length : 3\r\n\r\nabc"),
    ];

    for (name, rest) in cases {
        let request = format!("POST /workshop/x HTTP/1.1\r\nhost: s\r\n{rest}");
        let response = send_raw(address, request.as_bytes()).await;

        assert!(
            matches!(status(&response), "" | "400"),
            "{name}: answered {response}"
        );
    }
    expect_served(address).await;
}

/// Guards against use of the instance as a tunnel.
#[tokio::test]
async fn connect_is_refused() {
    let (_, address) = start_instance(TEST_TIMEOUT).await;

    let response = send_raw(address, b"CONNECT s:80 HTTP/1.1\r\nhost: s:80\r\n\r\n").await;

    assert_eq!(status(&response), "400", "{response}");
    expect_served(address).await;
}

/// Guards against request heads exhausting the memory.
#[tokio::test]
async fn large_heads_are_refused() {
    let (_, address) = start_instance(TEST_TIMEOUT).await;
    let large = format!("x-a: {}\r\n", "a".repeat(MAX_HEAD_BYTES));
    let endless = "x-a: ".to_owned() + &"a".repeat(4 * MAX_HEAD_BYTES);
    let many = "x-a: b\r\n".repeat(MAX_HEADERS);
    let excessive = "x-a: b\r\n".repeat(1_000);

    for fields in [large, endless, many, excessive] {
        let request = format!("GET /workshop/x HTTP/1.1\r\nhost: s\r\n{fields}\r\n");
        let response = send_raw(address, request.as_bytes()).await;

        assert!(
            matches!(status(&response), "" | "431"),
            "answered {response}"
        );
    }
    expect_served(address).await;
}

/// Guards against callers that occupy connections by sending slowly.
#[tokio::test]
async fn slow_heads_and_bodies_time_out() {
    let (app, address) = start_instance(SHORT_TIMEOUT).await;

    let head = send_raw(address, b"GET /workshop/x HTTP/1.1\r\nhost: s\r\n").await;
    let body = "POST /workshop/x HTTP/1.1\r\nhost: s\r\ncontent-length: 9\r\n\r\nab";
    let body = send_raw(address, body.as_bytes()).await;

    assert!(matches!(status(&head), "" | "408"), "{head}");
    assert_eq!(status(&body), "408", "{body}");
    eventually(|| app.open_requests() == 0).await;
    expect_served(address).await;
}

/// Guards against reading the bodies of more requests than `max_open_requests`, and
/// against requests still counting as open after their callers have disconnected.
#[tokio::test]
async fn requests_beyond_max_open_requests_are_refused() {
    let (app, address) = start_instance(TEST_TIMEOUT).await;
    let body = "POST /workshop/x HTTP/1.1\r\nhost: s\r\ncontent-length: 9\r\n\r\nab";
    let mut open = Vec::new();
    for _ in 0..app.max_open_requests {
        let mut stream = TcpStream::connect(address).await.expect("listens");
        stream.write_all(body.as_bytes()).await.expect("is sent");
        open.push(stream);
    }
    eventually(|| app.open_requests() == app.max_open_requests).await;

    let response = send_raw(address, PLAIN_REQUEST.as_bytes()).await;

    assert_eq!(status(&response), "503", "{response}");
    assert!(response.contains("medlar-code: 114"), "{response}");
    drop(open);
    eventually(|| app.open_requests() == 0).await;
    expect_served(address).await;
}

/// Guards against request bodies together exhausting the memory.
#[tokio::test]
async fn bodies_are_refused_while_the_memory_limit_is_reached() {
    let (app, address) = start_instance(TEST_TIMEOUT).await;
    let mut memory = app.body_memory();
    assert!(memory.grow(MAX_BUFFERED_BODY_BYTES));
    let body = "POST /workshop/x HTTP/1.1\r\nhost: s\r\ncontent-length: 2\r\n\r\nab";

    let refused = send_raw(address, body.as_bytes()).await;
    drop(memory);
    let served = send_raw(address, body.as_bytes()).await;

    assert!(refused.contains("medlar-code: 114"), "{refused}");
    assert_eq!(status(&served), "200", "{served}");
}

/// Guards against callers accessing paths that are reserved for peers.
#[tokio::test]
async fn internal_paths_are_not_served_to_callers() {
    let (_, address) = start_instance(TEST_TIMEOUT).await;
    let paths = [
        "/forward/workshop/x",
        "/records?from=0",
        "/state",
        "//records?from=0",
        "/./records?from=0",
        "/%72ecords?from=0",
        "/../records?from=0",
    ];

    for path in paths {
        let request = format!("GET {path} HTTP/1.1\r\nhost: s\r\nmedlar-peer: token\r\n\r\n");
        let response = send_raw(address, request.as_bytes()).await;

        assert_eq!(status(&response), "404", "{path}: {response}");
    }
}

/// Guards against forged internal headers reaching an upstream.
#[tokio::test]
async fn forged_internal_headers_are_removed() {
    let upstream = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = upstream.local_addr().expect("has an address");
    let app = instance(&[local_upstream("workshop", address)], address);
    let callers = caller_listener(&app, TEST_TIMEOUT);
    let seen = tokio::spawn(async move {
        let (mut stream, _) = upstream.accept().await.expect("is connected to");
        let head = read_head(&mut stream).await.expect("is a request");
        stream
            .write_all(OK_RESPONSE.as_bytes())
            .await
            .expect("is sent");
        head
    });
    let request = "GET /workshop/x HTTP/1.1\r\nhost: s\r\nmedlar-epoch: 9.9.9\r\n\
        medlar-shard: 9\r\nmedlar-peer: forged\r\nmedlar-upstream: 9\r\n\
        medlar-request-id: forged\r\nconnection: x-hop\r\nx-hop: 1\r\nx-kept: 1\r\n\r\n";

    let response = send_raw(callers, request.as_bytes()).await;

    assert_eq!(status(&response), "200", "{response}");
    let head = seen.await.expect("is answered").to_ascii_lowercase();
    for name in ["epoch", "shard", "peer", "upstream"] {
        assert!(!head.contains(&format!("medlar-{name}")), "{head}");
    }
    assert!(
        !head.contains("forged") && !head.contains("x-hop"),
        "{head}"
    );
    assert!(head.contains("x-kept: 1"), "{head}");
}
