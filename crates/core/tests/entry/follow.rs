//! Following a topic of the store through other instances.

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::follow::{Fit, Position, read_up_to, retry_delay};

use crate::fixture::{at, ms};

/// Era of the store in tests in which it does not change.
const ERA: Era = Era(1);

/// Position of a follower that has loaded a topic up to offset 100 at time 0.
fn loaded() -> Position {
    let mut position = Position::default();
    position.observe_era(ERA);
    position.advance(100, at(0));
    position
}

/// Guards against a store that every instance of a large fleet reads at once when the
/// leader is lost: the limit on calls is exceeded, and all of them are refused.
#[test]
fn only_the_first_instance_of_a_domain_reads_while_the_leader_is_silent() {
    let mut positions = vec![loaded(); 59];
    for position in &mut positions {
        position.observe_reader(at(10), ERA, 100, ms(0));
    }
    let mut reads = vec![0; positions.len()];

    for time in (10..6_010).step_by(10) {
        for reader in 0..positions.len() {
            if !positions[reader].should_read(at(time), false, reader as u32) {
                continue;
            }
            // Each read takes 10 ms and its result reaches the others 30 ms later.
            reads[reader] += 1;
            for (other, position) in positions.iter_mut().enumerate() {
                if other != reader {
                    position.observe_reader(at(time + 40), ERA, 100, ms(40));
                }
            }
        }
    }

    assert!(reads[0] > 0);
    assert_eq!(reads[1..].iter().sum::<u32>(), 0);
}

/// Guards against a domain without news if the instance that should read is lost too.
#[test]
fn another_instance_reads_if_the_first_does_not() {
    let mut position = loaded();
    position.observe_reader(at(0), ERA, 100, ms(0));

    assert!(!position.should_read(at(1_100), false, 1));
    assert!(position.should_read(at(1_200), false, 1));
    assert!(position.should_read(at(1_700), false, 500));
}

/// Guards against a follower that never matches the leader's batches again once it has
/// read the store itself, and so reads for itself from then on.
#[test]
fn batch_that_overlaps_with_applied_records_is_applied() {
    let position = loaded();

    assert_eq!(position.fit(ERA, 90, 110), Fit::Next);
    assert_eq!(position.fit(ERA, 100, 110), Fit::Next);
    assert_eq!(position.fit(ERA, 80, 100), Fit::Known);
    assert_eq!(position.fit(ERA, 101, 110), Fit::Gap);
    assert_eq!(Position::default().fit(ERA, 0, 5), Fit::Gap);
}

/// Guards against missed records that are read from the store although another instance
/// can send them, and against records that are never read if none does.
#[test]
fn missed_records_are_requested_before_they_are_read() {
    let mut position = loaded();

    position.observe_reader(at(100), ERA, 105, ms(0));
    let requests = [at(100), at(150), at(250)].map(|now| position.take_request(now));

    assert_eq!(requests, [true, false, true]);
    assert!(!position.should_read(at(400), false, 0));
    assert!(position.should_read(at(500), false, 0));
    position.advance(105, at(510));
    assert!(!position.should_read(at(520), false, 0));
    assert!(!position.take_request(at(520)));
}

/// Guards against records that nobody sends: the instance that has named them may have
/// missed them as well. The leader alone must not be asked by a whole fleet at once.
#[test]
fn every_second_request_for_missed_records_goes_to_the_leader() {
    let mut position = loaded();
    position.observe_reader(at(100), ERA, 105, ms(0));
    assert!(!position.should_ask_leader());

    let asked = [at(100), at(150), at(250), at(400)].map(|now| {
        position.take_request(now);
        position.should_ask_leader()
    });
    position.advance(105, at(510));
    position.observe_reader(at(600), ERA, 106, ms(0));
    position.take_request(at(600));

    assert_eq!(asked, [false, false, true, false]);
    assert!(!position.should_ask_leader(), "records were received");
}

/// Guards against records that arrive twice as late if the leader is cut off from the store:
/// the age of its last read and the time without news of a later one must not add up.
#[test]
fn time_without_reads_counts_from_the_last_read() {
    let mut position = loaded();

    for now in (0..1_000).step_by(250) {
        position.observe_reader(at(now), ERA, 100, ms(now));
    }

    assert!(!position.should_read(at(990), false, 0));
    assert!(position.should_read(at(1_000), false, 0));
}

