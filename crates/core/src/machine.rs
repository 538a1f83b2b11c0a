//! Composition of the state machines of one instance.
//!
//! `Machine::handle` takes every event that concerns control state and returns the
//! actions to carry out. The process that runs the machine owns clocks, sockets and
//! random numbers. Traffic is served from the state that the machine exposes: the fold,
//! from which the routing table is derived, and the dispatcher's permits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use medlarreel_macros::data;

use crate::control::Election;
use crate::control::extension::LeaseExtension;
use crate::fold::State;
use crate::grant::dispatcher::{self, Dispatcher};
use crate::grant::{Request, Response};
use crate::holder::Holder;
use crate::ids::{Ballot, Club, Instance, Offset, Proposal, Shard, Upstream};
use crate::preset::Fencing;
use crate::record::{Body, Member, Record};
use crate::time::Time;
use crate::wire::{Lease, Message, Report};

mod checkpointing;
mod enrolment;
mod queue;
mod recovery;
mod replay;

use queue::{Effect, Queue};

pub use replay::Source;

/// Time between reports to the control holder, each of which renews the dispatch lease.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time between `Progress` messages, which tell another member the next offset.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Entry of the platform's list of upstreams.
#[data(value)]
pub struct ListedUpstream {
    /// Name of the upstream.
    pub name: String,
    /// Name of its service.
    pub service: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Fencing, where it differs from the service's.
    pub fencing: Option<Fencing>,
    /// Capacity relative to others, where it differs from the service's slots.
    pub weight: Option<u16>,
}

/// Use of an upstream by the traffic threads.
#[data(value)]
pub struct Traffic {
    /// Exchanges without a response yet.
    pub exchanges: u32,
    /// Open connections.
    pub connections: u32,
    /// Busy slots, in thousandths of the allowance.
    pub busy_permille: u32,
    /// Requests served since the last `Traffic` event, by shard; the shard is `None` for
    /// services that are not keyed.
    pub served: Vec<(Option<Shard>, u32)>,
}

/// External input to the machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; carries a random number.
    Tick(u64),
    /// Records were read, ordered by offset.
    Records(Source, Vec<(Offset, Bytes)>),
    /// The log responded to a read with its next offset.
    LogEnd(Offset),
    /// Records before the offset have been trimmed.
    Trimmed(Offset),
    /// A message arrived from an authenticated instance.
    Message(Instance, Message),
    /// The platform's list was read.
    Listed(Vec<ListedUpstream>),
    /// An upstream responded to a query or grant that was sent at the given time.
    Answered(Upstream, Time, Response),
    /// An upstream did not respond to a query or grant.
    Unanswered(Upstream),
    /// Use of an upstream by the traffic threads.
    Traffic(Upstream, Traffic),
    /// The instance is shutting down.
    Shutdown,
}

/// Action that `Machine::handle` returns for the process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an instance's peer address.
    Send(SocketAddr, Message),
    /// Append a record to the control stream.
    Append(Record),
    /// Ask an upstream for its state.
    Query(Upstream),
    /// Send a grant to an upstream.
    Grant(Upstream, Request),
    /// Read records from the peer, from the next offset on.
    Fetch(SocketAddr),
}

/// State machines of one instance.
#[derive(Debug)]
pub struct Machine {
    local_member: Member,
    state: Arc<State>,
    replay: replay::Replay,
    recovery: recovery::Recovery,
    election: Election,
    extension: LeaseExtension,
    dispatcher: Dispatcher,
    holder: Option<Holder>,
    pending_report: Option<PendingReport>,
    last_report: Time,
    last_progress: Time,
    nonce: u64,
    proposal_count: u64,
    listed: Vec<ListedUpstream>,
    last_enrolment: Time,
    checkpointing: checkpointing::CheckpointProgress,
    /// Addresses of instances that have reported, members or not.
    reported_addresses: BTreeMap<Instance, SocketAddr>,
    stopping: bool,
}

/// A report that was sent and is not yet answered with a lease.
#[derive(Clone, Copy, Debug)]
struct PendingReport {
    nonce: u64,
    sent_at: Time,
}

