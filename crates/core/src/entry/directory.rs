//! Directory of registered upstreams.
//!
//! A registration identifies one incarnation of an upstream by its id and start time.
//! An incarnation keeps the same `Upstream` key as long as this process runs. An upstream
//! that restarts under the same id gets a new key, so that nothing learned about the
//! earlier incarnation is applied to the later one.
//!
//! A registration can be seen again after its removal, since the store may come back from
//! a copy. The removal holds if a record of it was read. If the registration was only
//! missing from a load, it counts again, since upstreams write it again as it was.
//!
//! A removal that was read does not hold for good: the store may have removed an upstream
//! that is alive, and it writes no record while only the sequence of a registration
//! changes. A registration that is seen again counts again after a delay, unless another
//! removal of it is read in that time, as it is if the upstream is gone.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_macros::data;

use crate::ids::Upstream;
use crate::time::Time;

/// Time after an outage of the store within which upstreams renew registrations that
/// expired during the outage.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_100);

/// Number of heartbeat intervals of silence after which the store removes a registration.
const EXPIRY_HEARTBEATS: u32 = 3;

/// Delay after which a registration counts again that is seen after its removal was read.
/// The store has removed the registration by then if its upstream is gone. The grace
/// covers what is written again late after a restore, which restarts the store's wait.
pub fn return_delay(heartbeat_interval: Duration) -> Duration {
    heartbeat_interval * EXPIRY_HEARTBEATS + REREGISTRATION_GRACE
}

/// Difference in the end of a warm-up that counts as a change. The remaining time is as old
/// as the delay of the read, which varies by less on calm days.
const WARMUP_TOLERANCE: Duration = Duration::from_millis(250);

/// Time for which an upstream whose address has refused a connection counts as cold, unless
/// it accepts one before. Within it, the store removes the registration of one that has ended.
pub const ABSENCE_PERIOD: Duration = Duration::from_secs(10);

/// Registration that an upstream publishes about itself.
#[data(value)]
pub struct Registration {
    /// Unique id of the upstream.
    pub id: String,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Failure domain that the upstream runs in.
    pub domain: String,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is shutting down and accepts no new requests.
    pub draining: bool,
    /// Time during which the upstream is still slow after its start, counted from the
    /// receipt of the registration.
    pub warmup: Duration,
    /// Sequence number of the registration within one incarnation.
    pub sequence: u64,
    /// Start of this incarnation, in milliseconds of the upstream's wall clock.
    pub born: u64,
}

/// An upstream in the directory.
#[data(plain)]
pub struct UpstreamRecord {
    /// Latest registration.
    pub registration: Registration,
    /// Whether the upstream accepts new requests: it is registered, is not draining, and
    /// no later incarnation of it is known.
    pub usable: bool,
    /// Whether the registration was removed.
    pub removed: bool,
    /// Whether a record of the removal was read, rather than that the registration was
    /// missing from a load.
    pub removal_read: bool,
    /// Time at which the removal of the registration takes effect; `None` if no removal
    /// is scheduled.
    pub removal_at: Option<Time>,
    /// Earliest time at which the upstream may have started to shut down; `None` unless
    /// it is draining or its registration was removed.
    pub leaving_since: Option<Time>,
    /// Whether the upstream has said in a response that it is leaving. Its registration may
    /// not say so yet, or not at all.
    pub said_leaving: bool,
    /// Time at which the upstream's warm-up ends.
    pub warm_at: Time,
    /// Time until which the upstream counts as cold, whatever its registration says.
    cold_until: Time,
    /// Since when and until when the upstream counts as cold because its address has refused
    /// a connection; its process may have been replaced by one with the same id.
    absent: Option<(Time, Time)>,
}

/// All upstreams that this process has ever seen.
#[derive(Debug, Default)]
pub struct Directory {
    records: Vec<UpstreamRecord>,
    current: HashMap<String, Upstream>,
    /// Latest incarnation of any upstream at each address.
    by_address: HashMap<SocketAddr, Upstream>,
    /// Registrations by id that were seen again after their removal, and the times from
    /// which they count again.
    returns: HashMap<String, (Registration, Time)>,
    version: u64,
    warmth_version: u64,
}

impl UpstreamRecord {
    /// Whether more is known than a registration of the same incarnation says. They can
    /// arrive out of order, or once more after their removal.
    fn is_newer_than(&self, registration: &Registration) -> bool {
        let is_outdated = registration.born == self.registration.born
            && registration.sequence < self.registration.sequence;
        is_outdated || self.has_removed(registration)
    }

