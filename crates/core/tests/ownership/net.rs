//! Virtual time, drifting clocks and a lossy network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use medlarreel_core::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Local monotonic clock that runs up to 0.49% fast or slow.
#[derive(Clone, Copy)]
pub struct Clock {
    offset: u64,
    ppm: i64,
}

impl Clock {
    pub fn random(random: &mut StdRng) -> Clock {
        Clock {
            offset: random.random_range(0..1_000_000_000),
            ppm: random.random_range(-4_900..=4_900),
        }
    }

    /// Reading at a true time in microseconds.
    pub fn read(&self, now: u64) -> Time {
        let gained = now as i64 * self.ppm / 1_000_000;
        Time((self.offset + now).saturating_add_signed(gained))
    }
}

/// Events in order of their true time.
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::BTreeMap<u64, E>,
    next: u64,
    pub random: StdRng,
    /// Percentage of messages that are lost, doubled or late.
    pub faults: u32,
}

impl<E: Clone> Queue<E> {
    pub fn new(seed: u64) -> Queue<E> {
        Queue {
            heap: BinaryHeap::new(),
            events: std::collections::BTreeMap::new(),
            next: 0,
            random: StdRng::seed_from_u64(seed),
            faults: 0,
        }
    }

    pub fn at(&mut self, time: u64, event: E) {
        self.next += 1;
        self.heap.push(Reverse((time, self.next)));
        self.events.insert(self.next, event);
    }

    /// Sends a message that may be lost, doubled or up to 3 s late.
    pub fn send(&mut self, now: u64, event: E) {
        let delay = now + self.random.random_range(100..=1_000);
        let fault = self.random.random_range(0..100) < self.faults;
        match self.random.random_range(0..3) {
            0 if fault => {}
            1 if fault => {
                let late = now + self.random.random_range(1_000..3_000_000);
                self.at(delay, event.clone());
                self.at(late, event);
            }
            _ if fault => {
                let late = now + self.random.random_range(1_000..3_000_000);
                self.at(late, event);
            }
            _ => self.at(delay, event),
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
