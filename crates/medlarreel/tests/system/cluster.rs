//! One club on loopback: `medlarreeld` processes and in-process stand-ins.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Arc;
use std::time::{Duration, Instant};

use medlarreel_standin::client::{ClientRequest, ClientResponse};
use medlarreel_standin::fault::Outage;
use medlarreel_standin::list::{self, InstanceList};
use medlarreel_standin::log::{self, Log};
use medlarreel_standin::server::{Server, free_ports};
use medlarreel_standin::upstream::{self, Upstream};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Failure domains of the club.
pub const DOMAINS: [&str; 3] = ["loft-a", "loft-b", "loft-c"];

/// Shards of the service.
pub const SHARDS: u16 = 32;

/// Longest wait for an outcome; far above what any step takes on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Longest wait for one answer, above the longest deadline of the preset.
const ANSWER: Duration = Duration::from_secs(15);

const SECRET: &str = "cluster-secret-of-a-test";
const TOKEN: &str = "operator-token-of-a-test";

/// Clubs that run at a time, so that a machine with few cores is not overloaded.
static RUNNING: Semaphore = Semaphore::const_new(3);

/// A `medlarreeld` process; dropping it kills the process.
pub struct Instance {
    pub domain: &'static str,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    child: Child,
}

impl Instance {
    /// Sends a signal such as `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.expect("kill can be started").success());
    }

    /// Waits for the process's end and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        eventually("end of an instance", async || {
            self.child.try_wait().expect("child can be waited for")
        })
        .await
        .code()
    }

    pub async fn status(&self) -> Value {
        let answer = ClientRequest::get("/control/status")
            .send(self.operators, ANSWER)
            .await;
        answer.map_or(Value::Null, |answer| answer.json().unwrap_or(Value::Null))
    }

    /// Whether the instance can serve requests, by its own account.
    pub async fn ready(&self) -> bool {
        let answer = ClientRequest::get("/readyz")
            .send(self.operators, ANSWER)
            .await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Whether the instance holds control, by its own account.
    pub async fn holds_control(&self) -> bool {
        let status = self.status().await;
        status["instance"].is_u64() && status["holder"]["instance"] == status["instance"]
    }

    /// Performs an operator's action and returns the outcome.
    pub async fn act(&self, command: &str, body: &Value) -> Value {
        let ask = ClientRequest::post_json(&format!("/control/{command}"), body);
        let ask = ask.with_header("authorization", &format!("Bearer {TOKEN}"));
        let answer = ask.send(self.operators, ANSWER).await;
        answer
            .expect("the instance answers")
            .json()
            .expect("the answer is JSON")
    }

    /// Outcome of a proposal as this instance knows it.
    pub async fn proposal(&self, id: &Value) -> Value {
        self.query(&format!("/control/proposal?id={id}")).await
    }

    pub async fn query(&self, path: &str) -> Value {
        let answer = ClientRequest::get(path).send(self.operators, ANSWER).await;
        answer.map_or(Value::Null, |answer| answer.json().unwrap_or(Value::Null))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Everything that one test runs.
pub struct Cluster {
    pub instances: Vec<Instance>,
    pub log: Server<Log>,
    pub list: Server<InstanceList>,
    pub upstreams: Vec<Server<Upstream>>,
    /// Upstreams that were killed; their run records still count.
    pub ended: Vec<Arc<Upstream>>,
    dir: PathBuf,
    started: usize,
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts the stand-ins and `per_domain` instances in each failure domain,
    /// puts the preset in force and waits until all instances are members.
    pub async fn start(test: &str, per_domain: usize) -> Cluster {
        let permit = RUNNING.acquire().await.expect("semaphore is never closed");
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("system-{test}"));
        fs::create_dir_all(&dir).expect("directory can be created");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = log::start(any, log::Config::default()).await;
        let list = list::start(any, Duration::ZERO).await;
        let mut cluster = Cluster {
            instances: Vec::new(),
            log: log.expect("log starts"),
            list: list.expect("list starts"),
            upstreams: Vec::new(),
            ended: Vec::new(),
            dir,
            started: 0,
            _permit: permit,
        };
        for name in upstream_names() {
            let server = upstream::start(any, upstream_config(&name)).await;
            cluster.upstreams.push(server.expect("upstream starts"));
        }
        cluster.announce();
        for domain in DOMAINS.repeat(per_domain) {
            let instance = cluster.spawn(domain).await;
            cluster.instances.push(instance);
        }
        cluster.put_in_force().await;
        cluster.settled().await;
        cluster
    }

    /// Starts an instance on free ports; a port that something else took in the
    /// meantime leads to another attempt.
    pub async fn spawn(&mut self, domain: &'static str) -> Instance {
        for _ in 0..5 {
            let ports = free_ports(3).await.expect("ports are free");
            let address = |index: usize| SocketAddr::from(([127, 0, 0, 1], ports[index]));
            self.started += 1;
            let name = format!("{domain}-{}", self.started);
            let settings = self.dir.join(format!("{name}.ini"));
            let text = format!(
                "[instance]\nclub = kashmir\ndomain = {domain}\n[listen]\ncallers = {}\npeers = {}\n\
                 operators = {}\n[platform]\nlog = http://{}\nlist = http://{}\n[security]\n\
                 cluster_secret = {SECRET}\noperator_token = {TOKEN}\n",
                address(0),
                address(1),
                address(2),
                self.log.address(),
                self.list.address(),
            );
            fs::write(&settings, text).expect("settings can be written");
            let output = File::create(self.dir.join(format!("{name}.log")));
            let output = output.expect("log file can be created");
            let child = Command::new(env!("CARGO_BIN_EXE_medlarreeld"))
                .arg("--settings")
                .arg(&settings)
                .stdout(output.try_clone().expect("file can be shared"))
                .stderr(output)
                .spawn();
            let mut instance = Instance {
                domain,
                callers: address(0),
                operators: address(2),
                child: child.expect("medlarreeld starts"),
            };
            let up = eventually("start of an instance", async || {
                let ended = instance.child.try_wait().expect("child can be waited for");
                let healthy = ClientRequest::get("/healthz")
                    .send(instance.operators, ANSWER)
                    .await;
                let up = healthy.is_ok_and(|answer| answer.status == 200);
                (ended.is_some() || up).then_some(ended.is_none())
            })
            .await;
            if up {
                return instance;
            }
        }
        panic!("no instance could be started; see {}", self.dir.display());
    }

    async fn put_in_force(&self) {
        let first = &self.instances[0];
        let body = json!({"name": "ordinary", "expected": 0, "text": preset("ordinary", 100)});
        assert_eq!(first.act("publish", &body).await["outcome"], "accepted");
        let body = json!({"name": "ordinary", "version": 1, "expected": 0});
        assert_eq!(first.act("activate", &body).await["outcome"], "accepted");
    }

    /// Sets the list to the upstreams that run.
    pub fn announce(&self) {
        let entry = |(index, server): (usize, &Server<Upstream>)| list::Entry {
            name: upstream_names().remove(index),
            service: "intake".to_owned(),
            domain: DOMAINS[index / 2].to_owned(),
            address: server.address().to_string(),
            state: list::InstanceState::Live,
            fencing: Some("checked".to_owned()),
            weight: None,
        };
        let instances = self.upstreams.iter().enumerate().map(entry).collect();
        self.list
            .service()
            .replace_entries(list::Entries { instances });
    }

    /// Waits until all instances are ready and agree that they, and no others,
    /// are the members. Before, the loss of one more may cost the majority.
    pub async fn settled(&self) {
        let mut last = Vec::new();
        let end = Instant::now() + PATIENCE;
        while !self.agrees_on_members(&mut last).await {
            assert!(Instant::now() < end, "members do not settle: {last:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn agrees_on_members(&self, seen: &mut Vec<Vec<u64>>) -> bool {
        let mut present = Vec::new();
        let mut ready = true;
        seen.clear();
        for instance in &self.instances {
            let status = instance.status().await;
            ready &= instance.ready().await;
            present.extend(status["instance"].as_u64());
            let members = status["members"].as_array().cloned().unwrap_or_default();
            let ids = members
                .iter()
                .filter_map(|member| member["instance"].as_u64());
            seen.push(ids.collect());
        }
        present.sort_unstable();
        seen.iter_mut().for_each(|ids| ids.sort_unstable());
        ready && seen.iter().all(|ids| *ids == present)
    }

    /// Index of the instance that holds control by its own account.
    pub async fn holder(&self) -> usize {
        eventually("a control holder", async || {
            for (index, instance) in self.instances.iter().enumerate() {
                if instance.holds_control().await {
                    return Some(index);
                }
            }
            None
        })
        .await
    }

    /// Makes the log refuse everything, or answer again.
    pub fn log_down(&self, down: bool) {
        let unavailable = if down { Outage::Refuse } else { Outage::No };
        self.log.service().change_faults(log::FaultChange {
            unavailable: Some(unavailable),
            ..log::FaultChange::default()
        });
    }

    /// Changes the faults of one upstream.
    pub fn fault(&self, upstream: usize, change: upstream::FaultChange) {
        self.upstreams[upstream].service().change_faults(change);
    }

    /// Kills an upstream's process and returns its address.
    pub async fn kill_upstream(&mut self, index: usize) -> SocketAddr {
        // The place in the vector is kept by an upstream that the list lacks.
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let unused = upstream::start(any, upstream::Config::default()).await;
        let unused = unused.expect("upstream starts");
        let server = std::mem::replace(&mut self.upstreams[index], unused);
        self.ended.push(server.service().clone());
        let address = server.address();
        server.stop().await;
        address
    }

    /// Starts a killed upstream again, as a new process at the same address.
    pub async fn revive_upstream(&mut self, index: usize, address: SocketAddr) {
        let config = upstream_config(&upstream_names()[index]);
        self.upstreams[index] = eventually("a free address", async || {
            upstream::start(address, config.clone()).await.ok()
        })
        .await;
    }

    /// Index of an upstream by name.
    pub fn upstream(&self, name: &str) -> usize {
        let position = upstream_names().iter().position(|known| known == name);
        position.expect("the name is one of the club's")
    }
}

/// Names of the upstreams, two for each failure domain.
fn upstream_names() -> Vec<String> {
    let names = DOMAINS
        .iter()
        .flat_map(|domain| [1, 2].map(|number| format!("{domain}-{number}")));
    names.collect()
}

fn upstream_config(name: &str) -> upstream::Config {
    upstream::Config {
        name: name.to_owned(),
        service: "intake".to_owned(),
        keyed: true,
        work_time: Duration::from_millis(2),
        ..upstream::Config::default()
    }
}

/// Text of a preset; `queue` tells versions apart.
pub fn preset(name: &str, queue: u32) -> String {
    format!(
        "[preset]\nname = {name}\nbudget = 100 slots\nretry = 50 %\n\
         [club kashmir]\nshare = 100 %\nweight = 1\n\
         [service intake]\nclub = kashmir\nkeyed = yes\nshards = {SHARDS}\nslots = 6 slots\n\
         connections = 50\nfencing = checked\nisolation = lapse\nrequest_lifetime = never\n\
         deduplicates = no\nqueue = {queue} requests\nmax_body = 1 MiB\n\
         [rank status]\ndeadline = 10 s\nfloor = 0 %\n[rank order]\ndeadline = 10 s\nfloor = 20 %\n\
         [rank archive]\ndeadline = 10 s\nfloor = 10 %\n"
    )
}

/// Repeats a probe until it gives a value.
pub async fn eventually<T>(what: &str, mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a request and waits for its answer.
pub async fn send(ask: ClientRequest, to: SocketAddr) -> Option<ClientResponse> {
    ask.send(to, ANSWER).await.ok()
}
