//! Checkpoints: copies of the folded state, kept in the log.
//!
//! The log trims old records, so the holder writes a checkpoint from time to time.
//! A checkpoint is a version byte followed by the postcard form of `fold::State`,
//! split into chunks that fit into records. Its chunks may be interleaved with other
//! records and with chunks of unfinished checkpoints. Instances that have folded
//! the same records write the same bytes, so the chunks of one checkpoint may come
//! from different writers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use medlarreel_macros::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::fold::State;
use crate::ids::Offset;
use crate::record::Chunk;

/// Version of the checkpoint format.
pub const FORMAT_VERSION: u8 = 1;

/// Maximum size of one chunk; leaves room for the other fields of a 256 KiB record.
pub const MAX_CHUNK_BYTES: usize = 128 * 1024;

/// Maximum number of chunks in one checkpoint. A checkpoint of this size takes 64 MiB,
/// half the memory of a node.
pub const MAX_CHUNKS: usize = 512;

/// A new checkpoint is due once the last one lacks this many records.
pub const RECORDS_PER_CHECKPOINT: u64 = 512;

/// Maximum number of unfinished checkpoints held at a time; the newest ones are kept.
pub const MAX_UNFINISHED_CHECKPOINTS: usize = 4;

/// Reason why a checkpoint cannot be written or read.
#[data(key)]
pub enum CheckpointError {
    /// The state or a chunk exceeds the limits.
    Oversized,
    /// A chunk's index is not below its number of chunks.
    Position,
    /// The chunks do not match the checksum.
    Checksum,
    /// The format version is not supported.
    Version,
    /// The bytes do not decode to a state at the offset given in the chunks.
    Malformed,
}

/// Whether a new checkpoint is due, given the number of records that the last one does
/// not cover, its age, and the log's retention time.
pub fn is_due(records: u64, age: Duration, retention: Duration) -> bool {
    records >= RECORDS_PER_CHECKPOINT || age >= retention / 4
}

/// Encodes the state as a checkpoint and splits it into chunks.
///
/// # Errors
///
/// `Oversized` if that takes more than `MAX_CHUNKS` chunks.
pub fn split_state(state: &State) -> Result<Vec<Chunk>, CheckpointError> {
    let bytes = postcard::to_extend(state, vec![FORMAT_VERSION]).expect("state is serializable");
    let bytes = Bytes::from(bytes);
    let count = bytes.len().div_ceil(MAX_CHUNK_BYTES);
    if count > MAX_CHUNKS {
        return Err(CheckpointError::Oversized);
    }
    let checksum = xxh3_64(&bytes);
    let chunk = |index: usize| {
        let start = index * MAX_CHUNK_BYTES;
        let end = bytes.len().min(start + MAX_CHUNK_BYTES);
        Chunk {
            end_offset: state.next_offset(),
            index: index as u16,
            count: count as u16,
            checksum,
            bytes: bytes.slice(start..end),
        }
    };
    Ok((0..count).map(chunk).collect())
}

/// Identity of a checkpoint, the same in all of its chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CheckpointId {
    end_offset: Offset,
    checksum: u64,
    count: u16,
}

/// Collects chunks and reassembles checkpoints from them.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    /// Chunks of unfinished checkpoints, by index.
    unfinished: BTreeMap<CheckpointId, BTreeMap<u16, Bytes>>,
    /// End offset of the newest finished checkpoint.
    newest_finished: Option<Offset>,
}

impl Assembler {
    /// Creates an assembler without chunks.
    pub fn new() -> Assembler {
        Assembler::default()
    }

    /// Adds a chunk; returns the state if the chunk completes a checkpoint that is
    /// newer than all finished ones.
    ///
    /// # Errors
    ///
    /// The chunk or the completed checkpoint is not valid. Such a checkpoint is
    /// dropped, so that it can be written again.
    pub fn add(&mut self, chunk: Chunk) -> Result<Option<State>, CheckpointError> {
        validate(&chunk)?;
        if self
            .newest_finished
            .is_some_and(|newest| chunk.end_offset <= newest)
        {
            return Ok(None);
        }
        let id = CheckpointId {
            end_offset: chunk.end_offset,
            checksum: chunk.checksum,
            count: chunk.count,
        };
        let parts = self.unfinished.entry(id).or_default();
        parts.insert(chunk.index, chunk.bytes);
        if parts.len() < usize::from(id.count) {
            self.drop_oldest();
            return Ok(None);
        }
        let parts = self.unfinished.remove(&id).unwrap_or_default();
        let state = assemble(id, parts)?;
        self.unfinished
            .retain(|other, _| other.end_offset > id.end_offset);
        self.newest_finished = Some(id.end_offset);
        Ok(Some(state))
    }

    fn drop_oldest(&mut self) {
        if self.unfinished.len() > MAX_UNFINISHED_CHECKPOINTS {
            self.unfinished.pop_first();
        }
    }
}

fn validate(chunk: &Chunk) -> Result<(), CheckpointError> {
    let count = usize::from(chunk.count);
    if chunk.bytes.len() > MAX_CHUNK_BYTES || count > MAX_CHUNKS {
        return Err(CheckpointError::Oversized);
    }
    if chunk.index >= chunk.count {
        return Err(CheckpointError::Position);
    }
    Ok(())
}

fn assemble(id: CheckpointId, parts: BTreeMap<u16, Bytes>) -> Result<State, CheckpointError> {
    let bytes: Vec<u8> = parts.into_values().flatten().collect();
    if xxh3_64(&bytes) != id.checksum {
        return Err(CheckpointError::Checksum);
    }
    let (&version, body) = bytes.split_first().ok_or(CheckpointError::Malformed)?;
    if version != FORMAT_VERSION {
        return Err(CheckpointError::Version);
    }
    match postcard::take_from_bytes::<State>(body) {
        Ok((state, [])) if state.next_offset() == id.end_offset => Ok(state),
        _ => Err(CheckpointError::Malformed),
    }
}
