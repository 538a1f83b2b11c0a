//! Replay of the control stream, from the log or from peers.
//!
//! If records that the state still lacks have been trimmed, the stream is read from its
//! earliest record until it yields a complete checkpoint that covers everything before
//! that record. The records after the checkpoint are then replayed.

use std::sync::Arc;

use bytes::Bytes;
use medlarreel_macros::data;

use super::Machine;
use crate::checkpoint::Assembler;
use crate::fold::State;
use crate::ids::Offset;
use crate::record::{Body, Record};
use crate::time::Time;

/// Source of records.
#[data(key)]
pub enum Source {
    /// The log service.
    Log,
    /// Another instance.
    Peer,
}

/// Progress of the replay.
#[derive(Debug, Default)]
pub struct Replay {
    established: bool,
    restore: Option<Restore>,
}

/// Search for a usable checkpoint.
#[derive(Debug)]
struct Restore {
    earliest: Offset,
    next: Offset,
    assembler: Assembler,
    records: Vec<(Offset, Bytes)>,
}

impl Replay {
    pub(super) fn is_established(&self) -> bool {
        self.established
    }

    /// Restarts the replay at the earliest record that is left.
    pub(super) fn restart_at(&mut self, earliest: Offset) {
        let (assembler, records) = (Assembler::default(), Vec::new());
        self.restore = Some(Restore {
            earliest,
            next: earliest,
            assembler,
            records,
        });
    }
}

impl Restore {
    /// Adds a record. Returns the state once a usable checkpoint is complete.
    fn handle_record(&mut self, offset: Offset, bytes: Bytes) -> Option<State> {
        if offset < self.next {
            return None;
        }
        self.next = offset.next();
        let record = Record::decode(&bytes);
        self.records.push((offset, bytes));
        let Ok(Record {
            body: Body::Checkpoint(chunk),
            ..
        }) = record
        else {
            return None;
        };
        // An invalid checkpoint is skipped; a later one follows.
        let state = self.assembler.add(chunk).ok().flatten()?;
        // After an older checkpoint, records before the earliest one would be missing.
        (state.next_offset() >= self.earliest).then_some(state)
    }
}

impl Machine {
    /// Offset from which records are to be read.
    pub fn read_offset(&self) -> Offset {
        let restore = self.replay.restore.as_ref();
        restore.map_or(self.state.next_offset(), |restore| restore.next)
    }

    /// Adopts a peer's state if it is newer. Used while the log is unavailable.
    pub fn adopt_state(&mut self, now: Time, state: State) {
        if state.next_offset() <= self.state.next_offset() {
            return;
        }
        self.state = Arc::new(state);
        self.replay.established = true;
        self.observe_club_state(now);
    }

    pub(super) fn replay_records(
        &mut self,
        now: Time,
        source: Source,
        records: Vec<(Offset, Bytes)>,
    ) {
        let before = self.state.next_offset();
        for (offset, bytes) in records {
            if source == Source::Log && self.replay.restore.is_some() {
                self.handle_restore_record(now, offset, bytes);
            } else if offset == self.state.next_offset() {
                self.apply(now, offset, &bytes);
            }
        }
        if self.state.next_offset() != before {
            self.observe_club_state(now);
        }
    }

    /// Handles the log's end. The state is established once it reaches that offset.
    pub(super) fn handle_log_end(&mut self, now: Time, end: Offset) {
        if self.replay.restore.is_none() && self.state.next_offset() >= end {
            self.replay.established = true;
        }
        self.recovery.handle_log_response(now);
    }

    fn handle_restore_record(&mut self, now: Time, offset: Offset, bytes: Bytes) {
        let Some(restore) = &mut self.replay.restore else {
            return;
        };
        let Some(state) = restore.handle_record(offset, bytes) else {
            return;
        };
        let records = std::mem::take(&mut restore.records);
        self.replay.restore = None;
        if state.next_offset() > self.state.next_offset() {
            self.state = Arc::new(state);
        }
        for (offset, bytes) in records {
            if offset == self.state.next_offset() {
                self.apply(now, offset, &bytes);
            }
        }
    }

    fn apply(&mut self, now: Time, offset: Offset, bytes: &[u8]) {
        let record = Record::decode(bytes);
        if let Ok(Record {
            body: Body::Checkpoint(chunk),
            ..
        }) = &record
        {
            self.checkpointing.handle_chunk(now, chunk);
        }
        let state = Arc::make_mut(&mut self.state);
        match record {
            // The fold keeps the result code of a rejected proposal for its author.
            Ok(record) => drop(state.apply(offset, record)),
            Err(_) => state.skip_record(offset),
        }
    }

    fn observe_club_state(&mut self, now: Time) {
        let Some(club) = self.club() else { return };
        let club = self.state.club(club);
        self.election.observe_club(now, club);
        let domain_members = club
            .members
            .iter()
            .filter(|member| member.domain == self.local_member.domain);
        self.extension
            .set_members(club.version, domain_members.map(|member| member.instance));
        self.recovery.observe_holder_record(now, club.last_heard);
    }
}
