//! Duties of the control holder.
//!
//! The holder answers reports with dispatch leases, learns from them what the
//! upstreams hold, and orders what they shall hold. A shard changes its owner
//! only when the old owner's right to it is proved to have ended; `proof` has
//! these rules. The plan in the log names the only two upstreams that a shard
//! moves between, so that a later holder knows where to look for its owner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use medlarreel_macros::data;

use crate::control::extension::PromiseCollector;
use crate::fold::State;
use crate::ids::{Ballot, Club, Domain, Epoch, Instance, Service, Upstream, Version};
use crate::preset::{Fencing, Isolation, ServiceLimits};
use crate::record::{Author, Body};
use crate::time::{Time, max_with_drift};
use crate::wire::{Lease, Message, Report};

mod adoption;
mod budget;
mod journal;
mod ledger;
mod orders;
mod peers;
mod planner;
mod proof;
mod target;

use journal::Journal;
use ledger::Ledger;
use peers::Peer;
use target::Target;

/// Length of a dispatch lease.
pub const DISPATCH_LEASE: Duration = Duration::from_millis(2_400);

/// Time by which a dispatch lease may outlast the control lease of its holder.
/// A new holder waits this long for its predecessor's leases, so that a failure
/// domain that was lost together with the holder is replaced within 3 s.
pub const MAX_LEASE_OVERHANG: Duration = Duration::from_millis(1_600);

/// Time after its election by which all leases of a holder's predecessors have
/// ended: `MAX_LEASE_OVERHANG`, and the drift of the predecessor's clock while it counted
/// the rest of its control lease of 1 s.
const SUCCESSION: Duration = Duration::from_millis(1_610);

/// What the holder wants done.
#[data(value)]
pub enum Action {
    /// Send a message to an instance.
    Send(Instance, Message),
    /// Append a record to the control stream.
    Append(Body),
}

/// State of one control holder, from its election to its end.
#[derive(Clone, Debug)]
pub struct Holder {
    ballot: Ballot,
    club: String,
    started: Time,
    control_until: Time,
    /// Counters of the versions and epochs given out.
    versions: u64,
    epochs: u64,
    deposed: bool,
    settled: bool,
    surveyed: bool,
    peers: BTreeMap<Instance, Peer>,
    targets: BTreeMap<Upstream, Target>,
    ledgers: BTreeMap<Service, Ledger>,
    /// Promises of failure domains with unreachable instances.
    withholdings: BTreeMap<String, PromiseCollector>,
    journal: Journal,
    /// Upstreams that the platform's list names as leaving.
    leaving: BTreeSet<Upstream>,
    outbox: Vec<Action>,
}

/// What one tick works on.
struct View<'a> {
    now: Time,
    state: &'a State,
    club: Club,
    /// Whether the fold contains this holder's `Lead`, and so every record of
    /// its predecessors that can still take effect.
    led: bool,
    /// Upstreams of the club's services.
    upstreams: Vec<Upstream>,
    /// Keyed services of the club.
    keyed: Vec<Service>,
}

impl<'a> View<'a> {
    fn new(now: Time, state: &'a State, club: Club, ballot: Ballot) -> View<'a> {
        let mut view = View {
            now,
            state,
            club,
            led: state.club(club).highest_ballot == Some(ballot),
            upstreams: Vec::new(),
            keyed: Vec::new(),
        };
        view.upstreams = view.own_upstreams();
        view.keyed = view.own_keyed();
        view
    }

    /// Whether a service lets isolated failure domains keep its keys.
    fn keeps_any(&self) -> bool {
        let services = self.state.active().map(|active| &active.preset.services);
        let mut services = services.into_iter().flatten();
        services.any(|service| service.isolation == Isolation::Keep)
    }

    /// Members of the club in a failure domain.
    fn members_of(&self, domain: &str) -> impl Iterator<Item = Instance> {
        let members = self.state.club(self.club).members.iter();
        members
            .filter(move |member| member.domain == domain)
            .map(|member| member.instance)
    }

    fn limits(&self, service: Service) -> Option<&ServiceLimits> {
        let active = self.state.active()?;
        active.preset.service(&self.state.service(service).name)
    }

    fn limits_of(&self, upstream: Upstream) -> Option<&ServiceLimits> {
        self.limits(self.state.upstream(upstream).service)
    }

    fn is_checked(&self, upstream: Upstream) -> bool {
        self.state.upstream(upstream).server.fencing == Fencing::Checked
    }

    fn domain(&self, upstream: Upstream) -> Domain {
        self.state.upstream(upstream).domain
    }

    /// Whether leases of the upstream's dispatchers end by time alone.
    fn lapses(&self, upstream: Upstream) -> bool {
        let limits = self.limits_of(upstream);
        limits.is_some_and(|limits| limits.isolation == Isolation::Lapse)
    }

    fn own_upstreams(&self) -> Vec<Upstream> {
        let club = &self.state.club(self.club).name;
        let keys = (0..self.state.upstreams().len() as u32).map(Upstream);
        let own = |key: &Upstream| {
            self.limits_of(*key)
                .is_some_and(|entry| entry.club == *club)
        };
        keys.filter(own).collect()
    }

    fn own_keyed(&self) -> Vec<Service> {
        let club = &self.state.club(self.club).name;
        let keys = (0..self.state.services().len() as u16).map(Service);
        let own = |key: &Service| {
            let limits = self.limits(*key);
            limits.is_some_and(|entry| entry.keyed && entry.club == *club)
        };
        keys.filter(own).collect()
    }
}

/// Inputs.
impl Holder {
    /// Holder elected at `now` for the named club.
    pub fn new(now: Time, ballot: Ballot, club: String) -> Holder {
        Holder {
            ballot,
            club,
            started: now,
            control_until: now,
            versions: 0,
            epochs: 0,
            deposed: false,
            settled: false,
            surveyed: false,
            peers: BTreeMap::new(),
            targets: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            withholdings: BTreeMap::new(),
            journal: Journal::default(),
            leaving: BTreeSet::new(),
            outbox: Vec::new(),
        }
    }