/// Guards against records that count as read although they were written while an empty answer
/// was on its way: what upstreams that leave are sent after that would be too late.
#[test]
fn an_empty_answer_shows_no_more_than_the_time_that_the_store_has_waited() {
    let empty = read_up_to(at(100), ms(500), true);
    let records = read_up_to(at(100), ms(500), false);

    assert_eq!((empty, records), (at(600), at(100)));
}

/// Guards against trusting a leader that itself gets no responses from the store.
#[test]
fn outdated_reads_do_not_count() {
    let mut position = loaded();

    assert!(!position.observe_reader(at(900), ERA, 100, ms(1_001)));

    assert!(position.should_read(at(1_000), false, 0));
    assert_eq!(position.as_of(), at(0));
}

/// Guards against a store that all instances read at once when all have started together.
#[test]
fn topic_is_loaded_from_the_store_only_if_no_neighbour_sends_it() {
    let position = Position::default();

    assert!(position.should_load(ms(0), Some(0)));
    assert!(!position.should_load(ms(100), Some(1)));
    assert!(position.should_load(ms(120), Some(1)));
    assert!(!position.should_load(ms(500), None));
    assert!(position.should_load(ms(600), None));
    assert!(position.should_load(ms(600), Some(500)));
    assert!(!loaded().should_load(ms(600), Some(0)));
}

/// Guards against a store that is kept busy by retries during an outage: 295 instances
/// made over 11,000 calls within 8 s.
#[test]
fn followers_retry_less_and_less_often_during_an_outage() {
    let retries_within = |is_leader, outage| {
        let mut elapsed = ms(0);
        (1..)
            .take_while(|failures| {
                elapsed += retry_delay(is_leader, *failures);
                elapsed < outage
            })
            .count()
    };

    assert!(retries_within(false, ms(8_000)) <= 6);
    assert!(retries_within(true, ms(8_000)) >= 20);
    assert!(retry_delay(false, u32::MAX) <= ms(2_400));
}

/// Guards against records of a restored store that an instance takes for known ones
/// because their offsets are lower than its own.
#[test]
fn offsets_of_another_era_are_not_compared() {
    let mut position = loaded();

    assert_eq!(position.fit(Era(2), 80, 90), Fit::Gap);
    assert!(position.observe_reader(at(100), Era(2), 90, ms(0)));
    assert_eq!(position.next_offset(), None);
    assert_eq!(position.fit(Era(2), 80, 90), Fit::Gap);
    assert_eq!(position.fit(Era(1), 100, 110), Fit::Outdated);
    position.advance(90, at(100));
    assert_eq!(position.fit(Era(2), 80, 90), Fit::Known);
    assert_eq!(position.fit(Era(2), 90, 95), Fit::Next);
}

/// Guards against an instance that follows a reader which still sees the store from
/// before it was restored.
#[test]
fn reader_of_an_earlier_era_counts_as_silent() {
    let mut position = loaded();
    position.observe_era(Era(2));
    position.advance(90, at(0));

    assert!(!position.observe_reader(at(900), Era(1), 200, ms(0)));

    assert!(!position.is_behind());
    assert!(position.should_read(at(1_000), false, 0));
}

/// Guards against instances that stop serving requests when the store was restored or
/// has dropped old records.
#[test]
fn topic_that_must_be_loaded_again_counts_as_loaded() {
    let mut restored = loaded();
    let mut trimmed = loaded();

    assert!(restored.observe_era(Era(2)));
    assert!(!restored.observe_era(Era(1)));
    trimmed.reset();

    for position in [restored, trimmed] {
        assert!(position.is_loaded());
        assert_eq!(position.next_offset(), None);
        assert!(!position.should_load(ms(100), Some(1)));
        assert!(position.should_load(ms(120), Some(1)));
    }
    assert!(!Position::default().is_loaded());
}

/// Guards against a snapshot that undoes changes which an instance has applied.
#[test]
fn only_a_snapshot_that_is_not_older_is_accepted() {
    let mut position = loaded();
    assert!(!position.accepts_snapshot(ERA, 200), "nothing to load");

    position.reset();
    assert!(!position.accepts_snapshot(ERA, 99));
    assert!(position.accepts_snapshot(ERA, 100));

    position.observe_era(Era(2));
    assert!(!position.accepts_snapshot(ERA, 200));
    assert!(position.accepts_snapshot(Era(2), 50));
}
