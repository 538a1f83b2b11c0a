//! Health of a service's upstreams, judged from this instance's observations.
//!
//! `UpstreamGroup` collects evidence per upstream, ejects dead ones within a cap, and
//! gives each upstream a weight for routing. What an upstream reports about its
//! own load only breaks ties.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarreel_macros::data;

use crate::ids::Upstream;
use crate::time::Time;

mod member;

use member::Member;

/// Weight of an upstream without reservations.
pub const FULL_WEIGHT: u32 = 1_000;

/// Weight of a slow upstream: enough work to notice that it has recovered.
const SLOW_WEIGHT: u32 = 250;

/// Weight of an upstream that sheds; its refusals already limit its load.
const SHEDDING_WEIGHT: u32 = 500;

/// Weight of a dead upstream that the cap keeps in service. Many dead at once
/// point to a fault on this side, so some work must keep testing them.
const SPARED_WEIGHT: u32 = 250;

/// Weight of an upstream at the start of its slow start.
const FIRST_WEIGHT: u32 = 100;

/// Measured upstreams that a comparison of latencies needs.
const COMPARABLE: usize = 3;

/// Thresholds of the judgement.
#[data(plain)]
pub struct Thresholds {
    /// Consecutive transport errors that mean dead.
    pub consecutive_errors: u32,
    /// Time without any answer, while answers are due, that means dead.
    pub silence: Duration,
    /// Multiple of the median latency that means slow.
    pub slow_factor: u32,
    /// Difference from the median latency below which nothing is slow.
    pub slow_margin: Duration,
    /// Length of the slow start.
    pub slow_start: Duration,
}

impl Default for Thresholds {
    fn default() -> Thresholds {
        Thresholds {
            consecutive_errors: 3,
            // Longer than the TCP user timeout of 900 ms, so that one silent
            // connection is replaced before its upstream is judged by it.
            silence: Duration::from_millis(1_500),
            slow_factor: 3,
            slow_margin: Duration::from_millis(5),
            slow_start: Duration::from_secs(10),
        }
    }
}

/// Judgement on an upstream.
#[data(key)]
pub enum HealthState {
    /// Nothing speaks against it.
    Alive,
    /// It answers much later than its peers.
    Slow,
    /// It refuses a large part of its work.
    Shedding,
    /// It does not answer, or cannot be connected to.
    Dead,
    /// It is leaving and takes no new work.
    Draining,
}

/// Something observed at an upstream.
#[data(key)]
pub enum Observation {
    /// A request or probe was sent.
    Sent,
    /// A request was answered after this time.
    Answered(Duration),
    /// A probe or grant was answered; says nothing about speed.
    ProbeAnswered,
    /// A request was refused as overload.
    Shed,
    /// Connecting failed, or the connection broke before an answer.
    Failed,
    /// An exchange was given up: the caller left or the connection fell silent.
    Abandoned,
}

/// Change of judgement, for the log.
#[data(key)]
pub struct StateChange {
    /// Upstream that is judged.
    pub upstream: Upstream,
    /// Former judgement.
    pub before: HealthState,
    /// New judgement.
    pub after: HealthState,
}

/// An upstream that could take a request.
#[data(key)]
pub struct Candidate {
    /// Upstream in question.
    pub upstream: Upstream,
    /// Requests that wait or run there, by this instance's own count.
    pub local_load: u32,
    /// Requests in flight by the upstream's own report.
    pub reported_load: Option<u32>,
}

/// Upstreams of one service.
#[data(plain)]
pub struct UpstreamGroup {
    thresholds: Thresholds,
    members: BTreeMap<Upstream, Member>,
}

/// Queries.
impl UpstreamGroup {
    /// Judgement as of the last `review`; `None` for an unknown upstream.
    pub fn state(&self, upstream: Upstream) -> Option<HealthState> {
        self.members.get(&upstream).map(|member| member.state)
    }

    /// Whether the upstream is dead and taken out of service.
    pub fn is_ejected(&self, upstream: Upstream) -> bool {
        let member = self.members.get(&upstream);
        member.is_some_and(|member| member.ejected)
    }

