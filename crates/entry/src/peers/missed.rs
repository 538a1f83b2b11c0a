//! Requests for records and owner maps that an instance has missed, and their answers.
//!
//! Any instance answers, usually the relay through which the receiver learned that it
//! has missed something. The leader alone could not: after a change of the leader, every
//! instance may need a full map. It is asked for records that the relay has missed as
//! well.

use std::net::SocketAddr;

use medlarreel_core::entry::follow::REQUEST_INTERVAL;
use tokio::net::UdpSocket;

use super::{Message, send};
use crate::reader::feed::Topic;
use crate::state::State;

/// Requests missed records, if a request is due: from the instance at `source`, or from the
/// leader if the request before was not answered.
pub(super) async fn request_records(state: &State, socket: &UdpSocket, source: SocketAddr) {
    let now = state.clock.now();
    for topic in Topic::ALL {
        let feed = state.feed(topic);
        if let Some(from) = feed.take_request(now) {
            let leader = state.leader_address().filter(|_| feed.should_ask_leader());
            let receiver = leader.unwrap_or(source);
            send(socket, receiver, &Message::RecordsRequest { topic, from }).await;
        }
    }
}

/// Requests the owner map from the instance at `source`, if `revision` is newer than the
/// map of this instance and a request is due.
pub(super) async fn request_owners(
    state: &State,
    socket: &UdpSocket,
    source: SocketAddr,
    revision: (u64, u64),
) {
    let now = state.clock.now();
    let known = state.owner_map.borrow().revision();
    let requested = state.owners_requested.get();
    let is_due = requested.is_none_or(|at| now.since(at) >= REQUEST_INTERVAL);
    if revision > known && is_due {
        state.owners_requested.set(Some(now));
        send(socket, source, &Message::OwnersRequest { revision: known }).await;
    }
}

/// Sends the changes since `revision` to an instance, or the full map if they are no
/// longer known. Sends nothing if this instance has no newer map.
pub(super) async fn send_owners(
    state: &State,
    socket: &UdpSocket,
    to: SocketAddr,
    revision: (u64, u64),
) {
    if state.owner_map.borrow().revision() <= revision {
        return;
    }
    let changes = state.owner_changes.borrow().since(revision);
    if let Some(changes) = changes {
        for change in changes {
            send(socket, to, &Message::OwnersChange(change)).await;
        }
    } else if state.allow_bulk_message() {
        let map = state.owner_map.borrow().clone();
        send(socket, to, &Message::Owners(map)).await;
    }
}
