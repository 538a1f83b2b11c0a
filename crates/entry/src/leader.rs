//! The leader's duties: its record in the store, grants, and the map of owners.

mod demand;
mod handover;
mod order;
mod record;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::leadership::{self, LEADER_LEASE};
use medlarreel_core::entry::ledger::{self, CALL_TIMEOUT, Ledger};
use medlarreel_core::entry::map::{Owner, OwnerMap};
use medlarreel_core::entry::plan::Candidate;
use medlarreel_core::time::Time;
use rand::Rng;
use tokio::net::UdpSocket;

use demand::Demand;
pub use handover::{hand_over, step_down};
use order::execute_order;
pub use record::join;
use record::{
    LEADER_KEY, LEADER_TOPIC, LeaderRecord, OWNERS_KEY, RecordWriter, WriteResult, decode_error,
    encode, epoch_at_offset,
};

use crate::error::Error;
use crate::peers::{self, Message};
use crate::platform::store::{AppendOutcome, StoreClient};
use crate::state::{PendingTransfer, State};

/// Time between two looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Ranges for each of which a tick may have one order. All can then be renewed within
/// 20 ticks, which are a second; a third of a hold is longer.
const RANGES_PER_ORDER: usize = 20;

/// Most orders of one tick in a small fleet. A new leader orders everything anew, and on a tenth of
/// a core a hundred connections at once would delay its signs of life.
const BASE_ORDERS_PER_TICK: usize = 16;

/// Time between the leader's signs of life.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two maps of owners, for each receiver.
const BROADCAST_INTERVAL_PER_PEER: Duration = Duration::from_millis(4);

/// Time between looks at whether keys should move.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the leader's newest write up to which keys are moved; it writes about
/// once a second.
const MAX_WRITE_AGE: Duration = Duration::from_millis(2_000);

/// Time between looks at the leader's record by an instance that hears no leader.
const CAMPAIGN_CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// Time after its first registration that a service's first placement waits for
/// further upstreams.
const INITIAL_PLACEMENT_DELAY: Duration = Duration::from_millis(1_200);

/// Last place in the order in which instances stand.
const MAX_CAMPAIGN_PLACE: u32 = 12;

/// Pause after a failed attempt to take the lead.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Tasks of an instance that may lead.
#[derive(Debug)]
pub struct Leader {
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    /// Access to the leader's topic, unless a write is under way.
    writer: Option<RecordWriter>,
    /// Outcome of the newest write.
    write_result: Rc<RefCell<Option<(RecordWriter, WriteResult)>>>,
    last_append: Time,
    /// Newest successful write as the present leader.
    last_confirmed_write: Time,
    last_heartbeat: Time,
    last_rebalance: Time,
    last_campaign_check: Time,
    first_seen: HashMap<String, Time>,
    demand: Demand,
    broadcast_revision: (u64, u64),
    last_broadcast: Time,
}

impl Leader {
    /// Tasks of an instance that doesn't lead yet.
    pub fn new(state: Rc<State>, socket: Rc<UdpSocket>) -> Leader {
        let store = StoreClient::new(state.settings.borrow().store);
        Leader {
            state,
            socket,
            writer: Some(RecordWriter {
                store,
                nonce: rand::rng().random(),
                end: 0,
            }),
            write_result: Rc::default(),
            last_append: Time(0),
            last_confirmed_write: Time(0),
            last_heartbeat: Time(0),
            last_rebalance: Time(0),
            last_campaign_check: Time(0),
            first_seen: HashMap::new(),
            demand: Demand::default(),
            broadcast_revision: (0, 0),
            last_broadcast: Time(0),
        }
    }

    /// Stands for the lead when nobody leads, and leads when it has won.
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

