//! JSON types of the status of an instance.

use medlarreel_core::preset::Rank;
use medlarreel_macros::data;

use super::api::AuditEntry;

/// Response to `GET /control/status` and content of the status page.
#[data(value)]
pub struct Status {
    /// Id of the instance.
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
    /// Number of activations so far, which the next activation must state.
    pub activations: u32,
    /// Active preset; `None` if none was ever activated.
    pub preset: Option<ActivePreset>,
    /// Control holder of the club, if known.
    pub holder: Option<ControlHolder>,
    /// Admitted members of the club.
    pub members: Vec<Member>,
    /// Upstreams of the club.
    pub upstreams: Vec<Upstream>,
    /// Services of the club.
    pub services: Vec<Service>,
    /// Request counts by rank, most urgent rank first.
    pub ranks: Vec<RankCounts>,
    /// Most recent accepted changes, oldest first.
    pub audit: Vec<AuditEntry>,
}

/// The active preset.
#[data(value)]
pub struct ActivePreset {
    /// Name of the preset.
    pub name: String,
    /// Version of the preset.
    pub version: u32,
    /// Offset of the record that activated it.
    pub since: u64,
    /// Slots of all clubs together.
    pub budget: u32,
    /// Slots that the club may use now; 0 if the state does not contain the club.
    pub club_slots: u32,
}

/// The control holder of a club.
#[data(value)]
pub struct ControlHolder {
    /// Id of the instance.
    pub instance: u64,
    /// Address of its peer listeners; empty if it is not known.
    pub peers: String,
    /// Term of its ballot; 0 if no record of it is known.
    pub term: u64,
    /// Round of its ballot; 0 if no record of it is known.
    pub round: u32,
}

/// An admitted instance.
#[data(value)]
pub struct Member {
    /// Id of the instance.
    pub instance: u64,
    /// Failure domain.
    pub domain: String,
    /// Address of its peer listeners.
    pub peers: String,
    /// Whether it is reachable: this instance itself, or one to which the latest
    /// connection attempt did not fail recently.
    pub heard: bool,
}

/// State of an upstream's lease as seen by this instance, which currently never reports
/// `Moving`.
#[data(key)]
#[serde(rename_all = "lowercase")]
pub enum LeaseState {
    /// This instance may send requests to the upstream.
    Held,
    /// Shards are being moved.
    Moving,
    /// The right of this instance to send has ended.
    Lapsed,
    /// This instance does not dispatch for the upstream.
    Unknown,
}

/// Health of an upstream as observed by the instance, which currently reports only
/// `Alive`, `Ejected` and `Dead`.
#[data(key)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Neither ejected nor unreachable, as far as this instance knows. Includes slow,
    /// starting and leaving upstreams, and those for which it does not dispatch.
    Alive,
    /// Ramps up after a start.
    Starting,
    /// Receives no new requests because it is leaving.
    Draining,
    /// Receives no new requests because of errors.
    Ejected,
    /// The latest connection attempt failed recently.
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
    /// Peer address of its preferred dispatcher, if known.
    pub dispatcher: Option<String>,
    /// Requests in flight from this instance.
    pub in_flight: u32,
    /// Requests that wait for a slot at this instance.
    pub waiting: u32,
    /// Slots that this instance may use while the lease is held; 0 if it does not
    /// dispatch for the upstream.
    pub allowance: u32,
    /// Observed health.
    pub health: Health,
    /// State of its lease.
    pub lease: LeaseState,
    /// Time until the lease ends, in milliseconds; `None` unless the lease is held.
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
    /// Numbers of shards by owner.
    pub owners: Vec<ShardCount>,
}

/// Number of shards that one upstream owns.
#[data(value)]
pub struct ShardCount {
    /// Name of the upstream.
    pub upstream: String,
    /// Number of shards.
    pub shards: u32,
}

/// Request counts of one rank at this instance since its start.
#[data(value)]
pub struct RankCounts {
    /// Name of the rank, as given by `Rank::text`.
    pub rank: String,
    /// Requests answered by an upstream.
    pub answered: u64,
    /// Requests refused without having run.
    pub refused: u64,
    /// Requests that failed or whose outcome is unknown.
    pub unknown: u64,
    /// Requests that wait for a slot now.
    pub waiting: u32,
}

impl RankCounts {
    /// Counts of a rank without requests.
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
