//! Tests of shard plans: balance, churn, hysteresis and a comparison with plain hashing.

use std::collections::BTreeMap;

use medlarreel_core::fold::Place;
use medlarreel_core::ids::{Domain, Instance, Upstream};
use medlarreel_core::placement::{Candidate, dispatchers_by_preference, plan};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SHARDS: usize = 1_024;

fn fleet(size: u32) -> Vec<Candidate> {
    let candidate = |index| Candidate {
        upstream: Upstream(index),
        domain: Domain((index % 3) as u16),
        weight: 6,
        eligible: true,
    };
    (0..size).map(candidate).collect()
}

fn uniform_loads() -> Vec<u64> {
    vec![1_000; SHARDS]
}

/// Loads that decrease with `1 / (rank + 20)`, in random order.
fn skewed_loads(seed: u64) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut loads: Vec<u64> = (1..=SHARDS as u64)
        .map(|rank| 40_000 / (rank + 20))
        .collect();
    for index in (1..SHARDS).rev() {
        loads.swap(index, random.random_range(0..=index));
    }
    loads
}

/// Applies the changes of the plan and returns how many shards changed their owner.
fn apply(places: &mut [Place], upstreams: &[Candidate], loads: &[u64]) -> usize {
    let mut moved = 0;
    for change in plan(places, upstreams, loads) {
        let place = &mut places[usize::from(change.index)];
        moved += usize::from(place.owner != Some(change.owner));
        *place = Place {
            owner: Some(change.owner),
            standby: change.standby,
        };
    }
    moved
}

fn owners(places: &[Place]) -> Vec<Upstream> {
    places.iter().map(|place| place.owner.unwrap()).collect()
}

/// Largest load of an upstream relative to its weight, divided by the mean.
fn imbalance(owners: &[Upstream], upstreams: &[Candidate], loads: &[u64]) -> f64 {
    let mut sums = BTreeMap::new();
    for (owner, load) in owners.iter().zip(loads) {
        *sums.entry(*owner).or_insert(0) += load;
    }
    let live = || upstreams.iter().filter(|entry| entry.eligible);
    let weight: u64 = live().map(|entry| u64::from(entry.weight)).sum();
    let mean = loads.iter().sum::<u64>() as f64 / weight as f64;
    let relative = |entry: &Candidate| {
        let sum = sums.get(&entry.upstream).copied().unwrap_or(0);
        sum as f64 / f64::from(entry.weight) / mean
    };
    live().map(relative).fold(0.0, f64::max)
}

fn count_moved(before: &[Upstream], after: &[Upstream]) -> usize {
    before.iter().zip(after).filter(|(a, b)| a != b).count()
}

fn assert_balanced(places: &[Place], upstreams: &[Candidate], loads: &[u64]) {
    let owners = owners(places);
    let shards = imbalance(&owners, upstreams, &uniform_loads());
    let load = imbalance(&owners, upstreams, loads);
    assert!(shards <= 1.15, "imbalance of shards is {shards:.3}");
    assert!(load <= 1.15, "imbalance of load is {load:.3}");
}

/// Guards against an unbalanced first plan, and against more moves than a join or a leave
/// needs, for uniform and for skewed load.
#[test]
fn joins_and_leaves_move_few_shards_and_keep_balance() {
    for size in [15, 25] {
        for loads in [
            uniform_loads(),
            skewed_loads(1),
            skewed_loads(2),
            skewed_loads(3),
        ] {
            let mut places = vec![Place::default(); SHARDS];
            apply(&mut places, &fleet(size), &loads);
            assert_balanced(&places, &fleet(size), &loads);

            let mut joined = places.clone();
            let count = apply(&mut joined, &fleet(size + 1), &loads);
            let smallest = SHARDS / (size as usize + 1);
            assert!(count * 10 <= smallest * 12, "join: {count} of {smallest}");
            assert_balanced(&joined, &fleet(size + 1), &loads);

            for leaving in 0..size {
                let mut left = places.clone();
                let mut upstreams = fleet(size);
                upstreams[leaving as usize].eligible = false;
                let held = owners(&places);
                let smallest = held.iter().filter(|owner| owner.0 == leaving).count();
                let count = apply(&mut left, &upstreams, &loads);
                assert!(count * 10 <= smallest * 12, "leave: {count} of {smallest}");
                assert_balanced(&left, &upstreams, &loads);
            }
        }
    }
}

/// Guards against an imbalance that grows over many joins and leaves.
#[test]
fn balance_survives_many_changes() {
    let loads = skewed_loads(4);
    let mut places = vec![Place::default(); SHARDS];
    let mut upstreams = fleet(25);
    let mut random = StdRng::seed_from_u64(5);
    for _ in 0..100 {
        let index = random.random_range(0..upstreams.len());
        upstreams[index].eligible ^= true;
        let live = upstreams.iter().filter(|entry| entry.eligible).count();
        if live < 15 {
            upstreams[index].eligible = true;
        }
        apply(&mut places, &upstreams, &loads);
        assert_balanced(&places, &upstreams, &loads);
    }
}

/// Guards against the owner and the standby of a shard in the same failure domain.
#[test]
fn standbys_are_in_another_domain() {
    let mut places = vec![Place::default(); SHARDS];
    apply(&mut places, &fleet(15), &uniform_loads());
    apply(&mut places, &fleet(16), &uniform_loads());
    for place in &places {
        let (owner, standby) = (place.owner.unwrap(), place.standby.unwrap());
        assert_ne!(owner.0 % 3, standby.0 % 3);
    }
}

