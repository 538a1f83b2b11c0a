//! Eras of the platform's store.
//!
//! The store may come back from a copy that is some seconds old. Records that it has
//! acknowledged since the copy was made are then gone, and their offsets are given out
//! again for other records. A new era begins each time this happens. Offsets of two eras
//! cannot be compared: a lower one may name a later record, and equal ones may name
//! different records. Epochs of leaders are derived from offsets, so they contain the era.

use medlarreel_macros::data;

/// Period in which the store has not lost any records. 0 if it is not known.
#[data(key)]
#[derive(Default)]
pub struct Era(pub u64);

/// Position of the era in an epoch; the offset is below it.
const EPOCH_ERA_SHIFT: u32 = 32;

impl Era {
    /// First era of a store. Nothing has been lost in it.
    pub const FIRST: Era = Era(1);

    /// Epoch that is claimed by the record at `offset` in this era. It is above all epochs
    /// of earlier eras, and above 0, which means that there is no leader.
    pub const fn epoch_at(self, offset: u64) -> u64 {
        (self.0 << EPOCH_ERA_SHIFT) + offset + 1
    }

    /// Era in which an epoch was claimed.
    pub fn of_epoch(epoch: u64) -> Era {
        Era(epoch >> EPOCH_ERA_SHIFT)
    }

    /// Whether any response has named the era.
    pub fn is_known(self) -> bool {
        self != Era::default()
    }
}
