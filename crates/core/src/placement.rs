//! Shard plans and the choice of dispatchers.
//!
//! A plan gives every shard an owner and a standby. `plan` starts from the plan
//! in force and changes as little as it can: shards without an owner go to their
//! standby, a new upstream is filled from the fullest ones, and shards move for
//! load only once the imbalance exceeds a limit that lies well above the value
//! at which rebalancing stops. Dispatchers are chosen by rendezvous hashing.

use medlarreel_macros::data;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fold::Place;
use crate::ids::{Domain, Instance, Upstream};
use crate::record::ShardChange;

mod standby;

/// Relative load or count above which shards move; the required limit is 1.15.
const TRIGGER: f64 = 1.11;

/// Relative load at which rebalancing stops. The gap to `TRIGGER` keeps noise in
/// the measured load from moving shards back and forth.
const TARGET: f64 = 1.04;

/// Relative count and load below which an upstream is filled up.
const UNDERFULL: f64 = 0.8;

/// Smallest reduction of the relative load that justifies a move.
const GAIN: f64 = 0.002;

/// An upstream that may appear in a plan.
#[data(key)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Upstream,
    /// Failure domain that it lives in.
    pub domain: Domain,
    /// Capacity relative to the other upstreams.
    pub weight: u16,
    /// Whether it may own shards or stand by for them.
    pub eligible: bool,
}

/// Orders the members of an upstream's failure domain by preference as its dispatcher.
pub fn dispatchers_by_preference(upstream: &str, members: &[Instance]) -> Vec<Instance> {
    let score = |member: &Instance| (xxh3_64_with_seed(upstream.as_bytes(), member.0), *member);
    let mut ordered = members.to_vec();
    ordered.sort_by_key(|member| std::cmp::Reverse(score(member)));
    ordered.dedup();
    ordered
}

/// Changes that bring the plan in force to a balanced one.
///
/// `loads` holds the measured load of each shard; without any load, all shards
/// count the same. Without an eligible upstream nothing changes.
pub fn plan(current: &[Place], upstreams: &[Candidate], loads: &[u64]) -> Vec<ShardChange> {
    let mut planner = Planner::new(current, upstreams, loads);
    if planner.nodes.is_empty() || current.is_empty() {
        return Vec::new();
    }
    planner.place_orphans(current);
    planner.trim();
    planner.fill();
    planner.balance();
    let standbys = standby::choose(&planner, current);
    planner.changes(current, &standbys)
}

/// An eligible upstream and what the plan gives it.
struct Node {
    candidate: Candidate,
    /// Shards that its weight entitles it to.
    quota: f64,
    /// Load that its weight entitles it to.
    fair: f64,
    shards: Vec<usize>,
    load: f64,
}

impl Node {
    fn relative_count(&self) -> f64 {
        self.shards.len() as f64 / self.quota
    }

    fn relative_load(&self) -> f64 {
        self.load / self.fair
    }

    fn fullness(&self) -> f64 {
        self.relative_count() + self.relative_load()
    }

    fn cap(&self) -> usize {
        (self.quota * TRIGGER).floor().max(self.quota.ceil()) as usize
    }

    fn has_room(&self) -> bool {
        self.shards.len() < self.cap()
    }
}

struct Planner {
    nodes: Vec<Node>,
    loads: Vec<f64>,
    /// Position in `nodes` of each shard's owner.
    owners: Vec<Option<usize>>,
}

