//! State derived from the control stream.
//!
//! Every instance applies the same records in offset order and so derives the same
//! state. Appending a record does not put it into effect: the fold accepts or
//! rejects it by its expected version or ballot, and remembers the outcome under
//! its proposal id. This one rule covers races between operators, duplicate
//! holders, and appends whose response was lost.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use medlarreel_macros::data;

use crate::code::Code;
use crate::ids::{Ballot, Club, Domain, Instance, Offset, Proposal, Service, Upstream};
use crate::preset::Preset;
use crate::record::{Author, Body, Member, Record, ReleaseTarget, ShardChange, UpstreamSpec};

pub mod audit;
pub mod budget;
mod operator;
mod query;

pub use audit::AuditEntry;

/// Maximum number of proposals whose outcome is remembered.
pub const MAX_OUTCOMES: usize = 4_096;

/// A published version of a preset.
#[data(value)]
pub struct PublishedPreset {
    /// Version, from 1.
    pub version: u32,
    /// Validated form of the text.
    pub preset: Arc<Preset>,
    /// Text as the operator wrote it.
    pub text: String,
}

/// The preset in force.
#[data(value)]
pub struct ActivePreset {
    /// Number of activations so far.
    pub count: u32,
    /// Version of the preset.
    pub version: u32,
    /// Offset of the record that put it in force.
    pub since: Offset,
    /// The preset.
    pub preset: Arc<Preset>,
}

/// State of a club, as recorded in the log.
#[data(value)]
pub struct ClubState {
    /// Name of the club.
    pub name: String,
    /// Offset after the last accepted `Reset`; 0 before the first.
    pub term: Offset,
    /// Whether the club has had no earlier term.
    pub is_first_term: bool,
    /// Highest ballot under which a record was written in this term.
    pub highest_ballot: Option<Ballot>,
    /// Offset of the last record accepted from a holder, or of the last `Reset`.
    pub last_heard: Offset,
    /// Admitted members, in order of admission.
    pub members: Vec<Member>,
    /// Number of membership changes.
    pub version: u32,
    /// Offset of the last membership change.
    pub membership_changed: Offset,
    /// Slots that the club may still be using.
    pub reserved: u32,
}

/// An enrolled upstream.
#[data(value)]
pub struct UpstreamState {
    /// Properties from its last `Enroll` record.
    pub spec: UpstreamSpec,
    /// Service that it belongs to.
    pub service: Service,
    /// Failure domain that it belongs to.
    pub domain: Domain,
    /// Offset of the record that first enrolled it.
    pub since: Offset,
}

/// Owner and standby of a shard, as recorded in the log.
#[data(key)]
#[derive(Default)]
pub struct Place {
    /// Upstream that is to own the shard; `None` before the first plan.
    pub owner: Option<Upstream>,
    /// Upstream that takes over if the owner is lost, even while the log is unavailable.
    pub standby: Option<Upstream>,
}

/// Shard plan of a service.
#[data(value)]
#[derive(Default)]
pub struct Plan {
    /// Number of accepted changes.
    pub version: u32,
    /// Owner and standby of each shard.
    pub places: Vec<Place>,
}

/// Name and plan of a service.
#[data(value)]
pub struct ServiceState {
    /// Name of the service.
    pub name: String,
    /// Shard plan; empty for services that are not keyed.
    pub plan: Plan,
    /// Whether isolated failure domains were ever allowed to keep its keys.
    pub keep_allowed: bool,
}

/// Outcome of a proposal.
#[data(key)]
pub struct ProposalOutcome {
    /// The proposal.
    pub proposal: Proposal,
    /// Offset of its record.
    pub offset: Offset,
    /// Why it was rejected; `None` if it was accepted.
    pub rejected: Option<Code>,
}

/// An operator's confirmation that upstreams are gone.
#[data(value)]
pub struct Release {
    /// Offset of the record.
    pub offset: Offset,
    /// Upstreams that are gone.
    pub released: ReleaseTarget,
}

/// Folded state of the control stream.
#[data(value)]
#[derive(Default)]
pub struct State {
    next_offset: Offset,
    presets: BTreeMap<String, PublishedPreset>,
    active: Option<ActivePreset>,
    clubs: Vec<ClubState>,
    domains: Vec<String>,
    services: Vec<ServiceState>,
    upstreams: Vec<UpstreamState>,
    releases: VecDeque<Release>,
    outcomes: VecDeque<ProposalOutcome>,
    audit: audit::AuditTrail,
}

