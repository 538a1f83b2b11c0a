//! Validated presets.
//!
//! A preset defines the services that the federation runs and the division of its
//! slot budget between clubs. Operators write presets as INI text; `Preset::parse`
//! converts that text once, and everything else uses the validated values.

use std::time::Duration;

use medlarreel_macros::data;

pub mod parse;

pub use crate::config::Mistake;

/// Number of ranks.
pub const RANK_COUNT: usize = 3;

/// Priority of a request, most urgent first.
#[data(key)]
pub enum Rank {
    /// Status reads.
    Status,
    /// Bookings and cut orders.
    Order,
    /// Catalogue and archive checks.
    Archive,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Rank; RANK_COUNT] = [Rank::Status, Rank::Order, Rank::Archive];

    /// Position in order of urgency, from 0.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Name used in presets and in the `medlar-rank` header.
    pub fn text(self) -> &'static str {
        match self {
            Rank::Status => "status",
            Rank::Order => "order",
            Rank::Archive => "archive",
        }
    }

    /// Rank with the given name; `None` if there is no such rank.
    pub fn parse(text: &str) -> Option<Rank> {
        Rank::ALL.into_iter().find(|rank| rank.text() == text)
    }
}

/// Whether an upstream checks that the sender of a request is entitled to send it.
#[data(key)]
pub enum Fencing {
    /// Accepts only requests under a current grant and epoch.
    Checked,
    /// Runs every request that it receives.
    Unchecked,
}

/// Behaviour of a failure domain that is cut off from the control holder.
#[data(key)]
pub enum Isolation {
    /// Lets its leases lapse, so that others may take its keys.
    Lapse,
    /// Extends its leases by a vote among its own instances.
    Keep,
}

/// Limits of one rank.
#[data(value)]
pub struct RankLimits {
    /// Deadline of requests that do not set one.
    pub deadline: Duration,
    /// Guaranteed part of an upstream's capacity under load, in percent.
    pub floor: u8,
}

/// A club and its share of the budget.
#[data(value)]
pub struct ClubShare {
    /// Name of the club.
    pub name: String,
    /// Share of the budget, in percent.
    pub share: u8,
    /// Weight against other clubs in the same queue.
    pub weight: u16,
}

/// A service and its limits.
#[data(value)]
pub struct ServiceLimits {
    /// Name of the service, which is the first segment of its paths.
    pub name: String,
    /// Club that runs it.
    pub club: String,
    /// Whether each key has one owner.
    pub keyed: bool,
    /// Number of shards; 1 for services that are not keyed.
    pub shards: u16,
    /// Requests that one upstream runs at a time.
    pub slots: u16,
    /// Connections that one upstream accepts.
    pub connections: u16,
    /// Fencing class of upstreams that do not state their own.
    pub fencing: Fencing,
    /// Behaviour of a failure domain that is cut off.
    pub isolation: Isolation,
    /// Longest time after sending within which an unchecked upstream may still
    /// start a request; `None` if there is no known bound.
    pub request_lifetime: Option<Duration>,
    /// Whether the upstreams themselves detect repeated idempotency keys.
    pub deduplicates: bool,
    /// Requests that may wait for one upstream.
    pub queue: u32,
    /// Largest request or answer body, in bytes.
    pub max_body: u32,
}

/// Services, limits and budget shares of one preset.
#[data(value)]
pub struct Preset {
    /// Name of the preset.
    pub name: String,
    /// Maximum number of slots in use across the federation.
    pub budget: u32,
    /// Clubs and their shares of the budget.
    pub clubs: Vec<ClubShare>,
    /// Services of all clubs.
    pub services: Vec<ServiceLimits>,
    /// Limits by rank, most urgent first.
    pub ranks: [RankLimits; RANK_COUNT],
    /// Retries allowed per 100 requests.
    pub retry: u8,
}

impl Preset {
    /// Slots that the named club may use, rounded down; 0 for an unknown club.
    pub fn club_slots(&self, club: &str) -> u32 {
        let share = self.clubs.iter().find(|entry| entry.name == club);
        share.map_or(0, |entry| self.budget * u32::from(entry.share) / 100)
    }

    /// Service of the given name.
    pub fn service(&self, name: &str) -> Option<&ServiceLimits> {
        self.services.iter().find(|service| service.name == name)
    }
}
