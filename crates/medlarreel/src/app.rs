//! State shared by the traffic threads.
//!
//! The control thread publishes an immutable `Snapshot`, which the traffic threads read
//! without locking.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};

use std::collections::VecDeque;
use std::sync::Mutex;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use medlarreel_core::fold::State;
use medlarreel_core::ids::{Instance, Offset, Upstream};
use medlarreel_core::route::RoutingTable;
use rand::Rng;

use crate::clock::Clock;
use crate::dispatch::{Lane, Pool};
use crate::metrics::Metrics;
use crate::proxy::call;
use crate::proxy::load_balancer::LoadBalancer;
use crate::proxy::retries::SharedRetryBudget;

/// Percentage of requests that may be retried before a preset is in force.
const DEFAULT_RETRY_PERCENT: u8 = 10;

/// Maximum number of records kept for peers that cannot reach the log.
const MAX_KEPT_RECORDS: usize = 4_096;

/// Maximum total size of the request bodies that an instance buffers at a time. Entry
/// instances have little memory; 256 requests with bodies of 1 MiB reach the limit.
pub const MAX_BUFFERED_BODY_BYTES: usize = 256 * 1024 * 1024;

/// State of the system as the traffic threads see it.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Whether `state` has been replayed up to the end of the log or adopted from a peer.
    pub established: bool,
    /// Whether the log service answers this instance.
    pub log_reachable: bool,
    /// State replicated through the log.
    pub state: Arc<State>,
    /// Likely control holder; `None` if none is known.
    pub holder: Option<Instance>,
    /// Routes of all services.
    pub table: RoutingTable,
    /// Lanes of the upstreams that this instance dispatches to.
    pub lanes: HashMap<Upstream, Arc<Lane>>,
    /// Connection pools of the members of all clubs.
    pub peers: HashMap<Instance, Arc<Pool>>,
}

/// State shared by the traffic threads of one instance.
#[derive(Debug)]
pub struct App {
    /// Id of this instance.
    pub me: Instance,
    /// Name of this instance's club.
    pub home_club: String,
    /// Name of this instance's failure domain.
    pub domain: String,
    /// Monotonic clock.
    pub clock: Clock,
    /// Token that authenticates requests between instances.
    pub peer_token: HeaderValue,
    /// Number of open requests, including forwarded ones, at which requests from callers
    /// are refused.
    pub max_open_requests: u32,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Limits retries to a percentage of the requests, which the active preset sets.
    pub retry_budget: SharedRetryBudget,
    /// Load balancer for services that are not keyed.
    pub load_balancer: LoadBalancer,
    snapshot: ArcSwap<Snapshot>,
    open_requests: AtomicU32,
    buffered_body_bytes: AtomicUsize,
    readiness_withdrawn: AtomicBool,
    stopping: AtomicBool,
    next_request_id: AtomicU64,
    recent_records: Mutex<VecDeque<(Offset, Bytes)>>,
}

/// Guard of an open request, which is counted until dropped.
#[derive(Debug)]
pub struct OpenRequest<'a>(&'a App);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Memory used by one request body, which is counted until dropped.
#[derive(Debug)]
pub struct BodyMemory<'a> {
    app: &'a App,
    bytes: usize,
}

impl BodyMemory<'_> {
    /// Counts further bytes; false if all request bodies together then exceed
    /// `MAX_BUFFERED_BODY_BYTES`. The bytes count in that case too.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let before = self
            .app
            .buffered_body_bytes
            .fetch_add(bytes, Ordering::AcqRel);
        before + bytes <= MAX_BUFFERED_BODY_BYTES
    }
}

