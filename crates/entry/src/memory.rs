//! Shared handle of the memory budget.
//!
//! Bodies are held in parts that release their bytes when they are dropped, wherever they
//! are by then: in a queue, in the retry loop, or in the write buffer of a connection. The
//! HTTP library requires parts that may be sent between threads, hence the locks; all tasks
//! of an instance run on one thread.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use medlarreel_core::entry::memory::{Budget, Holder, Reply, Stage};
use tokio::sync::Notify;

use crate::clock::Clock;

/// Time after which a holder that waits for memory asks again even if none was released,
/// since other holders may count as stalled by then.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Memory could not be had: the holder was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evicted;

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
    /// Wakes holders that wait for memory.
    released: Notify,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    /// Open leases, to be told when they are evicted.
    leases: HashMap<Holder, Weak<Lease>>,
    /// Number of evictions so far.
    evictions: u64,
}

/// Memory budget of this instance.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

/// Memory of one body, which ends when the last part of the body is dropped.
#[derive(Debug)]
pub struct Lease {
    memory: Memory,
    holder: Holder,
    /// Signalled when the lease is evicted.
    evicted: Mutex<Arc<Notify>>,
}

/// A part of a body that releases its bytes when it is dropped.
struct Part {
    data: Vec<u8>,
    lease: Arc<Lease>,
}

/// Memory that is taken without waiting, by a connection of a caller or a call of this
/// instance's own. It ends when it is dropped.
#[derive(Debug)]
pub struct Portion {
    memory: Memory,
    bytes: usize,
}

impl Memory {
    /// Creates the budget of a process that may use `bytes` in total.
    pub fn new(clock: Clock, bytes: u64) -> Memory {
        let state = State {
            budget: Budget::new(bytes),
            leases: HashMap::new(),
            evictions: 0,
        };
        Memory(Arc::new(Shared {
            clock,
            state: Mutex::new(state),
            released: Notify::new(),
        }))
    }

    /// Whether a request body of `length` bytes may begin to arrive.
    pub fn admits(&self, length: usize) -> bool {
        self.state().budget.admits(length)
    }

    /// Bytes that are held, bytes that may be held, and the number of evictions so far.
    pub fn usage(&self) -> (usize, usize, u64) {
        let state = self.state();
        let budget = &state.budget;
        (budget.held(), budget.capacity(), state.evictions)
    }

    /// Opens a lease for a body. `is_large` is whether it is known to be large.
    pub fn open(&self, stage: Stage, is_large: bool) -> Arc<Lease> {
        let mut state = self.state();
        let holder = state.budget.open(self.0.clock.now(), stage, is_large);
        let lease = Arc::new(Lease {
            memory: self.clone(),
            holder,
            evicted: Mutex::default(),
        });
        state.leases.insert(holder, Arc::downgrade(&lease));
        lease
    }

    /// Takes memory without waiting for it. If there is none left, a body of a caller is
    /// evicted.
    pub fn take(&self, bytes: usize) -> Portion {
        let mut memory = Portion {
            memory: self.clone(),
            bytes: 0,
        };
        memory.extend(bytes);
        memory
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.0.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests memory once. Returns the lease that is to be told of its eviction.
    fn request(&self, holder: Holder, bytes: usize) -> (Reply, Option<Arc<Lease>>) {
        let mut state = self.state();
        let reply = state.budget.reserve(self.0.clock.now(), holder, bytes);
        let victim = match reply {
            Reply::Evict(victim) => Some(victim),
            Reply::Refused => Some(holder),
            Reply::Granted | Reply::Wait => None,
        };
        (reply, state.find_victim(victim))
    }
}

impl State {
    /// Counts an eviction and returns the lease that is to be told of it.
    fn find_victim(&mut self, victim: Option<Holder>) -> Option<Arc<Lease>> {
        self.evictions += u64::from(victim.is_some());
        self.leases.get(&victim?)?.upgrade()
    }
}

impl Portion {
    /// Takes `bytes` more.
    pub fn extend(&mut self, bytes: usize) {
        // Even nothing more evicts a body while the budget is exceeded.
        if bytes == 0 {
            return;
        }
        let now = self.memory.0.clock.now();
        let mut state = self.memory.state();
        let victim = state.budget.take(now, bytes);
        let lease = state.find_victim(victim);
        drop(state);
        self.bytes += bytes;
        if let Some(lease) = lease {
            lease.signal();
        }
    }

    /// Takes or gives back as much as makes it `bytes`.
    pub fn resize(&mut self, bytes: usize) {
        self.extend(bytes.saturating_sub(self.bytes));
        self.shrink(bytes);
    }

    /// Gives back all but `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.memory.state().budget.give_back(surplus);
    }
}

impl Drop for Portion {
    fn drop(&mut self) {
        self.memory.state().budget.give_back(self.bytes);
        self.memory.0.released.notify_waiters();
    }
}

impl Lease {
    /// Takes `bytes` more, once they are free.
    ///
    /// # Errors
    ///
    /// Returns `Evicted` if the body is to be given up.
    pub async fn reserve(&self, bytes: usize) -> Result<(), Evicted> {
        loop {
            // Created first, so that a release in between is not missed.
            let released = self.memory.0.released.notified();
            let (reply, evicted) = self.memory.request(self.holder, bytes);
            if let Some(lease) = evicted {
                lease.signal();
            }
            match reply {
                Reply::Granted => return Ok(()),
                Reply::Refused => return Err(Evicted),
                Reply::Evict(_) | Reply::Wait => {
                    // Asks again in either case.
                    tokio::time::timeout(RETRY_INTERVAL, released).await.ok();
                }
            }
        }
    }

    /// Begins another stage. Returns false if the lease has been evicted.
    pub fn enter(&self, stage: Stage) -> bool {
        let now = self.memory.0.clock.now();
        let mut state = self.memory.state();
        state.budget.enter(now, self.holder, stage)
    }

    /// Waits until the lease is evicted.
    pub async fn wait_evicted(&self) {
        let evicted = Arc::clone(&self.signal_target());
        evicted.notified().await;
    }

    /// Signals `target` when the lease is evicted from now on.
    pub fn set_signal(&self, target: &Arc<Notify>) {
        *self.signal_target() = Arc::clone(target);
    }

    /// Turns reserved bytes into a part of the body. The bytes that were reserved are the
    /// capacity of `data`.
    pub fn seal(self: &Arc<Self>, data: Vec<u8>) -> Bytes {
        Bytes::from_owner(Part {
            data,
            lease: Arc::clone(self),
        })
    }

    /// Gives back bytes that were reserved and not used.
    pub fn give_back(&self, bytes: usize) {
        let now = self.memory.0.clock.now();
        self.memory.state().budget.release(now, self.holder, bytes);
        self.memory.0.released.notify_waiters();
    }

    fn signal(&self) {
        self.signal_target().notify_one();
    }

    fn signal_target(&self) -> MutexGuard<'_, Arc<Notify>> {
        let target = self.evicted.lock();
        target.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let now = self.memory.0.clock.now();
        let mut state = self.memory.state();
        state.leases.remove(&self.holder);
        state.budget.close(now, self.holder);
        drop(state);
        self.memory.0.released.notify_waiters();
    }
}

impl AsRef<[u8]> for Part {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.lease.give_back(self.data.capacity());
    }
}
