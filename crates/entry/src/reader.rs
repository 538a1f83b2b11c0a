//! Readers of the platform's store: configuration and registrations.
//!
//! The leader reads continuously and forwards new records. The other instances read only
//! at startup, when they cannot get missed records from others, and, one in each failure
//! domain, while the leader is silent or itself gets no responses from the store (core
//! `follow`).
//!
//! What was read stays in use when a new era of the store begins, but offsets and batches
//! of the earlier one are dropped, and each topic is loaded again (`bootstrap`).

pub mod bootstrap;
mod evacuation;
pub mod feed;
pub mod history;
pub mod snapshot;

use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::directory::{self, REREGISTRATION_GRACE};
use medlarreel_core::entry::follow::{self, Fit};
use medlarreel_core::entry::routes::RouteTable;
use medlarreel_core::time::Time;
use tokio::net::UdpSocket;

use feed::{Feed, RecordBatch, Topic};

use crate::error::Error;
use crate::peers::{self, Message};
use crate::platform::store::{KeyedRecord, ReadOutcome, StoreClient};
use crate::platform::{config, registry};
use crate::state::State;

/// Time for which a read by the leader waits for a record. If the connection stalls, new
/// records are delayed by up to this time plus the call timeout. With the interval of the
/// heartbeats, one of which may be lost, it stays below `MAX_READ_AGE`, so that others read
/// only if the leader does not.
const LEADER_READ_WAIT: Duration = Duration::from_millis(400);

/// Time for which a read by a follower waits for a record. The other instances of its
/// failure domain hear of each read, and read themselves after `MAX_READ_AGE` without.
const FOLLOWER_READ_WAIT: Duration = Duration::from_millis(500);

/// Minimum interval between two reads, for topics that grow continuously.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(150);

/// Time allowed for the delivery of records that the leader has sent.
const DELIVERY_TIME: Duration = Duration::from_millis(30);

/// Interval between checks whether a read is due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// Waits until a read of a topic is due.
async fn wait_until_due(state: &State, feed: &Feed) {
    loop {
        let is_leader = state.leadership.borrow().epoch().is_some();
        let reader_position = reader_position(state);
        let now = state.clock.now();
        let position = *feed.position.borrow();
        if position.should_read(now, is_leader, reader_position) {
            return;
        }
        tokio::time::sleep(DUE_CHECK_INTERVAL).await;
    }
}

/// Number of instances of this instance's failure domain that read before it while the
/// leader is silent.
fn reader_position(state: &State) -> u32 {
    let rank = |name: &str| xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    let own_rank = rank(&state.settings.borrow().name);
    let neighbours = state.neighbours();
    let before = neighbours.iter().filter(|(name, _)| rank(name) < own_rank);
    before.count() as u32
}

/// Keeps the local state of a topic up to date.
pub async fn follow(state: Rc<State>, topic: Topic, socket: Rc<UdpSocket>) {
    let address = state.settings.borrow().store;
    let mut store = StoreClient::new(address, state.memory.clone());
    let mut failures = 0;
    let mut load_due_since = None;
    let mut last_error = None;
    let feed = state.feed(topic);
    loop {
        if !feed.must_load() {
            load_due_since = None;
        }
        wait_until_due(&state, feed).await;
        if feed.must_load() {
            let since = *load_due_since.get_or_insert_with(|| state.clock.now());
            bootstrap::wait_for_snapshot(&state, topic, &socket, since).await;
            if !feed.must_load() {
                continue;
            }
        }
        let started = state.clock.now();
        let read = read_topic(&state, topic, &mut store, started).await;
        match read {
            Ok(batch) => {
                failures = 0;
                last_error = None;
                state.metrics.count_call(topic.label(), "done");
                state.record_store_result(true);
                forward_read(&state, topic, &socket, batch).await;
                tokio::time::sleep(MIN_READ_INTERVAL).await;
            }
            Err(error) => {
                state.metrics.count_call(topic.label(), "failed");
                if last_error.as_ref() != Some(&error) {
                    tracing::info!(topic = topic.label(), %error, "failed to read from the store");
                    last_error = Some(error);
                }
                state.record_store_result(false);
                failures += 1;
                wait_for_retry(&state, topic, &socket, failures).await;
            }
        }
    }
}

/// Waits until a failed read is due again; the delay is shorter once this instance leads.
/// Requests snapshots meanwhile if the topic must be loaded, and returns once it has been.
async fn wait_for_retry(state: &State, topic: Topic, socket: &UdpSocket, failures: u32) {
    let failed_at = state.clock.now();
    let must_load = state.feed(topic).must_load();
    loop {
        let is_leader = state.leadership.borrow().epoch().is_some();
        let waited = state.clock.now().since(failed_at);
        if waited >= follow::retry_delay(is_leader, failures) {
            return;
        }
        if must_load {
            if !state.feed(topic).must_load() {
                return;
            }
            bootstrap::request_snapshot(state, topic, socket).await;
        }
        tokio::time::sleep(DUE_CHECK_INTERVAL).await;
    }
}

