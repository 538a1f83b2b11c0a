//! A lane: the state with which this instance dispatches requests to one upstream.
//!
//! It consists of the permit under which requests may be sent, the queue for the slots of
//! the upstream, the connection pool, and the idempotency keys.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use medlarreel_core::admission::{self, Queue, QueueEvent, SlotRequest};
use medlarreel_core::code::Code;
use medlarreel_core::ids::{Club, Epoch, Shard};
use medlarreel_core::machine::Traffic;
use medlarreel_core::preset::{RANK_COUNT, Rank};
use medlarreel_core::time::Time;
use tokio::sync::oneshot;

use super::idempotency::IdempotencyCache;
use super::pool::{BufferedResponse, ExchangeError, Pool};
use super::silence::SilenceDetector;
use crate::clock::Clock;

/// Permission to send requests to an upstream, derived from the dispatch lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Permit {
    /// Time at which the permit ends.
    pub until: Time,
    /// Epoch of each permitted shard; empty for services that are not keyed.
    pub shards: HashMap<u16, Epoch>,
    /// Maximum number of slots in use.
    pub slots: u16,
    /// Whether no other instance may send to the upstream at the same time.
    pub exclusive: bool,
}

/// Current permit, and the time since which this lane has handled every request.
#[derive(Debug, Default)]
struct PermitState {
    permit: Permit,
    /// Time since which there was no gap between permits and `exclusive` did not change.
    since: Time,
    /// Start of the uninterrupted permission under the current epoch, by shard.
    shards_since: HashMap<u16, Time>,
}

/// Overview of a lane for operators.
#[derive(Clone, Debug, Default)]
pub struct Overview {
    /// Maximum number of slots in use.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Number of requests waiting for a slot.
    pub waiting: u32,
    /// Remaining time of the permit; `None` without one.
    pub permit_left: Option<Duration>,
    /// Whether the latest connection attempt failed within the last second.
    pub recently_failed: bool,
}

/// Queue, connections and permit for one upstream.
#[derive(Debug)]
pub struct Lane {
    permit_state: ArcSwap<PermitState>,
    pool: Pool,
    state: Mutex<State>,
    idempotency: IdempotencyCache,
    silence_detector: SilenceDetector,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    waiters: HashMap<u64, oneshot::Sender<Result<(), Code>>>,
    next_id: u64,
    /// Whether no request is started even if slots are free.
    paused: bool,
    /// Number of requests served since the last call of `take_traffic`, by shard; `None`
    /// for a service that is not keyed.
    served: HashMap<Option<Shard>, u32>,
}

/// A slot of the upstream, released on drop.
#[derive(Debug)]
pub struct Slot<'a> {
    lane: &'a Lane,
    clock: Clock,
    id: u64,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.lane.release_slot(self.clock.now(), self.id);
    }
}

impl Lane {
    /// Creates a lane without a permit.
    pub fn new(pool: Pool, limits: admission::Limits) -> Lane {
        let queue = Queue::new(limits);
        let (waiters, served) = (HashMap::new(), HashMap::new());
        let state = State {
            queue,
            waiters,
            next_id: 0,
            paused: false,
            served,
        };
        Lane {
            permit_state: ArcSwap::default(),
            pool,
            state: Mutex::new(state),
            idempotency: IdempotencyCache::new(),
            silence_detector: SilenceDetector::default(),
        }
    }

    /// Returns the connection pool of the upstream.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the idempotency keys seen by this lane.
    pub fn idempotency(&self) -> &IdempotencyCache {
        &self.idempotency
    }

