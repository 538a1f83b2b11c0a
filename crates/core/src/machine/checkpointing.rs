//! Checkpoints of the state, appended to the log by the control holder.

use std::time::Duration;

use super::{Machine, Queue};
use crate::checkpoint;
use crate::ids::Offset;
use crate::record::{Body, Chunk};
use crate::time::Time;

/// Shortest time for which the log service keeps records.
const LOG_RETENTION: Duration = Duration::from_secs(3_600);

/// Time after which a checkpoint that was not read back is written again.
const RETRY_DELAY: Duration = Duration::from_secs(10);

/// Newest complete checkpoint that was read, and the last one that was written.
#[derive(Debug, Default)]
pub(super) struct CheckpointProgress {
    /// Offset up to which the newest complete checkpoint goes, and when it was read.
    end_offset: Offset,
    read_at: Time,
    /// When this instance last wrote a checkpoint.
    written_at: Option<Time>,
}

impl CheckpointProgress {
    /// Handles a chunk that was read. Chunks are written in order, so the last one
    /// completes the checkpoint.
    pub(super) fn handle_chunk(&mut self, now: Time, chunk: &Chunk) {
        if chunk.index + 1 == chunk.count && chunk.end_offset > self.end_offset {
            self.end_offset = chunk.end_offset;
            self.read_at = now;
        }
    }
}

impl Machine {
    /// Writes a checkpoint if one is due and the log shows this instance as the holder.
    pub(super) fn checkpoint_if_due(&mut self, now: Time, queue: &mut Queue) {
        let Some(ballot) = self.control_ballot(now) else {
            return;
        };
        let lead_recorded = self
            .club()
            .is_some_and(|club| self.state.club(club).highest_ballot == Some(ballot));
        let checkpointing = &self.checkpointing;
        let waiting = checkpointing
            .written_at
            .is_some_and(|written_at| now.since(written_at) < RETRY_DELAY);
        let records = self
            .state
            .next_offset()
            .0
            .saturating_sub(checkpointing.end_offset.0);
        if !lead_recorded
            || waiting
            || !checkpoint::is_due(records, now.since(checkpointing.read_at), LOG_RETENTION)
        {
            return;
        }
        // A state that exceeds the limits of a checkpoint is not written, and the last
        // checkpoint remains the newest.
        let Ok(chunks) = checkpoint::split_state(&self.state) else {
            return;
        };
        self.checkpointing.written_at = Some(now);
        for chunk in chunks {
            queue.propose(Body::Checkpoint(chunk));
        }
    }
}
