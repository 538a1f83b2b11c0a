//! Permits of one instance to send requests to upstreams that limit their rate.
//!
//! The limit is one for all instances together. The leader divides it (`limiter`): an
//! instance requests permits for the requests that it has queued, and each permit allows
//! one send. An instance that can't reach the leader keeps to a fixed share of a part of the
//! rate, so that the leader's permits and the shares of all instances together stay within
//! the bound that upstreams accept.
//!
//! An upstream is limited while it names a limit in its responses, while it is cold
//! (`warmup`), or both; the lower rate counts. That it is cold is known from its registration
//! and the configuration, without any response, and ends by time. There is no share without
//! permits of the rate of a cold upstream.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use medlarreel_macros::data;

use super::warmup::{Cold, Pace};
use crate::ids::Upstream;
use crate::time::Time;

/// Time for which a permit may be used. A request that it was meant for may have been
/// refused or sent elsewhere meanwhile; late permits would add to those of the next window.
pub(super) const PERMIT_LIFETIME: Duration = Duration::from_millis(500);

/// Interval at which an unanswered or unchanged request for permits is repeated, since
/// messages may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a reply after which the leader counts as unreachable.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Fraction of the rate that all instances together may use without permits. The leader may
/// grant all of the rate to others at the same time, and upstreams accept half as much
/// again.
const UNPERMITTED_FRACTION: f64 = 0.3;

/// Upper bound of the part of a send that an instance has accrued when the leader falls
/// silent.
const MAX_PHASE: f64 = 0.99;

/// Rate in requests per second above which a limit is ignored. No upstream runs that many.
const MAX_MEANINGFUL_RATE: f64 = 100_000.0;

/// Age of an observation after which an idle upstream of a service without keys gets a
/// request, so that the end of its limit is noticed.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a permit for such a request is asked for.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Age of an observation that was never made, in milliseconds.
const NEVER_MS: u64 = u64::MAX;

/// Age of an observation in milliseconds; `Time(0)` stands for none.
pub(super) fn age_ms(now: Time, observed_at: Time) -> u64 {
    match observed_at {
        Time(0) => NEVER_MS,
        _ => now.since(observed_at).as_millis() as u64,
    }
}

/// Time of an observation of this age; `Time(0)` if it was never made.
pub(super) fn observed_at(now: Time, age_ms: u64) -> Time {
    now - Duration::from_millis(age_ms)
}

/// Requests per second, in thousandths.
#[data(key)]
pub struct Rate(pub u64);

