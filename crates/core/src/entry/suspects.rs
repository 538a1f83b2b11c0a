//! Requests that are suspected of crashing the upstreams that run them.
//!
//! Two requests are the same if their method, host, path, body, key and caller are, whatever
//! their attempt ids. A crash counts against each request that the upstream had not answered
//! when it ended, so it counts against innocent ones too. What tells them apart is that a
//! crashing request is there at each crash and is never answered: a request that is answered
//! after a crash is acquitted, and one that has been in flight at `CRASHES_TO_BLOCK`
//! upstreams since it was last answered is blocked for a time.
//!
//! In between, a suspected request is sent by one instance at a time, with the leader's leave
//! (`Trials`): requests that wait while the keys of a crashed upstream have no owner would
//! otherwise all reach the next owner before the first of them has crashed it.
//!
//! Instances exchange crashes and acquittals, so that they count together. Times of other
//! instances are passed on as ages.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_macros::data;
use sha2::{Digest, Sha256};

use crate::time::Time;

/// Number of upstreams that must have ended under a request for it to be blocked.
pub const CRASHES_TO_BLOCK: usize = 3;

/// Time for which a request is blocked at first, and after a further crash.
const BLOCK_TIMES: [Duration; 2] = [Duration::from_secs(600), Duration::from_secs(3_600)];

/// Time from a crash, or from the end of a block, after which a request's crashes no longer
/// count.
const CRASH_MEMORY: Duration = Duration::from_secs(600);

/// Time for which an acquittal is remembered, so that a crash before it that is reported
/// late does not count.
const ACQUITTAL_MEMORY: Duration = Duration::from_secs(10);

/// Time after which a trial counts as ended whose outcome was not reported.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of requests in the table. Each takes a few hundred bytes.
const MAX_SUSPECTS: usize = 1_024;

/// Maximum number of crashes that are kept for a request, the latest ones.
const MAX_CRASHES: usize = 8;

/// Identity of a request: a cryptographic hash, so that no caller can make a request that
/// counts as another caller's.
#[data(key)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Fingerprint of a request that consists of `parts`.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest: [u8; 32] = hash.finalize().into();
        let (half, _) = digest.split_at(16);
        Fingerprint(
            half.iter()
                .fold(0, |value, byte| value << 8 | u128::from(*byte)),
        )
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// An upstream has ended while it ran a request.
#[data(value)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Hash of the id and start of the upstream.
    pub upstream: u64,
    /// Milliseconds since the crash.
    pub age_ms: u64,
}

#[derive(Debug)]
struct Suspect {
    /// Upstreams that have ended and when, in the order of the crashes.
    crashes: Vec<(u64, Time)>,
    acquitted_at: Option<Time>,
}

impl Suspect {
    /// Time until which the request is blocked; `None` if it is not.
    fn blocked_until(&self) -> Option<Time> {
        let further = self.crashes.len().checked_sub(CRASHES_TO_BLOCK)?;
        let (_, last) = self.crashes.last()?;
        Some(*last + BLOCK_TIMES[further.min(BLOCK_TIMES.len() - 1)])
    }

    /// Whether there is nothing to remember any more.
    fn is_over(&self, now: Time) -> bool {
        let last = self.crashes.last().map(|(_, at)| *at);
        let since = self.blocked_until().or(last);
        let is_old = since.is_none_or(|since| now.since(since) >= CRASH_MEMORY);
        let acquitted = self.acquitted_at;
        is_old && acquitted.is_none_or(|at| now.since(at) >= ACQUITTAL_MEMORY)
    }
}

/// Table of suspected requests.
#[derive(Debug, Default)]
pub struct Suspects {
    requests: HashMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Whether no request is suspected, so that none needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Records a crash. Returns the number of upstreams that have ended under the request if
    /// it is blocked from now on, or for longer.
    pub fn record_crash(&mut self, now: Time, crash: &Crash) -> Option<usize> {
        self.requests.retain(|_, suspect| !suspect.is_over(now));
        let at = now - Duration::from_millis(crash.age_ms);
        if !self.requests.contains_key(&crash.fingerprint) && self.requests.len() >= MAX_SUSPECTS {
            self.evict();
        }
        let suspect = self
            .requests
            .entry(crash.fingerprint)
            .or_insert_with(|| Suspect {
                crashes: Vec::new(),
                acquitted_at: None,
            });
        let is_known = suspect.crashes.iter().any(|(id, _)| *id == crash.upstream);
        let is_outdated = suspect
            .acquitted_at
            .is_some_and(|acquitted| at <= acquitted);
        if is_known || is_outdated {
            return None;
        }
        suspect.crashes.push((crash.upstream, at));
        suspect.crashes.sort_by_key(|(_, at)| *at);
        if suspect.crashes.len() > MAX_CRASHES {
            suspect.crashes.remove(0);
        }
        let count = suspect.crashes.len();
        (count >= CRASHES_TO_BLOCK).then_some(count)
    }

