//! Upstream that answers calls to one path without end, and all others soundly.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

use crate::upstream;

/// Answers without end: what they begin with, and what is repeated until the connection is
/// closed.
pub const ANSWERS: [(&str, &str); 6] = [
    ("HTTP/1.1 200 OK\r\n\r\n", "y"),
    ("HTTP/1.1 500 Error\r\n\r\n", "y"),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10\r\nyyyyyyyyyyyyyyyy\r\n",
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 4611686018427387904\r\n\r\n",
        "y",
    ),
    ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
    ("HTTP/1.1 200 OK\r\nHandover: ", "y"),
];

/// Starts the upstream with this id.
pub fn start(id: String, path: &'static str, answer: (&'static str, &'static str)) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let id = id.clone();
            thread::spawn(move || serve(&stream, &id, path, answer).ok());
        }
    });
    address
}

fn serve(
    stream: &TcpStream,
    id: &str,
    path: &str,
    (start, repeated): (&str, &str),
) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    let mut stream = stream;
    while let Some(head) = upstream::read_request(&mut reader)? {
        if head.contains(path) {
            let repeated = repeated.repeat(4_096);
            stream.write_all(start.as_bytes())?;
            loop {
                stream.write_all(repeated.as_bytes())?;
            }
        }
        let sound = format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(sound.as_bytes())?;
    }
    Ok(())
}
