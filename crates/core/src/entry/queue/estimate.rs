//! Estimates of how long requests wait, and of when refused callers should return.

use std::time::Duration;

use super::arrival::MIN_RETRY_AFTER;
use super::selection::{QUEUE_DEPTH, URGENT_QUEUE_DEPTH};
use super::{Candidate, DEMOTION_THRESHOLD_RUNS, Queue, QueuedRequest, Ticket, UpstreamLookup};
use crate::entry::upstream_state::UpstreamState;
use crate::ids::Upstream;
use crate::time::Time;

/// Time constant of the moving average of response rates.
const RATE_AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Smoothing factor of the moving average of reported loads: the weight of the latest report.
const LOAD_SMOOTHING: f64 = 0.1;

/// Time without any report of a service after which its average load counts a third. A queue
/// of ten requests at an upstream is done within a second.
const LOAD_FADING_TIME: Duration = Duration::from_millis(500);

/// Minimum fraction of a service's throughput that one of several instances is
/// assumed to get.
const MIN_THROUGHPUT_FRACTION: f64 = 0.05;

/// Smoothing factor of the moving average of a route's run times: the weight of the
/// latest run.
pub(super) const RUN_TIME_SMOOTHING: f64 = 0.05;

/// Fraction of the average run time that must remain before the deadline for a
/// request to be sent.
const REQUIRED_RUN_FRACTION: f64 = 0.6;

/// Greatest and least relative run time of an upstream that counts. The average of few runs
/// exceeds these by chance alone.
const RELATIVE_RUN_TIME_BOUNDS: (f64, f64) = (2.0, 0.5);

/// Greatest fraction by which a told delay exceeds the estimated one. Callers that are
/// refused in the same moment return over half as long as they wait.
const RETURN_SPREAD: f64 = 0.5;

/// Averages over all routes of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceAverages {
    /// Recent responses per second.
    per_second: f64,
    updated_at: Time,
    /// Run time in seconds.
    pub(super) run_time: f64,
    /// Requests of other instances per slot at its upstreams, by their reports.
    load: f64,
    reported_at: Time,
}

impl ServiceAverages {
    /// Averages before the first response, which took `took` seconds.
    pub(super) fn new(now: Time, took: f64) -> ServiceAverages {
        ServiceAverages {
            per_second: 0.0,
            updated_at: now,
            run_time: took,
            load: 0.0,
            reported_at: now,
        }
    }

    pub(super) fn record_response(&mut self, now: Time, took: f64) {
        self.per_second = self.per_second_at(now) + 1.0 / RATE_AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
        self.run_time += (took - self.run_time) * RUN_TIME_SMOOTHING;
    }

    pub(super) fn record_load(&mut self, now: Time, load: f64) {
        self.load = self.load_at(now) + (load - self.load_at(now)) * LOAD_SMOOTHING;
        self.reported_at = now;
    }

