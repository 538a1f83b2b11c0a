//! Choice of standbys for the shards of a plan.
//!
//! The standbys of one owner's shards are spread over the upstreams of other failure
//! domains, so that the loss of the owner adds load to all of them evenly.

use super::Planner;
use crate::fold::Place;

/// Standby of each shard, as an index into the planner's nodes; `None` if the shard has
/// no owner or the owner is the only eligible upstream.
pub(super) fn choose_standbys(planner: &Planner, current: &[Place]) -> Vec<Option<usize>> {
    let mut spread = StandbySpread::new(planner);
    let mut standbys = vec![None; current.len()];
    let mut unassigned = Vec::new();
    for (shard, place) in current.iter().enumerate() {
        let Some(owner) = planner.owners[shard] else {
            continue;
        };
        let kept = planner.node_index(place.standby);
        match kept.filter(|&standby| spread.may_keep(owner, standby)) {
            Some(standby) => {
                standbys[shard] = Some(standby);
                spread.add(shard, owner, standby);
            }
            None => unassigned.push((shard, owner)),
        }
    }
    unassigned.sort_by(|a, b| {
        let (left, right) = (planner.loads[a.0], planner.loads[b.0]);
        right.total_cmp(&left).then(a.0.cmp(&b.0))
    });
    for (shard, owner) in unassigned {
        standbys[shard] = spread.best_standby(owner);
        if let Some(standby) = standbys[shard] {
            spread.add(shard, owner, standby);
        }
    }
    standbys
}

/// Shards and load that a standby takes over if an owner is lost.
#[derive(Clone, Copy, Default)]
struct Takeover {
    count: f64,
    load: f64,
}

/// Distribution of the standbys chosen so far.
struct StandbySpread<'a> {
    planner: &'a Planner,
    /// Takeover of each owner's shards by each standby, indexed in this order.
    takeovers: Vec<Vec<Takeover>>,
}

impl<'a> StandbySpread<'a> {
    fn new(planner: &'a Planner) -> StandbySpread<'a> {
        let size = planner.nodes.len();
        let takeovers = vec![vec![Takeover::default(); size]; size];
        StandbySpread { planner, takeovers }
    }

    fn add(&mut self, shard: usize, owner: usize, standby: usize) {
        let takeover = &mut self.takeovers[owner][standby];
        takeover.count += 1.0;
        takeover.load += self.planner.loads[shard];
    }

    /// Nodes that may be standbys for the owner: those of other failure domains, or all
    /// others if there are none.
    fn eligible_standbys(&self, owner: usize) -> Vec<usize> {
        let nodes = &self.planner.nodes;
        let domain = nodes[owner].candidate.domain;
        let others = (0..nodes.len()).filter(|&index| index != owner);
        let other_domain: Vec<usize> = others
            .clone()
            .filter(|&index| nodes[index].candidate.domain != domain)
            .collect();
        if other_domain.is_empty() {
            others.collect()
        } else {
            other_domain
        }
    }

    /// Whether an existing standby may be kept: it is eligible and holds at most about
    /// twice its proportional part of the owner's shards.
    fn may_keep(&self, owner: usize, standby: usize) -> bool {
        let nodes = &self.planner.nodes;
        let choices = self.eligible_standbys(owner);
        let quota: f64 = choices.iter().map(|&index| nodes[index].quota).sum();
        let part = nodes[owner].quota * nodes[standby].quota / quota;
        choices.contains(&standby) && self.takeovers[owner][standby].count < 2.0 * part + 2.0
    }

    /// Eligible standby with the least to take over from the owner relative to its
    /// capacity; `None` if the owner is the only node.
    fn best_standby(&self, owner: usize) -> Option<usize> {
        let nodes = &self.planner.nodes;
        let score = |index: usize| {
            let (takeover, node) = (&self.takeovers[owner][index], &nodes[index]);
            // The last term breaks near-ties in favour of the node that is standby for
            // the fewest shards of all owners.
            let total: f64 = self.takeovers.iter().map(|row| row[index].count).sum();
            takeover.count / node.quota
                + takeover.load / node.fair_load
                + total / node.quota / 1_000.0
        };
        let choices = self.eligible_standbys(owner).into_iter();
        choices.min_by(|&a, &b| score(a).total_cmp(&score(b)).then(a.cmp(&b)))
    }
}
