//! Evidence about one upstream.

use std::time::Duration;

use medlarreel_macros::data;

use super::{HealthState, Observation, Thresholds};
use crate::time::Time;

/// Answers before a latency is compared with others.
const SAMPLES: u32 = 8;

/// Part of refused requests above which an upstream sheds, in thousandths.
const SHED_ABOVE: u32 = 500;

/// Part of refused requests below which it no longer does.
const SHED_BELOW: u32 = 200;

/// Time without refusals after which an upstream no longer sheds, so that it
/// recovers without traffic.
const SHED_MEMORY: Duration = Duration::from_secs(2);

/// An upstream and what was observed of it.
#[data(plain)]
pub struct Member {
    pub state: HealthState,
    /// When `state` last changed.
    pub changed: Time,
    pub draining: bool,
    pub ejected: bool,
    /// Start of the slow start; `None` if there was none.
    pub ramp_since: Option<Time>,
    errors: u32,
    outstanding: u32,
    /// First send since the last answer.
    unanswered_since: Option<Time>,
    /// Last time at which an answer was due.
    tried: Time,
    /// Smoothed latency in microseconds, and the number of answers in it.
    latency: u64,
    samples: u32,
    /// Smoothed part of refused requests, in thousandths.
    shed: u32,
    shed_at: Option<Time>,
}

impl Member {
    pub fn new(ramp_since: Option<Time>) -> Member {
        Member {
            state: HealthState::Alive,
            changed: Time(0),
            draining: false,
            ejected: false,
            ramp_since,
            errors: 0,
            outstanding: 0,
            unanswered_since: None,
            tried: Time(0),
            latency: 0,
            samples: 0,
            shed: 0,
            shed_at: None,
        }
    }

    /// Smoothed latency in microseconds, once there are enough answers.
    pub fn latency(&self) -> Option<u64> {
        (self.samples >= SAMPLES).then_some(self.latency)
    }

    pub fn observe(&mut self, now: Time, evidence: Observation) {
        match evidence {
            Observation::Sent => self.sent(now),
            Observation::Answered(latency) => {
                self.answered(now);
                self.measure(latency);
                self.shed -= self.shed / 8;
            }
            Observation::ProbeAnswered => self.answered(now),
            Observation::Shed => {
                self.answered(now);
                self.shed += (1_000 - self.shed) / 4;
                self.shed_at = Some(now);
            }
            Observation::Failed => {
                self.given_up(now);
                self.errors = self.errors.saturating_add(1);
            }
            Observation::Abandoned => self.given_up(now),
        }
    }

    /// Updates the judgement from the evidence and the median latency of the peers.
    pub fn judge(
        &mut self,
        now: Time,
        thresholds: &Thresholds,
        median: Option<u64>,
    ) -> HealthState {
        let state = self.judged(now, thresholds, median);
        if state != self.state {
            if self.state == HealthState::Dead && state != HealthState::Draining {
                self.recover(now);
            }
            self.state = state;
            self.changed = now;
        }
        state
    }

    fn judged(&self, now: Time, thresholds: &Thresholds, median: Option<u64>) -> HealthState {
        if self.draining {
            HealthState::Draining
        } else if self.errors >= thresholds.consecutive_errors
            || self.silence(now) >= thresholds.silence
        {
            HealthState::Dead
        } else if self.sheds(now) {
            HealthState::Shedding
        } else if self.is_slow(thresholds, median) {
            HealthState::Slow
        } else {
            HealthState::Alive
        }
    }

    /// Time since the last answer, as far as answers were due.
    fn silence(&self, now: Time) -> Duration {
        let until = if self.outstanding > 0 {
            now
        } else {
            self.tried
        };
        self.unanswered_since
            .map_or(Duration::ZERO, |since| until.since(since))
    }

    fn sheds(&self, now: Time) -> bool {
        let bound = match self.state {
            HealthState::Shedding => SHED_BELOW,
            _ => SHED_ABOVE,
        };
        let recent = |at: Time| now.since(at) < SHED_MEMORY;
        self.shed >= bound && self.shed_at.is_some_and(recent)
    }

    fn is_slow(&self, thresholds: &Thresholds, median: Option<u64>) -> bool {
        let (Some(median), Some(latency)) = (median, self.latency()) else {
            return false;
        };
        // A slow upstream recovers at half of the factor, so that it does not flap.
        let factor = u64::from(thresholds.slow_factor);
        let bound = match self.state {
            HealthState::Slow => median * factor / 2,
            _ => median * factor,
        };
        let margin = u64::try_from(thresholds.slow_margin.as_micros()).unwrap_or(u64::MAX);
        latency > bound.max(median.saturating_add(margin))
    }

    fn sent(&mut self, now: Time) {
        self.outstanding += 1;
        self.tried = now;
        self.unanswered_since.get_or_insert(now);
    }

    fn answered(&mut self, now: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.errors = 0;
        self.unanswered_since = (self.outstanding > 0).then_some(now);
    }

    fn given_up(&mut self, now: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.tried = now;
    }

    fn measure(&mut self, latency: Duration) {
        let sample = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX / 16);
        self.latency = match self.samples {
            0 => sample,
            _ => (self.latency * 7 + sample) / 8,
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Starts over after an outage: old latencies say nothing about the new run.
    fn recover(&mut self, now: Time) {
        self.ramp_since = Some(now);
        self.samples = 0;
        self.shed = 0;
    }
}
