//! Helpers of the stand-ins' tests.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_standin::client::{ClientRequest, ClientResponse};
use medlarreel_standin::error::Error;
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest wait for what must happen; ample for a busy machine.
pub const LONG: Duration = Duration::from_secs(60);

/// Wait after which something that must not happen counts as not happening. A
/// busy machine can only make such a check pass.
pub const SHORT: Duration = Duration::from_millis(200);

/// Sends a request and expects an answer.
pub async fn send(to: SocketAddr, ask: ClientRequest) -> ClientResponse {
    ask.send(to, LONG).await.expect("an answer arrives")
}

/// Sends a request and expects a JSON answer with status 200.
pub async fn fetch(to: SocketAddr, ask: ClientRequest) -> Value {
    let answer = send(to, ask).await;
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    answer.json().expect("the answer is JSON")
}

/// Sets faults over HTTP, as a test in another process would.
pub async fn faults(to: SocketAddr, change: Value) {
    fetch(to, ClientRequest::post_json("/admin/faults", &change)).await;
}

/// Expects that a request gets no answer.
pub async fn expect_silence(to: SocketAddr, ask: ClientRequest) {
    let answer = ask.send(to, SHORT).await;
    assert!(matches!(answer, Err(Error::Timeout)), "{answer:?}");
}

/// Sends a request with a body and closes the connection at once.
pub async fn send_and_leave(to: SocketAddr, path: &str) {
    let request = format!("POST {path} HTTP/1.1\r\nhost: s\r\ncontent-length: 1\r\n\r\nx");
    let mut stream = TcpStream::connect(to).await.expect("it listens");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
}

/// Waits until a condition holds.
pub async fn eventually(mut holds: impl FnMut() -> bool) {
    let poll = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(LONG, poll)
        .await
        .expect("the condition holds in time");
}
