//! Stand-in for the log service.
//!
//! Streams are kept in memory. Once an append request has been received, it takes
//! effect even if the sender has given up in the meantime, as with a real service.

mod stream;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

pub use stream::{Page, Record, StreamSummary};

use crate::error::Error;
use crate::fault::{self, Outage};
use crate::gate::Gate;
use crate::server::{self, Reply, Server};
use stream::Stream;

/// Maximum number of streams, so that a faulty client cannot exhaust memory.
const MAX_STREAMS: usize = 64;

/// Maximum time that a read waits for a record.
const MAX_WAIT_MS: u64 = 60_000;

/// Default and maximum number of records in one response, in this order.
const DEFAULT_AND_MAX_RECORDS: (usize, usize) = (100, 1_000);

/// Configuration of the log.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of records kept in each stream; 0 counts as 1. The oldest are dropped
    /// first.
    pub retention: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config { retention: 4_096 }
    }
}

/// Active faults.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Faults {
    /// Outage of the log.
    pub unavailable: Outage,
    /// Delay of each append, in milliseconds.
    pub slow_append_ms: u64,
    /// Delay of each read, in milliseconds.
    pub slow_read_ms: u64,
    /// Number of upcoming appends that take effect but get no response.
    pub lose_answers: u32,
}

/// Change of the faults; absent fields leave their fault unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// See [`Faults`].
    pub unavailable: Option<Outage>,
    /// See [`Faults`].
    pub slow_append_ms: Option<u64>,
    /// See [`Faults`].
    pub slow_read_ms: Option<u64>,
    /// See [`Faults`].
    pub lose_answers: Option<u32>,
    /// Streams to trim now, each with the offset below which its records are dropped.
    /// Names of streams that do not exist are ignored.
    pub trim: BTreeMap<String, u64>,
}

/// The log: its streams and faults.
#[derive(Debug)]
pub struct Log {
    config: Config,
    state: Mutex<State>,
    /// Notified of every append and every change of the faults.
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    faults: Faults,
}

/// Starts a log.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start(listen: SocketAddr, config: Config) -> Result<Server<Log>, Error> {
    let log = Log {
        config,
        state: Mutex::default(),
        changed: watch::Sender::new(()),
    };
    server::start(listen, log, Gate::new(usize::MAX)).await
}

impl Log {
    /// Changes the faults and returns the active ones.
    pub fn change_faults(&self, change: FaultChange) -> Faults {
        let mut state = self.state();
        for (name, earliest) in &change.trim {
            if let Some(stream) = state.streams.get_mut(name) {
                stream.trim(*earliest);
            }
        }
        let faults = &mut state.faults;
        faults.unavailable = change.unavailable.unwrap_or(faults.unavailable);
        faults.slow_append_ms = change.slow_append_ms.unwrap_or(faults.slow_append_ms);
        faults.slow_read_ms = change.slow_read_ms.unwrap_or(faults.slow_read_ms);
        faults.lose_answers = change.lose_answers.unwrap_or(faults.lose_answers);
        self.changed.send_replace(());
        faults.clone()
    }

    /// Summary of each stream, by the stream's name.
    pub fn stream_summaries(&self) -> BTreeMap<String, StreamSummary> {
        let state = self.state();
        let streams = state.streams.iter();
        streams
            .map(|(name, stream)| (name.clone(), stream.summary()))
            .collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while holding the lock")
    }

    fn faults(&self) -> Faults {
        self.state().faults.clone()
    }

    async fn handle_append(self: Arc<Self>, name: String, data: Bytes) -> Result<Reply, Error> {
        let faults = self.faults();
        if let Some(reply) = faults.unavailable.intercept().await {
            return Ok(reply);
        }
        let delay = Duration::from_millis(faults.slow_append_ms);
        // A separate task finishes the append even if the sender disconnects, which drops
        // this future.
        let task = tokio::spawn(async move {
            sleep(delay).await;
            self.store_record(name, data)
        });
        let (offset, drop_response) = task.await.expect("storing does not panic")?;
        if drop_response {
            return Err(Error::ResponseDropped);
        }
        Ok(server::json(200, &serde_json::json!({ "offset": offset })))
    }

    /// Appends a record. Returns its offset, and whether a fault drops the response.
    fn store_record(&self, name: String, data: Bytes) -> Result<(u64, bool), Error> {
        let mut state = self.state();
        if state.streams.len() >= MAX_STREAMS && !state.streams.contains_key(&name) {
            return Err(Error::Malformed("too many streams".to_owned()));
        }
        let stream = state.streams.entry(name).or_default();
        let offset = stream.append(data, self.config.retention);
        let drop_response = fault::consume_fault(&mut state.faults.lose_answers);
        drop(state);
        self.changed.send_replace(());
        Ok((offset, drop_response))
    }

    async fn handle_read(&self, name: &str, query: Option<&str>) -> Result<Reply, Error> {
        let from = server::query_param(query, "from", 0)?;
        let max = server::query_param(query, "max", DEFAULT_AND_MAX_RECORDS.0)?
            .min(DEFAULT_AND_MAX_RECORDS.1);
        let wait_ms = server::query_param(query, "wait_ms", 0)?.min(MAX_WAIT_MS);
        sleep(Duration::from_millis(self.faults().slow_read_ms)).await;
        let wait_end = Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            let unavailable = self.faults().unavailable;
            if let Some(reply) = unavailable.intercept().await {
                return Ok(reply);
            }
            let (status, page) = self.page(name, from, max);
            let expired = Instant::now() >= wait_end;
            if status != 200 || !page.records.is_empty() || expired || max == 0 {
                return Ok(server::json(status, &page));
            }
            // Checks the stream again after a change as well as at the end of the wait.
            let _ = timeout_at(wait_end, changed.changed()).await;
        }
    }

    /// Returns the records from an offset on, with the HTTP status of the response: 410
    /// if the offset has been dropped, else 200.
    fn page(&self, name: &str, from: u64, max: usize) -> (u16, Page) {
        let state = self.state();
        let page = state.streams.get(name).map(|stream| stream.page(from, max));
        let page = page.unwrap_or_default();
        let status = if from < page.earliest { 410 } else { 200 };
        (status, page)
    }
}

impl server::Service for Log {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Error> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        if let Some(name) = path.strip_prefix("/streams/") {
            return match head.method {
                Method::POST => {
                    let data = server::read_body(body).await?;
                    self.handle_append(name.to_owned(), data).await
                }
                Method::GET => self.handle_read(name, head.uri.query()).await,
                _ => Err(Error::NotFound(path)),
            };
        }
        match (head.method, path.as_str()) {
            (Method::POST, "/admin/faults") => {
                let change = server::read_body(body).await?;
                Ok(server::json(
                    200,
                    &self.change_faults(fault::parse_json(&change)?),
                ))
            }
            (Method::GET, "/admin/faults") => Ok(server::json(200, &self.faults())),
            (Method::GET, "/admin/state") => Ok(server::json(200, &self.stream_summaries())),
            _ => Err(Error::NotFound(path)),
        }
    }
}
