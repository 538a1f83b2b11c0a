//! Tests of the permits for upstreams that limit their rate, with several instances and a
//! leader in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_core::entry::limiter::Limiter;
use medlarreel_core::entry::permit::{Announcement, Demand, Grant, Notice, Permits, Rate};
use medlarreel_core::entry::queue::arrival::Standing;
use medlarreel_core::entry::queue::{
    Availability, Candidate, Decision, FinishedSend, Queue, QueuedRequest, Reason, Ticket,
    UpstreamLookup,
};
use medlarreel_core::entry::upstream_state::SendResult;
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;
use proptest::prelude::*;

use crate::fixture::{at, ms};

const OWNER: Upstream = Upstream(0);

/// Window over which upstreams count requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Keyed upstream 0 and, for requests without a key, upstreams 0 and 1.
struct Lookup;

impl UpstreamLookup for Lookup {
    fn availability(&self, _: &str, key: Option<u16>) -> Availability {
        let candidate = |number| Candidate {
            upstream: Upstream(number),
            slots: 100,
            cross_domain: false,
            warming_up: false,
            doubtful: false,
        };
        let count = if key.is_some() { 1 } else { 2 };
        Availability {
            candidates: (0..count).map(candidate).collect(),
            available_at: None,
        }
    }
}

fn request(ticket: u64, rank: u8, now: Time, key: Option<u16>) -> QueuedRequest {
    QueuedRequest {
        ticket: Ticket(ticket),
        service: "intake".into(),
        key,
        route: format!("rank-{rank}"),
        rank,
        arrived: now,
        deadline: now + ms(3_000),
        tried: Vec::new(),
        standing: Standing::first(now + ms(3_000)),
    }
}

fn rate(per_second: f64) -> Rate {
    Rate::from_per_second(per_second).unwrap()
}

fn address(instance: usize) -> SocketAddr {
    ([10, 0, 0, instance as u8 + 1], 7_000).into()
}

/// What a response of the upstream says, at a time.
type Limit = fn(Time) -> Notice;

/// Course of a simulated run.
struct Course {
    seed: u64,
    instances: usize,
    /// Requests per second at all instances together.
    demand: f64,
    limit: Limit,
    /// Time in milliseconds at which the leader is lost, and time from which another one
    /// leads.
    leader_lost: Option<(u64, u64)>,
    /// Instances that cannot reach the leader, and from when to when in milliseconds.
    cut: (usize, u64, u64),
    /// Percentage of messages that are lost.
    loss: u64,
    duration_ms: u64,
}

/// Request of an instance that has reached the upstream, and refusals.
#[derive(Default)]
struct Outcome {
    sends: Vec<(Time, u8)>,
    refused: Vec<(Reason, u8)>,
}

enum Message {
    Demand(usize, Demand),
    Grant(usize, u64, Grant),
    Announcement(usize, Announcement),
}

/// Small deterministic generator; the cases are reproduced by their seed.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}

