//! Simulation of an upstream's queue in virtual time, with and without a flood.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use medlarreel_core::admission::{Limits, Queue, QueueEvent, SlotRequest};
use medlarreel_core::ids::Club;
use medlarreel_core::preset::Rank;
use medlarreel_core::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Length of a simulation, in microseconds.
const SIMULATION_LENGTH_US: u64 = 20_000_000;
/// Mean run time, in microseconds.
const MEAN_RUN_TIME_US: f64 = 5_000.0;
/// Load by rank without a flood, as a fraction of the capacity.
const BASE_LOAD: [f64; 3] = [0.20, 0.30, 0.25];
/// Floors by rank.
const FLOOR_PERCENTS: [u8; 3] = [0, 20, 10];
/// Time from arrival to deadline, by rank.
const DEADLINES_US: [u64; 3] = [100_000, 200_000, 500_000];

/// Distribution of run times.
#[derive(Clone, Copy, Debug)]
enum RunTimes {
    Exponential,
    /// One run in twenty takes 50 ms and makes up half of the work.
    RareLong,
}

/// Result of a simulation, with times in microseconds.
#[derive(Default)]
struct Outcome {
    /// Requests that finished in time, by rank.
    in_time: [u64; 3],
    /// Slot time of finished requests, by rank.
    slot_time: [u64; 3],
    /// Slot time of requests that finished in time.
    useful_slot_time: u64,
    /// Longest time without a start while requests of the rank were waiting, by rank.
    longest_gap: [u64; 3],
}

/// Number of slots, maximum number of entries and run times of a queue.
type Setup = (u16, u32, RunTimes);

/// Request that waits or runs.
struct OpenRequest {
    request: SlotRequest,
    run_time: u64,
    started_at: u64,
}

struct Simulation {
    queue: Queue,
    slots: u16,
    run_times: RunTimes,
    /// One generator per rank, so that a flood does not change the other ranks' requests.
    rngs: [StdRng; 3],
    /// Arrivals per microsecond, by rank.
    rates: [f64; 3],
    /// Events by time: the arrival of a request of a rank or, without a rank, the end of
    /// the run of the request with this id.
    events: BinaryHeap<Reverse<(u64, u64, Option<usize>)>>,
    open: BTreeMap<u64, OpenRequest>,
    waiting_since: [Option<u64>; 3],
    outcome: Outcome,
    last_id: u64,
}

impl Simulation {
    fn new((slots, entries, run_times): Setup, seed: u64, flood: Option<Rank>) -> Simulation {
        let capacity = f64::from(slots) / MEAN_RUN_TIME_US;
        let rates = Rank::ALL.map(|rank| {
            let factor = if flood == Some(rank) { 10.0 } else { 1.0 };
            BASE_LOAD[rank.index()] * factor * capacity
        });
        let weights = vec![(Club(0), 1), (Club(1), 1)];
        let limits = Limits {
            max_waiting: entries,
            slots,
            floor_percents: FLOOR_PERCENTS,
            weights,
        };
        Simulation {
            queue: Queue::new(limits),
            slots,
            run_times,
            rngs: [0, 1, 2].map(|rank| StdRng::seed_from_u64(seed * 3 + rank)),
            rates,
            events: (0..3).map(|rank| Reverse((0, 0, Some(rank)))).collect(),
            open: BTreeMap::new(),
            waiting_since: [None; 3],
            outcome: Outcome::default(),
            last_id: 0,
        }
    }

    fn exponential(&mut self, rank: usize, mean: f64) -> u64 {
        let uniform: f64 = self.rngs[rank].random();
        (-mean * (1.0 - uniform).ln()) as u64 + 1
    }

