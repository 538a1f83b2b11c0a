//! Load and health of an upstream, as estimated by one instance.
//!
//! Instances do not coordinate their sends. Each instance counts its own requests
//! in flight, and every response of an upstream reports how many requests it runs
//! and queues in total. The load caused by other instances is estimated from the
//! latest report and decays with the report's age, because it goes out of date
//! quickly.

use std::time::Duration;

use medlarreel_macros::data;

use crate::time::Time;

/// Time after which the reported load of other instances counts half. Requests
/// run for 0.1 s to 0.5 s.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);

/// Time after which a reported slowness counts half. Upstreams are slow for some 400 ms at a
/// time.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(200);

/// Time after the last run after which a measured run time counts half, so that an upstream
/// that was slow is tried again.
const RUN_TIME_HALF_LIFE: Duration = Duration::from_secs(5);

/// Load that is assumed of an upstream that turns a request away without a report, in
/// requests per slot: it has as many in its queue as it runs.
const ASSUMED_FULL_LOAD: f64 = 2.0;

/// Smoothing factor of the moving average of relative run times: the weight of the
/// latest run.
const RUN_TIME_SMOOTHING: f64 = 0.1;

/// Time for which an upstream is tried last after a request to it failed without a
/// usable response. It doubles with each consecutive failure, up to `MAX_PENALTY`.
const BASE_PENALTY: Duration = Duration::from_millis(400);

/// Maximum time for which an upstream is tried last after failures, so that a recovered
/// one is soon used again.
const MAX_PENALTY: Duration = Duration::from_secs(3);

/// Assumed number of requests that all instances together send to an upstream for each
/// request of this instance, whether or not other instances have requests.
const COMPETITION_FACTOR: f64 = 2.0;

/// Consecutive failed connection attempts after which an upstream is considered
/// unreachable.
const UNREACHABLE_CONNECT_FAILURES: u32 = 2;

/// Load that an upstream reports in a response.
#[data(key)]
pub struct ReportedLoad {
    /// Requests being run.
    pub running: u32,
    /// Requests queued at the upstream.
    pub waiting: u32,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// How long runs take on the upstream's machine at this moment, in percent of the usual.
    pub slowness: u32,
}

impl ReportedLoad {
    /// Slowness of a machine that runs requests as fast as usual.
    pub const USUAL_SLOWNESS: u32 = 100;
}

/// How sending a request to an upstream ended.
#[data(key)]
pub enum SendResult {
    /// The upstream ran the request and responded.
    Ran,
    /// The upstream refused the request, or reset a new connection since it is full.
    Refused,
    /// No usable response was received.
    Failed,
    /// No connection to the upstream could be established.
    ConnectFailed,
    /// The caller disconnected before the response.
    CallerLeft,
}

/// Load and health of one upstream, as seen by one instance.
#[data(plain)]
pub struct UpstreamState {
    slots: u32,
    in_flight: u32,
    /// Requests of other instances at the upstream at `reported_at`.
    other_requests: f64,
    reported_at: Time,
    /// Reported slowness as a factor, 1 being the usual.
    slowness: f64,
    /// Time of the last run.
    last_run: Time,
    /// Moving average of the ratio of the actual to the expected run time.
    relative_run_time: f64,
    consecutive_failures: u32,
    penalized_until: Time,
    /// Consecutive failed connection attempts.
    failed_connects: u32,
    /// Time until which the upstream wants no requests from this instance.
    paused_until: Time,
}

impl UpstreamState {
    /// Creates the state of an upstream of which only the slots are known.
    pub fn new(slots: u32) -> UpstreamState {
        UpstreamState {
            slots: slots.max(1),
            in_flight: 0,
            other_requests: 0.0,
            reported_at: Time(0),
            slowness: 1.0,
            last_run: Time(0),
            relative_run_time: 1.0,
            consecutive_failures: 0,
            penalized_until: Time(0),
            failed_connects: 0,
            paused_until: Time(0),
        }
    }

    /// Maximum number of requests that the upstream runs concurrently, as last reported
    /// or, before the first report, as registered; at least 1.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Requests of this instance in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Moving average of the ratio of the actual to the expected run time; 1 before the
    /// first run.
    pub fn relative_run_time(&self) -> f64 {
        self.relative_run_time
    }

    /// Estimated run time at this moment, relative to the expected one; 1 before the first
    /// run. The slowness of the machine, if it has reported one, soon counts no more.
    pub fn current_run_time(&self, now: Time) -> f64 {
        let weight = half_life_weight(now, self.last_run, RUN_TIME_HALF_LIFE);
        let average = 1.0 + (self.relative_run_time - 1.0) * weight;
        average * self.current_slowness(now)
    }

    fn current_slowness(&self, now: Time) -> f64 {
        1.0 + (self.slowness - 1.0) * half_life_weight(now, self.reported_at, SLOWNESS_HALF_LIFE)
    }

    /// Estimated number of requests of all instances at the upstream.
    pub fn occupancy(&self, now: Time) -> f64 {
        self.occupancy_among(now, 0.0)
    }

    /// Estimated number of requests of all instances at the upstream, if others of its
    /// service have `usual_load` requests of other instances per slot. The older the last
    /// report, the more it is taken to be like these.
    pub fn occupancy_among(&self, now: Time, usual_load: f64) -> f64 {
        let weight = half_life_weight(now, self.reported_at, REPORT_HALF_LIFE);
        let usual = usual_load * f64::from(self.slots);
        f64::from(self.in_flight) + self.other_requests * weight + usual * (1.0 - weight)
    }