    /// Whether a removal of exactly this registration was read.
    fn has_removed(&self, registration: &Registration) -> bool {
        self.removal_read
            && registration.born == self.registration.born
            && registration.sequence == self.registration.sequence
    }

    /// Whether the upstream is cold for longer than is known.
    fn is_cooled_by(&self, now: Time, registration: &Registration) -> bool {
        !registration.warmup.is_zero()
            && now + registration.warmup > self.warm_at + WARMUP_TOLERANCE
    }

    fn schedule_removal(&mut self, since: Time, at: Time) {
        if self.removed {
            return;
        }
        let earliest = self.removal_at.map_or(at, |due| due.min(at));
        self.removal_at = Some(earliest);
        self.leaving_since = self.leaving_since.or(Some(since));
    }
}

impl Directory {
    /// Counter that increases whenever the set of usable upstreams or the address of one
    /// changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Counter that increases whenever the end of a warm-up changes.
    pub fn warmth_version(&self) -> u64 {
        self.warmth_version
    }

    /// Latest incarnations of upstreams that are cold now.
    pub fn cold(&self, now: Time) -> impl Iterator<Item = (Upstream, &UpstreamRecord)> {
        let keys = self.current.values();
        keys.map(|key| (*key, &self.records[key.0 as usize]))
            .filter(move |(_, record)| now < record.warm_at)
    }

    /// Records that all upstreams of a failure domain are cold, each at least until `until`
    /// says for its service. Their registrations of this incarnation may be older, so that
    /// they do not end this.
    pub fn mark_cold(&mut self, domain: &str, until: impl Fn(&str) -> Time) {
        for key in self.current.values() {
            let record = &mut self.records[key.0 as usize];
            if record.registration.domain == domain {
                record.cold_until = record.cold_until.max(until(&record.registration.service));
                record.warm_at = record.warm_at.max(record.cold_until);
            }
        }
        self.warmth_version += 1;
    }

    /// Records how much longer an upstream has said that it is cold.
    pub fn record_warmup(&mut self, now: Time, upstream: Upstream, left: Duration) {
        if let Some(record) = self.records.get_mut(upstream.0 as usize) {
            record.warm_at = record.cold_until.max(now + left);
            self.warmth_version += 1;
        }
    }

    /// Records that an upstream may have ended and come back cold, so that it counts as cold
    /// until `until` or until it registers as the same process again. Returns whether it was
    /// not known to be cold.
    pub fn record_absence(&mut self, now: Time, upstream: Upstream, until: Time) -> bool {
        let Some(record) = self.records.get_mut(upstream.0 as usize) else {
            return false;
        };
        let was_cold = now < record.warm_at;
        record.absent = Some((now, until));
        record.warm_at = record.warm_at.max(until);
        self.warmth_version += 1;
        !was_cold
    }

    /// Records that an upstream that may have come back cold has accepted a connection, so
    /// that it is warm `warmup` from now at the latest.
    pub fn record_return(&mut self, now: Time, upstream: Upstream, warmup: Duration) {
        let record = self.records.get_mut(upstream.0 as usize);
        let Some(record) = record.filter(|record| now < record.warm_at) else {
            return;
        };
        if let Some((since, until)) = record.absent
            && now + warmup < until
        {
            record.absent = Some((since, now + warmup));
            if record.warm_at == until {
                record.warm_at = record.cold_until.max(now + warmup);
            }
            self.warmth_version += 1;
        }
    }

    /// Looks up an incarnation by its `Upstream` key, even if it is no longer usable.
    pub fn get(&self, upstream: Upstream) -> Option<&UpstreamRecord> {
        self.records.get(upstream.0 as usize)
    }

    /// Whether an incarnation has ended, since another one has registered under its id or at
    /// its address.
    pub fn has_ended(&self, upstream: Upstream) -> bool {
        let Some(record) = self.get(upstream) else {
            return false;
        };
        let registration = &record.registration;
        let current = self.current.get(&registration.id);
        current.is_some_and(|key| *key != upstream) || self.has_successor(registration)
    }

    /// Finds the latest incarnation of an upstream by id, even if it is no longer usable.
    /// Returns `None` if no upstream with this id has ever registered.
    pub fn find(&self, id: &str) -> Option<(Upstream, &UpstreamRecord)> {
        let key = *self.current.get(id)?;
        Some((key, &self.records[key.0 as usize]))
    }

