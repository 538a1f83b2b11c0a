//! Tests of the table of idempotency keys.

use medlarreel_core::dedup::{Completion, KEY_RETENTION, KeyHash, KeyStatus, KeyTable};
use medlarreel_core::time::Time;
use proptest::prelude::*;

const KEY: KeyHash = KeyHash(7);

fn after_retention(time: Time) -> Time {
    time + KEY_RETENTION
}

/// Guards against a second run while the first is in progress, and after it was answered.
#[test]
fn a_repeated_key_is_answered_from_the_table() {
    let mut table = KeyTable::new(10, None);

    assert_eq!(table.begin(Time(0), KEY, 1), KeyStatus::New);
    assert_eq!(table.begin(Time(1), KEY, 1), KeyStatus::InProgress);
    assert!(table.finish(Time(2), KEY, Completion::Answered(42)));
    assert_eq!(table.begin(Time(3), KEY, 2), KeyStatus::Finished(42));
    assert!(!table.finish(Time(4), KEY, Completion::NotRun));
    assert_eq!(table.begin(Time(5), KEY, 1), KeyStatus::Finished(42));
}

/// Guards against a run with an unknown result being treated as not run, and against a
/// request that was not run blocking the caller's next attempt.
#[test]
fn unknown_stays_unknown_and_not_run_frees_the_key() {
    let mut table = KeyTable::new(10, None);

    table.begin(Time(0), KEY, 1);
    table.finish(Time(0), KEY, Completion::NotRun);
    assert_eq!(table.begin(Time(1), KEY, 2), KeyStatus::New);
    table.finish(Time(2), KEY, Completion::Unknown);

    assert_eq!(table.begin(Time(3), KEY, 3), KeyStatus::Unknown);
}

/// Guards against a new dispatcher running a request that its predecessor may have run.
#[test]
fn a_new_table_does_not_run_repeats() {
    let appointed = Time(5_000_000);
    let mut table = KeyTable::new(10, Some(appointed));

    assert_eq!(table.begin(appointed, KEY, 2), KeyStatus::Unknown);
    assert_eq!(table.begin(appointed, KeyHash(8), 1), KeyStatus::New);
    let covered = after_retention(appointed);
    assert_eq!(table.begin(Time(covered.0 - 1), KEY, 2), KeyStatus::Unknown);
    assert_eq!(table.begin(covered, KEY, 2), KeyStatus::New);
    assert_eq!(table.covered_since(), Some(appointed));
}

/// Guards against a full table evicting a key that may still be repeated.
#[test]
fn a_full_table_refuses_new_keys() {
    let mut table = KeyTable::new(2, None);
    table.begin(Time(0), KeyHash(1), 1);
    table.begin(Time(0), KeyHash(2), 1);
    table.finish(Time(0), KeyHash(1), Completion::Answered(11));

    assert_eq!(table.begin(Time(1), KeyHash(3), 1), KeyStatus::TableFull);
    assert_eq!(table.begin(Time(1), KeyHash(1), 2), KeyStatus::Finished(11));

    let later = after_retention(Time(0));
    assert_eq!(table.expire(later), [11]);
    assert_eq!(table.begin(later, KeyHash(3), 1), KeyStatus::New);
    assert_eq!(table.begin(later, KeyHash(2), 2), KeyStatus::InProgress);
}

proptest! {
    /// Guards against a key that runs twice within `KEY_RETENTION`, and against a table
    /// that exceeds its capacity, in random histories.
    #[test]
    fn a_key_runs_at_most_once(
        steps in prop::collection::vec((0..6u128, 1..3u32, 0..5u8, 0..20_000_000u64), 1..200),
    ) {
        let mut table = KeyTable::new(4, Some(Time(0)));
        // Reference model: when each key's request ended, if it has, and its answer.
        let mut model = std::collections::BTreeMap::new();
        let (mut now, mut running, mut stored) = (0, vec![], vec![]);
        for (step, (key, attempt, action, wait)) in (0..).zip(steps) {
            now += wait;
            model.retain(|_, state: &mut Option<(u64, Option<u64>)>| {
                state.is_none_or(|(ended, _)| now - ended < KEY_RETENTION.as_micros() as u64)
            });
            if action < 3 {
                let pending = stored.iter().filter(|answer| {
                    !model.values().any(|state| state.is_some_and(|(_, id)| id == Some(**answer)))
                });
                let expected = match model.get(&key) {
                    Some(None) => KeyStatus::InProgress,
                    Some(Some((_, Some(answer)))) => KeyStatus::Finished(*answer),
                    Some(Some((_, None))) => KeyStatus::Unknown,
                    None if attempt > 1 && now < 60_000_000 => KeyStatus::Unknown,
                    None if model.len() + pending.count() >= 4 => KeyStatus::TableFull,
                    None => KeyStatus::New,
                };
                prop_assert_eq!(table.begin(Time(now), KeyHash(key), attempt), expected);
                if expected == KeyStatus::New {
                    model.insert(key, None);
                    running.push(key);
                }
            } else if let Some(key) = running.pop() {
                let completion = [Completion::Answered(step), Completion::Unknown, Completion::NotRun];
                let completion = completion[step as usize % 3];
                prop_assert!(table.finish(Time(now), KeyHash(key), completion));
                match completion {
                    Completion::Answered(answer) => {
                        stored.push(answer);
                        model.insert(key, Some((now, Some(answer))));
                    }
                    Completion::Unknown => drop(model.insert(key, Some((now, None)))),
                    Completion::NotRun => drop(model.remove(&key)),
                }
            } else {
                let dropped = table.expire(Time(now));
                prop_assert!(dropped.iter().all(|answer| stored.contains(answer)));
                stored.retain(|answer| !dropped.contains(answer));
            }
            prop_assert!(table.len() <= 4);
        }
    }
}
