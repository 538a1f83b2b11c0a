//! Records of the control stream and their codec.
//!
//! A record is a version byte followed by the postcard form of `Record`. The
//! fold alone decides whether a record takes effect; see `fold`.

use std::net::SocketAddr;

use bytes::Bytes;
use medlarreel_macros::data;

use crate::ids::{Ballot, Instance, Offset, Proposal, Service, Upstream};
use crate::preset::Fencing;

/// Version of the record format.
pub const FORMAT_VERSION: u8 = 1;

/// Largest encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// An instance as the log knows it.
#[data(value)]
pub struct Member {
    /// Identity of the process.
    pub instance: Instance,
    /// Name of the club it serves.
    pub club: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address of its peer listeners, UDP and TCP.
    pub peers: SocketAddr,
}

/// An upstream as the log knows it.
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
    /// Whether it checks who gives it work.
    pub fencing: Fencing,
    /// Capacity relative to the service's other upstreams, usually its slots.
    pub weight: u16,
}

/// New owner and standby of one shard.
#[data(key)]
pub struct ShardChange {
    /// Position of the shard within the service.
    pub index: u16,
    /// Upstream that shall own the shard.
    pub owner: Upstream,
    /// Upstream that takes over while the log is away.
    pub standby: Option<Upstream>,
}

/// What an operator vouches to be gone.
#[data(value)]
pub enum ReleaseTarget {
    /// One upstream, by name.
    Upstream(String),
    /// All upstreams of a failure domain, by name.
    Domain(String),
}

/// Authority under which a control holder writes.
#[data(value)]
pub struct Author {
    /// Name of the holder's club.
    pub club: String,
    /// Ballot that the holder acts under.
    pub ballot: Ballot,
}

/// What the record proposes.
#[data(value)]
pub enum Body {
    /// New version of a preset, as INI text.
    Publish {
        /// Name of the preset.
        name: String,
        /// Version that the operator saw; 0 for none.
        expected: u32,
        /// Text of the preset.
        text: String,
    },
    /// Switch to a preset.
    Activate {
        /// Name of the preset.
        name: String,
        /// Version of the preset.
        version: u32,
        /// Activation count that the operator saw.
        expected: u32,
    },
    /// An operator vouches that upstreams are gone.
    Release(ReleaseTarget),
    /// A club without reachable voters starts over.
    Reset {
        /// Name of the club.
        club: String,
        /// Term that the author saw.
        expected: Offset,
        /// The only voter of the new term.
        voter: Member,
    },
    /// A new holder makes itself known.
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
    /// Adds upstreams, or updates their address and class.
    Enroll(Author, Vec<UpstreamSpec>),
    /// Changes the shard plan of a service.
    Plan {
        /// Authority of the holder.
        author: Author,
        /// Service whose plan changes.
        service: Service,
        /// Plan version that the holder saw.
        expected: u32,
        /// Shards that change.
        changes: Vec<ShardChange>,
        /// Why they change, with the evidence.
        cause: String,
    },
    /// The club uses no more than its share under the activation.
    Yield(Author, u32),
    /// The holder is alive.
    Alive(Author),
    /// One part of a copy of the state.
    Checkpoint(Chunk),
}

/// One part of a copy of the state.
#[data(value)]
pub struct Chunk {
    /// First offset that the copy does not contain.
    pub end_offset: Offset,
    /// Position of this part, from 0.
    pub index: u16,
    /// Number of parts.
    pub count: u16,
    /// Hash of the whole copy.
    pub checksum: u64,
    /// This part's bytes.
    pub bytes: Bytes,
}

/// One entry of the control stream.
#[data(value)]
pub struct Record {
    /// Identity by which the author finds its record again.
    pub proposal: Proposal,
    /// What is proposed.
    pub body: Body,
}

/// Why a record could not be decoded.
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
        Bytes::from(buffer.expect("records have no unserializable parts"))
    }

    /// Decodes a record read from the log.
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