    fn run_time(&mut self, rank: usize) -> u64 {
        match self.run_times {
            RunTimes::Exponential => self.exponential(rank, MEAN_RUN_TIME_US),
            RunTimes::RareLong if self.rngs[rank].random_bool(0.05) => 50_000,
            RunTimes::RareLong => 2_632,
        }
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((now, id, arrival))) = self.events.pop() {
            if now > SIMULATION_LENGTH_US {
                break;
            }
            match arrival {
                Some(rank) => self.arrive(now, rank),
                None => self.finish(now, id),
            }
            self.start_requests(now);
            assert!(self.queue.waiting_count() <= self.queue.limits().max_waiting as usize);
        }
        self.outcome
    }

    fn arrive(&mut self, now: u64, rank: usize) {
        let next = now + self.exponential(rank, 1.0 / self.rates[rank]);
        let run_time = self.run_time(rank);
        self.events.push(Reverse((next, 0, Some(rank))));
        self.last_id += 1;
        let request = SlotRequest {
            id: self.last_id,
            rank: Rank::ALL[rank],
            club: Club((self.last_id % 2) as u16),
            deadline: Time(now + DEADLINES_US[rank]),
        };
        self.open.insert(
            request.id,
            OpenRequest {
                request,
                run_time,
                started_at: 0,
            },
        );
        for event in self.queue.push(Time(now), request) {
            let (QueueEvent::Shed(id) | QueueEvent::Expired(id) | QueueEvent::Duplicate(id)) =
                event;
            self.open.remove(&id);
        }
    }

    fn start_requests(&mut self, now: u64) {
        while let Some(id) = self.queue.start_next(Time(now)) {
            let entry = self.open.get_mut(&id).expect("a started request is open");
            assert!(now < entry.request.deadline.0, "expired work was started");
            entry.started_at = now;
            let run_time = entry.run_time;
            let rank = entry.request.rank.index();
            self.events.push(Reverse((now + run_time, id, None)));
            self.record_gap(now, rank);
            self.waiting_since[rank] = None;
        }
        assert!(self.queue.running_count() <= usize::from(self.slots));
        for id in self.queue.expire(Time(now)) {
            self.open.remove(&id);
        }
        for rank in Rank::ALL {
            self.record_gap(now, rank.index());
            let waits = self.queue.waiting_count_of(rank) > 0;
            let since = self.waiting_since[rank.index()].unwrap_or(now);
            self.waiting_since[rank.index()] = waits.then_some(since);
        }
    }

    fn record_gap(&mut self, now: u64, rank: usize) {
        let gap = self.waiting_since[rank].map_or(0, |since| now - since);
        self.outcome.longest_gap[rank] = self.outcome.longest_gap[rank].max(gap);
    }

    fn finish(&mut self, now: u64, id: u64) {
        assert!(self.queue.finish(Time(now), id));
        let OpenRequest {
            request,
            started_at,
            ..
        } = self.open.remove(&id).expect("a running request is open");
        let rank = request.rank.index();
        self.outcome.slot_time[rank] += now - started_at;
        if now <= request.deadline.0 {
            self.outcome.in_time[rank] += 1;
            self.outcome.useful_slot_time += now - started_at;
        }
    }
}

/// Simulates a flood of the rank for several setups and seeds, and checks each run
/// against the same run without a flood.
fn compare(flood: Rank, check: impl Fn(u16, &Outcome, &Outcome)) {
    for run_times in [RunTimes::Exponential, RunTimes::RareLong] {
        for (slots, entries) in [(2, 64), (6, 64), (2, 1_000)] {
            for seed in 0..2 {
                let setup = (slots, entries, run_times);
                println!("{setup:?}, seed {seed}");
                let baseline = Simulation::new(setup, seed, None).run();
                let flooded = Simulation::new(setup, seed, Some(flood)).run();
                check(slots, &baseline, &flooded);
            }
        }
    }
}

fn check_common(slots: u16, baseline: &Outcome, flooded: &Outcome) {
    let capacity = (u64::from(slots) * SIMULATION_LENGTH_US) as f64;
    let urgent = flooded.in_time[0] as f64 / baseline.in_time[0] as f64;
    assert!(urgent >= 0.99, "urgent goodput fell to {urgent:.4}");
    let useful = flooded.useful_slot_time as f64 / capacity;
    assert!(useful >= 0.95, "useful work is {useful:.4} of the capacity");
    for rank in [1, 2] {
        let share = flooded.slot_time[rank] as f64 / capacity;
        let floor = f64::from(FLOOR_PERCENTS[rank]) / 100.0;
        assert!(
            share >= 0.95 * floor,
            "rank {rank} got {share:.4} of {floor}"
        );
        let gap = flooded.longest_gap[rank];
        assert!(
            gap < 1_000_000,
            "rank {rank} waited {gap} us without service"
        );
    }
}

/// Guards against a flood of the least urgent rank slowing more urgent requests.
#[test]
fn an_archive_flood_does_not_slow_the_other_ranks() {
    compare(Rank::Archive, |slots, baseline, flooded| {
        check_common(slots, baseline, flooded);
        let order = flooded.in_time[1] as f64 / baseline.in_time[1] as f64;
        assert!(order >= 0.98, "order goodput fell to {order:.4}");
    });
}

/// Guards against a flood of the most urgent rank starving the others, and against floors
/// that take more than their share from urgent requests.
#[test]
fn a_status_flood_does_not_violate_the_floors() {
    compare(Rank::Status, |slots, baseline, flooded| {
        check_common(slots, baseline, flooded);
        for rank in [1, 2] {
            let share =
                flooded.slot_time[rank] as f64 / (u64::from(slots) * SIMULATION_LENGTH_US) as f64;
            let floor = f64::from(FLOOR_PERCENTS[rank]) / 100.0;
            assert!(share <= 1.05 * floor, "rank {rank} took {share:.4}");
        }
    });
}
