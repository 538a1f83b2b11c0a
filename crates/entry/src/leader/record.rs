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
use crate::platform::store::{AppendOutcome, LatestRecords, StoreClient};
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
const LEADER_KEY: &str = "lead";

/// Key of the record with the possible holder of each service key.
const OWNERS_KEY: &str = "owners";

/// Record that claims or renews leadership.
#[data(value)]
pub(super) struct LeaderRecord {
    pub(super) name: String,
    /// Distinguishes writers that use the same instance name.
    pub(super) nonce: u64,
    /// Epoch of the leadership; 0 in the record that claims it.
    pub(super) epoch: u64,
    /// Era of the store in which the leadership was claimed.
    pub(super) era: Era,
}

impl LeaderRecord {
    /// Epoch of the leadership, given the offset of the record.
    pub(super) fn epoch(&self, offset: u64) -> u64 {
        match self.epoch {
            0 => self.era.epoch_at(offset),
            epoch => epoch,
        }
    }
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
    /// Era in which the process has joined the others; not known in the first era.
    pub(super) first_era: Era,
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
    /// Era of the store in which leadership was claimed, to which `end` belongs.
    pub(super) era: Era,
}

/// Result of a write to the leader's topic.
#[derive(Debug)]
pub(super) struct WriteResult {
    pub(super) epoch: u64,
    /// Time before the write was sent.
    pub(super) sent_at: Time,
    /// Version of the record of owners, if that is what was written.
    pub(super) version: Option<u64>,
    pub(super) result: Result<Written, Error>,
}

/// Effect of a write to the leader's topic.
#[derive(Debug)]
pub(super) enum Written {
    /// The record was appended.
    Appended,
    /// Leadership was claimed again, in this epoch.
    Claimed(u64),
    /// Nothing was appended, since another instance has become leader.
    Replaced,
}

