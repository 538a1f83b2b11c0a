//! Monotonic clock of the process, which supplies the `Time` of the state machines.

use std::time::Instant;

use medlarreel_core::time::Time;

/// Source of the current `Time`. Copies share their origin and so agree.
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
