//! Client of the platform's log store.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, Bytes, BytesMut};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;

use crate::connection::{BufferedResponse, Connection};
use crate::error::Error;

/// Time for a call, beyond the time that it waits for records. Answers take a few
/// milliseconds; while the store is slow they take a few hundred.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// Time for a connection. It takes milliseconds, and a lost packet is sent again
/// only after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Most of an answer, in KiB.
const READ_KIB: u32 = 1_024;

/// A record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value; `None` if the key was dropped.
    pub value: Option<Bytes>,
    /// Position of the record.
    pub offset: u64,
}

/// Latest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LatestRecords {
    /// Records, by key.
    pub records: Vec<KeyedRecord>,
    /// Position of the next record.
    pub next_offset: u64,
}

/// Records from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records in order, and the position after the last one.
    Records(Vec<KeyedRecord>, u64),
    /// The position is no longer kept.
    Trimmed,
}

/// Outcome of a conditional append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Done; the record has this offset.
    Appended(u64),
    /// Another record was appended before.
    Conflict,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawNewest {
    items: Vec<RawItem>,
    #[serde(default)]
    has_more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct RawItem {
    key: String,
    /// Value in base64.
    #[serde(default)]
    value: String,
    offset: u64,
}

#[derive(Deserialize)]
struct RawAppend {
    offset: u64,
}

/// Client with a connection of its own; one call at a time.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    link: Option<Connection>,
}

impl StoreClient {
    /// Client that connects at its first call.
    pub fn new(address: SocketAddr) -> StoreClient {
        StoreClient {
            address,
            link: None,
        }
    }

    /// Latest record of each key of a topic.
    ///
    /// # Errors
    ///
    /// If the store doesn't answer as it should.
    pub async fn read_latest(&mut self, topic: &str) -> Result<LatestRecords, Error> {
        let mut newest = LatestRecords::default();
        let mut after = String::new();
        loop {
            let query = match after.is_empty() {
                true => format!("/medlarreel/log-newest?topic={topic}&part=0"),
                false => format!("/medlarreel/log-newest?topic={topic}&part=0&after={after}"),
            };
            let answer = self.call("GET", &query, Bytes::new(), CALL_LIMIT).await?;
            accept(&answer, &[StatusCode::OK])?;
            let page: RawNewest = serde_json::from_slice(&answer.body).map_err(malformed)?;
            // Pages are no snapshot: what changes between them is read again
            // from the end of the first one.
            if after.is_empty() {
                newest.next_offset = page.end;
            }
            if let Some(last) = page.items.last() {
                after.clone_from(&last.key);
            }
            let more = page.has_more && !page.items.is_empty();
            for item in page.items {
                let value = STANDARD.decode(&item.value).map_err(malformed)?;
                newest.records.push(KeyedRecord {
                    key: item.key,
                    value: (!value.is_empty()).then(|| value.into()),
                    offset: item.offset,
                });
            }
            if !more {
                return Ok(newest);
            }
        }
    }

    /// Records of a keyed topic from a position on; waits up to `wait` for one.
    ///
    /// # Errors
    ///
    /// If the store doesn't answer as it should.
    pub async fn read_from(
        &mut self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> Result<ReadOutcome, Error> {
        let path = format!(
            "/medlarreel/log-read?topic={topic}&part=0&from={from}&maxKb={READ_KIB}&waitMs={}",
            wait.as_millis()
        );
        let answer = self
            .call("GET", &path, Bytes::new(), CALL_LIMIT + wait)
            .await?;
        if answer.status == StatusCode::GONE {
            return Ok(ReadOutcome::Trimmed);
        }
        accept(&answer, &[StatusCode::OK])?;
        records(answer.body, from)
    }

    /// Appends a record of a keyed topic; with `as_of`, only if the topic ends there.
    ///
    /// # Errors
    ///
    /// `NotSent` and `Refused` mean that nothing was done; otherwise the append
    /// may take effect now or later, if its condition still holds.
    pub async fn append(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
        as_of: Option<u64>,
    ) -> Result<AppendOutcome, Error> {
        let mut path = format!("/medlarreel/log-append?topic={topic}&part=0");
        if let Some(end) = as_of {
            path.push_str(&format!("&asOf={end}"));
        }
        let answer = self
            .call("POST", &path, record(key, value), CALL_LIMIT)
            .await?;
        if answer.status == StatusCode::PRECONDITION_FAILED {
            return Ok(AppendOutcome::Conflict);
        }
        accept(&answer, &[StatusCode::OK])?;
        let raw: RawAppend = serde_json::from_slice(&answer.body).map_err(malformed)?;
        Ok(AppendOutcome::Appended(raw.offset))
    }

    async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<BufferedResponse, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string())
            .body(Full::new(body))
            .map_err(malformed)?;
        let mut link = match self.link.take().filter(Connection::is_open) {
            Some(link) => link,
            None => Connection::connect(self.address, CONNECT_LIMIT).await?,
        };
        // A call without an answer leaves the connection unusable, so the link
        // is put back only after a whole answer.
        let answer = link.send_request(request, limit).await?;
        self.link = Some(link);
        Ok(answer)
    }
}

fn accept(answer: &BufferedResponse, statuses: &[StatusCode]) -> Result<(), Error> {
    match statuses.contains(&answer.status) {
        true => Ok(()),
        false => Err(Error::Refused(answer.status.as_u16())),
    }
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(error.to_string())
}

/// Record of a keyed topic: its length, the key's length, the key, the value.
fn record(key: &str, value: &[u8]) -> Bytes {
    let content = 1 + key.len() + value.len();
    let mut bytes = BytesMut::with_capacity(4 + content);
    bytes.extend_from_slice(&(content as u32).to_be_bytes());
    bytes.extend_from_slice(&[key.len() as u8]);
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value);
    bytes.freeze()
}

/// Records of an answer: the end, the first position kept, then the records.
fn records(mut body: Bytes, from: u64) -> Result<ReadOutcome, Error> {
    let short = || Error::Malformed("records end early".into());
    if body.len() < 16 {
        return Err(short());
    }
    let (_end, first) = (body.get_u64(), body.get_u64());
    let mut offset = from.max(first);
    let mut items = Vec::new();
    while body.has_remaining() {
        if body.len() < 4 {
            return Err(short());
        }
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(short());
        }
        let mut record = body.split_to(length);
        if let Some(item) = keyed(&mut record, offset) {
            items.push(item);
        }
        offset += 1;
    }
    Ok(ReadOutcome::Records(items, offset))
}

/// Record of a keyed topic; `None` if it has no readable key.
fn keyed(record: &mut Bytes, offset: u64) -> Option<KeyedRecord> {
    if record.is_empty() {
        return None;
    }
    let length = record.get_u8() as usize;
    if record.len() < length {
        return None;
    }
    let key = String::from_utf8(record.split_to(length).to_vec()).ok()?;
    Some(KeyedRecord {
        key,
        value: (!record.is_empty()).then(|| record.clone()),
        offset,
    })
}
