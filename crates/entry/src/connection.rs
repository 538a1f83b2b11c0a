//! HTTP/1.1 client connections to the store and to upstreams.
//!
//! If a request ends without a complete response, its connection is reset and never
//! reused, so that neither a late response nor a late request can appear on it.

use std::error::Error as _;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use medlarreel_core::entry::memory::{SMALL_BODY_BYTES, Stage};
use tokio::net::{TcpSocket, TcpStream};

use crate::body::{self, CollectError, Payload, announced_length};
use crate::bounded_stream::{Allowance, BoundedStream};
use crate::error::Error;
use crate::memory::{Memory, Portion};

/// Time that sent data may stay unacknowledged before the kernel closes the connection.
/// Nothing else detects a peer that has gone silent.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of a response body in bytes. Instances have at least 160 MB of memory.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of bytes up to the end of a response head, including interim heads and
/// what is read of the body together with the head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of bytes in a response body that are not data, such as lengths of chunks
/// and trailers, in addition to as many as there are data.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

/// Maximum number of bytes up to the end of the head of a response to a call of this
/// instance's own, which has a status and a few fields.
const MAX_CALL_HEAD_BYTES: usize = 16 * 1024;

/// Maximum size in bytes of a response body that is read and dropped, so that its connection
/// can be used again. Upstreams answer orders and health checks with a few words.
const MAX_DROPPED_BYTES: usize = 64 * 1024;

/// Number of refusals after which a connection is not used again, so that the list of
/// refused attempts stays short.
const MAX_REFUSED_ATTEMPTS: usize = 32;

/// Bounds of the time for which a new connection is watched in `confirm_accepted`. The
/// lower one leaves time to handle a reset that has arrived, the upper one limits the
/// delay on a busy instance, where connecting seems to take longer than it does.
const ACCEPT_WAIT_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(1), Duration::from_millis(20));

/// A response whose body has been read completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Payload,
}

/// What an instance takes of the response to a call of its own.
#[derive(Clone, Copy, Debug)]
pub enum Wanted {
    /// The status and the header fields. A short body is read and dropped.
    Head,
    /// Also the body, of up to this many bytes.
    Body(usize),
}

/// Response to a call of an instance's own.
#[derive(Debug)]
pub struct CallResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body; empty if it was not wanted.
    pub body: Bytes,
    /// Memory of the response.
    _memory: Portion,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Payload>,
    /// Number of bytes that the server may still send.
    allowance: Allowance,
    /// Time at which the connection was established.
    opened: Instant,
    /// Time that connecting took, about one round trip.
    connect_time: Duration,
    /// Ids of the attempts that were refused on this connection.
    refused_attempts: Vec<String>,
}

