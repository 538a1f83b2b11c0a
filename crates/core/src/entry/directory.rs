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
pub const RETURN_GRACE: Duration = Duration::from_millis(2_100);

/// What an upstream says about itself.
#[data(plain)]
pub struct Entry {
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
pub struct Record {
    /// Newest registration.
    pub entry: Entry,
    /// Whether new requests may be sent to it.
    pub usable: bool,
    /// Time at which the registration's removal takes effect.
    pub removal: Option<Time>,
    /// Earliest time at which it may have said that it leaves.
    pub leaving_since: Option<Time>,
    /// Time at which the slow phase after its start ends.
    pub warm_at: Time,
}

/// All upstreams that were ever seen by this process.
#[derive(Debug, Default)]
pub struct Directory {
    records: Vec<Record>,
    current: HashMap<String, Upstream>,
    version: u64,
}

impl Directory {
    /// Counter that grows whenever the set of usable upstreams changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Upstream by key.
    pub fn get(&self, upstream: Upstream) -> Option<&Record> {
        self.records.get(upstream.0 as usize)
    }

    /// Newest life of an id.
    pub fn find(&self, id: &str) -> Option<(Upstream, &Record)> {
        let key = *self.current.get(id)?;
        Some((key, &self.records[key.0 as usize]))
    }

    /// Usable upstreams of all services.
    pub fn usable(&self) -> impl Iterator<Item = (Upstream, &Record)> {
        let keys = self.current.values();
        keys.map(|key| (*key, &self.records[key.0 as usize]))
            .filter(|(_, record)| record.usable)
    }

    /// Whether a registration says more than that its upstream still lives. The
    /// time that is left of its slow phase counts with the first report only.
    pub fn is_news(&self, entry: &Entry) -> bool {
        let Some((_, record)) = self.find(&entry.id) else {
            return true;
        };
        let known = Entry {
            warmup: entry.warmup,
            sequence: entry.sequence,
            ..record.entry.clone()
        };
        let outdated = record.entry.born == entry.born && entry.sequence < record.entry.sequence;
        !outdated
            && (known != *entry || record.removal.is_some() || record.usable == entry.draining)
    }

    /// Applies a registration; true if the set of usable upstreams changed.
    /// `since` is the time of the reading before, so news are not older.
    pub fn apply(&mut self, now: Time, since: Time, entry: Entry) -> bool {
        let usable = !entry.draining;
        let leaving = (!usable).then_some(since);
        let warm_at = now + entry.warmup;
        if let Some(key) = self.current.get(&entry.id) {
            let record = &mut self.records[key.0 as usize];
            if entry.born < record.entry.born {
                return false;
            }
            if entry.born == record.entry.born {
                // Reports of one life can arrive out of order.
                if entry.sequence < record.entry.sequence {
                    return false;
                }
                let changed = record.usable != usable || record.entry.address != entry.address;
                record.entry = entry;
                record.usable = usable;
                record.removal = None;
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
        self.current.insert(entry.id.clone(), key);
        self.records.push(Record {
            entry,
            usable,
            removal: None,
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
    pub fn remove(&mut self, id: &str, since: Time, at: Time) {
        if let Some(key) = self.current.get(id) {
            let record = &mut self.records[key.0 as usize];
            let earlier = record.removal.map_or(at, |due| due.min(at));
            record.removal = Some(earlier);
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
            self.remove(&id, since, at);
        }
    }

    /// Carries out the removals that are due; returns the upstreams concerned.
    /// Their records stay, for requests that are still under way.
    pub fn expire(&mut self, now: Time) -> Vec<Upstream> {
        let due = |record: &Record| record.removal.is_some_and(|at| at <= now);
        let gone: Vec<(String, Upstream)> = self
            .current
            .iter()
            .filter(|(_, key)| due(&self.records[key.0 as usize]))
            .map(|(id, key)| (id.clone(), *key))
            .collect();
        for (_, key) in &gone {
            let record = &mut self.records[key.0 as usize];
            record.usable = false;
            record.removal = None;
            self.version += 1;
        }
        gone.into_iter().map(|(_, key)| key).collect()
    }
}
