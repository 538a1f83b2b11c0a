//! Demand as reported by the instances: requests per key and run times per upstream.

use std::collections::{BTreeMap, HashMap};

use medlarreel_core::entry::plan::KeyWeights;

use super::REBALANCE_INTERVAL;
use crate::state::State;

/// Weight of a single run in an upstream's moving average. It is small because individual
/// run times vary by half.
const RUN_WEIGHT: f64 = 0.02;

/// Range to which relative run times are clamped for placement. Upstreams of one service
/// differ by a factor of up to 2.5.
const RELATIVE_RUN_TIME_RANGE: (f64, f64) = (0.6, 2.5);

/// Factor by which the request count of a key is multiplied per second.
const COUNT_DECAY_FACTOR: f64 = 0.8;

/// Decaying request counts and moving averages of run times.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Decayed request counts by service and key.
    key_counts: HashMap<String, BTreeMap<u16, f64>>,
    /// Moving average of each upstream's run times relative to the average of the route,
    /// by upstream ID.
    relative_run_times: HashMap<String, f64>,
}

impl Demand {
    /// Returns the weights of a service's keys.
    pub(super) fn weights(&self, service: &str) -> KeyWeights {
        KeyWeights::new(self.key_counts.get(service).cloned().unwrap_or_default())
    }

    /// Returns the run time of an upstream relative to the average of the route, clamped
    /// to `RELATIVE_RUN_TIME_RANGE`; 1 if none has been reported.
    pub(super) fn relative_run_time(&self, id: &str) -> f64 {
        let relative_run_time = self.relative_run_times.get(id).copied().unwrap_or(1.0);
        relative_run_time.clamp(RELATIVE_RUN_TIME_RANGE.0, RELATIVE_RUN_TIME_RANGE.1)
    }

    /// Takes everything reported since the last update: decays the request counts and
    /// adds the new ones, and updates the moving averages of the run times.
    pub(super) fn update(&mut self, state: &State) {
        for (id, runs, sum) in state.take_run_times() {
            let mean = sum as f64 / 1_000.0 / f64::from(runs.max(1));
            let weight = (f64::from(runs) * RUN_WEIGHT).min(1.0);
            let relative_run_time = self.relative_run_times.entry(id).or_insert(1.0);
            *relative_run_time += (mean - *relative_run_time) * weight;
        }
        let decay = COUNT_DECAY_FACTOR.powf(REBALANCE_INTERVAL.as_secs_f64());
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
