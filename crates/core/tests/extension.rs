//! Extension of dispatch leases inside a failure domain.

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
const STEP: u64 = 5_000;
const SECOND: u64 = 1_000_000;

/// Clock that drifts by up to 1%, in parts per million.
#[derive(Clone, Copy)]
struct Clock {
    offset: u64,
    drift: i64,
}

impl Clock {
    fn at(self, now: u64) -> Time {
        let drift = now as i64 * self.drift / 1_000_000;
        Time((self.offset + now).wrapping_add_signed(drift))
    }
}

/// Failure domain whose dispatchers had their last lease from the holder at
/// true time 6 s, when all have run long enough to vote.
struct Domain {
    now: u64,
    rng: StdRng,
    clocks: BTreeMap<Instance, Clock>,
    members: BTreeMap<Instance, LeaseExtension>,
    leases: BTreeMap<Instance, Time>,
    holder: PromiseCollector,
    /// Chance in percent that a link loses a message.
    loss: BTreeMap<(Instance, Instance), u32>,
    queue: BTreeMap<(u64, u64), (Instance, Instance, Message)>,
    sent: u64,
    paused: BTreeMap<Instance, (u64, u64)>,
}

const LEASED: u64 = 6 * SECOND;

impl Domain {
    fn new(seed: u64, size: u64) -> Domain {
        let mut rng = StdRng::seed_from_u64(seed);
        let ids: Vec<_> = (1..=size).map(Instance).collect();
        let mut clock = |_: &Instance| Clock {
            offset: rng.random_range(0..1 << 40),
            drift: [-10_000, 0, 10_000][rng.random_range(0..3)],
        };
        let nodes = ids.iter().chain([&HOLDER]);
        let clocks: BTreeMap<_, _> = nodes.map(|id| (*id, clock(id))).collect();
        let start = |&id: &Instance| {
            let mut member = LeaseExtension::new(id, clocks[&id].at(0));
            member.set_members(1, ids.clone());
            (id, member)
        };
        let length = min_with_drift(EXTENSION_DURATION);
        let lease = |&id: &Instance| (id, clocks[&id].at(LEASED) + length);
        Domain {
            now: LEASED,
            members: ids.iter().map(start).collect(),
            leases: ids.iter().map(lease).collect(),
            holder: PromiseCollector::new(HOLDER, ids),
            loss: BTreeMap::new(),
            queue: BTreeMap::new(),
            sent: 0,
            paused: BTreeMap::new(),
            clocks,
            rng,
        }
    }

    fn holder_time(&self) -> Time {
        self.clocks[&HOLDER].at(self.now)
    }

    /// Whether the holder may take keys by time.
    fn is_free(&self) -> bool {
        let lapsed = self.clocks[&HOLDER].at(LEASED) + max_with_drift(EXTENSION_DURATION);
        lapsed <= self.holder_time() && self.holder.excludes_extensions(self.holder_time())
    }

    /// Dispatchers whose lease is valid now.
    fn valid(&self) -> Vec<Instance> {
        let valid = |(&id, member): (&Instance, &LeaseExtension)| {
            let now = self.clocks[&id].at(self.now);
            (now < member.lease_end(self.leases[&id])).then_some(id)
        };
        self.members.iter().filter_map(valid).collect()
    }

    fn is_paused(&self, id: Instance) -> bool {
        let span = self.paused.get(&id);
        span.is_some_and(|&(from, until)| (from..until).contains(&self.now))
    }

    fn step(&mut self, withhold: bool) {
        self.now += STEP;
        while let Some((&key, _)) = self
            .queue
            .first_key_value()
            .filter(|(key, _)| key.0 <= self.now)
        {
            let (from, to, message) = self.queue.remove(&key).expect("entry exists");
            if self.is_paused(to) {
                self.queue
                    .insert((self.now + STEP, key.1), (from, to, message));
            } else {
                self.deliver(from, to, message);
            }
        }
        let ids: Vec<_> = self.leases.keys().copied().collect();
        for id in ids {
            if self.is_paused(id) {
                continue;
            }
            let (now, lease) = (self.clocks[&id].at(self.now), self.leases[&id]);
            let member = self.members.get_mut(&id).expect("member exists");
            let messages = member.tick(now, lease);
            self.send_all(id, messages);
        }
        if withhold {
            let messages = self.holder.tick(self.holder_time());
            self.send_all(HOLDER, messages);
        }
    }

    fn deliver(&mut self, from: Instance, to: Instance, message: Message) {
        let now = self.clocks[&to].at(self.now);
        if let Message::Promise(nonce) = message {
            self.holder.handle_promise(now, from, nonce);
            return;
        }
        let (member, lease) = (self.members.get_mut(&to), self.leases.get(&to));
        let (Some(member), Some(&lease)) = (member, lease) else {
            return;
        };
        let answer = match message {
            Message::ExtensionRequest(nonce, version) => {
                Some(member.handle_extension_request(now, from, nonce, version))
            }
            Message::PromiseRequest(nonce, length) => {
                member.handle_promise_request(now, nonce, length)
            }
            Message::ExtensionResponse(nonce, granted) => {
                member.handle_extension_response(now, lease, from, nonce, granted);
                None
            }
            _ => None,
        };
        self.send_all(to, answer.map(|answer| (from, answer)));
    }

