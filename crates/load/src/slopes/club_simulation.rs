//! Simulation of one control holder with the dispatchers of its members.
//!
//! The production state machines of the holder, the dispatchers and the upstreams'
//! registers exchange messages without loss or delay, in steps of the report interval.

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
use super::fold::{CLUB_NAME, apply, author};
use super::sizes::frame_size;

/// Requests for each shard that are served between two reports.
const REQUESTS_PER_SHARD: u32 = 60;

/// Message and append counts, frame bytes and processing time of the holder.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) messages: usize,
    pub(super) received_bytes: usize,
    pub(super) sent_bytes: usize,
    pub(super) assignments: usize,
    pub(super) appends: usize,
    /// Size of the largest frame sent or received.
    pub(super) largest_frame_bytes: usize,
    /// Time spent in `Holder::handle_report`.
    pub(super) report_time: Duration,
    /// Time spent in `Holder::tick`.
    pub(super) tick_time: Duration,
}

impl Traffic {
    fn record_received(&mut self, message: &Message) {
        let frame_bytes = frame_size(message.clone());
        self.messages += 1;
        self.received_bytes += frame_bytes;
        self.largest_frame_bytes = self.largest_frame_bytes.max(frame_bytes);
    }

    fn record_sent(&mut self, message: &Message) {
        let frame_bytes = frame_size(message.clone());
        self.messages += 1;
        self.sent_bytes += frame_bytes;
        self.largest_frame_bytes = self.largest_frame_bytes.max(frame_bytes);
        self.assignments += usize::from(matches!(message, Message::Assign(_)));
    }
}

/// Club whose members exchange messages by direct calls, in virtual time.
pub(super) struct ClubSimulation {
    pub(super) now: Time,
    pub(super) state: State,
    pub(super) holder: Holder,
    ballot: Ballot,
    fleet: Fleet,
    dispatchers: BTreeMap<Instance, Dispatcher>,
    registers: Vec<Register>,
    last_nonce: u64,
    /// Upstream that does not respond to any query or grant; `None` if all respond.
    pub(super) unresponsive_upstream: Option<Upstream>,
}

impl ClubSimulation {
    pub(super) fn new(fleet: Fleet) -> ClubSimulation {
        let now = Time(10_000_000);
        let ballot = author().ballot;
        let members = (1..=fleet.members).map(Instance);
        let registers = (0..u64::from(fleet.upstreams)).map(|key| Register::new(key + 1));
        ClubSimulation {
            now,
            state: fleet.state(),
            holder: Holder::new(now, ballot, CLUB_NAME.to_owned()),
            ballot,
            fleet,
            dispatchers: members.map(|key| (key, Dispatcher::new(key))).collect(),
            registers: registers.collect(),
            last_nonce: 0,
            unresponsive_upstream: None,
        }
    }

    /// Number of shards currently held by the upstreams.
    pub(super) fn held_shard_count(&self) -> usize {
        let registers = self.registers.iter();
        registers
            .map(|register| register.held_shards(self.now).len())
            .sum()
    }

    /// Advances by one report interval with one tick of the holder.
    pub(super) fn step(&mut self) -> Traffic {
        let mut traffic = Traffic::default();
        self.now = self.now + REPORT_INTERVAL;
        self.renew_grants(&mut traffic);
        self.record_load();
        self.send_reports(&mut traffic);
        self.tick_holder(&mut traffic);
        traffic
    }

    /// Runs one tick of the holder, applies and delivers its actions, and then renews the
    /// grants.
    pub(super) fn tick_holder(&mut self, traffic: &mut Traffic) {
        let start = Instant::now();
        self.holder
            .extend_control_lease(self.now + Duration::from_secs(1));
        let actions = self.holder.tick(self.now, &self.state);
        traffic.tick_time += start.elapsed();
        for action in actions {
            match action {
                Action::Append(body) => {
                    traffic.appends += 1;
                    apply(&mut self.state, body);
                }
                Action::Send(to, message) => {
                    traffic.record_sent(&message);
                    self.deliver_to_dispatcher(to, message, traffic);
                }
            }
        }
        self.renew_grants(traffic);
    }

