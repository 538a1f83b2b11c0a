//! Servers that send bytes without end.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::Duration;

use http::{Request, StatusCode};
use medlarreel_entry::body::Payload;
use medlarreel_entry::bounded_stream::BoundedStream;
use medlarreel_entry::connection::{Connection, Wanted};
use medlarreel_entry::error::Error;
use medlarreel_entry::memory::Memory;
use medlarreel_standin::platform::upstream;
use medlarreel_standin::server::any_port;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::fixture::{TEST_TIMEOUT, memory};

/// Heads that are not the final one of a response.
const INTERIM_HEAD: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Starts a server that answers each request with `start`, then with `repeated` as long as
/// the other end reads.
fn start_endless_server(start: &str, repeated: &str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (start, repeated) = (start.to_owned(), repeated.repeat(1_000));
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let (start, repeated) = (start.clone(), repeated.clone());
            thread::spawn(move || answer_without_end(stream, &start, &repeated));
        }
    });
    address
}

fn answer_without_end(mut stream: TcpStream, start: &str, repeated: &str) {
    let mut request = [0; 4096];
    if !matches!(stream.read(&mut request), Ok(1..)) {
        return;
    }
    let mut sent = stream.write_all(start.as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(repeated.as_bytes());
    }
}

/// Sends a request without a time limit of its own, for a caller or, if something is
/// `wanted`, as a call of the instance's own. Panics if there is no outcome.
async fn get_without_limit(
    address: SocketAddr,
    wanted: Option<Wanted>,
    memory: &Memory,
) -> Result<StatusCode, Error> {
    let exchange = async {
        let mut connection = Connection::connect(address, TEST_TIMEOUT).await?;
        let request = Request::get("/x")
            .header("host", "a")
            .body(Payload::default());
        let (request, no_limit) = (request.unwrap(), Duration::from_secs(3_600));
        let status = match wanted {
            Some(wanted) => {
                let response = connection.call(request, no_limit, wanted, memory);
                response.await?.status
            }
            None => {
                let response = connection.send_request(request, no_limit, memory);
                response.await?.status
            }
        };
        Ok(status)
    };
    let outcome = timeout(TEST_TIMEOUT, LocalSet::new().run_until(exchange)).await;
    outcome.expect("the response is read without end")
}

/// Guards against a connection that is read as long as its server sends, whatever that is.
#[tokio::test]
async fn response_without_an_end_is_given_up_before_the_deadline() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let endless = [
        ("", INTERIM_HEAD),
        ("", "\r\n"),
        ("HTTP/1.1 ", "2"),
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "y"),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 4611686018427387904\r\n\r\n",
            "y",
        ),
        ("HTTP/1.1 500 Error\r\n\r\n", "y"),
        (chunked, "1\r\ny\r\n"),
        (chunked, "0"),
        (&format!("{chunked}1;"), "y"),
        (&format!("{chunked}0\r\n"), "x: y\r\n"),
    ];
    for (start, repeated) in endless {
        let address = start_endless_server(start, repeated);
        for wanted in [None, Some(Wanted::Head), Some(Wanted::Body(1 << 20))] {
            let memory = memory();

            let outcome = get_without_limit(address, wanted, &memory).await;

            let is_given_up = matches!(outcome, Err(Error::NoResponse(_)));
            assert!(
                is_given_up,
                "{start:?} {repeated:?} {wanted:?}: {outcome:?}"
            );
            assert_eq!(memory.usage().0, 0, "{start:?} {repeated:?} {wanted:?}");
        }
    }
}

/// Guards against a peer that keeps a task reading, so that no other task runs.
#[tokio::test]
async fn reading_is_interrupted_while_bytes_are_there() {
    let address = start_endless_server("", "y");
    let mut peer = TcpStream::connect(address).unwrap();
    peer.write_all(b"x").unwrap();
    peer.set_nonblocking(true).unwrap();
    let mut stream = BoundedStream::new(tokio::net::TcpStream::from_std(peer).unwrap());
    let mut longest = 0;

    for _ in 0..50 {
        tokio::task::yield_now().await;
        let mut context = Context::from_waker(Waker::noop());
        let mut burst = 0;
        loop {
            let mut bytes = [0; 100_000];
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut stream).poll_read(&mut context, &mut buffer) {
                Poll::Ready(read) => read.unwrap(),
                Poll::Pending => break,
            }
            burst += buffer.filled().len();
            assert!(burst < 1_000_000, "no end");
        }
        longest = longest.max(burst);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    assert!((1..100_000).contains(&longest), "{longest}");
}

/// Guards against a response that is given up, or whose connection is, although it has no more
/// than it may.
#[tokio::test]
async fn connection_is_used_again_behind_a_short_response() {
    let upstream = upstream::start(any_port(), "u1", false).await.unwrap();
    let (address, memory) = (upstream.address(), memory());
    let exchange = async {
        let mut connection = Connection::connect(address, TEST_TIMEOUT).await?;
        let mut bodies = Vec::new();
        for wanted in [Wanted::Head, Wanted::Body(8), Wanted::Body(7)] {
            let request = Request::get("/health")
                .header("host", "a")
                .body(Payload::default());
            let response = connection.call(request.unwrap(), TEST_TIMEOUT, wanted, &memory);
            bodies.push(response.await.map(|response| response.body));
        }
        Ok::<_, Error>(bodies)
    };

    let bodies = LocalSet::new().run_until(exchange).await.unwrap();

    assert_eq!(bodies[0], Ok("".into()));
    assert_eq!(bodies[1], Ok("healthy\n".into()));
    assert!(matches!(bodies[2], Err(Error::NoResponse(_))), "{bodies:?}");
}
