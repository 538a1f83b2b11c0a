//! Small HTTP client for calls to the platform and to upstreams' grant endpoint.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::PlatformError;

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Idle connections are dropped after this time, before middleboxes forget them.
const IDLE: Duration = Duration::from_secs(5);

/// HTTP client with pooled connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Status and body of an answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}

impl HttpClient {
    /// Client whose connection attempts end after `connect`.
    pub fn new(connect: Duration) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect));
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_idle_timeout(IDLE)
            .pool_timer(TokioTimer::new());
        HttpClient {
            client: builder.build(connector),
        }
    }

    /// Sends a request and reads the whole answer within `limit`.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<HttpResponse, PlatformError> {
        let exchange = async {
            let answer = self
                .client
                .request(request)
                .await
                .map_err(|_| PlatformError::Unavailable)?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
            let body = body.map_err(|_| PlatformError::Unavailable)?.to_bytes();
            Ok(HttpResponse { status, body })
        };
        let outcome = tokio::time::timeout(limit, exchange).await;
        outcome.unwrap_or(Err(PlatformError::Unavailable))
    }
}

impl HttpResponse {
    /// Decodes the body as JSON.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body).map_err(|_| PlatformError::Malformed)
    }
}

/// Builds a GET request.
pub fn get_request(uri: String) -> Result<Request<Full<Bytes>>, PlatformError> {
    Request::get(uri)
        .body(Full::default())
        .map_err(|_| PlatformError::Malformed)
}

/// Builds a POST request with a body.
pub fn post_request(uri: String, body: Bytes) -> Result<Request<Full<Bytes>>, PlatformError> {
    Request::post(uri)
        .body(Full::new(body))
        .map_err(|_| PlatformError::Malformed)
}