impl Rate {
    /// Rate of `per_second` requests per second; `None` if it is negative or not a number.
    pub fn from_per_second(per_second: f64) -> Option<Rate> {
        (per_second >= 0.0).then_some(Rate((per_second * 1_000.0) as u64))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// What a response says about the rate that its upstream accepts.
#[data(key)]
pub enum Notice {
    /// It names no limit.
    Unlimited,
    /// It names a limit.
    Limited(Rate),
    /// It names something that is not a rate.
    Unreadable,
}

/// Request of an instance for permits of one upstream.
#[data(value)]
pub struct Demand {
    /// Upstream id.
    pub id: String,
    /// Start of its incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Limit that it last named; `None` if it names none any more.
    pub limit: Option<Rate>,
    /// Age of that observation, in milliseconds; `u64::MAX` if there was none.
    pub age_ms: u64,
    /// How the upstream is cold, as far as the instance knows, with the milliseconds until
    /// it is warm.
    pub cold: Option<(Pace, u64)>,
    /// Time at the instance, which the reply repeats.
    pub asked_at: Time,
    /// Number of requests that wait for a permit, by rank.
    pub waiting: Vec<(u8, u32)>,
    /// Epoch of the leader that has last granted permits, and the number that it had
    /// granted to this instance.
    pub granted: (u64, u64),
}

/// Limit of an upstream, which the leader tells all instances.
#[data(value)]
pub struct Announcement {
    /// Upstream id.
    pub id: String,
    /// Start of its incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Limit that it has named.
    pub limit: Rate,
    /// Age of that observation, in milliseconds.
    pub age_ms: u64,
}

/// Reply to a `Demand`, also sent when further permits are granted.
#[data(value)]
pub struct Grant {
    /// Upstream id.
    pub id: String,
    /// Start of its incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Limit that the upstream is known to have named last.
    pub limit: Option<Rate>,
    /// Age of that observation, in milliseconds; `u64::MAX` if there was none.
    pub age_ms: u64,
    /// Number of permits granted to the receiver in this epoch.
    pub granted: u64,
    /// Number of these that the receiver has not confirmed.
    pub fresh: u32,
    /// Time of the receiver's latest demand, by its clock.
    pub asked_at: Time,
    /// Milliseconds after `asked_at` at which the first of the fresh permits ends.
    pub valid_ms: u64,
    /// Requests of other instances that wait for permits, by rank.
    pub backlog: Vec<(u8, u32)>,
    /// Time until the next permit accrues, in milliseconds.
    pub next_ms: u64,
}

/// Limits that this instance knows, and its permits, by upstream.
#[derive(Debug, Default)]
pub struct Permits {
    limited: HashMap<Upstream, Limited>,
    /// Upstreams whose limit was seen to end, until the leader is told.
    ended: Vec<Upstream>,
    /// When the limit of an upstream has last ended.
    ended_at: HashMap<Upstream, Time>,
    /// Epoch of the leader that grants permits.
    epoch: u64,
    /// Number of instances, including this one, which share the rates while the leader is
    /// unreachable; 0 counts as 1.
    instances: usize,
}

#[derive(Debug)]
struct Limited {
    /// Limit that the upstream names in its responses.
    named: Option<Rate>,
    /// Time of the latest response that says whether there is a limit; `Time(0)` if there
    /// was none.
    observed_at: Time,
    /// `None` if the upstream is warm.
    cold: Option<Cold>,
    /// Times at which unused permits end.
    permits: Vec<Time>,
    /// Number of permits received in the current epoch.
    granted: u64,
    /// Requests that wait for permits, by rank.
    waiting: BTreeMap<u8, u32>,
    /// Demand that was last sent, and when.
    asked: Option<(Vec<(u8, u32)>, Time)>,
    /// Time of the first demand that was not replied to.
    unanswered_since: Option<Time>,
    /// Latest reply and when it was received.
    reply: Option<(Grant, Time)>,
    probe_until: Time,
    /// Whether a probe has begun that the leader was not asked for yet.
    is_probe_wanted: bool,
    /// Sends that accrue while the leader is unreachable, up to 1, and the time up to which
    /// they have accrued.
    reserve: (f64, Time),
}

impl Limited {
    fn new(now: Time) -> Limited {
        Limited {
            named: None,
            observed_at: Time(0),
            cold: None,
            permits: Vec::new(),
            granted: 0,
            waiting: BTreeMap::new(),
            asked: None,
            unanswered_since: None,
            reply: None,
            probe_until: Time(0),
            is_probe_wanted: false,
            reserve: (0.0, now),
        }
    }

    /// Limit that the upstream has named at `observed_at`.
    fn named(observed_at: Time, now: Time, rate: Rate) -> Limited {
        Limited {
            named: Some(rate),
            observed_at,
            ..Limited::new(now)
        }
    }

    /// Requests per second that the upstream takes from all instances.
    fn per_second(&self) -> f64 {
        let cold = self.cold.map(|cold| cold.pace.certain);
        let lowest = self.named.into_iter().chain(cold).min();
        lowest.map_or(f64::INFINITY, Rate::per_second)
    }

    fn is_leader_silent(&self, now: Time) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= REPLY_TIMEOUT)
    }

    /// Requests per second that each of `instances` may send without permits.
    fn unpermitted_share(&self, instances: usize) -> f64 {
        match self.cold {
            Some(_) => 0.0,
            None => self.per_second() * UNPERMITTED_FRACTION / instances.max(1) as f64,
        }
    }

    fn live_permits(&self, now: Time) -> usize {
        self.permits.iter().filter(|end| now < **end).count()
    }

    /// Requests for which permits are needed.
    fn demand(&self, now: Time) -> Vec<(u8, u32)> {
        let mut waiting = self.waiting.clone();
        if waiting.is_empty() && now < self.probe_until {
            waiting.insert(u8::MAX, 1);
        }
        let mut covered = self.live_permits(now) as u32;
        let needed = waiting.into_iter().map(|(rank, count)| {
            let used = covered.min(count);
            covered -= used;
            (rank, count - used)
        });
        needed.filter(|(_, count)| *count > 0).collect()
    }
}

