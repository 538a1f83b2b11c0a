//! State machine of the control holder, the instance that holds a club's control
//! lease.
//!
//! The holder answers reports with dispatch leases, learns from the reports which
//! shards the upstreams hold, and orders which shards they are to hold. A shard
//! changes its owner only once the old owner's right to it provably has ended;
//! the `proof` module has these rules. The plan in the log names the only two
//! upstreams that a shard moves between, so that a later holder knows where to
//! look for its owner.

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
mod orders;
mod peers;
mod planner;
mod proof;
mod shard_table;
mod target;

use journal::Journal;
use peers::Peer;
use shard_table::ShardTable;
use target::Target;

/// Longest duration of a dispatch lease; `MAX_LEASE_OVERHANG` may shorten it.
pub const DISPATCH_LEASE: Duration = Duration::from_millis(2_400);

/// Longest time by which a dispatch lease may outlast the control lease of the
/// holder that granted it.
///
/// A new holder waits this long for its predecessor's leases to end. The bound
/// allows a failure domain that was lost together with the holder to be replaced
/// within 3 s.
pub const MAX_LEASE_OVERHANG: Duration = Duration::from_millis(1_600);

/// Time after a holder's election by which all leases of its predecessors have
/// ended: `MAX_LEASE_OVERHANG` plus the drift of the predecessor's clock over the
/// rest of its control lease of 1 s.
const SUCCESSION_WAIT: Duration = Duration::from_millis(1_610);

/// Action that `Holder::tick` returns for the holder's instance to carry out.
#[data(value)]
pub enum Action {
    /// Send a message to an instance.
    Send(Instance, Message),
    /// Append a record to the control stream.
    Append(Body),
}

/// State of one control holder, from its election until it is deposed or loses its
/// lease.
#[derive(Clone, Debug)]
pub struct Holder {
    ballot: Ballot,
    club: String,
    elected_at: Time,
    control_lease_end: Time,
    /// Numbers of versions and epochs issued so far.
    version_count: u64,
    epoch_count: u64,
    deposed: bool,
    can_change_membership: bool,
    takeover_ready: bool,
    peers: BTreeMap<Instance, Peer>,
    targets: BTreeMap<Upstream, Target>,
    shard_tables: BTreeMap<Service, ShardTable>,
    /// Promises not to extend leases, by failure domain with unreachable instances.
    promise_collectors: BTreeMap<String, PromiseCollector>,
    journal: Journal,
    /// Upstreams that the platform lists as leaving.
    leaving: BTreeSet<Upstream>,
    outbox: Vec<Action>,
}

/// Inputs of one tick: the folded state and what is derived from it.
struct View<'a> {
    now: Time,
    state: &'a State,
    club: Club,
    /// Whether the fold contains this holder's `Lead` record, and with it every
    /// record of its predecessors that can still take effect.
    lead_recorded: bool,
    /// Upstreams of the club's services.
    upstreams: Vec<Upstream>,
    /// Keyed services of the club.
    keyed_services: Vec<Service>,
}

