//! Publishing of snapshots to the traffic threads.

use std::collections::HashMap;
use std::sync::Arc;

use medlarreel_core::admission::Limits;
use medlarreel_core::fold::State;
use medlarreel_core::ids::{Instance, Offset, Upstream};
use medlarreel_core::machine::Traffic;
use medlarreel_core::preset::{Fencing, Preset, ServiceLimits};
use medlarreel_core::route::RoutingTable;

use super::ControlThread;
use crate::app::Snapshot;
use crate::dispatch::{Lane, Lanes, Permit, Pool};

/// Maximum number of connections to one peer.
const MAX_PEER_CONNECTIONS: usize = 256;

/// Contents of the last published snapshot, kept to detect changes and to reuse lanes
/// and connection pools. Retired lanes are kept too, until they have closed.
#[derive(Debug, Default)]
pub(super) struct PublishedContents {
    next_offset: Option<Offset>,
    holder: Option<Instance>,
    established: bool,
    log_reachable: bool,
    lanes: Lanes,
    peers: HashMap<Instance, Arc<Pool>>,
}

impl PublishedContents {
    /// Returns the current use of each upstream and the requests served since the last
    /// call.
    pub(super) fn take_traffic(&mut self) -> Vec<(Upstream, Traffic)> {
        self.lanes.take_traffic()
    }
}

impl ControlThread {
    /// Updates the permits, and publishes a snapshot if anything else has changed.
    pub(super) fn publish(&mut self) {
        let state = Arc::clone(self.machine.state());
        let lanes_changed = self.update_lanes(&state);
        let holder = self.machine.holder(self.now());
        let established = self.machine.is_established();
        let last = &self.published;
        let unchanged = last.next_offset == Some(state.next_offset())
            && last.holder == holder
            && last.established == established
            && last.log_reachable == self.log_reachable;
        if unchanged && !lanes_changed {
            return;
        }
        self.report_changes(&state, holder);
        self.published.next_offset = Some(state.next_offset());
        self.published.holder = holder;
        self.published.established = established;
        self.published.log_reachable = self.log_reachable;
        let table = RoutingTable::new(&state);
        self.update_peers(&state);
        if let Some(preset) = &table.preset {
            self.app.retry_budget.set_percent(preset.retry);
        }
        let upstreams = (0..state.upstreams().len() as u32).map(Upstream);
        self.addresses = upstreams
            .map(|upstream| (upstream, state.upstream(upstream).spec.address))
            .collect();
        self.app.publish(Snapshot {
            established,
            log_reachable: self.log_reachable,
            state,
            holder,
            table,
            lanes: self.published.lanes.active().clone(),
            peers: self.published.peers.clone(),
        });
    }

    /// Updates gauges and logs changes of state.
    fn report_changes(&self, state: &State, holder: Option<Instance>) {
        let metrics = &self.app.metrics;
        metrics.set_state("next_offset", state.next_offset().0 as i64);
        let activation = state.active_preset().map_or(0, |active| active.count);
        metrics.set_state("activation", i64::from(activation));
        metrics.set_state("lanes", self.published.lanes.active().len() as i64);
        let me = self.app.me;
        metrics.set_state("holds_control", i64::from(holder == Some(me)));
        if self.published.holder != holder {
            let id = holder.map_or(0, |instance| instance.0);
            tracing::info!(
                holder = id,
                mine = holder == Some(me),
                "control holder changed"
            );
        }
        if self.published.log_reachable != self.log_reachable {
            tracing::info!(
                reachable = self.log_reachable,
                "log service reachability changed"
            );
        }
        if self.machine.is_established() && !self.published.established {
            tracing::info!(next = state.next_offset().0, "state established");
        }
    }

    /// Updates the connection pools to match the members of all clubs.
    fn update_peers(&mut self, state: &State) {
        let members = state.clubs().iter().flat_map(|club| &club.members);
        let old = std::mem::take(&mut self.published.peers);
        let pools = members.map(|member| {
            let known = old.get(&member.instance).cloned();
            let pool =
                known.unwrap_or_else(|| Arc::new(Pool::new(member.peers, MAX_PEER_CONNECTIONS)));
            (member.instance, pool)
        });
        self.published.peers = pools.collect();
    }

    /// Updates the lanes to match the dispatcher's assignments; true if the set of
    /// lanes has changed.
    fn update_lanes(&mut self, state: &State) -> bool {
        let Some(preset) = state
            .active_preset()
            .map(|active| Arc::clone(&active.preset))
        else {
            return false;
        };
        let now = self.now();
        let mut changed = false;
        let mut kept = HashMap::new();
        for (assignment, until) in self.machine.dispatcher().sendable_assignments(now) {
            let entry = state.upstream(assignment.upstream);
            let Some(service) = preset.service(&entry.spec.service) else {
                continue;
            };
            let limits = queue_limits(state, &preset, service, assignment.allowance);
            let (upstream, address) = (assignment.upstream, entry.spec.address);
            let known = self.published.lanes.find(upstream, address);
            let lane = known.unwrap_or_else(|| {
                let pool = Pool::new(address, usize::from(service.connections));
                Arc::new(Lane::new(pool, limits.clone()))
            });
            let shards = assignment
                .shards
                .iter()
                .map(|(shard, epoch)| (shard.index, *epoch));
            let permit = Permit {
                until,
                shards: shards.collect(),
                slots: assignment.allowance,
                // An upstream that checks grants may also receive requests from the
                // backup dispatcher.
                exclusive: assignment.fencing == Fencing::Unchecked || assignment.backup.is_none(),
            };
            lane.update_permit(now, permit, limits);
            let current = self.published.lanes.active().get(&upstream);
            changed |= current.is_none_or(|current| !Arc::ptr_eq(current, &lane));
            kept.insert(upstream, lane);
        }
        changed |= kept.len() != self.published.lanes.active().len();
        self.published.lanes.replace_active(kept);
        changed
    }
}

fn queue_limits(state: &State, preset: &Preset, service: &ServiceLimits, allowance: u16) -> Limits {
    let clubs = preset.clubs.iter();
    let weights = clubs.filter_map(|club| Some((state.club_named(&club.name)?, club.weight)));
    Limits {
        max_waiting: service.queue,
        slots: allowance.min(service.slots),
        floor_percents: preset.ranks.clone().map(|rank| rank.floor),
        weights: weights.collect(),
    }
}
