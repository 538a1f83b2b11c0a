//! How an instance follows a topic of the store: when it reads the topic itself, and what
//! it does with the records that others pass on.
//!
//! Normally only the leader reads. While the leader is silent or its reads are outdated,
//! one instance of each failure domain reads for the others of its domain. Reads by all
//! instances would exceed the store's call rate in a large fleet.
//!
//! When a new era of the store begins, an instance keeps what it has applied, but its
//! offset has lost its meaning. It loads the topic again, from another instance that has
//! already done so or from the store.

use std::time::Duration;

use super::era::Era;
use crate::time::Time;

/// Age from which the reads of others count as outdated. A change must take effect
/// everywhere within 2 s.
pub const MAX_READ_AGE: Duration = Duration::from_millis(1_000);

/// Difference between the times at which consecutive instances of a failure domain start
/// to read for the others. Long enough for the records of the one before to arrive.
const READER_STAGGER: Duration = Duration::from_millis(120);

/// Position from which instances start to read at the same time, so that the last ones
/// do not wait for too long.
const MAX_READER_POSITION: u32 = 5;

/// Time for which missed records are requested from other instances before they are read
/// from the store.
const CATCH_UP_TIME: Duration = Duration::from_millis(400);

/// Minimum interval between two requests for missed records or for a missed owner map.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(120);

/// Delay after a failed read, so that retries do not overload the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of times that the delay is doubled for an instance that does not lead.
/// During an outage all instances try to read, since none hears of a successful read.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// How a batch of records fits the records that have been applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The batch continues them or overlaps with them.
    Next,
    /// All records of the batch have been applied.
    Known,
    /// Records before the batch are missing.
    Gap,
    /// The batch is from an earlier era of the store.
    Outdated,
}

/// Position of an instance in a topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct Position {
    era: Era,
    /// Offset of the next record in the era; 0 before the first load in it.
    end: u64,
    /// Whether the topic can be read from `end` on.
    readable: bool,
    /// Whether the topic has been loaded, in this era or an earlier one.
    loaded: bool,
    as_of: Time,
    /// Time of the latest read by another instance that was heard of.
    reader_heard: Option<Time>,
    /// Since when records are known to be missing.
    behind_since: Option<Time>,
    last_request: Option<Time>,
    /// Number of requests since records are known to be missing.
    request_count: u32,
}

impl Position {
    /// Era of the store that the offset belongs to.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Offset of the next record; `None` if the latest record of each key must be read
    /// first.
    pub fn next_offset(&self) -> Option<u64> {
        self.readable.then_some(self.end)
    }

    /// Whether the topic has been loaded at least once. What was loaded stays in use
    /// while it must be loaded again.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Forgets the offset if it belongs to an earlier era. Returns whether `era` is a new
    /// one.
    pub fn observe_era(&mut self, era: Era) -> bool {
        let is_new = era > self.era;
        if is_new {
            self.era = era;
            self.end = 0;
            self.reset();
        }
        is_new
    }

    /// All records written before this time have been applied.
    pub fn as_of(&self) -> Time {
        self.as_of
    }

    /// Whether records are known to be missing.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Records that all records before `end` that were written before `as_of` have been
    /// applied.
    pub fn advance(&mut self, end: u64, as_of: Time) {
        if !self.readable {
            // Others need time to send their first message.
            self.reader_heard = self.reader_heard.max(Some(as_of));
        }
        self.end = end;
        (self.readable, self.loaded) = (true, true);
        self.as_of = self.as_of.max(as_of);
        self.behind_since = None;
        self.request_count = 0;
    }

    /// Records that the topic cannot be read on from the offset: the store has dropped
    /// the records that follow it.
    pub fn reset(&mut self) {
        self.readable = false;
    }

    /// Whether to apply a snapshot of the records before `end`. One from before the
    /// records that this instance has applied could remove what these have added.
    pub fn accepts_snapshot(&self, era: Era, end: u64) -> bool {
        !self.readable && era == self.era && end >= self.end
    }

