//! Ways to share an upstream's few slots among instances, in virtual time.
//!
//! Every way runs the same arrivals and run times. The upstream refuses what
//! exceeds its slots, and refused requests are not retried. Each message between two processes takes one hop.

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

/// Instances that requests arrive at.
const INSTANCES: u64 = 12;
/// Length of a run, in microseconds.
const LENGTH: u64 = 60_000_000;
/// Mean run time, in microseconds, exponentially distributed.
const SERVICE: f64 = 5_000.0;
/// One way between two processes of a failure domain, in microseconds.
const HOP: u64 = 250;
/// Hops of the table that varies them, in microseconds.
const HOPS: [u64; 4] = [25, 100, 250, 500];
const DEADLINES: [u64; 3] = [100_000, 200_000, 500_000];
const SEEDS: u64 = 5;

/// Load by rank, as part of the upstream's capacity.
const REGIMES: [(&str, [f64; 3]); 3] = [
    ("ordinary day, load 0.6", [0.20, 0.20, 0.20]),
    ("archive flood, load 2.4", [0.20, 0.20, 2.00]),
    ("status flood, load 2.4", [2.00, 0.20, 0.20]),
];

/// How instances share the slots.
#[derive(Clone, Copy)]
struct Way {
    name: &'static str,
    /// Queues that decide about slots.
    queues: fn(u64) -> u64,
    /// Slots of each queue.
    slots: fn(u64) -> u64,
    /// Whether a queue only lends the slot and the instance sends the request.
    lends: bool,
}

const WAYS: [Way; 4] = [
    Way {
        name: "fixed share, 1 slot each",
        queues: |_| INSTANCES,
        slots: |_| 1,
        lends: false,
    },
    Way {
        name: "fixed share, 1 slot at some",
        queues: |slots| slots,
        slots: |_| 1,
        lends: false,
    },
    Way {
        name: "credit lent per request",
        queues: |_| 1,
        slots: |slots| slots,
        lends: true,
    },
    Way {
        name: "one queue per upstream",
        queues: |_| 1,
        slots: |slots| slots,
        lends: false,
    },
];

/// Figures of a run, in the order of the columns.
const COLUMNS: [&str; 7] = [
    "way",
    "wasted slots %",
    "overrun sends %",
    "status p50 ms",
    "status p99 ms",
    "status in time %",
    "useful work %",
];

/// One table for each number of slots and regime, and one by hop.
pub fn tables() -> Vec<Table> {
    let regimes = |slots| REGIMES.map(|(name, load)| compare(slots, name, load));
    let mut tables: Vec<Table> = [2, 6].into_iter().flat_map(regimes).collect();
    tables.push(by_hop());
    tables
}

fn compare(slots: u64, regime: &str, load: [f64; 3]) -> Table {
    let title = format!(
        "sharing {slots} slots among {INSTANCES} instances, {regime}, hop {HOP} us, {SEEDS} seeds: median (min..max)"
    );
    let mut table = Table::new(&title, &COLUMNS);
    for way in WAYS {
        add_row(&mut table, way.name.to_owned(), way, slots, load, HOP);
    }
    table
}

/// The ways that keep the slot count, by the length of a hop.
fn by_hop() -> Table {
    let (regime, load) = REGIMES[1];
    let title = format!("sharing 2 slots, {regime}, by hop, {SEEDS} seeds: median (min..max)");
    let mut table = Table::new(&title, &COLUMNS);
    for hop in HOPS {
        for way in &WAYS[2..] {
            let name = format!("{}, hop {hop} us", way.name);
            add_row(&mut table, name, *way, 2, load, hop);
        }
    }
    table
}

fn add_row(table: &mut Table, name: String, way: Way, slots: u64, load: [f64; 3], hop: u64) {
    let run = |seed| Bench::new(way, slots, load, hop, seed).run();
    let runs: Vec<[f64; 6]> = (0..SEEDS).map(run).collect();
    let mut cells = vec![name];
    cells.extend((0..6).map(|column| spread(runs.iter().map(|run| run[column]).collect())));
    table.row(cells);
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (low, high) = (values[0], values[values.len() - 1]);
    format!("{:.2} ({low:.2}..{high:.2})", values[values.len() / 2])
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Push(u64),
    Begin(u64),
    End(u64),
    Done(u64),
}

/// A request on its way.
#[derive(Clone, Copy)]
struct Job {
    ticket: SlotRequest,
    arrived: u64,
    length: u64,
    queue: usize,
    /// Hops between the caller's instance and the queue.
    away: u64,
}

struct Bench {
    way: Way,
    slots: u64,
    hop: u64,
    rates: [f64; 3],
    draws: [StdRng; 3],
    queues: Vec<Queue>,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    serial: u64,
    jobs: BTreeMap<u64, Job>,
    /// Requests that the upstream runs.
    busy: u64,
    clock: u64,
    wasted: u64,
    sends: u64,
    refused: u64,
    useful: u64,
    arrived: u64,
    in_time: u64,
    latency: Histogram<u64>,
}

