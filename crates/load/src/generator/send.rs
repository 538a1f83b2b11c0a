//! HTTP client that sends the scheduled requests.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::{PlannedRequest, Settings};

/// Result of a scheduled request.
#[derive(Clone, Debug, PartialEq)]
pub enum SendResult {
    /// A complete response arrived.
    Complete {
        /// HTTP status.
        status: u16,
        /// Value of `medlar-code`.
        code: Option<String>,
        /// Value of `medlar-outcome`.
        outcome: Option<String>,
    },
    /// No connection could be opened.
    ConnectFailed,
    /// The connection failed before the response was complete.
    ConnectionLost,
    /// No complete response arrived within the timeout.
    TimedOut,
    /// The request was not sent: too many were open, or it could not be built.
    NotSent,
}

/// HTTP client for all targets.
pub struct Sender {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: Settings,
    body: Bytes,
}

impl Sender {
    /// Creates a client without connections.
    ///
    /// Must be called within a Tokio runtime.
    pub fn new(settings: &Settings) -> Sender {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.timeout));
        Sender {
            client: Client::builder(TokioExecutor::new()).build(connector),
            settings: settings.clone(),
            body: Bytes::from(vec![b'x'; settings.body_bytes]),
        }
    }

    /// Sends the request and reads the whole response, within `Settings::timeout`.
    pub async fn send(&self, planned: &PlannedRequest) -> SendResult {
        let Ok(request) = self.build_request(planned) else {
            return SendResult::NotSent;
        };
        let exchange = self.exchange(request);
        let result = tokio::time::timeout(self.settings.timeout, exchange).await;
        result.unwrap_or(SendResult::TimedOut)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> SendResult {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return SendResult::ConnectFailed,
            Err(_) => return SendResult::ConnectionLost,
        };
        let (head, body) = response.into_parts();
        if body.collect().await.is_err() {
            return SendResult::ConnectionLost;
        }
        SendResult::Complete {
            status: head.status.as_u16(),
            code: header_text(&head.headers, "medlar-code"),
            outcome: header_text(&head.headers, "medlar-outcome"),
        }
    }

    fn build_request(&self, planned: &PlannedRequest) -> http::Result<Request<Full<Bytes>>> {
        let settings = &self.settings;
        let target = settings.targets[planned.target_index];
        let service = settings.services.value(planned.service_index);
        let service = service.map_or("", String::as_str);
        let uri = format!("http://{target}/{service}/item/{}", planned.key);
        let mut request = Request::builder()
            .uri(uri)
            .header("medlar-key", format!("key-{}", planned.key))
            .header("medlar-rank", planned.rank.text());
        if let Some(club) = settings.clubs.value(planned.club_index) {
            request = request.header("medlar-club", club);
        }
        if let Some(deadline) = settings.deadline {
            request = request.header("medlar-deadline-ms", saturating_millis(deadline));
        }
        if !planned.is_post {
            return request.body(Full::default());
        }
        // The process id keeps two runs with the same seed from sharing idempotency keys.
        let idempotency_key = format!("{}-{}-{}", std::process::id(), settings.seed, planned.index);
        request
            .method(Method::POST)
            .header("idempotency-key", idempotency_key)
            .body(Full::new(self.body.clone()))
    }
}

fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