    /// Goes on in the place of a leader that has stopped.
    fn resume_lead(&mut self, now: Time, transferred: &PendingTransfer) {
        let Some(writer) = self.writer.as_mut() else {
            return;
        };
        writer.nonce = transferred.nonce;
        writer.end = transferred.end;
        let lease_duration = self.state.settings.borrow().lease_duration;
        let ledger = Ledger::resume(&transferred.snapshot, lease_duration, now);
        self.last_confirmed_write = Time(0);
        let epoch = ledger.epoch();
        tracing::info!(epoch, "leader now, in the place of one that stops");
        *self.state.ledger.borrow_mut() = Some(ledger);
        let name = self.state.name();
        let mut lead = self.state.leadership.borrow_mut();
        lead.become_leader(&name, epoch, transferred.confirmed);
        drop(lead);
        self.begin_leading();
    }

    /// Starts the duties of a leader.
    fn begin_leading(&mut self) {
        let epoch = self.state.leadership.borrow().highest_epoch();
        self.state.metrics.is_leader.set(1);
        self.state.metrics.epoch.set(epoch as i64);
        self.first_seen.clear();
        // Beats of this epoch make the predecessor stop and answer.
        self.last_heartbeat = Time(0);
        self.last_rebalance = Time(0);
    }

    async fn tick_follower(&mut self, now: Time) {
        if self.state.stopping.get() {
            return;
        }
        if let Some((writer, _)) = self.write_result.take() {
            self.writer = Some(writer);
        }
        if let Some(transferred) = self.state.pending_transfer.take() {
            self.resume_lead(now, &transferred);
            return;
        }
        let place = self.campaign_place();
        let reachable = !self.state.store_health.get().failing && self.state.is_directory_loaded();
        if !self
            .state
            .leadership
            .borrow()
            .should_campaign(now, place, reachable)
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
        // An earlier lead may have been inherited with its owner's mark.
        writer.nonce = rand::rng().random();
        let campaign_result = self.campaign(now, &mut writer).await;
        self.writer = Some(writer);
        match campaign_result {
            Ok(()) => self.state.record_store_result(true),
            Err(error) => {
                tracing::info!(%error, "lead not taken");
                let until = self.state.clock.now() + RETRY_PAUSE;
                self.state.leadership.borrow_mut().postpone_campaign(until);
            }
        }
    }

