//! Requests that wait for room, and which of them go next.
//!
//! A request waits at the instance that took it, not at an upstream, so that
//! an urgent one that comes later still goes first. Urgent requests may use an
//! upstream's own queue a little; others leave it empty. A request that can't
//! be answered in its time any more is refused as soon as that is known.
//!
//! Within a rank, requests that have waited for long give way to later ones.
//! Otherwise all callers of an overloaded upstream get late answers; this way
//! most of those that it can serve get prompt ones.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use medlarreel_macros::data;

use super::upstream_state::{ReportedLoad, Room, SendResult};
use crate::ids::Upstream;
use crate::time::Time;

/// Requests that may wait at an upstream beyond its slots. With several
/// instances sending, an exact fit leaves slots idle.
const DEPTH_URGENT: f64 = 2.0;
const DEPTH: f64 = 1.0;

/// Part of an upstream's slots that is kept free for urgent requests where a
/// service has requests of several ranks. An upstream runs requests in the
/// order in which they came, so an urgent one must find a slot free. Parts of a
/// slot are not kept free: half of an upstream with two slots would stay idle.
const RESERVE: f64 = 0.3;

/// Time for which a rank counts as present after its last request.
const RANK_MEMORY: Duration = Duration::from_secs(5);

/// Time in which an owner that this instance can't use is likely replaced: the
/// reading interval of the leader, a release and a grant.
const REPLACEMENT: Duration = Duration::from_millis(1_200);

/// Weight of the newest run in the average run time of a route.
const RUN_WEIGHT: f64 = 0.05;

/// Run time that is assumed before any run was seen.
const FIRST_RUN: Duration = Duration::from_millis(150);

/// Part of the average run time that must be left for a request to be sent.
const NEEDED: f64 = 0.6;

/// Waiting time, in average run times of its route, from which a request gives way to
/// later ones. Callers want an answer within three to five run times.
const PATIENCE: f64 = 2.0;

/// Extra time that a request to another failure domain costs in the choice: the
/// way there and back, and the bytes.
const FAR: Duration = Duration::from_millis(15);

/// Longest queue of one instance, so that a flood can't exhaust its memory.
const MAX_WAITING: usize = 512;

/// Shortest time after which a refused caller is told to come back.
const RETURN_MIN: Duration = Duration::from_millis(50);

/// Identity of a waiting request.
#[data(key)]
pub struct Ticket(pub u64);

/// A request that waits.
#[data(plain)]
pub struct QueuedRequest {
    /// Identity.
    pub ticket: Ticket,
    /// Service that it goes to.
    pub service: String,
    /// Its key, if the service is keyed.
    pub key: Option<u16>,
    /// Route, for the average run time.
    pub route: String,
    /// Rank, 0 being the most urgent.
    pub rank: u8,
    /// Time at which it came.
    pub arrived: Time,
    /// Time by which its answer must be there.
    pub deadline: Time,
    /// Upstreams that were tried.
    pub tried: Vec<Upstream>,
}

/// An upstream that a request could go to.
#[data(key)]
pub struct Candidate {
    /// Upstream.
    pub upstream: Upstream,
    /// Its slots, as registered.
    pub slots: u32,
    /// Whether it runs in another failure domain.
    pub cross_domain: bool,
    /// Whether it is slow after its start.
    pub warming_up: bool,
}

/// Why a request is refused.
#[data(key)]
pub enum Reason {
    /// Its key has no owner, or its service no upstream.
    NoUpstream,
    /// There is no room in its time.
    NoRoom,
    /// Too many requests wait.
    Full,
}

/// What is decided about a waiting request.
#[data(plain)]
pub enum Decision {
    /// It goes to an upstream, and is expected to run for `expected`.
    Send {
        /// Receiver.
        upstream: Upstream,
        /// Its slots, as registered.
        slots: u32,
        /// Average run time of its route.
        expected: Duration,
    },
    /// It is refused; the caller may come back after `after`.
    Refuse {
        /// Why.
        reason: Reason,
        /// Time after which there is likely room.
        after: Duration,
    },
}

/// A request that was sent and has ended.
#[data(plain)]
pub struct FinishedSend<'a> {
    /// Receiver.
    pub upstream: Upstream,
    /// Route of the request.
    pub route: &'a str,
    /// Service of the request.
    pub service: &'a str,
    /// How it ended.
    pub result: SendResult,
    /// Load that came with the answer.
    pub load: Option<ReportedLoad>,
    /// Time from the send to the end.
    pub took: Duration,
}

