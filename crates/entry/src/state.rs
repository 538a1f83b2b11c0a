//! State shared by the tasks of an instance, all of which run on one thread.

mod members;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use medlarreel_core::entry::directory::{ABSENCE_PERIOD, Directory, UpstreamRecord};
use medlarreel_core::entry::doubt::Doubts;
use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::evacuation::{EVACUATED_WAIT, Evacuations};
use medlarreel_core::entry::in_flight::BodiesInFlight;
use medlarreel_core::entry::leadership::Leadership;
use medlarreel_core::entry::ledger::{Ledger, LedgerSnapshot};
use medlarreel_core::entry::limiter::Limiter;
use medlarreel_core::entry::map::{ChangeLog, Owner, OwnerMap, OwnerMapChange};
use medlarreel_core::entry::queue::{
    Availability, Candidate, Decision, Queue, Ticket, UpstreamLookup,
};
use medlarreel_core::entry::routes::{RouteTable, TrafficSplitter};
use medlarreel_core::entry::suspects::{Fingerprint, Suspects, Trials};
use medlarreel_core::entry::transfer::{FinalReport, Offer, Preparation, Request};
use medlarreel_core::entry::warmup;
use medlarreel_core::ids::Upstream;
use medlarreel_core::retry::ServiceBudgets;
use medlarreel_core::time::Time;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;

pub use members::Member;

use crate::callers::Callers;
use crate::clock::Clock;
use crate::connection::Connection;
use crate::crashes::outbox::{Abandoned, Outbox};
use crate::crashes::pending::PendingTrials;
use crate::identity::Claim;
use crate::link::Link;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::reader::feed::{Feed, Topic};
use crate::settings::Settings;

/// Safety margin within the drain limit of a leaving upstream, for requests in flight and
/// for the delay with which registrations are read: messages and requests wait for up to half
/// a second each on a congested link of 10 Mbit/s.
const DRAIN_RESERVE: Duration = Duration::from_millis(700);

/// Time without a response from the store that counts as an outage.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Fraction of `retry_ratio` that an instance applies to the requests it receives. The
/// ratio limits all instances together, and they receive uneven parts of the requests.
const INSTANCE_BUDGET_SHARE: f64 = 0.5;

/// Leadership that passes from one instance to another.
#[derive(Debug)]
pub struct PendingTransfer {
    /// Ledger of the leader that has stopped.
    pub snapshot: LedgerSnapshot,
    /// Nonce of its records in the store.
    pub nonce: u64,
    /// Last known end offset of the leader's topic.
    pub end: u64,
    /// Time at which its last successful write was sent.
    pub confirmed_at: Time,
    /// Upstreams that have answered it since this instance had connected to them.
    pub verified: Vec<SocketAddr>,
}

/// Leadership that this instance transfers to another one because it is stopping.
#[derive(Debug)]
pub struct OutgoingTransfer {
    /// The offer, and who may accept it.
    pub offer: Offer,
    /// Nonce of the successor's latest request.
    pub request: u64,
    /// Time from which the successor is known to be connected to the upstreams.
    pub connected_at: Option<Time>,
    /// What the successor takes over besides the ledger; `None` until this instance has
    /// stepped down.
    pub terms: Option<TransferTerms>,
}

/// What a successor takes over besides the ledger.
#[derive(Clone, Debug)]
pub struct TransferTerms {
    /// Nonce of this instance's records in the store.
    pub nonce: u64,
    /// Last known end offset of the leader's topic.
    pub end: u64,
    /// Time at which its last successful write was sent.
    pub confirmed_at: Time,
    /// Upstreams that have answered this instance since the successor had connected to them.
    pub verified: Vec<SocketAddr>,
}

/// Minimum interval between two full owner maps or snapshots that an instance sends on
/// request. For hundreds of upstreams they take 30 to 50 kB, and the smallest links carry
/// 20 Mbit/s.
const BULK_MESSAGE_INTERVAL: Duration = Duration::from_millis(30);

/// Reachability of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// Time of the last response to this instance or, as far as known, to the leader;
    /// `None` before the first.
    pub last_response: Option<Time>,
    /// Time of the first response after the last outage; `None` if there was no outage.
    pub recovered_at: Option<Time>,
    /// Whether the last call of this instance failed.
    pub failing: bool,
}

