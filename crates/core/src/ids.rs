//! Small `Copy` identifiers for everything that the state machines refer to.
//!
//! Outside this crate, clubs, failure domains, services and upstreams are
//! identified by name. `fold::State` assigns each name a dense key in log order,
//! so a key means the same thing at every instance.

use std::fmt;
use std::str::FromStr;

use medlarreel_macros::data;

/// One run of an instance's process, with an identity drawn at random at every start.
#[data(key)]
pub struct Instance(pub u64);

/// Upstream, keyed in the order of its enrolment in the log.
#[data(key)]
pub struct Upstream(pub u32);

/// Service, keyed in the order of its first activation in the log.
#[data(key)]
pub struct Service(pub u16);

/// Club, a group of instances under one control holder. Keyed in the order of its first
/// activation or `Reset` in the log.
#[data(key)]
pub struct Club(pub u16);

/// Failure domain, keyed in the order of its first mention in the log.
#[data(key)]
pub struct Domain(pub u16);

/// Position of a record in the log.
#[data(key)]
#[derive(Default)]
pub struct Offset(pub u64);

/// Identity of a proposal, drawn at random or hashed by its author.
#[data(key)]
pub struct Proposal(pub u64);

/// Part of a keyed service's key space that has at most one owner at a time.
#[data(key)]
pub struct Shard {
    /// Service that the keys belong to.
    pub service: Service,
    /// Position among the service's shards, from 0.
    pub index: u16,
}

/// Right to act as a club's control holder, ordered by term, round, instance.
#[data(key)]
pub struct Ballot {
    /// Offset after the club's last `Reset` record.
    pub term: Offset,
    /// Election round within the term.
    pub round: u32,
    /// Instance that is the candidate.
    pub instance: Instance,
}

/// Version of a holder's order to an upstream.
#[data(key)]
pub struct Version {
    /// Ballot under which the order was made.
    pub ballot: Ballot,
    /// Counter within the ballot.
    pub count: u64,
}

/// Fencing epoch of a shard; increases at each change of owner.
#[data(key)]
pub struct Epoch {
    /// Term of the holder that assigned the shard.
    pub term: Offset,
    /// Round of that holder.
    pub round: u32,
    /// Counter within the round.
    pub count: u64,
}

impl Offset {
    /// Offset of the record after this one.
    pub fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.term.0, self.round, self.count)
    }
}

/// Error for text that is not an epoch of the form `term.round.count`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseEpochError;

impl FromStr for Epoch {
    type Err = ParseEpochError;

    fn from_str(text: &str) -> Result<Self, ParseEpochError> {
        let mut parts = text.split('.');
        let term = parse_part(parts.next())?;
        let round = parse_part(parts.next())?;
        let count = parse_part(parts.next())?;
        if parts.next().is_some() {
            return Err(ParseEpochError);
        }
        Ok(Epoch {
            term: Offset(term),
            round,
            count,
        })
    }
}

fn parse_part<T: FromStr>(part: Option<&str>) -> Result<T, ParseEpochError> {
    part.and_then(|text| text.parse().ok())
        .ok_or(ParseEpochError)
}
