//! Priority queue of requests that wait for capacity at an upstream.
//!
//! A request waits at the instance that received it, not at an upstream, so that a
//! more urgent request that arrives later can still be sent first. Requests of rank 0
//! may use a little of the upstream's own queue, others less, and none while requests
//! of a more urgent rank arrive. A request that can no longer be answered before its
//! deadline is refused as soon as that is known.
//!
//! Within a rank, requests that can no longer be answered within the target of their
//! route are sent after those that can, and so are requests that have waited for long.
//! Otherwise all callers of an overloaded upstream would get late responses; this way
//! most of those that it can serve get prompt ones. Equally urgent requests are sent in
//! the order of `arrival::Arrival`: callers that come back as they were told go first.

pub mod arrival;
mod estimate;
mod selection;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use medlarreel_macros::data;

use arrival::{Arrival, Arrivals, MIN_RETRY_AFTER, Standing};
use estimate::{RUN_TIME_SMOOTHING, ServiceAverages, return_delay};
use selection::Selection;

use super::connection_share::{self, Shares};
use super::permit::Permits;
use super::upstream_state::{ReportedLoad, SendResult, UpstreamState};
use crate::ids::Upstream;
use crate::time::Time;

/// Time for which a rank counts as active after its last request.
const RANK_ACTIVE_PERIOD: Duration = Duration::from_secs(5);

/// Estimated time until an owner that this instance cannot use is replaced: the
/// leader's read interval, a release and a grant. Also assumed for a service without
/// any upstream.
const OWNER_REPLACEMENT_TIME: Duration = Duration::from_millis(1_200);

/// Run time assumed for a route without any completed run.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(150);

/// Waiting time, in average run times of the route, after which a request is sorted
/// behind all requests of its rank that have waited less than their own threshold.
/// Callers expect a response within three to five run times.
const DEMOTION_THRESHOLD_RUNS: f64 = 2.0;

/// Queue length of one instance at which further requests are refused, so that a flood
/// cannot exhaust its memory. Not applied to requests that have no usable upstream yet.
const MAX_QUEUED_REQUESTS: usize = 512;

/// Callers obey a told delay up to what they have left, divided by this number.
pub const RETRY_AFTER_DIVISOR: u32 = 3;

/// Identifier of a queued request.
#[data(key)]
pub struct Ticket(pub u64);

/// A request in the queue.
#[data(plain)]
pub struct QueuedRequest {
    /// Identifier of the request in the queue.
    pub ticket: Ticket,
    /// Service that the request is sent to.
    pub service: String,
    /// Key of the request, if the service is keyed.
    pub key: Option<u16>,
    /// Name of the route, by which the average run time is looked up.
    pub route: String,
    /// Rank, 0 being the most urgent.
    pub rank: u8,
    /// Time at which this instance received the request, unchanged if it is queued again.
    pub arrived: Time,
    /// Time by which the caller must have a response.
    pub deadline: Time,
    /// Upstreams that the request was already sent to. A request without a key is not
    /// sent to them again.
    pub tried: Vec<Upstream>,
    /// What is known of the caller, as `Queue::judge` said when the request arrived.
    pub standing: Standing,
}

/// An upstream that a request can be sent to.
#[data(key)]
pub struct Candidate {
    /// Identifier of the upstream.
    pub upstream: Upstream,
    /// Maximum number of concurrent requests, as registered.
    pub slots: u32,
    /// Whether the upstream runs in another failure domain.
    pub cross_domain: bool,
    /// Whether the upstream is still slow after its start.
    pub warming_up: bool,
    /// Whether another upstream is more likely to listen at its address.
    pub doubtful: bool,
}

/// Why a request is refused.
#[data(key)]
pub enum Reason {
    /// The key has no reachable owner, or the service has no upstream, and that is not
    /// expected to change in time.
    NoUpstream,
    /// No upstream has capacity early enough to respond before the deadline.
    NoRoom,
    /// There is room before the deadline, but not early enough to meet the target.
    Late,
    /// The queue is full.
    Full,
    /// The instance is shutting down.
    Stopping,
    /// The owner of the key limits its rate, and more urgent or newer requests will use
    /// what it accepts.
    RateLimited,
}

