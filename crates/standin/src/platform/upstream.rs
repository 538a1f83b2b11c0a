//! Stand-in for an upstream of the platform.
//!
//! It stores the highest fence (fencing token) and the lease expiry of each key. It
//! refuses requests, grants and releases that name another upstream as their target. A
//! keyed upstream also refuses a request without a key, or for a key whose lease it does
//! not hold. The requests that are run and the grants that are accepted are recorded.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::error::Error;
use crate::gate::Gate;
use crate::server::{self, Reply, Server};

/// Number of 16-bit shard keys.
const KEY_COUNT: usize = 1 << 16;

/// Path of health checks.
const HEALTH_PATH: &str = "/health";

/// Id of the upstream that a request is meant for.
const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");

/// Id of the upstream that responds.
const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");

/// How the upstream responds to requests. Grants and releases are not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// The request is run, and the response is sent after a delay.
    Serve(Duration),
    /// The request is run, and the connection is closed without a response.
    DropResponse,
    /// The request is run, and the response carries the id of another attempt.
    WrongAttemptId,
    /// The request is refused with status 503 and not run.
    Shed,
}

/// Body of a grant or, without `holdS`, of a release. Applies to the keys from `from` to
/// `target`, both included.
#[derive(Deserialize)]
struct LeaseUpdate {
    from: u16,
    target: u16,
    fence: u64,
    /// Length of the lease from receipt on, in seconds.
    #[serde(rename = "holdS")]
    hold_s: Option<f64>,
    /// Token of the release by the last holder.
    handover: Option<String>,
}

#[derive(Clone, Copy, Debug, Default)]
struct KeyLease {
    /// Highest fence received for the key; 0 before the first.
    fence: u64,
    /// `None` before the first grant and after a release.
    expires_at: Option<Instant>,
}

/// A grant that was accepted, be it a new one or a renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedGrant {
    /// Id of the upstream when it accepted the grant.
    pub id: String,
    /// Number of restarts before. Distinguishes incarnations with the same id.
    pub incarnation: u32,
    /// First key of the grant.
    pub first_key: u16,
    /// Last key of the grant.
    pub last_key: u16,
    /// Fence of the grant.
    pub fence: u64,
    /// Whether it had the token of the last holder's release.
    pub has_handover: bool,
}

/// A request that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Header `attempt-id`; empty if absent.
    pub attempt: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
}

#[derive(Debug)]
struct State {
    id: String,
    /// Number of restarts.
    incarnation: u32,
    mode: ResponseMode,
    /// Lease of each key, indexed by the 16-bit shard key.
    keys: Vec<KeyLease>,
    accepted_grants: Vec<AcceptedGrant>,
    runs: Vec<Run>,
    finished_count: usize,
    /// Times of arrival of all requests, also of refused ones.
    arrivals: Vec<Instant>,
    /// Header fields that are added to all responses to requests.
    extra_headers: Vec<(&'static str, String)>,
    /// Whether connections are closed after each response.
    closing: bool,
}

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    keyed: bool,
    gate: Arc<Gate>,
    state: Mutex<State>,
}

/// Starts an upstream that holds no leases. `id` is the value of `target-instance` that
/// names it. If `keyed`, it refuses requests for keys whose lease it does not hold.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start(listen: SocketAddr, id: &str, keyed: bool) -> Result<Server<Upstream>, Error> {
    let gate = Gate::new(usize::MAX);
    let upstream = Upstream {
        keyed,
        gate: gate.clone(),
        state: Mutex::new(State {
            id: id.to_owned(),
            incarnation: 0,
            mode: ResponseMode::Serve(Duration::ZERO),
            keys: vec![KeyLease::default(); KEY_COUNT],
            accepted_grants: Vec::new(),
            runs: Vec::new(),
            finished_count: 0,
            arrivals: Vec::new(),
            extra_headers: Vec::new(),
            closing: false,
        }),
    };
    server::start(listen, upstream, gate).await
}

