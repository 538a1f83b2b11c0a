//! Tests of retry rules and retry budgets.

use std::time::Duration;

use medlarreel_core::code::Outcome;
use medlarreel_core::retry::{
    Attempt, RetryBudget, RetryDecision, ServiceBudgets, is_retryable, time_left,
};
use medlarreel_core::time::Time;
use proptest::prelude::*;

fn attempt(outcome: Outcome, idempotent: bool) -> Attempt {
    let deadline = Time(u64::MAX);
    Attempt {
        outcome,
        idempotent,
        deadline,
    }
}

/// Guards against a second run of a non-idempotent request that may have run.
#[test]
fn only_safe_outcomes_are_retried() {
    let cases = [
        (Outcome::NotRun, false, true),
        (Outcome::NotRun, true, true),
        (Outcome::Unknown, false, false),
        (Outcome::Unknown, true, true),
        (Outcome::Failed, false, false),
        (Outcome::Failed, true, false),
    ];
    for (outcome, idempotent, expected) in cases {
        assert_eq!(is_retryable(outcome, idempotent), expected, "{outcome:?}");
        let mut budget = RetryBudget::new(Time(0), 100, 10);
        let decision = budget.decide(Time(0), &attempt(outcome, idempotent));
        assert_eq!(decision == RetryDecision::Send, expected);
    }
}

/// Guards against retries past the deadline, and against charging the budget for them.
#[test]
fn no_retry_without_time_left() {
    let mut budget = RetryBudget::new(Time(0), 10, 1);
    let mut late = attempt(Outcome::NotRun, true);
    late.deadline = Time(5_000);

    assert_eq!(budget.decide(Time(4_000), &late), RetryDecision::Late);
    assert_eq!(budget.decide(Time(9_000), &late), RetryDecision::Late);

    assert_eq!(time_left(Time(4_000), Time(5_000)), None);
    assert_eq!(
        time_left(Time(1_000), Time(5_000)),
        Some(Duration::from_millis(3))
    );
    assert_eq!(budget.available_retries(Time(9_000)), 1);
}

/// Guards against tokens that accumulate into a burst of retries.
#[test]
fn tokens_expire() {
    let mut budget = RetryBudget::new(Time(0), 10, 2);
    (0..1_000).for_each(|_| budget.record_request(Time(0)));

    assert_eq!(budget.available_retries(Time(4_999_999)), 102);
    assert_eq!(budget.available_retries(Time(10_000_000)), 2);
    assert_eq!(budget.available_retries(Time(3_600_000_000)), 2);
}

/// Guards against a preset switch that grants tokens that no request earned.
#[test]
fn new_limits_keep_earned_tokens() {
    let mut budget = RetryBudget::new(Time(0), 10, 0);
    (0..100).for_each(|_| budget.record_request(Time(0)));

    budget.set_limits(50, 0);

    assert_eq!(budget.available_retries(Time(0)), 10);
}

proptest! {
    /// Guards against more retries than the percentage of the requests of the last 10 s
    /// plus `min_per_second`, in random histories.
    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec((any::<bool>(), 0..400_000u64), 1..150),
        percent in 0..60u8,
        min_per_second in 0..4u16,
    ) {
        let mut budget = RetryBudget::new(Time(0), percent, min_per_second);
        let (mut requests, mut retries) = (vec![], vec![]);
        let mut now = 0;
        for (request, wait) in steps {
            now += wait;
            if request {
                budget.record_request(Time(now));
                requests.push(now);
                continue;
            }
            let decision = budget.decide(Time(now), &attempt(Outcome::NotRun, false));
            if decision == RetryDecision::Send {
                retries.push(now);
            } else {
                prop_assert_eq!(decision, RetryDecision::Spent);
            }
        }
        for end in &retries {
            let within = |start: u64, times: &[u64]| {
                times.iter().filter(|time| (start..=*end).contains(time)).count() as u64
            };
            for start in &retries {
                let span = end.saturating_sub(*start);
                let earned = within(start.saturating_sub(10_000_000), &requests);
                let allowed = earned * u64::from(percent) / 100;
                let refilled = u64::from(min_per_second) * (1_000_000 + span) / 1_000_000;
                prop_assert!(within(*start, &retries) <= allowed + refilled + 1);
            }
        }
    }
}

/// Guards against a failing service that receives retries earned by the requests of
/// another service.
#[test]
fn each_service_has_its_own_budget() {
    let mut budgets = ServiceBudgets::new(10);
    let lost = attempt(Outcome::NotRun, true);
    for _ in 0..100 {
        budgets
            .for_service(Time(0), "workshop")
            .record_request(Time(0));
    }
    for _ in 0..10 {
        budgets
            .for_service(Time(0), "intake")
            .record_request(Time(0));
    }

    let mut decide = |service: &str| budgets.for_service(Time(0), service).decide(Time(0), &lost);

    assert_eq!(decide("intake"), RetryDecision::Send);
    assert_eq!(decide("intake"), RetryDecision::Spent);
    assert_eq!(decide("workshop"), RetryDecision::Send);
}
