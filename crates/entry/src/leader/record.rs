//! Records in the store: the leader, the owners of keys and the instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::map::OwnerMap;
use medlarreel_core::time::Time;
use medlarreel_macros::data;
use rand::Rng;
use tokio::net::UdpSocket;

use super::RETRY_DELAY;
use crate::error::Error;
use crate::peers;
use crate::platform::store::{AppendOutcome, StoreClient};
use crate::state::{Member, State};

/// Topic that holds the leader's records.
pub(super) const LEADER_TOPIC: &str = "keyed.medlarreel";

/// Topic in which instances announce themselves, keyed by instance name.
const INSTANCES_TOPIC: &str = "keyed.medlarreel-instances";

/// Interval at which an instance checks whether a new era of the store has begun.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum delay before an instance announces itself again. All instances do so after a
/// restore, and the delay spreads their calls.
const MAX_REJOIN_DELAY: Duration = Duration::from_millis(1_000);

/// Key of the record that names the leader.
pub(super) const LEADER_KEY: &str = "lead";

/// Key of the record with the possible holder of each service key.
pub(super) const OWNERS_KEY: &str = "owners";

/// Record that claims or renews leadership.
#[data(value)]
pub(super) struct LeaderRecord {
    pub(super) name: String,
    /// Distinguishes writers that use the same instance name.
    pub(super) nonce: u64,
    /// Epoch of the leadership; 0 in the record that claims it.
    pub(super) epoch: u64,
}

/// Record by which an instance announces itself.
#[data(value)]
struct InstanceRecord {
    pub(super) address: SocketAddr,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub(super) started: u64,
    /// Processor time allotted to the instance in its settings, in percent of a core.
    pub(super) cpu_percent: u32,
    /// Failure domain of the instance.
    pub(super) domain: String,
}

/// Appends records to the leader's topic.
#[derive(Debug)]
pub(super) struct RecordWriter {
    pub(super) store: StoreClient,
    /// Identifies the records of this writer. Drawn anew for each campaign, or taken over
    /// together with a transferred leadership.
    pub(super) nonce: u64,
    /// End offset of the topic after the last record of this writer.
    pub(super) end: u64,
}

/// Result of a write to the leader's topic.
#[derive(Debug)]
pub(super) struct WriteResult {
    pub(super) epoch: u64,
    /// Time before the write was sent.
    pub(super) sent_at: Time,
    /// Version of the record of owners, if that is what was written.
    pub(super) version: Option<u64>,
    /// `Ok(false)` if another instance has become leader.
    pub(super) result: Result<bool, Error>,
}

/// Announces this instance in the store and to the other instances, and loads the list of
/// instances. Retries until the store responds. Starts a task that does the same at the
/// beginning of each later era of the store.
pub async fn join_cluster(state: &Rc<State>, socket: &Rc<UdpSocket>) {
    let settings = state.settings.borrow().clone();
    let mut membership = Membership {
        store: StoreClient::new(settings.store),
        name: settings.name,
        record: InstanceRecord {
            address: settings.peers,
            started: state.started,
            cpu_percent: settings.cpu_percent,
            domain: settings.domain,
        },
        era: Era::default(),
    };
    membership.join(state).await;
    state.has_joined.set(true);
    peers::send_to_all(state, socket, &peers::hello(state)).await;
    // The leader may not send heartbeats to this instance before the `Hello`, so the time
    // to wait for one starts again.
    state
        .leadership
        .borrow_mut()
        .restart_heartbeat_timeout(state.clock.now());
    let (state, socket) = (Rc::clone(state), Rc::clone(socket));
    tokio::task::spawn_local(async move { membership.maintain(&state, &socket).await });
}

/// Keeps this instance in the list of instances.
#[derive(Debug)]
struct Membership {
    store: StoreClient,
    name: String,
    record: InstanceRecord,
    /// Era in which the record was last appended. An earlier one may have lost it.
    era: Era,
}

impl Membership {
    /// Announces this instance again whenever the store was restored, and greets the
    /// instances that are found. Never returns.
    async fn maintain(&mut self, state: &State, socket: &UdpSocket) {
        loop {
            tokio::time::sleep(ERA_CHECK_INTERVAL).await;
            if state.store_era.get() <= self.era {
                continue;
            }
            let delay = rand::rng().random_range(Duration::ZERO..MAX_REJOIN_DELAY);
            tokio::time::sleep(delay).await;
            let found = self.join(state).await;
            peers::send_to(socket, &found, &peers::hello(state)).await;
        }
    }

