//! Records in the store: the leader's, the owners', and the instances'.

use std::net::SocketAddr;
use std::rc::Rc;

use medlarreel_core::entry::leadership;
use medlarreel_core::entry::map::OwnerMap;
use medlarreel_core::time::Time;
use medlarreel_macros::data;
use tokio::net::UdpSocket;

use super::RETRY_PAUSE;
use crate::error::Error;
use crate::peers::{self, Message};
use crate::platform::store::{AppendOutcome, StoreClient};
use crate::state::{Member, State};

/// Topic of the leader's records.
pub(super) const LEADER_TOPIC: &str = "keyed.medlarreel";

/// Topic of the instances.
const INSTANCES_TOPIC: &str = "keyed.medlarreel-instances";

/// Key of the record that names the leader.
pub(super) const LEADER_KEY: &str = "lead";

/// Key of the record that names the possible holder of each key.
pub(super) const OWNERS_KEY: &str = "owners";

/// The leader's record.
#[data(value)]
pub(super) struct LeaderRecord {
    pub(super) name: String,
    /// Distinguishes the records of two processes with one name.
    pub(super) nonce: u64,
    /// Epoch of the lead; 0 in the record by which it was won.
    pub(super) epoch: u64,
}

/// An instance's record.
#[data(value)]
struct InstanceRecord {
    pub(super) address: SocketAddr,
    pub(super) started: u64,
    /// Share of a core that the instance may use, in percent.
    pub(super) cpu_percent: u32,
}

/// Access to the leader's topic.
#[derive(Debug)]
pub(super) struct RecordWriter {
    pub(super) store: StoreClient,
    /// Distinguishes this process's records from those of others.
    pub(super) nonce: u64,
    /// End of the topic after the newest own record.
    pub(super) end: u64,
}

/// Outcome of a write of the leader.
#[derive(Debug)]
pub(super) struct WriteResult {
    pub(super) epoch: u64,
    pub(super) sent_at: Time,
    /// Version of the record of owners, if it was written.
    pub(super) version: Option<u64>,
    /// Whether this instance still leads.
    pub(super) result: Result<bool, Error>,
}

/// Announces this instance and learns of the others.
pub async fn join(state: &Rc<State>, socket: &UdpSocket) {
    let settings = state.settings.borrow().clone();
    let mut store = StoreClient::new(settings.store);
    let presence = InstanceRecord {
        address: settings.peers,
        started: state.started,
        cpu_percent: settings.cpu_percent,
    };
    loop {
        match announce(&mut store, &settings.name, &presence).await {
            Ok(members) => {
                state.record_store_result(true);
                let mut known = state.members.borrow_mut();
                for (name, presence) in members {
                    let member = Member {
                        address: presence.address,
                        started: presence.started,
                        cpu_percent: presence.cpu_percent,
                        last_heard: None,
                    };
                    if name != settings.name {
                        known.entry(name).or_insert(member);
                    }
                }
                tracing::info!(members = known.len(), "instances known");
                break;
            }
            Err(error) => {
                state.record_store_result(false);
                tracing::debug!(%error, "presence not announced");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    let hello = Message::Hello {
        name: settings.name,
        started: state.started,
        cpu_percent: settings.cpu_percent,
    };
    peers::broadcast(state, socket, &hello).await;
    *state.leadership.borrow_mut() = leadership::Leadership::new(state.clock.now());
}

async fn announce(
    store: &mut StoreClient,
    name: &str,
    presence: &InstanceRecord,
) -> Result<Vec<(String, InstanceRecord)>, Error> {
    let value = encode(presence)?;
    store.append(INSTANCES_TOPIC, name, &value, None).await?;
    let newest = store.read_latest(INSTANCES_TOPIC).await?;
    let items = newest.records.into_iter();
    Ok(items
        .filter_map(|item| {
            let presence = postcard::from_bytes(&item.value?).ok()?;
            Some((item.key, presence))
        })
        .collect())
}

pub(super) fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    postcard::to_allocvec(value).map_err(|error| Error::Malformed(error.to_string()))
}

impl RecordWriter {
    /// Appends a record; false if another instance leads.
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
        // The topic ends elsewhere: an own append whose answer was lost, or
        // another leader.
        let newest = self.store.read_latest(LEADER_TOPIC).await?;
        let item = newest.records.iter().find(|item| item.key == LEADER_KEY);
        let value = item.and_then(|item| item.value.clone());
        let record: Option<LeaderRecord> = match value {
            Some(bytes) => Some(postcard::from_bytes(&bytes).map_err(decode_error)?),
            None => None,
        };
        match record {
            Some(record) if record.nonce == self.nonce => {
                self.end = newest.next_offset;
                Err(Error::Refused(412))
            }
            _ => Ok(false),
        }
    }
}

/// Epoch of the lead that the record at `offset` won. 0 stands for no leader.
pub(super) fn epoch_at_offset(offset: u64) -> u64 {
    offset + 1
}

pub(super) fn decode_error(error: postcard::Error) -> Error {
    Error::Malformed(error.to_string())
}
