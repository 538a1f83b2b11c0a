//! HTTP adapter for the list of live and leaving upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use medlarreel_core::machine::ListedUpstream;
use medlarreel_core::preset::Fencing;
use serde::Deserialize;

use super::http::{HttpClient, get_request};
use super::{AdapterFuture, PlatformError, UpstreamList};

/// Reading the list ends after this time.
const READ_LIMIT: Duration = Duration::from_millis(1_000);

/// List reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpUpstreamList {
    client: HttpClient,
    uri: String,
}

#[derive(Deserialize)]
struct Page {
    instances: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    name: String,
    service: String,
    domain: String,
    address: SocketAddr,
    state: State,
    fencing: Option<Class>,
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
enum Class {
    Checked,
    Unchecked,
}

impl HttpUpstreamList {
    /// Adapter for the list at `base`, such as `http://127.0.0.1:7001`.
    pub fn new(base: &str) -> HttpUpstreamList {
        let uri = format!("{}/instances", base.trim_end_matches('/'));
        HttpUpstreamList {
            client: HttpClient::new(READ_LIMIT),
            uri,
        }
    }

    async fn read_list(&self) -> Result<Vec<ListedUpstream>, PlatformError> {
        let response = self
            .client
            .send(get_request(self.uri.clone())?, READ_LIMIT)
            .await?;
        if response.status != StatusCode::OK {
            return Err(PlatformError::Unavailable);
        }
        let page = response.json::<Page>()?;
        Ok(page.instances.into_iter().map(listed).collect())
    }
}

impl UpstreamList for HttpUpstreamList {
    fn read(&self) -> AdapterFuture<'_, Vec<ListedUpstream>> {
        Box::pin(self.read_list())
    }
}

fn listed(entry: Entry) -> ListedUpstream {
    let fencing = entry.fencing.map(|class| match class {
        Class::Checked => Fencing::Checked,
        Class::Unchecked => Fencing::Unchecked,
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
