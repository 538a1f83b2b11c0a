//! What the tasks of an instance share. All of them run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use medlarreel_core::entry::directory::{Directory, UpstreamRecord};
use medlarreel_core::entry::leadership::Leadership;
use medlarreel_core::entry::ledger::{Ledger, LedgerSnapshot};
use medlarreel_core::entry::map::OwnerMap;
use medlarreel_core::entry::queue::{
    Availability, Candidate, Decision, Queue, Ticket, UpstreamLookup,
};
use medlarreel_core::entry::routes::{RouteTable, TrafficSplitter};
use medlarreel_core::ids::Upstream;
use medlarreel_core::retry::ServiceBudgets;
use medlarreel_core::time::Time;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::connection::Connection;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::reader::{Feed, Topic};
use crate::settings::Settings;

/// Reserve within the time in which a leaving upstream must be left alone, for
/// requests that are on their way and for the reader's delays.
const DRAIN_RESERVE: Duration = Duration::from_millis(450);

/// Time without an answer of the store that counts as an outage.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Part of the allowed second sends that an instance uses. All instances share
/// the allowance and see uneven parts of the requests.
const INSTANCE_BUDGET_SHARE: f64 = 0.5;

/// Another instance.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Its address for messages.
    pub address: SocketAddr,
    /// Start of its process, in wall-clock milliseconds.
    pub started: u64,
    /// Share of a core that it may use, in percent.
    pub cpu_percent: u32,
    /// Newest message from it.
    pub last_heard: Option<Time>,
}

/// A lead that another instance has passed on.
#[derive(Debug)]
pub struct PendingTransfer {
    /// Account of the leader that has stopped.
    pub snapshot: LedgerSnapshot,
    /// Mark of its records in the store.
    pub nonce: u64,
    /// End of its topic, as far as it knew.
    pub end: u64,
    /// Time of its last successful write.
    pub confirmed: Time,
}

/// Belief about the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// Newest successful call.
    pub last_answer: Option<Time>,
    /// Time of the first success after a failure.
    pub recovered_at: Option<Time>,
    /// Whether the newest call failed.
    pub failing: bool,
}

/// Shared state.
#[derive(Debug)]
pub struct State {
    /// Checked settings.
    pub settings: RefCell<Settings>,
    /// The process's clock.
    pub clock: Clock,
    /// Start of the process, in wall-clock milliseconds.
    pub started: u64,
    /// Configuration in force.
    pub route_table: RefCell<Rc<RouteTable>>,
    /// Counts of split routes.
    pub traffic_splitter: RefCell<TrafficSplitter>,
    /// Upstreams.
    pub directory: RefCell<Directory>,
    /// Reader of the configuration.
    pub config_feed: Feed,
    /// Reader of the registrations.
    pub directory_feed: Feed,
    /// Owners of keys.
    pub owner_map: RefCell<OwnerMap>,
    /// Time at which the map of owners was taken.
    pub owner_map_received: Cell<Time>,
    /// Waiting requests and room at upstreams.
    pub queue: RefCell<Queue>,
    /// Tasks that wait for a decision.
    pub waiters: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
    /// Budgets of second sends.
    pub retry_budgets: RefCell<ServiceBudgets>,
    /// Idle connections.
    pub pool: Pool,
    /// Counters.
    pub metrics: Metrics,
    /// Who leads.
    pub leadership: RefCell<Leadership>,
    /// The leader's account.
    pub ledger: RefCell<Option<Ledger>>,
    /// Mark of the own records in the leader's topic, and the end of the topic.
    pub leader_topic: Cell<Option<(u64, u64)>>,
    /// A lead that was passed on to this instance and is not taken up yet.
    pub pending_transfer: RefCell<Option<PendingTransfer>>,
    /// Other instances, by name.
    pub members: RefCell<BTreeMap<String, Member>>,
    /// Belief about the store.
    pub store_health: Cell<StoreHealth>,
    /// Whether the instance is about to stop.
    pub stopping: Cell<bool>,
    /// Requests by service and key since the last report.
    pub key_counts: RefCell<HashMap<String, HashMap<u16, u32>>>,
    /// Runs of keyed requests since the last report, by upstream: their number, and
    /// the sum of their run times relative to their routes' average, in thousandths.
    pub run_times: RefCell<HashMap<Upstream, (u32, u64)>>,
    next_ticket: Cell<u64>,
}

