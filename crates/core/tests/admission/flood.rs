//! Service of an upstream's queue in virtual time, with and without a flood.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use medlarreel_core::admission::{Limits, Queue, QueueEvent, SlotRequest};
use medlarreel_core::ids::Club;
use medlarreel_core::preset::Rank;
use medlarreel_core::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Length of a run, in microseconds.
const LENGTH: u64 = 20_000_000;
/// Mean run time, in microseconds.
const SERVICE: f64 = 5_000.0;
/// Load by rank without a flood, as part of the capacity.
const LOAD: [f64; 3] = [0.20, 0.30, 0.25];
const FLOORS: [u8; 3] = [0, 20, 10];
const DEADLINES: [u64; 3] = [100_000, 200_000, 500_000];

/// Distribution of run times.
#[derive(Clone, Copy, Debug)]
enum RunTimes {
    Exponential,
    /// One run in twenty takes 50 ms and makes up half of the work.
    RareLong,
}

#[derive(Default)]
struct Outcome {
    /// Requests finished in time, by rank.
    good: [u64; 3],
    /// Slot time given, by rank.
    given: [u64; 3],
    /// Slot time of requests that finished in time.
    useful: u64,
    /// Longest time without a start while the rank had work.
    gap: [u64; 3],
}

/// Slots, entries and run times of a queue.
type Size = (u16, u32, RunTimes);

/// A request that waits or runs.
struct Open {
    ticket: SlotRequest,
    length: u64,
    since: u64,
}

struct Bench {
    queue: Queue,
    slots: u16,
    run_times: RunTimes,
    /// One stream per rank, so that a flood changes nothing about the other ranks.
    draws: [StdRng; 3],
    rates: [f64; 3],
    events: BinaryHeap<Reverse<(u64, u64, Option<usize>)>>,
    open: BTreeMap<u64, Open>,
    waiting_since: [Option<u64>; 3],
    outcome: Outcome,
    ids: u64,
}

impl Bench {
    fn new((slots, entries, run_times): Size, seed: u64, flood: Option<Rank>) -> Bench {
        let capacity = f64::from(slots) / SERVICE;
        let rates = Rank::ALL.map(|rank| {
            let factor = if flood == Some(rank) { 10.0 } else { 1.0 };
            LOAD[rank.index()] * factor * capacity
        });
        let weights = vec![(Club(0), 1), (Club(1), 1)];
        let limits = Limits {
            max_waiting: entries,
            slots,
            floor_percents: FLOORS,
            weights,
        };
        Bench {
            queue: Queue::new(limits),
            slots,
            run_times,
            draws: [0, 1, 2].map(|rank| StdRng::seed_from_u64(seed * 3 + rank)),
            rates,
            events: (0..3).map(|rank| Reverse((0, 0, Some(rank)))).collect(),
            open: BTreeMap::new(),
            waiting_since: [None; 3],
            outcome: Outcome::default(),
            ids: 0,
        }
    }

    fn exponential(&mut self, rank: usize, mean: f64) -> u64 {
        let uniform: f64 = self.draws[rank].random();
        (-mean * (1.0 - uniform).ln()) as u64 + 1
    }

