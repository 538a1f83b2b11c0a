//! Schedule of requests, drawn from a seed before any answer is known.

use std::time::Duration;

use medlarreel_core::preset::Rank;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Settings;

/// Values with weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix<T> {
    entries: Vec<(T, u32)>,
    total: u32,
}

impl<T> Mix<T> {
    /// Mix of the entries; an empty one has nothing to pick.
    pub fn new(entries: Vec<(T, u32)>) -> Mix<T> {
        let total = entries.iter().map(|(_, weight)| weight).sum();
        Mix { entries, total }
    }

    /// Values, in the order given.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().map(|(value, _)| value)
    }

    /// Value at the given index.
    pub fn value(&self, index: usize) -> Option<&T> {
        self.entries.get(index).map(|(value, _)| value)
    }

    /// Index of a value, by weight; 0 for an empty mix.
    fn pick(&self, rng: &mut StdRng) -> usize {
        if self.total == 0 {
            return 0;
        }
        let mut draw = rng.random_range(0..self.total);
        let covers = |(_, weight): &(T, u32)| {
            let hit = draw < *weight;
            draw = draw.saturating_sub(*weight);
            hit
        };
        self.entries.iter().position(covers).unwrap_or(0)
    }
}

/// One planned request.
#[derive(Clone, Debug, PartialEq)]
pub struct Shot {
    /// Intended start, from the start of the run.
    pub at: Duration,
    /// Position in the schedule, from 0.
    pub serial: u64,
    /// Index into the targets.
    pub target: usize,
    /// Rank of the request.
    pub rank: Rank,
    /// Index into the clubs.
    pub club: usize,
    /// Index into the services.
    pub service: usize,
    /// Key of the request.
    pub key: u64,
    /// Whether it is a POST with an idempotency key.
    pub post: bool,
}

/// Requests in the order of their start, with exponential gaps.
pub struct Plan<'a> {
    settings: &'a Settings,
    rng: StdRng,
    at: f64,
    serial: u64,
}

impl Plan<'_> {
    /// Schedule of the settings.
    pub fn new(settings: &Settings) -> Plan<'_> {
        Plan {
            settings,
            rng: StdRng::seed_from_u64(settings.seed),
            at: 0.0,
            serial: 0,
        }
    }
}

impl Iterator for Plan<'_> {
    type Item = Shot;

    fn next(&mut self) -> Option<Shot> {
        let settings = self.settings;
        let uniform: f64 = self.rng.random();
        self.at -= (1.0 - uniform).ln() / settings.rate;
        if self.at >= settings.duration.as_secs_f64() {
            return None;
        }
        let rng = &mut self.rng;
        let rank = settings.ranks.pick(rng);
        let shot = Shot {
            at: Duration::from_secs_f64(self.at),
            serial: self.serial,
            target: rng.random_range(0..settings.targets.len()),
            rank: *settings.ranks.value(rank)?,
            club: settings.clubs.pick(rng),
            service: settings.services.pick(rng),
            key: rng.random_range(0..settings.keys),
            post: rng.random_bool(settings.post),
        };
        self.serial += 1;
        Some(shot)
    }
}
