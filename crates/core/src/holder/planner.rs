//! New plans for joins, leaves, losses and load.

use std::time::Duration;

use super::journal::{REPEAT, is_due};
use super::ledger::{Hold, Ledger, Pending};
use super::{Holder, View};
use crate::fold::Place;
use crate::ids::{Service, Upstream};
use crate::placement::{self, Candidate};
use crate::record::{Body, ShardChange};
use crate::time::Time;

/// Interval at which a service's plan is looked at.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an upstream must be usable or unusable before plans follow,
/// so that several joins or losses make one plan.
const STEADY: Duration = Duration::from_secs(1);

/// Most changes in one record, far below the largest record.
const MOST_CHANGES: usize = 8_192;

/// Part of the smoothed load that is replaced per look: one in 16.
const SMOOTHING: u64 = 16;

/// Requests per look that every shard is credited with, so that few requests
/// make no imbalance by chance.
const PRIOR: u64 = 30;

impl Holder {
    /// Appends a new plan for each service whose plan no longer fits.
    pub(super) fn replan(&mut self, view: &View) {
        for &upstream in &view.upstreams {
            self.note_eligible(view, upstream);
        }
        for &service in &view.keyed {
            let Some(mut ledger) = self.ledgers.remove(&service) else {
                continue;
            };
            self.replan_service(view, service, &mut ledger);
            self.ledgers.insert(service, ledger);
        }
    }

    fn note_eligible(&mut self, view: &View, upstream: Upstream) {
        let usable = self.is_usable(view, upstream);
        let target = self.target(upstream);
        if usable == target.eligible {
            target.differs = None;
            return;
        }
        let since = *target.differs.get_or_insert(view.now);
        if target.draining || view.now.since(since) >= STEADY {
            target.eligible = usable;
            target.differs = None;
        }
    }

    fn replan_service(&mut self, view: &View, service: Service, ledger: &mut Ledger) {
        let version = view.state.service(service).plan.version;
        if !view.led {
            return;
        }
        let decided = |pending: &Pending| pending.expected != version;
        if ledger.pending.as_ref().is_some_and(decided) {
            ledger.pending = None;
        }
        if ledger.pending.is_some() {
            self.repeat(view, service, ledger);
            return;
        }
        let unsteady = view.state.upstreams_of(service);
        let unsteady = unsteady
            .filter_map(|upstream| self.targets.get(&upstream))
            .any(|target| target.differs.is_some());
        if unsteady || view.now.since(ledger.planned) < INTERVAL {
            return;
        }
        ledger.planned = view.now;
        self.measure(view, service, ledger);
        let changes = self.changes(view, service, ledger);
        if !changes.is_empty() {
            let cause = cause(&changes, &self.candidates(view, service));
            self.propose(view, service, ledger, changes, cause);
        }
    }

    /// Appends an undecided plan again; its expected version lets it take effect once.
    fn repeat(&mut self, view: &View, service: Service, ledger: &mut Ledger) {
        let Some(pending) = &mut ledger.pending else {
            return;
        };
        if is_due(Some(pending.at), view.now, REPEAT) {
            pending.at = view.now;
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
        ledger: &mut Ledger,
        changes: Vec<ShardChange>,
        cause: String,
    ) {
        ledger.pending = Some(Pending {
            expected: view.state.service(service).plan.version,
            changes,
            cause,
            // Due at once, so that `repeat` makes the first append as well.
            at: Time(0),
        });
        self.repeat(view, service, ledger);
    }

    /// Merges the reported requests into the smoothed loads.
    fn measure(&mut self, view: &View, service: Service, ledger: &mut Ledger) {
        let mut counts = vec![0; ledger.loads.len()];
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
        for (load, count) in ledger.loads.iter_mut().zip(counts) {
            *load = *load - *load / SMOOTHING + count;
        }
    }

    fn changes(&self, view: &View, service: Service, ledger: &Ledger) -> Vec<ShardChange> {
        let plan = &view.state.service(service).plan;
        let slots = ledger.slots.iter().zip(&plan.places);
        let current: Vec<Place> = slots
            .map(|(slot, &place)| match slot.hold {
                Hold::Held(upstream, _) if slot.pinned == Some(plan.version) => {
                    actual(place, upstream)
                }
                _ => place,
            })
            .collect();
        let loads = ledger.loads.iter().map(|load| load + PRIOR * SMOOTHING);
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
        let entries = places.into_iter().zip(&plan.places).zip(&ledger.slots);
        let changes = entries
            .enumerate()
            .filter_map(|(index, ((new, old), slot))| {
                let new = traceable(new, &slot.hold)?;
                let owner = new.owner.filter(|_| new != *old)?;
                Some(ShardChange {
                    index: index as u16,
                    owner,
                    standby: new.standby,
                })
            });
        changes.take(MOST_CHANGES).collect()
    }

    fn candidates(&self, view: &View, service: Service) -> Vec<Candidate> {
        let upstreams = view.state.upstreams_of(service);
        let candidate = |upstream: Upstream| {
            let entry = view.state.upstream(upstream);
            let target = self.targets.get(&upstream);
            Candidate {
                upstream,
                domain: entry.domain,
                weight: entry.server.weight,
                eligible: target.is_some_and(|target| target.eligible),
            }
        };
        upstreams.map(candidate).collect()
    }
}

/// Place of a shard that another candidate holds than the plan's owner.
fn actual(place: Place, upstream: Upstream) -> Place {
    let other = [place.owner, place.standby].into_iter().flatten();
    Place {
        owner: Some(upstream),
        standby: other.into_iter().find(|&other| other != upstream),
    }
}

/// The new place, changed so that it names whoever may hold the shard; `None`
/// while that is not known.
///
/// A shard is moved by its owner becoming the standby first. Otherwise a later
/// holder would not look for it there.
fn traceable(place: Place, hold: &Hold) -> Option<Place> {
    if matches!(hold, Hold::Unknown(_)) {
        return None;
    }
    let named = |holder| place.owner == Some(holder) || place.standby == Some(holder);
    match hold.holder() {
        Some(holder) if !named(holder) => Some(Place {
            owner: place.owner,
            standby: Some(holder),
        }),
        _ => Some(place),
    }
}

/// Why a plan changes, for the trail of changes.
fn cause(changes: &[ShardChange], candidates: &[Candidate]) -> String {
    let eligible = candidates.iter().filter(|entry| entry.eligible).count();
    let (shards, all) = (changes.len(), candidates.len());
    format!("{shards} shards for {eligible} usable of {all} upstreams")
}