/// State of an instance.
#[derive(Debug)]
pub struct State {
    /// Current settings, replaced on a reload. Changes of the addresses and of the retry
    /// ratio, memory, descriptors and link take effect only after a restart, and a changed lease duration when this
    /// instance next becomes leader. The processor time is announced only at startup.
    pub settings: RefCell<Settings>,
    /// Clock of the process.
    pub clock: Clock,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Routes and services of the configuration in force.
    pub route_table: RefCell<Rc<RouteTable>>,
    /// Encoded configuration in force; `None` before the first.
    pub config_record: RefCell<Option<Vec<u8>>>,
    /// Failure domains that the operator has evacuated.
    pub evacuations: RefCell<Evacuations>,
    /// Distribution of the requests of routes with a traffic split.
    pub traffic_splitter: RefCell<TrafficSplitter>,
    /// Registered upstreams.
    pub directory: RefCell<Directory>,
    /// Read state of the configuration topic.
    pub config_feed: Feed,
    /// Read state of the registration topic.
    pub directory_feed: Feed,
    /// Owners of the keys of all services.
    pub owner_map: RefCell<OwnerMap>,
    /// Ranges of the owner map whose owner has refused a request.
    pub doubts: RefCell<Doubts>,
    /// Recent changes of the owner map.
    pub owner_changes: RefCell<ChangeLog>,
    /// Time of the last request for an owner map.
    pub owners_requested: Cell<Option<Time>>,
    /// Time at which this instance last sent a full owner map or a snapshot on request.
    bulk_message_sent: Cell<Option<Time>>,
    /// Number of messages broadcast so far; selects the relays of the next one.
    broadcasts: Cell<u64>,
    /// Time at which the owner map was adopted.
    pub owner_map_received: Cell<Time>,
    /// Waiting requests and free capacity of upstreams.
    pub queue: RefCell<Queue>,
    /// Division of the rate limits of upstreams; empty unless this instance leads.
    pub limiter: RefCell<Limiter>,
    /// Versions of the warm-ups and of the configuration from which the cold upstreams of
    /// the queue were taken.
    cold_versions: Cell<(u64, u64)>,
    /// Upstreams whose claim to a contested address was verified lately, and when.
    pub claims_verified: RefCell<HashMap<Upstream, Time>>,
    /// Wakes the task that exchanges permits.
    pub permits_wanted: Notify,
    /// Requests that are suspected of crashing upstreams.
    pub suspects: RefCell<Suspects>,
    /// Wakes requests that wait when another request is blocked.
    pub suspects_changed: Notify,
    /// Time of the last request for the leader's blocked requests.
    pub suspects_synchronized: Cell<Option<Time>>,
    /// Requests under which connections have ended, by the upstream that may have crashed.
    pub lost_connections: RefCell<HashMap<Upstream, Vec<Fingerprint>>>,
    /// Trials of suspected requests; empty unless this instance leads.
    pub trials: RefCell<Trials>,
    /// Trials of this instance.
    pub local_trials: PendingTrials,
    /// Socket for messages about trials; `None` during the start.
    pub trial_socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Requests that were given up without a response, in the order of time.
    pub abandoned: RefCell<VecDeque<Abandoned>>,
    /// Crashes and acquittals that the other instances are to be told.
    pub crash_outbox: RefCell<Outbox>,
    /// Wakes the task that sends them.
    pub crash_news: Notify,
    /// Channels to the tasks that wait for a queue decision.
    pub waiters: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
    /// Retry budget of each service.
    pub retry_budgets: RefCell<ServiceBudgets>,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// Idle connections that are kept for orders.
    pub order_pool: Pool,
    /// Memory that bodies and connections of callers hold.
    pub memory: Memory,
    /// Bytes of request bodies in flight to upstreams.
    pub bodies_in_flight: RefCell<BodiesInFlight>,
    /// Network link of this machine.
    pub link: Link,
    /// Open connections of callers.
    pub callers: Rc<Callers>,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Which instance leads.
    pub leadership: RefCell<Leadership>,
    /// Ledger of key ownership; `Some` while this instance leads.
    pub ledger: RefCell<Option<Ledger>>,
    /// Era of the store in which this process has first reached it.
    pub first_era: Cell<Era>,
    /// Whether the registrations were read before the store was last restored, so that all
    /// upstreams that may hold keys are known once they have registered again.
    pub knows_former_upstreams: Cell<bool>,
    /// What this instance knew of grants when it last stepped down as leader.
    pub last_report: RefCell<Option<FinalReport>>,
    /// Orders in flight to upstreams.
    pub orders: RefCell<JoinSet<()>>,
    /// Nonce of this instance's records in the leader's topic, and end offset of the
    /// topic. Set after each completed write as the leader, and kept after stepping down.
    pub leader_topic: Cell<Option<(u64, u64)>>,
    /// Leadership that was transferred to this instance but not taken over yet.
    pub pending_transfer: RefCell<Option<PendingTransfer>>,
    /// Latest request of this instance for an offered leadership.
    pub transfer_request: RefCell<Request>,
    /// Leadership that this instance offers or has given up because it is stopping.
    pub outgoing_transfer: RefCell<Option<OutgoingTransfer>>,
    /// Preparation for the latest leadership that was offered to this instance.
    pub preparation: RefCell<Preparation>,
    /// Other instances, by name.
    pub members: RefCell<BTreeMap<String, Member>>,
    /// Whether the other instances have been loaded from the store.
    pub has_joined: Cell<bool>,
    /// Reachability of the store.
    pub store_health: Cell<StoreHealth>,
    /// Highest era of the store that this instance has seen or heard of.
    pub store_era: Cell<Era>,
    /// Whether the instance is shutting down.
    pub stopping: Cell<bool>,
    /// Whether requests are refused as soon as they have been read, late in a shutdown.
    pub refusing: Cell<bool>,
    /// Time by which all requests must have a response, once the instance is shutting down.
    pub stop_at: watch::Sender<Option<Time>>,
    /// Request counts by service and key since the last report to the leader. On the
    /// leader they include the reports received since its last rebalancing pass.
    pub key_counts: RefCell<HashMap<String, HashMap<u16, u32>>>,
    /// Runs of keyed requests since the last report, by upstream: the number of runs, and
    /// the sum of their run times relative to the average of the route, in thousandths.
    /// On the leader they include received reports, as in `key_counts`.
    pub run_times: RefCell<HashMap<Upstream, (u32, u64)>>,
    /// Id and start of upstreams that have said that they are leaving since the last report.
    pub leaving_upstreams: RefCell<Vec<(String, u64)>>,
    /// Id and start of upstreams that have refused a connection and that the other instances
    /// are to be told of.
    pub absent_upstreams: RefCell<Vec<(String, u64)>>,
    next_ticket: Cell<u64>,
}

