//! Queue of one upstream at its dispatcher.
//!
//! Ranks are served in priority order, but each rank with a floor receives at
//! least that fraction of the slot time while it has work. Inside a rank, clubs
//! share by weight; inside a class, the earliest deadline goes first. Entries
//! that can no longer finish in time are dropped instead of started.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::BuildHasherDefault;

use medlarreel_macros::data;

use crate::ids::Club;
use crate::preset::{RANK_COUNT, Rank};
use crate::time::Time;

mod accounting;
mod backlog;

use accounting::{Estimate, Floors};
use backlog::{Backlog, Entry};

/// Hash map with a fixed hasher, so that equal runs stay equal.
type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// Limits of one upstream's queue.
#[data(plain)]
pub struct Limits {
    /// Requests that may wait; every request waits until `start_next`, so 0 refuses all.
    pub max_waiting: u32,
    /// Requests that may run at a time; 0 starts nothing.
    pub slots: u16,
    /// Guaranteed part of the slot time by rank, in percent; a sum above 100 is
    /// cut at the least urgent ranks.
    pub floor_percents: [u8; RANK_COUNT],
    /// Weight of each club; clubs not named share one class of weight 1.
    pub weights: Vec<(Club, u16)>,
}

/// A request that asks for a slot.
#[data(key)]
pub struct SlotRequest {
    /// Identity, unique among waiting and running requests.
    pub id: u64,
    /// Rank of the request.
    pub rank: Rank,
    /// Club of the caller.
    pub club: Club,
    /// Time after which the answer is useless.
    pub deadline: Time,
}

/// What happened to a request other than being started.
#[data(key)]
pub enum QueueEvent {
    /// Dropped because the queue is full; it was not run.
    Shed(u64),
    /// Dropped because it can no longer finish in time; it was not run.
    Expired(u64),
    /// Not queued because the same id is already waiting or running.
    Duplicate(u64),
}

/// A started request.
#[data(key)]
pub struct RunningRequest {
    /// Rank of the request.
    pub rank: Rank,
    /// Club of the caller.
    pub club: Club,
    /// When it was started.
    pub started_at: Time,
}

/// Waiting and running requests of one upstream.
#[data(plain)]
pub struct Queue {
    limits: Limits,
    backlog: Backlog,
    /// The only waiting entry, kept out of the trees while a slot is free.
    front: Option<Entry>,
    /// Ids dropped by `start_next` and not yet reported by `expire` or `push`.
    lapsed: Vec<u64>,
    running: Map<u64, RunningRequest>,
    floors: Floors,
    estimates: [Estimate; RANK_COUNT],
}

/// Queries.
impl Queue {
    /// Number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.backlog.len() + usize::from(self.front.is_some())
    }

    /// Number of requests of a rank that wait.
    pub fn waiting_count_of(&self, rank: Rank) -> usize {
        let front = self.front.iter().filter(|entry| entry.ticket.rank == rank);
        self.backlog.len_of(rank) + front.count()
    }

    /// Started requests whose `finish` has not arrived, for reconciliation with
    /// the dispatcher's open exchanges.
    pub fn running(&self) -> impl Iterator<Item = (u64, RunningRequest)> + '_ {
        self.running.iter().map(|(&id, &running)| (id, running))
    }

    /// Number of requests that run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Whether a request could be started now.
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
    /// Queue without work.
    pub fn new(limits: Limits) -> Queue {
        let running = Map::with_capacity_and_hasher(usize::from(limits.slots), Default::default());
        Queue {
            backlog: Backlog::new(&limits.weights),
            front: None,
            lapsed: Vec::new(),
            running,
            floors: Floors::new(limits.floor_percents),
            estimates: Default::default(),
            limits,
        }
    }

    /// Replaces the limits and drops what no longer fits.
    pub fn set_limits(&mut self, now: Time, limits: Limits) -> Vec<QueueEvent> {
        self.settle();
        if limits.weights != self.limits.weights {
            self.backlog.set_weights(&limits.weights);
        }
        self.floors.set(limits.floor_percents);
        self.limits = limits;
        let mut events = Vec::new();
        self.make_room(now, &mut events);
        events
    }

    /// Queues a request; call `start_next` afterwards.
    ///
    /// Returns nothing, without allocation, while the queue has room.
    pub fn push(&mut self, now: Time, ticket: SlotRequest) -> Vec<QueueEvent> {
        if self.knows(ticket.id) {
            return vec![QueueEvent::Duplicate(ticket.id)];
        }
        let entry = Entry { ticket, since: now };
        let empty = self.waiting_count() == 0 && self.lapsed.is_empty();
        if empty && self.limits.max_waiting > 0 && self.has_free_slot() {
            self.front = Some(entry);
            return Vec::new();
        }
        self.settle();
        self.backlog.insert(entry);
        let mut events = Vec::new();
        self.make_room(now, &mut events);
        events
    }

    /// Starts the request that is due, if a slot is free.
    ///
    /// Requests that it finds too late are reported by the next `expire`.
    pub fn start_next(&mut self, now: Time) -> Option<u64> {
        if !self.has_free_slot() {
            return None;
        }
        if let Some(entry) = self.front.take() {
            self.backlog.bypass(entry.ticket.rank, entry.ticket.club);
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

    /// Frees the slot of a started request.
    ///
    /// False if the id does not run, so a repeated report frees nothing.
    pub fn finish(&mut self, now: Time, id: u64) -> bool {
        let Some(running) = self.running.remove(&id) else {
            return false;
        };
        let length = now.0.saturating_sub(running.started_at.0);
        self.estimates[running.rank.index()].observe(micros(length));
        true
    }

    /// Removes a waiting request whose caller has gone; false if it does not wait.
    pub fn cancel(&mut self, id: u64) -> bool {
        if self.front.is_some_and(|entry| entry.ticket.id == id) {
            self.front = None;
            return true;
        }
        self.backlog.remove(id).is_some()
    }

    /// Drops requests that can no longer finish in time and returns their ids.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let mut ids = std::mem::take(&mut self.lapsed);
        if let Some(entry) = self.front.filter(|entry| self.late(now, entry)) {
            self.front = None;
            ids.push(entry.ticket.id);
        }
        for rank in Rank::ALL {
            for class in 0..self.backlog.classes() {
                self.expire_class(now, rank, class, &mut ids);
            }
        }
        ids
    }
}

