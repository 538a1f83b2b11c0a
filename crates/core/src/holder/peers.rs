//! Instances that report to the holder, and promises not to extend leases.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use medlarreel_macros::data;

use super::{Action, Holder, View};
use crate::control::extension::PromiseCollector;
use crate::ids::{Ballot, Instance, Offset, Upstream};
use crate::record::Member;
use crate::time::Time;
use crate::wire::{Report, UpstreamObservation};

/// Time without a report after which an instance no longer counts as live and is
/// given no new work.
pub(super) const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without a report after which an instance that is not a member is forgotten.
const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// An instance that has reported to this holder.
#[data(plain)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// Nonce of the report that is still to be answered.
    pub(super) unanswered_nonce: Option<u64>,
    /// Local time by which its dispatch lease has ended.
    pub(super) lease_end: Option<Time>,
    last_report: Time,
    /// Highest session that it has reported; see `Report::session`.
    pub(super) session: u32,
    /// Highest `next_offset` that it has reported.
    pub(super) next_offset: Offset,
    leaving: bool,
    /// Whether it has reported everything that it serves by order of earlier holders.
    pub(super) fully_reported: bool,
    /// What it serves by order of earlier holders.
    pub(super) older_orders: BTreeMap<Upstream, UpstreamObservation>,
}

impl Peer {
    pub(super) fn new(member: &Member) -> Peer {
        Peer {
            member: member.clone(),
            unanswered_nonce: None,
            lease_end: None,
            last_report: Time(0),
            session: 0,
            next_offset: Offset(0),
            leaving: false,
            fully_reported: false,
            older_orders: BTreeMap::new(),
        }
    }

    pub(super) fn handle_report(&mut self, now: Time, ballot: Ballot, report: Report) {
        if report.session < self.session {
            return;
        }
        self.last_report = now;
        self.unanswered_nonce = Some(report.nonce);
        self.session = report.session;
        self.next_offset = self.next_offset.max(report.next_offset);
        self.leaving = report.leaving;
        // Until the instance knows this holder's ballot, it may still take orders from
        // earlier holders.
        if report.highest_ballot != ballot {
            return;
        }
        for observed in report.upstreams {
            let older = observed.assigned_version.map(|version| version.ballot) != Some(ballot);
            if older {
                self.older_orders.insert(observed.upstream, observed);
            } else {
                self.older_orders.remove(&observed.upstream);
            }
        }
        if report.outdated_upstreams == 0 {
            self.older_orders.clear();
        }
        self.fully_reported = self.fully_reported
            || self.older_orders.len() >= usize::from(report.outdated_upstreams);
    }

    pub(super) fn is_leased(&self, now: Time) -> bool {
        self.lease_end.is_some_and(|until| now < until)
    }

    pub(super) fn is_live(&self, now: Time) -> bool {
        now.since(self.last_report) < LIVENESS_TIMEOUT && !self.leaving
    }

    pub(super) fn last_report(&self) -> Time {
        self.last_report
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }
}

impl Holder {
    /// Asks the members of failure domains with unreachable instances to promise not to
    /// support extensions of dispatch leases.
    pub(super) fn request_promises(&mut self, view: &View) {
        let domains = if view.has_keep_isolation() {
            self.silent_domains(view)
        } else {
            BTreeSet::new()
        };
        self.promise_collectors
            .retain(|domain, _| domains.contains(domain));
        for domain in domains {
            let members: Vec<Instance> = view.members_of(&domain).collect();
            let new_collector =
                || PromiseCollector::new(self.ballot.instance, members.iter().copied());
            let collector = self
                .promise_collectors
                .entry(domain)
                .or_insert_with(new_collector);
            collector.add_membership(members.iter().copied());
            let requests = collector.tick(view.now).into_iter();
            self.outbox
                .extend(requests.map(|(to, message)| Action::Send(to, message)));
        }
    }

    /// Failure domains with a member that is not live.
    fn silent_domains(&self, view: &View) -> BTreeSet<String> {
        let members = view.state.club(view.club).members.iter();
        let silent = members.filter(|member| {
            let peer = self.peers.get(&member.instance);
            !peer.is_some_and(|peer| peer.is_live(view.now))
        });
        silent.map(|member| member.domain.clone()).collect()
    }

    /// Forgets instances that are not members, have not reported for `FORGET_TIMEOUT` and
    /// can no longer serve any upstream.
    pub(super) fn forget_peers(&mut self, view: &View) {
        let members = &view.state.club(view.club).members;
        let stale = self.peers.iter().filter(|(instance, peer)| {
            let member = members.iter().any(|member| member.instance == **instance);
            !member
                && !peer.is_leased(view.now)
                && view.now.since(peer.last_report) >= FORGET_TIMEOUT
        });
        let stale: Vec<Instance> = stale.map(|(&instance, _)| instance).collect();
        for instance in stale {
            if !self.may_instance_send(view, instance) {
                self.peers.remove(&instance);
            }
        }
    }

    /// Whether promises of a majority of the failure domain's members exclude extensions
    /// of dispatch leases. No majority counts before the fold contains this holder's
    /// `Lead` record, because the known membership may be outdated until then.
    pub(super) fn has_promise_majority(&self, view: &View, domain: &str) -> bool {
        let collector = self.promise_collectors.get(domain);
        view.lead_recorded
            && collector.is_some_and(|collector| collector.excludes_extensions(view.now))
    }

    /// Whether a majority of the failure domain's members knows its current membership,
    /// so that a majority of an outdated membership cannot extend leases after another
    /// change.
    pub(super) fn is_membership_known(&self, view: &View, domain: &str) -> bool {
        let changed = view.state.club(view.club).membership_changed;
        let knows = |instance: &Instance| {
            let peer = self.peers.get(instance);
            peer.is_some_and(|peer| peer.is_live(view.now) && peer.next_offset > changed)
        };
        let members = view.members_of(domain).count();
        let known = view.members_of(domain).filter(knows).count();
        members == 0 || known * 2 > members
    }
}
