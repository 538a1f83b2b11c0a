//! Restart of a club whose control holder is gone for good.
//!
//! A club normally elects a new holder by votes. Where too few voters are left,
//! an instance that reads the log appends a `Reset`. That alone moves no key:
//! the new holder takes over only what rule 4 of the ownership rules allows.

use std::time::Duration;

use super::{Machine, Queue};
use crate::ids::Offset;
use crate::record::Body;
use crate::time::Time;
use crate::wire::Message;

/// Time without a sign of the holder after which a club is started over.
const SILENCE: Duration = Duration::from_secs(10);

/// Upper end of the delay that keeps instances from resetting at once.
const JITTER_MS: u64 = 2_000;

/// Delay before the very first record of a club.
const FIRST_DELAY: Duration = Duration::from_millis(100);

/// Upper end of the jitter on `FIRST_DELAY`.
const FIRST_JITTER_MS: u64 = 400;

/// An answer of the log is evidence that it works for this long.
const LOG_FRESH: Duration = Duration::from_secs(2);

/// Time between two attempts.
const RETRY_AFTER: Duration = Duration::from_secs(3);

/// Signs of life of the holder and the log.
#[derive(Debug)]
pub(super) struct Recovery {
    started: Time,
    holder_heard: Time,
    recorded: Offset,
    log_answered: Option<Time>,
    log_since: Time,
    attempted: Option<Time>,
}

impl Recovery {
    pub(super) fn new(now: Time) -> Recovery {
        Recovery {
            started: now,
            holder_heard: now,
            recorded: Offset(0),
            log_answered: None,
            log_since: now,
            attempted: None,
        }
    }

    /// Notes messages that only a holder sends.
    pub(super) fn heard(&mut self, now: Time, message: &Message) {
        if matches!(
            message,
            Message::Lease(_) | Message::Assign(_) | Message::Stop(..)
        ) {
            self.holder_heard = now;
        }
    }

    /// Notes the offset of the holder's last record.
    pub(super) fn holder_recorded(&mut self, now: Time, heard: Offset) {
        if heard != self.recorded {
            self.recorded = heard;
            self.holder_heard = now;
        }
    }

    pub(super) fn log_answered(&mut self, now: Time) {
        let fresh = self
            .log_answered
            .is_some_and(|last| now.since(last) < LOG_FRESH);
        if !fresh {
            self.log_since = now;
        }
        self.log_answered = Some(now);
    }

    fn due(&self, now: Time, first: bool, instance: u64) -> bool {
        let fresh = self
            .log_answered
            .is_some_and(|last| now.since(last) < LOG_FRESH);
        let waiting = self
            .attempted
            .is_some_and(|last| now.since(last) < RETRY_AFTER);
        if !fresh || waiting {
            return false;
        }
        if first {
            let jitter = Duration::from_millis(instance % FIRST_JITTER_MS);
            return now.since(self.started) >= FIRST_DELAY + jitter;
        }
        let quiet_since = self.holder_heard.max(self.log_since);
        let jitter = Duration::from_millis(instance % JITTER_MS);
        now.since(quiet_since) >= SILENCE + jitter
    }
}

impl Machine {
    pub(super) fn reset_due(&mut self, now: Time, queue: &mut Queue) {
        if self.stopping || self.control_ballot(now).is_some() {
            return;
        }
        let expected = self
            .club()
            .map_or(Offset(0), |club| self.state.club(club).term);
        if !self
            .recovery
            .due(now, expected == Offset(0), self.me.instance.0)
        {
            return;
        }
        self.recovery.attempted = Some(now);
        let (club, voter) = (self.me.club.clone(), self.me.clone());
        queue.propose(Body::Reset {
            club,
            expected,
            voter,
        });
    }
}
