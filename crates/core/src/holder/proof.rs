//! Proofs that an upstream's right to shards under orders older than a given version
//! has ended. Each of these rules suffices:
//!
//! 1. The upstream checks grants and has accepted an order of this holder with that
//!    version or a newer one.
//! 2. No instance can use the upstream under an older order. Each one either has
//!    confirmed that it stopped and its last older grant has ended, or has reported that
//!    it does not serve the upstream, or its lease has ended. The end of the lease counts
//!    at an unchecked upstream only after the request lifetime, and never if that is
//!    unbounded. With `keep` isolation it counts only while a majority of the failure
//!    domain's members promises not to extend leases.
//! 3. An operator has released the upstream, and it has not responded since.
//!
//! After a `Reset`, rule 2 proves nothing about instances of an earlier term, which this
//! holder does not know. It then applies only to an upstream that follows an order of the
//! new term or was first enrolled in it.

use super::target::{Sender, Target};
use super::{Holder, View};
use crate::fold::Place;
use crate::ids::{Instance, Upstream, Version};
use crate::time::{Time, max_with_drift};

impl Holder {
    /// Whether no order older than the version can be in force at the upstream.
    pub(super) fn has_right_ended(
        &self,
        view: &View,
        upstream: Upstream,
        version: Version,
    ) -> bool {
        let Some(target) = self.targets.get(&upstream) else {
            return false;
        };
        let accepted = view.is_checked(upstream) && target.accepted >= Some(version);
        accepted
            || target.is_released()
            || self.are_senders_stopped(view, upstream, target, version)
    }

    fn are_senders_stopped(
        &self,
        view: &View,
        upstream: Upstream,
        target: &Target,
        version: Version,
    ) -> bool {
        let known = target.follows_term || self.excludes_earlier_terms(view, upstream);
        let mut senders = target.senders.iter();
        known
            && senders.all(|(instance, sender)| {
                !sender.may_send
                    || sender.is_stopped(view.now, version)
                    || self.has_use_ended(view, upstream, *instance, sender)
            })
    }

    /// Whether every use of the upstream by the instance has ended without a confirmed
    /// stop: with the instance's lease, or because the instance has reported that it
    /// does not serve the upstream.
    pub(super) fn has_use_ended(
        &self,
        view: &View,
        upstream: Upstream,
        instance: Instance,
        sender: &Sender,
    ) -> bool {
        let checked = view.is_checked(upstream);
        let peer = self.peers.get(&instance);
        if let Some(peer) = peer {
            // It was only presumed to serve the upstream and has reported otherwise.
            let cleared = sender.presumed
                && peer.fully_reported
                && !peer.older_orders.contains_key(&upstream);
            // A new session begins only after the lease and its grants have ended. Yet
            // exchanges with an unchecked upstream may still be open, and an extension
            // may outlive the lease.
            let ended =
                checked && view.has_lapse_isolation(upstream) && peer.session > sender.session;
            if cleared || ended {
                return true;
            }
        }
        let until = peer.and_then(|peer| peer.lease_end);
        let until = until.unwrap_or(self.predecessor_leases_end());
        let expired = self.last_use_end(view, upstream, until);
        let domain = view.state.domain(view.domain(upstream));
        let may_be_extended =
            !view.has_lapse_isolation(upstream) && !self.has_promise_majority(view, domain);
        expired.is_some_and(|end| view.now >= end) && !may_be_extended
    }

    /// Time by which the last use under a lease that ends at `until` has ended; `None`
    /// for an unchecked upstream without a known request lifetime.
    fn last_use_end(&self, view: &View, upstream: Upstream, until: Time) -> Option<Time> {
        if view.is_checked(upstream) {
            return Some(until);
        }
        let lifetime = view.upstream_limits(upstream)?.request_lifetime?;
        Some(until + max_with_drift(lifetime))
    }

    /// Whether a shard of unknown ownership provably has no owner.
    pub(super) fn is_shard_unowned(
        &self,
        view: &View,
        place: Place,
        claimants: &[Upstream],
    ) -> bool {
        let upstreams = place.owner.into_iter().chain(place.standby);
        let mut upstreams = upstreams.chain(claimants.iter().copied());
        (view.lead_recorded || self.is_fold_current(view))
            && upstreams.all(|upstream| self.excludes_older_orders(view, upstream))
    }

    /// Whether no order of an earlier holder can be in force at the upstream.
    fn excludes_older_orders(&self, view: &View, upstream: Upstream) -> bool {
        let target = self.targets.get(&upstream);
        let unissued = Version {
            ballot: self.ballot,
            count: 0,
        };
        let first_version = target
            .and_then(|target| target.first_version)
            .unwrap_or(unissued);
        let ends_with_lease = view.is_checked(upstream) && view.has_lapse_isolation(upstream);
        (view.lead_recorded || ends_with_lease)
            && self.has_right_ended(view, upstream, first_version)
    }

    /// Whether the fold is at least as recent as that of every instance with a lease.
    /// Stands in for this holder's `Lead` record while the log is unavailable, but only
    /// in the first term: in later ones, instances of earlier terms may be unknown.
    fn is_fold_current(&self, view: &View) -> bool {
        let mut leased = self.peers.values().filter(|peer| peer.is_leased(view.now));
        view.state.club(view.club).is_first_term
            && leased.all(|peer| peer.next_offset <= view.state.next_offset())
    }

    /// Whether no holder of an earlier term can have issued orders for the upstream.
    pub(super) fn excludes_earlier_terms(&self, view: &View, upstream: Upstream) -> bool {
        let term = self.ballot.term;
        view.state.club(view.club).is_first_term || view.state.upstream(upstream).since >= term
    }
}