/// Decision on a queued request.
#[data(plain)]
pub enum Decision {
    /// The request is sent to an upstream and is expected to run for `expected`.
    Send {
        /// Upstream that the request is sent to.
        upstream: Upstream,
        /// Maximum number of concurrent requests of the upstream, as registered.
        slots: u32,
        /// Average run time of the route.
        expected: Duration,
    },
    /// The request is refused; the caller may retry after `after`.
    Refuse {
        /// Reason for the refusal.
        reason: Reason,
        /// Estimated time until there is capacity, at least `MIN_RETRY_AFTER`, and up to
        /// half as much longer, so that callers refused together return one by one.
        after: Duration,
    },
}

/// Result of one send of a request to an upstream.
#[data(plain)]
pub struct FinishedSend<'a> {
    /// Upstream that the request was sent to.
    pub upstream: Upstream,
    /// Route of the request.
    pub route: &'a str,
    /// Service of the request.
    pub service: &'a str,
    /// How the send ended.
    pub result: SendResult,
    /// Load reported in the response; `None` if there is no report.
    pub load: Option<ReportedLoad>,
    /// Time from the start of the send to its end.
    pub took: Duration,
}

/// Upstreams that can run requests of one service and key.
#[data(plain)]
pub struct Availability {
    /// Upstreams that can run a request now.
    pub candidates: Vec<Candidate>,
    /// If there is no candidate, the estimated time at which there will be one; `None`
    /// if there is no estimate.
    pub available_at: Option<Time>,
}

/// Finds the upstreams that can run a request.
pub trait UpstreamLookup {
    /// Upstreams that can run a request of a service and key. For a request with a
    /// key, the first candidate is the owner of the key.
    fn availability(&self, service: &str, key: Option<u16>) -> Availability;
}

/// Request queue of one instance.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Vec<QueuedRequest>,
    upstreams: HashMap<Upstream, UpstreamState>,
    /// Average run time in seconds, by route.
    run_times: HashMap<String, f64>,
    /// The same over runs at upstreams that reported no queue.
    bare_run_times: HashMap<String, f64>,
    /// Averages over all routes, by service.
    services: HashMap<String, ServiceAverages>,
    /// Time of the last request, by service and rank.
    rank_last_seen: HashMap<String, BTreeMap<u8, Time>>,
    /// Permits for upstreams that limit their rate.
    permits: Permits,
    /// Upstreams that requests without a key prefer, and their places in this instance's
    /// order, from 0 to 1; empty if there is no preference.
    preferred: HashMap<Upstream, f64>,
    /// Connections that this instance may have to each upstream.
    connections: Shares,
    /// Times that the callers of each route bring.
    arrivals: Arrivals,
}

/// What happens to a queued request.
enum Evaluation {
    Decided(Decision),
    Wait {
        /// Upstream that could run the request, but limits its rate.
        permit_from: Option<Upstream>,
        /// Owner of the request's key.
        owner: Option<Upstream>,
    },
}

/// Requests that go on waiting before the one that is decided on.
#[derive(Debug, Default)]
struct Ahead {
    /// Requests that wait for permits, by upstream and rank.
    permit_demand: BTreeMap<Upstream, BTreeMap<u8, u32>>,
    /// Requests with a key, by its owner.
    owners: BTreeMap<Upstream, u32>,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Average run time of a route, or a default before its first run.
    pub fn expected_run_time(&self, route: &str) -> Duration {
        let average = self.run_times.get(route).copied();
        average.map_or(DEFAULT_RUN_TIME, Duration::from_secs_f64)
    }

    /// Average run time over all routes of a service, or a default before its first run.
    pub fn service_run_time(&self, service: &str) -> Duration {
        let averages = self.services.get(service);
        averages.map_or(DEFAULT_RUN_TIME, |averages| {
            Duration::from_secs_f64(averages.run_time)
        })
    }

    /// Permits for upstreams that limit their rate.
    pub fn permits(&mut self) -> &mut Permits {
        &mut self.permits
    }

    /// Sets the upstreams that requests without a key prefer (`subset`), those of each
    /// service in the order of this instance. If there are none, all are alike.
    pub fn set_preferred(&mut self, services: &[Vec<Upstream>]) {
        let places = services.iter().flat_map(|upstreams| {
            let count = upstreams.len() as f64;
            let indexes = (0..upstreams.len()).map(move |index| index as f64 / count);
            upstreams.iter().copied().zip(indexes)
        });
        self.preferred = places.collect();
    }

    /// Sets the number of connections, and thus of requests in flight, that this instance may
    /// have to each upstream.
    pub fn set_connections(&mut self, shares: Shares) {
        self.connections = shares;
    }

    /// Number of idle connections to an upstream that may be kept beside those in use.
    pub fn max_idle(&self, upstream: Upstream) -> usize {
        connection_share::max_idle(self.connections.of(upstream), self.in_use(upstream))
    }

