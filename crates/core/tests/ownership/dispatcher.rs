//! Rules of the dispatcher in isolation.

use std::time::Duration;

use medlarreel_core::grant::dispatcher::{Action, Dispatcher};
use medlarreel_core::grant::{Register, Response};
use medlarreel_core::ids::{Ballot, Epoch, Instance, Offset, Service, Shard, Upstream, Version};
use medlarreel_core::preset::{Fencing, Isolation};
use medlarreel_core::time::Time;
use medlarreel_core::wire::{Assignment, Lease, Message};

const ME: Instance = Instance(7);
const UPSTREAM: Upstream = Upstream(0);
const SHARD: Shard = Shard {
    service: Service(0),
    index: 3,
};

fn ms(value: u64) -> Time {
    Time(value * 1_000)
}

fn ballot(round: u32) -> Ballot {
    Ballot {
        term: Offset(1),
        round,
        instance: Instance(1),
    }
}

fn version(round: u32, count: u64) -> Version {
    let ballot = ballot(round);
    Version { ballot, count }
}

fn epoch(count: u64) -> Epoch {
    Epoch {
        term: Offset(1),
        round: 1,
        count,
    }
}

fn lease(round: u32) -> Lease {
    Lease {
        ballot: ballot(round),
        nonce: 0,
        duration: Duration::from_millis(2_400),
    }
}

fn assignment(version: Version, session: u32, fencing: Fencing) -> Assignment {
    Assignment {
        version,
        upstream: UPSTREAM,
        incarnation: 5,
        session,
        fencing,
        isolation: Isolation::Lapse,
        shards: vec![(SHARD, epoch(1))],
        allowance: 6,
        primary: ME,
        backup: None,
    }
}

fn answer(clock: Time) -> Response {
    Response {
        incarnation: 5,
        clock,
        accepted: false,
        version: None,
        shards: Vec::new(),
        in_flight: 0,
        slots: 6,
        draining: false,
    }
}

/// Returns a dispatcher with a lease until 2,376 ms and one assignment.
fn assigned_dispatcher(fencing: Fencing) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(ME);
    dispatcher.handle_lease(ms(1), ms(0), lease(1));
    let message = dispatcher.handle_assignment(ms(2), assignment(version(1, 1), 0, fencing));
    assert_eq!(message, Some(Message::Assigned(UPSTREAM, version(1, 1))));
    dispatcher
}

/// Guards against a dispatcher that follows a deposed holder.
#[test]
fn lower_ballots_are_ignored() {
    let mut dispatcher = Dispatcher::new(ME);
    dispatcher.handle_lease(ms(1), ms(0), lease(2));

    assert_eq!(
        dispatcher.handle_assignment(ms(2), assignment(version(1, 9), 0, Fencing::Checked)),
        None
    );
    assert_eq!(dispatcher.handle_stop(ms(2), UPSTREAM, version(1, 9)), None);
    dispatcher.handle_lease(ms(2_000), ms(1_999), lease(1));
    assert!(!dispatcher.has_lease(ms(2_400)));
}

/// Guards against a paused dispatcher that resumes an assignment after its lease ended.
#[test]
fn assignments_end_with_the_lease() {
    let mut dispatcher = assigned_dispatcher(Fencing::Checked);
    assert!(
        dispatcher
            .may_send(ms(2_375), UPSTREAM, Some(SHARD))
            .is_some()
    );
    assert!(
        dispatcher
            .may_send(ms(2_377), UPSTREAM, Some(SHARD))
            .is_none()
    );

    dispatcher.handle_lease(ms(5_000), ms(4_999), lease(1));
    assert!(
        dispatcher
            .may_send(ms(5_001), UPSTREAM, Some(SHARD))
            .is_none()
    );
    // An order of the ended session that arrives late is refused as well.
    assert_eq!(
        dispatcher.handle_assignment(ms(5_002), assignment(version(1, 2), 0, Fencing::Checked)),
        None
    );
    assert_eq!(dispatcher.session(), 1);
}

/// Guards against a grant that outlives the dispatch lease, or the end promised in the
/// answer to a stop, at an upstream whose clock runs 1% slow.
#[test]
fn grants_end_as_promised() {
    let mut dispatcher = assigned_dispatcher(Fencing::Checked);
    assert_eq!(dispatcher.tick(ms(2)), vec![Action::Query(UPSTREAM)]);
    let mut register = Register::new(5);
    let clock = |now: Time| Time(1_000 + now.0 * 99 / 100);
    dispatcher.handle_response(ms(2_000), UPSTREAM, ms(1_990), answer(clock(ms(1_995))));

    let actions = dispatcher.tick(ms(2_010));
    let [Action::Grant(_, request)] = &actions[..] else {
        panic!("expected a grant, got {actions:?}");
    };
    register.try_accept(clock(ms(2_011)), request).unwrap();

    assert!(register.admits(clock(ms(2_300)), 3, epoch(1)));
    assert!(!register.admits(clock(ms(2_376)), 3, epoch(1)));
    let stopped = dispatcher.handle_stop(ms(2_020), UPSTREAM, version(1, 2));
    let Some(Message::Stopped(_, _, rest)) = stopped else {
        panic!("expected an answer, got {stopped:?}");
    };
    assert!(!register.admits(clock(ms(2_020) + rest), 3, epoch(1)));
    assert!(dispatcher.tick(ms(2_300)).is_empty());
}

/// Guards against a move of shards while an unchecked upstream may still run a request.
#[test]
fn stop_waits_for_open_exchanges() {
    let mut dispatcher = assigned_dispatcher(Fencing::Unchecked);
    dispatcher.update_usage(ms(10), UPSTREAM, 1, 1);

    assert_eq!(
        dispatcher.handle_stop(ms(20), UPSTREAM, version(1, 2)),
        None
    );
    assert!(dispatcher.may_send(ms(21), UPSTREAM, Some(SHARD)).is_none());
    assert!(dispatcher.update_usage(ms(30), UPSTREAM, 0, 1).is_empty());
    let stopped = Message::Stopped(UPSTREAM, version(1, 2), Duration::ZERO);
    assert_eq!(
        dispatcher.update_usage(ms(40), UPSTREAM, 0, 0),
        vec![stopped]
    );
}
