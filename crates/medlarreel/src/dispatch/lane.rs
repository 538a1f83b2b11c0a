//! Everything a dispatcher has for one upstream: permit, queue, connections,
//! idempotency keys.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use medlarreel_core::admission::{self, Event, Queue, Ticket};
use medlarreel_core::code::Code;
use medlarreel_core::ids::{Club, Epoch, Shard};
use medlarreel_core::machine::Traffic;
use medlarreel_core::preset::Rank;
use medlarreel_core::time::Time;
use tokio::sync::oneshot;

use super::pool::Pool;
use super::repeats::Repeats;
use crate::clock::Clock;

/// Permission to send requests to an upstream, derived from the dispatch lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Permit {
    /// End of the permission.
    pub until: Time,
    /// Shards and their epochs; empty for services that are not keyed.
    pub shards: HashMap<u16, Epoch>,
    /// Slots that may be in use.
    pub slots: u16,
}

/// Figures of a lane for operators.
#[derive(Clone, Debug, Default)]
pub struct Overview {
    /// Slots that may be in use.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Time left of the permit; `None` without one.
    pub left: Option<Duration>,
    /// Whether a connection attempt has failed recently.
    pub silent: bool,
}

/// Work at one upstream.
#[derive(Debug)]
pub struct Lane {
    permit: ArcSwap<Permit>,
    pool: Pool,
    state: Mutex<State>,
    repeats: Repeats,
    open: AtomicU32,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    waiting: HashMap<u64, oneshot::Sender<Result<(), Code>>>,
    next: u64,
    /// Requests answered since the last report.
    served: HashMap<Option<Shard>, u32>,
}

/// A slot of the upstream, given back when dropped.
#[derive(Debug)]
pub struct Slot<'a> {
    lane: &'a Lane,
    clock: Clock,
    id: u64,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.lane.release(self.clock.now(), self.id);
    }
}

/// Open exchange with the upstream.
#[derive(Debug)]
pub struct Exchange<'a>(&'a Lane);

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Lane {
    /// Lane without a permit.
    pub fn new(now: Time, pool: Pool, limits: admission::Limits) -> Lane {
        let queue = Queue::new(limits);
        let (waiting, served) = (HashMap::new(), HashMap::new());
        let state = State {
            queue,
            waiting,
            next: 0,
            served,
        };
        Lane {
            permit: ArcSwap::default(),
            pool,
            state: Mutex::new(state),
            repeats: Repeats::new(now),
            open: AtomicU32::new(0),
        }
    }

    /// Connections to the upstream.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Idempotency keys seen here.
    pub fn repeats(&self) -> &Repeats {
        &self.repeats
    }

    /// Checks that a request for the shard may be sent now.
    ///
    /// # Errors
    ///
    /// `Code::NotDispatcher` without a live permit, `Code::NotOwner` if the
    /// upstream does not own the shard.
    pub fn permit(&self, now: Time, shard: Option<Shard>) -> Result<Option<Epoch>, Code> {
        let permit = self.permit.load();
        if now >= permit.until {
            return Err(Code::NotDispatcher);
        }
        match shard {
            None => Ok(None),
            Some(shard) => permit
                .shards
                .get(&shard.index)
                .copied()
                .map(Some)
                .ok_or(Code::NotOwner),
        }
    }

    /// Replaces the permit and the queue's limits.
    pub fn renew(&self, now: Time, permit: Permit, limits: admission::Limits) {
        if **self.permit.load() != permit {
            self.permit.store(permit.into());
        }
        let mut state = self.lock();
        if *state.queue.limits() != limits {
            let events = state.queue.set_limits(now, limits);
            state.report(events);
        }
        state.start(now);
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// `Code::QueueFull` or `Code::Expired`; the request was not run.
    pub async fn slot(
        &self,
        clock: Clock,
        rank: Rank,
        club: Club,
        deadline: Time,
    ) -> Result<Slot<'_>, Code> {
        let (sender, turn) = oneshot::channel();
        let now = clock.now();
        let id = self.enqueue(now, rank, club, deadline, sender);
        // From here on the request's place is given back on every way out, also
        // when the caller leaves while it waits.
        let slot = Slot {
            lane: self,
            clock,
            id,
        };
        match tokio::time::timeout(deadline.since(now), turn).await {
            Ok(Ok(Ok(()))) => Ok(slot),
            Ok(Ok(Err(code))) => Err(code),
            Ok(Err(_)) => Err(Code::QueueFull),
            Err(_) => Err(Code::Expired),
        }
    }

    /// Counts an answered request.
    pub fn count(&self, shard: Option<Shard>) {
        *self.lock().served.entry(shard).or_insert(0) += 1;
    }

    /// Use of the upstream; answered requests are those since the last call.
    pub fn traffic(&self) -> Traffic {
        let permit = self.permit.load();
        let mut state = self.lock();
        let busy = state.queue.busy() * 1_000 / usize::from(permit.slots).max(1);
        Traffic {
            exchanges: self.open(),
            connections: self.pool.open() as u32,
            busy: busy as u32,
            served: state.served.drain().collect(),
        }
    }

    /// Counts an exchange as open until the result is dropped.
    pub fn exchange(&self) -> Exchange<'_> {
        self.open.fetch_add(1, Ordering::AcqRel);
        Exchange(self)
    }

    /// Exchanges without an answer yet.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Acquire)
    }

    /// Summary for operators.
    pub fn overview(&self, now: Time) -> Overview {
        let permit = self.permit.load();
        let state = self.lock();
        Overview {
            slots: u32::from(permit.slots),
            busy: state.queue.busy() as u32,
            waiting: state.queue.waiting() as u32,
            left: (now < permit.until).then(|| permit.until.since(now)),
            silent: self.pool.suspect(),
        }
    }

    /// Time until which the permit is valid.
    pub fn permitted_until(&self) -> Time {
        self.permit.load().until
    }

    fn enqueue(
        &self,
        now: Time,
        rank: Rank,
        club: Club,
        deadline: Time,
        sender: oneshot::Sender<Result<(), Code>>,
    ) -> u64 {
        let mut state = self.lock();
        state.next += 1;
        let id = state.next;
        state.waiting.insert(id, sender);
        let events = state.queue.push(
            now,
            Ticket {
                id,
                rank,
                club,
                deadline,
            },
        );
        state.report(events);
        state.start(now);
        id
    }

    fn release(&self, now: Time, id: u64) {
        let mut state = self.lock();
        state.waiting.remove(&id);
        if !state.queue.done(now, id) {
            state.queue.cancel(id);
        }
        state.start(now);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    /// Starts requests while slots are free.
    fn start(&mut self, now: Time) {
        while let Some(id) = self.queue.next(now) {
            let taken = self
                .waiting
                .remove(&id)
                .is_some_and(|turn| turn.send(Ok(())).is_ok());
            if !taken {
                self.queue.done(now, id);
            }
        }
        for id in self.queue.expire(now) {
            self.refuse(id, Code::Expired);
        }
    }

    fn report(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Shed(id) => self.refuse(id, Code::QueueFull),
                Event::Expired(id) => self.refuse(id, Code::Expired),
                Event::Repeated(id) => self.refuse(id, Code::BadRequest),
            }
        }
    }

    fn refuse(&mut self, id: u64, code: Code) {
        if let Some(turn) = self.waiting.remove(&id) {
            // The caller may have left; then nobody waits for the answer.
            turn.send(Err(code)).ok();
        }
    }
}