    /// Place among the instances that could stand, so that they don't all at once.
    /// Stronger instances come first, since leading costs processor time.
    fn campaign_place(&self) -> u32 {
        let salt = self.state.leadership.borrow().highest_epoch();
        let rank = |name: &str, cpu_percent: u32| {
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), salt);
            (std::cmp::Reverse(cpu_percent), hash)
        };
        let (name, cpu_percent) = {
            let settings = self.state.settings.borrow();
            (settings.name.clone(), settings.cpu_percent)
        };
        let mine = rank(&name, cpu_percent);
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
            .filter(|(name, member)| rank(name, member.cpu_percent) < mine)
            .count();
        (ahead as u32).min(MAX_CAMPAIGN_PLACE)
    }

    async fn campaign(&mut self, now: Time, writer: &mut RecordWriter) -> Result<(), Error> {
        let newest = writer.store.read_latest(LEADER_TOPIC).await?;
        let value = |key: &str| {
            let item = newest.records.iter().find(|item| item.key == key)?;
            Some((item.offset, item.value.clone()?))
        };
        let before = match value(LEADER_KEY) {
            Some((offset, bytes)) => {
                let record: LeaderRecord = postcard::from_bytes(&bytes).map_err(decode_error)?;
                Some((offset, record))
            }
            None => None,
        };
        let owners: OwnerMap = match value(OWNERS_KEY) {
            Some((_, bytes)) => postcard::from_bytes(&bytes).map_err(decode_error)?,
            None => OwnerMap::default(),
        };
        let mut predecessor = 0;
        if let Some((offset, record)) = &before {
            let epoch = match record.epoch {
                0 => epoch_at_offset(*offset),
                epoch => epoch,
            };
            predecessor = epoch;
            let mut lead = self.state.leadership.borrow_mut();
            // What an own earlier process wrote can't be renewed by anybody.
            let own = record.name == self.state.name();
            lead.observe_heartbeat(now, epoch, &record.name, false);
            let still = own || lead.is_leader_inactive(now, newest.next_offset);
            drop(lead);
            if !still {
                if owners.epoch > self.state.owner_map.borrow().epoch {
                    self.state.adopt_owner_map(owners);
                }
                return Ok(());
            }
        }
        let record = LeaderRecord {
            name: self.state.name(),
            nonce: writer.nonce,
            epoch: 0,
        };
        let sent = self.state.clock.now();
        let value = encode(&record)?;
        let store = &mut writer.store;
        match store
            .append(LEADER_TOPIC, LEADER_KEY, &value, Some(newest.next_offset))
            .await?
        {
            AppendOutcome::Appended(offset) => {
                writer.end = offset + 1;
                self.become_leader(epoch_at_offset(offset), predecessor, sent, &owners);
                Ok(())
            }
            AppendOutcome::Conflict => Err(Error::Refused(412)),
        }
    }

    fn become_leader(&mut self, epoch: u64, predecessor: u64, sent: Time, owners: &OwnerMap) {
        let now = self.state.clock.now();
        let lease_duration = self.state.settings.borrow().lease_duration;
        let mut ledger = Ledger::new(epoch, lease_duration);
        let until = now
            + medlarreel_core::time::max_with_drift(LEADER_LEASE)
            + CALL_TIMEOUT
            + ledger::max_lease_duration(lease_duration);
        tracing::info!(epoch, predecessor, recorded = owners.epoch, "leader now");
        ledger.adopt(owners, predecessor, now, until);
        (self.last_append, self.last_confirmed_write) = (now, now);
        *self.state.ledger.borrow_mut() = Some(ledger);
        let name = self.state.name();
        self.state
            .leadership
            .borrow_mut()
            .become_leader(&name, epoch, sent);
        self.begin_leading();
    }

    async fn tick_leader(&mut self, now: Time) {
        if self.state.leadership.borrow().active_epoch(now).is_some() {
            // Keys that are released can't be granted again without a record.
            let writes = now.since(self.last_confirmed_write) < MAX_WRITE_AGE;
            if writes && now.since(self.last_rebalance) >= REBALANCE_INTERVAL {
                self.last_rebalance = now;
                self.rebalance(now);
            }
            self.send_due_orders(now);
        }
        self.broadcast_owners(now).await;
        self.maintain_record(now);
    }

    fn rebalance(&mut self, now: Time) {
        self.demand.update(&self.state);
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
        for (_, record) in directory.usable() {
            let entry = &record.registration;
            if table
                .service(&entry.service)
                .is_some_and(|service| service.keyed)
            {
                candidates
                    .entry(&entry.service)
                    .or_default()
                    .push(Candidate {
                        owner: Owner {
                            id: entry.id.clone(),
                            born: entry.born,
                            address: entry.address,
                        },
                        capacity: f64::from(entry.slots.max(1))
                            / self.demand.relative_run_time(&entry.id),
                    });
            }
        }
        ledger.retain_services(|name| table.service(name).is_none_or(|service| service.keyed));
        for (service, mut found) in candidates {
            let since = *self.first_seen.entry(service.to_owned()).or_insert(now);
            if ledger.holders(service).is_empty() && now.since(since) < INITIAL_PLACEMENT_DELAY {
                continue;
            }
            found.sort_by(|a, b| a.owner.cmp(&b.owner));
            let weights = self.demand.weights(service);
            ledger.rebalance(now, service, &found, &weights);
        }
    }

    /// Sends the orders that are due.
    fn send_due_orders(&self, now: Time) {
        let orders = {
            let directory = self.state.directory.borrow();
            let reborn = |owner: &Owner| {
                let found = directory.find(&owner.id);
                found.is_some_and(|(_, record)| record.registration.born > owner.born)
            };
            let mut ledger = self.state.ledger.borrow_mut();
            ledger.as_mut().map(|ledger| {
                let most = BASE_ORDERS_PER_TICK.max(ledger.range_count() / RANGES_PER_ORDER);
                ledger.take_due_orders(now, most, reborn)
            })
        };
        for order in orders.into_iter().flatten() {
            let state = Rc::clone(&self.state);
            tokio::task::spawn_local(async move { execute_order(&state, order).await });
        }
    }

    /// Tells the other instances that the leader lives and who owns what.
    async fn broadcast_owners(&mut self, now: Time) {
        let views = {
            let ledger = self.state.ledger.borrow();
            ledger
                .as_ref()
                .map(|ledger| (ledger.epoch(), ledger.view_version()))
        };
        let Some(order) = views else {
            return;
        };
        let store_reachable = !self.state.store_health.get().failing;
        // The map grows with the fleet, and so do its receivers.
        let pause = BROADCAST_INTERVAL_PER_PEER * self.state.members.borrow().len() as u32;
        if order != self.broadcast_revision && now.since(self.last_broadcast) >= pause {
            self.broadcast_revision = order;
            self.last_broadcast = now;
            let view = {
                let ledger = self.state.ledger.borrow();
                ledger
                    .as_ref()
                    .map(|ledger| ledger.view(now, store_reachable))
            };
            if let Some(view) = view {
                let message = {
                    let before = self.state.owner_map.borrow();
                    match before.epoch == view.epoch {
                        true => Message::OwnersChange(before.change_to(&view)),
                        false => Message::Owners(view.clone()),
                    }
                };
                self.state.adopt_owner_map(view);
                peers::broadcast(&self.state, &self.socket, &message).await;
            }
        }
        if now.since(self.last_heartbeat) >= HEARTBEAT_INTERVAL {
            self.last_heartbeat = now;
            let beat = peers::heartbeat(&self.state, now, self.broadcast_revision);
            peers::broadcast(&self.state, &self.socket, &beat).await;
        }
    }

    /// Writes the record of owners if it lacks one, and renews the lead.
    ///
    /// The write runs beside the other duties, since the store may be slow.
    fn maintain_record(&mut self, now: Time) {
        if let Some((writer, written)) = self.write_result.take() {
            self.state
                .leader_topic
                .set(Some((writer.nonce, writer.end)));
            self.writer = Some(writer);
            self.handle_write_result(written);
        }
        let due = {
            let ledger = self.state.ledger.borrow();
            let Some(ledger) = ledger.as_ref() else {
                return;
            };
            let record = ledger
                .needs_record()
                .then(|| (ledger.record_version(), ledger.ownership_record(now)));
            let pause = match (&record, self.state.store_health.get().failing) {
                (Some(_), false) => Duration::ZERO,
                (Some(_), true) => RETRY_PAUSE,
                (None, _) => leadership::RENEWAL_INTERVAL,
            };
            (now.since(self.last_append) >= pause).then(|| (ledger.epoch(), record))
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
            let result = writer.write(&state.name(), epoch, owners.as_ref()).await;
            let written = WriteResult {
                epoch,
                sent_at: now,
                version,
                result,
            };
            slot.replace(Some((writer, written)));
        });
    }

    fn handle_write_result(&mut self, written: WriteResult) {
        if self.state.leadership.borrow().epoch() != Some(written.epoch) {
            return;
        }
        match written.result {
            Ok(true) => {
                self.state.record_store_result(true);
                self.state.metrics.count_call("lead", "done");
                self.last_confirmed_write = written.sent_at;
                self.state.leadership.borrow_mut().confirm(written.sent_at);
                let mut ledger = self.state.ledger.borrow_mut();
                if let (Some(version), Some(ledger)) = (written.version, ledger.as_mut()) {
                    ledger.acknowledge_record(version);
                }
            }
            Ok(false) => {
                step_down(&self.state);
            }
            Err(error) => {
                self.state.record_store_result(false);
                self.state.metrics.count_call("lead", "failed");
                tracing::info!(%error, "leader's record not written");
            }
        }
    }
}
