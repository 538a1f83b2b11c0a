//! Retry budget shared by the traffic threads.

use std::sync::{Mutex, MutexGuard};

use medlarreel_core::retry::{Attempt, RetryBudget, RetryDecision};
use medlarreel_core::time::Time;

/// Retries per second that are allowed at any load.
const CONSTANT: u16 = 10;

/// Budget for attempts after the first.
#[derive(Debug)]
pub struct SharedRetryBudget(Mutex<RetryBudget>);

impl SharedRetryBudget {
    /// Budget of `percent` of the requests.
    pub fn new(now: Time, percent: u8) -> SharedRetryBudget {
        SharedRetryBudget(Mutex::new(RetryBudget::new(now, percent, CONSTANT)))
    }

    /// Replaces the share of requests that may be retried, in percent.
    pub fn set_percent(&self, percent: u8) {
        self.lock().set_limits(percent, CONSTANT);
    }

    /// Counts a request that was sent for the first time.
    pub fn record_request(&self, now: Time) {
        self.lock().earn(now);
    }

    /// Whether the request may be sent again; charges the budget if so.
    pub fn try_spend(&self, now: Time, attempt: &Attempt) -> bool {
        self.lock().decide(now, attempt) == RetryDecision::Send
    }

    fn lock(&self) -> MutexGuard<'_, RetryBudget> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