/// Upstreams that may run a request.
#[data(plain)]
pub struct Availability {
    /// Those that may run it now.
    pub candidates: Vec<Candidate>,
    /// Where there is none: time at which there likely is one.
    pub available_at: Option<Time>,
}

/// Where requests can go.
pub trait UpstreamLookup {
    /// Upstreams that may run a request of a service and key.
    fn availability(&self, service: &str, key: Option<u16>) -> Availability;
}

/// Queue of one instance.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Vec<QueuedRequest>,
    rooms: HashMap<Upstream, Room>,
    runs: HashMap<String, f64>,
    /// Recent answers per second, by service.
    rates: HashMap<String, Rate>,
    /// Time of the last request, by service and rank.
    ranks: HashMap<String, BTreeMap<u8, Time>>,
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    at: Time,
}

/// Time over which the rate of answers is averaged.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// Part of a service's work that one of several instances gets at least.
const LEAST_PART: f64 = 0.05;

impl Rate {
    fn count(&mut self, now: Time) {
        self.per_second = self.at(now) + 1.0 / RATE_SPAN.as_secs_f64();
        self.at = now;
    }

    fn at(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.per_second * (-age / RATE_SPAN.as_secs_f64()).exp()
    }
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Average run time of a route.
    pub fn expected_run_time(&self, route: &str) -> Duration {
        let run = self.runs.get(route).copied();
        run.map_or(FIRST_RUN, Duration::from_secs_f64)
    }

    /// Adds a request, or says why not.
    ///
    /// # Errors
    ///
    /// The refusal of a request that can't be answered in its time.
    pub fn enqueue(
        &mut self,
        now: Time,
        request: QueuedRequest,
        view: &dyn UpstreamLookup,
    ) -> Result<(), Decision> {
        let ranks = self.ranks.entry(request.service.clone()).or_default();
        ranks.insert(request.rank, now);
        let refuse = |reason, after: Duration| {
            let after = after.max(RETURN_MIN);
            Err(Decision::Refuse { reason, after })
        };
        let left = request.deadline.since(now);
        let needed = self.needed(&request);
        let outlook = view.availability(&request.service, request.key);
        let cut = self.unreachable_owner(now, &request, &outlook);
        if outlook.candidates.is_empty() || cut.is_some() {
            let back = cut.or(outlook.available_at).unwrap_or(now + REPLACEMENT);
            if back + needed > request.deadline {
                return refuse(Reason::NoUpstream, back.since(now));
            }
        } else {
            let wait = self.wait(now, &request, &outlook.candidates, view);
            if wait + needed > left {
                return refuse(Reason::NoRoom, wait);
            }
            if self.waiting.len() >= MAX_WAITING {
                return refuse(Reason::Full, wait);
            }
        }
        self.waiting.push(request);
        Ok(())
    }