/// Announces this instance in the store and to the other instances, and loads the list of
/// instances. Retries until the store responds. Starts a task that does the same at the
/// beginning of each later era of the store.
pub async fn join_cluster(state: &Rc<State>, socket: &Rc<UdpSocket>) {
    let settings = state.settings.borrow().clone();
    let mut membership = Membership {
        store: StoreClient::new(settings.store, state.memory.clone()),
        name: settings.name,
        record: InstanceRecord {
            address: settings.peers,
            started: state.started,
            cpu_percent: settings.cpu_percent,
            domain: settings.domain,
            first_era: Era::default(),
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
        let mut last_error = None;
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
                    if last_error.as_ref() != Some(&error) {
                        tracing::info!(%error, "failed to announce this instance");
                        last_error = Some(error);
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn announce(&mut self) -> Result<Vec<(String, InstanceRecord)>, Error> {
        self.append_record().await?;
        if !self.record.first_era.is_known() && self.era > Era::FIRST {
            self.record.first_era = self.era;
            self.append_record().await?;
        }
        let latest = self.store.read_latest(INSTANCES_TOPIC).await?;
        let items = latest.records.into_iter();
        Ok(items
            .filter_map(|item| {
                let record = postcard::from_bytes(&item.value?).ok()?;
                Some((item.key, record))
            })
            .collect())
    }
}

impl Membership {
    async fn append_record(&mut self) -> Result<(), Error> {
        let value = encode(&self.record)?;
        let store = &mut self.store;
        store
            .append(INSTANCES_TOPIC, &self.name, &value, None)
            .await?;
        self.era = store.era();
        Ok(())
    }
}

impl From<InstanceRecord> for Member {
    fn from(record: InstanceRecord) -> Member {
        Member {
            address: record.address,
            started: record.started,
            cpu_percent: record.cpu_percent,
            domain: record.domain,
            first_era: record.first_era,
            last_heard: None,
        }
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    postcard::to_allocvec(value).map_err(|error| Error::Malformed(error.to_string()))
}

impl RecordWriter {
    /// Appends the record that claims leadership, provided that the topic still ends at
    /// `end`. Returns the claimed epoch.
    ///
    /// # Errors
    ///
    /// See `write`. The topic must have been read in the era of the last response.
    pub(super) async fn claim(&mut self, name: &str, end: u64) -> Result<u64, Error> {
        let era = self.store.era();
        let record = LeaderRecord {
            name: name.to_owned(),
            nonce: self.nonce,
            epoch: 0,
            era,
        };
        let value = encode(&record)?;
        let appended = self
            .store
            .append(LEADER_TOPIC, LEADER_KEY, &value, Some(end))
            .await?;
        match appended {
            // The condition may have held by chance in a later era.
            _ if self.store.era() != era => Err(Error::Restored),
            AppendOutcome::Appended(offset) => {
                (self.end, self.era) = (offset + 1, era);
                Ok(era.epoch_at(offset))
            }
            AppendOutcome::Conflict => Err(Error::Refused(412)),
        }
    }

    /// Claims leadership again after the store has been restored, unless another instance
    /// has done so.
    ///
    /// # Errors
    ///
    /// See `write`.
    pub(super) async fn claim_again(&mut self, name: &str) -> Result<Written, Error> {
        let latest = self.store.read_latest(LEADER_TOPIC).await?;
        let record = leader_record(&latest)?;
        let is_replaced = record.is_some_and(|(_, record)| {
            record.nonce != self.nonce && record.era == self.store.era()
        });
        match is_replaced {
            true => Ok(Written::Replaced),
            false => Ok(Written::Claimed(
                self.claim(name, latest.next_offset).await?,
            )),
        }
    }

    /// Appends the record of owners, or renews leadership if `owners` is `None`.
    ///
    /// # Errors
    ///
    /// After `NotSent` and `Refused` the append had no effect and can be repeated.
    /// `Refused` is also returned if an earlier append of this writer, whose response was
    /// lost, or a delayed one from an earlier era has moved the end of the topic. After
    /// `Restored`, leadership must be claimed again. After any other error the append may
    /// take effect now or later.
    pub(super) async fn write(
        &mut self,
        name: &str,
        epoch: u64,
        owners: Option<&OwnerMap>,
    ) -> Result<Written, Error> {
        let (key, value) = match owners {
            Some(map) => (OWNERS_KEY, encode(map)?),
            None => {
                let record = LeaderRecord {
                    name: name.to_owned(),
                    nonce: self.nonce,
                    epoch,
                    era: self.era,
                };
                (LEADER_KEY, encode(&record)?)
            }
        };
        let appended = self
            .store
            .append(LEADER_TOPIC, key, &value, Some(self.end))
            .await?;
        if self.store.era() != self.era {
            return Err(Error::Restored);
        }
        if let AppendOutcome::Appended(offset) = appended {
            self.end = offset + 1;
            return Ok(Written::Appended);
        }
        // The topic does not end where expected: either the response to an earlier
        // append of this writer was lost, or another instance has become leader.
        let latest = self.store.read_latest(LEADER_TOPIC).await?;
        if self.store.era() != self.era {
            return Err(Error::Restored);
        }
        match leader_record(&latest)? {
            // A delayed append of an earlier era's leader does not claim this one.
            Some((_, record)) if record.nonce == self.nonce || record.era < self.era => {
                self.end = latest.next_offset;
                Err(Error::Refused(412))
            }
            _ => Ok(Written::Replaced),
        }
    }
}

/// Returns the record that names the leader, and its offset.
///
/// # Errors
///
/// Returns an error if the record cannot be decoded.
pub(super) fn leader_record(latest: &LatestRecords) -> Result<Option<(u64, LeaderRecord)>, Error> {
    let Some((offset, value)) = find_value(latest, LEADER_KEY) else {
        return Ok(None);
    };
    let record = postcard::from_bytes(value).map_err(decode_error)?;
    Ok(Some((offset, record)))
}

/// Returns the record of owners.
///
/// # Errors
///
/// Returns an error if the record cannot be decoded.
pub(super) fn owners_record(latest: &LatestRecords) -> Result<Option<OwnerMap>, Error> {
    let value = find_value(latest, OWNERS_KEY);
    let owners = value.map(|(_, bytes)| postcard::from_bytes(bytes));
    owners.transpose().map_err(decode_error)
}

/// Offset and value of the latest record of a key.
fn find_value<'a>(latest: &'a LatestRecords, key: &str) -> Option<(u64, &'a [u8])> {
    let item = latest.records.iter().find(|item| item.key == key)?;
    Some((item.offset, item.value.as_deref()?))
}

fn decode_error(error: postcard::Error) -> Error {
    Error::Malformed(error.to_string())
}

/// Whether the record of owners names the possible holder of each key. One from an earlier
/// era may lack what was recorded since the store's copy was made.
pub(super) fn is_complete(owners: Option<&OwnerMap>, era: Era) -> bool {
    match owners {
        Some(owners) => Era::of_epoch(owners.epoch) == era,
        None => era <= Era::FIRST,
    }
}
