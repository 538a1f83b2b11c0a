//! Cost of health evaluation and upstream selection by the number of upstreams.

use medlarreel_core::health::{Candidate, Observation, Thresholds, UpstreamGroup};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use super::table::{Table, slope};
use super::{heap_bytes, measure};

const OPERATIONS: u64 = 1_000;

/// Cost of recording observations, choosing an upstream and reviewing all of them.
pub fn tables() -> Vec<Table> {
    let columns = [
        "upstreams",
        "observe ns",
        "choose ns",
        "slope",
        "review ns",
        "slope",
        "bytes/upstream",
    ];
    let mut table = Table::new("health, by upstreams of a service", &columns);
    let (mut previous_choose, mut previous_review) = (None, None);
    for upstreams in [2, 25, 250, 2_500] {
        let group = group(upstreams);
        let candidates: Vec<Candidate> = (0..upstreams).map(candidate).collect();
        let operations = OPERATIONS as usize;
        let observe_ns = measure(&group, operations, |group| {
            for now in 0..OPERATIONS {
                let upstream = Upstream(now as u32 % upstreams);
                group.observe(Time(now), upstream, Observation::Sent);
            }
        });
        let choose_ns = measure(&group, operations, |group| {
            let chosen = (0..OPERATIONS).map(|draw| group.choose(Time(0), &candidates, draw));
            chosen.flatten().map(|key| u64::from(key.0)).sum::<u64>()
        });
        let review_ns = measure(&group, 10, |group| {
            (0..10)
                .map(|now| group.review(Time(now)).len())
                .sum::<usize>()
        });
        let size = f64::from(upstreams);
        table.add_row(vec![
            upstreams.to_string(),
            format!("{observe_ns:.0}"),
            format!("{choose_ns:.0}"),
            slope(previous_choose, size, choose_ns),
            format!("{review_ns:.0}"),
            slope(previous_review, size, review_ns),
            format!("{:.0}", heap_bytes(&group) / size),
        ]);
        (previous_choose, previous_review) = (Some((size, choose_ns)), Some((size, review_ns)));
    }
    vec![table]
}

fn group(upstreams: u32) -> UpstreamGroup {
    let mut group = UpstreamGroup::new(Thresholds::default());
    for key in 0..upstreams {
        group.add(Time(0), Upstream(key), false);
        for _ in 0..16 {
            let latency = std::time::Duration::from_micros(5_000 + u64::from(key));
            group.observe(Time(0), Upstream(key), Observation::Answered(latency));
        }
    }
    group
}

fn candidate(key: u32) -> Candidate {
    Candidate {
        upstream: Upstream(key),
        local_load: 3 + key % 5,
        reported_load: None,
    }
}
