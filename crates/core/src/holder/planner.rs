//! Planning of shard placement after joins, leaves, losses and changes of load.

use std::time::Duration;

use super::journal::{REAPPEND_INTERVAL, is_due};
use super::shard_table::{Ownership, PendingPlan, ShardTable};
use super::{Holder, View};
use crate::fold::Place;
use crate::ids::{Service, Upstream};
use crate::placement::{self, Candidate};
use crate::record::{Body, ShardChange};
use crate::time::Time;

/// Interval at which a service's plan is reviewed.
const PLANNING_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an upstream must stay usable or unusable before its eligibility
/// follows, so that several joins or losses lead to one plan.
const ELIGIBILITY_DELAY: Duration = Duration::from_secs(1);

/// Limit of the changes in one record; keeps it far below the largest record size.
const MAX_CHANGES_PER_RECORD: usize = 8_192;

/// Divisor of the exponential smoothing of loads: each review replaces one sixteenth.
const SMOOTHING_DIVISOR: u64 = 16;

/// Requests per review that are added to the load of every shard, so that a few
/// requests do not look like an imbalance.
const PRIOR_REQUESTS: u64 = 30;

impl Holder {
    /// Appends a plan change for each service whose plan no longer fits.
    pub(super) fn update_plans(&mut self, view: &View) {
        for &upstream in &view.upstreams {
            self.update_eligibility(view, upstream);
        }
        for &service in &view.keyed_services {
            let Some(mut table) = self.shard_tables.remove(&service) else {
                continue;
            };
            self.update_plan(view, service, &mut table);
            self.shard_tables.insert(service, table);
        }
    }

    /// Updates whether plans may use the upstream. A draining upstream loses its
    /// eligibility at once.
    fn update_eligibility(&mut self, view: &View, upstream: Upstream) {
        let usable = self.is_upstream_usable(view, upstream);
        let target = self.target(upstream);
        if usable == target.eligible {
            target.eligibility_change_since = None;
            return;
        }
        let since = *target.eligibility_change_since.get_or_insert(view.now);
        if target.draining || view.now.since(since) >= ELIGIBILITY_DELAY {
            target.eligible = usable;
            target.eligibility_change_since = None;
        }
    }

    fn update_plan(&mut self, view: &View, service: Service, table: &mut ShardTable) {
        let version = view.state.service(service).plan.version;
        if !view.lead_recorded {
            return;
        }
        let decided = |pending: &PendingPlan| pending.expected != version;
        if table.pending.as_ref().is_some_and(decided) {
            table.pending = None;
        }
        if table.pending.is_some() {
            self.append_pending(view, service, table);
            return;
        }
        let unsteady = view.state.upstreams_of(service);
        let unsteady = unsteady
            .filter_map(|upstream| self.targets.get(&upstream))
            .any(|target| target.eligibility_change_since.is_some());
        if unsteady || view.now.since(table.planned_at) < PLANNING_INTERVAL {
            return;
        }
        table.planned_at = view.now;
        self.update_loads(view, service, table);
        let changes = self.plan_changes(view, service, table);
        if !changes.is_empty() {
            let cause = describe_changes(&changes, &self.candidates(view, service));
            self.propose(view, service, table, changes, cause);
        }
    }

    /// Appends a pending plan again if it is due. Its expected plan version ensures that
    /// it takes effect at most once.
    fn append_pending(&mut self, view: &View, service: Service, table: &mut ShardTable) {
        let Some(pending) = &mut table.pending else {
            return;
        };
        if is_due(Some(pending.appended_at), view.now, REAPPEND_INTERVAL) {
            pending.appended_at = view.now;
            let body = Body::Plan {
                author: self.author(),
                service,
                expected: pending.expected,
                changes: pending.changes.clone(),
                cause: pending.cause.clone(),
            };
            self.append(body);
        }
    }

    fn propose(
        &mut self,
        view: &View,
        service: Service,
        table: &mut ShardTable,
        changes: Vec<ShardChange>,
        cause: String,
    ) {
        table.pending = Some(PendingPlan {
            expected: view.state.service(service).plan.version,
            changes,
            cause,
            // Due at once, so that `append_pending` appends it for the first time.
            appended_at: Time(0),
        });
        self.append_pending(view, service, table);
    }