impl State {
    /// Creates the state of an instance that has just started.
    pub fn new(settings: Settings) -> Rc<State> {
        let clock = Clock::start();
        let now = clock.now();
        let percent = (settings.retry_ratio * INSTANCE_BUDGET_SHARE * 100.0) as u8;
        let started = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let memory = Memory::new(clock, settings.memory);
        let link = Link::new(clock, settings.link);
        let callers = Callers::new(clock, memory.clone(), settings.descriptors);
        Rc::new(State {
            settings: RefCell::new(settings),
            clock,
            started,
            route_table: RefCell::default(),
            config_record: RefCell::default(),
            evacuations: RefCell::default(),
            traffic_splitter: RefCell::default(),
            directory: RefCell::default(),
            config_feed: Feed::default(),
            directory_feed: Feed::default(),
            owner_map: RefCell::default(),
            doubts: RefCell::default(),
            owner_changes: RefCell::default(),
            owners_requested: Cell::default(),
            bulk_message_sent: Cell::default(),
            broadcasts: Cell::default(),
            owner_map_received: Cell::default(),
            queue: RefCell::default(),
            limiter: RefCell::default(),
            cold_versions: Cell::default(),
            claims_verified: RefCell::default(),
            permits_wanted: Notify::new(),
            suspects: RefCell::default(),
            suspects_changed: Notify::new(),
            suspects_synchronized: Cell::default(),
            lost_connections: RefCell::default(),
            trials: RefCell::default(),
            local_trials: PendingTrials::default(),
            trial_socket: RefCell::default(),
            abandoned: RefCell::default(),
            crash_outbox: RefCell::default(),
            crash_news: Notify::new(),
            waiters: RefCell::default(),
            retry_budgets: RefCell::new(ServiceBudgets::new(percent)),
            pool: Pool::default(),
            order_pool: Pool::default(),
            memory,
            bodies_in_flight: RefCell::default(),
            link,
            callers,
            metrics: Metrics::default(),
            leadership: RefCell::new(Leadership::new(now)),
            ledger: RefCell::default(),
            first_era: Cell::default(),
            knows_former_upstreams: Cell::default(),
            last_report: RefCell::default(),
            orders: RefCell::default(),
            leader_topic: Cell::default(),
            pending_transfer: RefCell::default(),
            transfer_request: RefCell::default(),
            outgoing_transfer: RefCell::default(),
            preparation: RefCell::default(),
            members: RefCell::default(),
            has_joined: Cell::default(),
            store_health: Cell::default(),
            store_era: Cell::default(),
            stopping: Cell::new(false),
            refusing: Cell::new(false),
            stop_at: watch::channel(None).0,
            key_counts: RefCell::default(),
            run_times: RefCell::default(),
            leaving_upstreams: RefCell::default(),
            absent_upstreams: RefCell::default(),
            next_ticket: Cell::new(0),
        })
    }

