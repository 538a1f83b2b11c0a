//! Idempotency keys and stored answers of one upstream's requests.

use std::collections::HashMap;
use std::sync::Mutex;

use medlarreel_core::code::{Code, Outcome};
use medlarreel_core::dedup::{Ending, Key, Table, Verdict};
use medlarreel_core::time::Time;

use super::pool::Answer;
use crate::proxy::Refusal;

/// Keys remembered per upstream.
const MAX_KEYS: usize = 65_536;

/// Answers stored per upstream, in bytes of their bodies; keys beyond it are
/// answered as unknown when repeated.
const MAX_STORED: usize = 16 * 1024 * 1024;

/// Keys of non-idempotent requests and how they ended.
#[derive(Debug)]
pub struct Repeats(Mutex<State>);

#[derive(Debug)]
struct State {
    table: Table,
    answers: HashMap<u64, Answer>,
    stored: usize,
    next: u64,
}

/// What is known about a key before its request is sent.
#[derive(Debug)]
pub enum Known {
    /// The request runs for the first time.
    First,
    /// The request has run with this answer.
    Answered(Answer),
}

impl Repeats {
    /// No keys; whatever was sent before `now` is not known here.
    pub fn new(now: Time) -> Repeats {
        let table = Table::new(MAX_KEYS, Some(now));
        Repeats(Mutex::new(State {
            table,
            answers: HashMap::new(),
            stored: 0,
            next: 0,
        }))
    }

    /// Records a key before its request is sent.
    ///
    /// # Errors
    ///
    /// The code under which a repeat is refused.
    pub fn begin(&self, now: Time, key: Key, attempt: u32) -> Result<Known, Code> {
        let mut state = self.lock();
        state.drop_old(now);
        match state.table.begin(now, key, attempt) {
            Verdict::First => Ok(Known::First),
            Verdict::Finished(id) => state
                .answers
                .get(&id)
                .cloned()
                .map(Known::Answered)
                .ok_or(Code::KeyUnknown),
            Verdict::InProgress => Err(Code::KeyInProgress),
            Verdict::Unknown => Err(Code::KeyUnknown),
            Verdict::Full => Err(Code::QueueFull),
        }
    }

    /// Records how the request of a key ended.
    pub fn finish(&self, now: Time, key: Key, outcome: &Result<Answer, Refusal>) {
        let mut state = self.lock();
        let ending = match outcome {
            Ok(answer) => state.store(answer),
            Err(refusal) if refusal.outcome == Outcome::NotRun => Ending::NotRun,
            Err(_) => Ending::Unknown,
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
    fn store(&mut self, answer: &Answer) -> Ending {
        if self.stored + answer.body.len() > MAX_STORED {
            return Ending::Unknown;
        }
        self.next += 1;
        self.stored += answer.body.len();
        self.answers.insert(self.next, answer.clone());
        Ending::Answered(self.next)
    }

    fn drop_old(&mut self, now: Time) {
        for id in self.table.expire(now) {
            if let Some(answer) = self.answers.remove(&id) {
                self.stored -= answer.body.len();
            }
        }
    }
}