impl Drop for BodyMemory<'_> {
    fn drop(&mut self) {
        self.app
            .buffered_body_bytes
            .fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

impl App {
    /// Creates the shared state of an instance that has no established state yet.
    pub fn new(
        me: Instance,
        home_club: String,
        domain: String,
        clock: Clock,
        peer_token: HeaderValue,
        max_open_requests: u32,
    ) -> App {
        App {
            me,
            home_club,
            domain,
            clock,
            peer_token,
            max_open_requests,
            metrics: Metrics::new(),
            retry_budget: SharedRetryBudget::new(clock.now(), DEFAULT_RETRY_PERCENT),
            load_balancer: LoadBalancer::default(),
            snapshot: ArcSwap::default(),
            open_requests: AtomicU32::new(0),
            buffered_body_bytes: AtomicUsize::new(0),
            readiness_withdrawn: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            // Ids are transferred as JSON numbers, which are exact only below 2^53.
            next_request_id: AtomicU64::new(rand::rng().random::<u64>() >> 12),
            recent_records: Mutex::default(),
        }
    }

    /// Returns the current snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Publishes a new snapshot to the traffic threads.
    pub fn publish(&self, snapshot: Snapshot) {
        self.load_balancer.update(self.clock.now(), &snapshot);
        self.metrics
            .count_ownership_changes(&self.snapshot.load(), &snapshot);
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Counts a caller's request as open; `None` if `max_open_requests` is reached.
    pub fn open_request(&self) -> Option<OpenRequest<'_>> {
        let before = self.open_requests.fetch_add(1, Ordering::AcqRel);
        let open = OpenRequest(self);
        (before < self.max_open_requests).then_some(open)
    }

    /// Returns a counter, initially zero, for the memory of a request body.
    pub fn body_memory(&self) -> BodyMemory<'_> {
        let bytes = 0;
        BodyMemory { app: self, bytes }
    }

    /// Counts a forwarded request as open, without a limit. Forwarded requests are
    /// limited by the pools of the other instances, and excess load from callers must
    /// not displace them.
    pub fn open_forwarded_request(&self) -> OpenRequest<'_> {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest(self)
    }

    /// Returns the number of open requests, both from callers and forwarded.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Returns an id for the next attempt, unique within this process.
    pub fn next_request_id(&self) -> u64 {
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Reports the instance as not ready from now on; requests are still served.
    pub fn withdraw_readiness(&self) {
        self.readiness_withdrawn.store(true, Ordering::Release);
    }

    /// Refuses new requests from callers from now on. Forwarded requests are still
    /// served.
    pub fn refuse_new_requests(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether new requests from callers are refused.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns whether the headers carry the peer token.
    pub fn verify_peer_token(&self, headers: &HeaderMap) -> bool {
        let given = headers
            .get(&call::PEER_TOKEN_HEADER)
            .map_or(&[][..], HeaderValue::as_bytes);
        constant_time_eq(given, self.peer_token.as_bytes())
    }

    /// Keeps the newest `MAX_KEPT_RECORDS` records for peers that cannot reach the log.
    /// Records that are not newer than the last one kept are ignored.
    pub fn keep_records(&self, records: &[(Offset, Bytes)]) {
        let mut kept = self.lock_recent_records();
        for record in records {
            if kept.back().is_none_or(|last| last.0 < record.0) {
                kept.push_back(record.clone());
            }
        }
        let excess = kept.len().saturating_sub(MAX_KEPT_RECORDS);
        kept.drain(..excess);
    }

    /// Returns the records from an offset on; `None` if some of them are no longer kept
    /// or no record is kept at all.
    pub fn records_from(&self, from: Offset) -> Option<Vec<(Offset, Bytes)>> {
        let kept = self.lock_recent_records();
        let first = kept.front()?.0;
        if from < first {
            return None;
        }
        Some(
            kept.iter()
                .filter(|record| record.0 >= from)
                .cloned()
                .collect(),
        )
    }

    fn lock_recent_records(&self) -> std::sync::MutexGuard<'_, VecDeque<(Offset, Bytes)>> {
        self.recent_records
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns whether this instance is the likely control holder.
    pub fn holds_control(&self) -> bool {
        self.snapshot.load().holder == Some(self.me)
    }

    /// Returns whether the instance reports itself as ready: it has its state and an
    /// active preset, and its readiness has not been withdrawn.
    pub fn is_ready(&self) -> bool {
        let snapshot = self.snapshot.load();
        snapshot.established
            && snapshot.table.preset.is_some()
            && !self.readiness_withdrawn.load(Ordering::Acquire)
    }
}

impl Snapshot {
    /// Returns the pool of connections to an instance's peer listener; `None` if the
    /// instance is not a member of any club.
    pub fn peer(&self, instance: Instance) -> Option<&Arc<Pool>> {
        self.peers.get(&instance)
    }
}

/// Compares secrets in a time that does not depend on where they differ, to avoid a
/// timing side channel.
pub fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let difference = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    left.len() == right.len() && difference == 0
}
