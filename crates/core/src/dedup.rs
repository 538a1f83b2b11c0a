//! Table of idempotency keys at the dispatcher.
//!
//! A key is recorded before its request is sent. A repeated key is answered
//! from the stored result, or as unknown while the first run is unresolved. A
//! table that has not existed for the longest key age cannot vouch for a
//! request that says it is a repeat, because a predecessor may have run it.

use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasherDefault;
use std::time::Duration;

use medlarreel_macros::data;

use crate::time::Time;

/// Time after its first run during which a key may be repeated.
pub const KEY_RETENTION: Duration = Duration::from_secs(60);

/// Hash of an idempotency key together with its service and club.
///
/// 128 bits, because a collision would answer one caller with another's result.
#[data(key)]
pub struct KeyHash(pub u128);

/// What the table says about a request.
#[data(key)]
pub enum KeyStatus {
    /// The key is new and recorded: the request may be sent.
    New,
    /// The first run has not ended.
    InProgress,
    /// The first run ended with the stored answer of this id.
    Finished(u64),
    /// Whether the request ran is not known.
    Unknown,
    /// The table is full: the request is refused without being run.
    TableFull,
}

/// How a recorded request ended.
#[data(key)]
pub enum Completion {
    /// With an answer, stored under this id.
    Answered(u64),
    /// It was not run, so the key may be used again.
    NotRun,
    /// Whether it ran is not known, or its answer could not be stored.
    Unknown,
}

#[data(key)]
enum Entry {
    Running,
    Ended(Option<u64>),
}

/// Keys seen during the last `KEY_RETENTION`.
#[data(plain)]
pub struct KeyTable {
    capacity: usize,
    covered_since: Option<Time>,
    entries: HashMap<KeyHash, Entry, BuildHasherDefault<DefaultHasher>>,
    /// Ended keys, oldest first.
    ended: VecDeque<(Time, KeyHash)>,
    /// Stored answers that `expire` has yet to report.
    dropped: Vec<u64>,
}

impl KeyTable {
    /// Empty table for at most `capacity` keys.
    ///
    /// `covered_since` is when this dispatcher was appointed; `None` if the
    /// upstream never had another one.
    pub fn new(capacity: usize, covered_since: Option<Time>) -> KeyTable {
        KeyTable {
            capacity,
            covered_since,
            entries: HashMap::default(),
            ended: VecDeque::new(),
            dropped: Vec::new(),
        }
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// When the table began to see every request; `None` if it always did.
    pub fn covered_since(&self) -> Option<Time> {
        self.covered_since
    }

    /// Whether every key that can still be repeated would be in the table.
    pub fn is_complete(&self, now: Time) -> bool {
        self.covered_since
            .is_none_or(|since| now.since(since) >= KEY_RETENTION)
    }

    /// Records the key of a request before it is sent.
    ///
    /// `attempt` counts from 1, as in the `medlar-attempt` header.
    pub fn begin(&mut self, now: Time, key: KeyHash, attempt: u32) -> KeyStatus {
        self.age(now);
        match self.entries.get(&key) {
            Some(Entry::Running) => return KeyStatus::InProgress,
            Some(Entry::Ended(Some(answer))) => return KeyStatus::Finished(*answer),
            Some(Entry::Ended(None)) => return KeyStatus::Unknown,
            None => {}
        }
        if attempt > 1 && !self.is_complete(now) {
            return KeyStatus::Unknown;
        }
        // Dropping a younger key instead would let its repeat run a second time.
        if self.entries.len() + self.dropped.len() >= self.capacity {
            return KeyStatus::TableFull;
        }
        self.entries.insert(key, Entry::Running);
        KeyStatus::New
    }

    /// Records how a running request ended; false if the key is not running.
    pub fn finish(&mut self, now: Time, key: KeyHash, ending: Completion) -> bool {
        if self.entries.get(&key) != Some(&Entry::Running) {
            return false;
        }
        let answer = match ending {
            Completion::Answered(answer) => Some(answer),
            Completion::Unknown => None,
            Completion::NotRun => {
                self.entries.remove(&key);
                return true;
            }
        };
        self.entries.insert(key, Entry::Ended(answer));
        self.ended.push_back((now, key));
        true
    }

    /// Drops keys beyond `KEY_RETENTION` and returns the ids of their stored answers.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        self.age(now);
        std::mem::take(&mut self.dropped)
    }

    fn age(&mut self, now: Time) {
        while let Some(&(ended, key)) = self.ended.front() {
            if now.since(ended) < KEY_RETENTION {
                return;
            }
            self.ended.pop_front();
            if let Some(Entry::Ended(Some(answer))) = self.entries.remove(&key) {
                self.dropped.push(answer);
            }
        }
    }
}
