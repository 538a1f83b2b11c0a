//! Audit trail of accepted changes.

use std::collections::VecDeque;
use std::fmt::Display;

use medlarreel_macros::data;

use crate::ids::Offset;

/// Maximum number of entries in the trail.
pub const MAX_ENTRIES: usize = 1_024;

/// One accepted change.
#[data(value)]
pub struct AuditEntry {
    /// Offset of the record that made the change.
    pub offset: Offset,
    /// What changed.
    pub subject: String,
    /// Why it changed.
    pub cause: String,
    /// Previous value.
    pub before: String,
    /// New value.
    pub after: String,
}

/// The newest `MAX_ENTRIES` changes.
#[data(value)]
#[derive(Default)]
pub struct AuditTrail(VecDeque<AuditEntry>);

impl AuditTrail {
    /// Entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.0.iter()
    }

    /// Adds a change and drops the oldest entry beyond the limit.
    pub fn record(
        &mut self,
        offset: Offset,
        subject: String,
        cause: impl Into<String>,
        before: impl Display,
        after: impl Display,
    ) {
        let cause = cause.into();
        let (before, after) = (before.to_string(), after.to_string());
        self.0.push_back(AuditEntry {
            offset,
            subject,
            cause,
            before,
            after,
        });
        if self.0.len() > MAX_ENTRIES {
            self.0.pop_front();
        }
    }
}