impl Connection {
    /// Connects to `address` within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns `NoListener` if the connection is refused, `NotAccepted` if the server resets
    /// it, and `NotSent` if none is established otherwise.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, Error> {
        let started = Instant::now();
        let connecting = async {
            let stream = open_stream(address).await.map_err(connect_error)?;
            let stream = BoundedStream::new(stream);
            let allowance = stream.allowance();
            allowance.set(MAX_HEAD_BYTES);
            let (sender, connection) = http1::Builder::new()
                .handshake(TokioIo::new(stream))
                .await
                .map_err(not_sent)?;
            tokio::task::spawn_local(async move {
                // The error is also returned to the task that waits for a response.
                if let Err(error) = connection.await {
                    tracing::trace!(%address, %error, "connection ended");
                }
            });
            Ok(Connection {
                sender,
                allowance,
                opened: Instant::now(),
                connect_time: started.elapsed(),
                refused_attempts: Vec::new(),
            })
        };
        let connected = tokio::time::timeout(timeout, connecting).await;
        connected.unwrap_or_else(|_| Err(Error::NotSent("connecting took too long".into())))
    }

    /// Waits for a round trip and checks that the server has not reset the connection. A
    /// server at its connection limit accepts connections and resets them at once; if a
    /// request is written before the reset arrives, it is unknown whether it has run.
    ///
    /// # Errors
    ///
    /// Returns `NotAccepted` if the connection is closed.
    pub async fn confirm_accepted(&self) -> Result<(), Error> {
        let (shortest, longest) = ACCEPT_WAIT_BOUNDS;
        tokio::time::sleep(self.connect_time.clamp(shortest, longest)).await;
        match self.sender.is_closed() {
            true => Err(Error::NotAccepted),
            false => Ok(()),
        }
    }

    /// Time since the connection was established.
    pub fn age(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Counts the age from when an older connection was established, which leads to the same
    /// process: its server has answered on it since this one was established.
    pub fn take_place_of(&mut self, older: &Connection) {
        self.opened = older.opened;
    }

    /// Whether the connection can take another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Whether the server has refused a request on this connection. A further refusal that
    /// names no attempt may be a copy of that one.
    pub fn has_refused(&self) -> bool {
        !self.refused_attempts.is_empty()
    }

    /// Whether the server has refused an attempt on this connection. A copy of that refusal
    /// could be taken for the answer if the attempt were sent on it again.
    pub fn has_refused_attempt(&self, attempt: &str) -> bool {
        self.refused_attempts.iter().any(|id| id == attempt)
    }

    /// Records that the server has refused an attempt. Returns false if the connection has
    /// had so many refusals that it should not be used again.
    pub fn record_refusal(&mut self, attempt: &str) -> bool {
        self.refused_attempts.push(attempt.to_owned());
        self.refused_attempts.len() < MAX_REFUSED_ATTEMPTS
    }

    /// Sends a caller's request and reads the complete response within `timeout`. The response
    /// is counted in `memory`, and waits for room there.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` if nothing was written, `ConnectionLost` if the server ended the
    /// connection before the response, and `NoResponse` otherwise, also if the response is
    /// given up because memory is short.
    pub async fn send_request(
        &mut self,
        request: Request<Payload>,
        timeout: Duration,
        memory: &Memory,
    ) -> Result<BufferedResponse, Error> {
        let round_trip = async {
            let (parts, body) = self.send(request, MAX_HEAD_BYTES).await?;
            let length = announced_length(&body);
            let body = body.map_frame(|frame| {
                let data = frame.data_ref().map_or(0, Bytes::len);
                self.allowance.extend(2 * data);
                frame
            });
            let is_large = length.is_some_and(|length| length > SMALL_BODY_BYTES);
            let lease = (length != Some(0)).then(|| memory.open(Stage::Receiving, is_large));
            let collecting = body::collect(body, length, MAX_RESPONSE_BYTES, lease.as_ref());
            let body = match &lease {
                Some(lease) => tokio::select! {
                    body = collecting => body,
                    () = lease.wait_evicted() => Err(CollectError::Evicted),
                },
                None => collecting.await,
            };
            Ok(BufferedResponse {
                status: parts.status,
                headers: parts.headers,
                body: body.map_err(|error| body_error(&error))?,
            })
        };
        end_within(timeout, round_trip).await
    }

    /// Sends a request of this instance's own and reads what is wanted of the response within
    /// `timeout`. The response is counted in `memory`, and doesn't wait for room there.
    ///
    /// # Errors
    ///
    /// As `send_request`. Returns `NoResponse` also if the response has more than it may.
    pub async fn call(
        &mut self,
        request: Request<Payload>,
        timeout: Duration,
        wanted: Wanted,
        memory: &Memory,
    ) -> Result<CallResponse, Error> {
        let mut taken = memory.take(MAX_CALL_HEAD_BYTES);
        let round_trip = async {
            let (parts, body) = self.send(request, MAX_CALL_HEAD_BYTES).await?;
            let body = self.read_bounded(body, wanted, &mut taken).await;
            Ok((parts, body.map_err(|error| body_error(&error))?))
        };
        let (parts, body) = end_within(timeout, round_trip).await?;
        Ok(CallResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            _memory: taken,
        })
    }

    /// Sends a request and reads the head of the response, which ends within `max_head` bytes.
    async fn send(
        &mut self,
        request: Request<Payload>,
        max_head: usize,
    ) -> Result<(Parts, Incoming), Error> {
        self.sender
            .ready()
            .await
            .map_err(|error| Error::NotSent(error.to_string()))?;
        self.allowance.set(max_head);
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(|mut error| match error.take_message() {
            Some(_) => not_sent(error.into_error()),
            None => response_error(&error.into_error()),
        })?;
        let (parts, body) = response.into_parts();
        check_status(parts.status)?;
        self.allowance.set(MAX_FRAMING_BYTES);
        Ok((parts, body))
    }

    /// Reads a body to its end and returns what is wanted of it. What is kept is counted in
    /// `taken`.
    async fn read_bounded(
        &self,
        mut body: Incoming,
        wanted: Wanted,
        taken: &mut Portion,
    ) -> Result<Bytes, CollectError> {
        let (limit, is_kept) = match wanted {
            Wanted::Head => (MAX_DROPPED_BYTES, false),
            Wanted::Body(limit) => (limit, true),
        };
        let announced = body.size_hint().lower();
        if announced > limit as u64 {
            return Err(CollectError::TooLong);
        }
        let (mut kept, mut length) = (BytesMut::new(), 0);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(CollectError::Failed)?.into_data() else {
                continue;
            };
            length += data.len();
            if length > limit {
                return Err(CollectError::TooLong);
            }
            self.allowance.extend(2 * data.len());
            if is_kept {
                let capacity = kept.capacity();
                kept.reserve(data.len());
                taken.extend(kept.capacity().saturating_sub(capacity));
                kept.extend_from_slice(&data);
            }
        }
        Ok(kept.freeze())
    }
}

