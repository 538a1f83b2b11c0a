//! Tests of the admission queue: order of service, bounds and shedding.

use std::collections::BTreeMap;

use medlarreel_core::admission::{Limits, Queue, QueueEvent, SlotRequest};
use medlarreel_core::ids::Club;
use medlarreel_core::preset::Rank;
use medlarreel_core::time::Time;
use proptest::prelude::*;

#[path = "admission/flood.rs"]
mod flood;

fn limits(entries: u32, slots: u16, floors: [u8; 3]) -> Limits {
    let weights = vec![(Club(0), 3), (Club(1), 1)];
    Limits {
        max_waiting: entries,
        slots,
        floor_percents: floors,
        weights,
    }
}

fn slot_request(id: u64, rank: Rank, deadline: u64) -> SlotRequest {
    SlotRequest {
        id,
        rank,
        club: Club(0),
        deadline: Time(deadline),
    }
}

/// Guards against a full queue dropping urgent work or a rank's last entry.
#[test]
fn full_queue_sheds_the_lowest_rank_over_its_floor() {
    let mut queue = Queue::new(limits(10, 0, [0, 20, 10]));
    let ranks = [Rank::Order, Rank::Archive, Rank::Archive];
    for (id, rank) in (0..).zip(ranks) {
        assert_eq!(queue.push(Time(id), slot_request(id, rank, 9_000)), []);
    }

    let pushed = |id| queue.push(Time(id), slot_request(id, Rank::Status, 9_000));
    let events: Vec<QueueEvent> = (3..13).flat_map(pushed).collect();

    // The oldest archive entry is shed first. Then archive is at its floor of one entry
    // and order is below its floor of two, so status entries are shed.
    let shed = [
        QueueEvent::Shed(1),
        QueueEvent::Shed(3),
        QueueEvent::Shed(4),
    ];
    assert_eq!(events, shed);
    assert_eq!(queue.waiting_count_of(Rank::Archive), 1);
    assert_eq!(queue.waiting_count_of(Rank::Order), 1);
}

/// Guards against a new request of a rank without a floor displacing more urgent ones.
#[test]
fn newcomer_is_refused_when_its_rank_is_the_lowest_over_its_floor() {
    let mut queue = Queue::new(limits(2, 0, [0, 0, 0]));
    queue.push(Time(0), slot_request(0, Rank::Status, 9_000));
    queue.push(Time(0), slot_request(1, Rank::Order, 9_000));

    let events = queue.push(Time(1), slot_request(2, Rank::Archive, 9_000));

    assert_eq!(events, [QueueEvent::Shed(2)]);
}

/// Guards against a repeated or late `finish` freeing the slot of another request.
#[test]
fn a_slot_is_freed_once() {
    let mut queue = Queue::new(limits(10, 1, [0; 3]));
    for id in 0..3 {
        queue.push(Time(0), slot_request(id, Rank::Status, 9_000));
    }
    assert_eq!(queue.start_next(Time(0)), Some(0));

    assert!(queue.finish(Time(1), 0));
    assert_eq!(queue.start_next(Time(1)), Some(1));
    assert!(!queue.finish(Time(2), 0));
    assert!(!queue.cancel(1), "a running request holds its slot");

    assert_eq!(queue.start_next(Time(2)), None);
    assert_eq!(
        queue.push(Time(2), slot_request(1, Rank::Order, 9_000)),
        [QueueEvent::Duplicate(1)]
    );
    let running: Vec<u64> = queue.running().map(|(id, _)| id).collect();
    assert_eq!(running, [1]);
}

/// Guards against a preset switch losing entries or keeping too many.
#[test]
fn new_limits_apply_to_waiting_entries() {
    let mut queue = Queue::new(limits(10, 0, [0; 3]));
    for id in 0..6 {
        queue.push(Time(0), slot_request(id, Rank::Order, 9_000 - id));
    }
    let mut narrow = limits(4, 1, [0; 3]);
    narrow.weights.clear();

    let events = queue.set_limits(Time(1), narrow);

    assert_eq!(events, [QueueEvent::Shed(0), QueueEvent::Shed(1)]);
    assert_eq!(queue.start_next(Time(1)), Some(5));
    assert_eq!(queue.waiting_count(), 3);
}

/// Guards against starting a request that can no longer finish in time.
#[test]
fn work_that_would_finish_late_is_not_started() {
    let mut queue = Queue::new(limits(10, 1, [0; 3]));
    queue.push(Time(0), slot_request(0, Rank::Status, 90_000));
    queue.start_next(Time(0));
    queue.push(Time(1), slot_request(1, Rank::Status, 6_000));
    queue.finish(Time(5_000), 0);

    assert_eq!(queue.start_next(Time(5_000)), None);
    assert_eq!(queue.expire(Time(5_000)), [1]);
}

