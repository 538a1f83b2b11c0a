//! Tests of the directory: incarnations, order of registrations, removals.

use medlarreel_core::entry::directory::{
    DISPLACEMENT_PERIOD, Directory, REREGISTRATION_GRACE, Registration, return_delay,
};
use medlarreel_core::ids::Upstream;

use crate::fixture::{address, at, ms, registration};

/// Upstreams 1 to `count`, whose removals were read and whose registrations a copy of the
/// store shows again. They are to count from `at(5_000)` on.
fn directory_with_returns(count: u8) -> Directory {
    let mut directory = Directory::default();
    for number in 1..=count {
        directory.apply(at(0), at(0), registration(number));
        directory.schedule_removal(&format!("u{number}"), at(10), at(10));
    }
    directory.expire(at(10));
    for number in 1..=count {
        assert!(directory.has_removed(&registration(number)));
        assert!(directory.schedule_return(at(5_000), registration(number)));
    }
    directory
}

/// Guards against sending requests to an upstream that has announced its shutdown.
#[test]
fn draining_upstream_is_not_usable() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), registration(1));

    let draining = Registration {
        draining: true,
        sequence: 2,
        ..registration(1)
    };
    let changed = directory.apply(at(900), at(0), draining);

    assert!(changed);
    assert_eq!(directory.usable().count(), 0);
    let (_, record) = directory.find("u1").unwrap();
    assert_eq!(record.leaving_since, Some(at(0)));
}

/// Guards against a delayed registration making a draining upstream usable again.
#[test]
fn older_registrations_of_an_incarnation_are_ignored() {
    let mut directory = Directory::default();
    let draining = Registration {
        draining: true,
        sequence: 5,
        ..registration(1)
    };
    directory.apply(at(0), at(0), draining);

    let changed = directory.apply(at(10), at(0), registration(1));

    assert!(!changed);
    assert_eq!(directory.usable().count(), 0);
}

/// Registration of another id at the address of upstream 1, with a later start.
fn rival(service: &str) -> Registration {
    Registration {
        id: "rival".into(),
        service: service.into(),
        born: 2,
        ..registration(1)
    }
}

/// Ids of the usable upstreams, in order.
fn usable_ids(directory: &Directory) -> Vec<&str> {
    let usable = directory.usable();
    let mut ids: Vec<&str> = usable
        .map(|(_, record)| record.registration.id.as_str())
        .collect();
    ids.sort_unstable();
    ids
}

/// Guards against an upstream that is out of use because another writer has registered
/// something else at its address.
#[test]
fn registration_at_the_address_of_an_upstream_does_not_end_it() {
    for service in ["watch", "", "intake"] {
        for is_first in [false, true] {
            let mut directory = Directory::default();
            let entries = match is_first {
                true => [rival(service), registration(1)],
                false => [registration(1), rival(service)],
            };

            for entry in entries {
                directory.apply(at(0), at(0), entry);
            }
            let repeated = Registration {
                sequence: 2,
                ..registration(1)
            };
            directory.apply(at(900), at(0), repeated);

            let (upstream, record) = directory.find("u1").unwrap();
            assert!(record.usable, "{service:?} {is_first}");
            assert!(!directory.has_ended(upstream));
            assert!(directory.has_rival(upstream));
        }
    }
}

/// Guards against sending requests to a process that has ended, after a delayed
/// registration of it arrives beside that of its successor at the address, which has answered.
#[test]
fn successor_that_has_answered_replaces_the_upstream_before_it() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), registration(1));
    let before = directory.find("u1").unwrap().0;
    let delayed = Registration {
        sequence: 9,
        ..registration(1)
    };

    directory.apply(at(1_000), at(0), rival("intake"));
    let successor = directory.find("rival").unwrap().0;
    let displaced = directory.record_answer(at(1_100), at(1_050), successor);
    let is_change = directory.is_changed_by(at(0), &delayed);
    directory.apply(at(1_200), at(0), delayed);

    assert_eq!(displaced, [before]);
    assert!(!is_change);
    assert_eq!(usable_ids(&directory), ["rival"]);
    assert!(directory.has_ended(before));
}

/// Guards against the loss of an upstream that has just registered, to an answer that the one
/// before it at the address had sent earlier.
#[test]
fn answer_from_before_a_registration_does_not_displace_it() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), registration(1));
    directory.apply(at(1_000), at(0), rival("intake"));
    let before = directory.find("u1").unwrap().0;

    let displaced = directory.record_answer(at(1_100), at(999), before);

    assert!(displaced.is_empty(), "{displaced:?}");
    assert_eq!(usable_ids(&directory), ["rival", "u1"]);
}

