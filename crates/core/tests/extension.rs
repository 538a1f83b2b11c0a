//! Tests of the extension of dispatch leases within a failure domain.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarreel_core::control::extension::{
    EXTENSION_DURATION, LeaseExtension, PROMISE_DURATION, PromiseCollector,
};
use medlarreel_core::ids::Instance;
use medlarreel_core::time::{Time, max_with_drift, min_with_drift};
use medlarreel_core::wire::Message;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HOLDER: Instance = Instance(0);
const STEP_US: u64 = 5_000;
const SECOND_US: u64 = 1_000_000;

/// Clock that drifts by up to 1%.
#[derive(Clone, Copy)]
struct Clock {
    /// Reading at true time 0, in microseconds.
    offset: u64,
    /// Drift in parts per million.
    drift: i64,
}

impl Clock {
    fn read(self, now: u64) -> Time {
        let drift = now as i64 * self.drift / 1_000_000;
        Time((self.offset + now).wrapping_add_signed(drift))
    }
}

/// Failure domain whose dispatchers received their last lease from the holder at true
/// time 6 s. By then, all members have run long enough to give support.
struct FailureDomain {
    now: u64,
    rng: StdRng,
    clocks: BTreeMap<Instance, Clock>,
    members: BTreeMap<Instance, LeaseExtension>,
    /// End of each dispatcher's lease from the holder, in its own clock.
    lease_ends: BTreeMap<Instance, Time>,
    collector: PromiseCollector,
    /// Probability, in percent, that a link loses a message.
    loss_percent: BTreeMap<(Instance, Instance), u32>,
    queue: BTreeMap<(u64, u64), (Instance, Instance, Message)>,
    sent: u64,
    /// Start and end of each member's pause, in true time.
    paused: BTreeMap<Instance, (u64, u64)>,
}

const LEASED_AT_US: u64 = 6 * SECOND_US;

impl FailureDomain {
    fn new(seed: u64, size: u64) -> FailureDomain {
        let mut rng = StdRng::seed_from_u64(seed);
        let ids: Vec<_> = (1..=size).map(Instance).collect();
        let mut clock = |_: &Instance| Clock {
            offset: rng.random_range(0..1 << 40),
            drift: [-10_000, 0, 10_000][rng.random_range(0..3)],
        };
        let nodes = ids.iter().chain([&HOLDER]);
        let clocks: BTreeMap<_, _> = nodes.map(|id| (*id, clock(id))).collect();
        let new_member = |&id: &Instance| {
            let mut member = LeaseExtension::new(id, clocks[&id].read(0));
            member.set_members(1, ids.clone());
            (id, member)
        };
        let duration = min_with_drift(EXTENSION_DURATION);
        let lease_end = |&id: &Instance| (id, clocks[&id].read(LEASED_AT_US) + duration);
        FailureDomain {
            now: LEASED_AT_US,
            members: ids.iter().map(new_member).collect(),
            lease_ends: ids.iter().map(lease_end).collect(),
            collector: PromiseCollector::new(HOLDER, ids),
            loss_percent: BTreeMap::new(),
            queue: BTreeMap::new(),
            sent: 0,
            paused: BTreeMap::new(),
            clocks,
            rng,
        }
    }

    fn holder_time(&self) -> Time {
        self.clocks[&HOLDER].read(self.now)
    }

    /// Returns whether the holder may take shards because all leases have expired.
    fn may_take_shards(&self) -> bool {
        let leases_end =
            self.clocks[&HOLDER].read(LEASED_AT_US) + max_with_drift(EXTENSION_DURATION);
        leases_end <= self.holder_time() && self.collector.excludes_extensions(self.holder_time())
    }

    /// Returns the dispatchers whose lease is valid.
    fn valid_dispatchers(&self) -> Vec<Instance> {
        let valid = |(&id, member): (&Instance, &LeaseExtension)| {
            let now = self.clocks[&id].read(self.now);
            (now < member.lease_end(self.lease_ends[&id])).then_some(id)
        };
        self.members.iter().filter_map(valid).collect()
    }

