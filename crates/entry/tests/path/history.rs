//! Recent batches of records that are kept for other instances.

use medlarreel_core::entry::era::Era;
use medlarreel_core::time::Time;
use medlarreel_entry::reader::feed::{RecordBatch, Topic};
use medlarreel_entry::reader::history::History;

fn at(ms: u64) -> Time {
    Time(60_000_000 + ms * 1_000)
}

fn batch(from: u64, end: u64, grace_ms: u64) -> RecordBatch {
    RecordBatch {
        topic: Topic::Directory,
        era: Era(1),
        from,
        end,
        records: vec![("i-1".into(), None)],
        grace_ms,
    }
}

/// Guards against records that an instance applies although earlier ones are missing.
#[test]
fn only_complete_sequences_are_returned() {
    let mut history = History::default();
    history.record(at(0), batch(10, 20, 0));
    history.record(at(10), batch(20, 25, 0));
    history.record(at(20), batch(23, 30, 0));

    let offsets = |from| {
        let batches = history.batches_from(at(30), from);
        batches.iter().map(|batch| batch.from).collect::<Vec<u64>>()
    };

    assert!(offsets(9).is_empty());
    assert_eq!(offsets(12), [10, 20, 23]);
    assert_eq!(offsets(25), [23]);
    assert!(offsets(30).is_empty());
}

/// Guards against a gap inside the kept batches.
#[test]
fn batch_after_a_gap_replaces_the_earlier_ones() {
    let mut history = History::default();
    history.record(at(0), batch(10, 20, 0));

    history.record(at(10), batch(21, 25, 0));

    assert!(history.batches_from(at(20), 12).is_empty());
    assert_eq!(history.batches_from(at(20), 21).len(), 1);
}

/// Guards against a removal that is delayed once more each time that it is passed on.
#[test]
fn grace_of_a_removal_runs_from_its_first_receipt() {
    let mut history = History::default();

    history.record(at(0), batch(10, 20, 2_000));

    assert_eq!(history.batches_from(at(500), 10)[0].grace_ms, 1_500);
    assert_eq!(history.batches_from(at(9_000), 10)[0].grace_ms, 0);
}

/// Guards against memory that grows with the number of records.
#[test]
fn old_batches_are_dropped() {
    let mut history = History::default();

    for number in 0..1_000 {
        history.record(at(number), batch(number, number + 1, 0));
    }

    assert!(history.batches_from(at(1_000), 900).is_empty());
    assert_eq!(history.batches_from(at(1_000), 990).len(), 10);
}
