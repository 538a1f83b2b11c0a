//! Record of the requests that an upstream has started to run.

use std::collections::VecDeque;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use medlarreel_core::ids::Epoch;
use serde::{Deserialize, Serialize};

/// Maximum length of a recorded text, to which longer texts are truncated. Bounds the
/// size of a run's record.
const MAX_TEXT_BYTES: usize = 256;

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The run has not ended.
    Running,
    /// The run has finished.
    Done,
    /// The run was cancelled because its connection was closed.
    Cancelled,
}

/// Record of a run that has started. A header is `None` if it was absent or not visible
/// ASCII, and the shard also if it was not a number. Texts are truncated to 256 bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Sequence number among the upstream's runs, starting at 1.
    pub number: u64,
    /// Header `medlar-request-id`.
    pub request_id: Option<String>,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Header `medlar-shard`.
    pub shard: Option<u16>,
    /// Header `medlar-epoch`.
    pub epoch: Option<String>,
    /// Start, in microseconds since the Unix epoch. Taken from the machine's wall
    /// clock, which all upstreams of a local run share.
    pub start_us: u64,
    /// End, on the same clock and in the same unit; `None` while the run is in progress.
    pub end_us: Option<u64>,
    /// State of the run.
    pub phase: Phase,
    /// Whether the upstream was draining when the run started.
    pub draining: bool,
    /// HTTP method.
    pub method: String,
    /// Path, including the query.
    pub path: String,
}

/// Recorded runs of an upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Runs {
    /// Name of the upstream.
    pub upstream: String,
    /// Random number chosen at each start of the upstream.
    pub incarnation: u64,
    /// Number of runs started so far.
    pub total: u64,
    /// Number of runs whose record has been dropped; see `Config::max_recorded_runs`.
    pub forgotten: u64,
    /// Recorded runs in the order of their start.
    pub runs: Vec<Run>,
}

/// The parts of a request's head that decide whether it is run, or that are recorded.
#[derive(Clone, Debug)]
pub(super) struct RequestHead {
    pub(super) received_at: Instant,
    pub(super) request_id: Option<String>,
    pub(super) idempotency_key: Option<String>,
    pub(super) shard: Option<u16>,
    pub(super) epoch: Option<String>,
    /// Time from the arrival of the request to the caller's deadline.
    pub(super) deadline_ms: Option<u64>,
    pub(super) method: String,
    pub(super) path: String,
}

/// Bounded record of the newest runs.
#[derive(Debug)]
pub(super) struct RunRecorder {
    max_runs: usize,
    total: u64,
    runs: VecDeque<Run>,
}

impl RequestHead {
    pub(super) fn from_parts(head: &http::request::Parts) -> RequestHead {
        let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let text = |name| header(name).map(|text: &str| truncate(text).to_owned());
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        RequestHead {
            received_at: Instant::now(),
            request_id: text("medlar-request-id"),
            idempotency_key: text("idempotency-key"),
            shard: header("medlar-shard").and_then(|shard| shard.parse().ok()),
            epoch: text("medlar-epoch"),
            deadline_ms: header("medlar-deadline-ms").and_then(|deadline| deadline.parse().ok()),
            method: truncate(head.method.as_str()).to_owned(),
            path: truncate(path).to_owned(),
        }
    }

    /// Whether the caller's deadline has passed since the request arrived. `false` if the
    /// request has no deadline.
    pub(super) fn has_expired(&self) -> bool {
        let elapsed_ms = self.received_at.elapsed().as_millis();
        self.deadline_ms
            .is_some_and(|deadline_ms| elapsed_ms >= u128::from(deadline_ms))
    }

    /// Shard and epoch, if both are present and valid.
    pub(super) fn shard_and_epoch(&self) -> Option<(u16, Epoch)> {
        let epoch = self.epoch.as_deref()?.parse().ok()?;
        Some((self.shard?, epoch))
    }
}

impl RunRecorder {
    pub(super) fn new(max_runs: usize) -> RunRecorder {
        let (total, runs) = (0, VecDeque::new());
        RunRecorder {
            max_runs: max_runs.max(1),
            total,
            runs,
        }
    }

    /// Records the start of a run and returns its number.
    pub(super) fn record_start(&mut self, request: RequestHead, draining: bool) -> u64 {
        self.total += 1;
        self.runs.push_back(Run {
            number: self.total,
            request_id: request.request_id,
            idempotency_key: request.idempotency_key,
            shard: request.shard,
            epoch: request.epoch,
            start_us: wall_clock_us(),
            end_us: None,
            phase: Phase::Running,
            draining,
            method: request.method,
            path: request.path,
        });
        if self.runs.len() > self.max_runs {
            self.runs.pop_front();
        }
        self.total
    }

    /// Records the end of a run, unless its record has been dropped.
    pub(super) fn record_end(&mut self, number: u64, phase: Phase) {
        if let Some(run) = self.find_run(number) {
            run.end_us = Some(wall_clock_us());
            run.phase = phase;
        }
    }

    pub(super) fn total(&self) -> u64 {
        self.total
    }

    pub(super) fn forgotten_count(&self) -> u64 {
        self.total - self.runs.len() as u64
    }

    /// Returns the run with that number, if it is still recorded.
    pub(super) fn find_run(&mut self, number: u64) -> Option<&mut Run> {
        let index = number.checked_sub(self.forgotten_count() + 1)?;
        self.runs.get_mut(usize::try_from(index).ok()?)
    }

    pub(super) fn runs_after(&self, number: u64) -> Vec<Run> {
        let runs = self.runs.iter().filter(|run| run.number > number);
        runs.cloned().collect()
    }
}

fn wall_clock_us() -> u64 {
    let since_unix_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_unix_epoch.map_or(0, |since_unix_epoch| {
        u64::try_from(since_unix_epoch.as_micros()).unwrap_or(u64::MAX)
    })
}

fn truncate(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}
