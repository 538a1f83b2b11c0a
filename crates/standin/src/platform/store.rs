//! Stand-in for the platform's log store.
//!
//! Topics have one partition and are kept in memory. The newest record of a key is
//! found by a linear scan of its topic, since tests write few records.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::watch;

use crate::error::Error;
use crate::gate::Gate;
use crate::server::{self, Reply, Server, query_param};

/// Maximum time that a read waits for a record.
const MAX_WAIT_MS: u64 = 30_000;

/// The log store and its faults.
#[derive(Debug)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<Bytes>>>,
    appended: watch::Sender<u64>,
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
        topics: Mutex::default(),
        appended: watch::channel(0).0,
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
        self.append(topic, record.freeze());
    }

    /// Newest value of a key. `None` if the key has no record in the topic, or if the
    /// newest value is empty, which marks the key as deleted.
    pub fn get(&self, topic: &str, key: &str) -> Option<Bytes> {
        let topics = self.topics();
        let records = topics.get(topic)?.iter().rev();
        let found = records.filter_map(split_key).find(|(name, _)| name == key);
        found
            .map(|(_, value)| value)
            .filter(|value| !value.is_empty())
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

    fn topics(&self) -> MutexGuard<'_, BTreeMap<String, Vec<Bytes>>> {
        self.topics
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Appends a record. Returns its offset and the new end of the topic.
    fn append(&self, topic: &str, record: Bytes) -> (usize, usize) {
        let mut topics = self.topics();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push(record);
        self.appended.send_modify(|count| *count += 1);
        (records.len() - 1, records.len())
    }

    /// Offset of the next record to be appended to a topic.
    fn topic_end(&self, topic: &str) -> usize {
        self.topics().get(topic).map_or(0, Vec::len)
    }

    /// Appends the records of a body, each preceded by its length in 4 big-endian bytes.
    /// If the parameter `asOf` is given and is not the topic's end, appends nothing and
    /// responds with status 412.
    async fn add_batch(&self, query: Option<&str>, mut body: Bytes) -> Result<Reply, Error> {
        let topic = text_param(query, "topic")?;
        let end = self.topic_end(&topic);
        if query_param(query, "asOf", end)? != end {
            return Ok(server::json(412, &json!({"end": end})));
        }
        let mut first_offset = None;
        while body.len() >= 4 {
            let length = body.get_u32() as usize;
            if length > body.len() {
                return Err(Error::Malformed("record is cut short".into()));
            }
            let (offset, _) = self.append(&topic, body.split_to(length));
            first_offset = first_offset.or(Some(offset));
        }
        let decrement = |count: u32| count.checked_sub(1);
        if self
            .responses_to_drop
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
        {
            return Err(Error::ResponseDropped);
        }
        let (offset, end) = (first_offset.unwrap_or(end), self.topic_end(&topic));
        Ok(server::json(200, &json!({"offset": offset, "end": end})))
    }

    /// Responds with the records from an offset on. If there are none yet, waits up to
    /// `waitMs` milliseconds for one.
    async fn read_records(&self, query: Option<&str>) -> Result<Reply, Error> {
        let topic = text_param(query, "topic")?;
        let from = query_param(query, "from", 0usize)?;
        let wait_ms = query_param(query, "waitMs", 0u64)?.min(MAX_WAIT_MS);
        let mut appended = self.appended.subscribe();
        let new_records = async {
            while self.topic_end(&topic) <= from {
                if appended.changed().await.is_err() {
                    return;
                }
            }
        };
        // After a timeout, the response contains no records.
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), new_records).await;
        let topics = self.topics();
        let records = topics.get(&topic).map_or(&[][..], Vec::as_slice);
        // The end of the topic, and the first retained offset: no record is ever dropped.
        let mut body = BytesMut::new();
        body.put_u64(records.len() as u64);
        body.put_u64(0);
        for record in records.iter().skip(from) {
            body.put_u32(record.len() as u32);
            body.put_slice(record);
        }
        Ok(Response::new(Full::new(body.freeze())))
    }

    /// Responds with the newest record of each key that is not deleted.
    fn newest_records(&self, query: Option<&str>) -> Result<Reply, Error> {
        let topic = text_param(query, "topic")?;
        let topics = self.topics();
        let records = topics.get(&topic).map_or(&[][..], Vec::as_slice);
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
        let items: Vec<_> = newest.into_iter().map(item).collect();
        let end = records.len();
        Ok(server::json(
            200,
            &json!({"items": items, "hasMore": false, "end": end}),
        ))
    }
}

impl server::Service for Store {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Error> {
        self.requests_received.fetch_add(1, Ordering::SeqCst);
        if self.unavailable.load(Ordering::SeqCst) {
            return Ok(server::text(503, "the store is down"));
        }
        let (parts, body) = request.into_parts();
        let query = parts.uri.query();
        match parts.uri.path() {
            "/medlarreel/log-append" => self.add_batch(query, server::read_body(body).await?).await,
            "/medlarreel/log-read" => self.read_records(query).await,
            "/medlarreel/log-newest" => self.newest_records(query),
            path => Err(Error::NotFound(path.to_owned())),
        }
    }
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

/// Parses a text parameter of a query; empty if absent.
fn text_param(query: Option<&str>, name: &str) -> Result<String, Error> {
    query_param(query, name, String::new())
}
