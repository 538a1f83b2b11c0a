//! Cost of judging and choosing upstreams by their number.

use medlarreel_core::health::{Candidate, Observation, Thresholds, UpstreamGroup};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use super::table::{Table, slope};
use super::{heap_bytes, measure};

const OPERATIONS: u64 = 1_000;

/// Cost of observe, choose and review at several sizes.
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
    let (mut chooses, mut reviews) = (None, None);
    for upstreams in [2, 25, 250, 2_500] {
        let group = group(upstreams);
        let candidates: Vec<Candidate> = (0..upstreams).map(candidate).collect();
        let count = OPERATIONS as usize;
        let observe = measure(&group, count, |group| {
            for now in 0..OPERATIONS {
                let upstream = Upstream(now as u32 % upstreams);
                group.observe(Time(now), upstream, Observation::Sent);
            }
        });
        let choose = measure(&group, count, |group| {
            let chosen = (0..OPERATIONS).map(|draw| group.choose(Time(0), &candidates, draw));
            chosen.flatten().map(|key| u64::from(key.0)).sum::<u64>()
        });
        let review = measure(&group, 10, |group| {
            (0..10)
                .map(|now| group.review(Time(now)).len())
                .sum::<usize>()
        });
        let size = f64::from(upstreams);
        table.row(vec![
            upstreams.to_string(),
            format!("{observe:.0}"),
            format!("{choose:.0}"),
            slope(chooses, size, choose),
            format!("{review:.0}"),
            slope(reviews, size, review),
            format!("{:.0}", heap_bytes(&group) / size),
        ]);
        (chooses, reviews) = (Some((size, choose)), Some((size, review)));
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