    /// Requests of other instances per slot at the time of the last report.
    pub fn reported_load(&self) -> f64 {
        self.other_requests / f64::from(self.slots)
    }

    /// Least number of requests at the upstream if each run takes `run_time`: those that were
    /// reported, less what it can have finished since, and those of this instance.
    pub fn undrained_load(&self, now: Time, run_time: Duration) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        let finished = age / run_time.as_secs_f64().max(0.001) * f64::from(self.slots);
        f64::from(self.in_flight) + (self.other_requests - finished).max(0.0)
    }

    /// Estimated time for which a request sent now waits in the upstream's own queue, if each
    /// run takes `run_time`.
    pub fn queue_wait(&self, now: Time, run_time: Duration) -> Duration {
        let load = self.occupancy(now).max(self.undrained_load(now, run_time));
        let excess = (load + 1.0 - f64::from(self.slots)).max(0.0);
        run_time.mul_f64(excess / f64::from(self.slots))
    }

    /// Estimates the time until a request is sent that has `ahead` requests of this
    /// instance before it. Each is assumed to run for `expected`, and up to `depth`
    /// requests may be queued at the upstream. The result is at most 60 s.
    pub fn estimated_wait(
        &self,
        now: Time,
        ahead: usize,
        expected: Duration,
        depth: f64,
    ) -> Duration {
        let run_time = expected.as_secs_f64() * self.relative_run_time * self.current_slowness(now);
        let slots = f64::from(self.slots);
        let excess = (self.occupancy(now) + 1.0 - slots - depth).max(0.0);
        let seconds = (excess + ahead as f64 * COMPETITION_FACTOR) * run_time / slots;
        Duration::from_secs_f64(seconds.min(60.0))
    }

    /// Whether a request may be sent now, with at most `depth` requests queued at the
    /// upstream. A negative `depth` keeps that many slots free, rounded down.
    pub fn has_capacity(&self, now: Time, depth: f64) -> bool {
        self.occupancy(now) < f64::from(self.slots) + depth
    }

    /// Whether the upstream is to be tried last. This lasts from `BASE_PENALTY` to
    /// `MAX_PENALTY` after a failure, and ends early when the upstream runs a request.
    pub fn is_penalized(&self, now: Time) -> bool {
        now < self.penalized_until
    }

    /// Time until which the upstream is considered unreachable; `None` if it is
    /// reachable. It is unreachable while it is penalized and at least
    /// `UNREACHABLE_CONNECT_FAILURES` consecutive connection attempts have failed. A
    /// single failure may be due to a lost packet and does not count.
    pub fn unreachable_until(&self, now: Time) -> Option<Time> {
        let until = self.penalized_until;
        (self.failed_connects >= UNREACHABLE_CONNECT_FAILURES && until > now).then_some(until)
    }

    /// Time until which the upstream wants no requests from this instance; `None` if it
    /// takes them.
    pub fn paused_until(&self, now: Time) -> Option<Time> {
        (self.paused_until > now).then_some(self.paused_until)
    }

    /// Records that the upstream has turned a request away and wants none until `until`.
    pub fn record_pause(&mut self, until: Time) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self) {
        self.in_flight += 1;
    }

    /// Records how a request that was expected to run for `expected` ended, after it
    /// took `took`. `load` is `None` if the upstream reported no load.
    pub fn record_result(
        &mut self,
        now: Time,
        result: SendResult,
        load: Option<ReportedLoad>,
        took: Duration,
        expected: Duration,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            self.slots = load.slots.max(1);
            let total = f64::from(load.running) + f64::from(load.waiting);
            // The report may or may not include the request that it answers.
            self.other_requests = (total - f64::from(self.in_flight) - 1.0).max(0.0);
            self.reported_at = now;
            self.slowness = f64::from(load.slowness) / f64::from(ReportedLoad::USUAL_SLOWNESS);
        }
        match result {
            SendResult::ConnectFailed => self.failed_connects += 1,
            SendResult::CallerLeft => {}
            SendResult::Ran | SendResult::Refused | SendResult::Failed => self.failed_connects = 0,
        }
        match result {
            SendResult::Ran => {
                self.consecutive_failures = 0;
                self.penalized_until = Time(0);
                self.last_run = now;
                // What is due to a short slowness says nothing of later runs.
                let usual = took.as_secs_f64() / self.current_slowness(now).max(1.0);
                let ratio = usual / expected.as_secs_f64().max(0.001);
                self.relative_run_time +=
                    (ratio.min(10.0) - self.relative_run_time) * RUN_TIME_SMOOTHING;
            }
            SendResult::Refused => {
                if load.is_none() {
                    self.other_requests = f64::from(self.slots) * ASSUMED_FULL_LOAD;
                    self.reported_at = now;
                }
            }
            SendResult::Failed | SendResult::ConnectFailed => {
                self.consecutive_failures += 1;
                let penalty = BASE_PENALTY * 2u32.pow(self.consecutive_failures.min(4) - 1);
                self.penalized_until = now + penalty.min(MAX_PENALTY);
            }
            SendResult::CallerLeft => {}
        }
    }
}

/// Weight, from 1 to 0, of what was observed at `since`.
fn half_life_weight(now: Time, since: Time, half_life: Duration) -> f64 {
    0.5_f64.powf(now.since(since).as_secs_f64() / half_life.as_secs_f64())
}
