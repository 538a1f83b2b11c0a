//! Folded state and preset of the small club that the tests use.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use medlarreel_core::fold::{
    ActivePreset, ClubState, Place, Plan, PublishedPreset, Release, UpstreamState,
};
use medlarreel_core::fold::{AuditEntry, ProposalOutcome, ServiceState, State};
use medlarreel_core::ids::{Domain, Instance, Offset, Service};
use medlarreel_core::preset::{ClubShare, Fencing, Isolation, Preset, RankLimits, ServiceLimits};
use medlarreel_core::record::{Member, UpstreamSpec};

pub const SHARDS: u16 = 36;
pub const SLOTS: u16 = 6;
pub const CLUB: &str = "kashmir";

/// Parameters of a test's club.
#[derive(Clone, Copy, Debug)]
pub struct ClubSetup {
    pub fencing: Fencing,
    pub isolation: Isolation,
    pub lifetime: Option<Duration>,
    pub budget: u32,
    pub upstreams: u32,
    pub instances: u64,
}

pub const DEFAULT_SETUP: ClubSetup = ClubSetup {
    fencing: Fencing::Checked,
    isolation: Isolation::Lapse,
    lifetime: None,
    budget: 30,
    upstreams: 6,
    instances: 6,
};

pub fn member(id: u64, domain: u64) -> Member {
    Member {
        instance: Instance(id),
        club: CLUB.into(),
        domain: format!("d{domain}"),
        peers: "127.0.0.1:7000".parse().unwrap(),
    }
}

fn service(name: &str, keyed: bool, setup: ClubSetup) -> ServiceLimits {
    ServiceLimits {
        name: name.into(),
        club: CLUB.into(),
        keyed,
        shards: if keyed { SHARDS } else { 1 },
        slots: SLOTS,
        connections: 100,
        fencing: setup.fencing,
        isolation: setup.isolation,
        request_lifetime: setup.lifetime,
        deduplicates: false,
        queue: 100,
        max_body: 1_000,
    }
}

fn preset(setup: ClubSetup) -> Preset {
    let limits = RankLimits {
        deadline: Duration::from_secs(1),
        floor: 0,
    };
    let share = ClubShare {
        name: CLUB.into(),
        share: 100,
        weight: 1,
    };
    Preset {
        name: "ordinary".into(),
        budget: setup.budget,
        clubs: vec![share],
        services: vec![
            service("intake", true, setup),
            service("workshop", false, setup),
        ],
        ranks: [limits.clone(), limits.clone(), limits],
        retry: 10,
    }
}

/// Upstream by index: those of `intake`, then one of `workshop`, spread over three
/// failure domains.
fn upstream_state(index: u32, setup: ClubSetup) -> UpstreamState {
    let keyed = index < setup.upstreams;
    let (service, name) = if keyed {
        (0, "intake")
    } else {
        (1, "workshop")
    };
    let domain = index % 3;
    UpstreamState {
        spec: UpstreamSpec {
            name: format!("{name}-{index}"),
            service: name.into(),
            domain: format!("d{domain}"),
            address: "127.0.0.1:8000".parse().unwrap(),
            fencing: setup.fencing,
            weight: SLOTS,
        },
        service: Service(service),
        domain: Domain(domain as u16),
        since: Offset(0),
    }
}

/// Fields of a `State`, in the order of its serialized form.
type StateFields = (
    Offset,
    BTreeMap<String, PublishedPreset>,
    Option<ActivePreset>,
    Vec<ClubState>,
    Vec<String>,
    Vec<ServiceState>,
    Vec<UpstreamState>,
    VecDeque<Release>,
    VecDeque<ProposalOutcome>,
    VecDeque<AuditEntry>,
);

/// State after the records that set up the club.
///
/// It is built from its serialized form, so that the tests need neither the text of a
/// preset nor its parser.
pub fn state(setup: ClubSetup) -> State {
    let members = (0..setup.instances).map(|id| member(id + 1, id % 3));
    let club = ClubState {
        name: CLUB.into(),
        // Every club with members has had a `Reset`; this club has had only one.
        term: Offset(1),
        is_first_term: true,
        highest_ballot: None,
        last_heard: Offset(0),
        members: members.collect(),
        version: 1,
        membership_changed: Offset(0),
        reserved: setup.budget,
    };
    let active = ActivePreset {
        count: 1,
        version: 1,
        since: Offset(1),
        preset: Arc::new(preset(setup)),
    };
    let places = vec![Place::default(); usize::from(SHARDS)];
    let services = [("intake", places), ("workshop", Vec::new())];
    let services = services.map(|(name, places)| ServiceState {
        name: name.into(),
        plan: Plan { version: 0, places },
        keep_allowed: setup.isolation == Isolation::Keep,
    });
    let parts: StateFields = (
        Offset(10),
        BTreeMap::new(),
        Some(active),
        vec![club],
        vec!["d0".into(), "d1".into(), "d2".into()],
        services.into(),
        (0..=setup.upstreams)
            .map(|index| upstream_state(index, setup))
            .collect(),
        VecDeque::new(),
        VecDeque::new(),
        VecDeque::new(),
    );
    let bytes = postcard::to_stdvec(&parts).unwrap();
    postcard::from_bytes(&bytes).unwrap()
}

/// State with another budget, as after an activation.
pub fn with_budget(state: &State, budget: u32) -> State {
    let bytes = postcard::to_stdvec(state).unwrap();
    let mut parts: StateFields = postcard::from_bytes(&bytes).unwrap();
    let active = parts.2.as_mut().unwrap();
    Arc::make_mut(&mut active.preset).budget = budget;
    active.count += 1;
    let reserved = &mut parts.3[0].reserved;
    *reserved = (*reserved).max(budget);
    postcard::from_bytes(&postcard::to_stdvec(&parts).unwrap()).unwrap()
}
