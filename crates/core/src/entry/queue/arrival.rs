//! Tells callers that come back after a refusal from those that come first.
//!
//! Nothing marks a request that was refused before, except that its caller has less time
//! left than callers of the route usually bring. One that has used up at least the
//! shortest delay that refused callers are told has come back as told, or was held
//! elsewhere; one that has nearly all of its time left comes first; one in between was
//! refused and did not wait.
//!
//! The usual time is what the most patient of the recent callers bring. It is known only
//! if a good part of them bring the same; otherwise all requests count as first ones.

use std::collections::HashMap;
use std::time::Duration;

use medlarreel_macros::data;

use super::QueuedRequest;
use crate::time::Time;

/// Shortest delay that a refused caller is told. It must exceed what the network and a new
/// connection cost a caller that comes back at once, so that the two can be told apart.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Number of recent requests of a route by which the usual time is known.
const SAMPLE_COUNT: usize = 64;

/// Number of requests of a route after which its usual time is computed again.
const REFRESH_INTERVAL: usize = 16;

/// Quantile of the recent times that is taken for the usual one. Up to two of three
/// requests are repeats while callers come back twice, and the others bring all of it.
const USUAL_QUANTILE: f64 = 0.8;

/// Fraction of the recent requests that must bring about the usual time for it to count.
const MIN_USUAL_FRACTION: f64 = 0.25;

/// Fraction of the usual time by which first requests may differ from it, and the least
/// difference allowed: timers and links delay a request by some milliseconds.
const USUAL_TOLERANCE: (f64, Duration) = (0.005, Duration::from_millis(5));

/// How a request comes to this instance, in the order in which requests of the same
/// urgency are sent.
#[data(key)]
pub enum Arrival {
    /// Its caller was refused before and waited for as long as it was told.
    Returned,
    /// Its caller was not refused before, as far as known.
    First,
    /// Its caller was refused before and has not waited.
    Pressing,
}

/// What is known of the caller of a request.
#[data(key)]
pub struct Standing {
    /// How the request comes to this instance.
    pub arrival: Arrival,
    /// Time by which a response is of full use to the caller, counted from its first
    /// attempt; the deadline if the route names no target.
    pub target: Time,
}

impl Standing {
    /// Standing of a first request without a target.
    pub fn first(deadline: Time) -> Standing {
        Standing {
            arrival: Arrival::First,
            target: deadline,
        }
    }
}

/// Times that the recent callers of one route have brought.
#[derive(Debug, Default)]
struct Sample {
    recent: Vec<Duration>,
    next: usize,
    usual: Option<Duration>,
}

impl Sample {
    fn record(&mut self, patience: Duration) {
        match self.recent.len() < SAMPLE_COUNT {
            true => self.recent.push(patience),
            false => self.recent[self.next % SAMPLE_COUNT] = patience,
        }
        self.next += 1;
        if self.next.is_multiple_of(REFRESH_INTERVAL) {
            self.usual = usual_time(&self.recent);
        }
    }
}

fn usual_time(recent: &[Duration]) -> Option<Duration> {
    let mut sorted = recent.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * USUAL_QUANTILE) as usize;
    let usual = *sorted.get(index)?;
    let tolerance = tolerance(usual);
    let near = sorted
        .iter()
        .filter(|time| time.abs_diff(usual) <= tolerance);
    let is_common = near.count() as f64 >= sorted.len() as f64 * MIN_USUAL_FRACTION;
    is_common.then_some(usual)
}

fn tolerance(usual: Duration) -> Duration {
    let (fraction, least) = USUAL_TOLERANCE;
    usual.mul_f64(fraction).max(least)
}

/// Times that callers bring, by route.
#[derive(Debug, Default)]
pub struct Arrivals {
    routes: HashMap<String, Sample>,
}

impl Arrivals {
    /// Judges a request of a route that has just arrived, and counts it. `patience` is the
    /// time that its caller has left; `None` if the caller does not say. A `target_latency`
    /// of zero means that the route names none.
    pub fn judge(
        &mut self,
        now: Time,
        route: &str,
        patience: Option<Duration>,
        target_latency: Duration,
    ) -> Standing {
        let spent = patience.map_or(Duration::ZERO, |patience| self.record(route, patience));
        let arrival = match spent {
            Duration::ZERO => Arrival::First,
            spent if spent >= MIN_RETRY_AFTER => Arrival::Returned,
            _ => Arrival::Pressing,
        };
        let left = match target_latency {
            Duration::ZERO => patience.unwrap_or(Duration::MAX / 4),
            target_latency => target_latency.saturating_sub(spent),
        };
        let target = now + left.min(Duration::from_secs(3_600));
        Standing { arrival, target }
    }

    /// Counts a request, and returns what its caller has used up of the usual time; zero if
    /// that is within the tolerance.
    fn record(&mut self, route: &str, patience: Duration) -> Duration {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), Sample::default());
        }
        let sample = self.routes.get_mut(route).expect("just inserted");
        sample.record(patience);
        sample.usual.map_or(Duration::ZERO, |usual| {
            let spent = usual.saturating_sub(patience);
            match spent <= tolerance(usual) {
                true => Duration::ZERO,
                false => spent,
            }
        })
    }
}

impl QueuedRequest {
    /// Whether a response by `time` is still of full use to the caller.
    pub(super) fn is_on_target(&self, time: Time) -> bool {
        time <= self.standing.target
    }
}
