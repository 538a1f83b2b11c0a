//! Faults of an upstream.

use serde::{Deserialize, Deserializer, Serialize};

/// Drain state of the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Drain {
    /// The upstream is not draining.
    #[default]
    Off,
    /// The upstream reports that it is draining but still runs requests.
    Announce,
    /// The upstream reports that it is draining and refuses new requests with code 110.
    Refuse,
}

/// Response to `GET /medlar/load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Number of requests that are running.
    pub in_flight: u16,
    /// Number of requests that can run at a time.
    pub slots: u16,
}

/// Active faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Neither requests nor grants are read or responded to. Administrative requests are.
    pub freeze: bool,
    /// Drain state.
    pub drain: Drain,
    /// New requests are refused with code 109.
    pub shed: bool,
    /// Time that a request takes to run outside a cold start, in milliseconds. Initially
    /// `Config::work_time`.
    pub work_ms: u64,
    /// Length of the cold start, in milliseconds. Initially `Config::cold_start`.
    pub cold_ms: u64,
    /// Delay of the responses to finished requests, in milliseconds.
    pub late_ms: u64,
    /// Number of upcoming finished requests whose response is dropped.
    pub lose_answers: u32,
    /// Load report that replaces the true one; `None` leaves the true one.
    pub load: Option<LoadReport>,
}

/// Change of the faults; absent fields leave their fault unchanged.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// See [`Faults`].
    pub freeze: Option<bool>,
    /// See [`Faults`].
    pub drain: Option<Drain>,
    /// See [`Faults`].
    pub shed: Option<bool>,
    /// See [`Faults`].
    pub work_ms: Option<u64>,
    /// See [`Faults`]. Setting it also begins a new cold start with the next run.
    pub cold_ms: Option<u64>,
    /// See [`Faults`].
    pub late_ms: Option<u64>,
    /// See [`Faults`].
    pub lose_answers: Option<u32>,
    /// See [`Faults`]. `null` restores the true report.
    #[serde(
        deserialize_with = "deserialize_nullable",
        skip_serializing_if = "Option::is_none"
    )]
    pub load: Option<Option<LoadReport>>,
    /// Makes all ordinary connections (see [`crate::gate`]) that are open now permanently
    /// silent.
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

/// Deserializes a field whose `null` differs from its absence, as `Some(None)`.
fn deserialize_nullable<'de, D: Deserializer<'de>>(
    source: D,
) -> Result<Option<Option<LoadReport>>, D::Error> {
    Option::deserialize(source).map(Some)
}
