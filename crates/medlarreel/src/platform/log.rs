//! HTTP adapter for the append-only log service.

use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use hyper::StatusCode;
use medlarreel_core::ids::Offset;
use serde::Deserialize;

use super::http::{Caller, get, post};
use super::{Batch, Failure, Log, Pending};

/// An append without an answer for this long has an unknown outcome.
const APPEND_LIMIT: Duration = Duration::from_millis(2_000);

/// Time beyond the long poll's wait that an answer may take.
const READ_SLACK: Duration = Duration::from_millis(2_000);

/// Connection attempts end after this time.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Records asked for at a time.
const BATCH: usize = 512;

/// Control stream of a log service reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    caller: Caller,
    stream: String,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct Page {
    earliest: u64,
    next: u64,
    #[serde(default)]
    records: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    offset: u64,
    data: String,
}

impl HttpLog {
    /// Adapter for the stream of the service at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: &str, stream: &str) -> HttpLog {
        let stream = format!("{}/streams/{stream}", base.trim_end_matches('/'));
        HttpLog {
            caller: Caller::new(CONNECT_LIMIT),
            stream,
        }
    }

    async fn append_record(&self, record: Bytes) -> Result<Offset, Failure> {
        let request = post(self.stream.clone(), record)?;
        let reply = self.caller.call(request, APPEND_LIMIT).await?;
        if reply.status != StatusCode::OK {
            return Err(Failure::Unavailable);
        }
        reply
            .json::<Appended>()
            .map(|appended| Offset(appended.offset))
    }

    async fn read_batch(&self, from: Offset, wait: Duration) -> Result<Batch, Failure> {
        let uri = format!(
            "{}?from={}&max={BATCH}&wait_ms={}",
            self.stream,
            from.0,
            wait.as_millis()
        );
        let reply = self.caller.call(get(uri)?, wait + READ_SLACK).await?;
        match reply.status {
            StatusCode::OK => reply.json::<Page>().and_then(batch),
            StatusCode::GONE => {
                let page = reply.json::<Page>()?;
                Err(Failure::Trimmed(Offset(page.earliest)))
            }
            _ => Err(Failure::Unavailable),
        }
    }
}

impl Log for HttpLog {
    fn append(&self, record: Bytes) -> Pending<'_, Offset> {
        Box::pin(self.append_record(record))
    }

    fn read(&self, from: Offset, wait: Duration) -> Pending<'_, Batch> {
        Box::pin(self.read_batch(from, wait))
    }
}

fn batch(page: Page) -> Result<Batch, Failure> {
    let records = page.records.into_iter().map(|entry| {
        let data = BASE64_STANDARD
            .decode(entry.data)
            .map_err(|_| Failure::Malformed)?;
        Ok((Offset(entry.offset), Bytes::from(data)))
    });
    Ok(Batch {
        records: records.collect::<Result<_, _>>()?,
        next: Offset(page.next),
    })
}