/// Accessors.
impl Machine {
    /// State folded from the log.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Whether the state is established: replayed up to the log's end or adopted from a
    /// peer.
    pub fn is_established(&self) -> bool {
        self.replay.is_established()
    }

    /// Ballot under which this instance holds the control lease, if it does.
    pub fn control_ballot(&self, now: Time) -> Option<Ballot> {
        self.election.held_ballot(now)
    }

    /// Most likely control holder; `None` if this instance knows of none.
    pub fn holder(&self, now: Time) -> Option<Instance> {
        let own = self.control_ballot(now).map(|ballot| ballot.instance);
        own.or(self.election.holder(now))
    }

    /// The dispatcher's state.
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// Offset after the last record of the state.
    pub fn next_offset(&self) -> Offset {
        self.state.next_offset()
    }

    fn club(&self) -> Option<Club> {
        self.state.club_named(&self.local_member.club)
    }
}

/// Event handling.
impl Machine {
    /// Creates the machine of a process that has just started.
    pub fn new(local_member: Member, now: Time) -> Machine {
        Machine {
            state: Arc::default(),
            replay: replay::Replay::default(),
            recovery: recovery::Recovery::new(now),
            election: Election::new(local_member.instance, now),
            extension: LeaseExtension::new(local_member.instance, now),
            dispatcher: Dispatcher::new(local_member.instance),
            holder: None,
            pending_report: None,
            last_report: Time(0),
            last_progress: Time(0),
            nonce: 0,
            proposal_count: 0,
            listed: Vec::new(),
            last_enrolment: Time(0),
            checkpointing: checkpointing::CheckpointProgress::default(),
            reported_addresses: BTreeMap::new(),
            stopping: false,
            local_member,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut queue = Queue::default();
        match event {
            Event::Tick(random) => self.tick(now, random, &mut queue),
            Event::Records(source, records) => self.replay_records(now, source, records),
            Event::LogEnd(next) => self.handle_log_end(now, next),
            Event::Trimmed(earliest) => self.replay.restart_at(earliest),
            Event::Message(from, message) => self.handle_message(now, from, message, &mut queue),
            Event::Listed(listed) => self.listed = listed,
            Event::Answered(upstream, sent_at, response) => {
                let messages = self
                    .dispatcher
                    .handle_response(now, upstream, sent_at, response);
                self.send_to_holder(messages, &mut queue);
            }
            Event::Unanswered(upstream) => self.dispatcher.handle_failure(now, upstream),
            Event::Traffic(upstream, traffic) => {
                self.handle_traffic(now, upstream, traffic, &mut queue);
            }
            Event::Shutdown => self.shut_down(now, &mut queue),
        }
        self.run_queue(now, queue)
    }

    /// Runs the queued steps: delivers messages to this instance itself and resolves the
    /// addresses of others.
    fn run_queue(&mut self, now: Time, mut queue: Queue) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(effect) = queue.next() {
            match effect {
                Effect::Act(action) => actions.push(action),
                Effect::Send(to, message) if to == self.local_member.instance => {
                    self.handle_message(now, to, message, &mut queue);
                }
                Effect::Send(to, message) => {
                    if let Some(address) = self.peer_address(to) {
                        actions.push(Action::Send(address, message));
                    }
                }
                Effect::Propose(body) => actions.push(Action::Append(self.new_record(body))),
            }
        }
        actions
    }

    fn tick(&mut self, now: Time, random: u64, queue: &mut Queue) {
        if !self.is_established() {
            return;
        }
        queue.send_all(self.election.tick(now, random));
        self.update_holder(now);
        self.tick_holder(now, queue);
        self.extend_leases(now, queue);
        for action in self.dispatcher.tick(now) {
            queue.push_action(match action {
                dispatcher::Action::Query(upstream) => Action::Query(upstream),
                dispatcher::Action::Grant(upstream, request) => Action::Grant(upstream, request),
            });
        }
        self.report_if_due(now, random, queue);
        self.send_progress_if_due(now, random, queue);
        self.checkpoint_if_due(now, queue);
        self.reset_if_due(now, queue);
    }

