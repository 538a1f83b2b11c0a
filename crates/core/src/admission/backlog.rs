//! Waiting requests of all ranks, shared between clubs by stride scheduling.
//!
//! Each rank has a class for every club with a weight and one for all other clubs. A
//! class keeps its entries ordered by deadline, to start them, and by age, to shed them.

use std::cmp::{Ordering, Reverse};
use std::collections::BTreeMap;

use medlarreel_macros::data;

use super::{FixedHashMap, SlotRequest};
use crate::ids::Club;
use crate::preset::{RANK_COUNT, Rank};
use crate::time::Time;

/// Factor of a class's virtual time that keeps the precision when its weight is large.
const VIRTUAL_TIME_SCALE: i128 = 1_024;

/// Waiting request.
#[data(key)]
pub struct Entry {
    pub request: SlotRequest,
    /// Time at which it was queued.
    pub queued_at: Time,
}

/// Entry with its keys in the trees of its class.
#[data(key)]
struct QueuedEntry {
    entry: Entry,
    sequence: u64,
    class: usize,
}

/// Entries of one club, or of all clubs without a weight, in one rank.
#[data(plain)]
struct Class {
    weight: i128,
    /// Virtual time: slot time received, divided by the weight. An idle class is raised
    /// to the virtual time of its rank when it gets an entry.
    pass: i128,
    /// Ids by deadline and sequence number.
    by_deadline: BTreeMap<(Time, u64), u64>,
    /// Ids by sequence number, the oldest first.
    by_age: BTreeMap<u64, u64>,
}

/// Entries of one rank.
#[data(plain)]
struct RankQueue {
    classes: Vec<Class>,
    /// Virtual time of the class that was served last.
    virtual_time: i128,
    /// Number of entries in all classes.
    len: usize,
}

/// Waiting entries of all ranks.
#[data(plain)]
pub struct Backlog {
    /// Clubs with a weight, in the order of their classes.
    clubs: Vec<Club>,
    ranks: [RankQueue; RANK_COUNT],
    entries: FixedHashMap<u64, QueuedEntry>,
    /// Sequence number of the next entry.
    sequence: u64,
}

