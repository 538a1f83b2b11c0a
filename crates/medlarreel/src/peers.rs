//! HTTP between instances: forwarded requests, records and state.
//!
//! The server handles all HTTP requests on the peer address. The client fetches records
//! and state; requests are forwarded by `proxy`. Control frames between instances are
//! sent over UDP; see `control`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body_util::Full;
use medlarreel_core::fold::State;
use medlarreel_core::ids::Offset;

use crate::app::App;
use crate::dispatch::BufferedResponse;
use crate::listen::{IncomingRequest, plain_text};
use crate::platform::PlatformError;
use crate::platform::http::HttpClient;
use crate::proxy::{self, call};

/// Timeout of one request to a peer. A fetch makes up to two.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Data fetched from a peer.
#[derive(Debug)]
pub enum PeerCopy {
    /// Records from the requested offset on.
    Records(Vec<(Offset, Bytes)>),
    /// The whole state, because the peer does not keep the requested records.
    State(Box<State>),
}

/// Client for fetching records and state from peers.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    token: HeaderValue,
}

impl Client {
    /// Creates a client that authenticates with the peer token.
    pub fn new(token: HeaderValue) -> Client {
        Client {
            http: HttpClient::new(CONNECT_TIMEOUT),
            token,
        }
    }

    /// Fetches the records from an offset on, or the whole state if the peer does not
    /// keep them.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not respond, has no established state to send, or sends a
    /// response that cannot be decoded.
    pub async fn fetch(&self, peer: SocketAddr, from: Offset) -> Result<PeerCopy, PlatformError> {
        let response = self
            .get(format!("http://{peer}/records?from={}", from.0))
            .await?;
        if response.status == StatusCode::OK {
            let records =
                postcard::from_bytes(&response.body).map_err(|_| PlatformError::Malformed)?;
            return Ok(PeerCopy::Records(records));
        }
        let response = self.get(format!("http://{peer}/state")).await?;
        if response.status != StatusCode::OK {
            return Err(PlatformError::Unavailable);
        }
        let state = postcard::from_bytes(&response.body).map_err(|_| PlatformError::Malformed)?;
        Ok(PeerCopy::State(Box::new(state)))
    }

    async fn get(&self, uri: String) -> Result<crate::platform::http::HttpResponse, PlatformError> {
        let request = http::Request::get(uri)
            .header(call::PEER_TOKEN_HEADER, self.token.clone())
            .body(Full::default())
            .map_err(|_| PlatformError::Malformed)?;
        self.http.send(request, FETCH_TIMEOUT).await
    }
}

/// Serves a request on the peer listener.
pub async fn serve(app: Arc<App>, incoming: IncomingRequest) -> BufferedResponse {
    if !app.verify_peer_token(&incoming.headers) {
        return plain_text(StatusCode::UNAUTHORIZED, "peer token required\n");
    }
    let path = incoming.path.as_str();
    if let Some(from) = path.strip_prefix("/records?from=") {
        return serve_records(&app, from);
    }
    if path == "/state" {
        return serve_state(&app);
    }
    if !path.starts_with("/forward/") {
        return plain_text(StatusCode::NOT_FOUND, "not found\n");
    }
    let body = incoming.body.clone();
    let mut response = proxy::serve_forwarded(&app, incoming.head(), body).await;
    if app.is_stopping() {
        // The peer must not reuse a connection that is about to be closed.
        let close = HeaderValue::from_static("close");
        response.headers.insert(http::header::CONNECTION, close);
    }
    response
}

fn serve_records(app: &App, from: &str) -> BufferedResponse {
    let Ok(from) = from.parse().map(Offset) else {
        return plain_text(StatusCode::BAD_REQUEST, "from is not an offset\n");
    };
    match app.records_from(from) {
        Some(records) => postcard_response(&records),
        None => plain_text(StatusCode::GONE, "records are no longer kept\n"),
    }
}

fn serve_state(app: &App) -> BufferedResponse {
    let snapshot = app.snapshot();
    if !snapshot.established {
        return plain_text(
            StatusCode::SERVICE_UNAVAILABLE,
            "state is not established\n",
        );
    }
    postcard_response(snapshot.state.as_ref())
}

fn postcard_response<T: serde::Serialize>(value: &T) -> BufferedResponse {
    match postcard::to_stdvec(value) {
        Ok(bytes) => BufferedResponse {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: Bytes::from(bytes),
        },
        Err(_) => plain_text(StatusCode::INTERNAL_SERVER_ERROR, "cannot be encoded\n"),
    }
}
