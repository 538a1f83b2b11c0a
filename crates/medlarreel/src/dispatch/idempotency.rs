//! Idempotency keys and stored responses of one upstream's requests.

use std::collections::HashMap;
use std::sync::Mutex;

use medlarreel_core::code::{Code, Outcome};
use medlarreel_core::dedup::{Completion, KEY_RETENTION, KeyHash, KeyStatus, KeyTable};
use medlarreel_core::time::Time;

use super::pool::BufferedResponse;
use crate::clock::Clock;
use crate::proxy::Refusal;

/// Maximum number of keys kept per upstream.
const MAX_KEYS: usize = 65_536;

/// Maximum total size of the response bodies stored per upstream. A key whose response
/// does not fit is refused with an unknown outcome when repeated.
const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;

/// Remembers the idempotency keys of non-idempotent requests and their outcomes.
#[derive(Debug)]
pub struct IdempotencyCache(Mutex<State>);

#[derive(Debug)]
struct State {
    table: KeyTable,
    responses: HashMap<u64, BufferedResponse>,
    stored_bytes: usize,
    next_id: u64,
}

/// Result of looking up a key before its request is sent.
#[derive(Debug)]
pub enum KeyLookup<'a> {
    /// The key is new, so the request may be sent.
    FirstRun(FirstRun<'a>),
    /// A request with this key has run and received this response.
    Answered(BufferedResponse),
}

/// Guard of the first run of a key.
///
/// Dropping it unfinished, for example because the caller disconnected, records the
/// outcome as unknown. Otherwise the key would count as in progress forever.
#[derive(Debug)]
pub struct FirstRun<'a> {
    cache: &'a IdempotencyCache,
    key: KeyHash,
    clock: Clock,
    finished: bool,
}

impl FirstRun<'_> {
    /// Records the outcome of the run.
    pub fn finish(mut self, outcome: &Result<BufferedResponse, Refusal>) {
        self.finished = true;
        self.cache.finish(self.clock.now(), self.key, outcome);
    }
}

impl Drop for FirstRun<'_> {
    fn drop(&mut self) {
        if !self.finished {
            let mut state = self.cache.lock();
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
    /// Creates an empty cache.
    pub fn new() -> IdempotencyCache {
        // `KeyTable` supports a single time since which it has seen every request, but
        // that time differs by shard. With a time in the far future, the table treats
        // every unknown key of a repeated request as possibly used, and `begin` decides
        // by the shard.
        let table = KeyTable::new(MAX_KEYS, Some(Time(u64::MAX)));
        IdempotencyCache(Mutex::new(State {
            table,
            responses: HashMap::new(),
            stored_bytes: 0,
            next_id: 0,
        }))
    }

    /// Looks up a key and records it before its request is sent.
    ///
    /// `exclusive_since` is the time since which every request that could have used
    /// the key has passed through this cache; `None` if another instance may send
    /// such requests too.
    ///
    /// # Errors
    ///
    /// Returns the code with which the request is refused: `Code::KeyInProgress` or
    /// `Code::KeyUnknown` for a repeated one, `Code::QueueFull` if no more keys fit.
    pub fn begin(
        &self,
        clock: Clock,
        key: KeyHash,
        attempt: u32,
        exclusive_since: Option<Time>,
    ) -> Result<KeyLookup<'_>, Code> {
        let now = clock.now();
        let mut state = self.lock();
        state.expire(now);
        // If this cache has seen every request for the time that keys are kept, a key
        // that it does not know is new, even in a repeated request.
        let authoritative = exclusive_since.is_some_and(|since| now.since(since) >= KEY_RETENTION);
        let attempt = if authoritative { 1 } else { attempt };
        match state.table.begin(now, key, attempt) {
            KeyStatus::New => Ok(KeyLookup::FirstRun(FirstRun {
                cache: self,
                key,
                clock,
                finished: false,
            })),
            KeyStatus::Finished(id) => state
                .responses
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
        let completion = match outcome {
            Ok(response) => state.store(response),
            Err(refusal) if refusal.outcome == Outcome::NotRun => Completion::NotRun,
            Err(_) => Completion::Unknown,
        };
        state.table.finish(now, key, completion);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    fn store(&mut self, response: &BufferedResponse) -> Completion {
        if self.stored_bytes + response.body.len() > MAX_STORED_BYTES {
            return Completion::Unknown;
        }
        self.next_id += 1;
        self.stored_bytes += response.body.len();
        self.responses.insert(self.next_id, response.clone());
        Completion::Answered(self.next_id)
    }

    fn expire(&mut self, now: Time) {
        for id in self.table.expire(now) {
            if let Some(response) = self.responses.remove(&id) {
                self.stored_bytes -= response.body.len();
            }
        }
    }
}
