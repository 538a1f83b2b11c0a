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
//!
//! Any writer can register an id at the address of an upstream that is alive. A registration
//! therefore ends no upstream but an earlier incarnation under its own id. Only what an
//! address itself answers shows which of several upstreams that are registered there
//! listens: the others are displaced and not used.

use std::cmp::Reverse;
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

/// Time for which an upstream is not used after its address has answered as another one. It
/// is tried again then, in case the answer was wrong. Most are removed before.
pub const DISPLACEMENT_PERIOD: Duration = Duration::from_secs(30);

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
    /// Whether the upstream accepts new requests: it is registered, is neither draining nor
    /// displaced, and no later incarnation of it is known.
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
    /// Time at which the upstream was first known to be registered at its address.
    listed_at: Time,
    /// Whether another upstream is registered at its address.
    shares_address: bool,
    /// Whether the upstream has answered at its address.
    has_answered: bool,
    /// Time until which the upstream is not used since its address has answered as another
    /// one.
    displaced_until: Option<Time>,
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
    /// Latest incarnations of the upstreams that have registered at each address.
    by_address: HashMap<SocketAddr, Vec<Upstream>>,
    /// Registrations by id that were seen again after their removal, and the times from
    /// which they count again.
    returns: HashMap<String, (Registration, Time)>,
    version: u64,
    warmth_version: u64,
}

impl Registration {
    /// Whether another registration names the same service, failure domain and address.
    fn is_placed_as(&self, other: &Registration) -> bool {
        self.service == other.service
            && self.domain == other.domain
            && self.address == other.address
    }
}

impl UpstreamRecord {
    /// Whether the upstream is not used although its registration says that it is ready.
    fn is_withheld(&self) -> bool {
        self.said_leaving || self.displaced_until.is_some()
    }

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

    /// Whether an incarnation has ended, since a later one has registered under its id or
    /// its address has answered as another upstream.
    pub fn has_ended(&self, upstream: Upstream) -> bool {
        let record = self.get(upstream);
        record.is_some_and(|record| !self.is_current(upstream) || record.displaced_until.is_some())
    }

    /// Whether no later incarnation of an upstream is known.
    fn is_current(&self, upstream: Upstream) -> bool {
        let record = self.get(upstream);
        record.is_some_and(|record| self.current.get(&record.registration.id) == Some(&upstream))
    }

    /// Whether another upstream, which is not displaced, is registered at the address of an
    /// upstream.
    pub fn has_rival(&self, upstream: Upstream) -> bool {
        self.rivals(upstream).next().is_some()
    }

    /// Whether a rival of an upstream is more likely to listen at their address: it has
    /// answered there, or neither has, and it has started before. Only upstreams of services
    /// that `is_known` names count, since nothing is sent to others that could displace them.
    pub fn is_doubtful(&self, upstream: Upstream, is_known: impl Fn(&str) -> bool) -> bool {
        let Some(own) = self.get(upstream) else {
            return false;
        };
        let likelihood =
            |record: &UpstreamRecord| (record.has_answered, Reverse(record.registration.born));
        let mut rivals = self
            .rivals(upstream)
            .map(|rival| &self.records[rival.0 as usize]);
        rivals.any(|rival| {
            likelihood(rival) > likelihood(own) && is_known(&rival.registration.service)
        })
    }

    /// Upstreams of other ids that are registered at the address of an upstream and not
    /// displaced.
    fn rivals(&self, upstream: Upstream) -> impl Iterator<Item = Upstream> {
        let own = self.get(upstream).filter(|record| record.shares_address);
        let listed = own.and_then(|own| self.by_address.get(&own.registration.address));
        listed.into_iter().flatten().copied().filter(move |key| {
            *key != upstream && self.records[key.0 as usize].displaced_until.is_none()
        })
    }

    /// Records that an upstream has answered under its id what was sent to it at `sent`. Of the
    /// upstreams that were registered at its address then, no other one listens there.
    /// Returns those that are displaced by that.
    pub fn record_answer(&mut self, now: Time, sent: Time, upstream: Upstream) -> Vec<Upstream> {
        let is_current = self.is_current(upstream);
        let record = self.records.get_mut(upstream.0 as usize);
        let Some(record) = record.filter(|_| is_current) else {
            return Vec::new();
        };
        record.has_answered = true;
        if record.displaced_until.take().is_some() {
            self.restore_use(upstream);
        }
        let mut displaced: Vec<Upstream> = self.rivals(upstream).collect();
        displaced.retain(|rival| {
            let is_known = self.records[rival.0 as usize].listed_at <= sent;
            is_known && self.record_displacement(now, *rival)
        });
        displaced
    }

