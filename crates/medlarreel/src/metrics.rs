//! Metrics of an instance, exposed as OpenMetrics text on the operators' address.

use std::collections::HashMap;
use std::sync::RwLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use medlarreel_core::code::{Code, Outcome};
use medlarreel_core::preset::{RANK_COUNT, Rank};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::app::{App, Snapshot};
use crate::dispatch::BufferedResponse;
use crate::operators::status::RankCounts;
use crate::proxy::{Call, Refusal};

pub mod fleet;

use fleet::FleetMetrics;

/// Upper bound of the smallest latency bucket, in seconds.
const FIRST_LATENCY_BUCKET_SECONDS: f64 = 0.000_25;
/// Ratio between neighbouring latency buckets.
const LATENCY_BUCKET_RATIO: f64 = 2.0;
/// Number of latency buckets; the largest bound is about 16 s.
const LATENCY_BUCKET_COUNT: u16 = 17;

/// Labels of the request counter. For a request that was refused before it could be
/// parsed, all but the code are empty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the service.
    pub service: String,
    /// Rank of the request.
    pub rank: &'static str,
    /// Club of the caller.
    pub club: String,
    /// Number of the result code; 0 for a response of an upstream.
    pub code: u32,
}

/// Labels of the latency histogram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LatencyLabels {
    /// Name of the service.
    pub service: String,
    /// Rank of the request.
    pub rank: &'static str,
}

/// Label of control events and control state, which have only a name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EventLabels {
    /// Name of the event or state.
    pub event: &'static str,
}

/// Counters of one rank since the start of the process. `unknown` includes requests that
/// are known to have failed.
#[derive(Debug, Default)]
struct RankCounters {
    answered: AtomicU64,
    refused: AtomicU64,
    unknown: AtomicU64,
}

/// Metrics of one service, cached when they are first recorded, so that recording them
/// again allocates no labels.
#[derive(Debug, Default)]
struct ServiceHandles {
    latency: HashMap<Rank, Histogram>,
    /// Request counters by club, then by rank and result code.
    requests: HashMap<String, HashMap<(Rank, u16), Counter>>,
}

/// Metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    handles: RwLock<HashMap<String, ServiceHandles>>,
    fleet: FleetMetrics,
    ranks: [RankCounters; RANK_COUNT],
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    events: Family<EventLabels, Counter>,
    gauges: Family<EventLabels, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_LATENCY_BUCKET_SECONDS,
        LATENCY_BUCKET_RATIO,
        LATENCY_BUCKET_COUNT,
    ))
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("medlarreel");
        let requests = Family::default();
        let new_histogram: fn() -> Histogram = latency_histogram;
        let latency = Family::new_with_constructor(new_histogram);
        let events = Family::default();
        let gauges = Family::default();
        registry.register(
            "requests",
            "Finished requests by result code",
            requests.clone(),
        );
        let help = "Time from arrival to answer";
        registry.register_with_unit("latency", help, Unit::Seconds, latency.clone());
        registry.register("events", "Control events", events.clone());
        registry.register("state", "Control state", gauges.clone());
        let ranks = Default::default();
        let fleet = FleetMetrics::new(&mut registry);
        Metrics {
            handles: RwLock::default(),
            fleet,
            ranks,
            registry,
            requests,
            latency,
            events,
            gauges,
        }
    }

    /// Counts a request that was refused before it could be parsed.
    pub fn count_unparsed_refusal(&self, code: Code) {
        let labels = RequestLabels {
            service: String::new(),
            rank: "",
            club: String::new(),
            code: u32::from(code.number()),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the outcome and latency of a finished request.
    pub fn record_finished(
        &self,
        call: &Call,
        outcome: &Result<BufferedResponse, Refusal>,
        latency: Duration,
    ) {
        self.rank_counter(call.rank, outcome)
            .fetch_add(1, Ordering::Relaxed);
        let code = outcome
            .as_ref()
            .err()
            .map_or(0, |refusal| refusal.code.number());
        if !self.try_record(call, code, latency) {
            self.create_handles(call, code);
            self.try_record(call, code, latency);
        }
    }

    /// Records with existing handles; returns false if they do not exist yet.
    fn try_record(&self, call: &Call, code: u16, latency: Duration) -> bool {
        let handles = self.handles.read();
        let handles = handles.unwrap_or_else(|poisoned| poisoned.into_inner());
        let found = handles.get(&call.service).and_then(|service| {
            let counter = service.requests.get(&call.club)?.get(&(call.rank, code))?;
            Some((counter, service.latency.get(&call.rank)?))
        });
        let Some((counter, histogram)) = found else {
            return false;
        };
        counter.inc();
        histogram.observe(latency.as_secs_f64());
        true
    }

    fn create_handles(&self, call: &Call, code: u16) {
        let (service, club, rank) = (call.service.clone(), call.club.clone(), call.rank);
        let labels = RequestLabels {
            service: service.clone(),
            rank: rank.text(),
            club: club.clone(),
            code: u32::from(code),
        };
        let counter = self.requests.get_or_create(&labels).clone();
        let labels = LatencyLabels {
            service: service.clone(),
            rank: rank.text(),
        };
        let latency = self.latency.get_or_create(&labels).clone();
        let handles = self.handles.write();
        let mut handles = handles.unwrap_or_else(|poisoned| poisoned.into_inner());
        let service = handles.entry(service).or_default();
        service.latency.insert(rank, latency);
        let club = service.requests.entry(club).or_default();
        club.insert((rank, code), counter);
    }

    /// Counts the shards that had an owner in the first of two successive snapshots and
    /// have another owner or none in the second.
    pub fn count_ownership_changes(&self, before: &Snapshot, after: &Snapshot) {
        self.fleet.count_ownership_changes(before, after);
    }

    fn rank_counter(&self, rank: Rank, outcome: &Result<BufferedResponse, Refusal>) -> &AtomicU64 {
        let counts = &self.ranks[rank.index()];
        match outcome {
            Ok(_) => &counts.answered,
            Err(refusal) if refusal.outcome == Outcome::NotRun => &counts.refused,
            Err(_) => &counts.unknown,
        }
    }

    /// Requests of each rank since the start of the process, most urgent rank first. The
    /// numbers of waiting requests are left at 0.
    pub fn counts_by_rank(&self) -> Vec<RankCounts> {
        let ranks = self.ranks.iter().zip(Rank::ALL);
        let counts = ranks.map(|(counts, rank)| RankCounts {
            answered: counts.answered.load(Ordering::Relaxed),
            refused: counts.refused.load(Ordering::Relaxed),
            unknown: counts.unknown.load(Ordering::Relaxed),
            ..RankCounts::zero(rank)
        });
        counts.collect()
    }

    /// Counts a control event.
    pub fn count_event(&self, event: &'static str) {
        self.events.get_or_create(&EventLabels { event }).inc();
    }

    /// Sets a gauge of the control state.
    pub fn set_state(&self, name: &'static str, value: i64) {
        self.gauges
            .get_or_create(&EventLabels { event: name })
            .set(value);
    }

    /// Updates the gauges of the fleet and encodes all metrics as OpenMetrics text; empty
    /// if encoding fails.
    pub fn encode(&self, app: &App, snapshot: &Snapshot) -> String {
        self.fleet.update(app, snapshot);
        let mut text = String::new();
        match prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }
}