    /// Announces this instance in the store and adds the others to its members. Returns
    /// the addresses of those that it did not know. Retries until the store responds.
    async fn join(&mut self, state: &State) -> Vec<SocketAddr> {
        loop {
            let listed = self.announce().await;
            state.observe_store_era(self.store.era());
            match listed {
                Ok(listed) => {
                    state.record_store_result(true);
                    let listed = listed.into_iter();
                    let others = listed.filter(|(name, _)| *name != self.name);
                    let found = others.filter_map(|(name, record)| {
                        let address = record.address;
                        state
                            .add_listed_member(name, record.into())
                            .then_some(address)
                    });
                    let found: Vec<SocketAddr> = found.collect();
                    let members = state.members.borrow().len();
                    tracing::info!(members, found = found.len(), "instance list loaded");
                    return found;
                }
                Err(error) => {
                    state.record_store_result(false);
                    tracing::debug!(%error, "failed to announce this instance");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn announce(&mut self) -> Result<Vec<(String, InstanceRecord)>, Error> {
        let value = encode(&self.record)?;
        let store = &mut self.store;
        store
            .append(INSTANCES_TOPIC, &self.name, &value, None)
            .await?;
        self.era = store.era();
        let latest = store.read_latest(INSTANCES_TOPIC).await?;
        let items = latest.records.into_iter();
        Ok(items
            .filter_map(|item| {
                let record = postcard::from_bytes(&item.value?).ok()?;
                Some((item.key, record))
            })
            .collect())
    }
}

impl From<InstanceRecord> for Member {
    fn from(record: InstanceRecord) -> Member {
        Member {
            address: record.address,
            started: record.started,
            cpu_percent: record.cpu_percent,
            domain: record.domain,
            last_heard: None,
        }
    }
}

pub(super) fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    postcard::to_allocvec(value).map_err(|error| Error::Malformed(error.to_string()))
}

impl RecordWriter {
    /// Appends the record of owners, or renews leadership if `owners` is `None`. Returns
    /// false if another instance has become leader.
    ///
    /// # Errors
    ///
    /// After `NotSent` and `Refused` the append had no effect and can be repeated.
    /// `Refused` is also returned if an earlier append of this writer, whose response was
    /// lost, has moved the end of the topic. After any other error the append may take
    /// effect now or later.
    pub(super) async fn write(
        &mut self,
        name: &str,
        epoch: u64,
        owners: Option<&OwnerMap>,
    ) -> Result<bool, Error> {
        let (key, value) = match owners {
            Some(map) => (OWNERS_KEY, encode(map)?),
            None => {
                let record = LeaderRecord {
                    name: name.to_owned(),
                    nonce: self.nonce,
                    epoch,
                };
                (LEADER_KEY, encode(&record)?)
            }
        };
        let appended = self
            .store
            .append(LEADER_TOPIC, key, &value, Some(self.end))
            .await?;
        if let AppendOutcome::Appended(offset) = appended {
            self.end = offset + 1;
            return Ok(true);
        }
        // The topic does not end where expected: either the response to an earlier
        // append of this writer was lost, or another instance has become leader.
        let latest = self.store.read_latest(LEADER_TOPIC).await?;
        let item = latest.records.iter().find(|item| item.key == LEADER_KEY);
        let value = item.and_then(|item| item.value.clone());
        let record: Option<LeaderRecord> = match value {
            Some(bytes) => Some(postcard::from_bytes(&bytes).map_err(decode_error)?),
            None => None,
        };
        match record {
            Some(record) if record.nonce == self.nonce => {
                self.end = latest.next_offset;
                Err(Error::Refused(412))
            }
            _ => Ok(false),
        }
    }
}

/// Returns the epoch claimed by the record at `offset`. Epoch 0 means that there is no
/// leader, so epochs start at 1.
pub(super) fn epoch_at_offset(offset: u64) -> u64 {
    offset + 1
}

pub(super) fn decode_error(error: postcard::Error) -> Error {
    Error::Malformed(error.to_string())
}
