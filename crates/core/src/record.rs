//! Records of the control stream and their codec.
//!
//! An encoded record is a version byte followed by the postcard form of `Record`.
//! Whether a record takes effect is decided only in `fold`.

use std::net::SocketAddr;

use bytes::Bytes;
use medlarreel_macros::data;

use crate::ids::{Ballot, Instance, Offset, Proposal, Service, Upstream};
use crate::preset::Fencing;

/// Version of the record format.
pub const FORMAT_VERSION: u8 = 1;

/// Maximum size of an encoded record; `Record::decode` rejects larger ones.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// An instance, as recorded in the log.
#[data(value)]
pub struct Member {
    /// Identity of the process.
    pub instance: Instance,
    /// Name of the club that it serves.
    pub club: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address of its peer listeners, UDP and TCP.
    pub peers: SocketAddr,
}

/// An upstream, as recorded in the log.
#[data(value)]
pub struct UpstreamSpec {
    /// Name from the platform's list.
    pub name: String,
    /// Name of the service it belongs to.
    pub service: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Whether it checks that the sender of a request is entitled to send it.
    pub fencing: Fencing,
    /// Capacity relative to the service's other upstreams, usually its slots.
    pub weight: u16,
}

/// New owner and standby of one shard.
#[data(key)]
pub struct ShardChange {
    /// Position of the shard within the service.
    pub index: u16,
    /// Upstream that is to own the shard.
    pub owner: Upstream,
    /// Upstream that takes over if the owner is lost, even while the log is unavailable.
    pub standby: Option<Upstream>,
}

/// Upstreams that an operator confirms to be gone.
#[data(value)]
pub enum ReleaseTarget {
    /// One upstream, by name.
    Upstream(String),
    /// All upstreams of a failure domain, by name.
    Domain(String),
}

/// Authority under which a control holder writes a record.
#[data(value)]
pub struct Author {
    /// Name of the holder's club.
    pub club: String,
    /// Ballot under which the holder acts.
    pub ballot: Ballot,
}

/// Change that a record proposes.
#[data(value)]
pub enum Body {
    /// Publishes a new version of a preset, as INI text.
    Publish {
        /// Name of the preset.
        name: String,
        /// Version that the operator last saw; 0 if there was none.
        expected: u32,
        /// Text of the preset.
        text: String,
    },
    /// Puts a preset in force.
    Activate {
        /// Name of the preset.
        name: String,
        /// Version of the preset.
        version: u32,
        /// Activation count that the operator last saw.
        expected: u32,
    },
    /// Records an operator's confirmation that upstreams are gone.
    Release(ReleaseTarget),
    /// Starts the first term of a club, or a new one if too few voters can be reached.
    Reset {
        /// Name of the club.
        club: String,
        /// Term that the author last saw; 0 for a new club.
        expected: Offset,
        /// The only member, and so the only voter, when the new term begins.
        voter: Member,
    },
    /// Announces a newly elected holder.
    Lead(Author),
    /// Adds a member to the holder's club.
    Admit(Author, Member),
    /// Removes a member of the holder's club.
    Remove {
        /// Authority of the holder.
        author: Author,
        /// Member that is removed.
        instance: Instance,
        /// Why it is removed.
        cause: String,
    },
    /// Adds upstreams, or replaces the specifications of those already enrolled.
    Enroll(Author, Vec<UpstreamSpec>),
    /// Changes the shard plan of a service.
    Plan {
        /// Authority of the holder.
        author: Author,
        /// Service whose plan changes.
        service: Service,
        /// Plan version that the holder last saw.
        expected: u32,
        /// New owners and standbys of the shards that change.
        changes: Vec<ShardChange>,
        /// Why they change, with the evidence.
        cause: String,
    },
    /// States that the club uses no more than its share under the given activation.
    Yield(Author, u32),
    /// Shows that the holder is alive.
    Alive(Author),
    /// One chunk of a checkpoint.
    Checkpoint(Chunk),
}

/// One part of a checkpoint, which is a copy of the state.
#[data(value)]
pub struct Chunk {
    /// Offset after the last record in the checkpoint.
    pub end_offset: Offset,
    /// Position of this chunk, from 0.
    pub index: u16,
    /// Number of chunks.
    pub count: u16,
    /// XXH3 hash of the whole checkpoint.
    pub checksum: u64,
    /// Bytes of this chunk.
    pub bytes: Bytes,
}

/// One entry of the control stream.
#[data(value)]
pub struct Record {
    /// Identity by which the author recognizes its own record in the log.
    pub proposal: Proposal,
    /// Proposed change.
    pub body: Body,
}

/// Reason why a record cannot be decoded.
#[data(key)]
pub enum RecordError {
    /// The version byte is missing or not supported.
    Version,
    /// The record exceeds `MAX_RECORD_BYTES`.
    Oversized,
    /// The bytes are not a record.
    Malformed,
}

impl Record {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Bytes {
        let buffer = postcard::to_extend(self, vec![FORMAT_VERSION]);
        Bytes::from(buffer.expect("record is serializable"))
    }

    /// Decodes a record read from the log.
    ///
    /// # Errors
    ///
    /// The record is too large, of another format version, or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::Oversized);
        }
        let (&version, rest) = bytes.split_first().ok_or(RecordError::Version)?;
        if version != FORMAT_VERSION {
            return Err(RecordError::Version);
        }
        let (record, rest) = postcard::take_from_bytes(rest).map_err(|_| RecordError::Malformed)?;
        if rest.is_empty() {
            Ok(record)
        } else {
            Err(RecordError::Malformed)
        }
    }
}
