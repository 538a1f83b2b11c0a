//! Helpers shared by the tests of the stand-ins.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_standin::client::{ClientRequest, ClientResponse};
use medlarreel_standin::error::Error;
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Timeout for events that must happen. Ample for a busy machine.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a test checks that an event does not happen. On a busy machine such a
/// check may miss the event, but cannot fail without it.
pub const QUIET_PERIOD: Duration = Duration::from_millis(200);

/// Sends a request and expects a response.
pub async fn send(address: SocketAddr, request: ClientRequest) -> ClientResponse {
    request
        .send(address, EVENT_TIMEOUT)
        .await
        .expect("a response arrives")
}

/// Sends a request and expects a JSON response with status 200.
pub async fn fetch_json(address: SocketAddr, request: ClientRequest) -> Value {
    let response = send(address, request).await;
    assert_eq!(response.status, 200, "{:?}", response.body);
    response.json().expect("the response is JSON")
}

/// Changes faults over HTTP, as a test in another process would.
pub async fn change_faults(address: SocketAddr, change: Value) {
    fetch_json(address, ClientRequest::post_json("/admin/faults", &change)).await;
}

/// Sends a request and expects that no response arrives within `QUIET_PERIOD`.
pub async fn expect_no_response(address: SocketAddr, request: ClientRequest) {
    let response = request.send(address, QUIET_PERIOD).await;
    assert!(matches!(response, Err(Error::Timeout)), "{response:?}");
}

/// Sends a request with a body and closes the connection at once.
pub async fn send_and_disconnect(address: SocketAddr, path: &str) {
    let request = format!("POST {path} HTTP/1.1\r\nhost: s\r\ncontent-length: 1\r\n\r\nx");
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
}

/// Waits until a condition holds.
pub async fn eventually(mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, poll)
        .await
        .expect("the condition holds in time");
}
