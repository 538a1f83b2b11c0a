//! Cost of building the routing table and of looking up a key.

use std::hint::black_box;

use medlarreel_core::route::RoutingTable;

use super::fleet::Fleet;
use super::table::{Table, slope};
use super::{heap_bytes, measure};

const LOOKUPS: u64 = 100_000;

/// Numbers of members, upstreams and shards, up to one club of the expected size.
const FLEETS: [(u64, u32, usize); 6] = [
    (12, 25, 1_024),
    (100, 100, 4_000),
    (1_000, 1_000, 40_000),
    (1_000, 1_000, 400_000),
    (4_000, 4_000, 160_000),
    (14_000, 14_000, 560_000),
];

/// Build time, memory and lookup time by the size of the fleet.
pub fn tables() -> Vec<Table> {
    let columns = [
        "members",
        "upstreams",
        "shards",
        "RoutingTable::new us",
        "slope",
        "table bytes",
        "lookup ns",
        "allocations",
    ];
    let title = "route::RoutingTable by members, upstreams and shards; slope by upstreams";
    let mut table = Table::new(title, &columns);
    let mut previous = None;
    for (members, upstreams, shards) in FLEETS {
        let fleet = Fleet {
            members,
            upstreams,
            shards,
            domains: if members < 100 { 3 } else { 31 },
        };
        let state = fleet.state();
        let begin = std::time::Instant::now();
        let routes = RoutingTable::new(&state);
        let build_us = begin.elapsed().as_nanos() as f64 / 1e3;
        let name = format!("s{}", fleet.service_count() - 1);
        let lookup_ns = measure(&(), LOOKUPS as usize, |()| {
            (0..LOOKUPS)
                .filter(|key| has_peer_address(&routes, &name, *key))
                .count()
        });
        let allocations = allocation_counter::measure(|| {
            black_box(
                (0..LOOKUPS)
                    .filter(|key| has_peer_address(&routes, &name, *key))
                    .count(),
            );
        });
        let size = f64::from(upstreams);
        let comparable = previous.filter(|&(previous_size, _)| previous_size != size);
        table.add_row(vec![
            members.to_string(),
            upstreams.to_string(),
            shards.to_string(),
            format!("{build_us:.0}"),
            slope(comparable, size, build_us),
            format!("{:.0}", heap_bytes(&routes)),
            format!("{lookup_ns:.0}"),
            allocations.count_total.to_string(),
        ]);
        previous = Some((size, build_us));
    }
    vec![table]
}

/// Whether the table has a peer address for the key.
///
/// Resolves the key to its shard, the shard to its owner and standby, and each of
/// these to the addresses of its dispatchers.
fn has_peer_address(routes: &RoutingTable, service: &str, key: u64) -> bool {
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