/// Guards against allocation for requests that find an idle upstream.
#[test]
fn an_empty_queue_with_a_free_slot_allocates_nothing() {
    let mut queue = Queue::new(limits(10, 2, [0, 20, 10]));

    let info = allocation_counter::measure(|| {
        for id in 0..100 {
            queue.push(Time(id), slot_request(id, Rank::Order, 9_000));
            assert_eq!(queue.start_next(Time(id)), Some(id));
            assert!(queue.finish(Time(id), id));
        }
    });

    assert_eq!(info.count_total, 0);
}

/// Step of a random history. Selectors choose one of the running or waiting requests.
#[derive(Clone, Debug)]
enum Step {
    /// Rank, club and time until the deadline.
    Push(u8, u16, u64),
    Next,
    Done(usize),
    Cancel(usize),
    Expire,
    /// Maximum number of waiting requests, and slots.
    Limits(u32, u16),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u8, 0..3u16, 0..300u64).prop_map(|(r, c, d)| Step::Push(r, c, d)),
        4 => Just(Step::Next),
        3 => any::<usize>().prop_map(Step::Done),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => Just(Step::Expire),
        1 => (0..12u32, 0..4u16).prop_map(|(e, s)| Step::Limits(e, s)),
        3 => (0..60u64).prop_map(Step::Wait),
    ]
}

/// Reference model that applies the queue's rules by linear search over plain lists.
struct Model {
    now: u64,
    limits: Limits,
    /// Waiting requests and when they were queued, oldest first.
    waiting: Vec<(SlotRequest, u64)>,
    running: Vec<u64>,
}

impl Model {
    fn exceeds_floor(&self, rank: Rank) -> bool {
        let count = self
            .waiting
            .iter()
            .filter(|(request, _)| request.rank == rank)
            .count();
        let floor = self.limits.max_waiting * u32::from(self.limits.floor_percents[rank.index()]);
        count * 100 > floor.div_ceil(100) as usize * 100
    }

    /// Whether the entry may be dropped as late: at least half of its time has passed.
    fn may_expire(&self, request: SlotRequest, since: u64) -> bool {
        self.now >= request.deadline.0 || (self.now - since) * 2 + 1 >= request.deadline.0 - since
    }

    fn remove_expired(&mut self, id: u64) {
        let at = self
            .waiting
            .iter()
            .position(|(request, _)| request.id == id);
        let (request, since) = self.waiting.remove(at.expect("expired entry was waiting"));
        assert!(
            self.may_expire(request, since),
            "dropped too early: {request:?}"
        );
    }

    fn apply(&mut self, events: Vec<QueueEvent>) {
        let expired = events
            .iter()
            .filter(|event| matches!(event, QueueEvent::Expired(_)));
        let shed = events
            .iter()
            .filter(|event| matches!(event, QueueEvent::Shed(_)));
        for event in expired.chain(shed) {
            match *event {
                QueueEvent::Expired(id) => self.remove_expired(id),
                QueueEvent::Shed(id) => self.shed(id),
                QueueEvent::Duplicate(id) => panic!("id {id} is unique"),
            }
        }
        assert!(self.waiting.len() <= self.limits.max_waiting as usize);
    }

    fn shed(&mut self, id: u64) {
        assert!(self.waiting.len() > self.limits.max_waiting as usize);
        let lowest = Rank::ALL
            .into_iter()
            .rev()
            .find(|rank| self.exceeds_floor(*rank));
        let rank = lowest.unwrap_or_else(|| {
            let ranks = self.waiting.iter().map(|(request, _)| request.rank);
            ranks.max().expect("an entry is waiting")
        });
        let excess = |request: &SlotRequest| {
            let class = |one: &SlotRequest| (one.rank, one.club);
            let peers = self
                .waiting
                .iter()
                .filter(|(peer, _)| class(peer) == class(request));
            peers.count() * if request.club == Club(0) { 1 } else { 3 }
        };
        let of_rank = self
            .waiting
            .iter()
            .filter(|(request, _)| request.rank == rank);
        let most = of_rank.map(|(request, _)| excess(request)).max();
        let oldest = |(req, _): &(SlotRequest, u64)| req.rank == rank && Some(excess(req)) == most;
        let at = self
            .waiting
            .iter()
            .position(oldest)
            .expect("rank has entries");
        let (request, _) = self.waiting.remove(at);
        assert_eq!(request.id, id);
    }

    fn start(&mut self, id: u64) {
        let at = self
            .waiting
            .iter()
            .position(|(request, _)| request.id == id);
        let (request, _) = self.waiting.remove(at.expect("started entry was waiting"));
        assert!(self.now < request.deadline.0, "started after its deadline");
        let peers = self.waiting.iter().map(|(peer, _)| peer);
        for peer in peers {
            let same = peer.rank == request.rank && peer.club == request.club;
            assert!(!same || peer.deadline >= request.deadline, "deadline order");
            let floor = self.limits.floor_percents[request.rank.index()] > 0;
            assert!(floor || peer.rank >= request.rank, "rank order");
        }
        self.running.push(id);
        assert!(self.running.len() <= usize::from(self.limits.slots));
    }

