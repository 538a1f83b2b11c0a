//! Simulated time, drifting clocks and a lossy network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use medlarreel_core::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Local monotonic clock that runs up to 0.49% fast or slow.
#[derive(Clone, Copy)]
pub struct Clock {
    offset: u64,
    drift_ppm: i64,
}

impl Clock {
    pub fn random(random: &mut StdRng) -> Clock {
        Clock {
            offset: random.random_range(0..1_000_000_000),
            drift_ppm: random.random_range(-4_900..=4_900),
        }
    }

    /// Reading at a true time in microseconds.
    pub fn read(&self, now: u64) -> Time {
        let gained = now as i64 * self.drift_ppm / 1_000_000;
        Time((self.offset + now).saturating_add_signed(gained))
    }
}

/// Events ordered by true time. `schedule` is reliable; `send` loses, duplicates and
/// delays a part of the messages.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::BTreeMap<u64, E>,
    next: u64,
    pub random: StdRng,
    /// Percentage of messages that are lost, duplicated or late.
    pub fault_percent: u32,
}

impl<E: Clone> EventQueue<E> {
    pub fn new(seed: u64) -> EventQueue<E> {
        EventQueue {
            heap: BinaryHeap::new(),
            events: std::collections::BTreeMap::new(),
            next: 0,
            random: StdRng::seed_from_u64(seed),
            fault_percent: 0,
        }
    }

    /// Schedules an event that is certain to occur.
    pub fn schedule(&mut self, time: u64, event: E) {
        self.next += 1;
        self.heap.push(Reverse((time, self.next)));
        self.events.insert(self.next, event);
    }

    /// Sends a message that may be lost, duplicated or up to 3 s late.
    pub fn send(&mut self, now: u64, event: E) {
        let delay = now + self.random.random_range(100..=1_000);
        let fault = self.random.random_range(0..100) < self.fault_percent;
        match self.random.random_range(0..3) {
            0 if fault => {}
            1 if fault => {
                let late = now + self.random.random_range(1_000..3_000_000);
                self.schedule(delay, event.clone());
                self.schedule(late, event);
            }
            _ if fault => {
                let late = now + self.random.random_range(1_000..3_000_000);
                self.schedule(late, event);
            }
            _ => self.schedule(delay, event),
        }
    }

    pub fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse((time, id)) = self.heap.pop()?;
        let event = self
            .events
            .remove(&id)
            .expect("every queued id has an event");
        Some((time, event))
    }
}
