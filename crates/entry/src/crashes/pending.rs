//! Trials of suspected requests that this instance has begun.

use std::cell::RefCell;
use std::collections::HashMap;

use medlarreel_core::entry::suspects::Fingerprint;
use tokio::sync::oneshot;

/// Suspected requests that this instance sends or asks leave for, and the channels to the
/// tasks that wait for replies.
#[derive(Debug, Default)]
pub struct PendingTrials {
    pub(super) pending: RefCell<HashMap<Fingerprint, Option<oneshot::Sender<bool>>>>,
}