    /// Waits until `lead` before the time by which all requests must have a response. Does
    /// not return unless the instance is shutting down.
    pub async fn wait_for_stop(&self, lead: Duration) {
        let mut stop_at = self.stop_at.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let stop_at = stop_at.wait_for(Option::is_some).await;
        let stop_at = stop_at.ok().and_then(|stop_at| *stop_at);
        let until = stop_at.map_or(Time(0), |stop_at| stop_at - lead);
        tokio::time::sleep(until.since(self.clock.now())).await;
    }

    /// Returns the name of this instance.
    pub fn name(&self) -> String {
        self.settings.borrow().name.clone()
    }

    /// Returns a new unique ticket for a waiting request.
    pub fn new_ticket(&self) -> Ticket {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        Ticket(ticket)
    }

    /// Returns the read state of a topic.
    pub fn feed(&self, topic: Topic) -> &Feed {
        match topic {
            Topic::Config => &self.config_feed,
            Topic::Directory => &self.directory_feed,
        }
    }

    /// Whether the registrations have been read at least once.
    pub fn is_directory_loaded(&self) -> bool {
        self.directory_feed.is_loaded()
    }

    /// Whether this instance can serve requests.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.route_table.borrow().is_loaded() && self.is_directory_loaded()
    }

    /// Whether this instance can take over from the leader of an epoch, which has stopped.
    pub fn can_take_over(&self, epoch: u64) -> bool {
        !self.stopping.get() && self.leadership.borrow().accepts_transfer(epoch)
    }

    /// Records the result of a call to the store.
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

    /// Records that the store has responded to this instance or to the leader.
    pub fn record_store_contact(&self) {
        let now = self.clock.now();
        let mut health = self.store_health.get();
        // Connections fail and recover independently; only a gap in the responses on all
        // of them is an outage.
        if health
            .last_response
            .is_some_and(|last| now.since(last) > OUTAGE_THRESHOLD)
        {
            health.recovered_at = Some(now);
        }
        health.last_response = Some(now);
        self.store_health.set(health);
    }

    /// Records the era that the store or another instance has named. Lower ones are
    /// ignored: responses on different connections can arrive out of order.
    pub fn observe_store_era(&self, era: Era) {
        let before = self.store_era.get();
        if era <= before {
            return;
        }
        self.store_era.set(era);
        for topic in Topic::ALL {
            self.feed(topic).observe_era(era);
        }
        if !before.is_known() {
            self.first_era.set(era);
            return;
        }
        tracing::info!(era = era.0, before = before.0, "store restored from a copy");
        self.knows_former_upstreams.set(self.is_directory_loaded());
        self.metrics.store_restores.inc();
        // Upstreams register again even if the outage was too short to be noticed.
        let mut health = self.store_health.get();
        health.recovered_at = Some(self.clock.now());
        self.store_health.set(health);
    }

    /// Adds a request to the retry budget of its service.
    pub fn earn_retry_budget(&self, now: Time, service: &str) {
        self.retry_budgets
            .borrow_mut()
            .for_service(now, service)
            .record_request(now);
    }

    /// Finds an incarnation of an upstream, if it is the latest one under its id.
    pub fn find_incarnation(&self, id: &str, born: u64) -> Option<Upstream> {
        let directory = self.directory.borrow();
        let (upstream, record) = directory.find(id)?;
        (record.registration.born == born).then_some(upstream)
    }

    /// Records that upstreams, named by id and start, have said that they are leaving.
    pub fn record_all_leaving(&self, upstreams: &[(String, u64)]) {
        for (id, born) in upstreams {
            if let Some(upstream) = self.find_incarnation(id, *born) {
                self.record_leaving(upstream);
            }
        }
    }

    /// Records that an upstream has said that it is leaving, here or at another instance.
    pub fn record_leaving(&self, upstream: Upstream) {
        let now = self.clock.now();
        let mut directory = self.directory.borrow_mut();
        if !directory.record_leaving(now, upstream) {
            return;
        }
        let record = directory.get(upstream);
        let registration = record.map(|record| &record.registration);
        if let Some(registration) = registration {
            tracing::info!(
                upstream = registration.id,
                "upstream says that it is leaving"
            );
            let incarnation = (registration.id.clone(), registration.born);
            self.leaving_upstreams.borrow_mut().push(incarnation);
        }
    }

    /// Sets the gauges of what this instance believes of upstreams and requests. These also
    /// change by time alone.
    pub fn update_gauges(&self) {
        let (limited, cold) = {
            let mut queue = self.queue.borrow_mut();
            let permits = queue.permits();
            permits.end_cold(self.clock.now());
            (permits.limited_count(), permits.cold_count())
        };
        let suspects = self.suspects.borrow();
        let (suspected, blocked) = (
            suspects.suspect_count(),
            suspects.blocked_count(self.clock.now()),
        );
        let (held, _, evictions) = self.memory.usage();
        let counted = self.metrics.evictions.get();
        self.metrics.evictions.inc_by(evictions - counted);
        self.metrics.held_bytes.set(held as i64);
        let pending = self.link.pending();
        self.metrics.link_pending_bytes.set(pending as i64);
        self.metrics
            .connections
            .set(self.callers.open_count() as i64);
        self.metrics.limited_upstreams.set(limited as i64);
        self.metrics.cold_upstreams.set(cold as i64);
        self.metrics.suspected_requests.set(suspected as i64);
        self.metrics.blocked_requests.set(blocked as i64);
        let evacuations = self.evacuations.borrow();
        self.metrics
            .evacuated_domains
            .set(evacuations.count() as i64);
        self.metrics.evacuated_keys.set(self.evacuated_key_count());
    }

    /// Number of keys, of all services, that upstreams of evacuated domains own.
    fn evacuated_key_count(&self) -> i64 {
        let evacuations = self.evacuations.borrow();
        if evacuations.is_empty() {
            return 0;
        }
        let directory = self.directory.borrow();
        let is_evacuated = |owner: &Owner| {
            let found = directory.find(&owner.id);
            found.is_some_and(|(_, record)| evacuations.is_evacuated(&record.registration.domain))
        };
        let owner_map = self.owner_map.borrow();
        let ranges = owner_map.services.values().flatten();
        ranges
            .filter(|range| range.owner.as_ref().is_some_and(is_evacuated))
            .map(|range| i64::from(range.last) - i64::from(range.first) + 1)
            .sum()
    }

    /// Removes all registrations whose removal is due, and applies those that count again
    /// from now on.
    pub fn expire_registrations(&self) {
        let now = self.clock.now();
        let as_of = self.directory_feed.as_of();
        let mut directory = self.directory.borrow_mut();
        let removed = directory.expire(now);
        let returned = directory.apply_returns(now, as_of);
        drop(directory);
        if removed.is_empty() && returned.is_empty() {
            return;
        }
        for upstream in removed {
            tracing::info!(upstream = upstream.0, "upstream gone");
        }
        for upstream in returned {
            tracing::info!(upstream = upstream.0, "upstream registered again");
        }
        self.dispatch_decisions();
    }

    /// Records the run time of a keyed request relative to the expected run time.
    pub fn record_run_time(&self, upstream: Upstream, took: Duration, expected: Duration) {
        let relative = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let mut run_times = self.run_times.borrow_mut();
        let total = run_times.entry(upstream).or_default();
        *total = (total.0 + 1, total.1 + (relative * 1_000.0) as u64);
    }

    /// Takes the run times recorded since the last report: upstream ID, number of runs,
    /// and sum of the relative run times in thousandths.
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

    /// Returns a connection to the pool, which keeps as many idle ones as the share of this
    /// instance leaves.
    pub fn return_connection(
        &self,
        now: Time,
        upstream: Upstream,
        connection: Connection,
        response_headers: &HeaderMap,
    ) {
        let max_idle = self.queue.borrow().max_idle_after_return(upstream);
        self.pool
            .put_idle(now, upstream, connection, response_headers, max_idle);
    }

    /// Whether an upstream is cold and its service names a rate for cold upstreams.
    pub fn is_cold(&self, now: Time, upstream: Upstream) -> bool {
        let directory = self.directory.borrow();
        let table = self.route_table.borrow();
        let cold = directory
            .get(upstream)
            .filter(|record| now < record.warm_at);
        let service = cold.and_then(|record| table.service(&record.registration.service));
        service.is_some_and(|service| service.warmup_rate.is_some())
    }

    /// Warm-up of an upstream whose service names a rate for cold ones.
    fn limited_warmup(&self, upstream: Upstream) -> Option<Duration> {
        let directory = self.directory.borrow();
        let record = directory.get(upstream)?;
        let table = self.route_table.borrow();
        let service = table.service(&record.registration.service)?;
        service.warmup_rate.map(|_| service.warmup)
    }

    /// Records that the address of an upstream has refused a connection. One that listens
    /// there again may be cold, whether or not its id is another.
    pub fn record_absence(&self, upstream: Upstream) {
        if self.limited_warmup(upstream).is_none() {
            return;
        }
        let now = self.clock.now();
        let until = now + ABSENCE_PERIOD;
        let is_new = {
            let mut directory = self.directory.borrow_mut();
            directory.record_absence(now, upstream, until)
        };
        if is_new {
            self.log_absence(upstream, "connection");
            let incarnation = self.incarnation(upstream);
            self.absent_upstreams.borrow_mut().extend(incarnation);
            self.permits_wanted.notify_one();
        }
    }

    /// Records that upstreams, named by id and start, have refused a connection of another
    /// instance. Returns those for which that was not known.
    pub fn record_all_absent(&self, upstreams: Vec<(String, u64)>) -> Vec<(String, u64)> {
        let now = self.clock.now();
        let mut unknown = upstreams;
        unknown.retain(|(id, born)| {
            let Some(upstream) = self.find_incarnation(id, *born) else {
                return false;
            };
            let until = now + ABSENCE_PERIOD;
            let mut directory = self.directory.borrow_mut();
            let is_new = directory.record_absence(now, upstream, until);
            drop(directory);
            if is_new {
                self.log_absence(upstream, "instance");
            }
            is_new
        });
        unknown
    }

    /// Records that an upstream has accepted a connection or kept one open.
    pub fn record_return(&self, upstream: Upstream) {
        if let Some(warmup) = self.limited_warmup(upstream) {
            let now = self.clock.now();
            let mut directory = self.directory.borrow_mut();
            directory.record_return(now, upstream, warmup);
        }
    }

    /// The claim of an upstream to its address; `None` if its service has no health checks.
    pub fn claim(&self, upstream: Upstream) -> Option<Claim> {
        let directory = self.directory.borrow();
        let registration = &directory.get(upstream)?.registration;
        let table = self.route_table.borrow();
        let service = table.service(&registration.service)?;
        Some(Claim {
            id: registration.id.clone(),
            address: registration.address,
            health_path: service.health_path.clone()?,
            is_contested: directory.has_rival(upstream),
        })
    }

    /// Records that an upstream has answered under its id what was sent to it at `sent`.
    pub fn record_answer(&self, upstream: Upstream, sent: Time) {
        let now = self.clock.now();
        let mut directory = self.directory.borrow_mut();
        let displaced = directory.record_answer(now, sent, upstream);
        for rival in displaced {
            log_displacement(&directory, rival);
        }
    }

    /// Records that the address of an upstream has answered as another one.
    pub fn record_displacement(&self, upstream: Upstream) {
        let now = self.clock.now();
        let mut directory = self.directory.borrow_mut();
        if directory.record_displacement(now, upstream) {
            log_displacement(&directory, upstream);
        }
    }

    fn incarnation(&self, upstream: Upstream) -> Option<(String, u64)> {
        let directory = self.directory.borrow();
        let registration = &directory.get(upstream)?.registration;
        Some((registration.id.clone(), registration.born))
    }

    /// Logs that an upstream may have ended. `source` is where this was seen: by a
    /// `connection` of this instance, or by another `instance`.
    fn log_absence(&self, upstream: Upstream, source: &str) {
        let id = self.incarnation(upstream).map(|(id, _)| id);
        tracing::info!(
            upstream = id,
            source,
            "upstream refuses connections, counts as cold"
        );
    }

    /// Limits the rate of requests to the upstreams that are cold now, if others are than
    /// before. Each decision depends on it, so that it is called before each.
    fn limit_cold_upstreams(&self, now: Time) {
        let directory = self.directory.borrow();
        let table = self.route_table.borrow();
        let versions = (directory.warmth_version(), table.config().version);
        if self.cold_versions.replace(versions) == versions {
            return;
        }
        let settings = self.settings.borrow();
        let (overage, slack) = (settings.warmup_overage, settings.warmup_slack);
        let cold = warmup::cold_upstreams(now, &directory, &table, overage, slack);
        let mut queue = self.queue.borrow_mut();
        let before = queue.permits().cold_count();
        queue.permits().set_cold(now, &cold);
        let count = queue.permits().cold_count();
        if count != before {
            tracing::info!(count, before, "cold upstreams of limited rate");
        }
    }

    /// Decides on the queued requests that can be sent or must be refused now, and passes
    /// the decisions to the tasks that wait for them.
    pub fn dispatch_decisions(&self) {
        let now = self.clock.now();
        self.limit_cold_upstreams(now);
        let decisions = self.queue.borrow_mut().decide(now, self);
        if self.queue.borrow_mut().permits().is_active() {
            self.permits_wanted.notify_one();
        }
        let mut waiters = self.waiters.borrow_mut();
        for (ticket, decision) in decisions {
            if let Some(waiter) = waiters.remove(&ticket) {
                // The send cannot fail: `QueueEntry` removes its waiter from this map
                // before it drops the receiver.
                waiter.send(decision).ok();
            }
        }
        self.metrics
            .waiting_requests
            .set(self.queue.borrow().len() as i64);
    }

    /// Adopts an owner map. Returns false if it is not newer than the current one.
    pub fn adopt_owner_map(&self, map: OwnerMap) -> bool {
        if map.revision() <= self.owner_map.borrow().revision() {
            return false;
        }
        *self.owner_map.borrow_mut() = map;
        self.use_new_owners();
        true
    }

    /// Applies a change of the owner map. Returns false if the change is based on a map
    /// that this instance does not have.
    pub fn apply_owner_change(&self, change: OwnerMapChange) -> bool {
        if change.to <= self.owner_map.borrow().revision() {
            return true;
        }
        if !self.owner_map.borrow_mut().apply(change.clone()) {
            return false;
        }
        self.owner_changes.borrow_mut().record(change);
        self.use_new_owners();
        true
    }

    /// Continues with the owner map that was just adopted.
    fn use_new_owners(&self) {
        let has_unknown_owner = {
            let directory = self.directory.borrow();
            let map = self.owner_map.borrow();
            let mut owners = map.services.values().flatten();
            owners.any(|range| {
                let owner = range.owner.as_ref();
                owner.is_some_and(|owner| directory.find(&owner.id).is_none())
            })
        };
        if has_unknown_owner {
            self.directory_feed.mark_behind(self.clock.now());
        }
        let (epoch, version) = self.owner_map.borrow().revision();
        tracing::info!(epoch, version, "owners changed");
        self.owner_map_received.set(self.clock.now());
        self.dispatch_decisions();
    }

    /// Records whether the owner of a key has run a request for it or has refused to
    /// because it does not hold the key.
    pub fn record_ownership(&self, owner: Upstream, service: &str, key: u16, held: bool) {
        let map = self.owner_map.borrow();
        let Some(range) = map.range_of(service, key) else {
            return;
        };
        let mut doubts = self.doubts.borrow_mut();
        match held {
            true => doubts.clear(owner, range.first),
            false => doubts.record(self.clock.now(), owner, range.first),
        }
    }

    /// Epoch and version of the owner map that was last broadcast, if this instance leads.
    pub fn published_revision(&self) -> Option<(u64, u64)> {
        let epoch = self.leadership.borrow().epoch()?;
        let revision = self.owner_map.borrow().revision();
        (revision.0 == epoch).then_some(revision)
    }

    /// Whether a full owner map or a snapshot may be sent on request now; records that one
    /// is sent.
    pub fn allow_bulk_message(&self) -> bool {
        let now = self.clock.now();
        let sent = self.bulk_message_sent.get();
        let allowed = sent.is_none_or(|sent| now.since(sent) >= BULK_MESSAGE_INTERVAL);
        if allowed {
            self.bulk_message_sent.set(Some(now));
        }
        allowed
    }
}

