//! Choice of standbys.
//!
//! The standbys of one owner's shards are spread over the upstreams of the other
//! failure domains, so that a loss loads all of them alike.

use super::Planner;
use crate::fold::Place;

/// Standby of each shard, as positions among the planner's nodes.
pub(super) fn choose(planner: &Planner, current: &[Place]) -> Vec<Option<usize>> {
    let mut spread = Spread::new(planner);
    let mut standbys = vec![None; current.len()];
    let mut open = Vec::new();
    for (shard, place) in current.iter().enumerate() {
        let Some(owner) = planner.owners[shard] else {
            continue;
        };
        let kept = planner.position(place.standby);
        match kept.filter(|&standby| spread.keeps(owner, standby)) {
            Some(standby) => {
                standbys[shard] = Some(standby);
                spread.add(shard, owner, standby);
            }
            None => open.push((shard, owner)),
        }
    }
    open.sort_by(|a, b| {
        let (left, right) = (planner.loads[a.0], planner.loads[b.0]);
        right.total_cmp(&left).then(a.0.cmp(&b.0))
    });
    for (shard, owner) in open {
        standbys[shard] = spread.best(owner);
        if let Some(standby) = standbys[shard] {
            spread.add(shard, owner, standby);
        }
    }
    standbys
}

/// Shards and load that a standby takes over from an owner.
#[derive(Clone, Copy, Default)]
struct Pair {
    count: f64,
    load: f64,
}

struct Spread<'a> {
    planner: &'a Planner,
    pairs: Vec<Vec<Pair>>,
}

impl<'a> Spread<'a> {
    fn new(planner: &'a Planner) -> Spread<'a> {
        let size = planner.nodes.len();
        let pairs = vec![vec![Pair::default(); size]; size];
        Spread { planner, pairs }
    }

    fn add(&mut self, shard: usize, owner: usize, standby: usize) {
        let pair = &mut self.pairs[owner][standby];
        pair.count += 1.0;
        pair.load += self.planner.loads[shard];
    }

    /// Upstreams that may stand by for the owner: of another domain if there is one.
    fn choices(&self, owner: usize) -> Vec<usize> {
        let nodes = &self.planner.nodes;
        let domain = nodes[owner].candidate.domain;
        let others = (0..nodes.len()).filter(|&index| index != owner);
        let distant: Vec<usize> = others
            .clone()
            .filter(|&index| nodes[index].candidate.domain != domain)
            .collect();
        if distant.is_empty() {
            others.collect()
        } else {
            distant
        }
    }

    /// Whether an existing standby stays: allowed, and not over twice its part.
    fn keeps(&self, owner: usize, standby: usize) -> bool {
        let nodes = &self.planner.nodes;
        let choices = self.choices(owner);
        let quota: f64 = choices.iter().map(|&index| nodes[index].quota).sum();
        let part = nodes[owner].quota * nodes[standby].quota / quota;
        choices.contains(&standby) && self.pairs[owner][standby].count < 2.0 * part + 2.0
    }

    fn best(&self, owner: usize) -> Option<usize> {
        let nodes = &self.planner.nodes;
        let score = |index: usize| {
            let (pair, node) = (&self.pairs[owner][index], &nodes[index]);
            // The last term spreads the standbys of all owners alike.
            let total: f64 = self.pairs.iter().map(|row| row[index].count).sum();
            pair.count / node.quota + pair.load / node.fair + total / node.quota / 1_000.0
        };
        let choices = self.choices(owner).into_iter();
        choices.min_by(|&a, &b| score(a).total_cmp(&score(b)).then(a.cmp(&b)))
    }
}
