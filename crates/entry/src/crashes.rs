//! Evidence against requests that crash upstreams: collection at this instance, and exchange
//! with the others.
//!
//! A connection that ends under a request shows little: upstreams close connections for many
//! reasons. It counts as a crash once the address refuses connections, a later incarnation has
//! registered, or another upstream has answered in its place, unless the upstream was leaving.
//! If another one is registered at the address, a health check shows which of them listens.
//!
//! A request may also crash an upstream after its caller has left or its deadline has passed,
//! when this instance has closed the connection already. Such requests are remembered for a
//! while, and an upstream that ends soon after counts against them as well.

pub mod outbox;
pub mod pending;
pub mod trials;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::suspects::{Crash, Fingerprint};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;
use tokio::net::UdpSocket;

use outbox::{Abandoned, Outbox};

use crate::connection;
use crate::identity;
use crate::peers::{self, Message};
use crate::state::State;

/// Time for which a connection attempt may tell whether an upstream has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after a lost connection within which a successor shows that the upstream has ended.
/// A crashed upstream is back after some seconds.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between checks for a successor.
const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which crashes are collected before they are sent, since several requests are in
/// flight at an upstream that ends.
const COLLECTION_TIME: Duration = Duration::from_millis(5);

/// Times after a crash at which it is sent, since messages may be lost.
const SEND_TIMES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(900),
];

/// Maximum number of crashes or acquittals in one message, and of those that wait to be sent.
/// When many upstreams end together, their requests are innocent.
const MAX_MESSAGE_ITEMS: usize = 256;

/// Interval between requests for the blocked requests of the leader.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a request that was given up counts as possibly running when its upstream is
/// found to have ended by another request.
const ABANDONED_RUN_TIME: Duration = Duration::from_secs(2);

/// Maximum number of requests that were given up and are remembered, the latest ones.
const MAX_ABANDONED: usize = 1_024;

/// Delays after a suspected request was given up at which its upstream is probed.
const WATCH_DELAYS: [Duration; 3] = [
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
];

/// Records that a request was given up while an upstream may have run it. Called when the
/// request is dropped, so that it must not start tasks.
pub fn record_abandoned(state: &State, upstream: Upstream, fingerprint: Fingerprint) {
    let at = state.clock.now();
    let mut abandoned = state.abandoned.borrow_mut();
    if abandoned.len() >= MAX_ABANDONED {
        abandoned.pop_front();
    }
    abandoned.push_back(Abandoned {
        upstream,
        fingerprint,
        at,
    });
    if state.suspects.borrow().is_suspect(fingerprint) {
        let mut outbox = state.crash_outbox.borrow_mut();
        outbox.watched.push((upstream, fingerprint));
        state.crash_news.notify_one();
    }
}

/// Counts the end of upstreams against requests that were given up there, once successors
/// are known.
pub fn check_abandoned(state: &Rc<State>) {
    let now = state.clock.now();
    let mut ended: Vec<Upstream> = Vec::new();
    {
        let directory = state.directory.borrow();
        let mut abandoned = state.abandoned.borrow_mut();
        abandoned.retain(|request| now.since(request.at) < SUCCESSOR_TIMEOUT);
        let crashed = abandoned.iter().filter(|request| {
            let record = directory.get(request.upstream);
            let is_leaving = record.is_some_and(|record| record.leaving_since.is_some());
            !is_leaving && directory.has_ended(request.upstream)
        });
        ended.extend(crashed.map(|request| request.upstream));
        ended.sort();
        ended.dedup();
        for request in abandoned.iter() {
            identity::verify_contested(state, request.upstream);
        }
    }
    for upstream in ended {
        let requests = take_abandoned(state, upstream, SUCCESSOR_TIMEOUT);
        record_crash(state, upstream, &requests);
    }
}

/// Takes the requests that were given up at an upstream within the last `age`.
fn take_abandoned(state: &State, upstream: Upstream, age: Duration) -> Vec<Fingerprint> {
    let now = state.clock.now();
    let is_meant =
        |request: &Abandoned| request.upstream == upstream && now.since(request.at) < age;
    let mut abandoned = state.abandoned.borrow_mut();
    let taken = abandoned.iter().filter(|request| is_meant(request));
    let taken = taken.map(|request| request.fingerprint).collect();
    abandoned.retain(|request| !is_meant(request));
    taken
}

/// Probes an upstream at which a suspected request was given up.
async fn watch_abandoned(state: &Rc<State>, upstream: Upstream, fingerprint: Fingerprint) {
    let Some(address) = address_unless_leaving(state, upstream) else {
        return;
    };
    for delay in WATCH_DELAYS {
        tokio::time::sleep(delay).await;
        identity::verify_contested(state, upstream);
        let has_ended = state.directory.borrow().has_ended(upstream);
        if has_ended || connection::is_refused(address, PROBE_TIMEOUT).await {
            record_crash(state, upstream, &[fingerprint]);
            return;
        }
    }
}

