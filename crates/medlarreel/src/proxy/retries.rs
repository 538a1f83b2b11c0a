//! Retry budget shared by the traffic threads.

use std::sync::{Mutex, MutexGuard};

use medlarreel_core::retry::{Attempt, RetryBudget, RetryDecision};
use medlarreel_core::time::Time;

/// Retries per second that are allowed regardless of the number of requests.
const MIN_RETRIES_PER_SECOND: u16 = 10;

/// Thread-safe wrapper around the retry budget.
#[derive(Debug)]
pub struct SharedRetryBudget(Mutex<RetryBudget>);

impl SharedRetryBudget {
    /// Creates a budget that allows retries for `percent` of the recent requests, plus
    /// `MIN_RETRIES_PER_SECOND`.
    pub fn new(now: Time, percent: u8) -> SharedRetryBudget {
        SharedRetryBudget(Mutex::new(RetryBudget::new(
            now,
            percent,
            MIN_RETRIES_PER_SECOND,
        )))
    }

    /// Sets the percentage of requests that may be retried.
    pub fn set_percent(&self, percent: u8) {
        self.lock().set_limits(percent, MIN_RETRIES_PER_SECOND);
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&self, now: Time) {
        self.lock().record_request(now);
    }

    /// Returns whether the request may be sent again, and charges the budget if so.
    pub fn try_spend(&self, now: Time, attempt: &Attempt) -> bool {
        self.lock().decide(now, attempt) == RetryDecision::Send
    }

    fn lock(&self) -> MutexGuard<'_, RetryBudget> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
