//! Who stands for the lead, and how long a leader acts.

use medlarreel_core::entry::leadership::{
    CAMPAIGN_STAGGER, HEARTBEAT_TIMEOUT, LEADER_LEASE, Leadership, STALE_RECORD_AGE,
};

use crate::fixture::{at, ms};

/// Guards against a leader that grants keys after a successor may have moved them.
#[test]
fn right_to_act_ends_without_appends() {
    let mut lead = Leadership::new(at(0));
    lead.become_leader("a", 7, at(0));

    lead.confirm(at(1_000));

    assert_eq!(lead.active_epoch(at(999) + LEADER_LEASE), Some(7));
    assert_eq!(lead.active_epoch(at(1_000) + LEADER_LEASE), None);
}

/// Guards against two instances that both believe that they lead.
#[test]
fn higher_epoch_ends_the_lead() {
    let mut lead = Leadership::new(at(0));
    lead.become_leader("a", 7, at(0));

    let news = lead.observe_heartbeat(at(100), 9, "b", true);

    assert!(news);
    assert_eq!(lead.epoch(), None);
    assert_eq!(lead.leader(), Some("b"));
}

/// Guards against all instances standing at once after a loss.
#[test]
fn silence_and_place_decide_who_stands() {
    let mut lead = Leadership::new(at(0));
    lead.observe_heartbeat(at(0), 3, "a", true);

    let early = lead.should_campaign(at(0) + HEARTBEAT_TIMEOUT - ms(1), 0, true);
    let first = lead.should_campaign(at(0) + HEARTBEAT_TIMEOUT, 0, true);
    let second = lead.should_campaign(at(0) + HEARTBEAT_TIMEOUT, 1, true);
    let later = lead.should_campaign(at(0) + HEARTBEAT_TIMEOUT + CAMPAIGN_STAGGER, 1, true);

    assert_eq!([early, first, second, later], [false, true, false, true]);
}

/// Guards against a leader that can't write the store keeping the lead although
/// others could.
#[test]
fn leader_without_the_store_is_replaced() {
    let mut lead = Leadership::new(at(0));
    lead.observe_heartbeat(at(0), 3, "a", true);

    lead.observe_heartbeat(at(700), 3, "a", false);

    assert!(lead.should_campaign(at(0) + HEARTBEAT_TIMEOUT, 0, true));
    assert!(!lead.should_campaign(at(0) + HEARTBEAT_TIMEOUT, 0, false));
}

/// Guards against two sides of a cut that take the lead from each other.
#[test]
fn leader_that_writes_its_record_keeps_the_lead() {
    let mut lead = Leadership::new(at(0));
    lead.observe_heartbeat(at(0), 3, "a", true);

    let first = lead.is_leader_inactive(at(0), 10);
    let renewed = lead.is_leader_inactive(at(0) + STALE_RECORD_AGE, 11);
    let later = lead.is_leader_inactive(at(0) + STALE_RECORD_AGE + STALE_RECORD_AGE, 11);

    assert_eq!([first, renewed, later], [false, false, true]);
}

/// Guards against waiting for a leader that has said that it stops.
#[test]
fn vacant_lead_is_taken_at_once() {
    let mut lead = Leadership::new(at(0));
    lead.observe_heartbeat(at(0), 3, "a", true);

    lead.observe_resignation(at(100), 3);

    assert!(lead.should_campaign(at(100), 0, true));
    assert!(lead.is_leader_inactive(at(100), 10));
}
