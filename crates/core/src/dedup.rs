//! Idempotency keys of the requests that a dispatcher sends.
//!
//! A key is recorded before its request is sent. When the key is repeated, the request
//! is not run again: the table returns the stored answer, or reports that the first run
//! is in progress or that its result is unknown. A table that is younger than
//! `KEY_RETENTION` cannot tell whether a request that is marked as a repeat has run,
//! because a previous dispatcher may have run it.

use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasherDefault;
use std::time::Duration;

use medlarreel_macros::data;

use crate::time::Time;

/// Time after the end of its first run during which an idempotency key may be repeated.
pub const KEY_RETENTION: Duration = Duration::from_secs(60);

/// Hash of an idempotency key together with its service and club.
///
/// It has 128 bits because a collision would return one caller's result to another.
#[data(key)]
pub struct KeyHash(pub u128);

/// State of a request's idempotency key when the request arrives.
#[data(key)]
pub enum KeyStatus {
    /// The key is new and has been recorded: the request may be sent.
    New,
    /// The first run has not finished.
    InProgress,
    /// The first run finished with the answer stored under this id.
    Finished(u64),
    /// It is not known whether the request ran.
    Unknown,
    /// The table is full: the request must be refused without being run.
    TableFull,
}

/// Result of a request whose idempotency key was recorded.
#[data(key)]
pub enum Completion {
    /// It was answered, and the answer is stored under this id.
    Answered(u64),
    /// It was not run, so the key may be used again.
    NotRun,
    /// It is not known whether it ran, or its answer could not be stored.
    Unknown,
}

#[data(key)]
enum Entry {
    Running,
    /// The run ended with the answer stored under this id; `None` if its result is
    /// unknown.
    Ended(Option<u64>),
}

/// Idempotency keys of the requests that are running or ended within the last
/// `KEY_RETENTION`.
#[data(plain)]
pub struct KeyTable {
    capacity: usize,
    covered_since: Option<Time>,
    entries: HashMap<KeyHash, Entry, BuildHasherDefault<DefaultHasher>>,
    /// Keys whose request has ended, and when, oldest first.
    ended: VecDeque<(Time, KeyHash)>,
    /// Ids of expired answers that `expire` has yet to report.
    expired_answers: Vec<u64>,
}

impl KeyTable {
    /// Creates an empty table for at most `capacity` keys. An expired answer counts
    /// towards `capacity` until `expire` has returned its id.
    ///
    /// `covered_since` is the time at which this dispatcher was appointed; `None` if the
    /// upstream never had another one.
    pub fn new(capacity: usize, covered_since: Option<Time>) -> KeyTable {
        KeyTable {
            capacity,
            covered_since,
            entries: HashMap::default(),
            ended: VecDeque::new(),
            expired_answers: Vec::new(),
        }
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Time since which the table has seen every request; `None` if it always has.
    pub fn covered_since(&self) -> Option<Time> {
        self.covered_since
    }

    /// Whether the table contains every key that may still be repeated.
    pub fn is_complete(&self, now: Time) -> bool {
        self.covered_since
            .is_none_or(|since| now.since(since) >= KEY_RETENTION)
    }

    /// Looks up the key of a request before it is sent, and records the key if it is new.
    ///
    /// `attempt` counts from 1, as in the `medlar-attempt` header.
    pub fn begin(&mut self, now: Time, key: KeyHash, attempt: u32) -> KeyStatus {
        self.expire_ended(now);
        match self.entries.get(&key) {
            Some(Entry::Running) => return KeyStatus::InProgress,
            Some(Entry::Ended(Some(answer))) => return KeyStatus::Finished(*answer),
            Some(Entry::Ended(None)) => return KeyStatus::Unknown,
            None => {}
        }
        if attempt > 1 && !self.is_complete(now) {
            return KeyStatus::Unknown;
        }
        // Evicting a key that has not expired would let its repeat run a second time.
        if self.entries.len() + self.expired_answers.len() >= self.capacity {
            return KeyStatus::TableFull;
        }
        self.entries.insert(key, Entry::Running);
        KeyStatus::New
    }

    /// Records how a running request ended; returns false if the key is not running.
    pub fn finish(&mut self, now: Time, key: KeyHash, completion: Completion) -> bool {
        if self.entries.get(&key) != Some(&Entry::Running) {
            return false;
        }
        let answer = match completion {
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

    /// Removes the keys whose run ended `KEY_RETENTION` ago or earlier. Returns the ids
    /// of the stored answers of these keys and of those that `begin` removed since the
    /// last call.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        self.expire_ended(now);
        std::mem::take(&mut self.expired_answers)
    }

    fn expire_ended(&mut self, now: Time) {
        while let Some(&(ended_at, key)) = self.ended.front() {
            if now.since(ended_at) < KEY_RETENTION {
                return;
            }
            self.ended.pop_front();
            if let Some(Entry::Ended(Some(answer))) = self.entries.remove(&key) {
                self.expired_answers.push(answer);
            }
        }
    }
}