impl Upstream {
    /// Sets how requests that arrive from now on are responded to.
    pub fn set_mode(&self, mode: ResponseMode) {
        self.state().mode = mode;
    }

    /// Sets the header fields that are added to all responses to requests from now on.
    /// Grants and releases are not affected.
    pub fn set_extra_headers(&self, fields: &[(&'static str, &str)]) {
        let fields = fields.iter();
        let fields = fields.map(|(name, value)| (*name, (*value).to_owned()));
        self.state().extra_headers = fields.collect();
    }

    /// Closes each connection after its next response from now on, to requests, grants and
    /// releases alike, as an upstream does that is leaving.
    pub fn close_after_responses(&self) {
        self.state().closing = true;
    }

    /// Times of arrival of all requests, also of refused ones. Grants and releases are not
    /// included.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state().arrivals.clone()
    }

    /// Restarts the process as another incarnation, whose id may be the same. It holds no
    /// keys and knows no fences; open connections are closed and their requests
    /// cancelled. The mode and the records of runs and grants are kept.
    pub fn restart(&self, id: &str) {
        let mut state = self.state();
        id.clone_into(&mut state.id);
        state.incarnation += 1;
        state.keys = vec![KeyLease::default(); KEY_COUNT];
        self.gate.close_open_connections();
    }

    /// Grants accepted by all incarnations, in the order of their acceptance.
    pub fn accepted_grants(&self) -> Vec<AcceptedGrant> {
        self.state().accepted_grants.clone()
    }

    /// Requests whose run has started, in the order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Number of runs that have ended and produced a response. Runs whose response is
    /// dropped are not counted.
    pub fn finished_run_count(&self) -> usize {
        self.state().finished_count
    }

    /// Number of keys whose lease is held now.
    pub fn held_key_count(&self) -> usize {
        let now = Instant::now();
        let state = self.state();
        state.keys.iter().filter(|key| key.is_held(now)).count()
    }

    /// Whether the lease of a key is held now.
    pub fn holds(&self, key: u16) -> bool {
        self.state().keys[usize::from(key)].is_held(Instant::now())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Applies a grant or a release. A grant is refused as a whole if one of its keys has
    /// a higher fence; a release skips such keys. Both are refused without effect if they
    /// name another upstream.
    fn apply_lease_update(&self, headers: &HeaderMap, body: &Bytes) -> Result<Reply, Error> {
        let update: LeaseUpdate =
            serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))?;
        let mut guard = self.state();
        let state = &mut *guard;
        if state.is_misdirected(headers) {
            return Ok(state.name_in(server::text(421, "meant for another instance")));
        }
        let keys = &mut state.keys[usize::from(update.from)..=usize::from(update.target)];
        let is_grant = update.hold_s.is_some();
        if is_grant && keys.iter().any(|key| key.fence > update.fence) {
            return Ok(server::text(409, "a higher fence was seen"));
        }
        let hold = update.hold_s.map(Duration::from_secs_f64);
        for key in keys.iter_mut().filter(|key| key.fence <= update.fence) {
            key.fence = update.fence;
            key.expires_at = hold.map(|hold| Instant::now() + hold);
        }
        let mut reply = server::text(200, "done");
        if is_grant {
            state.accepted_grants.push(AcceptedGrant {
                id: state.id.clone(),
                incarnation: state.incarnation,
                first_key: update.from,
                last_key: update.target,
                fence: update.fence,
                has_handover: update.handover.is_some(),
            });
        } else {
            let token = HeaderValue::from_static("5c0e7a21d94b36f8");
            reply.headers_mut().insert("handover", token);
        }
        Ok(reply)
    }

    fn respond_to_health_check(&self, headers: &HeaderMap) -> Reply {
        let state = self.state();
        let reply = match state.is_misdirected(headers) {
            true => server::text(421, "meant for another instance"),
            false => server::text(200, "healthy"),
        };
        state.name_in(reply)
    }

