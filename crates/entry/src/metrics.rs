//! Prometheus metrics of one instance.

use std::fmt::{self, Write};

use medlarreel_core::entry::queue::Reason;
use medlarreel_core::entry::queue::arrival::Arrival;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Name that operators have chosen. It is escaped when it is written, since the library writes
/// the values of labels as they are.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Name(String);

impl EncodeLabelValue for Name {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        for character in self.0.chars() {
            match character {
                '\\' => encoder.write_str("\\\\")?,
                '"' => encoder.write_str("\\\"")?,
                '\n' => encoder.write_str("\\n")?,
                other => encoder.write_char(other)?,
            }
        }
        Ok(())
    }
}

/// Labels of a metric of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the route; `-` if the request was not matched to one.
    pub route: Name,
    /// How the request ended, why it was refused or sent again, or how it arrived.
    pub outcome: String,
}

/// Labels of a metric of calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Kind of the call: `config` and `directory` for reads of these topics, `lead` for
    /// writes of the leader, `grant` and `release` for orders to upstreams.
    pub kind: &'static str,
    /// How the call ended: `done` or `failed` for calls to the store; `done`, `fenced`,
    /// `not_sent` or `unknown` for orders.
    pub outcome: &'static str,
}

/// All metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by route and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Refusals before a send, by route and reason.
    pub refusals: Family<RequestLabels, Counter>,
    /// Requests by route and by what is known of their callers.
    pub arrivals: Family<RequestLabels, Counter>,
    /// Answers after the target of the route, by route and by what is known of the caller.
    pub late_answers: Family<RequestLabels, Counter>,
    /// Requests that were sent again, by route and reason.
    pub resends: Family<RequestLabels, Counter>,
    /// Calls to the store and orders to upstreams, by kind and outcome.
    pub calls: Family<CallLabels, Counter>,
    /// Time from the arrival of a routed request to its response, in seconds.
    pub latency: Histogram,
    /// Queued requests.
    pub waiting_requests: Gauge,
    /// Upstreams of services without keys that this instance prefers.
    pub preferred_upstreams: Gauge,
    /// Connections that were opened to upstreams.
    pub connections_opened: Counter,
    /// Connections that an upstream at its limit reset before anything was sent.
    pub connections_refused: Counter,
    /// Upstreams that are known to limit their rate, also because they are cold.
    pub limited_upstreams: Gauge,
    /// Cold upstreams whose service names a rate for them.
    pub cold_upstreams: Gauge,
    /// Permits that this instance has granted as the leader.
    pub permits_granted: Counter,
    /// Requests under which upstreams have ended since they were last answered, also blocked
    /// ones.
    pub suspected_requests: Gauge,
    /// Requests that are blocked because upstreams have ended under them.
    pub blocked_requests: Gauge,
    /// Failure domains that the operator has evacuated.
    pub evacuated_domains: Gauge,
    /// Keys of all services that upstreams of these domains own.
    pub evacuated_keys: Gauge,
    /// Version of the configuration in force; 0 before the first.
    pub config_version: Gauge,
    /// Epoch of the leader.
    pub epoch: Gauge,
    /// 1 if this instance is the leader, otherwise 0.
    pub is_leader: Gauge,
    /// Other instances that are known.
    pub members: Gauge,
    /// Times that the store has come back from a copy.
    pub store_restores: Counter,
    /// Bytes that bodies and connections of callers hold.
    pub held_bytes: Gauge,
    /// Bytes of large responses that are expected or wait for the link.
    pub link_pending_bytes: Gauge,
    /// Open connections of callers.
    pub connections: Gauge,
    /// Bodies that were given up because memory was short.
    pub evictions: Counter,
    /// Connections that were refused because descriptors had run out.
    pub refused_connections: Counter,
    /// Connections that were closed because their callers did not read.
    pub unread_connections: Counter,
    /// Log lines that were dropped because the buffer was full.
    pub log_lines_dropped: Counter,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("medlarreel");
        // Buckets from 2 ms to 16 s, the range of deadlines.
        let latency = Histogram::new(exponential_buckets(0.002, 2.0, 14));
        let metrics = Metrics {
            registry: Registry::default(),
            requests: Family::default(),
            refusals: Family::default(),
            arrivals: Family::default(),
            late_answers: Family::default(),
            resends: Family::default(),
            calls: Family::default(),
            latency,
            waiting_requests: Gauge::default(),
            preferred_upstreams: Gauge::default(),
            connections_opened: Counter::default(),
            connections_refused: Counter::default(),
            limited_upstreams: Gauge::default(),
            cold_upstreams: Gauge::default(),
            permits_granted: Counter::default(),
            suspected_requests: Gauge::default(),
            blocked_requests: Gauge::default(),
            evacuated_domains: Gauge::default(),
            evacuated_keys: Gauge::default(),
            config_version: Gauge::default(),
            epoch: Gauge::default(),
            is_leader: Gauge::default(),
            members: Gauge::default(),
            store_restores: Counter::default(),
            held_bytes: Gauge::default(),
            link_pending_bytes: Gauge::default(),
            connections: Gauge::default(),
            evictions: Counter::default(),
            refused_connections: Counter::default(),
            unread_connections: Counter::default(),
            log_lines_dropped: Counter::default(),
        };
        registry.register(
            "requests",
            "Requests by route and outcome",
            metrics.requests.clone(),
        );
        registry.register(
            "refusals",
            "Refusals before a send by route and reason",
            metrics.refusals.clone(),
        );
        registry.register(
            "arrivals",
            "Requests by route and by whether their caller returns",
            metrics.arrivals.clone(),
        );
        registry.register(
            "late_answers",
            "Answers after the target by route and by whether their caller returns",
            metrics.late_answers.clone(),
        );
        registry.register(
            "resends",
            "Second sends by route and reason",
            metrics.resends.clone(),
        );
        registry.register("calls", "Calls by kind and outcome", metrics.calls.clone());
        registry.register(
            "latency_seconds",
            "Arrival to answer",
            metrics.latency.clone(),
        );
        registry.register(
            "waiting",
            "Requests that wait",
            metrics.waiting_requests.clone(),
        );
        registry.register(
            "preferred_upstreams",
            "Upstreams of services without keys that this instance prefers",
            metrics.preferred_upstreams.clone(),
        );
        registry.register(
            "connections_opened",
            "Connections opened to upstreams",
            metrics.connections_opened.clone(),
        );
        registry.register(
            "connections_refused",
            "Connections reset by upstreams at their limit before a request was sent",
            metrics.connections_refused.clone(),
        );
        registry.register(
            "limited_upstreams",
            "Upstreams that limit the rate of requests",
            metrics.limited_upstreams.clone(),
        );
        registry.register(
            "cold_upstreams",
            "Cold upstreams of limited rate",
            metrics.cold_upstreams.clone(),
        );
        registry.register(
            "permits_granted",
            "Permits granted as the leader",
            metrics.permits_granted.clone(),
        );
        registry.register(
            "suspected_requests",
            "Requests under which upstreams ended since they were answered",
            metrics.suspected_requests.clone(),
        );
        registry.register(
            "blocked_requests",
            "Requests that are blocked because upstreams ended under them",
            metrics.blocked_requests.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains that the operator has evacuated",
            metrics.evacuated_domains.clone(),
        );
        registry.register(
            "evacuated_keys",
            "Keys that upstreams of evacuated failure domains own",
            metrics.evacuated_keys.clone(),
        );
        registry.register(
            "config_version",
            "Configuration in force",
            metrics.config_version.clone(),
        );
        registry.register("epoch", "Epoch of the leader", metrics.epoch.clone());
        registry.register(
            "leads",
            "Whether this instance leads",
            metrics.is_leader.clone(),
        );
        registry.register(
            "members",
            "Other instances that are known",
            metrics.members.clone(),
        );
        registry.register(
            "store_restores",
            "Times that the store came back from a copy",
            metrics.store_restores.clone(),
        );
        registry.register(
            "held_bytes",
            "Bytes that bodies and connections of callers hold",
            metrics.held_bytes.clone(),
        );
        registry.register(
            "link_pending_bytes",
            "Bytes of large responses that are expected or wait for the link",
            metrics.link_pending_bytes.clone(),
        );
        registry.register(
            "connections",
            "Open connections of callers",
            metrics.connections.clone(),
        );
        registry.register(
            "evictions",
            "Bodies given up because memory was short",
            metrics.evictions.clone(),
        );
        registry.register(
            "refused_connections",
            "Connections refused because descriptors had run out",
            metrics.refused_connections.clone(),
        );
        registry.register(
            "unread_connections",
            "Connections closed because their callers did not read",
            metrics.unread_connections.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines that were dropped",
            metrics.log_lines_dropped.clone(),
        );
        Metrics {
            registry,
            ..metrics
        }
    }
}

