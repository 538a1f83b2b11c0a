//! Tests of leader election and of the leader's lease.

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::leadership::{
    CAMPAIGN_STAGGER, HEARTBEAT_TIMEOUT, LEADER_LEASE, Leadership, STALE_RECORD_AGE,
};

use crate::fixture::{address, at, ms};

/// Guards against a leader that grants keys after a successor may have moved them.
#[test]
fn lease_expires_without_appends() {
    let mut leadership = Leadership::new(at(0));
    leadership.become_leader("a", 7, at(0));

    leadership.record_append(at(1_000));

    assert_eq!(leadership.active_epoch(at(999) + LEADER_LEASE), Some(7));
    assert_eq!(leadership.active_epoch(at(1_000) + LEADER_LEASE), None);
}

/// Guards against two instances that both act as leader.
#[test]
fn higher_epoch_ends_leadership() {
    let mut leadership = Leadership::new(at(0));
    leadership.become_leader("a", 7, at(0));

    let is_new = leadership.observe_heartbeat(at(100), 9, "b", true);

    assert!(is_new);
    assert_eq!(leadership.epoch(), None);
    assert_eq!(leadership.leader(), Some("b"));
}

/// Guards against all instances campaigning at once after the leader fails.
#[test]
fn missed_heartbeats_and_position_decide_who_campaigns() {
    let mut leadership = Leadership::new(at(0));
    leadership.observe_heartbeat(at(0), 3, "a", true);

    let early = leadership.should_campaign(at(0) + HEARTBEAT_TIMEOUT - ms(1), 0, true);
    let first = leadership.should_campaign(at(0) + HEARTBEAT_TIMEOUT, 0, true);
    let second = leadership.should_campaign(at(0) + HEARTBEAT_TIMEOUT, 1, true);
    let later = leadership.should_campaign(at(0) + HEARTBEAT_TIMEOUT + CAMPAIGN_STAGGER, 1, true);

    assert_eq!([early, first, second, later], [false, true, false, true]);
}

/// Guards against keeping a leader that cannot reach the store while other instances
/// can.
#[test]
fn leader_that_cannot_reach_the_store_is_replaced() {
    let mut leadership = Leadership::new(at(0));
    leadership.observe_heartbeat(at(0), 3, "a", true);

    leadership.observe_heartbeat(at(700), 3, "a", false);

    assert!(leadership.should_campaign(at(0) + HEARTBEAT_TIMEOUT, 0, true));
    assert!(!leadership.should_campaign(at(0) + HEARTBEAT_TIMEOUT, 0, false));
}

/// Guards against the two sides of a network partition replacing each other's leader.
#[test]
fn leader_that_appends_to_its_topic_stays_leader() {
    let mut leadership = Leadership::new(at(0));
    leadership.observe_heartbeat(at(0), 3, "a", true);

    let first = leadership.observe_topic_end(at(0), Era::FIRST, 10);
    let renewed = leadership.observe_topic_end(at(0) + STALE_RECORD_AGE, Era::FIRST, 11);
    let later =
        leadership.observe_topic_end(at(0) + STALE_RECORD_AGE + STALE_RECORD_AGE, Era::FIRST, 11);

    assert_eq!([first, renewed, later], [false, false, true]);
}

/// Guards against waiting for the heartbeats of a leader that has stepped down.
#[test]
fn leader_that_stepped_down_is_replaced_at_once() {
    let mut leadership = Leadership::new(at(0));
    leadership.observe_heartbeat(at(0), 3, "a", true);

    leadership.observe_resignation(at(100), 3);

    assert!(leadership.should_campaign(at(100), 0, true));
    assert!(leadership.observe_topic_end(at(100), Era::FIRST, 10));
}

/// Guards against resuming an epoch from an old copy of a transfer, after this process has
/// led it and the store has refused its writes.
#[test]
fn epoch_that_was_led_before_is_not_resumed() {
    let mut leadership = Leadership::new(at(0));
    leadership.observe_heartbeat(at(0), 7, "a", true);
    let before = leadership.accepts_transfer(7);
    leadership.become_leader("b", 7, at(100));
    let leading = leadership.accepts_transfer(7);

    leadership.step_down(at(200));
    leadership.restart_heartbeat_timeout(at(300));

    assert_eq!([before, leading], [true, false]);
    assert!(!leadership.accepts_transfer(7));
    assert!(leadership.accepts_transfer(8));
}

/// Guards against resuming an epoch that has ended.
#[test]
fn earlier_epoch_is_not_resumed() {
    let mut leadership = Leadership::new(at(0));

    leadership.observe_heartbeat(at(0), 7, "a", true);

    assert!(!leadership.accepts_transfer(6));
}

/// Guards against orders to an upstream that has restarted and forgotten a later leader.
#[test]
fn leader_that_may_have_been_replaced_needs_an_old_connection() {
    let mut leadership = Leadership::new(at(0));
    leadership.become_leader("a", 7, at(1_000));
    let certain = at(1_000) + STALE_RECORD_AGE - ms(50);

    let before = leadership.min_connection_age(certain, address(1));
    let after = leadership.min_connection_age(certain + ms(500), address(1));
    leadership.record_append(at(2_000));
    let appended = leadership.min_connection_age(certain + ms(500), address(1));

    assert!(before.is_zero());
    assert!(after > ms(400), "{after:?}");
    assert!(appended.is_zero());
}

/// Guards against a successor that can't renew grants without the store, and against one that
/// uses a connection that may lead to a later process.
#[test]
fn successor_uses_connections_to_upstreams_that_have_answered_since() {
    let mut leadership = Leadership::new(at(0));
    let verified = vec![address(1)];

    leadership.take_over("b", 8, at(1_000), verified, at(9_000));
    let [answered, silent] =
        [1, 2].map(|number| leadership.min_connection_age(at(10_000), address(number)));

    assert_eq!(answered, ms(1_000));
    assert!(silent > ms(7_000), "{silent:?}");
}