    fn is_paused(&self, id: Instance) -> bool {
        let span = self.paused.get(&id);
        span.is_some_and(|&(from, until)| (from..until).contains(&self.now))
    }

    fn step(&mut self, collect_promises: bool) {
        self.now += STEP_US;
        while let Some((&key, _)) = self
            .queue
            .first_key_value()
            .filter(|(key, _)| key.0 <= self.now)
        {
            let (from, to, message) = self.queue.remove(&key).expect("entry exists");
            if self.is_paused(to) {
                self.queue
                    .insert((self.now + STEP_US, key.1), (from, to, message));
            } else {
                self.deliver(from, to, message);
            }
        }
        let ids: Vec<_> = self.lease_ends.keys().copied().collect();
        for id in ids {
            if self.is_paused(id) {
                continue;
            }
            let (now, lease_end) = (self.clocks[&id].read(self.now), self.lease_ends[&id]);
            let member = self.members.get_mut(&id).expect("member exists");
            let messages = member.tick(now, lease_end);
            self.send_all(id, messages);
        }
        if collect_promises {
            let messages = self.collector.tick(self.holder_time());
            self.send_all(HOLDER, messages);
        }
    }

    fn deliver(&mut self, from: Instance, to: Instance, message: Message) {
        let now = self.clocks[&to].read(self.now);
        if let Message::Promise(nonce) = message {
            self.collector.handle_promise(now, from, nonce);
            return;
        }
        let (member, lease_end) = (self.members.get_mut(&to), self.lease_ends.get(&to));
        let (Some(member), Some(&lease_end)) = (member, lease_end) else {
            return;
        };
        let response = match message {
            Message::ExtensionRequest(nonce, version) => {
                Some(member.handle_extension_request(now, from, nonce, version))
            }
            Message::PromiseRequest(nonce, duration) => {
                member.handle_promise_request(now, nonce, duration)
            }
            Message::ExtensionResponse(nonce, granted) => {
                member.handle_extension_response(now, lease_end, from, nonce, granted);
                None
            }
            _ => None,
        };
        self.send_all(to, response.map(|response| (from, response)));
    }

    fn send_all(
        &mut self,
        from: Instance,
        messages: impl IntoIterator<Item = (Instance, Message)>,
    ) {
        for (to, message) in messages {
            let loss = self.loss_percent.get(&(from, to)).copied().unwrap_or(0);
            let long = self.rng.random_ratio(1, 10);
            let delay = self
                .rng
                .random_range(1..if long { 2 * SECOND_US } else { 5_000 });
            let copies = if self.rng.random_range(0..100) < loss {
                0
            } else {
                self.rng.random_range(1..=2)
            };
            for copy in 0..copies {
                self.sent += 1;
                let key = (self.now + delay * (1 + copy), self.sent);
                self.queue.insert(key, (from, to, message.clone()));
            }
        }
    }
}

