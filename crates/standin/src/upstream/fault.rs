//! Faults of one upstream.

use serde::{Deserialize, Deserializer, Serialize};

/// How far the upstream is with leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Drain {
    /// It stays.
    #[default]
    Off,
    /// It says that it is leaving, and still runs requests.
    Announce,
    /// It says so, and refuses new requests with code 110.
    Refuse,
}

/// Load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests that run.
    pub in_flight: u16,
    /// Requests that can run at a time.
    pub slots: u16,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Neither requests nor grants are read or answered.
    pub freeze: bool,
    /// Whether the upstream is leaving.
    pub drain: Drain,
    /// Every request is refused with code 109.
    pub shed: bool,
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
    /// Length of a cold start, in milliseconds.
    pub cold_ms: u64,
    /// Time by which answers to finished requests are late, in milliseconds.
    pub late_ms: u64,
    /// Finished requests to come whose answer is lost.
    pub lose_answers: u32,
    /// False report given in place of the true one.
    pub load: Option<LoadReport>,
}

/// Change of faults; what is absent stays as it is.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// See `Faults`.
    pub freeze: Option<bool>,
    /// See `Faults`.
    pub drain: Option<Drain>,
    /// See `Faults`.
    pub shed: Option<bool>,
    /// See `Faults`.
    pub work_ms: Option<u64>,
    /// See `Faults`; also starts a new cold start with the next request.
    pub cold_ms: Option<u64>,
    /// See `Faults`.
    pub late_ms: Option<u64>,
    /// See `Faults`.
    pub lose_answers: Option<u32>,
    /// See `Faults`; `null` returns to the true report.
    #[serde(deserialize_with = "present", skip_serializing_if = "Option::is_none")]
    pub load: Option<Option<LoadReport>>,
    /// Makes all connections that are open now silent for good.
    pub silence: bool,
}

impl Faults {
    pub(super) fn apply(&mut self, change: &FaultChange) {
        self.freeze = change.freeze.unwrap_or(self.freeze);
        self.drain = change.drain.unwrap_or(self.drain);
        self.shed = change.shed.unwrap_or(self.shed);
        self.work_ms = change.work_ms.unwrap_or(self.work_ms);
        self.cold_ms = change.cold_ms.unwrap_or(self.cold_ms);
        self.late_ms = change.late_ms.unwrap_or(self.late_ms);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        self.load = change.load.unwrap_or(self.load);
    }
}

/// Tells a field that is `null` from one that is absent.
fn present<'de, D: Deserializer<'de>>(source: D) -> Result<Option<Option<LoadReport>>, D::Error> {
    Option::deserialize(source).map(Some)
}