    /// Checks that a request for the shard may be sent now and returns the epoch of the
    /// shard; `None` for services that are not keyed.
    ///
    /// # Errors
    ///
    /// `Code::NotDispatcher` without a valid permit, `Code::NotOwner` if the
    /// upstream does not own the shard.
    pub fn check_permit(&self, now: Time, shard: Option<Shard>) -> Result<Option<Epoch>, Code> {
        let permit_state = self.permit_state.load();
        let permit = &permit_state.permit;
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

    /// Replaces the permit and the limits of the queue.
    pub fn update_permit(&self, now: Time, permit: Permit, limits: admission::Limits) {
        let permit_state = self.permit_state.load();
        if permit_state.permit != permit {
            self.permit_state
                .store(permit_state.with_permit(now, permit).into());
        }
        let mut state = self.lock();
        if *state.queue.limits() != limits {
            let events = state.queue.set_limits(now, limits);
            state.handle_queue_events(events);
        }
        state.start_waiting(now);
    }

    /// Ends the permit, rejects waiting requests and closes idle connections.
    /// Exchanges in flight continue.
    pub fn retire(&self) {
        if self.permit_state.load().permit.until > Time(0) {
            self.permit_state.store(PermitState::default().into());
        }
        let mut state = self.lock();
        for (_, waiter) in state.waiters.drain() {
            // The receiver is gone if the caller has disconnected.
            waiter.send(Err(Code::NotDispatcher)).ok();
        }
        drop(state);
        self.pool.close_idle();
    }

    /// Returns the time since which every request for the shard has passed through
    /// this lane; `None` if another instance may also send such requests, or if the
    /// permit does not include the shard.
    pub fn exclusive_since(&self, shard: Option<Shard>) -> Option<Time> {
        let permit_state = self.permit_state.load();
        if !permit_state.permit.exclusive {
            return None;
        }
        match shard {
            None => Some(permit_state.since),
            Some(shard) => permit_state.shards_since.get(&shard.index).copied(),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// `Code::QueueFull` if the queue is full or sheds the request, `Code::Expired` if
    /// the deadline passes first, `Code::NotDispatcher` if the lane is retired. In each
    /// case the request was not run.
    pub async fn acquire_slot(
        &self,
        clock: Clock,
        rank: Rank,
        club: Club,
        deadline: Time,
    ) -> Result<Slot<'_>, Code> {
        let (sender, started) = oneshot::channel();
        let now = clock.now();
        let id = self.enqueue(now, rank, club, deadline, sender);
        // Created before waiting, so that the queue entry is released on every exit
        // path, including cancellation when the caller disconnects.
        let slot = Slot {
            lane: self,
            clock,
            id,
        };
        match tokio::time::timeout(deadline.since(now), started).await {
            Ok(Ok(Ok(()))) => Ok(slot),
            Ok(Ok(Err(code))) => Err(code),
            Ok(Err(_)) => Err(Code::QueueFull),
            Err(_) => Err(Code::Expired),
        }
    }

    /// Counts a request that received a response.
    pub fn count_served(&self, shard: Option<Shard>) {
        *self.lock().served.entry(shard).or_insert(0) += 1;
    }

    /// Returns the current use of the upstream and the requests served since the last
    /// call.
    pub fn take_traffic(&self) -> Traffic {
        let permit_state = self.permit_state.load();
        let mut state = self.lock();
        let busy =
            state.queue.running_count() * 1_000 / usize::from(permit_state.permit.slots).max(1);
        Traffic {
            exchanges: self.in_flight(),
            connections: self.pool.open_connections() as u32,
            busy_permille: busy as u32,
            served: state.served.drain().collect(),
        }
    }

    /// Sends a request under the epoch returned by `check_permit` and reads the
    /// complete response.
    ///
    /// # Errors
    ///
    /// As `Pool::exchange_if`, and `ExchangeError::Silent` if the connection goes
    /// silent. `ExchangeError::Revoked` means that the permit has ended or the epoch
    /// has changed by the time of sending.
    pub async fn exchange(
        &self,
        clock: Clock,
        shard: Option<Shard>,
        epoch: Option<Epoch>,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_body: usize,
    ) -> Result<BufferedResponse, ExchangeError> {
        let permitted = || self.check_permit(clock.now(), shard) == Ok(epoch);
        let pause = |paused| self.set_paused(clock.now(), paused);
        let exchange = self
            .silence_detector
            .exchange(&self.pool, request, timeout, max_body, &permitted, &pause);
        exchange.await
    }

    /// Pauses or resumes the start of waiting requests.
    fn set_paused(&self, now: Time, paused: bool) {
        let mut state = self.lock();
        state.paused = paused;
        state.start_waiting(now);
    }

    /// Returns the number of exchanges that have no response yet.
    pub fn in_flight(&self) -> u32 {
        self.silence_detector.in_flight() as u32
    }

    /// Returns a summary for operators.
    pub fn overview(&self, now: Time) -> Overview {
        let permit_state = self.permit_state.load();
        let permit = &permit_state.permit;
        let state = self.lock();
        Overview {
            slots: u32::from(permit.slots),
            busy: state.queue.running_count() as u32,
            waiting: state.queue.waiting_count() as u32,
            permit_left: (now < permit.until).then(|| permit.until.since(now)),
            recently_failed: self.pool.recently_failed(),
        }
    }

    /// Returns the number of requests waiting for a slot, by rank.
    pub fn waiting_by_rank(&self) -> [u32; RANK_COUNT] {
        let state = self.lock();
        Rank::ALL.map(|rank| state.queue.waiting_count_of(rank) as u32)
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
        state.next_id += 1;
        let id = state.next_id;
        state.waiters.insert(id, sender);
        let events = state.queue.push(
            now,
            SlotRequest {
                id,
                rank,
                club,
                deadline,
            },
        );
        state.handle_queue_events(events);
        state.start_waiting(now);
        id
    }

    fn release_slot(&self, now: Time, id: u64) {
        let mut state = self.lock();
        state.waiters.remove(&id);
        if !state.queue.finish(now, id) {
            state.queue.cancel(id);
        }
        state.start_waiting(now);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl PermitState {
    /// Returns the state under a new permit. The start times restart after a gap between
    /// permits and when `exclusive` changes, that of a shard also when the shard is new
    /// or has a new epoch, because other instances may have sent requests before.
    fn with_permit(&self, now: Time, permit: Permit) -> PermitState {
        let gap = now >= self.permit.until || permit.exclusive != self.permit.exclusive;
        let since_of = |index: &u16, epoch: &Epoch| {
            let same = self.permit.shards.get(index) == Some(epoch);
            let since = self.shards_since.get(index).copied();
            since.filter(|_| same && !gap).unwrap_or(now)
        };
        let shards = permit.shards.iter();
        let shards_since = shards
            .map(|(index, epoch)| (*index, since_of(index, epoch)))
            .collect();
        PermitState {
            since: if gap { now } else { self.since },
            shards_since,
            permit,
        }
    }
}

impl State {
    /// Starts waiting requests while slots are free, and rejects expired ones.
    fn start_waiting(&mut self, now: Time) {
        while !self.paused
            && let Some(id) = self.queue.start_next(now)
        {
            let delivered = self
                .waiters
                .remove(&id)
                .is_some_and(|waiter| waiter.send(Ok(())).is_ok());
            if !delivered {
                self.queue.finish(now, id);
            }
        }
        for id in self.queue.expire(now) {
            self.reject(id, Code::Expired);
        }
    }

    fn handle_queue_events(&mut self, events: Vec<QueueEvent>) {
        for event in events {
            match event {
                QueueEvent::Shed(id) => self.reject(id, Code::QueueFull),
                QueueEvent::Expired(id) => self.reject(id, Code::Expired),
                QueueEvent::Duplicate(id) => self.reject(id, Code::BadRequest),
            }
        }
    }

    fn reject(&mut self, id: u64, code: Code) {
        if let Some(waiter) = self.waiters.remove(&id) {
            // The receiver is gone if the caller has disconnected.
            waiter.send(Err(code)).ok();
        }
    }
}
