//! Stand-in for an upstream.
//!
//! An upstream of class `checked` keeps a `grant::Register` and runs a keyed
//! request only under its current epoch; one of class `unchecked` runs whatever
//! arrives and answers 404 to grants. Every run that starts is recorded, so
//! that a checker can compare the runs of several upstreams.

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
use run::Call;
use state::{State, Verdict};

/// How an upstream is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name, shown in every answer.
    pub name: String,
    /// Service that it runs.
    pub service: String,
    /// Whether it checks grants and epochs.
    pub fencing: Fencing,
    /// Whether a checked upstream refuses requests without a shard.
    pub keyed: bool,
    /// Requests run at a time.
    pub slots: u16,
    /// Connections open at a time; more are closed when they arrive.
    pub max_connections: usize,
    /// Time that a request takes.
    pub work_time: Duration,
    /// Time from the first request on during which requests are slower.
    pub cold_start: Duration,
    /// Factor by which they are slower.
    pub cold_factor: u32,
    /// Whether a repeated idempotency key gets the stored answer.
    pub deduplicates: bool,
    /// Runs kept for `GET /admin/runs`.
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

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    config: Config,
    gate: Arc<Gate>,
    state: Mutex<State>,
}

/// Run in progress. Dropped unfinished when its connection closes, which ends
/// the work.
struct Active<'a> {
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
    /// Changes the faults and returns those in force.
    pub fn change_faults(&self, change: FaultChange) -> Faults {
        if let Some(frozen) = change.freeze {
            self.gate.set_frozen(frozen);
        }
        if change.silence {
            self.gate.silence_open();
        }
        self.state().change_faults(change)
    }

    /// Recorded runs with a number above `after`.
    pub fn runs(&self, after: u64) -> Runs {
        self.state().runs(after)
    }

    /// Counters and grants.
    pub fn summary(&self) -> Summary {
        let connections = (self.gate.open_count(), self.gate.refused_count());
        self.state().summary(connections)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn faults(&self) -> Faults {
        self.state().faults()
    }

    async fn grant(&self, method: &Method, body: Incoming) -> Result<Reply, Error> {
        if self.config.fencing == Fencing::Unchecked {
            return Ok(server::text(404, "grants are not checked here"));
        }
        let body = server::read_body(body).await?;
        self.gate.wait_until_unfrozen().await;
        let mut state = self.state();
        let answer = match *method {
            Method::POST => {
                let request: grant::Request = crate::fault::parse_json(&body)?;
                state.grant(&request)
            }
            _ => state.query(),
        };
        Ok(server::json(200, &answer))
    }

    async fn run(&self, call: Call, body: Incoming) -> Result<Reply, Error> {
        let body = server::read_body(body).await?;
        self.gate.wait_until_unfrozen().await;
        let id = call.request_id.clone();
        let verdict = self.state().begin(&self.config, call);
        let reply = match verdict {
            Verdict::Refuse(code) => return Ok(identified(refusal(code), id.as_deref())),
            Verdict::Repeat(echo) => {
                let echo = Echo {
                    deduplicated: true,
                    ..echo
                };
                server::json(200, &echo)
            }
            Verdict::Run { number, work } => {
                let echo = self.work(number, work, body.len()).await;
                server::json(200, &echo)
            }
        };
        self.deliver().await?;
        Ok(identified(reply, id.as_deref()))
    }

    async fn work(&self, number: u64, work: Duration, body_bytes: usize) -> Echo {
        let phase = Phase::Cancelled;
        let mut active = Active {
            upstream: self,
            number,
            phase,
        };
        if !work.is_zero() {
            sleep(work).await;
        }
        // A frozen process does not finish its work either.
        self.gate.wait_until_unfrozen().await;
        active.phase = Phase::Done;
        drop(active);
        self.state().echo(&self.config, number, body_bytes)
    }

    /// Shows the faults of answers to finished requests.
    async fn deliver(&self) -> Result<(), Error> {
        let (late, lost) = self.state().delivery();
        if !late.is_zero() {
            sleep(late).await;
        }
        if lost {
            Err(Error::ResponseDropped)
        } else {
            Ok(())
        }
    }

    async fn admin(&self, head: &http::request::Parts, body: Incoming) -> Result<Reply, Error> {
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

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.upstream.state().end(self.number, self.phase);
    }
}

impl server::Service for Upstream {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Error> {
        let (head, body) = request.into_parts();
        match head.uri.path() {
            path if path.starts_with("/admin/") => self.admin(&head, body).await,
            "/medlar/grant" => self.grant(&head.method, body).await,
            "/medlar/load" => Ok(server::json(200, &self.state().load(&self.config))),
            _ => self.run(Call::read(&head), body).await,
        }
    }
}

/// Answer to a request that has not been run, or whose outcome is unknown.
fn refusal(code: Code) -> Reply {
    // Upstreams answer 503 also where an instance would answer 504.
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

fn identified(mut reply: Reply, id: Option<&str>) -> Reply {
    let id = id.and_then(|id| HeaderValue::from_str(id).ok());
    if let Some(id) = id {
        reply.headers_mut().insert("medlar-request-id", id);
    }
    reply
}
