//! A club in virtual time: instances, upstreams, the log, and faults.

use std::collections::BTreeMap;

use medlarreel_core::fold::State;
use medlarreel_core::grant::dispatcher::{self, Dispatcher, Permit};
use medlarreel_core::grant::{Answer, Register, Request};
use medlarreel_core::holder::{self, Holder};
use medlarreel_core::ids::{Ballot, Epoch, Instance, Offset, Proposal, Shard, Upstream};
use medlarreel_core::preset::Fencing;
use medlarreel_core::record::{Body, Member, Record};
use medlarreel_core::time::Time;
use medlarreel_core::wire::{Message, Report};
use rand::Rng;

use crate::checker::{Checker, Run};
use crate::club::{self, CLUB, Shape};
use crate::net::{Clock, Queue};

pub const MS: u64 = 1_000;
const STEP: u64 = 10 * MS;
const REPORT: u64 = 400 * MS;

#[derive(Clone)]
pub enum Event {
    Step,
    Load,
    /// Message to an instance, by its id.
    Message(Instance, Instance, Message),
    /// Query or grant to an upstream, with its sender and local time of sending.
    Ask(usize, Instance, Time, Option<Request>),
    Answer(Instance, usize, Time, Answer),
    /// Request for a shard under an epoch; the sender waits for its end.
    Run(usize, Instance, u16, Epoch),
    Done(Instance, usize),
}

/// One process of the system.
pub struct Process {
    pub member: Member,
    clock: Clock,
    pub dispatcher: Dispatcher,
    pub holder: Option<Holder>,
    /// True end of the control lease.
    holds_until: u64,
    state: State,
    asked: BTreeMap<u64, Time>,
    reported: u64,
    pub paused_until: u64,
    pub alive: bool,
    /// Instances of another group neither see nor read the log of this one.
    pub group: u8,
    exchanges: BTreeMap<usize, u32>,
}

/// One upstream.
pub struct Server {
    clock: Clock,
    register: Register,
    pub frozen_until: u64,
    pub alive: bool,
    pub draining: bool,
}

pub struct World {
    pub now: u64,
    pub queue: Queue<Event>,
    pub shape: Shape,
    pub processes: Vec<Process>,
    pub servers: Vec<Server>,
    pub checker: Checker,
    pub log: Vec<Record>,
    pub base: State,
    pub log_away_until: u64,
    /// Cut-off domain and the end of the cut.
    pub cut: (usize, u64),
    /// Groups that cannot read the log.
    pub deaf: Option<u8>,
    /// Fold of the whole log.
    pub truth: State,
    term: Offset,
    round: u32,
    /// Time between the runs of each shard.
    pub pace: u64,
}

impl World {
    pub fn new(seed: u64, shape: Shape) -> World {
        let base = club::state(shape);
        let mut queue = Queue::new(seed);
        queue.at(0, Event::Step);
        queue.at(0, Event::Load);
        let mut world = World {
            now: 0,
            queue,
            shape,
            processes: Vec::new(),
            servers: Vec::new(),
            checker: Checker::default(),
            log: Vec::new(),
            log_away_until: 0,
            cut: (9, 0),
            deaf: None,
            truth: base.clone(),
            base,
            term: Offset(1),
            round: 0,
            pace: STEP,
        };
        for id in 0..shape.instances {
            world.start(club::member(id + 1, id % 3), 0);
        }
        for _ in 0..=shape.upstreams {
            let clock = Clock::random(&mut world.queue.random);
            world.servers.push(Server {
                clock,
                register: Register::new(1),
                frozen_until: 0,
                alive: true,
                draining: false,
            });
        }
        world
    }

    pub fn start(&mut self, member: Member, group: u8) {
        self.processes.push(Process {
            clock: Clock::random(&mut self.queue.random),
            dispatcher: Dispatcher::new(member.instance),
            member,
            holder: None,
            holds_until: 0,
            state: self.base.clone(),
            asked: BTreeMap::new(),
            reported: self.now,
            paused_until: 0,
            alive: true,
            group,
            exchanges: BTreeMap::new(),
        });
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some((time, event)) = self.queue.pop() {
            self.now = time;
            if time >= end {
                self.queue.at(time, event);
                return;
            }
            self.handle(event);
        }
    }

