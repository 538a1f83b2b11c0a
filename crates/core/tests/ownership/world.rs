//! Simulation of a club in virtual time: instances, upstreams, the log and faults.

use std::collections::BTreeMap;

use medlarreel_core::control::extension::LeaseExtension;
use medlarreel_core::fold::State;
use medlarreel_core::grant::dispatcher::{self, Dispatcher};
use medlarreel_core::grant::{Register, Request, Response};
use medlarreel_core::holder::{self, Holder};
use medlarreel_core::ids::{Ballot, Epoch, Instance, Offset, Proposal};
use medlarreel_core::record::{Body, Member, Record};
use medlarreel_core::time::Time;
use medlarreel_core::wire::{Message, Report};
use rand::Rng;

use crate::checker::Checker;
use crate::club::{self, CLUB, ClubSetup};
use crate::net::{Clock, EventQueue};
use crate::servers::SimulatedUpstream;

/// One millisecond of true time, which is in microseconds.
pub const MS: u64 = 1_000;
const STEP_INTERVAL: u64 = 10 * MS;
const REPORT_INTERVAL: u64 = 400 * MS;

#[derive(Clone)]
pub enum Event {
    /// One tick of the election and of every instance.
    Step,
    /// Requests for every shard.
    Load,
    /// Message with its recipient and sender.
    Message(Instance, Instance, Message),
    /// Query (without a request) or grant to an upstream, with its sender and the
    /// sender's local time.
    Call(usize, Instance, Time, Option<Request>),
    /// Response to a `Call`, with its recipient, the upstream, and the recipient's local
    /// time of the call.
    Reply(Instance, usize, Time, Response),
    /// Request to an upstream for a shard under an epoch, with its sender. The sender
    /// counts it as open until its `Completion`.
    Run(usize, Instance, u16, Epoch),
    Completion(Instance, usize),
}

/// One instance.
pub struct Process {
    pub member: Member,
    pub clock: Clock,
    pub dispatcher: Dispatcher,
    pub extension: LeaseExtension,
    pub holder: Option<Holder>,
    /// End of the control lease in true time.
    pub control_lease_end: u64,
    pub state: State,
    pub report_times: BTreeMap<u64, Time>,
    pub last_report: u64,
    pub paused_until: u64,
    pub alive: bool,
    /// Instances of different groups exchange no messages. After a reset, only the new
    /// group reads the log.
    pub group: u8,
    pub open_exchanges: BTreeMap<usize, u32>,
}

pub struct World {
    pub now: u64,
    pub queue: EventQueue<Event>,
    pub setup: ClubSetup,
    pub processes: Vec<Process>,
    pub servers: Vec<SimulatedUpstream>,
    pub checker: Checker,
    pub log: Vec<Record>,
    pub initial_state: State,
    pub log_unavailable_until: u64,
    /// Isolated failure domain, and the true time at which the partition ends.
    pub partition: (usize, u64),
    /// Group that cannot read the log, if any.
    pub group_without_log: Option<u8>,
    /// State folded from the whole log.
    pub log_state: State,
    term: Offset,
    round: u32,
    /// Time between two requests for each shard.
    pub load_interval: u64,
}

impl World {
    pub fn new(seed: u64, setup: ClubSetup) -> World {
        let initial_state = club::state(setup);
        let mut queue = EventQueue::new(seed);
        queue.schedule(0, Event::Step);
        queue.schedule(0, Event::Load);
        let mut world = World {
            now: 0,
            queue,
            setup,
            processes: Vec::new(),
            servers: Vec::new(),
            checker: Checker::default(),
            log: Vec::new(),
            log_unavailable_until: 0,
            partition: (9, 0),
            group_without_log: None,
            log_state: initial_state.clone(),
            initial_state,
            term: Offset(1),
            round: 0,
            load_interval: STEP_INTERVAL,
        };
        for id in 0..setup.instances {
            world.start_process(club::member(id + 1, id % 3), 0);
        }
        for _ in 0..=setup.upstreams {
            let clock = Clock::random(&mut world.queue.random);
            world.servers.push(SimulatedUpstream {
                clock,
                register: Register::new(1),
                frozen_until: 0,
                alive: true,
                draining: false,
            });
        }
        world
    }