    fn run_time(&mut self, rank: usize) -> u64 {
        match self.run_times {
            RunTimes::Exponential => self.exponential(rank, SERVICE),
            RunTimes::RareLong if self.draws[rank].random_bool(0.05) => 50_000,
            RunTimes::RareLong => 2_632,
        }
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((now, id, arrival))) = self.events.pop() {
            if now > LENGTH {
                break;
            }
            match arrival {
                Some(rank) => self.arrive(now, rank),
                None => self.finish(now, id),
            }
            self.start(now);
            assert!(self.queue.waiting_count() <= self.queue.limits().max_waiting as usize);
        }
        self.outcome
    }

    fn arrive(&mut self, now: u64, rank: usize) {
        let next = now + self.exponential(rank, 1.0 / self.rates[rank]);
        let length = self.run_time(rank);
        self.events.push(Reverse((next, 0, Some(rank))));
        self.ids += 1;
        let ticket = SlotRequest {
            id: self.ids,
            rank: Rank::ALL[rank],
            club: Club((self.ids % 2) as u16),
            deadline: Time(now + DEADLINES[rank]),
        };
        self.open.insert(
            ticket.id,
            Open {
                ticket,
                length,
                since: 0,
            },
        );
        for event in self.queue.push(Time(now), ticket) {
            let (QueueEvent::Shed(id) | QueueEvent::Expired(id) | QueueEvent::Duplicate(id)) =
                event;
            self.open.remove(&id);
        }
    }

    fn start(&mut self, now: u64) {
        while let Some(id) = self.queue.start_next(Time(now)) {
            let entry = self.open.get_mut(&id).expect("a started request is open");
            assert!(now < entry.ticket.deadline.0, "expired work was started");
            entry.since = now;
            let length = entry.length;
            let rank = entry.ticket.rank.index();
            self.events.push(Reverse((now + length, id, None)));
            self.note_gap(now, rank);
            self.waiting_since[rank] = None;
        }
        assert!(self.queue.running_count() <= usize::from(self.slots));
        for id in self.queue.expire(Time(now)) {
            self.open.remove(&id);
        }
        for rank in Rank::ALL {
            self.note_gap(now, rank.index());
            let waits = self.queue.waiting_count_of(rank) > 0;
            let since = self.waiting_since[rank.index()].unwrap_or(now);
            self.waiting_since[rank.index()] = waits.then_some(since);
        }
    }

    fn note_gap(&mut self, now: u64, rank: usize) {
        let gap = self.waiting_since[rank].map_or(0, |since| now - since);
        self.outcome.gap[rank] = self.outcome.gap[rank].max(gap);
    }

    fn finish(&mut self, now: u64, id: u64) {
        assert!(self.queue.finish(Time(now), id));
        let Open { ticket, since, .. } = self.open.remove(&id).expect("a running request is open");
        let rank = ticket.rank.index();
        self.outcome.given[rank] += now - since;
        if now <= ticket.deadline.0 {
            self.outcome.good[rank] += 1;
            self.outcome.useful += now - since;
        }
    }
}

/// Runs a flood of the rank for several sizes and seeds, next to its unflooded twin.
fn compare(flood: Rank, check: impl Fn(u16, &Outcome, &Outcome)) {
    for run_times in [RunTimes::Exponential, RunTimes::RareLong] {
        for (slots, entries) in [(2, 64), (6, 64), (2, 1_000)] {
            for seed in 0..2 {
                let size = (slots, entries, run_times);
                println!("{size:?}, seed {seed}");
                let calm = Bench::new(size, seed, None).run();
                let flooded = Bench::new(size, seed, Some(flood)).run();
                check(slots, &calm, &flooded);
            }
        }
    }
}

fn check_common(slots: u16, calm: &Outcome, flooded: &Outcome) {
    let capacity = (u64::from(slots) * LENGTH) as f64;
    let urgent = flooded.good[0] as f64 / calm.good[0] as f64;
    assert!(urgent >= 0.99, "urgent goodput fell to {urgent:.4}");
    let useful = flooded.useful as f64 / capacity;
    assert!(useful >= 0.95, "useful work is {useful:.4} of the capacity");
    for rank in [1, 2] {
        let share = flooded.given[rank] as f64 / capacity;
        let floor = f64::from(FLOORS[rank]) / 100.0;
        assert!(
            share >= 0.95 * floor,
            "rank {rank} got {share:.4} of {floor}"
        );
        let gap = flooded.gap[rank];
        assert!(
            gap < 1_000_000,
            "rank {rank} waited {gap} us without service"
        );
    }
}

/// Guards against a flood of the least urgent rank slowing urgent work.
#[test]
fn an_archive_flood_leaves_the_other_ranks_whole() {
    compare(Rank::Archive, |slots, calm, flooded| {
        check_common(slots, calm, flooded);
        let order = flooded.good[1] as f64 / calm.good[1] as f64;
        assert!(order >= 0.98, "order goodput fell to {order:.4}");
    });
}

/// Guards against a flood of the most urgent rank starving the others, and
/// against floors that take more than their part from urgent work.
#[test]
fn a_status_flood_leaves_the_floors() {
    compare(Rank::Status, |slots, calm, flooded| {
        check_common(slots, calm, flooded);
        for rank in [1, 2] {
            let share = flooded.given[rank] as f64 / (u64::from(slots) * LENGTH) as f64;
            let floor = f64::from(FLOORS[rank]) / 100.0;
            assert!(share <= 1.05 * floor, "rank {rank} took {share:.4}");
        }
    });
}