/// Failure domain with random message loss per link and a pause per member.
fn domain_with_faults(seed: u64, size: u64) -> FailureDomain {
    let mut domain = FailureDomain::new(seed, size);
    for from in 0..=size {
        for to in 0..=size {
            let loss = [0, 0, 30, 100][domain.rng.random_range(0..4)];
            domain
                .loss_percent
                .insert((Instance(from), Instance(to)), loss);
        }
        let start = LEASED_AT_US + domain.rng.random_range(0..8 * SECOND_US);
        let end = start + domain.rng.random_range(0..3 * SECOND_US);
        domain.paused.insert(Instance(from), (start, end));
    }
    domain
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against shards being taken from a failure domain while one of its
    /// dispatchers still has, or obtains again, an extended lease.
    #[test]
    fn no_dispatcher_has_a_lease_once_the_holder_may_take_shards(
        seed: u64,
        size in 1..6u64,
        collection_start_ms in 0..8_000u64,
    ) {
        let mut domain = domain_with_faults(seed, size);
        let mut may_take = false;
        while domain.now < LEASED_AT_US + 16 * SECOND_US {
            domain.step(domain.now >= LEASED_AT_US + collection_start_ms * 1_000);
            may_take |= domain.may_take_shards();
            let valid = domain.valid_dispatchers();
            prop_assert!(!may_take || valid.is_empty(), "{valid:?} at {}", domain.now);
        }
    }

    /// Guards against an isolated failure domain that stops serving its shards.
    #[test]
    fn isolated_domain_keeps_its_leases(seed: u64, size in 1..6u64) {
        let mut domain = FailureDomain::new(seed, size);
        while domain.now < LEASED_AT_US + 12 * SECOND_US {
            domain.step(false);
        }

        prop_assert_eq!(domain.valid_dispatchers().len() as u64, size);
    }

    /// Guards against a reachable failure domain whose shards are never released
    /// although all its members promise to support no extension.
    #[test]
    fn promises_end_extensions(seed: u64, size in 1..6u64) {
        let mut domain = FailureDomain::new(seed, size);
        while domain.now < LEASED_AT_US + 12 * SECOND_US {
            domain.step(domain.now >= LEASED_AT_US + 5 * SECOND_US);
        }

        prop_assert!(domain.may_take_shards());
        prop_assert!(domain.valid_dispatchers().is_empty());
    }
}

/// Member of the failure domain {1, 2} that has run long enough to give support.
fn ready_member() -> (LeaseExtension, Time) {
    let mut member = LeaseExtension::new(Instance(1), Time(0));
    member.set_members(1, [1, 2].map(Instance));
    (member, Time(6 * SECOND_US))
}

/// Guards against support that is given during a promise.
#[test]
fn promise_excludes_support() {
    let (mut member, now) = ready_member();

    let promise = member.handle_promise_request(now, 1, PROMISE_DURATION);
    let during = member.handle_extension_request(now + PROMISE_DURATION, Instance(2), 2, 1);
    let after =
        member.handle_extension_request(now + max_with_drift(PROMISE_DURATION), Instance(2), 3, 1);

    assert_eq!(promise, Some(Message::Promise(1)));
    assert_eq!(during, Message::ExtensionResponse(2, false));
    assert_eq!(after, Message::ExtensionResponse(3, true));
}

/// Guards against a promise that ends before support given earlier expires.
#[test]
fn promise_covers_earlier_support() {
    let (mut member, now) = ready_member();
    member.handle_extension_request(now, Instance(2), 1, 1);

    let short_promise = member.handle_promise_request(now, 2, Duration::from_millis(2_400));
    let long_promise = member.handle_promise_request(now, 3, PROMISE_DURATION);

    assert_eq!(short_promise, None);
    assert_eq!(long_promise, Some(Message::Promise(3)));
}

/// Guards against counting a promise from before a gap, in which the member may have
/// given support.
#[test]
fn promise_counts_from_the_last_interruption() {
    let mut collector = PromiseCollector::new(HOLDER, [Instance(1)]);
    for at in [0, 3 * SECOND_US] {
        let request = collector.tick(Time(at)).remove(0);
        if let (member, Message::PromiseRequest(nonce, _)) = request {
            collector.handle_promise(Time(at), member, nonce);
        }
    }

    assert!(!collector.excludes_extensions(Time(3 * SECOND_US)));
}

/// Guards against counting the promises of one membership only. A dispatcher that
/// knows another one could still extend its lease with a majority of that.
#[test]
fn every_known_membership_must_promise() {
    let mut collector = PromiseCollector::new(HOLDER, [1, 2, 3].map(Instance));
    collector.add_membership([3, 4, 5].map(Instance));
    let mut now = Time(0);
    while now < Time(4 * SECOND_US) {
        for (to, message) in collector.tick(now) {
            let Message::PromiseRequest(nonce, _) = message else {
                continue;
            };
            if to.0 > 2 {
                collector.handle_promise(now, to, nonce);
            }
        }
        now = now + Duration::from_millis(100);
    }

    assert!(!collector.excludes_extensions(now));
}
