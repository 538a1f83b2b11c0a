//! Connections of callers: how many there may be, and which one is closed for another.
//!
//! An instance keeps descriptors for the store, other instances and upstreams, and lets
//! callers use the rest. When they are used up, the connection that has been idle for
//! longest is closed for a new one, and without any the one whose request head has been
//! arriving for longest. Connections whose request is being served are left alone.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarreel_macros::data;

use crate::time::Time;

/// Descriptors that are kept for files, listeners, the store and other instances, unless
/// these are more than half of all. Platforms reserve up to 200 for files.
const RESERVED_DESCRIPTORS: usize = 220;

/// Part of the remaining descriptors that callers use. A request that is sent needs one more
/// to its upstream, and most connections of callers are idle between requests.
const CALLER_SHARE: (usize, usize) = (3, 4);

/// Identifier of a connection.
#[data(key)]
pub struct ConnectionId(u64);

/// What a connection does.
#[data(key)]
pub enum Phase {
    /// No request has begun to arrive since the last response.
    Idle,
    /// A request head is arriving.
    Head,
    /// A request is being served or its response written.
    Serving,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    since: Time,
    /// Time since which the caller has not read what is written to it.
    unread_since: Option<Time>,
    is_closing: bool,
}

/// Open connections of callers.
#[derive(Clone, Debug)]
pub struct Connections {
    limit: usize,
    open: BTreeMap<ConnectionId, Connection>,
    next: u64,
}

impl Connections {
    /// Creates the table of a process with this number of file descriptors.
    pub fn new(descriptors: u32) -> Connections {
        let descriptors = descriptors as usize;
        let (part, whole) = CALLER_SHARE;
        let reserved = RESERVED_DESCRIPTORS.min(descriptors / 2);
        Connections {
            limit: (descriptors - reserved) * part / whole,
            open: BTreeMap::new(),
            next: 0,
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether one more connection would exceed the limit.
    pub fn is_full(&self) -> bool {
        self.open.len() >= self.limit
    }

    /// Adds a connection, which is idle.
    pub fn open(&mut self, now: Time) -> ConnectionId {
        let id = ConnectionId(self.next);
        self.next += 1;
        let connection = Connection {
            phase: Phase::Idle,
            since: now,
            unread_since: None,
            is_closing: false,
        };
        self.open.insert(id, connection);
        id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }

    /// Phase of a connection; `None` if it is not open.
    pub fn phase(&self, id: ConnectionId) -> Option<Phase> {
        self.open.get(&id).map(|connection| connection.phase)
    }

    /// Records that a connection enters a phase.
    pub fn enter(&mut self, now: Time, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.open.get_mut(&id)
            && connection.phase != phase
        {
            (connection.phase, connection.since) = (phase, now);
        }
    }

    /// Records whether a caller reads what is written to it.
    pub fn record_write(&mut self, now: Time, id: ConnectionId, is_read: bool) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.unread_since = match is_read {
                true => None,
                false => connection.unread_since.or(Some(now)),
            };
        }
    }

    /// Chooses the connection to close for a new one, which counts as closing from now on.
    /// None is chosen while enough are closing.
    pub fn choose_victim(&mut self) -> Option<ConnectionId> {
        let closing = self.open.values().filter(|open| open.is_closing).count();
        if self.open.len() - closing < self.limit {
            return None;
        }
        let victim = |phase| {
            let open = self.open.iter();
            open.filter(|(_, open)| open.phase == phase && !open.is_closing)
                .min_by_key(|(id, open)| (open.since, **id))
                .map(|(id, _)| *id)
        };
        let victim = victim(Phase::Idle).or_else(|| victim(Phase::Head))?;
        if let Some(connection) = self.open.get_mut(&victim) {
            connection.is_closing = true;
        }
        Some(victim)
    }

    /// Connections whose callers have read nothing for `limit` although bytes wait for them.
    /// They count as closing from now on.
    pub fn take_unread(&mut self, now: Time, limit: Duration) -> Vec<ConnectionId> {
        let mut unread = Vec::new();
        for (id, connection) in &mut self.open {
            let since = connection.unread_since;
            if !connection.is_closing && since.is_some_and(|since| now.since(since) >= limit) {
                connection.is_closing = true;
                unread.push(*id);
            }
        }
        unread
    }
}
