//! Composition of the state machines of one instance.
//!
//! `Machine::handle` takes every event that concerns control state and returns
//! what is to be done. The caller owns clocks, sockets and random numbers.
//! Traffic is served from what the machine publishes: the fold, from which the
//! routing table is derived, and the permits of the dispatcher.

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

mod copying;
mod enrolment;
mod queue;
mod recovery;
mod replay;

use queue::{Queue, Step};

pub use replay::Source;

/// Time between reports to the holder; also renews the dispatch lease.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time between hints to other members about the log's end.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Entry of the platform's list.
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
    /// Class, where it differs from the service's.
    pub fencing: Option<Fencing>,
    /// Capacity relative to others, where it differs from the service's slots.
    pub weight: Option<u16>,
}

/// Use of an upstream by the traffic threads.
#[data(value)]
pub struct Traffic {
    /// Exchanges without an answer yet.
    pub exchanges: u32,
    /// Open connections.
    pub connections: u32,
    /// Slots that are busy, in thousandths of the allowance.
    pub busy_permille: u32,
    /// Requests run, by shard; shard `None` for services that are not keyed.
    pub served: Vec<(Option<Shard>, u32)>,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; carries a random number.
    Tick(u64),
    /// Records were read, in offset order.
    Records(Source, Vec<(Offset, Bytes)>),
    /// The log answered a read; its next offset.
    LogEnd(Offset),
    /// Records before the offset have been trimmed.
    Trimmed(Offset),
    /// A message arrived from an authenticated instance.
    Message(Instance, Message),
    /// The platform's list was read.
    Listed(Vec<ListedUpstream>),
    /// An upstream answered a query or grant that was asked at the given time.
    Answered(Upstream, Time, Response),
    /// An upstream did not answer a query or grant.
    Unanswered(Upstream),
    /// What the traffic threads did at an upstream since the last such event.
    Traffic(Upstream, Traffic),
    /// The instance is shutting down.
    Shutdown,
}

/// Something to be done.
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
    me: Member,
    state: Arc<State>,
    replay: replay::Replay,
    recovery: recovery::Recovery,
    election: Election,
    extension: LeaseExtension,
    dispatcher: Dispatcher,
    holder: Option<Holder>,
    report: Option<Pending>,
    reported: Time,
    hinted: Time,
    nonce: u64,
    appended: u64,
    listed: Vec<ListedUpstream>,
    enrolled: Time,
    copying: copying::Copying,
    /// Addresses of instances that have reported, members or not.
    contacts: BTreeMap<Instance, SocketAddr>,
    stopping: bool,
}

/// A report that waits for its lease.
#[derive(Clone, Copy, Debug)]
struct Pending {
    nonce: u64,
    sent: Time,
}

/// Queries.
impl Machine {
    /// What the log says.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Whether the state has been established, from the log's end or a peer.
    pub fn is_established(&self) -> bool {
        self.replay.established()
    }

    /// Ballot under which this instance holds control now.
    pub fn control_ballot(&self, now: Time) -> Option<Ballot> {
        self.election.held_ballot(now)
    }

    /// Likely control holder.
    pub fn holder(&self, now: Time) -> Option<Instance> {
        let own = self.control_ballot(now).map(|ballot| ballot.instance);
        own.or(self.election.holder(now))
    }

    /// The dispatcher's state.
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// Next offset to read.
    pub fn next_offset(&self) -> Offset {
        self.state.next_offset()
    }

    fn club(&self) -> Option<Club> {
        self.state.club_named(&self.me.club)
    }
}

