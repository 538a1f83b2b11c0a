//! Sending of one request.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::{Settings, Shot};

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A complete answer arrived.
    Complete {
        /// HTTP status.
        status: u16,
        /// Value of `medlar-code`.
        code: Option<String>,
        /// Value of `medlar-outcome`.
        outcome: Option<String>,
    },
    /// No connection could be opened.
    Unconnected,
    /// The connection broke before the complete answer.
    Broken,
    /// The time limit passed.
    TimedOut,
    /// Too many requests were open.
    NotSent,
}

/// Client of all targets.
pub struct Sender {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: Settings,
    body: Bytes,
}

impl Sender {
    /// Client without connections; needs a running runtime.
    pub fn new(settings: &Settings) -> Sender {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.timeout));
        Sender {
            client: Client::builder(TokioExecutor::new()).build(connector),
            settings: settings.clone(),
            body: Bytes::from(vec![b'x'; settings.body]),
        }
    }

    /// Sends the request and reads the whole answer.
    pub async fn send(&self, shot: &Shot) -> Answer {
        let Ok(request) = self.request(shot) else {
            return Answer::NotSent;
        };
        let exchange = self.exchange(request);
        let answer = tokio::time::timeout(self.settings.timeout, exchange).await;
        answer.unwrap_or(Answer::TimedOut)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Answer {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Answer::Unconnected,
            Err(_) => return Answer::Broken,
        };
        let (head, body) = response.into_parts();
        if body.collect().await.is_err() {
            return Answer::Broken;
        }
        Answer::Complete {
            status: head.status.as_u16(),
            code: text(&head.headers, "medlar-code"),
            outcome: text(&head.headers, "medlar-outcome"),
        }
    }

    fn request(&self, shot: &Shot) -> http::Result<Request<Full<Bytes>>> {
        let settings = &self.settings;
        let target = settings.targets[shot.target];
        let service = settings.services.value(shot.service);
        let service = service.map_or("", String::as_str);
        let uri = format!("http://{target}/{service}/item/{}", shot.key);
        let mut request = Request::builder()
            .uri(uri)
            .header("medlar-key", format!("key-{}", shot.key))
            .header("medlar-rank", shot.rank.text());
        if let Some(club) = settings.clubs.value(shot.club) {
            request = request.header("medlar-club", club);
        }
        if let Some(deadline) = settings.deadline {
            request = request.header("medlar-deadline-ms", millis(deadline));
        }
        if !shot.post {
            return request.body(Full::default());
        }
        // The process id keeps two runs with one seed from sharing keys.
        let identity = format!("{}-{}-{}", std::process::id(), settings.seed, shot.serial);
        request
            .method(Method::POST)
            .header("idempotency-key", identity)
            .body(Full::new(self.body.clone()))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
