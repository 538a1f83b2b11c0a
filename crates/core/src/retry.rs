//! Rules and budget for sending a request again.
//!
//! A request is sent again only if its first run is excluded or harmless, if
//! its deadline leaves time, and if the budget allows it. The budget follows
//! the recent requests, so that retries cannot multiply an overload.

use std::collections::HashMap;
use std::time::Duration;

use medlarreel_macros::data;

use crate::code::Outcome;
use crate::time::Time;

/// Time kept back at each hop for the answer's way, so that the caller learns
/// the outcome before it gives up.
pub const HOP_RESERVE: Duration = Duration::from_millis(1);

/// Half of the time for which a request adds to the budget.
const GENERATION: Duration = Duration::from_secs(5);

/// Price of one retry, in units of the budget.
const PRICE: u64 = 100;

/// A request that was refused or lost, and could be sent again.
#[data(key)]
pub struct Attempt {
    /// What is known about the run.
    pub outcome: Outcome,
    /// Whether a second run is harmless.
    pub idempotent: bool,
    /// Time after which the answer is useless.
    pub deadline: Time,
}

/// Whether a request is sent again.
#[data(key)]
pub enum RetryDecision {
    /// It is sent again, and the budget has been charged.
    Send,
    /// Another run could be a second one, or would fail the same way.
    Final,
    /// The deadline leaves no time.
    Late,
    /// The budget is spent.
    Spent,
}

/// Retries allowed to an instance, as a token bucket whose tokens expire.
#[data(plain)]
pub struct RetryBudget {
    percent: u64,
    /// Retries per second that are allowed at any load.
    constant: u64,
    /// Tokens from the requests of the current and the previous generation.
    recent: [u64; 2],
    turned: Time,
    /// Tokens from the constant, in millionths of a unit.
    reserve: u64,
    filled: Time,
}

impl RetryBudget {
    /// Budget of `percent` of the requests of the last 5 to 10 s, plus `constant`
    /// retries per second.
    pub fn new(now: Time, percent: u8, constant: u16) -> RetryBudget {
        let constant = u64::from(constant);
        RetryBudget {
            percent: u64::from(percent),
            constant,
            recent: [0; 2],
            turned: now,
            reserve: constant * PRICE * 1_000_000,
            filled: now,
        }
    }

    /// Replaces the limits; tokens that are already earned stay.
    pub fn set_limits(&mut self, percent: u8, constant: u16) {
        self.percent = u64::from(percent);
        self.constant = u64::from(constant);
    }

    /// Counts a request that was sent for the first time.
    pub fn earn(&mut self, now: Time) {
        self.advance(now);
        self.recent[0] += self.percent;
    }

    /// Decides whether the attempt is followed by another one, and charges it.
    pub fn decide(&mut self, now: Time, attempt: &Attempt) -> RetryDecision {
        if !is_retryable(attempt.outcome, attempt.idempotent) {
            return RetryDecision::Final;
        }
        if time_left(now, attempt.deadline).is_none() {
            return RetryDecision::Late;
        }
        if self.spend(now) {
            RetryDecision::Send
        } else {
            RetryDecision::Spent
        }
    }

    /// Whole retries that would be allowed now.
    pub fn available_retries(&mut self, now: Time) -> u64 {
        self.advance(now);
        (self.recent[0] + self.recent[1] + self.reserve / 1_000_000) / PRICE
    }

    fn spend(&mut self, now: Time) -> bool {
        if self.available_retries(now) == 0 {
            return false;
        }
        // Tokens that expire first are spent first.
        let mut price = PRICE;
        for tokens in self.recent.iter_mut().rev() {
            let part = price.min(*tokens);
            *tokens -= part;
            price -= part;
        }
        self.reserve -= price * 1_000_000;
        true
    }

    /// Expires old tokens and refills the reserve.
    fn advance(&mut self, now: Time) {
        let generations = now.since(self.turned).as_micros() / GENERATION.as_micros();
        match generations {
            0 => {}
            1 => self.recent = [0, self.recent[0]],
            _ => self.recent = [0, 0],
        }
        let turned = u64::try_from(generations * GENERATION.as_micros()).unwrap_or(u64::MAX);
        self.turned = self.turned + Duration::from_micros(turned);
        let full = self.constant * PRICE * 1_000_000;
        let elapsed = now.0.saturating_sub(self.filled.0);
        let gained = elapsed.saturating_mul(self.constant * PRICE);
        self.reserve = self.reserve.saturating_add(gained).min(full);
        self.filled = self.filled.max(now);
    }
}

/// Budgets of all services. Each is earned by requests for the service itself, since a
/// service that fails must not be sent what requests for the others have earned.
#[data(plain)]
pub struct ServiceBudgets {
    percent: u8,
    services: HashMap<String, RetryBudget>,
}

impl ServiceBudgets {
    /// Budgets of `percent` of each service's requests of the last 5 to 10 s.
    pub fn new(percent: u8) -> ServiceBudgets {
        ServiceBudgets {
            percent,
            services: HashMap::new(),
        }
    }

    /// Budget of a service.
    pub fn for_service(&mut self, now: Time, service: &str) -> &mut RetryBudget {
        let fresh = || RetryBudget::new(now, self.percent, 0);
        self.services
            .entry(service.to_owned())
            .or_insert_with(fresh)
    }
}

/// Whether a request with this outcome may be sent again at all.
pub fn is_retryable(outcome: Outcome, idempotent: bool) -> bool {
    match outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => idempotent,
        Outcome::Failed => false,
    }
}

/// Time that the next hop may use; `None` if the deadline leaves none.
pub fn time_left(now: Time, deadline: Time) -> Option<Duration> {
    let left = deadline.since(now).checked_sub(HOP_RESERVE)?;
    (!left.is_zero()).then_some(left)
}