    /// Status of the refusal if the request must not be run, otherwise `None`.
    fn refusal_status(&self, headers: &HeaderMap) -> Option<StatusCode> {
        let state = self.state();
        let key = headers.get("shard-key").and_then(|key| key.to_str().ok());
        let key = key.and_then(|key| key.parse::<u16>().ok());
        let held = |key: u16| state.keys[usize::from(key)].is_held(Instant::now());
        if state.is_misdirected(headers) || self.keyed && !key.is_some_and(held) {
            return Some(StatusCode::MISDIRECTED_REQUEST);
        }
        (state.mode == ResponseMode::Shed).then_some(StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Records a request that was not refused, and responds to it as the mode demands.
    async fn run_request(
        &self,
        headers: &HeaderMap,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, Error> {
        let attempt = headers.get("attempt-id").and_then(|id| id.to_str().ok());
        let attempt = attempt.unwrap_or_default().to_owned();
        let (mode, id) = {
            let mut state = self.state();
            state.runs.push(Run {
                attempt: attempt.clone(),
                path: path.to_owned(),
                body,
            });
            (state.mode, state.id.clone())
        };
        let response_attempt = match mode {
            ResponseMode::DropResponse => return Err(Error::ResponseDropped),
            ResponseMode::WrongAttemptId => "another",
            ResponseMode::Serve(delay) => {
                sleep(delay).await;
                attempt.as_str()
            }
            // The mode changed after the check for a refusal, so the request is run.
            ResponseMode::Shed => attempt.as_str(),
        };
        self.state().finished_count += 1;
        let mut reply = Response::new(Full::new(Bytes::from(format!("{id} {path}"))));
        let response_headers = reply.headers_mut();
        if let Ok(response_attempt) = HeaderValue::try_from(response_attempt) {
            response_headers.insert("attempt-id", response_attempt);
        }
        response_headers.insert("response-signature", HeaderValue::from_static("3e1b.07"));
        response_headers.insert("backend-load", HeaderValue::from_static("1,0,6"));
        Ok(reply)
    }
}

impl KeyLease {
    fn is_held(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| expires_at > now)
    }
}

impl State {
    /// Adds the id of the upstream to a reply.
    fn name_in(&self, mut reply: Reply) -> Reply {
        if let Ok(id) = HeaderValue::try_from(&self.id) {
            reply.headers_mut().insert(INSTANCE_ID, id);
        }
        reply
    }

    /// Whether a request names another upstream as its target.
    fn is_misdirected(&self, headers: &HeaderMap) -> bool {
        let target = headers.get(TARGET_INSTANCE);
        target.is_some_and(|target| target != &self.id)
    }
}

impl server::Service for Upstream {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Error> {
        let mut reply = self.respond(request).await?;
        if self.state().closing {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(reply)
    }
}

impl Upstream {
    async fn respond(&self, request: Request<Incoming>) -> Result<Reply, Error> {
        let (parts, body) = request.into_parts();
        let body = server::read_body(body).await?;
        let path = parts.uri.path();
        if path == "/medlarreel/grant" || path == "/medlarreel/release" {
            return self.apply_lease_update(&parts.headers, &body);
        }
        if path == HEALTH_PATH {
            return Ok(self.respond_to_health_check(&parts.headers));
        }
        self.state().arrivals.push(Instant::now());
        let mut reply = match self.refusal_status(&parts.headers) {
            Some(status) => {
                let mut reply = server::text(status.as_u16(), "not run");
                let not_executed = HeaderValue::from_static("1");
                reply.headers_mut().insert("not-executed", not_executed);
                reply
            }
            None => self.run_request(&parts.headers, path, body).await?,
        };
        for (name, value) in &self.state().extra_headers {
            if let Ok(value) = HeaderValue::try_from(value) {
                reply.headers_mut().insert(*name, value);
            }
        }
        Ok(reply)
    }
}
