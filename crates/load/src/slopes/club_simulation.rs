//! One control holder with the dispatchers of its members, without faults.
//!
//! The real state machines of the holder, the dispatchers and the upstreams'
//! registers exchange their messages at once, in steps of the report interval.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use medlarreel_core::fold::State;
use medlarreel_core::grant::dispatcher::{self, Dispatcher};
use medlarreel_core::grant::{Register, Response};
use medlarreel_core::holder::{Action, Holder};
use medlarreel_core::ids::{Ballot, Instance, Upstream};
use medlarreel_core::machine::REPORT_INTERVAL;
use medlarreel_core::time::Time;
use medlarreel_core::wire::{Message, Report};

use super::fleet::Fleet;
use super::fold::{CLUB, apply, author};
use super::sizes::frame_size;

/// Requests that each shard has run between two reports.
const REQUESTS: u32 = 60;

/// Messages by direction, as seen from the holder.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) messages: usize,
    pub(super) received: usize,
    pub(super) sent: usize,
    pub(super) assignments: usize,
    pub(super) appends: usize,
    /// Bytes of the largest frame.
    pub(super) largest: usize,
    /// Time within `Holder::handle_report`, and within `Holder::tick`.
    pub(super) reporting: Duration,
    pub(super) ticking: Duration,
}

impl Traffic {
    fn receive(&mut self, message: &Message) {
        let size = frame_size(message.clone());
        self.messages += 1;
        self.received += size;
        self.largest = self.largest.max(size);
    }

    fn send(&mut self, message: &Message) {
        let size = frame_size(message.clone());
        self.messages += 1;
        self.sent += size;
        self.largest = self.largest.max(size);
        self.assignments += usize::from(matches!(message, Message::Assign(_)));
    }
}

pub(super) struct Cell {
    pub(super) now: Time,
    pub(super) state: State,
    pub(super) holder: Holder,
    ballot: Ballot,
    fleet: Fleet,
    dispatchers: BTreeMap<Instance, Dispatcher>,
    registers: Vec<Register>,
    nonce: u64,
    /// Upstream that answers nothing.
    pub(super) lost: Option<Upstream>,
}

impl Cell {
    pub(super) fn new(fleet: Fleet) -> Cell {
        let now = Time(10_000_000);
        let ballot = author().ballot;
        let members = (1..=fleet.members).map(Instance);
        let registers = (0..u64::from(fleet.upstreams)).map(|key| Register::new(key + 1));
        Cell {
            now,
            state: fleet.state(),
            holder: Holder::new(now, ballot, CLUB.to_owned()),
            ballot,
            fleet,
            dispatchers: members.map(|key| (key, Dispatcher::new(key))).collect(),
            registers: registers.collect(),
            nonce: 0,
            lost: None,
        }
    }

    /// Shards that the upstreams hold now.
    pub(super) fn held(&self) -> usize {
        let registers = self.registers.iter();
        registers
            .map(|register| register.held_shards(self.now).len())
            .sum()
    }

    /// One report interval with one tick of the holder.
    pub(super) fn step(&mut self) -> Traffic {
        let mut traffic = Traffic::default();
        self.now = self.now + REPORT_INTERVAL;
        self.renew(&mut traffic);
        self.load();
        self.report(&mut traffic);
        self.tick(&mut traffic);
        traffic
    }

    /// One tick of the holder and what follows from it.
    pub(super) fn tick(&mut self, traffic: &mut Traffic) {
        let begin = Instant::now();
        self.holder
            .extend_control_lease(self.now + Duration::from_secs(1));
        let actions = self.holder.tick(self.now, &self.state);
        traffic.ticking += begin.elapsed();
        for action in actions {
            match action {
                Action::Append(body) => {
                    traffic.appends += 1;
                    apply(&mut self.state, body);
                }
                Action::Send(to, message) => {
                    traffic.send(&message);
                    self.deliver(to, message, traffic);
                }
            }
        }
        self.renew(traffic);
    }

    fn deliver(&mut self, to: Instance, message: Message, traffic: &mut Traffic) {
        let now = self.now;
        let Some(dispatcher) = self.dispatchers.get_mut(&to) else {
            return;
        };
        let answer = match message {
            Message::Lease(lease) => {
                dispatcher.handle_lease(now, now, lease);
                None
            }
            Message::Assign(assignment) => dispatcher.handle_assignment(now, assignment),
            Message::Stop(upstream, version) => dispatcher.handle_stop(now, upstream, version),
            _ => None,
        };
        let Some(answer) = answer else {
            return;
        };
        traffic.receive(&answer);
        match answer {
            Message::Assigned(upstream, version) => {
                self.holder.handle_assigned(to, upstream, version)
            }
            Message::Stopped(upstream, version, left) => {
                self.holder.handle_stopped(now, to, upstream, version, left);
            }
            _ => {}
        }
    }

    fn load(&mut self) {
        let now = self.now;
        for dispatcher in self.dispatchers.values_mut() {
            let assigned = dispatcher.sendable_assignments(now);
            let shards = assigned.flat_map(|(known, _)| {
                let shards = known.shards.iter();
                shards.map(|&(shard, _)| (known.upstream, shard))
            });
            let shards: Vec<_> = shards.collect();
            // Half at the dispatcher and half at its backup keeps the sum.
            for (upstream, shard) in shards {
                dispatcher.record_served(upstream, Some(shard), REQUESTS / 2);
            }
        }
    }

    fn report(&mut self, traffic: &mut Traffic) {
        for (&key, dispatcher) in &mut self.dispatchers {
            self.nonce += 1;
            let report = Report {
                member: self.fleet.member(key.0),
                nonce: self.nonce,
                highest_ballot: self.ballot,
                next_offset: self.state.next_offset(),
                leaving: false,
                session: dispatcher.session(),
                outdated_upstreams: dispatcher.outdated_upstreams(),
                upstreams: dispatcher.take_observations(self.now),
            };
            traffic.receive(&Message::Report(report.clone()));
            let begin = Instant::now();
            self.holder.handle_report(self.now, report);
            traffic.reporting += begin.elapsed();
        }
    }

    /// Grants and queries of all dispatchers.
    fn renew(&mut self, traffic: &mut Traffic) {
        let now = self.now;
        for dispatcher in self.dispatchers.values_mut() {
            for action in dispatcher.tick(now) {
                let (upstream, request) = match action {
                    dispatcher::Action::Query(upstream) => (upstream, None),
                    dispatcher::Action::Grant(upstream, request) => (upstream, Some(request)),
                };
                if self.lost == Some(upstream) {
                    dispatcher.handle_failure(now, upstream);
                    continue;
                }
                let register = &mut self.registers[upstream.0 as usize];
                let accepted =
                    request.is_some_and(|request| register.try_accept(now, &request).is_ok());
                let answer = answer(now, register, accepted);
                if let Some(news) = dispatcher.handle_response(now, upstream, now, answer) {
                    traffic.receive(&news);
                    if let Message::Granted(upstream, incarnation, version) = news {
                        self.holder
                            .handle_granted(now, upstream, incarnation, version);
                    }
                }
            }
        }
    }
}

fn answer(now: Time, register: &Register, accepted: bool) -> Response {
    Response {
        incarnation: register.incarnation(),
        clock: now,
        accepted,
        version: register.version(),
        shards: register.held_shards(now),
        in_flight: 4,
        slots: 6,
        draining: false,
    }
}
