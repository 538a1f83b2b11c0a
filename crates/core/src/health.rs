//! Passive health checks for the upstreams of a service.
//!
//! `UpstreamGroup` derives the state of each upstream from what this instance observes,
//! ejects dead upstreams up to a limit, and weights the others for load balancing. The
//! load that an upstream reports itself is only used to break ties.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarreel_macros::data;

use crate::ids::Upstream;
use crate::time::Time;

mod member;

use member::Member;

/// Weight of a healthy upstream.
pub const FULL_WEIGHT: u32 = 1_000;

/// Weight of a slow upstream, which needs enough requests to show that it has recovered.
const SLOW_WEIGHT: u32 = 250;

/// Weight of an upstream that sheds load; its refusals already limit its load.
const SHEDDING_WEIGHT: u32 = 500;

/// Weight of a dead upstream that is not ejected because the limit is reached. Many dead
/// upstreams at once suggest a fault of this instance, so some requests must keep testing
/// them.
const UNEJECTED_DEAD_WEIGHT: u32 = 250;

/// Weight of a healthy upstream when its slow start begins.
const SLOW_START_MIN_WEIGHT: u32 = 100;

/// Number of upstreams with a measured latency that a comparison needs.
const MIN_COMPARED_UPSTREAMS: usize = 3;

/// Thresholds of the health states.
#[data(plain)]
pub struct Thresholds {
    /// Consecutive transport errors after which an upstream is dead.
    pub consecutive_errors: u32,
    /// Time without any answer, while answers are due, after which an upstream is dead.
    pub silence: Duration,
    /// Multiple of the median latency above which an upstream is slow.
    pub slow_factor: u32,
    /// Difference from the median latency up to which no upstream is slow.
    pub slow_margin: Duration,
    /// Duration of the slow start, in which the weight of an upstream rises linearly to
    /// its full value. It begins when a cold upstream is added or a dead one recovers.
    pub slow_start: Duration,
}

impl Default for Thresholds {
    fn default() -> Thresholds {
        Thresholds {
            consecutive_errors: 3,
            // Longer than the TCP user timeout of 900 ms, so that a single silent
            // connection is replaced before its upstream counts as dead.
            silence: Duration::from_millis(1_500),
            slow_factor: 3,
            slow_margin: Duration::from_millis(5),
            slow_start: Duration::from_secs(10),
        }
    }
}

/// Health state of an upstream.
#[data(key)]
pub enum HealthState {
    /// No problem was observed.
    Alive,
    /// It answers much more slowly than the other upstreams.
    Slow,
    /// It refuses a large share of its requests as overload.
    Shedding,
    /// It does not answer or does not accept connections.
    Dead,
    /// It is leaving the service and takes no new requests.
    Draining,
}

/// Event observed in an exchange with an upstream.
#[data(key)]
pub enum Observation {
    /// A request or probe was sent.
    Sent,
    /// A request was answered after this duration.
    Answered(Duration),
    /// The upstream answered in a way that says nothing about the latency of requests: to
    /// a probe or grant, or with an error.
    ProbeAnswered,
    /// A request was refused as overload.
    Shed,
    /// Connecting failed, or the connection broke before an answer.
    Failed,
    /// An exchange ended without a usable answer, for example because the caller
    /// disconnected or the connection fell silent.
    Abandoned,
}

/// Transition of an upstream's health state, for the log.
#[data(key)]
pub struct StateChange {
    /// Upstream whose state changed.
    pub upstream: Upstream,
    /// Previous state.
    pub before: HealthState,
    /// New state.
    pub after: HealthState,
}

/// Upstream that could take a request.
#[data(key)]
pub struct Candidate {
    /// Key of the upstream.
    pub upstream: Upstream,
    /// Requests that wait or run at the upstream, by this instance's own count.
    pub local_load: u32,
    /// Requests in flight according to the upstream's own report.
    pub reported_load: Option<u32>,
}

/// Health of all upstreams of one service.
#[data(plain)]
pub struct UpstreamGroup {
    thresholds: Thresholds,
    members: BTreeMap<Upstream, Member>,
}

/// Queries.
impl UpstreamGroup {
    /// State as of the last `review`; `None` for an unknown upstream.
    pub fn state(&self, upstream: Upstream) -> Option<HealthState> {
        self.members.get(&upstream).map(|member| member.state)
    }

    /// Whether the upstream is dead and excluded from routing.
    pub fn is_ejected(&self, upstream: Upstream) -> bool {
        let member = self.members.get(&upstream);
        member.is_some_and(|member| member.ejected)
    }