    fn send_all(
        &mut self,
        from: Instance,
        messages: impl IntoIterator<Item = (Instance, Message)>,
    ) {
        for (to, message) in messages {
            let loss = self.loss.get(&(from, to)).copied().unwrap_or(0);
            let long = self.rng.random_ratio(1, 10);
            let delay = self
                .rng
                .random_range(1..if long { 2 * SECOND } else { 5_000 });
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

/// Domain with random losses per link and a pause per member.
fn disturbed(seed: u64, size: u64) -> Domain {
    let mut domain = Domain::new(seed, size);
    for from in 0..=size {
        for to in 0..=size {
            let loss = [0, 0, 30, 100][domain.rng.random_range(0..4)];
            domain.loss.insert((Instance(from), Instance(to)), loss);
        }
        let start = LEASED + domain.rng.random_range(0..8 * SECOND);
        let end = start + domain.rng.random_range(0..3 * SECOND);
        domain.paused.insert(Instance(from), (start, end));
    }
    domain
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against keys that are taken from a failure domain while one of
    /// its dispatchers still holds, or regains, an extended lease.
    #[test]
    fn no_dispatcher_is_valid_once_the_holder_may_take_keys(
        seed: u64,
        size in 1..6u64,
        from in 0..8_000u64,
    ) {
        let mut domain = disturbed(seed, size);
        let mut free = false;
        while domain.now < LEASED + 16 * SECOND {
            domain.step(domain.now >= LEASED + from * 1_000);
            free |= domain.is_free();
            let valid = domain.valid();
            prop_assert!(!free || valid.is_empty(), "{valid:?} at {}", domain.now);
        }
    }

    /// Guards against an isolated failure domain that stops serving its keys.
    #[test]
    fn isolated_domain_keeps_its_leases(seed: u64, size in 1..6u64) {
        let mut domain = Domain::new(seed, size);
        while domain.now < LEASED + 12 * SECOND {
            domain.step(false);
        }

        prop_assert_eq!(domain.valid().len() as u64, size);
    }

    /// Guards against a reachable failure domain whose keys are never freed
    /// although all its members promise to support no extension.
    #[test]
    fn promises_end_extensions(seed: u64, size in 1..6u64) {
        let mut domain = Domain::new(seed, size);
        while domain.now < LEASED + 12 * SECOND {
            domain.step(domain.now >= LEASED + 5 * SECOND);
        }

        prop_assert!(domain.is_free());
        prop_assert!(domain.valid().is_empty());
    }
}

/// Member of {1, 2} that has run long enough to vote.
fn member() -> (LeaseExtension, Time) {
    let mut member = LeaseExtension::new(Instance(1), Time(0));
    member.set_members(1, [1, 2].map(Instance));
    (member, Time(6 * SECOND))
}

/// Guards against support that overlaps a promise.
#[test]
fn promise_excludes_support() {
    let (mut member, now) = member();

    let promise = member.handle_promise_request(now, 1, PROMISE_DURATION);
    let during = member.handle_extension_request(now + PROMISE_DURATION, Instance(2), 2, 1);
    let after =
        member.handle_extension_request(now + max_with_drift(PROMISE_DURATION), Instance(2), 3, 1);

    assert_eq!(promise, Some(Message::Promise(1)));
    assert_eq!(during, Message::ExtensionResponse(2, false));
    assert_eq!(after, Message::ExtensionResponse(3, true));
}

/// Guards against a promise that ends before support given earlier.
#[test]
fn promise_covers_earlier_support() {
    let (mut member, now) = member();
    member.handle_extension_request(now, Instance(2), 1, 1);

    let short = member.handle_promise_request(now, 2, Duration::from_millis(2_400));
    let long = member.handle_promise_request(now, 3, PROMISE_DURATION);

    assert_eq!(short, None);
    assert_eq!(long, Some(Message::Promise(3)));
}

/// Guards against support that a member gave between two promises.
#[test]
fn promise_counts_from_the_last_interruption() {
    let mut holder = PromiseCollector::new(HOLDER, [Instance(1)]);
    for at in [0, 3 * SECOND] {
        let question = holder.tick(Time(at)).remove(0);
        if let (member, Message::PromiseRequest(nonce, _)) = question {
            holder.handle_promise(Time(at), member, nonce);
        }
    }

    assert!(!holder.excludes_extensions(Time(3 * SECOND)));
}

/// Guards against a majority of new members that knows nothing of the support
/// which the members before them gave.
#[test]
fn every_known_membership_must_promise() {
    let mut holder = PromiseCollector::new(HOLDER, [1, 2, 3].map(Instance));
    holder.add_membership([3, 4, 5].map(Instance));
    let mut now = Time(0);
    while now < Time(4 * SECOND) {
        for (to, message) in holder.tick(now) {
            let Message::PromiseRequest(nonce, _) = message else {
                continue;
            };
            if to.0 > 2 {
                holder.handle_promise(now, to, nonce);
            }
        }
        now = now + Duration::from_millis(100);
    }

    assert!(!holder.excludes_extensions(now));
}
