//! One HTTP/1.1 connection to the store, to an upstream or to both in turn.
//!
//! A connection on which an exchange ended without a whole answer is reset and
//! never used again, so that neither late answers nor late requests can appear
//! on it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};

use crate::error::Error;

/// Time without an acknowledgement after which the system gives a connection up.
/// It is the only sign of a connection that has gone silent.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest answer that is read, in bytes. Instances have 160 MB and more.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status code.
    pub status: StatusCode,
    /// All header fields.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// `NotSent` if there is no connection.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Connection, Error> {
        let connecting = async {
            let stream = open(address).await.map_err(not_sent)?;
            let (sender, connection) = http1::Builder::new()
                .handshake(TokioIo::new(stream))
                .await
                .map_err(not_sent)?;
            tokio::task::spawn_local(async move {
                // Whoever waits for an answer gets the error as well.
                if let Err(error) = connection.await {
                    tracing::trace!(%address, %error, "connection ended");
                }
            });
            Ok(Connection { sender })
        };
        let connected = tokio::time::timeout(limit, connecting).await;
        connected.unwrap_or_else(|_| Err(Error::NotSent("connecting took too long".into())))
    }

    /// Whether another request can be sent.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Sends a request and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// `NotSent` if nothing was written, `NoAnswer` otherwise.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<BufferedResponse, Error> {
        let exchange = async {
            self.sender
                .ready()
                .await
                .map_err(|error| Error::NotSent(error.to_string()))?;
            let answer = self.sender.try_send_request(request).await;
            let answer = answer.map_err(|mut error| match error.take_message() {
                Some(_) => not_sent(error.into_error()),
                None => no_answer(error.into_error()),
            })?;
            let (parts, body) = answer.into_parts();
            let body = Limited::new(body, MAX_ANSWER).collect().await;
            Ok(BufferedResponse {
                status: parts.status,
                headers: parts.headers,
                body: body.map_err(no_answer)?.to_bytes(),
            })
        };
        let answer = tokio::time::timeout(limit, exchange).await;
        answer.unwrap_or_else(|_| Err(Error::NoAnswer("the time is up".into())))
    }
}

async fn open(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let options = socket2::SockRef::from(&socket);
    options.set_tcp_nodelay(true)?;
    options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    // A reset discards what is still under way, so that an abandoned request
    // can't arrive later.
    options.set_linger(Some(Duration::ZERO))?;
    socket.connect(address).await
}

fn not_sent(error: impl std::fmt::Display) -> Error {
    Error::NotSent(error.to_string())
}

fn no_answer(error: impl std::fmt::Display) -> Error {
    Error::NoAnswer(error.to_string())
}
