//! Tests of refusals and returns: many callers, the queues of several instances, and the
//! upstreams' own queues, in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use medlarreel_core::entry::queue::arrival::{Arrival, MIN_RETRY_AFTER, Standing};
use medlarreel_core::entry::queue::{
    Availability, Candidate, Decision, FinishedSend, Queue, QueuedRequest, RETRY_AFTER_DIVISOR,
    Ticket, UpstreamLookup,
};
use medlarreel_core::entry::upstream_state::{ReportedLoad, SendResult};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use crate::fixture::{at, ms};

const INSTANCES: u64 = 12;
const OWNERS: u64 = 8;
const SLOTS: usize = 6;
/// Requests that an upstream queues beyond its slots.
const UPSTREAM_QUEUE: usize = 24;
const RUN: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_millis(2_000);
const TARGET: Duration = Duration::from_millis(800);
/// Requests that all owners together run in a second.
const CAPACITY: u64 = OWNERS * SLOTS as u64 * 5;

/// Each key has one owner.
struct Owners;

impl UpstreamLookup for Owners {
    fn availability(&self, _: &str, key: Option<u16>) -> Availability {
        let owner = Candidate {
            upstream: Upstream(u32::from(key.unwrap_or(0)) % OWNERS as u32),
            slots: SLOTS as u32,
            cross_domain: false,
            warming_up: false,
            doubtful: false,
        };
        Availability {
            candidates: vec![owner],
            available_at: None,
        }
    }
}

/// Load that is played: requests of all callers per second before, during and after a burst.
#[derive(Clone, Copy)]
struct Load {
    usual: u64,
    burst: u64,
    /// One of this many requests is for key 0; 0 for none.
    hot_every: u64,
    /// One of this many callers comes back at once when refused; 0 for none.
    pressing_every: u64,
    /// Whether the queues are told what is known of the callers.
    judged: bool,
}

/// What callers got.
#[derive(Debug, Default)]
struct Tally {
    in_time: u32,
    late: u32,
    refused_twice: u32,
    cut: u32,
    pressing_in_time: u32,
}

struct Caller {
    began: Time,
    key: u16,
    is_pressing: bool,
    tries: u32,
    instance: u64,
    arrived: Time,
}

/// An upstream that runs requests in order of arrival.
#[derive(Default)]
struct Server {
    running: BTreeMap<(Time, u64), Time>,
    waiting: VecDeque<(u64, Time)>,
}

impl Server {
    fn start_runs(&mut self, now: Time) {
        while self.running.len() < SLOTS
            && let Some((id, sent)) = self.waiting.pop_front()
        {
            // Runs differ, so that the upstreams don't work in step.
            let run = RUN.mul_f64(0.5 + (id as f64 * 0.618).fract());
            self.running.insert((now + run, id), sent);
        }
    }

    fn load(&self) -> ReportedLoad {
        ReportedLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            slowness: ReportedLoad::USUAL_SLOWNESS,
        }
    }
}

