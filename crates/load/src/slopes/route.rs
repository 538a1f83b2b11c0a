//! Cost of the routing table and of a lookup.

use std::hint::black_box;

use medlarreel_core::route::RoutingTable as Routes;

use super::fleet::Fleet;
use super::table::{Table, slope};
use super::{heap_bytes, measure};

const LOOKUPS: u64 = 100_000;

/// Fleets from today's size to one club of the expected size.
const FLEETS: [(u64, u32, usize); 6] = [
    (12, 25, 1_024),
    (100, 100, 4_000),
    (1_000, 1_000, 40_000),
    (1_000, 1_000, 400_000),
    (4_000, 4_000, 160_000),
    (14_000, 14_000, 560_000),
];

/// Table by fleet: construction, memory and lookup.
pub fn tables() -> Vec<Table> {
    let columns = [
        "members",
        "upstreams",
        "shards",
        "Table::new us",
        "slope",
        "table bytes",
        "lookup ns",
        "allocations",
    ];
    let title = "route::Table by members, upstreams and shards; slope by upstreams";
    let mut table = Table::new(title, &columns);
    let mut last = None;
    for (members, upstreams, shards) in FLEETS {
        let fleet = Fleet {
            members,
            upstreams,
            shards,
            domains: if members < 100 { 3 } else { 31 },
        };
        let state = fleet.state();
        let begin = std::time::Instant::now();
        let routes = Routes::new(&state);
        let build = begin.elapsed().as_nanos() as f64 / 1e3;
        let name = format!("s{}", fleet.services() - 1);
        let lookup = measure(&(), LOOKUPS as usize, |()| {
            (0..LOOKUPS)
                .filter(|key| find(&routes, &name, *key))
                .count()
        });
        let info = allocation_counter::measure(|| {
            black_box(
                (0..LOOKUPS)
                    .filter(|key| find(&routes, &name, *key))
                    .count(),
            );
        });
        let size = f64::from(upstreams);
        let grown = last.filter(|&(before, _)| before != size);
        table.row(vec![
            members.to_string(),
            upstreams.to_string(),
            shards.to_string(),
            format!("{build:.0}"),
            slope(grown, size, build),
            format!("{:.0}", heap_bytes(&routes)),
            format!("{lookup:.0}"),
            info.count_total.to_string(),
        ]);
        last = Some((size, build));
    }
    vec![table]
}

/// Key to shard, shard to owner and standby, each to its dispatchers' addresses.
fn find(routes: &Routes, service: &str, key: u64) -> bool {
    let key = key.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_le_bytes();
    let Some(route) = routes.route(service) else {
        return false;
    };
    let place = route.place(route.shard(&key));
    let candidates = [place.owner, place.standby].into_iter().flatten();
    let targets = candidates.filter_map(|upstream| routes.target(upstream));
    let dispatchers = targets.flat_map(|target| &target.dispatchers);
    let peers = dispatchers.filter_map(|&instance| routes.peer_address(instance));
    black_box(peers.count()) > 0
}