    /// Drops the request with the fewest crashes and, among those, the oldest one.
    fn evict(&mut self) {
        let weakest = self.requests.iter().min_by_key(|(_, suspect)| {
            let last = suspect.crashes.last().map(|(_, at)| *at);
            (suspect.crashes.len(), last)
        });
        if let Some(fingerprint) = weakest.map(|(fingerprint, _)| *fingerprint) {
            self.requests.remove(&fingerprint);
        }
    }

    /// Whether upstreams have ended under a request since it was last answered.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.requests.get(&fingerprint);
        suspect.is_some_and(|suspect| !suspect.crashes.is_empty())
    }

    /// Records that an upstream has answered a request, `age` ago. Returns whether crashes
    /// counted against it until then.
    pub fn acquit(&mut self, now: Time, fingerprint: Fingerprint, age: Duration) -> bool {
        let at = now - age;
        let Some(suspect) = self.requests.get_mut(&fingerprint) else {
            return false;
        };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|(_, crashed)| *crashed > at);
        suspect.acquitted_at = suspect.acquitted_at.max(Some(at));
        suspect.crashes.len() < before
    }

    /// Time until which a request is blocked; `None` if it is not.
    pub fn blocked_until(&self, now: Time, fingerprint: Fingerprint) -> Option<Time> {
        let suspect = self.requests.get(&fingerprint)?;
        suspect.blocked_until().filter(|until| now < *until)
    }

    /// Number of requests under which upstreams have ended since they were last answered.
    pub fn suspect_count(&self) -> usize {
        let suspects = self.requests.values();
        suspects
            .filter(|suspect| !suspect.crashes.is_empty())
            .count()
    }

    /// Number of requests that are blocked.
    pub fn blocked_count(&self, now: Time) -> usize {
        self.blocked(now).count()
    }

    /// Digest of the set of blocked requests, by which instances notice that they know
    /// different ones.
    pub fn digest(&self, now: Time) -> u64 {
        let blocked = self.blocked(now);
        blocked.fold(0, |digest, (fingerprint, _)| digest ^ fingerprint.0 as u64)
    }

    /// Crashes of all blocked requests.
    pub fn blocked_crashes(&self, now: Time) -> Vec<Crash> {
        let crashes = self.blocked(now).flat_map(|(fingerprint, suspect)| {
            suspect.crashes.iter().map(move |(upstream, at)| Crash {
                fingerprint: *fingerprint,
                upstream: *upstream,
                age_ms: now.since(*at).as_millis() as u64,
            })
        });
        crashes.collect()
    }

    fn blocked(&self, now: Time) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.requests.iter().filter(move |(_, suspect)| {
            let until = suspect.blocked_until();
            until.is_some_and(|until| now < until)
        })
    }
}

/// Trials of suspected requests that are under way, as known by the leader.
#[derive(Debug, Default)]
pub struct Trials {
    /// Instance that sends the request, and the time at which its leave ends.
    holders: HashMap<Fingerprint, (SocketAddr, Time)>,
}

impl Trials {
    /// Gives an instance leave to send a suspected request, unless another one has it.
    pub fn begin(&mut self, now: Time, fingerprint: Fingerprint, instance: SocketAddr) -> bool {
        self.holders.retain(|_, (_, until)| now < *until);
        let until = now + TRIAL_TIMEOUT;
        let (holder, _) = self.holders.entry(fingerprint).or_insert((instance, until));
        *holder == instance
    }

    /// Records that an instance no longer sends a request.
    pub fn end_of(&mut self, fingerprint: Fingerprint, instance: SocketAddr) {
        self.holders
            .retain(|id, (holder, _)| *id != fingerprint || *holder != instance);
    }

    /// Records that a request was answered or has crashed an upstream.
    pub fn end(&mut self, fingerprint: Fingerprint) {
        self.holders.remove(&fingerprint);
    }
}
