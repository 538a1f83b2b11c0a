//! Idempotency keys that a deduplicating upstream has received.

use std::collections::{HashMap, VecDeque};

use super::state::Echo;

/// Maximum number of keys kept; the oldest are dropped first.
const MAX_KEYS: usize = 16_384;

/// State of the run that an idempotency key belongs to.
#[derive(Clone, Debug)]
pub(super) enum KeyState {
    /// The run has not ended.
    Running,
    /// The run was cancelled, possibly after part of its effect.
    Cancelled,
    /// The run has finished with this response.
    Done(Echo),
}

/// Bounded map of idempotency keys, with their order of arrival.
#[derive(Debug, Default)]
pub(super) struct KeyTable {
    states: HashMap<String, KeyState>,
    arrival_order: VecDeque<String>,
}

impl KeyTable {
    pub(super) fn get(&self, key: &str) -> Option<&KeyState> {
        self.states.get(key)
    }

    pub(super) fn set(&mut self, key: &str, state: KeyState) {
        if self.states.insert(key.to_owned(), state).is_none() {
            self.arrival_order.push_back(key.to_owned());
        }
        if self.arrival_order.len() > MAX_KEYS {
            let oldest = self.arrival_order.pop_front();
            oldest.map(|key| self.states.remove(&key));
        }
    }
}