    pub fn domain_of(process: &Process) -> usize {
        process.member.domain[1..].parse().unwrap()
    }

    fn index(&self, instance: Instance) -> usize {
        let mut processes = self.processes.iter();
        processes
            .position(|entry| entry.member.instance == instance)
            .unwrap()
    }

    fn is_up(&self, index: usize) -> bool {
        let process = &self.processes[index];
        process.alive && self.now >= process.paused_until
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.now < self.cut.1 && a != b && (a == self.cut.0 || b == self.cut.0)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Step => self.step(),
            Event::Load => self.load_all(),
            Event::Message(to, from, message) => self.deliver(to, from, message),
            Event::Ask(server, from, asked, request) => self.ask(server, from, asked, request),
            Event::Answer(to, server, asked, answer) => self.answer(to, server, asked, answer),
            Event::Run(server, from, shard, epoch) => self.run(server, from, shard, epoch),
            Event::Done(to, server) => self.done(to, server),
        }
    }

    // Instances.

    fn step(&mut self) {
        self.elect();
        for index in 0..self.processes.len() {
            if self.is_up(index) {
                self.read_log(index);
                self.tick_holder(index);
                self.report(index);
                self.tick_dispatcher(index);
            }
        }
        self.queue.at(self.now + STEP, Event::Step);
    }

    fn local(&self, index: usize) -> Time {
        self.processes[index].clock.read(self.now)
    }

    fn reads_log(&self, index: usize) -> bool {
        let process = &self.processes[index];
        let cut = self.now < self.cut.1 && World::domain_of(process) == self.cut.0;
        self.now >= self.log_away_until && !cut && self.deaf != Some(process.group)
    }

    fn read_log(&mut self, index: usize) {
        if !self.reads_log(index) {
            return;
        }
        let state = &mut self.processes[index].state;
        let base = self.base.next().0;
        let known = (state.next().0 - base) as usize;
        for record in &self.log[known..] {
            let _ = state.apply(state.next(), record.clone());
        }
    }

    /// Instance whose holder is in office for the group, by the newest election.
    pub fn holder_of(&self, group: u8) -> Option<usize> {
        let indexes = 0..self.processes.len();
        indexes
            .filter(|&index| self.processes[index].group == group)
            .filter(|&index| self.processes[index].holder.is_some())
            .max_by_key(|&index| self.processes[index].holder.as_ref().unwrap().ballot())
    }

    /// Plays the voters: one holder per group, replaced after its lease has ended.
    fn elect(&mut self) {
        let groups: Vec<u8> = if self.deaf.is_some() {
            vec![0, 1]
        } else {
            vec![0]
        };
        for group in groups {
            let healthy = |world: &World, index: usize| {
                let process = &world.processes[index];
                let cut = world.now < world.cut.1 && World::domain_of(process) == world.cut.0;
                world.is_up(index) && process.group == group && !cut
            };
            match self.holder_of(group) {
                Some(index)
                    if healthy(self, index) && self.now < self.processes[index].holds_until =>
                {
                    self.processes[index].holds_until = self.now + 1_000 * MS;
                }
                Some(index) if self.now < self.processes[index].holds_until + 50 * MS => {}
                _ => {
                    let candidate = (0..self.processes.len()).find(|&index| healthy(self, index));
                    if let Some(index) = candidate {
                        self.appoint(index, group);
                    }
                }
            }
        }
    }

    fn appoint(&mut self, index: usize, group: u8) {
        self.round += 1;
        let now = self.local(index);
        let process = &mut self.processes[index];
        let ballot = Ballot {
            term: if group == 0 { Offset(1) } else { self.term },
            round: self.round,
            instance: process.member.instance,
        };
        let mut holder = Holder::new(now, ballot, CLUB.into());
        holder.settle(true);
        process.holder = Some(holder);
        process.holds_until = self.now + 1_000 * MS;
    }

    /// Starts a new term with one process of group 1, as its `Reset` would.
    pub fn reset(&mut self, voter: Member) {
        self.term = Offset(self.base.next().0 + self.log.len() as u64 + 1);
        self.append(Body::Reset {
            club: CLUB.into(),
            expected: Offset(1),
            voter,
        });
        self.deaf = Some(0);
    }

    pub fn append(&mut self, body: Body) {
        let proposal = Proposal(self.log.len() as u64 + 1);
        let record = Record { proposal, body };
        // Rejected records take their place in the log as well.
        let _ = self.truth.apply(self.truth.next(), record.clone());
        self.log.push(record);
    }

    /// Actions of the holder; a holder that finds its lease ended is dropped.
    fn holder_actions(&mut self, index: usize) -> Vec<holder::Action> {
        let now = self.local(index);
        let random = self.queue.random.random();
        let process = &mut self.processes[index];
        if self.now >= process.holds_until {
            process.holder = None;
        }
        let Some(holder) = &mut process.holder else {
            return Vec::new();
        };
        holder.tick(now, &process.state, random)
    }

    fn tick_holder(&mut self, index: usize) {
        for action in self.holder_actions(index) {
            self.perform(index, action, self.now);
        }
    }

    fn perform(&mut self, index: usize, action: holder::Action, at: u64) {
        let me = self.processes[index].member.instance;
        match action {
            holder::Action::Send(to, message) if at > self.now => {
                self.queue.at(at, Event::Message(to, me, message));
            }
            holder::Action::Send(to, message) => self.send(index, to, message),
            holder::Action::Append(body) if self.reads_log(index) => self.append(body),
            holder::Action::Append(_) => {}
        }
    }

    /// Pauses an instance. Its holder has just checked its lease, so what it
    /// decided last is sent when the instance resumes.
    pub fn pause(&mut self, index: usize, span: u64) {
        let until = self.now + span;
        for action in self.holder_actions(index) {
            self.perform(index, action, until);
        }
        self.processes[index].paused_until = until;
    }

    fn send(&mut self, from: usize, to: Instance, message: Message) {
        let target = self.index(to);
        let (a, b) = (&self.processes[from], &self.processes[target]);
        let cut = self.is_cut(World::domain_of(a), World::domain_of(b));
        let me = a.member.instance;
        if !cut && a.group == b.group {
            self.queue.send(self.now, Event::Message(to, me, message));
        }
    }

    fn tell_holder(&mut self, from: usize, message: Message) {
        if let Some(holder) = self.holder_of(self.processes[from].group) {
            let to = self.processes[holder].member.instance;
            self.send(from, to, message);
        }
    }

    fn report(&mut self, index: usize) {
        if self.now < self.processes[index].reported + REPORT {
            return;
        }
        let now = self.local(index);
        let nonce = self.queue.random.random();
        let process = &mut self.processes[index];
        process.reported = self.now;
        process.asked.insert(nonce, now);
        let mut observed = process.dispatcher.observed(now);
        let dispatcher = &process.dispatcher;
        let least = Ballot {
            term: Offset(1),
            round: 0,
            instance: Instance(0),
        };
        let mut reports = Vec::new();
        // A few upstreams at a time, at least one report.
        while reports.is_empty() || !observed.is_empty() {
            let part = observed.split_off(observed.len().saturating_sub(2));
            reports.push(Report {
                member: process.member.clone(),
                nonce,
                highest: dispatcher.highest().unwrap_or(least),
                next: process.state.next(),
                leaving: false,
                session: dispatcher.session(),
                older: dispatcher.older(),
                upstreams: part,
            });
        }
        for report in reports {
            self.tell_holder(index, Message::Report(report));
        }
    }

    fn deliver(&mut self, to: Instance, from: Instance, message: Message) {
        let index = self.index(to);
        if !self.is_up(index) {
            if self.processes[index].alive {
                let at = self.processes[index].paused_until;
                self.queue.at(at, Event::Message(to, from, message));
            }
            return;
        }
        let now = self.local(index);
        let process = &mut self.processes[index];
        let reply = match message {
            Message::Lease(lease) => {
                if let Some(&asked) = process.asked.get(&lease.nonce) {
                    process.dispatcher.leased(now, asked, lease);
                }
                None
            }
            Message::Assign(assignment) => process.dispatcher.assign(now, assignment),
            Message::Stop(upstream, version) => process.dispatcher.stop(now, upstream, version),
            Message::Withhold(nonce, _) => Some(Message::Withheld(nonce)),
            other => {
                self.inform(index, now, from, other);
                None
            }
        };
        if let Some(reply) = reply {
            self.send(index, from, reply);
        }
        self.tick_dispatcher(index);
    }

    fn inform(&mut self, index: usize, now: Time, from: Instance, message: Message) {
        let Some(holder) = &mut self.processes[index].holder else {
            return;
        };
        match message {
            Message::Report(report) => holder.report(now, report),
            Message::Assigned(upstream, version) => holder.assigned(from, upstream, version),
            Message::Granted(upstream, run, version) => holder.granted(now, upstream, run, version),
            Message::Stopped(upstream, version, rest) => {
                holder.stopped(now, from, upstream, version, rest);
            }
            Message::Withheld(nonce) => holder.withheld(now, from, nonce),
            _ => {}
        }
        self.tick_holder(index);
    }

    fn tick_dispatcher(&mut self, index: usize) {
        let now = self.local(index);
        let me = self.processes[index].member.instance;
        for action in self.processes[index].dispatcher.tick(now) {
            let (upstream, request) = match action {
                dispatcher::Action::Query(upstream) => (upstream, None),
                dispatcher::Action::Grant(upstream, request) => (upstream, Some(request)),
            };
            let server = upstream.0 as usize;
            if !self.is_cut(World::domain_of(&self.processes[index]), server % 3) {
                self.queue
                    .send(self.now, Event::Ask(server, me, now, request));
            }
        }
    }

    // Requests for every shard that the instance may send.

    fn load_all(&mut self) {
        for index in 0..self.processes.len() {
            if self.is_up(index) {
                self.load(index);
            }
        }
        self.queue.at(self.now + self.pace, Event::Load);
    }

    fn load(&mut self, index: usize) {
        let now = self.local(index);
        for server in 0..self.shape.upstreams as usize {
            let dispatcher = &self.processes[index].dispatcher;
            let assignment = dispatcher.assignment(now, Upstream(server as u32));
            let mut shards = assignment.map(|own| own.shards.clone()).unwrap_or_default();
            // Few slots must not serve the first shards only.
            let start = self.queue.random.random_range(0..=shards.len());
            shards.rotate_left(start);
            for (shard, _) in shards {
                self.request(index, server, shard);
            }
        }
    }

    fn request(&mut self, index: usize, server: usize, shard: Shard) {
        let now = self.local(index);
        let unchecked = self.shape.fencing == Fencing::Unchecked;
        let process = &mut self.processes[index];
        let open = *process.exchanges.get(&server).unwrap_or(&0);
        let upstream = Upstream(server as u32);
        let permit = process.dispatcher.may_send(now, upstream, Some(shard));
        let full = open >= u32::from(process.dispatcher.allowance(now, upstream));
        if let (Some(Permit::Shard(epoch)), false) = (permit, unchecked && full) {
            process.exchanges.insert(server, open + 1);
            let me = process.member.instance;
            self.exchanges(index, server);
            let delay = self.queue.random.random_range(100..1_000);
            let run = Event::Run(server, me, shard.index, epoch);
            self.queue.at(self.now + delay, run);
        }
    }

    fn exchanges(&mut self, index: usize, server: usize) {
        let now = self.local(index);
        let process = &mut self.processes[index];
        let open = process.exchanges[&server];
        let upstream = Upstream(server as u32);
        let messages = process.dispatcher.in_use(now, upstream, open, open);
        for message in messages {
            self.tell_holder(index, message);
        }
    }

    fn done(&mut self, to: Instance, server: usize) {
        let index = self.index(to);
        if !self.is_up(index) {
            if self.processes[index].alive {
                let at = self.processes[index].paused_until;
                self.queue.at(at, Event::Done(to, server));
            }
            return;
        }
        *self.processes[index].exchanges.get_mut(&server).unwrap() -= 1;
        self.exchanges(index, server);
    }

    // Upstreams.

    /// False if the upstream cannot act now; the event is kept while it is frozen.
    fn is_awake(&mut self, server: usize, event: Event) -> bool {
        let entry = &self.servers[server];
        if entry.alive && self.now < entry.frozen_until {
            self.queue.at(entry.frozen_until, event);
            return false;
        }
        entry.alive
    }

    fn ask(&mut self, server: usize, from: Instance, asked: Time, request: Option<Request>) {
        if !self.is_awake(server, Event::Ask(server, from, asked, request.clone())) {
            return;
        }
        let entry = &mut self.servers[server];
        let now = entry.clock.read(self.now);
        let granted = request.map(|request| entry.register.grant(now, &request));
        let accepted = granted.is_some_and(|outcome| outcome.is_ok());
        let answer = Answer {
            incarnation: entry.register.incarnation(),
            clock: now,
            accepted,
            version: entry.register.version(),
            shards: entry.register.held(now),
            in_flight: 0,
            slots: club::SLOTS,
            draining: entry.draining,
        };
        let sender = &self.processes[self.index(from)];
        if !self.is_cut(World::domain_of(sender), server % 3) {
            self.queue
                .send(self.now, Event::Answer(from, server, asked, answer));
        }
        if accepted {
            self.check();
        }
    }

    fn check(&mut self) {
        let servers = self.servers.iter().enumerate();
        let keyed = servers.clone().take(self.shape.upstreams as usize);
        let held = keyed
            .filter(|(_, entry)| entry.alive)
            .map(|(index, entry)| {
                let now = entry.clock.read(self.now);
                (index, entry.register.held(now))
            });
        let held: Vec<_> = held.collect();
        let allowances = servers.filter(|(_, entry)| entry.alive).map(|(_, entry)| {
            let now = entry.clock.read(self.now);
            u32::from(entry.register.allowance(now))
        });
        let sum = allowances.sum();
        self.checker.held(self.now, &held);
        let limit = self.truth.clubs()[0].reserved;
        self.checker.allowances(self.now, sum, limit);
    }

    fn answer(&mut self, to: Instance, server: usize, asked: Time, answer: Answer) {
        let index = self.index(to);
        if !self.is_up(index) {
            if self.processes[index].alive {
                let at = self.processes[index].paused_until;
                self.queue.at(at, Event::Answer(to, server, asked, answer));
            }
            return;
        }
        let now = self.local(index);
        let upstream = Upstream(server as u32);
        let process = &mut self.processes[index];
        let news = process.dispatcher.answered(now, upstream, asked, answer);
        if let Some(news) = news {
            self.tell_holder(index, news);
        }
        self.tick_dispatcher(index);
    }

    fn run(&mut self, server: usize, from: Instance, shard: u16, epoch: Epoch) {
        if !self.is_awake(server, Event::Run(server, from, shard, epoch)) {
            return;
        }
        let entry = &self.servers[server];
        let now = entry.clock.read(self.now);
        let checked = self.shape.fencing == Fencing::Checked;
        let runs = !checked || entry.register.admits(now, shard, epoch);
        let length = self.queue.random.random_range(500..5_000);
        let end = self.now + if runs && !checked { length } else { 0 };
        if runs {
            self.checker.ran(Run {
                upstream: server,
                shard,
                epoch,
                start: self.now,
                end,
            });
        }
        self.queue.at(end + 500, Event::Done(from, server));
    }

    /// Puts another budget in force, as an activation in the log would.
    pub fn set_budget(&mut self, budget: u32) {
        self.base = club::with_budget(&self.base, budget);
        self.truth = club::with_budget(&self.truth, budget);
        for process in &mut self.processes {
            process.state = club::with_budget(&process.state, budget);
        }
    }

    /// Replaces the upstream's process by a new one that holds nothing.
    pub fn restart_server(&mut self, server: usize) {
        let incarnation = self.queue.random.random_range(2..u64::MAX);
        self.servers[server].register = Register::new(incarnation);
        self.servers[server].alive = true;
    }
}
