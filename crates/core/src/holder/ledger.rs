//! Who may hold each shard, and who shall.

use std::collections::BTreeSet;

use medlarreel_macros::data;

use super::{Holder, View};
use crate::fold::Place;
use crate::ids::{Epoch, Service, Shard, Upstream, Version};
use crate::record::ShardChange;
use crate::time::Time;

/// Upstreams that can be given shards.
type Usable = BTreeSet<Upstream>;

/// Who may hold a shard.
#[data(plain)]
pub(super) enum Hold {
    /// Not known: any candidate of the plan, or one of these claimants.
    Unknown(Vec<Upstream>),
    /// Nobody.
    Free,
    /// One upstream, which shall keep it.
    Held(Upstream, Epoch),
    /// One upstream, until nothing older than the version is in force there.
    Ending(Upstream, Option<Version>),
}

impl Hold {
    /// The only upstream that may hold the shard.
    pub(super) fn holder(&self) -> Option<Upstream> {
        match self {
            Hold::Held(upstream, _) | Hold::Ending(upstream, _) => Some(*upstream),
            Hold::Unknown(_) | Hold::Free => None,
        }
    }
}

/// One shard of a keyed service.
#[data(plain)]
pub(super) struct Slot {
    pub(super) hold: Hold,
    /// Plan version that the shard deviates from since a repair or adoption. It
    /// is not moved back to that version's owner.
    pub(super) pinned: Option<u32>,
}

/// Plan change that was appended and not yet folded.
#[data(plain)]
pub(super) struct Pending {
    pub(super) expected: u32,
    pub(super) changes: Vec<ShardChange>,
    pub(super) cause: String,
    pub(super) at: Time,
}

/// All shards of a keyed service.
#[data(plain)]
pub(super) struct Ledger {
    pub(super) slots: Vec<Slot>,
    pub(super) pending: Option<Pending>,
    /// Smoothed load of each shard.
    pub(super) loads: Vec<u64>,
    /// When the plan was last looked at.
    pub(super) planned: Time,
    /// Plan version and usable upstreams for which every shard is where it shall be.
    steady: Option<(u32, Usable)>,
}

impl Ledger {
    pub(super) fn new(shards: usize) -> Ledger {
        let slot = Slot {
            hold: Hold::Unknown(Vec::new()),
            pinned: None,
        };
        Ledger {
            slots: vec![slot; shards],
            pending: None,
            loads: vec![0; shards],
            planned: Time(0),
            steady: None,
        }
    }

    /// Whether every shard is held and no change of the plan is in flight.
    fn is_steady(&self) -> bool {
        let mut slots = self.slots.iter();
        self.pending.is_none() && slots.all(|slot| matches!(slot.hold, Hold::Held(..)))
    }

    /// Whether the log names the upstream as a candidate whatever becomes of
    /// the change in flight.
    fn allows(&self, index: usize, place: Place, upstream: Upstream) -> bool {
        let candidate = |owner, standby| owner == Some(upstream) || standby == Some(upstream);
        let pending = self.pending.iter().flat_map(|pending| &pending.changes);
        let mut pending = pending.filter(|change| usize::from(change.index) == index);
        candidate(place.owner, place.standby)
            && pending.all(|change| candidate(Some(change.owner), change.standby))
    }
}

impl Holder {
    /// Brings every shard a step closer to its owner.
    pub(super) fn reconcile(&mut self, view: &View) {
        let upstreams = view.upstreams.iter().copied();
        let usable: Usable = upstreams.filter(|&key| self.is_usable(view, key)).collect();
        for &service in &view.keyed {
            let Some(mut ledger) = self.ledgers.remove(&service) else {
                continue;
            };
            let basis = (view.state.service(service).plan.version, usable.clone());
            if ledger.steady.as_ref() != Some(&basis) {
                for index in 0..ledger.slots.len() {
                    self.free(view, service, index, &mut ledger);
                    self.direct(view, &usable, service, index, &mut ledger);
                }
                ledger.steady = ledger.is_steady().then_some(basis);
            }
            self.ledgers.insert(service, ledger);
        }
    }

    /// Frees a shard whose former owner is proved to have stopped.
    fn free(&mut self, view: &View, service: Service, index: usize, ledger: &mut Ledger) {
        let hold = &ledger.slots[index].hold;
        let free = match hold {
            Hold::Ending(upstream, Some(version)) => self.has_ended(view, *upstream, *version),
            Hold::Unknown(claimants) => {
                let place = view.state.place(shard(service, index));
                self.is_unowned(view, place, claimants)
            }
            Hold::Ending(_, None) | Hold::Held(..) | Hold::Free => false,
        };
        if free {
            ledger.slots[index].hold = Hold::Free;
        }
    }

    /// Takes the shard from an upstream that shall not keep it, or gives a free one out.
    fn direct(
        &mut self,
        view: &View,
        usable: &Usable,
        service: Service,
        index: usize,
        ledger: &mut Ledger,
    ) {
        let place = view.state.place(shard(service, index));
        let version = view.state.service(service).plan.version;
        let slot = &ledger.slots[index];
        match slot.hold {
            Hold::Held(upstream, _) => {
                let pinned = slot.pinned == Some(version);
                let wanted = wanted(usable, place, Some(upstream), pinned);
                let other = wanted.filter(|&to| to != upstream);
                if other.is_some_and(|to| ledger.allows(index, place, to)) {
                    self.target(upstream).shards.remove(&(index as u16));
                    ledger.slots[index].hold = Hold::Ending(upstream, None);
                }
            }
            Hold::Free => {
                let wanted = wanted(usable, place, None, false);
                if let Some(upstream) = wanted.filter(|&to| ledger.allows(index, place, to)) {
                    let epoch = self.next_epoch();
                    self.target(upstream).shards.insert(index as u16, epoch);
                    let slot = &mut ledger.slots[index];
                    slot.hold = Hold::Held(upstream, epoch);
                    slot.pinned = (place.owner != Some(upstream)).then_some(version);
                }
            }
            Hold::Unknown(_) | Hold::Ending(..) => {}
        }
    }

    pub(super) fn is_usable(&self, view: &View, upstream: Upstream) -> bool {
        let target = self.targets.get(&upstream);
        target.is_some_and(|target| target.is_usable(view.now))
    }

    /// Names the version that takes ending shards from the upstream.
    pub(super) fn date_endings(&mut self, service: Service, upstream: Upstream, version: Version) {
        let Some(ledger) = self.ledgers.get_mut(&service) else {
            return;
        };
        for slot in &mut ledger.slots {
            if slot.hold == Hold::Ending(upstream, None) {
                slot.hold = Hold::Ending(upstream, Some(version));
            }
        }
    }
}

/// The candidate that shall hold the shard; `None` if there is no better one.
fn wanted(
    usable: &Usable,
    place: Place,
    current: Option<Upstream>,
    pinned: bool,
) -> Option<Upstream> {
    let usable = |upstream: &Upstream| usable.contains(upstream);
    let healthy = current.filter(usable);
    if pinned && healthy.is_some() {
        return healthy;
    }
    let owner = place.owner.filter(usable);
    let standby = place.standby.filter(usable);
    owner.or(healthy).or(standby)
}

pub(super) fn shard(service: Service, index: usize) -> Shard {
    Shard {
        service,
        index: index as u16,
    }
}
