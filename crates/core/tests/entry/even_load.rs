//! Comparison of ways to choose an upstream when what is known of its load is old.
//!
//! A virtual fleet, without a network: upstreams of differing speed with slots and a short
//! queue, and instances that learn of their load from their own responses alone.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet, VecDeque};
use std::time::Duration;

use medlarreel_core::entry::queue::arrival::Standing;
use medlarreel_core::entry::queue::{
    Availability, Candidate, Decision, FinishedSend, Queue, QueuedRequest, Ticket, UpstreamLookup,
};
use medlarreel_core::entry::subset::{MIN_SIZE, Party, preferred};
use medlarreel_core::entry::upstream_state::{ReportedLoad, SendResult, UpstreamState};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::fixture::ms;

const SLOTS: u32 = 3;
const QUEUE_LIMIT: usize = 12;
const RUN: Duration = Duration::from_millis(140);
const LATE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1_200);
const LINK: Duration = Duration::from_millis(1);
/// Time in a slot that a new connection costs an upstream.
const CONNECT_COST: Duration = Duration::from_millis(1);
/// Idle time after which a connection is not used again.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// Length of a run, after which the requests in it are not counted.
const LENGTH: Duration = Duration::from_secs(20);

/// Way to choose an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// The least expected time by the last reports of all upstreams, as before subsets.
    Least,
    /// The better of two upstreams drawn at random.
    TwoChoices,
    /// In turn, in an order of the instance's own.
    OwnOrder,
    /// The least expected time within a subset.
    Subset,
    /// The least expected time by a summary that the leader sends.
    Summary,
    /// The queue of the product.
    Product,
}

const POLICIES: [Policy; 6] = [
    Policy::Least,
    Policy::TwoChoices,
    Policy::OwnOrder,
    Policy::Subset,
    Policy::Summary,
    Policy::Product,
];

/// What happens to a fleet.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    instances: usize,
    upstreams: usize,
    /// Requests, relative to the capacity of all upstreams.
    load: f64,
    /// Whether one upstream is ten times slower than the others, from a third of the run on.
    slow: bool,
    /// Upstreams that join, and as many that leave, a third into the run.
    replaced: usize,
    /// Instances that stop half-way; the others get their requests.
    stopped: usize,
    /// Whether one instance in ten gets ten times as many requests as the others.
    uneven: bool,
}

fn scenario(name: &'static str, load: f64) -> Scenario {
    Scenario {
        name,
        instances: 60,
        upstreams: 60,
        load,
        slow: false,
        replaced: 0,
        stopped: 0,
        uneven: false,
    }
}

#[derive(Clone, Debug)]
struct Request {
    instance: usize,
    arrived: Time,
    tried: Vec<Upstream>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(usize, usize),
    Done(usize, usize),
    Answer(usize, usize, SendResult, ReportedLoad),
    Sample,
}

#[derive(Debug, Default)]
struct Server {
    speed: f64,
    running: u32,
    waiting: VecDeque<usize>,
    arrivals: u32,
    is_gone: bool,
    joined: Option<Time>,
    first_served: Option<Time>,
}

struct Instance {
    weight: f64,
    order: Vec<usize>,
    turn: usize,
    preferred: HashSet<usize>,
    states: Vec<UpstreamState>,
    queue: Queue,
    waiting: Vec<usize>,
    /// Times at which connections to each upstream became idle.
    idle: Vec<Vec<Time>>,
}

/// Figures of one run.
#[derive(Clone, Debug, Default)]
struct Figures {
    sent: u32,
    arrived: u32,
    /// Most arrivals at an upstream over the mean, each relative to its speed.
    busiest: f64,
    rejected: u32,
    late: u32,
    opened: u32,
    /// Mean number of slots that are idle while as many requests queue.
    idle_slots: f64,
    /// Longest time until an upstream that joined got a request.
    first_use: Duration,
}

struct Fleet {
    policy: Policy,
    scenario: Scenario,
    random: StdRng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    /// Requests at the upstreams as the leader knew them at its last summary, which it has
    /// from the reports that the instances send once a second.
    summary: Vec<f64>,
    summary_next: Vec<f64>,
    figures: Figures,
    samples: u32,
    is_changed: bool,
}