impl RequestLabels {
    fn new(route: &str, outcome: &str) -> RequestLabels {
        RequestLabels {
            route: Name(route.to_owned()),
            outcome: outcome.to_owned(),
        }
    }
}

impl Metrics {
    /// Counts a finished call to the store or order to an upstream.
    pub fn count_call(&self, kind: &'static str, outcome: &'static str) {
        self.calls
            .get_or_create(&CallLabels { kind, outcome })
            .inc();
    }

    /// Counts the end of a request.
    pub fn count_request(&self, route: &str, outcome: &str) {
        self.requests
            .get_or_create(&RequestLabels::new(route, outcome))
            .inc();
    }

    /// Counts a request that is refused before it is sent.
    pub fn count_refusal(&self, route: &str, reason: Reason) {
        let labels = RequestLabels::new(route, &format!("{reason:?}"));
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a request by what is known of its caller.
    pub fn count_arrival(&self, route: &str, arrival: Arrival) {
        let labels = RequestLabels::new(route, &format!("{arrival:?}"));
        self.arrivals.get_or_create(&labels).inc();
    }

    /// Counts an answer after the target of its route.
    pub fn count_late_answer(&self, route: &str, arrival: Arrival) {
        let labels = RequestLabels::new(route, &format!("{arrival:?}"));
        self.late_answers.get_or_create(&labels).inc();
    }

    /// Counts a request that is sent again. `reason` becomes its `outcome` label.
    pub fn count_resend(&self, route: &str, reason: &str) {
        self.resends
            .get_or_create(&RequestLabels::new(route, reason))
            .inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
