//! Cost of the table of idempotency keys by its number of entries.

use medlarreel_core::dedup::{Completion, KEY_RETENTION, KeyHash, KeyStatus, KeyTable};
use medlarreel_core::time::Time;

use super::table::{Table, slope};
use super::{heap_bytes, measure, measure_warm};

const OPERATIONS: u128 = 10_000;

/// Cost of new keys, of repeated keys and of expiry at several sizes.
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
    let mut previous = None;
    for entries in [100, 1_000, 10_000, 100_000, 1_000_000] {
        let keys = filled_table(entries);
        let count = OPERATIONS as usize;
        let prepare = |keys: &mut KeyTable| add_key(keys, u128::MAX);
        let begin_finish_ns = measure_warm(&keys, count, prepare, |keys| add_keys(keys, entries));
        let repeat_ns = measure(&keys, count, |keys| {
            let hashes = (0..OPERATIONS).map(|serial| key_hash(serial % entries));
            hashes
                .filter(|key_hash| keys.begin(Time(1), *key_hash, 2) == KeyStatus::New)
                .count()
        });
        let expire_ns = measure(&keys, entries as usize, |keys| {
            keys.expire(Time(1) + KEY_RETENTION)
        });
        let bytes_per_entry = heap_bytes(&keys) / entries as f64;
        table.add_row(vec![
            entries.to_string(),
            format!("{begin_finish_ns:.0}"),
            slope(previous, entries as f64, begin_finish_ns),
            format!("{repeat_ns:.0}"),
            format!("{expire_ns:.0}"),
            format!("{bytes_per_entry:.0}"),
        ]);
        previous = Some((entries as f64, begin_finish_ns));
    }
    vec![table]
}

fn key_hash(serial: u128) -> KeyHash {
    KeyHash(serial.wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_0C7A_2B1D_4E85))
}

fn filled_table(entries: u128) -> KeyTable {
    let mut keys = KeyTable::new(usize::MAX, None);
    for serial in 0..entries {
        keys.begin(Time(0), key_hash(serial), 1);
        keys.finish(
            Time(0),
            key_hash(serial),
            Completion::Answered(serial as u64),
        );
    }
    keys
}

fn add_keys(keys: &mut KeyTable, entries: u128) {
    for serial in entries..entries + OPERATIONS {
        add_key(keys, serial);
    }
}

fn add_key(keys: &mut KeyTable, serial: u128) {
    keys.begin(Time(1), key_hash(serial), 1);
    keys.finish(
        Time(1),
        key_hash(serial),
        Completion::Answered(serial as u64),
    );
}
