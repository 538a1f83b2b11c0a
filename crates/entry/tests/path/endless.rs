//! Servers that send bytes without end.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::Duration;

use http::Request;
use medlarreel_entry::body::Payload;
use medlarreel_entry::bounded_stream::BoundedStream;
use medlarreel_entry::connection::{BufferedResponse, Connection};
use medlarreel_entry::error::Error;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::fixture::TEST_TIMEOUT;

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

/// Sends a request without a time limit of its own. Panics if there is no outcome.
async fn get_without_limit(address: SocketAddr) -> Result<BufferedResponse, Error> {
    let exchange = async {
        let mut connection = Connection::connect(address, TEST_TIMEOUT).await?;
        let request = Request::get("/x")
            .header("host", "a")
            .body(Payload::default());
        let no_limit = Duration::from_secs(3_600);
        connection.send_request(request.unwrap(), no_limit).await
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
        (chunked, "1\r\ny\r\n"),
        (chunked, "0"),
        (&format!("{chunked}1;"), "y"),
        (&format!("{chunked}0\r\n"), "x: y\r\n"),
    ];
    for (start, repeated) in endless {
        let address = start_endless_server(start, repeated);

        let outcome = get_without_limit(address).await;

        let is_given_up = matches!(outcome, Err(Error::NoResponse(_)));
        assert!(is_given_up, "{start:?} {repeated:?}: {outcome:?}");
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
