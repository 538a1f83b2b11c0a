//! Invariants of ownership, checked on what the upstreams observe.

use std::collections::BTreeMap;

use medlarreel_core::ids::Epoch;

/// One request that an upstream ran; times are true times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub upstream: usize,
    pub shard: u16,
    pub epoch: Epoch,
    pub start: u64,
    pub end: u64,
}

/// Runs of one simulation, checked as they are recorded.
#[derive(Default)]
pub struct Checker {
    pub runs: Vec<Run>,
    /// Run of each shard that was recorded last.
    newest: BTreeMap<u16, Run>,
    /// Latest end of a run of each shard at each upstream.
    latest_end: BTreeMap<(u16, usize), u64>,
    pub violations: Vec<String>,
}

impl Checker {
    /// Records a run. No other upstream may run the shard at the same time, and no
    /// earlier run may have the same epoch at another upstream or a newer epoch.
    pub fn record_run(&mut self, run: Run) {
        if let Some(newest) = self.newest.get(&run.shard) {
            if run.epoch < newest.epoch {
                self.violations.push(format!("{run:?} after {newest:?}"));
            }
            if run.epoch == newest.epoch && run.upstream != newest.upstream {
                self.violations
                    .push(format!("{run:?} shares an epoch with {newest:?}"));
            }
        }
        let ends = self
            .latest_end
            .range((run.shard, 0)..=(run.shard, usize::MAX));
        for (&(_, other), &end) in ends {
            if other != run.upstream && run.start < end {
                let text = format!("{run:?} while upstream {other} runs the shard until {end}");
                self.violations.push(text);
            }
        }
        let end = self
            .latest_end
            .entry((run.shard, run.upstream))
            .or_insert(0);
        *end = run.end.max(*end);
        self.newest.insert(run.shard, run);
        self.runs.push(run);
    }

    /// Checks that no two upstreams hold a shard at the same true time.
    pub fn check_held_shards(&mut self, now: u64, held: &[(usize, Vec<(u16, Epoch)>)]) {
        let mut owners = BTreeMap::new();
        for (upstream, shards) in held {
            for (shard, _) in shards {
                if let Some(other) = owners.insert(*shard, *upstream) {
                    let text = format!("{now}: {other} and {upstream} hold shard {shard}");
                    self.violations.push(text);
                }
            }
        }
    }

    /// Checks that the sum of all allowances is within the club's limit.
    pub fn check_allowances(&mut self, now: u64, sum: u32, limit: u32) {
        if sum > limit {
            let text = format!("{now}: allowances of {sum} exceed the limit of {limit}");
            self.violations.push(text);
        }
    }

    /// Longest time without a run of each shard, within a period. Runs in the failure
    /// domain `excluded_domain` do not count; `usize::MAX` excludes none.
    pub fn gaps(&self, from: u64, to: u64, shards: u16, excluded_domain: usize) -> Vec<u64> {
        let mut last = vec![from; usize::from(shards)];
        let mut gaps = vec![0; usize::from(shards)];
        let within = self
            .runs
            .iter()
            .filter(|run| (from..to).contains(&run.start));
        for run in within.filter(|run| run.upstream % 3 != excluded_domain) {
            let index = usize::from(run.shard);
            gaps[index] = gaps[index].max(run.start.saturating_sub(last[index]));
            last[index] = last[index].max(run.start);
        }
        let ends = gaps.iter().zip(last);
        ends.map(|(&gap, last)| gap.max(to - last)).collect()
    }
}