    pub fn start_process(&mut self, member: Member, group: u8) {
        let clock = Clock::random(&mut self.queue.random);
        let extension = LeaseExtension::new(member.instance, clock.read(self.now));
        self.processes.push(Process {
            clock,
            extension,
            dispatcher: Dispatcher::new(member.instance),
            member,
            holder: None,
            control_lease_end: 0,
            state: self.initial_state.clone(),
            report_times: BTreeMap::new(),
            last_report: self.now,
            paused_until: 0,
            alive: true,
            group,
            open_exchanges: BTreeMap::new(),
        });
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some((time, event)) = self.queue.pop() {
            self.now = time;
            if time >= end {
                self.queue.schedule(time, event);
                return;
            }
            self.handle(event);
        }
    }

    pub fn domain_of(process: &Process) -> usize {
        process.member.domain[1..].parse().unwrap()
    }

    pub fn index(&self, instance: Instance) -> usize {
        let mut processes = self.processes.iter();
        processes
            .position(|entry| entry.member.instance == instance)
            .unwrap()
    }

    pub fn is_up(&self, index: usize) -> bool {
        let process = &self.processes[index];
        process.alive && self.now >= process.paused_until
    }

    /// Whether the instance can act now. The event is delayed while it is paused.
    pub fn is_awake(&mut self, index: usize, event: impl FnOnce() -> Event) -> bool {
        let process = &self.processes[index];
        if process.alive && self.now < process.paused_until {
            self.queue.schedule(process.paused_until, event());
            return false;
        }
        process.alive
    }

