//! Recently applied batches of records, for instances that have missed some of them.

use std::collections::VecDeque;
use std::time::Duration;

use medlarreel_core::time::Time;

use super::feed::RecordBatch;

/// Maximum number of batches that are kept. The leader reads at most seven a second.
const MAX_BATCHES: usize = 64;

/// Maximum size of all kept batches in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Batches without gaps between their offsets.
#[derive(Debug, Default)]
pub struct History {
    /// Batches, each with the time from which its removals may take effect.
    batches: VecDeque<(Time, RecordBatch)>,
    bytes: usize,
}

impl History {
    /// Adds a batch that was just applied.
    pub fn record(&mut self, now: Time, batch: RecordBatch) {
        let last = self.batches.back();
        if last.is_some_and(|(_, last)| last.end < batch.from) {
            self.batches.clear();
            self.bytes = 0;
        }
        self.bytes += size(&batch);
        let grace = Duration::from_millis(batch.grace_ms);
        self.batches.push_back((now + grace, batch));
        while self.batches.len() > MAX_BATCHES || self.bytes > MAX_BYTES {
            let Some((_, oldest)) = self.batches.pop_front() else {
                break;
            };
            self.bytes -= size(&oldest);
        }
    }

    /// Batches that contain all records from offset `from` on, with the grace that is
    /// left of each; empty if some of the records are no longer known.
    pub fn batches_from(&self, now: Time, from: u64) -> Vec<RecordBatch> {
        let missing = self.batches.iter().filter(|(_, batch)| batch.end > from);
        let missing: Vec<RecordBatch> = missing
            .map(|(removals_at, batch)| RecordBatch {
                grace_ms: removals_at.since(now).as_millis() as u64,
                ..batch.clone()
            })
            .collect();
        match missing.first() {
            Some(first) if first.from <= from => missing,
            _ => Vec::new(),
        }
    }
}

fn size(batch: &RecordBatch) -> usize {
    let records = batch.records.iter();
    records
        .map(|(key, value)| key.len() + value.as_ref().map_or(0, Vec::len))
        .sum()
}
