//! Messages between instances, over UDP.
//!
//! The leader broadcasts heartbeats, the owner map and new store records. The other
//! instances report request counts per key and run times per upstream.
//!
//! In a large fleet, relays pass the leader's messages on (core `relay`).
//!
//! Messages may be lost. From a heartbeat, a receiver notices which owner map or records
//! it has missed, and requests them from the instance that it has the heartbeat from. An
//! offer of leadership is sent until the successor is heard to lead, and `Hello` until the
//! leader is heard; `Resigned` and reports are not sent again.

pub mod handler;
mod missed;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::fragments::{self, Fragment};
use medlarreel_core::entry::ledger::LedgerSnapshot;
use medlarreel_core::entry::map::{OwnerMap, OwnerMapChange};
use medlarreel_core::entry::permit::{Announcement, Demand, Grant};
use medlarreel_core::entry::suspects::{Crash, Fingerprint};
use medlarreel_core::time::Time;
use medlarreel_macros::data;
use tokio::net::UdpSocket;

use crate::reader::feed::{Progress, RecordBatch, Topic};
use crate::reader::snapshot::Snapshot;
use crate::state::State;

/// Maximum datagram size; UDP over IPv4 carries at most 65,507 bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Maximum payload of a fragment; the remainder of the datagram holds the fragment
/// header.
const MAX_FRAGMENT_BYTES: usize = MAX_DATAGRAM_BYTES - 32;

/// Interval between reports to the leader.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of keys per service in a report; the busiest ones are reported.
const MAX_REPORT_KEYS: usize = 200;

