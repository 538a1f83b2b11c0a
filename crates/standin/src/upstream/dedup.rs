//! Idempotency keys that a deduplicating upstream has seen.

use std::collections::{HashMap, VecDeque};

use super::state::Echo;

/// Keys remembered; older ones are forgotten.
const MAX_KEYS: usize = 16_384;

/// What is known about the run under a key.
#[derive(Clone, Debug)]
pub(super) enum Seen {
    /// It has not ended.
    Running,
    /// It was stopped, and may have had some of its effect.
    Cancelled,
    /// It has ended with this answer.
    Done(Echo),
}

/// Keys in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct Table {
    seen: HashMap<String, Seen>,
    order: VecDeque<String>,
}

impl Table {
    pub(super) fn get(&self, key: &str) -> Option<&Seen> {
        self.seen.get(key)
    }

    pub(super) fn set(&mut self, key: &str, seen: Seen) {
        if self.seen.insert(key.to_owned(), seen).is_none() {
            self.order.push_back(key.to_owned());
        }
        if self.order.len() > MAX_KEYS {
            let oldest = self.order.pop_front();
            oldest.map(|key| self.seen.remove(&key));
        }
    }
}
