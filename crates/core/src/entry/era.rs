//! Eras of the platform's store.
//!
//! The store may come back from a copy that is some seconds old. Records that it has
//! acknowledged since the copy was made are then gone, and their offsets are given out
//! again for other records. A new era begins each time this happens. Offsets of two eras
//! cannot be compared: a lower one may name a later record, and equal ones may name
//! different records.

use medlarreel_macros::data;

/// Period in which the store has not lost any records. 0 if it is not known.
#[data(key)]
#[derive(Default)]
pub struct Era(pub u64);

impl Era {
    /// Whether any response has named the era.
    pub fn is_known(self) -> bool {
        self != Era::default()
    }
}
