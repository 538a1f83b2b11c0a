//! Possible and intended owners of each shard.

use std::collections::BTreeSet;

use medlarreel_macros::data;

use super::{Holder, View};
use crate::fold::Place;
use crate::ids::{Epoch, Service, Shard, Upstream, Version};
use crate::record::ShardChange;
use crate::time::Time;

/// Upstreams that can be given shards.
type UsableUpstreams = BTreeSet<Upstream>;

/// Upstreams that may hold a shard.
#[data(plain)]
pub(super) enum Ownership {
    /// Unknown: the plan's owner or standby, or any of these claimants.
    Unknown(Vec<Upstream>),
    /// No upstream.
    Free,
    /// One upstream, which is to keep it.
    Held(Upstream, Epoch),
    /// One upstream, which is to lose it. The right ends once nothing older than the
    /// version can be in force there; `None` until that order has been issued.
    Ending(Upstream, Option<Version>),
}

impl Ownership {
    /// The only upstream that may hold the shard, if there is exactly one.
    pub(super) fn current_owner(&self) -> Option<Upstream> {
        match self {
            Ownership::Held(upstream, _) | Ownership::Ending(upstream, _) => Some(*upstream),
            Ownership::Unknown(_) | Ownership::Free => None,
        }
    }
}

/// Ownership of one shard of a keyed service.
#[data(plain)]
pub(super) struct ShardEntry {
    pub(super) ownership: Ownership,
    /// Plan version from which the shard deviates after a failover or an adoption;
    /// `None` if it follows the plan. Under that version it is not moved back to the
    /// planned owner.
    pub(super) pinned: Option<u32>,
}

/// Plan change that was appended and is not in the fold yet.
#[data(plain)]
pub(super) struct PendingPlan {
    pub(super) expected: u32,
    pub(super) changes: Vec<ShardChange>,
    pub(super) cause: String,
    pub(super) appended_at: Time,
}

/// All shards of a keyed service.
#[data(plain)]
pub(super) struct ShardTable {
    pub(super) entries: Vec<ShardEntry>,
    pub(super) pending: Option<PendingPlan>,
    /// Smoothed requests per review of each shard, times `SMOOTHING_DIVISOR`.
    pub(super) loads: Vec<u64>,
    /// When the plan was last reviewed.
    pub(super) planned_at: Time,
    /// Plan version and usable upstreams for which every shard is known to be where it
    /// is to be; no reconciliation is needed while they stay the same.
    steady_basis: Option<(u32, UsableUpstreams)>,
}

impl ShardTable {
    pub(super) fn new(shards: usize) -> ShardTable {
        let entry = ShardEntry {
            ownership: Ownership::Unknown(Vec::new()),
            pinned: None,
        };
        ShardTable {
            entries: vec![entry; shards],
            pending: None,
            loads: vec![0; shards],
            planned_at: Time(0),
            steady_basis: None,
        }
    }

    /// Whether every shard is held and no plan change is pending.
    fn is_steady(&self) -> bool {
        let mut entries = self.entries.iter();
        self.pending.is_none()
            && entries.all(|entry| matches!(entry.ownership, Ownership::Held(..)))
    }

    /// Whether the upstream is the shard's owner or standby in the log, and remains so if
    /// the pending change is accepted.
    fn is_owner_or_standby(&self, index: usize, place: Place, upstream: Upstream) -> bool {
        let named = |owner, standby| owner == Some(upstream) || standby == Some(upstream);
        let pending = self.pending.iter().flat_map(|pending| &pending.changes);
        let mut pending = pending.filter(|change| usize::from(change.index) == index);
        named(place.owner, place.standby)
            && pending.all(|change| named(Some(change.owner), change.standby))
    }
}

