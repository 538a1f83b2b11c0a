//! Stand-in for an upstream of the platform.
//!
//! It keeps the highest fence and the end of the lease of each key, runs a
//! request only if it holds the key and is the one that is meant, and records
//! what it ran.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::error::Error;
use crate::gate::Gate;
use crate::server::{self, Reply, Server};

/// How requests are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// Run and answered after a time.
    Serve(Duration),
    /// Run, and the connection is closed without an answer.
    DropResponse,
    /// Run, and answered with the identity of another request.
    WrongAttemptId,
    /// Not run, and answered so.
    Shed,
}

/// Grant or release.
#[derive(Deserialize)]
struct Order {
    from: u16,
    target: u16,
    fence: u64,
    #[serde(rename = "holdS")]
    hold_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Key {
    fence: u64,
    until: Option<Instant>,
}

/// A request that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Identity of the attempt.
    pub attempt: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
}

#[derive(Debug)]
struct State {
    mode: ResponseMode,
    keys: Vec<Key>,
    runs: Vec<Run>,
    ended: usize,
}

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    id: String,
    keyed: bool,
    state: Mutex<State>,
}

/// Starts an upstream.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start(listen: SocketAddr, id: &str, keyed: bool) -> Result<Server<Upstream>, Error> {
    let upstream = Upstream {
        id: id.to_owned(),
        keyed,
        state: Mutex::new(State {
            mode: ResponseMode::Serve(Duration::ZERO),
            keys: vec![Key::default(); 1 << 16],
            runs: Vec::new(),
            ended: 0,
        }),
    };
    server::start(listen, upstream, Gate::new(usize::MAX)).await
}

impl Upstream {
    /// Sets how requests are answered from now on.
    pub fn set_mode(&self, mode: ResponseMode) {
        self.state().mode = mode;
    }

    /// Requests that were run.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Number of requests that ran to their end.
    pub fn finished_runs(&self) -> usize {
        self.state().ended
    }

    /// Number of keys that are held now.
    pub fn held_keys(&self) -> usize {
        let now = Instant::now();
        let state = self.state();
        let held = state
            .keys
            .iter()
            .filter(|key| key.until.is_some_and(|until| until > now));
        held.count()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn order(&self, body: &Bytes) -> Result<Reply, Error> {
        let order: Order =
            serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))?;
        let mut state = self.state();
        let keys = &mut state.keys[usize::from(order.from)..=usize::from(order.target)];
        let grants = order.hold_s.is_some();
        if grants && keys.iter().any(|key| key.fence > order.fence) {
            return Ok(server::text(409, "a higher fence was seen"));
        }
        let hold = order.hold_s.map(Duration::from_secs_f64);
        for key in keys.iter_mut().filter(|key| key.fence <= order.fence) {
            key.fence = order.fence;
            key.until = hold.map(|hold| Instant::now() + hold);
        }
        let mut reply = server::text(200, "done");
        if !grants {
            let token = HeaderValue::from_static("5c0e7a21d94b36f8");
            reply.headers_mut().insert("handover", token);
        }
        Ok(reply)
    }

    /// Status of a refusal, if the request is not run.
    fn refusal(&self, headers: &HeaderMap) -> Option<StatusCode> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        if text("target-instance").is_some_and(|target| target != self.id) {
            return Some(StatusCode::MISDIRECTED_REQUEST);
        }
        let state = self.state();
        let key = text("shard-key").and_then(|key| key.parse::<u16>().ok());
        let held = |key: u16| {
            let until = state.keys[usize::from(key)].until;
            until.is_some_and(|until| until > Instant::now())
        };
        if self.keyed && !key.is_some_and(held) {
            return Some(StatusCode::MISDIRECTED_REQUEST);
        }
        (state.mode == ResponseMode::Shed).then_some(StatusCode::SERVICE_UNAVAILABLE)
    }

    async fn run(&self, headers: &HeaderMap, path: &str, body: Bytes) -> Result<Reply, Error> {
        let attempt = headers.get("attempt-id").and_then(|id| id.to_str().ok());
        let attempt = attempt.unwrap_or_default().to_owned();
        let mode = {
            let mut state = self.state();
            state.runs.push(Run {
                attempt: attempt.clone(),
                path: path.to_owned(),
                body,
            });
            state.mode
        };
        let named = match mode {
            ResponseMode::DropResponse => return Err(Error::ResponseDropped),
            ResponseMode::WrongAttemptId => "another",
            ResponseMode::Serve(time) => {
                sleep(time).await;
                attempt.as_str()
            }
            ResponseMode::Shed => attempt.as_str(),
        };
        self.state().ended += 1;
        let mut reply = Response::new(Full::new(Bytes::from(format!("{} {path}", self.id))));
        let fields = reply.headers_mut();
        if let Ok(named) = HeaderValue::try_from(named) {
            fields.insert("attempt-id", named);
        }
        fields.insert("response-signature", HeaderValue::from_static("3e1b.07"));
        fields.insert("backend-load", HeaderValue::from_static("1,0,6"));
        Ok(reply)
    }
}

impl server::Service for Upstream {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Error> {
        let (parts, body) = request.into_parts();
        let body = server::read_body(body).await?;
        let path = parts.uri.path();
        if path == "/medlarreel/grant" || path == "/medlarreel/release" {
            return self.order(&body);
        }
        if let Some(status) = self.refusal(&parts.headers) {
            let mut reply = server::text(status.as_u16(), "not run");
            let mark = HeaderValue::from_static("1");
            reply.headers_mut().insert("not-executed", mark);
            return Ok(reply);
        }
        self.run(&parts.headers, path, body).await
    }
}