    /// Routing weight of the upstream, from 0 to `FULL_WEIGHT`; 0 if it is draining,
    /// ejected or unknown.
    pub fn weight(&self, now: Time, upstream: Upstream) -> u32 {
        let Some(member) = self.members.get(&upstream) else {
            return 0;
        };
        let base = match member.state {
            HealthState::Draining => 0,
            HealthState::Dead if member.ejected => 0,
            HealthState::Dead => UNEJECTED_DEAD_WEIGHT,
            HealthState::Slow => SLOW_WEIGHT,
            HealthState::Shedding => SHEDDING_WEIGHT,
            HealthState::Alive => FULL_WEIGHT,
        };
        base * self.slow_start_weight(now, member) / FULL_WEIGHT
    }

    /// Candidate with the lowest load relative to its weight.
    ///
    /// Ties are broken by the reported load, then by the random number `draw`. Returns
    /// `None` if no candidate has a weight above 0.
    pub fn choose(&self, now: Time, candidates: &[Candidate], draw: u64) -> Option<Upstream> {
        let load = |candidate: &Candidate| {
            let weight = u64::from(self.weight(now, candidate.upstream));
            let scaled_load = (u64::from(candidate.local_load) + 1) * 1_000_000;
            let load = scaled_load.checked_div(weight)?;
            let reported = candidate.reported_load.unwrap_or(u32::MAX);
            let tie = tie_break(draw, candidate.upstream);
            Some((load, reported, tie, candidate.upstream))
        };
        let (.., upstream) = candidates.iter().filter_map(load).min()?;
        Some(upstream)
    }

    /// Number of upstreams that may be ejected at once: a third of those that are not
    /// draining, rounded down.
    pub fn max_ejected(&self) -> usize {
        let staying = |member: &&Member| !member.draining;
        self.members.values().filter(staying).count() / 3
    }

    fn slow_start_weight(&self, now: Time, member: &Member) -> u32 {
        let Some(since) = member.slow_start_since else {
            return FULL_WEIGHT;
        };
        let length = self.thresholds.slow_start.as_micros().max(1);
        let passed = now.since(since).as_micros().min(length);
        let gained = u128::from(FULL_WEIGHT - SLOW_START_MIN_WEIGHT) * passed / length;
        SLOW_START_MIN_WEIGHT + gained as u32
    }

    /// Median latency in microseconds; `None` if too few upstreams have a measured one.
    fn median_latency(&self) -> Option<u64> {
        let mut latencies: Vec<u64> = self.members.values().filter_map(Member::latency).collect();
        if latencies.len() < MIN_COMPARED_UPSTREAMS {
            return None;
        }
        latencies.sort_unstable();
        Some(latencies[latencies.len() / 2])
    }
}

/// Commands.
impl UpstreamGroup {
    /// Creates a group without upstreams.
    pub fn new(thresholds: Thresholds) -> UpstreamGroup {
        let members = BTreeMap::new();
        UpstreamGroup {
            thresholds,
            members,
        }
    }

    /// Adds an upstream, with a slow start if it is cold. A known upstream keeps its
    /// state.
    pub fn add(&mut self, now: Time, upstream: Upstream, cold: bool) {
        let member = Member::new(cold.then_some(now));
        self.members.entry(upstream).or_insert(member);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: Upstream) {
        self.members.remove(&upstream);
    }

    /// Sets whether an upstream is draining.
    pub fn set_draining(&mut self, upstream: Upstream, draining: bool) {
        if let Some(member) = self.members.get_mut(&upstream) {
            member.draining = draining;
        }
    }

    /// Records an observation, which takes effect at the next `review`.
    pub fn observe(&mut self, now: Time, upstream: Upstream, observation: Observation) {
        if let Some(member) = self.members.get_mut(&upstream) {
            member.observe(now, observation);
        }
    }

    /// Updates the state of all upstreams and returns the changes.
    pub fn review(&mut self, now: Time) -> Vec<StateChange> {
        let median = self.median_latency();
        let mut changes = Vec::new();
        for (&upstream, member) in &mut self.members {
            let before = member.state;
            let after = member.update_state(now, &self.thresholds, median);
            if before != after {
                changes.push(StateChange {
                    upstream,
                    before,
                    after,
                });
            }
        }
        self.eject_dead();
        changes
    }

    /// Ejects dead upstreams up to the limit, those that have been dead longest first.
    fn eject_dead(&mut self) {
        let max = self.max_ejected();
        let dead = self.members.iter();
        let dead = dead.filter(|(_, member)| member.state == HealthState::Dead);
        let mut order: Vec<(Time, Upstream)> = dead
            .map(|(&key, member)| (member.changed_at, key))
            .collect();
        order.sort_unstable();
        order.truncate(max);
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

/// Pseudorandom order of an upstream among equals, different for each draw.
fn tie_break(draw: u64, upstream: Upstream) -> u64 {
    let mixed = draw ^ u64::from(upstream.0).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93)
}