/// Applying records.
impl State {
    /// Applies the record at `offset`; records at older offsets change nothing.
    ///
    /// # Errors
    ///
    /// Code with which the record is rejected.
    pub fn apply(&mut self, offset: Offset, record: Record) -> Result<(), Code> {
        if offset < self.next_offset {
            return Ok(());
        }
        self.next_offset = offset.next();
        if let Body::Checkpoint(_) = record.body {
            return Ok(());
        }
        // A proposal that was appended twice keeps its first outcome.
        if self.proposal_outcome(record.proposal).is_some() {
            return Err(Code::VersionConflict);
        }
        let outcome = self.apply_body(offset, record.body);
        let rejected = outcome.err();
        self.outcomes.push_back(ProposalOutcome {
            proposal: record.proposal,
            offset,
            rejected,
        });
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        outcome
    }

    /// Skips a record that cannot be decoded. All instances skip the same records.
    pub fn skip_record(&mut self, offset: Offset) {
        self.next_offset = self.next_offset.max(offset.next());
    }

    fn apply_body(&mut self, offset: Offset, body: Body) -> Result<(), Code> {
        match body {
            Body::Publish {
                name,
                expected,
                text,
            } => self.apply_publish(offset, name, expected, text),
            Body::Activate {
                name,
                version,
                expected,
            } => self.apply_activate(offset, &name, version, expected),
            Body::Release(released) => self.apply_release(offset, released),
            Body::Reset {
                club,
                expected,
                voter,
            } => self.apply_reset(offset, &club, expected, voter),
            Body::Lead(author) => self.apply_lead(offset, &author),
            Body::Admit(author, member) => self.apply_admit(offset, &author, member),
            Body::Remove {
                author,
                instance,
                cause,
            } => self.apply_remove(offset, &author, instance, cause),
            Body::Enroll(author, specs) => self.apply_enroll(offset, &author, specs),
            Body::Plan {
                author,
                service,
                expected,
                changes,
                cause,
            } => {
                self.authorize(offset, &author)?;
                self.apply_plan(offset, service, expected, &changes, cause)
            }
            Body::Yield(author, activation) => self.apply_yield(offset, &author, activation),
            Body::Alive(author) => self.authorize(offset, &author).map(|_| ()),
            Body::Checkpoint(_) => Ok(()),
        }
    }

    /// Checks that the author's ballot is the highest of its club so far, and records it.
    fn authorize(&mut self, offset: Offset, author: &Author) -> Result<Club, Code> {
        let key = self.club_named(&author.club).ok_or(Code::UnknownName)?;
        let club = &mut self.clubs[usize::from(key.0)];
        let stale = club
            .highest_ballot
            .is_some_and(|highest| author.ballot < highest);
        if stale || author.ballot.term != club.term {
            return Err(Code::StaleBallot);
        }
        club.highest_ballot = Some(author.ballot);
        club.last_heard = offset;
        Ok(key)
    }

    fn apply_reset(
        &mut self,
        offset: Offset,
        name: &str,
        expected: Offset,
        voter: Member,
    ) -> Result<(), Code> {
        let key = self.intern_club(name);
        self.intern_domain(&voter.domain);
        let club = &mut self.clubs[usize::from(key.0)];
        if club.term != expected {
            return Err(Code::VersionConflict);
        }
        // Terms start at 1; a term of 0 means that the club has none yet.
        club.is_first_term = club.term == Offset(0);
        club.term = offset.next();
        club.highest_ballot = None;
        club.last_heard = offset;
        club.version += 1;
        club.membership_changed = offset;
        let after = voter.instance;
        club.members = vec![voter];
        self.audit
            .record(offset, format!("club {name}"), "reset", expected.0, after.0);
        Ok(())
    }

    fn apply_lead(&mut self, offset: Offset, author: &Author) -> Result<(), Code> {
        let key = self.club_named(&author.club).ok_or(Code::UnknownName)?;
        let before = self
            .club(key)
            .highest_ballot
            .map_or(0, |ballot| ballot.instance.0);
        self.authorize(offset, author)?;
        let after = author.ballot.instance.0;
        self.audit.record(
            offset,
            format!("holder of {}", author.club),
            "elected",
            before,
            after,
        );
        Ok(())
    }

