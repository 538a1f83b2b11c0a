//! Rules by which an upstream's right to shards provably has ended.
//!
//! 1. The upstream checks grants and has accepted a newer one of this holder.
//! 2. Every instance that may renew its grants has stopped, and the last grant has
//!    ended. An instance that does not answer has stopped when its lease ends.
//! 3. An operator asserts by a release that the upstream is gone.
//! 4. After a `Reset`, rule 2 proves nothing about instances of the old term, which
//!    this holder does not know. It then applies only to an upstream that has accepted
//!    an order of the new term.

use super::target::{Renewer, Target};
use super::{Holder, View};
use crate::fold::Place;
use crate::ids::{Instance, Upstream, Version};
use crate::time::{Time, max_with_drift};

impl Holder {
    /// Whether no order older than the version can be in force at the upstream.
    pub(super) fn has_ended(&self, view: &View, upstream: Upstream, version: Version) -> bool {
        let Some(target) = self.targets.get(&upstream) else {
            return false;
        };
        let accepted = view.is_checked(upstream) && target.accepted >= Some(version);
        accepted
            || target.is_released()
            || self.are_renewers_stopped(view, upstream, target, version)
    }

    fn are_renewers_stopped(
        &self,
        view: &View,
        upstream: Upstream,
        target: &Target,
        version: Version,
    ) -> bool {
        let known = target.follows_term || self.excludes_earlier_terms(view, upstream);
        let mut renewers = target.renewers.iter();
        known
            && renewers.all(|(instance, renewer)| {
                !renewer.may_send
                    || renewer.is_stopped(view.now, version)
                    || self.has_lapsed(view, upstream, *instance, renewer)
            })
    }

    /// Whether the instance's lease has ended, and with it every use of the upstream by
    /// the instance.
    pub(super) fn has_lapsed(
        &self,
        view: &View,
        upstream: Upstream,
        instance: Instance,
        renewer: &Renewer,
    ) -> bool {
        let checked = view.is_checked(upstream);
        let peer = self.peers.get(&instance);
        if let Some(peer) = peer {
            // It was only presumed to serve the upstream and has reported otherwise.
            let cleared = renewer.presumed
                && peer.fully_reported
                && !peer.older_orders.contains_key(&upstream);
            // A new session begins only after the lease and its grants have ended. Yet
            // exchanges with an unchecked upstream may still be open, and an extension
            // may outlive the lease.
            let ended =
                checked && view.has_lapse_isolation(upstream) && peer.session > renewer.session;
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

    /// Time by which the last use under a lease that ends at `until` has ended; `None` if
    /// it is unbounded.
    fn last_use_end(&self, view: &View, upstream: Upstream, until: Time) -> Option<Time> {
        if view.is_checked(upstream) {
            return Some(until);
        }
        let lifetime = view.upstream_limits(upstream)?.request_lifetime?;
        Some(until + max_with_drift(lifetime))
    }

    /// Whether a shard of unknown ownership provably has no owner.
    pub(super) fn is_unowned(&self, view: &View, place: Place, claimants: &[Upstream]) -> bool {
        let candidates = place.owner.into_iter().chain(place.standby);
        let mut candidates = candidates.chain(claimants.iter().copied());
        (view.lead_recorded || self.is_fold_current(view))
            && candidates.all(|upstream| self.has_no_older_order(view, upstream))
    }

    /// Whether no order of an earlier holder can be in force at the upstream.
    fn has_no_older_order(&self, view: &View, upstream: Upstream) -> bool {
        let target = self.targets.get(&upstream);
        let unissued = Version {
            ballot: self.ballot,
            count: 0,
        };
        let first_version = target
            .and_then(|target| target.first_version)
            .unwrap_or(unissued);
        let ends_with_lease = view.is_checked(upstream) && view.has_lapse_isolation(upstream);
        (view.lead_recorded || ends_with_lease) && self.has_ended(view, upstream, first_version)
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
