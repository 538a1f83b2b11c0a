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

use crate::reader::{News, Progress, Topic};
use crate::state::{Member, Pending, State};

/// Largest datagram, in bytes; UDP carries at most 65,507.
const MAX_DATAGRAM: usize = 60_000;

/// Most bytes of a message in one piece; the rest is for its place.
const MAX_PIECE: usize = MAX_DATAGRAM - 32;

/// Time between reports of busy keys to the leader.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Busiest keys of a service that a report names.
const REPORT_KEYS: usize = 200;

/// A message.
#[data(value)]
pub enum Message {
    /// Part of a message that is longer than a datagram.
    Piece(Fragment),
    /// An instance has started.
    Hello {
        /// Its name.
        name: String,
        /// Start of its process, in wall-clock milliseconds.
        started: u64,
        /// Share of a core that it may use, in percent.
        strength: u32,
    },
    /// The leader lives.
    Beat {
        /// Its epoch.
        epoch: u64,
        /// Its name.
        name: String,
        /// Whether it reaches the store.
        able: bool,
        /// Epoch and version of its map of owners.
        order: (u64, u64),
        /// How far it has read each topic of the store.
        read: Vec<(Topic, Progress)>,
    },
    /// Records that the leader has read.
    News(News),
    /// The sender wants the leader's map.
    Ask,
    /// The leader's map of owners.
    View(OwnerMap),
    /// What has changed in the leader's map of owners.
    Change(OwnerMapChange),
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
        transfer: LedgerSnapshot,
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
        keys: BTreeMap<String, Vec<(u16, u32)>>,
        /// Runs by upstream: their number and the sum of their relative times, in
        /// thousandths.
        paces: Vec<(String, u32, u64)>,
    },
}

/// Sends a message; a failure is logged, since every message is repeated.
pub async fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    if let Some(datagrams) = encode(message) {
        send_all(socket, to, &datagrams).await;
    }
}

/// Datagrams of a message.
fn encode(message: &Message) -> Option<Vec<Vec<u8>>> {
    let encode = |message: &Message| match postcard::to_allocvec(message) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            tracing::error!(%error, "message can't be encoded");
            None
        }
    };
    let bytes = encode(message)?;
    if bytes.len() <= MAX_DATAGRAM {
        return Some(vec![bytes]);
    }
    let Some(pieces) = fragments::split_message(rand::random(), &bytes, MAX_PIECE) else {
        tracing::error!(bytes = bytes.len(), "message too large, not sent");
        return None;
    };
    let pieces = pieces.into_iter();
    pieces.map(|piece| encode(&Message::Piece(piece))).collect()
}

async fn send_all(socket: &UdpSocket, to: SocketAddr, datagrams: &[Vec<u8>]) {
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
    if let Some(datagrams) = encode(message) {
        for address in members {
            send_all(socket, address, &datagrams).await;
        }
    }
}

