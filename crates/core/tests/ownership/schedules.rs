//! Property tests with random schedules of faults.

use medlarreel_core::preset::Fencing;
use medlarreel_core::record::{Body, ReleaseTarget};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::club::{ClubSetup, DEFAULT_SETUP};
use crate::world::{MS, World};
use crate::{SECOND, club, start_new_term};

/// One fault of a random schedule. Spans are in milliseconds. An index is that of an
/// instance for `Pause` and `Kill`, of a failure domain for `Partition`, and else of an
/// upstream.
#[derive(Clone, Debug)]
enum Fault {
    Pause(usize, u64),
    /// An instance dies and a new one starts in its domain.
    Kill(usize),
    Freeze(usize, u64),
    Restart(usize),
    Drain(usize),
    Join,
    Partition(usize, u64),
    LogUnavailable(u64),
    Lossy(u32),
    Budget(u32),
    /// An upstream dies and an operator releases it.
    Release(usize),
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let span = || 200u64..6_000;
    prop_oneof![
        3 => (0usize..6, span()).prop_map(|(index, span)| Fault::Pause(index, span)),
        2 => (0usize..6).prop_map(Fault::Kill),
        3 => (0usize..6, span()).prop_map(|(index, span)| Fault::Freeze(index, span)),
        1 => (0usize..6).prop_map(Fault::Restart),
        1 => (0usize..6).prop_map(Fault::Drain),
        1 => Just(Fault::Join),
        2 => (0usize..3, span()).prop_map(|(domain, span)| Fault::Partition(domain, span)),
        1 => span().prop_map(Fault::LogUnavailable),
        2 => (0u32..30).prop_map(Fault::Lossy),
        1 => (0u32..42).prop_map(Fault::Budget),
        1 => (0usize..6).prop_map(Fault::Release),
    ]
}

fn any_schedule() -> impl Strategy<Value = (u64, Vec<(u64, Fault)>)> {
    let faults = proptest::collection::vec((50u64..2_500, any_fault()), 4..14);
    (any::<u64>(), faults)
}

fn inject_fault(world: &mut World, fault: &Fault) {
    let now = world.now;
    match *fault {
        Fault::Pause(index, span) => world.pause_process(index, span * MS),
        Fault::Kill(index) => {
            world.processes[index].alive = false;
            let domain = World::domain_of(&world.processes[index]) as u64;
            let id = world.processes.len() as u64 + 1;
            world.start_process(club::member(id, domain), 0);
        }
        Fault::Freeze(server, span) => world.servers[server].frozen_until = now + span * MS,
        Fault::Restart(server) => world.restart_server(server),
        Fault::Drain(server) => world.servers[server].draining ^= true,
        Fault::Join => world.servers[5].alive = true,
        Fault::Partition(domain, span) => world.partition = (domain, now + span * MS),
        Fault::LogUnavailable(span) => world.log_unavailable_until = now + span * MS,
        Fault::Lossy(percent) => world.queue.fault_percent = percent,
        Fault::Budget(slots) => world.set_budget(slots),
        Fault::Release(server) => {
            world.servers[server].alive = false;
            let name = format!("intake-{server}");
            world.append(Body::Release(ReleaseTarget::Upstream(name)));
        }
    }
}

/// Runs random schedules and returns the number of requests that ran. `prepare` is called
/// before the first fault.
fn run_schedules(cases: u32, setup: ClubSetup, prepare: fn(&mut World)) -> usize {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    let seed = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, seed);
    let runs = std::cell::Cell::new(0);
    let outcome = runner.run(&any_schedule(), |(seed, faults)| {
        let mut world = World::new(seed, setup);
        world.load_interval = 20 * MS;
        world.servers[5].alive = false;
        world.run_until(6 * SECOND);
        prepare(&mut world);
        for (delay, fault) in &faults {
            world.run_until(world.now + delay * MS);
            inject_fault(&mut world, fault);
        }
        world.run_until(world.now + 5 * SECOND);
        runs.set(runs.get() + world.checker.runs.len());
        let first = world.checker.violations.first();
        prop_assert!(first.is_none(), "{}", first.unwrap());
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
    runs.get()
}

/// Guards against two owners of a shard, and against allowances that exceed the limit,
/// under random combinations of faults.
#[test]
fn checked_upstreams_never_share_a_shard() {
    assert!(run_schedules(32, DEFAULT_SETUP, |_| ()) > 0);
}

/// Guards against a new term that takes over shards while the old one still serves them.
#[test]
fn a_new_term_never_shares_a_shard_with_the_old_one() {
    assert!(run_schedules(24, DEFAULT_SETUP, start_new_term) > 0);
}

/// Guards against two owners of a shard at unchecked upstreams, which run every request
/// that they receive.
#[test]
fn unchecked_upstreams_never_share_a_shard() {
    let setup = ClubSetup {
        fencing: Fencing::Unchecked,
        ..DEFAULT_SETUP
    };
    assert!(run_schedules(24, setup, |_| ()) > 0);
}
