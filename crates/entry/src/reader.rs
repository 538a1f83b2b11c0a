//! Readers of the platform's store: configuration and registrations.
//!
//! The leader reads all the time and passes new records on. The others read only
//! at their start, when records that the leader knows did not reach them, and
//! while the leader itself doesn't hear from the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::directory::REREGISTRATION_GRACE;
use medlarreel_core::entry::routes::RouteTable;
use medlarreel_core::time::Time;
use medlarreel_macros::data;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::error::Error;
use crate::peers::{self, Message};
use crate::platform::store::{KeyedRecord, ReadOutcome, StoreClient};
use crate::platform::{config, registry};
use crate::state::State;

/// Time that a read of the leader waits for a record. A connection that has gone
/// silent hides new records for about this time.
const LEADER_READ_WAIT: Duration = Duration::from_millis(600);

/// Time that a read of another instance waits for a record.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Shortest time between two reads, for topics that grow all the time.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(150);

/// Age from which the leader's reading no longer counts. New records must take
/// effect within 2 s.
const STALE_AGE: Duration = Duration::from_millis(1_000);

/// Time for records that the leader has sent to arrive.
const DELIVERY_TIME: Duration = Duration::from_millis(30);

/// Time between looks at whether a read is due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after a failed call, so that an overloaded store is not pressed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What is read.
#[data(key)]
pub enum Topic {
    /// Configurations of the operator.
    Config,
    /// Registrations of upstreams.
    Directory,
}

impl Topic {
    /// Both topics.
    pub const ALL: [Topic; 2] = [Topic::Config, Topic::Directory];

    fn name(self) -> &'static str {
        match self {
            Topic::Config => config::TOPIC,
            Topic::Directory => registry::TOPIC,
        }
    }

    fn kind(self) -> &'static str {
        match self {
            Topic::Config => "config",
            Topic::Directory => "directory",
        }
    }
}

/// How far a topic has been read.
#[data(value)]
pub struct Progress {
    /// Position of the next record.
    pub end: u64,
    /// Time since when there may be unread records, in milliseconds.
    pub age_ms: u64,
}

/// Records that the leader passes on.
#[data(value)]
pub struct RecordBatch {
    /// Topic of the records.
    pub topic: Topic,
    /// Position of the first record.
    pub from: u64,
    /// Position after the last one.
    pub end: u64,
    /// Keys and values.
    pub records: Vec<(String, Option<Vec<u8>>)>,
    /// Time for which removals are put off, in milliseconds.
    pub grace_ms: u64,
}

/// State of one topic's reader.
#[derive(Debug)]
pub struct Feed {
    position: RefCell<Position>,
    due: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct Position {
    /// Offset of the next record; `None` to read the newest of each key.
    next_offset: Option<u64>,
    /// Every record before this time has been read.
    as_of: Time,
    /// Time at which a leader that reads was heard.
    leader_heard: Option<Time>,
    /// Whether the store has records that were not read.
    behind: bool,
}

impl Default for Feed {
    fn default() -> Feed {
        Feed {
            position: RefCell::default(),
            due: Notify::new(),
        }
    }
}

impl Feed {
    /// Whether the topic was read once.
    pub fn is_loaded(&self) -> bool {
        self.position.borrow().next_offset.is_some()
    }

    /// How far the topic has been read, if at all.
    pub fn progress(&self, now: Time) -> Option<Progress> {
        let position = self.position.borrow();
        Some(Progress {
            end: position.next_offset?,
            age_ms: now.since(position.as_of).as_millis() as u64,
        })
    }

    /// Asks for a read.
    pub fn refresh(&self) {
        self.position.borrow_mut().behind = true;
        self.due.notify_one();
    }