impl State {
    /// State of an instance that knows nothing yet.
    pub fn new(settings: Settings) -> Rc<State> {
        let clock = Clock::start();
        let now = clock.now();
        let percent = (settings.retry_ratio * INSTANCE_BUDGET_SHARE * 100.0) as u8;
        let started = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        Rc::new(State {
            settings: RefCell::new(settings),
            clock,
            started,
            route_table: RefCell::default(),
            traffic_splitter: RefCell::default(),
            directory: RefCell::default(),
            config_feed: Feed::default(),
            directory_feed: Feed::default(),
            owner_map: RefCell::default(),
            owner_map_received: Cell::default(),
            queue: RefCell::default(),
            waiters: RefCell::default(),
            retry_budgets: RefCell::new(ServiceBudgets::new(percent)),
            pool: Pool::default(),
            metrics: Metrics::default(),
            leadership: RefCell::new(Leadership::new(now)),
            ledger: RefCell::default(),
            leader_topic: Cell::default(),
            pending_transfer: RefCell::default(),
            members: RefCell::default(),
            store_health: Cell::default(),
            stopping: Cell::new(false),
            key_counts: RefCell::default(),
            run_times: RefCell::default(),
            next_ticket: Cell::new(0),
        })
    }

    /// Name of this instance.
    pub fn name(&self) -> String {
        self.settings.borrow().name.clone()
    }

    /// Identity for a waiting request.
    pub fn new_ticket(&self) -> Ticket {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        Ticket(ticket)
    }

    /// Reader of a topic.
    pub fn feed(&self, topic: Topic) -> &Feed {
        match topic {
            Topic::Config => &self.config_feed,
            Topic::Directory => &self.directory_feed,
        }
    }

    /// Whether the registrations were read once.
    pub fn is_directory_loaded(&self) -> bool {
        self.directory_feed.is_loaded()
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.route_table.borrow().is_loaded() && self.is_directory_loaded()
    }

    /// Notes the outcome of a call to the store.
    pub fn record_store_result(&self, success: bool) {
        let mut health = self.store_health.get();
        if success {
            if health.failing {
                tracing::info!(dependency = "store", "dependency regained");
            }
            self.store_health.set(health);
            self.record_store_contact();
            health = self.store_health.get();
        } else if !health.failing {
            tracing::warn!(dependency = "store", "dependency lost");
        }
        health.failing = !success;
        self.store_health.set(health);
    }

    /// Notes that the store has answered this instance or the leader.
    pub fn record_store_contact(&self) {
        let now = self.clock.now();
        let mut health = self.store_health.get();
        // Several connections fail and recover one after the other; only a gap in
        // the answers of all of them is an outage.
        if health
            .last_answer
            .is_some_and(|last| now.since(last) > OUTAGE_THRESHOLD)
        {
            health.recovered_at = Some(now);
        }
        health.last_answer = Some(now);
        self.store_health.set(health);
    }

    /// Counts a request for a service towards its budget of second sends.
    pub fn earn_retry_budget(&self, now: Time, service: &str) {
        self.retry_budgets
            .borrow_mut()
            .for_service(now, service)
            .earn(now);
    }

    /// Carries out removals of registrations that are due.
    pub fn expire_registrations(&self) {
        let removed = self.directory.borrow_mut().expire(self.clock.now());
        if removed.is_empty() {
            return;
        }
        for upstream in removed {
            tracing::info!(upstream = upstream.0, "upstream gone");
        }
        self.dispatch_decisions();
    }

    /// Notes the run of a keyed request that was expected to take `expected`.
    pub fn record_run_time(&self, upstream: Upstream, took: Duration, expected: Duration) {
        let relative = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let mut run_times = self.run_times.borrow_mut();
        let total = run_times.entry(upstream).or_default();
        *total = (total.0 + 1, total.1 + (relative * 1_000.0) as u64);
    }

