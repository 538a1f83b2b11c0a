//! Shard placement and the choice of dispatchers.
//!
//! A plan assigns an owner and a standby to every shard. `plan` starts from the current
//! plan and moves as few shards as possible: shards without an owner go to their standby
//! if it can take them, a new upstream takes shards from the fullest ones, and shards
//! move between loaded upstreams only when the imbalance exceeds a threshold well above
//! the target at which rebalancing stops. Dispatchers are chosen by rendezvous hashing.

use medlarreel_macros::data;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fold::Place;
use crate::ids::{Domain, Instance, Upstream};
use crate::record::ShardChange;

mod standby;

/// Relative load or shard count above which shards move; lower than 1.15, the largest
/// imbalance allowed.
const REBALANCE_THRESHOLD: f64 = 1.11;

/// Relative load at which rebalancing stops. The gap to `REBALANCE_THRESHOLD` prevents
/// noise in the measured load from moving shards back and forth.
const REBALANCE_TARGET: f64 = 1.04;

/// Relative shard count and load below which an upstream receives shards from others.
const UNDERFULL_THRESHOLD: f64 = 0.8;

/// Minimum reduction of the relative load that justifies a move.
const MIN_GAIN: f64 = 0.002;

/// Upstream that may appear in a plan.
#[data(key)]
pub struct Candidate {
    /// Key of the upstream.
    pub upstream: Upstream,
    /// Failure domain of the upstream.
    pub domain: Domain,
    /// Capacity relative to the other upstreams; 0 makes it ineligible.
    pub weight: u16,
    /// Whether it may be the owner or the standby of shards.
    pub eligible: bool,
}

/// Orders the instances of an upstream's failure domain by preference as its dispatcher.
pub fn dispatchers_by_preference(upstream: &str, members: &[Instance]) -> Vec<Instance> {
    let score = |member: &Instance| (xxh3_64_with_seed(upstream.as_bytes(), member.0), *member);
    let mut ordered = members.to_vec();
    ordered.sort_by_key(|member| std::cmp::Reverse(score(member)));
    ordered.dedup();
    ordered
}

/// Changes that turn the current plan into a balanced one.
///
/// `loads` holds the measured load of each shard; if none was measured, all shards count
/// the same. Returns no changes if no upstream is eligible.
pub fn plan(current: &[Place], upstreams: &[Candidate], loads: &[u64]) -> Vec<ShardChange> {
    let mut planner = Planner::new(current, upstreams, loads);
    if planner.nodes.is_empty() || current.is_empty() {
        return Vec::new();
    }
    planner.place_orphans(current);
    planner.trim_overfull();
    planner.fill_underfull();
    planner.balance();
    let standbys = standby::choose_standbys(&planner, current);
    planner.changes(current, &standbys)
}

/// Eligible upstream with the shards that the plan assigns to it.
struct Node {
    candidate: Candidate,
    /// Number of shards in proportion to its weight.
    quota: f64,
    /// Load in proportion to its weight.
    fair_load: f64,
    /// Indexes of the assigned shards.
    shards: Vec<usize>,
    /// Sum of the loads of the assigned shards.
    load: f64,
}

impl Node {
    fn relative_count(&self) -> f64 {
        self.shards.len() as f64 / self.quota
    }

    fn relative_load(&self) -> f64 {
        self.load / self.fair_load
    }

    fn fullness(&self) -> f64 {
        self.relative_count() + self.relative_load()
    }

    fn max_shards(&self) -> usize {
        (self.quota * REBALANCE_THRESHOLD)
            .floor()
            .max(self.quota.ceil()) as usize
    }

    fn has_room(&self) -> bool {
        self.shards.len() < self.max_shards()
    }
}

/// Plan under construction.
struct Planner {
    /// Eligible upstreams, sorted by their `Upstream` key.
    nodes: Vec<Node>,
    /// Load of each shard.
    loads: Vec<f64>,
    /// Index in `nodes` of each shard's owner.
    owners: Vec<Option<usize>>,
}

