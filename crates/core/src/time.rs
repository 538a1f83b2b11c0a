//! Monotonic local time and margins for clock drift.
//!
//! A `Time` is meaningful only in the process that read it. The receiver of a lease
//! counts its length from before it sent the request, and the grantor from when it
//! answers, so two clocks need to agree only on their rate.

use std::ops::{Add, Sub};
use std::time::Duration;

use medlarreel_macros::data;

/// Largest difference in rate between two monotonic clocks, in parts per million.
pub const MAX_DRIFT_PPM: u32 = 10_000;

/// Reading of the local monotonic clock, in microseconds.
#[data(key)]
#[derive(Default)]
pub struct Time(pub u64);

impl Time {
    /// Time elapsed since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

/// Longest time that the local clock may show while another clock advances by `span`.
pub fn max_with_drift(span: Duration) -> Duration {
    span + span * MAX_DRIFT_PPM / 1_000_000
}

/// Shortest time that the local clock may show while another clock advances by `span`.
pub fn min_with_drift(span: Duration) -> Duration {
    span - span * MAX_DRIFT_PPM / 1_000_000
}