/// Plays 12 s with a burst from 4 s to 8 s; counts the callers that come from 4 s on.
fn play(load: Load) -> Tally {
    let mut queues: Vec<Queue> = (0..INSTANCES).map(|_| Queue::default()).collect();
    let mut servers: Vec<Server> = (0..OWNERS).map(|_| Server::default()).collect();
    let mut callers: BTreeMap<u64, Caller> = BTreeMap::new();
    let mut returns: BTreeMap<(Time, u64), ()> = BTreeMap::new();
    let mut tally = Tally::default();
    let (mut next_id, mut due) = (0, 0);
    for step in 0..14_000 {
        let now = at(step);
        due += match step {
            4_000..8_000 => load.burst,
            0..12_000 => load.usual,
            _ => 0,
        };
        while due >= 1_000 {
            due -= 1_000;
            next_id += 1;
            let is_hot = load.hot_every > 0 && next_id % load.hot_every == 0;
            let is_pressing = load.pressing_every > 0 && next_id % load.pressing_every == 0;
            let key = if is_hot { 0 } else { (next_id * 7) as u16 };
            let caller = Caller {
                began: now,
                key,
                is_pressing,
                tries: 0,
                instance: next_id * 5,
                arrived: now,
            };
            callers.insert(next_id, caller);
            returns.insert((now, next_id), ());
        }
        let finished = |server: &mut Server| {
            let is_over = server.running.first_key_value()?.0.0 <= now;
            is_over.then(|| server.running.pop_first()).flatten()
        };
        for (index, server) in servers.iter_mut().enumerate() {
            while let Some(((_, id), sent)) = finished(server) {
                server.start_runs(now);
                let report = server.load();
                let caller = &callers[&id];
                let result = SendResult::Ran;
                let queue = &mut queues[(caller.instance % INSTANCES) as usize];
                record(queue, now, index, result, Some(report), sent);
                count_answer(&mut tally, now, &callers.remove(&id).unwrap());
            }
            let is_cut = |id: u64| now.since(callers[&id].began) >= PATIENCE;
            let cut: Vec<(u64, Time)> = {
                let running = server.running.iter();
                let running = running.map(|((_, id), sent)| (*id, *sent));
                let waiting = server.waiting.iter().copied();
                running
                    .chain(waiting)
                    .filter(|(id, _)| is_cut(*id))
                    .collect()
            };
            for (id, sent) in cut {
                server.running.retain(|(_, other), _| *other != id);
                server.waiting.retain(|(other, _)| *other != id);
                let caller = callers.remove(&id).unwrap();
                let queue = &mut queues[(caller.instance % INSTANCES) as usize];
                record(queue, now, index, SendResult::CallerLeft, None, sent);
                tally.cut += u32::from(caller.began >= at(4_000));
            }
            server.start_runs(now);
        }
        while let Some(((time, id), ())) = returns.pop_first() {
            if time > now {
                returns.insert((time, id), ());
                break;
            }
            let caller = callers.get_mut(&id).unwrap();
            caller.tries += 1;
            caller.instance += 1;
            caller.arrived = now;
            let left = PATIENCE.saturating_sub(now.since(caller.began));
            let queue = &mut queues[(caller.instance % INSTANCES) as usize];
            let deadline = now + left;
            let judged = queue.judge(now, "lookup", Some(left), TARGET);
            let standing = match load.judged {
                true => judged,
                false => Standing::first(deadline),
            };
            let request = QueuedRequest {
                ticket: Ticket(id),
                service: "intake".into(),
                key: Some(caller.key),
                route: "lookup".into(),
                rank: 0,
                arrived: now,
                deadline,
                tried: Vec::new(),
                standing,
            };
            if let Err(Decision::Refuse { after, .. }) = queue.enqueue(now, request, &Owners) {
                turn_away(&mut tally, &mut callers, &mut returns, now, id, after);
            }
        }
        for queue in &mut queues {
            for (ticket, decision) in queue.decide(now, &Owners) {
                match decision {
                    Decision::Send { upstream, .. } => {
                        let server = &mut servers[upstream.0 as usize];
                        server.start_runs(now);
                        if server.waiting.len() >= UPSTREAM_QUEUE {
                            let (index, report) = (upstream.0 as usize, server.load());
                            record(queue, now, index, SendResult::Refused, Some(report), now);
                            let (id, after) = (ticket.0, MIN_RETRY_AFTER);
                            turn_away(&mut tally, &mut callers, &mut returns, now, id, after);
                            continue;
                        }
                        server.waiting.push_back((ticket.0, now));
                        server.start_runs(now);
                    }
                    Decision::Refuse { after, .. } => {
                        turn_away(&mut tally, &mut callers, &mut returns, now, ticket.0, after);
                    }
                }
            }
        }
    }
    tally
}

fn record(
    queue: &mut Queue,
    now: Time,
    index: usize,
    result: SendResult,
    load: Option<ReportedLoad>,
    sent: Time,
) {
    let send = FinishedSend {
        upstream: Upstream(index as u32),
        route: "lookup",
        service: "intake",
        result,
        load,
        took: now.since(sent),
    };
    queue.record_finished(now, &send);
}

