//! What operators measure of the fleet, as seen from this instance.
//!
//! Gauges are computed when they are read, so they cost nothing per request.

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

type Ratio = Gauge<f64, AtomicU64>;

/// Label of a service's figures.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// Label of an upstream's figures.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UpstreamLabel {
    upstream: String,
}

/// Label of a rank's figures.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabel {
    rank: &'static str,
}

/// Figures of the fleet.
#[derive(Debug, Default)]
pub struct FleetMetrics {
    imbalance: Family<ServiceLabel, Ratio>,
    unavailable: Family<ServiceLabel, Gauge>,
    changes: Family<ServiceLabel, Counter>,
    waiting: Family<RankLabel, Gauge>,
    busy: Family<UpstreamLabel, Gauge>,
    allowed: Family<UpstreamLabel, Gauge>,
    lease: Family<UpstreamLabel, Ratio>,
    log: Gauge,
}

impl FleetMetrics {
    /// Registers all figures.
    pub fn new(registry: &mut Registry) -> FleetMetrics {
        let fleet = FleetMetrics::default();
        let text = "Shards of the upstream with the most, over the mean";
        registry.register("shard_imbalance", text, fleet.imbalance.clone());
        let text = "Shards without an owner that can be reached from here";
        registry.register("shards_unavailable", text, fleet.unavailable.clone());
        let text = "Shards that changed their owner";
        registry.register("ownership_changes", text, fleet.changes.clone());
        let text = "Requests that wait for a slot here";
        registry.register("queue_length", text, fleet.waiting.clone());
        let text = "Slots of the upstream in use by this dispatcher";
        registry.register("slots_busy", text, fleet.busy.clone());
        let text = "Slots of the upstream that this dispatcher may use";
        registry.register("slots_allowed", text, fleet.allowed.clone());
        let text = "Time until the right to send to the upstream ends";
        registry.register_with_unit("lease_left", text, Unit::Seconds, fleet.lease.clone());
        let text = "Whether the log service answers this instance";
        registry.register("log_reachable", text, fleet.log.clone());
        fleet
    }

    /// Counts the shards whose owner differs between two snapshots.
    pub fn count_changes(&self, before: &Snapshot, after: &Snapshot) {
        for service in after.state.services() {
            let Some(known) = before.state.service_named(&service.name) else {
                continue;
            };
            let known = &before.state.service(known).plan;
            if known.version == service.plan.version {
                continue;
            }
            let pairs = known.places.iter().zip(&service.plan.places);
            // The first owner of a shard is no change.
            let changed = pairs.filter(|(old, new)| old.owner.is_some() && old.owner != new.owner);
            let label = ServiceLabel {
                service: service.name.clone(),
            };
            let changed = changed.count() as u64;
            self.changes.get_or_create(&label).inc_by(changed);
        }
    }

    /// Computes the gauges.
    pub fn update(&self, app: &App, snapshot: &Snapshot) {
        let now = app.clock.now();
        self.log.set(i64::from(snapshot.log_reachable));
        self.update_services(app, snapshot, now);
        self.update_upstreams(snapshot, now);
        for (rank, count) in Rank::ALL.into_iter().zip(waiting_by_rank(snapshot)) {
            let label = RankLabel { rank: rank.text() };
            self.waiting.get_or_create(&label).set(i64::from(count));
        }
    }

    fn update_services(&self, app: &App, snapshot: &Snapshot, now: Time) {
        for (key, service) in (0..).map(Service).zip(snapshot.state.services()) {
            let places = &service.plan.places;
            let label = ServiceLabel {
                service: service.name.clone(),
            };
            if let Some(ratio) = shard_imbalance(places) {
                self.imbalance.get_or_create(&label).set(ratio);
            }
            if snapshot.table.route(&service.name).is_some() && !places.is_empty() {
                let count = unavailable(app, snapshot, now, key, places);
                self.unavailable.get_or_create(&label).set(count as i64);
            }
        }
    }

    fn update_upstreams(&self, snapshot: &Snapshot, now: Time) {
        // Lanes come and go with the dispatcher's duties.
        self.busy.clear();
        self.allowed.clear();
        self.lease.clear();
        for (upstream, lane) in &snapshot.lanes {
            let Some(target) = snapshot.table.target(*upstream) else {
                continue;
            };
            let lane = lane.overview(now);
            let label = UpstreamLabel {
                upstream: target.name.clone(),
            };
            let left = lane.permit_left.unwrap_or_default().as_secs_f64();
            self.busy.get_or_create(&label).set(lane.busy.into());
            self.allowed.get_or_create(&label).set(lane.slots.into());
            self.lease.get_or_create(&label).set(left);
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

/// Largest number of shards of one owner, over the mean of all owners.
pub fn shard_imbalance(places: &[Place]) -> Option<f64> {
    let mut owned = BTreeMap::new();
    for owner in places.iter().filter_map(|place| place.owner) {
        *owned.entry(owner).or_insert(0u32) += 1;
    }
    let most = owned.values().max()?;
    let mean = f64::from(owned.values().sum::<u32>()) / owned.len() as f64;
    Some(f64::from(*most) / mean)
}

fn unavailable(
    app: &App,
    snapshot: &Snapshot,
    now: Time,
    service: Service,
    places: &[Place],
) -> usize {
    let mut known = BTreeMap::new();
    let mut served = |index: u16, owner: Upstream| {
        if let Some(lane) = snapshot.lanes.get(&owner) {
            let shard = Shard { service, index };
            return lane.check_permit(now, Some(shard)).is_ok();
        }
        *known
            .entry(owner)
            .or_insert_with(|| reachable(app, snapshot, owner))
    };
    let places = (0..).zip(places);
    let lacking = places.filter(|(index, place)| {
        let owner = place.owner;
        owner.is_none_or(|owner| !served(*index, owner))
    });
    lacking.count()
}

/// Whether another instance that may dispatch for the upstream can be reached.
fn reachable(app: &App, snapshot: &Snapshot, upstream: Upstream) -> bool {
    let target = snapshot.table.target(upstream);
    let mut likely = target.into_iter().flat_map(|target| &target.dispatchers);
    likely.any(|instance| {
        let pool = snapshot.peer(*instance);
        *instance != app.me && pool.is_some_and(|pool| !pool.recently_failed())
    })
}