/// Message between two instances.
#[data(value)]
pub enum Message {
    /// Part of a message that does not fit into one datagram.
    Fragment(Fragment),
    /// An instance has started.
    Hello {
        /// Name of the instance.
        name: String,
        /// Start of the process, in milliseconds since the Unix epoch.
        started: u64,
        /// Processor time allotted to the instance in its settings, in percent of a core.
        cpu_percent: u32,
        /// Failure domain of the instance.
        domain: String,
        /// Era of the store in which the process has joined the others.
        first_era: Era,
    },
    /// Periodic heartbeat of the leader.
    Heartbeat {
        /// Epoch of the leader.
        epoch: u64,
        /// Name of the leader.
        name: String,
        /// Whether the leader can reach the store.
        store_reachable: bool,
        /// Epoch and version of the owner map that was last broadcast.
        revision: (u64, u64),
        /// How far the leader has read each topic of the store.
        progress: Vec<(Topic, Progress)>,
        /// Digest of the requests that the leader blocks.
        blocked_digest: u64,
    },
    /// New records that the leader has read from the store.
    Records(RecordBatch),
    /// Request for an owner map that is newer than the sender's.
    OwnersRequest {
        /// Epoch and version of the sender's map.
        revision: (u64, u64),
    },
    /// The leader's full owner map.
    Owners(OwnerMap),
    /// Difference between two revisions of the leader's owner map.
    OwnersChange(OwnerMapChange),
    /// The leader of an epoch has stepped down and sends no more orders.
    Resigned {
        /// Epoch that has ended.
        epoch: u64,
        /// Possible holders of keys, and how long grants of this leader and its
        /// predecessors may remain valid; `None` if the sender does not know them.
        snapshot: Option<LedgerSnapshot>,
    },
    /// Reply to a `TransferRequest`: leadership is transferred to the receiver.
    Transfer {
        /// Ledger of the stopping leader.
        snapshot: LedgerSnapshot,
        /// Nonce of its records in the store.
        nonce: u64,
        /// Last known end offset of the leader's topic.
        end: u64,
        /// Milliseconds since its last successful write, rounded up.
        age_ms: u64,
        /// Nonce of the request.
        request: u64,
        /// Upstreams that have answered the leader since the receiver had connected to them.
        verified: Vec<SocketAddr>,
    },
    /// Observations of an instance since its last report.
    Report {
        /// Request counts by service and key.
        key_counts: BTreeMap<String, Vec<(u16, u32)>>,
        /// Upstream ID, number of runs, and sum of their relative run times in
        /// thousandths.
        run_times: Vec<(String, u32, u64)>,
        /// Id and start of upstreams that have said that they are leaving.
        leaving: Vec<(String, u64)>,
    },
    /// Message that the receiver handles and passes on to other instances.
    Relay {
        /// Instances to pass the message on to.
        receivers: Vec<SocketAddr>,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Request for records of a topic that the sender has missed.
    RecordsRequest {
        /// Topic of the records.
        topic: Topic,
        /// Offset of the first missing record.
        from: u64,
    },
    /// Request for a snapshot of a topic, from an instance that must load it.
    SnapshotRequest {
        /// Topic of the snapshot.
        topic: Topic,
        /// Time at the sender; the snapshot repeats it.
        sent_at: Time,
    },
    /// Contents of a topic.
    Snapshot(Snapshot),
    /// How far an instance has read a topic that reads it for its failure domain while
    /// the leader is silent.
    ReadProgress {
        /// Topic that was read.
        topic: Topic,
        /// How far it was read.
        progress: Progress,
    },
    /// The leader of an epoch is stopping and offers its leadership to the receiver.
    TransferOffer {
        /// Epoch of the leadership.
        epoch: u64,
    },
    /// Request for an offered leadership.
    TransferRequest {
        /// Epoch of the leadership.
        epoch: u64,
        /// Start of the sender's process, in milliseconds since the Unix epoch.
        started: u64,
        /// Drawn for this request, and echoed in the reply.
        nonce: u64,
        /// Whether the sender has connected to the upstreams.
        connected: bool,
    },
    /// Id and start of upstreams that have said that they are leaving, from the leader.
    Leaving(Vec<(String, u64)>),
    /// Requests for permits of upstreams that limit their rate, to the leader.
    PermitDemands(Vec<Demand>),
    /// Replies to `PermitDemands`.
    PermitGrants {
        /// Epoch of the leader.
        epoch: u64,
        /// One for each upstream.
        grants: Vec<Grant>,
    },
    /// Upstreams that limit their rate.
    RateLimits(Vec<Announcement>),
    /// Upstreams that have ended under requests, and requests that were answered since.
    Crashes {
        /// The crashes.
        crashes: Vec<Crash>,
        /// Requests, and the milliseconds since their answers.
        acquittals: Vec<(Fingerprint, u64)>,
    },
    /// Request for the leader's leave to send a suspected request.
    TrialRequest {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// Reply to a `TrialRequest`.
    TrialReply {
        /// The request.
        fingerprint: Fingerprint,
        /// Whether the receiver may send it.
        granted: bool,
    },
    /// A trial has ended without the upstream having run the request.
    TrialEnd {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// Request for the crashes of all requests that the receiver blocks.
    CrashesRequest {
        /// Those of the requests that the sender blocks.
        crashes: Vec<Crash>,
    },
    /// Id and start of upstreams that have refused a connection, to the leader or from it.
    Absent(Vec<(String, u64)>),
}

/// Sends a message. Errors are only logged: a message that cannot be sent counts as lost.
pub async fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    if let Some(datagrams) = encode(message).and_then(to_datagrams) {
        send_datagrams(socket, to, &datagrams).await;
    }
}

/// Encodes a message.
fn encode(message: &Message) -> Option<Vec<u8>> {
    let encoded = postcard::to_allocvec(message);
    encoded
        .inspect_err(|error| tracing::error!(%error, "failed to encode message"))
        .ok()
}

/// Returns an encoded message as datagrams: split into fragments if it does not fit into
/// one. Returns `None` if it takes too many.
pub fn to_datagrams(message: Vec<u8>) -> Option<Vec<Vec<u8>>> {
    if message.len() <= MAX_DATAGRAM_BYTES {
        return Some(vec![message]);
    }
    let Some(fragments) = fragments::split_message(rand::random(), &message, MAX_FRAGMENT_BYTES)
    else {
        tracing::error!(bytes = message.len(), "message too large, dropped");
        return None;
    };
    let fragments = fragments.into_iter();
    fragments
        .map(|fragment| encode(&Message::Fragment(fragment)))
        .collect()
}

async fn send_datagrams(socket: &UdpSocket, to: SocketAddr, datagrams: &[Vec<u8>]) {
    for bytes in datagrams {
        if let Err(error) = socket.send_to(bytes, to).await {
            tracing::debug!(%to, %error, "failed to send message");
        }
    }
}

/// Sends a message to all other instances, in a large fleet through relays. Returns the
/// number of messages that this instance has sent.
pub async fn broadcast(state: &State, socket: &UdpSocket, message: &Message) -> u32 {
    let Some(bytes) = encode(message) else {
        return 0;
    };
    let branches = state.plan_broadcast();
    let sent = branches.len() as u32;
    for branch in branches {
        if branch.receivers.is_empty() {
            send(socket, branch.relay, message).await;
            continue;
        }
        let relayed = Message::Relay {
            receivers: branch.receivers,
            message: bytes.clone(),
        };
        send(socket, branch.relay, &relayed).await;
    }
    sent
}

/// Sends a message to all other instances directly.
pub async fn send_to_all(state: &State, socket: &UdpSocket, message: &Message) {
    let members: Vec<SocketAddr> = {
        let members = state.members.borrow();
        members.values().map(|member| member.address).collect()
    };
    send_to_each(socket, &members, encode(message)).await;
}

/// Sends a message to each of the receivers directly.
pub async fn send_to(socket: &UdpSocket, receivers: &[SocketAddr], message: &Message) {
    send_to_each(socket, receivers, encode(message)).await;
}

/// Sends a message to the other instances of this instance's failure domain.
pub async fn send_to_domain(state: &State, socket: &UdpSocket, message: &Message) {
    let neighbours: Vec<SocketAddr> = state
        .neighbours()
        .iter()
        .map(|(_, address)| *address)
        .collect();
    send_to_each(socket, &neighbours, encode(message)).await;
}

/// Sends an encoded message to each of the receivers.
async fn send_to_each(socket: &UdpSocket, receivers: &[SocketAddr], message: Option<Vec<u8>>) {
    if let Some(datagrams) = message.and_then(to_datagrams) {
        for receiver in receivers {
            send_datagrams(socket, *receiver, &datagrams).await;
        }
    }
}

/// Builds the message by which this instance introduces itself.
pub fn hello(state: &State) -> Message {
    let settings = state.settings.borrow();
    Message::Hello {
        name: settings.name.clone(),
        started: state.started,
        cpu_percent: settings.cpu_percent,
        domain: settings.domain.clone(),
        first_era: state.first_era.get(),
    }
}

/// Builds the heartbeat of this instance as the leader. `revision` is the epoch and
/// version of the owner map that was last broadcast.
pub fn heartbeat(state: &State, now: Time, revision: (u64, u64)) -> Message {
    let leadership = state.leadership.borrow();
    let progress = |topic| Some((topic, state.feed(topic).progress(now)?));
    Message::Heartbeat {
        epoch: leadership.epoch().unwrap_or_default(),
        name: state.name(),
        store_reachable: !state.store_health.get().failing,
        revision,
        progress: Topic::ALL.into_iter().filter_map(progress).collect(),
        blocked_digest: state.suspects.borrow().digest(now),
    }
}

/// Sends periodic reports to the leader until the process ends. While the leader's
/// address is unknown, request counts are discarded and run times are kept.
pub async fn report(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        if state.leadership.borrow().epoch().is_some() {
            let leaving = state.leaving_upstreams.take();
            if !leaving.is_empty() {
                broadcast(&state, &socket, &Message::Leaving(leaving)).await;
            }
            continue;
        }
        let address = state.leader_address();
        if let Some(address) = address
            && state.leadership.borrow().is_silent(state.clock.now())
        {
            // The leader may not know this instance, so that it sends no heartbeats.
            send(&socket, address, &hello(&state)).await;
        }
        let counts = std::mem::take(&mut *state.key_counts.borrow_mut());
        // Empty reports are sent as well: they show that this instance is alive.
        if let Some(address) = address {
            let counts = counts.into_iter().map(|(service, keys)| {
                let mut keys: Vec<(u16, u32)> = keys.into_iter().collect();
                keys.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
                keys.truncate(MAX_REPORT_KEYS);
                (service, keys)
            });
            let key_counts = counts.collect();
            let run_times = state.take_run_times();
            send(
                &socket,
                address,
                &Message::Report {
                    key_counts,
                    run_times,
                    leaving: state.leaving_upstreams.take(),
                },
            )
            .await;
        }
    }
}