/// Guards against requests that are sent to what another writer has registered, while the
/// upstream that is there could take them.
#[test]
fn later_rival_is_doubtful_until_it_answers() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), registration(1));
    directory.apply(at(0), at(0), rival("intake"));
    let [own, rival] = ["u1", "rival"].map(|id| directory.find(id).unwrap().0);
    let doubtful = |directory: &Directory| {
        [own, rival].map(|upstream| directory.is_doubtful(upstream, |_| true))
    };

    assert_eq!(doubtful(&directory), [false, true]);
    assert!(!directory.is_doubtful(rival, |service| service == "another"));
    directory.record_answer(at(200), at(100), rival);
    assert_eq!(doubtful(&directory), [true, false]);
    assert_eq!(usable_ids(&directory), ["rival"]);
    directory.schedule_removal("u1", at(300), at(300));
    directory.expire(at(300));
    assert!(!directory.has_rival(rival));
}

/// Guards against an address that is lost to what isn't there, and against one wrong answer
/// that takes an upstream out of use for good.
#[test]
fn displaced_upstream_is_used_again() {
    type Return = fn(&mut Directory, Upstream);
    let returns: [(&str, Return); 4] = [
        ("it answers", |directory, upstream| {
            directory.record_answer(at(200), at(150), upstream);
        }),
        ("the time is over", |directory, _| {
            directory.expire(at(100) + DISPLACEMENT_PERIOD);
        }),
        ("it has moved", |directory, _| {
            let moved = Registration {
                address: address(7),
                sequence: 2,
                ..registration(1)
            };
            directory.apply(at(200), at(0), moved);
        }),
        ("it has restarted", |directory, _| {
            let restarted = Registration {
                born: 5,
                ..registration(1)
            };
            directory.apply(at(200), at(0), restarted);
        }),
    ];
    for (what, return_to_use) in returns {
        let mut directory = Directory::default();
        directory.apply(at(0), at(0), registration(1));
        let upstream = directory.find("u1").unwrap().0;

        assert!(directory.record_displacement(at(100), upstream));
        let version = directory.version();
        directory.expire(at(100));
        assert_eq!(directory.usable().count(), 0, "{what}");
        return_to_use(&mut directory, upstream);

        assert_eq!(usable_ids(&directory), ["u1"], "{what}");
        assert!(directory.version() > version, "{what}");
    }
}

/// Guards against an upstream that is not used, or not divided among the instances, under the
/// service that its registration names now.
#[test]
fn change_of_the_service_is_a_change() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), registration(1));
    let version = directory.version();
    let moved = Registration {
        service: "another".into(),
        sequence: 2,
        ..registration(1)
    };

    assert!(directory.is_changed_by(at(10), &moved));
    assert!(directory.apply(at(10), at(0), moved));
    assert!(directory.version() > version);
}

/// Guards against an address that stays unused after its upstream has left.
#[test]
fn address_of_a_removed_upstream_is_used_again() {
    let mut directory = Directory::default();
    let clock_ahead = Registration {
        born: 5,
        ..registration(1)
    };
    directory.apply(at(0), at(0), clock_ahead);
    directory.schedule_removal("u1", at(0), at(0));
    directory.expire(at(0));

    let next = Registration {
        id: "next".into(),
        ..registration(1)
    };
    assert!(directory.apply(at(100), at(0), next));
    assert_eq!(directory.usable().count(), 1);
}

/// Guards against confusing a restarted upstream with the incarnation that owned keys.
#[test]
fn later_incarnation_gets_its_own_record() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), registration(1));
    let first = directory.find("u1").unwrap().0;

    let restarted = Registration {
        born: 2,
        ..registration(1)
    };
    directory.apply(at(10), at(0), restarted);
    directory.apply(at(20), at(0), registration(1));

    let (second, record) = directory.find("u1").unwrap();
    assert_ne!(first, second);
    assert_eq!(record.registration.born, 2);
    assert!(!directory.get(first).unwrap().usable);
}

