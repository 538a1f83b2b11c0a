//! Connection pool against a server with faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use medlarreel::dispatch::{BufferedResponse, ExchangeError, Pool};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Longest wait for an expected event, with a margin for a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

const MAX_BODY_BYTES: usize = 1_024;

const COMPLETE_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Action of the server after it has read a request.
#[derive(Clone, Copy)]
enum ServerAction {
    /// Sends the text and keeps the connection open.
    Respond(&'static str),
    /// Sends the text and closes the connection.
    RespondAndClose(&'static str),
    /// Sends nothing and keeps the connection until the client closes it.
    Stall,
}

/// Server that performs one action per request, counted over all connections. The last
/// action is repeated.
struct Server {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    /// Number of connections open at the server, and its maximum so far.
    open: Arc<AtomicUsize>,
    max_open: Arc<AtomicUsize>,
}

async fn serve(actions: &'static [ServerAction]) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let server = Server {
        address: listener.local_addr().expect("has an address"),
        accepted: Arc::default(),
        open: Arc::default(),
        max_open: Arc::default(),
    };
    let counts = (
        server.accepted.clone(),
        server.open.clone(),
        server.max_open.clone(),
    );
    let next = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        let (accepted, open, max_open) = counts;
        while let Ok((stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::SeqCst);
            max_open.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            let (next, open) = (next.clone(), open.clone());
            tokio::spawn(async move {
                handle_connection(stream, actions, &next).await;
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    server
}

async fn handle_connection(mut stream: TcpStream, actions: &[ServerAction], next: &AtomicUsize) {
    while read_head(&mut stream).await {
        let index = next.fetch_add(1, Ordering::SeqCst).min(actions.len() - 1);
        match actions[index] {
            ServerAction::Respond(text) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            ServerAction::RespondAndClose(text) => {
                stream.write_all(text.as_bytes()).await.ok();
                return;
            }
            ServerAction::Stall => {
                let mut byte = [0];
                while stream.read(&mut byte).await.is_ok_and(|count| count > 0) {}
                return;
            }
        }
    }
}

/// Reads the head of a request; false at the end of the stream.
async fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::get("/x").header("host", "test");
    request.body(Full::default()).expect("is valid")
}

async fn exchange(pool: &Pool) -> Result<BufferedResponse, ExchangeError> {
    pool.exchange(request(), TEST_TIMEOUT, MAX_BODY_BYTES).await
}

async fn eventually(mut holds: impl FnMut() -> bool) {
    let poll = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, poll)
        .await
        .expect("the condition holds in time");
}

/// Guards against a request failing because the server closed the idle connection on
/// which it was about to be sent.
#[tokio::test]
async fn a_connection_closed_while_idle_is_replaced() {
    let server = serve(&[ServerAction::RespondAndClose(COMPLETE_RESPONSE)]).await;
    let pool = Pool::new(server.address, 1);
    exchange(&pool).await.expect("the first response");

    let second = exchange(&pool).await.expect("the second response");

    assert_eq!(&second.body[..], b"ok");
    assert_eq!(server.accepted.load(Ordering::SeqCst), 2);
}

/// Guards against reporting `NotSent`, and so `not-run`, for a request that the
/// server has read.
#[tokio::test]
async fn a_connection_closed_after_the_request_is_reported_as_lost() {
    let server = serve(&[ServerAction::RespondAndClose("")]).await;
    let pool = Pool::new(server.address, 2);

    let outcome = exchange(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::Lost);
    assert_eq!(server.accepted.load(Ordering::SeqCst), 1);
    eventually(|| pool.open_connections() == 0).await;
}

/// Guards against returning a truncated response as complete.
#[tokio::test]
async fn a_truncated_body_is_reported_as_lost() {
    let server = serve(&[ServerAction::RespondAndClose(
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
    )])
    .await;
    let pool = Pool::new(server.address, 2);

    let outcome = exchange(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::Lost);
    eventually(|| pool.open_connections() == 0).await;
}

/// Guards against surplus bytes after a response being read as the response to the next
/// request.
#[tokio::test]
async fn surplus_bytes_do_not_reach_another_request() {
    let server = serve(&[
        ServerAction::Respond(
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        ),
        ServerAction::Respond(COMPLETE_RESPONSE),
    ])
    .await;
    let pool = Pool::new(server.address, 2);
    let first = exchange(&pool).await.expect("the first response");

    let second = exchange(&pool).await;

    assert_eq!(&first.body[..], b"ok");
    if let Ok(response) = second {
        assert_eq!(&response.body[..], b"ok");
    }
}

/// Guards against accepting a response with two different content lengths.
#[tokio::test]
async fn conflicting_content_lengths_are_reported_as_lost() {
    let server = serve(&[ServerAction::Respond(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
    )])
    .await;
    let pool = Pool::new(server.address, 2);

    let outcome = exchange(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::Lost);
}

/// Guards against a response that arrives after its request timed out being returned
/// for the next request.
#[tokio::test]
async fn a_connection_with_a_late_response_is_not_reused() {
    let server = serve(&[
        ServerAction::Stall,
        ServerAction::Respond(COMPLETE_RESPONSE),
    ])
    .await;
    let pool = Pool::new(server.address, 2);
    let short_timeout = Duration::from_millis(50);

    let late = pool
        .exchange(request(), short_timeout, MAX_BODY_BYTES)
        .await;
    let next = exchange(&pool).await;

    assert_eq!(late.unwrap_err(), ExchangeError::TimedOut);
    assert!(next.is_ok(), "{next:?}");
    assert_eq!(server.accepted.load(Ordering::SeqCst), 2);
}

/// Guards against buffering a response that exceeds the size limit.
#[tokio::test]
async fn an_oversized_response_is_aborted() {
    let server = serve(&[ServerAction::Respond(
        "HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n",
    )])
    .await;
    let pool = Pool::new(server.address, 2);

    let outcome = exchange(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::TooLarge);
    eventually(|| pool.open_connections() == 0).await;
}

/// Guards against leaking a permit when an exchange is cancelled, and against its
/// connection staying open.
#[tokio::test]
async fn a_cancelled_exchange_closes_its_connection() {
    let server = serve(&[
        ServerAction::Stall,
        ServerAction::Respond(COMPLETE_RESPONSE),
    ])
    .await;
    let pool = Arc::new(Pool::new(server.address, 1));
    let waiting = tokio::spawn({
        let pool = pool.clone();
        async move { exchange(&pool).await }
    });
    eventually(|| server.accepted.load(Ordering::SeqCst) == 1).await;

    waiting.abort();

    eventually(|| server.open.load(Ordering::SeqCst) == 0).await;
    eventually(|| pool.open_connections() == 0).await;
    assert!(exchange(&pool).await.is_ok());
}

/// Guards against opening more connections than the upstream accepts.
#[tokio::test]
async fn requests_beyond_the_limit_of_connections_are_not_sent() {
    let server = serve(&[ServerAction::Stall]).await;
    let pool = Arc::new(Pool::new(server.address, 1));
    let waiting = tokio::spawn({
        let pool = pool.clone();
        async move { exchange(&pool).await }
    });
    eventually(|| server.accepted.load(Ordering::SeqCst) == 1).await;

    let outcome = exchange(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::PoolFull);
    waiting.abort();
}

/// Guards against opening a new connection while the one that it replaces is still
/// open. The upstream may refuse connections beyond the limit.
#[tokio::test]
async fn abandoned_connections_count_until_they_are_closed() {
    let server = serve(&[ServerAction::Stall]).await;
    let pool = Pool::new(server.address, 1);
    let short_timeout = Duration::from_millis(5);

    for _ in 0..50 {
        // The kind of error does not matter, only the number of connections.
        let abandoned = pool
            .exchange(request(), short_timeout, MAX_BODY_BYTES)
            .await;
        assert!(abandoned.is_err());
        let tasks = tokio::runtime::Handle::current()
            .metrics()
            .num_alive_tasks();
        let serving = server.open.load(Ordering::SeqCst);
        // The tasks are the listener, one per connection at the server and one per
        // connection of the pool.
        assert!(
            pool.open_connections() >= tasks - 1 - serving,
            "{} permits in use for {} connections",
            pool.open_connections(),
            tasks - 1 - serving
        );
    }
}

/// Guards against reporting a refused connection as anything but `NotSent`, since no
/// byte of the request was sent.
#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    // The port stays bound, so that no other test can listen on it.
    let socket = TcpSocket::new_v4().expect("opens");
    socket
        .bind("127.0.0.1:0".parse().expect("is an address"))
        .expect("binds");
    let address = socket.local_addr().expect("has an address");
    let pool = Pool::new(address, 1);

    let outcome = exchange(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::NotSent);
    assert!(pool.recently_failed());
    assert_eq!(pool.open_connections(), 0);
}
