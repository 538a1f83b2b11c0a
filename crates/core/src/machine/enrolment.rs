//! Enrolment of listed upstreams in the log by the control holder.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{ListedUpstream, Machine, Queue};
use crate::fold::State;
use crate::ids::Upstream;
use crate::preset::{Preset, ServiceLimits};
use crate::record::{Author, Body, UpstreamSpec};
use crate::time::Time;

/// Time between two records; gives the first one time to be read back.
const ENROLL_EVERY: Duration = Duration::from_secs(1);

/// Upstreams named by one record at most.
const BATCH: usize = 256;

impl Machine {
    /// Enrols listed upstreams that are new or have changed, and tells the
    /// holder which ones are about to leave.
    pub(super) fn enrol(&mut self, now: Time, queue: &mut Queue) {
        let Some(duties) = &mut self.holder else {
            return;
        };
        duties.set_leaving(leaving(&self.state, &self.listed));
        let Some(club) = self.state.club_named(&self.me.club) else {
            return;
        };
        let led = self.state.club(club).highest_ballot == Some(duties.ballot());
        if !led || now.since(self.enrolled) < ENROLL_EVERY {
            return;
        }
        let servers = news(&self.state, &self.me.club, &self.listed);
        if servers.is_empty() {
            return;
        }
        self.enrolled = now;
        let author = Author {
            club: self.me.club.clone(),
            ballot: duties.ballot(),
        };
        queue.propose(Body::Enroll(author, servers));
    }
}

fn leaving(state: &State, listed: &[ListedUpstream]) -> BTreeSet<Upstream> {
    let leaving = listed.iter().filter(|entry| entry.leaving);
    leaving
        .filter_map(|entry| state.upstream_named(&entry.name))
        .collect()
}

/// Live upstreams of the club's services that the log does not know as listed.
fn news(state: &State, club: &str, listed: &[ListedUpstream]) -> Vec<UpstreamSpec> {
    let Some(preset) = state.active().map(|active| &active.preset) else {
        return Vec::new();
    };
    let live = listed.iter().filter(|entry| !entry.leaving);
    let servers = live.filter_map(|entry| server(preset, club, entry));
    let unknown = servers.filter(|server| {
        let known = state.upstream_named(&server.name);
        known.is_none_or(|key| state.upstream(key).server != *server)
    });
    unknown.take(BATCH).collect()
}

fn server(preset: &Preset, club: &str, entry: &ListedUpstream) -> Option<UpstreamSpec> {
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
