//! Evacuation of failure domains: which orders are in force, and what they allow.

use std::time::Duration;

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::evacuation::{Evacuation, Evacuations, Occupant, staying};
use medlarreel_core::entry::map::Owner;

use crate::fixture::{at, ms, owner};

/// Time from the acknowledgement of an order until no request may arrive.
const LIMIT: Duration = Duration::from_secs(5);

/// Orders of which the first was read in the first era, at 1 s after a read at 0 s.
fn ordered(domains: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.load(Era::FIRST, None, &[]);
    for domain in domains {
        evacuations.order(Some(at(0)), domain);
    }
    evacuations
}

/// Guards against keys and requests without a key that go to an evacuated domain, and against
/// other domains that are emptied with it.
#[test]
fn order_takes_effect_at_once_and_only_in_its_domain() {
    let evacuations = ordered(&["a"]);

    assert!(evacuations.is_evacuated("a"));
    assert!(!evacuations.is_evacuated("b"));
    assert!(evacuations.admits_owner(at(90_000), "b", LIMIT));
}

/// Guards against requests for keys that are refused before the keys have moved, and against
/// ones that arrive after the limit since they were sent just before.
#[test]
fn owner_gets_requests_until_a_second_before_the_limit() {
    let evacuations = ordered(&["a"]);

    assert!(evacuations.admits_owner(at(3_999), "a", LIMIT));
    assert!(!evacuations.admits_owner(at(4_000), "a", LIMIT));
    assert!(!evacuations.admits_owner(at(0), "a", ms(500)));
}

/// Guards against an order that counts anew when the operator writes it again.
#[test]
fn repeated_order_counts_from_the_first() {
    let mut evacuations = ordered(&["a"]);

    assert!(!evacuations.order(Some(at(3_000)), "a"));

    assert!(!evacuations.admits_owner(at(4_000), "a", LIMIT));
}

/// Guards against an order that outlives its withdrawal, and a second one that counts from
/// the first, which was withdrawn.
#[test]
fn order_after_a_withdrawal_counts_from_its_own_record() {
    let mut evacuations = ordered(&["a"]);

    assert!(evacuations.withdraw("a"));
    assert!(!evacuations.is_evacuated("a"));
    assert!(!evacuations.withdraw("a"));
    evacuations.order(Some(at(9_000)), "a");

    assert!(evacuations.admits_owner(at(12_000), "a", LIMIT));
    assert!(!evacuations.admits_owner(at(13_000), "a", LIMIT));
}

/// Guards against a withdrawal that ends the evacuation of another domain.
#[test]
fn withdrawal_leaves_other_domains_evacuated() {
    let mut evacuations = ordered(&["a", "b", "c"]);

    evacuations.withdraw("b");

    assert!(evacuations.is_evacuated("a"));
    assert!(evacuations.is_evacuated("c"));
    assert_eq!(evacuations.count(), 2);
}

/// Guards against an instance that starts from the store in the middle of an evacuation and
/// sends requests for a time that may have passed.
#[test]
fn order_of_unknown_age_admits_nothing() {
    let mut evacuations = Evacuations::default();

    let (ordered, withdrawn) = evacuations.load(Era::FIRST, None, &["a"]);

    assert_eq!((ordered.len(), withdrawn.len()), (1, 0));
    assert!(!evacuations.admits_owner(at(0), "a", LIMIT));
}

/// Guards against an instance that starts from the snapshot of another one and counts the
/// limit from then on, or refuses what the other one admits.
#[test]
fn snapshot_keeps_the_age_of_orders() {
    let sender = ordered(&["a"]);
    let snapshot = sender.snapshot(at(2_000));
    let mut receiver = Evacuations::default();

    // The clocks of two instances have nothing in common.
    receiver.load_snapshot(Era::FIRST, at(70_000), &snapshot);

    assert!(receiver.admits_owner(at(71_999), "a", LIMIT));
    assert!(!receiver.admits_owner(at(72_000), "a", LIMIT));
}

/// Guards against an instance that has missed the withdrawal of one order and the record of
/// another since the store has dropped them.
#[test]
fn load_replaces_all_orders_of_the_same_era() {
    let mut evacuations = ordered(&["a", "b"]);

    let changes = evacuations.load(Era::FIRST, Some(at(1_000)), &["b", "c"]);

    assert_eq!(changes, (vec!["c".to_owned()], vec!["a".to_owned()]));
    assert!(!evacuations.admits_owner(at(4_000), "b", LIMIT));
    assert!(evacuations.admits_owner(at(4_000), "c", LIMIT));
}

