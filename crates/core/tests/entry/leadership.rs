//! Tests of leader election and of the leader's lease.

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::leadership::{
    CAMPAIGN_STAGGER, HEARTBEAT_TIMEOUT, LEADER_LEASE, Leadership, STALE_RECORD_AGE,
};

use crate::fixture::{at, ms};

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
