//! Messages between instances.
//!
//! Messages travel as UDP datagrams; `frame` gives their authenticated form.
//! No message grows with the size of the fleet: the largest names the shards of
//! one upstream.

use std::time::Duration;

use medlarreel_macros::data;

use crate::ids::{Ballot, Epoch, Instance, Offset, Shard, Upstream, Version};
use crate::preset::{Fencing, Isolation};
use crate::record::Member;

pub mod frame;
pub mod token;

pub use frame::Frame;

/// Question of a candidate or holder to a voter.
#[data(key)]
pub struct VoteRequest {
    /// Ballot that the candidate stands under.
    pub ballot: Ballot,
    /// Names this question, so that its answer can be dated.
    pub nonce: u64,
    /// Membership version that the candidate knows.
    pub membership_version: u32,
}

/// Answer of a voter.
#[data(key)]
pub struct VoteResponse {
    /// Ballot of the question.
    pub ballot: Ballot,
    /// Nonce of the question.
    pub nonce: u64,
    /// Whether the voter supports the ballot.
    pub granted: bool,
    /// Highest ballot that the voter has seen.
    pub highest_ballot: Ballot,
    /// Membership version that the voter knows.
    pub membership_version: u32,
}

/// What an instance tells the holder, and its request for a dispatch lease.
#[data(value)]
pub struct Report {
    /// Who reports; lets the holder admit an instance that is not a member yet.
    pub member: Member,
    /// Names this report, so that the lease can be dated.
    pub nonce: u64,
    /// Highest ballot that the instance has seen.
    pub highest_ballot: Ballot,
    /// Next log offset that the instance will fold.
    pub next_offset: Offset,
    /// Whether the instance is about to stop.
    pub leaving: bool,
    /// Number of dispatch leases that the instance has let lapse. An instance
    /// forgets its assignments with its lease.
    pub session: u32,
    /// Upstreams that the instance still serves by order of an earlier holder.
    pub outdated_upstreams: u16,
    /// Upstreams that the instance renews grants for, a part at a time.
    pub upstreams: Vec<UpstreamObservation>,
}

/// A shard that an upstream may hold by order of an earlier holder.
#[data(key)]
pub struct Claim {
    /// Position of the shard within the upstream's service.
    pub index: u16,
    /// Its fencing epoch.
    pub epoch: Epoch,
    /// Whether the upstream is known to hold it: it said so since the instance
    /// learned of the new holder, or it is unchecked and this is its dispatcher.
    pub confirmed: bool,
}

/// What a dispatcher last saw of an upstream.
#[data(value)]
pub struct UpstreamObservation {
    /// Upstream that was asked.
    pub upstream: Upstream,
    /// Time since its last answer; `None` if it never answered.
    pub response_age: Option<Duration>,
    /// Run of the upstream's process; 0 if it never answered.
    pub incarnation: u64,
    /// Version in force at the upstream.
    pub version: Option<Version>,
    /// Version of the assignment that the instance follows.
    pub assigned_version: Option<Version>,
    /// Largest allowance that the instance's grants may still give.
    pub allowance: u16,
    /// Whether an unchecked upstream has exchanges or connections of the instance.
    pub in_use: bool,
    /// What the upstream may hold; empty if the assignment comes from the
    /// holder of the highest ballot, which knows it.
    pub claims: Vec<Claim>,
    /// Requests run since the last report, by shard, for shards that had any.
    pub loads: Vec<(u16, u32)>,
    /// Number of shards that it holds.
    pub held_shards: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Requests run since the last report, by this dispatcher.
    pub served: u32,
    /// Slots of its allowance that were busy on average, in thousandths.
    pub busy_thousandths: u32,
}

/// The holder's answer to a report.
#[data(key)]
pub struct Lease {
    /// Ballot of the holder.
    pub ballot: Ballot,
    /// Nonce of the report.
    pub nonce: u64,
    /// Length of the dispatch lease, counted from before the report was sent.
    pub duration: Duration,
}

/// What an upstream shall hold, sent to its primary and backup dispatcher.
#[data(value)]
pub struct Assignment {
    /// Version; a higher one replaces a lower one.
    pub version: Version,
    /// Upstream that is meant.
    pub upstream: Upstream,
    /// Run of the upstream's process that is meant; 0 while unknown, which
    /// allows questions only.
    pub incarnation: u64,
    /// Session of the recipient. A late copy from before the recipient's lease
    /// lapsed names an older session and is refused.
    pub session: u32,
    /// Whether the upstream checks grants.
    pub fencing: Fencing,
    /// Whether the dispatch lease may be extended for this upstream's sake.
    pub isolation: Isolation,
    /// Shards and their fencing epochs.
    pub shards: Vec<(Shard, Epoch)>,
    /// Slots that may be in use.
    pub allowance: u16,
    /// Dispatcher.
    pub primary: Instance,
    /// Stands in for the dispatcher at checked upstreams.
    pub backup: Option<Instance>,
}

/// Message between two instances.
#[data(value)]
pub enum Message {
    /// Question of a candidate or holder.
    VoteRequest(VoteRequest),
    /// Answer of a voter.
    VoteResponse(VoteResponse),
    /// Report of an instance to the holder.
    Report(Report),
    /// Answer of the holder to a report.
    Lease(Lease),
    /// Order of the holder to a dispatcher.
    Assign(Assignment),
    /// The dispatcher has taken the assignment over.
    Assigned(Upstream, Version),
    /// The run of the upstream has accepted a grant of the version.
    Granted(Upstream, u64, Version),
    /// Order to renew nothing older than the version at the upstream.
    Stop(Upstream, Version),
    /// Nothing older is renewed; the last grant ends after the given time.
    Stopped(Upstream, Version, Duration),
    /// Request to support the extension of a dispatch lease in an isolated
    /// failure domain. The nonce dates the answer; the membership version shows
    /// whether the sender counts its majority among outdated members.
    ExtensionRequest(u64, u32),
    /// Support for an extension, or its refusal.
    ExtensionResponse(u64, bool),
    /// The holder asks a member not to support extensions before the time is over.
    PromiseRequest(u64, Duration),
    /// The member supports no extension for the time that was asked.
    Promise(u64),
    /// The next log offset of the sender, so that others learn that they lag.
    Progress(Offset),
    /// The sender has given up every ballot of its own up to this one.
    Resign(Ballot),
}
