//! Record of the requests that an upstream has started.

use std::collections::VecDeque;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use medlarreel_core::ids::Epoch;
use serde::{Deserialize, Serialize};

/// Bytes of a text that are recorded; bounds the size of a run's record.
const MAX_TEXT: usize = 256;

/// What became of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Not finished yet.
    Running,
    /// Finished.
    Done,
    /// Stopped because its connection was closed.
    Cancelled,
}

/// One run that has started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Position among the upstream's runs, from 1.
    pub number: u64,
    /// Header `medlar-request-id`.
    pub request_id: Option<String>,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Header `medlar-shard`.
    pub shard: Option<u16>,
    /// Header `medlar-epoch`.
    pub epoch: Option<String>,
    /// Start, in microseconds since 1970 by the machine's wall clock, which
    /// all upstreams of a local run share.
    pub start_us: u64,
    /// End, in the same unit.
    pub end_us: Option<u64>,
    /// What became of it.
    pub phase: Phase,
    /// Whether the upstream had announced that it is leaving.
    pub draining: bool,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
}

/// Runs of one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Runs {
    /// Name of the upstream.
    pub upstream: String,
    /// Run of its process.
    pub incarnation: u64,
    /// Runs started so far.
    pub total: u64,
    /// Runs that are no longer recorded.
    pub forgotten: u64,
    /// Recorded runs in the order of their start.
    pub runs: Vec<Run>,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) arrival: Instant,
    pub(super) request_id: Option<String>,
    pub(super) idempotency_key: Option<String>,
    pub(super) shard: Option<u16>,
    pub(super) epoch: Option<String>,
    pub(super) deadline_ms: Option<u64>,
    pub(super) method: String,
    pub(super) path: String,
}

/// The newest runs.
#[derive(Debug)]
pub(super) struct Ledger {
    limit: usize,
    total: u64,
    runs: VecDeque<Run>,
}

impl Call {
    pub(super) fn read(head: &http::request::Parts) -> Call {
        let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let text = |name| header(name).map(|text: &str| cut(text).to_owned());
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        Call {
            arrival: Instant::now(),
            request_id: text("medlar-request-id"),
            idempotency_key: text("idempotency-key"),
            shard: header("medlar-shard").and_then(|shard| shard.parse().ok()),
            epoch: text("medlar-epoch"),
            deadline_ms: header("medlar-deadline-ms").and_then(|span| span.parse().ok()),
            method: cut(head.method.as_str()).to_owned(),
            path: cut(path).to_owned(),
        }
    }

    /// Whether the time that the caller left is over.
    pub(super) fn has_expired(&self) -> bool {
        let passed = self.arrival.elapsed().as_millis();
        self.deadline_ms
            .is_some_and(|limit| passed >= u128::from(limit))
    }

    /// Shard and epoch, if both were given in the right form.
    pub(super) fn claim(&self) -> Option<(u16, Epoch)> {
        let epoch = self.epoch.as_deref()?.parse().ok()?;
        Some((self.shard?, epoch))
    }
}

impl Ledger {
    pub(super) fn new(limit: usize) -> Ledger {
        let (total, runs) = (0, VecDeque::new());
        Ledger {
            limit: limit.max(1),
            total,
            runs,
        }
    }

    /// Records a start and returns the run's number.
    pub(super) fn start(&mut self, call: Call, draining: bool) -> u64 {
        self.total += 1;
        self.runs.push_back(Run {
            number: self.total,
            request_id: call.request_id,
            idempotency_key: call.idempotency_key,
            shard: call.shard,
            epoch: call.epoch,
            start_us: wall_clock_us(),
            end_us: None,
            phase: Phase::Running,
            draining,
            method: call.method,
            path: call.path,
        });
        if self.runs.len() > self.limit {
            self.runs.pop_front();
        }
        self.total
    }

    pub(super) fn end(&mut self, number: u64, phase: Phase) {
        if let Some(run) = self.find(number) {
            run.end_us = Some(wall_clock_us());
            run.phase = phase;
        }
    }

    pub(super) fn total(&self) -> u64 {
        self.total
    }

    pub(super) fn forgotten(&self) -> u64 {
        self.total - self.runs.len() as u64
    }

    /// The run of that number, if it is still recorded.
    pub(super) fn find(&mut self, number: u64) -> Option<&mut Run> {
        let index = number.checked_sub(self.forgotten() + 1)?;
        self.runs.get_mut(usize::try_from(index).ok()?)
    }

    pub(super) fn after(&self, number: u64) -> Vec<Run> {
        let runs = self.runs.iter().filter(|run| run.number > number);
        runs.cloned().collect()
    }
}

fn wall_clock_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

fn cut(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT)]
}
