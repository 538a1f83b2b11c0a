//! Checkpoints of the state, written by the control holder.

use std::time::Duration;

use super::{Machine, Queue};
use crate::checkpoint;
use crate::ids::Offset;
use crate::record::{Body, Chunk};
use crate::time::Time;

/// Shortest time for which the log service keeps records.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Time after which a copy that was not read back is written again.
const RETRY_AFTER: Duration = Duration::from_secs(10);

/// Progress of checkpoints.
#[derive(Debug, Default)]
pub(super) struct Copying {
    /// Offset of the newest complete copy, and when it was read.
    end_offset: Offset,
    read: Time,
    /// When this instance last wrote a copy.
    written: Option<Time>,
}

impl Copying {
    /// Notes a part of a copy; copies are written in order, so the last part
    /// completes it.
    pub(super) fn seen(&mut self, now: Time, chunk: &Chunk) {
        if chunk.index + 1 == chunk.count && chunk.end_offset > self.end_offset {
            self.end_offset = chunk.end_offset;
            self.read = now;
        }
    }
}

impl Machine {
    /// Writes a copy if the last one is too old.
    pub(super) fn copy_due(&mut self, now: Time, queue: &mut Queue) {
        let Some(ballot) = self.control_ballot(now) else {
            return;
        };
        let led = self
            .club()
            .is_some_and(|club| self.state.club(club).highest_ballot == Some(ballot));
        let copying = &self.copying;
        let waiting = copying
            .written
            .is_some_and(|written| now.since(written) < RETRY_AFTER);
        let records = self
            .state
            .next_offset()
            .0
            .saturating_sub(copying.end_offset.0);
        if !led || waiting || !checkpoint::is_due(records, now.since(copying.read), RETENTION) {
            return;
        }
        // A state beyond the limits of a copy is reported by the missing copy's age.
        let Ok(chunks) = checkpoint::split_state(&self.state) else {
            return;
        };
        self.copying.written = Some(now);
        for chunk in chunks {
            queue.propose(Body::Checkpoint(chunk));
        }
    }
}
