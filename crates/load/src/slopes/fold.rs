//! Cost and memory of the folded state by shards and members.

use std::net::{Ipv4Addr, SocketAddr};

use medlarreel_core::fold::State;
use medlarreel_core::ids::{Ballot, Instance, Offset, Proposal, Service, Upstream};
use medlarreel_core::preset::Fencing;
use medlarreel_core::record::{Author, Body, Member, Record, ShardChange, UpstreamSpec};

use super::table::{Table, slope};
use super::{heap_bytes, measure};

/// Most shards of one service; larger fleets have more services.
pub(super) const SHARDS: usize = 50_000;
pub(super) const CLUB: &str = "kashmir";
const APPLIES: usize = 200;

/// Tables by shards and by members.
pub fn tables() -> Vec<Table> {
    vec![by_shards(), by_members(), by_outcomes()]
}

fn by_shards() -> Table {
    let columns = [
        "shards",
        "plan of 1 ns",
        "slope",
        "plan of 256 ns",
        "slope",
        "state bytes",
        "bytes/shard",
    ];
    let mut table = Table::new("fold::State apply, by shards", &columns);
    let (mut ones, mut manies) = (None, None);
    for shards in [1_000, 10_000, 100_000, 1_000_000] {
        let state = with_shards(shards);
        let one = measure(&state, APPLIES, |state| plan_many(state, 1));
        let many = measure(&state, APPLIES, |state| plan_many(state, 256));
        let bytes = heap_bytes(&state);
        let size = shards as f64;
        table.row(vec![
            shards.to_string(),
            format!("{one:.0}"),
            slope(ones, size, one),
            format!("{many:.0}"),
            slope(manies, size, many),
            format!("{bytes:.0}"),
            format!("{:.1}", bytes / size),
        ]);
        (ones, manies) = (Some((size, one)), Some((size, many)));
    }
    table
}

fn by_members() -> Table {
    let columns = [
        "members",
        "admit ns",
        "slope",
        "alive ns",
        "slope",
        "state bytes",
        "bytes/member",
    ];
    let mut table = Table::new("fold::State apply, by members of one club", &columns);
    let (mut admits, mut alives) = (None, None);
    for members in [10, 100, 1_000, 14_000] {
        let state = with_members(members);
        let next = members as u64 + 1;
        let admit = measure(&state, APPLIES, |state| {
            (next..next + APPLIES as u64).for_each(|key| apply(state, admission(key)));
        });
        let alive = measure(&state, APPLIES, |state| {
            (0..APPLIES).for_each(|_| apply(state, Body::Alive(author())));
        });
        let bytes = heap_bytes(&state);
        let size = members as f64;
        table.row(vec![
            members.to_string(),
            format!("{admit:.0}"),
            slope(admits, size, admit),
            format!("{alive:.0}"),
            slope(alives, size, alive),
            format!("{bytes:.0}"),
            format!("{:.0}", bytes / size),
        ]);
        (admits, alives) = (Some((size, admit)), Some((size, alive)));
    }
    table
}

fn by_outcomes() -> Table {
    let columns = ["records", "alive ns", "slope", "state bytes"];
    let mut table = Table::new("fold::State apply, by records applied before", &columns);
    let mut last = None;
    for records in [16, 256, 4_096, 65_536] {
        let mut state = with_members(10);
        (0..records).for_each(|_| apply(&mut state, Body::Alive(author())));
        let alive = measure(&state, APPLIES, |state| {
            (0..APPLIES).for_each(|_| apply(state, Body::Alive(author())));
        });
        let size = f64::from(records);
        table.row(vec![
            records.to_string(),
            format!("{alive:.0}"),
            slope(last, size, alive),
            format!("{:.0}", heap_bytes(&state)),
        ]);
        last = Some((size, alive));
    }
    table
}

/// Applies a record that must be accepted.
pub(super) fn apply(state: &mut State, body: Body) {
    let offset = state.next_offset();
    let proposal = Proposal(offset.0);
    let outcome = state.apply(offset, Record { proposal, body });
    assert_eq!(outcome, Ok(()), "the benchmark's records are valid");
}

pub(super) fn member(key: u64) -> Member {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000));
    Member {
        instance: Instance(key),
        club: CLUB.to_owned(),
        domain: format!("domain-{}", key % 3),
        peers: address,
    }
}

pub(super) fn author() -> Author {
    let ballot = Ballot {
        term: Offset(1),
        round: 1,
        instance: Instance(1),
    };
    Author {
        club: CLUB.to_owned(),
        ballot,
    }
}

pub(super) fn server(key: u32, service: &str) -> UpstreamSpec {
    UpstreamSpec {
        name: format!("{service}-{key}"),
        service: service.to_owned(),
        domain: format!("domain-{}", key % 3),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000)),
        fencing: Fencing::Checked,
        weight: 6,
    }
}

fn admission(key: u64) -> Body {
    Body::Admit(author(), member(key))
}

fn lead(state: &mut State) {
    let reset = Body::Reset {
        club: CLUB.to_owned(),
        expected: Offset(0),
        voter: member(1),
    };
    apply(state, reset);
    apply(state, Body::Lead(author()));
}

fn with_members(members: usize) -> State {
    let mut state = State::default();
    lead(&mut state);
    (2..=members as u64).for_each(|key| apply(&mut state, admission(key)));
    state
}

/// State with services of up to `SHARDS` shards and two upstreams.
///
/// The services are written into the serialized form, because the fold creates
/// them only from presets, whose format is not this benchmark's subject.
pub(super) fn with_shards(shards: usize) -> State {
    let place = r#"{"owner":null,"standby":null}"#;
    let service = |index: usize| {
        let count = SHARDS.min(shards - index * SHARDS);
        let places = vec![place; count].join(",");
        format!(r#"{{"name":"s{index}","plan":{{"version":0,"places":[{places}]}}}}"#)
    };
    let services: Vec<String> = (0..shards.div_ceil(SHARDS)).map(service).collect();
    let empty = serde_json::to_string(&State::default()).expect("state is serializable");
    let services = format!(r#""services":[{}]"#, services.join(","));
    let text = empty.replace(r#""services":[]"#, &services);
    let mut state: State = serde_json::from_str(&text).expect("state is deserializable");
    lead(&mut state);
    let servers = (0..2).map(|key| server(key, "s0")).collect();
    apply(&mut state, Body::Enroll(author(), servers));
    state
}

pub(super) fn plan(expected: u32, count: u16) -> Body {
    let change = |index| ShardChange {
        index,
        owner: Upstream(0),
        standby: Some(Upstream(1)),
    };
    Body::Plan {
        author: author(),
        service: Service(0),
        expected,
        changes: (0..count).map(change).collect(),
        cause: "load 1.31 over 1.15".to_owned(),
    }
}

fn plan_many(state: &mut State, count: u16) {
    for expected in 0..APPLIES as u32 {
        apply(state, plan(expected, count));
    }
}