    /// Adds the reported requests to the smoothed loads.
    fn update_loads(&mut self, view: &View, service: Service, table: &mut ShardTable) {
        let mut counts = vec![0; table.loads.len()];
        for upstream in view.state.upstreams_of(service) {
            let Some(target) = self.targets.get_mut(&upstream) else {
                continue;
            };
            for (index, count) in std::mem::take(&mut target.loads) {
                if let Some(entry) = counts.get_mut(usize::from(index)) {
                    *entry += count;
                }
            }
        }
        for (load, count) in table.loads.iter_mut().zip(counts) {
            *load = *load - *load / SMOOTHING_DIVISOR + count;
        }
    }

    /// Changes that turn the current plan into the proposed one. A pinned shard counts
    /// as placed where it is held.
    fn plan_changes(&self, view: &View, service: Service, table: &ShardTable) -> Vec<ShardChange> {
        let plan = &view.state.service(service).plan;
        let entries = table.entries.iter().zip(&plan.places);
        let current: Vec<Place> = entries
            .map(|(entry, &place)| match entry.ownership {
                Ownership::Held(upstream, _) if entry.pinned == Some(plan.version) => {
                    actual_place(place, upstream)
                }
                _ => place,
            })
            .collect();
        let loads = table
            .loads
            .iter()
            .map(|load| load + PRIOR_REQUESTS * SMOOTHING_DIVISOR);
        let loads: Vec<u64> = loads.collect();
        let candidates = self.candidates(view, service);
        let proposed = placement::plan(&current, &candidates, &loads);
        let mut places: Vec<Place> = current;
        for change in proposed {
            places[usize::from(change.index)] = Place {
                owner: Some(change.owner),
                standby: change.standby,
            };
        }
        let entries = places.into_iter().zip(&plan.places).zip(&table.entries);
        let changes = entries
            .enumerate()
            .filter_map(|(index, ((new, old), entry))| {
                let new = keep_current_owner(new, &entry.ownership)?;
                let owner = new.owner.filter(|_| new != *old)?;
                Some(ShardChange {
                    index: index as u16,
                    owner,
                    standby: new.standby,
                })
            });
        changes.take(MAX_CHANGES_PER_RECORD).collect()
    }

    fn candidates(&self, view: &View, service: Service) -> Vec<Candidate> {
        let upstreams = view.state.upstreams_of(service);
        let candidate = |upstream: Upstream| {
            let entry = view.state.upstream(upstream);
            let target = self.targets.get(&upstream);
            Candidate {
                upstream,
                domain: entry.domain,
                weight: entry.spec.weight,
                eligible: target.is_some_and(|target| target.eligible),
            }
        };
        upstreams.map(candidate).collect()
    }
}

/// Place with the upstream that holds the shard as its owner, and with the planned owner
/// or else the planned standby, if it is another upstream, as its standby.
fn actual_place(place: Place, upstream: Upstream) -> Place {
    let other = [place.owner, place.standby].into_iter().flatten();
    Place {
        owner: Some(upstream),
        standby: other.into_iter().find(|&other| other != upstream),
    }
}

/// The new place, changed if necessary to name the upstream that may hold the shard;
/// `None` while that upstream is not known.
///
/// A later holder looks for a shard only at its owner and standby. A shard therefore
/// moves by its current owner becoming the standby first.
fn keep_current_owner(place: Place, ownership: &Ownership) -> Option<Place> {
    if matches!(ownership, Ownership::Unknown(_)) {
        return None;
    }
    let named = |current| place.owner == Some(current) || place.standby == Some(current);
    match ownership.current_owner() {
        Some(current) if !named(current) => Some(Place {
            owner: place.owner,
            standby: Some(current),
        }),
        _ => Some(place),
    }
}

/// Cause of a plan change, for the audit trail.
fn describe_changes(changes: &[ShardChange], candidates: &[Candidate]) -> String {
    let eligible = candidates.iter().filter(|entry| entry.eligible).count();
    let (shards, all) = (changes.len(), candidates.len());
    format!("{shards} shards for {eligible} usable of {all} upstreams")
}
