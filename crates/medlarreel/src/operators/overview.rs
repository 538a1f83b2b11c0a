//! Builds the operators' status from a snapshot.

use std::collections::BTreeMap;

use medlarreel_core::fold::ClubState;
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use super::status::{self, Health, LeaseState, Status};
use crate::app::{App, Snapshot};
use crate::metrics::fleet;

/// Audit entries included in the status.
const MAX_RECENT_CHANGES: usize = 20;

/// Builds the status of this instance.
pub(super) fn status(app: &App, snapshot: &Snapshot) -> Status {
    let state = &snapshot.state;
    let club = state
        .club_named(&app.home_club)
        .map(|club| state.club(club));
    let mut recent: Vec<_> = state.audit().map(super::queries::audit_entry).collect();
    recent.drain(..recent.len().saturating_sub(MAX_RECENT_CHANGES));
    Status {
        instance: app.me.0,
        club: app.home_club.clone(),
        domain: app.domain.clone(),
        ready: app.is_ready(),
        next: state.next_offset().0,
        log_reachable: snapshot.log_reachable,
        activations: snapshot.table.activation,
        preset: preset(app, snapshot),
        holder: holder(snapshot, club),
        members: members(app, snapshot, club),
        upstreams: upstreams(app, snapshot),
        services: services(app, snapshot),
        ranks: ranks(app, snapshot),
        audit: recent,
    }
}

fn ranks(app: &App, snapshot: &Snapshot) -> Vec<status::RankCounts> {
    let waiting = fleet::waiting_by_rank(snapshot);
    let ranks = app.metrics.counts_by_rank().into_iter().zip(waiting);
    ranks
        .map(|(counts, waiting)| status::RankCounts { waiting, ..counts })
        .collect()
}

fn preset(app: &App, snapshot: &Snapshot) -> Option<status::ActivePreset> {
    let active = snapshot.state.active_preset()?;
    let club = snapshot.state.club_named(&app.home_club);
    Some(status::ActivePreset {
        name: active.preset.name.clone(),
        version: active.version,
        since: active.since.0,
        budget: active.preset.budget,
        club_slots: club.map_or(0, |club| snapshot.state.club_limit(club)),
    })
}

fn holder(snapshot: &Snapshot, club: Option<&ClubState>) -> Option<status::ControlHolder> {
    let instance = snapshot.holder?;
    let ballot = club
        .and_then(|club| club.highest_ballot)
        .filter(|ballot| ballot.instance == instance);
    Some(status::ControlHolder {
        instance: instance.0,
        peers: snapshot
            .table
            .peer_address(instance)
            .map(|peer| peer.to_string())
            .unwrap_or_default(),
        term: ballot.map_or(0, |ballot| ballot.term.0),
        round: ballot.map_or(0, |ballot| ballot.round),
    })
}

fn members(app: &App, snapshot: &Snapshot, club: Option<&ClubState>) -> Vec<status::Member> {
    let members = club.into_iter().flat_map(|club| &club.members);
    let entries = members.map(|member| {
        let reachable = snapshot
            .peer(member.instance)
            .is_some_and(|pool| !pool.recently_failed());
        status::Member {
            instance: member.instance.0,
            domain: member.domain.clone(),
            peers: member.peers.to_string(),
            heard: member.instance == app.me || reachable,
        }
    });
    entries.collect()
}

/// Upstreams of the services of this instance's club.
fn upstreams(app: &App, snapshot: &Snapshot) -> Vec<status::Upstream> {
    let now = app.clock.now();
    let numbered = (0..).map(Upstream).zip(snapshot.state.upstreams());
    let home_upstreams =
        numbered.filter(|(_, entry)| is_home_service(app, snapshot, &entry.spec.service));
    home_upstreams
        .map(|(upstream_id, entry)| {
            let mut upstream = upstream(snapshot, now, upstream_id, &entry.spec);
            if is_ejected(app, snapshot, upstream_id) {
                upstream.health = Health::Ejected;
            }
            upstream
        })
        .collect()
}

/// Whether this instance has ejected the upstream because of its own observations.
fn is_ejected(app: &App, snapshot: &Snapshot, upstream_id: Upstream) -> bool {
    let target = snapshot.table.target(upstream_id);
    let upstreams = target.and_then(|target| app.load_balancer.upstreams(target.service));
    upstreams.is_some_and(|upstreams| upstreams.is_ejected(upstream_id))
}

/// Whether the service belongs to this instance's club.
fn is_home_service(app: &App, snapshot: &Snapshot, service: &str) -> bool {
    snapshot
        .table
        .route(service)
        .is_some_and(|route| route.limits.club == app.home_club)
}

fn upstream(
    snapshot: &Snapshot,
    now: Time,
    upstream_id: Upstream,
    spec: &medlarreel_core::record::UpstreamSpec,
) -> status::Upstream {
    let instance_id = snapshot
        .table
        .target(upstream_id)
        .and_then(|target| target.dispatchers.first());
    let dispatcher = instance_id.and_then(|instance| snapshot.table.peer_address(*instance));
    let lane = snapshot
        .lanes
        .get(&upstream_id)
        .map(|lane| lane.overview(now));
    let held = lane.as_ref().is_some_and(|lane| lane.permit_left.is_some());
    let health = match &lane {
        Some(lane) if lane.recently_failed => Health::Dead,
        _ => Health::Alive,
    };
    let lease = match lane {
        Some(_) if held => LeaseState::Held,
        Some(_) => LeaseState::Lapsed,
        None => LeaseState::Unknown,
    };
    let lane = lane.unwrap_or_default();
    status::Upstream {
        name: spec.name.clone(),
        service: spec.service.clone(),
        domain: spec.domain.clone(),
        address: spec.address.to_string(),
        dispatcher: dispatcher.map(|address| address.to_string()),
        in_flight: lane.busy,
        waiting: lane.waiting,
        allowance: lane.slots,
        health,
        lease,
        lease_left_ms: lane.permit_left.map(|left| left.as_millis() as u64),
    }
}

fn services(app: &App, snapshot: &Snapshot) -> Vec<status::Service> {
    let home_services = snapshot
        .state
        .services()
        .iter()
        .filter(|service| is_home_service(app, snapshot, &service.name));
    let entries = home_services.map(|service| {
        let places = &service.plan.places;
        let mut owners = BTreeMap::new();
        for owner in places.iter().filter_map(|place| place.owner) {
            *owners.entry(owner).or_insert(0) += 1;
        }
        let owned = owners.iter().filter_map(|(owner, shards)| {
            let upstream = snapshot.table.target(*owner)?.name.clone();
            Some(status::ShardCount {
                upstream,
                shards: *shards,
            })
        });
        status::Service {
            name: service.name.clone(),
            shards: places.len() as u32,
            unowned: places.iter().filter(|place| place.owner.is_none()).count() as u32,
            owners: owned.collect(),
        }
    });
    entries.collect()
}