impl Holder {
    /// Moves every shard one step closer to its intended owner.
    pub(super) fn reconcile_shards(&mut self, view: &View) {
        let upstreams = view.upstreams.iter().copied();
        let usable: UsableUpstreams = upstreams
            .filter(|&key| self.is_upstream_usable(view, key))
            .collect();
        for &service in &view.keyed_services {
            let Some(mut table) = self.shard_tables.remove(&service) else {
                continue;
            };
            let basis = (view.state.service(service).plan.version, usable.clone());
            if table.steady_basis.as_ref() != Some(&basis) {
                for index in 0..table.entries.len() {
                    self.free_if_ended(view, service, index, &mut table);
                    self.reassign(view, &usable, service, index, &mut table);
                }
                table.steady_basis = table.is_steady().then_some(basis);
            }
            self.shard_tables.insert(service, table);
        }
    }

    /// Marks a shard as free once its former owner's right provably has ended.
    fn free_if_ended(
        &mut self,
        view: &View,
        service: Service,
        index: usize,
        table: &mut ShardTable,
    ) {
        let ownership = &table.entries[index].ownership;
        let free = match ownership {
            Ownership::Ending(upstream, Some(version)) => {
                self.has_right_ended(view, *upstream, *version)
            }
            Ownership::Unknown(claimants) => {
                let place = view.state.place(shard(service, index));
                self.is_shard_unowned(view, place, claimants)
            }
            Ownership::Ending(_, None) | Ownership::Held(..) | Ownership::Free => false,
        };
        if free {
            table.entries[index].ownership = Ownership::Free;
        }
    }

    /// Takes the shard from an upstream that is not to keep it, or assigns a free one.
    fn reassign(
        &mut self,
        view: &View,
        usable: &UsableUpstreams,
        service: Service,
        index: usize,
        table: &mut ShardTable,
    ) {
        let place = view.state.place(shard(service, index));
        let version = view.state.service(service).plan.version;
        let entry = &table.entries[index];
        match entry.ownership {
            Ownership::Held(upstream, _) => {
                let pinned = entry.pinned == Some(version);
                let wanted = preferred_owner(usable, place, Some(upstream), pinned);
                let other = wanted.filter(|&to| to != upstream);
                if other.is_some_and(|to| table.is_owner_or_standby(index, place, to)) {
                    self.target(upstream).shards.remove(&(index as u16));
                    table.entries[index].ownership = Ownership::Ending(upstream, None);
                }
            }
            Ownership::Free => {
                let wanted = preferred_owner(usable, place, None, false);
                if let Some(upstream) =
                    wanted.filter(|&to| table.is_owner_or_standby(index, place, to))
                {
                    let epoch = self.next_epoch();
                    self.target(upstream).shards.insert(index as u16, epoch);
                    let entry = &mut table.entries[index];
                    entry.ownership = Ownership::Held(upstream, epoch);
                    entry.pinned = (place.owner != Some(upstream)).then_some(version);
                }
            }
            Ownership::Unknown(_) | Ownership::Ending(..) => {}
        }
    }

    /// Whether the upstream can be given shards.
    pub(super) fn is_upstream_usable(&self, view: &View, upstream: Upstream) -> bool {
        let target = self.targets.get(&upstream);
        target.is_some_and(|target| target.is_usable(view.now))
    }

    /// Sets the version that ends the upstream's right to the shards it is to lose.
    pub(super) fn set_ending_version(
        &mut self,
        service: Service,
        upstream: Upstream,
        version: Version,
    ) {
        let Some(table) = self.shard_tables.get_mut(&service) else {
            return;
        };
        for entry in &mut table.entries {
            if entry.ownership == Ownership::Ending(upstream, None) {
                entry.ownership = Ownership::Ending(upstream, Some(version));
            }
        }
    }
}

/// The usable upstream that is to hold the shard: the planned owner, else the current
/// one, else the standby. A pinned shard stays with its current owner if possible.
fn preferred_owner(
    usable: &UsableUpstreams,
    place: Place,
    current: Option<Upstream>,
    pinned: bool,
) -> Option<Upstream> {
    let usable = |upstream: &Upstream| usable.contains(upstream);
    let usable_current = current.filter(usable);
    if pinned && usable_current.is_some() {
        return usable_current;
    }
    let owner = place.owner.filter(usable);
    let standby = place.standby.filter(usable);
    owner.or(usable_current).or(standby)
}

pub(super) fn shard(service: Service, index: usize) -> Shard {
    Shard {
        service,
        index: index as u16,
    }
}
