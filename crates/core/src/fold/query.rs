//! Queries of the folded state.

use std::collections::BTreeMap;

use super::{
    ActivePreset, AuditEntry, ClubState, Place, ProposalOutcome, PublishedPreset, Release,
    ServiceState, State, UpstreamState,
};
use crate::ids::{Club, Domain, Offset, Proposal, Service, Shard, Upstream};

impl State {
    /// Offset of the next record to be applied.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Published presets, by name.
    pub fn presets(&self) -> &BTreeMap<String, PublishedPreset> {
        &self.presets
    }

    /// Preset in force, if one was ever activated.
    pub fn active_preset(&self) -> Option<&ActivePreset> {
        self.active.as_ref()
    }

    /// All clubs, indexed by `Club`.
    pub fn clubs(&self) -> &[ClubState] {
        &self.clubs
    }

    /// State of a club.
    pub fn club(&self, club: Club) -> &ClubState {
        &self.clubs[usize::from(club.0)]
    }

    /// Key of the named club.
    pub fn club_named(&self, name: &str) -> Option<Club> {
        let index = self.clubs.iter().position(|club| club.name == name)?;
        Some(Club(index as u16))
    }

    /// All services, indexed by `Service`.
    pub fn services(&self) -> &[ServiceState] {
        &self.services
    }

    /// State of a service.
    pub fn service(&self, service: Service) -> &ServiceState {
        &self.services[usize::from(service.0)]
    }

    /// Key of the named service.
    pub fn service_named(&self, name: &str) -> Option<Service> {
        let index = self
            .services
            .iter()
            .position(|service| service.name == name)?;
        Some(Service(index as u16))
    }

    /// All upstreams, indexed by `Upstream`.
    pub fn upstreams(&self) -> &[UpstreamState] {
        &self.upstreams
    }

    /// State of an upstream.
    pub fn upstream(&self, upstream: Upstream) -> &UpstreamState {
        &self.upstreams[upstream.0 as usize]
    }

    /// Key of the named upstream.
    pub fn upstream_named(&self, name: &str) -> Option<Upstream> {
        let index = self
            .upstreams
            .iter()
            .position(|entry| entry.spec.name == name)?;
        Some(Upstream(index as u32))
    }

    /// Keys of a service's upstreams.
    pub fn upstreams_of(&self, service: Service) -> impl Iterator<Item = Upstream> + '_ {
        let keys = (0..).map(Upstream).zip(&self.upstreams);
        keys.filter(move |(_, entry)| entry.service == service)
            .map(|(key, _)| key)
    }

    /// Name of a failure domain.
    pub fn domain(&self, domain: Domain) -> &str {
        &self.domains[usize::from(domain.0)]
    }

    /// Key of the named failure domain.
    pub fn domain_named(&self, name: &str) -> Option<Domain> {
        let index = self.domains.iter().position(|domain| domain == name)?;
        Some(Domain(index as u16))
    }

    /// Latest releases by operators, oldest first; older ones are dropped.
    pub fn operator_releases(&self) -> impl Iterator<Item = &Release> {
        self.releases.iter()
    }

    /// Outcome of a proposal, if it is among the latest `MAX_OUTCOMES`.
    pub fn proposal_outcome(&self, proposal: Proposal) -> Option<ProposalOutcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|entry| entry.proposal == proposal)
            .copied()
    }

    /// Accepted changes, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &AuditEntry> {
        self.audit.iter()
    }

    /// Owner and standby of a shard; neither if the service has no such shard.
    pub fn place(&self, shard: Shard) -> Place {
        let plan = &self.service(shard.service).plan;
        plan.places
            .get(usize::from(shard.index))
            .copied()
            .unwrap_or_default()
    }
}
