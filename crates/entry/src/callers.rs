//! Open connections of callers, and the signals that close them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use medlarreel_core::entry::connections::{ConnectionId, Connections, Phase};
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::memory::{Memory, Portion};

/// Memory of a connection without a large head in bytes: its task, the buffer in which a
/// head begins, and the buffers of its socket.
pub const CONNECTION_BYTES: usize = 16 * 1024;

/// Size of a head up to which it fits into `CONNECTION_BYTES`.
const SMALL_HEAD_BYTES: usize = 4 * 1024;

/// Connections of callers.
#[derive(Debug)]
pub struct Callers {
    clock: Clock,
    memory: Memory,
    table: RefCell<Connections>,
    signals: RefCell<HashMap<ConnectionId, Arc<Notify>>>,
    close_all: watch::Sender<bool>,
    /// Wakes the listener when a connection has ended.
    closed: Notify,
}

/// One connection, which is removed when it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    callers: Rc<Callers>,
    id: ConnectionId,
    /// Signalled when the connection is to be closed without waiting for its response.
    abort: Arc<Notify>,
    memory: RefCell<Portion>,
    /// Bytes of a request head that have been read so far.
    head_bytes: Cell<usize>,
    /// Bytes of the response that have not been written yet; `None` until there is one.
    unwritten: Cell<Option<usize>>,
}

impl Callers {
    /// Creates the table of a process with this number of file descriptors.
    pub fn new(clock: Clock, memory: Memory, descriptors: u32) -> Rc<Callers> {
        Rc::new(Callers {
            clock,
            memory,
            table: RefCell::new(Connections::new(descriptors)),
            signals: RefCell::default(),
            close_all: watch::channel(false).0,
            closed: Notify::new(),
        })
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.table.borrow().len()
    }

    /// Closes every connection once its current response has been sent.
    pub fn close_gracefully(&self) {
        self.close_all.send_replace(true);
    }

    /// Receives whether every connection is to be closed.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.close_all.subscribe()
    }

    /// Waits until there is room for one more connection, and closes another one for it if
    /// necessary. Returns false if there is none within `timeout`.
    pub async fn make_room(&self, timeout: Duration) -> bool {
        let waiting = async {
            while self.table.borrow().is_full() {
                let victim = self.table.borrow_mut().choose_victim();
                if let Some(victim) = victim {
                    tracing::debug!(?victim, "connection closed for a new one");
                    self.abort(victim);
                }
                self.closed.notified().await;
            }
        };
        tokio::time::timeout(timeout, waiting).await.is_ok()
    }

    /// Adds a connection, which is idle.
    pub fn open(self: &Rc<Self>) -> Rc<OpenConnection> {
        let id = self.table.borrow_mut().open(self.clock.now());
        let abort = Arc::new(Notify::new());
        self.signals.borrow_mut().insert(id, Arc::clone(&abort));
        Rc::new(OpenConnection {
            callers: Rc::clone(self),
            id,
            abort,
            memory: RefCell::new(self.memory.take(CONNECTION_BYTES)),
            head_bytes: Cell::default(),
            unwritten: Cell::default(),
        })
    }

    /// Closes connections whose callers have read nothing for `limit` although bytes wait
    /// for them. Returns their number.
    pub fn close_unread(&self, limit: Duration) -> usize {
        let unread = self.table.borrow_mut().take_unread(self.clock.now(), limit);
        for id in &unread {
            tracing::info!(?id, ?limit, "connection closed: its caller does not read");
            self.abort(*id);
        }
        unread.len()
    }

    fn abort(&self, id: ConnectionId) {
        if let Some(signal) = self.signals.borrow().get(&id) {
            signal.notify_one();
        }
    }
}

impl OpenConnection {
    /// Signal that closes the connection without waiting for its response.
    pub fn abort_signal(&self) -> &Arc<Notify> {
        &self.abort
    }

    /// Records that bytes have been read while no request is served, and how much a head may
    /// take at most.
    pub fn record_head(&self, bytes: usize, max_head_bytes: usize) {
        if self.phase() == Some(Phase::Serving) {
            return;
        }
        self.enter(Phase::Head);
        let before = self.head_bytes.get();
        self.head_bytes.set(before + bytes);
        if before <= SMALL_HEAD_BYTES && before + bytes > SMALL_HEAD_BYTES {
            self.memory.borrow_mut().extend(max_head_bytes);
        }
    }

    /// Records that a request is served from now on.
    pub fn record_request(&self) {
        self.head_bytes.set(0);
        self.unwritten.set(None);
        self.memory.borrow_mut().shrink(CONNECTION_BYTES);
        self.enter(Phase::Serving);
    }

    /// Records that a response with a body of this length is written from now on.
    pub fn record_response(&self, body_bytes: usize) {
        self.unwritten.set(Some(body_bytes));
    }

    /// Records that `bytes` were written, or that the caller does not read what is.
    pub fn record_write(&self, bytes: Option<usize>) {
        if let (Some(unwritten), Some(bytes)) = (self.unwritten.get(), bytes) {
            self.unwritten.set(Some(unwritten.saturating_sub(bytes)));
        }
        let now = self.callers.clock.now();
        let mut table = self.callers.table.borrow_mut();
        table.record_write(now, self.id, bytes.is_some());
    }

    /// Records that everything that was to be written so far is written.
    pub fn record_flush(&self) {
        if self.unwritten.get() == Some(0) {
            self.unwritten.set(None);
            self.enter(Phase::Idle);
        }
    }

    fn phase(&self) -> Option<Phase> {
        self.callers.table.borrow().phase(self.id)
    }

    fn enter(&self, phase: Phase) {
        let now = self.callers.clock.now();
        self.callers.table.borrow_mut().enter(now, self.id, phase);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.callers.signals.borrow_mut().remove(&self.id);
        self.callers.table.borrow_mut().close(self.id);
        self.callers.closed.notify_one();
    }
}
