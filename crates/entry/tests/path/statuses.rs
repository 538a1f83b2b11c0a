//! Servers whose answers have statuses that are none.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use medlarreel_entry::body::Payload;
use medlarreel_entry::connection::{Connection, Wanted};
use medlarreel_entry::error::Error;
use medlarreel_entry::platform::store::StoreClient;
use medlarreel_standin::platform::store;
use medlarreel_standin::server::any_port;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

use crate::fixture::{config_text, memory, request_text, send_request, start_instance, wait_until};

/// Status codes that no final answer has.
const INVALID: [&str; 19] = [
    "000", "001", "099", "100", "101", "102", "199", "600", "999", "2", "20", "2000", "0200",
    "-20", "+20", "2x0", "abc", "", " ",
];

/// Starts a server that answers each request with a status, and with what an upstream and
/// the store add to a success, and then closes the connection.
async fn start_server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(answer(stream, status));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, status: &str) -> std::io::Result<()> {
    let mut request = vec![0; 4096];
    let length = stream.read(&mut request).await?;
    let request = String::from_utf8_lossy(&request[..length]).to_ascii_lowercase();
    let attempt = request
        .lines()
        .find_map(|line| line.strip_prefix("attempt-id: "));
    let body = r#"{"items":[],"end":0}"#;
    let answer = format!(
        "HTTP/1.1 {status} Odd\r\nattempt-id: {}\r\nresponse-signature: 3e1b.07\r\n\
         instance-id: odd\r\ncontent-length: {}\r\n\r\n{body}",
        attempt.unwrap_or("a1"),
        body.len()
    );
    stream.write_all(answer.as_bytes()).await
}

/// Sends a request as for a caller, or as a call of the instance's own.
async fn get_status(address: SocketAddr, is_own_call: bool) -> Result<StatusCode, Error> {
    let timeout = Duration::from_secs(5);
    let mut connection = Connection::connect(address, timeout).await?;
    let request = Request::get("/x")
        .header("host", "a")
        .body(Payload::default());
    let (request, memory) = (request.unwrap(), memory());
    match is_own_call {
        true => {
            let response = connection.call(request, timeout, Wanted::Head, &memory);
            response.await.map(|response| response.status)
        }
        false => {
            let response = connection.send_request(request, timeout, &memory);
            response.await.map(|response| response.status)
        }
    }
}

/// Guards against an answer without a valid status that counts as one, be it to a request, a
/// grant or a health check: all of them are read by the same connection.
#[tokio::test]
async fn response_without_a_valid_status_is_no_response() {
    for status in INVALID {
        for is_own_call in [false, true] {
            let address = start_server(status).await;

            let outcome = LocalSet::new()
                .run_until(get_status(address, is_own_call))
                .await;

            let is_unknown = matches!(
                outcome,
                Err(Error::NoResponse(_) | Error::ConnectionLost(_))
            );
            assert!(is_unknown, "{status:?}: {outcome:?}");
        }
    }
}

/// Guards against a store whose answer has no valid status and counts as its word.
#[tokio::test]
async fn store_call_without_a_valid_status_fails() {
    for status in INVALID {
        let mut client = StoreClient::new(start_server(status).await, memory());

        let tasks = LocalSet::new();
        let read = tasks.run_until(client.read_latest("keyed.op")).await;

        assert!(read.is_err(), "{status:?}: {read:?}");
        let refused = matches!(read, Err(Error::Refused(_)));
        assert!(!refused, "{status:?} is taken for a refusal");
    }
}

/// Guards against a caller that gets an upstream's answer without a valid status, or a
/// promise that its request has not run.
#[tokio::test]
async fn callers_get_no_answer_without_a_valid_status() {
    for status in ["000", "101", "600", "999"] {
        let store = store::start(any_port()).await.unwrap();
        let registration = json!({
            "service": "plain", "address": start_server(status).await.to_string(),
            "zone": "a", "version": "v1", "slots": 6, "state": "ready",
            "warmupLeftS": 0, "sequence": 1, "born": 1000,
        });
        let text = registration.to_string();
        store.service().put("keyed.servers", "odd", text.as_bytes());
        let config = config_text(1, 1 << 20);
        store.service().put("keyed.op", "config", config.as_bytes());
        let instance = start_instance(store.address()).await;

        for method in ["GET", "POST"] {
            let request = request_text(method, "/catalogue/x", "odd", "");
            let request = &request;
            wait_until("the upstream is asked", async || {
                let response = send_request(instance.callers, request).await;
                let is_refused = response.starts_with("HTTP/1.1 503");
                let is_failed = response.starts_with("HTTP/1.1 502");
                assert!(
                    response.is_empty() || is_refused || is_failed,
                    "{status}: {response}"
                );
                is_failed
            })
            .await;
        }
    }
}