/// Guards against removing all upstreams after an outage of the store.
#[test]
fn pending_removal_is_cancelled_by_a_new_registration() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), registration(1));
    directory.apply(at(0), at(0), registration(2));
    directory.schedule_removal("u1", at(0), at(0) + REREGISTRATION_GRACE);
    directory.schedule_removal("u2", at(0), at(0) + REREGISTRATION_GRACE);

    let renewed = Registration {
        sequence: 2,
        ..registration(1)
    };
    directory.apply(at(1_000), at(0), renewed);
    let expired = directory.expire(at(0) + REREGISTRATION_GRACE);

    assert_eq!(expired.len(), 1);
    let usable: Vec<_> = directory
        .usable()
        .map(|(_, record)| &record.registration.id)
        .collect();
    assert_eq!(usable, ["u1"]);
}

/// Guards against a leader that does not forward a changed registration, and against
/// one that forwards every renewal.
#[test]
fn unchanged_and_outdated_registrations_are_not_changes() {
    let mut directory = Directory::default();
    let later = |sequence| Registration {
        sequence,
        ..registration(1)
    };

    assert!(
        directory.is_changed_by(at(0), &registration(1)),
        "unknown upstream"
    );
    directory.apply(at(0), at(0), later(5));
    assert!(
        !directory.is_changed_by(at(0), &later(6)),
        "unchanged registration"
    );

    let slots = Registration {
        slots: 3,
        ..later(6)
    };
    assert!(directory.is_changed_by(at(0), &slots));
    let draining = Registration {
        draining: true,
        ..later(6)
    };
    assert!(directory.is_changed_by(at(0), &draining));
    let outdated = Registration {
        draining: true,
        ..later(4)
    };
    assert!(
        !directory.is_changed_by(at(0), &outdated),
        "outdated registration"
    );
    let restarted = Registration {
        born: 2,
        ..later(1)
    };
    assert!(directory.is_changed_by(at(0), &restarted));
    directory.schedule_removal("u1", at(10), at(20));
    assert!(
        directory.is_changed_by(at(0), &later(6)),
        "registered again before its removal"
    );
    directory.expire(at(20));
    assert!(
        directory.is_changed_by(at(0), &later(6)),
        "registered again after its removal"
    );
}

/// Guards against an upstream that has left being passed on to an instance that has just
/// started, which would use it again.
#[test]
fn removed_upstreams_are_not_registered() {
    let mut directory = Directory::default();
    let draining = Registration {
        draining: true,
        ..registration(2)
    };
    for registration in [registration(1), draining, registration(3), registration(4)] {
        directory.apply(at(0), at(0), registration);
    }
    directory.schedule_removal("u2", at(0), at(10));
    directory.schedule_removal("u3", at(0), at(10));
    directory.schedule_removal("u4", at(0), at(5_000));
    directory.expire(at(10));

    let registered: Vec<String> = directory.registered(at(20)).map(|one| one.id).collect();

    assert_eq!(registered, ["u1"]);
}

/// Guards against an upstream that has left being used again because a restored copy of
/// the store still has its registration.
#[test]
fn registration_from_before_its_removal_is_ignored() {
    let mut directory = Directory::default();
    for number in [1, 2] {
        directory.apply(at(0), at(0), registration(number));
    }
    directory.schedule_removal("u1", at(10), at(10));
    directory.expire(at(10));
    directory.schedule_removal("u2", at(10), at(2_000));

    for number in [1, 2] {
        assert!(!directory.is_changed_by(at(0), &registration(number)));
        assert!(!directory.apply(at(1_000), at(900), registration(number)));
    }
    directory.expire(at(2_000));

    assert_eq!(directory.usable().count(), 0);
    let (_, record) = directory.find("u2").unwrap();
    assert_eq!(record.leaving_since, Some(at(10)));
}

/// Guards against upstreams that stay removed although they are alive: a copy of the store
/// may lack them, and what they write again may be what they wrote before.
#[test]
fn registration_that_was_only_missing_is_restored_by_the_same_one() {
    let mut directory = Directory::default();
    for number in [1, 2, 3] {
        directory.apply(at(0), at(0), registration(number));
    }

    directory.schedule_removals_except(&["u3"], at(10), at(2_000));
    assert!(directory.is_changed_by(at(0), &registration(1)));
    directory.apply(at(1_000), at(900), registration(1));
    let expired = directory.expire(at(2_000));
    assert_eq!(expired.len(), 1);
    directory.apply(at(2_100), at(2_000), registration(2));

    assert_eq!(directory.usable().count(), 3);
}

