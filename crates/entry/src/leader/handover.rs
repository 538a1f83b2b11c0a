//! Stepping down as leader, and transferring leadership to another instance.

use std::cmp::Reverse;
use std::time::Duration;

use medlarreel_core::entry::ledger::LedgerSnapshot;
use medlarreel_core::entry::transfer::{Offer, Process};
use tokio::net::UdpSocket;

use crate::peers::{self, Message};
use crate::state::{FinalReport, Member, OutgoingTransfer, PendingTransfer, State};

/// Interval between repeated offers, since messages may be lost. A successor usually
/// takes over within a tick of its leader task, which is as long.
const OFFER_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the offer is repeated to a successor that has requested the leadership
/// but has not been heard to lead. After that, another instance claims it: the leader's
/// record then has not changed for long enough.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of times that a leader's final report is sent to each later leader, with its
/// heartbeats, since messages may be lost.
const REPORT_SENDS: u32 = 3;

/// Steps down as leader. Returns what a successor needs to know of the grants of this leader
/// and its predecessors, or `None` if this instance does not know it.
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
    let report = snapshot.clone().map(|snapshot| FinalReport {
        epoch,
        snapshot,
        sent: (epoch, 0),
    });
    state.last_report.replace(report);
    snapshot
}

/// Returns the message with the grants of this instance's last leadership, to be sent to
/// the leader of `epoch`. Returns `None` if that leader has received it or cannot need it.
pub fn repeat_report(state: &State, epoch: u64) -> Option<Message> {
    let mut last_report = state.last_report.borrow_mut();
    let report = last_report.as_mut()?;
    if report.sent.0 < epoch {
        report.sent = (epoch, 0);
    }
    if report.epoch >= epoch || report.sent.0 != epoch || report.sent.1 >= REPORT_SENDS {
        return None;
    }
    report.sent.1 += 1;
    Some(Message::Resigned {
        epoch: report.epoch,
        snapshot: Some(report.snapshot.clone()),
    })
}

/// Collects what a successor takes over, and selects the instances that may be one.
/// Returns `None` if this instance has never completed a write as leader.
fn prepare_transfer(state: &State) -> Option<OutgoingTransfer> {
    let now = state.clock.now();
    let (nonce, end) = state.leader_topic.get()?;
    let leadership = state.leadership.borrow();
    let transfer = PendingTransfer {
        snapshot: state.ledger.borrow().as_ref()?.snapshot(now)?,
        nonce,
        end,
        confirmed_at: leadership.confirmed_at()?,
    };
    let members = state.members.borrow();
    let mut alive: Vec<&Member> = members
        .values()
        .filter(|member| member.is_alive(now))
        .collect();
    alive.sort_by_key(|member| Reverse((member.cpu_percent, member.last_heard)));
    let candidates = alive.iter().map(|member| member.address);
    Some(OutgoingTransfer {
        offer: Offer::new(leadership.epoch()?, candidates),
        transfer,
    })
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
    let snapshot = step_down(state);
    state.outgoing_transfer.replace(transfer);
    if offer_leadership(state, socket, epoch).await {
        tracing::info!(epoch, "leadership transferred");
        return;
    }
    // No request is answered after this message.
    state.outgoing_transfer.take();
    let resigned = Message::Resigned { epoch, snapshot };
    peers::broadcast(state, socket, &resigned).await;
}

/// Offers the leadership of `epoch` until a successor leads. Returns whether an instance
/// has requested it, so that it may lead now.
async fn offer_leadership(state: &State, socket: &UdpSocket, epoch: u64) -> bool {
    let deadline = state.clock.now() + TAKEOVER_TIMEOUT;
    loop {
        let now = state.clock.now();
        let (is_taken, receiver) = match state.outgoing_transfer.borrow_mut().as_mut() {
            Some(OutgoingTransfer { offer, .. }) => (offer.is_taken(), offer.receiver(now)),
            None => (false, None),
        };
        let has_leader = {
            let leadership = state.leadership.borrow();
            leadership.highest_epoch() > epoch || leadership.leader() != Some(&state.name())
        };
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
    let mut outgoing = state.outgoing_transfer.borrow_mut();
    let OutgoingTransfer { offer, transfer } = outgoing.as_mut()?;
    let is_first = !offer.is_taken();
    if !offer.accept_request(epoch, process) {
        return None;
    }
    if is_first {
        tracing::info!(successor = %process.address, epoch, "leadership requested");
    }
    let age = state.clock.now().since(transfer.confirmed_at);
    Some(Message::Transfer {
        // The waits in the snapshot count from its arrival, so an older one is safe.
        snapshot: transfer.snapshot.clone(),
        nonce: transfer.nonce,
        end: transfer.end,
        age_ms: age.as_millis() as u64 + 1,
        request: nonce,
    })
}