    /// Part of the usual work that the upstream takes, of `FULL_WEIGHT`.
    pub fn weight(&self, now: Time, upstream: Upstream) -> u32 {
        let Some(member) = self.members.get(&upstream) else {
            return 0;
        };
        let base = match member.state {
            HealthState::Draining => 0,
            HealthState::Dead if member.ejected => 0,
            HealthState::Dead => SPARED_WEIGHT,
            HealthState::Slow => SLOW_WEIGHT,
            HealthState::Shedding => SHEDDING_WEIGHT,
            HealthState::Alive => FULL_WEIGHT,
        };
        base * self.ramp(now, member) / FULL_WEIGHT
    }

    /// Candidate with the shortest queue for its weight.
    ///
    /// Equal queues are decided by the reported load, then by `draw`.
    pub fn choose(&self, now: Time, candidates: &[Candidate], draw: u64) -> Option<Upstream> {
        let load = |candidate: &Candidate| {
            let weight = u64::from(self.weight(now, candidate.upstream));
            let queue = (u64::from(candidate.local_load) + 1) * 1_000_000;
            let load = queue.checked_div(weight)?;
            let reported = candidate.reported_load.unwrap_or(u32::MAX);
            let order = scramble(draw, candidate.upstream);
            Some((load, reported, order, candidate.upstream))
        };
        let (.., upstream) = candidates.iter().filter_map(load).min()?;
        Some(upstream)
    }

    /// Upstreams that may be ejected at once: a third of those that stay.
    pub fn max_ejected(&self) -> usize {
        let staying = |member: &&Member| !member.draining;
        self.members.values().filter(staying).count() / 3
    }

    fn ramp(&self, now: Time, member: &Member) -> u32 {
        let Some(since) = member.ramp_since else {
            return FULL_WEIGHT;
        };
        let length = self.thresholds.slow_start.as_micros().max(1);
        let passed = now.since(since).as_micros().min(length);
        let gained = u128::from(FULL_WEIGHT - FIRST_WEIGHT) * passed / length;
        FIRST_WEIGHT + gained as u32
    }

    fn median_latency(&self) -> Option<u64> {
        let mut known: Vec<u64> = self.members.values().filter_map(Member::latency).collect();
        if known.len() < COMPARABLE {
            return None;
        }
        known.sort_unstable();
        Some(known[known.len() / 2])
    }
}

/// Commands.
impl UpstreamGroup {
    /// Group without upstreams.
    pub fn new(thresholds: Thresholds) -> UpstreamGroup {
        let members = BTreeMap::new();
        UpstreamGroup {
            thresholds,
            members,
        }
    }

    /// Adds an upstream; a cold one starts slowly.
    pub fn add(&mut self, now: Time, upstream: Upstream, cold: bool) {
        let member = Member::new(cold.then_some(now));
        self.members.entry(upstream).or_insert(member);
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, upstream: Upstream) {
        self.members.remove(&upstream);
    }

    /// Notes whether an upstream is leaving.
    pub fn set_draining(&mut self, upstream: Upstream, draining: bool) {
        if let Some(member) = self.members.get_mut(&upstream) {
            member.draining = draining;
        }
    }

    /// Notes an observation; takes effect at the next `review`.
    pub fn observe(&mut self, now: Time, upstream: Upstream, evidence: Observation) {
        if let Some(member) = self.members.get_mut(&upstream) {
            member.observe(now, evidence);
        }
    }

    /// Judges all upstreams and returns what changed.
    pub fn review(&mut self, now: Time) -> Vec<StateChange> {
        let median = self.median_latency();
        let mut changes = Vec::new();
        for (&upstream, member) in &mut self.members {
            let before = member.state;
            let after = member.judge(now, &self.thresholds, median);
            if before != after {
                changes.push(StateChange {
                    upstream,
                    before,
                    after,
                });
            }
        }
        self.eject();
        changes
    }

    /// Ejects the dead, those that died first, up to the cap.
    fn eject(&mut self) {
        let cap = self.max_ejected();
        let dead = self.members.iter();
        let dead = dead.filter(|(_, member)| member.state == HealthState::Dead);
        let mut order: Vec<(Time, Upstream)> = dead.map(|(&key, one)| (one.changed, key)).collect();
        order.sort_unstable();
        order.truncate(cap);
        for member in self.members.values_mut() {
            member.ejected = false;
        }
        for (_, upstream) in order {
            if let Some(member) = self.members.get_mut(&upstream) {
                member.ejected = true;
            }
        }
    }
}

/// Order of an upstream among equals, different for each draw.
fn scramble(draw: u64, upstream: Upstream) -> u64 {
    let mixed = draw ^ u64::from(upstream.0).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93)
}
