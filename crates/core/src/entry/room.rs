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

/// Time over which the rate of answers is averaged.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// Part of an upstream's work that one of several instances gets at least.
const LEAST_PART: f64 = 0.15;

/// Load that an upstream reports with an answer.
#[data(key)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
}

/// How a request at an upstream ended.
#[data(key)]
pub enum Ending {
    /// It ran and was answered.
    Ran,
    /// The upstream refused it.
    Refused,
    /// There was no usable answer.
    Failed,
    /// The caller left.
    Left,
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
    /// Own answers per second.
    rate: f64,
    rated: Time,
    failures: u32,
    penalized_until: Time,
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
            rate: 0.0,
            rated: Time(0),
            failures: 0,
            penalized_until: Time(0),
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

    /// Time until `ahead` requests of this instance have been answered, if each
    /// runs for `expected`.
    pub fn wait(&self, now: Time, ahead: usize, expected: Duration) -> Duration {
        let run = expected.as_secs_f64().max(0.001) * self.pace;
        let least = f64::from(self.slots) / run * LEAST_PART;
        let seconds = ahead as f64 / self.rate_at(now).max(least);
        Duration::from_secs_f64(seconds.min(60.0))
    }

    fn rate_at(&self, now: Time) -> f64 {
        let age = now.since(self.rated).as_secs_f64();
        self.rate * (-age / RATE_SPAN.as_secs_f64()).exp()
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

    /// Counts a request that is sent.
    pub fn start(&mut self) {
        self.mine += 1;
    }

    /// Counts the end of a request that was expected to run for `expected`.
    pub fn finish(
        &mut self,
        now: Time,
        ending: Ending,
        load: Option<Load>,
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
        match ending {
            Ending::Ran => {
                self.failures = 0;
                self.penalized_until = Time(0);
                self.rate = self.rate_at(now) + 1.0 / RATE_SPAN.as_secs_f64();
                self.rated = now;
                let relative = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
                self.pace += (relative.min(10.0) - self.pace) * RUN_WEIGHT;
            }
            Ending::Refused => {
                if load.is_none() {
                    self.others = f64::from(self.slots);
                    self.reported = now;
                }
            }
            Ending::Failed => {
                self.failures += 1;
                let doubled = PENALTY * 2u32.pow(self.failures.min(4) - 1);
                self.penalized_until = now + doubled.min(PENALTY_MAX);
            }
            Ending::Left => {}
        }
    }
}
