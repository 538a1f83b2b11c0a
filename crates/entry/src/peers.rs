//! Messages between instances, over UDP.
//!
//! The leader broadcasts heartbeats, the owner map and new store records. The other
//! instances report request counts per key and run times per upstream.
//!
//! Messages may be lost. From a heartbeat, a receiver notices which owner map or records
//! it has missed, and requests or reads them. A transfer of leadership is sent several
//! times; `Hello`, `Resigned` and reports are not sent again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::fragments::{self, Fragment, Reassembler};
use medlarreel_core::entry::ledger::LedgerSnapshot;
use medlarreel_core::entry::map::{OwnerMap, OwnerMapChange};
use medlarreel_core::time::Time;
use medlarreel_macros::data;
use tokio::net::UdpSocket;

use crate::reader::{Progress, RecordBatch, Topic};
use crate::state::{Member, PendingTransfer, State};

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
    },
    /// New records that the leader has read from the store.
    Records(RecordBatch),
    /// Request for the leader's full owner map.
    OwnersRequest,
    /// The leader's full owner map.
    Owners(OwnerMap),
    /// Difference between two revisions of the leader's owner map.
    OwnersChange(OwnerMapChange),
    /// The leader of an epoch has stepped down and sends no more orders.
    Resigned {
        /// Epoch that has ended.
        epoch: u64,
        /// Possible holders of keys, and how long grants of this leader and its
        /// predecessors may remain valid; `None` if the sender has no ledger.
        owners: Option<OwnerMap>,
    },
    /// The leader is stopping and transfers leadership to the receiver.
    Transfer {
        /// Ledger of the stopping leader.
        snapshot: LedgerSnapshot,
        /// Nonce of its records in the store.
        nonce: u64,
        /// Last known end offset of the leader's topic.
        end: u64,
        /// Milliseconds since its last successful write.
        age_ms: u64,
    },
    /// Observations of an instance since its last report.
    Report {
        /// Request counts by service and key.
        key_counts: BTreeMap<String, Vec<(u16, u32)>>,
        /// Upstream ID, number of runs, and sum of their relative run times in
        /// thousandths.
        run_times: Vec<(String, u32, u64)>,
    },
}

/// Sends a message. Errors are only logged: a message that cannot be sent counts as lost.
pub async fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    if let Some(datagrams) = encode_datagrams(message) {
        send_datagrams(socket, to, &datagrams).await;
    }
}

/// Encodes a message, split into fragments if it does not fit into one datagram.
fn encode_datagrams(message: &Message) -> Option<Vec<Vec<u8>>> {
    let encode = |message: &Message| match postcard::to_allocvec(message) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            tracing::error!(%error, "failed to encode message");
            None
        }
    };
    let bytes = encode(message)?;
    if bytes.len() <= MAX_DATAGRAM_BYTES {
        return Some(vec![bytes]);
    }
    let Some(fragments) = fragments::split_message(rand::random(), &bytes, MAX_FRAGMENT_BYTES)
    else {
        tracing::error!(bytes = bytes.len(), "message too large, dropped");
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

/// Sends a message to all other instances.
pub async fn broadcast(state: &State, socket: &UdpSocket, message: &Message) {
    let members: Vec<SocketAddr> = {
        let members = state.members.borrow();
        members.values().map(|member| member.address).collect()
    };
    if let Some(datagrams) = encode_datagrams(message) {
        for address in members {
            send_datagrams(socket, address, &datagrams).await;
        }
    }
}

/// Receives and handles messages until the process ends.
pub async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut reassembler = Reassembler::default();
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "failed to receive message");
                continue;
            }
        };
        let message = match postcard::from_bytes(&buffer[..length]) {
            Ok(Message::Fragment(fragment)) => {
                let now = state.clock.now();
                let Some(complete) = reassembler.add(now, from, fragment) else {
                    continue;
                };
                postcard::from_bytes(&complete)
            }
            message => message,
        };
        match message {
            Ok(message) => handle_message(&state, &socket, from, message).await,
            Err(error) => tracing::debug!(%from, %error, "failed to decode message"),
        }
    }
}

