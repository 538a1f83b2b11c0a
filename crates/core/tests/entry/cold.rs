//! Tests of the rate at which cold upstreams get requests, with many instances and up to two
//! leaders in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_core::entry::directory::Directory;
use medlarreel_core::entry::limiter::Limiter;
use medlarreel_core::entry::permit::{Demand, Grant, Notice, Permits, Rate};
use medlarreel_core::entry::plan;
use medlarreel_core::entry::routes::{Config, RouteTable, Service};
use medlarreel_core::entry::warmup::{self, Cold, MAX_SEND_DELAY, Pace};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;
use proptest::prelude::*;

use crate::fixture::{at, ms, registration};

const UPSTREAM: Upstream = Upstream(0);

/// Virtual time between two steps, in milliseconds.
const STEP: u64 = 5;

/// Longest delay of a message between instances, in milliseconds.
const MAX_DELAY: u64 = 60;

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

/// Course of a simulated run, in milliseconds.
struct Course {
    seed: u64,
    instances: usize,
    pace: Pace,
    /// Time from which the first leader can't write to the store, so that it may have been
    /// replaced, and time from which its successor leads. The first one goes on.
    replaced: (u64, u64),
    /// Percentage of messages that are lost.
    loss: u64,
    /// Whether an instance is restarted now and then.
    restarts: bool,
    /// Time at which the upstream is warm.
    warm_at: u64,
    duration: u64,
}

enum Message {
    /// Demand of an instance to the leader of this number.
    Demand(usize, usize, Demand),
    /// Grant of the leader of this number to an instance.
    Grant(usize, usize, Grant),
}

fn address(instance: usize) -> SocketAddr {
    ([10, 0, 0, instance as u8 + 1], 7_000).into()
}

/// An instance that knows that the upstream is cold.
fn cold_instance(now: Time, course: &Course) -> Permits {
    let mut permits = Permits::default();
    let until = at(course.warm_at);
    let pace = course.pace;
    permits.set_cold(now, &[(UPSTREAM, Cold { pace, until })]);
    permits
}

/// Plays a course in which each instance always has requests for the upstream, and returns
/// the times at which they are sent. Instances with an odd number don't hear the successor.
fn simulate(course: &Course) -> Vec<Time> {
    let mut dice = Dice(course.seed | 1);
    let instances = 0..course.instances;
    let mut permits: Vec<Permits> = instances.map(|_| cold_instance(at(0), course)).collect();
    let mut limiters = [Limiter::default(), Limiter::default()];
    let mut messages: Vec<(Time, Message)> = Vec::new();
    let mut sends = Vec::new();
    let waiting = [(UPSTREAM, [(0, 3)].into())].into();
    let (uncertain_from, succeeded_at) = course.replaced;
    for step in (0..course.duration).step_by(STEP as usize) {
        let now = at(step);
        let has_successor = step >= succeeded_at;
        limiters[0].set_uncertain(step >= uncertain_from);
        if course.restarts && step > 0 && dice.roll(50) == 0 {
            let restarted = dice.roll(course.instances as u64) as usize;
            permits[restarted] = cold_instance(now, course);
        }
        let mut replies: Vec<(usize, SocketAddr, Grant)> = Vec::new();
        let (due, later) = messages
            .into_iter()
            .partition(|(arrival, _)| *arrival <= now);
        messages = later;
        for (_, message) in due {
            match message {
                Message::Demand(from, leader, demand) => {
                    let epoch = leader as u64 + 1;
                    let granted = limiters[leader].handle_demand(now, epoch, address(from), demand);
                    replies.extend(granted.into_iter().map(|(to, grant)| (leader, to, grant)));
                }
                Message::Grant(leader, to, grant) => {
                    permits[to].receive(now, UPSTREAM, leader as u64 + 1, grant);
                }
            }
        }
        for (leader, limiter) in limiters.iter_mut().enumerate() {
            let issued = limiter.issue(now).into_iter();
            replies.extend(issued.map(|(to, grant)| (leader, to, grant)));
        }
        let mut sent = Vec::new();
        for (leader, receiver, grant) in replies {
            let to = (0..course.instances).find(|to| address(*to) == receiver);
            sent.push(Message::Grant(leader, to.unwrap(), grant));
        }
        for (instance, permits) in permits.iter_mut().enumerate() {
            permits.end_cold(now);
            permits.set_waiting(&waiting);
            permits.refill_reserves(now, course.instances, 0.9);
            let leader = usize::from(has_successor && instance % 2 == 0);
            for (_, demand) in permits.due_demands(now) {
                sent.push(Message::Demand(instance, leader, demand));
            }
            while permits.is_limited(UPSTREAM) && permits.may_send(now, UPSTREAM) {
                permits.record_send(now, UPSTREAM);
                let delay = dice.roll(MAX_SEND_DELAY.as_millis() as u64);
                sends.push(now + ms(delay));
            }
        }
        sent.retain(|_| dice.roll(100) >= course.loss);
        let arrivals = sent
            .into_iter()
            .map(|message| (now + ms(1 + dice.roll(MAX_DELAY)), message));
        messages.extend(arrivals);
    }
    sends.sort_unstable();
    sends
}

/// Largest number of requests in any second.
fn busiest_second(sends: &[Time]) -> usize {
    let window = |start: &Time| {
        let until = *start + Duration::from_secs(1);
        sends
            .iter()
            .filter(|sent| **sent >= *start && **sent <= until)
            .count()
    };
    sends.iter().map(window).max().unwrap_or(0)
}

fn rate(per_second: f64) -> Rate {
    Rate::from_per_second(per_second).unwrap()
}

