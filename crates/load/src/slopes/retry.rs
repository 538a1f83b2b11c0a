//! Cost of the retry budget by the number of requests.

use medlarreel_core::code::Outcome;
use medlarreel_core::retry::{Attempt, RetryBudget, RetryDecision};
use medlarreel_core::time::Time;

use super::measure;
use super::table::{Table, slope};

/// Cost of earning budget and of deciding about retries, for several numbers of requests.
pub fn tables() -> Vec<Table> {
    let columns = ["requests", "earn ns", "slope", "decide ns", "slope"];
    let mut table = Table::new("retry, by requests", &columns);
    let (mut previous_earn, mut previous_decide) = (None, None);
    for requests in [1_000, 10_000, 100_000, 1_000_000] {
        let budget = RetryBudget::new(Time(0), 10, 10);
        let earn_ns = measure(&budget, requests, |budget| {
            (0..requests as u64).for_each(|now| budget.record_request(Time(now)));
        });
        let decide_ns = measure(&budget, requests, |budget| {
            let decisions = (0..requests as u64).map(|now| budget.decide(Time(now), &attempt()));
            decisions
                .filter(|decision| *decision == RetryDecision::Send)
                .count()
        });
        let size = requests as f64;
        table.add_row(vec![
            requests.to_string(),
            format!("{earn_ns:.1}"),
            slope(previous_earn, size, earn_ns),
            format!("{decide_ns:.1}"),
            slope(previous_decide, size, decide_ns),
        ]);
        (previous_earn, previous_decide) = (Some((size, earn_ns)), Some((size, decide_ns)));
    }
    vec![table]
}

fn attempt() -> Attempt {
    Attempt {
        outcome: Outcome::NotRun,
        idempotent: false,
        deadline: Time(u64::MAX),
    }
}
