//! Exchange of permits for upstreams that limit their rate, between the leader and the
//! other instances.

use std::cell::RefMut;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::limiter::Limiter;
use medlarreel_core::entry::permit::{Announcement, Demand, Grant, Notice};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;
use tokio::net::UdpSocket;

use crate::peers::{self, Message};
use crate::state::State;

/// Shortest interval at which demands are sent and accrued permits are granted, while there
/// are any.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(10);

/// Longest such interval. A demand that is older than 200 ms gets no usable permits of cold
/// upstreams.
const MAX_EXCHANGE_INTERVAL: Duration = Duration::from_millis(80);

/// Time per instance that is added to the interval as the fleet grows, so that all instances
/// together send the leader no more than 2,000 demands a second, which take about a tenth of
/// a core. Above 160 instances, where the longest interval holds, they send more.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(500);

/// Sends demands to the leader and, as the leader, grants permits, until the process ends.
pub async fn exchange(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let now = state.clock.now();
        let is_active =
            state.queue.borrow_mut().permits().is_active() || state.limiter.borrow().is_active(now);
        if !is_active {
            state.permits_wanted.notified().await;
        }
        tell_absent(&state, &socket).await;
        send_demands(&state, &socket).await;
        let grants = limiter(&state).issue(state.clock.now());
        send_grants(&state, &socket, grants).await;
        let due = state.limiter.borrow_mut().due_announcements(now);
        let granted = state.limiter.borrow_mut().take_granted();
        state.metrics.permits_granted.inc_by(granted);
        if !due.is_empty() {
            peers::broadcast(&state, &socket, &Message::RateLimits(due)).await;
        }
        tokio::time::sleep(exchange_interval(&state)).await;
    }
}

/// Tells the leader, or all instances as the leader, which upstreams have refused a
/// connection. An instance that connects later would not know that they may be cold.
async fn tell_absent(state: &State, socket: &UdpSocket) {
    let absent = state.absent_upstreams.take();
    if absent.is_empty() {
        return;
    }
    let message = Message::Absent(absent);
    if state.leadership.borrow().epoch().is_some() {
        peers::broadcast(state, socket, &message).await;
    } else if let Some(leader) = state.leader_address() {
        peers::send(socket, leader, &message).await;
    }
}

/// Interval between two exchanges. A leader grants at the shortest one, since that takes no
/// message as long as nothing is granted.
fn exchange_interval(state: &State) -> Duration {
    if state.leadership.borrow().epoch().is_some() {
        return MIN_EXCHANGE_INTERVAL;
    }
    let instances = state.members.borrow().len() as u32 + 1;
    let interval = INTERVAL_PER_INSTANCE * instances;
    interval.clamp(MIN_EXCHANGE_INTERVAL, MAX_EXCHANGE_INTERVAL)
}

/// Division of the rate limits, as certain as this instance is to lead alone.
fn limiter(state: &State) -> RefMut<'_, Limiter> {
    let is_certain = state.leadership.borrow().is_certain(state.clock.now());
    let mut limiter = state.limiter.borrow_mut();
    limiter.set_uncertain(!is_certain);
    limiter
}

async fn send_demands(state: &Rc<State>, socket: &UdpSocket) {
    let now = state.clock.now();
    let instances = state.members.borrow().len() + 1;
    let name_hash = xxhash_rust::xxh3::xxh3_64(state.name().as_bytes());
    let due = {
        let mut queue = state.queue.borrow_mut();
        let phase = f64::from(name_hash as u32) / f64::from(u32::MAX);
        queue.permits().refill_reserves(now, instances, phase);
        queue.permits().due_demands(now)
    };
    let demands: Vec<Demand> = {
        let directory = state.directory.borrow();
        let named = due.into_iter().filter_map(|(upstream, demand)| {
            let registration = &directory.get(upstream)?.registration;
            Some(Demand {
                id: registration.id.clone(),
                born: registration.born,
                ..demand
            })
        });
        named.collect()
    };
    if demands.is_empty() {
        return;
    }
    if state.leadership.borrow().epoch().is_some() {
        let own_address = state.settings.borrow().peers;
        handle_demands(state, socket, own_address, demands).await;
    } else if let Some(leader) = state.leader_address() {
        peers::send(socket, leader, &Message::PermitDemands(demands)).await;
    }
}