fn course(pace: Pace, instances: usize) -> Course {
    Course {
        seed: 29,
        instances,
        pace,
        replaced: (60_000, 60_000),
        loss: 0,
        restarts: false,
        warm_at: 60_000,
        duration: 8_000,
    }
}

/// Guards against a bound that is kept by hardly using a cold upstream.
#[test]
fn rate_of_a_cold_upstream_is_used_up() {
    let pace = Pace::new(rate(8.3), 1.5, 8.0);

    let sends = simulate(&course(pace, 60));

    let per_second = sends.len() as f64 / 8.0;
    assert!((6.5..=8.4).contains(&per_second), "{per_second} a second");
}

/// Guards against constants that keep to a generous bound only: without a slack, a second
/// may see no more than the rate, and a rate below one a second allows none at all.
#[test]
fn pace_scales_down_with_the_bound() {
    let allowed = |pace: Pace| busiest_second(&simulate(&course(pace, 30)));

    let without_slack = allowed(Pace::new(rate(8.3), 1.0, 0.0));
    let single = allowed(Pace::new(rate(1.0), 1.0, 0.0));
    let fraction = allowed(Pace::new(rate(0.9), 1.0, 0.0));

    assert!((4..=8).contains(&without_slack), "{without_slack}");
    assert_eq!((single, fraction), (1, 0));
}

/// Guards against an instance that sends to a cold upstream before it has a permit: one that
/// has just started, is cut off, or has no leader.
#[test]
fn nothing_is_sent_without_a_leader() {
    let course = Course {
        loss: 100,
        ..course(Pace::new(rate(50.0), 1.5, 8.0), 60)
    };

    let sends = simulate(&course);

    assert!(sends.is_empty(), "{}", sends.len());
}

/// Guards against a limit that goes on after the warm-up, and against one that a response
/// ends before: the upstream names none because it is cold.
#[test]
fn limit_ends_by_time_and_not_by_a_response() {
    let course = Course {
        warm_at: 3_000,
        ..course(Pace::new(rate(8.0), 1.5, 8.0), 1)
    };
    let mut permits = cold_instance(at(0), &course);

    permits.observe(at(100), UPSTREAM, at(50), Notice::Unlimited);
    let after_response = permits.may_send(at(2_999), UPSTREAM);
    permits.observe(at(1_000), UPSTREAM, at(950), Notice::Limited(rate(2.0)));
    permits.end_cold(at(3_000));
    let named = permits.is_limited(UPSTREAM);
    permits.observe(at(4_000), UPSTREAM, at(3_900), Notice::Unlimited);

    assert_eq!((after_response, named), (false, true));
    assert!(permits.may_send(at(4_000), UPSTREAM));
}

/// Guards against callers that are told to come back long after the upstream is warm.
#[test]
fn wait_ends_when_the_upstream_is_warm() {
    let course = Course {
        warm_at: 3_000,
        ..course(Pace::new(rate(1.0), 1.0, 0.0), 1)
    };
    let permits = cold_instance(at(0), &course);

    let (wait, _) = permits.estimated_wait(at(1_000), UPSTREAM, 0, 40);

    assert_eq!(wait, ms(2_000));
}

/// Guards against a cold upstream that gets as many keys as a warm one, most of whose
/// requests are then refused, and against services that name no rate.
#[test]
fn capacity_and_limits_follow_the_rate_of_the_service() {
    let service = |name: &str, warmup_rate| Service {
        name: name.into(),
        keyed: true,
        health_path: None,
        max_connections: 100,
        warmup: ms(3_000),
        warmup_rate,
    };
    let routes = RouteTable::new(Config {
        services: vec![service("intake", Some(rate(8.0))), service("desk", None)],
        ..Config::default()
    });
    let mut directory = Directory::default();
    for (number, name) in [(1, "intake"), (2, "desk")] {
        let mut cold = registration(number);
        (cold.service, cold.warmup) = (name.into(), ms(3_000));
        directory.apply(at(0), at(0), cold);
    }

    let limited = warmup::cold_upstreams(at(1_000), &directory, &routes, 1.5, 8.0);
    let warm = warmup::cold_upstreams(at(3_000), &directory, &routes, 1.5, 8.0);
    let capacity = plan::capacity(6, 1.0, Some(limited[0].1.pace.certain), ms(250));

    assert_eq!((limited.len(), warm.len()), (1, 0));
    assert_eq!(limited[0].1.until, at(3_000));
    assert_eq!(capacity, 2.0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(30))]

    /// Guards against a second in which a cold upstream gets more than it takes: many
    /// instances with full queues, messages that are slow or lost, instances that restart, a
    /// leader that goes on beside its successor, requests that are sent late.
    #[test]
    fn no_second_exceeds_the_bound(
        seed in any::<u64>(),
        instances in 1..60_usize,
        per_second in 0.3..40.0_f64,
        overage in 1.0..2.0_f64,
        slack in prop_oneof![Just(0.0), 0.0..12.0_f64],
        lost in 1_000..4_000_u64,
        gap in 0..1_500_u64,
        loss in 0..40_u64,
        restarts in any::<bool>(),
    ) {
        let course = Course {
            seed,
            replaced: (lost, lost + gap),
            loss,
            restarts,
            ..course(Pace::new(rate(per_second), overage, slack), instances)
        };

        let busiest = busiest_second(&simulate(&course));

        let allowed = rate(per_second).per_second() * overage + slack;
        prop_assert!(busiest as f64 <= allowed, "{busiest} of {allowed}");
    }
}
