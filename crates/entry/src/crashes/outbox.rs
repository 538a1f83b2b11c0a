//! Evidence that waits to be sent to the other instances, and requests that may become
//! evidence.

use medlarreel_core::entry::suspects::{Crash, Fingerprint};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

/// What the exchange task is to do next.
#[derive(Debug, Default)]
pub struct Outbox {
    pub(super) crashes: Vec<(Crash, Time)>,
    pub(super) acquittals: Vec<(Fingerprint, Time)>,
    /// Trials of this instance that have ended.
    pub(super) ended_trials: Vec<Fingerprint>,
    /// Suspected requests that were given up, and their upstreams.
    pub(super) watched: Vec<(Upstream, Fingerprint)>,
}

/// A request that was given up without a response.
#[derive(Clone, Copy, Debug)]
pub struct Abandoned {
    pub(super) upstream: Upstream,
    pub(super) fingerprint: Fingerprint,
    pub(super) at: Time,
}