    /// Notes how far the leader has read; true if that is recent.
    pub fn observe_leader_progress(&self, now: Time, progress: &Progress) -> bool {
        let age = Duration::from_millis(progress.age_ms);
        if age > STALE_AGE {
            return false;
        }
        let mut position = self.position.borrow_mut();
        position.leader_heard = Some(now);
        match position.next_offset {
            Some(from) if progress.end <= from => position.as_of = position.as_of.max(now - age),
            _ => {
                position.behind = true;
                self.due.notify_one();
            }
        }
        true
    }

    /// Waits until a read is due.
    async fn wait_until_due(&self, state: &State) {
        loop {
            let now = state.clock.now();
            let position = *self.position.borrow();
            let leads = state.leadership.borrow().epoch().is_some();
            let heard = position
                .leader_heard
                .is_some_and(|heard| now.since(heard) < STALE_AGE);
            if leads || !heard || position.next_offset.is_none() {
                return;
            }
            if position.behind {
                tokio::time::sleep(DELIVERY_TIME).await;
                if self.position.borrow().behind {
                    return;
                }
                continue;
            }
            // Nothing is missed if the wait ends without a sign: it is one more look.
            let _ = tokio::time::timeout(DUE_CHECK_INTERVAL, self.due.notified()).await;
        }
    }
}

/// Keeps a topic up to date.
pub async fn follow(state: Rc<State>, topic: Topic, socket: Rc<UdpSocket>) {
    let address = state.settings.borrow().store;
    let mut store = StoreClient::new(address);
    loop {
        state.feed(topic).wait_until_due(&state).await;
        let started = state.clock.now();
        let read = read(&state, topic, &mut store, started).await;
        match &read {
            Ok(news) => {
                state.metrics.count_call(topic.kind(), "done");
                state.record_store_result(true);
                if let Some(news) = news
                    .clone()
                    .filter(|_| state.leadership.borrow().epoch().is_some())
                {
                    peers::broadcast(&state, &socket, &Message::Records(news)).await;
                }
                tokio::time::sleep(MIN_READ_INTERVAL).await;
            }
            Err(error) => {
                state.metrics.count_call(topic.kind(), "failed");
                tracing::debug!(topic = topic.kind(), %error, "store not read");
                state.record_store_result(false);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads once and applies what is new; returns it for the other instances.
async fn read(
    state: &State,
    topic: Topic,
    store: &mut StoreClient,
    started: Time,
) -> Result<Option<RecordBatch>, Error> {
    let before = *state.feed(topic).position.borrow();
    let Some(from) = before.next_offset else {
        let newest = store.read_latest(topic.name()).await?;
        state.record_store_result(true);
        let end = newest.next_offset;
        apply(state, topic, &newest.records, true, Duration::ZERO);
        advance(state, topic, end, started);
        return Ok(None);
    };
    let leads = state.leadership.borrow().epoch().is_some();
    let wait = match (leads, before.behind) {
        (_, true) => Duration::ZERO,
        (true, false) => LEADER_READ_WAIT,
        (false, false) => READ_WAIT,
    };
    let (items, end) = match store.read_from(topic.name(), from, wait).await? {
        ReadOutcome::Records(items, end) => (items, end),
        ReadOutcome::Trimmed => {
            state.feed(topic).position.borrow_mut().next_offset = None;
            return Ok(None);
        }
    };
    state.record_store_result(true);
    let now = state.clock.now();
    if state.feed(topic).position.borrow().next_offset != Some(from) {
        // Records from the leader came first.
        return Ok(None);
    }
    let news = apply(state, topic, &items, false, Duration::ZERO);
    // An answer without records is as new as its end.
    let read_to = if items.is_empty() {
        now - DELIVERY_TIME
    } else {
        started
    };
    advance(state, topic, end, read_to.max(started));
    let grace = removal_time(state, Duration::ZERO).since(now);
    Ok((!items.is_empty()).then(|| RecordBatch {
        topic,
        from,
        end,
        records: news
            .into_iter()
            .map(|item| (item.key.clone(), item.value.as_deref().map(<[u8]>::to_vec)))
            .collect(),
        grace_ms: grace.as_millis() as u64,
    }))
}

/// Applies records that the leader has passed on.
pub fn receive_records(state: &State, news: RecordBatch) {
    let feed = state.feed(news.topic);
    let from = feed.position.borrow().next_offset;
    match from {
        Some(from) if from == news.from => {
            let item = |(key, value): (String, Option<Vec<u8>>)| KeyedRecord {
                key,
                value: value.map(Into::into),
                offset: 0,
            };
            let items: Vec<KeyedRecord> = news.records.into_iter().map(item).collect();
            let grace = Duration::from_millis(news.grace_ms);
            // The leader has passed on only what changes beliefs.
            apply(state, news.topic, &items, false, grace);
            let now = state.clock.now();
            advance(state, news.topic, news.end, now - DELIVERY_TIME);
        }
        Some(from) if from >= news.end => {}
        _ => feed.refresh(),
    }
}

fn advance(state: &State, topic: Topic, end: u64, as_of: Time) {
    let mut position = state.feed(topic).position.borrow_mut();
    position.next_offset = Some(end);
    position.as_of = position.as_of.max(as_of);
    position.behind = false;
}

/// Applies records and returns those that change what the instances believe.
/// Upstreams repeat their registrations about once a second, which would be most
/// of the bytes between the instances of a large fleet.
fn apply<'a>(
    state: &State,
    topic: Topic,
    items: &'a [KeyedRecord],
    whole: bool,
    grace: Duration,
) -> Vec<&'a KeyedRecord> {
    let news = match topic {
        Topic::Config => {
            apply_config(state, items);
            let configs = items.iter().filter(|item| item.key == config::RECORD_KEY);
            configs.collect()
        }
        Topic::Directory => apply_entries(state, items, whole, grace),
    };
    state.dispatch_decisions();
    news
}

fn apply_config(state: &State, items: &[KeyedRecord]) {
    let configs = items.iter().filter(|item| item.key == config::RECORD_KEY);
    let Some(value) = configs.filter_map(|item| item.value.as_ref()).next_back() else {
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
            state.metrics.config_version.set(version as i64);
            *state.route_table.borrow_mut() = Rc::new(RouteTable::new(config));
            state.traffic_splitter.borrow_mut().reset();
        }
        Err(error) => tracing::error!(%error, "configuration can't be read, ignored"),
    }
}

/// Time at which a removal that was just read takes effect. What lapsed while
/// the store was away gets time to come back.
fn removal_time(state: &State, grace: Duration) -> Time {
    let now = state.clock.now();
    let regained = state.store_health.get().recovered_at;
    let own = regained.map_or(now, |at| now.max(at + REREGISTRATION_GRACE));
    own.max(now + grace)
}

fn apply_entries<'a>(
    state: &State,
    items: &'a [KeyedRecord],
    whole: bool,
    grace: Duration,
) -> Vec<&'a KeyedRecord> {
    let now = state.clock.now();
    let since = state.feed(Topic::Directory).position.borrow().as_of;
    let at = removal_time(state, grace);
    let mut directory = state.directory.borrow_mut();
    if whole {
        let present = items.iter().filter(|item| item.value.is_some());
        let present: Vec<&str> = present.map(|item| item.key.as_str()).collect();
        directory.retain(&present, since, at);
    }
    let mut news = Vec::new();
    for item in items {
        let Some(value) = &item.value else {
            news.push(item);
            tracing::info!(upstream = item.key, "registration removed");
            directory.schedule_removal(&item.key, since, at);
            continue;
        };
        let Some(entry) = registry::decode(&item.key, value) else {
            tracing::debug!(upstream = item.key, "registration can't be read, ignored");
            continue;
        };
        if directory.is_change(&entry) {
            news.push(item);
        }
        let (id, draining) = (entry.id.clone(), entry.draining);
        let (service, born) = (entry.service.clone(), entry.born);
        if directory.apply(now, since, entry) {
            tracing::info!(upstream = id, service, born, draining, "upstream changed");
        }
    }
    drop(directory);
    state.expire_registrations();
    news
}