    /// Extends the dispatch lease by votes if an assigned upstream has `keep` isolation.
    fn extend_leases(&mut self, now: Time, queue: &mut Queue) {
        if !self.dispatcher.has_kept_upstreams() {
            return;
        }
        let holder_lease_end = self.dispatcher.last_lease_end();
        queue.send_all(self.extension.tick(now, holder_lease_end));
        self.dispatcher
            .extend_lease(now, self.extension.lease_end(holder_lease_end));
    }

    /// Starts or drops the holder when this instance gains or loses control.
    fn update_holder(&mut self, now: Time) {
        let ballot = self.control_ballot(now);
        let current = self.holder.as_ref().map(Holder::ballot);
        if ballot != current {
            let club = &self.local_member.club;
            self.reported_addresses.clear();
            self.holder = ballot.map(|ballot| Holder::new(now, ballot, club.clone()));
        }
    }

    /// Runs the holder, and resigns once it is deposed.
    fn tick_holder(&mut self, now: Time, queue: &mut Queue) {
        let can_change_membership = self.election.can_change_membership(now);
        let Some(holder) = &mut self.holder else {
            return;
        };
        holder.set_can_change_membership(can_change_membership);
        if let Some(until) = self.election.lease_end() {
            holder.extend_control_lease(until);
        }
        queue.push_holder_actions(holder.tick(now, &self.state));
        let deposed = holder.is_deposed();
        self.enroll_upstreams(now, queue);
        if deposed {
            self.election.resign(now);
            self.holder = None;
        }
    }

    fn handle_message(&mut self, now: Time, from: Instance, message: Message, queue: &mut Queue) {
        self.recovery.observe_message(now, &message);
        match message {
            Message::VoteRequest(request) => {
                let response = self.election.handle_vote_request(now, from, request);
                queue.send(from, Message::VoteResponse(response));
            }
            Message::VoteResponse(vote) => self.election.handle_vote_response(now, from, vote),
            Message::Resign(ballot) => self.election.handle_resignation(now, from, ballot),
            Message::Lease(lease) => self.handle_lease(now, lease),
            Message::Assign(assignment) => {
                let response = self.dispatcher.handle_assignment(now, assignment);
                queue.send_optional(from, response);
            }
            Message::Stop(upstream, version) => {
                let response = self.dispatcher.handle_stop(now, upstream, version);
                queue.send_optional(from, response);
            }
            Message::ExtensionRequest(nonce, version) => {
                let response = self
                    .extension
                    .handle_extension_request(now, from, nonce, version);
                queue.send(from, response);
            }
            Message::ExtensionResponse(nonce, granted) => {
                let holder_lease_end = self.dispatcher.last_lease_end();
                self.extension.handle_extension_response(
                    now,
                    holder_lease_end,
                    from,
                    nonce,
                    granted,
                );
            }
            Message::PromiseRequest(nonce, duration) => {
                let response = self.extension.handle_promise_request(now, nonce, duration);
                queue.send_optional(from, response);
            }
            Message::Progress(next) => self.handle_progress(from, next, queue),
            other => self.handle_holder_message(now, from, other),
        }
    }

    /// Handles a message that is meant for the control holder.
    fn handle_holder_message(&mut self, now: Time, from: Instance, message: Message) {
        if self.control_ballot(now).is_none() {
            return;
        }
        let Some(holder) = &mut self.holder else {
            return;
        };
        match message {
            Message::Report(report) => {
                self.reported_addresses.insert(from, report.member.peers);
                holder.handle_report(now, report);
            }
            Message::Assigned(upstream, version) => holder.handle_assigned(from, upstream, version),
            Message::Granted(upstream, incarnation, version) => {
                holder.handle_granted(now, upstream, incarnation, version);
            }
            Message::Stopped(upstream, version, remaining) => {
                holder.handle_stopped(now, from, upstream, version, remaining);
            }
            Message::Promise(nonce) => holder.handle_promise(now, from, nonce),
            _ => {}
        }
    }

    fn handle_lease(&mut self, now: Time, lease: Lease) {
        let Some(pending) = self
            .pending_report
            .filter(|pending| pending.nonce == lease.nonce)
        else {
            return;
        };
        self.pending_report = None;
        self.dispatcher.handle_lease(now, pending.sent_at, lease);
    }

