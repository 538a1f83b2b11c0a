//! Admission queue that a dispatcher keeps for one upstream.
//!
//! Ranks are served in strict priority order, except that a rank with a floor
//! receives at least that fraction of the slot time while it has waiting requests.
//! Within a rank, slots are shared between clubs by weight, and each club's requests
//! start in order of their deadlines. A request that can no longer finish before its
//! deadline is dropped instead of started.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::BuildHasherDefault;

use medlarreel_macros::data;

use crate::ids::Club;
use crate::preset::{RANK_COUNT, Rank};
use crate::time::Time;

mod accounting;
mod backlog;

use accounting::{Floors, RunTimeEstimate};
use backlog::{Backlog, Entry};

/// Hash map with a fixed hasher, so that its iteration order is reproducible.
type FixedHashMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// Limits of one upstream's queue.
#[data(plain)]
pub struct Limits {
    /// Maximum number of waiting requests; every request waits until `start_next`, so 0
    /// refuses all.
    pub max_waiting: u32,
    /// Maximum number of running requests; 0 starts nothing.
    pub slots: u16,
    /// Guaranteed share of the slot time by rank, in percent; if the sum exceeds 100,
    /// the floors of the least urgent ranks are reduced.
    pub floor_percents: [u8; RANK_COUNT],
    /// Weight of each club; all clubs that are not listed share one class of weight 1.
    pub weights: Vec<(Club, u16)>,
}

/// Request for a slot of the upstream.
#[data(key)]
pub struct SlotRequest {
    /// Identifier, unique among waiting and running requests.
    pub id: u64,
    /// Priority of the request.
    pub rank: Rank,
    /// Club of the caller.
    pub club: Club,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Time,
}

/// Reason why a request left the queue, or did not enter it, without being started, with
/// the id of the request.
#[data(key)]
pub enum QueueEvent {
    /// Dropped because the queue is full; the request was not run.
    Shed(u64),
    /// Dropped because it can no longer finish in time; the request was not run.
    Expired(u64),
    /// Not queued because a request with the same id is already waiting or running.
    Duplicate(u64),
}

/// Request that occupies a slot.
#[data(key)]
pub struct RunningRequest {
    /// Rank of the request.
    pub rank: Rank,
    /// Club of the caller.
    pub club: Club,
    /// Time at which it was started.
    pub started_at: Time,
}

/// Waiting and running requests of one upstream.
#[data(plain)]
pub struct Queue {
    limits: Limits,
    backlog: Backlog,
    /// Sole waiting entry if a slot is free; it bypasses the backlog's trees.
    fast_path: Option<Entry>,
    /// Ids that `start_next` dropped as late and that `expire`, `push` or `set_limits`
    /// has yet to report.
    unreported_expired: Vec<u64>,
    running: FixedHashMap<u64, RunningRequest>,
    floors: Floors,
    run_times: [RunTimeEstimate; RANK_COUNT],
}

/// Queries.
impl Queue {
    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.backlog.len() + usize::from(self.fast_path.is_some())
    }

    /// Number of waiting requests of a rank.
    pub fn waiting_count_of(&self, rank: Rank) -> usize {
        let fast_path = self
            .fast_path
            .iter()
            .filter(|entry| entry.request.rank == rank);
        self.backlog.len_of(rank) + fast_path.count()
    }

    /// Requests that were started but not finished, for reconciliation with the
    /// dispatcher's open exchanges.
    pub fn running(&self) -> impl Iterator<Item = (u64, RunningRequest)> + '_ {
        self.running.iter().map(|(&id, &running)| (id, running))
    }

    /// Number of running requests.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Whether fewer requests run than there are slots.
    pub fn has_free_slot(&self) -> bool {
        self.running.len() < usize::from(self.limits.slots)
    }

    /// Limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }
}