impl Backlog {
    pub fn new(weights: &[(Club, u16)]) -> Backlog {
        Backlog {
            clubs: weights.iter().map(|(club, _)| *club).collect(),
            ranks: std::array::from_fn(|_| RankQueue::new(weights)),
            entries: FixedHashMap::default(),
            sequence: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn len_of(&self, rank: Rank) -> usize {
        self.ranks[rank.index()].len
    }

    pub fn contains(&self, id: u64) -> bool {
        self.entries.contains_key(&id)
    }

    /// Number of classes in each rank.
    pub fn class_count(&self) -> usize {
        self.clubs.len() + 1
    }

    /// Entry with the earliest deadline in a class.
    pub fn earliest_deadline(&self, rank: Rank, class: usize) -> Option<Entry> {
        let by_deadline = &self.ranks[rank.index()].classes[class].by_deadline;
        let (_, id) = by_deadline.first_key_value()?;
        Some(self.entries[id].entry)
    }

    /// Oldest entry of the rank's class that has the most entries relative to its weight.
    ///
    /// Shedding the oldest entry of the whole rank instead would let a club that floods
    /// the rank displace the few entries of other clubs before they are served.
    pub fn shed_candidate(&self, rank: Rank) -> Option<u64> {
        let classes = self.ranks[rank.index()].classes.iter();
        let class = classes.max_by(|one, other| one.compare_excess(other))?;
        class.by_age.first_key_value().map(|(_, id)| *id)
    }

    pub fn insert(&mut self, entry: Entry) {
        let class = self.class_of(entry.request.club);
        let sequence = self.sequence;
        self.sequence += 1;
        let queued = QueuedEntry {
            entry,
            sequence,
            class,
        };
        self.ranks[entry.request.rank.index()].insert(&queued);
        self.entries.insert(entry.request.id, queued);
    }

    pub fn remove(&mut self, id: u64) -> Option<Entry> {
        let queued = self.entries.remove(&id)?;
        self.ranks[queued.entry.request.rank.index()].remove(&queued);
        Some(queued.entry)
    }

    /// Removes and returns the rank's next entry to start.
    pub fn pop(&mut self, rank: Rank) -> Option<Entry> {
        let id = self.ranks[rank.index()].select_next()?;
        self.remove(id)
    }

    /// Updates the virtual times for a request that starts without having been queued.
    pub fn record_direct_start(&mut self, rank: Rank, club: Club) {
        let class = self.class_of(club);
        let queue = &mut self.ranks[rank.index()];
        queue.virtual_time = queue.virtual_time.max(queue.classes[class].pass);
        queue.classes[class].pass = queue.virtual_time;
    }

    /// Charges slot time to a club.
    pub fn charge_club(&mut self, rank: Rank, club: Club, cost: i64) {
        let class = self.class_of(club);
        let class = &mut self.ranks[rank.index()].classes[class];
        class.pass += i128::from(cost) * VIRTUAL_TIME_SCALE / class.weight;
    }

    /// Distributes all entries to classes with the new weights, in order of their age.
    pub fn set_weights(&mut self, weights: &[(Club, u16)]) {
        let mut entries: Vec<QueuedEntry> =
            self.entries.drain().map(|(_, queued)| queued).collect();
        entries.sort_by_key(|queued| queued.sequence);
        let sequence = self.sequence;
        *self = Backlog::new(weights);
        self.sequence = sequence;
        for queued in entries {
            self.insert(queued.entry);
        }
    }

    /// Index of a club's class; clubs without a weight share the last one.
    fn class_of(&self, club: Club) -> usize {
        let known = self.clubs.iter().position(|known| *known == club);
        known.unwrap_or(self.clubs.len())
    }
}

impl RankQueue {
    fn new(weights: &[(Club, u16)]) -> RankQueue {
        let named = weights.iter().map(|(_, weight)| *weight);
        let classes = named.chain([1]).map(Class::new).collect();
        RankQueue {
            classes,
            virtual_time: 0,
            len: 0,
        }
    }

    fn insert(&mut self, queued: &QueuedEntry) {
        let request = queued.entry.request;
        let class = &mut self.classes[queued.class];
        if class.by_deadline.is_empty() {
            // An idle class earns no credit for the slot time that passed meanwhile.
            class.pass = class.pass.max(self.virtual_time);
        }
        class
            .by_deadline
            .insert((request.deadline, queued.sequence), request.id);
        class.by_age.insert(queued.sequence, request.id);
        self.len += 1;
    }

    fn remove(&mut self, queued: &QueuedEntry) {
        let deadline = queued.entry.request.deadline;
        let class = &mut self.classes[queued.class];
        class.by_deadline.remove(&(deadline, queued.sequence));
        class.by_age.remove(&queued.sequence);
        self.len -= 1;
    }

    /// Id with the earliest deadline in the class that has received the least slot time
    /// relative to its weight.
    fn select_next(&mut self) -> Option<u64> {
        let busy = self
            .classes
            .iter()
            .filter(|class| !class.by_deadline.is_empty());
        let class = busy.min_by_key(|class| class.pass)?;
        self.virtual_time = self.virtual_time.max(class.pass);
        class.by_deadline.first_key_value().map(|(_, id)| *id)
    }
}

impl Class {
    fn new(weight: u16) -> Class {
        Class {
            weight: i128::from(weight.max(1)),
            pass: 0,
            by_deadline: BTreeMap::new(),
            by_age: BTreeMap::new(),
        }
    }

    /// Orders classes by entries relative to their weight, then by the age of the oldest.
    fn compare_excess(&self, other: &Class) -> Ordering {
        let entries = |class: &Class| class.by_age.len() as i128;
        let mine = entries(self) * other.weight;
        let theirs = entries(other) * self.weight;
        let oldest = |class: &Class| class.by_age.first_key_value().map(|(age, _)| Reverse(*age));
        mine.cmp(&theirs).then(oldest(self).cmp(&oldest(other)))
    }
}