    fn run_step(&mut self, queue: &mut Queue, id: u64, step: Step) {
        let now = Time(self.now);
        match step {
            Step::Push(rank, club, left) => {
                let mut request = slot_request(id, Rank::ALL[usize::from(rank)], self.now + left);
                request.club = Club(club);
                self.waiting.push((request, self.now));
                let events = queue.push(now, request);
                self.apply(events);
            }
            Step::Next => {
                let started = queue.start_next(now);
                let late = queue.expire(now);
                late.into_iter().for_each(|id| self.remove_expired(id));
                let free = self.running.len() < usize::from(self.limits.slots);
                let idle = self.waiting.is_empty() || !free;
                assert!(
                    started.is_some() || idle,
                    "a request waits while a slot is free"
                );
                started.into_iter().for_each(|id| self.start(id));
            }
            Step::Done(selector) if !self.running.is_empty() => {
                let id = self.running.swap_remove(selector % self.running.len());
                assert!(queue.finish(now, id));
                assert!(!queue.finish(now, id));
            }
            Step::Cancel(selector) if !self.waiting.is_empty() => {
                let (request, _) = self.waiting.remove(selector % self.waiting.len());
                assert!(queue.cancel(request.id));
            }
            Step::Expire => {
                let late = queue.expire(now);
                late.into_iter().for_each(|id| self.remove_expired(id));
                assert!(
                    self.waiting
                        .iter()
                        .all(|(request, _)| request.deadline > now)
                );
            }
            Step::Limits(entries, slots) => {
                (self.limits.max_waiting, self.limits.slots) = (entries, slots);
                let events = queue.set_limits(now, self.limits.clone());
                self.apply(events);
            }
            Step::Wait(span) => self.now += span,
            Step::Done(_) | Step::Cancel(_) => {}
        }
    }
}

proptest! {
    /// Guards against deviations from the reference model in random histories: too many
    /// running requests, late starts, wrong order, wrong shedding, lost entries.
    #[test]
    fn queue_agrees_with_the_reference_model(
        steps in prop::collection::vec(any_step(), 1..200),
        floors in prop_oneof![Just([0, 0, 0]), Just([0, 20, 10]), Just([10, 50, 40])],
    ) {
        let limits = limits(8, 2, floors);
        let mut queue = Queue::new(limits.clone());
        let mut model = Model { now: 0, limits, waiting: vec![], running: vec![] };

        for (id, step) in (0..).zip(steps) {
            model.run_step(&mut queue, id, step);

            prop_assert_eq!(queue.waiting_count(), model.waiting.len());
            prop_assert_eq!(queue.running_count(), model.running.len());
        }
    }
}

/// Guards against one club taking another club's share within a rank.
#[test]
fn clubs_share_a_rank_by_weight() {
    let mut queue = Queue::new(limits(1_000, 1, [0; 3]));
    let mut served = BTreeMap::new();
    for id in 0..800 {
        let mut request = slot_request(id, Rank::Order, 1_000_000_000 - id);
        request.club = Club((id % 2) as u16);
        queue.push(Time(0), request);
    }

    for turn in 0..400 {
        let id = queue
            .start_next(Time(turn * 100))
            .expect("a request is waiting");
        *served.entry(id % 2).or_insert(0) += 1;
        queue.finish(Time((turn + 1) * 100), id);
    }

    let heavy = served[&0];
    assert!(
        (285..=315).contains(&heavy),
        "weight 3 of 4 got {heavy} of 400"
    );
}

/// Guards against a club that floods a rank displacing the entries of other clubs.
#[test]
fn a_flooding_club_loses_its_own_entries() {
    let mut queue = Queue::new(limits(10, 0, [0; 3]));
    let mut other = slot_request(0, Rank::Order, 9_000);
    other.club = Club(1);
    queue.push(Time(0), other);

    let pushed = |id| queue.push(Time(id), slot_request(id, Rank::Order, 9_000));
    let events: Vec<QueueEvent> = (1..100).flat_map(pushed).collect();

    assert_eq!(events.len(), 90);
    assert!(!events.contains(&QueueEvent::Shed(0)));
}

/// Guards against starvation of a club that was served alone for a long time, once an
/// idle club sends its first requests.
#[test]
fn an_idle_club_earns_no_credit() {
    let mut queue = Queue::new(limits(1_000, 1, [0; 3]));
    for turn in 0..1_000 {
        queue.push(
            Time(turn * 100),
            slot_request(turn, Rank::Order, 1_000_000_000),
        );
        queue.start_next(Time(turn * 100));
        queue.finish(Time(turn * 100 + 100), turn);
    }
    for id in 2_000..2_100 {
        let mut request = slot_request(id, Rank::Order, 1_000_000_000);
        request.club = Club((id % 2) as u16);
        queue.push(Time(100_000), request);
    }

    let mut heavy = 0;
    for turn in 0..20 {
        let id = queue
            .start_next(Time(100_000 + turn * 100))
            .expect("a request is waiting");
        heavy += u64::from(id.is_multiple_of(2));
        queue.finish(Time(100_100 + turn * 100), id);
    }

    assert!(heavy >= 13, "weight 3 of 4 got {heavy} of 20");
}
