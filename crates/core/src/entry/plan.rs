//! Assigns the keys of a service to upstreams.
//!
//! Keys are split into ranges by their measured weight and by the capacity of the
//! upstreams. A range keeps its owner unless that owner is gone or carries far more
//! than its share, or another upstream carries far less. A key that alone takes up its
//! owner's share gets that owner to itself.
//!
//! An upstream without capacity keeps the ranges that it has and gets no more. The shares of
//! the others foresee that they will have these as well: a range that leaves is split into
//! fewer parts than if each step of a move were even.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarreel_macros::data;

use super::map::Owner;
use super::permit::Rate;

/// Number of keys in a service.
const KEY_COUNT: f64 = 65_536.0;

/// Ratio of an owner's load to its share above which ranges are moved away from it.
/// While keys move, new requests wait for the running ones to finish, so small gains
/// are not worth a move.
const OVERLOAD_RATIO: f64 = 1.35;

/// Ratio of an upstream's load to its share below which ranges are moved to it.
const UNDERLOAD_RATIO: f64 = 0.5;

/// Number of standard deviations by which an owner's request count must differ from its
/// share before keys move. With thousands of owners, each receives only a few requests
/// within the measured period, and random variation alone exceeds the ratios above.
const NOISE_DEVIATIONS: f64 = 2.0;

/// Ratio of a single key's weight to its owner's share above which the key is left
/// alone with that owner.
const DOMINANT_RATIO: f64 = 0.8;

/// Excess of an upstream's load over its share that is accepted to avoid splitting a
/// range once more, as a fraction of the share.
const SLACK_RATIO: f64 = 0.15;

/// Fraction of the total weight that is spread evenly over all keys, to account for
/// keys without a measured weight.
const EVEN_WEIGHT_FRACTION: f64 = 0.25;

/// Lowest capacity of an upstream that limits its rate. It keeps some keys, since it could
/// not say otherwise that its limit has ended.
const MIN_CAPACITY: f64 = 0.05;

/// An upstream that may own keys.
#[data(plain)]
pub struct Candidate {
    /// Current incarnation of the upstream.
    pub owner: Owner,
    /// Number of requests that it can run concurrently, weighted by its speed. 0 if it keeps
    /// its keys for now, but gets no more.
    pub capacity: f64,
}

/// Capacity of an upstream with `slots` whose runs take `relative_run_time` times as long as
/// the average of `run_time`. One that limits its rate to `limit` requests per second can
/// keep no more slots busy than that many runs take.
pub fn capacity(
    slots: u32,
    relative_run_time: f64,
    limit: Option<Rate>,
    run_time: Duration,
) -> f64 {
    let by_slots = f64::from(slots.max(1)) / relative_run_time;
    let by_rate = limit.map(|limit| limit.per_second() * run_time.as_secs_f64());
    by_rate.map_or(by_slots, |by_rate| by_rate.clamp(MIN_CAPACITY, by_slots))
}

/// Keys from `first` to `last`, both inclusive, and their current or planned owner.
#[data(plain)]
pub struct PlannedRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// In the current assignment: the upstream that owns the keys or is being granted
    /// them; `None` if there is none. In a plan: the upstream that should own them;
    /// `None` only if the keys have no owner and no candidate has capacity.
    pub owner: Option<Owner>,
}

/// Weights of keys: measured ones of single keys, and a small even weight of every key.
#[data(plain)]
#[derive(Default)]
pub struct KeyWeights {
    measured: BTreeMap<u16, f64>,
    total: f64,
}

impl KeyWeights {
    /// Weights from the number of requests per key.
    pub fn new(measured: BTreeMap<u16, f64>) -> KeyWeights {
        let total = measured.values().sum();
        KeyWeights { measured, total }
    }

    /// Tolerance for random variation in the measured load of an owner with a share of
    /// `share`, as a fraction of the total weight.
    fn noise_tolerance(&self, share: f64) -> f64 {
        match self.total > 0.0 {
            true => (share / self.total).sqrt() * (1.0 - EVEN_WEIGHT_FRACTION) * NOISE_DEVIATIONS,
            false => 0.0,
        }
    }

