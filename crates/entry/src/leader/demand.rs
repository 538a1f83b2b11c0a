//! What the instances report: how busy keys are, and how fast upstreams run.

use std::collections::{BTreeMap, HashMap};

use medlarreel_core::entry::plan::KeyWeights;

use super::REARRANGE;
use crate::state::State;

/// Weight of one run in an upstream's average; runs vary by half their time.
const RUN_WEIGHT: f64 = 0.02;

/// Range of relative run times that counts in the placement. Upstreams of one
/// service differ by up to 2.5 times.
const PACES: (f64, f64) = (0.6, 2.5);

/// Part of a key's count that is kept from one second to the next.
const COUNT_FADE: f64 = 0.8;

/// Averages of the reports.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Faded counts of requests, by service and key.
    counts: HashMap<String, BTreeMap<u16, f64>>,
    /// Run time at each upstream relative to the others, by id.
    paces: HashMap<String, f64>,
}

impl Demand {
    /// Weights of a service's keys.
    pub(super) fn weights(&self, service: &str) -> KeyWeights {
        KeyWeights::new(self.counts.get(service).cloned().unwrap_or_default())
    }

    /// Run time at an upstream relative to the others.
    pub(super) fn pace(&self, id: &str) -> f64 {
        let pace = self.paces.get(id).copied().unwrap_or(1.0);
        pace.clamp(PACES.0, PACES.1)
    }

    /// Adds what was reported since the last look.
    pub(super) fn count(&mut self, state: &State) {
        for (id, runs, sum) in state.take_run_times() {
            let mean = sum as f64 / 1_000.0 / f64::from(runs.max(1));
            let weight = (f64::from(runs) * RUN_WEIGHT).min(1.0);
            let pace = self.paces.entry(id).or_insert(1.0);
            *pace += (mean - *pace) * weight;
        }
        let fade = COUNT_FADE.powf(REARRANGE.as_secs_f64());
        for keys in self.counts.values_mut() {
            keys.values_mut().for_each(|count| *count *= fade);
            keys.retain(|_, count| *count > 0.1);
        }
        for (service, keys) in std::mem::take(&mut *state.key_counts.borrow_mut()) {
            let counts = self.counts.entry(service).or_default();
            for (key, count) in keys {
                *counts.entry(key).or_default() += f64::from(count);
            }
        }
    }
}