/// Forwards what was read: the leader to all instances, a follower to those of its failure
/// domain if they do not hear from the leader either.
async fn forward_read(state: &State, topic: Topic, socket: &UdpSocket, batch: Option<RecordBatch>) {
    let records = batch.map(Message::Records);
    if state.leadership.borrow().epoch().is_some() {
        if let Some(records) = records {
            peers::broadcast(state, socket, &records).await;
        }
        return;
    }
    let now = state.clock.now();
    let progress = state.feed(topic).progress(now);
    let is_silent = state.feed(topic).position.borrow().is_silent(now);
    let Some(progress) = progress.filter(|_| is_silent) else {
        return;
    };
    if let Some(records) = records {
        peers::send_to_domain(state, socket, &records).await;
    }
    let progress = Message::ReadProgress { topic, progress };
    peers::send_to_domain(state, socket, &progress).await;
}

/// Reads once and applies new records. Returns the batch that a leader forwards to the
/// other instances; `None` if no new records were read from the current position, as in
/// the first read of a topic.
async fn read_topic(
    state: &State,
    topic: Topic,
    store: &mut StoreClient,
    started: Time,
) -> Result<Option<RecordBatch>, Error> {
    let before = *state.feed(topic).position.borrow();
    let Some(from) = before.next_offset() else {
        let latest = store.read_latest(topic.name()).await;
        state.observe_store_era(store.era());
        let latest = latest?;
        state.record_store_result(true);
        let position = *state.feed(topic).position.borrow();
        if position.next_offset().is_some() || position.era() != store.era() {
            // A snapshot has been applied in the meantime, or the response is from an
            // earlier era.
            return Ok(None);
        }
        let end = latest.next_offset;
        if topic == Topic::Config {
            evacuation::load(state, position.era(), &latest.records);
        }
        apply_records(state, topic, &latest.records, true, Duration::ZERO);
        state
            .feed(topic)
            .position
            .borrow_mut()
            .advance(end, started);
        return Ok(None);
    };
    let is_leader = state.leadership.borrow().epoch().is_some();
    let age = started.since(before.as_of());
    let wait = match is_leader {
        _ if before.is_behind() => Duration::ZERO,
        true => LEADER_READ_WAIT,
        // Others start to read as well unless they soon hear of the first read.
        false if age >= FOLLOWER_READ_WAIT => Duration::ZERO,
        false => FOLLOWER_READ_WAIT,
    };
    let outcome = store.read_from(topic.name(), from, wait).await;
    state.observe_store_era(store.era());
    let outcome = outcome?;
    state.record_store_result(true);
    let now = state.clock.now();
    let position = *state.feed(topic).position.borrow();
    if position.next_offset() != Some(from) || position.era() != store.era() {
        // Records from another instance have been applied in the meantime, or the offset
        // is of another era than the response.
        return Ok(None);
    }
    let (records, end) = match outcome {
        ReadOutcome::Records(records, end) => (records, end),
        ReadOutcome::Trimmed => {
            state.feed(topic).position.borrow_mut().reset();
            return Ok(None);
        }
    };
    let to_forward = apply_records(state, topic, &records, false, Duration::ZERO);
    let read_up_to = follow::read_up_to(started, wait, records.is_empty());
    let grace = removal_time(state, Duration::ZERO).since(now);
    let batch = RecordBatch {
        topic,
        era: position.era(),
        from,
        end,
        records: to_forward
            .into_iter()
            .map(|item| (item.key.clone(), item.value.as_deref().map(<[u8]>::to_vec)))
            .collect(),
        grace_ms: grace.as_millis() as u64,
    };
    let batch = (!records.is_empty()).then_some(batch);
    advance(state, topic, end, read_up_to, batch.as_ref());
    Ok(batch)
}

/// Applies records forwarded by another instance. If earlier ones are missing, records
/// that, and applies only configurations, each of which is complete, and evacuations, which
/// only stop requests.
pub fn receive_records(state: &State, batch: RecordBatch) {
    state.observe_store_era(batch.era);
    let feed = state.feed(batch.topic);
    let now = state.clock.now();
    let fit = feed.position.borrow().fit(batch.era, batch.from, batch.end);
    match fit {
        Fit::Next => {
            let records = to_keyed(&batch.records);
            let grace = Duration::from_millis(batch.grace_ms);
            // The result is not needed: the batch is passed on as it is.
            apply_records(state, batch.topic, &records, false, grace);
            let as_of = now - DELIVERY_TIME;
            advance(state, batch.topic, batch.end, as_of, Some(&batch));
        }
        Fit::Known | Fit::Outdated => {}
        Fit::Gap => {
            feed.mark_behind(now);
            if batch.topic == Topic::Config {
                let mut records = to_keyed(&batch.records);
                apply_config(state, &records);
                records.retain(|record| record.value.is_some());
                evacuation::apply(state, &records);
                state.dispatch_decisions();
            }
        }
    }
}

