//! Messages between instances, over UDP.
//!
//! The leader tells all others that it lives and which keys have which owner;
//! they tell it which keys are busy and
//! how fast the upstreams are. Messages may be lost, and each is sent
//! again or superseded.

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

/// Largest datagram, in bytes; UDP carries at most 65,507.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Most bytes of a message in one piece; the rest is for its place.
const MAX_FRAGMENT_BYTES: usize = MAX_DATAGRAM_BYTES - 32;

/// Time between reports of busy keys to the leader.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Busiest keys of a service that a report names.
const MAX_REPORT_KEYS: usize = 200;

/// A message.
#[data(value)]
pub enum Message {
    /// Part of a message that is longer than a datagram.
    Fragment(Fragment),
    /// An instance has started.
    Hello {
        /// Its name.
        name: String,
        /// Start of its process, in wall-clock milliseconds.
        started: u64,
        /// Share of a core that it may use, in percent.
        cpu_percent: u32,
    },
    /// The leader lives.
    Heartbeat {
        /// Its epoch.
        epoch: u64,
        /// Its name.
        name: String,
        /// Whether it reaches the store.
        store_reachable: bool,
        /// Epoch and version of its map of owners.
        revision: (u64, u64),
        /// How far it has read each topic of the store.
        progress: Vec<(Topic, Progress)>,
    },
    /// Records that the leader has read.
    Records(RecordBatch),
    /// The sender wants the leader's map.
    OwnersRequest,
    /// The leader's map of owners.
    Owners(OwnerMap),
    /// What has changed in the leader's map of owners.
    OwnersChange(OwnerMapChange),
    /// The leader of an epoch has given it up, and sends no more orders.
    Resigned {
        /// Its epoch.
        epoch: u64,
        /// Possible holders, and how long grants of it and of the leaders before it may
        /// last; absent if it has nothing to tell.
        owners: Option<OwnerMap>,
    },
    /// The leader stops and passes its lead on to the receiver.
    Transfer {
        /// Its account.
        snapshot: LedgerSnapshot,
        /// Mark of its records in the store.
        nonce: u64,
        /// End of its topic, as far as it knows.
        end: u64,
        /// Time since its last successful write, in milliseconds.
        age_ms: u64,
    },
    /// What an instance saw since its last report.
    Report {
        /// Requests by service and key.
        key_counts: BTreeMap<String, Vec<(u16, u32)>>,
        /// Runs by upstream: their number and the sum of their relative times, in
        /// thousandths.
        run_times: Vec<(String, u32, u64)>,
    },
}

/// Sends a message; a failure is logged, since every message is repeated.
pub async fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    if let Some(datagrams) = encode_datagrams(message) {
        send_datagrams(socket, to, &datagrams).await;
    }
}

/// Datagrams of a message.
fn encode_datagrams(message: &Message) -> Option<Vec<Vec<u8>>> {
    let encode = |message: &Message| match postcard::to_allocvec(message) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            tracing::error!(%error, "message can't be encoded");
            None
        }
    };
    let bytes = encode(message)?;
    if bytes.len() <= MAX_DATAGRAM_BYTES {
        return Some(vec![bytes]);
    }
    let Some(fragments) = fragments::split_message(rand::random(), &bytes, MAX_FRAGMENT_BYTES)
    else {
        tracing::error!(bytes = bytes.len(), "message too large, not sent");
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
            tracing::debug!(%to, %error, "message not sent");
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

/// Receives messages until the process ends.
pub async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut reassembler = Reassembler::default();
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "message not received");
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
            Ok(message) => handle(&state, &socket, from, message).await,
            Err(error) => tracing::debug!(%from, %error, "message can't be read"),
        }
    }
}

async fn handle(state: &Rc<State>, socket: &UdpSocket, from: SocketAddr, message: Message) {
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
            let known = state.members.borrow_mut().insert(name.clone(), member);
            tracing::info!(name, %from, replaced = known.is_some(), "instance joined");
            if let Some(view) = current_owner_map(state) {
                send(socket, from, &heartbeat(state, now, view.revision())).await;
                send(socket, from, &Message::Owners(view)).await;
            }
        }
        Message::Heartbeat {
            epoch,
            name,
            store_reachable,
            revision,
            progress: read,
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
                for (topic, progress) in &read {
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
        // Pieces are put together before, and don't hold further ones.
        Message::Fragment(_) => {}
        Message::Records(batch) => crate::reader::receive_records(state, batch),
        Message::OwnersRequest => {
            if let Some(view) = current_owner_map(state) {
                send(socket, from, &Message::Owners(view)).await;
            }
        }
        Message::Owners(map) => {
            if map.epoch >= state.leadership.borrow().highest_epoch() {
                state.adopt_owner_map(map);
            }
        }
        Message::OwnersChange(change) => {
            let leads = change.to.0 >= state.leadership.borrow().highest_epoch();
            let known = state.owner_map.borrow().revision();
            if leads && change.to > known {
                let map = state.owner_map.borrow().apply(change);
                match map {
                    Some(map) => {
                        state.adopt_owner_map(map);
                    }
                    // An earlier change was lost.
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
                ledger.predecessor_stopped(epoch, now, &owners);
            }
        }
        Message::Transfer {
            snapshot,
            nonce,
            end,
            age_ms,
        } => {
            let newer = snapshot.owners.epoch >= state.leadership.borrow().highest_epoch();
            if newer && state.leadership.borrow().epoch().is_none() && !state.stopping.get() {
                let confirmed = now - Duration::from_millis(age_ms);
                state.pending_transfer.replace(Some(PendingTransfer {
                    snapshot,
                    nonce,
                    end,
                    confirmed,
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
                    let mut total = state.run_times.borrow_mut();
                    let pace = total.entry(upstream).or_default();
                    *pace = (pace.0 + runs, pace.1 + sum);
                }
            }
            let mut busy = state.key_counts.borrow_mut();
            for (service, keys) in key_counts {
                let total = busy.entry(service).or_default();
                for (key, count) in keys {
                    *total.entry(key).or_default() += count;
                }
            }
        }
    }
}

/// Map of owners that was shown last, if this instance leads. Changes apply to it.
fn current_owner_map(state: &State) -> Option<OwnerMap> {
    let epoch = state.leadership.borrow().epoch()?;
    let view = state.owner_map.borrow();
    (view.epoch == epoch).then(|| view.clone())
}

/// Sign of life of this instance as the leader.
pub fn heartbeat(state: &State, now: Time, revision: (u64, u64)) -> Message {
    let lead = state.leadership.borrow();
    let progress = |topic| Some((topic, state.feed(topic).progress(now)?));
    Message::Heartbeat {
        epoch: lead.epoch().unwrap_or_default(),
        name: state.name(),
        store_reachable: !state.store_health.get().failing,
        revision,
        progress: Topic::ALL.into_iter().filter_map(progress).collect(),
    }
}

/// Reports to the leader until the process ends.
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
        // An empty report still shows that this instance lives.
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