fn log_displacement(directory: &Directory, upstream: Upstream) {
    if let Some(record) = directory.get(upstream) {
        let registration = &record.registration;
        tracing::info!(
            upstream = registration.id,
            service = registration.service,
            address = %registration.address,
            "another upstream listens at this address"
        );
    }
}

impl UpstreamLookup for State {
    fn availability(&self, service: &str, key: Option<u16>) -> Availability {
        let now = self.clock.now();
        let directory = self.directory.borrow();
        let settings = self.settings.borrow();
        let evacuations = self.evacuations.borrow();
        let table = self.route_table.borrow();
        let candidate = |upstream, record: &UpstreamRecord| Candidate {
            upstream,
            slots: record.registration.slots,
            cross_domain: record.registration.domain != settings.domain,
            warming_up: now < record.warm_at,
            doubtful: directory.is_doubtful(upstream, |service| table.service(service).is_some()),
        };
        let Some(key) = key else {
            let usable = directory.usable();
            let mut usable = usable
                .filter(|(_, record)| record.registration.service == service)
                .peekable();
            let has_usable = usable.peek().is_some();
            let candidates: Vec<Candidate> = usable
                .filter(|(_, record)| !evacuations.is_evacuated(&record.registration.domain))
                .map(|(upstream, record)| candidate(upstream, record))
                .collect();
            let only_evacuated = has_usable && candidates.is_empty();
            return Availability {
                candidates,
                available_at: only_evacuated.then(|| now + EVACUATED_WAIT),
            };
        };
        let mut availability = Availability {
            candidates: Vec::new(),
            available_at: None,
        };
        let owner_map = self.owner_map.borrow();
        let Some(range) = owner_map.range_of(service, key) else {
            return availability;
        };
        let Some(owner) = &range.owner else {
            let wait = Duration::from_millis(range.wait_ms.into());
            availability.available_at = Some(now.max(self.owner_map_received.get() + wait));
            return availability;
        };
        let found = directory.find(&owner.id);
        let current = found.filter(|(_, record)| record.registration.born == owner.born);
        let doubted_until = current.and_then(|(upstream, _)| {
            let doubts = self.doubts.borrow();
            doubts.until(now, upstream, range.first)
        });
        if doubted_until.is_some() {
            availability.available_at = doubted_until;
            return availability;
        }
        let is_admitted = current.is_none_or(|(_, record)| {
            let domain = &record.registration.domain;
            evacuations.admits_owner(now, domain, settings.evacuation_limit)
        });
        if !is_admitted {
            availability.available_at = Some(now + EVACUATED_WAIT);
            return availability;
        }
        availability
            .candidates
            .extend(current.and_then(|(upstream, record)| {
                let is_within_drain_limit = record.leaving_since.is_some_and(|since| {
                    now < since + settings.drain_limit.saturating_sub(DRAIN_RESERVE)
                });
                (record.usable || is_within_drain_limit).then(|| candidate(upstream, record))
            }));
        availability
    }
}
