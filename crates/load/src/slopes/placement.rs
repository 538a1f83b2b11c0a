//! Cost of shard plans by upstreams and shards.

use medlarreel_core::fold::Place;
use medlarreel_core::ids::{Domain, Upstream};
use medlarreel_core::placement::{Candidate, plan};

use super::table::{Table, slope};

/// Sizes with about 40 shards for each upstream.
const FLEETS: [(u32, usize); 4] = [(15, 1_024), (25, 1_024), (100, 4_000), (200, 8_000)];

/// Shards of 100 upstreams.
const SHARDS: [(u32, usize); 3] = [(100, 400), (100, 4_000), (100, 10_000)];

/// Tables of the first plan, an unchanged one, and a join or loss.
pub fn tables() -> Vec<Table> {
    let fleets = by_size("placement::plan, by upstreams and shards", &FLEETS);
    let shards = by_size("placement::plan, by shards of 100 upstreams", &SHARDS);
    vec![fleets, shards]
}

fn by_size(title: &str, sizes: &[(u32, usize)]) -> Table {
    let columns = [
        "upstreams",
        "shards",
        "first us",
        "slope",
        "unchanged us",
        "slope",
        "loss us",
        "moved",
        "join us",
        "moved",
    ];
    let mut table = Table::new(title, &columns);
    let (mut firsts, mut sames) = (None, None);
    for &(upstreams, shards) in sizes {
        let empty = vec![Place::default(); shards];
        let all = candidates(upstreams);
        let (first, changes) = timed(&empty, &all);
        let mut places = empty;
        for change in &changes {
            places[usize::from(change.index)] = Place {
                owner: Some(change.owner),
                standby: change.standby,
            };
        }
        let (same, _) = timed(&places, &all);
        let mut fewer = all.clone();
        fewer[0].eligible = false;
        let (loss, lost) = timed(&places, &fewer);
        let (join, joined) = timed(&places, &candidates(upstreams + 1));
        let size = shards as f64;
        let grown = |last: Option<(f64, f64)>| last.filter(|&(before, _)| before != size);
        table.row(vec![
            upstreams.to_string(),
            shards.to_string(),
            format!("{first:.0}"),
            slope(grown(firsts), size, first),
            format!("{same:.0}"),
            slope(grown(sames), size, same),
            format!("{loss:.0}"),
            lost.len().to_string(),
            format!("{join:.0}"),
            joined.len().to_string(),
        ]);
        (firsts, sames) = (Some((size, first)), Some((size, same)));
    }
    table
}

fn candidates(count: u32) -> Vec<Candidate> {
    let candidate = |key| Candidate {
        upstream: Upstream(key),
        domain: Domain((key % 3) as u16),
        weight: 6,
        eligible: true,
    };
    (0..count).map(candidate).collect()
}

/// Microseconds of one plan, and its changes. Loads vary twofold.
fn timed(
    places: &[Place],
    upstreams: &[Candidate],
) -> (f64, Vec<medlarreel_core::record::ShardChange>) {
    let loads: Vec<u64> = (0..places.len() as u64)
        .map(|key| 64 + key * 37 % 64)
        .collect();
    let begin = std::time::Instant::now();
    let changes = plan(places, upstreams, &loads);
    (begin.elapsed().as_nanos() as f64 / 1e3, changes)
}