    /// Number of idle connections to an upstream that may be kept, including one that is in
    /// use until now.
    pub fn max_idle_after_return(&self, upstream: Upstream) -> usize {
        let in_use = self.in_use(upstream).saturating_sub(1);
        connection_share::max_idle(self.connections.of(upstream), in_use)
    }

    fn in_use(&self, upstream: Upstream) -> u32 {
        let state = self.upstreams.get(&upstream);
        state.map_or(0, UpstreamState::in_flight)
    }

    /// Judges the caller of a request that has just arrived, before the request is queued for
    /// the first time. `patience` is the time that the caller has left, if it says so.
    pub fn judge(
        &mut self,
        now: Time,
        route: &str,
        patience: Option<Duration>,
        target_latency: Duration,
    ) -> Standing {
        self.arrivals.judge(now, route, patience, target_latency)
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns `Decision::Refuse` if the request is not expected to be answered before
    /// its deadline, or if the queue is full.
    pub fn enqueue(
        &mut self,
        now: Time,
        request: QueuedRequest,
        lookup: &dyn UpstreamLookup,
    ) -> Result<(), Decision> {
        let ranks = self
            .rank_last_seen
            .entry(request.service.clone())
            .or_default();
        ranks.insert(request.rank, now);
        let remaining = request.deadline.since(now);
        let required_time = self.required_time(&request);
        let refuse = |reason, wait| {
            let after = return_delay(request.ticket, wait, remaining, required_time);
            Err(Decision::Refuse { reason, after })
        };
        let availability = lookup.availability(&request.service, request.key);
        let unreachable_until = self
            .owner_unreachable_until(now, &request, &availability)
            .or_else(|| self.all_paused_until(now, &availability.candidates));
        if availability.candidates.is_empty() || unreachable_until.is_some() {
            let retry_at = unreachable_until
                .or(availability.available_at)
                .unwrap_or(now + OWNER_REPLACEMENT_TIME);
            if retry_at + required_time > request.deadline {
                return refuse(Reason::NoUpstream, retry_at.since(now));
            }
        } else {
            let wait = self.estimated_wait(now, &request, &availability.candidates, lookup);
            if wait + required_time > remaining {
                return refuse(Reason::NoRoom, wait);
            }
            let owner = request.key.and(availability.candidates.first());
            let owner = owner.map(|owner| owner.upstream);
            if self.should_return(now, &request, wait)
                || self.presses_without_room(now, &request, owner, wait)
            {
                return refuse(Reason::Late, wait);
            }
            if let Some(owner) = self.limited_owner(&request, &availability.candidates) {
                let ahead = self.requests_ahead(now, &request, owner, lookup);
                if let Some(wait) = self.excess_permit_wait(now, &request, owner, ahead) {
                    return refuse(Reason::RateLimited, wait);
                }
            }
            if self.waiting.len() >= MAX_QUEUED_REQUESTS {
                return refuse(Reason::Full, wait);
            }
        }
        self.waiting.push(request);
        Ok(())
    }

    /// Key by which queued requests are sorted: rank, whether the target can't be met any
    /// more, whether the request has waited for too long, arrival, deadline.
    fn sort_key(&self, now: Time, request: &QueuedRequest) -> (u8, bool, bool, Arrival, Time) {
        let expected = self.expected_run_time(&request.route);
        let is_late = !request.is_on_target(now + expected);
        let is_demoted = now.since(request.arrived) > expected.mul_f64(DEMOTION_THRESHOLD_RUNS);
        let arrival = request.standing.arrival;
        (request.rank, is_late, is_demoted, arrival, request.deadline)
    }

    /// Whether a request that would be sent after `wait` is better refused: it would miss its
    /// target in the queue, and its caller, which has not come back as told, can do so.
    fn should_return(&self, now: Time, request: &QueuedRequest, wait: Duration) -> bool {
        let remaining = request.deadline.since(now);
        let expected = self.expected_run_time(&request.route);
        request.standing.arrival != Arrival::Returned
            && wait >= MIN_RETRY_AFTER
            && wait * RETRY_AFTER_DIVISOR <= remaining
            && !request.is_on_target(now + wait + expected)
    }

    /// Whether the caller of a request did not wait as told and there is no idle room for it.
    /// It would take the place of those that wait.
    fn presses_without_room(
        &self,
        now: Time,
        request: &QueuedRequest,
        owner: Option<Upstream>,
        wait: Duration,
    ) -> bool {
        let run_time = self.bare_run_time(&request.route);
        let owner = owner.and_then(|owner| self.upstreams.get(&owner));
        let is_busy = owner.is_some_and(|state| !state.queue_wait(now, run_time).is_zero());
        request.standing.arrival == Arrival::Pressing && (is_busy || !wait.is_zero())
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|request| request.ticket != ticket);
    }