    /// Place in the order in which requests go: rank, patience, deadline.
    fn place(&self, now: Time, request: &QueuedRequest) -> (u8, bool, Time) {
        let patience = self.expected_run_time(&request.route).mul_f64(PATIENCE);
        let gives_way = now.since(request.arrived) > patience;
        (request.rank, gives_way, request.deadline)
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|request| request.ticket != ticket);
    }

    /// Decides about all waiting requests that can go or have become hopeless.
    pub fn decide(&mut self, now: Time, view: &dyn UpstreamLookup) -> Vec<(Ticket, Decision)> {
        let mut decisions = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_cached_key(|request| self.place(now, request));
        waiting.retain(|request| {
            let Some(decision) = self.judge(now, request, view) else {
                return true;
            };
            if let Decision::Send {
                upstream, slots, ..
            } = decision
            {
                let room = self.rooms.entry(upstream);
                room.or_insert_with(|| Room::new(slots)).start();
            }
            decisions.push((request.ticket, decision));
            false
        });
        self.waiting = waiting;
        decisions
    }

    /// Counts the end of a request that was sent.
    pub fn record_finished(&mut self, now: Time, run: &FinishedSend<'_>) {
        let expected = self.expected_run_time(run.route);
        if let Some(room) = self.rooms.get_mut(&run.upstream) {
            room.finish(now, run.result, run.load, run.took, expected);
        }
        if run.result == SendResult::Ran {
            let took = run.took.as_secs_f64();
            let average = self.runs.entry(run.route.to_owned()).or_insert(took);
            *average += (took - *average) * RUN_WEIGHT;
            let rate = self.rates.entry(run.service.to_owned()).or_insert(Rate {
                per_second: 0.0,
                at: now,
            });
            rate.count(now);
        }
    }

    /// Forgets upstreams that are gone and have no request of this instance.
    pub fn retain_upstreams(&mut self, known: impl Fn(Upstream) -> bool) {
        self.rooms
            .retain(|key, room| room.mine() > 0 || known(*key));
    }

    fn judge(
        &self,
        now: Time,
        request: &QueuedRequest,
        view: &dyn UpstreamLookup,
    ) -> Option<Decision> {
        let left = request.deadline.since(now);
        let expected = self.expected_run_time(&request.route);
        let outlook = view.availability(&request.service, request.key);
        if left < self.needed(request) {
            let reason = match outlook.candidates.is_empty() {
                true => Reason::NoUpstream,
                false => Reason::NoRoom,
            };
            let after = RETURN_MIN;
            return Some(Decision::Refuse { reason, after });
        }
        if self.unreachable_owner(now, request, &outlook).is_some() {
            return None;
        }
        let outranked = self.is_outranked(now, request);
        let keyed = request.key.is_some();
        let mut best: Option<(f64, Candidate)> = None;
        for choice in &outlook.candidates {
            let fresh = Room::new(choice.slots);
            let room = self.rooms.get(&choice.upstream).unwrap_or(&fresh);
            let depth = match (request.rank, outranked) {
                (0, _) => DEPTH_URGENT,
                (_, true) => -f64::from(room.slots()) * RESERVE,
                (_, false) => DEPTH,
            };
            if !room.fits(now, depth) || (!keyed && request.tried.contains(&choice.upstream)) {
                continue;
            }
            let score = score(now, room, choice, expected);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, *choice));
            }
        }
        let (_, choice) = best?;
        Some(Decision::Send {
            upstream: choice.upstream,
            slots: choice.slots,
            expected,
        })
    }

    /// Until when the owner of a request's key can't be reached from here.
    fn unreachable_owner(
        &self,
        now: Time,
        request: &QueuedRequest,
        outlook: &Availability,
    ) -> Option<Time> {
        request.key?;
        let owner = outlook.candidates.first()?;
        self.rooms.get(&owner.upstream)?.unreachable_until(now)
    }

    fn needed(&self, request: &QueuedRequest) -> Duration {
        self.expected_run_time(&request.route).mul_f64(NEEDED)
    }

    /// Whether more urgent requests for the same service came a short time ago.
    fn is_outranked(&self, now: Time, request: &QueuedRequest) -> bool {
        let ranks = self.ranks.get(&request.service);
        ranks.is_some_and(|ranks| {
            let mut above = ranks.range(..request.rank);
            above.any(|(_, seen)| now.since(*seen) < RANK_MEMORY)
        })
    }

    /// Time until a request is sent, from those ahead of it.
    fn wait(
        &self,
        now: Time,
        request: &QueuedRequest,
        choices: &[Candidate],
        view: &dyn UpstreamLookup,
    ) -> Duration {
        let place = self.place(now, request);
        let expected = self.expected_run_time(&request.route);
        let before = self
            .waiting
            .iter()
            .filter(|other| other.service == request.service && self.place(now, other) <= place);
        if request.key.is_none() {
            let ahead = before.count();
            let slots: u32 = choices.iter().map(|choice| choice.slots).sum();
            let rate = self.rates.get(&request.service);
            let rate = rate.map_or(0.0, |rate| rate.at(now));
            let least = f64::from(slots) / expected.as_secs_f64().max(0.001) * LEAST_PART;
            let seconds = ahead as f64 / rate.max(least);
            return Duration::from_secs_f64(seconds.min(60.0));
        }
        let Some(owner) = choices.first() else {
            return Duration::ZERO;
        };
        let same = |other: &&QueuedRequest| {
            let outlook = view.availability(&other.service, other.key);
            let first = outlook.candidates.first();
            first.is_some_and(|choice| choice.upstream == owner.upstream)
        };
        let ahead = before.filter(same).count();
        let fresh = Room::new(owner.slots);
        let room = self.rooms.get(&owner.upstream).unwrap_or(&fresh);
        room.wait(now, ahead, expected, DEPTH)
    }
}

/// Expected time to an answer, in seconds.
fn score(now: Time, room: &Room, choice: &Candidate, expected: Duration) -> f64 {
    let crowd = (room.occupancy(now) + 1.0) / f64::from(room.slots());
    let mut time = expected.as_secs_f64() * room.pace() * crowd.max(1.0);
    // A nearly full upstream slows down, so emptier ones come first.
    time += expected.as_secs_f64() * 0.2 * crowd.min(1.0);
    if choice.cross_domain {
        time += FAR.as_secs_f64();
    }
    if choice.warming_up {
        time *= 2.0;
    }
    if room.is_penalized(now) {
        time += 10.0;
    }
    time
}
