//! Tests of the table of callers' connections.

use std::time::Duration;

use medlarreel_core::entry::connections::{ConnectionId, Connections, Phase};

use crate::fixture::at;

/// A full table whose connections opened one millisecond after the other.
fn full_table() -> (Connections, Vec<ConnectionId>) {
    let mut connections = Connections::new(64);
    let mut ids = Vec::new();
    while !connections.is_full() {
        ids.push(connections.open(at(ids.len() as u64)));
    }
    (connections, ids)
}

/// Guards against callers that use up the descriptors for upstreams, the store and files.
#[test]
fn callers_leave_descriptors_for_the_rest() {
    for descriptors in [64, 256, 1_024, 3_075, 10_250] {
        let mut connections = Connections::new(descriptors);
        while !connections.is_full() {
            connections.open(at(0));
        }

        let left = descriptors as usize - connections.len();
        assert!(left >= descriptors as usize / 4, "{descriptors}: {left}");
        assert!(
            left >= 220.min(descriptors as usize / 2),
            "{descriptors}: {left}"
        );
        assert!(!connections.is_empty(), "{descriptors}");
    }
}

/// Guards against new callers that are turned away while others hold connections they don't
/// use, and against a request in flight that is cut off for a new caller.
#[test]
fn longest_idle_connection_ends_first_and_served_ones_never() {
    let (mut connections, ids) = full_table();
    connections.enter(at(100), ids[0], Phase::Serving);
    connections.enter(at(100), ids[1], Phase::Head);
    connections.enter(at(200), ids[2], Phase::Serving);
    connections.enter(at(300), ids[2], Phase::Idle);

    let mut victims = Vec::new();
    while let Some(victim) = connections.choose_victim() {
        victims.push(victim);
        connections.close(victim);
        connections.open(at(400));
        let newest = connections.len();
        assert!(newest <= ids.len());
        if victims.len() == ids.len() - 1 {
            break;
        }
    }

    assert_eq!(victims[0], ids[3]);
    assert!(!victims.contains(&ids[0]) && !victims.contains(&ids[1]));
    assert!(victims.contains(&ids[2]));
}

/// Guards against idle connections that are all closed for one new one.
#[test]
fn one_connection_ends_for_one_new_one() {
    let (mut connections, _) = full_table();

    let first = connections.choose_victim();
    let second = connections.choose_victim();

    assert!(first.is_some());
    assert_eq!(second, None);
}

/// Guards against half a head that keeps a connection while nothing else can be closed.
#[test]
fn half_a_head_ends_when_no_connection_is_idle() {
    let (mut connections, ids) = full_table();
    for (number, id) in ids.iter().enumerate() {
        let phase = if number == 5 {
            Phase::Head
        } else {
            Phase::Serving
        };
        connections.enter(at(100), *id, phase);
    }

    let victim = connections.choose_victim();

    assert_eq!(victim, Some(ids[5]));
}

/// Guards against a caller that never reads its response, and against closing one that reads
/// a little now and then.
#[test]
fn only_callers_that_read_nothing_are_closed() {
    let (mut connections, ids) = full_table();
    let limit = Duration::from_secs(15);
    for id in &ids[..2] {
        connections.record_write(at(1_000), *id, false);
    }
    connections.record_write(at(9_000), ids[1], true);
    connections.record_write(at(9_000), ids[1], false);

    let early = connections.take_unread(at(15_000), limit);
    let due = connections.take_unread(at(16_000), limit);
    let again = connections.take_unread(at(17_000), limit);

    assert!(early.is_empty() && again.is_empty());
    assert_eq!(due, [ids[0]]);
}
