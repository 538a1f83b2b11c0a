//! Crowds of callers that use as much of an instance as its limits let them: the real
//! program with little memory and few descriptors, between raw callers and upstreams.
//!
//! The bounds are those of the settings. Nothing here depends on how fast the machine is,
//! or on how many requests of the crowd are served.

mod callers;
mod endless;
mod upstream;

#[path = "../path/fixture.rs"]
#[allow(dead_code, reason = "this target uses a part of the fixture")]
mod fixture;

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_standin::platform::store::{self, Store};
use medlarreel_standin::server::{Server, any_port};
use serde_json::json;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

use callers::{Body, Caller};
use fixture::{Instance, config_text, request_text, send_request, start_instance_with, wait_until};

/// Memory of an instance in bytes, as its settings name it.
const MEMORY: usize = 64_000_000;

/// File descriptors of an instance, as its settings name them.
const DESCRIPTORS: usize = 256;

/// Size of a large body in bytes, which is within the limit.
const LARGE_BODY: usize = 8 << 20;

/// Limit of request bodies in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// Time for which a crowd is watched once it is there.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Held by the test that runs: each measures a process that is to run alone.
static TURN: Mutex<()> = Mutex::const_new(());

/// An instance with little memory, a store and upstreams.
struct Crowded {
    instance: Instance,
    store: Server<Store>,
    _turn: MutexGuard<'static, ()>,
}

async fn start() -> Crowded {
    start_beside(&[]).await
}

/// Starts an instance also beside keyed upstreams, given by their ids and addresses.
async fn start_beside(keyed: &[(String, SocketAddr)]) -> Crowded {
    let turn = TURN.lock().await;
    let store = store::start(any_port()).await.unwrap();
    for number in 0..3 {
        let address = upstream::start(LARGE_BODY);
        register(&store, "plain", &format!("p{number}"), address, "ready");
    }
    for (id, address) in keyed {
        register(&store, "keyed", id, *address, "ready");
    }
    let config = config_text(1, BODY_LIMIT);
    store.service().put("keyed.op", "config", config.as_bytes());
    let limits = format!(
        "[limits]\nmemory = {} MB\ndescriptors = {DESCRIPTORS}\n",
        MEMORY / 1_000_000
    );
    let instance = start_instance_with(store.address(), |text| text + &limits).await;
    let crowded = Crowded {
        instance,
        store,
        _turn: turn,
    };
    crowded.wait_until_served().await;
    crowded
}

fn register(store: &Server<Store>, service: &str, id: &str, address: SocketAddr, state: &str) {
    let sequence = if state == "ready" { 1 } else { 2 };
    let registration = json!({
        "service": service, "address": address.to_string(),
        "zone": "a", "version": "v1", "slots": 6, "state": state,
        "warmupLeftS": 0, "sequence": sequence, "born": 1000,
    });
    let text = registration.to_string();
    store.service().put("keyed.servers", id, text.as_bytes());
}

impl Crowded {
    /// Waits until an ordinary request is answered.
    async fn wait_until_served(&self) {
        wait_until("an ordinary request is answered", async || {
            let request = request_text("GET", "/catalogue/x", "ordinary", "");
            let response = send_request(self.instance.callers, &request).await;
            response.starts_with("HTTP/1.1 200")
        })
        .await;
    }

    /// Waits until a single large request inside the limits is answered.
    async fn wait_until_large_is_served(&self) {
        let body = "y".repeat(LARGE_BODY);
        wait_until("a single large request is answered", async || {
            let request = request_text("POST", "/catalogue/x", "single", &body);
            let response = send_request(self.instance.callers, &request).await;
            response.starts_with("HTTP/1.1 200")
        })
        .await;
    }

    /// Starts `count` callers, of which number `n` behaves as `caller(n)` says.
    fn start_callers(&self, count: usize, caller: impl Fn(usize) -> Caller) -> JoinSet<()> {
        let mut crowd = JoinSet::new();
        for number in 0..count {
            crowd.spawn(callers::run(self.instance.callers, number, caller(number)));
        }
        crowd
    }