/// Guards against an upstream that stays removed although it has registered again since.
#[test]
fn registration_after_its_removal_is_applied() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), registration(1));
    directory.schedule_removals_except(&[], at(10), at(2_000));
    directory.schedule_removal("u1", at(10), at(2_000));
    let renewed = Registration {
        sequence: 2,
        ..registration(1)
    };

    assert!(!directory.apply(at(20), at(10), registration(1)));
    directory.apply(at(30), at(20), renewed.clone());
    assert!(directory.expire(at(2_000)).is_empty());
    directory.schedule_removals_except(&[], at(2_100), at(2_100));
    directory.expire(at(2_100));
    assert!(directory.apply(at(2_200), at(2_100), renewed));

    assert_eq!(directory.usable().count(), 1);
}

/// Guards against upstreams that are reported as gone again by each load of the directory.
#[test]
fn removed_upstream_is_not_removed_again() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), registration(1));
    directory.schedule_removal("u1", at(0), at(10));
    directory.expire(at(10));
    let version = directory.version();

    directory.schedule_removals_except(&[], at(20), at(20));
    directory.schedule_removal("u1", at(20), at(20));

    assert!(directory.expire(at(20)).is_empty());
    assert_eq!(directory.version(), version);
}

/// Guards against an upstream that is alive and stays removed for good: the store does not
/// write its registration again while only its sequence changes.
#[test]
fn registration_shown_again_after_its_removal_counts_after_a_delay() {
    let mut directory = directory_with_returns(1);
    let (key, version) = (directory.find("u1").unwrap().0, directory.version());

    // A removal between the last read and now is not known yet.
    let early = directory.apply_returns(at(5_100), at(4_999));
    assert!(early.is_empty());
    assert_eq!(
        (directory.usable().count(), directory.version()),
        (0, version)
    );
    let returned = directory.apply_returns(at(5_200), at(5_000));

    assert_eq!(returned, [key]);
    assert!(directory.version() > version);
    let (_, record) = directory.usable().next().unwrap();
    assert!(!record.removed && record.leaving_since.is_none());
    assert!(directory.apply_returns(at(9_000), at(9_000)).is_empty());
}

/// Guards against an upstream that has ended being used because a copy of the store showed
/// it for some seconds.
#[test]
fn registration_that_is_removed_again_does_not_return() {
    let mut directory = directory_with_returns(3);

    directory.schedule_removal("u1", at(3_000), at(3_000));
    directory.schedule_removals_except(&["u3"], at(4_000), at(4_000));
    directory.expire(at(4_000));
    directory.apply_returns(at(5_000), at(5_000));

    let usable = directory.usable();
    let ids: Vec<_> = usable.map(|(_, record)| &*record.registration.id).collect();
    assert_eq!(ids, ["u3"]);
}

/// Guards against the return of a registration that undoes what its upstream has written
/// since, or that delays it.
#[test]
fn later_registration_counts_at_once_in_place_of_a_return() {
    let mut directory = directory_with_returns(2);
    let later = Registration {
        sequence: 2,
        ..registration(1)
    };
    let restarted = Registration {
        born: 2,
        ..registration(2)
    };
    let draining = Registration {
        draining: true,
        sequence: 3,
        ..registration(1)
    };

    assert!(directory.apply(at(20), at(10), later));
    assert!(directory.apply(at(20), at(10), restarted));
    directory.apply(at(30), at(20), draining);
    assert!(directory.apply_returns(at(5_000), at(5_000)).is_empty());

    let (_, drained) = directory.find("u1").unwrap();
    let (_, restarted) = directory.find("u2").unwrap();
    assert!(!drained.usable);
    assert!(restarted.usable && restarted.registration.born == 2);
}

/// Guards against a return before the removal of an upstream that has ended: another
/// restore starts the store's wait for its heartbeats again.
#[test]
fn return_is_delayed_by_another_copy() {
    let mut directory = directory_with_returns(1);

    assert!(!directory.schedule_return(at(8_000), registration(1)));

    assert_eq!(directory.returns(at(6_000)).count(), 1);
    assert_eq!(directory.returns(at(6_000)).next().unwrap().1, ms(2_000));
    assert!(directory.apply_returns(at(7_999), at(7_999)).is_empty());
    assert_eq!(directory.apply_returns(at(8_000), at(8_000)).len(), 1);
}

/// Guards against the return of an upstream that the store is still about to remove, after
/// three heartbeat intervals of silence.
#[test]
fn return_waits_longer_than_the_store_waits_for_heartbeats() {
    assert!(return_delay(ms(870)) >= ms(3 * 870) + REREGISTRATION_GRACE);
}

