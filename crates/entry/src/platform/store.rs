//! Client of the platform's log store.

use std::collections::HashSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, Bytes, BytesMut};
use http::{Request, StatusCode};
use medlarreel_core::entry::era::Era;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;

use crate::body::Payload;
use crate::connection::{CallResponse, Connection, Wanted};
use crate::error::Error;
use crate::memory::Memory;
use crate::platform::headers::{self, STORE_ERA};

/// Timeout of a call, in addition to the time that it waits for records. Responses take
/// a few milliseconds, or a few hundred while the store is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout for establishing a connection. Connecting takes milliseconds, and a lost
/// packet is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the records in one response, in KiB.
const MAX_READ_KIB: u32 = 1_024;

/// Maximum length of a key, in bytes. A record has one byte for it.
pub const MAX_KEY_BYTES: usize = u8::MAX as usize;

/// Maximum size of a page of the newest records, in bytes: 1 MB in base64, and the keys, of
/// which JSON may escape each byte with six.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Maximum size of a response with records, in bytes: as much as is asked for, with the
/// lengths of the records.
const MAX_RECORDS_BYTES: usize = 2 * 1024 * MAX_READ_KIB as usize;

/// Maximum size of the response to an append, in bytes: two offsets as JSON.
const MAX_APPENDED_BYTES: usize = 4 * 1024;

/// Maximum size of the newest records of a topic, in bytes: 100,000 registrations of 300
/// bytes each.
const MAX_TOPIC_BYTES: usize = 32 << 20;

/// Memory that a record takes besides its key and value, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 128;

/// Characters that are encoded in the target of a call: all but those that RFC 3986 leaves
/// unreserved.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// A record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// Offset of the record in the topic; 0 if the leader has forwarded the record.
    pub offset: u64,
}

/// Latest record of each key of a topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LatestRecords {
    /// Records, one for each key.
    pub records: Vec<KeyedRecord>,
    /// End offset of the topic when the read began; records appended since then may be
    /// included.
    pub next_offset: u64,
}

/// Outcome of reading records from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records in order, as far as they fit into one response, and the offset from which
    /// to read on.
    Records(Vec<KeyedRecord>, u64),
    /// The offset is no longer retained by the store.
    Trimmed,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    Appended(u64),
    /// Another record was appended first, so the condition did not hold.
    Conflict,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawLatestPage {
    items: Vec<RawRecord>,
    #[serde(default)]
    has_more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct RawRecord {
    key: String,
    /// Value, encoded in base64.
    #[serde(default)]
    value: String,
    offset: u64,
}

#[derive(Deserialize)]
struct RawAppend {
    offset: u64,
}

/// Client of the log store with its own connection; it runs one call at a time.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    memory: Memory,
    connection: Option<Connection>,
    era: Era,
}

impl StoreClient {
    /// Creates a client that connects on its first call. What it reads is counted in `memory`.
    pub fn new(address: SocketAddr, memory: Memory) -> StoreClient {
        StoreClient {
            address,
            memory,
            connection: None,
            era: Era::default(),
        }
    }

    /// Era of the store in its last response, of whichever status.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Reads the latest record of each key of a topic, all in one era of the store.
    ///
    /// # Errors
    ///
    /// Returns `Restored` if a new era began between two pages, or another error if the
    /// call fails or the response is invalid, as is a page that is not the last one and has
    /// no further key.
    pub async fn read_latest(&mut self, topic: &str) -> Result<LatestRecords, Error> {
        let mut latest = LatestRecords::default();
        let mut keys = HashSet::new();
        let mut taken = self.memory.take(0);
        let mut size = 0;
        let mut era = None;
        let mut after: Option<String> = None;
        loop {
            let parameter = after.as_ref().map(|key| ("after", key as &dyn Display));
            let target = target("log-newest", topic, parameter.as_slice());
            let response = self
                .call("GET", &target, Bytes::new(), CALL_TIMEOUT, MAX_PAGE_BYTES)
                .await?;
            check_status(&response, &[StatusCode::OK])?;
            if *era.get_or_insert(self.era) != self.era {
                return Err(Error::Restored);
            }
            let page: RawLatestPage = serde_json::from_slice(&response.body).map_err(malformed)?;
            // The pages are not a consistent snapshot. Reading on from the end that the
            // first page reports covers every change made between the pages.
            if after.is_none() {
                latest.next_offset = page.end;
            }
            after = page.items.last().map(|last| last.key.clone());
            let known_keys = keys.len();
            for item in page.items {
                let value = STANDARD.decode(&item.value).map_err(malformed)?;
                size += 2 * item.key.len() + value.len() + RECORD_OVERHEAD_BYTES;
                if size > MAX_TOPIC_BYTES {
                    return Err(malformed(format!("topic has over {MAX_TOPIC_BYTES} bytes")));
                }
                keys.insert(item.key.clone());
                latest.records.push(KeyedRecord {
                    key: item.key,
                    value: (!value.is_empty()).then(|| value.into()),
                    offset: item.offset,
                });
            }
            taken.resize(size);
            if !page.has_more {
                return Ok(latest);
            }
            // Otherwise the same page could be read without end.
            if keys.len() == known_keys {
                let end = after.unwrap_or_default();
                return Err(malformed(format!("no further keys behind {end:?}")));
            }
        }
    }