impl Planner {
    fn new(current: &[Place], upstreams: &[Candidate], loads: &[u64]) -> Planner {
        let loads = shard_loads(loads, current.len());
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
                fair_load: part * total,
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
            if let Some(owner) = planner.node_index(place.owner) {
                planner.assign(shard, owner);
            }
        }
        planner
    }

    fn node_index(&self, upstream: Option<Upstream>) -> Option<usize> {
        let upstream = upstream?;
        self.nodes
            .binary_search_by_key(&upstream, |node| node.candidate.upstream)
            .ok()
    }

    fn assign(&mut self, shard: usize, to: usize) {
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

    /// Assigns shards without an owner to their standby or to the emptiest upstream, the
    /// most loaded shards first.
    fn place_orphans(&mut self, current: &[Place]) {
        let mut orphans: Vec<usize> = (0..self.owners.len())
            .filter(|&shard| self.owners[shard].is_none())
            .collect();
        orphans.sort_by(|&a, &b| self.loads[b].total_cmp(&self.loads[a]).then(a.cmp(&b)));
        for shard in orphans {
            let standby = self.node_index(current[shard].standby);
            let suitable = standby.filter(|&index| {
                let node = &self.nodes[index];
                node.has_room()
                    && node.load + self.loads[shard] <= node.fair_load * REBALANCE_THRESHOLD
            });
            let target = suitable.unwrap_or_else(|| self.emptiest_node());
            self.assign(shard, target);
        }
    }

    /// Upstream with the lowest fullness, preferably one that may take another shard.
    fn emptiest_node(&self) -> usize {
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

    /// Moves shards away from upstreams that own more than their maximum.
    fn trim_overfull(&mut self) {
        for index in 0..self.nodes.len() {
            while self.nodes[index].shards.len() > self.nodes[index].max_shards() {
                let target = self.emptiest_node();
                let node = &self.nodes[index];
                let mean_load = node.load / node.shards.len() as f64;
                let shard = self.closest_shard(index, mean_load);
                self.assign(shard, target);
            }
        }
    }

    /// Moves shards to upstreams that have both few shards and little load.
    fn fill_underfull(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let underfull = node.relative_count() < UNDERFULL_THRESHOLD
                && node.relative_load() < UNDERFULL_THRESHOLD;
            if underfull {
                self.fill_node(index);
            }
        }
    }

    fn fill_node(&mut self, index: usize) {
        loop {
            let node = &self.nodes[index];
            let missing_shards = node.quota.floor() - node.shards.len() as f64;
            let missing_load = node.fair_load - node.load;
            if missing_shards < 1.0 || missing_load <= 0.0 {
                return;
            }
            let Some(donor) = self.fullest_donor(index) else {
                return;
            };
            let shard = self.closest_shard(donor, missing_load / missing_shards);
            self.assign(shard, index);
        }
    }

    /// Fullest upstream that has more shards than its quota, other than `except`.
    fn fullest_donor(&self, except: usize) -> Option<usize> {
        let indexes = 0..self.nodes.len();
        indexes
            .filter(|&index| index != except)
            .filter(|&index| self.nodes[index].shards.len() as f64 > self.nodes[index].quota)
            .max_by(|&a, &b| {
                let (a, b) = (&self.nodes[a], &self.nodes[b]);
                a.fullness().total_cmp(&b.fullness())
            })
    }

    /// Among the node's shards, the one with the load closest to `load`.
    fn closest_shard(&self, index: usize, load: f64) -> usize {
        let distance = |shard: usize| (self.loads[shard] - load).abs();
        let shards = self.nodes[index].shards.iter().copied();
        shards
            .min_by(|&a, &b| distance(a).total_cmp(&distance(b)).then(a.cmp(&b)))
            .expect("the upstream owns at least one shard")
    }

    /// If an upstream's load exceeds the threshold, moves or swaps shards until no load
    /// exceeds the target or no step is a gain. Takes at most one step per shard.
    fn balance(&mut self) {
        let excessive = |node: &Node| node.relative_load() > REBALANCE_THRESHOLD;
        if !self.nodes.iter().any(excessive) {
            return;
        }
        for _ in 0..self.owners.len() {
            if !self.improve_once() {
                return;
            }
        }
    }

    /// Moves or swaps one shard of the most loaded upstream for which this is a gain.
    /// Returns false if there is none.
    fn improve_once(&mut self) -> bool {
        let mut order: Vec<usize> = (0..self.nodes.len()).collect();
        let relative = |index: usize| self.nodes[index].relative_load();
        order.sort_by(|&a, &b| relative(b).total_cmp(&relative(a)));
        for &donor in order
            .iter()
            .filter(|&&index| relative(index) > REBALANCE_TARGET)
        {
            for &recipient in order.iter().rev().filter(|&&index| index != donor) {
                let step = self.best_move(donor, recipient);
                let step = step.or_else(|| self.best_swap(donor, recipient));
                if let Some((given, returned)) = step {
                    self.assign(given, recipient);
                    if let Some(returned) = returned {
                        self.assign(returned, donor);
                    }
                    return true;
                }
            }
        }
        false
    }

    /// Larger relative load of the two nodes after `load` has moved, if that is more than
    /// `MIN_GAIN` below the donor's present relative load.
    fn new_peak(&self, donor: usize, recipient: usize, load: f64) -> Option<f64> {
        let (from, to) = (&self.nodes[donor], &self.nodes[recipient]);
        let after = ((from.load - load) / from.fair_load).max((to.load + load) / to.fair_load);
        (after < from.relative_load() - MIN_GAIN).then_some(after)
    }

    /// Shard of the donor whose move gives the lowest peak load, and `None` in place of a
    /// shard returned in exchange. Returns `None` if the recipient has no room or no move
    /// is a gain.
    fn best_move(&self, donor: usize, recipient: usize) -> Option<(usize, Option<usize>)> {
        if !self.nodes[recipient].has_room() {
            return None;
        }
        let shards = self.nodes[donor].shards.iter().copied();
        shards
            .filter_map(|shard| Some((self.new_peak(donor, recipient, self.loads[shard])?, shard)))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, shard)| (shard, None))
    }

    /// Shards whose swap gives the lowest peak load: the donor's and the recipient's.
    /// Returns `None` if no swap is a gain.
    fn best_swap(&self, donor: usize, recipient: usize) -> Option<(usize, Option<usize>)> {
        let given = self.nodes[donor].shards.iter().copied();
        let pairs = given.flat_map(|given| {
            let returned = self.nodes[recipient].shards.iter().copied();
            returned.map(move |returned| (given, returned))
        });
        pairs
            .filter_map(|(given, returned)| {
                let load = self.loads[given] - self.loads[returned];
                Some((self.new_peak(donor, recipient, load)?, given, returned))
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

/// Loads as floating-point numbers; all equal if nothing was measured.
fn shard_loads(loads: &[u64], shards: usize) -> Vec<f64> {
    let measured = loads.iter().take(shards).any(|&load| load > 0);
    let load = |shard: usize| loads.get(shard).copied().unwrap_or(0) as f64;
    (0..shards)
        .map(|shard| if measured { load(shard) } else { 1.0 })
        .collect()
}