    /// Latest incarnations of all upstreams, also of those that were removed.
    pub fn latest(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let keys = self.current.values();
        keys.map(|key| &self.records[key.0 as usize])
    }

    /// Usable upstreams of all services.
    pub fn usable(&self) -> impl Iterator<Item = (Upstream, &UpstreamRecord)> {
        let keys = self.current.values();
        keys.map(|key| (*key, &self.records[key.0 as usize]))
            .filter(|(_, record)| record.usable)
    }

    /// Registrations of all upstreams that are registered, also of draining ones, with the
    /// warm-up time that is left now.
    pub fn registered(&self, now: Time) -> impl Iterator<Item = Registration> {
        let records = self.current.values();
        records
            .map(|key| &self.records[key.0 as usize])
            .filter(|record| !record.removed && record.removal_at.is_none())
            .map(move |record| Registration {
                warmup: record.warm_at.since(now),
                ..record.registration.clone()
            })
    }

    /// Whether a registration changes anything, rather than only confirming that its
    /// upstream is alive. That the upstream is cold for longer counts, and that it is warm
    /// sooner does not, nor does an outdated registration.
    pub fn is_changed_by(&self, now: Time, registration: &Registration) -> bool {
        if self.has_successor(registration) {
            return false;
        }
        let Some((_, record)) = self.find(&registration.id) else {
            return true;
        };
        let unchanged = Registration {
            warmup: registration.warmup,
            sequence: registration.sequence,
            ..record.registration.clone()
        };
        !record.is_newer_than(registration)
            && (unchanged != *registration
                || record.removal_at.is_some()
                || record.is_cooled_by(now, registration)
                || record.usable == (registration.draining || record.said_leaving))
    }

    /// Whether a removal of exactly this registration was read. It is to be scheduled by
    /// `schedule_return` if it is seen again.
    pub fn has_removed(&self, registration: &Registration) -> bool {
        self.find(&registration.id)
            .is_some_and(|(_, record)| record.has_removed(registration))
    }

    /// Registrations that are scheduled to count again, with the delays that are left now.
    pub fn returns(&self, now: Time) -> impl Iterator<Item = (Registration, Duration)> {
        let returns = self.returns.values();
        returns.map(move |(registration, at)| (registration.clone(), at.since(now)))
    }

    /// Whether another upstream that has started later is registered at the same address.
    /// Such a registration was delayed on its way; the process that sent it has ended.
    fn has_successor(&self, registration: &Registration) -> bool {
        let latest = self.by_address.get(&registration.address);
        latest.is_some_and(|key| {
            let record = &self.records[key.0 as usize];
            !record.removed
                && record.registration.address == registration.address
                && record.registration.id != registration.id
                && record.registration.born > registration.born
        })
    }

    /// Records which upstream has an address now. The one that had it before has ended.
    fn occupy_address(&mut self, key: Upstream) {
        let registration = &self.records[key.0 as usize].registration;
        let before = self.by_address.insert(registration.address, key);
        let address = registration.address;
        if let Some(before) = before.filter(|before| *before != key) {
            let record = &mut self.records[before.0 as usize];
            if record.registration.address == address {
                record.usable = false;
            }
        }
    }

    /// Applies a registration; returns whether the set of usable upstreams or the
    /// address of one has changed. `since` is the time of the previous read, so the
    /// change is not older than that.
    pub fn apply(&mut self, now: Time, since: Time, registration: Registration) -> bool {
        if self.has_successor(&registration) {
            return false;
        }
        let usable = !registration.draining;
        let leaving = (!usable).then_some(since);
        let warm_at = now + registration.warmup;
        if let Some(key) = self.current.get(&registration.id).copied() {
            let record = &mut self.records[key.0 as usize];
            if registration.born < record.registration.born {
                return false;
            }
            if registration.born == record.registration.born {
                if record.is_newer_than(&registration) {
                    return false;
                }
                let usable = usable && !record.said_leaving;
                let changed =
                    record.usable != usable || record.registration.address != registration.address;
                self.returns.remove(&registration.id);
                record.registration = registration;
                record.usable = usable;
                record.removed = false;
                record.removal_read = false;
                record.removal_at = None;
                record.leaving_since = match usable {
                    true => None,
                    false => record.leaving_since.or(leaving),
                };
                let was_cold = now < record.warm_at;
                // What the same process has written later shows that it has not ended.
                record.absent = record.absent.filter(|(absent_at, _)| since < *absent_at);
                let absent_until = record.absent.map_or(Time(0), |(_, until)| until);
                record.warm_at = warm_at.max(record.cold_until).max(absent_until);
                self.warmth_version += u64::from(was_cold || now < record.warm_at);
                self.occupy_address(key);
                self.version += u64::from(changed);
                return changed;
            }
            record.usable = false;
        }
        self.returns.remove(&registration.id);
        let key = Upstream(self.records.len() as u32);
        self.current.insert(registration.id.clone(), key);
        self.records.push(UpstreamRecord {
            registration,
            usable,
            removed: false,
            removal_read: false,
            removal_at: None,
            leaving_since: leaving,
            said_leaving: false,
            warm_at,
            cold_until: Time(0),
            absent: None,
        });
        self.warmth_version += u64::from(now < warm_at);
        self.occupy_address(key);
        self.version += 1;
        true
    }