    /// Reads the records of a keyed topic from the offset `from` on. If there are none
    /// yet, waits up to `wait` for one.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the response is invalid.
    pub async fn read_from(
        &mut self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> Result<ReadOutcome, Error> {
        let parameters: [(&str, &dyn Display); 3] = [
            ("from", &from),
            ("maxKb", &MAX_READ_KIB),
            ("waitMs", &wait.as_millis()),
        ];
        let target = target("log-read", topic, &parameters);
        let response = self
            .call(
                "GET",
                &target,
                Bytes::new(),
                CALL_TIMEOUT + wait,
                MAX_RECORDS_BYTES,
            )
            .await?;
        if response.status == StatusCode::GONE {
            return Ok(ReadOutcome::Trimmed);
        }
        check_status(&response, &[StatusCode::OK])?;
        decode_records(response.body, from)
    }

    /// Appends a record to a keyed topic. With `as_of`, the record is appended only if
    /// the topic ends at that offset.
    ///
    /// # Errors
    ///
    /// After `NotSent` and `Refused` the record was not appended. After any other error
    /// the append may take effect now or later, provided that its condition still
    /// holds.
    pub async fn append(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
        as_of: Option<u64>,
    ) -> Result<AppendOutcome, Error> {
        let parameter = as_of.as_ref().map(|end| ("asOf", end as &dyn Display));
        let target = target("log-append", topic, parameter.as_slice());
        let response = self
            .call(
                "POST",
                &target,
                encode_record(key, value),
                CALL_TIMEOUT,
                MAX_APPENDED_BYTES,
            )
            .await?;
        if response.status == StatusCode::PRECONDITION_FAILED {
            return Ok(AppendOutcome::Conflict);
        }
        check_status(&response, &[StatusCode::OK])?;
        let raw: RawAppend = serde_json::from_slice(&response.body).map_err(malformed)?;
        Ok(AppendOutcome::Appended(raw.offset))
    }

    async fn call(
        &mut self,
        method: &str,
        target: &str,
        body: Bytes,
        timeout: Duration,
        max_body: usize,
    ) -> Result<CallResponse, Error> {
        let request = Request::builder()
            .method(method)
            .uri(target)
            .header(http::header::HOST, self.address.to_string())
            .body(Payload::from(body))
            .map_err(malformed)?;
        let mut connection = match self.connection.take().filter(Connection::is_open) {
            Some(connection) => connection,
            None => Connection::connect(self.address, CONNECT_TIMEOUT).await?,
        };
        // A call without a complete response leaves the connection unusable, so it is
        // kept only after a complete one.
        let response = connection
            .call(request, timeout, Wanted::Body(max_body), &self.memory)
            .await?;
        self.connection = Some(connection);
        if let Some(era) = headers::parse_u64(&response.headers, &STORE_ERA) {
            self.era = Era(era);
        }
        Ok(response)
    }
}

/// Returns the target of a call for the only partition of a topic. The topic and the values
/// are percent-encoded: keys are chosen by other writers and may hold any character.
fn target(call: &str, topic: &str, parameters: &[(&str, &dyn Display)]) -> String {
    let topic = utf8_percent_encode(topic, ENCODED);
    let mut target = format!("/medlarreel/{call}?topic={topic}&part=0");
    for (name, value) in parameters {
        let value = value.to_string();
        let value = utf8_percent_encode(&value, ENCODED);
        target.push_str(&format!("&{name}={value}"));
    }
    target
}

fn check_status(response: &CallResponse, statuses: &[StatusCode]) -> Result<(), Error> {
    match statuses.contains(&response.status) {
        true => Ok(()),
        false => Err(Error::Refused(response.status.as_u16())),
    }
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(error.to_string())
}

/// Encodes a record of a keyed topic: its length, the length of the key, the key and the
/// value.
fn encode_record(key: &str, value: &[u8]) -> Bytes {
    let content_length = 1 + key.len() + value.len();
    let mut bytes = BytesMut::with_capacity(4 + content_length);
    bytes.extend_from_slice(&(content_length as u32).to_be_bytes());
    bytes.extend_from_slice(&[key.len() as u8]);
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value);
    bytes.freeze()
}

/// Decodes the body of a read: the end of the topic, the first offset that is still
/// retained, then the records.
fn decode_records(mut body: Bytes, from: u64) -> Result<ReadOutcome, Error> {
    let truncated = || Error::Malformed("truncated records".into());
    if body.len() < 16 {
        return Err(truncated());
    }
    let (_end, first_offset) = (body.get_u64(), body.get_u64());
    let mut offset = from.max(first_offset);
    let mut records = Vec::new();
    while body.has_remaining() {
        if body.len() < 4 {
            return Err(truncated());
        }
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(truncated());
        }
        let mut encoded = body.split_to(length);
        if let Some(record) = decode_keyed_record(&mut encoded, offset) {
            records.push(record);
        }
        offset += 1;
    }
    Ok(ReadOutcome::Records(records, offset))
}

/// Decodes one record of a keyed topic; `None` if its key cannot be decoded.
fn decode_keyed_record(encoded: &mut Bytes, offset: u64) -> Option<KeyedRecord> {
    if encoded.is_empty() {
        return None;
    }
    let length = encoded.get_u8() as usize;
    if encoded.len() < length {
        return None;
    }
    let key = String::from_utf8(encoded.split_to(length).to_vec()).ok()?;
    Some(KeyedRecord {
        key,
        value: (!encoded.is_empty()).then(|| encoded.clone()),
        offset,
    })
}