/// Receives messages until the process ends.
pub async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut assembly = Reassembler::default();
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "message not received");
                continue;
            }
        };
        let message = match postcard::from_bytes(&buffer[..length]) {
            Ok(Message::Piece(piece)) => {
                let now = state.clock.now();
                let Some(whole) = assembly.add(now, from, piece) else {
                    continue;
                };
                postcard::from_bytes(&whole)
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
            sender.heard = Some(now);
        }
    }
    match message {
        Message::Hello {
            name,
            started,
            strength,
        } => {
            let member = Member {
                address: from,
                started,
                strength,
                heard: Some(now),
            };
            let known = state.members.borrow_mut().insert(name.clone(), member);
            tracing::info!(name, %from, replaced = known.is_some(), "instance joined");
            if let Some(view) = view(state) {
                send(socket, from, &beat(state, now, view.revision())).await;
                send(socket, from, &Message::View(view)).await;
            }
        }
        Message::Beat {
            epoch,
            name,
            able,
            order,
            read,
        } => {
            let was = state.lead.borrow().epoch();
            if state
                .lead
                .borrow_mut()
                .observe_heartbeat(now, epoch, &name, able)
            {
                tracing::info!(epoch, leader = name, "leader changed");
                state.metrics.epoch.set(epoch as i64);
                if let Some(was) = was {
                    let owners = crate::leader::depose(state);
                    let resigned = Message::Resigned { epoch: was, owners };
                    send(socket, from, &resigned).await;
                }
            }
            if epoch >= state.lead.borrow().highest_epoch() {
                for (topic, progress) in &read {
                    if state.feed(*topic).hear(now, progress) {
                        state.store_heard();
                    }
                }
            }
            if epoch >= state.lead.borrow().highest_epoch()
                && order > state.view.borrow().revision()
            {
                send(socket, from, &Message::Ask).await;
            }
        }
        // Pieces are put together before, and don't hold further ones.
        Message::Piece(_) => {}
        Message::News(news) => crate::reader::receive(state, news),
        Message::Ask => {
            if let Some(view) = view(state) {
                send(socket, from, &Message::View(view)).await;
            }
        }
        Message::View(map) => {
            if map.epoch >= state.lead.borrow().highest_epoch() {
                state.adopt_view(map);
            }
        }
        Message::Change(change) => {
            let leads = change.to.0 >= state.lead.borrow().highest_epoch();
            let known = state.view.borrow().revision();
            if leads && change.to > known {
                let map = state.view.borrow().apply(change);
                match map {
                    Some(map) => {
                        state.adopt_view(map);
                    }
                    // An earlier change was lost.
                    None => send(socket, from, &Message::Ask).await,
                }
            }
        }
        Message::Resigned { epoch, owners } => {
            state.lead.borrow_mut().observe_resignation(now, epoch);
            if let (Some(ledger), Some(owners)) = (state.ledger.borrow_mut().as_mut(), owners) {
                ledger.predecessor_stopped(epoch, now, &owners);
            }
        }
        Message::Transfer {
            transfer,
            nonce,
            end,
            age_ms,
        } => {
            let newer = transfer.owners.epoch >= state.lead.borrow().highest_epoch();
            if newer && state.lead.borrow().epoch().is_none() && !state.stopping.get() {
                let confirmed = now - Duration::from_millis(age_ms);
                state.transferred.replace(Some(Pending {
                    transfer,
                    nonce,
                    end,
                    confirmed,
                }));
            }
        }
        Message::Report { keys, paces } => {
            for (id, runs, sum) in paces {
                let upstream = state.directory.borrow().find(&id).map(|found| found.0);
                if let Some(upstream) = upstream {
                    let mut total = state.paces.borrow_mut();
                    let pace = total.entry(upstream).or_default();
                    *pace = (pace.0 + runs, pace.1 + sum);
                }
            }
            let mut busy = state.busy.borrow_mut();
            for (service, keys) in keys {
                let total = busy.entry(service).or_default();
                for (key, count) in keys {
                    *total.entry(key).or_default() += count;
                }
            }
        }
    }
}

/// Map of owners that was shown last, if this instance leads. Changes apply to it.
fn view(state: &State) -> Option<OwnerMap> {
    let epoch = state.lead.borrow().epoch()?;
    let view = state.view.borrow();
    (view.epoch == epoch).then(|| view.clone())
}

/// Sign of life of this instance as the leader.
pub fn beat(state: &State, now: Time, order: (u64, u64)) -> Message {
    let lead = state.lead.borrow();
    let progress = |topic| Some((topic, state.feed(topic).progress(now)?));
    Message::Beat {
        epoch: lead.epoch().unwrap_or_default(),
        name: state.name(),
        able: !state.store.get().failing,
        order,
        read: Topic::ALL.into_iter().filter_map(progress).collect(),
    }
}

/// Reports to the leader until the process ends.
pub async fn report(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        if state.lead.borrow().epoch().is_some() {
            continue;
        }
        let leader = state.lead.borrow().leader().map(ToOwned::to_owned);
        let address = leader.and_then(|leader| {
            let members = state.members.borrow();
            members.get(&leader).map(|member| member.address)
        });
        let counts = std::mem::take(&mut *state.busy.borrow_mut());
        // An empty report still shows that this instance lives.
        if let Some(address) = address {
            let counts = counts.into_iter().map(|(service, keys)| {
                let mut keys: Vec<(u16, u32)> = keys.into_iter().collect();
                keys.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
                keys.truncate(REPORT_KEYS);
                (service, keys)
            });
            let keys = counts.collect();
            let paces = state.take_paces();
            send(&socket, address, &Message::Report { keys, paces }).await;
        }
    }
}