fn count_answer(tally: &mut Tally, now: Time, caller: &Caller) {
    if caller.began < at(4_000) {
        return;
    }
    let in_time = u32::from(now.since(caller.began) <= TARGET);
    tally.in_time += in_time;
    tally.late += 1 - in_time;
    tally.pressing_in_time += u32::from(caller.is_pressing) * in_time;
}

/// Refuses a caller, which comes back once: as told, up to a third of what it has left, or
/// after 12 ms if it presses.
fn turn_away(
    tally: &mut Tally,
    callers: &mut BTreeMap<u64, Caller>,
    returns: &mut BTreeMap<(Time, u64), ()>,
    now: Time,
    id: u64,
    after: Duration,
) {
    let caller = &callers[&id];
    let left = PATIENCE.saturating_sub(now.since(caller.began));
    if caller.tries >= 2 || left < ms(20) {
        tally.refused_twice += u32::from(caller.began >= at(4_000));
        callers.remove(&id);
        return;
    }
    let after = match caller.is_pressing {
        true => ms(12),
        false => after.min(left / RETRY_AFTER_DIVISOR),
    };
    returns.insert((now + after, id), ());
}

/// A burst of 1.7 times the room for 4 s, over a usual load of 0.8 times the room.
fn burst() -> Load {
    Load {
        usual: CAPACITY * 8 / 10,
        burst: CAPACITY * 17 / 10,
        hot_every: 0,
        pressing_every: 0,
        judged: true,
    }
}

/// Plays a load with the order of arrival and target, and without.
fn compare(load: Load) -> (Tally, Tally) {
    let judged = play(load);
    let unjudged = play(Load {
        judged: false,
        ..load
    });
    println!("judged {judged:?}\nunjudged {unjudged:?}");
    (judged, unjudged)
}

/// Guards against late answers and second refusals in a burst of 1.7 times the room: what
/// callers are refused must be made up for by answers in time.
#[test]
fn burst_is_answered_in_time_or_refused() {
    let (judged, unjudged) = compare(burst());

    assert!(judged.in_time >= unjudged.in_time);
    assert!(judged.late + judged.cut <= unjudged.late + unjudged.cut);
}

/// Guards against callers that press taking the places of those that come back as told.
#[test]
fn patient_callers_lose_nothing_to_pressing_ones() {
    let load = Load {
        pressing_every: 3,
        ..burst()
    };

    let (judged, unjudged) = compare(load);

    let patient = |tally: &Tally| tally.in_time - tally.pressing_in_time;
    assert!(patient(&judged) >= patient(&unjudged));
}

/// Guards against requests for one hot key, for which there is no room, spending the time
/// of the requests for other keys of its owner at the owner.
#[test]
fn hot_key_is_refused_without_late_runs() {
    let load = Load {
        burst: CAPACITY * 8 / 10,
        hot_every: 4,
        ..burst()
    };

    let (judged, unjudged) = compare(load);

    assert!(judged.in_time >= unjudged.in_time);
    assert!(judged.late + judged.cut <= unjudged.late + unjudged.cut);
}

/// Guards against first callers, pressing ones and ones that come back as told being taken
/// for each other, and against a target that starts anew with each attempt.
#[test]
fn callers_are_told_apart_by_the_time_they_have_left() {
    let mut queue = Queue::default();
    let mut judge = |left| queue.judge(at(0), "lookup", Some(ms(left)), TARGET);
    for _ in 0..32 {
        judge(2_000);
    }

    let first = judge(1_998);
    let pressing = judge(1_985);
    let returned = judge(1_700);

    assert_eq!(first.arrival, Arrival::First);
    assert_eq!(pressing.arrival, Arrival::Pressing);
    let target = at(500);
    let arrival = Arrival::Returned;
    assert_eq!(returned, Standing { arrival, target });
}

/// Guards against callers being taken for refused ones where each brings another time.
#[test]
fn callers_without_a_usual_time_come_first() {
    let mut queue = Queue::default();

    let standings = (0..200).map(|number| {
        let left = ms(500 + number * 733 % 4_000);
        queue.judge(at(0), "lookup", Some(left), TARGET).arrival
    });

    assert!(
        standings
            .into_iter()
            .all(|arrival| arrival == Arrival::First)
    );
}