struct Usable(Vec<Candidate>);

impl UpstreamLookup for Usable {
    fn availability(&self, _: &str, _: Option<u16>) -> Availability {
        Availability {
            candidates: self.0.clone(),
            available_at: None,
        }
    }
}

impl Fleet {
    fn new(policy: Policy, scenario: Scenario) -> Fleet {
        let mut random = StdRng::seed_from_u64(7);
        let total = scenario.upstreams + scenario.replaced;
        let servers = (0..total).map(|index| Server {
            speed: random.random_range(0.5..1.7),
            is_gone: index >= scenario.upstreams,
            ..Server::default()
        });
        let servers: Vec<Server> = servers.collect();
        let instances = (0..scenario.instances).map(|index| {
            let mut order: Vec<usize> = (0..total).collect();
            order.shuffle(&mut random);
            Instance {
                weight: if scenario.uneven && index % 10 == 0 {
                    10.0
                } else {
                    1.0
                },
                order,
                turn: 0,
                preferred: HashSet::new(),
                states: vec![UpstreamState::new(SLOTS); total],
                queue: Queue::default(),
                waiting: Vec::new(),
                idle: vec![Vec::new(); total],
            }
        });
        let instances = instances.collect();
        let mut fleet = Fleet {
            policy,
            scenario,
            random,
            now: Time(60_000_000),
            events: BinaryHeap::new(),
            sequence: 0,
            servers,
            instances,
            requests: Vec::new(),
            summary: vec![0.0; total],
            summary_next: vec![0.0; total],
            figures: Figures::default(),
            samples: 0,
            is_changed: false,
        };
        fleet.update_subsets();
        fleet.schedule(Duration::ZERO, Event::Arrive);
        fleet.schedule(Duration::ZERO, Event::Sample);
        fleet
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn usable(&self) -> Vec<usize> {
        let indexes = 0..self.servers.len();
        indexes
            .filter(|index| !self.servers[*index].is_gone)
            .collect()
    }

    fn update_subsets(&mut self) {
        let usable = self.usable();
        let instance_names: Vec<String> =
            (0..self.instances.len()).map(|i| format!("i{i}")).collect();
        let upstream_names: Vec<String> = usable.iter().map(|index| format!("u{index}")).collect();
        fn parties(names: &[String]) -> Vec<Party<'_>> {
            let party = |name| Party { name, domain: "a" };
            names.iter().map(|name| party(name)).collect()
        }
        let (all, targets) = (parties(&instance_names), parties(&upstream_names));
        for (index, instance) in self.instances.iter_mut().enumerate() {
            let chosen = preferred(all[index], &all, &targets, MIN_SIZE);
            let upstreams = chosen.iter().map(|target| Upstream(usable[*target] as u32));
            instance.queue.set_preferred(&[upstreams.collect()]);
            instance.preferred = chosen.into_iter().map(|target| usable[target]).collect();
        }
    }

