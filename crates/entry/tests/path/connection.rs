//! Connections to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use medlarreel_entry::body::Payload;
use medlarreel_entry::connection::{BufferedResponse, Connection};
use medlarreel_entry::error::Error;
use medlarreel_standin::server::any_port;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::fixture::memory;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Guards against a request of unknown outcome: upstreams at their connection limit reset
/// each new connection, and a request that is written before the reset arrives may have
/// run as far as the caller can tell.
#[tokio::test]
async fn reset_of_a_new_connection_is_noticed_before_a_request_is_sent() {
    let (listener, address) = listen().await;
    let tasks = LocalSet::new();
    let confirmed = tasks.run_until(async {
        let connection = Connection::connect(address, Duration::from_secs(5)).await;
        let (accepted, _) = listener.accept().await.unwrap();
        socket2::SockRef::from(&accepted)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(accepted);
        connection.unwrap().confirm_accepted().await
    });

    let confirmed = confirmed.await;

    assert_eq!(confirmed, Err(Error::NotAccepted));
}

/// Guards against connections that are given up although the server keeps them.
#[tokio::test]
async fn accepted_connection_is_confirmed() {
    let (listener, address) = listen().await;
    let tasks = LocalSet::new();
    let confirmed = tasks.run_until(async {
        let connection = Connection::connect(address, Duration::from_secs(5)).await;
        let _accepted = listener.accept().await.unwrap();
        connection.unwrap().confirm_accepted().await
    });

    assert_eq!(confirmed.await, Ok(()));
}

/// Complete response of which tests send a part.
const RESPONSE: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nresponse-signature: 3e1b\r\n\
                        content-length: 4\r\n\r\nbody";

/// Sends a request to a server that answers `response` and then ends its connection, by a
/// reset if `reset`. Returns what the client gets.
async fn get_cut_response(response: &[u8], reset: bool) -> Result<BufferedResponse, Error> {
    let (listener, address) = listen().await;
    let response = response.to_vec();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        // The client may have closed its end.
        stream.write_all(&response).await.ok();
        if reset {
            // Lets the response arrive: a reset discards what was not read.
            sleep(Duration::from_millis(50)).await;
            let options = socket2::SockRef::from(&stream);
            options.set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    let exchange = async {
        let timeout = Duration::from_secs(5);
        let mut connection = Connection::connect(address, timeout).await?;
        let request = Request::get("/x")
            .header("host", "a")
            .body(Payload::default());
        connection
            .send_request(request.unwrap(), timeout, &memory())
            .await
    };
    LocalSet::new().run_until(exchange).await
}

/// Guards against a response that ends early and is passed on as if it were whole: an upstream
/// stops within the head or the body and closes.
#[tokio::test]
async fn response_that_is_cut_is_not_complete() {
    for length in 0..RESPONSE.len() {
        let part = &RESPONSE.as_bytes()[..length];
        let closed = get_cut_response(part, false).await;
        assert!(closed.is_err(), "{length} bytes: {closed:?}");
    }
    let whole = get_cut_response(RESPONSE.as_bytes(), false).await.unwrap();

    assert_eq!(whole.body.into_bytes(), "body");
}

/// Guards against a chunked response without its last chunk that is passed on as whole.
#[tokio::test]
async fn response_without_its_last_chunk_is_not_complete() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    for length in 0..chunked.len() {
        let closed = get_cut_response(&chunked.as_bytes()[..length], false).await;
        assert!(closed.is_err(), "{length} bytes: {closed:?}");
    }
    let whole = get_cut_response(chunked.as_bytes(), false).await.unwrap();

    assert_eq!(whole.body.into_bytes(), "body");
}

/// Guards against a response without a length that is passed on as whole although its
/// connection was reset: only the end of the stream completes it.
#[tokio::test]
async fn response_without_a_length_is_complete_only_at_the_end_of_the_stream() {
    let response = b"HTTP/1.1 200 OK\r\nattempt-id: a1\r\n\r\nbody";

    let closed = get_cut_response(response, false).await;
    let reset = get_cut_response(response, true).await;

    assert_eq!(closed.unwrap().body.into_bytes(), "body");
    assert!(matches!(reset, Err(Error::ConnectionLost(_))), "{reset:?}");
}

/// Guards against bytes without end, in a head or a body, that take all memory or are waited
/// for beyond the request's time.
#[tokio::test]
async fn endless_response_is_given_up() {
    let head = "HTTP/1.1 200 OK\r\nx: ".to_owned() + &"y".repeat(4 * 1024 * 1024);
    let body = "HTTP/1.1 200 OK\r\n\r\n".to_owned() + &"y".repeat(20 * 1024 * 1024);

    for endless in [head, body] {
        let given_up = get_cut_response(endless.as_bytes(), false).await;
        assert!(given_up.is_err());
    }
}
