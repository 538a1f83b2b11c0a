//! What the instances report: how busy keys are, and how fast upstreams run.

use std::collections::{BTreeMap, HashMap};

use medlarreel_core::entry::plan::KeyWeights;

use super::REBALANCE_INTERVAL;
use crate::state::State;

/// Weight of one run in an upstream's average; runs vary by half their time.
const RUN_WEIGHT: f64 = 0.02;

/// Range of relative run times that counts in the placement. Upstreams of one
/// service differ by up to 2.5 times.
const RELATIVE_RUN_TIME_RANGE: (f64, f64) = (0.6, 2.5);

/// Part of a key's count that is kept from one second to the next.
const COUNT_DECAY_PER_SECOND: f64 = 0.8;

/// Averages of the reports.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Faded counts of requests, by service and key.
    key_counts: HashMap<String, BTreeMap<u16, f64>>,
    /// Run time at each upstream relative to the others, by id.
    relative_run_times: HashMap<String, f64>,
}

impl Demand {
    /// Weights of a service's keys.
    pub(super) fn weights(&self, service: &str) -> KeyWeights {
        KeyWeights::new(self.key_counts.get(service).cloned().unwrap_or_default())
    }

    /// Run time at an upstream relative to the others.
    pub(super) fn relative_run_time(&self, id: &str) -> f64 {
        let relative_run_time = self.relative_run_times.get(id).copied().unwrap_or(1.0);
        relative_run_time.clamp(RELATIVE_RUN_TIME_RANGE.0, RELATIVE_RUN_TIME_RANGE.1)
    }

    /// Adds what was reported since the last look.
    pub(super) fn update(&mut self, state: &State) {
        for (id, runs, sum) in state.take_run_times() {
            let mean = sum as f64 / 1_000.0 / f64::from(runs.max(1));
            let weight = (f64::from(runs) * RUN_WEIGHT).min(1.0);
            let relative_run_time = self.relative_run_times.entry(id).or_insert(1.0);
            *relative_run_time += (mean - *relative_run_time) * weight;
        }
        let decay = COUNT_DECAY_PER_SECOND.powf(REBALANCE_INTERVAL.as_secs_f64());
        for keys in self.key_counts.values_mut() {
            keys.values_mut().for_each(|count| *count *= decay);
            keys.retain(|_, count| *count > 0.1);
        }
        for (service, keys) in std::mem::take(&mut *state.key_counts.borrow_mut()) {
            let counts = self.key_counts.entry(service).or_default();
            for (key, count) in keys {
                *counts.entry(key).or_default() += f64::from(count);
            }
        }
    }
}