    /// Records that an upstream has said in a response that it is leaving, which holds until
    /// the end of this incarnation. Returns whether that was not known.
    pub fn record_leaving(&mut self, now: Time, upstream: Upstream) -> bool {
        let Some(record) = self.records.get_mut(upstream.0 as usize) else {
            return false;
        };
        if record.said_leaving {
            return false;
        }
        record.said_leaving = true;
        record.leaving_since = record.leaving_since.or(Some(now));
        self.version += u64::from(record.usable);
        record.usable = false;
        true
    }

    /// Records that the removal of a registration was read, with effect at `at` or at the time of a
    /// removal already scheduled, whichever is earlier. `since` is the earliest time at
    /// which the upstream may have started to shut down.
    ///
    /// After an outage of the store, `at` must leave the upstream time to register again,
    /// since its registration may have expired only because of the outage.
    pub fn schedule_removal(&mut self, id: &str, since: Time, at: Time) {
        self.returns.remove(id);
        if let Some(key) = self.current.get(id) {
            let record = &mut self.records[key.0 as usize];
            record.removal_read = true;
            record.schedule_removal(since, at);
        }
    }

    /// Schedules the removal of every registration that is not in `present`, with effect
    /// at `at`.
    pub fn schedule_removals_except(&mut self, present: &[&str], since: Time, at: Time) {
        let present: HashSet<&str> = present.iter().copied().collect();
        self.returns.retain(|id, _| present.contains(id.as_str()));
        let absent = self.current.iter();
        for (_, key) in absent.filter(|(id, _)| !present.contains(id.as_str())) {
            self.records[key.0 as usize].schedule_removal(since, at);
        }
    }

    /// Carries out the removals that are due; returns the removed upstreams. Their
    /// records are kept for requests that are still in flight.
    pub fn expire(&mut self, now: Time) -> Vec<Upstream> {
        let due = |record: &UpstreamRecord| record.removal_at.is_some_and(|at| at <= now);
        let expired: Vec<(String, Upstream)> = self
            .current
            .iter()
            .filter(|(_, key)| due(&self.records[key.0 as usize]))
            .map(|(id, key)| (id.clone(), *key))
            .collect();
        for (_, key) in &expired {
            let record = &mut self.records[key.0 as usize];
            record.usable = false;
            record.removed = true;
            record.removal_at = None;
            self.version += 1;
        }
        expired.into_iter().map(|(_, key)| key).collect()
    }

    /// Schedules a registration to count from `at` on. A removal or a later registration
    /// that is read before that takes its place. Returns false if it was scheduled already,
    /// and then replaces the time.
    pub fn schedule_return(&mut self, at: Time, registration: Registration) -> bool {
        let id = registration.id.clone();
        self.returns.insert(id, (registration, at)).is_none()
    }

    /// Applies the scheduled registrations that are due; returns the upstreams that are
    /// usable again. All records written before `as_of` have been read: one is due only
    /// once a removal that precedes it would have been read.
    pub fn apply_returns(&mut self, now: Time, as_of: Time) -> Vec<Upstream> {
        let due = self.returns.extract_if(|_, (_, at)| *at <= as_of);
        let due: Vec<Registration> = due.map(|(_, (registration, _))| registration).collect();
        let mut returned = Vec::new();
        for registration in due {
            let id = registration.id.clone();
            if self.has_removed(&registration) {
                self.records[self.current[&id].0 as usize].removal_read = false;
            }
            if self.apply(now, as_of, registration) {
                returned.push(self.current[&id]);
            }
        }
        returned
    }
}
