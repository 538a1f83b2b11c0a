//! Requests of callers, and what they were answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use medlarreel_standin::client::{ClientRequest, ClientResponse};
use medlarreel_standin::upstream::Echo;
use tokio::task::JoinSet;

use crate::cluster::{self, Cluster, PATIENCE, SHARDS};

/// Callers that send in the background.
const CALLERS: u64 = 4;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// What a caller learned about one request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Answered by an upstream.
    Served(Echo),
    /// Refused as not run, with the code.
    NotRun(String),
    /// Answered, but whether it ran is unknown or it failed; with the code.
    Unknown(String),
    /// Not answered.
    Lost,
}

/// One request; its path and idempotency key are its own.
#[derive(Clone, Debug)]
pub struct Sent {
    pub path: String,
    pub body_bytes: usize,
    /// Absent for idempotent requests.
    pub idempotency_key: Option<String>,
    pub outcome: Outcome,
}

/// All requests of a test.
pub struct Calls {
    next: AtomicU64,
    sent: Mutex<Vec<Sent>>,
    /// Where background callers send.
    entries: Mutex<Vec<SocketAddr>>,
    stop: AtomicBool,
    /// A key for each shard.
    keys: Mutex<Vec<String>>,
}

/// Background callers.
pub struct Load {
    calls: Arc<Calls>,
    callers: JoinSet<()>,
}

impl Calls {
    /// No calls yet; finds a key for each shard, and thereby waits until every
    /// shard is served.
    pub async fn new(cluster: &Cluster) -> Arc<Calls> {
        let calls = Calls {
            next: AtomicU64::new(0),
            sent: Mutex::default(),
            entries: Mutex::default(),
            stop: AtomicBool::new(false),
            keys: Mutex::default(),
        };
        calls.enter(cluster);
        let mut found: Vec<Option<String>> = vec![None; usize::from(SHARDS)];
        for number in 0.. {
            if found.iter().all(Option::is_some) {
                break;
            }
            let key = format!("key-{number}");
            let echo = calls.until_served(&key, cluster.instances[0].callers).await;
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
    pub fn enter(&self, cluster: &Cluster) {
        let entries = cluster.instances.iter().map(|instance| instance.callers);
        self.direct(entries.collect());
    }

    /// Directs background callers to these addresses.
    pub fn direct(&self, entries: Vec<SocketAddr>) {
        *self.entries.lock().expect("no panic before") = entries;
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().expect("no panic before").clone()
    }

    /// Sends a status read.
    pub async fn read(&self, key: &str, to: SocketAddr) -> Outcome {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let path = format!("/intake/reads/{number}");
        let ask = ClientRequest::get(&path).with_header("medlar-key", key);
        let ask = ask.with_header("medlar-rank", "status");
        self.call(ask, path, None, to).await
    }

    /// Sends a booking. One without a known outcome is repeated at another
    /// instance under the same idempotency key, as callers do. It
    /// counts as a further attempt only if the one before may have run.
    pub async fn book(&self, key: &str, to: &[SocketAddr]) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let booking = format!("booking-{number}");
        let mut attempt = 1;
        for (index, entry) in to.iter().enumerate() {
            let path = format!("/intake/{booking}/{index}");
            let body = "b".repeat(1 + (number % 1_000) as usize);
            let ask = ClientRequest::post(&path, body)
                .with_header("medlar-key", key)
                .with_header("medlar-rank", "order")
                .with_header("idempotency-key", &booking)
                .with_header("medlar-attempt", &attempt.to_string());
            match self.call(ask, path, Some(&booking), *entry).await {
                Outcome::Served(_) => break,
                Outcome::NotRun(_) => {}
                Outcome::Unknown(_) | Outcome::Lost => attempt += 1,
            }
        }
    }

    async fn call(
        &self,
        ask: ClientRequest,
        path: String,
        key: Option<&str>,
        to: SocketAddr,
    ) -> Outcome {
        let body_bytes = ask.body.len();
        let outcome = Outcome::of(cluster::send(ask, to).await);
        self.sent.lock().expect("no panic before").push(Sent {
            path,
            body_bytes,
            idempotency_key: key.map(str::to_owned),
            outcome: outcome.clone(),
        });
        outcome
    }

    /// Reads a key through an instance until an upstream answers.
    pub async fn until_served(&self, key: &str, to: SocketAddr) -> Echo {
        let end = Instant::now() + PATIENCE;
        loop {
            let outcome = self.read(key, to).await;
            if let Outcome::Served(echo) = outcome {
                return echo;
            }
            assert!(Instant::now() < end, "{key} through {to}: {outcome:?}");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Reads a key of each shard through each instance until an upstream
    /// answers, and returns the upstreams' names by shard.
    pub async fn serve_all(self: &Arc<Calls>, through: Vec<SocketAddr>) -> Vec<String> {
        let mut readers = JoinSet::new();
        for entry in through {
            let calls = Arc::clone(self);
            readers.spawn(async move {
                let mut owners = Vec::new();
                for key in calls.keys() {
                    owners.push(calls.until_served(&key, entry).await.upstream);
                }
                owners
            });
        }
        let results = readers.join_all().await;
        results.into_iter().next_back().expect("at least one entry")
    }

    /// Starts callers in the background.
    pub fn load(self: &Arc<Calls>) -> Load {
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            callers.spawn(Arc::clone(self).run(caller));
        }
        Load {
            calls: Arc::clone(self),
            callers,
        }
    }

    async fn run(self: Arc<Calls>, caller: u64) {
        let keys = self.keys();
        let mut round = caller;
        while !self.stop.load(Ordering::Relaxed) {
            let mut entries = self.entries.lock().expect("no panic before").clone();
            let first = (round / CALLERS) as usize % entries.len();
            entries.rotate_left(first);
            let key = &keys[(round as usize * 7) % keys.len()];
            if round.is_multiple_of(3) {
                self.book(key, &entries[..entries.len().min(2)]).await;
            } else {
                self.read(key, entries[0]).await;
            }
            round += CALLERS;
            tokio::time::sleep(PAUSE).await;
        }
    }
}

impl Load {
    /// Ends the callers after their current requests.
    pub async fn end(self) {
        self.calls.stop.store(true, Ordering::Relaxed);
        self.callers.join_all().await;
    }
}

impl Outcome {
    fn of(answer: Option<ClientResponse>) -> Outcome {
        let Some(answer) = answer else {
            return Outcome::Lost;
        };
        let code = answer.header("medlar-code").unwrap_or_default().to_owned();
        match answer.header("medlar-outcome") {
            Some("not-run") => Outcome::NotRun(code),
            Some(_) => Outcome::Unknown(code),
            None => answer
                .json()
                .map_or(Outcome::Unknown(code), Outcome::Served),
        }
    }
}
