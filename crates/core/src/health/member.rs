//! Health of one upstream, derived from this instance's observations.

use std::time::Duration;

use medlarreel_macros::data;

use super::{HealthState, Observation, Thresholds};
use crate::time::Time;

/// Number of answers before an upstream's latency is compared with the others'.
const MIN_LATENCY_SAMPLES: u32 = 8;

/// Share of refused requests from which an upstream counts as shedding, in thousandths.
const SHEDDING_ENTER_PERMILLE: u32 = 500;

/// Share of refused requests below which an upstream no longer counts as shedding, in
/// thousandths.
const SHEDDING_EXIT_PERMILLE: u32 = 200;

/// Time without refusals after which an upstream no longer counts as shedding, so that
/// it recovers without traffic.
const SHED_RETENTION: Duration = Duration::from_secs(2);

/// State of an upstream and the observations behind it.
#[data(plain)]
pub struct Member {
    pub state: HealthState,
    /// Time at which `state` last changed.
    pub changed_at: Time,
    pub draining: bool,
    pub ejected: bool,
    /// Start of the current or last slow start; `None` if there was none.
    pub slow_start_since: Option<Time>,
    consecutive_errors: u32,
    /// Number of requests and probes that were sent and have not ended.
    outstanding: u32,
    /// Start of the time without an answer: the last answer, or the first send after it
    /// if nothing was outstanding then. `None` until there is such a send.
    unanswered_since: Option<Time>,
    /// Last time at which an answer was due: a request was sent, failed or was given up.
    last_due: Time,
    /// Smoothed latency.
    latency_us: u64,
    /// Number of answers in `latency_us`.
    samples: u32,
    /// Smoothed share of refused requests.
    shed_permille: u32,
    last_shed: Option<Time>,
}

impl Member {
    pub fn new(slow_start_since: Option<Time>) -> Member {
        Member {
            state: HealthState::Alive,
            changed_at: Time(0),
            draining: false,
            ejected: false,
            slow_start_since,
            consecutive_errors: 0,
            outstanding: 0,
            unanswered_since: None,
            last_due: Time(0),
            latency_us: 0,
            samples: 0,
            shed_permille: 0,
            last_shed: None,
        }
    }

    /// Smoothed latency in microseconds, once there are enough answers.
    pub fn latency(&self) -> Option<u64> {
        (self.samples >= MIN_LATENCY_SAMPLES).then_some(self.latency_us)
    }

    pub fn observe(&mut self, now: Time, observation: Observation) {
        match observation {
            Observation::Sent => self.record_sent(now),
            Observation::Answered(latency) => {
                self.record_answer(now);
                self.record_latency(latency);
                self.shed_permille -= self.shed_permille / 8;
            }
            Observation::ProbeAnswered => self.record_answer(now),
            Observation::Shed => {
                self.record_answer(now);
                self.shed_permille += (1_000 - self.shed_permille) / 4;
                self.last_shed = Some(now);
            }
            Observation::Failed => {
                self.record_unanswered(now);
                self.consecutive_errors = self.consecutive_errors.saturating_add(1);
            }
            Observation::Abandoned => self.record_unanswered(now),
        }
    }

    /// Updates the state from the observations and the group's median latency in
    /// microseconds; without a median, no upstream is slow.
    pub fn update_state(
        &mut self,
        now: Time,
        thresholds: &Thresholds,
        median: Option<u64>,
    ) -> HealthState {
        let state = self.evaluate(now, thresholds, median);
        if state != self.state {
            if self.state == HealthState::Dead && state != HealthState::Draining {
                self.reset_after_outage(now);
            }
            self.state = state;
            self.changed_at = now;
        }
        state
    }

    fn evaluate(&self, now: Time, thresholds: &Thresholds, median: Option<u64>) -> HealthState {
        if self.draining {
            HealthState::Draining
        } else if self.consecutive_errors >= thresholds.consecutive_errors
            || self.silence(now) >= thresholds.silence
        {
            HealthState::Dead
        } else if self.is_shedding(now) {
            HealthState::Shedding
        } else if self.is_slow(thresholds, median) {
            HealthState::Slow
        } else {
            HealthState::Alive
        }
    }

    /// Length of the time without an answer during which answers were due.
    fn silence(&self, now: Time) -> Duration {
        let until = if self.outstanding > 0 {
            now
        } else {
            self.last_due
        };
        self.unanswered_since
            .map_or(Duration::ZERO, |since| until.since(since))
    }

    fn is_shedding(&self, now: Time) -> bool {
        let bound = match self.state {
            HealthState::Shedding => SHEDDING_EXIT_PERMILLE,
            _ => SHEDDING_ENTER_PERMILLE,
        };
        let recent = |at: Time| now.since(at) < SHED_RETENTION;
        self.shed_permille >= bound && self.last_shed.is_some_and(recent)
    }

    fn is_slow(&self, thresholds: &Thresholds, median: Option<u64>) -> bool {
        let (Some(median), Some(latency)) = (median, self.latency()) else {
            return false;
        };
        // A slow upstream recovers at half the factor, so that its state does not flap.
        let factor = u64::from(thresholds.slow_factor);
        let bound = match self.state {
            HealthState::Slow => median * factor / 2,
            _ => median * factor,
        };
        let margin = u64::try_from(thresholds.slow_margin.as_micros()).unwrap_or(u64::MAX);
        latency > bound.max(median.saturating_add(margin))
    }

    fn record_sent(&mut self, now: Time) {
        self.outstanding += 1;
        self.last_due = now;
        self.unanswered_since.get_or_insert(now);
    }

    fn record_answer(&mut self, now: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.consecutive_errors = 0;
        self.unanswered_since = (self.outstanding > 0).then_some(now);
    }

    fn record_unanswered(&mut self, now: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.last_due = now;
    }

    fn record_latency(&mut self, latency: Duration) {
        let sample = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX / 16);
        self.latency_us = match self.samples {
            0 => sample,
            _ => (self.latency_us * 7 + sample) / 8,
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Begins a slow start after an outage and discards the old latencies and refusals,
    /// which say nothing about the recovered upstream.
    fn reset_after_outage(&mut self, now: Time) {
        self.slow_start_since = Some(now);
        self.samples = 0;
        self.shed_permille = 0;
    }
}
