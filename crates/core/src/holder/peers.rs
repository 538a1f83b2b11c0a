//! Instances as the holder knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarreel_macros::data;

use super::{Action, Holder, LEASE, View};
use crate::ids::{Ballot, Instance, Offset, Upstream};
use crate::preset::Isolation;
use crate::record::Member;
use crate::time::{Time, longest, shortest};
use crate::wire::{Message, Observed, Report};

/// Time without a report after which an instance is given no new work.
pub(super) const LIVE: Duration = Duration::from_millis(1_000);

/// Length of a `Withhold`, and interval of its renewals.
const WITHHOLD: Duration = Duration::from_millis(5_000);
const WITHHOLD_RENEWAL: Duration = Duration::from_millis(1_000);

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
    pub(super) older: BTreeMap<Upstream, Observed>,
    /// Newest `Withhold` sent: nonce and time.
    asked: Option<(u64, Time)>,
    /// Period for which it supports no extension.
    withheld: Option<(Time, Time)>,
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
            asked: None,
            withheld: None,
        }
    }

    pub(super) fn report(&mut self, now: Time, ballot: Ballot, report: Report) {
        if report.session < self.session {
            return;
        }
        self.heard = now;
        self.nonce = Some(report.nonce);
        self.session = report.session;
        self.next = self.next.max(report.next);
        self.leaving = report.leaving;
        // Only an instance that knows this holder takes no more orders from others.
        if report.highest != ballot {
            return;
        }
        for seen in report.upstreams {
            let older = seen.assigned.map(|version| version.ballot) != Some(ballot);
            if older {
                self.older.insert(seen.upstream, seen);
            } else {
                self.older.remove(&seen.upstream);
            }
        }
        if report.older == 0 {
            self.older.clear();
        }
        self.known = self.known || self.older.len() >= usize::from(report.older);
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

    pub(super) fn withheld(&mut self, now: Time, nonce: u64) {
        let Some((_, sent)) = self.asked.filter(|(asked, _)| *asked == nonce) else {
            return;
        };
        let until = sent + shortest(WITHHOLD);
        let from = match self.withheld {
            Some((from, before)) if now < before => from,
            _ => now,
        };
        self.withheld = Some((from, until));
    }

    /// Whether no extension that it supported earlier can be in force.
    fn supports_nothing(&self, now: Time) -> bool {
        self.withheld
            .is_some_and(|(from, until)| from + longest(LEASE) <= now && now < until)
    }
}

impl Holder {
    /// Asks the members of domains with unreachable instances not to extend leases.
    pub(super) fn withhold(&mut self, view: &View, random: u64) {
        let keeps = view.state.active().is_some_and(|active| {
            let mut services = active.preset.services.iter();
            services.any(|service| service.isolation == Isolation::Keep)
        });
        if !keeps {
            return;
        }
        let members = &view.state.club(view.club).members;
        for member in members {
            let cut = members.iter().any(|other| {
                let peer = self.peers.get(&other.instance);
                other.domain == member.domain && !peer.is_some_and(|peer| peer.is_live(view.now))
            });
            let Some(peer) = self.peers.get_mut(&member.instance).filter(|_| cut) else {
                continue;
            };
            let due = peer
                .asked
                .is_none_or(|(_, sent)| view.now >= sent + WITHHOLD_RENEWAL);
            if due {
                let nonce = random ^ member.instance.0;
                peer.asked = Some((nonce, view.now));
                let message = Message::Withhold(nonce, WITHHOLD);
                self.outbox.push(Action::Send(member.instance, message));
            }
        }
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
        let members = view.state.club(view.club).members.iter();
        let members: Vec<_> = members.filter(|member| member.domain == domain).collect();
        let withheld = members.iter().filter(|member| {
            let peer = self.peers.get(&member.instance);
            peer.is_some_and(|peer| peer.supports_nothing(view.now))
        });
        view.led && withheld.count() * 2 > members.len()
    }
}
