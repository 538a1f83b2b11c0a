//! First load of a topic after the start of an instance: from another instance of its
//! failure domain if possible, otherwise from the store.
//!
//! When all instances of a large fleet start at the same time, loads from the store by
//! each of them would be most of its calls.

use std::time::Duration;

use medlarreel_core::entry::directory::Registration;
use medlarreel_core::entry::follow::MAX_READ_AGE;
use medlarreel_macros::data;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use super::{Progress, Topic, reader_position};
use crate::peers::{self, Message};
use crate::platform::config;
use crate::platform::store::KeyedRecord;
use crate::state::State;

/// Interval between requests for a snapshot, each to another instance.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum number of registrations in a snapshot, which then fits into a datagram. Larger
/// directories are loaded from the store.
const MAX_REGISTRATIONS: usize = 800;

/// Contents of a topic, sent to an instance that has just started.
#[data(value)]
pub struct Snapshot {
    /// How far the sender has read the topic.
    progress: Progress,
    content: Content,
}

#[data(value)]
enum Content {
    /// Encoded configuration.
    Config(Vec<u8>),
    /// Registrations of all registered upstreams.
    Directory(Vec<Registration>),
}

/// Requests snapshots of a topic until one has been applied, or until the topic is to be
/// loaded from the store.
pub(super) async fn wait_for_snapshot(state: &State, topic: Topic, socket: &UdpSocket) {
    let started = state.clock.now();
    let feed = state.feed(topic);
    while !feed.is_loaded() {
        let joined = state.has_joined.get();
        let position = joined.then(|| reader_position(state));
        let waited = state.clock.now().since(started);
        if feed.position.borrow().should_load(waited, position) {
            return;
        }
        let neighbours = state.neighbours();
        if let Some((_, address)) = neighbours.choose(&mut rand::rng()) {
            peers::send(socket, *address, &Message::SnapshotRequest { topic }).await;
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Snapshot of a topic for another instance; `None` if this instance has no recent one, or
/// if it is too large.
pub fn snapshot(state: &State, topic: Topic) -> Option<Snapshot> {
    let now = state.clock.now();
    let progress = state.feed(topic).progress(now)?;
    if Duration::from_millis(progress.age_ms) > MAX_READ_AGE {
        return None;
    }
    let content = match topic {
        Topic::Config => Content::Config(state.config_record.borrow().clone()?),
        Topic::Directory => {
            let directory = state.directory.borrow();
            let registrations: Vec<Registration> = directory.registered(now).collect();
            if registrations.len() > MAX_REGISTRATIONS {
                return None;
            }
            Content::Directory(registrations)
        }
    };
    Some(Snapshot { progress, content })
}

/// Applies a snapshot, unless the topic has already been loaded.
pub fn receive_snapshot(state: &State, snapshot: Snapshot) {
    let topic = match &snapshot.content {
        Content::Config(_) => Topic::Config,
        Content::Directory(_) => Topic::Directory,
    };
    let feed = state.feed(topic);
    let age = Duration::from_millis(snapshot.progress.age_ms);
    if feed.is_loaded() || age > MAX_READ_AGE {
        return;
    }
    let now = state.clock.now();
    match snapshot.content {
        Content::Config(value) => {
            let record = KeyedRecord {
                key: config::RECORD_KEY.to_owned(),
                value: Some(value.into()),
                offset: 0,
            };
            super::apply_config(state, &[record]);
        }
        Content::Directory(registrations) => {
            let since = feed.position.borrow().as_of();
            let mut directory = state.directory.borrow_mut();
            for registration in registrations {
                directory.apply(now, since, registration);
            }
        }
    }
    let mut position = feed.position.borrow_mut();
    position.advance(snapshot.progress.end, now - age);
    drop(position);
    tracing::info!(topic = topic.label(), "loaded from another instance");
    state.dispatch_decisions();
}
