//! Accounts of slot time: floors of the ranks and expected run times.

use medlarreel_macros::data;

use crate::preset::{RANK_COUNT, Rank};

/// Run time that is assumed before the first one is measured, in microseconds.
const FIRST_ESTIMATE: i64 = 1_000;

/// Mean run times that a rank's account may be ahead or behind by.
const ACCOUNT_BOUND: i64 = 32;

/// Runs over which the mean is smoothed.
const SMOOTHING: i64 = 32;

/// Runs after which the largest run time has decayed by a factor of e.
const MEMORY: i64 = 256;

/// Slot time owed to each rank because of its floor, in hundredths of a microsecond.
#[data(plain)]
pub struct Floors {
    percent: [u8; RANK_COUNT],
    owed: [i64; RANK_COUNT],
}

impl Floors {
    pub fn new(percent: [u8; RANK_COUNT]) -> Floors {
        let owed = [0; RANK_COUNT];
        let percent = cut(percent);
        Floors { percent, owed }
    }

    pub fn set(&mut self, percent: [u8; RANK_COUNT]) {
        self.percent = cut(percent);
    }

    pub fn owed(&self, rank: Rank) -> i64 {
        if self.percent[rank.index()] == 0 {
            return i64::MIN;
        }
        self.owed[rank.index()]
    }

    /// Entries of a queue of the given length that the rank keeps when it is full.
    pub fn entries(&self, rank: Rank, length: u32) -> usize {
        let share = u64::from(length) * u64::from(self.percent[rank.index()]);
        share.div_ceil(100) as usize
    }

    /// Adds the rank's part of slot time that was given to any rank.
    pub fn accrue(&mut self, rank: Rank, cost: i64) {
        self.owed[rank.index()] += i64::from(self.percent[rank.index()]) * cost;
    }

    /// Counts slot time against the rank's floor.
    ///
    /// Time that the rank received by priority leaves no debt.
    pub fn spend(&mut self, rank: Rank, cost: i64, by_floor: bool) {
        let owed = &mut self.owed[rank.index()];
        let before = *owed;
        *owed -= 100 * cost;
        if !by_floor {
            *owed = (*owed).max(before.min(0));
        }
    }

    /// Bounds the account by a few run times.
    pub fn clamp(&mut self, rank: Rank, cost: i64) {
        let bound = 100 * ACCOUNT_BOUND * cost;
        let owed = &mut self.owed[rank.index()];
        *owed = (*owed).clamp(-bound, bound);
    }
}

/// Cuts floors to a sum of 100, the least urgent ranks first.
fn cut(mut percent: [u8; RANK_COUNT]) -> [u8; RANK_COUNT] {
    let mut left = 100;
    for floor in &mut percent {
        *floor = (*floor).min(left);
        left -= *floor;
    }
    percent
}

/// Smoothed mean and recent maximum of run times, in microseconds.
#[data(plain)]
#[derive(Default)]
pub struct Estimate {
    mean: Option<i64>,
    longest: i64,
}

impl Estimate {
    pub fn mean(&self) -> i64 {
        self.mean.unwrap_or(FIRST_ESTIMATE).max(1)
    }

    /// Run time that few requests exceed; 0 before the first measurement.
    ///
    /// A mean with deviations misses rare long runs: with one run in twenty
    /// twenty times longer, a third of the slot time went to late answers. A
    /// quarter is added because the maximum decays between two long runs.
    pub fn longest(&self) -> u64 {
        (self.longest + self.longest / 4).unsigned_abs()
    }

    pub fn observe(&mut self, sample: i64) {
        self.longest = sample.max(self.longest - self.longest / MEMORY);
        let mean = self.mean.get_or_insert(sample);
        *mean += (sample - *mean) / SMOOTHING;
    }
}
