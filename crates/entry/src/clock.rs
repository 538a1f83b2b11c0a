//! The process's clock, which goes on while the machine is suspended.
//!
//! Leases run on while their holder is suspended, so the rights that rest on
//! them are measured by a clock that counts that time.

use medlarreel_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// Source of `Time` for one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: u64,
}

/// First time that a clock shows, so that earlier ones can be expressed.
const START_MICROS: u64 = 60_000_000;

impl Clock {
    /// Clock that starts now.
    pub fn start() -> Clock {
        Clock {
            origin: boot_time_micros(),
        }
    }

    /// Time now.
    pub fn now(self) -> Time {
        Time(boot_time_micros().saturating_sub(self.origin) + START_MICROS)
    }
}

fn boot_time_micros() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
