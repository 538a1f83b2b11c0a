//! Compares strategies for sharing an upstream's few slots among instances, in a
//! discrete-event simulation.
//!
//! All strategies run with the same arrivals and service times. The upstream rejects
//! requests that exceed its slots, and rejected requests are not retried. Each
//! message between two processes takes one hop.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hdrhistogram::Histogram;
use medlarreel_core::admission::{Limits, Queue, QueueEvent, SlotRequest};
use medlarreel_core::ids::Club;
use medlarreel_core::preset::Rank;
use medlarreel_core::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::table::Table;

/// Number of instances at which requests arrive.
const INSTANCE_COUNT: u64 = 12;
/// Virtual time that each simulation covers.
const SIMULATED_TIME_US: u64 = 60_000_000;
/// Mean of the exponentially distributed service time.
const MEAN_SERVICE_TIME_US: f64 = 5_000.0;
/// One-way delay between two processes of a failure domain.
const HOP_US: u64 = 250;
/// One-way delays compared by `by_hop`.
const HOPS_US: [u64; 4] = [25, 100, 250, 500];
/// Time from arrival to deadline, by rank.
const DEADLINES_US: [u64; 3] = [100_000, 200_000, 500_000];
const SEED_COUNT: u64 = 5;

/// Load by rank, as a fraction of the upstream's capacity.
const LOAD_PROFILES: [(&str, [f64; 3]); 3] = [
    ("ordinary day, load 0.6", [0.20, 0.20, 0.20]),
    ("archive flood, load 2.4", [0.20, 0.20, 2.00]),
    ("status flood, load 2.4", [2.00, 0.20, 0.20]),
];

/// Strategy by which instances share the slots.
#[derive(Clone, Copy)]
struct Strategy {
    name: &'static str,
    /// Number of queues that assign slots, given the slots of the upstream.
    queue_count: fn(u64) -> u64,
    /// Slots of each queue, given the slots of the upstream.
    slots_per_queue: fn(u64) -> u64,
    /// Whether the queue lends the slot and the arrival instance sends the request;
    /// otherwise the request is forwarded to the queue's instance.
    lends_slots: bool,
}

const STRATEGIES: [Strategy; 4] = [
    Strategy {
        name: "fixed share, 1 slot each",
        queue_count: |_| INSTANCE_COUNT,
        slots_per_queue: |_| 1,
        lends_slots: false,
    },
    Strategy {
        name: "fixed share, 1 slot at some",
        queue_count: |slots| slots,
        slots_per_queue: |_| 1,
        lends_slots: false,
    },
    Strategy {
        name: "credit lent per request",
        queue_count: |_| 1,
        slots_per_queue: |slots| slots,
        lends_slots: true,
    },
    Strategy {
        name: "one queue per upstream",
        queue_count: |_| 1,
        slots_per_queue: |slots| slots,
        lends_slots: false,
    },
];

/// Name of the strategy, then the results that `Simulation::run` returns, in its
/// order.
const COLUMNS: [&str; 7] = [
    "strategy",
    "wasted slots %",
    "overrun sends %",
    "status p50 ms",
    "status p99 ms",
    "status in time %",
    "useful work %",
];

/// One table per number of slots and load profile, and one by hop delay.
pub fn tables() -> Vec<Table> {
    let profile_tables = |slots| LOAD_PROFILES.map(|(name, load)| by_strategy(slots, name, load));
    let mut tables: Vec<Table> = [2, 6].into_iter().flat_map(profile_tables).collect();
    tables.push(by_hop());
    tables
}

/// Results of all strategies for a number of slots and a load profile.
fn by_strategy(slots: u64, profile: &str, load: [f64; 3]) -> Table {
    let title = format!(
        "sharing {slots} slots among {INSTANCE_COUNT} instances, {profile}, hop {HOP_US} us, {SEED_COUNT} seeds: median (min..max)"
    );
    let mut table = Table::new(&title, &COLUMNS);
    for strategy in STRATEGIES {
        add_row(
            &mut table,
            strategy.name.to_owned(),
            strategy,
            slots,
            load,
            HOP_US,
        );
    }
    table
}

/// Single-queue strategies, which assign no more than the upstream's slots, by hop
/// delay.
fn by_hop() -> Table {
    let (profile, load) = LOAD_PROFILES[1];
    let title =
        format!("sharing 2 slots, {profile}, by hop, {SEED_COUNT} seeds: median (min..max)");
    let mut table = Table::new(&title, &COLUMNS);
    for hop_us in HOPS_US {
        for strategy in &STRATEGIES[2..] {
            let name = format!("{}, hop {hop_us} us", strategy.name);
            add_row(&mut table, name, *strategy, 2, load, hop_us);
        }
    }
    table
}

