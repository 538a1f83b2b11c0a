//! Takeover of the orders of earlier holders.

use std::collections::BTreeMap;

use super::shard_table::{Ownership, ShardTable};
use super::target::Sender;
use super::{Holder, View};
use crate::fold::State;
use crate::ids::{Epoch, Instance, Service, Upstream};
use crate::record::ReleaseTarget;
use crate::wire::UpstreamObservation;

/// Claim of an upstream to a shard.
#[derive(Clone, Copy)]
struct Claimant {
    upstream: Upstream,
    epoch: Epoch,
    /// Whether it is known to hold the shard under an order of this holder's term.
    held: bool,
}

type Claims = BTreeMap<(Service, u16), Vec<Claimant>>;

impl Holder {
    /// Adopts reported older orders, and their claims to shards whose owner is not
    /// known yet.
    pub(super) fn adopt_reported_orders(&mut self, view: &View) {
        for &service in &view.keyed_services {
            let shards = view.state.service(service).plan.places.len();
            self.shard_tables
                .entry(service)
                .or_insert_with(|| ShardTable::new(shards));
        }
        for &upstream in &view.upstreams {
            self.target(upstream);
        }
        let older = self.reported_older_orders();
        let mut claims = Claims::new();
        for (instance, session, observed) in &older {
            if (observed.upstream.0 as usize) < view.state.upstreams().len() {
                self.adopt_sender(*instance, *session, observed);
                self.collect_claims(view, observed, &mut claims);
            }
        }
        self.presume_senders(view);
        for ((service, index), claimants) in claims {
            self.resolve_claims(view, service, index, &claimants);
        }
    }

    /// Older orders of instances that have reported all of theirs, with the
    /// instance and its session.
    fn reported_older_orders(&mut self) -> Vec<(Instance, u32, UpstreamObservation)> {
        let known = self.peers.iter().filter(|(_, peer)| peer.fully_reported);
        let older = known.flat_map(|(&instance, peer)| {
            let observed = peer.older_orders.values().cloned();
            observed.map(move |observed| (instance, peer.session, observed))
        });
        older.collect()
    }

    fn adopt_sender(&mut self, instance: Instance, session: u32, observed: &UpstreamObservation) {
        let target = self.target(observed.upstream);
        let sender = target
            .senders
            .entry(instance)
            .or_insert(Sender::new(session, false));
        sender.presumed = false;
        let older = (None, observed.allowance);
        if target.first_version.is_none() && !target.possible_allowances.contains(&older) {
            target.possible_allowances.push(older);
        }
    }

    /// Collects the claims of an observation. A claim counts as held only if the
    /// upstream confirmed it and follows an order of this holder's term.
    fn collect_claims(&self, view: &View, observed: &UpstreamObservation, claims: &mut Claims) {
        let service = view.state.upstream(observed.upstream).service;
        // Holders of an earlier term may still move shards between upstreams that
        // follow their orders.
        let follows = if view.is_checked(observed.upstream) {
            observed.version
        } else {
            observed.assigned_version
        };
        let term = follows.map(|version| version.ballot.term);
        let current = term == Some(self.ballot.term);
        for claim in &observed.claims {
            let held = claim.confirmed && current;
            let claimants = claims.entry((service, claim.index)).or_default();
            let known = claimants
                .iter_mut()
                .find(|known| known.upstream == observed.upstream);
            let claimant = Claimant {
                upstream: observed.upstream,
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

    /// Adopts the claim with the highest epoch if it is the only one of that epoch and
    /// the upstream is known to hold the shard. Otherwise all claimants are recorded as
    /// possible owners.
    fn resolve_claims(
        &mut self,
        view: &View,
        service: Service,
        index: u16,
        claimants: &[Claimant],
    ) {
        let plan = &view.state.service(service).plan;
        let Some(newest) = claimants.iter().max_by_key(|claimant| claimant.epoch) else {
            return;
        };
        let same = claimants
            .iter()
            .filter(|claimant| claimant.epoch == newest.epoch);
        let sole = same.count() == 1 && newest.held;
        let first_version = self.targets[&newest.upstream].first_version;
        let Some(table) = self.shard_tables.get_mut(&service) else {
            return;
        };
        let Some(entry) = table.entries.get_mut(usize::from(index)) else {
            return;
        };
        let Ownership::Unknown(earlier) = &mut entry.ownership else {
            return;
        };
        if sole && earlier.is_empty() && first_version.is_none() {
            entry.ownership = Ownership::Held(newest.upstream, newest.epoch);
            let owner = plan
                .places
                .get(usize::from(index))
                .and_then(|place| place.owner);
            entry.pinned = (owner != Some(newest.upstream)).then_some(plan.version);
            let target = self.target(newest.upstream);
            target.shards.insert(index, newest.epoch);
            target.follows_term = true;
            return;
        }
        for claimant in claimants {
            if !earlier.contains(&claimant.upstream) {
                earlier.push(claimant.upstream);
            }
        }
    }

    /// Counts every member of an upstream's failure domain as a possible sender until it
    /// has reported otherwise. Skipped for checked upstreams with `lapse` isolation,
    /// because their rights end with their dispatchers' leases.
    fn presume_senders(&mut self, view: &View) {
        let members = &view.state.club(view.club).members;
        for &upstream in &view.upstreams {
            if view.is_checked(upstream) && view.has_lapse_isolation(upstream) {
                continue;
            }
            let domain = view.state.domain(view.domain(upstream));
            let target = self.targets.entry(upstream).or_default();
            if target.members_presumed {
                continue;
            }
            target.members_presumed = view.lead_recorded;
            for member in members.iter().filter(|member| member.domain == domain) {
                target
                    .senders
                    .entry(member.instance)
                    .or_insert(Sender::new(0, true));
            }
        }
    }

    /// Marks upstreams as released that an operator has released after the log contained
    /// this holder's `Lead`.
    ///
    /// Earlier releases may name upstreams that have returned since.
    pub(super) fn apply_releases(&mut self, view: &View) {
        let Some(lead_offset) = self.journal.lead_offset else {
            return;
        };
        let last_applied = self.journal.last_release.max(lead_offset);
        let state = view.state;
        let releases = state
            .operator_releases()
            .filter(|release| release.offset > last_applied);
        for release in releases {
            self.journal.last_release = release.offset;
            for &upstream in &view.upstreams {
                if release_covers(state, &release.released, upstream) {
                    self.target(upstream).released = Some(view.now);
                }
            }
        }
    }
}

/// Whether the release names the upstream or its failure domain.
fn release_covers(state: &State, released: &ReleaseTarget, upstream: Upstream) -> bool {
    let entry = state.upstream(upstream);
    match released {
        ReleaseTarget::Upstream(name) => entry.spec.name == *name,
        ReleaseTarget::Domain(name) => state.domain(entry.domain) == name,
    }
}
