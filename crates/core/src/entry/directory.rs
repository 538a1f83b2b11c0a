//! Upstreams as they registered themselves.
//!
//! A registration names one life of an upstream by its id and its start. A life
//! keeps one key as long as the process runs, and a restart under the same id
//! gets a new one, so that nothing learnt about the earlier life is applied to
//! the later one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_macros::data;

use crate::ids::Upstream;
use crate::time::Time;

/// Time after the store's return within which lapsed registrations come back.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_100);

/// What an upstream says about itself.
#[data(plain)]
pub struct Registration {
    /// Identity, which appears nowhere else.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it will leave and takes no new work.
    pub draining: bool,
    /// Time during which it is still slow after its start.
    pub warmup: Duration,
    /// Counter of its reports within one life.
    pub sequence: u64,
    /// Start of this life, in milliseconds of the wall clock of the upstream.
    pub born: u64,
}

/// An upstream in the directory.
#[data(plain)]
pub struct UpstreamRecord {
    /// Newest registration.
    pub registration: Registration,
    /// Whether new requests may be sent to it.
    pub usable: bool,
    /// Time at which the registration's removal takes effect.
    pub removal_at: Option<Time>,
    /// Earliest time at which it may have said that it leaves.
    pub leaving_since: Option<Time>,
    /// Time at which the slow phase after its start ends.
    pub warm_at: Time,
}

/// All upstreams that were ever seen by this process.
#[derive(Debug, Default)]
pub struct Directory {
    records: Vec<UpstreamRecord>,
    current: HashMap<String, Upstream>,
    version: u64,
}

impl Directory {
    /// Counter that grows whenever the set of usable upstreams changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Upstream by key.
    pub fn get(&self, upstream: Upstream) -> Option<&UpstreamRecord> {
        self.records.get(upstream.0 as usize)
    }

    /// Newest life of an id.
    pub fn find(&self, id: &str) -> Option<(Upstream, &UpstreamRecord)> {
        let key = *self.current.get(id)?;
        Some((key, &self.records[key.0 as usize]))
    }

    /// Usable upstreams of all services.
    pub fn usable(&self) -> impl Iterator<Item = (Upstream, &UpstreamRecord)> {
        let keys = self.current.values();
        keys.map(|key| (*key, &self.records[key.0 as usize]))
            .filter(|(_, record)| record.usable)
    }

    /// Whether a registration says more than that its upstream still lives. The
    /// time that is left of its slow phase counts with the first report only.
    pub fn is_change(&self, registration: &Registration) -> bool {
        let Some((_, record)) = self.find(&registration.id) else {
            return true;
        };
        let known = Registration {
            warmup: registration.warmup,
            sequence: registration.sequence,
            ..record.registration.clone()
        };
        let outdated = record.registration.born == registration.born
            && registration.sequence < record.registration.sequence;
        !outdated
            && (known != *registration
                || record.removal_at.is_some()
                || record.usable == registration.draining)
    }

    /// Applies a registration; true if the set of usable upstreams changed.
    /// `since` is the time of the reading before, so news are not older.
    pub fn apply(&mut self, now: Time, since: Time, registration: Registration) -> bool {
        let usable = !registration.draining;
        let leaving = (!usable).then_some(since);
        let warm_at = now + registration.warmup;
        if let Some(key) = self.current.get(&registration.id) {
            let record = &mut self.records[key.0 as usize];
            if registration.born < record.registration.born {
                return false;
            }
            if registration.born == record.registration.born {
                // Reports of one life can arrive out of order.
                if registration.sequence < record.registration.sequence {
                    return false;
                }
                let changed =
                    record.usable != usable || record.registration.address != registration.address;
                record.registration = registration;
                record.usable = usable;
                record.removal_at = None;
                record.leaving_since = match usable {
                    true => None,
                    false => record.leaving_since.or(leaving),
                };
                record.warm_at = warm_at;
                self.version += u64::from(changed);
                return changed;
            }
            record.usable = false;
        }
        let key = Upstream(self.records.len() as u32);
        self.current.insert(registration.id.clone(), key);
        self.records.push(UpstreamRecord {
            registration,
            usable,
            removal_at: None,
            leaving_since: leaving,
            warm_at,
        });
        self.version += 1;
        true
    }

    /// Notes that a registration is gone, with effect at `at`.
    ///
    /// A removal that falls into an outage of the store takes effect only once
    /// the upstream has had time to register again.
    pub fn schedule_removal(&mut self, id: &str, since: Time, at: Time) {
        if let Some(key) = self.current.get(id) {
            let record = &mut self.records[key.0 as usize];
            let earlier = record.removal_at.map_or(at, |due| due.min(at));
            record.removal_at = Some(earlier);
            record.leaving_since = record.leaving_since.or(Some(since));
        }
    }

    /// Removes every registration that is not among `present`, with effect at `at`.
    pub fn retain(&mut self, present: &[&str], since: Time, at: Time) {
        let missing: Vec<String> = self
            .current
            .keys()
            .filter(|id| !present.contains(&id.as_str()))
            .cloned()
            .collect();
        for id in missing {
            self.schedule_removal(&id, since, at);
        }
    }

    /// Carries out the removals that are due; returns the upstreams concerned.
    /// Their records stay, for requests that are still under way.
    pub fn expire(&mut self, now: Time) -> Vec<Upstream> {
        let due = |record: &UpstreamRecord| record.removal_at.is_some_and(|at| at <= now);
        let gone: Vec<(String, Upstream)> = self
            .current
            .iter()
            .filter(|(_, key)| due(&self.records[key.0 as usize]))
            .map(|(id, key)| (id.clone(), *key))
            .collect();
        for (_, key) in &gone {
            let record = &mut self.records[key.0 as usize];
            record.usable = false;
            record.removal_at = None;
            self.version += 1;
        }
        gone.into_iter().map(|(_, key)| key).collect()
    }
}
