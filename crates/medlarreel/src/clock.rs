//! The process's monotonic clock, as the state machines count it.

use std::time::Instant;

use medlarreel_core::time::Time;

/// Source of `Time` for one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Clock that starts now, at one second so that earlier times can be expressed.
    pub fn start() -> Clock {
        Clock {
            origin: Instant::now(),
        }
    }

    /// Time now.
    pub fn now(self) -> Time {
        Time(self.origin.elapsed().as_micros() as u64 + 1_000_000)
    }
}
