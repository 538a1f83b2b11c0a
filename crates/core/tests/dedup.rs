//! Idempotency keys at the dispatcher.

use medlarreel_core::dedup::{Ending, KEY_AGE, Key, Table, Verdict};
use medlarreel_core::time::Time;
use proptest::prelude::*;

const KEY: Key = Key(7);

fn after_key_age(time: Time) -> Time {
    time + KEY_AGE
}

/// Guards against a second run while the first is open, ended or unresolved.
#[test]
fn a_repeated_key_is_answered_from_the_table() {
    let mut table = Table::new(10, None);

    assert_eq!(table.begin(Time(0), KEY, 1), Verdict::First);
    assert_eq!(table.begin(Time(1), KEY, 1), Verdict::InProgress);
    assert!(table.finish(Time(2), KEY, Ending::Answered(42)));
    assert_eq!(table.begin(Time(3), KEY, 2), Verdict::Finished(42));
    assert!(!table.finish(Time(4), KEY, Ending::NotRun));
    assert_eq!(table.begin(Time(5), KEY, 1), Verdict::Finished(42));
}

/// Guards against an unresolved run being taken for a refusal, and a refusal
/// blocking the caller's next attempt.
#[test]
fn unknown_stays_unknown_and_not_run_frees_the_key() {
    let mut table = Table::new(10, None);

    table.begin(Time(0), KEY, 1);
    table.finish(Time(0), KEY, Ending::NotRun);
    assert_eq!(table.begin(Time(1), KEY, 2), Verdict::First);
    table.finish(Time(2), KEY, Ending::Unknown);

    assert_eq!(table.begin(Time(3), KEY, 3), Verdict::Unknown);
}

/// Guards against a new dispatcher running what its predecessor may have run.
#[test]
fn a_new_table_does_not_vouch_for_repeats() {
    let appointed = Time(5_000_000);
    let mut table = Table::new(10, Some(appointed));

    assert_eq!(table.begin(appointed, KEY, 2), Verdict::Unknown);
    assert_eq!(table.begin(appointed, Key(8), 1), Verdict::First);
    let covered = after_key_age(appointed);
    assert_eq!(table.begin(Time(covered.0 - 1), KEY, 2), Verdict::Unknown);
    assert_eq!(table.begin(covered, KEY, 2), Verdict::First);
    assert_eq!(table.covered_since(), Some(appointed));
}

/// Guards against a full table forgetting a key that can still be repeated.
#[test]
fn a_full_table_refuses_new_keys() {
    let mut table = Table::new(2, None);
    table.begin(Time(0), Key(1), 1);
    table.begin(Time(0), Key(2), 1);
    table.finish(Time(0), Key(1), Ending::Answered(11));

    assert_eq!(table.begin(Time(1), Key(3), 1), Verdict::Full);
    assert_eq!(table.begin(Time(1), Key(1), 2), Verdict::Finished(11));

    let later = after_key_age(Time(0));
    assert_eq!(table.expire(later), [11]);
    assert_eq!(table.begin(later, Key(3), 1), Verdict::First);
    assert_eq!(table.begin(later, Key(2), 2), Verdict::InProgress);
}

proptest! {
    /// Guards against a key running twice within its age, and against a table
    /// beyond its bound, in any history.
    #[test]
    fn a_key_runs_at_most_once(
        steps in prop::collection::vec((0..6u128, 1..3u32, 0..5u8, 0..20_000_000u64), 1..200),
    ) {
        let mut table = Table::new(4, Some(Time(0)));
        // State of each key by plain rules: when it ended, and its answer.
        let mut model = std::collections::BTreeMap::new();
        let (mut now, mut open, mut stored) = (0, vec![], vec![]);
        for (serial, (key, attempt, action, wait)) in (0..).zip(steps) {
            now += wait;
            model.retain(|_, state: &mut Option<(u64, Option<u64>)>| {
                state.is_none_or(|(ended, _)| now - ended < KEY_AGE.as_micros() as u64)
            });
            if action < 3 {
                let pending = stored.iter().filter(|answer| {
                    !model.values().any(|state| state.is_some_and(|(_, one)| one == Some(**answer)))
                });
                let expected = match model.get(&key) {
                    Some(None) => Verdict::InProgress,
                    Some(Some((_, Some(answer)))) => Verdict::Finished(*answer),
                    Some(Some((_, None))) => Verdict::Unknown,
                    None if attempt > 1 && now < 60_000_000 => Verdict::Unknown,
                    None if model.len() + pending.count() >= 4 => Verdict::Full,
                    None => Verdict::First,
                };
                prop_assert_eq!(table.begin(Time(now), Key(key), attempt), expected);
                if expected == Verdict::First {
                    model.insert(key, None);
                    open.push(key);
                }
            } else if let Some(key) = open.pop() {
                let ending = [Ending::Answered(serial), Ending::Unknown, Ending::NotRun];
                let ending = ending[serial as usize % 3];
                prop_assert!(table.finish(Time(now), Key(key), ending));
                match ending {
                    Ending::Answered(answer) => {
                        stored.push(answer);
                        model.insert(key, Some((now, Some(answer))));
                    }
                    Ending::Unknown => drop(model.insert(key, Some((now, None)))),
                    Ending::NotRun => drop(model.remove(&key)),
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
