//! Records with which the operator evacuates failure domains.

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::evacuation::Evacuation;
use medlarreel_core::time::Time;

use super::feed::Topic;
use crate::platform::config::evacuated_domain;
use crate::platform::store::KeyedRecord;
use crate::state::State;

/// Time before which all records had been read; `None` if none had been.
fn read_before(state: &State) -> Option<Time> {
    let feed = state.feed(Topic::Config);
    feed.is_loaded().then(|| feed.as_of())
}

/// Applies the orders and withdrawals among records that follow the ones read before.
pub(super) fn apply(state: &State, records: &[KeyedRecord]) {
    let since = read_before(state);
    let mut evacuations = state.evacuations.borrow_mut();
    for record in records {
        let Some(domain) = evacuated_domain(&record.key) else {
            continue;
        };
        if record.value.is_some() {
            if evacuations.order(since, domain) {
                log_order(domain);
            }
        } else if evacuations.withdraw(domain) {
            log_withdrawal(domain);
        }
    }
}

/// Applies the orders among the latest records of all keys.
pub(super) fn load(state: &State, era: Era, records: &[KeyedRecord]) {
    let since = read_before(state);
    let orders = records.iter().filter(|record| record.value.is_some());
    let domains: Vec<&str> = orders
        .filter_map(|record| evacuated_domain(&record.key))
        .collect();
    let mut evacuations = state.evacuations.borrow_mut();
    let (ordered, withdrawn) = evacuations.load(era, since, &domains);
    log_changes(&ordered, &withdrawn);
}

/// Applies the orders that another instance knew at `requested_at` or later.
pub(super) fn load_snapshot(state: &State, era: Era, requested_at: Time, received: &[Evacuation]) {
    let mut evacuations = state.evacuations.borrow_mut();
    let (ordered, withdrawn) = evacuations.load_snapshot(era, requested_at, received);
    log_changes(&ordered, &withdrawn);
}

fn log_changes(ordered: &[String], withdrawn: &[String]) {
    ordered.iter().for_each(|domain| log_order(domain));
    withdrawn.iter().for_each(|domain| log_withdrawal(domain));
}

fn log_order(domain: &str) {
    tracing::info!(domain, "failure domain evacuated");
}

fn log_withdrawal(domain: &str) {
    tracing::info!(domain, "evacuation withdrawn");
}