    /// Removes the requests that can be sent now or can no longer be answered before
    /// their deadline, and returns the decisions on them, most urgent request first.
    /// Each request with `Decision::Send` counts as in flight at its upstream until its
    /// result is passed to `record_finished`.
    pub fn decide(&mut self, now: Time, lookup: &dyn UpstreamLookup) -> Vec<(Ticket, Decision)> {
        self.permits.end_cold(now);
        let mut decisions = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_cached_key(|request| self.sort_key(now, request));
        let mut ahead = Ahead::default();
        waiting.retain(|request| {
            let decision = match self.evaluate(now, request, lookup, &ahead) {
                Evaluation::Decided(decision) => decision,
                Evaluation::Wait { permit_from, owner } => {
                    if let Some(upstream) = permit_from {
                        let ranks = ahead.permit_demand.entry(upstream).or_default();
                        *ranks.entry(request.rank).or_default() += 1;
                    }
                    if let Some(owner) = owner {
                        *ahead.owners.entry(owner).or_default() += 1;
                    }
                    return true;
                }
            };
            if let Decision::Send {
                upstream, slots, ..
            } = decision
            {
                let state = self.upstreams.entry(upstream);
                state
                    .or_insert_with(|| UpstreamState::new(slots))
                    .record_send();
                self.permits.record_send(now, upstream);
                if request.key.is_none() {
                    self.probe_idle_candidates(now, request, lookup);
                }
            }
            decisions.push((request.ticket, decision));
            false
        });
        self.waiting = waiting;
        self.permits.set_waiting(&ahead.permit_demand);
        decisions
    }

    /// Asks for permits for limited upstreams that others stand in for.
    fn probe_idle_candidates(
        &mut self,
        now: Time,
        request: &QueuedRequest,
        lookup: &dyn UpstreamLookup,
    ) {
        if self.permits.limited_count() == 0 {
            return;
        }
        let availability = lookup.availability(&request.service, request.key);
        for candidate in availability.candidates {
            self.permits.probe_if_idle(now, candidate.upstream);
        }
    }

    /// Records the result of a send, which then no longer counts as in flight.
    pub fn record_finished(&mut self, now: Time, send: &FinishedSend<'_>) {
        let expected = self.expected_run_time(send.route);
        if let Some(state) = self.upstreams.get_mut(&send.upstream) {
            state.record_result(now, send.result, send.load, send.took, expected);
            if send.load.is_some()
                && let Some(averages) = self.services.get_mut(send.service)
            {
                averages.record_load(now, state.reported_load());
            }
        }
        if send.result == SendResult::Ran {
            let took = send.took.as_secs_f64();
            let average = self.run_times.entry(send.route.to_owned()).or_insert(took);
            *average += (took - *average) * RUN_TIME_SMOOTHING;
            if send.load.is_some_and(|load| load.waiting == 0) {
                let bare = self.bare_run_times.entry(send.route.to_owned());
                let average = bare.or_insert(took);
                *average += (took - *average) * RUN_TIME_SMOOTHING;
            }
            let averages = self
                .services
                .entry(send.service.to_owned())
                .or_insert(ServiceAverages::new(now, took));
            averages.record_response(now, took);
        }
    }