/// Commands.
impl Machine {
    /// Machine of a process that has just started.
    pub fn new(me: Member, now: Time) -> Machine {
        Machine {
            state: Arc::default(),
            replay: replay::Replay::default(),
            recovery: recovery::Recovery::new(now),
            election: Election::new(me.instance, now),
            extension: LeaseExtension::new(me.instance, now),
            dispatcher: Dispatcher::new(me.instance),
            holder: None,
            report: None,
            reported: Time(0),
            hinted: Time(0),
            nonce: 0,
            appended: 0,
            listed: Vec::new(),
            enrolled: Time(0),
            copying: copying::Copying::default(),
            contacts: BTreeMap::new(),
            stopping: false,
            me,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut queue = Queue::default();
        match event {
            Event::Tick(random) => self.tick(now, random, &mut queue),
            Event::Records(source, records) => self.replay_records(now, source, records),
            Event::LogEnd(next) => self.log_answered(now, next),
            Event::Trimmed(earliest) => self.replay.trimmed(earliest),
            Event::Message(from, message) => self.receive(now, from, message, &mut queue),
            Event::Listed(listed) => self.listed = listed,
            Event::Answered(upstream, asked, answer) => {
                let news = self
                    .dispatcher
                    .handle_response(now, upstream, asked, answer);
                self.tell_holder(news, &mut queue);
            }
            Event::Unanswered(upstream) => self.dispatcher.handle_failure(now, upstream),
            Event::Traffic(upstream, traffic) => {
                self.note_traffic(now, upstream, traffic, &mut queue);
            }
            Event::Shutdown => self.stop(now, &mut queue),
        }
        self.settle(now, queue)
    }

    /// Delivers messages to this instance itself and resolves addresses.
    fn settle(&mut self, now: Time, mut queue: Queue) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(step) = queue.next() {
            match step {
                Step::Act(action) => actions.push(action),
                Step::Send(to, message) if to == self.me.instance => {
                    self.receive(now, to, message, &mut queue);
                }
                Step::Send(to, message) => {
                    if let Some(address) = self.address(to) {
                        actions.push(Action::Send(address, message));
                    }
                }
                Step::Propose(body) => actions.push(Action::Append(self.propose(body))),
            }
        }
        actions
    }

    fn tick(&mut self, now: Time, random: u64, queue: &mut Queue) {
        if !self.is_established() {
            return;
        }
        queue.send_all(self.election.tick(now, random));
        self.take_or_leave_control(now);
        self.run_duties(now, queue);
        self.extend_leases(now, queue);
        for action in self.dispatcher.tick(now) {
            queue.act(match action {
                dispatcher::Action::Query(upstream) => Action::Query(upstream),
                dispatcher::Action::Grant(upstream, request) => Action::Grant(upstream, request),
            });
        }
        self.report_due(now, random, queue);
        self.hint_due(now, random, queue);
        self.copy_due(now, queue);
        self.reset_due(now, queue);
    }

    /// Extends dispatch leases by votes where isolation is `keep`.
    fn extend_leases(&mut self, now: Time, queue: &mut Queue) {
        if !self.dispatcher.has_kept_upstreams() {
            return;
        }
        let lease = self.dispatcher.last_lease_end();
        queue.send_all(self.extension.tick(now, lease));
        self.dispatcher
            .extend_lease(now, self.extension.lease_end(lease));
    }

    fn take_or_leave_control(&mut self, now: Time) {
        let ballot = self.control_ballot(now);
        let current = self.holder.as_ref().map(Holder::ballot);
        if ballot != current {
            let club = &self.me.club;
            self.contacts.clear();
            self.holder = ballot.map(|ballot| Holder::new(now, ballot, club.clone()));
        }
    }

    fn run_duties(&mut self, now: Time, queue: &mut Queue) {
        let settled = self.election.can_change_membership(now);
        let Some(duties) = &mut self.holder else {
            return;
        };
        duties.set_can_change_membership(settled);
        if let Some(until) = self.election.lease_end() {
            duties.extend_control_lease(until);
        }
        queue.perform(duties.tick(now, &self.state));
        let deposed = duties.is_deposed();
        self.enrol(now, queue);
        if deposed {
            self.election.resign(now);
            self.holder = None;
        }
    }

    fn receive(&mut self, now: Time, from: Instance, message: Message, queue: &mut Queue) {
        self.recovery.heard(now, &message);
        match message {
            Message::VoteRequest(ask) => {
                let vote = self.election.handle_vote_request(now, from, ask);
                queue.send(from, Message::VoteResponse(vote));
            }
            Message::VoteResponse(vote) => self.election.handle_vote_response(now, from, vote),
            Message::Resign(ballot) => self.election.handle_resignation(now, from, ballot),
            Message::Lease(lease) => self.leased(now, lease),
            Message::Assign(assignment) => {
                let answer = self.dispatcher.handle_assignment(now, assignment);
                queue.send_some(from, answer);
            }
            Message::Stop(upstream, version) => {
                let answer = self.dispatcher.handle_stop(now, upstream, version);
                queue.send_some(from, answer);
            }
            Message::ExtensionRequest(nonce, version) => {
                let answer = self
                    .extension
                    .handle_extension_request(now, from, nonce, version);
                queue.send(from, answer);
            }
            Message::ExtensionResponse(nonce, granted) => {
                let lease = self.dispatcher.last_lease_end();
                self.extension
                    .handle_extension_response(now, lease, from, nonce, granted);
            }
            Message::PromiseRequest(nonce, length) => {
                let answer = self.extension.handle_promise_request(now, nonce, length);
                queue.send_some(from, answer);
            }
            Message::Progress(next) => self.lagging(from, next, queue),
            other => self.receive_duty(now, from, other),
        }
    }

