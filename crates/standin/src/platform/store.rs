//! Stand-in for the platform's log store.
//!
//! Topics have one partition and are kept in memory. The newest record of a key is
//! found by a linear scan of its topic, since tests write few records. Each response
//! carries the era of the topics that it was made from.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::watch;

use crate::error::Error;
use crate::gate::Gate;
use crate::server::{self, Reply, Server, query_param};

/// Maximum time that a read waits for a record.
const MAX_WAIT_MS: u64 = 30_000;

/// Maximum number of records in one page of the newest records, unless a test sets a
/// lower one.
const MAX_PAGE_ITEMS: usize = 500;

/// First retained offset of every topic, since no record is ever dropped.
const FIRST_OFFSET: u64 = 0;

/// Number of times that the topics were restored, plus one.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

type Topics = BTreeMap<String, Vec<Bytes>>;

/// A copy of all topics at one moment.
#[derive(Clone, Debug)]
pub struct Backup(Topics);

#[derive(Debug)]
struct State {
    era: u64,
    topics: Topics,
    /// Maximum number of records in one page of the newest records.
    page_items: usize,
    /// Topics to restore once a page that is not the last one has been answered.
    restore_after_page: Option<Backup>,
    /// Whether the first page is answered whatever key the request names.
    repeating_page: bool,
}

/// The log store and its faults.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    /// Notifies waiting reads of appends and restores.
    changed: watch::Sender<()>,
    unavailable: AtomicBool,
    responses_to_drop: AtomicU32,
    requests_received: AtomicU32,
}

/// Starts a store.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start(listen: SocketAddr) -> Result<Server<Store>, Error> {
    let store = Store {
        state: Mutex::new(State {
            era: 1,
            topics: Topics::new(),
            page_items: MAX_PAGE_ITEMS,
            restore_after_page: None,
            repeating_page: false,
        }),
        changed: watch::channel(()).0,
        unavailable: AtomicBool::new(false),
        responses_to_drop: AtomicU32::new(0),
        requests_received: AtomicU32::new(0),
    };
    server::start(listen, store, Gate::new(usize::MAX)).await
}

impl Store {
    /// Appends a record to a keyed topic, as operators and upstreams do. The key is at
    /// most 255 bytes long.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        self.state().append(topic, vec![record.freeze()]);
        self.changed.send_replace(());
    }

    /// Newest value of a key. `None` if the key has no record in the topic, or if the
    /// newest value is empty, which marks the key as deleted.
    pub fn get(&self, topic: &str, key: &str) -> Option<Bytes> {
        let state = self.state();
        let records = state.records(topic).iter().rev();
        let found = records.filter_map(split_key).find(|(name, _)| name == key);
        found
            .map(|(_, value)| value)
            .filter(|value| !value.is_empty())
    }

    /// Copies all topics.
    pub fn backup(&self) -> Backup {
        Backup(self.state().topics.clone())
    }

    /// Replaces all topics by those of a backup and starts the next era. The records
    /// appended since the backup are lost, and their offsets are assigned again. Waiting
    /// reads are answered at once. Faults and counters stay as they are.
    pub fn restore(&self, backup: Backup) {
        self.state().restore(backup);
        self.changed.send_replace(());
    }

    /// Restores a backup between two pages of the newest records: after the next page
    /// that is not the last one of its topic. Replaces the backup of an earlier call.
    pub fn restore_between_pages(&self, backup: Backup) {
        self.state().restore_after_page = Some(backup);
    }

    /// Limits a page of the newest records to `items` records, at least one.
    pub fn set_page_items(&self, items: usize) {
        self.state().page_items = items.clamp(1, MAX_PAGE_ITEMS);
    }

    /// Answers requests for a further page of the newest records with the first page from
    /// now on.
    pub fn repeat_first_page(&self) {
        self.state().repeating_page = true;
    }

    /// Starts or ends an outage, during which every request gets status 503 and has no
    /// effect.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.unavailable.store(unavailable, Ordering::SeqCst);
    }

    /// Drops the responses to the next `count` append requests, which still take effect.
    /// Replaces the count of an earlier call.
    pub fn drop_append_responses(&self, count: u32) {
        self.responses_to_drop.store(count, Ordering::SeqCst);
    }

    /// Number of requests received so far, including those during an outage.
    pub fn request_count(&self) -> u32 {
        self.requests_received.load(Ordering::SeqCst)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Appends the records of a body, each preceded by its length in 4 big-endian bytes.
    /// If the parameter `asOf` is given and is not the topic's end, appends nothing and
    /// responds with status 412.
    fn add_batch(&self, query: Option<&str>, body: Bytes) -> Result<Reply, Error> {
        let topic = text_param(query, "topic")?;
        let records = split_records(body)?;
        let mut state = self.state();
        let offset = state.end(&topic);
        if query_param(query, "asOf", offset)? != offset {
            return Ok(state.with_era(server::json(412, &json!({"end": offset}))));
        }
        state.append(&topic, records);
        self.changed.send_replace(());
        let decrement = |count: u32| count.checked_sub(1);
        if self
            .responses_to_drop
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
        {
            return Err(Error::ResponseDropped);
        }
        let range = json!({"offset": offset, "end": state.end(&topic)});
        Ok(state.with_era(server::json(200, &range)))
    }

    /// Responds with the records from an offset on. If the offset is the topic's end,
    /// waits up to `waitMs` milliseconds for a record or a restore. If it lies beyond
    /// the end, responds with status 410.
    async fn read_records(&self, query: Option<&str>) -> Result<Reply, Error> {
        let topic = text_param(query, "topic")?;
        let from = query_param(query, "from", 0usize)?;
        let wait_ms = query_param(query, "waitMs", 0u64)?.min(MAX_WAIT_MS);
        let mut changed = self.changed.subscribe();
        let era = self.state().era;
        let must_wait = || {
            let state = self.state();
            state.era == era && state.end(&topic) == from
        };
        let change = async {
            while must_wait() {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        // After a timeout, the response contains no records.
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), change).await;
        let state = self.state();
        let end = state.end(&topic);
        if from > end {
            return Ok(state.with_era(server::json(410, &json!({"first": FIRST_OFFSET}))));
        }
        let mut body = BytesMut::new();
        body.put_u64(end as u64);
        body.put_u64(FIRST_OFFSET);
        for record in &state.records(&topic)[from..] {
            body.put_u32(record.len() as u32);
            body.put_slice(record);
        }
        Ok(state.with_era(Response::new(Full::new(body.freeze()))))
    }

    /// Responds with a page of the newest records of all keys that are not deleted, from
    /// the first key behind `after` on, or from the first key of all if it is absent.
    fn newest_records(&self, query: Option<&str>) -> Result<Reply, Error> {
        let topic = text_param(query, "topic")?;
        let mut state = self.state();
        let has_start = has_param(query, "after") && !state.repeating_page;
        let after = text_param(query, "after")?;
        let records = state.records(&topic);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            match split_key(record) {
                Some((key, value)) if value.is_empty() => {
                    newest.remove(&key);
                }
                Some((key, value)) => {
                    newest.insert(key, (STANDARD.encode(value), offset));
                }
                None => {}
            }
        }
        let item = |(key, (value, offset)): (String, (String, usize))| json!({"key": key, "value": value, "offset": offset});
        let following = newest.into_iter();
        let following = following.filter(|(key, _)| !has_start || *key > after);
        let mut items: Vec<_> = following.map(item).collect();
        let has_more = items.len() > state.page_items;
        items.truncate(state.page_items);
        let page = json!({"items": items, "hasMore": has_more, "end": records.len()});
        let reply = state.with_era(server::json(200, &page));
        if let Some(backup) = state.restore_after_page.take_if(|_| has_more) {
            state.restore(backup);
            self.changed.send_replace(());
        }
        Ok(reply)
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Reply, Error> {
        if self.unavailable.load(Ordering::SeqCst) {
            let reply = server::text(503, "the store is down");
            return Ok(self.state().with_era(reply));
        }
        let (parts, body) = request.into_parts();
        let query = parts.uri.query();
        match parts.uri.path() {
            "/medlarreel/log-append" => self.add_batch(query, server::read_body(body).await?),
            "/medlarreel/log-read" => self.read_records(query).await,
            "/medlarreel/log-newest" => self.newest_records(query),
            path => Err(Error::NotFound(path.to_owned())),
        }
    }
}

