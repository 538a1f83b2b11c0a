//! Requests sent by callers, and their outcomes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use medlarreel_standin::client::{ClientRequest, ClientResponse};
use medlarreel_standin::upstream::Echo;
use tokio::task::JoinSet;

use crate::cluster::{self, Cluster, SHARDS, WAIT_TIMEOUT};

/// Number of callers that send in the background.
const BACKGROUND_CALLERS: u64 = 4;

/// Pause of a background caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(10);

/// Outcome of one request as seen by the caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Answered by an upstream.
    Served(Echo),
    /// Refused without having run, with the code.
    NotRun(String),
    /// Failed, or it is unknown whether it ran; with the code, which is empty if the
    /// response names none.
    Unknown(String),
    /// No response.
    Lost,
}

/// One request. Its path is unique; the requests of one booking share their idempotency
/// key.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub path: String,
    pub body_bytes: usize,
    /// `None` for reads.
    pub idempotency_key: Option<String>,
    pub outcome: Outcome,
}

/// Sends and records all requests of a test.
pub struct Calls {
    next_number: AtomicU64,
    sent: Mutex<Vec<SentRequest>>,
    /// Addresses that background callers send to.
    addresses: Mutex<Vec<SocketAddr>>,
    stop: AtomicBool,
    /// One key for each shard.
    keys: Mutex<Vec<String>>,
}

/// Background callers.
pub struct Load {
    calls: Arc<Calls>,
    callers: JoinSet<()>,
}

impl Calls {
    /// Finds a key for each shard, which also waits until every shard is served.
    pub async fn new(cluster: &Cluster) -> Arc<Calls> {
        let calls = Calls {
            next_number: AtomicU64::new(0),
            sent: Mutex::default(),
            addresses: Mutex::default(),
            stop: AtomicBool::new(false),
            keys: Mutex::default(),
        };
        calls.target_all_instances(cluster);
        let mut found: Vec<Option<String>> = vec![None; usize::from(SHARDS)];
        for number in 0.. {
            if found.iter().all(Option::is_some) {
                break;
            }
            let key = format!("key-{number}");
            let echo = calls
                .wait_until_served(&key, cluster.instances[0].callers)
                .await;
            let shard = echo.shard.expect("the service is keyed");
            found[usize::from(shard)].get_or_insert(key);
        }
        *calls.keys.lock().expect("no panic before") = found.into_iter().flatten().collect();
        Arc::new(calls)
    }

    pub fn keys(&self) -> Vec<String> {
        self.keys.lock().expect("no panic before").clone()
    }

    /// Directs background callers to the instances of the cluster.
    pub fn target_all_instances(&self, cluster: &Cluster) {
        let addresses = cluster.instances.iter().map(|instance| instance.callers);
        self.target(addresses.collect());
    }

    /// Directs background callers to these addresses.
    pub fn target(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.lock().expect("no panic before") = addresses;
    }

    pub fn sent(&self) -> Vec<SentRequest> {
        self.sent.lock().expect("no panic before").clone()
    }

    /// Sends a read of rank `status`.
    pub async fn send_read(&self, key: &str, to: SocketAddr) -> Outcome {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let path = format!("/intake/reads/{number}");
        let request = ClientRequest::get(&path).with_header("medlar-key", key);
        let request = request.with_header("medlar-rank", "status");
        self.send(request, path, None, to).await
    }

