//! HTTP adapter for the append-only log service.

use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use hyper::StatusCode;
use medlarreel_core::ids::Offset;
use serde::Deserialize;

use super::http::{HttpClient, get_request, post_request};
use super::{AdapterFuture, Batch, Log, PlatformError};

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
    client: HttpClient,
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
            client: HttpClient::new(CONNECT_LIMIT),
            stream,
        }
    }

    async fn append_record(&self, record: Bytes) -> Result<Offset, PlatformError> {
        let request = post_request(self.stream.clone(), record)?;
        let response = self.client.send(request, APPEND_LIMIT).await?;
        if response.status != StatusCode::OK {
            return Err(PlatformError::Unavailable);
        }
        response
            .json::<Appended>()
            .map(|appended| Offset(appended.offset))
    }

    async fn read_batch(&self, from: Offset, wait: Duration) -> Result<Batch, PlatformError> {
        let uri = format!(
            "{}?from={}&max={BATCH}&wait_ms={}",
            self.stream,
            from.0,
            wait.as_millis()
        );
        let response = self
            .client
            .send(get_request(uri)?, wait + READ_SLACK)
            .await?;
        match response.status {
            StatusCode::OK => response.json::<Page>().and_then(batch),
            StatusCode::GONE => {
                let page = response.json::<Page>()?;
                Err(PlatformError::Trimmed(Offset(page.earliest)))
            }
            _ => Err(PlatformError::Unavailable),
        }
    }
}

impl Log for HttpLog {
    fn append(&self, record: Bytes) -> AdapterFuture<'_, Offset> {
        Box::pin(self.append_record(record))
    }

    fn read(&self, from: Offset, wait: Duration) -> AdapterFuture<'_, Batch> {
        Box::pin(self.read_batch(from, wait))
    }
}

fn batch(page: Page) -> Result<Batch, PlatformError> {
    let records = page.records.into_iter().map(|entry| {
        let data = BASE64_STANDARD
            .decode(entry.data)
            .map_err(|_| PlatformError::Malformed)?;
        Ok((Offset(entry.offset), Bytes::from(data)))
    });
    Ok(Batch {
        records: records.collect::<Result<_, _>>()?,
        next: Offset(page.next),
    })
}
