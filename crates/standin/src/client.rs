//! Small HTTP client for tests and local runs.

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

/// Maximum size of a response body.
const MAX_RESPONSE_BODY_BYTES: usize = 64 << 20;

/// A request to send.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// HTTP method.
    pub method: Method,
    /// Path, including the query.
    pub path: String,
    /// Names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
}

/// A response that has been read completely.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// A connection that carries one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    host: String,
}

impl ClientRequest {
    /// `GET` request for a path.
    pub fn get(path: &str) -> ClientRequest {
        ClientRequest {
            path: path.to_owned(),
            ..ClientRequest::default()
        }
    }

    /// `POST` request with a body.
    pub fn post(path: &str, body: impl Into<Bytes>) -> ClientRequest {
        let (method, body) = (Method::POST, body.into());
        ClientRequest {
            method,
            body,
            ..ClientRequest::get(path)
        }
    }

    /// `POST` request with a JSON body.
    pub fn post_json(path: &str, value: &impl Serialize) -> ClientRequest {
        let body = serde_json::to_vec(value).expect("requests have string keys");
        ClientRequest::post(path, body)
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> ClientRequest {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends the request over a new connection.
    ///
    /// # Errors
    ///
    /// The connection fails, the request is not valid HTTP, the response body is too
    /// large, or no complete response arrives within `timeout`.
    pub async fn send(
        self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<ClientResponse, Error> {
        let exchange = async { Connection::open(address).await?.send(self).await };
        let result = tokio::time::timeout(timeout, exchange).await;
        result.unwrap_or(Err(Error::Timeout))
    }
}

impl ClientResponse {
    /// Value of a header, if it is present and consists of visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// The body is not valid JSON for `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        crate::fault::parse_json(&self.body)
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The connection cannot be established.
    pub async fn open(address: SocketAddr) -> Result<Connection, Error> {
        let stream = server::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let host = address.to_string();
        Ok(Connection { sender, host })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// The connection fails, the request is not valid HTTP, or the response body is too
    /// large.
    pub async fn send(&mut self, client_request: ClientRequest) -> Result<ClientResponse, Error> {
        let mut request = Request::builder()
            .method(client_request.method)
            .uri(client_request.path);
        request = request.header("host", &self.host);
        for (name, value) in client_request.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(client_request.body));
        let request = request.map_err(|error| Error::Malformed(error.to_string()))?;
        self.sender.ready().await?;
        let (head, body) = self.sender.send_request(request).await?.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BODY_BYTES).collect().await;
        let body = body.map_err(|error| Error::Connection(error.to_string()))?;
        let (status, headers, body) = (head.status.as_u16(), head.headers, body.to_bytes());
        Ok(ClientResponse {
            status,
            headers,
            body,
        })
    }
}
