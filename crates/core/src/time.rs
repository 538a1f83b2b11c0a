//! Monotonic local time and margins for clock drift.
//!
//! A `Time` is meaningful only at the process that read it. Rights are counted
//! by their holder from before the request for them was sent, and by their
//! giver from after the answer, so two clocks need to agree only on rate.

use std::ops::{Add, Sub};
use std::time::Duration;

use medlarreel_macros::data;

/// Largest difference in rate between two monotonic clocks, in parts per million.
pub const DRIFT_PPM: u32 = 10_000;

/// Microseconds of the local monotonic clock.
#[data(key)]
#[derive(Default)]
pub struct Time(pub u64);

impl Time {
    /// Time that has passed since `earlier`, or zero if that lies ahead.
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

/// Longest time that `span` of another clock may take on the local one.
pub fn max_with_drift(span: Duration) -> Duration {
    span + span * DRIFT_PPM / 1_000_000
}

/// Shortest time that `span` of another clock may take on the local one.
pub fn min_with_drift(span: Duration) -> Duration {
    span - span * DRIFT_PPM / 1_000_000
}
