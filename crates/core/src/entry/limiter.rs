//! Division of the rate limits of upstreams among the instances, done by the leader.
//!
//! Each limited upstream has a token bucket. A token becomes a permit of the instance whose
//! most urgent waiting request has the lowest rank and, among those, that has waited longest
//! for a permit. Tokens are not divided in advance: at a few requests per second for
//! hundreds of instances, the share of each would be less than a request in a minute.
//!
//! A new leader starts with empty buckets, so that its permits and the last ones of its
//! predecessor stay within the rate.
//!
//! Cold upstreams have a bucket as well, which holds a single token (`warmup`).

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::permit::{self, Announcement, Demand, Grant, Rate};
use super::warmup::{self, Cold};
use crate::time::Time;

/// Time's worth of requests that an unused bucket collects, beyond one request.
const BURST: Duration = Duration::from_millis(250);

/// Lowest rate at which permits are granted, in requests per second. An upstream that gets
/// no requests can't say that its limit has ended.
const MIN_RATE: f64 = 0.25;

/// Time after which a demand that was not repeated is dropped.
const DEMAND_LIFETIME: Duration = Duration::from_millis(400);

/// Time after which granted permits count as received, even if the instance has not
/// confirmed them.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of times that a newly known limit is announced to all instances, since messages
/// may be lost.
const ANNOUNCEMENTS: u32 = 3;

/// Interval between two announcements of a limit.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without any demand after which an upstream's bucket is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Incarnation of an upstream: its id and start.
type Incarnation = (String, u64);

/// Token buckets of all limited upstreams.
#[derive(Debug, Default)]
pub struct Limiter {
    buckets: HashMap<Incarnation, Bucket>,
    /// Whether another instance may have claimed leadership.
    is_uncertain: bool,
    /// Permits granted since they were last taken.
    granted: u64,
}

#[derive(Debug)]
struct Bucket {
    /// `None` if the upstream has stopped naming a limit.
    limit: Option<Rate>,
    /// Time of the response that says so; `Time(0)` if there was none.
    observed_at: Time,
    /// How the upstream is cold; it is warm after the end.
    cold: Option<Cold>,
    tokens: f64,
    refilled_at: Time,
    demanded_at: Time,
    instances: BTreeMap<SocketAddr, Requester>,
    /// Number of announcements so far, and the time from which the next one is due.
    announced: (u32, Time),
}

#[derive(Debug)]
struct Requester {
    waiting: Vec<(u8, u32)>,
    heard_at: Time,
    /// Time since which it has waited for a permit.
    waiting_since: Time,
    /// Permits granted so far.
    granted: u64,
    /// Times of the grants of the last ones, which it has not confirmed.
    unconfirmed: VecDeque<Time>,
    granted_at: Time,
    /// Time of its latest demand, by its clock.
    asked_at: Time,
}

impl Requester {
    /// Waiting requests by rank, without those that unconfirmed permits are for.
    fn unserved(&self, now: Time) -> impl Iterator<Item = (u8, u32)> + '_ {
        let on_the_way = match now.since(self.granted_at) < CONFIRMATION_TIMEOUT {
            true => self.unconfirmed.len() as u32,
            false => 0,
        };
        let mut covered = match now.since(self.heard_at) < DEMAND_LIFETIME {
            true => on_the_way,
            false => u32::MAX,
        };
        let unserved = self.waiting.iter().map(move |(rank, count)| {
            let served = covered.min(*count);
            covered -= served;
            (*rank, count - served)
        });
        unserved.filter(|(_, count)| *count > 0)
    }
}

impl Bucket {
    fn cold_rate(&self, now: Time, is_uncertain: bool) -> Option<f64> {
        let cold = self.cold.filter(|cold| now < cold.until)?;
        let rate = match is_uncertain {
            true => cold.pace.uncertain,
            false => cold.pace.certain,
        };
        Some(rate.per_second())
    }

    /// Requests per second for which permits are granted; `None` if the upstream is not
    /// limited.
    fn rate(&self, now: Time, is_uncertain: bool) -> Option<f64> {
        let named = self.limit.map(|limit| limit.per_second().max(MIN_RATE));
        let cold = self.cold_rate(now, is_uncertain);
        named.into_iter().chain(cold).min_by(f64::total_cmp)
    }

