//! Who stands for the lead, and how long a leader acts.

use medlarreel_core::entry::lead::{Lead, RIGHT, SILENCE, STAGGER, STILL};

use crate::fixture::{at, ms};

/// Guards against a leader that grants keys after a successor may have moved them.
#[test]
fn right_to_act_ends_without_appends() {
    let mut lead = Lead::new(at(0));
    lead.won("a", 7, at(0));

    lead.confirm(at(1_000));

    assert_eq!(lead.acting(at(999) + RIGHT), Some(7));
    assert_eq!(lead.acting(at(1_000) + RIGHT), None);
}

/// Guards against two instances that both believe that they lead.
#[test]
fn higher_epoch_ends_the_lead() {
    let mut lead = Lead::new(at(0));
    lead.won("a", 7, at(0));

    let news = lead.hear(at(100), 9, "b", true);

    assert!(news);
    assert_eq!(lead.epoch(), None);
    assert_eq!(lead.leader(), Some("b"));
}

/// Guards against all instances standing at once after a loss.
#[test]
fn silence_and_place_decide_who_stands() {
    let mut lead = Lead::new(at(0));
    lead.hear(at(0), 3, "a", true);

    let early = lead.stands(at(0) + SILENCE - ms(1), 0, true);
    let first = lead.stands(at(0) + SILENCE, 0, true);
    let second = lead.stands(at(0) + SILENCE, 1, true);
    let later = lead.stands(at(0) + SILENCE + STAGGER, 1, true);

    assert_eq!([early, first, second, later], [false, true, false, true]);
}

/// Guards against a leader that can't write the store keeping the lead although
/// others could.
#[test]
fn leader_without_the_store_is_replaced() {
    let mut lead = Lead::new(at(0));
    lead.hear(at(0), 3, "a", true);

    lead.hear(at(700), 3, "a", false);

    assert!(lead.stands(at(0) + SILENCE, 0, true));
    assert!(!lead.stands(at(0) + SILENCE, 0, false));
}

/// Guards against two sides of a cut that take the lead from each other.
#[test]
fn leader_that_writes_its_record_keeps_the_lead() {
    let mut lead = Lead::new(at(0));
    lead.hear(at(0), 3, "a", true);

    let first = lead.is_still(at(0), 10);
    let renewed = lead.is_still(at(0) + STILL, 11);
    let later = lead.is_still(at(0) + STILL + STILL, 11);

    assert_eq!([first, renewed, later], [false, false, true]);
}

/// Guards against waiting for a leader that has said that it stops.
#[test]
fn vacant_lead_is_taken_at_once() {
    let mut lead = Lead::new(at(0));
    lead.hear(at(0), 3, "a", true);

    lead.resigned(at(100), 3);

    assert!(lead.stands(at(100), 0, true));
    assert!(lead.is_still(at(100), 10));
}
