//! Load of a topic after the start of an instance, at the beginning of an era of the
//! store, or after records were missed that the store has dropped: from another instance
//! if possible, otherwise from the store.
//!
//! When all instances of a large fleet load a topic at the same time, loads from the store
//! by each of them would be most of its calls.

use std::time::Duration;

use medlarreel_core::entry::directory::Registration;
use medlarreel_core::entry::follow::MAX_READ_AGE;
use medlarreel_core::time::Time;
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use super::feed::{Progress, Topic};
use super::reader_position;
use super::snapshot::{Content, Snapshot};
use crate::peers::{self, Message};
use crate::platform::config;
use crate::platform::store::KeyedRecord;
use crate::state::State;

/// Interval between requests for a snapshot, each to another instance.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// One in this many requests goes to the leader, since the store may refuse the calls of a
/// whole failure domain.
const LEADER_REQUEST_SHARE: u32 = 5;

/// Maximum number of registrations in a snapshot, which then fits into a datagram. Larger
/// directories are loaded from the store.
const MAX_REGISTRATIONS: usize = 800;

/// Requests snapshots of a topic until one has been applied, or until the topic, which has
/// had no offset from `since` on, is to be loaded from the store. The leader loads it from
/// the store at once, since the others wait for its records.
pub(super) async fn wait_for_snapshot(
    state: &State,
    topic: Topic,
    socket: &UdpSocket,
    since: Time,
) {
    let feed = state.feed(topic);
    while feed.must_load() {
        let is_leader = state.leadership.borrow().epoch().is_some();
        let position = match is_leader {
            true => Some(0),
            false => state.has_joined.get().then(|| reader_position(state)),
        };
        let waited = state.clock.now().since(since);
        if feed.position.borrow().should_load(waited, position) {
            return;
        }
        request_snapshot(state, topic, socket).await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Requests a snapshot from an instance of this failure domain, at times from the leader.
pub(super) async fn request_snapshot(state: &State, topic: Topic, socket: &UdpSocket) {
    let neighbours = state.neighbours();
    let neighbour = neighbours.choose(&mut rand::rng());
    let neighbour = neighbour.map(|(_, address)| *address);
    let leader = state.leader_address();
    let receiver = match rand::rng().random_ratio(1, LEADER_REQUEST_SHARE) {
        true => leader.or(neighbour),
        false => neighbour.or(leader),
    };
    if let Some(receiver) = receiver {
        let sent_at = state.clock.now();
        let request = Message::SnapshotRequest { topic, sent_at };
        peers::send(socket, receiver, &request).await;
    }
}

/// Snapshot of a topic for another instance, which requested it at `requested_at` by its
/// own clock; `None` if this instance has no recent one, or if it is too large.
pub fn snapshot(state: &State, topic: Topic, requested_at: Time) -> Option<Snapshot> {
    let now = state.clock.now();
    let progress = state.feed(topic).progress(now)?;
    if Duration::from_millis(progress.age_ms) > MAX_READ_AGE {
        return None;
    }
    let content = match topic {
        Topic::Config => Content::Config {
            config: state.config_record.borrow().clone()?,
            evacuations: state.evacuations.borrow().snapshot(now),
        },
        Topic::Directory => {
            let directory = state.directory.borrow();
            let registered: Vec<Registration> = directory.registered(now).collect();
            let returns: Vec<(Registration, Duration)> = directory.returns(now).collect();
            if registered.len() + returns.len() > MAX_REGISTRATIONS {
                return None;
            }
            Content::Directory {
                registered,
                returns,
            }
        }
    };
    Some(Snapshot {
        requested_at,
        progress,
        content,
    })
}

/// Applies a snapshot, unless the topic has been loaded already or the snapshot is too old.
///
/// Registrations that are not in it are removed: the records that removed them may be
/// among those that the store no longer has.
pub fn receive_snapshot(state: &State, snapshot: Snapshot) {
    let topic = match &snapshot.content {
        Content::Config { .. } => Topic::Config,
        Content::Directory { .. } => Topic::Directory,
    };
    let Progress { era, end, age_ms } = snapshot.progress;
    state.observe_store_era(era);
    let feed = state.feed(topic);
    let now = state.clock.now();
    // The snapshot was taken after its request, however long it has been on the way.
    let as_of = snapshot.requested_at - Duration::from_millis(age_ms);
    let is_recent = now.since(as_of) <= MAX_READ_AGE;
    if !is_recent || !feed.position.borrow().accepts_snapshot(era, end) {
        return;
    }
    match snapshot.content {
        Content::Config {
            config,
            evacuations,
        } => {
            let record = KeyedRecord {
                key: config::RECORD_KEY.to_owned(),
                value: Some(config.into()),
                offset: 0,
            };
            super::apply_config(state, &[record]);
            super::evacuation::load_snapshot(state, era, snapshot.requested_at, &evacuations);
        }
        Content::Directory {
            registered,
            returns,
        } => {
            let since = feed.as_of();
            let at = super::removal_time(state, Duration::ZERO);
            let return_at = super::return_time(state);
            let present = registered.iter().map(|registration| &*registration.id);
            let present: Vec<&str> = present.collect();
            let mut directory = state.directory.borrow_mut();
            directory.schedule_removals_except(&present, since, at);
            for registration in registered {
                if directory.has_removed(&registration) {
                    directory.schedule_return(return_at, registration);
                } else {
                    directory.apply(now, since, registration);
                }
            }
            for (registration, delay) in returns {
                directory.schedule_return(now + delay, registration);
            }
        }
    }
    feed.position.borrow_mut().advance(end, as_of);
    tracing::info!(
        topic = topic.label(),
        era = era.0,
        "loaded from another instance"
    );
    state.dispatch_decisions();
}
