//! HTTP adapter for the grant endpoint of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use medlarreel_core::grant::{Request, Response};
use medlarreel_core::time::Time;

use super::http::{HttpClient, get_request, post_request};
use super::{AdapterFuture, GrantClient, PlatformError};

/// Timeout of grants and queries, shorter than the interval between renewals so that
/// calls do not pile up.
const CALL_TIMEOUT: Duration = Duration::from_millis(240);

/// Incarnation of upstreams without a grant endpoint, which report none.
const DEFAULT_INCARNATION: u64 = 1;

/// Sends grants to upstreams over HTTP.
#[derive(Clone, Debug)]
pub struct HttpGrantClient {
    client: HttpClient,
}

impl HttpGrantClient {
    /// Creates an adapter for all upstreams.
    pub fn new() -> HttpGrantClient {
        HttpGrantClient {
            client: HttpClient::new(CALL_TIMEOUT),
        }
    }

    async fn send_query(&self, address: SocketAddr) -> Result<Response, PlatformError> {
        let request = get_request(format!("http://{address}/medlar/grant"))?;
        self.call(request).await
    }

    async fn send_grant(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<Response, PlatformError> {
        let body = serde_json::to_vec(&request).map_err(|_| PlatformError::Malformed)?;
        self.call(post_request(
            format!("http://{address}/medlar/grant"),
            Bytes::from(body),
        )?)
        .await
    }

    async fn call(
        &self,
        request: hyper::Request<http_body_util::Full<Bytes>>,
    ) -> Result<Response, PlatformError> {
        let response = self.client.send(request, CALL_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => response.json(),
            StatusCode::NOT_FOUND => Ok(response_without_grants()),
            _ => Err(PlatformError::Unavailable),
        }
    }
}

/// Response for an upstream without a grant endpoint, which only shows that it is alive.
fn response_without_grants() -> Response {
    Response {
        incarnation: DEFAULT_INCARNATION,
        clock: Time(0),
        accepted: false,
        version: None,
        shards: Vec::new(),
        in_flight: 0,
        slots: 0,
        draining: false,
    }
}

impl Default for HttpGrantClient {
    fn default() -> Self {
        HttpGrantClient::new()
    }
}

impl GrantClient for HttpGrantClient {
    fn query(&self, address: SocketAddr) -> AdapterFuture<'_, Response> {
        Box::pin(self.send_query(address))
    }

    fn grant(&self, address: SocketAddr, request: Request) -> AdapterFuture<'_, Response> {
        Box::pin(self.send_grant(address, request))
    }
}
