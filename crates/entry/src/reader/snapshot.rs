//! Contents of a topic, as instances send them to each other.

use std::time::Duration;

use medlarreel_core::entry::directory::Registration;
use medlarreel_core::entry::evacuation::Evacuation;
use medlarreel_core::time::Time;
use medlarreel_macros::data;

use super::feed::Progress;

/// Contents of a topic, sent to an instance that must load it.
#[data(value)]
pub struct Snapshot {
    /// Time at the receiver at which it sent its request.
    pub(super) requested_at: Time,
    /// How far the sender has read the topic.
    pub(super) progress: Progress,
    pub(super) content: Content,
}

#[data(value)]
pub(super) enum Content {
    /// What the operator has ordered.
    Config {
        /// Encoded configuration.
        config: Vec<u8>,
        /// Orders to evacuate failure domains.
        evacuations: Vec<Evacuation>,
    },
    /// Registrations of upstreams.
    Directory {
        /// Registrations of all registered upstreams.
        registered: Vec<Registration>,
        /// Registrations that count again after a delay.
        returns: Vec<(Registration, Duration)>,
    },
}
