//! Request counts and latencies of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::send::SendResult;
use super::{PlannedRequest, Settings};

/// Counts and latencies of all requests, or of one rank or club.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Scheduled requests that were due, including those not sent.
    pub due: u64,
    /// Requests answered with a 2xx status.
    pub served: u64,
    /// Latency of served requests from their intended start, in microseconds.
    pub latency_us: Histogram<u64>,
}

/// Counts and latencies of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// All requests.
    pub all: Stats,
    /// Requests by rank; ranks without requests are left out.
    pub ranks: BTreeMap<String, Stats>,
    /// Requests by club; empty if the settings name no club.
    pub clubs: BTreeMap<String, Stats>,
    /// Responses by HTTP status.
    pub statuses: BTreeMap<u16, u64>,
    /// Responses by `medlar-code`.
    pub codes: BTreeMap<String, u64>,
    /// Responses by `medlar-outcome`.
    pub outcomes: BTreeMap<String, u64>,
    /// Requests without a complete response, by cause.
    pub unanswered: BTreeMap<&'static str, u64>,
    /// Delay between the intended and the actual start of requests, in microseconds.
    pub lag_us: Histogram<u64>,
    settings: Settings,
}

/// Request counts, and latencies of served requests in milliseconds; the latencies are
/// 0 if none was served.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Scheduled requests that were due, including those not sent.
    pub due: u64,
    /// Requests answered with a 2xx status.
    pub served: u64,
    /// Median latency.
    pub p50_ms: f64,
    /// 90th percentile of the latency.
    pub p90_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// Largest latency.
    pub max_ms: f64,
}

impl Report {
    /// Creates the report of a run that has not started.
    pub fn new(settings: &Settings) -> Report {
        Report {
            all: Stats::new(),
            ranks: BTreeMap::new(),
            clubs: BTreeMap::new(),
            statuses: BTreeMap::new(),
            codes: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            lag_us: new_histogram(),
            settings: settings.clone(),
        }
    }

    /// Records the result of a request. `latency` counts from the intended start and is
    /// kept only if the request was served.
    pub fn record(&mut self, request: &PlannedRequest, latency: Duration, result: SendResult) {
        let served = matches!(
            result,
            SendResult::Complete {
                status: 200..=299,
                ..
            }
        );
        let latency = served.then_some(latency);
        self.all.record(latency);
        stats_entry(&mut self.ranks, request.rank.text()).record(latency);
        if let Some(club) = self.settings.clubs.value(request.club_index) {
            stats_entry(&mut self.clubs, club).record(latency);
        }
        self.count_result(result);
    }

    /// Records how late the generator started a request.
    pub fn record_lag(&mut self, lag: Duration) {
        self.lag_us.saturating_record(saturating_micros(lag));
    }

    fn count_result(&mut self, result: SendResult) {
        let cause = match result {
            SendResult::Complete {
                status,
                code,
                outcome,
            } => {
                *self.statuses.entry(status).or_default() += 1;
                code.into_iter()
                    .for_each(|code| *self.codes.entry(code).or_default() += 1);
                outcome
                    .into_iter()
                    .for_each(|outcome| *self.outcomes.entry(outcome).or_default() += 1);
                return;
            }
            SendResult::ConnectFailed => "unconnected",
            SendResult::ConnectionLost => "broken",
            SendResult::TimedOut => "timed-out",
            SendResult::NotSent => "not-sent",
        };
        *self.unanswered.entry(cause).or_default() += 1;
    }
}

impl Stats {
    fn new() -> Stats {
        Stats {
            due: 0,
            served: 0,
            latency_us: new_histogram(),
        }
    }

    fn record(&mut self, latency: Option<Duration>) {
        self.due += 1;
        if let Some(latency) = latency {
            self.served += 1;
            self.latency_us
                .saturating_record(saturating_micros(latency));
        }
    }

    /// Counts and latency percentiles for output.
    pub fn summary(&self) -> Summary {
        let quantile_ms = |quantile| self.latency_us.value_at_quantile(quantile) as f64 / 1e3;
        Summary {
            due: self.due,
            served: self.served,
            p50_ms: quantile_ms(0.5),
            p90_ms: quantile_ms(0.9),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            max_ms: self.latency_us.max() as f64 / 1e3,
        }
    }
}

fn stats_entry<'a>(groups: &'a mut BTreeMap<String, Stats>, name: &str) -> &'a mut Stats {
    groups.entry(name.to_owned()).or_insert_with(Stats::new)
}

/// Histogram of microseconds from 1 us to 10 minutes with three significant digits.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid")
}

fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
