//! Probes of upstreams that are to get their first keys.
//!
//! A registration may name an address where nothing listens, or another upstream does. Keys
//! are taken from their holder only for an upstream that has answered under its id.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Request, header};
use medlarreel_core::entry::directory::Registration;
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use crate::body::Payload;
use crate::connection::Connection;
use crate::error::Error;
use crate::platform::headers;
use crate::state::State;

/// Timeout of each step of a probe.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an upstream that has not answered is probed again.
const INTERVAL: Duration = Duration::from_secs(1);

/// Upstreams that were probed by this instance as the leader.
#[derive(Debug, Default)]
pub(super) struct Probes {
    outcomes: RefCell<HashMap<Upstream, Outcome>>,
    /// Whether an upstream has answered since the last look.
    has_news: Cell<bool>,
}

#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// It has answered under its id. This holds for its incarnation.
    Answered,
    /// It has not answered the probe that was sent at this time.
    Unanswered(Time),
}

impl Probes {
    /// Whether an incarnation of an upstream has answered. Probes it if it has not.
    pub(super) fn check(
        self: &Rc<Self>,
        state: &Rc<State>,
        upstream: Upstream,
        registration: &Registration,
        health_path: &str,
    ) -> bool {
        let now = state.clock.now();
        match self.outcomes.borrow().get(&upstream) {
            Some(Outcome::Answered) => return true,
            Some(Outcome::Unanswered(sent)) if now.since(*sent) < INTERVAL => return false,
            _ => {}
        }
        let unanswered = Outcome::Unanswered(now);
        self.outcomes.borrow_mut().insert(upstream, unanswered);
        let (probes, state) = (Rc::clone(self), Rc::clone(state));
        let (id, address) = (registration.id.clone(), registration.address);
        let path = health_path.to_owned();
        tokio::task::spawn_local(async move {
            match probe(&id, address, &path).await {
                Ok((connection, headers)) => {
                    let now = state.clock.now();
                    let answered = Outcome::Answered;
                    probes.outcomes.borrow_mut().insert(upstream, answered);
                    probes.has_news.set(true);
                    if let Some(left) = headers::parse_warmup(&headers) {
                        let mut directory = state.directory.borrow_mut();
                        directory.record_warmup(now, upstream, left);
                    }
                    state
                        .order_pool
                        .put_idle(now, upstream, connection, &headers, 1);
                }
                Err(error) => {
                    tracing::info!(upstream = id, %address, %error, "upstream gets no keys yet");
                }
            }
        });
        false
    }

    /// Whether an upstream has answered since the last call.
    pub(super) fn take_news(&self) -> bool {
        self.has_news.take()
    }
}

/// Asks whether the upstream with `id` listens on an address. Returns the connection and the
/// header fields of the answer.
async fn probe(
    id: &str,
    address: SocketAddr,
    path: &str,
) -> Result<(Connection, HeaderMap), Error> {
    let mut connection = Connection::connect(address, TIMEOUT).await?;
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .header(headers::TARGET_INSTANCE, id)
        .body(Payload::default())
        .map_err(|error| Error::NotSent(error.to_string()))?;
    let response = connection.send_request(request, TIMEOUT).await?;
    match headers::is_from_instance(&response.headers, id) {
        true => Ok((connection, response.headers)),
        false => Err(Error::Refused(response.status.as_u16())),
    }
}
