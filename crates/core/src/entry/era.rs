//! Eras of the platform's store.
//!
//! The store may come back from a copy that is some seconds old. Records that it has
//! acknowledged since the copy was made are then gone, and their offsets are given out
//! again for other records. A new era begins each time this happens. Offsets of two eras
//! cannot be compared: a lower one may name a later record, and equal ones may name
//! different records.
//!
//! Epochs of leaders are derived from offsets, so they contain the era. A leader that stops
//! may pass its claim on to a successor, without a record in the store. The successor leads
//! a new epoch of the same claim, so that an epoch names one process.

use medlarreel_macros::data;

/// Period in which the store has not lost any records. 0 if it is not known.
#[data(key)]
#[derive(Default)]
pub struct Era(pub u64);

/// Position of the era in an epoch; the offset of the claim is below it.
const EPOCH_ERA_SHIFT: u32 = 36;

/// Number of low bits of an epoch that count the transfers of its claim.
const EPOCH_TRANSFER_BITS: u32 = 4;

impl Era {
    /// First era of a store. Nothing has been lost in it.
    pub const FIRST: Era = Era(1);

    /// Epoch that is claimed by the record at `offset` in this era. It is above all epochs
    /// of earlier eras, and above 0, which means that there is no leader.
    pub const fn epoch_at(self, offset: u64) -> u64 {
        (self.0 << EPOCH_ERA_SHIFT) + ((offset + 1) << EPOCH_TRANSFER_BITS)
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

/// Epoch of the successor to which the leader of `epoch` passes its claim on; `None` if
/// the claim has been passed on too often.
pub fn transferred_epoch(epoch: u64) -> Option<u64> {
    let next = epoch + 1;
    is_same_claim(epoch, next).then_some(next)
}

/// Whether the leaders of two epochs lead by the same claim.
pub fn is_same_claim(epoch: u64, other: u64) -> bool {
    epoch >> EPOCH_TRANSFER_BITS == other >> EPOCH_TRANSFER_BITS
}
