//! Stand-in for the platform's list of instances.
//!
//! The platform's instances are the upstreams of the router, not instances of the router.
//! Past versions of the list are kept, so that responses can lag behind the current
//! one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http::{Method, Request};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::fault::{self, Outage};
use crate::gate::Gate;
use crate::server::{self, Reply, Server};

/// Maximum number of versions kept; the oldest are dropped first.
const MAX_VERSIONS: usize = 1_024;

/// State of a listed upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}

/// Entry of one upstream. Except for the state, values are not validated, since a real
/// list may contain invalid ones too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the upstream.
    pub name: String,
    /// Service that the upstream runs.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Address in the form `ip:port`.
    pub address: String,
    /// Whether the upstream is in use or about to be removed.
    pub state: InstanceState,
    /// `checked` or `unchecked`; if absent, the service's default applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<String>,
    /// Capacity relative to the other upstreams; if absent, the number of slots that the
    /// service's settings give.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<serde_json::Number>,
}

/// All entries; body of the list's responses and of `POST /admin/instances`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entries {
    /// The entries.
    pub instances: Vec<Entry>,
}

/// Change of one upstream's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChange {
    /// Name of the upstream.
    pub name: String,
    /// New state.
    pub state: InstanceState,
}

/// Active faults.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Faults {
    /// Outage of the list.
    pub unavailable: Outage,
    /// Time by which responses lag behind the list, in milliseconds.
    pub lag_ms: u64,
}

/// Change of the faults; absent fields leave their fault unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// See [`Faults`].
    pub unavailable: Option<Outage>,
    /// See [`Faults`].
    pub lag_ms: Option<u64>,
}

/// The list and its faults.
#[derive(Debug)]
pub struct InstanceList {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    versions: VecDeque<(Instant, Entries)>,
    faults: Faults,
}

/// Starts an empty list whose responses lag by `lag`.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start(listen: SocketAddr, lag: Duration) -> Result<Server<InstanceList>, Error> {
    let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
    let faults = Faults {
        lag_ms,
        ..Faults::default()
    };
    let versions = VecDeque::from([(Instant::now(), Entries::default())]);
    let state = Mutex::new(State { versions, faults });
    server::start(listen, InstanceList { state }, Gate::new(usize::MAX)).await
}

impl InstanceList {
    /// Replaces all entries.
    pub fn replace_entries(&self, entries: Entries) {
        self.state().push_version(entries);
    }

    /// Changes the state of one entry.
    ///
    /// # Errors
    ///
    /// No entry has that name.
    pub fn change_state(&self, change: &StateChange) -> Result<(), Error> {
        let mut state = self.state();
        let mut entries = state.newest_entries();
        let entry = entries
            .instances
            .iter_mut()
            .find(|entry| entry.name == change.name);
        let entry = entry.ok_or_else(|| Error::NotFound(change.name.clone()))?;
        entry.state = change.state;
        state.push_version(entries);
        Ok(())
    }

    /// Changes the faults and returns the active ones.
    pub fn change_faults(&self, change: &FaultChange) -> Faults {
        let faults = &mut self.state().faults;
        faults.unavailable = change.unavailable.unwrap_or(faults.unavailable);
        faults.lag_ms = change.lag_ms.unwrap_or(faults.lag_ms);
        *faults
    }

    /// Entries that a response shows now: those of the newest version that is at least as
    /// old as the lag, or none if no version kept is that old.
    pub fn visible_entries(&self) -> Entries {
        let state = self.state();
        let lag = Duration::from_millis(state.faults.lag_ms);
        let is_old_enough = |(set_at, _): &&(Instant, Entries)| set_at.elapsed() >= lag;
        let visible_version = state.versions.iter().rev().find(is_old_enough);
        visible_version.map_or_else(Entries::default, |(_, entries)| entries.clone())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while holding the lock")
    }
}

impl State {
    fn newest_entries(&self) -> Entries {
        let newest_version = self.versions.back();
        newest_version.map_or_else(Entries::default, |(_, entries)| entries.clone())
    }

    fn push_version(&mut self, entries: Entries) {
        self.versions.push_back((Instant::now(), entries));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }
}

impl server::Service for InstanceList {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Error> {
        let (head, body) = request.into_parts();
        let body = server::read_body(body).await?;
        match (head.method, head.uri.path()) {
            (Method::GET, "/instances") => {
                let unavailable = self.state().faults.unavailable;
                match unavailable.intercept().await {
                    Some(reply) => Ok(reply),
                    None => Ok(server::json(200, &self.visible_entries())),
                }
            }
            (Method::POST, "/admin/instances") => {
                self.replace_entries(fault::parse_json(&body)?);
                Ok(server::text(200, "set"))
            }
            (Method::POST, "/admin/state") => {
                self.change_state(&fault::parse_json(&body)?)?;
                Ok(server::text(200, "set"))
            }
            (Method::POST, "/admin/faults") => Ok(server::json(
                200,
                &self.change_faults(&fault::parse_json(&body)?),
            )),
            (Method::GET, "/admin/faults") => Ok(server::json(200, &self.state().faults)),
            (_, path) => Err(Error::NotFound(path.to_owned())),
        }
    }
}