async fn handle_message(state: &Rc<State>, socket: &UdpSocket, from: SocketAddr, message: Message) {
    let now = state.clock.now();
    {
        let mut members = state.members.borrow_mut();
        let sender = members.values_mut().find(|member| member.address == from);
        if let Some(sender) = sender {
            sender.last_heard = Some(now);
        }
    }
    match message {
        Message::Hello {
            name,
            started,
            cpu_percent,
        } => {
            let member = Member {
                address: from,
                started,
                cpu_percent,
                last_heard: Some(now),
            };
            let previous = state.members.borrow_mut().insert(name.clone(), member);
            tracing::info!(name, %from, replaced = previous.is_some(), "instance joined");
            if let Some(map) = current_owner_map(state) {
                send(socket, from, &heartbeat(state, now, map.revision())).await;
                send(socket, from, &Message::Owners(map)).await;
            }
        }
        Message::Heartbeat {
            epoch,
            name,
            store_reachable,
            revision,
            progress: topic_progress,
        } => {
            let previous_epoch = state.leadership.borrow().epoch();
            if state
                .leadership
                .borrow_mut()
                .observe_heartbeat(now, epoch, &name, store_reachable)
            {
                tracing::info!(epoch, leader = name, "leader changed");
                state.metrics.epoch.set(epoch as i64);
                if let Some(previous_epoch) = previous_epoch {
                    let owners = crate::leader::step_down(state);
                    let resigned = Message::Resigned {
                        epoch: previous_epoch,
                        owners,
                    };
                    send(socket, from, &resigned).await;
                }
            }
            if epoch >= state.leadership.borrow().highest_epoch() {
                for (topic, progress) in &topic_progress {
                    if state.feed(*topic).observe_leader_progress(now, progress) {
                        state.record_store_contact();
                    }
                }
            }
            if epoch >= state.leadership.borrow().highest_epoch()
                && revision > state.owner_map.borrow().revision()
            {
                send(socket, from, &Message::OwnersRequest).await;
            }
        }
        // Fragments are reassembled on receipt and are never nested.
        Message::Fragment(_) => {}
        Message::Records(batch) => crate::reader::receive_records(state, batch),
        Message::OwnersRequest => {
            if let Some(map) = current_owner_map(state) {
                send(socket, from, &Message::Owners(map)).await;
            }
        }
        Message::Owners(map) => {
            if map.epoch >= state.leadership.borrow().highest_epoch() {
                state.adopt_owner_map(map);
            }
        }
        Message::OwnersChange(change) => {
            let current = change.to.0 >= state.leadership.borrow().highest_epoch();
            let known = state.owner_map.borrow().revision();
            if current && change.to > known {
                let map = state.owner_map.borrow().apply(change);
                match map {
                    Some(map) => {
                        state.adopt_owner_map(map);
                    }
                    // An earlier change was lost, or this instance has no map yet, so the
                    // full map is needed.
                    None => send(socket, from, &Message::OwnersRequest).await,
                }
            }
        }
        Message::Resigned { epoch, owners } => {
            state
                .leadership
                .borrow_mut()
                .observe_resignation(now, epoch);
            if let (Some(ledger), Some(owners)) = (state.ledger.borrow_mut().as_mut(), owners) {
                ledger.handle_predecessor_stop(epoch, now, &owners);
            }
        }
        Message::Transfer {
            snapshot,
            nonce,
            end,
            age_ms,
        } => {
            let current = snapshot.owners.epoch >= state.leadership.borrow().highest_epoch();
            if current && state.leadership.borrow().epoch().is_none() && !state.stopping.get() {
                let confirmed_at = now - Duration::from_millis(age_ms);
                state.pending_transfer.replace(Some(PendingTransfer {
                    snapshot,
                    nonce,
                    end,
                    confirmed_at,
                }));
            }
        }
        Message::Report {
            key_counts,
            run_times,
        } => {
            for (id, runs, sum) in run_times {
                let upstream = state.directory.borrow().find(&id).map(|found| found.0);
                if let Some(upstream) = upstream {
                    let mut run_totals = state.run_times.borrow_mut();
                    let total = run_totals.entry(upstream).or_default();
                    *total = (total.0 + runs, total.1 + sum);
                }
            }
            let mut key_totals = state.key_counts.borrow_mut();
            for (service, keys) in key_counts {
                let totals = key_totals.entry(service).or_default();
                for (key, count) in keys {
                    *totals.entry(key).or_default() += count;
                }
            }
        }
    }
}

/// Returns the owner map that was last broadcast, if this instance leads. Changes that
/// are sent later are relative to it.
fn current_owner_map(state: &State) -> Option<OwnerMap> {
    let epoch = state.leadership.borrow().epoch()?;
    let map = state.owner_map.borrow();
    (map.epoch == epoch).then(|| map.clone())
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
    }
}

/// Sends periodic reports to the leader until the process ends. While the leader's
/// address is unknown, request counts are discarded and run times are kept.
pub async fn report(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        if state.leadership.borrow().epoch().is_some() {
            continue;
        }
        let leader = state.leadership.borrow().leader().map(ToOwned::to_owned);
        let address = leader.and_then(|leader| {
            let members = state.members.borrow();
            members.get(&leader).map(|member| member.address)
        });
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
                },
            )
            .await;
        }
    }
}