    fn deliver_to_dispatcher(&mut self, to: Instance, message: Message, traffic: &mut Traffic) {
        let now = self.now;
        let Some(dispatcher) = self.dispatchers.get_mut(&to) else {
            return;
        };
        let response = match message {
            Message::Lease(lease) => {
                dispatcher.handle_lease(now, now, lease);
                None
            }
            Message::Assign(assignment) => dispatcher.handle_assignment(now, assignment),
            Message::Stop(upstream, version) => dispatcher.handle_stop(now, upstream, version),
            _ => None,
        };
        let Some(response) = response else {
            return;
        };
        traffic.record_received(&response);
        match response {
            Message::Assigned(upstream, version) => {
                self.holder.handle_assigned(to, upstream, version)
            }
            Message::Stopped(upstream, version, left) => {
                self.holder.handle_stopped(now, to, upstream, version, left);
            }
            _ => {}
        }
    }

    /// Records the requests that each shard has served since the previous report.
    fn record_load(&mut self) {
        let now = self.now;
        for dispatcher in self.dispatchers.values_mut() {
            let assignments = dispatcher.sendable_assignments(now);
            let shards = assignments.flat_map(|(assignment, _)| {
                let shards = assignment.shards.iter();
                shards.map(|&(shard, _)| (assignment.upstream, shard))
            });
            let shards: Vec<_> = shards.collect();
            // Primary and backup both have the assignment, so each records half of the
            // requests.
            for (upstream, shard) in shards {
                dispatcher.record_served(upstream, Some(shard), REQUESTS_PER_SHARD / 2);
            }
        }
    }

    /// Delivers one report of each dispatcher to the holder.
    fn send_reports(&mut self, traffic: &mut Traffic) {
        for (&key, dispatcher) in &mut self.dispatchers {
            self.last_nonce += 1;
            let report = Report {
                member: self.fleet.member(key.0),
                nonce: self.last_nonce,
                highest_ballot: self.ballot,
                next_offset: self.state.next_offset(),
                leaving: false,
                session: dispatcher.session(),
                outdated_upstreams: dispatcher.outdated_upstreams(),
                upstreams: dispatcher.take_observations(self.now),
            };
            traffic.record_received(&Message::Report(report.clone()));
            let start = Instant::now();
            self.holder.handle_report(self.now, report);
            traffic.report_time += start.elapsed();
        }
    }

    /// Delivers the grants and queries of all dispatchers to the upstreams' registers,
    /// and the responses back.
    fn renew_grants(&mut self, traffic: &mut Traffic) {
        let now = self.now;
        for dispatcher in self.dispatchers.values_mut() {
            for action in dispatcher.tick(now) {
                let (upstream, request) = match action {
                    dispatcher::Action::Query(upstream) => (upstream, None),
                    dispatcher::Action::Grant(upstream, request) => (upstream, Some(request)),
                };
                if self.unresponsive_upstream == Some(upstream) {
                    dispatcher.handle_failure(now, upstream);
                    continue;
                }
                let register = &mut self.registers[upstream.0 as usize];
                let accepted =
                    request.is_some_and(|request| register.try_accept(now, &request).is_ok());
                let response = upstream_response(now, register, accepted);
                if let Some(notice) = dispatcher.handle_response(now, upstream, now, response) {
                    traffic.record_received(&notice);
                    if let Message::Granted(upstream, incarnation, version) = notice {
                        self.holder
                            .handle_granted(now, upstream, incarnation, version);
                    }
                }
            }
        }
    }
}

/// Response of an upstream to a query or a grant.
fn upstream_response(now: Time, register: &Register, accepted: bool) -> Response {
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
