//! Cost of the table of idempotency keys by its entries.

use medlarreel_core::dedup::{Completion, KEY_RETENTION, KeyHash, KeyStatus, KeyTable as Keys};
use medlarreel_core::time::Time;

use super::table::{Table, slope};
use super::{heap_bytes, measure, measure_warm};

const OPERATIONS: u128 = 10_000;

/// Cost of begin with finish, of a repeat and of expiry at several sizes.
pub fn tables() -> Vec<Table> {
    let columns = [
        "entries",
        "begin+finish ns",
        "slope",
        "repeat ns",
        "expire ns/key",
        "bytes/entry",
    ];
    let mut table = Table::new("dedup, by entries", &columns);
    let mut last = None;
    for entries in [100, 1_000, 10_000, 100_000, 1_000_000] {
        let keys = filled(entries);
        let count = OPERATIONS as usize;
        let warm = |keys: &mut Keys| run_one(keys, u128::MAX);
        let fresh = measure_warm(&keys, count, warm, |keys| run_many(keys, entries));
        let repeat = measure(&keys, count, |keys| {
            let again = (0..OPERATIONS).map(|serial| key(serial % entries));
            again
                .filter(|key| keys.begin(Time(1), *key, 2) == KeyStatus::New)
                .count()
        });
        let expire = measure(&keys, entries as usize, |keys| {
            keys.expire(Time(1) + KEY_RETENTION)
        });
        let bytes = heap_bytes(&keys) / entries as f64;
        table.row(vec![
            entries.to_string(),
            format!("{fresh:.0}"),
            slope(last, entries as f64, fresh),
            format!("{repeat:.0}"),
            format!("{expire:.0}"),
            format!("{bytes:.0}"),
        ]);
        last = Some((entries as f64, fresh));
    }
    vec![table]
}

fn key(serial: u128) -> KeyHash {
    KeyHash(serial.wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_0C7A_2B1D_4E85))
}

fn filled(entries: u128) -> Keys {
    let mut keys = Keys::new(usize::MAX, None);
    for serial in 0..entries {
        keys.begin(Time(0), key(serial), 1);
        keys.finish(Time(0), key(serial), Completion::Answered(serial as u64));
    }
    keys
}

fn run_many(keys: &mut Keys, entries: u128) {
    for serial in entries..entries + OPERATIONS {
        run_one(keys, serial);
    }
}

fn run_one(keys: &mut Keys, serial: u128) {
    keys.begin(Time(1), key(serial), 1);
    keys.finish(Time(1), key(serial), Completion::Answered(serial as u64));
}
