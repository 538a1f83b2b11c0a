//! Small HTTP client for tests and the local run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::server;

/// Largest answer, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// A request to be sent.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// An answer, read completely.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// One connection, for exchanges one after the other.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    host: String,
}

impl ClientRequest {
    /// `GET` of a path.
    pub fn get(path: &str) -> ClientRequest {
        ClientRequest {
            path: path.to_owned(),
            ..ClientRequest::default()
        }
    }

    /// `POST` of a body.
    pub fn post(path: &str, body: impl Into<Bytes>) -> ClientRequest {
        let (method, body) = (Method::POST, body.into());
        ClientRequest {
            method,
            body,
            ..ClientRequest::get(path)
        }
    }

    /// `POST` of a JSON value.
    pub fn post_json(path: &str, value: &impl Serialize) -> ClientRequest {
        let body = serde_json::to_vec(value).expect("requests have string keys");
        ClientRequest::post(path, body)
    }

    /// The same request with one more header.
    pub fn with_header(mut self, name: &str, value: &str) -> ClientRequest {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends the request over a connection of its own.
    ///
    /// # Errors
    ///
    /// The connection fails, or no answer arrives within `limit`.
    pub async fn send(self, address: SocketAddr, limit: Duration) -> Result<ClientResponse, Error> {
        let exchange = async { Connection::open(address).await?.send(self).await };
        let done = tokio::time::timeout(limit, exchange).await;
        done.unwrap_or(Err(Error::Timeout))
    }
}

impl ClientResponse {
    /// Value of a header, if it is present and text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Body as JSON.
    ///
    /// # Errors
    ///
    /// The body is something else.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        crate::fault::parse_json(&self.body)
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The address does not accept it.
    pub async fn open(address: SocketAddr) -> Result<Connection, Error> {
        let stream = server::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let host = address.to_string();
        Ok(Connection { sender, host })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// The connection fails or the request cannot be written as HTTP.
    pub async fn send(&mut self, ask: ClientRequest) -> Result<ClientResponse, Error> {
        let mut request = Request::builder().method(ask.method).uri(ask.path);
        request = request.header("host", &self.host);
        for (name, value) in ask.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(ask.body));
        let request = request.map_err(|error| Error::Malformed(error.to_string()))?;
        self.sender.ready().await?;
        let (head, body) = self.sender.send_request(request).await?.into_parts();
        let body = Limited::new(body, MAX_ANSWER).collect().await;
        let body = body.map_err(|error| Error::Connection(error.to_string()))?;
        let (status, headers, body) = (head.status.as_u16(), head.headers, body.to_bytes());
        Ok(ClientResponse {
            status,
            headers,
            body,
        })
    }
}
