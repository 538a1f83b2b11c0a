//! Counts and latencies of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::send::Answer;
use super::{Settings, Shot};

/// Requests of one rank or club.
#[derive(Clone, Debug)]
pub struct Group {
    /// Requests planned and due.
    pub due: u64,
    /// Requests answered with a 2xx status.
    pub served: u64,
    /// Latency of served requests from their intended start, in microseconds.
    pub latency: Histogram<u64>,
}

/// Everything counted in a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// All requests.
    pub all: Group,
    /// Requests by rank.
    pub ranks: BTreeMap<String, Group>,
    /// Requests by club.
    pub clubs: BTreeMap<String, Group>,
    /// Answers by HTTP status.
    pub statuses: BTreeMap<u16, u64>,
    /// Answers by `medlar-code`.
    pub codes: BTreeMap<String, u64>,
    /// Answers by `medlar-outcome`.
    pub outcomes: BTreeMap<String, u64>,
    /// Requests without a complete answer, by cause.
    pub faults: BTreeMap<&'static str, u64>,
    /// Delay of the generator itself, in microseconds.
    pub lag: Histogram<u64>,
    settings: Settings,
}

/// Latency figures in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Requests planned and due.
    pub due: u64,
    /// Requests answered with a 2xx status.
    pub served: u64,
    /// Median latency.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Largest latency.
    pub max_ms: f64,
}

impl Report {
    /// Report of a run that has not begun.
    pub fn new(settings: &Settings) -> Report {
        Report {
            all: Group::new(),
            ranks: BTreeMap::new(),
            clubs: BTreeMap::new(),
            statuses: BTreeMap::new(),
            codes: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            faults: BTreeMap::new(),
            lag: histogram(),
            settings: settings.clone(),
        }
    }

    /// Adds the outcome of a request.
    pub fn record(&mut self, shot: &Shot, latency: Duration, answer: Answer) {
        let served = matches!(
            answer,
            Answer::Complete {
                status: 200..=299,
                ..
            }
        );
        let latency = served.then_some(latency);
        self.all.add(latency);
        group(&mut self.ranks, shot.rank.text()).add(latency);
        if let Some(club) = self.settings.clubs.value(shot.club) {
            group(&mut self.clubs, club).add(latency);
        }
        self.count(answer);
    }

    /// Adds the delay with which the generator started a request.
    pub fn record_lag(&mut self, lag: Duration) {
        self.lag.saturating_record(micros(lag));
    }

    fn count(&mut self, answer: Answer) {
        let fault = match answer {
            Answer::Complete {
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
            Answer::Unconnected => "unconnected",
            Answer::Broken => "broken",
            Answer::TimedOut => "timed-out",
            Answer::NotSent => "not-sent",
        };
        *self.faults.entry(fault).or_default() += 1;
    }
}

impl Group {
    fn new() -> Group {
        Group {
            due: 0,
            served: 0,
            latency: histogram(),
        }
    }

    fn add(&mut self, latency: Option<Duration>) {
        self.due += 1;
        if let Some(latency) = latency {
            self.served += 1;
            self.latency.saturating_record(micros(latency));
        }
    }

    /// Figures of the group.
    pub fn summary(&self) -> Summary {
        let at = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1e3;
        Summary {
            due: self.due,
            served: self.served,
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: self.latency.max() as f64 / 1e3,
        }
    }
}

fn group<'a>(groups: &'a mut BTreeMap<String, Group>, name: &str) -> &'a mut Group {
    groups.entry(name.to_owned()).or_insert_with(Group::new)
}

/// Histogram from 1 us to 10 minutes at three significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid")
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
