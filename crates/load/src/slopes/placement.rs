//! Cost of planning shard placement by upstreams and shards.

use medlarreel_core::fold::Place;
use medlarreel_core::ids::{Domain, Upstream};
use medlarreel_core::placement::{Candidate, plan};

use super::table::{Table, slope};

/// Numbers of upstreams and shards, with 40 to 70 shards per upstream.
const SIZES_BY_UPSTREAMS: [(u32, usize); 4] =
    [(15, 1_024), (25, 1_024), (100, 4_000), (200, 8_000)];

/// Numbers of upstreams and shards, with 100 upstreams.
const SIZES_BY_SHARDS: [(u32, usize); 3] = [(100, 400), (100, 4_000), (100, 10_000)];

/// Cost of the first plan, of one without changes, and of the plans after an upstream
/// is lost or joins.
pub fn tables() -> Vec<Table> {
    let by_upstreams = by_size(
        "placement::plan, by upstreams and shards",
        &SIZES_BY_UPSTREAMS,
    );
    let by_shards = by_size(
        "placement::plan, by shards of 100 upstreams",
        &SIZES_BY_SHARDS,
    );
    vec![by_upstreams, by_shards]
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
    let (mut previous_first, mut previous_unchanged) = (None, None);
    for &(upstreams, shards) in sizes {
        let empty = vec![Place::default(); shards];
        let candidates_before = candidates(upstreams);
        let (first_us, changes) = time_plan(&empty, &candidates_before);
        let mut places = empty;
        for change in &changes {
            places[usize::from(change.index)] = Place {
                owner: Some(change.owner),
                standby: change.standby,
            };
        }
        let (unchanged_us, _) = time_plan(&places, &candidates_before);
        let mut candidates_after_loss = candidates_before.clone();
        candidates_after_loss[0].eligible = false;
        let (loss_us, loss_changes) = time_plan(&places, &candidates_after_loss);
        let (join_us, join_changes) = time_plan(&places, &candidates(upstreams + 1));
        let size = shards as f64;
        let comparable = |last: Option<(f64, f64)>| last.filter(|&(old_size, _)| old_size != size);
        table.add_row(vec![
            upstreams.to_string(),
            shards.to_string(),
            format!("{first_us:.0}"),
            slope(comparable(previous_first), size, first_us),
            format!("{unchanged_us:.0}"),
            slope(comparable(previous_unchanged), size, unchanged_us),
            format!("{loss_us:.0}"),
            loss_changes.len().to_string(),
            format!("{join_us:.0}"),
            join_changes.len().to_string(),
        ]);
        (previous_first, previous_unchanged) = (Some((size, first_us)), Some((size, unchanged_us)));
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

/// Microseconds taken by one plan, and its changes. Shard loads vary by a factor of two.
fn time_plan(
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