/// Guards against plans that ignore the capacity of the upstreams.
#[test]
fn larger_upstreams_own_more_shards() {
    let mut upstreams = fleet(15);
    upstreams[0].weight = 12;
    upstreams[1].weight = 3;
    let mut places = vec![Place::default(); SHARDS];
    apply(&mut places, &upstreams, &uniform_loads());
    assert_balanced(&places, &upstreams, &uniform_loads());
    let of = |index| owners(&places).iter().filter(|o| o.0 == index).count();
    assert!(of(0) > 3 * of(1));
}

/// Guards against moves that are caused only by noise in the measured load.
#[test]
fn load_noise_moves_no_shards() {
    let base = skewed_loads(6);
    let mut random = StdRng::seed_from_u64(7);
    let mut places = vec![Place::default(); SHARDS];
    apply(&mut places, &fleet(15), &base);
    for _ in 0..200 {
        let noisy = |&load: &u64| load * random.random_range(85..=115) / 100;
        let loads: Vec<u64> = base.iter().map(noisy).collect();
        assert_eq!(apply(&mut places, &fleet(15), &loads), 0);
    }
}

/// Guards against a persistent hot spot: the load of some shards of one upstream grows
/// fifteenfold.
#[test]
fn hot_shards_move() {
    let mut loads = uniform_loads();
    let mut places = vec![Place::default(); SHARDS];
    apply(&mut places, &fleet(15), &loads);
    let hot = (0..SHARDS).filter(|&shard| places[shard].owner == Some(Upstream(3)));
    for shard in hot.collect::<Vec<_>>().into_iter().take(12) {
        loads[shard] *= 15;
    }
    let count = apply(&mut places, &fleet(15), &loads);
    assert!(count > 0 && count < 100, "{count} shards moved");
    assert_balanced(&places, &fleet(15), &loads);
    assert_eq!(apply(&mut places, &fleet(15), &loads), 0);
}

/// Guards against the loss of one instance changing the dispatchers of upstreams that it
/// was not the dispatcher of: the order of the remaining instances must stay.
#[test]
fn dispatchers_are_stable() {
    let members: Vec<Instance> = (1..=4).map(Instance).collect();
    for upstream in 0..100 {
        let name = format!("intake-{upstream}");
        let all = dispatchers_by_preference(&name, &members);
        let fewer: Vec<Instance> = all.iter().copied().filter(|m| *m != all[0]).collect();
        assert_eq!(dispatchers_by_preference(&name, &fewer), all[1..]);
    }
}

/// Owners by a plain hash ring with 100 points per upstream.
fn hash_ring(size: u32) -> Vec<Upstream> {
    let points = (0..size).flat_map(|index| (0..100).map(move |point| (index, point)));
    let ring: BTreeMap<u64, Upstream> = points
        .map(|(index, point)| {
            let hash = xxh3_64_with_seed(format!("{index}/{point}").as_bytes(), 0);
            (hash, Upstream(index))
        })
        .collect();
    let owner = |shard: usize| {
        let hash = xxh3_64_with_seed(&shard.to_le_bytes(), 1);
        let next = ring.range(hash..).next().or_else(|| ring.iter().next());
        *next.unwrap().1
    };
    (0..SHARDS).map(owner).collect()
}

/// Owners by plain rendezvous hashing.
fn rendezvous(size: u32) -> Vec<Upstream> {
    let owner = |shard: usize| {
        let score = |index: &u32| xxh3_64_with_seed(&shard.to_le_bytes(), u64::from(*index) + 2);
        Upstream((0..size).max_by_key(score).unwrap())
    };
    (0..SHARDS).map(owner).collect()
}

/// Guards against an imbalance of `plan` above 1.15, and prints (with `--nocapture`)
/// how it compares with plain hashing.
#[test]
fn comparison_with_plain_hashing() {
    for size in [15, 25] {
        let loads = skewed_loads(8);
        let mut places = vec![Place::default(); SHARDS];
        apply(&mut places, &fleet(size), &loads);
        let planned = owners(&places);
        let mut joined = places.clone();
        apply(&mut joined, &fleet(size + 1), &loads);
        let mut left = joined.clone();
        let mut upstreams = fleet(size + 1);
        upstreams[size as usize].eligible = false;
        apply(&mut left, &upstreams, &loads);
        let own = [planned, owners(&joined), owners(&left)];
        let plain =
            |owners: fn(u32) -> Vec<Upstream>| [owners(size), owners(size + 1), owners(size)];
        let rows = [
            ("plan", own),
            ("hash ring", plain(hash_ring)),
            ("rendezvous", plain(rendezvous)),
        ];
        println!(
            "{size} upstreams; smallest join {}",
            SHARDS / (size as usize + 1)
        );
        for (name, [before, joined, left]) in &rows {
            let shards = imbalance(before, &fleet(size), &uniform_loads());
            let load = imbalance(before, &fleet(size), &loads);
            let (join, leave) = (count_moved(before, joined), count_moved(joined, left));
            println!("{name:>10}: shards {shards:.3} load {load:.3} join {join} leave {leave}");
        }
        assert!(imbalance(&rows[0].1[0], &fleet(size), &loads) <= 1.15);
    }
}