    fn refill(&mut self, now: Time, is_uncertain: bool) {
        let Some(rate) = self.rate(now, is_uncertain) else {
            return;
        };
        let accrued = rate * now.since(self.refilled_at).as_secs_f64();
        let capacity = match self.cold_rate(now, is_uncertain) {
            Some(_) => 1.0,
            None => 1.0 + rate * BURST.as_secs_f64(),
        };
        self.tokens = (self.tokens + accrued).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Grants a permit for each token, as long as requests wait. Returns the instances that
    /// have received some, and their number.
    fn issue(&mut self, now: Time, is_uncertain: bool) -> (Vec<SocketAddr>, u64) {
        self.refill(now, is_uncertain);
        let (mut receivers, mut granted) = (Vec::new(), 0);
        while self.rate(now, is_uncertain).is_some() && self.tokens >= 1.0 {
            let waiting = self
                .instances
                .iter_mut()
                .filter_map(|(address, requester)| {
                    let (rank, _) = requester.unserved(now).next()?;
                    Some((rank, requester.waiting_since, address, requester))
                });
            let first = waiting.min_by_key(|(rank, since, ..)| (*rank, *since));
            let Some((_, _, address, requester)) = first else {
                break;
            };
            requester.granted += 1;
            requester.unconfirmed.push_back(now);
            requester.granted_at = now;
            requester.waiting_since = now;
            self.tokens -= 1.0;
            granted += 1;
            if !receivers.contains(address) {
                receivers.push(*address);
            }
        }
        (receivers, granted)
    }

    /// Milliseconds after the latest demand of an instance at which the first of its
    /// unconfirmed permits ends.
    fn validity_ms(&self, now: Time, is_uncertain: bool, requester: &Requester) -> u64 {
        let lifetime = match self.cold_rate(now, is_uncertain) {
            Some(_) => warmup::PERMIT_LIFETIME,
            None => permit::PERMIT_LIFETIME,
        };
        let held = now.since(requester.heard_at);
        let oldest = requester.unconfirmed.front();
        let age = oldest.map_or(Duration::ZERO, |oldest| now.since(*oldest));
        (held + lifetime).saturating_sub(age).as_millis() as u64
    }

    fn grant(
        &self,
        now: Time,
        is_uncertain: bool,
        incarnation: &Incarnation,
        receiver: SocketAddr,
    ) -> Grant {
        let mut backlog: BTreeMap<u8, u32> = BTreeMap::new();
        let others = self.instances.iter();
        let others = others.filter(|(address, _)| **address != receiver);
        for (rank, count) in others.flat_map(|(_, requester)| requester.unserved(now)) {
            *backlog.entry(rank).or_default() += count;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        let next = self.rate(now, is_uncertain);
        let next = next.map_or(0.0, |rate| missing / rate.max(0.001));
        let requester = self.instances.get(&receiver);
        Grant {
            id: incarnation.0.clone(),
            born: incarnation.1,
            limit: self.limit,
            age_ms: permit::age_ms(now, self.observed_at),
            granted: requester.map_or(0, |requester| requester.granted),
            fresh: requester.map_or(0, |requester| requester.unconfirmed.len() as u32),
            asked_at: requester.map_or(Time(0), |requester| requester.asked_at),
            valid_ms: requester.map_or(0, |requester| {
                self.validity_ms(now, is_uncertain, requester)
            }),
            backlog: backlog.into_iter().collect(),
            next_ms: (next * 1_000.0) as u64,
        }
    }
}

impl Limiter {
    /// Whether permits or announcements may be due without a further demand.
    pub fn is_active(&self, now: Time) -> bool {
        let mut buckets = self.buckets.values();
        buckets.any(|bucket| {
            let mut instances = bucket.instances.values();
            bucket.limit.is_some() && bucket.announced.0 < ANNOUNCEMENTS
                || instances.any(|requester| requester.unserved(now).next().is_some())
        })
    }

    /// Number of cold upstreams for which permits are granted.
    pub fn cold_count(&self, now: Time) -> usize {
        let buckets = self.buckets.values();
        let cold = buckets.filter(|bucket| bucket.cold_rate(now, false).is_some());
        cold.count()
    }

    /// Takes the number of permits granted since the last call.
    pub fn take_granted(&mut self) -> u64 {
        std::mem::take(&mut self.granted)
    }

    /// Records whether another instance may have claimed leadership.
    pub fn set_uncertain(&mut self, is_uncertain: bool) {
        self.is_uncertain = is_uncertain;
    }

    /// Limit that an incarnation of an upstream is known to name.
    pub fn limit_of(&self, id: &str, born: u64) -> Option<Rate> {
        self.buckets.get(&(id.to_owned(), born))?.limit
    }

    /// Forgets everything, when this instance ceases to lead.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }

    /// Records the demand of an instance and returns the replies to it and to other
    /// instances that have received permits.
    pub fn handle_demand(
        &mut self,
        now: Time,
        epoch: u64,
        from: SocketAddr,
        demand: Demand,
    ) -> Vec<(SocketAddr, Grant)> {
        self.buckets
            .retain(|_, bucket| now.since(bucket.demanded_at) < IDLE_TIMEOUT);
        let is_uncertain = self.is_uncertain;
        let incarnation = (demand.id, demand.born);
        let observed_at = permit::observed_at(now, demand.age_ms);
        let bucket = self
            .buckets
            .entry(incarnation.clone())
            .or_insert_with(|| Bucket {
                limit: demand.limit,
                observed_at,
                cold: None,
                tokens: 0.0,
                refilled_at: now,
                demanded_at: now,
                instances: BTreeMap::new(),
                announced: (0, now),
            });
        bucket.refill(now, is_uncertain);
        bucket.demanded_at = now;
        if let Some((pace, left_ms)) = demand.cold {
            let until = now + Duration::from_millis(left_ms);
            let known = bucket.cold.map_or(Time(0), |cold| cold.until);
            let until = until.max(known);
            bucket.cold = Some(Cold { pace, until });
        }
        if observed_at > bucket.observed_at {
            bucket.observed_at = observed_at;
            if bucket.limit.is_none() {
                bucket.announced = (0, now);
            }
            bucket.limit = demand.limit;
        }
        let requester = bucket.instances.entry(from).or_insert_with(|| Requester {
            waiting: Vec::new(),
            heard_at: now,
            waiting_since: now,
            granted: 0,
            unconfirmed: VecDeque::new(),
            granted_at: Time(0),
            asked_at: Time(0),
        });
        if requester.waiting.is_empty() {
            requester.waiting_since = now;
        }
        requester.waiting = demand.waiting;
        requester.heard_at = now;
        requester.asked_at = demand.asked_at;
        let (granted_epoch, granted) = demand.granted;
        if granted_epoch == epoch {
            let missing = requester.granted.saturating_sub(granted) as usize;
            let unconfirmed = &mut requester.unconfirmed;
            unconfirmed.drain(..unconfirmed.len().saturating_sub(missing));
        }
        let (mut receivers, granted) = bucket.issue(now, is_uncertain);
        self.granted += granted;
        if !receivers.contains(&from) {
            receivers.push(from);
        }
        let replies = receivers.into_iter();
        replies
            .map(|receiver| {
                (
                    receiver,
                    bucket.grant(now, is_uncertain, &incarnation, receiver),
                )
            })
            .collect()
    }

    /// Limits that all instances are to be told now. An instance that has sent no request to
    /// an upstream since it has named its limit would learn of it too late.
    pub fn due_announcements(&mut self, now: Time) -> Vec<Announcement> {
        let due = self.buckets.iter_mut().filter_map(|((id, born), bucket)| {
            let (count, due_at) = bucket.announced;
            if count >= ANNOUNCEMENTS || now < due_at {
                return None;
            }
            bucket.announced = (count + 1, now + ANNOUNCEMENT_INTERVAL);
            Some(Announcement {
                id: id.clone(),
                born: *born,
                limit: bucket.limit?,
                age_ms: now.since(bucket.observed_at).as_millis() as u64,
            })
        });
        due.collect()
    }

    /// Grants the permits for which tokens have accrued.
    pub fn issue(&mut self, now: Time) -> Vec<(SocketAddr, Grant)> {
        let is_uncertain = self.is_uncertain;
        let mut grants = Vec::new();
        for (incarnation, bucket) in &mut self.buckets {
            let (receivers, granted) = bucket.issue(now, is_uncertain);
            self.granted += granted;
            for receiver in receivers {
                let grant = bucket.grant(now, is_uncertain, incarnation, receiver);
                grants.push((receiver, grant));
            }
        }
        grants
    }
}
