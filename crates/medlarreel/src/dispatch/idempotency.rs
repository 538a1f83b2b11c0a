//! Idempotency keys and stored answers of one upstream's requests.

use std::collections::HashMap;
use std::sync::Mutex;

use medlarreel_core::code::{Code, Outcome};
use medlarreel_core::dedup::{Completion, KEY_RETENTION, KeyHash, KeyStatus, KeyTable};
use medlarreel_core::time::Time;

use super::pool::BufferedResponse;
use crate::clock::Clock;
use crate::proxy::Refusal;

/// Keys remembered per upstream.
const MAX_KEYS: usize = 65_536;

/// Answers stored per upstream, in bytes of their bodies; keys beyond it are
/// answered as unknown when repeated.
const MAX_STORED: usize = 16 * 1024 * 1024;

/// Keys of non-idempotent requests and how they ended.
#[derive(Debug)]
pub struct IdempotencyCache(Mutex<State>);

#[derive(Debug)]
struct State {
    table: KeyTable,
    answers: HashMap<u64, BufferedResponse>,
    stored: usize,
    next: u64,
}

/// What is known about a key before its request is sent.
#[derive(Debug)]
pub enum KeyLookup<'a> {
    /// The request runs for the first time.
    FirstRun(FirstRun<'a>),
    /// The request has run with this answer.
    Answered(BufferedResponse),
}

/// First run of a key. Its outcome is unknown if it is dropped unfinished, as
/// when the caller leaves; the key would count as running for good otherwise.
#[derive(Debug)]
pub struct FirstRun<'a> {
    repeats: &'a IdempotencyCache,
    key: KeyHash,
    clock: Clock,
    ended: bool,
}

impl FirstRun<'_> {
    /// Records how the run ended.
    pub fn finish(mut self, outcome: &Result<BufferedResponse, Refusal>) {
        self.ended = true;
        self.repeats.finish(self.clock.now(), self.key, outcome);
    }
}

impl Drop for FirstRun<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let mut state = self.repeats.lock();
            let now = self.clock.now();
            state.table.finish(now, self.key, Completion::Unknown);
        }
    }
}

impl Default for IdempotencyCache {
    fn default() -> Self {
        IdempotencyCache::new()
    }
}

impl IdempotencyCache {
    /// No keys.
    pub fn new() -> IdempotencyCache {
        // The time is known per shard only; a table that begins in the far
        // future leaves the decision to `begin`.
        let table = KeyTable::new(MAX_KEYS, Some(Time(u64::MAX)));
        IdempotencyCache(Mutex::new(State {
            table,
            answers: HashMap::new(),
            stored: 0,
            next: 0,
        }))
    }

    /// Records a key before its request is sent.
    ///
    /// `covered` is since when every request that could have used the key has
    /// passed through here; `None` if some pass elsewhere.
    ///
    /// # Errors
    ///
    /// The code under which a repeat is refused.
    pub fn begin(
        &self,
        clock: Clock,
        key: KeyHash,
        attempt: u32,
        covered: Option<Time>,
    ) -> Result<KeyLookup<'_>, Code> {
        let now = clock.now();
        let mut state = self.lock();
        state.drop_old(now);
        let vouches = covered.is_some_and(|since| now.since(since) >= KEY_RETENTION);
        let attempt = if vouches { 1 } else { attempt };
        match state.table.begin(now, key, attempt) {
            KeyStatus::New => Ok(KeyLookup::FirstRun(FirstRun {
                repeats: self,
                key,
                clock,
                ended: false,
            })),
            KeyStatus::Finished(id) => state
                .answers
                .get(&id)
                .cloned()
                .map(KeyLookup::Answered)
                .ok_or(Code::KeyUnknown),
            KeyStatus::InProgress => Err(Code::KeyInProgress),
            KeyStatus::Unknown => Err(Code::KeyUnknown),
            KeyStatus::TableFull => Err(Code::QueueFull),
        }
    }

    fn finish(&self, now: Time, key: KeyHash, outcome: &Result<BufferedResponse, Refusal>) {
        let mut state = self.lock();
        let ending = match outcome {
            Ok(answer) => state.store(answer),
            Err(refusal) if refusal.outcome == Outcome::NotRun => Completion::NotRun,
            Err(_) => Completion::Unknown,
        };
        state.table.finish(now, key, ending);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    fn store(&mut self, answer: &BufferedResponse) -> Completion {
        if self.stored + answer.body.len() > MAX_STORED {
            return Completion::Unknown;
        }
        self.next += 1;
        self.stored += answer.body.len();
        self.answers.insert(self.next, answer.clone());
        Completion::Answered(self.next)
    }

    fn drop_old(&mut self, now: Time) {
        for id in self.table.expire(now) {
            if let Some(answer) = self.answers.remove(&id) {
                self.stored -= answer.body.len();
            }
        }
    }
}
