//! Subset of a service's upstreams that one instance prefers.
//!
//! With many instances and upstreams, an instance that uses all upstreams meets each of
//! them rarely: what it knows of their load is out of date, and a kept connection is idle
//! for so long that the upstream closes it. Each instance therefore prefers a few upstreams
//! and uses the others only when these have no room.
//!
//! All instances compute the same assignment from the names of the instances and upstreams
//! of a failure domain, so no message is needed. The pairs are taken in the order of their
//! hash, and each is accepted unless its instance or its upstream has its full number
//! already. Every upstream thus gets the same number of instances, up to one, and an
//! instance or upstream that joins or leaves changes only the pairs whose turn comes after
//! its own. Instances that know different lists for a moment compute slightly different
//! assignments, which costs balance and nothing else.

use medlarreel_macros::data;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Minimum number of preferred upstreams. An instance that receives ten requests a second
/// then meets each about once a second, and a fleet with no more upstreams than this uses
/// all of them.
pub const MIN_SIZE: usize = 10;

/// Minimum number of instances that prefer one upstream, so that it is used if some of them
/// receive few requests.
const MIN_INSTANCES_PER_UPSTREAM: usize = 4;

/// Number of pairs above which an instance takes its own order instead of the common
/// assignment. Sorting this many takes some 20 ms on the smallest machines.
const MAX_PAIRS: usize = 60_000;

/// An instance or an upstream.
#[data(key)]
pub struct Party<'a> {
    /// Unique name.
    pub name: &'a str,
    /// Failure domain that it runs in.
    pub domain: &'a str,
}

impl Party<'_> {
    fn hash(&self) -> u64 {
        xxh3_64(self.name.as_bytes())
    }
}

/// Indexes of the upstreams that `own` prefers, at least `min_size` of them if there are so
/// many. `instances` are all that are known, with or without `own`. Upstreams of the own
/// failure domain come first; those of others are used if the domain has too few.
pub fn preferred(
    own: Party<'_>,
    instances: &[Party<'_>],
    upstreams: &[Party<'_>],
    min_size: usize,
) -> Vec<usize> {
    let mut names: Vec<u64> = instances
        .iter()
        .filter(|party| party.domain == own.domain && party.name != own.name)
        .map(Party::hash)
        .collect();
    names.push(own.hash());
    let is_local = |index: &usize| upstreams[*index].domain == own.domain;
    let (local, mut rest): (Vec<usize>, Vec<usize>) = (0..upstreams.len()).partition(is_local);
    let hashes: Vec<u64> = local.iter().map(|index| upstreams[*index].hash()).collect();
    let size = min_size
        .max((hashes.len() * MIN_INSTANCES_PER_UPSTREAM).div_ceil(names.len()))
        .min(hashes.len());
    let own_pairs = match names.len() * hashes.len() <= MAX_PAIRS {
        true => assign(&names, &hashes, size),
        false => Vec::new(),
    };
    let mut chosen: Vec<usize> = own_pairs.into_iter().map(|index| local[index]).collect();
    // The assignment may leave fewer, if what remains is only pairs that it has already.
    rest.extend(local);
    rest.retain(|index| !chosen.contains(index));
    rest.sort_by_key(|index| {
        (
            !is_local(index),
            pair_hash(own.hash(), upstreams[*index].hash()),
        )
    });
    let missing = size.max(min_size).saturating_sub(chosen.len());
    chosen.extend(rest.into_iter().take(missing));
    chosen
}

/// Assigns `size` upstreams to each instance and returns the indexes of those of the last
/// instance.
fn assign(instances: &[u64], upstreams: &[u64], size: usize) -> Vec<usize> {
    let upstream_size = (instances.len() * size).div_ceil(upstreams.len().max(1));
    let mut pairs: Vec<(u64, usize, usize)> = (0..instances.len())
        .flat_map(|instance| (0..upstreams.len()).map(move |upstream| (instance, upstream)))
        .map(|(instance, upstream)| {
            let hash = pair_hash(instances[instance], upstreams[upstream]);
            (hash, instance, upstream)
        })
        .collect();
    pairs.sort_unstable();
    let mut instance_room = vec![size; instances.len()];
    let mut upstream_room = vec![upstream_size; upstreams.len()];
    let mut chosen = Vec::new();
    for (_, instance, upstream) in pairs {
        if instance_room[instance] == 0 || upstream_room[upstream] == 0 {
            continue;
        }
        instance_room[instance] -= 1;
        upstream_room[upstream] -= 1;
        if instance + 1 == instances.len() {
            chosen.push(upstream);
        }
    }
    chosen
}

fn pair_hash(instance: u64, upstream: u64) -> u64 {
    xxh3_64_with_seed(&upstream.to_le_bytes(), instance)
}
