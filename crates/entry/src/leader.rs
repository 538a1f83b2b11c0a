//! Leader election and the duties of the leader: maintaining its record in the store,
//! granting keys to upstreams and publishing the owner map.

mod broadcast;
mod demand;
mod handover;
mod order;
mod probe;
mod record;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::directory::{REREGISTRATION_GRACE, Registration};
use medlarreel_core::entry::era::{Era, is_same_claim, transferred_epoch};
use medlarreel_core::entry::evacuation::{self, Occupant};
use medlarreel_core::entry::leadership;
use medlarreel_core::entry::ledger::{self, Ledger};
use medlarreel_core::entry::map::{Owner, OwnerMap};
use medlarreel_core::entry::plan::{self, Candidate, KeyWeights};
use medlarreel_core::entry::warmup::Pace;
use medlarreel_core::time::Time;
use rand::Rng;
use tokio::net::UdpSocket;

use demand::Demand;
pub use handover::{
    accept_request, complete_transfer, prepare_takeover, repeat_report, step_down,
    transfer_leadership,
};
use order::execute_order;
use probe::Probes;
pub use record::join_cluster;
use record::{
    LEADER_TOPIC, RecordWriter, WriteResult, Written, is_complete, leader_record, owners_record,
};

use crate::error::Error;
use crate::identity;
use crate::peers::{self, Message};
use crate::platform::store::StoreClient;
use crate::state::{PendingTransfer, State};

/// Interval at which the leader task checks for due work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The limit of orders per tick grows with the number of ranges, or of upstreams that are
/// asked to release their keys, so that orders for all of them can be sent within about
/// this many ticks. 20 ticks take 1 s, which is less than the renewal interval: a third of
/// a lease, which lasts 4 s unless `hold_max` is smaller.
const TICKS_PER_RENEWAL: usize = 20;

/// Maximum number of orders per tick while the number of ranges is small. A new leader
/// sends orders for all ranges; on a tenth of a core, a hundred simultaneous connections
/// would delay its heartbeats.
const BASE_ORDERS_PER_TICK: usize = 16;

/// Interval between rebalancing passes.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between rebalancing passes while keys leave an evacuated failure domain, so that
/// the pauses between its steps are short beside a run.
const EVACUATION_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum age of the leader's last confirmed write at which keys are still moved. The
/// leader writes about once a second.
const MAX_WRITE_AGE: Duration = Duration::from_millis(2_000);

/// Interval at which an instance that receives no heartbeats reads the leader's record.
const CAMPAIGN_CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// Delay between the time at which the leader first sees a usable upstream of a keyed
/// service and the first placement of its keys, so that further upstreams can register.
const INITIAL_PLACEMENT_DELAY: Duration = Duration::from_millis(1_200);

/// Upper bound for an instance's position in the campaign order.
const MAX_CAMPAIGN_POSITION: u32 = 12;

/// Interval between attempts to claim leadership again after the store was restored.
/// Another instance may claim it `STALE_RECORD_AGE` after the store responds again.
const CLAIM_AGAIN_INTERVAL: Duration = Duration::from_millis(200);

/// Time after its start for which an instance leaves the lead to others while the record of
/// owners is incomplete. Those that were running before know which upstreams may hold keys.
const NEW_INSTANCE_DELAY: Duration = Duration::from_millis(2_500);

/// Delay after a failed attempt to become leader or to write to the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Task that campaigns for leadership and performs the leader's duties.
#[derive(Debug)]
pub struct LeaderTask {
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    /// Time at which the task was created, after this instance had joined the others.
    created: Time,
    /// Writer for the leader's topic; `None` while a write is in progress.
    writer: Option<RecordWriter>,
    /// Writer and result of the last completed write, until it has been processed.
    write_result: Rc<RefCell<Option<(RecordWriter, WriteResult)>>>,
    /// Time at which the last write was started.
    last_append: Time,
    /// Time at which the claim completed, or at which the last successful write since
    /// then was started. Zero after a transfer of leadership, until this instance has
    /// written.
    last_confirmed_write: Time,
    last_heartbeat: Time,
    last_rebalance: Time,
    last_demand_update: Time,
    last_campaign_check: Time,
    /// Time at which each keyed service was first seen with a usable upstream in the
    /// current epoch.
    first_seen: HashMap<String, Time>,
    demand: Demand,
    probes: Rc<Probes>,
    /// Version of the evacuations that the last rebalancing pass used.
    evacuations_version: u64,
    /// Last logged stage of the ledger's recovery.
    recovery_stage: &'static str,
    /// Epoch and version of the last owner map that was broadcast.
    broadcast_revision: (u64, u64),
    last_broadcast: Time,
    /// Number of messages that the last broadcast of an owner map took.
    broadcast_messages: u32,
}

