//! Checked presets.
//!
//! A preset says what the federation runs and how its budget of slots is
//! divided. Operators write presets as INI text; `Preset::parse` converts that
//! text once, and everything else works on the checked values.

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

    /// Position from the most urgent, from 0.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Form used in presets and in the `medlar-rank` header.
    pub fn text(self) -> &'static str {
        match self {
            Rank::Status => "status",
            Rank::Order => "order",
            Rank::Archive => "archive",
        }
    }

    /// Rank named by a preset or header.
    pub fn parse(text: &str) -> Option<Rank> {
        Rank::ALL.into_iter().find(|rank| rank.text() == text)
    }
}

/// Whether an upstream checks who gives it work.
#[data(key)]
pub enum Fencing {
    /// Accepts only current grants and epochs.
    Checked,
    /// Runs whatever it receives.
    Unchecked,
}

/// What a failure domain does when it is cut off from the control holder.
#[data(key)]
pub enum Isolation {
    /// Lets its leases lapse, so that others may take its keys.
    Lapse,
    /// Extends its leases by votes of its own instances.
    Keep,
}

/// Limits of one rank.
#[data(value)]
pub struct RankLimits {
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Guaranteed part of an upstream's service under load, in percent.
    pub floor: u8,
}

/// A club and its part of the budget.
#[data(value)]
pub struct ClubShare {
    /// Name of the club.
    pub name: String,
    /// Part of the budget, in percent.
    pub share: u8,
    /// Weight against other clubs in the same queue.
    pub weight: u16,
}

/// A service and its limits.
#[data(value)]
pub struct ServiceLimits {
    /// Name of the service, the first segment of its paths.
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
    /// Class of upstreams that name none themselves.
    pub fencing: Fencing,
    /// Behaviour of a failure domain that is cut off.
    pub isolation: Isolation,
    /// Longest time after sending at which an unchecked upstream may still
    /// start a request; `None` if no bound is known.
    pub request_lifetime: Option<Duration>,
    /// Whether upstreams recognise repeated idempotency keys themselves.
    pub deduplicates: bool,
    /// Requests that may wait for one upstream.
    pub queue: u32,
    /// Largest request or answer body, in bytes.
    pub max_body: u32,
}

/// Everything that one preset says.
#[data(value)]
pub struct Preset {
    /// Name of the preset.
    pub name: String,
    /// Slots in use at most, over the whole federation.
    pub budget: u32,
    /// Clubs and their shares.
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