    /// Takes the runs since the last report, by id of the upstream.
    pub fn take_run_times(&self) -> Vec<(String, u32, u64)> {
        let directory = self.directory.borrow();
        let run_times = std::mem::take(&mut *self.run_times.borrow_mut());
        run_times
            .into_iter()
            .filter_map(|(upstream, (runs, sum))| {
                let record = directory.get(upstream)?;
                Some((record.registration.id.clone(), runs, sum))
            })
            .collect()
    }

    /// Keeps an idle connection, within this instance's part of the upstream's
    /// limit. A fifth of the limit is left for connections in use beyond it.
    pub fn return_connection(
        &self,
        now: Time,
        upstream: Upstream,
        link: Connection,
        answer: &HeaderMap,
    ) {
        let directory = self.directory.borrow();
        let record = directory.get(upstream);
        let limit = record.and_then(|record| {
            let table = self.route_table.borrow();
            let service = table.service(&record.registration.service)?;
            Some(service.max_connections)
        });
        let instances = self.members.borrow().len() + 1;
        let most = limit.map_or(1, |limit| (limit * 4 / 5 / instances).max(1));
        self.pool.put_idle(now, upstream, link, answer, most);
    }

    /// Passes decisions to the tasks that wait for them.
    pub fn dispatch_decisions(&self) {
        let now = self.clock.now();
        let decisions = self.queue.borrow_mut().decide(now, self);
        let mut waiters = self.waiters.borrow_mut();
        for (ticket, decision) in decisions {
            if let Some(waiter) = waiters.remove(&ticket) {
                // The waiter cancels its ticket before it goes away.
                waiter.send(decision).ok();
            }
        }
        self.metrics
            .waiting_requests
            .set(self.queue.borrow().len() as i64);
    }

    /// Takes a newer map of owners; false if it is not newer.
    pub fn adopt_owner_map(&self, map: OwnerMap) -> bool {
        if map.revision() <= self.owner_map.borrow().revision() {
            return false;
        }
        let unknown = {
            let directory = self.directory.borrow();
            let mut owners = map.services.values().flatten();
            owners.any(|slice| {
                let owner = slice.owner.as_ref();
                owner.is_some_and(|owner| directory.find(&owner.id).is_none())
            })
        };
        if unknown {
            self.directory_feed.refresh();
        }
        tracing::info!(epoch = map.epoch, version = map.version, "owners changed");
        *self.owner_map.borrow_mut() = map;
        self.owner_map_received.set(self.clock.now());
        self.dispatch_decisions();
        true
    }
}

impl UpstreamLookup for State {
    fn availability(&self, service: &str, key: Option<u16>) -> Availability {
        let now = self.clock.now();
        let directory = self.directory.borrow();
        let settings = self.settings.borrow();
        let candidate = |upstream, record: &UpstreamRecord| Candidate {
            upstream,
            slots: record.registration.slots,
            cross_domain: record.registration.domain != settings.domain,
            warming_up: now < record.warm_at,
        };
        let Some(key) = key else {
            let usable = directory.usable();
            let candidates = usable
                .filter(|(_, record)| record.registration.service == service)
                .map(|(upstream, record)| candidate(upstream, record));
            return Availability {
                candidates: candidates.collect(),
                available_at: None,
            };
        };
        let mut availability = Availability {
            candidates: Vec::new(),
            available_at: None,
        };
        let view = self.owner_map.borrow();
        let Some(slice) = view.range_of(service, key) else {
            return availability;
        };
        let Some(owner) = &slice.owner else {
            let wait = Duration::from_millis(slice.wait_ms.into());
            availability.available_at = Some(now.max(self.owner_map_received.get() + wait));
            return availability;
        };
        let found = directory.find(&owner.id);
        let current = found.filter(|(_, record)| record.registration.born == owner.born);
        availability
            .candidates
            .extend(current.and_then(|(upstream, record)| {
                let accepts_until_drained = record.leaving_since.is_some_and(|since| {
                    now < since + settings.drain_limit.saturating_sub(DRAIN_RESERVE)
                });
                (record.usable || accepts_until_drained).then(|| candidate(upstream, record))
            }));
        availability
    }
}