    fn run(mut self) -> Figures {
        let start = self.now;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > start + LENGTH {
                break;
            }
            self.now = time;
            self.handle(start, event);
        }
        let capacity = |server: &Server| f64::from(server.arrivals) * server.speed;
        let first = &self.servers[..self.scenario.upstreams - self.scenario.replaced];
        let mean = first.iter().map(capacity).sum::<f64>() / first.len() as f64;
        let most = first.iter().map(capacity).fold(0.0, f64::max);
        self.figures.busiest = most / mean;
        self.figures.idle_slots /= f64::from(self.samples);
        for server in &self.servers[self.scenario.upstreams..] {
            let joined = server.joined.unwrap();
            let first_use = server.first_served.unwrap_or(self.now).since(joined);
            self.figures.first_use = self.figures.first_use.max(first_use);
        }
        self.figures
    }

    fn handle(&mut self, start: Time, event: Event) {
        let scenario = self.scenario;
        match event {
            Event::Arrive => {
                let live = self.instances.len()
                    - if self.now.since(start) > LENGTH / 2 {
                        scenario.stopped
                    } else {
                        0
                    };
                let weights: Vec<f64> = self.instances[..live].iter().map(|i| i.weight).collect();
                let mut draw = self.random.random_range(0.0..weights.iter().sum());
                let instance = weights.iter().position(|weight| {
                    draw -= weight;
                    draw < 0.0
                });
                let id = self.requests.len();
                let instance = instance.unwrap_or(0);
                self.requests.push(Request {
                    instance,
                    arrived: self.now,
                    tried: Vec::new(),
                });
                self.figures.arrived += 1;
                self.enqueue(id);
                self.decide(instance);
                let live_servers = self.servers[..scenario.upstreams].iter();
                let capacity: f64 = live_servers
                    .map(|server| f64::from(SLOTS) / (RUN.as_secs_f64() * server.speed))
                    .sum();
                let gap =
                    -self.random.random_range(0.0001_f64..1.0).ln() / (capacity * scenario.load);
                self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
            }
            Event::Reach(index, id) => {
                let server = &mut self.servers[index];
                server.arrivals += 1;
                server.first_served = server.first_served.or(Some(self.now));
                if server.waiting.len() >= QUEUE_LIMIT || server.is_gone {
                    self.figures.rejected += 1;
                    self.answer(index, id, SendResult::Refused);
                    return;
                }
                server.waiting.push_back(id);
                self.start_runs(index);
            }
            Event::Done(index, id) => {
                self.servers[index].running -= 1;
                self.answer(index, id, SendResult::Ran);
                self.start_runs(index);
            }
            Event::Answer(index, id, result, load) => self.record_answer(index, id, result, load),
            Event::Sample => self.sample(start),
        }
    }

    fn sample(&mut self, start: Time) {
        let scenario = self.scenario;
        let elapsed = self.now.since(start);
        let live = || self.servers.iter().filter(|server| !server.is_gone);
        let idle: u32 = live()
            .map(|server| SLOTS.saturating_sub(server.running))
            .sum();
        let queued: usize = live().map(|server| server.waiting.len()).sum();
        self.figures.idle_slots += f64::from(idle.min(queued as u32));
        self.samples += 1;
        if self.samples.is_multiple_of(100) {
            self.summary = self.summary_next.clone();
        }
        if elapsed > LENGTH / 3 && !self.is_changed {
            self.is_changed = true;
            if scenario.slow {
                self.servers[0].speed *= 10.0;
            }
            let leaving = scenario.upstreams - scenario.replaced..scenario.upstreams;
            leaving.for_each(|index| self.servers[index].is_gone = true);
            for server in &mut self.servers[scenario.upstreams..] {
                (server.is_gone, server.joined) = (false, Some(self.now));
            }
            self.update_subsets();
        }
        for instance in 0..self.instances.len() {
            self.decide(instance);
        }
        self.schedule(ms(10), Event::Sample);
    }

    fn start_runs(&mut self, index: usize) {
        while self.servers[index].running < SLOTS {
            let Some(id) = self.servers[index].waiting.pop_front() else {
                return;
            };
            self.servers[index].running += 1;
            let noise = self.random.random_range(0.4..1.6);
            let took = RUN.mul_f64(self.servers[index].speed * noise);
            self.schedule(took, Event::Done(index, id));
        }
    }

    fn answer(&mut self, index: usize, id: usize, result: SendResult) {
        let server = &self.servers[index];
        let load = ReportedLoad {
            running: server.running,
            waiting: server.waiting.len() as u32,
            slots: SLOTS,
            slowness: ReportedLoad::USUAL_SLOWNESS,
        };
        self.summary_next[index] = f64::from(load.running + load.waiting);
        self.schedule(LINK, Event::Answer(index, id, result, load));
    }

    fn record_answer(&mut self, index: usize, id: usize, result: SendResult, load: ReportedLoad) {
        let now = self.now;
        let request = &mut self.requests[id];
        let instance = &mut self.instances[request.instance];
        request.tried.push(Upstream(index as u32));
        instance.idle[index].push(now);
        let took = now.since(request.arrived);
        instance.states[index].record_result(now, result, Some(load), took, RUN);
        instance.queue.record_finished(
            now,
            &FinishedSend {
                upstream: Upstream(index as u32),
                route: "route",
                service: "service",
                result,
                load: Some(load),
                took,
            },
        );
        let instance = request.instance;
        match result {
            SendResult::Ran => self.figures.late += u32::from(took > LATE),
            _ if request.tried.len() < 3 => self.enqueue(id),
            _ => self.figures.late += 1,
        }
        self.decide(instance);
    }

    fn lookup(&self) -> Usable {
        let candidate = |index: usize| Candidate {
            upstream: Upstream(index as u32),
            slots: SLOTS,
            cross_domain: false,
            warming_up: false,
            doubtful: false,
        };
        Usable(self.usable().into_iter().map(candidate).collect())
    }

    fn enqueue(&mut self, id: usize) {
        let request = &self.requests[id];
        let deadline = request.arrived + DEADLINE;
        let lookup = self.lookup();
        let instance = &mut self.instances[request.instance];
        if self.policy != Policy::Product {
            instance.waiting.push(id);
            return;
        }
        let queued = QueuedRequest {
            ticket: Ticket(id as u64),
            service: "service".into(),
            key: None,
            route: "route".into(),
            rank: 1,
            arrived: request.arrived,
            deadline,
            tried: request.tried.clone(),
            standing: Standing::first(deadline),
        };
        if instance.queue.enqueue(self.now, queued, &lookup).is_err() {
            self.figures.late += 1;
        }
    }

    fn decide(&mut self, index: usize) {
        let now = self.now;
        let mut sends = Vec::new();
        if self.policy == Policy::Product {
            if self.instances[index].queue.is_empty() {
                return;
            }
            let lookup = self.lookup();
            for (ticket, decision) in self.instances[index].queue.decide(now, &lookup) {
                match decision {
                    Decision::Send { upstream, .. } => {
                        sends.push((upstream.0 as usize, ticket.0 as usize))
                    }
                    Decision::Refuse { .. } => self.figures.late += 1,
                }
            }
        } else {
            let waiting = std::mem::take(&mut self.instances[index].waiting);
            for id in waiting {
                if now.since(self.requests[id].arrived) + RUN.mul_f64(0.6) > DEADLINE {
                    self.figures.late += 1;
                } else if let Some(upstream) = self.choose(index, id) {
                    self.instances[index].states[upstream].record_send();
                    sends.push((upstream, id));
                } else {
                    self.instances[index].waiting.push(id);
                }
            }
        }
        for (upstream, id) in sends {
            self.send(index, upstream, id);
        }
    }

    fn send(&mut self, instance: usize, upstream: usize, id: usize) {
        let idle = &mut self.instances[instance].idle[upstream];
        idle.retain(|since| self.now.since(*since) < IDLE_LIMIT);
        self.figures.sent += 1;
        let delay = match idle.pop() {
            Some(_) => LINK,
            None => {
                self.figures.opened += 1;
                LINK * 3 + CONNECT_COST
            }
        };
        self.schedule(delay, Event::Reach(upstream, id));
    }

    /// Choice of the policies other than the product's.
    fn choose(&mut self, index: usize, id: usize) -> Option<usize> {
        let now = self.now;
        let usable = self.usable();
        let instance = &self.instances[index];
        let tried = &self.requests[id].tried;
        let has_room = |upstream: &usize| {
            let state = &instance.states[*upstream];
            state.has_capacity(now, 1.0) && !tried.contains(&Upstream(*upstream as u32))
        };
        let score = |upstream: &usize| {
            let state = &instance.states[*upstream];
            let occupancy = match self.policy {
                Policy::Summary => f64::from(state.in_flight()) + self.summary[*upstream],
                _ => state.occupancy(now),
            };
            let utilization = (occupancy + 1.0) / f64::from(SLOTS);
            state.relative_run_time() * utilization.max(1.0) + 0.2 * utilization.min(1.0)
        };
        let least = |choices: &mut dyn Iterator<Item = usize>| {
            choices.min_by(|one, other| score(one).total_cmp(&score(other)))
        };
        match self.policy {
            Policy::TwoChoices => {
                let mut free: Vec<usize> = usable.into_iter().filter(has_room).collect();
                free.shuffle(&mut self.random);
                least(&mut free.into_iter().take(2))
            }
            Policy::OwnOrder => {
                let count = instance.order.len();
                let turns = (0..count).map(|step| (instance.turn + step) % count);
                let mut turns = turns.filter(|turn| {
                    let upstream = instance.order[*turn];
                    usable.contains(&upstream) && has_room(&upstream)
                });
                let turn = turns.next()?;
                let upstream = instance.order[turn];
                self.instances[index].turn = turn + 1;
                Some(upstream)
            }
            Policy::Subset => {
                let inside = |upstream: &usize| instance.preferred.contains(upstream);
                let free = || usable.iter().copied().filter(has_room);
                least(&mut free().filter(inside)).or_else(|| least(&mut free()))
            }
            _ => least(&mut usable.into_iter().filter(has_room)),
        }
    }
}

