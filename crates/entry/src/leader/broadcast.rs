//! Publication of the owner map, and heartbeats.

use std::time::Duration;

use medlarreel_core::entry::era::is_same_claim;
use medlarreel_core::time::Time;

use super::LeaderTask;
use crate::peers::{self, Message};

/// Interval between the leader's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between two broadcasts of the owner map, per message that the leader
/// sends for one.
const BROADCAST_INTERVAL_PER_MESSAGE: Duration = Duration::from_millis(4);

impl LeaderTask {
    /// Broadcasts the owner map if it has changed, and a heartbeat if one is due.
    pub(super) async fn broadcast_owners(&mut self, now: Time) {
        let revision = {
            let ledger = self.state.ledger.borrow();
            ledger
                .as_ref()
                .map(|ledger| (ledger.epoch(), ledger.view_version()))
        };
        let Some(revision) = revision else {
            return;
        };
        let store_reachable = !self.state.store_health.get().failing;
        // Both the map and the number of messages grow with the fleet.
        let interval = BROADCAST_INTERVAL_PER_MESSAGE * self.broadcast_messages;
        if revision != self.broadcast_revision && now.since(self.last_broadcast) >= interval {
            self.broadcast_revision = revision;
            self.last_broadcast = now;
            let map = {
                let ledger = self.state.ledger.borrow();
                ledger
                    .as_ref()
                    .map(|ledger| ledger.view(now, store_reachable))
            };
            if let Some(map) = map {
                let change = {
                    let before = self.state.owner_map.borrow();
                    // A successor continues from the map of the leader that has stopped.
                    is_same_claim(before.epoch, map.epoch).then(|| before.change_to(&map))
                };
                let message = match change {
                    Some(change) => {
                        self.state.apply_owner_change(change.clone());
                        Message::OwnersChange(change)
                    }
                    None => {
                        self.state.adopt_owner_map(map.clone());
                        Message::Owners(map)
                    }
                };
                self.broadcast_messages =
                    peers::broadcast(&self.state, &self.socket, &message).await;
            }
        }
        if now.since(self.last_heartbeat) >= HEARTBEAT_INTERVAL {
            self.last_heartbeat = now;
            let heartbeat = peers::heartbeat(&self.state, now, self.broadcast_revision);
            peers::broadcast(&self.state, &self.socket, &heartbeat).await;
        }
    }
}
