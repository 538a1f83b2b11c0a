//! Messages between instances.
//!
//! Messages are sent as UDP datagrams in the authenticated form of `frame`. The
//! size of a message does not grow with the number of instances. The largest ones
//! list the shards of one upstream, or what one instance observes of its upstreams.

use std::time::Duration;

use medlarreel_macros::data;

use crate::ids::{Ballot, Epoch, Instance, Offset, Shard, Upstream, Version};
use crate::preset::{Fencing, Isolation};
use crate::record::Member;

pub mod frame;
pub mod token;

pub use frame::Frame;

/// Request of a candidate or holder to a voter for its vote.
#[data(key)]
pub struct VoteRequest {
    /// Ballot of the candidate or holder.
    pub ballot: Ballot,
    /// Identifies this request, so that its response can be matched to its send time.
    pub nonce: u64,
    /// Membership version known to the candidate or holder.
    pub membership_version: u32,
}

/// Response of a voter to a `VoteRequest`.
#[data(key)]
pub struct VoteResponse {
    /// Ballot of the request.
    pub ballot: Ballot,
    /// Nonce of the request.
    pub nonce: u64,
    /// Whether the voter votes for the ballot.
    pub granted: bool,
    /// Highest ballot of the term that may have held control, as far as the voter knows.
    /// Round 0 means that it knows none.
    pub highest_ballot: Ballot,
    /// Membership version known to the voter.
    pub membership_version: u32,
}

/// Report of an instance to the holder, which also requests a dispatch lease.
#[data(value)]
pub struct Report {
    /// Reporting instance. Lets the holder admit an instance that is not yet a member.
    pub member: Member,
    /// Identifies this report, so that the lease can be matched to its send time.
    pub nonce: u64,
    /// Highest ballot of the term that may have held control, as far as the instance
    /// knows. Round 0 means that it knows none.
    pub highest_ballot: Ballot,
    /// Offset of the next log record that the instance will apply.
    pub next_offset: Offset,
    /// Whether the instance is about to stop.
    pub leaving: bool,
    /// Number of the instance's dispatch leases that have expired. An instance drops
    /// its assignments when its lease expires.
    pub session: u32,
    /// Number of upstreams that the instance still serves by order of an earlier
    /// holder.
    pub outdated_upstreams: u16,
    /// Observations of all upstreams that the instance is a dispatcher of or still uses.
    pub upstreams: Vec<UpstreamObservation>,
}

/// A shard that an upstream may hold by order of an earlier holder.
#[data(key)]
pub struct Claim {
    /// Position of the shard within the upstream's service.
    pub index: u16,
    /// Fencing epoch of the shard.
    pub epoch: Epoch,
    /// Whether the upstream is known to hold the shard. A checked upstream has reported
    /// the shard since the instance learned of the new holder. For an unchecked upstream,
    /// the instance is the primary dispatcher in an assignment that contains the shard.
    pub confirmed: bool,
}

/// Latest observation of an upstream by a dispatcher.
#[data(value)]
pub struct UpstreamObservation {
    /// Observed upstream.
    pub upstream: Upstream,
    /// Time since its last response, `None` if it never responded.
    pub response_age: Option<Duration>,
    /// Run of the upstream's process, 0 if it never responded.
    pub incarnation: u64,
    /// Highest version that the upstream has accepted, `None` if none is known.
    pub version: Option<Version>,
    /// Version of the assignment that the instance follows, `None` without one.
    pub assigned_version: Option<Version>,
    /// Largest allowance of the instance's grants that may still be in force.
    pub allowance: u16,
    /// Whether the instance has open exchanges or connections at an unchecked upstream.
    pub in_use: bool,
    /// Shards that the upstream may hold. Empty if the assignment comes from the
    /// holder of the highest ballot, because that holder knows it.
    pub claims: Vec<Claim>,
    /// Requests run since the last report, by index of the shard, without shards that
    /// had none.
    pub loads: Vec<(u16, u32)>,
    /// Number of shards that the upstream holds according to its last response, 0 if it
    /// never responded.
    pub held_shards: u32,
    /// Whether the upstream is draining because it is about to leave.
    pub draining: bool,
    /// Requests run for this dispatcher since the last report.
    pub served: u32,
    /// Busy slots, in thousandths of the allowance.
    pub busy_thousandths: u32,
}

/// Response of the holder to a report.
#[data(key)]
pub struct Lease {
    /// Ballot of the holder.
    pub ballot: Ballot,
    /// Nonce of the report.
    pub nonce: u64,
    /// Duration of the dispatch lease, counted from before the report was sent.
    pub duration: Duration,
}

/// Shards that an upstream must hold, sent to its primary and backup dispatcher.
#[data(value)]
pub struct Assignment {
    /// Version. A higher version replaces a lower one.
    pub version: Version,
    /// Upstream that the assignment is for.
    pub upstream: Upstream,
    /// Process run of the upstream that the assignment is for. It is 0 while unknown,
    /// in which case the upstream may only be queried.
    pub incarnation: u64,
    /// Session of the recipient. A delayed copy from before the recipient's lease
    /// expired carries an older session and is rejected.
    pub session: u32,
    /// Whether the upstream checks grants.
    pub fencing: Fencing,
    /// Whether the dispatch lease may be extended for this upstream.
    pub isolation: Isolation,
    /// Shards and their fencing epochs.
    pub shards: Vec<(Shard, Epoch)>,
    /// Number of slots that may be in use.
    pub allowance: u16,
    /// Primary dispatcher.
    pub primary: Instance,
    /// Backup dispatcher, used for checked upstreams only.
    pub backup: Option<Instance>,
}

/// Message between two instances.
#[data(value)]
pub enum Message {
    /// Request of a candidate or holder for a vote.
    VoteRequest(VoteRequest),
    /// Response of a voter.
    VoteResponse(VoteResponse),
    /// Report of an instance to the holder.
    Report(Report),
    /// Response of the holder to a report.
    Lease(Lease),
    /// Assignment from the holder to a dispatcher.
    Assign(Assignment),
    /// The dispatcher follows the assignment of this version.
    Assigned(Upstream, Version),
    /// The upstream's process run has accepted a grant of the version.
    Granted(Upstream, u64, Version),
    /// Order to follow no assignment of the upstream older than the version. Answered
    /// with `Stopped`; for an unchecked upstream only once no exchange or connection is
    /// open.
    Stop(Upstream, Version),
    /// No assignment older than the version is followed, and the last grant under one
    /// ends within the given duration.
    Stopped(Upstream, Version, Duration),
    /// Request to support the extension of a dispatch lease in an isolated failure
    /// domain, with nonce and membership version. The nonce matches the response to
    /// its send time. The membership version shows whether the sender counts its
    /// majority in an outdated membership.
    ExtensionRequest(u64, u32),
    /// Support for an extension, or its refusal, with the nonce of the request.
    ExtensionResponse(u64, bool),
    /// Request of the holder that a member supports no extension for the duration.
    PromiseRequest(u64, Duration),
    /// Promise of a member to support no extension for the requested duration.
    Promise(u64),
    /// Next log offset of the sender, by which the others detect that they lag.
    Progress(Offset),
    /// The sender has resigned all of its ballots up to this one.
    Resign(Ballot),
}