fn run(policy: Policy, scenario: Scenario) -> Figures {
    Fleet::new(policy, scenario).run()
}

/// Guards against instances that all send to the upstream that their old reports show as the
/// best: it is overrun and turns requests away while others idle.
#[test]
fn product_beats_old_reports_at_usual_load() {
    let scenario = scenario("60%", 0.6);

    let (before, after) = (run(Policy::Least, scenario), run(Policy::Product, scenario));

    assert!(after.late * 10 < before.late, "{before:?} {after:?}");
    assert!(
        after.rejected * 10 < before.rejected,
        "{before:?} {after:?}"
    );
    assert!(after.opened * 2 < before.opened, "{before:?} {after:?}");
    assert!(after.idle_slots < before.idle_slots, "{before:?} {after:?}");
}

/// Guards against instances that send to full upstreams again and again, because their
/// reports of them are old.
#[test]
fn overloaded_upstreams_turn_few_requests_away() {
    let scenario = scenario("130%", 1.3);

    let (before, after) = (run(Policy::Least, scenario), run(Policy::Product, scenario));

    assert!(after.rejected * 4 < before.rejected, "{before:?} {after:?}");
}

/// Guards against upstreams that join and get nothing, since known ones seem faster.
#[test]
fn upstreams_that_join_are_used_within_seconds() {
    let scenario = Scenario {
        replaced: 10,
        ..scenario("20%", 0.2)
    };

    let figures = run(Policy::Product, scenario);

    assert!(figures.first_use < Duration::from_secs(2), "{figures:?}");
}

