//! Stepping down as leader, and transferring leadership to another instance.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_core::entry::era::transferred_epoch;
use medlarreel_core::entry::ledger::LedgerSnapshot;
use medlarreel_core::entry::transfer::{FinalReport, Process};
use tokio::net::UdpSocket;

use crate::peers::{self, Message};
use crate::state::{Member, OutgoingTransfer, State};

/// Interval between repeated offers, since messages may be lost. A successor usually
/// takes over within a tick of its leader task, which is as long.
const OFFER_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the offer is repeated to a successor that has requested the leadership
/// but has not been heard to lead. After that, another instance claims it: the leader's
/// record then has not changed for long enough.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_000);

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

/// Collects what a successor takes over besides the ledger. Returns `None` if this instance
/// has never completed a write as leader.
fn prepare_transfer(state: &State) -> Option<OutgoingTransfer> {
    let (nonce, end) = state.leader_topic.get()?;
    let confirmed_at = state.leadership.borrow().confirmed_at()?;
    Some(OutgoingTransfer {
        nonce,
        end,
        confirmed_at,
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
    // No order may follow the snapshot, so this instance steps down before it makes the
    // offer.
    let transfer = prepare_transfer(state);
    let can_transfer = transfer.is_some() && transferred_epoch(epoch).is_some();
    state.outgoing_transfer.set(transfer);
    step_down(state);
    if let Some(report) = state.last_report.borrow_mut().as_mut()
        && can_transfer
    {
        report.offer_to(successors(state).into_iter());
    }
    if offer_leadership(state, socket, epoch).await {
        tracing::info!(epoch, "leadership transferred");
        return;
    }
    let snapshot = {
        let mut last_report = state.last_report.borrow_mut();
        last_report.as_mut().and_then(|report| {
            report.withdraw_offer();
            report.snapshot().cloned()
        })
    };
    let resigned = Message::Resigned { epoch, snapshot };
    peers::broadcast(state, socket, &resigned).await;
}

/// Offers the leadership of `epoch` until a successor leads. Returns whether an instance
/// has requested it, so that it may lead now.
async fn offer_leadership(state: &State, socket: &UdpSocket, epoch: u64) -> bool {
    let deadline = state.clock.now() + TAKEOVER_TIMEOUT;
    loop {
        let now = state.clock.now();
        let (is_taken, receiver) = match state.last_report.borrow_mut().as_mut() {
            Some(report) => (report.is_taken(), report.receiver(now)),
            None => (false, None),
        };
        let has_leader = state.leadership.borrow().highest_epoch() > epoch;
        let Some(receiver) = receiver else {
            return false;
        };
        if has_leader || now >= deadline {
            return is_taken;
        }
        peers::send(socket, receiver, &Message::TransferOffer { epoch }).await;
        tokio::time::sleep(OFFER_INTERVAL).await;
    }
}

/// Builds the reply to a request for the leadership that this instance offers. Returns
/// `None` if the sender must not take over. Only one process receives replies.
pub fn answer_request(state: &State, epoch: u64, process: Process, nonce: u64) -> Option<Message> {
    let transfer = state.outgoing_transfer.get()?;
    let mut last_report = state.last_report.borrow_mut();
    let report = last_report.as_mut()?;
    let is_first = !report.is_taken();
    let snapshot = report.accept_request(epoch, process)?.clone();
    if is_first {
        tracing::info!(successor = %process.address, epoch, "leadership requested");
    }
    let age = state.clock.now().since(transfer.confirmed_at);
    Some(Message::Transfer {
        // The waits in the snapshot count from its arrival, so an older one is safe.
        snapshot,
        nonce: transfer.nonce,
        end: transfer.end,
        age_ms: age.as_millis() as u64 + 1,
        request: nonce,
    })
}
