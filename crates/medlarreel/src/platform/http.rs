//! HTTP client for calls to platform services and to the grant endpoint of upstreams.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::PlatformError;

/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Idle time after which a pooled connection is dropped, before middleboxes forget it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Status and body of a response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

impl HttpClient {
    /// Creates a client with a timeout for connection attempts.
    pub fn new(connect_timeout: Duration) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new());
        HttpClient {
            client: builder.build(connector),
        }
    }

    /// Sends a request and reads the complete response within `timeout`.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpResponse, PlatformError> {
        let exchange = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|_| PlatformError::Unavailable)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await;
            let body = body.map_err(|_| PlatformError::Unavailable)?.to_bytes();
            Ok(HttpResponse { status, body })
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        result.unwrap_or(Err(PlatformError::Unavailable))
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