    pub fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.now < self.partition.1 && a != b && (a == self.partition.0 || b == self.partition.0)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Step => self.step(),
            Event::Load => self.send_all_requests(),
            Event::Message(to, from, message) => self.deliver_message(to, from, message),
            Event::Call(server, from, at, request) => self.handle_call(server, from, at, request),
            Event::Reply(to, server, at, answer) => self.handle_reply(to, server, at, answer),
            Event::Run(server, from, shard, epoch) => self.run_request(server, from, shard, epoch),
            Event::Completion(to, server) => self.handle_completion(to, server),
        }
    }

    fn step(&mut self) {
        self.elect_or_renew_holders();
        for index in 0..self.processes.len() {
            if self.is_up(index) {
                self.read_log(index);
                self.tick_holder(index);
                self.report_if_due(index);
                self.tick_dispatcher(index);
            }
        }
        self.queue.schedule(self.now + STEP_INTERVAL, Event::Step);
    }

    pub fn local_time(&self, index: usize) -> Time {
        self.processes[index].clock.read(self.now)
    }

    fn reads_log(&self, index: usize) -> bool {
        let process = &self.processes[index];
        let isolated = self.now < self.partition.1 && World::domain_of(process) == self.partition.0;
        self.now >= self.log_unavailable_until
            && !isolated
            && self.group_without_log != Some(process.group)
    }

    fn read_log(&mut self, index: usize) {
        if !self.reads_log(index) {
            return;
        }
        let state = &mut self.processes[index].state;
        let base = self.initial_state.next_offset().0;
        let known = (state.next_offset().0 - base) as usize;
        for record in &self.log[known..] {
            let _ = state.apply(state.next_offset(), record.clone());
        }
    }

    /// Instance that was last elected control holder of the group and still is.
    pub fn holder_of(&self, group: u8) -> Option<usize> {
        let indexes = 0..self.processes.len();
        indexes
            .filter(|&index| self.processes[index].group == group)
            .filter(|&index| self.processes[index].holder.is_some())
            .max_by_key(|&index| self.processes[index].holder.as_ref().unwrap().ballot())
    }

    /// Stands in for the voters: renews the control lease of each group's holder while it
    /// is healthy, and otherwise elects another one 50 ms after the lease has ended.
    fn elect_or_renew_holders(&mut self) {
        let groups: Vec<u8> = if self.group_without_log.is_some() {
            vec![0, 1]
        } else {
            vec![0]
        };
        for group in groups {
            let healthy = |world: &World, index: usize| {
                let process = &world.processes[index];
                let isolated =
                    world.now < world.partition.1 && World::domain_of(process) == world.partition.0;
                world.is_up(index) && process.group == group && !isolated
            };
            match self.holder_of(group) {
                Some(index)
                    if healthy(self, index)
                        && self.now < self.processes[index].control_lease_end =>
                {
                    self.processes[index].control_lease_end = self.now + 1_000 * MS;
                }
                Some(index) if self.now < self.processes[index].control_lease_end + 50 * MS => {}
                _ => {
                    let candidate = (0..self.processes.len()).find(|&index| healthy(self, index));
                    if let Some(index) = candidate {
                        self.start_holder(index, group);
                    }
                }
            }
        }
    }

    fn start_holder(&mut self, index: usize, group: u8) {
        self.round += 1;
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        let ballot = Ballot {
            term: if group == 0 { Offset(1) } else { self.term },
            round: self.round,
            instance: process.member.instance,
        };
        let mut holder = Holder::new(now, ballot, CLUB.into());
        holder.set_can_change_membership(true);
        process.holder = Some(holder);
        process.control_lease_end = self.now + 1_000 * MS;
    }

    /// Starts a new term with one process of group 1, as its `Reset` would.
    pub fn reset(&mut self, voter: Member) {
        self.term = Offset(self.initial_state.next_offset().0 + self.log.len() as u64 + 1);
        self.append(Body::Reset {
            club: CLUB.into(),
            expected: Offset(1),
            voter,
        });
        self.group_without_log = Some(0);
    }

    pub fn append(&mut self, body: Body) {
        let proposal = Proposal(self.log.len() as u64 + 1);
        let record = Record { proposal, body };
        // Rejected records are part of the log as well.
        let _ = self
            .log_state
            .apply(self.log_state.next_offset(), record.clone());
        self.log.push(record);
    }

    /// Runs the holder and returns its actions. A holder whose lease has ended is
    /// dropped.
    fn holder_actions(&mut self, index: usize) -> Vec<holder::Action> {
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        if self.now >= process.control_lease_end {
            process.holder = None;
        }
        let Some(holder) = &mut process.holder else {
            return Vec::new();
        };
        holder.extend_control_lease(process.clock.read(process.control_lease_end));
        holder.tick(now, &process.state)
    }

    fn tick_holder(&mut self, index: usize) {
        for action in self.holder_actions(index) {
            self.perform_action(index, action, self.now);
        }
    }

    fn perform_action(&mut self, index: usize, action: holder::Action, at: u64) {
        let me = self.processes[index].member.instance;
        match action {
            holder::Action::Send(to, message) if at > self.now => {
                self.queue.schedule(at, Event::Message(to, me, message));
            }
            holder::Action::Send(to, message) => self.send(index, to, message),
            holder::Action::Append(body) if self.reads_log(index) => self.append(body),
            holder::Action::Append(_) => {}
        }
    }

    /// Pauses an instance whose holder has just checked its lease: the actions that it
    /// decided on are only carried out when the instance resumes.
    pub fn pause_process(&mut self, index: usize, span: u64) {
        let until = self.now + span;
        for action in self.holder_actions(index) {
            self.perform_action(index, action, until);
        }
        self.processes[index].paused_until = until;
    }

    fn send(&mut self, from: usize, to: Instance, message: Message) {
        let target = self.index(to);
        let (a, b) = (&self.processes[from], &self.processes[target]);
        let isolated = self.is_partitioned(World::domain_of(a), World::domain_of(b));
        let me = a.member.instance;
        if !isolated && a.group == b.group {
            self.queue.send(self.now, Event::Message(to, me, message));
        }
    }

    pub fn send_to_holder(&mut self, from: usize, message: Message) {
        if let Some(holder) = self.holder_of(self.processes[from].group) {
            let to = self.processes[holder].member.instance;
            self.send(from, to, message);
        }
    }

    fn report_if_due(&mut self, index: usize) {
        if self.now < self.processes[index].last_report + REPORT_INTERVAL {
            return;
        }
        let now = self.local_time(index);
        let nonce = self.queue.random.random();
        let process = &mut self.processes[index];
        process.last_report = self.now;
        process.report_times.insert(nonce, now);
        let mut observed = process.dispatcher.take_observations(now);
        let dispatcher = &process.dispatcher;
        let least = Ballot {
            term: Offset(1),
            round: 0,
            instance: Instance(0),
        };
        let mut reports = Vec::new();
        // At most two upstreams per report, and at least one report.
        while reports.is_empty() || !observed.is_empty() {
            let part = observed.split_off(observed.len().saturating_sub(2));
            reports.push(Report {
                member: process.member.clone(),
                nonce,
                highest_ballot: dispatcher.highest_ballot().unwrap_or(least),
                next_offset: process.state.next_offset(),
                leaving: false,
                session: dispatcher.session(),
                outdated_upstreams: dispatcher.outdated_upstreams(),
                upstreams: part,
            });
        }
        for report in reports {
            self.send_to_holder(index, Message::Report(report));
        }
    }

    fn deliver_message(&mut self, to: Instance, from: Instance, message: Message) {
        let index = self.index(to);
        if !self.is_awake(index, || Event::Message(to, from, message.clone())) {
            return;
        }
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        let reply = match message {
            Message::Lease(lease) => {
                if let Some(&asked) = process.report_times.get(&lease.nonce) {
                    process.dispatcher.handle_lease(now, asked, lease);
                }
                None
            }
            Message::Assign(assignment) => process.dispatcher.handle_assignment(now, assignment),
            Message::Stop(upstream, version) => {
                process.dispatcher.handle_stop(now, upstream, version)
            }
            Message::PromiseRequest(nonce, length) => {
                process.extension.handle_promise_request(now, nonce, length)
            }
            Message::ExtensionRequest(nonce, version) => Some(
                process
                    .extension
                    .handle_extension_request(now, from, nonce, version),
            ),
            Message::ExtensionResponse(nonce, granted) => {
                let lease = process.dispatcher.last_lease_end();
                let extension = &mut process.extension;
                extension.handle_extension_response(now, lease, from, nonce, granted);
                None
            }
            other => {
                self.handle_holder_message(index, now, from, other);
                None
            }
        };
        if let Some(reply) = reply {
            self.send(index, from, reply);
        }
        self.tick_dispatcher(index);
    }

    fn handle_holder_message(&mut self, index: usize, now: Time, from: Instance, message: Message) {
        let Some(holder) = &mut self.processes[index].holder else {
            return;
        };
        match message {
            Message::Report(report) => holder.handle_report(now, report),
            Message::Assigned(upstream, version) => holder.handle_assigned(from, upstream, version),
            Message::Granted(key, run, version) => holder.handle_granted(now, key, run, version),
            Message::Stopped(upstream, version, rest) => {
                holder.handle_stopped(now, from, upstream, version, rest);
            }
            Message::Promise(nonce) => holder.handle_promise(now, from, nonce),
            _ => {}
        }
        self.tick_holder(index);
    }

    /// Extends the dispatch lease by votes, as an instance does on its ticks.
    fn extend_lease(&mut self, index: usize, now: Time) {
        let process = &mut self.processes[index];
        let club = &process.state.clubs()[0];
        let domain_members = club
            .members
            .iter()
            .filter(|other| other.domain == process.member.domain);
        process
            .extension
            .set_members(club.version, domain_members.map(|other| other.instance));
        if !process.dispatcher.has_kept_upstreams() {
            return;
        }
        let lease = process.dispatcher.last_lease_end();
        let questions = process.extension.tick(now, lease);
        process
            .dispatcher
            .extend_lease(now, process.extension.lease_end(lease));
        for (to, message) in questions {
            self.send(index, to, message);
        }
    }

    pub fn tick_dispatcher(&mut self, index: usize) {
        let now = self.local_time(index);
        self.extend_lease(index, now);
        let me = self.processes[index].member.instance;
        for action in self.processes[index].dispatcher.tick(now) {
            let (upstream, request) = match action {
                dispatcher::Action::Query(upstream) => (upstream, None),
                dispatcher::Action::Grant(upstream, request) => (upstream, Some(request)),
            };
            let server = upstream.0 as usize;
            if !self.is_partitioned(World::domain_of(&self.processes[index]), server % 3) {
                self.queue
                    .send(self.now, Event::Call(server, me, now, request));
            }
        }
    }
}
