//! Takeover of what an earlier holder ordered.

use std::collections::BTreeMap;

use super::ledger::{Hold, Ledger};
use super::target::Renewer;
use super::{Holder, View};
use crate::fold::State;
use crate::ids::{Epoch, Instance, Service, Upstream};
use crate::record::ReleaseTarget;
use crate::wire::UpstreamObservation;

/// Claim of one upstream to a shard.
#[derive(Clone, Copy)]
struct Claimant {
    upstream: Upstream,
    epoch: Epoch,
    held: bool,
}

type Claims = BTreeMap<(Service, u16), Vec<Claimant>>;

impl Holder {
    /// Takes over reported claims to shards whose owner is not known yet.
    pub(super) fn adopt(&mut self, view: &View) {
        for &service in &view.keyed {
            let shards = view.state.service(service).plan.places.len();
            self.ledgers
                .entry(service)
                .or_insert_with(|| Ledger::new(shards));
        }
        for &upstream in &view.upstreams {
            self.target(upstream);
        }
        let older = self.take_older();
        let mut claims = Claims::new();
        for (instance, session, seen) in &older {
            if (seen.upstream.0 as usize) < view.state.upstreams().len() {
                self.adopt_renewer(*instance, *session, seen);
                self.collect(view, seen, &mut claims);
            }
        }
        self.presume(view);
        for ((service, index), claimants) in claims {
            self.settle_claims(view, service, index, &claimants);
        }
    }

    /// Reported older orders that were not taken over yet.
    fn take_older(&mut self) -> Vec<(Instance, u32, UpstreamObservation)> {
        let known = self.peers.iter().filter(|(_, peer)| peer.known);
        let older = known.flat_map(|(&instance, peer)| {
            let seen = peer.older.values().cloned();
            seen.map(move |seen| (instance, peer.session, seen))
        });
        older.collect()
    }

    fn adopt_renewer(&mut self, instance: Instance, session: u32, seen: &UpstreamObservation) {
        let target = self.target(seen.upstream);
        let renewer = target
            .renewers
            .entry(instance)
            .or_insert(Renewer::new(session, false));
        renewer.presumed = false;
        let older = (None, seen.allowance);
        if target.first.is_none() && !target.issued.contains(&older) {
            target.issued.push(older);
        }
    }

    /// Collects the claims that an answer of this holder's term supports.
    fn collect(&self, view: &View, seen: &UpstreamObservation, claims: &mut Claims) {
        let service = view.state.upstream(seen.upstream).service;
        // Holders of an earlier term may still be moving what their upstreams hold.
        let follows = if view.is_checked(seen.upstream) {
            seen.version
        } else {
            seen.assigned_version
        };
        let term = follows.map(|version| version.ballot.term);
        let current = term == Some(self.ballot.term);
        for claim in &seen.claims {
            let held = claim.confirmed && current;
            let claimants = claims.entry((service, claim.index)).or_default();
            let known = claimants
                .iter_mut()
                .find(|known| known.upstream == seen.upstream);
            let claimant = Claimant {
                upstream: seen.upstream,
                epoch: claim.epoch,
                held,
            };
            match known {
                Some(known) if (known.epoch, known.held) >= (claim.epoch, held) => {}
                Some(known) => *known = claimant,
                None => claimants.push(claimant),
            }
        }
    }

    /// Adopts the claim of the highest epoch if the upstream is known to hold the shard.
    fn settle_claims(&mut self, view: &View, service: Service, index: u16, claimants: &[Claimant]) {
        let plan = &view.state.service(service).plan;
        let Some(newest) = claimants.iter().max_by_key(|claimant| claimant.epoch) else {
            return;
        };
        let same = claimants
            .iter()
            .filter(|claimant| claimant.epoch == newest.epoch);
        let sole = same.count() == 1 && newest.held;
        let first = self.targets[&newest.upstream].first;
        let Some(ledger) = self.ledgers.get_mut(&service) else {
            return;
        };
        let Some(slot) = ledger.slots.get_mut(usize::from(index)) else {
            return;
        };
        let Hold::Unknown(earlier) = &mut slot.hold else {
            return;
        };
        if sole && earlier.is_empty() && first.is_none() {
            slot.hold = Hold::Held(newest.upstream, newest.epoch);
            let owner = plan
                .places
                .get(usize::from(index))
                .and_then(|place| place.owner);
            slot.pinned = (owner != Some(newest.upstream)).then_some(plan.version);
            let target = self.target(newest.upstream);
            target.shards.insert(index, newest.epoch);
            target.secured = true;
            return;
        }
        for claimant in claimants {
            if !earlier.contains(&claimant.upstream) {
                earlier.push(claimant.upstream);
            }
        }
    }

    /// Counts every member of the domain as a possible sender where time alone
    /// does not end its rights, until it has reported otherwise.
    fn presume(&mut self, view: &View) {
        let members = &view.state.club(view.club).members;
        for &upstream in &view.upstreams {
            if view.is_checked(upstream) && view.lapses(upstream) {
                continue;
            }
            let domain = view.state.domain(view.domain(upstream));
            let target = self.targets.entry(upstream).or_default();
            if target.presumed {
                continue;
            }
            target.presumed = view.led;
            for member in members.iter().filter(|member| member.domain == domain) {
                target
                    .renewers
                    .entry(member.instance)
                    .or_insert(Renewer::new(0, true));
            }
        }
    }

    /// Notes operators' releases made since this holder became known to the log.
    ///
    /// Earlier ones may name upstreams that have returned since.
    pub(super) fn note_releases(&mut self, view: &View) {
        let Some(led) = self.journal.led else {
            return;
        };
        let noted = self.journal.released.max(led);
        let state = view.state;
        let releases = state.releases().filter(|release| release.offset > noted);
        for release in releases {
            self.journal.released = release.offset;
            for &upstream in &view.upstreams {
                if names(state, &release.released, upstream) {
                    self.target(upstream).released = Some(view.now);
                }
            }
        }
    }
}

fn names(state: &State, released: &ReleaseTarget, upstream: Upstream) -> bool {
    let entry = state.upstream(upstream);
    match released {
        ReleaseTarget::Upstream(name) => entry.server.name == *name,
        ReleaseTarget::Domain(name) => state.domain(entry.domain) == name,
    }
}