/// Guards against an upstream that is used again, since its registration does not say what it
/// has said in a response: that it is leaving.
#[test]
fn upstream_that_says_it_is_leaving_is_not_used_again() {
    let mut directory = Directory::default();
    directory.apply(at(0), at(0), registration(1));
    let (upstream, _) = directory.find("u1").unwrap();

    let is_new = directory.record_leaving(at(1_000), upstream);
    let repeated = directory.record_leaving(at(1_500), upstream);
    let ready = Registration {
        sequence: 2,
        ..registration(1)
    };
    let is_change = directory.is_changed_by(at(0), &ready);
    directory.apply(at(2_000), at(1_000), ready);
    let record = directory.get(upstream).unwrap().clone();
    let next = Registration {
        born: 2,
        ..registration(1)
    };
    directory.apply(at(3_000), at(2_000), next);

    assert_eq!((is_new, repeated, is_change), (true, false, false));
    assert!(!record.usable);
    assert_eq!(record.leaving_since, Some(at(1_000)));
    assert!(directory.find("u1").unwrap().1.usable);
}

/// Guards against followers that send an upstream the full rate after it has become cold
/// again, since its registration is not passed on.
#[test]
fn upstream_that_becomes_cold_again_is_a_change() {
    let mut directory = Directory::default();
    let later = |sequence, warmup| Registration {
        warmup: ms(warmup),
        sequence,
        ..registration(1)
    };
    directory.apply(at(0), at(0), later(1, 3_000));

    let as_expected = directory.is_changed_by(at(1_000), &later(2, 2_000));
    let warm_early = directory.is_changed_by(at(2_000), &later(3, 0));
    directory.apply(at(2_000), at(1_900), later(3, 0));
    let cold_again = directory.is_changed_by(at(5_000), &later(4, 3_000));

    assert_eq!((as_expected, warm_early, cold_again), (false, false, true));
}

/// Guards against upstreams of a failure domain that count as warm because of a registration
/// from before they became cold.
#[test]
fn marked_upstreams_stay_cold_whatever_they_register() {
    let mut directory = Directory::default();
    for number in [1, 2] {
        directory.apply(at(0), at(0), registration(number));
    }
    let other = Registration {
        domain: "b".into(),
        ..registration(3)
    };
    directory.apply(at(0), at(0), other);

    directory.mark_cold("a", |_| at(4_000));
    let repeated = Registration {
        sequence: 2,
        ..registration(1)
    };
    directory.apply(at(1_500), at(1_400), repeated);
    let restarted = Registration {
        born: 2,
        ..registration(2)
    };
    directory.apply(at(1_500), at(1_400), restarted);

    let cold: Vec<&str> = directory
        .cold(at(2_000))
        .map(|(_, record)| record.registration.id.as_str())
        .collect();
    assert_eq!(cold, ["u1"]);
    assert_eq!(directory.cold(at(4_000)).count(), 0);
}

/// Guards against an upstream that ends and comes back under its id, and is sent the full rate
/// before its registration says that it is cold; and against one that stays limited although
/// it has not ended.
#[test]
fn upstream_that_refused_a_connection_counts_as_cold() {
    let mut directory = Directory::default();
    for number in [1, 2] {
        directory.apply(at(0), at(0), registration(number));
    }
    let keys: Vec<_> = directory.usable().map(|(upstream, _)| upstream).collect();
    let sequel = |number| Registration {
        sequence: 2,
        ..registration(number)
    };

    let is_new = keys
        .iter()
        .map(|key| directory.record_absence(at(1_000), *key, at(11_000)));
    let is_new: Vec<bool> = is_new.collect();
    directory.apply(at(1_200), at(900), sequel(1));
    let before = directory.cold(at(1_300)).count();
    directory.apply(
        at(1_800),
        at(1_700),
        Registration {
            sequence: 3,
            ..sequel(1)
        },
    );
    let (second, _) = directory.find("u2").unwrap();
    directory.record_return(at(4_000), second, ms(3_000));

    let cold = |now| -> Vec<String> {
        let cold = directory.cold(now);
        cold.map(|(_, record)| record.registration.id.clone())
            .collect()
    };
    assert_eq!((is_new, before), (vec![true, true], 2));
    assert_eq!(cold(at(6_900)), ["u2"]);
    assert!(cold(at(7_000)).is_empty());
}