    /// Records that an upstream has turned a request away and wants none from this instance
    /// until `until`.
    pub fn record_pause(&mut self, upstream: Upstream, until: Time) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.record_pause(until);
        }
    }

    /// Drops the state of upstreams for which `known` returns false, unless requests of
    /// this instance are in flight to them.
    pub fn retain_upstreams(&mut self, known: impl Fn(Upstream) -> bool) {
        self.upstreams
            .retain(|key, state| state.in_flight() > 0 || known(*key));
        self.permits.retain(known);
    }

    /// Decides on a queued request.
    fn evaluate(
        &self,
        now: Time,
        request: &QueuedRequest,
        lookup: &dyn UpstreamLookup,
        ahead: &Ahead,
    ) -> Evaluation {
        let remaining = request.deadline.since(now);
        let expected = self.expected_run_time(&request.route);
        let availability = lookup.availability(&request.service, request.key);
        let owner = request.key.and(availability.candidates.first());
        let wait = |permit_from| Evaluation::Wait {
            permit_from,
            owner: owner.map(|owner| owner.upstream),
        };
        if remaining < self.required_time(request) {
            let reason = match availability.candidates.is_empty() {
                true => Reason::NoUpstream,
                false => Reason::NoRoom,
            };
            return self.refuse(now, request, reason, Duration::ZERO);
        }
        if self
            .owner_unreachable_until(now, request, &availability)
            .is_some()
        {
            return wait(None);
        }
        if let Some(owner) = self.limited_owner(request, &availability.candidates)
            && !self.permits.may_send(now, owner)
        {
            let demand = ahead.permit_demand.get(&owner);
            let before = demand.map_or(0, |ranks| ranks.values().sum());
            return match self.excess_permit_wait(now, request, owner, before) {
                Some(wait) => self.refuse(now, request, Reason::RateLimited, wait),
                None => wait(Some(owner)),
            };
        }
        if let Some(owner) = owner {
            let before = ahead.owners.get(&owner.upstream).copied().unwrap_or(0);
            let until_sent = self.owner_wait(now, owner, before, expected);
            let required = self.required_time_at(now, request, owner.upstream);
            if until_sent.max(required) > remaining {
                return self.refuse(now, request, Reason::NoRoom, until_sent);
            }
            if self.is_owner_full(now, request, owner.upstream) {
                return wait(None);
            }
        }
        let choice = selection::choose(&Selection {
            now,
            request,
            candidates: &availability.candidates,
            upstreams: &self.upstreams,
            permits: &self.permits,
            preferred: &self.preferred,
            connections: &self.connections,
            usual_load: self.usual_load(now, request),
            expected,
            is_outranked: self.is_outranked(now, request),
        });
        let Some(candidate) = choice.candidate else {
            return wait(choice.limited);
        };
        Evaluation::Decided(Decision::Send {
            upstream: candidate.upstream,
            slots: candidate.slots,
            expected,
        })
    }

    /// Requests of other instances per slot that upstreams without a recent report are taken
    /// to have. The owner of a key is not like the others: what they report says nothing of
    /// it.
    fn usual_load(&self, now: Time, request: &QueuedRequest) -> f64 {
        if request.key.is_some() {
            return 0.0;
        }
        let averages = self.services.get(&request.service);
        averages.map_or(0.0, |averages| averages.load_at(now))
    }

    /// Refuses a queued request, for which there is room after `wait`.
    fn refuse(
        &self,
        now: Time,
        request: &QueuedRequest,
        reason: Reason,
        wait: Duration,
    ) -> Evaluation {
        let remaining = request.deadline.since(now);
        let required = self.required_time(request);
        let after = return_delay(request.ticket, wait, remaining, required);
        Evaluation::Decided(Decision::Refuse { reason, after })
    }

    /// Owner of the request's key, if it limits its rate.
    fn limited_owner(&self, request: &QueuedRequest, candidates: &[Candidate]) -> Option<Upstream> {
        request.key?;
        let owner = candidates.first()?.upstream;
        self.permits.is_limited(owner).then_some(owner)
    }

    /// Time until which the owner of the request's key is considered unreachable from
    /// this instance; `None` if it is reachable, or if the request has no key or the key
    /// no owner.
    fn owner_unreachable_until(
        &self,
        now: Time,
        request: &QueuedRequest,
        availability: &Availability,
    ) -> Option<Time> {
        request.key?;
        let owner = availability.candidates.first()?;
        let owner = self.upstreams.get(&owner.upstream)?;
        owner.unreachable_until(now).max(owner.paused_until(now))
    }

    /// Time at which the first of the candidates takes requests of this instance again, if
    /// all of them have turned one away and want none until then.
    fn all_paused_until(&self, now: Time, candidates: &[Candidate]) -> Option<Time> {
        let paused_until = |candidate: &Candidate| {
            let state = self.upstreams.get(&candidate.upstream)?;
            state.paused_until(now)
        };
        // `None`, for one that takes requests, is the least.
        candidates.iter().map(paused_until).min().flatten()
    }

    /// Whether more urgent requests for the same service arrived recently.
    fn is_outranked(&self, now: Time, request: &QueuedRequest) -> bool {
        let ranks = self.rank_last_seen.get(&request.service);
        ranks.is_some_and(|ranks| {
            let mut more_urgent = ranks.range(..request.rank);
            more_urgent.any(|(_, seen)| now.since(*seen) < RANK_ACTIVE_PERIOD)
        })
    }
}