impl Planner {
    fn new(current: &[Place], upstreams: &[Candidate], loads: &[u64]) -> Planner {
        let loads = normalized(loads, current.len());
        let mut eligible: Vec<Candidate> = upstreams
            .iter()
            .copied()
            .filter(|candidate| candidate.eligible && candidate.weight > 0)
            .collect();
        eligible.sort_by_key(|candidate| candidate.upstream);
        let weight: f64 = eligible.iter().map(|entry| f64::from(entry.weight)).sum();
        let total: f64 = loads.iter().sum();
        let node = |candidate: Candidate| {
            let part = f64::from(candidate.weight) / weight;
            Node {
                candidate,
                quota: part * current.len() as f64,
                fair: part * total,
                shards: Vec::new(),
                load: 0.0,
            }
        };
        let nodes = eligible.into_iter().map(node).collect();
        let owners = vec![None; current.len()];
        let mut planner = Planner {
            nodes,
            loads,
            owners,
        };
        for (shard, place) in current.iter().enumerate() {
            if let Some(owner) = planner.position(place.owner) {
                planner.give(shard, owner);
            }
        }
        planner
    }

    fn position(&self, upstream: Option<Upstream>) -> Option<usize> {
        let upstream = upstream?;
        self.nodes
            .binary_search_by_key(&upstream, |node| node.candidate.upstream)
            .ok()
    }

    fn give(&mut self, shard: usize, to: usize) {
        if let Some(from) = self.owners[shard] {
            let node = &mut self.nodes[from];
            node.shards.retain(|&held| held != shard);
            node.load -= self.loads[shard];
        }
        self.owners[shard] = Some(to);
        let node = &mut self.nodes[to];
        node.shards.push(shard);
        node.load += self.loads[shard];
    }

    /// Gives shards without an owner to their standby or to the emptiest upstream.
    fn place_orphans(&mut self, current: &[Place]) {
        let mut orphans: Vec<usize> = (0..self.owners.len())
            .filter(|&shard| self.owners[shard].is_none())
            .collect();
        orphans.sort_by(|&a, &b| self.loads[b].total_cmp(&self.loads[a]).then(a.cmp(&b)));
        for shard in orphans {
            let standby = self.position(current[shard].standby);
            let suitable = standby.filter(|&index| {
                let node = &self.nodes[index];
                node.has_room() && node.load + self.loads[shard] <= node.fair * TRIGGER
            });
            let target = suitable.unwrap_or_else(|| self.emptiest());
            self.give(shard, target);
        }
    }