/// Plays a course at a resolution of a millisecond. Each run takes 50 ms, and each message
/// 2 ms.
fn simulate(course: &Course) -> Outcome {
    let mut dice = Dice(course.seed | 1);
    let mut queues: Vec<Queue> = (0..course.instances).map(|_| Queue::default()).collect();
    let mut limiter = Limiter::default();
    let mut messages: Vec<(Time, Message)> = Vec::new();
    let mut running: Vec<(Time, usize, Time, String)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut leader = (0, 1);
    let mut ticket = 0;
    for step in 0..course.duration_ms {
        let now = at(step);
        let leads = course.leader_lost.is_none_or(|(lost, _)| step < lost)
            || course.leader_lost.is_some_and(|(_, found)| step >= found);
        if course.leader_lost.is_some_and(|(_, found)| step == found) {
            leader = (1, 2);
            limiter = Limiter::default();
        }
        let (cut_count, cut_from, cut_until) = course.cut;
        let is_cut = |instance: usize| {
            (2..2 + cut_count).contains(&instance) && (cut_from..cut_until).contains(&step)
        };
        let (due, later) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = later;
        for (_, instance, sent_at, route) in due {
            queues[instance]
                .permits()
                .observe(now, OWNER, sent_at, (course.limit)(now));
            let send = FinishedSend {
                upstream: OWNER,
                route: &route,
                service: "intake",
                result: SendResult::Ran,
                load: None,
                took: now.since(sent_at),
            };
            queues[instance].record_finished(now, &send);
        }
        if dice.roll(1_000) < course.demand as u64 {
            ticket += 1;
            let instance = dice.roll(course.instances as u64) as usize;
            let rank = u8::from(dice.roll(4) > 0);
            let added = queues[instance].enqueue(now, request(ticket, rank, now, Some(7)), &Lookup);
            if let Err(Decision::Refuse { reason, .. }) = added {
                outcome.refused.push((reason, rank));
            }
        }
        let (due, later) = messages
            .into_iter()
            .partition(|(arrival, _)| *arrival <= now);
        messages = later;
        let mut replies = Vec::new();
        for (_, message) in due {
            match message {
                Message::Demand(from, demand) if leads => {
                    replies.extend(limiter.handle_demand(now, leader.1, address(from), demand));
                }
                Message::Demand(..) => {}
                Message::Grant(to, epoch, grant) => {
                    queues[to].permits().receive(now, OWNER, epoch, grant);
                }
                Message::Announcement(to, announcement) => {
                    let age = ms(announcement.age_ms);
                    queues[to]
                        .permits()
                        .learn(now, OWNER, announcement.limit, age);
                }
            }
        }
        if leads {
            replies.extend(limiter.issue(now));
            for announcement in limiter.due_announcements(now) {
                for to in (0..course.instances).filter(|to| !is_cut(*to)) {
                    if dice.roll(100) >= course.loss {
                        let message = Message::Announcement(to, announcement.clone());
                        messages.push((now + ms(2), message));
                    }
                }
            }
        }
        for (receiver, grant) in replies {
            let to = (0..course.instances)
                .find(|to| address(*to) == receiver)
                .unwrap();
            if !is_cut(to) && dice.roll(100) >= course.loss {
                messages.push((now + ms(2), Message::Grant(to, leader.1, grant)));
            }
        }
        for (instance, queue) in queues.iter_mut().enumerate() {
            for (id, decision) in queue.decide(now, &Lookup) {
                let rank = u8::from(id.0 % 4 > 0);
                match decision {
                    Decision::Send { .. } => {
                        outcome.sends.push((now, rank));
                        running.push((now + ms(50), instance, now, format!("rank-{rank}")));
                    }
                    Decision::Refuse { reason, .. } => outcome.refused.push((reason, rank)),
                }
            }
            if step % 10 == 0 {
                let phase = instance as f64 / course.instances as f64;
                queue
                    .permits()
                    .refill_reserves(now, course.instances, phase);
                for (_, demand) in queue.permits().due_demands(now) {
                    if !is_cut(instance) && dice.roll(100) >= course.loss {
                        messages.push((now + ms(2), Message::Demand(instance, demand)));
                    }
                }
            }
        }
    }
    outcome
}

/// Largest number of requests in any window that begins `from` or later.
fn busiest_window(outcome: &Outcome, from: Time) -> usize {
    let sends: Vec<Time> = outcome.sends.iter().map(|(sent_at, _)| *sent_at).collect();
    let starts = sends.iter().filter(|start| **start >= from);
    let counts = starts.map(|start| {
        let window = sends.iter();
        window
            .filter(|sent| **sent >= *start && **sent < *start + WINDOW)
            .count()
    });
    counts.max().unwrap_or(0)
}

/// Bound on the requests in a window at a limit of `per_second`.
fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW.as_secs_f64() + 5.0) as usize
}

fn steady_course(instances: usize, demand: f64, limit: Limit) -> Course {
    Course {
        seed: 29,
        instances,
        demand,
        limit,
        leader_lost: None,
        cut: (0, 0, 0),
        loss: 0,
        duration_ms: 20_000,
    }
}

