//! Records that the holder appends, other than plans.

use std::time::Duration;

use medlarreel_macros::data;

use super::{Action, Holder, View};
use crate::ids::{Instance, Offset};
use crate::record::{Body, ReleaseTarget};
use crate::time::Time;

/// Interval of `Alive` records.
const ALIVE: Duration = Duration::from_secs(5);

/// Time after which a record without visible effect is appended again.
pub(super) const REPEAT: Duration = Duration::from_secs(2);

/// Time without a report after which a member is removed.
const REMOVE: Duration = Duration::from_secs(10);

/// When records were last appended, and what became of them.
#[data(plain)]
#[derive(Default)]
pub(super) struct Journal {
    /// Offset by which the log knew of this holder.
    pub(super) led: Option<Offset>,
    /// Newest release that was noted.
    pub(super) released: Offset,
    lead: Option<Time>,
    alive: Option<Time>,
    yielded: Option<Time>,
    /// Membership version that a change was proposed for, and when.
    change: Option<(u32, Time)>,
}

impl Holder {
    /// Appends the records that are due.
    pub(super) fn write(&mut self, view: &View) {
        if !view.led {
            if is_due(self.journal.lead, view.now, REPEAT) {
                self.journal.lead = Some(view.now);
                self.journal.alive = Some(view.now);
                self.append(Body::Lead(self.author()));
            }
            return;
        }
        let heard = view.state.club(view.club).last_heard;
        self.journal.led.get_or_insert(heard);
        if is_due(self.journal.alive, view.now, ALIVE) {
            self.journal.alive = Some(view.now);
            self.append(Body::Alive(self.author()));
        }
        self.write_membership(view);
    }

    pub(super) fn append(&mut self, body: Body) {
        self.outbox.push(Action::Append(body));
    }

    /// Gives up the share that the preset in force takes away, once it is unused.
    pub(super) fn write_yield(&mut self, view: &View) {
        let Some(active) = view.state.active() else {
            return;
        };
        let owed = view.led && view.state.exceeds_share(view.club);
        let used = self.slots_reserved(view);
        let unused = used <= active.preset.club_slots(&self.club);
        if owed && unused && is_due(self.journal.yielded, view.now, REPEAT) {
            self.journal.yielded = Some(view.now);
            self.append(Body::Yield(self.author(), active.count));
        }
    }

    /// Proposes one change of membership at a time.
    fn write_membership(&mut self, view: &View) {
        let version = view.state.club(view.club).version;
        let proposed = self.journal.change.filter(|(known, _)| *known == version);
        let open = proposed.is_some_and(|(_, at)| !is_due(Some(at), view.now, REPEAT));
        if !self.settled || open {
            return;
        }
        let change = self.admission(view).or_else(|| self.removal(view));
        if let Some(body) = change {
            self.journal.change = Some((version, view.now));
            self.append(body);
        }
    }

    fn admission(&self, view: &View) -> Option<Body> {
        let members = &view.state.club(view.club).members;
        let mut peers = self.peers.values();
        let newcomer = peers.find(|peer| {
            let member = &peer.member;
            let known = members
                .iter()
                .any(|known| known.instance == member.instance);
            let free = self.may_change(view, &member.domain);
            member.club == self.club && !known && peer.is_live(view.now) && free
        })?;
        Some(Body::Admit(self.author(), newcomer.member.clone()))
    }

    fn removal(&self, view: &View) -> Option<Body> {
        let members = &view.state.club(view.club).members;
        let gone = |instance: Instance| {
            let heard = self.peers.get(&instance).map(|peer| peer.heard());
            view.now.since(heard.unwrap_or(self.started)) >= REMOVE
        };
        let member = members.iter().find(|member| {
            let instance = member.instance;
            let free = !self.may_serve(view, instance) && self.may_change(view, &member.domain);
            instance != self.ballot.instance && gone(instance) && free
        })?;
        let leaving = self.peers.get(&member.instance);
        let left = leaving.is_some_and(|peer| peer.is_leaving());
        let cause = if left { "left" } else { "no report for 10 s" };
        Some(Body::Remove {
            author: self.author(),
            instance: member.instance,
            cause: cause.to_owned(),
        })
    }

    /// Whether the membership of the failure domain may change: not while an
    /// outdated majority of it could extend dispatch leases. An operator's
    /// release of the domain vouches that there is none.
    fn may_change(&self, view: &View, domain: &str) -> bool {
        let changed = view.state.club(view.club).membership_changed;
        let mut releases = view.state.releases();
        let released = releases.any(|release| {
            release.offset > changed && release.released == ReleaseTarget::Domain(domain.to_owned())
        });
        !view.keeps_any() || released || self.is_roster_known(view, domain)
    }

    /// Whether the instance may still serve an upstream. While it is a member,
    /// a later holder takes this into account as well.
    pub(super) fn may_serve(&self, view: &View, instance: Instance) -> bool {
        let mut upstreams = view.upstreams.iter();
        !self.surveyed
            || upstreams.any(|&upstream| {
                let target = self.targets.get(&upstream);
                let renewer = target.and_then(|target| target.renewers.get(&instance));
                renewer.is_some_and(|renewer| {
                    renewer.sends && !self.has_lapsed(view, upstream, instance, renewer)
                })
            })
    }
}

pub(super) fn is_due(last: Option<Time>, now: Time, interval: Duration) -> bool {
    last.is_none_or(|at| now.since(at) >= interval)
}
