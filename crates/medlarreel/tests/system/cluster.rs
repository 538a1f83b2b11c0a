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
use medlarreel_standin::ports::{ReservedPort, reserve_ports};
use medlarreel_standin::server::Server;
use medlarreel_standin::upstream::{self, Upstream};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Failure domains of the club.
pub const DOMAINS: [&str; 3] = ["loft-a", "loft-b", "loft-c"];

/// Number of shards of the service.
pub const SHARDS: u16 = 32;

/// Longest wait for a condition, far above what any step takes on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of one request, above the longest deadline of the preset.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

const CLUSTER_SECRET: &str = "cluster-secret-of-a-test";
const OPERATOR_TOKEN: &str = "operator-token-of-a-test";

/// Limits the number of clusters that run concurrently, so that a machine with few cores
/// is not overloaded.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(3);

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

    /// Waits until the process exits and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        wait_for("end of an instance", async || {
            self.child.try_wait().expect("child can be waited for")
        })
        .await
        .code()
    }

    /// Status of the instance; `Null` if it sends no JSON response.
    pub async fn status(&self) -> Value {
        let response = ClientRequest::get("/control/status")
            .send(self.operators, RESPONSE_TIMEOUT)
            .await;
        response.map_or(Value::Null, |response| {
            response.json().unwrap_or(Value::Null)
        })
    }

    /// Whether the instance reports that it can serve requests.
    pub async fn is_ready(&self) -> bool {
        let response = ClientRequest::get("/readyz")
            .send(self.operators, RESPONSE_TIMEOUT)
            .await;
        response.is_ok_and(|response| response.status == 200)
    }

    /// Whether the instance reports itself as the control holder.
    pub async fn holds_control(&self) -> bool {
        let status = self.status().await;
        status["instance"].is_u64() && status["holder"]["instance"] == status["instance"]
    }

    /// Performs an operator's action and returns the outcome.
    pub async fn perform_action(&self, command: &str, body: &Value) -> Value {
        let request = ClientRequest::post_json(&format!("/control/{command}"), body);
        let request = request.with_header("authorization", &format!("Bearer {OPERATOR_TOKEN}"));
        let response = request.send(self.operators, RESPONSE_TIMEOUT).await;
        response
            .expect("the instance answers")
            .json()
            .expect("the answer is JSON")
    }

    /// Outcome of a proposal as known to this instance.
    pub async fn proposal(&self, id: &Value) -> Value {
        self.query(&format!("/control/proposal?id={id}")).await
    }

    /// Response to a query; `Null` if the instance sends no JSON response.
    pub async fn query(&self, path: &str) -> Value {
        let response = ClientRequest::get(path)
            .send(self.operators, RESPONSE_TIMEOUT)
            .await;
        response.map_or(Value::Null, |response| {
            response.json().unwrap_or(Value::Null)
        })
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Instances and stand-ins of one test.
pub struct Cluster {
    pub instances: Vec<Instance>,
    pub log: Server<Log>,
    pub list: Server<InstanceList>,
    pub upstreams: Vec<Server<Upstream>>,
    /// Killed upstreams, whose run records are still checked.
    pub killed_upstreams: Vec<Arc<Upstream>>,
    dir: PathBuf,
    reserved_ports: Vec<ReservedPort>,
    started_instances: usize,
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts the stand-ins and `per_domain` instances in each failure domain, activates
    /// the preset and waits until all instances are members.
    pub async fn start(test: &str, per_domain: usize) -> Cluster {
        let permit = CLUSTER_PERMITS
            .acquire()
            .await
            .expect("semaphore is never closed");
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("system-{test}"));
        fs::create_dir_all(&dir).expect("directory can be created");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = log::start(any_port, log::Config::default()).await;
        let list = list::start(any_port, Duration::ZERO).await;
        let mut cluster = Cluster {
            instances: Vec::new(),
            log: log.expect("log starts"),
            list: list.expect("list starts"),
            upstreams: Vec::new(),
            killed_upstreams: Vec::new(),
            dir,
            reserved_ports: Vec::new(),
            started_instances: 0,
            _permit: permit,
        };
        for name in upstream_names() {
            let server = upstream::start(any_port, upstream_config(&name)).await;
            cluster.upstreams.push(server.expect("upstream starts"));
        }
        cluster.update_list();
        for domain in DOMAINS.repeat(per_domain) {
            let instance = cluster.spawn_instance(domain).await;
            cluster.instances.push(instance);
        }
        cluster.activate_preset().await;
        cluster.wait_until_settled().await;
        cluster
    }

    /// Starts an instance. Its ports stay reserved until the cluster is dropped, since
    /// callers may still use the addresses of killed instances.
    pub async fn spawn_instance(&mut self, domain: &'static str) -> Instance {
        let ports = reserve_ports(3).await.expect("ports are free");
        let [callers, peers, operators] = [0, 1, 2].map(|index: usize| ports[index].address());
        self.reserved_ports.extend(ports);
        self.started_instances += 1;
        let name = format!("{domain}-{}", self.started_instances);
        let settings = self.dir.join(format!("{name}.ini"));
        let text = format!(
            "[instance]\nclub = kashmir\ndomain = {domain}\n[listen]\ncallers = {callers}\n\
             peers = {peers}\noperators = {operators}\n[platform]\nlog = http://{}\n\
             list = http://{}\n[security]\ncluster_secret = {CLUSTER_SECRET}\n\
             operator_token = {OPERATOR_TOKEN}\n",
            self.log.address(),
            self.list.address(),
        );
        fs::write(&settings, text).expect("settings can be written");
        let log_path = self.dir.join(format!("{name}.log"));
        let output = File::create(&log_path).expect("log file can be created");
        let child = Command::new(env!("CARGO_BIN_EXE_medlarreeld"))
            .arg("--settings")
            .arg(&settings)
            .stdout(output.try_clone().expect("file can be shared"))
            .stderr(output)
            .spawn();
        let mut instance = Instance {
            domain,
            callers,
            operators,
            child: child.expect("medlarreeld starts"),
        };
        wait_for("start of an instance", async || {
            let ended = instance.child.try_wait().expect("child can be waited for");
            assert!(ended.is_none(), "it ended; see {}", log_path.display());
            let healthy = ClientRequest::get("/healthz")
                .send(instance.operators, RESPONSE_TIMEOUT)
                .await;
            let is_up = healthy.is_ok_and(|response| response.status == 200);
            is_up.then_some(())
        })
        .await;
        instance
    }

    async fn activate_preset(&self) {
        let first = &self.instances[0];
        let body = json!({"name": "ordinary", "expected": 0, "text": preset_text("ordinary", 100)});
        assert_eq!(
            first.perform_action("publish", &body).await["outcome"],
            "accepted"
        );
        let body = json!({"name": "ordinary", "version": 1, "expected": 0});
        assert_eq!(
            first.perform_action("activate", &body).await["outcome"],
            "accepted"
        );
    }

    /// Sets the list to the running upstreams.
    pub fn update_list(&self) {
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

    /// Waits until all instances are ready and agree that exactly they are the members.
    /// Before that, losing another instance may lose the majority.
    pub async fn wait_until_settled(&self) {
        let mut last_seen = Vec::new();
        let end = Instant::now() + WAIT_TIMEOUT;
        while !self.members_agree(&mut last_seen).await {
            assert!(Instant::now() < end, "members do not settle: {last_seen:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Whether all instances are ready and list exactly the running instances as members.
    /// Sets `seen` to the members that each instance lists.
    async fn members_agree(&self, seen: &mut Vec<Vec<u64>>) -> bool {
        let mut running_ids = Vec::new();
        let mut ready = true;
        seen.clear();
        for instance in &self.instances {
            let status = instance.status().await;
            ready &= instance.is_ready().await;
            running_ids.extend(status["instance"].as_u64());
            let members = status["members"].as_array().cloned().unwrap_or_default();
            let ids = members
                .iter()
                .filter_map(|member| member["instance"].as_u64());
            seen.push(ids.collect());
        }
        running_ids.sort_unstable();
        seen.iter_mut().for_each(|ids| ids.sort_unstable());
        ready && seen.iter().all(|ids| *ids == running_ids)
    }

    /// Waits until an instance reports itself as control holder and returns its index.
    pub async fn wait_for_holder(&self) -> usize {
        wait_for("a control holder", async || {
            for (index, instance) in self.instances.iter().enumerate() {
                if instance.holds_control().await {
                    return Some(index);
                }
            }
            None
        })
        .await
    }

    /// Makes the log refuse all requests, or serve them again.
    pub fn set_log_down(&self, down: bool) {
        let unavailable = if down { Outage::Refuse } else { Outage::No };
        self.log.service().change_faults(log::FaultChange {
            unavailable: Some(unavailable),
            ..log::FaultChange::default()
        });
    }

    /// Changes the faults of one upstream.
    pub fn change_upstream(&self, upstream: usize, change: upstream::FaultChange) {
        self.upstreams[upstream].service().change_faults(change);
    }

    /// Stops an upstream as if its process were killed, and returns its address.
    pub async fn kill_upstream(&mut self, index: usize) -> SocketAddr {
        // An unlisted upstream takes its place, so that indices stay valid.
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let unused = upstream::start(any_port, upstream::Config::default()).await;
        let unused = unused.expect("upstream starts");
        let server = std::mem::replace(&mut self.upstreams[index], unused);
        self.killed_upstreams.push(server.service().clone());
        let address = server.address();
        server.stop().await;
        address
    }

    /// Starts a killed upstream again at the same address, with the incarnation of a new
    /// process.
    pub async fn restart_upstream(&mut self, index: usize, address: SocketAddr) {
        let config = upstream_config(&upstream_names()[index]);
        self.upstreams[index] = wait_for("a free address", async || {
            upstream::start(address, config.clone()).await.ok()
        })
        .await;
    }

    /// Index of an upstream by name.
    pub fn upstream_index(&self, name: &str) -> usize {
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

/// Text of a preset; `queue` distinguishes versions.
pub fn preset_text(name: &str, queue: u32) -> String {
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

/// Polls until a value is available.
pub async fn wait_for<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a request and waits for its response.
pub async fn send(request: ClientRequest, to: SocketAddr) -> Option<ClientResponse> {
    request.send(to, RESPONSE_TIMEOUT).await.ok()
}