/// Commands.
impl Queue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Queue {
        let running =
            FixedHashMap::with_capacity_and_hasher(usize::from(limits.slots), Default::default());
        Queue {
            backlog: Backlog::new(&limits.weights),
            fast_path: None,
            unreported_expired: Vec::new(),
            running,
            floors: Floors::new(limits.floor_percents),
            run_times: Default::default(),
            limits,
        }
    }

    /// Replaces the limits and returns the requests that are dropped to meet the new
    /// `max_waiting`.
    pub fn set_limits(&mut self, now: Time, limits: Limits) -> Vec<QueueEvent> {
        self.flush_fast_path();
        if limits.weights != self.limits.weights {
            self.backlog.set_weights(&limits.weights);
        }
        self.floors.set_percents(limits.floor_percents);
        self.limits = limits;
        let mut events = Vec::new();
        self.enforce_bound(now, &mut events);
        events
    }

    /// Queues a request; call `start_next` afterwards.
    ///
    /// Returns `Duplicate` if the id is in use. If the queue is full, returns the late
    /// and the shed requests that make room, which may include this one. Otherwise the
    /// vector is empty. Nothing is allocated if the queue is empty and a slot is free.
    pub fn push(&mut self, now: Time, request: SlotRequest) -> Vec<QueueEvent> {
        if self.contains(request.id) {
            return vec![QueueEvent::Duplicate(request.id)];
        }
        let entry = Entry {
            request,
            queued_at: now,
        };
        let empty = self.waiting_count() == 0 && self.unreported_expired.is_empty();
        if empty && self.limits.max_waiting > 0 && self.has_free_slot() {
            self.fast_path = Some(entry);
            return Vec::new();
        }
        self.flush_fast_path();
        self.backlog.insert(entry);
        let mut events = Vec::new();
        self.enforce_bound(now, &mut events);
        events
    }

    /// Starts the next request and returns its id, if a slot is free.
    ///
    /// Requests that are dropped as late on the way are reported by the next `expire`, or
    /// by an earlier `push` or `set_limits` that finds the queue full.
    pub fn start_next(&mut self, now: Time) -> Option<u64> {
        if !self.has_free_slot() {
            return None;
        }
        if let Some(entry) = self.fast_path.take() {
            self.backlog
                .record_direct_start(entry.request.rank, entry.request.club);
            return self.start_or_drop(now, entry, false);
        }
        while let Some((rank, by_floor)) = self.choose_rank() {
            let entry = self.backlog.pop(rank)?;
            let started = self.start_or_drop(now, entry, by_floor);
            if started.is_some() {
                return started;
            }
        }
        None
    }

    /// Frees the slot of a running request.
    ///
    /// Returns false if no request with this id is running, so that a repeated call does
    /// not free the slot of another request.
    pub fn finish(&mut self, now: Time, id: u64) -> bool {
        let Some(running) = self.running.remove(&id) else {
            return false;
        };
        let run_time = now.0.saturating_sub(running.started_at.0);
        self.run_times[running.rank.index()].observe(to_sample(run_time));
        true
    }

    /// Removes a waiting request whose caller has disconnected; returns false if the id
    /// is not waiting.
    pub fn cancel(&mut self, id: u64) -> bool {
        if self.fast_path.is_some_and(|entry| entry.request.id == id) {
            self.fast_path = None;
            return true;
        }
        self.backlog.remove(id).is_some()
    }

    /// Drops requests that can no longer finish in time. Returns their ids and those of
    /// requests that `start_next` has dropped as late and that were not reported yet.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let mut ids = std::mem::take(&mut self.unreported_expired);
        if let Some(entry) = self
            .fast_path
            .filter(|entry| self.would_finish_late(now, entry))
        {
            self.fast_path = None;
            ids.push(entry.request.id);
        }
        for rank in Rank::ALL {
            for class in 0..self.backlog.class_count() {
                self.expire_class(now, rank, class, &mut ids);
            }
        }
        ids
    }
}

/// Internals.
impl Queue {
    fn contains(&self, id: u64) -> bool {
        let fast_path = self.fast_path.is_some_and(|entry| entry.request.id == id);
        fast_path || self.backlog.contains(id) || self.running.contains_key(&id)
    }

    fn expire_class(&mut self, now: Time, rank: Rank, class: usize, ids: &mut Vec<u64>) {
        while let Some(entry) = self.backlog.earliest_deadline(rank, class) {
            if !self.would_finish_late(now, &entry) {
                return;
            }
            self.backlog.remove(entry.request.id);
            ids.push(entry.request.id);
        }
    }

    /// Moves the entry of the fast path into the backlog.
    fn flush_fast_path(&mut self) {
        if let Some(entry) = self.fast_path.take() {
            self.backlog.insert(entry);
        }
    }