/// Guards against an order that is lost with a store that comes back from an older copy.
#[test]
fn order_that_a_restored_store_lacks_is_kept_until_its_withdrawal() {
    let mut evacuations = ordered(&["a"]);

    let changes = evacuations.load(Era(2), Some(at(1_000)), &[]);
    assert_eq!(changes, (Vec::new(), Vec::new()));
    assert!(evacuations.is_evacuated("a"));
    // The store drops records later on, and all are loaded again.
    evacuations.load(Era(2), Some(at(2_000)), &[]);
    assert!(evacuations.is_evacuated("a"));
    evacuations.withdraw("a");

    assert!(!evacuations.is_evacuated("a"));
}

/// Guards against an order that is kept for good after the operator has written it again and
/// withdrawn it, while this instance read neither.
#[test]
fn order_that_is_written_again_after_a_restore_counts_as_stored() {
    let mut evacuations = ordered(&["a"]);
    evacuations.load(Era(2), Some(at(1_000)), &[]);

    evacuations.load(Era(2), Some(at(2_000)), &["a"]);
    evacuations.load(Era(2), Some(at(3_000)), &[]);

    assert!(!evacuations.is_evacuated("a"));
}

/// Guards against an instance that starts after a restore, learns an order that the store
/// lacks from another one, and drops it at its next load.
#[test]
fn snapshot_passes_on_that_the_store_lacks_an_order() {
    let mut sender = ordered(&["a"]);
    sender.load(Era(2), Some(at(1_000)), &[]);
    let mut receiver = Evacuations::default();

    receiver.load_snapshot(Era(2), at(5_000), &sender.snapshot(at(2_000)));
    receiver.load(Era(2), Some(at(6_000)), &[]);

    assert!(receiver.is_evacuated("a"));
}

/// Guards against a snapshot that lengthens the time for which an order admits requests.
#[test]
fn snapshot_does_not_replace_the_age_of_a_known_order() {
    let mut evacuations = ordered(&["a"]);
    let later = Evacuation {
        domain: "a".into(),
        age: Some(ms(0)),
        is_carried: false,
    };

    evacuations.load_snapshot(Era::FIRST, at(3_000), &[later]);

    assert!(!evacuations.admits_owner(at(4_000), "a", LIMIT));
}

/// Guards against a leader that does not plan anew since it takes the set for unchanged.
#[test]
fn version_changes_with_the_set_only() {
    let mut evacuations = ordered(&[]);

    let mut versions = vec![evacuations.version()];
    evacuations.order(Some(at(0)), "a");
    versions.push(evacuations.version());
    evacuations.order(Some(at(1)), "a");
    versions.push(evacuations.version());
    evacuations.load(Era::FIRST, Some(at(2)), &[]);
    versions.push(evacuations.version());

    assert_eq!(versions, [0, 1, 1, 2]);
}

/// Upstreams 1 to `count`, of which each has a higher weight than the one before.
fn occupants(count: u8, is_urgent: bool) -> Vec<Occupant> {
    let occupant = |number| Occupant {
        owner: owner(number),
        weight: f64::from(number),
        is_urgent,
    };
    (1..=count).map(occupant).collect()
}

/// Guards against a store that goes away and leaves all keys of a domain without an owner: they
/// leave in steps, those that carry most first, and each step waits for the one before.
#[test]
fn keys_leave_in_steps_the_heaviest_first() {
    let first = staying(occupants(8, false), 8, true);
    let meanwhile = staying(occupants(6, false), 8, false);
    let last = staying(occupants(2, false), 8, true);

    assert_eq!(first, (1..=6).rev().map(owner).collect::<Vec<Owner>>());
    assert_eq!(meanwhile.len(), 6);
    assert_eq!(last, []);
}

/// Guards against keys that still wait for a step when the limit comes, since one key does not
/// get an owner.
#[test]
fn keys_leave_at_once_when_half_of_the_time_has_passed() {
    let evacuations = ordered(&["a"]);

    assert!(!evacuations.is_urgent(at(1_999), "a", LIMIT));
    assert!(evacuations.is_urgent(at(2_000), "a", LIMIT));
    assert_eq!(staying(occupants(8, true), 8, false), []);
}
