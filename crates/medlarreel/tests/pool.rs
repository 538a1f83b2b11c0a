//! Connections to one address under the faults of the other end.

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

/// Longest wait for what must happen; ample for a busy machine.
const LONG: Duration = Duration::from_secs(30);

const MAX_BODY: usize = 1_024;

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// What the server does after it has read a request.
#[derive(Clone, Copy)]
enum Step {
    /// Sends a text and keeps the connection.
    Say(&'static str),
    /// Sends a text and closes the connection.
    SayAndClose(&'static str),
    /// Sends nothing and keeps the connection until the client closes it.
    Nothing,
}

/// Server that performs one step per request over all connections.
struct Server {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    /// Connections open at the server, and the most at a time so far.
    open: Arc<AtomicUsize>,
    most: Arc<AtomicUsize>,
}

async fn serve(steps: &'static [Step]) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let server = Server {
        address: listener.local_addr().expect("has an address"),
        accepted: Arc::default(),
        open: Arc::default(),
        most: Arc::default(),
    };
    let counts = (
        server.accepted.clone(),
        server.open.clone(),
        server.most.clone(),
    );
    let next = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        let (accepted, open, most) = counts;
        while let Ok((stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::SeqCst);
            most.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            let (next, open) = (next.clone(), open.clone());
            tokio::spawn(async move {
                converse(stream, steps, &next).await;
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    server
}

async fn converse(mut stream: TcpStream, steps: &[Step], next: &AtomicUsize) {
    while read_head(&mut stream).await {
        let index = next.fetch_add(1, Ordering::SeqCst).min(steps.len() - 1);
        match steps[index] {
            Step::Say(text) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Step::SayAndClose(text) => {
                stream.write_all(text.as_bytes()).await.ok();
                return;
            }
            Step::Nothing => {
                let mut byte = [0];
                while stream.read(&mut byte).await.is_ok_and(|count| count > 0) {}
                return;
            }
        }
    }
}

/// Reads up to the end of a request's head; false at the end of the stream.
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

async fn ask(pool: &Pool) -> Result<BufferedResponse, ExchangeError> {
    pool.exchange(request(), LONG, MAX_BODY).await
}

async fn eventually(mut holds: impl FnMut() -> bool) {
    let poll = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(LONG, poll)
        .await
        .expect("the condition holds in time");
}

/// Guards against a request that fails because the server closed an idle
/// connection, which is no fault of the request.
#[tokio::test]
async fn a_connection_closed_while_idle_is_replaced() {
    let server = serve(&[Step::SayAndClose(WHOLE)]).await;
    let pool = Pool::new(server.address, 1);
    ask(&pool).await.expect("the first answer");

    let second = ask(&pool).await.expect("the second answer");

    assert_eq!(&second.body[..], b"ok");
    assert_eq!(server.accepted.load(Ordering::SeqCst), 2);
}

/// Guards against reporting `NotSent`, and so `not-run`, for a request that the
/// server has read.
#[tokio::test]
async fn a_connection_that_ends_after_the_request_loses_the_answer() {
    let server = serve(&[Step::SayAndClose("")]).await;
    let pool = Pool::new(server.address, 2);

    let outcome = ask(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::Lost);
    assert_eq!(server.accepted.load(Ordering::SeqCst), 1);
    eventually(|| pool.open_connections() == 0).await;
}

/// Guards against passing on a part of an answer as the whole.
#[tokio::test]
async fn a_truncated_body_is_no_answer() {
    let server = serve(&[Step::SayAndClose(
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
    )])
    .await;
    let pool = Pool::new(server.address, 2);

    let outcome = ask(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::Lost);
    eventually(|| pool.open_connections() == 0).await;
}

/// Guards against surplus bytes after an answer being read as the answer to
/// the next request.
#[tokio::test]
async fn bytes_beyond_the_stated_length_reach_no_other_request() {
    let server = serve(&[
        Step::Say(
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        ),
        Step::Say(WHOLE),
    ])
    .await;
    let pool = Pool::new(server.address, 2);
    let first = ask(&pool).await.expect("the first answer");

    let second = ask(&pool).await;

    assert_eq!(&first.body[..], b"ok");
    if let Ok(answer) = second {
        assert_eq!(&answer.body[..], b"ok");
    }
}

/// Guards against two different lengths of one answer being resolved silently.
#[tokio::test]
async fn two_lengths_are_no_answer() {
    let server = serve(&[Step::Say(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
    )])
    .await;
    let pool = Pool::new(server.address, 2);

    let outcome = ask(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::Lost);
}

/// Guards against an answer that arrives after its request was given up
/// reaching the next request.
#[tokio::test]
async fn a_connection_with_a_late_answer_is_not_used_again() {
    let server = serve(&[Step::Nothing, Step::Say(WHOLE)]).await;
    let pool = Pool::new(server.address, 2);
    let brief = Duration::from_millis(50);

    let late = pool.exchange(request(), brief, MAX_BODY).await;
    let next = ask(&pool).await;

    assert_eq!(late.unwrap_err(), ExchangeError::TimedOut);
    assert!(next.is_ok(), "{next:?}");
    assert_eq!(server.accepted.load(Ordering::SeqCst), 2);
}

/// Guards against an answer beyond the limit filling the memory.
#[tokio::test]
async fn an_answer_beyond_the_limit_is_given_up() {
    let server = serve(&[Step::Say("HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n")]).await;
    let pool = Pool::new(server.address, 2);

    let outcome = ask(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::TooLarge);
    eventually(|| pool.open_connections() == 0).await;
}

/// Guards against a place that leaks when the caller leaves, and against the
/// connection of the abandoned exchange staying open.
#[tokio::test]
async fn a_cancelled_exchange_closes_its_connection() {
    let server = serve(&[Step::Nothing, Step::Say(WHOLE)]).await;
    let pool = Arc::new(Pool::new(server.address, 1));
    let waiting = tokio::spawn({
        let pool = pool.clone();
        async move { ask(&pool).await }
    });
    eventually(|| server.accepted.load(Ordering::SeqCst) == 1).await;

    waiting.abort();

    eventually(|| server.open.load(Ordering::SeqCst) == 0).await;
    eventually(|| pool.open_connections() == 0).await;
    assert!(ask(&pool).await.is_ok());
}

/// Guards against more connections than the upstream accepts.
#[tokio::test]
async fn requests_beyond_the_limit_of_connections_are_not_sent() {
    let server = serve(&[Step::Nothing]).await;
    let pool = Arc::new(Pool::new(server.address, 1));
    let waiting = tokio::spawn({
        let pool = pool.clone();
        async move { ask(&pool).await }
    });
    eventually(|| server.accepted.load(Ordering::SeqCst) == 1).await;

    let outcome = ask(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::PoolFull);
    waiting.abort();
}

/// Guards against a new connection being opened while the one that it replaces
/// is still open, which exceeds the limit: the upstream may refuse it.
#[tokio::test]
async fn abandoned_connections_count_until_they_are_closed() {
    let server = serve(&[Step::Nothing]).await;
    let pool = Pool::new(server.address, 1);
    let brief = Duration::from_millis(5);

    for _ in 0..50 {
        // Both outcomes are possible; only the number of connections matters.
        let before = pool.exchange(request(), brief, MAX_BODY).await;
        assert!(before.is_err());
        let tasks = tokio::runtime::Handle::current()
            .metrics()
            .num_alive_tasks();
        let serving = server.open.load(Ordering::SeqCst);
        // Listener, one task per connection at the server, one here.
        assert!(
            pool.open_connections() >= tasks - 1 - serving,
            "{} places for {} connections",
            pool.open_connections(),
            tasks - 1 - serving
        );
    }
}

/// Guards against an address without a listener being reported as anything but
/// not sent.
#[tokio::test]
async fn a_refused_connection_sends_nothing() {
    // The port stays bound, so that no other test can listen on it.
    let socket = TcpSocket::new_v4().expect("opens");
    socket
        .bind("127.0.0.1:0".parse().expect("is an address"))
        .expect("binds");
    let address = socket.local_addr().expect("has an address");
    let pool = Pool::new(address, 1);

    let outcome = ask(&pool).await;

    assert_eq!(outcome.unwrap_err(), ExchangeError::NotSent);
    assert!(pool.recently_failed());
    assert_eq!(pool.open_connections(), 0);
}
