//! Cost of the retry budget by the number of requests.

use medlarreel_core::code::Outcome;
use medlarreel_core::retry::{Attempt, RetryBudget, RetryDecision};
use medlarreel_core::time::Time;

use super::measure;
use super::table::{Table, slope};

/// Cost of earn and decide after several numbers of requests.
pub fn tables() -> Vec<Table> {
    let columns = ["requests", "earn ns", "slope", "decide ns", "slope"];
    let mut table = Table::new("retry, by requests", &columns);
    let (mut earns, mut decides) = (None, None);
    for requests in [1_000, 10_000, 100_000, 1_000_000] {
        let budget = RetryBudget::new(Time(0), 10, 10);
        let earn = measure(&budget, requests, |budget| {
            (0..requests as u64).for_each(|now| budget.earn(Time(now)));
        });
        let decide = measure(&budget, requests, |budget| {
            let verdicts = (0..requests as u64).map(|now| budget.decide(Time(now), &attempt()));
            verdicts
                .filter(|verdict| *verdict == RetryDecision::Send)
                .count()
        });
        let size = requests as f64;
        table.row(vec![
            requests.to_string(),
            format!("{earn:.1}"),
            slope(earns, size, earn),
            format!("{decide:.1}"),
            slope(decides, size, decide),
        ]);
        (earns, decides) = (Some((size, earn)), Some((size, decide)));
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