impl<'a> View<'a> {
    fn new(now: Time, state: &'a State, club: Club, ballot: Ballot) -> View<'a> {
        let mut view = View {
            now,
            state,
            club,
            lead_recorded: state.club(club).highest_ballot == Some(ballot),
            upstreams: Vec::new(),
            keyed_services: Vec::new(),
        };
        view.upstreams = view.find_upstreams();
        view.keyed_services = view.find_keyed_services();
        view
    }

    /// Whether any service lets isolated failure domains keep its keys.
    fn has_keep_isolation(&self) -> bool {
        let services = self
            .state
            .active_preset()
            .map(|active| &active.preset.services);
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

    fn service_limits(&self, service: Service) -> Option<&ServiceLimits> {
        let active = self.state.active_preset()?;
        active.preset.service(&self.state.service(service).name)
    }

    fn upstream_limits(&self, upstream: Upstream) -> Option<&ServiceLimits> {
        self.service_limits(self.state.upstream(upstream).service)
    }

    fn is_checked(&self, upstream: Upstream) -> bool {
        self.state.upstream(upstream).spec.fencing == Fencing::Checked
    }

    fn domain(&self, upstream: Upstream) -> Domain {
        self.state.upstream(upstream).domain
    }

    /// Whether the service's isolation is `lapse`, so that no votes within the failure
    /// domain can extend the leases of the upstream's dispatchers.
    fn has_lapse_isolation(&self, upstream: Upstream) -> bool {
        let limits = self.upstream_limits(upstream);
        limits.is_some_and(|limits| limits.isolation == Isolation::Lapse)
    }

    fn find_upstreams(&self) -> Vec<Upstream> {
        let club = &self.state.club(self.club).name;
        let keys = (0..self.state.upstreams().len() as u32).map(Upstream);
        let own = |key: &Upstream| {
            self.upstream_limits(*key)
                .is_some_and(|limits| limits.club == *club)
        };
        keys.filter(own).collect()
    }

    fn find_keyed_services(&self) -> Vec<Service> {
        let club = &self.state.club(self.club).name;
        let keys = (0..self.state.services().len() as u16).map(Service);
        let own = |key: &Service| {
            let limits = self.service_limits(*key);
            limits.is_some_and(|limits| limits.keyed && limits.club == *club)
        };
        keys.filter(own).collect()
    }
}

/// Inputs and ticks.
impl Holder {
    /// Creates the holder that was elected at `now` for the named club.
    pub fn new(now: Time, ballot: Ballot, club: String) -> Holder {
        Holder {
            ballot,
            club,
            elected_at: now,
            control_lease_end: now,
            version_count: 0,
            epoch_count: 0,
            deposed: false,
            can_change_membership: false,
            takeover_ready: false,
            peers: BTreeMap::new(),
            targets: BTreeMap::new(),
            shard_tables: BTreeMap::new(),
            promise_collectors: BTreeMap::new(),
            journal: Journal::default(),
            leaving: BTreeSet::new(),
            outbox: Vec::new(),
        }
    }

    /// Ballot under which the holder was elected.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether a higher ballot was seen. A deposed holder takes no further action.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Handles an instance's report; the next `tick` answers it with a dispatch lease.
    pub fn handle_report(&mut self, now: Time, report: Report) {
        self.deposed |= report.highest_ballot > self.ballot;
        let observed = report
            .upstreams
            .iter()
            .filter_map(|observed| observed.version);
        self.deposed |= observed
            .into_iter()
            .any(|version| version.ballot > self.ballot);
        let instance = report.member.instance;
        for observed in &report.upstreams {
            self.handle_observation(now, instance, report.session, observed);
        }
        let ballot = self.ballot;
        let peer = self.peers.entry(instance);
        peer.or_insert_with(|| Peer::new(&report.member))
            .handle_report(now, ballot, report);
    }

    /// Handles a dispatcher's confirmation that it follows an assignment.
    pub fn handle_assigned(&mut self, from: Instance, upstream: Upstream, version: Version) {
        if let Some(target) = self.targets.get_mut(&upstream) {
            target.handle_assigned(from, version);
        }
    }

    /// Handles a dispatcher's message that an upstream has accepted a grant.
    pub fn handle_granted(
        &mut self,
        now: Time,
        upstream: Upstream,
        incarnation: u64,
        version: Version,
    ) {
        let ballot = self.ballot;
        if let Some(target) = self.targets.get_mut(&upstream) {
            target.handle_granted(now, ballot, incarnation, version);
        }
    }

    /// Handles a dispatcher's confirmation that it no longer renews grants older than
    /// the version. The last such grant ends after `remaining`.
    pub fn handle_stopped(
        &mut self,
        now: Time,
        from: Instance,
        upstream: Upstream,
        version: Version,
        remaining: Duration,
    ) {
        if let Some(target) = self.targets.get_mut(&upstream) {
            target.handle_stopped(from, version, now + remaining);
        }
    }

    /// Handles a member's promise not to support extensions of dispatch leases.
    pub fn handle_promise(&mut self, now: Time, from: Instance, nonce: u64) {
        let Some(peer) = self.peers.get(&from) else {
            return;
        };
        if let Some(collector) = self.promise_collectors.get_mut(&peer.member.domain) {
            collector.handle_promise(now, from, nonce);
        }
    }

    /// Sets the upstreams that the platform lists as leaving.
    pub fn set_leaving(&mut self, leaving: BTreeSet<Upstream>) {
        self.leaving = leaving;
    }

    /// Sets the end of the control lease after a renewal. The end never moves back.
    pub fn extend_control_lease(&mut self, until: Time) {
        self.control_lease_end = self.control_lease_end.max(until);
    }

    /// Sets whether the next membership change may begin.
    pub fn set_can_change_membership(&mut self, can_change_membership: bool) {
        self.can_change_membership = can_change_membership;
    }

    /// Runs everything that is due and returns the resulting actions. Returns none once
    /// the holder is deposed, or while the state does not contain its club.
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
        self.grant_leases(now);
        self.append_due_records(&view);
        self.request_promises(&view);
        if self.check_takeover(&view) {
            self.run_after_takeover(&view);
        }
        std::mem::take(&mut self.outbox)
    }
}

impl Holder {
    /// Runs the steps of a tick that have to wait for the takeover.
    fn run_after_takeover(&mut self, view: &View) {
        self.adopt_reported_orders(view);
        self.apply_releases(view);
        self.choose_dispatchers(view);
        self.reconcile_shards(view);
        self.divide_slots(view);
        self.issue_orders(view);
        self.send_unacknowledged(view);
        self.update_plans(view);
        self.append_yield(view);
        self.forget_peers(view);
    }