/// Guards against a subset that is too small for an instance with many requests, and against
/// one that leaves a small fleet with fewer upstreams.
#[test]
fn uneven_and_small_fleets_are_served() {
    let uneven = Scenario {
        uneven: true,
        ..scenario("uneven", 0.8)
    };
    let small = Scenario {
        instances: 8,
        upstreams: 9,
        ..scenario("8 and 9", 0.8)
    };
    for scenario in [uneven, small] {
        let (before, after) = (run(Policy::Least, scenario), run(Policy::Product, scenario));

        assert!(after.late <= before.late, "{before:?} {after:?}");
    }
}

/// Prints the table of `docs/design/even-load.md`.
#[test]
#[ignore = "prints figures and checks nothing"]
fn print_comparison() {
    let scenarios = [
        scenario("60%", 0.6),
        scenario("20%", 0.2),
        scenario("95%", 0.95),
        scenario("130%", 1.3),
        Scenario {
            slow: true,
            ..scenario("one slow", 0.6)
        },
        Scenario {
            replaced: 10,
            ..scenario("10 replaced", 0.6)
        },
        Scenario {
            replaced: 10,
            ..scenario("10 repl 20%", 0.2)
        },
        Scenario {
            stopped: 15,
            ..scenario("15 stopped", 0.8)
        },
        Scenario {
            uneven: true,
            ..scenario("uneven", 0.8)
        },
        Scenario {
            instances: 8,
            upstreams: 9,
            ..scenario("8 and 9", 0.8)
        },
    ];
    for scenario in scenarios {
        for policy in POLICIES {
            let figures = run(policy, scenario);
            println!(
                "| {} | {policy:?} | {:.2} | {:.2}% | {:.1}% | {:.0}% | {:.1} | {:.2} |",
                scenario.name,
                figures.busiest,
                100.0 * f64::from(figures.rejected) / f64::from(figures.arrived),
                100.0 * f64::from(figures.late) / f64::from(figures.arrived),
                100.0 * f64::from(figures.opened) / f64::from(figures.sent),
                figures.idle_slots,
                figures.first_use.as_secs_f64(),
            );
        }
    }
}
