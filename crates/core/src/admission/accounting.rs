//! Slot time accounting: floors of the ranks and expected run times.

use medlarreel_macros::data;

use crate::preset::{RANK_COUNT, Rank};

/// Run time assumed before the first measurement, in microseconds.
const INITIAL_RUN_TIME_US: i64 = 1_000;

/// Largest credit or debt of a rank, in mean run times.
const MAX_BALANCE_RUNS: i64 = 32;

/// Number of runs over which the mean is smoothed.
const MEAN_SMOOTHING_RUNS: i64 = 32;

/// Number of runs after which the longest run time has decayed by a factor of e.
const LONGEST_DECAY_RUNS: i64 = 256;

/// Slot time owed to each rank under its floor, in hundredths of a microsecond. Costs are
/// in microseconds, so a percentage of a cost is an integer.
#[data(plain)]
pub struct Floors {
    percent: [u8; RANK_COUNT],
    owed: [i64; RANK_COUNT],
}

impl Floors {
    pub fn new(percent: [u8; RANK_COUNT]) -> Floors {
        let owed = [0; RANK_COUNT];
        let percent = cap_sum(percent);
        Floors { percent, owed }
    }

    pub fn set_percents(&mut self, percent: [u8; RANK_COUNT]) {
        self.percent = cap_sum(percent);
    }

    /// Slot time owed to the rank; `i64::MIN` if it has no floor.
    pub fn owed(&self, rank: Rank) -> i64 {
        if self.percent[rank.index()] == 0 {
            return i64::MIN;
        }
        self.owed[rank.index()]
    }

    /// Number of entries that a full queue of the given length reserves for the rank.
    pub fn reserved_entries(&self, rank: Rank, length: u32) -> usize {
        let share = u64::from(length) * u64::from(self.percent[rank.index()]);
        share.div_ceil(100) as usize
    }

    /// Credits the rank with its share of slot time that was given to any rank.
    pub fn accrue(&mut self, rank: Rank, cost: i64) {
        self.owed[rank.index()] += i64::from(self.percent[rank.index()]) * cost;
    }

    /// Debits slot time that the rank received.
    ///
    /// Time that the rank received by priority creates no debt.
    pub fn debit(&mut self, rank: Rank, cost: i64, by_floor: bool) {
        let owed = &mut self.owed[rank.index()];
        let before = *owed;
        *owed -= 100 * cost;
        if !by_floor {
            *owed = (*owed).max(before.min(0));
        }
    }

    /// Limits the rank's credit and debt to `MAX_BALANCE_RUNS` mean run times.
    pub fn clamp(&mut self, rank: Rank, mean_run_time: i64) {
        let bound = 100 * MAX_BALANCE_RUNS * mean_run_time;
        let owed = &mut self.owed[rank.index()];
        *owed = (*owed).clamp(-bound, bound);
    }
}

/// Reduces floors to a sum of at most 100, the least urgent ranks first.
fn cap_sum(mut percent: [u8; RANK_COUNT]) -> [u8; RANK_COUNT] {
    let mut remaining = 100;
    for floor in &mut percent {
        *floor = (*floor).min(remaining);
        remaining -= *floor;
    }
    percent
}

/// Smoothed mean and recent maximum of run times, in microseconds.
#[data(plain)]
#[derive(Default)]
pub struct RunTimeEstimate {
    mean: Option<i64>,
    longest: i64,
}

impl RunTimeEstimate {
    /// Mean run time, at least 1; `INITIAL_RUN_TIME_US` before the first measurement.
    pub fn mean(&self) -> i64 {
        self.mean.unwrap_or(INITIAL_RUN_TIME_US).max(1)
    }

    /// Run time that few requests exceed; 0 before the first measurement.
    ///
    /// An estimate from mean and deviation misses rare long runs: when one run in twenty
    /// took twenty times longer, a third of the slot time was spent on late answers. A
    /// quarter is added because the maximum decays between two long runs.
    pub fn longest(&self) -> u64 {
        (self.longest + self.longest / 4).unsigned_abs()
    }

    pub fn observe(&mut self, sample: i64) {
        self.longest = sample.max(self.longest - self.longest / LONGEST_DECAY_RUNS);
        let mean = self.mean.get_or_insert(sample);
        *mean += (sample - *mean) / MEAN_SMOOTHING_RUNS;
    }
}
