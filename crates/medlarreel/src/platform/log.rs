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

/// Timeout of an append, after which its outcome is unknown.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time that a response may take in addition to the wait of the long poll.
const READ_TIMEOUT_SLACK: Duration = Duration::from_millis(2_000);

/// Timeout of connection attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of records requested at a time.
const MAX_BATCH_RECORDS: usize = 512;

/// Control stream of a log service, accessed over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    stream_url: String,
}

#[derive(Deserialize)]
struct AppendBody {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadBody {
    earliest: u64,
    next: u64,
    #[serde(default)]
    records: Vec<EncodedRecord>,
}

#[derive(Deserialize)]
struct EncodedRecord {
    offset: u64,
    data: String,
}

impl HttpLog {
    /// Creates an adapter for a stream of the service at a base URL such as
    /// `http://127.0.0.1:7100`.
    pub fn new(base: &str, stream: &str) -> HttpLog {
        let stream_url = format!("{}/streams/{stream}", base.trim_end_matches('/'));
        HttpLog {
            client: HttpClient::new(CONNECT_TIMEOUT),
            stream_url,
        }
    }

    async fn append_record(&self, record: Bytes) -> Result<Offset, PlatformError> {
        let request = post_request(self.stream_url.clone(), record)?;
        let response = self.client.send(request, APPEND_TIMEOUT).await?;
        if response.status != StatusCode::OK {
            return Err(PlatformError::Unavailable);
        }
        response
            .json::<AppendBody>()
            .map(|body| Offset(body.offset))
    }

    async fn read_batch(&self, from: Offset, wait: Duration) -> Result<Batch, PlatformError> {
        let uri = format!(
            "{}?from={}&max={MAX_BATCH_RECORDS}&wait_ms={}",
            self.stream_url,
            from.0,
            wait.as_millis()
        );
        let response = self
            .client
            .send(get_request(uri)?, wait + READ_TIMEOUT_SLACK)
            .await?;
        match response.status {
            StatusCode::OK => response.json::<ReadBody>().and_then(decode_batch),
            StatusCode::GONE => {
                let body = response.json::<ReadBody>()?;
                Err(PlatformError::Trimmed(Offset(body.earliest)))
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

fn decode_batch(body: ReadBody) -> Result<Batch, PlatformError> {
    let records = body.records.into_iter().map(|entry| {
        let data = BASE64_STANDARD
            .decode(entry.data)
            .map_err(|_| PlatformError::Malformed)?;
        Ok((Offset(entry.offset), Bytes::from(data)))
    });
    Ok(Batch {
        records: records.collect::<Result<_, _>>()?,
        next: Offset(body.next),
    })
}
