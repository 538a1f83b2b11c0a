//! Stand-in for the platform's list of instances.
//!
//! Past versions of the list are kept, so that answers can lag behind it.

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

/// Past versions kept; older ones are forgotten.
const MAX_VERSIONS: usize = 1_024;

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// In use.
    Live,
    /// About to leave.
    Leaving,
}

/// One instance. Apart from the state nothing is checked, since a real list
/// may also be wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// Service that it runs.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Whether it stays.
    pub state: InstanceState,
    /// `checked` or `unchecked`; absent for the service's default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<String>,
    /// Capacity relative to others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<serde_json::Number>,
}

/// All entries, as answered and as set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entries {
    /// The entries.
    pub instances: Vec<Entry>,
}

/// Change of one entry's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChange {
    /// Name of the instance.
    pub name: String,
    /// Its new state.
    pub state: InstanceState,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Faults {
    /// Whether the list can be used.
    pub unavailable: Outage,
    /// Age of the version that answers show, in milliseconds.
    pub lag_ms: u64,
}

/// Change of faults; what is absent stays as it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// See `Faults`.
    pub unavailable: Option<Outage>,
    /// See `Faults`.
    pub lag_ms: Option<u64>,
}

/// The list's state.
#[derive(Debug)]
pub struct InstanceList {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    versions: VecDeque<(Instant, Entries)>,
    faults: Faults,
}

/// Starts a list that is empty and lags by `lag`.
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
    let inner = Mutex::new(Inner { versions, faults });
    server::start(listen, InstanceList { inner }, Gate::new(usize::MAX)).await
}

impl InstanceList {
    /// Replaces all entries.
    pub fn replace_entries(&self, entries: Entries) {
        self.inner().push(entries);
    }

    /// Changes the state of one entry.
    ///
    /// # Errors
    ///
    /// No entry has that name.
    pub fn change_state(&self, change: &StateChange) -> Result<(), Error> {
        let mut inner = self.inner();
        let mut entries = inner.newest();
        let entry = entries
            .instances
            .iter_mut()
            .find(|entry| entry.name == change.name);
        let entry = entry.ok_or_else(|| Error::NotFound(change.name.clone()))?;
        entry.state = change.state;
        inner.push(entries);
        Ok(())
    }

    /// Changes the faults and returns those in force.
    pub fn change_faults(&self, change: &FaultChange) -> Faults {
        let faults = &mut self.inner().faults;
        faults.unavailable = change.unavailable.unwrap_or(faults.unavailable);
        faults.lag_ms = change.lag_ms.unwrap_or(faults.lag_ms);
        *faults
    }

    /// Entries as an answer shows them now.
    pub fn visible_entries(&self) -> Entries {
        let inner = self.inner();
        let lag = Duration::from_millis(inner.faults.lag_ms);
        let old_enough = |(set, _): &&(Instant, Entries)| set.elapsed() >= lag;
        let shown = inner.versions.iter().rev().find(old_enough);
        shown.map_or_else(Entries::default, |(_, entries)| entries.clone())
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

impl Inner {
    fn newest(&self) -> Entries {
        let newest = self.versions.back();
        newest.map_or_else(Entries::default, |(_, entries)| entries.clone())
    }

    fn push(&mut self, entries: Entries) {
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
                let unavailable = self.inner().faults.unavailable;
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
            (Method::GET, "/admin/faults") => Ok(server::json(200, &self.inner().faults)),
            (_, path) => Err(Error::NotFound(path.to_owned())),
        }
    }
}