fn add_row(
    table: &mut Table,
    name: String,
    strategy: Strategy,
    slots: u64,
    load: [f64; 3],
    hop_us: u64,
) {
    let run = |seed| Simulation::new(strategy, slots, load, hop_us, seed).run();
    let runs: Vec<[f64; 6]> = (0..SEED_COUNT).map(run).collect();
    let mut cells = vec![name];
    cells.extend(
        (0..6).map(|column| median_and_range(runs.iter().map(|run| run[column]).collect())),
    );
    table.add_row(cells);
}

/// Formats the median with the smallest and the largest value.
fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (min, max) = (values[0], values[values.len() - 1]);
    format!("{:.2} ({min:.2}..{max:.2})", values[values.len() / 2])
}

/// Simulated event. All but `Arrive` contain the id of their request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request of the rank with this index arrives.
    Arrive(usize),
    /// The request reaches its queue.
    Enqueue(u64),
    /// The request reaches the upstream.
    Execute(u64),
    /// The upstream has served the request.
    Complete(u64),
    /// The queue learns that the slot is free.
    ReleaseSlot(u64),
}

/// Request from its arrival until it releases its slot or leaves the queue unserved.
#[derive(Clone, Copy)]
struct SimulatedRequest {
    slot_request: SlotRequest,
    arrival_us: u64,
    service_time_us: u64,
    queue: usize,
    /// Hops between the arrival instance and the queue's instance.
    hops_to_queue: u64,
}

/// State of one simulated run.
struct Simulation {
    strategy: Strategy,
    slots: u64,
    hop_us: u64,
    /// Requests per microsecond, by rank.
    arrival_rates: [f64; 3],
    /// One generator per rank, so that its arrivals depend neither on the strategy nor on
    /// the other ranks.
    rngs: [StdRng; 3],
    queues: Vec<Queue>,
    /// Pending events, each with its time in microseconds and its sequence number.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events scheduled; it orders simultaneous events and serves as the id
    /// of each new request.
    event_count: u64,
    requests: BTreeMap<u64, SimulatedRequest>,
    /// Requests that the upstream runs.
    busy_slots: u64,
    last_event_us: u64,
    /// Idle slot time while requests waited.
    wasted_slot_us: u64,
    send_count: u64,
    rejected_count: u64,
    /// Slot time of requests answered by their deadline.
    useful_slot_us: u64,
    status_arrivals: u64,
    status_in_time: u64,
    status_latency_us: Histogram<u64>,
}

impl Simulation {
    fn new(strategy: Strategy, slots: u64, load: [f64; 3], hop_us: u64, seed: u64) -> Simulation {
        let capacity = slots as f64 / MEAN_SERVICE_TIME_US;
        let queue_count = (strategy.queue_count)(slots);
        let limits = Limits {
            max_waiting: 64,
            slots: (strategy.slots_per_queue)(slots) as u16,
            floor_percents: [0, 20, 10],
            weights: vec![(Club(0), 1)],
        };
        let arrivals = (0..3).map(|rank| Reverse((0, 0, Event::Arrive(rank))));
        Simulation {
            strategy,
            slots,
            hop_us,
            arrival_rates: load.map(|part| part * capacity),
            rngs: [0, 1, 2].map(|rank| StdRng::seed_from_u64(seed * 3 + rank)),
            queues: (0..queue_count)
                .map(|_| Queue::new(limits.clone()))
                .collect(),
            events: arrivals.collect(),
            event_count: 0,
            requests: BTreeMap::new(),
            busy_slots: 0,
            last_event_us: 0,
            wasted_slot_us: 0,
            send_count: 0,
            rejected_count: 0,
            useful_slot_us: 0,
            status_arrivals: 0,
            status_in_time: 0,
            status_latency_us: Histogram::new_with_bounds(1, 600_000_000, 3)
                .expect("the bounds are valid"),
        }
    }

