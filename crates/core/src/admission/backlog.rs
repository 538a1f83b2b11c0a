//! Waiting entries, ordered by deadline and by age within their class.

use std::cmp::{Ordering, Reverse};
use std::collections::BTreeMap;

use medlarreel_macros::data;

use super::{Map, SlotRequest};
use crate::ids::Club;
use crate::preset::{RANK_COUNT, Rank};
use crate::time::Time;

/// Scale of a class's virtual time, so that large weights keep their precision.
const SCALE: i128 = 1_024;

/// A waiting request.
#[data(key)]
pub struct Entry {
    pub ticket: SlotRequest,
    /// When it was queued.
    pub since: Time,
}

/// Place of an entry in the trees.
#[data(key)]
struct Place {
    entry: Entry,
    sequence: u64,
    class: usize,
}

/// Entries of one club in one rank.
#[data(plain)]
struct Class {
    weight: i128,
    /// Slot time received so far, divided by weight.
    pass: i128,
    order: BTreeMap<(Time, u64), u64>,
    ages: BTreeMap<u64, u64>,
}

/// Entries of one rank.
#[data(plain)]
struct Lane {
    classes: Vec<Class>,
    /// Virtual time of the class that was served last.
    clock: i128,
    /// Number of entries of all classes.
    len: usize,
}

/// Waiting entries of all ranks.
#[data(plain)]
pub struct Backlog {
    clubs: Vec<Club>,
    lanes: [Lane; RANK_COUNT],
    places: Map<u64, Place>,
    sequence: u64,
}

impl Backlog {
    pub fn new(weights: &[(Club, u16)]) -> Backlog {
        Backlog {
            clubs: weights.iter().map(|(club, _)| *club).collect(),
            lanes: std::array::from_fn(|_| Lane::new(weights)),
            places: Map::default(),
            sequence: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn len_of(&self, rank: Rank) -> usize {
        self.lanes[rank.index()].len
    }

    pub fn contains(&self, id: u64) -> bool {
        self.places.contains_key(&id)
    }

    /// Number of classes in each rank.
    pub fn classes(&self) -> usize {
        self.clubs.len() + 1
    }

    /// Entry with the earliest deadline of a class.
    pub fn head(&self, rank: Rank, class: usize) -> Option<Entry> {
        let order = &self.lanes[rank.index()].classes[class].order;
        let (_, id) = order.first_key_value()?;
        Some(self.places[id].entry)
    }

    /// Oldest entry of the rank's class that has the most entries for its weight.
    ///
    /// If the rank's oldest entry went instead, a club that floods a rank would
    /// push out the few entries of the others before their turn.
    pub fn oldest(&self, rank: Rank) -> Option<u64> {
        let classes = self.lanes[rank.index()].classes.iter();
        let class = classes.max_by(|one, other| one.compare_excess(other))?;
        class.ages.first_key_value().map(|(_, id)| *id)
    }

    pub fn insert(&mut self, entry: Entry) {
        let class = self.class_of(entry.ticket.club);
        let sequence = self.sequence;
        self.sequence += 1;
        let place = Place {
            entry,
            sequence,
            class,
        };
        self.lanes[entry.ticket.rank.index()].insert(&place);
        self.places.insert(entry.ticket.id, place);
    }

    pub fn remove(&mut self, id: u64) -> Option<Entry> {
        let place = self.places.remove(&id)?;
        self.lanes[place.entry.ticket.rank.index()].remove(&place);
        Some(place.entry)
    }

    /// Takes the entry of the rank that is due next.
    pub fn pop(&mut self, rank: Rank) -> Option<Entry> {
        let id = self.lanes[rank.index()].choose()?;
        self.remove(id)
    }

    /// Notes that a club is served without having been queued.
    pub fn bypass(&mut self, rank: Rank, club: Club) {
        let class = self.class_of(club);
        let lane = &mut self.lanes[rank.index()];
        lane.clock = lane.clock.max(lane.classes[class].pass);
        lane.classes[class].pass = lane.clock;
    }

    /// Accounts slot time to a club.
    pub fn charge(&mut self, rank: Rank, club: Club, cost: i64) {
        let class = self.class_of(club);
        let class = &mut self.lanes[rank.index()].classes[class];
        class.pass += i128::from(cost) * SCALE / class.weight;
    }

    /// Sorts all entries into classes of the new weights, keeping their age.
    pub fn set_weights(&mut self, weights: &[(Club, u16)]) {
        let mut places: Vec<Place> = self.places.drain().map(|(_, place)| place).collect();
        places.sort_by_key(|place| place.sequence);
        let sequence = self.sequence;
        *self = Backlog::new(weights);
        self.sequence = sequence;
        for place in places {
            self.insert(place.entry);
        }
    }

    /// Class of a club; clubs without a weight share the last one.
    fn class_of(&self, club: Club) -> usize {
        let known = self.clubs.iter().position(|known| *known == club);
        known.unwrap_or(self.clubs.len())
    }
}

impl Lane {
    fn new(weights: &[(Club, u16)]) -> Lane {
        let named = weights.iter().map(|(_, weight)| *weight);
        let classes = named.chain([1]).map(Class::new).collect();
        Lane {
            classes,
            clock: 0,
            len: 0,
        }
    }

    fn insert(&mut self, place: &Place) {
        let ticket = place.entry.ticket;
        let class = &mut self.classes[place.class];
        if class.order.is_empty() {
            // A class that was idle has no claim on the time that passed meanwhile.
            class.pass = class.pass.max(self.clock);
        }
        class
            .order
            .insert((ticket.deadline, place.sequence), ticket.id);
        class.ages.insert(place.sequence, ticket.id);
        self.len += 1;
    }

    fn remove(&mut self, place: &Place) {
        let deadline = place.entry.ticket.deadline;
        let class = &mut self.classes[place.class];
        class.order.remove(&(deadline, place.sequence));
        class.ages.remove(&place.sequence);
        self.len -= 1;
    }

    /// Id at the head of the class that has received the least for its weight.
    fn choose(&mut self) -> Option<u64> {
        let busy = self.classes.iter().filter(|class| !class.order.is_empty());
        let class = busy.min_by_key(|class| class.pass)?;
        self.clock = self.clock.max(class.pass);
        class.order.first_key_value().map(|(_, id)| *id)
    }
}

impl Class {
    fn new(weight: u16) -> Class {
        Class {
            weight: i128::from(weight.max(1)),
            pass: 0,
            order: BTreeMap::new(),
            ages: BTreeMap::new(),
        }
    }

    /// Orders classes by entries for their weight, then by the age of the oldest.
    fn compare_excess(&self, other: &Class) -> Ordering {
        let entries = |class: &Class| class.ages.len() as i128;
        let mine = entries(self) * other.weight;
        let theirs = entries(other) * self.weight;
        let oldest = |class: &Class| class.ages.first_key_value().map(|(age, _)| Reverse(*age));
        mine.cmp(&theirs).then(oldest(self).cmp(&oldest(other)))
    }
}