/// Returns the records of a batch as those of a topic.
fn to_keyed(records: &[(String, Option<Vec<u8>>)]) -> Vec<KeyedRecord> {
    let records = records.iter();
    records
        .map(|(key, value)| KeyedRecord {
            key: key.clone(),
            value: value.clone().map(Into::into),
            offset: 0,
        })
        .collect()
}

/// Records that the topic has been applied up to `end`, the last part of it by `batch`.
fn advance(state: &State, topic: Topic, end: u64, as_of: Time, batch: Option<&RecordBatch>) {
    let feed = state.feed(topic);
    feed.position.borrow_mut().advance(end, as_of);
    if let Some(batch) = batch {
        let now = state.clock.now();
        feed.history.borrow_mut().record(now, batch.clone());
    }
}

/// Applies records and returns those that a leader forwards: all configurations and
/// evacuations, all removals of registrations, and the registrations that change the directory, now or
/// after a delay. Upstreams
/// repeat their registrations about once a second; forwarding all of them would be most
/// of the traffic between the instances of a large fleet.
fn apply_records<'a>(
    state: &State,
    topic: Topic,
    records: &'a [KeyedRecord],
    is_snapshot: bool,
    grace: Duration,
) -> Vec<&'a KeyedRecord> {
    let to_forward = match topic {
        Topic::Config => {
            apply_config(state, records);
            if !is_snapshot {
                evacuation::apply(state, records);
            }
            let is_used = |record: &&KeyedRecord| {
                record.key == config::RECORD_KEY || config::evacuated_domain(&record.key).is_some()
            };
            records.iter().filter(is_used).collect()
        }
        Topic::Directory => apply_registrations(state, records, is_snapshot, grace),
    };
    state.dispatch_decisions();
    to_forward
}

fn apply_config(state: &State, records: &[KeyedRecord]) {
    let configs = records
        .iter()
        .filter(|record| record.key == config::RECORD_KEY);
    let Some(value) = configs
        .filter_map(|record| record.value.as_ref())
        .next_back()
    else {
        return;
    };
    match config::decode(value) {
        Ok(config) => {
            let current = state.route_table.borrow().config().version;
            if config.version <= current {
                return;
            }
            let (routes, version) = (config.routes.len(), config.version);
            tracing::info!(version, routes, before = current, "configuration in force");
            state.config_record.replace(Some(value.to_vec()));
            state.metrics.config_version.set(version as i64);
            *state.route_table.borrow_mut() = Rc::new(RouteTable::new(config));
            state.traffic_splitter.borrow_mut().reset();
        }
        Err(error) => tracing::error!(%error, "invalid configuration, ignored"),
    }
}

/// Returns the time at which a removal that was just read takes effect, `grace` from now
/// or later: registrations that expired during a store outage get time to be renewed.
fn removal_time(state: &State, grace: Duration) -> Time {
    let now = state.clock.now();
    let recovered_at = state.store_health.get().recovered_at;
    let earliest = recovered_at.map_or(now, |at| now.max(at + REREGISTRATION_GRACE));
    earliest.max(now + grace)
}

/// Returns the time from which a registration counts that was just read although its
/// removal was read before.
fn return_time(state: &State) -> Time {
    let heartbeat_interval = state.settings.borrow().heartbeat_interval;
    state.clock.now() + directory::return_delay(heartbeat_interval)
}

fn apply_registrations<'a>(
    state: &State,
    records: &'a [KeyedRecord],
    is_snapshot: bool,
    grace: Duration,
) -> Vec<&'a KeyedRecord> {
    let now = state.clock.now();
    let since = state.feed(Topic::Directory).as_of();
    let at = removal_time(state, grace);
    let return_at = return_time(state);
    let mut directory = state.directory.borrow_mut();
    if is_snapshot {
        let present = records.iter().filter(|record| record.value.is_some());
        let present: Vec<&str> = present.map(|record| record.key.as_str()).collect();
        directory.schedule_removals_except(&present, since, at);
    }
    let mut to_forward = Vec::new();
    for record in records {
        let Some(value) = &record.value else {
            to_forward.push(record);
            tracing::info!(upstream = record.key, "registration removed");
            directory.schedule_removal(&record.key, since, at);
            continue;
        };
        let Some(registration) = registry::decode(&record.key, value) else {
            tracing::debug!(upstream = record.key, "invalid registration, ignored");
            continue;
        };
        if directory.has_removed(&registration) {
            tracing::info!(upstream = record.key, "registered as before its removal");
            if directory.schedule_return(return_at, registration) {
                to_forward.push(record);
            }
            continue;
        }
        if directory.is_changed_by(now, &registration) {
            to_forward.push(record);
        }
        let (id, draining) = (registration.id.clone(), registration.draining);
        let (service, born) = (registration.service.clone(), registration.born);
        if directory.apply(now, since, registration) {
            tracing::info!(upstream = id, service, born, draining, "upstream changed");
        }
    }
    drop(directory);
    state.expire_registrations();
    to_forward
}