    /// Weight of the keys from `first` to `last`, as a fraction of the total weight.
    pub fn range_weight(&self, first: u16, last: u16) -> f64 {
        let even = (f64::from(last) - f64::from(first) + 1.0) / KEY_COUNT;
        if self.total <= 0.0 {
            return even;
        }
        let measured: f64 = self
            .measured
            .range(first..=last)
            .map(|(_, weight)| weight)
            .sum();
        even * EVEN_WEIGHT_FRACTION + measured / self.total * (1.0 - EVEN_WEIGHT_FRACTION)
    }

    /// Highest key such that the keys from `first` up to it weigh at most `weight`.
    /// Returns `None` if the first key alone weighs more.
    fn longest_prefix(&self, first: u16, last: u16, weight: f64) -> Option<u16> {
        let (mut low, mut high) = (u32::from(first), u32::from(last) + 1);
        // Invariant: a prefix that ends below `low` fits, one that ends at `high` does
        // not.
        while low < high {
            let middle = (low + high) / 2;
            if middle <= u32::from(last) && self.range_weight(first, middle as u16) <= weight {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        (low > u32::from(first)).then(|| (low - 1) as u16)
    }

    /// Key with the highest measured weight in a range, and its weight.
    fn heaviest_key(&self, first: u16, last: u16) -> Option<(u16, f64)> {
        let heaviest = self
            .measured
            .range(first..=last)
            .max_by(|a, b| a.1.total_cmp(b.1))?;
        Some((*heaviest.0, self.range_weight(*heaviest.0, *heaviest.0)))
    }
}

/// Assigns all keys to candidates and moves as few keys as possible.
///
/// Returns `current` unchanged if there is no candidate with capacity.
pub fn assign_ranges(
    current: &[PlannedRange],
    candidates: &[Candidate],
    weights: &KeyWeights,
) -> Vec<PlannedRange> {
    let capacity: f64 = candidates.iter().map(|candidate| candidate.capacity).sum();
    if candidates.is_empty() || capacity <= 0.0 {
        return current.to_vec();
    }
    let shares: Vec<f64> = candidates
        .iter()
        .map(|candidate| candidate.capacity / capacity)
        .collect();
    let index = |owner: &Option<Owner>| {
        let owner = owner.as_ref()?;
        candidates
            .iter()
            .position(|candidate| candidate.owner == *owner)
    };
    let mut assigned: Vec<Vec<(u16, u16)>> = vec![Vec::new(); candidates.len()];
    let mut unassigned: Vec<(u16, u16)> = Vec::new();
    for range in current {
        match index(&range.owner) {
            Some(owner) => assigned[owner].push((range.first, range.last)),
            None => unassigned.push((range.first, range.last)),
        }
    }
    let load = |ranges: &[(u16, u16)]| -> f64 {
        ranges
            .iter()
            .map(|(first, last)| weights.range_weight(*first, *last))
            .sum()
    };
    let mut loads: Vec<f64> = assigned.iter().map(|ranges| load(ranges)).collect();
    let open = |owner: &usize| shares[*owner] > 0.0;
    let any_underloaded = (0..shares.len()).filter(open).any(|owner| {
        let load = loads[owner] + weights.noise_tolerance(shares[owner]);
        assigned[owner].is_empty() || load < shares[owner] * UNDERLOAD_RATIO
    });
    // If all keys are assigned, an underloaded upstream gains keys only if owners above
    // their share give some up.
    let limit = if any_underloaded && unassigned.is_empty() {
        1.0
    } else {
        OVERLOAD_RATIO
    };
    for owner in (0..assigned.len()).filter(open) {
        if loads[owner] > shares[owner] * limit + weights.noise_tolerance(shares[owner]) {
            shed_excess(
                &mut assigned[owner],
                &mut unassigned,
                weights,
                shares[owner],
            );
            loads[owner] = load(&assigned[owner]);
        }
    }
    distribute(&mut assigned, &mut loads, unassigned, weights, &shares);
    let mut ranges: Vec<PlannedRange> = Vec::new();
    for (owner, owned) in assigned.into_iter().enumerate() {
        let owner = &candidates[owner].owner;
        ranges.extend(owned.into_iter().map(|(first, last)| PlannedRange {
            first,
            last,
            owner: Some(owner.clone()),
        }));
    }
    ranges.sort_by_key(|range| range.first);
    ranges
}

/// Takes ranges away from an owner until it carries no more than its share. If a single
/// key weighs more than `DOMINANT_RATIO` of the share, takes away all other keys instead.
fn shed_excess(
    owned: &mut Vec<(u16, u16)>,
    unassigned: &mut Vec<(u16, u16)>,
    weights: &KeyWeights,
    share: f64,
) {
    let heaviest = owned
        .iter()
        .filter_map(|(first, last)| weights.heaviest_key(*first, *last))
        .max_by(|a, b| a.1.total_cmp(&b.1));
    if let Some((key, _)) = heaviest.filter(|(_, weight)| *weight > share * DOMINANT_RATIO) {
        for (first, last) in std::mem::take(owned) {
            if !(first..=last).contains(&key) {
                unassigned.push((first, last));
                continue;
            }
            if first < key {
                unassigned.push((first, key - 1));
            }
            if key < last {
                unassigned.push((key + 1, last));
            }
        }
        owned.push((key, key));
        return;
    }
    let mut remaining = share;
    for (first, last) in std::mem::take(owned) {
        let weight = weights.range_weight(first, last);
        if weight <= remaining {
            remaining -= weight;
            owned.push((first, last));
            continue;
        }
        match weights.longest_prefix(first, last, remaining) {
            Some(end) => {
                owned.push((first, end));
                unassigned.push((end + 1, last));
            }
            None => unassigned.push((first, last)),
        }
        remaining = 0.0;
    }
}

/// Distributes unassigned ranges. Each range goes to the owner of an adjacent one if it
/// fits into that owner's share and no upstream is underloaded, since each separate range
/// needs its own lease. Otherwise it goes to the upstream that is furthest below its
/// share, which is given only a part if the whole range does not fit.
fn distribute(
    assigned: &mut [Vec<(u16, u16)>],
    loads: &mut [f64],
    mut unassigned: Vec<(u16, u16)>,
    weights: &KeyWeights,
    shares: &[f64],
) {
    unassigned.sort_unstable();
    unassigned.reverse();
    while let Some((first, last)) = unassigned.pop() {
        let headroom = |owner: usize| (shares[owner] - loads[owner]) / shares[owner];
        // The first of equals is chosen, so that equal inputs give equal plans.
        let owners = (0..shares.len()).rev();
        let owners = owners.filter(|owner| shares[*owner] > 0.0);
        let least_loaded = owners.max_by(|a, b| headroom(*a).total_cmp(&headroom(*b)));
        let Some(least_loaded) = least_loaded else {
            return;
        };
        let weight = weights.range_weight(first, last);
        let is_adjacent = |owned: &Vec<(u16, u16)>| {
            let mut owned = owned.iter();
            owned.any(|(start, end)| {
                end.checked_add(1) == Some(first) || last.checked_add(1) == Some(*start)
            })
        };
        let fits = |owner: &usize| {
            let limit = shares[*owner] * (1.0 + SLACK_RATIO);
            shares[*owner] > 0.0 && loads[*owner] + weight <= limit
        };
        let adjacent_owner =
            (0..shares.len()).find(|owner| is_adjacent(&assigned[*owner]) && fits(owner));
        let is_underloaded = headroom(least_loaded) > 1.0 - UNDERLOAD_RATIO;
        let owner = adjacent_owner
            .filter(|_| !is_underloaded)
            .unwrap_or(least_loaded);
        let spare = shares[owner] - loads[owner];
        let end = if weight <= spare + shares[owner] * SLACK_RATIO {
            last
        } else {
            weights.longest_prefix(first, last, spare).unwrap_or(first)
        };
        assigned[owner].push((first, end));
        loads[owner] += weights.range_weight(first, end);
        if end < last {
            unassigned.push((end + 1, last));
        }
    }
}