/// Waits for the end of an exchange, and gives it up after `timeout`.
async fn end_within<T>(
    timeout: Duration,
    exchange: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let ended = tokio::time::timeout(timeout, exchange).await;
    ended.unwrap_or_else(|_| Err(Error::NoResponse("the time is up".into())))
}

async fn open_stream(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let options = socket2::SockRef::from(&socket);
    options.set_tcp_nodelay(true)?;
    options.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    // A linger time of zero resets the connection on close. The reset discards data that
    // is still in transit, so that an abandoned request cannot arrive later.
    options.set_linger(Some(Duration::ZERO))?;
    socket.connect(address).await
}

/// A server at its connection limit may reset a connection before it counts as established.
fn not_sent(error: impl std::fmt::Display) -> Error {
    Error::NotSent(error.to_string())
}

fn connect_error(error: std::io::Error) -> Error {
    match error.kind() {
        ErrorKind::ConnectionRefused => Error::NoListener,
        ErrorKind::ConnectionReset => Error::NotAccepted,
        _ => not_sent(error),
    }
}

/// Whether a server refuses connections, as the address of an ended process does. Errors
/// other than a refusal show nothing, nor does a connection that isn't established within
/// `timeout`.
pub async fn is_refused(address: SocketAddr, timeout: Duration) -> bool {
    let connected = tokio::time::timeout(timeout, open_stream(address)).await;
    let error = connected.ok().and_then(Result::err);
    error.is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Checks that a response is a final one of the protocol. No request asks for an upgrade, so
/// 101 is none. What sends another status may have run the request or not.
fn check_status(status: StatusCode) -> Result<(), Error> {
    match status.as_u16() {
        200..=599 => Ok(()),
        invalid => Err(Error::NoResponse(format!("status {invalid} is invalid"))),
    }
}

fn response_error(error: &hyper::Error) -> Error {
    let cause = error.source();
    let cause = cause.and_then(|cause| cause.downcast_ref::<std::io::Error>());
    // The server goes on with bytes that are no response, or more than one may have.
    let is_invalid = cause.is_some_and(|cause| {
        let kind = cause.kind();
        matches!(kind, ErrorKind::InvalidData | ErrorKind::InvalidInput)
    });
    match error.is_parse() || is_invalid {
        true => Error::NoResponse(error.to_string()),
        false => Error::ConnectionLost(error.to_string()),
    }
}

fn body_error(error: &CollectError) -> Error {
    match error {
        CollectError::Failed(error) => response_error(error),
        CollectError::TooLong => Error::NoResponse("the response is too long".into()),
        CollectError::Evicted => Error::NoResponse("given up: memory is short".into()),
    }
}