impl Permits {
    /// Whether an upstream limits its rate, as far as known.
    pub fn is_limited(&self, upstream: Upstream) -> bool {
        self.limited.contains_key(&upstream)
    }

    /// Number of upstreams that are limited because they are cold.
    pub fn cold_count(&self) -> usize {
        let limited = self.limited.values();
        limited.filter(|limited| limited.cold.is_some()).count()
    }

    /// Replaces the cold upstreams. They are limited from now on, and those that are not in
    /// `cold` only if they name a limit.
    pub fn set_cold(&mut self, now: Time, cold: &[(Upstream, Cold)]) {
        for limited in self.limited.values_mut() {
            limited.cold = None;
        }
        for (upstream, cold) in cold {
            let limited = self.limited.entry(*upstream).or_insert_with(|| Limited {
                // The leader knows already.
                asked: Some((Vec::new(), now)),
                ..Limited::new(now)
            });
            limited.cold = Some(*cold);
            limited.reserve = (0.0, now);
        }
        self.end_cold(now);
    }

    /// Ends the limits of upstreams that are warm now and name none.
    pub fn end_cold(&mut self, now: Time) {
        self.limited.retain(|_, limited| {
            limited.cold = limited.cold.filter(|cold| now < cold.until);
            limited.cold.is_some() || limited.named.is_some()
        });
    }

    /// Number of upstreams that limit their rate.
    pub fn limited_count(&self) -> usize {
        self.limited.len()
    }

    /// Records what a response says. `sent_at` is when its request was sent: one that names
    /// no limit ends the limit only if its request was sent after a response had named it,
    /// since responses on different connections can overtake each other. Returns whether
    /// the known limit has changed.
    pub fn observe(
        &mut self,
        now: Time,
        upstream: Upstream,
        sent_at: Time,
        notice: Notice,
    ) -> bool {
        match notice {
            Notice::Limited(rate) if rate.per_second() < MAX_MEANINGFUL_RATE => {
                let known = self.limited.get_mut(&upstream);
                let Some(known) = known else {
                    let limited = Limited::named(now, now, rate);
                    self.limited.insert(upstream, limited);
                    return true;
                };
                let changed = known.named != Some(rate);
                known.named = Some(rate);
                known.observed_at = now;
                changed
            }
            Notice::Unlimited | Notice::Limited(_) => {
                let known = self.limited.get_mut(&upstream);
                let known = known.filter(|known| known.named.is_some());
                let Some(known) = known.filter(|known| sent_at >= known.observed_at) else {
                    return false;
                };
                (known.named, known.observed_at) = (None, now);
                if known.cold.is_none() {
                    self.limited.remove(&upstream);
                }
                self.ended.push(upstream);
                self.ended_at.insert(upstream, now);
                true
            }
            Notice::Unreadable => false,
        }
    }