/// Steps of the commands.
impl Queue {
    fn knows(&self, id: u64) -> bool {
        let front = self.front.is_some_and(|entry| entry.ticket.id == id);
        front || self.backlog.contains(id) || self.running.contains_key(&id)
    }

    fn expire_class(&mut self, now: Time, rank: Rank, class: usize, ids: &mut Vec<u64>) {
        while let Some(entry) = self.backlog.head(rank, class) {
            if !self.late(now, &entry) {
                return;
            }
            self.backlog.remove(entry.ticket.id);
            ids.push(entry.ticket.id);
        }
    }

    /// Moves the single entry into the trees.
    fn settle(&mut self) {
        if let Some(entry) = self.front.take() {
            self.backlog.insert(entry);
        }
    }

    /// Drops entries, late ones first, until the queue is within its bound.
    fn make_room(&mut self, now: Time, events: &mut Vec<QueueEvent>) {
        let bound = self.limits.max_waiting as usize;
        if self.backlog.len() + self.lapsed.len() > bound {
            events.extend(self.expire(now).into_iter().map(QueueEvent::Expired));
        }
        while self.backlog.len() > bound {
            let Some(id) = self.choose_victim() else {
                return;
            };
            self.backlog.remove(id);
            events.push(QueueEvent::Shed(id));
        }
    }

    /// Entry that goes: of the lowest rank that has more entries than its floor,
    /// the oldest one of the club with the most entries for its weight.
    fn choose_victim(&self) -> Option<u64> {
        let over = |rank: &Rank| {
            let floor = self.floors.entries(*rank, self.limits.max_waiting);
            self.backlog.len_of(*rank) > floor
        };
        let lowest = Rank::ALL.into_iter().rev().find(over);
        // In a very short queue, floors rounded up to whole entries can exceed the bound.
        let present = |rank: &Rank| self.backlog.len_of(*rank) > 0;
        let rank = lowest.or_else(|| Rank::ALL.into_iter().rev().find(present))?;
        self.backlog.oldest(rank)
    }

    /// Rank that is served next, and whether its floor is the reason.
    fn choose_rank(&self) -> Option<(Rank, bool)> {
        let waiting = |rank: &Rank| self.backlog.len_of(*rank) > 0;
        let due = |rank: &Rank| self.floors.owed(*rank) >= self.cost(*rank) * 100;
        let owed = Rank::ALL.into_iter().filter(waiting).filter(due);
        if let Some(rank) = owed.max_by_key(|rank| self.floors.owed(*rank)) {
            return Some((rank, true));
        }
        let urgent = Rank::ALL.into_iter().find(waiting)?;
        Some((urgent, false))
    }

    fn start_or_drop(&mut self, now: Time, entry: Entry, by_floor: bool) -> Option<u64> {
        let ticket = entry.ticket;
        if self.late(now, &entry) {
            self.lapsed.push(ticket.id);
            return None;
        }
        let running = RunningRequest {
            rank: ticket.rank,
            club: ticket.club,
            started_at: now,
        };
        self.running.insert(ticket.id, running);
        self.charge(ticket.rank, ticket.club, by_floor);
        Some(ticket.id)
    }

    /// Accounts the expected slot time of a started request to its rank and club.
    ///
    /// The smoothed mean adds up to the true slot time over some dozens of runs.
    /// Charging each run's true length instead made the floors' service bursty,
    /// and a short queue ran empty in each burst.
    fn charge(&mut self, rank: Rank, club: Club, by_floor: bool) {
        let cost = self.cost(rank);
        self.backlog.charge(rank, club, cost);
        for other in Rank::ALL {
            if other == rank || self.backlog.len_of(other) > 0 {
                self.floors.accrue(other, cost);
            }
        }
        self.floors.spend(rank, cost, by_floor);
        for other in Rank::ALL {
            self.floors.clamp(other, self.cost(other));
        }
    }

    fn cost(&self, rank: Rank) -> i64 {
        self.estimates[rank.index()].mean()
    }

    /// Whether the entry would probably finish after its deadline.
    ///
    /// The expected run time counts for at most half of the time that the entry
    /// had at the start, so that a fresh entry is always tried and a wrong
    /// estimate corrects itself.
    fn late(&self, now: Time, entry: &Entry) -> bool {
        let deadline = entry.ticket.deadline;
        let allowed = deadline.0.saturating_sub(entry.since.0) / 2;
        let margin = self.estimates[entry.ticket.rank.index()].longest();
        now >= deadline || now.0 + margin.min(allowed) > deadline.0
    }
}

fn micros(span: u64) -> i64 {
    i64::try_from(span).unwrap_or(i64::MAX / 1_000)
}
