//! The end of a lead, and its passing on to another instance.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::peers::{self, Message};
use crate::state::State;

/// Age of its newest message up to which an instance counts as alive; reports
/// come every second.
const ALIVE: Duration = Duration::from_millis(2_500);

/// Times that the lead is sent to its heir, since messages may be lost, and the
/// pause between them.
const HEIR_SENDS: u32 = 3;

const HEIR_PAUSE: Duration = Duration::from_millis(40);

/// Gives up the lead; true if no earlier leader can act any more either.
pub fn depose(state: &State) -> bool {
    let now = state.clock.now();
    state.lead.borrow_mut().resign(now);
    let Some(ledger) = state.ledger.borrow_mut().take() else {
        return false;
    };
    state.metrics.leads.set(0);
    tracing::info!(epoch = ledger.epoch(), "no longer the leader");
    !ledger.inherits(now)
}

/// Message that passes the lead of this instance on, and its receiver.
fn testament(state: &State) -> Option<(SocketAddr, Message)> {
    let now = state.clock.now();
    let (nonce, end) = state.topic.get()?;
    let confirmed = state.lead.borrow().confirmed()?;
    let bequest = state.ledger.borrow().as_ref()?.bequest();
    let members = state.members.borrow();
    let alive = members.values().filter(|member| {
        let heard = member.heard;
        heard.is_some_and(|heard| now.since(heard) < ALIVE)
    });
    let heir = alive.max_by_key(|member| (member.strength, member.heard))?;
    let message = Message::Heir {
        bequest,
        nonce,
        end,
        age_ms: now.since(confirmed).as_millis() as u64,
    };
    Some((heir.address, message))
}

/// Passes the lead on, or gives it up where there is nobody to go on.
pub async fn hand_over(state: &State, socket: &UdpSocket) {
    let Some(epoch) = state.lead.borrow().epoch() else {
        return;
    };
    let testament = testament(state);
    let settled = depose(state);
    match testament {
        Some((heir, message)) => {
            tracing::info!(%heir, epoch, "lead passed on");
            for _ in 0..HEIR_SENDS {
                peers::send(socket, heir, &message).await;
                tokio::time::sleep(HEIR_PAUSE).await;
            }
        }
        None => {
            let resigned = Message::Resigned { epoch, settled };
            peers::broadcast(state, socket, &resigned).await;
        }
    }
}
