//! Which upstream should own which keys.
//!
//! Keys are cut into ranges by measured weight and by the capacity of the
//! upstreams. Ranges stay where they are unless their owner is gone, carries
//! far more than its share, or another upstream carries far less. A key that
//! alone fills its owner keeps it for itself.

use std::collections::BTreeMap;

use medlarreel_macros::data;

use super::map::Owner;

/// Number of keys of a service.
const KEYS: f64 = 65_536.0;

/// Load over its share at which an owner gives ranges away. A move makes its
/// keys wait for the requests that run on them, so small gains do not pay.
const OVERLOAD: f64 = 1.35;

/// Load below its share at which an upstream is given ranges.
const UNDERLOAD: f64 = 0.5;

/// Standard deviations of its count of requests by which an owner's load must differ
/// from its share before keys move. With thousands of owners each gets a few
/// requests in the time that is counted, and chance alone exceeds the bounds above.
const DEVIATIONS: f64 = 2.0;

/// Part of an owner's share from which a single key counts as filling it.
const DOMINANT: f64 = 0.8;

/// Load above its share that an upstream takes on rather than split a range
/// once more.
const SLACK: f64 = 0.15;

/// Part of all requests that is spread evenly over the keys, for keys without
/// a measured weight.
const EVEN: f64 = 0.25;

/// An upstream that may own keys.
#[data(plain)]
pub struct Candidate {
    /// The upstream's present life.
    pub owner: Owner,
    /// Requests that it can run at a time, weighted by its speed.
    pub capacity: f64,
}

/// Keys from `first` to `last` and the upstream that should own them.
#[data(plain)]
pub struct PlannedRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Owner; `None` if nobody owns the keys.
    pub owner: Option<Owner>,
}

/// Measured weight of single keys; other keys weigh little and evenly.
#[data(plain)]
#[derive(Default)]
pub struct KeyWeights {
    busy: BTreeMap<u16, f64>,
    total: f64,
}

impl KeyWeights {
    /// Weights from counts of requests per key.
    pub fn new(busy: BTreeMap<u16, f64>) -> KeyWeights {
        let total = busy.values().sum();
        KeyWeights { busy, total }
    }

    /// Part of all work by which the measured load of an owner with a share of
    /// `share` differs from its true one by chance.
    fn chance(&self, share: f64) -> f64 {
        match self.total > 0.0 {
            true => (share / self.total).sqrt() * (1.0 - EVEN) * DEVIATIONS,
            false => 0.0,
        }
    }

    /// Part of all work that the keys from `first` to `last` cause.
    pub fn range_weight(&self, first: u16, last: u16) -> f64 {
        let even = (f64::from(last) - f64::from(first) + 1.0) / KEYS;
        if self.total <= 0.0 {
            return even;
        }
        let busy: f64 = self
            .busy
            .range(first..=last)
            .map(|(_, weight)| weight)
            .sum();
        even * EVEN + busy / self.total * (1.0 - EVEN)
    }

