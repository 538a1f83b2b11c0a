//! What an instance knows, as shown to operators.

use medlarreel_core::preset::Rank;
use medlarreel_macros::data;

use super::api::AuditEntry;

/// Answer to `GET /control/status` and content of the status page.
#[data(value)]
pub struct Status {
    /// Id of the process.
    pub instance: u64,
    /// Club that the instance serves.
    pub club: String,
    /// Failure domain that the instance runs in.
    pub domain: String,
    /// Whether requests can be served now.
    pub ready: bool,
    /// Offset of the next record to apply.
    pub next: u64,
    /// Whether the log service answers this instance.
    pub log_reachable: bool,
    /// Activations so far; expected by the next activation.
    pub activations: u32,
    /// Preset in force, if any was ever activated.
    pub preset: Option<ActivePreset>,
    /// Control holder of the club, if known.
    pub holder: Option<ControlHolder>,
    /// Admitted members of the club.
    pub members: Vec<Member>,
    /// Upstreams of the club.
    pub upstreams: Vec<Upstream>,
    /// Services of the club.
    pub services: Vec<Service>,
    /// Requests by rank, most urgent first.
    pub ranks: Vec<RankCounts>,
    /// Newest accepted changes, oldest first.
    pub audit: Vec<AuditEntry>,
}

/// The preset in force.
#[data(value)]
pub struct ActivePreset {
    /// Name of the preset.
    pub name: String,
    /// Version of the preset.
    pub version: u32,
    /// Offset of the record that put it in force.
    pub since: u64,
    /// Slots of the federation.
    pub budget: u32,
    /// Slots that the club may use now.
    pub club_slots: u32,
}

/// The control holder.
#[data(value)]
pub struct ControlHolder {
    /// Id of the process.
    pub instance: u64,
    /// Address of its peer listeners.
    pub peers: String,
    /// Term of its ballot.
    pub term: u64,
    /// Round of its ballot.
    pub round: u32,
}

/// An admitted instance.
#[data(value)]
pub struct Member {
    /// Id of the process.
    pub instance: u64,
    /// Failure domain.
    pub domain: String,
    /// Address of its peer listeners.
    pub peers: String,
    /// Whether this instance has heard from it recently.
    pub heard: bool,
}

/// Lease of an upstream as its dispatcher sees it.
#[data(key)]
#[serde(rename_all = "lowercase")]
pub enum LeaseState {
    /// The upstream holds its shards.
    Held,
    /// Shards are being moved.
    Moving,
    /// The last grant has ended.
    Lapsed,
    /// This instance does not know.
    Unknown,
}

/// Judgement of an upstream from the system's own observations.
#[data(key)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Takes its full share.
    Alive,
    /// Ramps up after its start.
    Starting,
    /// Takes no new work because it is leaving.
    Draining,
    /// Takes no new work because of errors.
    Ejected,
    /// Does not answer.
    Dead,
}

/// An enrolled upstream.
#[data(value)]
pub struct Upstream {
    /// Name from the platform's list.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Address of its HTTP listener.
    pub address: String,
    /// Peer address of its dispatcher, if known.
    pub dispatcher: Option<String>,
    /// Requests that it runs now.
    pub in_flight: u32,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Slots that it may use now.
    pub allowance: u32,
    /// Judgement of its health.
    pub health: Health,
    /// State of its lease.
    pub lease: LeaseState,
    /// Time until the lease ends, in milliseconds.
    pub lease_left_ms: Option<u64>,
}

/// A service and the owners of its shards.
#[data(value)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Number of shards; 0 for services that are not keyed.
    pub shards: u32,
    /// Shards without an owner.
    pub unowned: u32,
    /// Shards by owner.
    pub owners: Vec<OwnedShards>,
}

/// Shards of one owner.
#[data(value)]
pub struct OwnedShards {
    /// Name of the upstream.
    pub upstream: String,
    /// Number of shards.
    pub shards: u32,
}

/// Requests of one rank at this instance since its start.
#[data(value)]
pub struct RankCounts {
    /// The rank, in the form of `Rank::text`.
    pub rank: String,
    /// Requests answered by an upstream.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that wait now.
    pub waiting: u32,
}

impl RankCounts {
    /// Counts of nothing yet.
    pub fn zero(rank: Rank) -> RankCounts {
        RankCounts {
            rank: rank.text().to_owned(),
            answered: 0,
            refused: 0,
            unknown: 0,
            waiting: 0,
        }
    }
}