    /// Records that records are missing.
    pub fn mark_behind(&mut self, now: Time) {
        self.behind_since = self.behind_since.or(Some(now));
    }

    /// How a batch of the records of `era` from offset `from` to before `end` fits.
    ///
    /// A batch that overlaps with applied records can be applied again as a whole: it
    /// contains the latest change of each key within its offsets.
    pub fn fit(&self, era: Era, from: u64, end: u64) -> Fit {
        match self.next_offset() {
            _ if era < self.era => Fit::Outdated,
            _ if era > self.era => Fit::Gap,
            Some(next) if end <= next => Fit::Known,
            Some(next) if from <= next => Fit::Next,
            _ => Fit::Gap,
        }
    }

    /// Records that another instance has read the topic up to `end` in `era`, and that its
    /// read is `age` old. Returns false, and records nothing, if that is too old or if the
    /// era has ended.
    pub fn observe_reader(&mut self, now: Time, era: Era, end: u64, age: Duration) -> bool {
        if age > MAX_READ_AGE || era < self.era {
            return false;
        }
        self.observe_era(era);
        self.reader_heard = self.reader_heard.max(Some(now - age));
        match self.next_offset() {
            Some(next) if end <= next => self.as_of = self.as_of.max(now - age),
            _ => self.mark_behind(now),
        }
        true
    }

    /// Whether missed records should be requested from another instance now; records the
    /// request.
    pub fn take_request(&mut self, now: Time) -> bool {
        let is_due = self
            .last_request
            .is_none_or(|last| now.since(last) >= REQUEST_INTERVAL);
        let due = self.is_behind() && self.readable && is_due;
        if due {
            self.last_request = Some(now);
            self.request_count += 1;
        }
        due
    }

    /// Whether the last request goes to the leader rather than to the instance that has
    /// named the records. Every second one does: the other instance may have missed them
    /// as well, and the store may refuse the calls of a whole failure domain.
    pub fn should_ask_leader(&self) -> bool {
        self.request_count > 0 && self.request_count.is_multiple_of(2)
    }

    /// Whether this instance, which has had no offset for the time `waited`, should load the
    /// topic from the store now. Before that it requests a snapshot from other instances,
    /// unless it is the first of its failure domain; see `should_read` for
    /// `reader_position`, which is `None` while the others are not known.
    pub fn should_load(&self, waited: Duration, reader_position: Option<u32>) -> bool {
        !self.readable && waited >= stagger(reader_position.unwrap_or(u32::MAX))
    }

    /// Whether nothing that another instance has read within `MAX_READ_AGE` has been heard of.
    pub fn is_silent(&self, now: Time) -> bool {
        let heard = self.reader_heard;
        heard.is_none_or(|heard| now.since(heard) >= MAX_READ_AGE)
    }

    /// Whether this instance should read the topic from the store now. `reader_position`
    /// is the number of instances of its failure domain that read before it while the
    /// leader is silent.
    pub fn should_read(&self, now: Time, is_leader: bool, reader_position: u32) -> bool {
        let is_silent = self.is_silent(now - stagger(reader_position));
        let is_overdue = self
            .behind_since
            .is_some_and(|since| now.since(since) >= CATCH_UP_TIME);
        is_leader || !self.readable || is_silent || is_overdue
    }
}

/// Time up to which a read that was sent at `started` shows all records. The store answers a
/// read without records once `wait` is over; when that answer arrives says less, since it may
/// wait on a congested link.
pub fn read_up_to(started: Time, wait: Duration, is_empty: bool) -> Time {
    match is_empty {
        true => started + wait,
        false => started,
    }
}

/// Delay before the next read after `failures` consecutive failed ones. The leader's is
/// constant: its reads end the outage for all other instances.
pub fn retry_delay(is_leader: bool, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_RETRY_DOUBLINGS);
    match is_leader {
        true => RETRY_DELAY,
        false => RETRY_DELAY * 2u32.pow(doublings),
    }
}

fn stagger(reader_position: u32) -> Duration {
    READER_STAGGER * reader_position.min(MAX_READER_POSITION)
}
