//! Tests of the division of upstreams and of their connections among instances.

use std::collections::HashSet;

use medlarreel_core::entry::connection_share::{max_idle, share};
use medlarreel_core::entry::subset::{MIN_SIZE, Party, preferred};

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|index| format!("{prefix}{index}")).collect()
}

/// Parties in failure domains `a` to `c` in turn.
fn parties(names: &[String]) -> Vec<Party<'_>> {
    let domains = ["a", "b", "c"].iter().cycle();
    let named = names.iter().zip(domains);
    named.map(|(name, domain)| Party { name, domain }).collect()
}

/// Pairs of instance and preferred upstream.
fn pairs<'a>(instances: &[Party<'a>], upstreams: &[Party<'a>]) -> HashSet<(&'a str, &'a str)> {
    let of = |own: &Party<'a>| {
        let name = own.name;
        let chosen = preferred(*own, instances, upstreams, MIN_SIZE);
        chosen
            .into_iter()
            .map(move |index| (name, upstreams[index].name))
    };
    instances.iter().flat_map(of).collect()
}

/// Guards against upstreams that few or no instances prefer, which would idle while the
/// others are overrun.
#[test]
fn every_upstream_is_preferred_by_as_many_instances() {
    for (instance_count, upstream_count) in [(60, 60), (60, 156), (12, 90), (300, 60)] {
        let (instances, upstreams) = (names("i", instance_count), names("u", upstream_count));
        let upstreams = parties(&upstreams);

        let pairs = pairs(&parties(&instances), &upstreams);

        let count =
            |party: &Party<'_>| pairs.iter().filter(|(_, name)| *name == party.name).count();
        let counts: Vec<usize> = upstreams.iter().map(count).collect();
        let mean = pairs.len() / upstream_count;
        let is_even = |count: &usize| *count + 2 >= mean && *count <= mean + 2;
        assert!(
            counts.iter().all(is_even),
            "{instance_count}, {upstream_count}: {counts:?}"
        );
    }
}

/// Guards against one joining or leaving upstream or instance that makes many instances open
/// connections to upstreams that they know nothing of.
#[test]
fn change_of_one_party_changes_few_pairs() {
    let (instances, upstreams) = (names("i", 60), names("u", 60));
    let (instances, upstreams) = (parties(&instances), parties(&upstreams));
    let before = pairs(&instances, &upstreams);

    let without_upstream = pairs(&instances, &upstreams[..59]);
    let without_instance = pairs(&instances[..59], &upstreams);

    // An upstream has ten pairs, and each of them is replaced.
    for after in [without_upstream, without_instance] {
        let changed = before.symmetric_difference(&after).count();
        assert!(changed <= before.len() / 8, "{changed} of {}", before.len());
    }
}

/// Guards against a small fleet that leaves some of its upstreams aside.
#[test]
fn small_fleet_prefers_all_upstreams() {
    let (instances, upstreams) = (names("i", 8), names("u", 9));

    let pairs = pairs(&parties(&instances), &parties(&upstreams));

    assert_eq!(pairs.len(), 8 * 9);
}

/// Guards against a failure domain with few upstreams, whose instances would have nowhere to
/// send when these are lost.
#[test]
fn subset_is_filled_up_from_other_domains() {
    let (instances, upstreams) = (names("i", 60), names("u", 20));
    let (instances, upstreams) = (parties(&instances), parties(&upstreams));

    let chosen = preferred(instances[0], &instances, &upstreams, MIN_SIZE);

    let domains: Vec<&str> = chosen
        .iter()
        .map(|index| upstreams[*index].domain)
        .collect();
    assert_eq!(domains.len(), MIN_SIZE);
    assert_eq!(domains[..7], ["a"; 7]);
}

/// Guards against all instances together having more connections than an upstream accepts,
/// which it resets.
#[test]
fn instances_share_the_connections_of_an_upstream() {
    for (limit, instances) in [(420, 60), (130, 12), (50, 8)] {
        let share = share(limit, instances);

        assert!(share as usize * instances <= limit);
        assert_eq!(max_idle(share, share), 0);
        assert_eq!(max_idle(share, share + 1), 0);
        assert_eq!(max_idle(share, 1) + 1, share as usize);
    }
}
