//! Stepping down as leader, and transferring leadership to another instance.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_core::entry::map::OwnerMap;
use tokio::net::UdpSocket;

use crate::peers::{self, Message};
use crate::state::State;

/// Number of times that the transfer is sent to the successor, since messages may be
/// lost.
const TRANSFER_SENDS: u32 = 3;

/// Interval between the repeated transfer messages.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(40);

/// Steps down as leader. Returns the possible holder of each key and how long the grants
/// of this leader and its predecessors may remain valid, or `None` if this instance has
/// no ledger.
pub fn step_down(state: &State) -> Option<OwnerMap> {
    let now = state.clock.now();
    state.leadership.borrow_mut().step_down(now);
    // Closes the connections of unanswered orders, so that none arrives later.
    state.orders.borrow_mut().abort_all();
    let ledger = state.ledger.borrow_mut().take()?;
    state.metrics.is_leader.set(0);
    tracing::info!(epoch = ledger.epoch(), "no longer the leader");
    Some(ledger.snapshot(now).owners)
}

/// Selects a successor and builds the message that transfers leadership to it. Returns
/// `None` if no other instance is alive, or if this instance has never completed a write
/// as leader.
fn prepare_transfer(state: &State) -> Option<(SocketAddr, Message)> {
    let now = state.clock.now();
    let (nonce, end) = state.leader_topic.get()?;
    let confirmed_at = state.leadership.borrow().confirmed_at()?;
    let snapshot = state.ledger.borrow().as_ref()?.snapshot(now);
    let members = state.members.borrow();
    let alive = members.values().filter(|member| member.is_alive(now));
    let successor = alive.max_by_key(|member| (member.cpu_percent, member.last_heard))?;
    let message = Message::Transfer {
        snapshot,
        nonce,
        end,
        age_ms: now.since(confirmed_at).as_millis() as u64,
    };
    Some((successor.address, message))
}

/// Transfers leadership to another instance, or resigns if that is not possible. Does
/// nothing if this instance does not lead.
pub async fn transfer_leadership(state: &State, socket: &UdpSocket) {
    let Some(epoch) = state.leadership.borrow().epoch() else {
        return;
    };
    let transfer = prepare_transfer(state);
    let owners = step_down(state);
    match transfer {
        Some((successor, message)) => {
            tracing::info!(%successor, epoch, "leadership transferred");
            for _ in 0..TRANSFER_SENDS {
                peers::send(socket, successor, &message).await;
                tokio::time::sleep(TRANSFER_INTERVAL).await;
            }
        }
        None => {
            let resigned = Message::Resigned { epoch, owners };
            peers::broadcast(state, socket, &resigned).await;
        }
    }
}
