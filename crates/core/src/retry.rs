//! Retry rules and retry budgets.
//!
//! A request is retried only if its previous attempt did not run, or may have run and a
//! second run is harmless, if its deadline leaves time, and if the retry budget allows
//! it. The budget is proportional to the number of recent requests, so that retries
//! cannot amplify an overload.

use std::collections::HashMap;
use std::time::Duration;

use medlarreel_macros::data;

use crate::code::Outcome;
use crate::time::Time;

/// Time that each hop reserves for returning the answer, so that the caller learns the
/// outcome before it gives up.
pub const HOP_RESERVE: Duration = Duration::from_millis(1);

/// Length of a generation of tokens. Tokens expire at the end of the generation after
/// their own, that is after 5 to 10 s.
const GENERATION_LENGTH: Duration = Duration::from_secs(5);

/// Cost of a retry in tokens. Each request earns `RetryBudget::percent` tokens, so 100
/// requests pay for `percent` retries.
const RETRY_COST: u64 = 100;

/// Attempt that was refused or lost and could be retried.
#[data(key)]
pub struct Attempt {
    /// What is known about the execution of the attempt.
    pub outcome: Outcome,
    /// Whether a second run is harmless.
    pub idempotent: bool,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Time,
}

/// Whether a request is retried, and if not, why.
#[data(key)]
pub enum RetryDecision {
    /// The request is sent again, and the budget has been charged.
    Send,
    /// The request may have run and is not idempotent, or it would fail in the same way.
    Final,
    /// The deadline leaves no time for a retry.
    Late,
    /// The budget is exhausted.
    Spent,
}

/// Token bucket that limits retries, with tokens that expire.
#[data(plain)]
pub struct RetryBudget {
    percent: u64,
    /// Retries per second that are allowed regardless of the number of requests.
    min_per_second: u64,
    /// Tokens earned by requests in the current and the previous generation.
    recent_tokens: [u64; 2],
    generation_start: Time,
    /// Tokens from `min_per_second`, at most those of one second, in millionths of a
    /// token.
    reserve_microtokens: u64,
    refilled_at: Time,
}

impl RetryBudget {
    /// Creates a budget that allows retries for `percent` of the requests of the last 5
    /// to 10 s, plus `min_per_second` retries per second.
    pub fn new(now: Time, percent: u8, min_per_second: u16) -> RetryBudget {
        let min_per_second = u64::from(min_per_second);
        RetryBudget {
            percent: u64::from(percent),
            min_per_second,
            recent_tokens: [0; 2],
            generation_start: now,
            reserve_microtokens: min_per_second * RETRY_COST * 1_000_000,
            refilled_at: now,
        }
    }

    /// Replaces the limits; tokens that were already earned remain.
    pub fn set_limits(&mut self, percent: u8, min_per_second: u16) {
        self.percent = u64::from(percent);
        self.min_per_second = u64::from(min_per_second);
    }

    /// Counts a request that was sent for the first time.
    pub fn record_request(&mut self, now: Time) {
        self.advance(now);
        self.recent_tokens[0] += self.percent;
    }

    /// Decides whether the attempt is retried, and charges the budget if it is.
    pub fn decide(&mut self, now: Time, attempt: &Attempt) -> RetryDecision {
        if !is_retryable(attempt.outcome, attempt.idempotent) {
            return RetryDecision::Final;
        }
        if time_left(now, attempt.deadline).is_none() {
            return RetryDecision::Late;
        }
        if self.try_withdraw(now) {
            RetryDecision::Send
        } else {
            RetryDecision::Spent
        }
    }

    /// Number of retries that the budget allows now.
    pub fn available_retries(&mut self, now: Time) -> u64 {
        self.advance(now);
        (self.recent_tokens[0] + self.recent_tokens[1] + self.reserve_microtokens / 1_000_000)
            / RETRY_COST
    }

    fn try_withdraw(&mut self, now: Time) -> bool {
        if self.available_retries(now) == 0 {
            return false;
        }
        // Spends the tokens that expire first.
        let mut cost = RETRY_COST;
        for tokens in self.recent_tokens.iter_mut().rev() {
            let part = cost.min(*tokens);
            *tokens -= part;
            cost -= part;
        }
        self.reserve_microtokens -= cost * 1_000_000;
        true
    }

    /// Expires old tokens and refills the reserve.
    fn advance(&mut self, now: Time) {
        let generations =
            now.since(self.generation_start).as_micros() / GENERATION_LENGTH.as_micros();
        match generations {
            0 => {}
            1 => self.recent_tokens = [0, self.recent_tokens[0]],
            _ => self.recent_tokens = [0, 0],
        }
        let advanced =
            u64::try_from(generations * GENERATION_LENGTH.as_micros()).unwrap_or(u64::MAX);
        self.generation_start = self.generation_start + Duration::from_micros(advanced);
        let full = self.min_per_second * RETRY_COST * 1_000_000;
        let elapsed = now.0.saturating_sub(self.refilled_at.0);
        let gained = elapsed.saturating_mul(self.min_per_second * RETRY_COST);
        self.reserve_microtokens = self.reserve_microtokens.saturating_add(gained).min(full);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Retry budgets of all services. Each budget is earned only by requests for its own
/// service, so that a failing service does not receive retries that requests for other
/// services have earned.
#[data(plain)]
pub struct ServiceBudgets {
    percent: u8,
    services: HashMap<String, RetryBudget>,
}

impl ServiceBudgets {
    /// Creates budgets that each allow retries for `percent` of their service's requests
    /// of the last 5 to 10 s.
    pub fn new(percent: u8) -> ServiceBudgets {
        ServiceBudgets {
            percent,
            services: HashMap::new(),
        }
    }

    /// Budget of a service, which is created on first use.
    pub fn for_service(&mut self, now: Time, service: &str) -> &mut RetryBudget {
        let new_budget = || RetryBudget::new(now, self.percent, 0);
        self.services
            .entry(service.to_owned())
            .or_insert_with(new_budget)
    }
}

/// Whether a request with this outcome may be retried at all.
pub fn is_retryable(outcome: Outcome, idempotent: bool) -> bool {
    match outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => idempotent,
        Outcome::Failed => false,
    }
}

/// Time that remains for the next hop; `None` if the deadline leaves none.
pub fn time_left(now: Time, deadline: Time) -> Option<Duration> {
    let left = deadline.since(now).checked_sub(HOP_RESERVE)?;
    (!left.is_zero()).then_some(left)
}