    fn apply_admit(&mut self, offset: Offset, author: &Author, member: Member) -> Result<(), Code> {
        let key = self.authorize(offset, author)?;
        self.intern_domain(&member.domain);
        let club = &mut self.clubs[usize::from(key.0)];
        if club
            .members
            .iter()
            .any(|known| known.instance == member.instance)
        {
            return Err(Code::VersionConflict);
        }
        club.version += 1;
        club.membership_changed = offset;
        let after = format!("{} at {}", member.instance.0, member.peers);
        club.members.push(member);
        self.audit.record(
            offset,
            format!("members of {}", author.club),
            "admitted",
            "",
            after,
        );
        Ok(())
    }

    fn apply_remove(
        &mut self,
        offset: Offset,
        author: &Author,
        instance: Instance,
        cause: String,
    ) -> Result<(), Code> {
        let key = self.authorize(offset, author)?;
        let club = &mut self.clubs[usize::from(key.0)];
        let known = club
            .members
            .iter()
            .position(|member| member.instance == instance);
        let index = known.ok_or(Code::UnknownName)?;
        club.members.remove(index);
        club.version += 1;
        club.membership_changed = offset;
        self.audit.record(
            offset,
            format!("members of {}", author.club),
            cause,
            instance.0,
            "",
        );
        Ok(())
    }

    fn apply_enroll(
        &mut self,
        offset: Offset,
        author: &Author,
        specs: Vec<UpstreamSpec>,
    ) -> Result<(), Code> {
        self.authorize(offset, author)?;
        let unknown = specs
            .iter()
            .any(|spec| self.service_named(&spec.service).is_none());
        if unknown {
            return Err(Code::UnknownName);
        }
        for spec in specs {
            self.enroll_upstream(offset, spec);
        }
        Ok(())
    }

    fn enroll_upstream(&mut self, offset: Offset, spec: UpstreamSpec) {
        let Some(service) = self.service_named(&spec.service) else {
            return;
        };
        let domain = self.intern_domain(&spec.domain);
        let subject = format!("upstream {}", spec.name);
        let address = spec.address;
        let known = self.upstream_named(&spec.name);
        let since = known.map_or(offset, |key| self.upstream(key).since);
        let entry = UpstreamState {
            spec,
            service,
            domain,
            since,
        };
        match known {
            Some(key) => {
                let old = std::mem::replace(&mut self.upstreams[key.0 as usize], entry);
                self.audit
                    .record(offset, subject, "updated", old.spec.address, address);
            }
            None => {
                self.upstreams.push(entry);
                self.audit.record(offset, subject, "enrolled", "", address);
            }
        }
    }

    fn apply_plan(
        &mut self,
        offset: Offset,
        service: Service,
        expected: u32,
        changes: &[ShardChange],
        cause: String,
    ) -> Result<(), Code> {
        let known = self.upstreams.len() as u32;
        let entry = self
            .services
            .get_mut(usize::from(service.0))
            .ok_or(Code::UnknownName)?;
        if entry.plan.version != expected {
            return Err(Code::VersionConflict);
        }
        let places = entry.plan.places.len();
        let valid = |change: &ShardChange| {
            let standby = change.standby.is_none_or(|standby| standby.0 < known);
            usize::from(change.index) < places && change.owner.0 < known && standby
        };
        if !changes.iter().all(valid) {
            return Err(Code::UnknownName);
        }
        for change in changes {
            let place = Place {
                owner: Some(change.owner),
                standby: change.standby,
            };
            entry.plan.places[usize::from(change.index)] = place;
        }
        entry.plan.version += 1;
        let subject = format!("plan of {}", entry.name);
        let after = format!("version {}, {} shards changed", expected + 1, changes.len());
        self.audit
            .record(offset, subject, cause, format!("version {expected}"), after);
        Ok(())
    }

    fn intern_club(&mut self, name: &str) -> Club {
        if let Some(key) = self.club_named(name) {
            return key;
        }
        self.clubs.push(ClubState {
            name: name.to_owned(),
            term: Offset(0),
            is_first_term: true,
            highest_ballot: None,
            last_heard: Offset(0),
            members: Vec::new(),
            version: 0,
            membership_changed: Offset(0),
            reserved: 0,
        });
        Club(self.clubs.len() as u16 - 1)
    }

    fn intern_domain(&mut self, name: &str) -> Domain {
        self.domain_named(name).unwrap_or_else(|| {
            self.domains.push(name.to_owned());
            Domain(self.domains.len() as u16 - 1)
        })
    }
}
