//! HTTP adapter for the list of live and leaving upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use medlarreel_core::machine::ListedUpstream;
use medlarreel_core::preset::Fencing;
use serde::Deserialize;

use super::http::{Caller, get};
use super::{Failure, List, Pending};

/// Reading the list ends after this time.
const READ_LIMIT: Duration = Duration::from_millis(1_000);

/// List reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpList {
    caller: Caller,
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

impl HttpList {
    /// Adapter for the list at `base`, such as `http://127.0.0.1:7001`.
    pub fn new(base: &str) -> HttpList {
        let uri = format!("{}/instances", base.trim_end_matches('/'));
        HttpList {
            caller: Caller::new(READ_LIMIT),
            uri,
        }
    }

    async fn read_list(&self) -> Result<Vec<ListedUpstream>, Failure> {
        let reply = self.caller.call(get(self.uri.clone())?, READ_LIMIT).await?;
        if reply.status != StatusCode::OK {
            return Err(Failure::Unavailable);
        }
        let page = reply.json::<Page>()?;
        Ok(page.instances.into_iter().map(listed).collect())
    }
}

impl List for HttpList {
    fn read(&self) -> Pending<'_, Vec<ListedUpstream>> {
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
