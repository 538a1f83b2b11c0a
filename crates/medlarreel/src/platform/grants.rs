//! HTTP adapter for upstreams' grant endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use medlarreel_core::grant::{Request, Response};
use medlarreel_core::time::Time;

use super::http::{HttpClient, get_request, post_request};
use super::{AdapterFuture, GrantClient, PlatformError};

/// A grant or query without an answer for this long has failed; shorter than
/// the time between renewals, so that calls do not pile up.
const CALL_LIMIT: Duration = Duration::from_millis(240);

/// Incarnation of upstreams that name none.
const UNNAMED: u64 = 1;

/// Upstreams that take grants over HTTP.
#[derive(Clone, Debug)]
pub struct HttpGrantClient {
    client: HttpClient,
}

impl HttpGrantClient {
    /// Adapter for all upstreams.
    pub fn new() -> HttpGrantClient {
        HttpGrantClient {
            client: HttpClient::new(CALL_LIMIT),
        }
    }

    async fn query_one(&self, address: SocketAddr) -> Result<Response, PlatformError> {
        let request = get_request(format!("http://{address}/medlar/grant"))?;
        self.answer(request).await
    }

    async fn grant_one(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<Response, PlatformError> {
        let body = serde_json::to_vec(&request).map_err(|_| PlatformError::Malformed)?;
        self.answer(post_request(
            format!("http://{address}/medlar/grant"),
            Bytes::from(body),
        )?)
        .await
    }

    async fn answer(
        &self,
        request: hyper::Request<http_body_util::Full<Bytes>>,
    ) -> Result<Response, PlatformError> {
        let response = self.client.send(request, CALL_LIMIT).await?;
        match response.status {
            StatusCode::OK => response.json(),
            StatusCode::NOT_FOUND => Ok(without_grants()),
            _ => Err(PlatformError::Unavailable),
        }
    }
}

/// Answer of an upstream that takes no grants: all it says is that it lives.
fn without_grants() -> Response {
    Response {
        incarnation: UNNAMED,
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
        Box::pin(self.query_one(address))
    }

    fn grant(&self, address: SocketAddr, request: Request) -> AdapterFuture<'_, Response> {
        Box::pin(self.grant_one(address, request))
    }
}
