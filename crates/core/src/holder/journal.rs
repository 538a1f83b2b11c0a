//! Records that the holder appends to the control stream, other than plans.

use std::time::Duration;

use medlarreel_macros::data;

use super::{Action, Holder, View};
use crate::ids::{Instance, Offset};
use crate::record::{Body, ReleaseTarget};
use crate::time::Time;

/// Interval between `Alive` records.
const ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a record is appended again if the fold does not show its effect.
pub(super) const REAPPEND_INTERVAL: Duration = Duration::from_secs(2);

/// Time without a report after which a member is removed from the club.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Progress of the holder's records in the log.
#[data(plain)]
#[derive(Default)]
pub(super) struct Journal {
    /// Offset of the holder's newest record when its `Lead` was first seen in the fold.
    pub(super) lead_offset: Option<Offset>,
    /// Offset of the newest release that was applied.
    pub(super) last_release: Offset,
    lead_appended: Option<Time>,
    alive_appended: Option<Time>,
    yield_appended: Option<Time>,
    /// Membership version for which a change was last proposed, and when.
    membership_change: Option<(u32, Time)>,
}

impl Holder {
    /// Appends the records that are due.
    pub(super) fn append_due_records(&mut self, view: &View) {
        if !view.lead_recorded {
            if is_due(self.journal.lead_appended, view.now, REAPPEND_INTERVAL) {
                self.journal.lead_appended = Some(view.now);
                self.journal.alive_appended = Some(view.now);
                self.append(Body::Lead(self.author()));
            }
            return;
        }
        let heard = view.state.club(view.club).last_heard;
        self.journal.lead_offset.get_or_insert(heard);
        if is_due(self.journal.alive_appended, view.now, ALIVE_INTERVAL) {
            self.journal.alive_appended = Some(view.now);
            self.append(Body::Alive(self.author()));
        }
        self.append_membership_change(view);
    }

    pub(super) fn append(&mut self, body: Body) {
        self.outbox.push(Action::Append(body));
    }

    /// Yields the slots that the active preset takes from the club, once they are
    /// unused.
    pub(super) fn append_yield(&mut self, view: &View) {
        let Some(active) = view.state.active_preset() else {
            return;
        };
        let owed = view.lead_recorded && view.state.exceeds_share(view.club);
        let used = self.total_reserved_slots(view);
        let unused = used <= active.preset.club_slots(&self.club);
        if owed && unused && is_due(self.journal.yield_appended, view.now, REAPPEND_INTERVAL) {
            self.journal.yield_appended = Some(view.now);
            self.append(Body::Yield(self.author(), active.count));
        }
    }

    /// Proposes at most one membership change at a time.
    fn append_membership_change(&mut self, view: &View) {
        let version = view.state.club(view.club).version;
        let proposed = self
            .journal
            .membership_change
            .filter(|(known, _)| *known == version);
        let in_progress =
            proposed.is_some_and(|(_, at)| !is_due(Some(at), view.now, REAPPEND_INTERVAL));
        if !self.can_change_membership || in_progress {
            return;
        }
        let change = self.admission(view).or_else(|| self.removal(view));
        if let Some(body) = change {
            self.journal.membership_change = Some((version, view.now));
            self.append(body);
        }
    }

    /// Admission of a live instance of the club that is not a member yet.
    fn admission(&self, view: &View) -> Option<Body> {
        let members = &view.state.club(view.club).members;
        let mut peers = self.peers.values();
        let newcomer = peers.find(|peer| {
            let member = &peer.member;
            let known = members
                .iter()
                .any(|known| known.instance == member.instance);
            let allowed = self.may_change_membership(view, &member.domain);
            member.club == self.club && !known && peer.is_live(view.now) && allowed
        })?;
        Some(Body::Admit(self.author(), newcomer.member.clone()))
    }

    /// Removal of a member that no longer reports and can no longer serve any upstream.
    fn removal(&self, view: &View) -> Option<Body> {
        let members = &view.state.club(view.club).members;
        let gone = |instance: Instance| {
            let last_report = self.peers.get(&instance).map(|peer| peer.last_report());
            view.now.since(last_report.unwrap_or(self.elected_at)) >= REMOVAL_TIMEOUT
        };
        let member = members.iter().find(|member| {
            let instance = member.instance;
            let allowed = !self.may_instance_send(view, instance)
                && self.may_change_membership(view, &member.domain);
            instance != self.ballot.instance && gone(instance) && allowed
        })?;
        let peer = self.peers.get(&member.instance);
        let left = peer.is_some_and(|peer| peer.is_leaving());
        let cause = if left { "left" } else { "no report for 10 s" };
        Some(Body::Remove {
            author: self.author(),
            instance: member.instance,
            cause: cause.to_owned(),
        })
    }

    /// Whether the membership of the failure domain may change.
    ///
    /// With `keep` isolation, it may not while a majority of an outdated membership could
    /// extend dispatch leases. An operator's release of the domain since the last change
    /// asserts that no such majority is left.
    fn may_change_membership(&self, view: &View, domain: &str) -> bool {
        let changed = view.state.club(view.club).membership_changed;
        let mut releases = view.state.operator_releases();
        let released = releases.any(|release| {
            release.offset > changed && release.released == ReleaseTarget::Domain(domain.to_owned())
        });
        !view.has_keep_isolation() || released || self.is_membership_known(view, domain)
    }

    /// Whether the instance may still send to an upstream; assumed until the takeover. As
    /// long as it may, it remains a member, so that a later holder takes it into account
    /// as well.
    pub(super) fn may_instance_send(&self, view: &View, instance: Instance) -> bool {
        let mut upstreams = view.upstreams.iter();
        !self.takeover_ready
            || upstreams.any(|&upstream| {
                let target = self.targets.get(&upstream);
                let sender = target.and_then(|target| target.senders.get(&instance));
                sender.is_some_and(|sender| {
                    sender.may_send && !self.has_use_ended(view, upstream, instance, sender)
                })
            })
    }
}

/// Whether the interval has passed since `last`; true if `last` is `None`.
pub(super) fn is_due(last: Option<Time>, now: Time, interval: Duration) -> bool {
    last.is_none_or(|at| now.since(at) >= interval)
}
