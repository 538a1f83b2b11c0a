//! Cost of splitting and assembling checkpoints by the size of the state.

use std::time::Instant;

use medlarreel_core::checkpoint::{
    Assembler, MAX_CHUNK_BYTES, RECORDS_PER_CHECKPOINT, split_state,
};
use medlarreel_core::fold::State;
use medlarreel_core::record::Body;

use super::fleet::Fleet;
use super::fold::{apply, author, state_with_shards};
use super::heap_bytes;
use super::table::{Table, slope};

/// Configuration changes per day in a deployment of the expected size; each takes one
/// record.
const CHANGES_PER_DAY: f64 = 51_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Number of records replayed in a measurement.
const REPLAYED_RECORDS: u32 = 2_000;

/// Costs by the number of shards, and by the size of the fleet.
pub fn tables() -> Vec<Table> {
    let columns = [
        "state",
        "heap bytes",
        "copy bytes",
        "chunks",
        "split ms",
        "slope",
        "assemble ms",
        "slope",
        "B/s at 51,000 changes a day",
        "replay records/s",
    ];
    let mut table = Table::new("checkpoint, by size of the state", &columns);
    let mut previous = (None, None);
    for shards in [1_000, 10_000, 100_000, 1_000_000] {
        let name = format!("{shards} shards without owners");
        previous = add_row(&mut table, &name, &state_with_shards(shards), previous);
    }
    let mut previous = (None, None);
    for (members, upstreams, shards) in [
        (12, 25, 1_024),
        (16, 16, 640),
        (100, 100, 4_000),
        (1_000, 1_000, 40_000),
        (14_000, 14_000, 560_000),
    ] {
        let fleet = Fleet {
            members,
            upstreams,
            shards,
            domains: 31.min(members),
        };
        let name = format!("{members} members, {upstreams} upstreams, {shards} shards");
        previous = add_row(&mut table, &name, &fleet.state(), previous);
    }
    vec![table]
}

/// Checkpoint size with the cost of splitting, and with that of assembling; both are
/// `None` before the first measurement.
type PreviousCosts = (Option<(f64, f64)>, Option<(f64, f64)>);

fn add_row(table: &mut Table, name: &str, state: &State, previous: PreviousCosts) -> PreviousCosts {
    let begin = Instant::now();
    let chunks = split_state(state).expect("the state fits into a checkpoint");
    let split_ms = begin.elapsed().as_secs_f64() * 1e3;
    let checkpoint_bytes: usize = chunks.iter().map(|chunk| chunk.bytes.len()).sum();
    let chunk_count = checkpoint_bytes.div_ceil(MAX_CHUNK_BYTES);
    let mut assembler = Assembler::new();
    let begin = Instant::now();
    let results = chunks.into_iter().map(|chunk| assembler.add(chunk));
    let states: Vec<_> = results.filter_map(Result::ok).flatten().collect();
    let assemble_ms = begin.elapsed().as_secs_f64() * 1e3;
    assert_eq!(states.len(), 1, "the checkpoint is complete");
    let size = checkpoint_bytes as f64;
    let bytes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY / RECORDS_PER_CHECKPOINT as f64 * size;
    table.add_row(vec![
        name.to_owned(),
        format!("{:.0}", heap_bytes(state)),
        checkpoint_bytes.to_string(),
        chunk_count.to_string(),
        format!("{split_ms:.2}"),
        slope(previous.0, size, split_ms),
        format!("{assemble_ms:.2}"),
        slope(previous.1, size, assemble_ms),
        format!("{bytes_per_second:.0}"),
        format!("{:.0}", replay_rate(state)),
    ]);
    (Some((size, split_ms)), Some((size, assemble_ms)))
}

/// `Alive` records applied per second, with a full table of outcomes.
fn replay_rate(state: &State) -> f64 {
    let mut state = state.clone();
    (0..4_096).for_each(|_| apply(&mut state, Body::Alive(author())));
    let begin = Instant::now();
    (0..REPLAYED_RECORDS).for_each(|_| apply(&mut state, Body::Alive(author())));
    f64::from(REPLAYED_RECORDS) / begin.elapsed().as_secs_f64()
}