impl State {
    /// Records of a topic, from offset 0 on.
    fn records(&self, topic: &str) -> &[Bytes] {
        self.topics.get(topic).map_or(&[], Vec::as_slice)
    }

    /// Offset of the next record to be appended to a topic.
    fn end(&self, topic: &str) -> usize {
        self.records(topic).len()
    }

    fn append(&mut self, topic: &str, records: Vec<Bytes>) {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.extend(records);
    }

    fn restore(&mut self, backup: Backup) {
        self.era += 1;
        self.topics = backup.0;
    }

    /// Adds the header with the era to a response.
    fn with_era(&self, mut reply: Reply) -> Reply {
        let era = HeaderValue::from(self.era);
        reply.headers_mut().insert(STORE_ERA, era);
        reply
    }
}

impl server::Service for Store {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Error> {
        self.requests_received.fetch_add(1, Ordering::SeqCst);
        let result = self.respond(request).await;
        result.or_else(|error| Ok(self.state().with_era(server::error_reply(error)?)))
    }
}

/// Splits the body of an append into its records.
fn split_records(mut body: Bytes) -> Result<Vec<Bytes>, Error> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = body.get_u32() as usize;
        if length > body.len() {
            return Err(Error::Malformed("record is cut short".into()));
        }
        records.push(body.split_to(length));
    }
    Ok(records)
}

/// Splits a record of a keyed topic, which is the length of the key in one byte, the key
/// and the value. Returns `None` if the record is malformed.
fn split_key(record: &Bytes) -> Option<(String, Bytes)> {
    let mut record = record.clone();
    let length = record.try_get_u8().ok()? as usize;
    if length > record.len() {
        return None;
    }
    let key = String::from_utf8(record.split_to(length).to_vec()).ok()?;
    Some((key, record))
}

/// Whether a query has a parameter, even if its value is empty.
fn has_param(query: Option<&str>, name: &str) -> bool {
    let mut pairs = query.unwrap_or_default().split('&');
    pairs.any(|pair| pair.split('=').next() == Some(name))
}

/// Parses a text parameter of a query; empty if absent.
fn text_param(query: Option<&str>, name: &str) -> Result<String, Error> {
    query_param(query, name, String::new())
}