    /// Ballot that the holder acts under.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether a higher ballot was seen; a deposed holder does nothing more.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Takes in an instance's report; `tick` answers it with a dispatch lease.
    pub fn handle_report(&mut self, now: Time, report: Report) {
        self.deposed |= report.highest_ballot > self.ballot;
        let seen = report.upstreams.iter().filter_map(|seen| seen.version);
        self.deposed |= seen.into_iter().any(|version| version.ballot > self.ballot);
        let instance = report.member.instance;
        for seen in &report.upstreams {
            self.observe(now, instance, report.session, seen);
        }
        let ballot = self.ballot;
        let peer = self.peers.entry(instance);
        peer.or_insert_with(|| Peer::new(&report.member))
            .report(now, ballot, report);
    }

    /// A dispatcher follows an assignment.
    pub fn handle_assigned(&mut self, from: Instance, upstream: Upstream, version: Version) {
        if let Some(target) = self.targets.get_mut(&upstream) {
            target.assigned(from, version);
        }
    }

    /// An upstream has accepted a grant.
    pub fn handle_granted(
        &mut self,
        now: Time,
        upstream: Upstream,
        incarnation: u64,
        version: Version,
    ) {
        let ballot = self.ballot;
        if let Some(target) = self.targets.get_mut(&upstream) {
            target.granted(now, ballot, incarnation, version);
        }
    }

    /// A dispatcher renews nothing older than the version.
    pub fn handle_stopped(
        &mut self,
        now: Time,
        from: Instance,
        upstream: Upstream,
        version: Version,
        remaining: Duration,
    ) {
        if let Some(target) = self.targets.get_mut(&upstream) {
            target.stopped(from, version, now + remaining);
        }
    }

    /// A member supports no extension of dispatch leases.
    pub fn handle_promise(&mut self, now: Time, from: Instance, nonce: u64) {
        let Some(peer) = self.peers.get(&from) else {
            return;
        };
        if let Some(withholding) = self.withholdings.get_mut(&peer.member.domain) {
            withholding.handle_promise(now, from, nonce);
        }
    }

    /// Upstreams that the platform's list names as leaving.
    pub fn set_leaving(&mut self, leaving: BTreeSet<Upstream>) {
        self.leaving = leaving;
    }

    /// End of the control lease, as of its last renewal.
    pub fn extend_control_lease(&mut self, until: Time) {
        self.control_until = self.control_until.max(until);
    }

    /// Whether the next change of membership may begin.
    pub fn set_can_change_membership(&mut self, settled: bool) {
        self.settled = settled;
    }

    /// Everything that is to be done now.
    pub fn tick(&mut self, now: Time, state: &State) -> Vec<Action> {
        let Some(club) = state.club_named(&self.club) else {
            return Vec::new();
        };
        let entry = state.club(club);
        self.deposed |= entry.term > self.ballot.term || entry.highest_ballot > Some(self.ballot);
        if self.deposed {
            return Vec::new();
        }
        let view = View::new(now, state, club, self.ballot);
        self.lease(now);
        self.write(&view);
        self.withhold(&view);
        if self.survey(&view) {
            self.act(&view);
        }
        std::mem::take(&mut self.outbox)
    }
}

impl Holder {
    fn act(&mut self, view: &View) {
        self.adopt(view);
        self.note_releases(view);
        self.appoint(view);
        self.reconcile(view);
        self.divide(view);
        self.issue(view);
        self.remind(view);
        self.replan(view);
        self.write_yield(view);
        self.forget_peers(view);
    }

    /// Answers reports with dispatch leases.
    fn lease(&mut self, now: Time) {
        let length = DISPATCH_LEASE.min(self.control_until.since(now) + MAX_LEASE_OVERHANG);
        for (&instance, peer) in &mut self.peers {
            let Some(nonce) = peer.nonce.take() else {
                continue;
            };
            // The recipient counts from before its report, which came earlier.
            peer.until = Some(now + max_with_drift(length)).max(peer.until);
            let lease = Lease {
                ballot: self.ballot,
                nonce,
                duration: length,
            };
            let action = Action::Send(instance, Message::Lease(lease));
            self.outbox.push(action);
        }
    }

    /// Time by which the leases of earlier holders have ended.
    fn succeeded(&self) -> Time {
        self.started + max_with_drift(SUCCESSION)
    }

    /// Whether the leases of earlier holders have ended or are accounted for.
    ///
    /// Until then the dispatchers go on as the predecessor ordered.
    fn survey(&mut self, view: &View) -> bool {
        if !self.surveyed {
            let waited = view.now >= self.succeeded();
            let mut leased = self.peers.values().filter(|peer| peer.is_leased(view.now));
            self.surveyed = waited && leased.all(|peer| peer.known);
        }
        self.surveyed
    }

    fn author(&self) -> Author {
        Author {
            club: self.club.clone(),
            ballot: self.ballot,
        }
    }

    fn next_version(&mut self) -> Version {
        self.versions += 1;
        Version {
            ballot: self.ballot,
            count: self.versions,
        }
    }

    fn next_epoch(&mut self) -> Epoch {
        self.epochs += 1;
        Epoch {
            term: self.ballot.term,
            round: self.ballot.round,
            count: self.epochs,
        }
    }
}
