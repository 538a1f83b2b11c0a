//! Cost of applying records to the folded state, and its memory.

use std::net::{Ipv4Addr, SocketAddr};

use medlarreel_core::fold::State;
use medlarreel_core::ids::{Ballot, Instance, Offset, Proposal, Service, Upstream};
use medlarreel_core::preset::Fencing;
use medlarreel_core::record::{Author, Body, Member, Record, ShardChange, UpstreamSpec};

use super::table::{Table, slope};
use super::{heap_bytes, measure};

/// Maximum number of shards of one service, within the 16 bits of a shard's index;
/// larger fleets have more services.
pub(super) const MAX_SHARDS_PER_SERVICE: usize = 50_000;
pub(super) const CLUB_NAME: &str = "kashmir";
/// Number of records applied in one measurement.
const APPLIED_RECORDS: usize = 200;

/// Costs by the number of shards, of members and of records applied before.
pub fn tables() -> Vec<Table> {
    vec![by_shards(), by_members(), by_applied_records()]
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
    let (mut previous_one, mut previous_many) = (None, None);
    for shards in [1_000, 10_000, 100_000, 1_000_000] {
        let state = state_with_shards(shards);
        let one_ns = measure(&state, APPLIED_RECORDS, |state| apply_plans(state, 1));
        let many_ns = measure(&state, APPLIED_RECORDS, |state| apply_plans(state, 256));
        let bytes = heap_bytes(&state);
        let size = shards as f64;
        table.add_row(vec![
            shards.to_string(),
            format!("{one_ns:.0}"),
            slope(previous_one, size, one_ns),
            format!("{many_ns:.0}"),
            slope(previous_many, size, many_ns),
            format!("{bytes:.0}"),
            format!("{:.1}", bytes / size),
        ]);
        (previous_one, previous_many) = (Some((size, one_ns)), Some((size, many_ns)));
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
    let (mut previous_admit, mut previous_alive) = (None, None);
    for members in [10, 100, 1_000, 14_000] {
        let state = state_with_members(members);
        let next_key = members as u64 + 1;
        let admit_ns = measure(&state, APPLIED_RECORDS, |state| {
            (next_key..next_key + APPLIED_RECORDS as u64)
                .for_each(|key| apply(state, admit_body(key)));
        });
        let alive_ns = measure(&state, APPLIED_RECORDS, |state| {
            (0..APPLIED_RECORDS).for_each(|_| apply(state, Body::Alive(author())));
        });
        let bytes = heap_bytes(&state);
        let size = members as f64;
        table.add_row(vec![
            members.to_string(),
            format!("{admit_ns:.0}"),
            slope(previous_admit, size, admit_ns),
            format!("{alive_ns:.0}"),
            slope(previous_alive, size, alive_ns),
            format!("{bytes:.0}"),
            format!("{:.0}", bytes / size),
        ]);
        (previous_admit, previous_alive) = (Some((size, admit_ns)), Some((size, alive_ns)));
    }
    table
}

fn by_applied_records() -> Table {
    let columns = ["records", "alive ns", "slope", "state bytes"];
    let mut table = Table::new("fold::State apply, by records applied before", &columns);
    let mut previous = None;
    for records in [16, 256, 4_096, 65_536] {
        let mut state = state_with_members(10);
        (0..records).for_each(|_| apply(&mut state, Body::Alive(author())));
        let alive_ns = measure(&state, APPLIED_RECORDS, |state| {
            (0..APPLIED_RECORDS).for_each(|_| apply(state, Body::Alive(author())));
        });
        let size = f64::from(records);
        table.add_row(vec![
            records.to_string(),
            format!("{alive_ns:.0}"),
            slope(previous, size, alive_ns),
            format!("{:.0}", heap_bytes(&state)),
        ]);
        previous = Some((size, alive_ns));
    }
    table
}

/// Applies a record; panics if the state rejects it.
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
        club: CLUB_NAME.to_owned(),
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
        club: CLUB_NAME.to_owned(),
        ballot,
    }
}

pub(super) fn upstream_spec(key: u32, service: &str) -> UpstreamSpec {
    UpstreamSpec {
        name: format!("{service}-{key}"),
        service: service.to_owned(),
        domain: format!("domain-{}", key % 3),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000)),
        fencing: Fencing::Checked,
        weight: 6,
    }
}

fn admit_body(key: u64) -> Body {
    Body::Admit(author(), member(key))
}

/// Resets the club and makes the author its control holder.
fn start_first_term(state: &mut State) {
    let reset = Body::Reset {
        club: CLUB_NAME.to_owned(),
        expected: Offset(0),
        voter: member(1),
    };
    apply(state, reset);
    apply(state, Body::Lead(author()));
}

fn state_with_members(members: usize) -> State {
    let mut state = State::default();
    start_first_term(&mut state);
    (2..=members as u64).for_each(|key| apply(&mut state, admit_body(key)));
    state
}

/// State with services of up to `MAX_SHARDS_PER_SERVICE` shards and two upstreams.
///
/// The services are inserted into the serialized state, because the fold creates
/// services only from presets, and this benchmark does not measure presets.
pub(super) fn state_with_shards(shards: usize) -> State {
    let place = r#"{"owner":null,"standby":null}"#;
    let service = |index: usize| {
        let count = MAX_SHARDS_PER_SERVICE.min(shards - index * MAX_SHARDS_PER_SERVICE);
        let places = vec![place; count].join(",");
        format!(r#"{{"name":"s{index}","plan":{{"version":0,"places":[{places}]}}}}"#)
    };
    let services: Vec<String> = (0..shards.div_ceil(MAX_SHARDS_PER_SERVICE))
        .map(service)
        .collect();
    let empty = serde_json::to_string(&State::default()).expect("state is serializable");
    let services = format!(r#""services":[{}]"#, services.join(","));
    let text = empty.replace(r#""services":[]"#, &services);
    let mut state: State = serde_json::from_str(&text).expect("state is deserializable");
    start_first_term(&mut state);
    let upstreams = (0..2).map(|key| upstream_spec(key, "s0")).collect();
    apply(&mut state, Body::Enroll(author(), upstreams));
    state
}

/// `Plan` record that changes the first `count` shards of the first service.
pub(super) fn plan_body(expected: u32, count: u16) -> Body {
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

fn apply_plans(state: &mut State, count: u16) {
    for expected in 0..APPLIED_RECORDS as u32 {
        apply(state, plan_body(expected, count));
    }
}
