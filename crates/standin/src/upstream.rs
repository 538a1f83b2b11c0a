//! Stand-in for an upstream.
//!
//! A `checked` upstream keeps a `grant::Register`. It runs a request that names a shard
//! or an epoch only while it holds that shard under that epoch. An `unchecked` upstream
//! ignores both and responds to grants with status 404. Every run that starts is
//! recorded, so that a checker can compare the runs of several upstreams.

mod dedup;
mod fault;
mod run;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::{HeaderValue, Method, Request};
use hyper::body::Incoming;
use medlarreel_core::code::Code;
use medlarreel_core::grant;
use medlarreel_core::preset::Fencing;
use tokio::time::sleep;

pub use fault::{Drain, FaultChange, Faults, LoadReport};
pub use run::{Phase, Run, Runs};
pub use state::{Echo, Summary};

use crate::error::Error;
use crate::gate::Gate;
use crate::server::{self, Reply, Server};
use run::RequestHead;
use state::{Decision, State};

/// Configuration of an upstream.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name, contained in every regular response.
    pub name: String,
    /// Service that the upstream runs.
    pub service: String,
    /// Whether the upstream checks grants and epochs.
    pub fencing: Fencing,
    /// Whether a checked upstream refuses requests without a shard.
    pub keyed: bool,
    /// Maximum number of requests that run at a time.
    pub slots: u16,
    /// Maximum number of open ordinary connections (see [`crate::gate`]), excluding
    /// silent ones. Further ones are closed.
    pub max_connections: usize,
    /// Time that a request takes to run outside a cold start.
    pub work_time: Duration,
    /// Length of the cold start, which begins with the first request that is run and
    /// during which requests take longer.
    pub cold_start: Duration,
    /// Factor by which requests take longer during the cold start.
    pub cold_factor: u32,
    /// Whether a request with a repeated idempotency key gets the stored response.
    pub deduplicates: bool,
    /// Maximum number of runs kept for `GET /admin/runs`; 0 counts as 1. The oldest are
    /// dropped first.
    pub max_recorded_runs: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            name: "upstream".to_owned(),
            service: "service".to_owned(),
            fencing: Fencing::Checked,
            keyed: false,
            slots: 6,
            max_connections: 100,
            work_time: Duration::ZERO,
            cold_start: Duration::ZERO,
            cold_factor: 5,
            deduplicates: false,
            max_recorded_runs: 65_536,
        }
    }
}

/// An upstream: its configuration, connections and state.
#[derive(Debug)]
pub struct Upstream {
    config: Config,
    gate: Arc<Gate>,
    state: Mutex<State>,
}

/// A run in progress. Dropping it ends the run with `phase`, which is `Cancelled` until
/// the run finishes, because a closed connection drops it early.
struct ActiveRun<'a> {
    upstream: &'a Upstream,
    number: u64,
    phase: Phase,
}

/// Starts an upstream.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start(listen: SocketAddr, config: Config) -> Result<Server<Upstream>, Error> {
    let gate = Gate::new(config.max_connections);
    let upstream = Upstream {
        state: Mutex::new(State::new(&config)),
        gate: gate.clone(),
        config,
    };
    server::start(listen, upstream, gate).await
}

impl Upstream {
    /// Changes the faults and returns the active ones.
    pub fn change_faults(&self, change: FaultChange) -> Faults {
        if let Some(frozen) = change.freeze {
            self.gate.set_frozen(frozen);
        }
        if change.silence {
            self.gate.silence_open_connections();
        }
        self.state().change_faults(change)
    }

    /// Returns the recorded runs with a number above `after`.
    pub fn runs(&self, after: u64) -> Runs {
        self.state().runs(after)
    }

    /// Returns the counters and the held grants.
    pub fn summary(&self) -> Summary {
        let connections = (self.gate.open_count(), self.gate.refused_count());
        self.state().summary(connections)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while holding the lock")
    }

    fn faults(&self) -> Faults {
        self.state().faults()
    }

