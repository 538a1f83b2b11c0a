//! Copies of the folded state, kept in the log.
//!
//! The log trims old records, so the holder writes a copy of the state from
//! time to time. A copy is a version byte and the postcard form of
//! `fold::State`, cut into chunks that fit into records. Its chunks may be mixed
//! with other records and with chunks of copies that were never finished.
//! Instances that have folded the same records write the same bytes, so chunks
//! of one copy may come from different writers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use medlarreel_macros::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::fold::State;
use crate::ids::Offset;
use crate::record::Chunk;

/// Version of the copy's format.
pub const FORMAT_VERSION: u8 = 1;

/// Bytes of one chunk at most; leaves room in a record of 256 KiB.
pub const MAX_CHUNK_BYTES: usize = 128 * 1024;

/// Chunks of one copy at most. A copy of 64 MiB is half the memory of a node.
pub const MAX_CHUNKS: usize = 512;

/// Records after which a new copy is due.
pub const RECORD_INTERVAL: u64 = 512;

/// Unfinished copies that are collected at a time; newer ones are kept.
pub const MAX_UNFINISHED_COPIES: usize = 4;

/// Why a copy cannot be written or read.
#[data(key)]
pub enum CheckpointError {
    /// The state or a chunk exceeds the limits.
    Oversized,
    /// A chunk's position does not fit its number of chunks.
    Position,
    /// The chunks do not match the checksum.
    Checksum,
    /// The copy's format is not supported.
    Version,
    /// The bytes are not a state at the offset that the chunks name.
    Malformed,
}

/// Whether a new copy is due, given the number of records since the last one
/// without its chunks, its age, and the log's retention time.
pub fn is_due(records: u64, age: Duration, retention: Duration) -> bool {
    records >= RECORD_INTERVAL || age >= retention / 4
}

/// Splits a copy of the state into chunks.
///
/// # Errors
///
/// `Oversized` if the copy needs more than `MAX_CHUNKS`.
pub fn split_state(state: &State) -> Result<Vec<Chunk>, CheckpointError> {
    let copy = postcard::to_extend(state, vec![FORMAT_VERSION])
        .expect("states have no unserializable parts");
    let copy = Bytes::from(copy);
    let count = copy.len().div_ceil(MAX_CHUNK_BYTES);
    if count > MAX_CHUNKS {
        return Err(CheckpointError::Oversized);
    }
    let checksum = xxh3_64(&copy);
    let chunk = |index: usize| {
        let start = index * MAX_CHUNK_BYTES;
        let end = copy.len().min(start + MAX_CHUNK_BYTES);
        Chunk {
            end_offset: state.next_offset(),
            index: index as u16,
            count: count as u16,
            checksum,
            bytes: copy.slice(start..end),
        }
    };
    Ok((0..count).map(chunk).collect())
}

/// What the chunks of one copy have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Copy {
    end_offset: Offset,
    checksum: u64,
    count: u16,
}

/// Puts chunks together again.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    /// Chunks of unfinished copies, by position.
    copies: BTreeMap<Copy, BTreeMap<u16, Bytes>>,
    /// Offset of the newest finished copy.
    finished: Option<Offset>,
}

impl Assembler {
    /// Assembler without chunks.
    pub fn new() -> Assembler {
        Assembler::default()
    }

    /// Adds a chunk; returns the state if that completes a copy newer than all
    /// earlier ones.
    ///
    /// # Errors
    ///
    /// The chunk or the completed copy is not valid. Such a copy is dropped, so
    /// that it can be written again.
    pub fn add(&mut self, chunk: Chunk) -> Result<Option<State>, CheckpointError> {
        check(&chunk)?;
        if self
            .finished
            .is_some_and(|finished| chunk.end_offset <= finished)
        {
            return Ok(None);
        }
        let copy = Copy {
            end_offset: chunk.end_offset,
            checksum: chunk.checksum,
            count: chunk.count,
        };
        let parts = self.copies.entry(copy).or_default();
        parts.insert(chunk.index, chunk.bytes);
        if parts.len() < usize::from(copy.count) {
            self.drop_oldest();
            return Ok(None);
        }
        let parts = self.copies.remove(&copy).unwrap_or_default();
        let state = assemble(copy, parts)?;
        self.copies
            .retain(|other, _| other.end_offset > copy.end_offset);
        self.finished = Some(copy.end_offset);
        Ok(Some(state))
    }

    fn drop_oldest(&mut self) {
        if self.copies.len() > MAX_UNFINISHED_COPIES {
            self.copies.pop_first();
        }
    }
}

fn check(chunk: &Chunk) -> Result<(), CheckpointError> {
    let count = usize::from(chunk.count);
    if chunk.bytes.len() > MAX_CHUNK_BYTES || count > MAX_CHUNKS {
        return Err(CheckpointError::Oversized);
    }
    if chunk.index >= chunk.count {
        return Err(CheckpointError::Position);
    }
    Ok(())
}

fn assemble(copy: Copy, parts: BTreeMap<u16, Bytes>) -> Result<State, CheckpointError> {
    let bytes: Vec<u8> = parts.into_values().flatten().collect();
    if xxh3_64(&bytes) != copy.checksum {
        return Err(CheckpointError::Checksum);
    }
    let (&version, body) = bytes.split_first().ok_or(CheckpointError::Malformed)?;
    if version != FORMAT_VERSION {
        return Err(CheckpointError::Version);
    }
    match postcard::take_from_bytes::<State>(body) {
        Ok((state, [])) if state.next_offset() == copy.end_offset => Ok(state),
        _ => Err(CheckpointError::Malformed),
    }
}
