//! Everything a dispatcher has for one upstream: permit, queue, connections,
//! idempotency keys.

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
    /// End of the permission.
    pub until: Time,
    /// Shards and their epochs; empty for services that are not keyed.
    pub shards: HashMap<u16, Epoch>,
    /// Slots that may be in use.
    pub slots: u16,
    /// Whether no other instance may send to the upstream meanwhile.
    pub exclusive: bool,
}

/// Permit in force, and since when this lane has seen every request of a shard.
#[derive(Debug, Default)]
struct Held {
    permit: Permit,
    /// Since when the lane has been permitted without a gap.
    since: Time,
    /// Since when each shard has been permitted under the same epoch.
    shards: HashMap<u16, Time>,
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
    held: ArcSwap<Held>,
    pool: Pool,
    state: Mutex<State>,
    repeats: IdempotencyCache,
    silence: SilenceDetector,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    waiting: HashMap<u64, oneshot::Sender<Result<(), Code>>>,
    next: u64,
    /// Whether no request is started, though slots are free.
    paused: bool,
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

impl Lane {
    /// Lane without a permit.
    pub fn new(pool: Pool, limits: admission::Limits) -> Lane {
        let queue = Queue::new(limits);
        let (waiting, served) = (HashMap::new(), HashMap::new());
        let state = State {
            queue,
            waiting,
            next: 0,
            paused: false,
            served,
        };
        Lane {
            held: ArcSwap::default(),
            pool,
            state: Mutex::new(state),
            repeats: IdempotencyCache::new(),
            silence: SilenceDetector::default(),
        }
    }

    /// Connections to the upstream.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Idempotency keys seen here.
    pub fn idempotency(&self) -> &IdempotencyCache {
        &self.repeats
    }

    /// Checks that a request for the shard may be sent now.
    ///
    /// # Errors
    ///
    /// `Code::NotDispatcher` without a live permit, `Code::NotOwner` if the
    /// upstream does not own the shard.
    pub fn check_permit(&self, now: Time, shard: Option<Shard>) -> Result<Option<Epoch>, Code> {
        let held = self.held.load();
        let permit = &held.permit;
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
    pub fn update_permit(&self, now: Time, permit: Permit, limits: admission::Limits) {
        let held = self.held.load();
        if held.permit != permit {
            self.held.store(held.renewed(now, permit).into());
        }
        let mut state = self.lock();
        if *state.queue.limits() != limits {
            let events = state.queue.set_limits(now, limits);
            state.report(events);
        }
        state.start(now);
    }

    /// Ends the permit: waiting requests are refused and idle connections closed.
    /// Exchanges that have begun go on.
    pub fn retire(&self) {
        if self.held.load().permit.until > Time(0) {
            self.held.store(Held::default().into());
        }
        let mut state = self.lock();
        for (_, turn) in state.waiting.drain() {
            // The caller may have left; then nobody waits for the answer.
            turn.send(Err(Code::NotDispatcher)).ok();
        }
        drop(state);
        self.pool.close_idle();
    }

    /// Since when every request for the shard has passed through this lane;
    /// `None` if another instance may send requests for it as well.
    pub fn exclusive_since(&self, shard: Option<Shard>) -> Option<Time> {
        let held = self.held.load();
        if !held.permit.exclusive {
            return None;
        }
        match shard {
            None => Some(held.since),
            Some(shard) => held.shards.get(&shard.index).copied(),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// `Code::QueueFull`, `Code::Expired` or `Code::NotDispatcher`; the request
    /// was not run.
    pub async fn acquire_slot(
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
    pub fn count_served(&self, shard: Option<Shard>) {
        *self.lock().served.entry(shard).or_insert(0) += 1;
    }

    /// Use of the upstream; answered requests are those since the last call.
    pub fn take_traffic(&self) -> Traffic {
        let held = self.held.load();
        let mut state = self.lock();
        let busy = state.queue.running_count() * 1_000 / usize::from(held.permit.slots).max(1);
        Traffic {
            exchanges: self.in_flight(),
            connections: self.pool.open_connections() as u32,
            busy_permille: busy as u32,
            served: state.served.drain().collect(),
        }
    }

    /// Sends a request under the epoch that `permit` has given, and reads the
    /// whole answer.
    ///
    /// # Errors
    ///
    /// As `Pool::exchange_if`; `ExchangeError::Revoked` if the permit has ended or the
    /// epoch has changed by the time of the send.
    pub async fn exchange(
        &self,
        clock: Clock,
        shard: Option<Shard>,
        epoch: Option<Epoch>,
        request: Request<Full<Bytes>>,
        time: Duration,
        max_body: usize,
    ) -> Result<BufferedResponse, ExchangeError> {
        let permitted = || self.check_permit(clock.now(), shard) == Ok(epoch);
        let pause = |paused| self.pause(clock.now(), paused);
        let exchange = self
            .silence
            .exchange(&self.pool, request, time, max_body, &permitted, &pause);
        exchange.await
    }

    /// Pauses or resumes the start of waiting requests.
    fn pause(&self, now: Time, paused: bool) {
        let mut state = self.lock();
        state.paused = paused;
        state.start(now);
    }

    /// Exchanges without an answer yet.
    pub fn in_flight(&self) -> u32 {
        self.silence.in_flight() as u32
    }

    /// Summary for operators.
    pub fn overview(&self, now: Time) -> Overview {
        let held = self.held.load();
        let permit = &held.permit;
        let state = self.lock();
        Overview {
            slots: u32::from(permit.slots),
            busy: state.queue.running_count() as u32,
            waiting: state.queue.waiting_count() as u32,
            left: (now < permit.until).then(|| permit.until.since(now)),
            silent: self.pool.recently_failed(),
        }
    }

    /// Requests that wait for a slot, by rank.
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
        state.next += 1;
        let id = state.next;
        state.waiting.insert(id, sender);
        let events = state.queue.push(
            now,
            SlotRequest {
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
        if !state.queue.finish(now, id) {
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

impl Held {
    /// Successor under a new permit. After a gap, or under a new epoch, requests
    /// may have passed elsewhere.
    fn renewed(&self, now: Time, permit: Permit) -> Held {
        let gap = now >= self.permit.until || permit.exclusive != self.permit.exclusive;
        let kept = |index: &u16, epoch: &Epoch| {
            let same = self.permit.shards.get(index) == Some(epoch);
            let since = self.shards.get(index).copied();
            since.filter(|_| same && !gap).unwrap_or(now)
        };
        let shards = permit.shards.iter();
        let shards = shards
            .map(|(index, epoch)| (*index, kept(index, epoch)))
            .collect();
        Held {
            since: if gap { now } else { self.since },
            shards,
            permit,
        }
    }
}

impl State {
    /// Starts requests while slots are free.
    fn start(&mut self, now: Time) {
        while !self.paused
            && let Some(id) = self.queue.start_next(now)
        {
            let taken = self
                .waiting
                .remove(&id)
                .is_some_and(|turn| turn.send(Ok(())).is_ok());
            if !taken {
                self.queue.finish(now, id);
            }
        }
        for id in self.queue.expire(now) {
            self.refuse(id, Code::Expired);
        }
    }

    fn report(&mut self, events: Vec<QueueEvent>) {
        for event in events {
            match event {
                QueueEvent::Shed(id) => self.refuse(id, Code::QueueFull),
                QueueEvent::Expired(id) => self.refuse(id, Code::Expired),
                QueueEvent::Duplicate(id) => self.refuse(id, Code::BadRequest),
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