    /// Drops what is known of upstreams for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(Upstream) -> bool) {
        self.limited.retain(|upstream, _| known(*upstream));
        self.ended_at.retain(|upstream, _| known(*upstream));
    }

    /// Whether a request may be sent: the upstream has no limit, or there is a permit.
    pub fn may_send(&self, now: Time, upstream: Upstream) -> bool {
        let limited = self.limited.get(&upstream);
        limited.is_none_or(|limited| limited.live_permits(now) > 0 || limited.reserve.0 >= 1.0)
    }

    /// Uses the permit that ends first, if the upstream limits its rate.
    pub fn record_send(&mut self, now: Time, upstream: Upstream) {
        let Some(limited) = self.limited.get_mut(&upstream) else {
            return;
        };
        limited.permits.retain(|end| now < *end);
        match limited.permits.is_empty() {
            true => limited.reserve.0 = (limited.reserve.0 - 1.0).max(0.0),
            false => drop(limited.permits.remove(0)),
        }
    }

    /// Estimated time until a request is sent that `ahead` requests of this instance
    /// precede, and whether none precedes it at any instance.
    pub fn estimated_wait(
        &self,
        now: Time,
        upstream: Upstream,
        rank: u8,
        ahead: u32,
    ) -> (Duration, bool) {
        let Some(limited) = self.limited.get(&upstream) else {
            return (Duration::ZERO, ahead == 0);
        };
        let wait = |requests: f64, rate: f64| {
            Duration::from_secs_f64((requests / rate.max(0.001)).clamp(0.0, 60.0))
        };
        let rate = limited.per_second();
        let until_warm = |wait: Duration| match limited.cold {
            Some(cold) if limited.named.is_none() => wait.min(cold.until.since(now)),
            _ => wait,
        };
        if limited.is_leader_silent(now) {
            let share = limited.unpermitted_share(self.instances);
            let missing = 1.0 - limited.reserve.0;
            let wait = wait(f64::from(ahead) + missing, share);
            return (until_warm(wait), ahead == 0);
        }
        let Some((reply, received)) = &limited.reply else {
            return (until_warm(wait(f64::from(ahead), rate)), ahead == 0);
        };
        let age = now.since(*received);
        // A reply soon goes out of date: each instance's requests leave the queue by
        // permits or refusals.
        let backlog: u32 = match age < REPLY_TIMEOUT {
            true => {
                let others = reply.backlog.iter().filter(|(other, _)| *other <= rank);
                others.map(|(_, count)| *count).sum()
            }
            false => 0,
        };
        let next = Duration::from_millis(reply.next_ms).saturating_sub(age);
        let precede = ahead + backlog;
        let covered = limited.live_permits(now) as u32;
        if ahead < covered {
            return (Duration::ZERO, precede == 0);
        }
        let requests = f64::from(precede - covered);
        (until_warm(next + wait(requests, rate)), precede == 0)
    }

    /// Replaces the numbers of requests that wait for permits, by upstream and rank.
    pub fn set_waiting(&mut self, waiting: &BTreeMap<Upstream, BTreeMap<u8, u32>>) {
        for (upstream, limited) in &mut self.limited {
            limited.waiting = waiting.get(upstream).cloned().unwrap_or_default();
        }
    }

    /// Asks for a permit if the upstream has not responded for `PROBE_INTERVAL`, so that
    /// one that other upstreams stand in for does not count as limited for good.
    pub fn probe_if_idle(&mut self, now: Time, upstream: Upstream) {
        if let Some(limited) = self.limited.get_mut(&upstream)
            && limited.named.is_some()
            && now.since(limited.observed_at) >= PROBE_INTERVAL
            && now.since(limited.probe_until) >= PROBE_INTERVAL
        {
            limited.probe_until = now + PROBE_TIMEOUT;
            limited.is_probe_wanted = true;
        }
    }

    /// Whether a request should be sent to learn whether the limit still holds.
    pub fn is_probe_due(&self, now: Time, upstream: Upstream) -> bool {
        let limited = self.limited.get(&upstream);
        limited.is_some_and(|limited| {
            limited.named.is_some()
                && limited.live_permits(now) > 0
                && now.since(limited.observed_at) >= PROBE_INTERVAL
        })
    }

    /// Demands that are to be sent to the leader now, without their id and start.
    pub fn due_demands(&mut self, now: Time) -> Vec<(Upstream, Demand)> {
        let epoch = self.epoch;
        let ended = std::mem::take(&mut self.ended).into_iter();
        let mut due: Vec<(Upstream, Demand)> = ended
            .map(|upstream| {
                let demand = Demand {
                    id: String::new(),
                    born: 0,
                    limit: None,
                    age_ms: 0,
                    cold: None,
                    asked_at: now,
                    waiting: Vec::new(),
                    granted: (epoch, 0),
                };
                (upstream, demand)
            })
            .collect();
        for (upstream, limited) in &mut self.limited {
            let waiting = limited.demand(now);
            limited.is_probe_wanted = false;
            let repeat = limited
                .asked
                .as_ref()
                .is_some_and(|(_, at)| now.since(*at) >= REPEAT_INTERVAL);
            let before = limited.asked.as_ref().map(|(before, _)| before);
            // The leader learns of a limit even if no request waits.
            let changed = before.is_none_or(|before| *before != waiting);
            // A silent leader is asked even if all requests were refused for its silence.
            let is_pending = !waiting.is_empty() || limited.unanswered_since.is_some();
            if !(changed || repeat && is_pending) {
                continue;
            }
            if !waiting.is_empty() {
                limited.unanswered_since = limited.unanswered_since.or(Some(now));
            }
            limited.asked = Some((waiting.clone(), now));
            let demand = Demand {
                id: String::new(),
                born: 0,
                limit: limited.named,
                age_ms: age_ms(now, limited.observed_at),
                cold: limited.cold.map(|cold| {
                    let left = cold.until.since(now);
                    (cold.pace, left.as_millis() as u64)
                }),
                asked_at: now,
                waiting,
                granted: (epoch, limited.granted),
            };
            due.push((*upstream, demand));
        }
        due
    }

    /// Whether demands may become due without a further event.
    pub fn is_active(&self) -> bool {
        !self.ended.is_empty()
            || self.limited.values().any(|limited| {
                let asked = limited.asked.as_ref();
                !limited.waiting.is_empty()
                    || limited.is_probe_wanted
                    || limited.unanswered_since.is_some()
                    || asked.is_none()
                    || asked.is_some_and(|(waiting, _)| !waiting.is_empty())
            })
    }

    /// Adopts a limit that another instance has observed, unless this one is known to limit
    /// its rate already or has responded since without a limit. Returns whether it did.
    pub fn learn(&mut self, now: Time, upstream: Upstream, rate: Rate, age: Duration) -> bool {
        let observed_at = now - age;
        let ended = self.ended_at.get(&upstream);
        let is_outdated = ended.is_some_and(|ended| *ended >= observed_at);
        let known = self.limited.get_mut(&upstream);
        let is_known = known.as_ref().is_some_and(|known| known.named.is_some());
        if is_outdated || is_known {
            return false;
        }
        if let Some(known) = known {
            (known.named, known.observed_at) = (Some(rate), observed_at);
            return true;
        }
        let mut limited = Limited::named(observed_at, now, rate);
        // The leader knows already.
        limited.asked = Some((Vec::new(), now));
        self.limited.insert(upstream, limited);
        true
    }

    /// Adds the permits of a reply of the leader of `epoch`. Returns whether a request may
    /// be sent or refused now.
    pub fn receive(&mut self, now: Time, upstream: Upstream, epoch: u64, grant: Grant) -> bool {
        if epoch < self.epoch {
            return false;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            for limited in self.limited.values_mut() {
                limited.granted = 0;
            }
        }
        let Some(limited) = self.limited.get_mut(&upstream) else {
            return false;
        };
        let observed_at = observed_at(now, grant.age_ms);
        if observed_at > limited.observed_at {
            limited.observed_at = observed_at;
            limited.named = grant.limit;
            if limited.named.is_none() {
                self.ended_at.insert(upstream, observed_at);
                if limited.cold.is_none() {
                    self.limited.remove(&upstream);
                    return true;
                }
            }
        }
        let further = grant.granted.saturating_sub(limited.granted);
        // Permits that were granted to a process before this one at the address, or whose
        // message was lost long ago, aren't used.
        let further = further.min(grant.fresh.into());
        limited.granted = limited.granted.max(grant.granted);
        // The leader granted them after it had received the demand.
        let end = grant.asked_at + Duration::from_millis(grant.valid_ms);
        limited.permits.retain(|end| now < *end);
        let further = usize::try_from(further).unwrap_or(usize::MAX).min(1_000);
        limited.permits.extend(std::iter::repeat_n(end, further));
        limited.unanswered_since = None;
        limited.reserve = (0.0, now);
        limited.reply = Some((grant, now));
        true
    }

    /// Lets sends accrue at this instance's share of limited upstreams while the leader does
    /// not reply. `instances` is the number of instances, including this one. `phase`, from
    /// 0 to 1, differs between instances, so that they do not all send at the same time.
    pub fn refill_reserves(&mut self, now: Time, instances: usize, phase: f64) {
        self.instances = instances;
        for limited in self.limited.values_mut() {
            if limited.cold.is_some() {
                limited.reserve = (0.0, now);
                continue;
            }
            if !limited.is_leader_silent(now) {
                limited.reserve = (phase.min(MAX_PHASE), now);
                continue;
            }
            let share = limited.unpermitted_share(instances);
            let (reserve, since) = limited.reserve;
            let accrued = reserve + share * now.since(since).as_secs_f64();
            limited.reserve = (accrued.min(1.0), now);
        }
    }
}