    async fn handle_grant(&self, method: &Method, body: Incoming) -> Result<Reply, Error> {
        if self.config.fencing == Fencing::Unchecked {
            return Ok(server::text(404, "grants are not checked here"));
        }
        let body = server::read_body(body).await?;
        self.gate.wait_until_unfrozen().await;
        let mut state = self.state();
        let response = match *method {
            Method::POST => {
                let request: grant::Request = crate::fault::parse_json(&body)?;
                state.handle_grant(&request)
            }
            _ => state.grant_state(),
        };
        Ok(server::json(200, &response))
    }

    async fn handle_run(&self, request: RequestHead, body: Incoming) -> Result<Reply, Error> {
        let body = server::read_body(body).await?;
        self.gate.wait_until_unfrozen().await;
        let id = request.request_id.clone();
        let decision = self.state().begin_run(&self.config, request);
        let reply = match decision {
            Decision::Refuse(code) => return Ok(with_request_id(refusal(code), id.as_deref())),
            Decision::Repeat(echo) => {
                let echo = Echo {
                    deduplicated: true,
                    ..echo
                };
                server::json(200, &echo)
            }
            Decision::Run { number, work_time } => {
                let echo = self.perform_run(number, work_time, body.len()).await;
                server::json(200, &echo)
            }
        };
        self.apply_response_faults().await?;
        Ok(with_request_id(reply, id.as_deref()))
    }

    async fn perform_run(&self, number: u64, work_time: Duration, body_bytes: usize) -> Echo {
        let phase = Phase::Cancelled;
        let mut active_run = ActiveRun {
            upstream: self,
            number,
            phase,
        };
        if !work_time.is_zero() {
            sleep(work_time).await;
        }
        // A frozen process does not finish its runs either.
        self.gate.wait_until_unfrozen().await;
        active_run.phase = Phase::Done;
        drop(active_run);
        self.state().build_echo(&self.config, number, body_bytes)
    }

    /// Applies the faults that delay or drop the response to a finished request.
    async fn apply_response_faults(&self) -> Result<(), Error> {
        let (delay, drop_response) = self.state().consume_response_faults();
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if drop_response {
            Err(Error::ResponseDropped)
        } else {
            Ok(())
        }
    }

    async fn handle_admin(
        &self,
        head: &http::request::Parts,
        body: Incoming,
    ) -> Result<Reply, Error> {
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/admin/faults") => {
                let change = server::read_body(body).await?;
                let faults = self.change_faults(crate::fault::parse_json(&change)?);
                Ok(server::json(200, &faults))
            }
            (&Method::GET, "/admin/faults") => Ok(server::json(200, &self.faults())),
            (&Method::GET, "/admin/state") => Ok(server::json(200, &self.summary())),
            (&Method::GET, "/admin/runs") => {
                let after = server::query_param(head.uri.query(), "after", 0)?;
                Ok(server::json(200, &self.runs(after)))
            }
            (_, path) => Err(Error::NotFound(path.to_owned())),
        }
    }
}

impl Drop for ActiveRun<'_> {
    fn drop(&mut self) {
        self.upstream.state().end_run(self.number, self.phase);
    }
}

impl server::Service for Upstream {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Error> {
        let (head, body) = request.into_parts();
        match head.uri.path() {
            path if path.starts_with("/admin/") => self.handle_admin(&head, body).await,
            "/medlar/grant" => self.handle_grant(&head.method, body).await,
            "/medlar/load" => Ok(server::json(200, &self.state().load_report(&self.config))),
            _ => self.handle_run(RequestHead::from_parts(&head), body).await,
        }
    }
}

/// Builds the response to a request that was not run or whose outcome is unknown.
fn refusal(code: Code) -> Reply {
    // Upstreams use status 503 where an instance uses 504.
    let status = if code == Code::Expired {
        503
    } else {
        code.status()
    };
    let mut reply = server::text(status, code.text());
    let headers = reply.headers_mut();
    headers.insert("medlar-code", HeaderValue::from(code.number()));
    if let Some(outcome) = code.outcome() {
        headers.insert("medlar-outcome", HeaderValue::from_static(outcome.text()));
    }
    reply
}

fn with_request_id(mut reply: Reply, request_id: Option<&str>) -> Reply {
    let request_id = request_id.and_then(|id| HeaderValue::from_str(id).ok());
    if let Some(request_id) = request_id {
        reply.headers_mut().insert("medlar-request-id", request_id);
    }
    reply
}
