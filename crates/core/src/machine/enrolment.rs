//! Enrolment of listed upstreams in the log, by the control holder.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{ListedUpstream, Machine, Queue};
use crate::fold::State;
use crate::ids::Upstream;
use crate::preset::{Preset, ServiceLimits};
use crate::record::{Author, Body, UpstreamSpec};
use crate::time::Time;

/// Shortest time between two `Enroll` records, so that the first can be read back before
/// the next.
const ENROLMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Limit of upstreams in one record.
const MAX_UPSTREAMS_PER_RECORD: usize = 256;

impl Machine {
    /// Enrolls listed upstreams that are new or have changed, and tells the holder which
    /// ones are about to leave.
    pub(super) fn enroll_upstreams(&mut self, now: Time, queue: &mut Queue) {
        let Some(holder) = &mut self.holder else {
            return;
        };
        holder.set_leaving(leaving_upstreams(&self.state, &self.listed));
        let Some(club) = self.state.club_named(&self.local_member.club) else {
            return;
        };
        let lead_recorded = self.state.club(club).highest_ballot == Some(holder.ballot());
        if !lead_recorded || now.since(self.last_enrolment) < ENROLMENT_INTERVAL {
            return;
        }
        let specs = unenrolled_specs(&self.state, &self.local_member.club, &self.listed);
        if specs.is_empty() {
            return;
        }
        self.last_enrolment = now;
        let author = Author {
            club: self.local_member.club.clone(),
            ballot: holder.ballot(),
        };
        queue.propose(Body::Enroll(author, specs));
    }
}

/// Enrolled upstreams that are listed as leaving.
fn leaving_upstreams(state: &State, listed: &[ListedUpstream]) -> BTreeSet<Upstream> {
    let leaving = listed.iter().filter(|entry| entry.leaving);
    leaving
        .filter_map(|entry| state.upstream_named(&entry.name))
        .collect()
}

/// Listed upstreams of the club's services that are not leaving, and that the log lacks
/// or records differently.
fn unenrolled_specs(state: &State, club: &str, listed: &[ListedUpstream]) -> Vec<UpstreamSpec> {
    let Some(preset) = state.active_preset().map(|active| &active.preset) else {
        return Vec::new();
    };
    let live = listed.iter().filter(|entry| !entry.leaving);
    let specs = live.filter_map(|entry| upstream_spec(preset, club, entry));
    let unknown = specs.filter(|spec| {
        let known = state.upstream_named(&spec.name);
        known.is_none_or(|key| state.upstream(key).spec != *spec)
    });
    unknown.take(MAX_UPSTREAMS_PER_RECORD).collect()
}

/// The entry's specification, with the service's defaults; `None` if the service is not
/// one of the club's.
fn upstream_spec(preset: &Preset, club: &str, entry: &ListedUpstream) -> Option<UpstreamSpec> {
    let limits: &ServiceLimits = preset.service(&entry.service)?;
    (limits.club == club).then(|| UpstreamSpec {
        name: entry.name.clone(),
        service: entry.service.clone(),
        domain: entry.domain.clone(),
        address: entry.address,
        fencing: entry.fencing.unwrap_or(limits.fencing),
        weight: entry.weight.unwrap_or(limits.slots),
    })
}