fn address_unless_leaving(state: &State, upstream: Upstream) -> Option<SocketAddr> {
    let directory = state.directory.borrow();
    let record = directory.get(upstream)?;
    let is_leaving = record.leaving_since.is_some();
    (!is_leaving).then_some(record.registration.address)
}

/// Records that the connection to an upstream has ended under a request, and finds out
/// whether the upstream has.
pub fn record_lost_connection(state: &Rc<State>, upstream: Upstream, fingerprint: Fingerprint) {
    let Some(address) = address_unless_leaving(state, upstream) else {
        return;
    };
    let mut lost = state.lost_connections.borrow_mut();
    let requests = lost.entry(upstream).or_default();
    let is_first = requests.is_empty();
    if !requests.contains(&fingerprint) && requests.len() < MAX_MESSAGE_ITEMS {
        requests.push(fingerprint);
    }
    if is_first {
        let state = Rc::clone(state);
        tokio::task::spawn_local(async move {
            let is_refused = connection::is_refused(address, PROBE_TIMEOUT).await;
            let lost = state.lost_connections.borrow_mut().remove(&upstream);
            let requests = lost.unwrap_or_default();
            state.suspects_changed.notify_waiters();
            if is_refused || is_succeeded(&state, upstream).await {
                record_crash(&state, upstream, &requests);
            }
        });
    }
}

/// Waits for a successor of an upstream, and returns whether there is one.
async fn is_succeeded(state: &Rc<State>, upstream: Upstream) -> bool {
    let since = state.clock.now();
    while state.clock.now().since(since) < SUCCESSOR_TIMEOUT {
        if state.directory.borrow().has_ended(upstream) {
            return true;
        }
        identity::verify_contested(state, upstream);
        tokio::time::sleep(SUCCESSOR_POLL_INTERVAL).await;
    }
    false
}

