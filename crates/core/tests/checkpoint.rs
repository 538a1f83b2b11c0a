//! Checkpoints of the state in the log.

use std::time::Duration;

use bytes::Bytes;
use medlarreel_core::checkpoint::{
    Assembler, CheckpointError, MAX_CHUNK_BYTES, is_due, split_state,
};
use medlarreel_core::fold::State;
use medlarreel_core::ids::{Ballot, Instance, Offset, Proposal};
use medlarreel_core::record::{Author, Body, Chunk, MAX_RECORD_BYTES, Member, Record};
use proptest::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

fn member(instance: u64, name_len: usize) -> Member {
    Member {
        instance: Instance(instance),
        club: "kashmir".to_owned(),
        domain: "a".repeat(name_len),
        peers: ([127, 0, 0, 1], 1).into(),
    }
}

/// State after a reset and `members` admissions; a longer failure domain name makes
/// it larger.
fn state(members: u64, name_len: usize) -> State {
    let mut state = State::default();
    let reset = Body::Reset {
        club: "kashmir".to_owned(),
        expected: Offset(0),
        voter: member(0, name_len),
    };
    append(&mut state, reset);
    let ballot = Ballot {
        term: Offset(1),
        round: 1,
        instance: Instance(0),
    };
    for instance in 1..=members {
        let club = "kashmir".to_owned();
        let body = Body::Admit(Author { club, ballot }, member(instance, name_len));
        append(&mut state, body);
    }
    state
}

fn append(state: &mut State, body: Body) {
    let offset = state.next_offset();
    let proposal = Proposal(offset.0);
    state
        .apply(offset, Record { proposal, body })
        .expect("record is accepted");
}

fn add_all(assembler: &mut Assembler, chunks: Vec<Chunk>) -> Option<State> {
    let states = chunks
        .into_iter()
        .map(|chunk| assembler.add(chunk).expect("chunk is valid"));
    states.fold(None, |found, state| state.or(found))
}

fn single_chunk(bytes: Vec<u8>) -> Chunk {
    Chunk {
        end_offset: Offset(1),
        index: 0,
        count: 1,
        checksum: xxh3_64(&bytes),
        bytes: Bytes::from(bytes),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..Default::default() })]

    /// Guards against a checkpoint that is lost or changed because its chunks are out
    /// of order, repeated, or mixed with those of an older unfinished checkpoint.
    #[test]
    fn mixed_chunks_yield_the_newest_checkpoint(
        members in 0..20u64,
        name_len in 1..40_000usize,
        remaining in 0..8usize,
        order in any::<prop::sample::Index>(),
        swaps in prop::collection::vec(any::<(prop::sample::Index, prop::sample::Index)>(), 0..20),
    ) {
        let newest = state(members + 1, name_len);
        let mut chunks = split_state(&newest).expect("state fits");
        let mut old = split_state(&state(members, name_len)).expect("state fits");
        old.truncate(remaining.min(old.len() - 1));
        let repeated = chunks[order.index(chunks.len())].clone();
        chunks.extend(old);
        chunks.push(repeated);
        for (a, b) in swaps {
            let (a, b) = (a.index(chunks.len()), b.index(chunks.len()));
            chunks.swap(a, b);
        }

        let assembled = add_all(&mut Assembler::new(), chunks);

        prop_assert_eq!(assembled, Some(newest));
    }

    /// Guards against accepting altered bytes, and against a panic in decoding them.
    #[test]
    fn altered_checkpoints_are_refused(at: prop::sample::Index, byte: u8, random: Vec<u8>, rehashed: bool) {
        let mut chunk = split_state(&state(2, 5)).expect("state fits").remove(0);
        let mut bytes = chunk.bytes.to_vec();
        let at = at.index(bytes.len());
        let changed = bytes[at] != byte;
        bytes[at] = byte;
        chunk.checksum = if rehashed { xxh3_64(&bytes) } else { chunk.checksum };
        chunk.bytes = Bytes::from(bytes);

        let altered = Assembler::new().add(chunk);
        let noise = Assembler::new().add(single_chunk(random));

        let checksum = altered == Err(CheckpointError::Checksum);
        prop_assert_eq!(checksum, changed && !rehashed);
        prop_assert!(noise.is_err());
    }
}

/// Guards against records that exceed the log's limit.
#[test]
fn chunks_fit_into_records() {
    let chunks = split_state(&state(20, 40_000)).expect("state fits");

    let sizes = chunks.iter().map(|chunk| chunk.bytes.len());
    assert!(sizes.clone().all(|size| size <= MAX_CHUNK_BYTES));
    assert!(chunks.len() > 4);
    for chunk in chunks {
        let body = Body::Checkpoint(chunk);
        let proposal = Proposal(1);
        let record = Record { proposal, body };
        let encoded = record.encode();
        assert!(encoded.len() <= MAX_RECORD_BYTES);
        assert_eq!(Record::decode(&encoded), Ok(record));
    }
}

/// Guards against an older checkpoint that replaces a newer state.
#[test]
fn older_checkpoints_are_ignored() {
    let mut assembler = Assembler::new();
    add_all(
        &mut assembler,
        split_state(&state(3, 5)).expect("state fits"),
    );

    let older = add_all(
        &mut assembler,
        split_state(&state(2, 5)).expect("state fits"),
    );

    assert_eq!(older, None);
}

/// Guards against a damaged chunk that blocks the checkpoint when it is rewritten.
#[test]
fn damaged_checkpoint_can_be_written_again() {
    let newest = state(20, 40_000);
    let chunks = split_state(&newest).expect("state fits");
    let mut damaged = chunks.clone();
    damaged[1].bytes = Bytes::from_static(b"damaged");
    let mut assembler = Assembler::new();

    let outcomes = damaged.into_iter().map(|chunk| assembler.add(chunk));
    let first = outcomes.last();
    let second = add_all(&mut assembler, chunks);

    assert_eq!(first, Some(Err(CheckpointError::Checksum)));
    assert_eq!(second, Some(newest));
}

/// Guards against chunks that claim impossible sizes or positions.
#[test]
fn impossible_chunks_are_refused() {
    let chunk = single_chunk(vec![0]);
    let position = Chunk {
        index: 1,
        ..chunk.clone()
    };
    let count = Chunk {
        count: u16::MAX,
        ..chunk
    };
    let size = single_chunk(vec![0; MAX_CHUNK_BYTES + 1]);

    let add = |chunk| Assembler::new().add(chunk);
    assert_eq!(add(position), Err(CheckpointError::Position));
    assert_eq!(add(count), Err(CheckpointError::Oversized));
    assert_eq!(add(size), Err(CheckpointError::Oversized));
}

/// Guards against a log that trims the last checkpoint before the next one is written.
#[test]
fn checkpoint_is_due_by_records_or_age() {
    let (hour, minute) = (Duration::from_secs(3_600), Duration::from_secs(60));

    assert!(!is_due(511, 14 * minute, hour));
    assert!(is_due(512, minute, hour));
    assert!(is_due(0, 15 * minute, hour));
}
