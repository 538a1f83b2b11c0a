//! Stepping down as leader, and transferring leadership to another instance.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use medlarreel_core::entry::era::transferred_epoch;
use medlarreel_core::entry::ledger::LedgerSnapshot;
use medlarreel_core::entry::transfer::{self, FinalReport, Offer, Process};
use medlarreel_core::ids::Upstream;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use crate::peers::{self, Message};
use crate::pool::Usage;
use crate::state::{Member, OutgoingTransfer, State, TransferTerms};

/// Interval between repeated offers, since messages may be lost. A successor usually
/// takes over within a tick of its leader task, which is as long.
const OFFER_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the leadership is offered at most. After that, another instance claims it:
/// the leader's record then has not changed for long enough.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout for establishing a connection to an upstream before taking over.
const PREPARATION_TIMEOUT: Duration = Duration::from_millis(300);

/// Steps down as leader. Returns what the leaders after it need to know of the grants of
/// this leader and its predecessors, or `None` if this instance does not know it.
pub fn step_down(state: &State) -> Option<LedgerSnapshot> {
    let now = state.clock.now();
    state.leadership.borrow_mut().step_down(now);
    // Closes the connections of unanswered orders, so that none arrives later.
    state.orders.borrow_mut().abort_all();
    state.limiter.borrow_mut().clear();
    let ledger = state.ledger.borrow_mut().take()?;
    state.metrics.is_leader.set(0);
    let epoch = ledger.epoch();
    tracing::info!(epoch, "no longer the leader");
    let snapshot = ledger.snapshot(now);
    let report = snapshot.clone();
    let report = report.map(|snapshot| FinalReport::new(epoch, snapshot));
    state.last_report.replace(report);
    snapshot
}

/// Returns the message with the grants of this instance's last leadership, to be sent to
/// the leader of `epoch`. Returns `None` if that leader has received it or cannot need it,
/// or if a successor continues from them.
pub fn repeat_report(state: &State, epoch: u64) -> Option<Message> {
    let mut last_report = state.last_report.borrow_mut();
    let report = last_report.as_mut()?;
    let ended = report.epoch();
    let snapshot = report.repeat(epoch)?.clone();
    tracing::info!(epoch = ended, to = epoch, "grants reported");
    Some(Message::Resigned {
        epoch: ended,
        snapshot: Some(snapshot),
    })
}

/// Instances that may take over, the most suitable first.
fn successors(state: &State) -> Vec<SocketAddr> {
    let now = state.clock.now();
    let members = state.members.borrow();
    let mut alive: Vec<&Member> = members
        .values()
        .filter(|member| member.is_alive(now))
        .collect();
    alive.sort_by_key(|member| Reverse((member.cpu_percent, member.last_heard)));
    alive.iter().map(|member| member.address).collect()
}

/// Transfers leadership to another instance, or resigns if none requests it in time.
/// Does nothing if this instance does not lead.
pub async fn transfer_leadership(state: &State, socket: &UdpSocket) {
    let Some(epoch) = state.leadership.borrow().epoch() else {
        return;
    };
    // A successor needs the end of the topic and an epoch of the same claim.
    if state.leader_topic.get().is_some() && transferred_epoch(epoch).is_some() {
        state.outgoing_transfer.replace(Some(OutgoingTransfer {
            offer: Offer::new(epoch, successors(state).into_iter()),
            request: 0,
            connected_at: None,
            terms: None,
        }));
        offer_leadership(state, socket, epoch).await;
    }
    if has_transferred(state) {
        tracing::info!(epoch, "leadership transferred");
        return;
    }
    // No request is answered from now on.
    state.outgoing_transfer.take();
    // The epoch changes if the store was restored meanwhile.
    let epoch = state.leadership.borrow().epoch();
    if let Some(epoch) = epoch {
        let snapshot = step_down(state);
        let resigned = Message::Resigned { epoch, snapshot };
        peers::broadcast(state, socket, &resigned).await;
    }
}

/// Whether a successor may lead now.
fn has_transferred(state: &State) -> bool {
    let outgoing = state.outgoing_transfer.borrow();
    outgoing
        .as_ref()
        .is_some_and(|outgoing| outgoing.terms.is_some())
}

/// Offers the leadership of `epoch` until a successor leads, no instance requests it, or
/// this instance is replaced.
async fn offer_leadership(state: &State, socket: &UdpSocket, epoch: u64) {
    let start = state.clock.now();
    loop {
        let now = state.clock.now();
        let receiver = {
            let mut outgoing = state.outgoing_transfer.borrow_mut();
            outgoing
                .as_mut()
                .and_then(|outgoing| outgoing.offer.receiver(now))
        };
        let is_replaced = state.leadership.borrow().highest_epoch() > epoch;
        let Some(receiver) = receiver.filter(|_| !is_replaced) else {
            return;
        };
        if now.since(start) >= TAKEOVER_TIMEOUT {
            return;
        }
        peers::send(socket, receiver, &Message::TransferOffer { epoch }).await;
        tokio::time::sleep(OFFER_INTERVAL).await;
    }
}