    /// Watches the process for `WATCH_TIME`. Panics if it ends or has more descriptors than
    /// the settings allow.
    async fn watch(&mut self) {
        let until = tokio::time::Instant::now() + WATCH_TIME;
        while tokio::time::Instant::now() < until {
            self.check();
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Panics if the process has ended or has had more memory than the settings allow, or has
    /// more descriptors.
    fn check(&mut self) {
        let ended = self.instance.child.try_wait().unwrap();
        assert!(ended.is_none(), "the process has ended");
        let process = format!("/proc/{}", self.instance.child.id());
        let descriptors = std::fs::read_dir(format!("{process}/fd")).unwrap().count();
        assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
        let status = std::fs::read_to_string(format!("{process}/status")).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.unwrap().trim().trim_end_matches(" kB");
        let peak = peak.parse::<usize>().unwrap() * 1024;
        assert!(peak <= MEMORY, "{peak} bytes of memory");
    }
}

/// Guards against a process that holds all bodies that callers send at once.
#[tokio::test]
async fn many_large_bodies_at_once_stay_within_the_memory() {
    let mut crowded = start().await;

    let crowd = crowded.start_callers(24, |_| Caller::Send(Body::Whole(LARGE_BODY)));
    crowded.watch().await;

    crowded.wait_until_served().await;
    drop(crowd);
    crowded.wait_until_large_is_served().await;
    crowded.check();
}

/// Guards against bodies that are collected without a bound while they wait for their end.
#[tokio::test]
async fn bodies_that_stop_short_of_their_end_stay_within_the_memory() {
    let mut crowded = start().await;

    let crowd = crowded.start_callers(24, |number| match number % 2 {
        0 => Caller::Send(Body::Short(LARGE_BODY)),
        _ => Caller::Send(Body::ShortInChunks(LARGE_BODY, 16 << 10)),
    });
    crowded.watch().await;

    crowded.wait_until_served().await;
    crowded.check();
    drop(crowd);
    crowded.wait_until_large_is_served().await;
    crowded.check();
}

/// Guards against responses that are held without a bound for callers that don't read them.
#[tokio::test]
async fn responses_that_are_read_slowly_stay_within_the_memory() {
    let mut crowded = start().await;

    let crowd = crowded.start_callers(24, |number| match number % 2 {
        0 => Caller::Ignore,
        _ => Caller::ReadSlowly,
    });
    crowded.watch().await;

    crowded.wait_until_served().await;
    drop(crowd);
    crowded.wait_until_served().await;
    crowded.check();
}

/// Guards against connections without a bound, idle ones and ones that hold half a head.
#[tokio::test]
async fn many_connections_stay_within_the_descriptors() {
    let mut crowded = start().await;

    let crowd = crowded.start_callers(600, |number| match number % 2 {
        0 => Caller::Idle,
        _ => Caller::HalfHead,
    });
    crowded.watch().await;

    crowded.wait_until_served().await;
    crowded.check();
    drop(crowd);
}

/// Starts an instance beside upstreams whose answers to `path` have no end, and lets half of
/// the upstreams leave. Panics if it ends, takes more memory than its settings allow, or serves
/// no ordinary request.
async fn check_endless_answers(path: &'static str) {
    let upstreams: Vec<(String, SocketAddr)> = (0..24)
        .map(|number| {
            let id = format!("k{number}");
            let answer = endless::ANSWERS[number % endless::ANSWERS.len()];
            (id.clone(), endless::start(id, path, answer))
        })
        .collect();
    let mut crowded = start_beside(&upstreams).await;

    crowded.watch().await;
    for (id, address) in &upstreams[12..] {
        register(&crowded.store, "keyed", id, *address, "draining");
    }
    crowded.watch().await;

    crowded.wait_until_served().await;
    crowded.check();
}

/// Guards against a leader that keeps what upstreams send in reply to grants until they close
/// the connection.
#[tokio::test]
async fn endless_replies_to_grants_stay_within_the_memory() {
    check_endless_answers("/medlarreel/grant").await;
}

/// Guards against the same in replies to releases.
#[tokio::test]
async fn endless_replies_to_releases_stay_within_the_memory() {
    check_endless_answers("/medlarreel/release").await;
}

/// Guards against the same in answers to health checks.
#[tokio::test]
async fn endless_answers_to_health_checks_stay_within_the_memory() {
    check_endless_answers("/health").await;
}
