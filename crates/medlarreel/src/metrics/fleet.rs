//! Metrics of all instances and upstreams as seen from this instance.
//!
//! Gauges are computed when the metrics are read, so they cost nothing per request.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;

use medlarreel_core::fold::Place;
use medlarreel_core::ids::{Service, Shard, Upstream};
use medlarreel_core::preset::{RANK_COUNT, Rank};
use medlarreel_core::time::Time;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use crate::app::{App, Snapshot};

type FloatGauge = Gauge<f64, AtomicU64>;

/// Label of metrics of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// Label of metrics of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UpstreamLabel {
    upstream: String,
}

/// Label of metrics of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabel {
    rank: &'static str,
}

/// Metrics of shards, queues, slots and leases.
#[derive(Debug, Default)]
pub struct FleetMetrics {
    shard_imbalance: Family<ServiceLabel, FloatGauge>,
    shards_unavailable: Family<ServiceLabel, Gauge>,
    ownership_changes: Family<ServiceLabel, Counter>,
    queue_length: Family<RankLabel, Gauge>,
    slots_busy: Family<UpstreamLabel, Gauge>,
    slots_allowed: Family<UpstreamLabel, Gauge>,
    lease_left: Family<UpstreamLabel, FloatGauge>,
    log_reachable: Gauge,
}

impl FleetMetrics {
    /// Registers all metrics of the fleet.
    pub fn new(registry: &mut Registry) -> FleetMetrics {
        let fleet = FleetMetrics::default();
        let help = "Shards of the upstream with the most, over the mean";
        registry.register("shard_imbalance", help, fleet.shard_imbalance.clone());
        let help = "Shards without an owner that can be reached from here";
        registry.register("shards_unavailable", help, fleet.shards_unavailable.clone());
        let help = "Shards that changed their owner";
        registry.register("ownership_changes", help, fleet.ownership_changes.clone());
        let help = "Requests that wait for a slot here";
        registry.register("queue_length", help, fleet.queue_length.clone());
        let help = "Slots of the upstream in use by this dispatcher";
        registry.register("slots_busy", help, fleet.slots_busy.clone());
        let help = "Slots of the upstream that this dispatcher may use";
        registry.register("slots_allowed", help, fleet.slots_allowed.clone());
        let help = "Time until the right to send to the upstream ends";
        registry.register_with_unit("lease_left", help, Unit::Seconds, fleet.lease_left.clone());
        let help = "Whether the log service answers this instance";
        registry.register("log_reachable", help, fleet.log_reachable.clone());
        fleet
    }

    /// Counts the shards that had an owner in the first snapshot and have another owner
    /// or none in the second.
    pub fn count_ownership_changes(&self, before: &Snapshot, after: &Snapshot) {
        for service in after.state.services() {
            let Some(old_service) = before.state.service_named(&service.name) else {
                continue;
            };
            let old_plan = &before.state.service(old_service).plan;
            if old_plan.version == service.plan.version {
                continue;
            }
            let pairs = old_plan.places.iter().zip(&service.plan.places);
            // The first owner of a shard does not count as a change.
            let changed = pairs.filter(|(old, new)| old.owner.is_some() && old.owner != new.owner);
            let label = ServiceLabel {
                service: service.name.clone(),
            };
            let changed = changed.count() as u64;
            self.ownership_changes.get_or_create(&label).inc_by(changed);
        }
    }

    /// Updates all gauges.
    pub fn update(&self, app: &App, snapshot: &Snapshot) {
        let now = app.clock.now();
        self.log_reachable.set(i64::from(snapshot.log_reachable));
        self.update_services(app, snapshot, now);
        self.update_upstreams(snapshot, now);
        for (rank, count) in Rank::ALL.into_iter().zip(waiting_by_rank(snapshot)) {
            let label = RankLabel { rank: rank.text() };
            self.queue_length
                .get_or_create(&label)
                .set(i64::from(count));
        }
    }

    fn update_services(&self, app: &App, snapshot: &Snapshot, now: Time) {
        for (id, service) in (0..).map(Service).zip(snapshot.state.services()) {
            let places = &service.plan.places;
            let label = ServiceLabel {
                service: service.name.clone(),
            };
            if let Some(ratio) = shard_imbalance(places) {
                self.shard_imbalance.get_or_create(&label).set(ratio);
            }
            if snapshot.table.route(&service.name).is_some() && !places.is_empty() {
                let count = count_unavailable(app, snapshot, now, id, places);
                self.shards_unavailable
                    .get_or_create(&label)
                    .set(count as i64);
            }
        }
    }

    fn update_upstreams(&self, snapshot: &Snapshot, now: Time) {
        // A lane exists only while this instance dispatches for the upstream, so gauges
        // of former lanes are removed.
        self.slots_busy.clear();
        self.slots_allowed.clear();
        self.lease_left.clear();
        for (upstream, lane) in &snapshot.lanes {
            let Some(target) = snapshot.table.target(*upstream) else {
                continue;
            };
            let lane = lane.overview(now);
            let label = UpstreamLabel {
                upstream: target.name.clone(),
            };
            let left = lane.permit_left.unwrap_or_default().as_secs_f64();
            self.slots_busy.get_or_create(&label).set(lane.busy.into());
            self.slots_allowed
                .get_or_create(&label)
                .set(lane.slots.into());
            self.lease_left.get_or_create(&label).set(left);
        }
    }
}

/// Requests that wait for a slot at this dispatcher, by rank.
pub fn waiting_by_rank(snapshot: &Snapshot) -> [u32; RANK_COUNT] {
    let mut sum = [0; RANK_COUNT];
    for lane in snapshot.lanes.values() {
        for (sum, count) in sum.iter_mut().zip(lane.waiting_by_rank()) {
            *sum += count;
        }
    }
    sum
}

/// Ratio of the largest number of shards of one owner to the mean of all owners; `None`
/// if no shard has an owner. Upstreams without shards do not count.
pub fn shard_imbalance(places: &[Place]) -> Option<f64> {
    let mut owned = BTreeMap::new();
    for owner in places.iter().filter_map(|place| place.owner) {
        *owned.entry(owner).or_insert(0u32) += 1;
    }
    let largest = owned.values().max()?;
    let mean = f64::from(owned.values().sum::<u32>()) / owned.len() as f64;
    Some(f64::from(*largest) / mean)
}

/// Counts shards without an owner that is reachable from this instance.
fn count_unavailable(
    app: &App,
    snapshot: &Snapshot,
    now: Time,
    service: Service,
    places: &[Place],
) -> usize {
    let mut reachable_owners = BTreeMap::new();
    let mut is_served = |index: u16, owner: Upstream| {
        if let Some(lane) = snapshot.lanes.get(&owner) {
            let shard = Shard { service, index };
            return lane.check_permit(now, Some(shard)).is_ok();
        }
        *reachable_owners
            .entry(owner)
            .or_insert_with(|| has_reachable_dispatcher(app, snapshot, owner))
    };
    let places = (0..).zip(places);
    let unserved = places.filter(|(index, place)| {
        let owner = place.owner;
        owner.is_none_or(|owner| !is_served(*index, owner))
    });
    unserved.count()
}

/// Whether another instance that may dispatch for the upstream can be reached.
fn has_reachable_dispatcher(app: &App, snapshot: &Snapshot, upstream: Upstream) -> bool {
    let target = snapshot.table.target(upstream);
    let mut dispatchers = target.into_iter().flat_map(|target| &target.dispatchers);
    dispatchers.any(|instance| {
        let pool = snapshot.peer(*instance);
        *instance != app.me && pool.is_some_and(|pool| !pool.recently_failed())
    })
}