    /// Answers pending reports with dispatch leases.
    fn grant_leases(&mut self, now: Time) {
        let length = DISPATCH_LEASE.min(self.control_lease_end.since(now) + MAX_LEASE_OVERHANG);
        for (&instance, peer) in &mut self.peers {
            let Some(nonce) = peer.unanswered_nonce.take() else {
                continue;
            };
            // The recipient counts the lease from before it sent its report, so its
            // end lies before this one.
            peer.lease_end = Some(now + max_with_drift(length)).max(peer.lease_end);
            let lease = Lease {
                ballot: self.ballot,
                nonce,
                duration: length,
            };
            let action = Action::Send(instance, Message::Lease(lease));
            self.outbox.push(action);
        }
    }

    /// Local time by which all leases of earlier holders have ended.
    fn predecessor_leases_end(&self) -> Time {
        self.elected_at + max_with_drift(SUCCESSION_WAIT)
    }

    /// Whether the takeover is complete. It is from the first tick at which all leases of
    /// earlier holders have ended and every instance with a lease of this holder has
    /// reported everything that it serves by older orders.
    ///
    /// Until then the dispatchers continue under the predecessor's orders.
    fn check_takeover(&mut self, view: &View) -> bool {
        if !self.takeover_ready {
            let waited = view.now >= self.predecessor_leases_end();
            let mut leased = self.peers.values().filter(|peer| peer.is_leased(view.now));
            self.takeover_ready = waited && leased.all(|peer| peer.fully_reported);
        }
        self.takeover_ready
    }

    fn author(&self) -> Author {
        Author {
            club: self.club.clone(),
            ballot: self.ballot,
        }
    }

    fn next_version(&mut self) -> Version {
        self.version_count += 1;
        Version {
            ballot: self.ballot,
            count: self.version_count,
        }
    }

    fn next_epoch(&mut self) -> Epoch {
        self.epoch_count += 1;
        Epoch {
            term: self.ballot.term,
            round: self.ballot.round,
            count: self.epoch_count,
        }
    }
}