/// Handles the demands of an instance, which may be this one, as the leader.
pub async fn handle_demands(
    state: &Rc<State>,
    socket: &UdpSocket,
    from: SocketAddr,
    demands: Vec<Demand>,
) {
    let now = state.clock.now();
    let Some(epoch) = state.leadership.borrow().active_epoch(now) else {
        return;
    };
    let grants = {
        let mut limiter = limiter(state);
        let demands = demands.into_iter();
        demands
            .flat_map(|demand| limiter.handle_demand(now, epoch, from, demand))
            .collect()
    };
    send_grants(state, socket, grants).await;
    state.permits_wanted.notify_one();
}

async fn send_grants(state: &Rc<State>, socket: &UdpSocket, grants: Vec<(SocketAddr, Grant)>) {
    let Some(epoch) = state.leadership.borrow().epoch() else {
        return;
    };
    let mut by_receiver: BTreeMap<SocketAddr, Vec<Grant>> = BTreeMap::new();
    for (receiver, grant) in grants {
        by_receiver.entry(receiver).or_default().push(grant);
    }
    let own_address = state.settings.borrow().peers;
    for (receiver, grants) in by_receiver {
        if receiver == own_address {
            receive(state, epoch, grants);
        } else {
            let message = Message::PermitGrants { epoch, grants };
            peers::send(socket, receiver, &message).await;
        }
    }
}

/// Takes permits that the leader of `epoch` has granted.
pub fn receive(state: &State, epoch: u64, grants: Vec<Grant>) {
    let now = state.clock.now();
    let mut changed = false;
    for grant in grants {
        let Some(upstream) = state.find_incarnation(&grant.id, grant.born) else {
            continue;
        };
        let limit = grant.limit;
        let mut queue = state.queue.borrow_mut();
        let permits = queue.permits();
        let was_limited = permits.is_limited(upstream);
        changed |= permits.receive(now, upstream, epoch, grant);
        if was_limited && !permits.is_limited(upstream) {
            drop(queue);
            state.log_rate_limit(upstream, "leader", limit.map(|limit| limit.per_second()));
        }
    }
    if changed {
        state.dispatch_decisions();
    }
}

/// Takes limits that the leader has announced.
pub fn learn(state: &State, announcements: Vec<Announcement>) {
    let now = state.clock.now();
    for announcement in announcements {
        let Some(upstream) = state.find_incarnation(&announcement.id, announcement.born) else {
            continue;
        };
        let (rate, age) = (
            announcement.limit,
            Duration::from_millis(announcement.age_ms),
        );
        let is_new = {
            let mut queue = state.queue.borrow_mut();
            queue.permits().learn(now, upstream, rate, age)
        };
        if is_new {
            state.log_rate_limit(upstream, "leader", Some(rate.per_second()));
        }
    }
}

impl State {
    /// Records what a response says about the rate that its upstream accepts. `ran` is
    /// whether the upstream ran the request: refusals may lack what other responses say.
    pub fn observe_rate_limit(&self, upstream: Upstream, sent_at: Time, ran: bool, notice: Notice) {
        if !ran && notice == Notice::Unlimited {
            return;
        }
        let now = self.clock.now();
        let changed = {
            let mut queue = self.queue.borrow_mut();
            queue.permits().observe(now, upstream, sent_at, notice)
        };
        if changed {
            let per_second = match notice {
                Notice::Limited(rate) => Some(rate.per_second()),
                Notice::Unlimited | Notice::Unreadable => None,
            };
            self.log_rate_limit(upstream, "response", per_second);
            self.permits_wanted.notify_one();
        }
    }

    /// Logs that the known limit of an upstream has changed. `source` is where this
    /// instance has learned it.
    fn log_rate_limit(&self, upstream: Upstream, source: &str, per_second: Option<f64>) {
        let directory = self.directory.borrow();
        let record = directory.get(upstream);
        let id = record.map(|record| record.registration.id.as_str());
        tracing::info!(
            upstream = id,
            source,
            per_second,
            "rate limit of an upstream"
        );
    }
}
