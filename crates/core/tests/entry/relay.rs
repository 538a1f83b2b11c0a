//! Distribution of messages through relays.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use medlarreel_core::entry::relay::{Branch, Receiver, plan_branches};

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), 7_660).into()
}

/// `count` live instances that are spread evenly over the failure domains.
fn receivers(count: u16) -> Vec<Receiver<'static>> {
    let receiver = |number| Receiver {
        address: address(number),
        domain: DOMAINS[usize::from(number) % DOMAINS.len()],
        cpu_percent: 10 + u32::from(number) % 4 * 10,
        alive: true,
    };
    (0..count).map(receiver).collect()
}

/// Addresses that a message reaches if the instances in `lost` pass nothing on.
fn reached(branches: &[Branch], lost: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
    let intact = branches
        .iter()
        .filter(|branch| !lost.contains(&branch.relay));
    let mut reached: Vec<SocketAddr> = intact
        .flat_map(|branch| branch.receivers.iter().chain([&branch.relay]))
        .copied()
        .collect();
    reached.sort();
    reached
}

/// Guards against a leader whose link is full: with one message to each instance, 295
/// instances missed most changes of the owner map after a change of the leader.
#[test]
fn leader_sends_few_messages_in_a_large_fleet() {
    for count in [30, 100, 300, 1_000, 14_000] {
        let receivers = receivers(count);

        let branches = plan_branches(&receivers, 0);

        let limit = 2 * (f64::from(count).sqrt() as usize + DOMAINS.len());
        assert!(branches.len() <= limit, "{count}: {}", branches.len());
        let longest = branches.iter().map(|branch| branch.receivers.len()).max();
        assert!(longest <= Some(limit), "{count}: {longest:?}");
    }
}

/// Guards against an instance that receives no message, or one twice.
#[test]
fn every_instance_is_reached_once() {
    for count in [1, 24, 25, 61, 295, 1_000] {
        let receivers = receivers(count);
        let expected: Vec<SocketAddr> = (0..count).map(address).collect();

        for round in 0..4 {
            let branches = plan_branches(&receivers, round);

            assert_eq!(reached(&branches, &BTreeSet::new()), expected);
        }
    }
}

/// Guards against messages that pass the borders of failure domains more often than
/// needed, and against receivers that are cut off with the relay's domain.
#[test]
fn relays_serve_their_own_failure_domain() {
    let receivers = receivers(295);
    let domains: BTreeMap<SocketAddr, &str> = receivers
        .iter()
        .map(|receiver| (receiver.address, receiver.domain))
        .collect();

    let branches = plan_branches(&receivers, 0);

    for branch in branches {
        let foreign = |receiver: &&SocketAddr| domains[*receiver] != domains[&branch.relay];
        assert_eq!(branch.receivers.iter().find(foreign), None);
    }
}

/// Guards against instances that stay without messages while a relay is lost and the
/// leader has not noticed yet.
#[test]
fn loss_of_all_relays_of_one_message_delays_only_that_message() {
    let receivers = receivers(295);
    let first = plan_branches(&receivers, 0);
    let lost: BTreeSet<SocketAddr> = first.iter().map(|branch| branch.relay).collect();

    let second = plan_branches(&receivers, 1);

    let reached = reached(&second, &lost);
    let expected = receivers.iter().map(|receiver| receiver.address);
    assert_eq!(reached, expected.collect::<Vec<_>>());
}

/// Guards against relays that the leader already knows to be lost.
#[test]
fn instances_that_are_not_alive_are_relays_only_if_all_are() {
    let mut receivers = receivers(295);
    for receiver in receivers.iter_mut().filter(|one| one.cpu_percent == 40) {
        receiver.alive = false;
    }
    let lost = receivers.iter().filter(|receiver| !receiver.alive);
    let lost: BTreeSet<SocketAddr> = lost.map(|receiver| receiver.address).collect();

    for round in 0..3 {
        let branches = plan_branches(&receivers, round);

        assert!(branches.iter().all(|branch| !lost.contains(&branch.relay)));
    }
    receivers.iter_mut().for_each(|one| one.alive = false);
    assert!(!plan_branches(&receivers, 0).is_empty());
}
