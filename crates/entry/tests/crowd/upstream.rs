//! Upstream that drops what it reads, so that the test process stays small, and answers
//! with a large body where one is asked for.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Path whose responses are large.
pub const LARGE_PATH: &str = "/catalogue/large";

/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(200);

/// Starts an upstream whose large responses have `large` bytes.
pub fn start(large: usize) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            thread::spawn(move || serve(&stream, large).ok());
        }
    });
    address
}

/// Reads a request, drops its body and returns its head; `None` if there is no further one.
pub fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<String>> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head)? == 0 {
            return Ok(None);
        }
    }
    let length = field(&head, "content-length").and_then(|length| length.parse().ok());
    let mut body = Read::take(reader, length.unwrap_or(0));
    std::io::copy(&mut body, &mut std::io::sink())?;
    Ok(Some(head))
}

/// Value of a field of a head.
fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let found = fields.find(|(found, _)| found.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value)
}

fn serve(stream: &TcpStream, large: usize) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_request(&mut reader)? {
        thread::sleep(RUN_TIME);
        let attempt = field(&head, "attempt-id").unwrap_or("-");
        let size = if head.contains(LARGE_PATH) { large } else { 2 };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: 3e1b.07\r\n\
             Content-Length: {size}\r\n\r\n"
        );
        let mut stream = stream;
        stream.write_all(answer.as_bytes())?;
        stream.write_all(&vec![b'z'; size])?;
    }
    Ok(())
}
