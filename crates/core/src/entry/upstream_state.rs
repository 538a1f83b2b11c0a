//! How much room an upstream has for further requests.
//!
//! Instances don't coordinate. Each one knows its own requests in flight, and
//! each answer of an upstream tells how many requests it runs and queues in
//! all. What others have there is estimated from the newest answer and fades,
//! since an old answer says little.

use std::time::Duration;

use medlarreel_macros::data;

use crate::time::Time;

/// Time in which a report of others' requests loses half of its value; a
/// request runs for 0.1 s to 0.5 s.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);

/// Weight of the newest run in the average run time.
const RUN_WEIGHT: f64 = 0.1;

/// Time for which an upstream that failed a request without an answer is
/// tried last. It doubles with each further failure, up to `PENALTY_MAX`.
const PENALTY: Duration = Duration::from_millis(400);

/// Longest penalty, so that a recovered upstream is found again soon.
const PENALTY_MAX: Duration = Duration::from_secs(3);

/// Requests that go to an upstream for each one of this instance while several
/// instances have requests for it.
const RIVALS: f64 = 2.0;

/// Connections in a row that must fail for an upstream to count as unreachable.
const UNREACHED: u32 = 2;

/// Load that an upstream reports with an answer.
#[data(key)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
}

/// How a request at an upstream ended.
#[data(key)]
pub enum SendResult {
    /// It ran and was answered.
    Ran,
    /// The upstream refused it.
    Refused,
    /// There was no usable answer.
    Failed,
    /// No connection to the upstream was made.
    ConnectFailed,
    /// The caller left.
    CallerLeft,
}

/// Room of one upstream, as one instance sees it.
#[data(plain)]
pub struct Room {
    slots: u32,
    mine: u32,
    others: f64,
    reported: Time,
    /// Average run time in seconds, relative to the expected one of each request.
    pace: f64,
    failures: u32,
    penalized_until: Time,
    /// Connections in a row that were not made.
    unreached: u32,
}

impl Room {
    /// Room of an upstream that nothing is known of but its slots.
    pub fn new(slots: u32) -> Room {
        Room {
            slots: slots.max(1),
            mine: 0,
            others: 0.0,
            reported: Time(0),
            pace: 1.0,
            failures: 0,
            penalized_until: Time(0),
            unreached: 0,
        }
    }

    /// Requests that it can run at a time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Own requests in flight.
    pub fn mine(&self) -> u32 {
        self.mine
    }

    /// Run time relative to what is expected of a request.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Estimated requests of all instances at the upstream.
    pub fn occupancy(&self, now: Time) -> f64 {
        let age = now.since(self.reported).as_secs_f64();
        let faded = self.others * 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        f64::from(self.mine) + faded
    }

    /// Time until a request is sent that has `ahead` requests of this instance
    /// before it, if each runs for `expected` and `depth` may wait there.
    pub fn wait(&self, now: Time, ahead: usize, expected: Duration, depth: f64) -> Duration {
        let run = expected.as_secs_f64() * self.pace;
        let slots = f64::from(self.slots);
        let beyond = (self.occupancy(now) + 1.0 - slots - depth).max(0.0);
        let seconds = (beyond + ahead as f64 * RIVALS) * run / slots;
        Duration::from_secs_f64(seconds.min(60.0))
    }

    /// Whether a request may be sent now, with at most `depth` requests waiting
    /// at the upstream.
    pub fn fits(&self, now: Time, depth: f64) -> bool {
        self.occupancy(now) < f64::from(self.slots) + depth
    }

    /// Whether it failed requests a short time ago.
    pub fn is_penalized(&self, now: Time) -> bool {
        now < self.penalized_until
    }

    /// Until when no connection is tried, after several that were not made in a row.
    /// A single one may have failed for a lost packet.
    pub fn unreachable_until(&self, now: Time) -> Option<Time> {
        let until = self.penalized_until;
        (self.unreached >= UNREACHED && until > now).then_some(until)
    }

    /// Counts a request that is sent.
    pub fn start(&mut self) {
        self.mine += 1;
    }

    /// Counts the end of a request that was expected to run for `expected`.
    pub fn finish(
        &mut self,
        now: Time,
        result: SendResult,
        load: Option<ReportedLoad>,
        took: Duration,
        expected: Duration,
    ) {
        self.mine = self.mine.saturating_sub(1);
        if let Some(load) = load {
            self.slots = load.slots.max(1);
            let all = f64::from(load.running) + f64::from(load.waiting);
            // The report may or may not count the request that it came with.
            self.others = (all - f64::from(self.mine) - 1.0).max(0.0);
            self.reported = now;
        }
        match result {
            SendResult::ConnectFailed => self.unreached += 1,
            SendResult::CallerLeft => {}
            SendResult::Ran | SendResult::Refused | SendResult::Failed => self.unreached = 0,
        }
        match result {
            SendResult::Ran => {
                self.failures = 0;
                self.penalized_until = Time(0);
                let relative = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
                self.pace += (relative.min(10.0) - self.pace) * RUN_WEIGHT;
            }
            SendResult::Refused => {
                if load.is_none() {
                    self.others = f64::from(self.slots);
                    self.reported = now;
                }
            }
            SendResult::Failed | SendResult::ConnectFailed => {
                self.failures += 1;
                let doubled = PENALTY * 2u32.pow(self.failures.min(4) - 1);
                self.penalized_until = now + doubled.min(PENALTY_MAX);
            }
            SendResult::CallerLeft => {}
        }
    }
}
