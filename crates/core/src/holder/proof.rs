//! Proofs that an upstream's right to shards has ended.
//!
//! 1. The upstream checks grants and answered a newer one of this holder.
//! 2. Every instance that may renew its grants has stopped, and the last grant
//!    has ended; an instance that does not answer has stopped with its lease.
//! 3. An operator vouches that the upstream is gone.
//! 4. After a `Reset`, rule 2 proves nothing about instances of the old term,
//!    which this holder does not know; it counts only for an upstream that has
//!    accepted an order of the new term.

use super::target::{Renewer, Target};
use super::{Holder, View};
use crate::fold::Place;
use crate::ids::{Instance, Upstream, Version};
use crate::time::{Time, max_with_drift};

impl Holder {
    /// Whether nothing older than the version can be in force at the upstream.
    pub(super) fn has_ended(&self, view: &View, upstream: Upstream, version: Version) -> bool {
        let Some(target) = self.targets.get(&upstream) else {
            return false;
        };
        let answered = view.is_checked(upstream) && target.accepted >= Some(version);
        answered || target.is_released() || self.is_stopped(view, upstream, target, version)
    }

    fn is_stopped(
        &self,
        view: &View,
        upstream: Upstream,
        target: &Target,
        version: Version,
    ) -> bool {
        let known = target.secured || self.knows_predecessors(view, upstream);
        let mut renewers = target.renewers.iter();
        known
            && renewers.all(|(instance, renewer)| {
                !renewer.sends
                    || renewer.is_stopped(view.now, version)
                    || self.has_lapsed(view, upstream, *instance, renewer)
            })
    }

    /// Whether the instance's lease has ended, and with it all that it did for the upstream.
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
            let cleared = renewer.presumed && peer.known && !peer.older.contains_key(&upstream);
            // A new session begins after the end of the lease and of its grants,
            // but exchanges with an unchecked upstream may still be open, and an
            // extension may outlive the lease.
            let ended = checked && view.lapses(upstream) && peer.session > renewer.session;
            if cleared || ended {
                return true;
            }
        }
        let until = peer.and_then(|peer| peer.until);
        let until = until.unwrap_or(self.succeeded());
        let expired = self.end_of_use(view, upstream, until);
        let domain = view.state.domain(view.domain(upstream));
        let kept = !view.lapses(upstream) && !self.is_withheld(view, domain);
        expired.is_some_and(|end| view.now >= end) && !kept
    }

    /// When the last use under a lease until `until` has ended; `None` if it may never.
    fn end_of_use(&self, view: &View, upstream: Upstream, until: Time) -> Option<Time> {
        if view.is_checked(upstream) {
            return Some(until);
        }
        let lifetime = view.limits_of(upstream)?.request_lifetime?;
        Some(until + max_with_drift(lifetime))
    }

    /// Whether a shard that nobody is known to hold is held by nobody.
    pub(super) fn is_unowned(&self, view: &View, place: Place, claimants: &[Upstream]) -> bool {
        let candidates = place.owner.into_iter().chain(place.standby);
        let mut candidates = candidates.chain(claimants.iter().copied());
        (view.led || self.is_current(view))
            && candidates.all(|upstream| self.is_clear(view, upstream))
    }

    /// Whether nothing from before this holder can be in force at the upstream.
    fn is_clear(&self, view: &View, upstream: Upstream) -> bool {
        let target = self.targets.get(&upstream);
        let unissued = Version {
            ballot: self.ballot,
            count: 0,
        };
        let first = target.and_then(|target| target.first).unwrap_or(unissued);
        let simple = view.is_checked(upstream) && view.lapses(upstream);
        (view.led || simple) && self.has_ended(view, upstream, first)
    }

    /// Whether the fold is as recent as that of every live member, while the log is away.
    fn is_current(&self, view: &View) -> bool {
        let mut live = self.peers.values().filter(|peer| peer.is_leased(view.now));
        view.state.club(view.club).is_first_term
            && live.all(|peer| peer.next <= view.state.next_offset())
    }

    /// Whether no holder of an earlier term can have given the upstream orders.
    pub(super) fn knows_predecessors(&self, view: &View, upstream: Upstream) -> bool {
        let term = self.ballot.term;
        view.state.club(view.club).is_first_term || view.state.upstream(upstream).since >= term
    }
}
