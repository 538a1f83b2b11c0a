//! Registrations: lives, order of reports, removals.

use medlarreel_core::entry::directory::{Directory, REREGISTRATION_GRACE, Registration};

use crate::fixture::{at, entry};

/// Guards against requests to an upstream that has said that it leaves.
#[test]
fn draining_upstream_is_not_usable() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), entry(1));

    let draining = Registration {
        draining: true,
        sequence: 2,
        ..entry(1)
    };
    let changed = directory.apply(at(900), at(0), draining);

    assert!(changed);
    assert_eq!(directory.usable().count(), 0);
    let (_, record) = directory.find("u1").unwrap();
    assert_eq!(record.leaving_since, Some(at(0)));
}

/// Guards against a late report that brings a leaving upstream back.
#[test]
fn older_reports_of_a_life_are_ignored() {
    let mut directory = Directory::default();
    let draining = Registration {
        draining: true,
        sequence: 5,
        ..entry(1)
    };
    directory.apply(at(0), at(0), draining);

    let changed = directory.apply(at(10), at(0), entry(1));

    assert!(!changed);
    assert_eq!(directory.usable().count(), 0);
}

/// Guards against taking a restarted upstream for the life that held keys.
#[test]
fn later_life_gets_a_key_of_its_own() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), entry(1));
    let first = directory.find("u1").unwrap().0;

    let reborn = Registration {
        born: 2,
        ..entry(1)
    };
    directory.apply(at(10), at(0), reborn);
    directory.apply(at(20), at(0), entry(1));

    let (second, record) = directory.find("u1").unwrap();
    assert_ne!(first, second);
    assert_eq!(record.registration.born, 2);
    assert!(!directory.get(first).unwrap().usable);
}

/// Guards against dropping every upstream after an outage of the store.
#[test]
fn removal_put_off_is_undone_by_a_new_report() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), entry(1));
    directory.apply(at(0), at(0), entry(2));
    directory.schedule_removal("u1", at(0), at(0) + REREGISTRATION_GRACE);
    directory.schedule_removal("u2", at(0), at(0) + REREGISTRATION_GRACE);

    let back = Registration {
        sequence: 2,
        ..entry(1)
    };
    directory.apply(at(1_000), at(0), back);
    let gone = directory.expire(at(0) + REREGISTRATION_GRACE);

    assert_eq!(gone.len(), 1);
    let usable: Vec<_> = directory
        .usable()
        .map(|(_, record)| &record.registration.id)
        .collect();
    assert_eq!(usable, ["u1"]);
}

/// Guards against a leader that keeps a change of a registration to itself, and
/// against one that passes on every sign of life.
#[test]
fn only_changes_of_registrations_are_news() {
    let mut directory = Directory::default();
    let later = |sequence| Registration {
        sequence,
        ..entry(1)
    };

    assert!(directory.is_change(&entry(1)), "unknown before");
    directory.apply(at(0), at(0), later(5));
    assert!(!directory.is_change(&later(6)), "a sign of life");

    let slots = Registration {
        slots: 3,
        ..later(6)
    };
    assert!(directory.is_change(&slots));
    let draining = Registration {
        draining: true,
        ..later(6)
    };
    assert!(directory.is_change(&draining));
    let outdated = Registration {
        draining: true,
        ..later(4)
    };
    assert!(!directory.is_change(&outdated), "a report that came late");
    let reborn = Registration {
        born: 2,
        ..later(1)
    };
    assert!(directory.is_change(&reborn));
    directory.schedule_removal("u1", at(10), at(20));
    assert!(directory.is_change(&later(6)), "back before its removal");
    directory.expire(at(20));
    assert!(directory.is_change(&later(6)), "back after its removal");
}