    fn handle_traffic(
        &mut self,
        now: Time,
        upstream: Upstream,
        traffic: Traffic,
        queue: &mut Queue,
    ) {
        for (shard, count) in traffic.served {
            self.dispatcher.record_served(upstream, shard, count);
        }
        self.dispatcher
            .set_busy_slots(upstream, traffic.busy_permille);
        let (exchanges, connections) = (traffic.exchanges, traffic.connections);
        let messages = self
            .dispatcher
            .update_usage(now, upstream, exchanges, connections);
        self.send_to_holder(messages, queue);
    }

    /// Sends messages to the holder whose orders the dispatcher follows.
    fn send_to_holder(&self, messages: impl IntoIterator<Item = Message>, queue: &mut Queue) {
        let Some(ballot) = self.dispatcher.highest_ballot() else {
            return;
        };
        for message in messages {
            queue.send(ballot.instance, message);
        }
    }

    /// Fetches records from a peer whose state is ahead of this one.
    fn handle_progress(&mut self, from: Instance, next: Offset, queue: &mut Queue) {
        if next <= self.state.next_offset() {
            return;
        }
        if let Some(address) = self.peer_address(from) {
            queue.push_action(Action::Fetch(address));
        }
    }

    fn report_if_due(&mut self, now: Time, random: u64, queue: &mut Queue) {
        if now.since(self.last_report) < REPORT_INTERVAL {
            return;
        }
        self.last_report = now;
        self.nonce += 1;
        self.pending_report = Some(PendingReport {
            nonce: self.nonce,
            sent_at: now,
        });
        let report = Report {
            member: self.local_member.clone(),
            nonce: self.nonce,
            highest_ballot: self.election.highest_ballot(),
            next_offset: self.state.next_offset(),
            leaving: self.stopping,
            session: self.dispatcher.session(),
            outdated_upstreams: self.dispatcher.outdated_upstreams(),
            upstreams: self.dispatcher.take_observations(now),
        };
        for to in self.report_recipients(now, random) {
            queue.send(to, Message::Report(report.clone()));
        }
    }

    /// Recipients of a report: the holder or, while it is not known, the last known
    /// holder and up to three members.
    fn report_recipients(&self, now: Time, random: u64) -> Vec<Instance> {
        if let Some(holder) = self.holder(now) {
            return vec![holder];
        }
        let Some(club) = self.club().map(|club| self.state.club(club)) else {
            return Vec::new();
        };
        let last = club.highest_ballot.map(|ballot| ballot.instance);
        let count = club.members.len().max(1);
        let start = random as usize % count;
        let others = club.members.iter().cycle().skip(start).take(count.min(3));
        last.into_iter()
            .chain(others.map(|member| member.instance))
            .collect()
    }

    fn send_progress_if_due(&mut self, now: Time, random: u64, queue: &mut Queue) {
        if now.since(self.last_progress) < PROGRESS_INTERVAL {
            return;
        }
        self.last_progress = now;
        let Some(club) = self.club().map(|club| self.state.club(club)) else {
            return;
        };
        let count = club.members.len().max(1);
        if let Some(member) = club.members.get(random as usize % count) {
            queue.send(member.instance, Message::Progress(self.state.next_offset()));
        }
    }

    fn shut_down(&mut self, now: Time, queue: &mut Queue) {
        self.stopping = true;
        self.last_report = Time(0);
        self.report_if_due(now, 0, queue);
        self.election.resign(now);
        self.holder = None;
    }

    /// Creates a record of the body with a new proposal id.
    fn new_record(&mut self, body: Body) -> Record {
        self.proposal_count += 1;
        let seed = (self.local_member.instance.0, self.proposal_count);
        let bytes = [seed.0.to_le_bytes(), seed.1.to_le_bytes()].concat();
        let proposal = Proposal(xxhash_rust::xxh3::xxh3_64(&bytes));
        Record { proposal, body }
    }

    /// Peer address of a member of any club, or of an instance that has reported.
    fn peer_address(&self, instance: Instance) -> Option<SocketAddr> {
        let members = self.state.clubs().iter().flat_map(|club| &club.members);
        let mut known = members.filter(|member| member.instance == instance);
        let reported = self.reported_addresses.get(&instance).copied();
        known.next().map(|member| member.peers).or(reported)
    }
}