    /// Takes a message that concerns the control holder only.
    fn receive_duty(&mut self, now: Time, from: Instance, message: Message) {
        if self.control_ballot(now).is_none() {
            return;
        }
        let Some(duties) = &mut self.holder else {
            return;
        };
        match message {
            Message::Report(report) => {
                self.contacts.insert(from, report.member.peers);
                duties.handle_report(now, report);
            }
            Message::Assigned(upstream, version) => duties.handle_assigned(from, upstream, version),
            Message::Granted(upstream, incarnation, version) => {
                duties.handle_granted(now, upstream, incarnation, version);
            }
            Message::Stopped(upstream, version, left) => {
                duties.handle_stopped(now, from, upstream, version, left);
            }
            Message::Promise(nonce) => duties.handle_promise(now, from, nonce),
            _ => {}
        }
    }

    fn leased(&mut self, now: Time, lease: Lease) {
        let Some(pending) = self.report.filter(|pending| pending.nonce == lease.nonce) else {
            return;
        };
        self.report = None;
        self.dispatcher.handle_lease(now, pending.sent, lease);
    }

    fn note_traffic(&mut self, now: Time, upstream: Upstream, traffic: Traffic, queue: &mut Queue) {
        for (shard, count) in traffic.served {
            self.dispatcher.record_served(upstream, shard, count);
        }
        self.dispatcher
            .set_busy_slots(upstream, traffic.busy_permille);
        let (exchanges, connections) = (traffic.exchanges, traffic.connections);
        let news = self
            .dispatcher
            .update_usage(now, upstream, exchanges, connections);
        self.tell_holder(news, queue);
    }

    /// Sends news to the holder whose orders the dispatcher follows.
    fn tell_holder(&self, news: impl IntoIterator<Item = Message>, queue: &mut Queue) {
        let Some(ballot) = self.dispatcher.highest_ballot() else {
            return;
        };
        for message in news {
            queue.send(ballot.instance, message);
        }
    }

    fn lagging(&mut self, from: Instance, next: Offset, queue: &mut Queue) {
        if next <= self.state.next_offset() {
            return;
        }
        if let Some(address) = self.address(from) {
            queue.act(Action::Fetch(address));
        }
    }

    fn report_due(&mut self, now: Time, random: u64, queue: &mut Queue) {
        if now.since(self.reported) < REPORT_INTERVAL {
            return;
        }
        self.reported = now;
        self.nonce += 1;
        self.report = Some(Pending {
            nonce: self.nonce,
            sent: now,
        });
        let report = Report {
            member: self.me.clone(),
            nonce: self.nonce,
            highest_ballot: self.election.highest_ballot(),
            next_offset: self.state.next_offset(),
            leaving: self.stopping,
            session: self.dispatcher.session(),
            outdated_upstreams: self.dispatcher.outdated_upstreams(),
            upstreams: self.dispatcher.take_observations(now),
        };
        for to in self.report_targets(now, random) {
            queue.send(to, Message::Report(report.clone()));
        }
    }

    /// The holder, or some members while it is not known.
    fn report_targets(&self, now: Time, random: u64) -> Vec<Instance> {
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

    fn hint_due(&mut self, now: Time, random: u64, queue: &mut Queue) {
        if now.since(self.hinted) < PROGRESS_INTERVAL {
            return;
        }
        self.hinted = now;
        let Some(club) = self.club().map(|club| self.state.club(club)) else {
            return;
        };
        let count = club.members.len().max(1);
        if let Some(member) = club.members.get(random as usize % count) {
            queue.send(member.instance, Message::Progress(self.state.next_offset()));
        }
    }

    fn stop(&mut self, now: Time, queue: &mut Queue) {
        self.stopping = true;
        self.reported = Time(0);
        self.report_due(now, 0, queue);
        self.election.resign(now);
        self.holder = None;
    }

    fn propose(&mut self, body: Body) -> Record {
        self.appended += 1;
        let seed = (self.me.instance.0, self.appended);
        let bytes = [seed.0.to_le_bytes(), seed.1.to_le_bytes()].concat();
        let proposal = Proposal(xxhash_rust::xxh3::xxh3_64(&bytes));
        Record { proposal, body }
    }

    fn address(&self, instance: Instance) -> Option<SocketAddr> {
        let members = self.state.clubs().iter().flat_map(|club| &club.members);
        let mut known = members.filter(|member| member.instance == instance);
        let reported = self.contacts.get(&instance).copied();
        known.next().map(|member| member.peers).or(reported)
    }
}
