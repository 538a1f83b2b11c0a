//! Recovery of a club that can no longer elect a control holder, and the first term of a
//! new club.
//!
//! A club normally elects a new holder by votes. If too few voters are left, an
//! instance that can read the log appends a `Reset`, which starts a new term. The
//! `Reset` alone moves no key: the new holder takes over only what the rules of the
//! holder's `proof` module allow after a `Reset`.

use std::time::Duration;

use super::{Machine, Queue};
use crate::ids::Offset;
use crate::record::Body;
use crate::time::Time;
use crate::wire::Message;

/// Time without a sign of life of the holder, while the log responds, after which a club
/// is reset.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Upper bound of the jitter that keeps instances from resetting at the same time.
const MAX_RESET_JITTER_MS: u64 = 2_000;

/// Delay before the first `Reset` of a new club, counted from the instance's start.
const FIRST_RESET_DELAY: Duration = Duration::from_millis(100);

/// Upper bound of the jitter on `FIRST_RESET_DELAY`.
const MAX_FIRST_RESET_JITTER_MS: u64 = 400;

/// Time for which a response of the log counts as evidence that the log works.
const LOG_RESPONSE_MAX_AGE: Duration = Duration::from_secs(2);

/// Time between two attempts to reset.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Signs of life of the holder and the log.
#[derive(Debug)]
pub(super) struct Recovery {
    started_at: Time,
    last_holder_sign: Time,
    last_holder_record: Offset,
    last_log_response: Option<Time>,
    log_responding_since: Time,
    last_attempt: Option<Time>,
}

impl Recovery {
    pub(super) fn new(now: Time) -> Recovery {
        Recovery {
            started_at: now,
            last_holder_sign: now,
            last_holder_record: Offset(0),
            last_log_response: None,
            log_responding_since: now,
            last_attempt: None,
        }
    }

    /// Counts a message of a kind that only holders send as a sign of life.
    pub(super) fn observe_message(&mut self, now: Time, message: &Message) {
        if matches!(
            message,
            Message::Lease(_) | Message::Assign(_) | Message::Stop(..)
        ) {
            self.last_holder_sign = now;
        }
    }

    /// Counts a new record of the holder as a sign of life.
    pub(super) fn observe_holder_record(&mut self, now: Time, last_heard: Offset) {
        if last_heard != self.last_holder_record {
            self.last_holder_record = last_heard;
            self.last_holder_sign = now;
        }
    }

    pub(super) fn handle_log_response(&mut self, now: Time) {
        let fresh = self
            .last_log_response
            .is_some_and(|last| now.since(last) < LOG_RESPONSE_MAX_AGE);
        if !fresh {
            self.log_responding_since = now;
        }
        self.last_log_response = Some(now);
    }

    /// Whether to propose a `Reset` now. `first` is true for a club without a term.
    fn is_reset_due(&self, now: Time, first: bool, instance: u64) -> bool {
        let fresh = self
            .last_log_response
            .is_some_and(|last| now.since(last) < LOG_RESPONSE_MAX_AGE);
        let waiting = self
            .last_attempt
            .is_some_and(|last| now.since(last) < RETRY_INTERVAL);
        if !fresh || waiting {
            return false;
        }
        if first {
            let jitter = Duration::from_millis(instance % MAX_FIRST_RESET_JITTER_MS);
            return now.since(self.started_at) >= FIRST_RESET_DELAY + jitter;
        }
        let quiet_since = self.last_holder_sign.max(self.log_responding_since);
        let jitter = Duration::from_millis(instance % MAX_RESET_JITTER_MS);
        now.since(quiet_since) >= HOLDER_TIMEOUT + jitter
    }
}

impl Machine {
    /// Proposes a `Reset` for a club that is new or whose holder has gone silent.
    pub(super) fn reset_if_due(&mut self, now: Time, queue: &mut Queue) {
        if self.stopping || self.control_ballot(now).is_some() {
            return;
        }
        let expected = self
            .club()
            .map_or(Offset(0), |club| self.state.club(club).term);
        if !self
            .recovery
            .is_reset_due(now, expected == Offset(0), self.local_member.instance.0)
        {
            return;
        }
        self.recovery.last_attempt = Some(now);
        let (club, voter) = (self.local_member.club.clone(), self.local_member.clone());
        queue.propose(Body::Reset {
            club,
            expected,
            voter,
        });
    }
}