impl Bench {
    fn new(way: Way, slots: u64, load: [f64; 3], hop: u64, seed: u64) -> Bench {
        let capacity = slots as f64 / SERVICE;
        let count = (way.queues)(slots);
        let limits = Limits {
            max_waiting: 64,
            slots: (way.slots)(slots) as u16,
            floor_percents: [0, 20, 10],
            weights: vec![(Club(0), 1)],
        };
        let arrivals = (0..3).map(|rank| Reverse((0, 0, Step::Arrive(rank))));
        Bench {
            way,
            slots,
            hop,
            rates: load.map(|part| part * capacity),
            draws: [0, 1, 2].map(|rank| StdRng::seed_from_u64(seed * 3 + rank)),
            queues: (0..count).map(|_| Queue::new(limits.clone())).collect(),
            steps: arrivals.collect(),
            serial: 0,
            jobs: BTreeMap::new(),
            busy: 0,
            clock: 0,
            wasted: 0,
            sends: 0,
            refused: 0,
            useful: 0,
            arrived: 0,
            in_time: 0,
            latency: Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid"),
        }
    }

    fn run(mut self) -> [f64; 6] {
        while let Some(Reverse((now, _, step))) = self.steps.pop() {
            if now > LENGTH {
                break;
            }
            self.account(now);
            match step {
                Step::Arrive(rank) => self.arrive(now, rank),
                Step::Push(id) => self.push(now, id),
                Step::Begin(id) => self.begin(now, id),
                Step::End(id) => self.end(now, id),
                Step::Done(id) => self.done(now, id),
            }
        }
        let capacity = (self.slots * LENGTH) as f64;
        let latency = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1e3;
        [
            100.0 * self.wasted as f64 / capacity,
            100.0 * self.refused as f64 / self.sends as f64,
            latency(0.5),
            latency(0.99),
            100.0 * self.in_time as f64 / self.arrived as f64,
            100.0 * self.useful as f64 / capacity,
        ]
    }

    /// Counts the slots that were idle since the last step while requests waited.
    fn account(&mut self, now: u64) {
        let waiting: usize = self.queues.iter().map(Queue::waiting_count).sum();
        let idle = self.slots - self.busy;
        self.wasted += (now - self.clock) * idle.min(waiting as u64);
        self.clock = now;
    }

    fn later(&mut self, time: u64, step: Step) {
        self.serial += 1;
        self.steps.push(Reverse((time, self.serial, step)));
    }

    fn exponential(&mut self, rank: usize, mean: f64) -> u64 {
        let uniform: f64 = self.draws[rank].random();
        (-mean * (1.0 - uniform).ln()) as u64 + 1
    }

    fn arrive(&mut self, now: u64, rank: usize) {
        let next = now + self.exponential(rank, 1.0 / self.rates[rank]);
        let length = self.exponential(rank, SERVICE);
        let instance = self.draws[rank].random_range(0..INSTANCES);
        self.later(next, Step::Arrive(rank));
        let queue = instance % self.queues.len() as u64;
        let away = u64::from(queue != instance);
        let id = self.serial;
        let ticket = SlotRequest {
            id,
            rank: Rank::ALL[rank],
            club: Club(0),
            deadline: Time(now + DEADLINES[rank]),
        };
        let job = Job {
            ticket,
            arrived: now,
            length,
            queue: queue as usize,
            away,
        };
        self.jobs.insert(id, job);
        self.arrived += u64::from(rank == 0);
        self.later(now + away * self.hop, Step::Push(id));
    }

    fn push(&mut self, now: u64, id: u64) {
        let job = self.jobs[&id];
        for event in self.queues[job.queue].push(Time(now), job.ticket) {
            let (QueueEvent::Shed(id) | QueueEvent::Expired(id) | QueueEvent::Duplicate(id)) =
                event;
            self.jobs.remove(&id);
        }
        self.start(now, job.queue);
    }

    fn start(&mut self, now: u64, queue: usize) {
        while let Some(id) = self.queues[queue].start_next(Time(now)) {
            let lent = u64::from(self.way.lends) * self.jobs[&id].away;
            self.later(now + (lent + 1) * self.hop, Step::Begin(id));
        }
        for id in self.queues[queue].expire(Time(now)) {
            self.jobs.remove(&id);
        }
    }

    fn begin(&mut self, now: u64, id: u64) {
        self.sends += 1;
        if self.busy == self.slots {
            self.refused += 1;
            self.later(now + self.hop, Step::Done(id));
            return;
        }
        self.busy += 1;
        self.later(now + self.jobs[&id].length, Step::End(id));
    }

    fn end(&mut self, now: u64, id: u64) {
        self.busy -= 1;
        let job = self.jobs[&id];
        // A lent slot is used by the caller's own instance, so its answer takes one hop.
        let forwarded = u64::from(!self.way.lends) * job.away;
        let answered = now + (1 + forwarded) * self.hop;
        if answered <= job.ticket.deadline.0 {
            self.useful += job.length;
            self.in_time += u64::from(job.ticket.rank == Rank::Status);
        }
        if job.ticket.rank == Rank::Status {
            self.latency.saturating_record(answered - job.arrived);
        }
        let returned = u64::from(self.way.lends) * job.away;
        self.later(now + (1 + returned) * self.hop, Step::Done(id));
    }

    fn done(&mut self, now: u64, id: u64) {
        if let Some(job) = self.jobs.remove(&id) {
            self.queues[job.queue].finish(Time(now), id);
            self.start(now, job.queue);
        }
    }
}