    /// Load at a time. Without reports it fades, so that an instance that holds requests
    /// back learns of upstreams that have become free.
    pub(super) fn load_at(&self, now: Time) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        self.load * (-age / LOAD_FADING_TIME.as_secs_f64()).exp()
    }

    fn per_second_at(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.per_second * (-age / RATE_AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// Delay that a refused caller is told, for room that is expected after `wait`. It is spread
/// by the number of the request, which takes neighbouring ones far apart. If the caller then
/// has no time left for a run of `required`, the delay is at least all that it has left, cut
/// to the longest that callers obey.
pub(super) fn return_delay(
    ticket: Ticket,
    wait: Duration,
    remaining: Duration,
    required: Duration,
) -> Duration {
    if wait + required > remaining {
        return remaining.max(wait).max(MIN_RETRY_AFTER);
    }
    // The golden ratio spaces the multiples of consecutive numbers evenly.
    let position = (ticket.0 as f64 * 0.618_033_988_749_895).fract();
    let wait = wait.max(MIN_RETRY_AFTER);
    wait + wait.mul_f64(position * RETURN_SPREAD)
}

impl Queue {
    /// Average run time of a route at upstreams that had no queue, or over all if there is
    /// none.
    pub(super) fn bare_run_time(&self, route: &str) -> Duration {
        let average = self.bare_run_times.get(route).copied();
        average.map_or_else(|| self.expected_run_time(route), Duration::from_secs_f64)
    }

    /// Whether a request of a route that is sent now may be answered by `deadline`.
    pub fn can_end(&self, now: Time, route: &str, deadline: Time) -> bool {
        let required = self.bare_run_time(route).mul_f64(REQUIRED_RUN_FRACTION);
        now + required <= deadline
    }

    /// Time that must remain before the deadline for a request to be sent to an upstream
    /// without a queue.
    pub(super) fn required_time(&self, request: &QueuedRequest) -> Duration {
        self.bare_run_time(&request.route)
            .mul_f64(REQUIRED_RUN_FRACTION)
    }

    /// Time that must remain before the deadline for a request to be sent to an upstream:
    /// its place in the upstream's own queue and a run at the upstream's speed.
    pub(super) fn required_time_at(
        &self,
        now: Time,
        request: &QueuedRequest,
        upstream: Upstream,
    ) -> Duration {
        let required = self.required_time(request);
        let Some(state) = self.upstreams.get(&upstream) else {
            return required;
        };
        let (slowest, fastest) = RELATIVE_RUN_TIME_BOUNDS;
        let relative = state.relative_run_time().clamp(fastest, slowest);
        let run_time = self.bare_run_time(&request.route);
        required.mul_f64(relative) + state.queue_wait(now, run_time)
    }

    /// Whether the owner of a key still has a queue of its own from what it has reported, so
    /// that a request waits here, where it keeps its place before less urgent ones.
    pub(super) fn is_owner_full(
        &self,
        now: Time,
        request: &QueuedRequest,
        owner: Upstream,
    ) -> bool {
        let run_time = self.bare_run_time(&request.route);
        self.upstreams.get(&owner).is_some_and(|state| {
            state.undrained_load(now, run_time) >= f64::from(state.slots()) + URGENT_QUEUE_DEPTH
        })
    }

    /// Estimates the time until a request is sent, from the requests ahead of it.
    pub(super) fn estimated_wait(
        &self,
        now: Time,
        request: &QueuedRequest,
        candidates: &[Candidate],
        lookup: &dyn UpstreamLookup,
    ) -> Duration {
        let expected = self.expected_run_time(&request.route);
        if request.key.is_none() {
            let key = self.sort_key(now, request);
            let before = self.waiting.iter().filter(|other| {
                other.service == request.service && self.sort_key(now, other) <= key
            });
            let ahead = before.count();
            let slots: u32 = candidates.iter().map(|candidate| candidate.slots).sum();
            let averages = self.services.get(&request.service);
            let rate = averages.map_or(0.0, |averages| averages.per_second_at(now));
            let min_rate =
                f64::from(slots) / expected.as_secs_f64().max(0.001) * MIN_THROUGHPUT_FRACTION;
            let seconds = ahead as f64 / rate.max(min_rate);
            return Duration::from_secs_f64(seconds.min(60.0));
        }
        let Some(owner) = candidates.first() else {
            return Duration::ZERO;
        };
        let ahead = self.requests_ahead(now, request, owner.upstream, lookup);
        self.owner_wait(now, owner, ahead, expected)
    }

    /// Estimates the time until the owner of a key gets a request with `ahead` requests of
    /// this instance before it.
    pub(super) fn owner_wait(
        &self,
        now: Time,
        owner: &Candidate,
        ahead: u32,
        expected: Duration,
    ) -> Duration {
        let initial = UpstreamState::new(owner.slots);
        let state = self.upstreams.get(&owner.upstream).unwrap_or(&initial);
        state.estimated_wait(now, ahead as usize, expected, QUEUE_DEPTH)
    }

    /// Number of queued requests for the keys of `owner` that are sent before a request.
    pub(super) fn requests_ahead(
        &self,
        now: Time,
        request: &QueuedRequest,
        owner: Upstream,
        lookup: &dyn UpstreamLookup,
    ) -> u32 {
        let key = self.sort_key(now, request);
        let ahead = self.waiting.iter().filter(|other| {
            other.service == request.service && self.sort_key(now, other) <= key && {
                let availability = lookup.availability(&other.service, other.key);
                let first = availability.candidates.first();
                first.is_some_and(|candidate| candidate.upstream == owner)
            }
        });
        ahead.count() as u32
    }

    /// Estimated time until the request gets a permit of the owner of its key, if that is
    /// too long for it to be kept in the queue; `None` if it may wait. Newer requests
    /// overtake one that has waited for `DEMOTION_THRESHOLD_RUNS`, so that it would be
    /// refused in the end. The first in line waits for as long as its deadline allows:
    /// otherwise nobody would use the next permit of a slow upstream.
    pub(super) fn excess_permit_wait(
        &self,
        now: Time,
        request: &QueuedRequest,
        owner: Upstream,
        ahead: u32,
    ) -> Option<Duration> {
        let (wait, is_first) = self.permits.estimated_wait(now, owner, request.rank, ahead);
        let is_late = wait + self.required_time(request) > request.deadline.since(now);
        let threshold = self
            .expected_run_time(&request.route)
            .mul_f64(DEMOTION_THRESHOLD_RUNS);
        let is_overtaken = !is_first && now.since(request.arrived) + wait > threshold;
        (is_late || is_overtaken).then_some(wait)
    }
}
