//! Instances as the holder knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use medlarreel_macros::data;

use super::{Action, Holder, View};
use crate::control::extension::PromiseCollector;
use crate::ids::{Ballot, Instance, Offset, Upstream};
use crate::record::Member;
use crate::time::Time;
use crate::wire::{Report, UpstreamObservation};

/// Time without a report after which an instance is given no new work.
pub(super) const LIVE: Duration = Duration::from_millis(1_000);

/// Time after which an instance that is gone for good is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// An instance that has reported to this holder.
#[data(plain)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// Report that is still to be answered.
    pub(super) nonce: Option<u64>,
    /// Time by which its dispatch lease has ended.
    pub(super) until: Option<Time>,
    heard: Time,
    pub(super) session: u32,
    pub(super) next: Offset,
    leaving: bool,
    /// Whether everything it serves by older orders has been reported.
    pub(super) known: bool,
    /// What it serves by order of earlier holders.
    pub(super) older: BTreeMap<Upstream, UpstreamObservation>,
}

impl Peer {
    pub(super) fn new(member: &Member) -> Peer {
        Peer {
            member: member.clone(),
            nonce: None,
            until: None,
            heard: Time(0),
            session: 0,
            next: Offset(0),
            leaving: false,
            known: false,
            older: BTreeMap::new(),
        }
    }

    pub(super) fn report(&mut self, now: Time, ballot: Ballot, report: Report) {
        if report.session < self.session {
            return;
        }
        self.heard = now;
        self.nonce = Some(report.nonce);
        self.session = report.session;
        self.next = self.next.max(report.next_offset);
        self.leaving = report.leaving;
        // Only an instance that knows this holder takes no more orders from others.
        if report.highest_ballot != ballot {
            return;
        }
        for seen in report.upstreams {
            let older = seen.assigned_version.map(|version| version.ballot) != Some(ballot);
            if older {
                self.older.insert(seen.upstream, seen);
            } else {
                self.older.remove(&seen.upstream);
            }
        }
        if report.outdated_upstreams == 0 {
            self.older.clear();
        }
        self.known = self.known || self.older.len() >= usize::from(report.outdated_upstreams);
    }

    pub(super) fn is_leased(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub(super) fn is_live(&self, now: Time) -> bool {
        now.since(self.heard) < LIVE && !self.leaving
    }

    pub(super) fn heard(&self) -> Time {
        self.heard
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }
}

impl Holder {
    /// Asks the members of failure domains with unreachable instances not to
    /// support extensions.
    pub(super) fn withhold(&mut self, view: &View) {
        let cut = if view.keeps_any() {
            self.cut_domains(view)
        } else {
            BTreeSet::new()
        };
        self.withholdings.retain(|domain, _| cut.contains(domain));
        for domain in cut {
            let members: Vec<Instance> = view.members_of(&domain).collect();
            let fresh = || PromiseCollector::new(self.ballot.instance, members.iter().copied());
            let withholding = self.withholdings.entry(domain).or_insert_with(fresh);
            withholding.add_membership(members.iter().copied());
            let questions = withholding.tick(view.now).into_iter();
            self.outbox
                .extend(questions.map(|(to, message)| Action::Send(to, message)));
        }
    }

    fn cut_domains(&self, view: &View) -> BTreeSet<String> {
        let members = view.state.club(view.club).members.iter();
        let silent = members.filter(|member| {
            let peer = self.peers.get(&member.instance);
            !peer.is_some_and(|peer| peer.is_live(view.now))
        });
        silent.map(|member| member.domain.clone()).collect()
    }

    /// Forgets former instances that can serve nothing any more.
    pub(super) fn forget_peers(&mut self, view: &View) {
        let members = &view.state.club(view.club).members;
        let stale = self.peers.iter().filter(|(instance, peer)| {
            let member = members.iter().any(|member| member.instance == **instance);
            !member && !peer.is_leased(view.now) && view.now.since(peer.heard) >= FORGET
        });
        let stale: Vec<Instance> = stale.map(|(&instance, _)| instance).collect();
        for instance in stale {
            if !self.may_serve(view, instance) {
                self.peers.remove(&instance);
            }
        }
    }

    /// Whether a majority of the domain's members supports no extension.
    pub(super) fn is_withheld(&self, view: &View, domain: &str) -> bool {
        let withholding = self.withholdings.get(domain);
        view.led && withholding.is_some_and(|withholding| withholding.excludes_extensions(view.now))
    }

    /// Whether a majority of the domain's members knows its present membership,
    /// so that outdated majorities cannot extend leases after another change.
    pub(super) fn is_roster_known(&self, view: &View, domain: &str) -> bool {
        let changed = view.state.club(view.club).membership_changed;
        let knows = |instance: &Instance| {
            let peer = self.peers.get(instance);
            peer.is_some_and(|peer| peer.is_live(view.now) && peer.next > changed)
        };
        let members = view.members_of(domain).count();
        let known = view.members_of(domain).filter(knows).count();
        members == 0 || known * 2 > members
    }
}
