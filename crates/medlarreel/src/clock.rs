//! Monotonic clock of the process, in the time unit of the state machines.

use std::time::Instant;

use medlarreel_core::time::Time;

/// Converts monotonic time to `Time`.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at one second, so that earlier times can be represented.
    pub fn start() -> Clock {
        Clock {
            origin: Instant::now(),
        }
    }

    /// Current time.
    pub fn now(self) -> Time {
        Time(self.origin.elapsed().as_micros() as u64 + 1_000_000)
    }
}