/// Guards against a limit of which each of many instances uses a fixed part, so that most of
/// it is lost while callers are refused.
#[test]
fn limit_is_used_up_by_whichever_instances_have_requests() {
    let course = steady_course(100, 30.0, |_| Notice::Limited(Rate(6_000)));

    let outcome = simulate(&course);

    let later = outcome
        .sends
        .iter()
        .filter(|(sent_at, _)| *sent_at >= at(4_000));
    let per_second = later.count() as f64 / 16.0;
    assert!((5.4..=6.5).contains(&per_second), "{per_second} a second");
    assert!(busiest_window(&outcome, at(3_000)) <= allowed(6.0));
}

/// Guards against an upstream that is never used again because it can't say that its limit of
/// zero has ended.
#[test]
fn limit_of_zero_ends() {
    let course = steady_course(5, 20.0, |now| match now < at(8_000) {
        true => Notice::Limited(Rate(0)),
        false => Notice::Unlimited,
    });

    let outcome = simulate(&course);

    let window = |from, until| {
        let sends = outcome.sends.iter();
        sends
            .filter(|(sent, _)| *sent >= at(from) && *sent < at(until))
            .count()
    };
    assert!(busiest_window(&outcome, at(1_000)) > 0);
    assert!(window(1_000, 8_000) <= 5, "{}", window(1_000, 8_000));
    assert!(window(15_000, 20_000) >= 60, "{}", window(15_000, 20_000));
}

/// Guards against less urgent requests getting the permits while urgent ones wait.
#[test]
fn urgent_requests_get_the_permits_first() {
    let (mut limiter, now) = (Limiter::default(), at(0));
    let demand = |waiting: Vec<(u8, u32)>| Demand {
        id: "u1".into(),
        born: 1,
        limit: Some(rate(1.0)),
        age_ms: 0,
        cold: None,
        asked_at: at(0),
        waiting,
        granted: (1, 0),
    };

    limiter.handle_demand(now, 1, address(0), demand(vec![(2, 5)]));
    limiter.handle_demand(now, 1, address(1), demand(vec![(0, 1)]));
    for step in 1..4 {
        let later = now + ms(step * 300);
        limiter.handle_demand(later, 1, address(0), demand(vec![(2, 5)]));
        limiter.handle_demand(later, 1, address(1), demand(vec![(0, 1)]));
    }
    let first = limiter.issue(now + ms(1_001));

    let receivers: Vec<SocketAddr> = first.iter().map(|(receiver, _)| *receiver).collect();
    assert_eq!(receivers, [address(1)]);
}

/// Guards against an instance that never asks a new leader for permits, because it has
/// refused all requests while there was none.
#[test]
fn permits_are_requested_again_once_there_is_a_leader() {
    let course = Course {
        leader_lost: Some((4_000, 6_000)),
        ..steady_course(10, 30.0, |_| Notice::Limited(Rate(6_000)))
    };

    let outcome = simulate(&course);

    let later = outcome.sends.iter();
    let later = later.filter(|(sent_at, _)| *sent_at >= at(10_000));
    assert!(later.count() >= 55);
}

/// Guards against a task that stops asking for permits while the leader is silent, because
/// requests are refused before they wait.
#[test]
fn silent_leader_is_asked_while_no_request_waits() {
    let mut queue = Queue::default();
    let limited = Notice::Limited(rate(1.0));
    queue.permits().observe(at(0), OWNER, at(0), limited);
    queue
        .enqueue(at(0), request(1, 1, at(0), Some(7)), &Lookup)
        .unwrap();
    queue.decide(at(0), &Lookup);
    queue.permits().due_demands(at(0));

    queue.cancel(Ticket(1));
    queue.decide(at(500), &Lookup);
    queue.permits().due_demands(at(500));
    let refused = queue.enqueue(at(600), request(2, 1, at(600), Some(7)), &Lookup);
    let is_active = queue.permits().is_active();
    let asked = queue.permits().due_demands(at(700));

    assert!(refused.is_err());
    assert!(is_active);
    assert_eq!(asked.len(), 1);
}

