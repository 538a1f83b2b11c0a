//! Cost of checkpoints by the size of the state.

use std::time::Instant;

use medlarreel_core::checkpoint::{Assembler, MAX_CHUNK_BYTES, RECORD_INTERVAL, split_state};
use medlarreel_core::fold::State;
use medlarreel_core::record::Body;

use super::fleet::Fleet;
use super::fold::{apply, author, with_shards};
use super::heap_bytes;
use super::table::{Table, slope};

/// Configuration changes a day at the expected size.
const CHANGES: f64 = 51_000.0;
const DAY: f64 = 86_400.0;

/// Replayed records that are timed.
const REPLAYED: u32 = 2_000;

/// Tables by shards and by fleets.
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
    let mut last = (None, None);
    for shards in [1_000, 10_000, 100_000, 1_000_000] {
        let name = format!("{shards} shards without owners");
        last = row(&mut table, &name, &with_shards(shards), last);
    }
    let mut last = (None, None);
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
        last = row(&mut table, &name, &fleet.state(), last);
    }
    vec![table]
}

type Last = (Option<(f64, f64)>, Option<(f64, f64)>);

fn row(table: &mut Table, name: &str, state: &State, last: Last) -> Last {
    let begin = Instant::now();
    let chunks = split_state(state).expect("the state fits into a copy");
    let cut = begin.elapsed().as_secs_f64() * 1e3;
    let copy: usize = chunks.iter().map(|chunk| chunk.bytes.len()).sum();
    let count = copy.div_ceil(MAX_CHUNK_BYTES);
    let mut assembler = Assembler::new();
    let begin = Instant::now();
    let read = chunks.into_iter().map(|chunk| assembler.add(chunk));
    let built: Vec<_> = read.filter_map(Result::ok).flatten().collect();
    let joined = begin.elapsed().as_secs_f64() * 1e3;
    assert_eq!(built.len(), 1, "the copy is complete");
    let size = copy as f64;
    let rate = CHANGES / DAY / RECORD_INTERVAL as f64 * size;
    table.row(vec![
        name.to_owned(),
        format!("{:.0}", heap_bytes(state)),
        copy.to_string(),
        count.to_string(),
        format!("{cut:.2}"),
        slope(last.0, size, cut),
        format!("{joined:.2}"),
        slope(last.1, size, joined),
        format!("{rate:.0}"),
        format!("{:.0}", replay(state)),
    ]);
    (Some((size, cut)), Some((size, joined)))
}

/// `Alive` records that are folded a second, on a full table of outcomes.
fn replay(state: &State) -> f64 {
    let mut state = state.clone();
    (0..4_096).for_each(|_| apply(&mut state, Body::Alive(author())));
    let begin = Instant::now();
    (0..REPLAYED).for_each(|_| apply(&mut state, Body::Alive(author())));
    f64::from(REPLAYED) / begin.elapsed().as_secs_f64()
}