    /// Highest key such that the keys up to it weigh at most `weight`.
    fn cut(&self, first: u16, last: u16, weight: f64) -> Option<u16> {
        let (mut low, mut high) = (u32::from(first), u32::from(last) + 1);
        // Invariant: keys below `low` fit; keys up to and including `high` don't.
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

    /// Heaviest single key of a range.
    fn heaviest(&self, first: u16, last: u16) -> Option<(u16, f64)> {
        let heaviest = self
            .busy
            .range(first..=last)
            .max_by(|a, b| a.1.total_cmp(b.1))?;
        Some((*heaviest.0, self.range_weight(*heaviest.0, *heaviest.0)))
    }
}

/// New owners for all keys, moving as little as needed.
///
/// Returns `current` unchanged if there is no candidate.
pub fn assign_ranges(
    current: &[PlannedRange],
    candidates: &[Candidate],
    weights: &KeyWeights,
) -> Vec<PlannedRange> {
    let capacity: f64 = candidates.iter().map(|one| one.capacity).sum();
    if candidates.is_empty() || capacity <= 0.0 {
        return current.to_vec();
    }
    let shares: Vec<f64> = candidates
        .iter()
        .map(|one| one.capacity / capacity)
        .collect();
    let index = |owner: &Option<Owner>| {
        let owner = owner.as_ref()?;
        candidates.iter().position(|one| one.owner == *owner)
    };
    let mut kept: Vec<Vec<(u16, u16)>> = vec![Vec::new(); candidates.len()];
    let mut loose: Vec<(u16, u16)> = Vec::new();
    for range in current {
        match index(&range.owner) {
            Some(owner) => kept[owner].push((range.first, range.last)),
            None => loose.push((range.first, range.last)),
        }
    }
    let load = |ranges: &[(u16, u16)]| -> f64 {
        ranges
            .iter()
            .map(|(first, last)| weights.range_weight(*first, *last))
            .sum()
    };
    let mut loads: Vec<f64> = kept.iter().map(|ranges| load(ranges)).collect();
    let starved = (0..shares.len()).any(|owner| {
        let load = loads[owner] + weights.chance(shares[owner]);
        kept[owner].is_empty() || load < shares[owner] * UNDERLOAD
    });
    let limit = if starved && loose.is_empty() {
        1.0
    } else {
        OVERLOAD
    };
    for owner in 0..kept.len() {
        if loads[owner] > shares[owner] * limit + weights.chance(shares[owner]) {
            shed(&mut kept[owner], &mut loose, weights, shares[owner]);
            loads[owner] = load(&kept[owner]);
        }
    }
    settle(&mut kept, &mut loads, loose, weights, &shares);
    let mut ranges: Vec<PlannedRange> = Vec::new();
    for (owner, owned) in kept.into_iter().enumerate() {
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

/// Takes ranges from an owner until it carries its share.
fn shed(
    owned: &mut Vec<(u16, u16)>,
    loose: &mut Vec<(u16, u16)>,
    weights: &KeyWeights,
    share: f64,
) {
    let heaviest = owned
        .iter()
        .filter_map(|(first, last)| weights.heaviest(*first, *last))
        .max_by(|a, b| a.1.total_cmp(&b.1));
    if let Some((key, _)) = heaviest.filter(|(_, weight)| *weight > share * DOMINANT) {
        for (first, last) in std::mem::take(owned) {
            if !(first..=last).contains(&key) {
                loose.push((first, last));
                continue;
            }
            if first < key {
                loose.push((first, key - 1));
            }
            if key < last {
                loose.push((key + 1, last));
            }
        }
        owned.push((key, key));
        return;
    }
    let mut left = share;
    for (first, last) in std::mem::take(owned) {
        let weight = weights.range_weight(first, last);
        if weight <= left {
            left -= weight;
            owned.push((first, last));
            continue;
        }
        match weights.cut(first, last, left) {
            Some(end) => {
                owned.push((first, end));
                loose.push((end + 1, last));
            }
            None => loose.push((first, last)),
        }
        left = 0.0;
    }
}

/// Gives loose ranges to upstreams that are below their share: to the owner of
/// a neighbouring range if it has room, since each range is a lease of its
/// own, else to the one that is furthest below.
fn settle(
    kept: &mut [Vec<(u16, u16)>],
    loads: &mut [f64],
    mut loose: Vec<(u16, u16)>,
    weights: &KeyWeights,
    shares: &[f64],
) {
    loose.sort_unstable();
    loose.reverse();
    while let Some((first, last)) = loose.pop() {
        let room = |owner: usize| (shares[owner] - loads[owner]) / shares[owner];
        // The first of equals, so that equal inputs give equal plans.
        let owners = (0..shares.len()).rev();
        let emptiest = owners.max_by(|a, b| room(*a).total_cmp(&room(*b)));
        let Some(emptiest) = emptiest else {
            return;
        };
        let weight = weights.range_weight(first, last);
        let touches = |owned: &Vec<(u16, u16)>| {
            let mut owned = owned.iter();
            owned.any(|(start, end)| {
                end.checked_add(1) == Some(first) || last.checked_add(1) == Some(*start)
            })
        };
        let fits = |owner: &usize| loads[*owner] + weight <= shares[*owner] * (1.0 + SLACK);
        let neighbour = (0..shares.len()).find(|owner| touches(&kept[*owner]) && fits(owner));
        let starved = room(emptiest) > 1.0 - UNDERLOAD;
        let owner = neighbour.filter(|_| !starved).unwrap_or(emptiest);
        let free = shares[owner] - loads[owner];
        let end = if weight <= free + shares[owner] * SLACK {
            last
        } else {
            weights.cut(first, last, free).unwrap_or(first)
        };
        kept[owner].push((first, end));
        loads[owner] += weights.range_weight(first, end);
        if end < last {
            loose.push((end + 1, last));
        }
    }
}
