//! Process clock based on `CLOCK_BOOTTIME`, which advances while the machine is
//! suspended.
//!
//! Leases keep expiring while their holder is suspended, so they must be measured by a
//! clock that includes that time.

use medlarreel_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// Source of `Time` for one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: u64,
}

/// Initial reading of a clock. It is above zero so that earlier times can be represented.
const START_MICROS: u64 = 60_000_000;

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        Clock {
            origin: boot_time_micros(),
        }
    }

    /// Returns the current time.
    pub fn now(self) -> Time {
        Time(boot_time_micros().saturating_sub(self.origin) + START_MICROS)
    }
}

fn boot_time_micros() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