    /// Runs the simulation and returns its results in the order of `COLUMNS`,
    /// without the strategy's name.
    fn run(mut self) -> [f64; 6] {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > SIMULATED_TIME_US {
                break;
            }
            self.account_idle_slots(now);
            match event {
                Event::Arrive(rank) => self.arrive(now, rank),
                Event::Enqueue(id) => self.enqueue(now, id),
                Event::Execute(id) => self.execute(now, id),
                Event::Complete(id) => self.complete(now, id),
                Event::ReleaseSlot(id) => self.release_slot(now, id),
            }
        }
        let capacity = (self.slots * SIMULATED_TIME_US) as f64;
        let quantile_ms =
            |quantile| self.status_latency_us.value_at_quantile(quantile) as f64 / 1e3;
        [
            100.0 * self.wasted_slot_us as f64 / capacity,
            100.0 * self.rejected_count as f64 / self.send_count as f64,
            quantile_ms(0.5),
            quantile_ms(0.99),
            100.0 * self.status_in_time as f64 / self.status_arrivals as f64,
            100.0 * self.useful_slot_us as f64 / capacity,
        ]
    }

    /// Adds the slot time that was idle while requests waited, since the last event.
    fn account_idle_slots(&mut self, now: u64) {
        let waiting: usize = self.queues.iter().map(Queue::waiting_count).sum();
        let idle = self.slots - self.busy_slots;
        self.wasted_slot_us += (now - self.last_event_us) * idle.min(waiting as u64);
        self.last_event_us = now;
    }

    /// Adds an event; simultaneous events occur in the order in which they were added.
    fn schedule(&mut self, time: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((time, self.event_count, event)));
    }

    /// Draws an exponentially distributed time in microseconds, at least 1 us.
    fn draw_exponential(&mut self, rank: usize, mean: f64) -> u64 {
        let uniform: f64 = self.rngs[rank].random();
        (-mean * (1.0 - uniform).ln()) as u64 + 1
    }

    fn arrive(&mut self, now: u64, rank: usize) {
        let next = now + self.draw_exponential(rank, 1.0 / self.arrival_rates[rank]);
        let service_time_us = self.draw_exponential(rank, MEAN_SERVICE_TIME_US);
        let instance = self.rngs[rank].random_range(0..INSTANCE_COUNT);
        self.schedule(next, Event::Arrive(rank));
        let queue = instance % self.queues.len() as u64;
        let hops_to_queue = u64::from(queue != instance);
        let id = self.event_count;
        let slot_request = SlotRequest {
            id,
            rank: Rank::ALL[rank],
            club: Club(0),
            deadline: Time(now + DEADLINES_US[rank]),
        };
        let request = SimulatedRequest {
            slot_request,
            arrival_us: now,
            service_time_us,
            queue: queue as usize,
            hops_to_queue,
        };
        self.requests.insert(id, request);
        self.status_arrivals += u64::from(rank == 0);
        self.schedule(now + hops_to_queue * self.hop_us, Event::Enqueue(id));
    }

    fn enqueue(&mut self, now: u64, id: u64) {
        let request = self.requests[&id];
        for event in self.queues[request.queue].push(Time(now), request.slot_request) {
            let (QueueEvent::Shed(id) | QueueEvent::Expired(id) | QueueEvent::Duplicate(id)) =
                event;
            self.requests.remove(&id);
        }
        self.send_waiting(now, request.queue);
    }

    /// Sends the waiting requests that the queue has slots for, and drops expired ones.
    fn send_waiting(&mut self, now: u64, queue: usize) {
        while let Some(id) = self.queues[queue].start_next(Time(now)) {
            let lending_hops =
                u64::from(self.strategy.lends_slots) * self.requests[&id].hops_to_queue;
            self.schedule(now + (lending_hops + 1) * self.hop_us, Event::Execute(id));
        }
        for id in self.queues[queue].expire(Time(now)) {
            self.requests.remove(&id);
        }
    }

    fn execute(&mut self, now: u64, id: u64) {
        self.send_count += 1;
        if self.busy_slots == self.slots {
            self.rejected_count += 1;
            self.schedule(now + self.hop_us, Event::ReleaseSlot(id));
            return;
        }
        self.busy_slots += 1;
        self.schedule(
            now + self.requests[&id].service_time_us,
            Event::Complete(id),
        );
    }

    fn complete(&mut self, now: u64, id: u64) {
        self.busy_slots -= 1;
        let request = self.requests[&id];
        // With a lent slot the arrival instance gets the response directly, in one hop.
        let forwarding_hops = u64::from(!self.strategy.lends_slots) * request.hops_to_queue;
        let answered_us = now + (1 + forwarding_hops) * self.hop_us;
        if answered_us <= request.slot_request.deadline.0 {
            self.useful_slot_us += request.service_time_us;
            self.status_in_time += u64::from(request.slot_request.rank == Rank::Status);
        }
        if request.slot_request.rank == Rank::Status {
            self.status_latency_us
                .saturating_record(answered_us - request.arrival_us);
        }
        let return_hops = u64::from(self.strategy.lends_slots) * request.hops_to_queue;
        self.schedule(
            now + (1 + return_hops) * self.hop_us,
            Event::ReleaseSlot(id),
        );
    }

    fn release_slot(&mut self, now: u64, id: u64) {
        if let Some(request) = self.requests.remove(&id) {
            self.queues[request.queue].finish(Time(now), id);
            self.send_waiting(now, request.queue);
        }
    }
}
