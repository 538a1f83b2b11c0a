//! Accounts of slot time: floors of the ranks and expected run times.

use medlarreel_macros::data;

use crate::preset::{RANKS, Rank};

/// Run time that is assumed before the first one is measured, in microseconds.
const FIRST_ESTIMATE: i64 = 1_000;

/// Run times that a rank's account may be ahead or behind by. A single request
/// that hangs must not cost its rank the floor for minutes.
const ACCOUNT_BOUND: i64 = 8;

/// Slot time owed to each rank because of its floor, in hundredths of a microsecond.
#[data(plain)]
pub struct Floors {
    percent: [u8; RANKS],
    owed: [i64; RANKS],
}

impl Floors {
    pub fn new(percent: [u8; RANKS]) -> Floors {
        let owed = [0; RANKS];
        let percent = cut(percent);
        Floors { percent, owed }
    }

    pub fn set(&mut self, percent: [u8; RANKS]) {
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
        if by_floor {
            *owed -= 100 * cost;
        } else if cost > 0 {
            *owed = (*owed - 100 * cost).max((*owed).min(0));
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
fn cut(mut percent: [u8; RANKS]) -> [u8; RANKS] {
    let mut left = 100;
    for floor in &mut percent {
        *floor = (*floor).min(left);
        left -= *floor;
    }
    percent
}

/// Smoothed mean and deviation of run times, in microseconds.
#[data(plain)]
#[derive(Default)]
pub struct Estimate {
    mean: Option<i64>,
    deviation: i64,
}

impl Estimate {
    pub fn mean(&self) -> i64 {
        self.mean.unwrap_or(FIRST_ESTIMATE).max(1)
    }

    /// Run time that few requests exceed; 0 before the first measurement.
    ///
    /// Mean plus four deviations, as TCP sets its retransmission timer: it
    /// covers 98% of exponentially distributed run times.
    pub fn longest(&self) -> u64 {
        let mean = self.mean.unwrap_or(0);
        (mean + 4 * self.deviation).unsigned_abs()
    }

    pub fn observe(&mut self, sample: i64) {
        let Some(mean) = &mut self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2;
            return;
        };
        let error = sample - *mean;
        *mean += error / 8;
        self.deviation += (error.abs() - self.deviation) / 4;
    }
}
