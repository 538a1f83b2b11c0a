//! Requests and upstreams: registers, freezes, restarts, and what is checked at them.

use medlarreel_core::grant::dispatcher::Permit;
use medlarreel_core::grant::{Register, Request, Response};
use medlarreel_core::ids::{Epoch, Instance, Shard, Upstream};
use medlarreel_core::preset::Fencing;
use medlarreel_core::time::Time;
use rand::Rng;

use crate::checker::Run;
use crate::club;
use crate::net::Clock;
use crate::world::{Event, World};

/// One upstream.
pub struct Server {
    pub clock: Clock,
    pub register: Register,
    pub frozen_until: u64,
    pub alive: bool,
    pub draining: bool,
}

impl World {
    /// Sends a request for every shard that an instance may send.
    pub fn load_all(&mut self) {
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
        let messages = process.dispatcher.update_usage(now, upstream, open, open);
        for message in messages {
            self.tell_holder(index, message);
        }
    }

    pub fn done(&mut self, to: Instance, server: usize) {
        let index = self.index(to);
        if !self.is_awake(index, || Event::Done(to, server)) {
            return;
        }
        *self.processes[index].exchanges.get_mut(&server).unwrap() -= 1;
        self.exchanges(index, server);
    }

    /// False if the upstream cannot act now; the event is kept while it is frozen.
    fn is_thawed(&mut self, server: usize, event: Event) -> bool {
        let entry = &self.servers[server];
        if entry.alive && self.now < entry.frozen_until {
            self.queue.at(entry.frozen_until, event);
            return false;
        }
        entry.alive
    }

    pub fn ask(&mut self, server: usize, from: Instance, asked: Time, request: Option<Request>) {
        if !self.is_thawed(server, Event::Ask(server, from, asked, request.clone())) {
            return;
        }
        let entry = &mut self.servers[server];
        let now = entry.clock.read(self.now);
        let granted = request.map(|request| entry.register.try_accept(now, &request));
        let accepted = granted.is_some_and(|outcome| outcome.is_ok());
        let answer = Response {
            incarnation: entry.register.incarnation(),
            clock: now,
            accepted,
            version: entry.register.version(),
            shards: entry.register.held_shards(now),
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
                (index, entry.register.held_shards(now))
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

    pub fn answer(&mut self, to: Instance, server: usize, asked: Time, answer: Response) {
        let index = self.index(to);
        if !self.is_awake(index, || Event::Answer(to, server, asked, answer.clone())) {
            return;
        }
        let now = self.local(index);
        let upstream = Upstream(server as u32);
        let process = &mut self.processes[index];
        let news = process
            .dispatcher
            .handle_response(now, upstream, asked, answer);
        if let Some(news) = news {
            self.tell_holder(index, news);
        }
        self.tick_dispatcher(index);
    }

    pub fn run(&mut self, server: usize, from: Instance, shard: u16, epoch: Epoch) {
        if !self.is_thawed(server, Event::Run(server, from, shard, epoch)) {
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
