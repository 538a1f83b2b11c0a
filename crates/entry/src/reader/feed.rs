//! Read state of the topics of the store that all instances follow.

use std::cell::RefCell;
use std::time::Duration;

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::follow::Position;
use medlarreel_core::time::Time;
use medlarreel_macros::data;

use super::history::History;
use crate::platform::{config, registry};

/// Topic of the store that all instances follow.
#[data(key)]
pub enum Topic {
    /// Configurations published by the operator.
    Config,
    /// Registrations of upstreams.
    Directory,
}

impl Topic {
    /// All topics that instances follow.
    pub const ALL: [Topic; 2] = [Topic::Config, Topic::Directory];

    pub(super) fn name(self) -> &'static str {
        match self {
            Topic::Config => config::TOPIC,
            Topic::Directory => registry::TOPIC,
        }
    }

    /// Short name for metrics and logs.
    pub(super) fn label(self) -> &'static str {
        match self {
            Topic::Config => "config",
            Topic::Directory => "directory",
        }
    }
}

/// How far a topic has been read.
#[data(value)]
pub struct Progress {
    /// Era of the store that the offset belongs to.
    pub era: Era,
    /// Offset of the next record.
    pub end: u64,
    /// Maximum age of unread records, in milliseconds.
    pub age_ms: u64,
}

/// Records that the leader forwards to the other instances.
#[data(value)]
pub struct RecordBatch {
    /// Topic of the records.
    pub topic: Topic,
    /// Era of the store that the offsets belong to.
    pub era: Era,
    /// Offset from which the leader read.
    pub from: u64,
    /// Offset after the last record that the leader read.
    pub end: u64,
    /// Keys and values; a value of `None` removes the key. Registrations that change
    /// nothing are left out, so there can be fewer records than offsets.
    pub records: Vec<(String, Option<Vec<u8>>)>,
    /// Time by which the receiver delays removals, in milliseconds; 0 unless the leader
    /// has just recovered from an outage of the store.
    pub grace_ms: u64,
}

/// Read state of one topic.
#[derive(Debug, Default)]
pub struct Feed {
    pub(super) position: RefCell<Position>,
    pub(super) history: RefCell<History>,
}

impl Feed {
    /// Whether the topic has been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.position.borrow().is_loaded()
    }

    /// Whether the topic must be loaded before it can be read on.
    pub(super) fn must_load(&self) -> bool {
        self.position.borrow().next_offset().is_none()
    }

    /// Drops the offset and the batches of an earlier era.
    pub fn observe_era(&self, era: Era) {
        if self.position.borrow_mut().observe_era(era) {
            self.history.take();
        }
    }

    /// How far the topic has been read; `None` if it must be loaded first.
    pub fn progress(&self, now: Time) -> Option<Progress> {
        let position = self.position.borrow();
        Some(Progress {
            era: position.era(),
            end: position.next_offset()?,
            age_ms: now.since(position.as_of()).as_millis() as u64,
        })
    }

    /// All records written before this time have been applied.
    pub fn as_of(&self) -> Time {
        self.position.borrow().as_of()
    }

    /// Records that records are missing.
    pub fn mark_behind(&self, now: Time) {
        self.position.borrow_mut().mark_behind(now);
    }

    /// Records how far another instance has read. Returns false, and records nothing, if
    /// its reads are outdated. `State::observe_store_era` comes first.
    pub fn observe_reader(&self, now: Time, progress: &Progress) -> bool {
        let age = Duration::from_millis(progress.age_ms);
        let mut position = self.position.borrow_mut();
        position.observe_reader(now, progress.era, progress.end, age)
    }

    /// Offset from which records are to be requested from another instance now; `None` if
    /// no request is due.
    pub fn take_request(&self, now: Time) -> Option<u64> {
        let mut position = self.position.borrow_mut();
        position
            .take_request(now)
            .then(|| position.next_offset())
            .flatten()
    }

    /// Whether the request that was last due goes to the leader.
    pub fn should_ask_leader(&self) -> bool {
        self.position.borrow().should_ask_leader()
    }

    /// Batches that contain all records from offset `from` on; empty if some of them are
    /// no longer known.
    pub fn batches_from(&self, now: Time, from: u64) -> Vec<RecordBatch> {
        self.history.borrow().batches_from(now, from)
    }
}