    /// Records that the address of an upstream has answered as another one. Returns whether
    /// the upstream was not displaced before.
    pub fn record_displacement(&mut self, now: Time, upstream: Upstream) -> bool {
        let Some(record) = self.records.get_mut(upstream.0 as usize) else {
            return false;
        };
        let until = now + DISPLACEMENT_PERIOD;
        let is_new = record.displaced_until.replace(until).is_none();
        self.version += u64::from(record.usable);
        record.usable = false;
        is_new
    }

    /// Makes an upstream that is no longer displaced usable, unless something else prevents it.
    fn restore_use(&mut self, upstream: Upstream) {
        let is_current = self.is_current(upstream);
        let record = &mut self.records[upstream.0 as usize];
        if is_current && !record.removed {
            record.usable = !record.registration.draining && !record.is_withheld();
            self.version += u64::from(record.usable);
        }
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
                || record.usable == (registration.draining || record.is_withheld()))
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

    /// Lists an upstream under its address. What is registered under its id was listed under
    /// `before`.
    fn list_address(&mut self, key: Upstream, before: Option<SocketAddr>) {
        let address = self.records[key.0 as usize].registration.address;
        let listed = self.by_address.entry(address).or_default();
        if !listed.contains(&key) {
            listed.push(key);
        }
        self.update_address(address);
        if let Some(before) = before.filter(|before| *before != address) {
            self.update_address(before);
        }
    }

    /// Removes upstreams from the list of an address that are not registered there any more.
    fn update_address(&mut self, address: SocketAddr) {
        let Some(listed) = self.by_address.get_mut(&address) else {
            return;
        };
        listed.retain(|key| {
            let record = &self.records[key.0 as usize];
            let registration = &record.registration;
            let is_current = self.current.get(&registration.id) == Some(key);
            is_current && !record.removed && registration.address == address
        });
        for key in listed.iter() {
            self.records[key.0 as usize].shares_address = listed.len() > 1;
        }
        if listed.is_empty() {
            self.by_address.remove(&address);
        }
    }

    /// Applies a registration; returns whether the set of usable upstreams or the
    /// address of one has changed. `since` is the time of the previous read, so the
    /// change is not older than that.
    pub fn apply(&mut self, now: Time, since: Time, registration: Registration) -> bool {
        let usable = !registration.draining;
        let leaving = (!usable).then_some(since);
        let warm_at = now + registration.warmup;
        let known = self.current.get(&registration.id).copied();
        let address_before = known.map(|key| self.records[key.0 as usize].registration.address);
        if let Some(key) = known {
            let record = &mut self.records[key.0 as usize];
            if registration.born < record.registration.born {
                return false;
            }
            if registration.born == record.registration.born {
                if record.is_newer_than(&registration) {
                    return false;
                }
                if address_before != Some(registration.address) {
                    (record.listed_at, record.displaced_until) = (now, None);
                    record.has_answered = false;
                }
                let usable = usable && !record.is_withheld();
                let changed =
                    record.usable != usable || !record.registration.is_placed_as(&registration);
                self.returns.remove(&registration.id);
                record.registration = registration;
                record.usable = usable;
                record.removed = false;
                record.removal_read = false;
                record.removal_at = None;
                record.leaving_since = match leaving.is_none() && !record.said_leaving {
                    true => None,
                    false => record.leaving_since.or(leaving),
                };
                let was_cold = now < record.warm_at;
                // What the same process has written later shows that it has not ended.
                record.absent = record.absent.filter(|(absent_at, _)| since < *absent_at);
                let absent_until = record.absent.map_or(Time(0), |(_, until)| until);
                record.warm_at = warm_at.max(record.cold_until).max(absent_until);
                self.warmth_version += u64::from(was_cold || now < record.warm_at);
                self.list_address(key, address_before);
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
            listed_at: now,
            shares_address: false,
            has_answered: false,
            displaced_until: None,
            warm_at,
            cold_until: Time(0),
            absent: None,
        });
        self.warmth_version += u64::from(now < warm_at);
        self.list_address(key, address_before);
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

    /// Carries out the removals that are due, and uses upstreams again that were displaced
    /// long enough; returns the removed upstreams. Their records are kept for requests that
    /// are still in flight.
    pub fn expire(&mut self, now: Time) -> Vec<Upstream> {
        self.expire_displacements(now);
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
            let address = record.registration.address;
            self.update_address(address);
        }
        expired.into_iter().map(|(_, key)| key).collect()
    }

    fn expire_displacements(&mut self, now: Time) {
        let mut over = Vec::new();
        for key in self.current.values() {
            let record = &mut self.records[key.0 as usize];
            if record.displaced_until.is_some_and(|until| until <= now) {
                record.displaced_until = None;
                over.push(*key);
            }
        }
        for upstream in over {
            self.restore_use(upstream);
        }
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