/// Guards against a response that was overtaken ending a limit.
#[test]
fn response_to_an_earlier_request_does_not_end_a_limit() {
    let mut permits = Permits::default();
    let limited = Notice::Limited(rate(5.0));
    permits.observe(at(100), OWNER, at(50), limited);

    let overtaken = permits.observe(at(110), OWNER, at(60), Notice::Unlimited);
    let unreadable = permits.observe(at(120), OWNER, at(115), Notice::Unreadable);
    let still_limited = permits.is_limited(OWNER);
    let ended = permits.observe(at(200), OWNER, at(150), Notice::Unlimited);

    assert_eq!(
        (overtaken, unreadable, still_limited, ended),
        (false, false, true, true)
    );
    assert!(!permits.is_limited(OWNER));
}

/// Guards against a field that is no rate, or names one beyond any use.
#[test]
fn rates_that_mean_nothing_are_ignored() {
    let mut permits = Permits::default();

    let huge = Notice::Limited(rate(f64::MAX));
    permits.observe(at(0), OWNER, at(0), huge);

    assert!(!permits.is_limited(OWNER));
    assert_eq!(Rate::from_per_second(-1.0), None);
    assert_eq!(Rate::from_per_second(f64::NAN), None);
}

/// Guards against a limit of the previous incarnation that is applied to the next one.
#[test]
fn limit_is_that_of_one_incarnation() {
    let mut permits = Permits::default();
    permits.observe(at(0), OWNER, at(0), Notice::Limited(rate(1.0)));

    permits.retain(|upstream| upstream != OWNER);

    assert!(permits.may_send(at(1), OWNER));
}

/// Guards against requests without a key waiting for a limited upstream while others are
/// free, and against a limit whose end goes unnoticed because others stand in.
#[test]
fn others_stand_in_for_a_limited_upstream_that_is_probed() {
    let mut queue = Queue::default();
    let limited = Notice::Limited(rate(1.0));
    queue.permits().observe(at(0), OWNER, at(0), limited);
    let send = |queue: &mut Queue, ticket, now| {
        queue
            .enqueue(now, request(ticket, 1, now, None), &Lookup)
            .unwrap();
        match queue.decide(now, &Lookup)[0].1 {
            Decision::Send { upstream, .. } => upstream,
            Decision::Refuse { .. } => panic!("refused"),
        }
    };

    let at_first = send(&mut queue, 1, at(100));
    let told = queue.permits().due_demands(at(101)).remove(0).1;
    send(&mut queue, 2, at(2_500));
    let (upstream, demand) = queue.permits().due_demands(at(2_501)).remove(0);
    let grant = Grant {
        id: demand.id,
        born: demand.born,
        limit: demand.limit,
        age_ms: 10_000,
        granted: 1,
        fresh: 1,
        asked_at: demand.asked_at,
        valid_ms: 500,
        backlog: Vec::new(),
        next_ms: 0,
    };
    queue.permits().receive(at(2_510), upstream, 1, grant);
    let probe = send(&mut queue, 3, at(2_520));
    let after = send(&mut queue, 4, at(2_530));

    assert_eq!((at_first, probe, after), (Upstream(1), OWNER, Upstream(1)));
    assert_eq!(told.waiting, []);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Guards against an upstream that gets more than its limit while the leader is lost or
    /// replaced, instances are cut off from it, and messages are lost.
    #[test]
    fn all_instances_together_keep_to_a_limit(
        seed in any::<u64>(),
        instances in 3..60_usize,
        demand in 5.0..60.0_f64,
        lost in 4_000..9_000_u64,
        away in 100..4_000_u64,
        cut in 0..40_usize,
        cut_from in 4_000..12_000_u64,
        loss in 0..30_u64,
    ) {
        let course = Course {
            seed,
            instances,
            demand,
            limit: |now| Notice::Limited(if now < at(10_000) { Rate(5_000) } else { Rate(4_000) }),
            leader_lost: Some((lost, lost + away)),
            cut: (cut.min(instances - 2), cut_from, cut_from + 5_000),
            loss,
            duration_ms: 18_000,
        };

        let outcome = simulate(&course);

        let busiest = busiest_window(&outcome, at(3_000));
        prop_assert!(busiest <= allowed(5.0), "{busiest} requests");
        let later = busiest_window(&outcome, at(12_000));
        prop_assert!(later <= allowed(4.0), "{later} requests");
    }
}