impl LeaderTask {
    /// Creates the task in the follower role.
    pub fn new(state: Rc<State>, socket: Rc<UdpSocket>) -> LeaderTask {
        let store = StoreClient::new(state.settings.borrow().store, state.memory.clone());
        LeaderTask {
            created: state.clock.now(),
            state,
            socket,
            writer: Some(RecordWriter {
                store,
                nonce: rand::rng().random(),
                end: 0,
                era: Era::default(),
            }),
            write_result: Rc::default(),
            last_append: Time(0),
            last_confirmed_write: Time(0),
            last_heartbeat: Time(0),
            last_rebalance: Time(0),
            last_demand_update: Time(0),
            last_campaign_check: Time(0),
            first_seen: HashMap::new(),
            demand: Demand::default(),
            probes: Rc::default(),
            evacuations_version: 0,
            recovery_stage: "complete",
            broadcast_revision: (0, 0),
            last_broadcast: Time(0),
            broadcast_messages: 0,
        }
    }

    /// Campaigns while there is no leader, and performs the leader's duties once elected.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let now = self.state.clock.now();
            if self.state.leadership.borrow().epoch().is_some() {
                self.tick_leader(now).await;
            } else {
                self.tick_follower(now).await;
            }
            self.state.expire_registrations();
            if !self.state.queue.borrow().is_empty() {
                self.state.dispatch_decisions();
            }
        }
    }

    /// Takes over the claim and the ledger of a leader that has stopped.
    fn resume_leadership(&mut self, now: Time, transferred: &PendingTransfer) {
        let before = transferred.snapshot.owners.epoch;
        let (Some(writer), Some(epoch)) = (self.writer.as_mut(), transferred_epoch(before)) else {
            return;
        };
        writer.nonce = transferred.nonce;
        writer.end = transferred.end;
        writer.era = Era::of_epoch(epoch);
        let lease_duration = self.state.settings.borrow().lease_duration;
        let ledger = Ledger::resume(epoch, &transferred.snapshot, lease_duration, now);
        self.last_confirmed_write = Time(0);
        tracing::info!(
            epoch,
            before,
            "leader now, took over from a stopping leader"
        );
        *self.state.ledger.borrow_mut() = Some(ledger);
        let name = self.state.name();
        let mut leadership = self.state.leadership.borrow_mut();
        let connected_at = self.state.preparation.borrow().connected_at(before);
        leadership.take_over(
            &name,
            epoch,
            transferred.confirmed_at,
            transferred.verified.clone(),
            connected_at.unwrap_or(Time(0)),
        );
        drop(leadership);
        self.begin_leading();
    }

    /// Resets the per-epoch state and starts the leader's duties.
    fn begin_leading(&mut self) {
        let epoch = self.state.leadership.borrow().highest_epoch();
        self.state.metrics.is_leader.set(1);
        self.state.metrics.epoch.set(epoch as i64);
        self.first_seen.clear();
        // Send heartbeats at once: they make the predecessor step down and send its
        // resignation.
        self.last_heartbeat = Time(0);
        self.last_rebalance = Time(0);
    }

    /// Takes over a transferred leadership, or campaigns if the leader seems to be gone.
    async fn tick_follower(&mut self, now: Time) {
        if self.state.stopping.get() {
            return;
        }
        if let Some((writer, _)) = self.write_result.take() {
            self.writer = Some(writer);
        }
        // This instance may have learned of a later epoch since it received the transfer.
        if let Some(transferred) = self.state.pending_transfer.take()
            && self.state.can_take_over(transferred.snapshot.owners.epoch)
        {
            self.resume_leadership(now, &transferred);
            return;
        }
        let position = self.campaign_position();
        let reachable = !self.state.store_health.get().failing && self.state.is_directory_loaded();
        if !self
            .state
            .leadership
            .borrow()
            .should_campaign(now, position, reachable)
        {
            return;
        }
        if now.since(self.last_campaign_check) < CAMPAIGN_CHECK_INTERVAL {
            return;
        }
        self.last_campaign_check = now;
        let Some(mut writer) = self.writer.take() else {
            return;
        };
        // The nonce may be that of a leader that transferred leadership to this instance.
        writer.nonce = rand::rng().random();
        let campaign_result = self.campaign(now, &mut writer).await;
        self.state.observe_store_era(writer.store.era());
        self.writer = Some(writer);
        match campaign_result {
            Ok(()) => self.state.record_store_result(true),
            Err(error) => {
                tracing::info!(%error, "failed to become leader");
                let until = self.state.clock.now() + RETRY_DELAY;
                self.state.leadership.borrow_mut().postpone_campaign(until);
            }
        }
    }

    /// Returns this instance's position in the campaign order, which staggers campaigns so
    /// that instances do not start them at the same time. Instances with more processor
    /// time allotted come first, since leading uses some of it.
    fn campaign_position(&self) -> u32 {
        let salt = self.state.leadership.borrow().highest_epoch();
        let rank = |name: &str, cpu_percent: u32| {
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), salt);
            (std::cmp::Reverse(cpu_percent), hash)
        };
        let (name, cpu_percent) = {
            let settings = self.state.settings.borrow();
            (settings.name.clone(), settings.cpu_percent)
        };
        let own_rank = rank(&name, cpu_percent);
        let leader = self
            .state
            .leadership
            .borrow()
            .leader()
            .map(ToOwned::to_owned);
        let members = self.state.members.borrow();
        let ahead = members
            .iter()
            .filter(|(name, _)| Some(*name) != leader.as_ref())
            .filter(|(name, member)| rank(name, member.cpu_percent) < own_rank)
            .count();
        (ahead as u32).min(MAX_CAMPAIGN_POSITION)
    }

    /// Reads the leader's record and claims leadership if there is no record or the
    /// recorded leader is inactive. If it is active, returns `Ok` without a claim.
    async fn campaign(&mut self, now: Time, writer: &mut RecordWriter) -> Result<(), Error> {
        let latest = writer.store.read_latest(LEADER_TOPIC).await?;
        let era = writer.store.era();
        let owners = owners_record(&latest)?;
        let mut predecessor = 0;
        if let Some((offset, record)) = leader_record(&latest)? {
            predecessor = record.epoch(offset);
            // A successor may have recorded owners before itself.
            if let Some(owners) = &owners
                && is_same_claim(owners.epoch, predecessor)
            {
                predecessor = predecessor.max(owners.epoch);
            }
            let mut leadership = self.state.leadership.borrow_mut();
            leadership.observe_heartbeat(now, predecessor, &record.name, false);
            // This instance does not lead, so nothing renews a record under its own name,
            // such as one from before a restart, unless a successor is heard.
            let own = record.name == self.state.name() && leadership.highest_epoch() == predecessor;
            let inactive = own || leadership.observe_topic_end(now, era, latest.next_offset);
            drop(leadership);
            if !inactive {
                if let Some(owners) = owners
                    && owners.epoch > self.state.owner_map.borrow().epoch
                {
                    self.state.adopt_owner_map(owners);
                }
                return Ok(());
            }
        }
        let is_complete = is_complete(owners.as_ref(), era);
        let is_new = now.since(self.created) < NEW_INSTANCE_DELAY;
        if !is_complete && is_new && !self.state.knows_former_upstreams.get() {
            return Ok(());
        }
        let sent_at = self.state.clock.now();
        let epoch = writer.claim(&self.state.name(), latest.next_offset).await?;
        let complete_owners = is_complete.then(|| owners.unwrap_or_default());
        self.become_leader(epoch, predecessor, sent_at, complete_owners);
        Ok(())
    }

    /// Starts leading in a newly claimed epoch. `owners` is the record of owners; `None` if
    /// it does not name all possible holders.
    fn become_leader(
        &mut self,
        epoch: u64,
        predecessor: u64,
        sent_at: Time,
        owners: Option<OwnerMap>,
    ) {
        let now = self.state.clock.now();
        let lease_duration = self.state.settings.borrow().lease_duration;
        let recorded = owners.as_ref().map_or(0, |owners| owners.epoch);
        let is_complete = owners.is_some();
        tracing::info!(epoch, predecessor, recorded, is_complete, "leader now");
        let ledger = if let Some(owners) = owners {
            let mut ledger = Ledger::new(epoch, lease_duration);
            let until = ledger::unknown_grants_end(now, lease_duration);
            ledger.adopt(&owners, predecessor, now, until);
            ledger
        } else {
            // The record of the last leader may be lost as well.
            let predecessor = predecessor.max(self.state.leadership.borrow().highest_epoch());
            let mut ledger = Ledger::without_record(epoch, lease_duration, predecessor, now);
            if self.state.knows_former_upstreams.get() {
                let recovered_at = self.state.store_health.get().recovered_at;
                let registered_by = recovered_at.unwrap_or(now) + REREGISTRATION_GRACE;
                let known_owners = self.state.owner_map.borrow().clone();
                ledger.start_sweep(now, registered_by, known_owners);
            }
            ledger
        };
        (self.last_append, self.last_confirmed_write) = (now, now);
        *self.state.ledger.borrow_mut() = Some(ledger);
        let name = self.state.name();
        self.state
            .leadership
            .borrow_mut()
            .become_leader(&name, epoch, sent_at);
        self.begin_leading();
    }

    async fn tick_leader(&mut self, now: Time) {
        if self.must_claim_again()
            && let Some(ledger) = self.state.ledger.borrow_mut().as_mut()
        {
            ledger.suspend_moves();
        }
        if self.state.leadership.borrow().active_epoch(now).is_some() {
            // Released keys cannot be granted again until a new record has been written.
            let store_writable = now.since(self.last_confirmed_write) < MAX_WRITE_AGE;
            let evacuations_version = self.state.evacuations.borrow().version();
            let is_due = now.since(self.last_rebalance) >= self.rebalance_interval(now)
                || evacuations_version != self.evacuations_version;
            if store_writable && (is_due || self.probes.take_news()) {
                self.last_rebalance = now;
                self.evacuations_version = evacuations_version;
                self.rebalance(now);
            }
            self.send_due_orders(now);
        }
        self.log_recovery();
        self.broadcast_owners(now).await;
        self.maintain_record(now).await;
    }

    /// Logs changes of what this leader knows of the grants in force.
    fn log_recovery(&mut self) {
        let ledger = self.state.ledger.borrow();
        let Some(ledger) = ledger.as_ref() else {
            return;
        };
        let stage = ledger.recovery_stage();
        if stage != self.recovery_stage {
            let (epoch, before) = (ledger.epoch(), self.recovery_stage);
            tracing::info!(epoch, stage, before, "recovery of grants");
            self.recovery_stage = stage;
        }
    }

    /// Whether the store has been restored since this leader claimed its epoch.
    fn must_claim_again(&self) -> bool {
        let epoch = self.state.leadership.borrow().epoch();
        epoch.is_some_and(|epoch| Era::of_epoch(epoch) < self.state.store_era.get())
    }

    fn rebalance_interval(&self, now: Time) -> Duration {
        let limit = self.state.settings.borrow().evacuation_limit;
        match self.state.evacuations.borrow().is_recent(now, limit) {
            true => EVACUATION_INTERVAL,
            false => REBALANCE_INTERVAL,
        }
    }

    /// Plans the owners of the keys of each keyed service and starts the required moves.
    fn rebalance(&mut self, now: Time) {
        // The counts decay by a fixed factor with each update.
        if now.since(self.last_demand_update) >= REBALANCE_INTERVAL {
            self.last_demand_update = now;
            self.demand.update(&self.state);
        }
        let state = Rc::clone(&self.state);
        let mut ledger = state.ledger.borrow_mut();
        let Some(ledger) = ledger.as_mut() else {
            return;
        };
        let table = Rc::clone(&state.route_table.borrow());
        if !table.is_loaded() || !state.is_directory_loaded() {
            return;
        }
        let mut candidates: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
        let directory = state.directory.borrow();
        let is_keyed = |service: &str| table.service(service).is_some_and(|found| found.keyed);
        if state.have_all_started_in(Era::of_epoch(ledger.epoch())) {
            ledger.expect_no_former_leader(now);
        }
        if ledger.is_sweeping() {
            for record in directory.latest() {
                let (service, owner) =
                    (&record.registration.service, owner_of(&record.registration));
                if is_keyed(service) {
                    ledger.add_possible_holder(service, owner, !record.usable);
                }
            }
        }
        let (overage, slack) = {
            let settings = state.settings.borrow();
            (settings.warmup_overage, settings.warmup_slack)
        };
        self.probes.forget_ended(&directory);
        let limiter = state.limiter.borrow();
        let queue = state.queue.borrow();
        let evacuations = state.evacuations.borrow();
        let mut holders: BTreeMap<&str, Vec<Owner>> = BTreeMap::new();
        let evacuation_limit = state.settings.borrow().evacuation_limit;
        let mut occupants: BTreeMap<&str, Vec<Occupant>> = BTreeMap::new();
        for (upstream, record) in directory.usable() {
            let registration = &record.registration;
            let service = table.service(&registration.service);
            if let Some(service) = service.filter(|service| service.keyed) {
                if evacuations.is_evacuated(&registration.domain) {
                    let is_urgent =
                        evacuations.is_urgent(now, &registration.domain, evacuation_limit);
                    let occupants = occupants.entry(&registration.service).or_default();
                    occupants.push(Occupant {
                        owner: owner_of(registration),
                        weight: 0.0,
                        is_urgent,
                    });
                    continue;
                }
                let candidates = candidates.entry(&registration.service).or_default();
                let holders = holders
                    .entry(&registration.service)
                    .or_insert_with(|| ledger.holders(&registration.service));
                let owner = owner_of(registration);
                let is_holder = holders.binary_search(&owner).is_ok();
                if is_holder {
                    identity::verify_contested(&state, upstream);
                }
                let is_alive = is_holder
                    || state
                        .claim(upstream)
                        .is_none_or(|claim| self.probes.check(&state, upstream, claim));
                if !is_alive {
                    continue;
                }
                // Keys arrive as fast as a cold upstream may serve them.
                let cold_rate = service.warmup_rate.filter(|_| now < record.warm_at);
                let cold_rate = cold_rate.map(|rate| Pace::new(rate, overage, slack).certain);
                let named = limiter.limit_of(&registration.id, registration.born);
                let capacity = plan::capacity(
                    registration.slots,
                    self.demand.relative_run_time(&registration.id),
                    named.into_iter().chain(cold_rate).min(),
                    queue.service_run_time(&registration.service),
                );
                candidates.push(Candidate { owner, capacity });
            }
        }
        ledger.retain_services(|name| table.service(name).is_none_or(|service| service.keyed));
        for (service, mut upstreams) in candidates {
            let since = *self.first_seen.entry(service.to_owned()).or_insert(now);
            if ledger.holders(service).is_empty() && now.since(since) < INITIAL_PLACEMENT_DELAY {
                continue;
            }
            let weights = self.demand.weights(service);
            let occupants = occupants.remove(service).unwrap_or_default();
            let staying = staying_candidates(ledger, service, &weights, occupants);
            upstreams.extend(staying);
            upstreams.sort_by(|a, b| a.owner.cmp(&b.owner));
            ledger.rebalance(now, service, &upstreams, &weights);
        }
    }

    /// Sends due orders to the upstreams, up to the limit for one tick.
    fn send_due_orders(&self, now: Time) {
        let orders = {
            let directory = self.state.directory.borrow();
            let newer_incarnation = |owner: &Owner| {
                let (_, record) = directory.find(&owner.id)?;
                (record.registration.born > owner.born).then(|| owner_of(&record.registration))
            };
            let mut ledger = self.state.ledger.borrow_mut();
            ledger.as_mut().map(|ledger| {
                let max_orders = BASE_ORDERS_PER_TICK.max(ledger.round_size() / TICKS_PER_RENEWAL);
                ledger.take_due_orders(now, max_orders, newer_incarnation)
            })
        };
        let mut in_flight = self.state.orders.borrow_mut();
        while in_flight.try_join_next().is_some() {}
        for order in orders.into_iter().flatten() {
            let state = Rc::clone(&self.state);
            in_flight.spawn_local(async move { execute_order(&state, now, order).await });
        }
    }

    /// Processes the result of the last write, then starts a write if one is due: a new
    /// claim after the store has been restored, the record of owners if it is outdated,
    /// otherwise the record that renews leadership.
    ///
    /// The write runs in its own task, since the store may be slow.
    async fn maintain_record(&mut self, now: Time) {
        if let Some((writer, written)) = self.write_result.take() {
            self.state
                .leader_topic
                .set(Some((writer.nonce, writer.end)));
            self.writer = Some(writer);
            self.handle_write_result(now, written).await;
        }
        let must_claim_again = self.must_claim_again();
        if must_claim_again && self.state.leadership.borrow().active_epoch(now).is_none() {
            // Other instances may have granted keys since the lease has ended.
            self.report_stop().await;
            return;
        }
        let due = {
            let ledger = self.state.ledger.borrow();
            let Some(ledger) = ledger.as_ref() else {
                return;
            };
            let record = ledger
                .needs_record()
                .then(|| (ledger.record_version(), ledger.ownership_record(now)));
            let interval = match (&record, self.state.store_health.get().failing) {
                _ if must_claim_again => CLAIM_AGAIN_INTERVAL,
                (Some(_), false) => Duration::ZERO,
                (Some(_), true) => RETRY_DELAY,
                (None, _) => leadership::RENEWAL_INTERVAL,
            };
            (now.since(self.last_append) >= interval).then(|| (ledger.epoch(), record))
        };
        let Some((epoch, record)) = due else {
            return;
        };
        let Some(mut writer) = self.writer.take() else {
            return;
        };
        self.last_append = now;
        let (state, slot) = (Rc::clone(&self.state), Rc::clone(&self.write_result));
        tokio::task::spawn_local(async move {
            let (version, owners) = record.unzip();
            let result = match must_claim_again {
                true => writer.claim_again(&state.name()).await,
                false => writer.write(&state.name(), epoch, owners.as_ref()).await,
            };
            state.observe_store_era(writer.store.era());
            let written = WriteResult {
                epoch,
                sent_at: now,
                version,
                result,
            };
            slot.replace(Some((writer, written)));
        });
    }

    async fn handle_write_result(&mut self, now: Time, written: WriteResult) {
        if self.state.leadership.borrow().epoch() != Some(written.epoch) {
            return;
        }
        match written.result {
            Ok(Written::Appended) => {
                self.record_confirmed_write(written.sent_at);
                let mut ledger = self.state.ledger.borrow_mut();
                if let (Some(version), Some(ledger)) = (written.version, ledger.as_mut()) {
                    ledger.acknowledge_record(version);
                }
            }
            Ok(Written::Claimed(epoch)) => {
                tracing::info!(epoch, before = written.epoch, "leadership claimed again");
                let name = self.state.name();
                let mut leadership = self.state.leadership.borrow_mut();
                leadership.become_leader(&name, epoch, written.sent_at);
                drop(leadership);
                self.record_confirmed_write(written.sent_at);
                if let Some(ledger) = self.state.ledger.borrow_mut().as_mut() {
                    ledger.continue_in(epoch, now);
                }
                self.begin_leading();
            }
            Ok(Written::Replaced) => self.report_stop().await,
            Err(error) => {
                self.state.record_store_result(false);
                self.state.metrics.count_call("lead", "failed");
                tracing::info!(%error, "failed to write the leader record");
            }
        }
    }

    fn record_confirmed_write(&mut self, sent_at: Time) {
        self.state.record_store_result(true);
        self.state.metrics.count_call("lead", "done");
        self.last_confirmed_write = sent_at;
        self.state.leadership.borrow_mut().record_append(sent_at);
    }

    /// Steps down, and reports the grants of this leader to the others: the one that leads
    /// now may not know them.
    async fn report_stop(&self) {
        let Some(epoch) = self.state.leadership.borrow().epoch() else {
            return;
        };
        let snapshot = step_down(&self.state);
        let resigned = Message::Resigned { epoch, snapshot };
        peers::broadcast(&self.state, &self.socket, &resigned).await;
    }
}

/// Upstreams of evacuated failure domains that keep their keys of a service for now, as
/// candidates without capacity. `occupants` are all of the service.
fn staying_candidates(
    ledger: &Ledger,
    service: &str,
    weights: &KeyWeights,
    mut occupants: Vec<Occupant>,
) -> impl Iterator<Item = Candidate> {
    let count = occupants.len();
    for occupant in &mut occupants {
        occupant.weight = ledger.held_weight(service, &occupant.owner, weights);
    }
    occupants.retain(|occupant| occupant.weight > 0.0);
    let staying = evacuation::staying(occupants, count, ledger.is_settled(service));
    staying.into_iter().map(|owner| Candidate {
        owner,
        capacity: 0.0,
    })
}

/// The incarnation that a registration describes.
fn owner_of(registration: &Registration) -> Owner {
    Owner {
        id: registration.id.clone(),
        born: registration.born,
        address: registration.address,
    }
}