/// Connects to the upstreams that hold keys, to take over the leadership of `epoch` that is
/// offered. Returns whether this has been done.
pub fn prepare_takeover(state: &Rc<State>, epoch: u64) -> bool {
    if !state.preparation.borrow_mut().begin(epoch) {
        return state.preparation.borrow().connected_at(epoch).is_some();
    }
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        let mut connecting = JoinSet::new();
        for upstream in holders(&state) {
            let state = Rc::clone(&state);
            connecting.spawn_local(async move { connect(&state, upstream).await });
        }
        connecting.join_all().await;
        let now = state.clock.now();
        state.preparation.borrow_mut().finish(epoch, now);
    });
    false
}

/// Upstreams that hold keys by the owner map.
fn holders(state: &State) -> BTreeSet<Upstream> {
    let map = state.owner_map.borrow();
    let owners = map.services.values().flatten();
    let owners = owners.filter_map(|range| range.owner.as_ref());
    owners
        .filter_map(|owner| state.find_incarnation(&owner.id, owner.born))
        .collect()
}

/// Keeps a connection to an upstream for orders.
async fn connect(state: &State, upstream: Upstream) {
    let address = {
        let directory = state.directory.borrow();
        directory
            .get(upstream)
            .map(|record| record.registration.address)
    };
    let Some(address) = address else {
        return;
    };
    let usage = Usage {
        upstream,
        idempotent: false,
        attempt: "",
        min_age: Duration::ZERO,
        max_idle: usize::MAX,
    };
    let now = state.clock.now();
    let connecting = state
        .pool
        .get_or_connect(now, Some(usage), address, PREPARATION_TIMEOUT);
    if let Ok(connection) = connecting.await {
        let now = state.clock.now();
        let pool = &state.order_pool;
        pool.put_idle(now, upstream, connection, &HeaderMap::new(), 1);
    }
}

/// Records a request for the leadership that this instance offers. Returns false if the
/// sender must not take over; only one process may.
pub fn accept_request(
    state: &State,
    epoch: u64,
    process: Process,
    nonce: u64,
    connected: bool,
) -> bool {
    let mut outgoing = state.outgoing_transfer.borrow_mut();
    let Some(outgoing) = outgoing.as_mut() else {
        return false;
    };
    let is_first = !outgoing.offer.is_taken();
    if !outgoing.offer.accept_request(epoch, process) {
        return false;
    }
    if is_first {
        tracing::info!(successor = %process.address, epoch, "leadership requested");
    }
    outgoing.request = nonce;
    if connected && outgoing.connected_at.is_none() {
        let now = state.clock.now();
        outgoing.connected_at = Some(now);
        if let Some(ledger) = state.ledger.borrow_mut().as_mut()
            && !state.leadership.borrow().is_certain(now)
        {
            ledger.renew_all(now);
        }
    }
    true
}

/// Steps down and builds the reply to the successor's latest request. Returns `None` if it
/// is too early: the successor is not connected, or this instance may have been replaced and
/// some upstreams have not answered since.
pub fn complete_transfer(state: &State) -> Option<Message> {
    let mut outgoing = state.outgoing_transfer.borrow_mut();
    let outgoing = outgoing.as_mut()?;
    let now = state.clock.now();
    if outgoing.terms.is_none() {
        let (nonce, end) = state.leader_topic.get()?;
        let connected_at = outgoing.connected_at?;
        let (confirmed_at, verified) = {
            let leadership = state.leadership.borrow();
            leadership
                .epoch()
                .filter(|epoch| *epoch == outgoing.offer.epoch())?;
            let ledger = state.ledger.borrow();
            let ledger = ledger.as_ref()?;
            let verified =
                transfer::step_down_for_successor(now, connected_at, &leadership, ledger)?;
            (leadership.confirmed_at()?, verified)
        };
        step_down(state)?;
        outgoing.terms = Some(TransferTerms {
            nonce,
            end,
            confirmed_at,
            verified,
        });
    }
    let terms = outgoing.terms.as_ref()?;
    let mut last_report = state.last_report.borrow_mut();
    let snapshot = last_report.as_mut()?.pass_on()?.clone();
    let age = now.since(terms.confirmed_at);
    Some(Message::Transfer {
        // The waits in the snapshot count from its arrival, so an older one is safe.
        snapshot,
        nonce: terms.nonce,
        end: terms.end,
        age_ms: age.as_millis() as u64 + 1,
        request: outgoing.request,
        verified: terms.verified.clone(),
    })
}
