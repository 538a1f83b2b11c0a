//! Callers that hold on to what an instance gives them. Each keeps its connection open
//! until its task is dropped.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::upstream::LARGE_PATH;

/// Pause of a slow reader between two reads.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// How a request body is sent.
#[derive(Clone, Copy)]
pub enum Body {
    /// With its length, as fast as the instance reads.
    Whole(usize),
    /// With its length, but without its last byte.
    Short(usize),
    /// In chunks of a size, without the last chunk.
    ShortInChunks(usize, usize),
}

/// What a caller does.
#[derive(Clone, Copy)]
pub enum Caller {
    /// Sends a body and reads the answer.
    Send(Body),
    /// Requests a large response and doesn't read it.
    Ignore,
    /// Requests a large response and reads it slowly.
    ReadSlowly,
    /// Sends nothing.
    Idle,
    /// Sends most of a head.
    HalfHead,
}

/// Runs a caller; errors of its connection end what it sends.
pub async fn run(address: SocketAddr, number: usize, caller: Caller) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let act = async {
        match caller {
            Caller::Send(body) => send(&mut stream, number, body).await?,
            Caller::Ignore | Caller::ReadSlowly => {
                let head = head("GET", LARGE_PATH, number) + "\r\n";
                stream.write_all(head.as_bytes()).await?;
            }
            Caller::Idle => {}
            Caller::HalfHead => {
                let head = head("GET", "/catalogue/x", number);
                let head = format!("{head}filler: {}", "z".repeat(12 << 10));
                stream.write_all(head.as_bytes()).await?;
            }
        }
        if matches!(caller, Caller::ReadSlowly) {
            let mut part = [0; 1024];
            while stream.read(&mut part).await? > 0 {
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
        if matches!(caller, Caller::Send(_)) {
            let mut part = [0; 1024];
            while stream.read(&mut part).await? > 0 {}
        }
        std::io::Result::Ok(())
    };
    act.await.ok();
    pending::<()>().await;
}

fn head(method: &str, path: &str, number: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: loft.example\r\nAttempt-Id: crowd-{number}\r\n\
         Deadline-Ms: 5000\r\n"
    )
}

async fn send(stream: &mut TcpStream, number: usize, body: Body) -> std::io::Result<()> {
    let head = head("POST", "/catalogue/x", number);
    let (Body::Whole(size) | Body::Short(size) | Body::ShortInChunks(size, _)) = body;
    let framing = match body {
        Body::ShortInChunks(..) => "Transfer-Encoding: chunked\r\n\r\n".to_owned(),
        _ => format!("Content-Length: {size}\r\n\r\n"),
    };
    stream.write_all((head + &framing).as_bytes()).await?;
    let piece = match body {
        Body::ShortInChunks(_, chunk) => format!("{chunk:x}\r\n{}\r\n", "y".repeat(chunk)),
        _ => "y".repeat(64 << 10),
    };
    let (mut left, data) = match body {
        Body::Whole(size) => (size, piece.len()),
        Body::Short(size) => (size - 1, piece.len()),
        Body::ShortInChunks(size, chunk) => (size, chunk),
    };
    let pieces = piece.repeat((64 << 10) / data);
    while left >= 64 << 10 {
        stream.write_all(pieces.as_bytes()).await?;
        left -= 64 << 10;
    }
    if !matches!(body, Body::ShortInChunks(..)) {
        stream.write_all(&pieces.as_bytes()[..left]).await?;
    }
    Ok(())
}