    /// Emptiest upstream; prefers one that is below its cap.
    fn emptiest(&self) -> usize {
        let indexes = 0..self.nodes.len();
        let order = |index: &usize| {
            let node = &self.nodes[*index];
            (!node.has_room(), node.fullness())
        };
        indexes
            .min_by(|a, b| {
                let (a, b) = (order(a), order(b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            })
            .expect("a plan has at least one eligible upstream")
    }

    /// Takes shards from upstreams that own more than their cap.
    fn trim(&mut self) {
        for index in 0..self.nodes.len() {
            while self.nodes[index].shards.len() > self.nodes[index].cap() {
                let target = self.emptiest();
                let node = &self.nodes[index];
                let share = node.load / node.shards.len() as f64;
                let shard = self.closest(index, share);
                self.give(shard, target);
            }
        }
    }

    /// Fills upstreams that have both few shards and little load.
    fn fill(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let underfull = node.relative_count() < UNDERFULL && node.relative_load() < UNDERFULL;
            if underfull {
                self.fill_one(index);
            }
        }
    }

    fn fill_one(&mut self, index: usize) {
        loop {
            let node = &self.nodes[index];
            let missing = node.quota.floor() - node.shards.len() as f64;
            let lacking = node.fair - node.load;
            if missing < 1.0 || lacking <= 0.0 {
                return;
            }
            let Some(donor) = self.donor(index) else {
                return;
            };
            let shard = self.closest(donor, lacking / missing);
            self.give(shard, index);
        }
    }

    /// Fullest upstream that keeps its quota after giving a shard away.
    fn donor(&self, except: usize) -> Option<usize> {
        let indexes = 0..self.nodes.len();
        indexes
            .filter(|&index| index != except)
            .filter(|&index| self.nodes[index].shards.len() as f64 > self.nodes[index].quota)
            .max_by(|&a, &b| {
                let (a, b) = (&self.nodes[a], &self.nodes[b]);
                a.fullness().total_cmp(&b.fullness())
            })
    }

    /// The node's shard whose load is closest to `load`.
    fn closest(&self, index: usize, load: f64) -> usize {
        let distance = |shard: usize| (self.loads[shard] - load).abs();
        let shards = self.nodes[index].shards.iter().copied();
        shards
            .min_by(|&a, &b| distance(a).total_cmp(&distance(b)).then(a.cmp(&b)))
            .expect("only upstreams with shards give one away")
    }

    /// Moves or swaps shards until no upstream's load exceeds the target.
    fn balance(&mut self) {
        let excessive = |node: &Node| node.relative_load() > TRIGGER;
        if !self.nodes.iter().any(excessive) {
            return;
        }
        for _ in 0..self.owners.len() {
            if !self.relieve() {
                return;
            }
        }
    }

    /// Improves the most loaded upstream that can be improved.
    fn relieve(&mut self) -> bool {
        let mut order: Vec<usize> = (0..self.nodes.len()).collect();
        let relative = |index: usize| self.nodes[index].relative_load();
        order.sort_by(|&a, &b| relative(b).total_cmp(&relative(a)));
        for &donor in order.iter().filter(|&&index| relative(index) > TARGET) {
            for &recipient in order.iter().rev().filter(|&&index| index != donor) {
                let step = self.best_move(donor, recipient);
                let step = step.or_else(|| self.best_swap(donor, recipient));
                if let Some((given, returned)) = step {
                    self.give(given, recipient);
                    if let Some(returned) = returned {
                        self.give(returned, donor);
                    }
                    return true;
                }
            }
        }
        false
    }

    /// Larger relative load of the two after `load` has moved, if that is a gain.
    fn gain(&self, donor: usize, recipient: usize, load: f64) -> Option<f64> {
        let (from, to) = (&self.nodes[donor], &self.nodes[recipient]);
        let after = ((from.load - load) / from.fair).max((to.load + load) / to.fair);
        (after < from.relative_load() - GAIN).then_some(after)
    }

    fn best_move(&self, donor: usize, recipient: usize) -> Option<(usize, Option<usize>)> {
        if !self.nodes[recipient].has_room() {
            return None;
        }
        let shards = self.nodes[donor].shards.iter().copied();
        shards
            .filter_map(|shard| Some((self.gain(donor, recipient, self.loads[shard])?, shard)))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, shard)| (shard, None))
    }

    fn best_swap(&self, donor: usize, recipient: usize) -> Option<(usize, Option<usize>)> {
        let given = self.nodes[donor].shards.iter().copied();
        let pairs = given.flat_map(|given| {
            let returned = self.nodes[recipient].shards.iter().copied();
            returned.map(move |returned| (given, returned))
        });
        pairs
            .filter_map(|(given, returned)| {
                let load = self.loads[given] - self.loads[returned];
                Some((self.gain(donor, recipient, load)?, given, returned))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))))
            .map(|(_, given, returned)| (given, Some(returned)))
    }

    fn changes(&self, current: &[Place], standbys: &[Option<usize>]) -> Vec<ShardChange> {
        let upstream = |index: usize| self.nodes[index].candidate.upstream;
        let places = self.owners.iter().zip(standbys).enumerate();
        places
            .filter_map(|(shard, (&owner, &standby))| {
                let owner = upstream(owner?);
                let standby = standby.map(upstream);
                let place = Place {
                    owner: Some(owner),
                    standby,
                };
                (current[shard] != place).then_some(ShardChange {
                    index: shard as u16,
                    owner,
                    standby,
                })
            })
            .collect()
    }
}

/// Loads as numbers; all equal if nothing was measured.
fn normalized(loads: &[u64], shards: usize) -> Vec<f64> {
    let measured = loads.iter().take(shards).any(|&load| load > 0);
    let load = |shard: usize| loads.get(shard).copied().unwrap_or(0) as f64;
    (0..shards)
        .map(|shard| if measured { load(shard) } else { 1.0 })
        .collect()
}
