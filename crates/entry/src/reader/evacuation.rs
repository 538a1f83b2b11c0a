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
            take_back(state, domain);
        }
    }
}

/// Handles the end of an evacuation. The upstreams of the domain may be cold since then, and
/// their registrations may not say so yet.
fn take_back(state: &State, domain: &str) {
    tracing::info!(domain, "evacuation withdrawn");
    let now = state.clock.now();
    let table = state.route_table.borrow();
    let cold_until = |service: &str| {
        let service = table.service(service);
        let limited = service.filter(|service| service.warmup_rate.is_some());
        limited.map_or(now, |service| now + service.warmup)
    };
    let mut directory = state.directory.borrow_mut();
    directory.mark_cold(domain, cold_until);
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
    finish_load(state, &ordered, &withdrawn);
}

/// Applies the orders that another instance knew at `requested_at` or later.
pub(super) fn load_snapshot(state: &State, era: Era, requested_at: Time, received: &[Evacuation]) {
    let mut evacuations = state.evacuations.borrow_mut();
    let (ordered, withdrawn) = evacuations.load_snapshot(era, requested_at, received);
    finish_load(state, &ordered, &withdrawn);
}

fn finish_load(state: &State, ordered: &[String], withdrawn: &[String]) {
    ordered.iter().for_each(|domain| log_order(domain));
    withdrawn.iter().for_each(|domain| take_back(state, domain));
}

fn log_order(domain: &str) {
    tracing::info!(domain, "failure domain evacuated");
}
