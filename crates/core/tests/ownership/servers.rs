//! Simulated upstreams and the requests that they run: grant registers, freezes,
//! restarts and the checks at them.

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

/// One simulated upstream.
pub struct SimulatedUpstream {
    pub clock: Clock,
    pub register: Register,
    pub frozen_until: u64,
    pub alive: bool,
    pub draining: bool,
}

impl World {
    /// Sends a request for every shard, from each instance that may send it.
    pub fn send_all_requests(&mut self) {
        for index in 0..self.processes.len() {
            if self.is_up(index) {
                self.send_requests(index);
            }
        }
        self.queue
            .schedule(self.now + self.load_interval, Event::Load);
    }

    fn send_requests(&mut self, index: usize) {
        let now = self.local_time(index);
        for server in 0..self.setup.upstreams as usize {
            let dispatcher = &self.processes[index].dispatcher;
            let assignment = dispatcher.assignment(now, Upstream(server as u32));
            let mut shards = assignment.map(|own| own.shards.clone()).unwrap_or_default();
            // With few slots, a fixed order would serve only the first shards.
            let start = self.queue.random.random_range(0..=shards.len());
            shards.rotate_left(start);
            for (shard, _) in shards {
                self.send_request(index, server, shard);
            }
        }
    }

    fn send_request(&mut self, index: usize, server: usize, shard: Shard) {
        let now = self.local_time(index);
        let unchecked = self.setup.fencing == Fencing::Unchecked;
        let process = &mut self.processes[index];
        let open = *process.open_exchanges.get(&server).unwrap_or(&0);
        let upstream = Upstream(server as u32);
        let permit = process.dispatcher.may_send(now, upstream, Some(shard));
        let full = open >= u32::from(process.dispatcher.allowance(now, upstream));
        if let (Some(Permit::Shard(epoch)), false) = (permit, unchecked && full) {
            process.open_exchanges.insert(server, open + 1);
            let me = process.member.instance;
            self.report_usage(index, server);
            let delay = self.queue.random.random_range(100..1_000);
            let run = Event::Run(server, me, shard.index, epoch);
            self.queue.schedule(self.now + delay, run);
        }
    }

    fn report_usage(&mut self, index: usize, server: usize) {
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        let open = process.open_exchanges[&server];
        let upstream = Upstream(server as u32);
        let messages = process.dispatcher.update_usage(now, upstream, open, open);
        for message in messages {
            self.send_to_holder(index, message);
        }
    }

    pub fn handle_completion(&mut self, to: Instance, server: usize) {
        let index = self.index(to);
        if !self.is_awake(index, || Event::Completion(to, server)) {
            return;
        }
        *self.processes[index]
            .open_exchanges
            .get_mut(&server)
            .unwrap() -= 1;
        self.report_usage(index, server);
    }

    /// Whether the upstream can act now. The event is delayed while it is frozen.
    fn is_running(&mut self, server: usize, event: Event) -> bool {
        let entry = &self.servers[server];
        if entry.alive && self.now < entry.frozen_until {
            self.queue.schedule(entry.frozen_until, event);
            return false;
        }
        entry.alive
    }

    pub fn handle_call(
        &mut self,
        server: usize,
        from: Instance,
        sent_at: Time,
        request: Option<Request>,
    ) {
        if !self.is_running(server, Event::Call(server, from, sent_at, request.clone())) {
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
        if !self.is_partitioned(World::domain_of(sender), server % 3) {
            self.queue
                .send(self.now, Event::Reply(from, server, sent_at, answer));
        }
        if accepted {
            self.check_upstreams();
        }
    }

    /// Checks the shards and allowances of all upstreams against the invariants.
    fn check_upstreams(&mut self) {
        let servers = self.servers.iter().enumerate();
        let keyed = servers.clone().take(self.setup.upstreams as usize);
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
        self.checker.check_held_shards(self.now, &held);
        let limit = self.log_state.clubs()[0].reserved;
        self.checker.check_allowances(self.now, sum, limit);
    }

    pub fn handle_reply(&mut self, to: Instance, server: usize, sent_at: Time, answer: Response) {
        let index = self.index(to);
        if !self.is_awake(index, || Event::Reply(to, server, sent_at, answer.clone())) {
            return;
        }
        let now = self.local_time(index);
        let upstream = Upstream(server as u32);
        let process = &mut self.processes[index];
        let news = process
            .dispatcher
            .handle_response(now, upstream, sent_at, answer);
        if let Some(news) = news {
            self.send_to_holder(index, news);
        }
        self.tick_dispatcher(index);
    }

    pub fn run_request(&mut self, server: usize, from: Instance, shard: u16, epoch: Epoch) {
        if !self.is_running(server, Event::Run(server, from, shard, epoch)) {
            return;
        }
        let entry = &self.servers[server];
        let now = entry.clock.read(self.now);
        let checked = self.setup.fencing == Fencing::Checked;
        let runs = !checked || entry.register.admits(now, shard, epoch);
        let length = self.queue.random.random_range(500..5_000);
        let end = self.now + if runs && !checked { length } else { 0 };
        if runs {
            self.checker.record_run(Run {
                upstream: server,
                shard,
                epoch,
                start: self.now,
                end,
            });
        }
        self.queue
            .schedule(end + 500, Event::Completion(from, server));
    }

    /// Changes the budget of every state, as an activation in the log would.
    pub fn set_budget(&mut self, budget: u32) {
        self.initial_state = club::with_budget(&self.initial_state, budget);
        self.log_state = club::with_budget(&self.log_state, budget);
        for process in &mut self.processes {
            process.state = club::with_budget(&process.state, budget);
        }
    }

    /// Replaces the upstream's process with a new one that holds nothing.
    pub fn restart_server(&mut self, server: usize) {
        let incarnation = self.queue.random.random_range(2..u64::MAX);
        self.servers[server].register = Register::new(incarnation);
        self.servers[server].alive = true;
    }
}