    /// Sends a booking. A booking that was not served is repeated at another instance
    /// under the same idempotency key, as callers do. The repetition counts as a further
    /// attempt only if the previous one may have run.
    pub async fn send_booking(&self, key: &str, to: &[SocketAddr]) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let booking = format!("booking-{number}");
        let mut attempt = 1;
        for (index, address) in to.iter().enumerate() {
            let path = format!("/intake/{booking}/{index}");
            let body = "b".repeat(1 + (number % 1_000) as usize);
            let request = ClientRequest::post(&path, body)
                .with_header("medlar-key", key)
                .with_header("medlar-rank", "order")
                .with_header("idempotency-key", &booking)
                .with_header("medlar-attempt", &attempt.to_string());
            match self.send(request, path, Some(&booking), *address).await {
                Outcome::Served(_) => break,
                Outcome::NotRun(_) => {}
                Outcome::Unknown(_) | Outcome::Lost => attempt += 1,
            }
        }
    }

    async fn send(
        &self,
        request: ClientRequest,
        path: String,
        key: Option<&str>,
        to: SocketAddr,
    ) -> Outcome {
        let body_bytes = request.body.len();
        let outcome = Outcome::from_response(cluster::send(request, to).await);
        self.sent
            .lock()
            .expect("no panic before")
            .push(SentRequest {
                path,
                body_bytes,
                idempotency_key: key.map(str::to_owned),
                outcome: outcome.clone(),
            });
        outcome
    }

    /// Repeats a read through an instance until an upstream answers.
    pub async fn wait_until_served(&self, key: &str, to: SocketAddr) -> Echo {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let outcome = self.send_read(key, to).await;
            if let Outcome::Served(echo) = outcome {
                return echo;
            }
            assert!(Instant::now() < deadline, "{key} through {to}: {outcome:?}");
            tokio::time::sleep(CALLER_PAUSE).await;
        }
    }

    /// Reads a key of each shard through each instance until an upstream answers, and
    /// returns the names of the upstreams by shard, as answered through any one instance.
    pub async fn wait_until_all_served(
        self: &Arc<Calls>,
        addresses: Vec<SocketAddr>,
    ) -> Vec<String> {
        let mut readers = JoinSet::new();
        for address in addresses {
            let calls = Arc::clone(self);
            readers.spawn(async move {
                let mut owners = Vec::new();
                for key in calls.keys() {
                    owners.push(calls.wait_until_served(&key, address).await.upstream);
                }
                owners
            });
        }
        let results = readers.join_all().await;
        results.into_iter().next_back().expect("at least one entry")
    }

    /// Starts the background callers.
    pub fn start_load(self: &Arc<Calls>) -> Load {
        let mut callers = JoinSet::new();
        for caller in 0..BACKGROUND_CALLERS {
            callers.spawn(Arc::clone(self).run_caller(caller));
        }
        Load {
            calls: Arc::clone(self),
            callers,
        }
    }

    async fn run_caller(self: Arc<Calls>, caller: u64) {
        let keys = self.keys();
        let mut round = caller;
        while !self.stop.load(Ordering::Relaxed) {
            let mut addresses = self.addresses.lock().expect("no panic before").clone();
            let first = (round / BACKGROUND_CALLERS) as usize % addresses.len();
            addresses.rotate_left(first);
            let key = &keys[(round as usize * 7) % keys.len()];
            if round.is_multiple_of(3) {
                self.send_booking(key, &addresses[..addresses.len().min(2)])
                    .await;
            } else {
                self.send_read(key, addresses[0]).await;
            }
            round += BACKGROUND_CALLERS;
            tokio::time::sleep(CALLER_PAUSE).await;
        }
    }
}

impl Load {
    /// Stops the callers after their current requests.
    pub async fn stop(self) {
        self.calls.stop.store(true, Ordering::Relaxed);
        self.callers.join_all().await;
    }
}

impl Outcome {
    fn from_response(response: Option<ClientResponse>) -> Outcome {
        let Some(response) = response else {
            return Outcome::Lost;
        };
        let code = response
            .header("medlar-code")
            .unwrap_or_default()
            .to_owned();
        match response.header("medlar-outcome") {
            Some("not-run") => Outcome::NotRun(code),
            Some(_) => Outcome::Unknown(code),
            None => response
                .json()
                .map_or(Outcome::Unknown(code), Outcome::Served),
        }
    }
}
