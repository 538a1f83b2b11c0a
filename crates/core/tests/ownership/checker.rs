//! What the upstreams themselves saw, and what it must never show.

use std::collections::BTreeMap;

use medlarreel_core::ids::Epoch;

/// One request that an upstream ran; true times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub upstream: usize,
    pub shard: u16,
    pub epoch: Epoch,
    pub start: u64,
    pub end: u64,
}

/// Runs of one schedule, checked as they are noted.
#[derive(Default)]
pub struct Checker {
    pub runs: Vec<Run>,
    newest: BTreeMap<u16, Run>,
    latest_end: BTreeMap<(u16, usize), u64>,
    pub violations: Vec<String>,
}

impl Checker {
    /// Notes a run; no other upstream may run the shard meanwhile or have run
    /// it under a newer epoch.
    pub fn ran(&mut self, run: Run) {
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

    /// Checks what all upstreams hold at one true time.
    pub fn held(&mut self, now: u64, held: &[(usize, Vec<(u16, Epoch)>)]) {
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

    pub fn allowances(&mut self, now: u64, sum: u32, limit: u32) {
        if sum > limit {
            let text = format!("{now}: allowances of {sum} exceed the limit of {limit}");
            self.violations.push(text);
        }
    }

    /// Longest time without a run of each shard, within a period. Runs in the
    /// failure domain `hidden` do not count.
    pub fn gaps(&self, from: u64, to: u64, shards: u16, hidden: usize) -> Vec<u64> {
        let mut last = vec![from; usize::from(shards)];
        let mut gaps = vec![0; usize::from(shards)];
        let within = self
            .runs
            .iter()
            .filter(|run| (from..to).contains(&run.start));
        for run in within.filter(|run| run.upstream % 3 != hidden) {
            let index = usize::from(run.shard);
            gaps[index] = gaps[index].max(run.start.saturating_sub(last[index]));
            last[index] = last[index].max(run.start);
        }
        let ends = gaps.iter().zip(last);
        ends.map(|(&gap, last)| gap.max(to - last)).collect()
    }
}
