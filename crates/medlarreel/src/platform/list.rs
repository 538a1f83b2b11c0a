//! HTTP adapter for the platform's list of live and leaving upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use medlarreel_core::machine::ListedUpstream;
use medlarreel_core::preset::Fencing;
use serde::Deserialize;

use super::http::{HttpClient, get_request};
use super::{AdapterFuture, PlatformError, UpstreamList};

/// Timeout for reading the list, including the connection attempt.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reads the platform's list of upstreams over HTTP.
#[derive(Clone, Debug)]
pub struct HttpUpstreamList {
    client: HttpClient,
    uri: String,
}

#[derive(Deserialize)]
struct ListBody {
    instances: Vec<ListEntry>,
}

#[derive(Deserialize)]
struct ListEntry {
    name: String,
    service: String,
    domain: String,
    address: SocketAddr,
    state: State,
    fencing: Option<FencingClass>,
    weight: Option<u16>,
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
    Live,
    Leaving,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum FencingClass {
    Checked,
    Unchecked,
}

impl HttpUpstreamList {
    /// Creates an adapter for the list at a base URL such as `http://127.0.0.1:7200`.
    pub fn new(base: &str) -> HttpUpstreamList {
        let uri = format!("{}/instances", base.trim_end_matches('/'));
        HttpUpstreamList {
            client: HttpClient::new(READ_TIMEOUT),
            uri,
        }
    }

    async fn read_list(&self) -> Result<Vec<ListedUpstream>, PlatformError> {
        let response = self
            .client
            .send(get_request(self.uri.clone())?, READ_TIMEOUT)
            .await?;
        if response.status != StatusCode::OK {
            return Err(PlatformError::Unavailable);
        }
        let body = response.json::<ListBody>()?;
        Ok(body.instances.into_iter().map(listed_upstream).collect())
    }
}

impl UpstreamList for HttpUpstreamList {
    fn read(&self) -> AdapterFuture<'_, Vec<ListedUpstream>> {
        Box::pin(self.read_list())
    }
}

fn listed_upstream(entry: ListEntry) -> ListedUpstream {
    let fencing = entry.fencing.map(|class| match class {
        FencingClass::Checked => Fencing::Checked,
        FencingClass::Unchecked => Fencing::Unchecked,
    });
    ListedUpstream {
        name: entry.name,
        service: entry.service,
        domain: entry.domain,
        address: entry.address,
        leaving: entry.state == State::Leaving,
        fencing,
        weight: entry.weight,
    }
}
