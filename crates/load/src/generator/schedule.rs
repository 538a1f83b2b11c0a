//! Request schedule, generated from a seed and independent of any response.

use std::time::Duration;

use medlarreel_core::preset::Rank;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Settings;

/// Weighted set of values, such as the ranks that requests are sent with.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix<T> {
    entries: Vec<(T, u32)>,
    /// Sum of the weights.
    total: u32,
}

impl<T> Mix<T> {
    /// Creates a mix from values and their weights; it may be empty.
    pub fn new(entries: Vec<(T, u32)>) -> Mix<T> {
        let total = entries.iter().map(|(_, weight)| weight).sum();
        Mix { entries, total }
    }

    /// Values in the order of the entries.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().map(|(value, _)| value)
    }

    /// Value at the index, or `None` if the mix has no such entry.
    pub fn value(&self, index: usize) -> Option<&T> {
        self.entries.get(index).map(|(value, _)| value)
    }

    /// Draws the index of a value by weight; 0 for an empty mix.
    fn pick_index(&self, rng: &mut StdRng) -> usize {
        if self.total == 0 {
            return 0;
        }
        let mut remaining = rng.random_range(0..self.total);
        let covers = |(_, weight): &(T, u32)| {
            let hit = remaining < *weight;
            remaining = remaining.saturating_sub(*weight);
            hit
        };
        self.entries.iter().position(covers).unwrap_or(0)
    }
}

/// One request of the schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Intended start, counted from the start of the run.
    pub start_offset: Duration,
    /// Position in the schedule, from 0.
    pub index: u64,
    /// Index into `Settings::targets`.
    pub target_index: usize,
    /// Rank that the request is sent with.
    pub rank: Rank,
    /// Index into `Settings::clubs`; 0 if there are none.
    pub club_index: usize,
    /// Index into `Settings::services`.
    pub service_index: usize,
    /// Number that the shard key and the path are built from.
    pub key: u64,
    /// Whether the request is a POST with an idempotency key.
    pub is_post: bool,
}

/// Iterator over the requests in start order, with exponential inter-arrival times.
pub struct Schedule<'a> {
    settings: &'a Settings,
    rng: StdRng,
    start_offset_s: f64,
    index: u64,
}

impl Schedule<'_> {
    /// Creates the schedule described by the settings.
    pub fn new(settings: &Settings) -> Schedule<'_> {
        Schedule {
            settings,
            rng: StdRng::seed_from_u64(settings.seed),
            start_offset_s: 0.0,
            index: 0,
        }
    }
}

impl Iterator for Schedule<'_> {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let settings = self.settings;
        let uniform: f64 = self.rng.random();
        self.start_offset_s -= (1.0 - uniform).ln() / settings.requests_per_second;
        if self.start_offset_s >= settings.duration.as_secs_f64() {
            return None;
        }
        let rng = &mut self.rng;
        let rank_index = settings.ranks.pick_index(rng);
        let request = PlannedRequest {
            start_offset: Duration::from_secs_f64(self.start_offset_s),
            index: self.index,
            target_index: rng.random_range(0..settings.targets.len()),
            rank: *settings.ranks.value(rank_index)?,
            club_index: settings.clubs.pick_index(rng),
            service_index: settings.services.pick_index(rng),
            key: rng.random_range(0..settings.key_count),
            is_post: rng.random_bool(settings.post_fraction),
        };
        self.index += 1;
        Some(request)
    }
}