/// Hash of the id and start of an upstream, by which instances name it in crashes.
fn upstream_hash(state: &State, upstream: Upstream) -> Option<u64> {
    let directory = state.directory.borrow();
    let registration = &directory.get(upstream)?.registration;
    let name = format!("{} {}", registration.id, registration.born);
    Some(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
}

/// Records that an upstream has ended under requests of this instance, and under those that
/// were given up there shortly before.
fn record_crash(state: &State, upstream: Upstream, requests: &[Fingerprint]) {
    let now = state.clock.now();
    let Some(id) = upstream_hash(state, upstream) else {
        return;
    };
    let mut requests = requests.to_vec();
    requests.extend(take_abandoned(state, upstream, ABANDONED_RUN_TIME));
    requests.sort();
    requests.dedup();
    let directory = state.directory.borrow();
    let record = directory.get(upstream);
    tracing::warn!(
        upstream = record.map(|record| record.registration.id.as_str()),
        requests = requests.len(),
        "upstream ended under requests"
    );
    drop(directory);
    for fingerprint in requests {
        let crash = Crash {
            fingerprint,
            upstream: id,
            age_ms: 0,
        };
        apply_crash(state, now, &crash);
        let mut outbox = state.crash_outbox.borrow_mut();
        if outbox.crashes.len() < MAX_MESSAGE_ITEMS {
            outbox.crashes.push((crash, now));
        }
    }
    state.crash_news.notify_one();
}

fn apply_crash(state: &State, now: Time, crash: &Crash) {
    state.trials.borrow_mut().end(crash.fingerprint);
    let blocked = state.suspects.borrow_mut().record_crash(now, crash);
    if let Some(crashes) = blocked {
        tracing::warn!(
            fingerprint = %crash.fingerprint,
            crashes,
            "request blocked: upstreams have ended under it"
        );
        state.suspects_changed.notify_waiters();
    }
}

/// Records that an upstream has answered a request.
pub fn record_answer(state: &State, fingerprint: Fingerprint) {
    let now = state.clock.now();
    if acquit(state, now, fingerprint, Duration::ZERO) {
        let mut outbox = state.crash_outbox.borrow_mut();
        if outbox.acquittals.len() < MAX_MESSAGE_ITEMS {
            outbox.acquittals.push((fingerprint, now));
        }
        state.crash_news.notify_one();
    }
}

fn acquit(state: &State, now: Time, fingerprint: Fingerprint, age: Duration) -> bool {
    let acquitted = state.suspects.borrow_mut().acquit(now, fingerprint, age);
    if acquitted {
        state.trials.borrow_mut().end(fingerprint);
        state.suspects_changed.notify_waiters();
        tracing::info!(%fingerprint, "request acquitted: an upstream has answered it");
    }
    acquitted
}

/// Sends crashes and acquittals to the other instances until the process ends.
pub async fn exchange(state: Rc<State>, socket: Rc<UdpSocket>) {
    state.trial_socket.replace(Some(Rc::clone(&socket)));
    loop {
        state.crash_news.notified().await;
        tokio::time::sleep(COLLECTION_TIME).await;
        let mut news = state.crash_outbox.take();
        for (upstream, fingerprint) in std::mem::take(&mut news.watched) {
            let state = Rc::clone(&state);
            tokio::task::spawn_local(async move {
                watch_abandoned(&state, upstream, fingerprint).await;
            });
        }
        for fingerprint in std::mem::take(&mut news.ended_trials) {
            let (state, socket) = (Rc::clone(&state), Rc::clone(&socket));
            tokio::task::spawn_local(async move {
                trials::report_end(&state, &socket, fingerprint).await;
            });
        }
        if news.crashes.is_empty() && news.acquittals.is_empty() {
            continue;
        }
        let (state, socket) = (Rc::clone(&state), Rc::clone(&socket));
        tokio::task::spawn_local(async move {
            let mut elapsed = Duration::ZERO;
            for at in SEND_TIMES {
                tokio::time::sleep(at - elapsed).await;
                elapsed = at;
                let message = news_message(&news, state.clock.now());
                peers::broadcast(&state, &socket, &message).await;
            }
        });
    }
}

/// Builds the message with the evidence that is to be sent.
fn news_message(news: &Outbox, now: Time) -> Message {
    let age_ms = |at: Time| now.since(at).as_millis() as u64;
    let crashes = news.crashes.iter().map(|(crash, at)| Crash {
        age_ms: age_ms(*at),
        ..crash.clone()
    });
    let acquittals = news.acquittals.iter();
    Message::Crashes {
        crashes: crashes.collect(),
        acquittals: acquittals.map(|(id, at)| (*id, age_ms(*at))).collect(),
    }
}

/// Applies crashes and acquittals of other instances.
pub fn receive(state: &State, crashes: &[Crash], acquittals: &[(Fingerprint, u64)]) {
    let now = state.clock.now();
    for crash in crashes {
        apply_crash(state, now, crash);
    }
    // The upstream may have run requests that this instance has given up.
    let mut given_up: Vec<Upstream> = {
        let abandoned = state.abandoned.borrow();
        let recent = abandoned.iter();
        let recent = recent.filter(|request| now.since(request.at) < ABANDONED_RUN_TIME);
        recent.map(|request| request.upstream).collect()
    };
    given_up.sort();
    given_up.dedup();
    for upstream in given_up {
        let hash = upstream_hash(state, upstream);
        if crashes.iter().any(|crash| Some(crash.upstream) == hash) {
            record_crash(state, upstream, &[]);
        }
    }
    for (fingerprint, age_ms) in acquittals {
        acquit(state, now, *fingerprint, Duration::from_millis(*age_ms));
    }
}

/// Digest of the blocked requests of this instance.
pub fn digest(state: &State) -> u64 {
    state.suspects.borrow().digest(state.clock.now())
}

/// Sends the blocked requests of this instance to the leader and requests the leader's, if
/// `leader_digest` shows that they differ. An instance that has just started or was cut off
/// has missed some.
pub async fn synchronize(
    state: &State,
    socket: &UdpSocket,
    leader: SocketAddr,
    leader_digest: u64,
) {
    let now = state.clock.now();
    let last = state.suspects_synchronized.get();
    let is_due = last.is_none_or(|last| now.since(last) >= SYNC_INTERVAL);
    if leader_digest != digest(state) && is_due {
        state.suspects_synchronized.set(Some(now));
        let crashes = state.suspects.borrow().blocked_crashes(now);
        peers::send(socket, leader, &Message::CrashesRequest { crashes }).await;
    }
}

/// Answers a request for the blocked requests of this instance.
pub async fn answer_request(state: &State, socket: &UdpSocket, from: SocketAddr) {
    let crashes = state.suspects.borrow().blocked_crashes(state.clock.now());
    let message = Message::Crashes {
        crashes,
        acquittals: Vec::new(),
    };
    peers::send(socket, from, &message).await;
}

impl State {
    /// Waits until a request is blocked and returns the time until which it is.
    pub async fn wait_until_blocked(&self, fingerprint: impl Fn() -> Fingerprint) -> Time {
        loop {
            let changed = self.suspects_changed.notified();
            if let Some(until) = self.blocked_until(&fingerprint) {
                return until;
            }
            changed.await;
        }
    }

    /// Time until which a request is blocked; `None` if it is not.
    pub fn blocked_until(&self, fingerprint: impl Fn() -> Fingerprint) -> Option<Time> {
        let suspects = self.suspects.borrow();
        if suspects.is_empty() {
            return None;
        }
        suspects.blocked_until(self.clock.now(), fingerprint())
    }
}