    /// Drops entries, late ones first, until the backlog is within `max_waiting`.
    fn enforce_bound(&mut self, now: Time, events: &mut Vec<QueueEvent>) {
        let bound = self.limits.max_waiting as usize;
        if self.backlog.len() + self.unreported_expired.len() > bound {
            events.extend(self.expire(now).into_iter().map(QueueEvent::Expired));
        }
        while self.backlog.len() > bound {
            let Some(id) = self.choose_entry_to_shed() else {
                return;
            };
            self.backlog.remove(id);
            events.push(QueueEvent::Shed(id));
        }
    }

    /// Chooses the entry to shed: from the least urgent rank that has more entries than
    /// its floor reserves, the oldest entry of the club with the most entries relative to
    /// its weight.
    fn choose_entry_to_shed(&self) -> Option<u64> {
        let over = |rank: &Rank| {
            let floor = self.floors.reserved_entries(*rank, self.limits.max_waiting);
            self.backlog.len_of(*rank) > floor
        };
        let lowest = Rank::ALL.into_iter().rev().find(over);
        // In a very short queue, floors rounded up to whole entries can add up to more
        // than the bound, so that no rank exceeds its floor.
        let present = |rank: &Rank| self.backlog.len_of(*rank) > 0;
        let rank = lowest.or_else(|| Rank::ALL.into_iter().rev().find(present))?;
        self.backlog.shed_candidate(rank)
    }

    /// Rank that is served next, and whether it was chosen because of its floor.
    fn choose_rank(&self) -> Option<(Rank, bool)> {
        let waiting = |rank: &Rank| self.backlog.len_of(*rank) > 0;
        let due = |rank: &Rank| self.floors.owed(*rank) >= self.mean_run_time(*rank) * 100;
        let owed = Rank::ALL.into_iter().filter(waiting).filter(due);
        if let Some(rank) = owed.max_by_key(|rank| self.floors.owed(*rank)) {
            return Some((rank, true));
        }
        let urgent = Rank::ALL.into_iter().find(waiting)?;
        Some((urgent, false))
    }

    fn start_or_drop(&mut self, now: Time, entry: Entry, by_floor: bool) -> Option<u64> {
        let request = entry.request;
        if self.would_finish_late(now, &entry) {
            self.unreported_expired.push(request.id);
            return None;
        }
        let running = RunningRequest {
            rank: request.rank,
            club: request.club,
            started_at: now,
        };
        self.running.insert(request.id, running);
        self.charge_slot_time(request.rank, request.club, by_floor);
        Some(request.id)
    }

    /// Charges the expected slot time of a started request to its rank and club.
    ///
    /// Over some dozens of runs the smoothed mean adds up to the actual slot time.
    /// Charging the actual length of each run made the service under a floor bursty, and
    /// a short queue ran empty in each burst.
    fn charge_slot_time(&mut self, rank: Rank, club: Club, by_floor: bool) {
        let cost = self.mean_run_time(rank);
        self.backlog.charge_club(rank, club, cost);
        for other in Rank::ALL {
            if other == rank || self.backlog.len_of(other) > 0 {
                self.floors.accrue(other, cost);
            }
        }
        self.floors.debit(rank, cost, by_floor);
        for other in Rank::ALL {
            self.floors.clamp(other, self.mean_run_time(other));
        }
    }

    fn mean_run_time(&self, rank: Rank) -> i64 {
        self.run_times[rank.index()].mean()
    }

    /// Whether the entry would probably finish after its deadline.
    ///
    /// The expected run time is limited to half of the time that the entry had when it
    /// was queued. A new entry is therefore always tried, and an estimate that is too
    /// long corrects itself.
    fn would_finish_late(&self, now: Time, entry: &Entry) -> bool {
        let deadline = entry.request.deadline;
        let allowed = deadline.0.saturating_sub(entry.queued_at.0) / 2;
        let margin = self.run_times[entry.request.rank.index()].longest();
        now >= deadline || now.0 + margin.min(allowed) > deadline.0
    }
}

/// Converts a run time to a sample of `run_times`; one above `i64::MAX` becomes a
/// thousandth of that.
fn to_sample(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX / 1_000)
}
