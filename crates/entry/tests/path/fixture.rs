//! Test fixture: instances as processes, stand-ins for the platform, and a simple HTTP
//! client.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use medlarreel_entry::clock::Clock;
use medlarreel_entry::memory::Memory;
use medlarreel_standin::platform::store::{self, Store};
use medlarreel_standin::platform::upstream::{self, Upstream};
use medlarreel_standin::ports::{ReservedPort, reserve_ports};
use medlarreel_standin::server::{Server, any_port};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Timeout for anything that a test waits for. It is far longer than usually needed, so
/// that a busy machine does not make a test fail.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running instance, which is killed when dropped.
pub struct Instance {
    pub child: Child,
    directory: PathBuf,
    _ports: Vec<ReservedPort>,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
}

impl Instance {
    /// Sends a signal, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits until the process exits and returns whether it exited successfully.
    pub async fn wait_for_exit(&mut self) -> bool {
        let deadline = tokio::time::Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "the process did not exit in time"
            );
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have exited already.
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_dir_all(&self.directory).ok();
    }
}

/// Returns a settings file that listens on `ports` and uses the given store.
pub fn settings_text(ports: &[u16], store: SocketAddr) -> String {
    format!(
        "[instance]\nname = entry-{0}\ndomain = a\n\
         [listen]\ncallers = 127.0.0.1:{0}\nreadiness = 127.0.0.1:{1}\n\
         peers = 127.0.0.1:{2}\nmetrics = 127.0.0.1:{3}\n\
         [platform]\nstore = {store}\nheartbeat = 1 s\n\
         [bounds]\ngrace = 6 s\nhold_max = 10 s\ndrain = 2 s\nretry_ratio = 0.2\n",
        ports[0], ports[1], ports[2], ports[3]
    )
}

/// Starts an instance on ports that stay reserved until it is dropped.
pub async fn start_instance(store: SocketAddr) -> Instance {
    start_instance_in("a", store).await
}

/// Starts an instance in the given failure domain.
pub async fn start_instance_in(domain: &str, store: SocketAddr) -> Instance {
    let domain = format!("domain = {domain}\n");
    start_instance_with(store, |text| text.replace("domain = a\n", &domain)).await
}

/// Starts an instance whose settings were changed by `adapt`.
pub async fn start_instance_with(
    store: SocketAddr,
    adapt: impl FnOnce(String) -> String,
) -> Instance {
    let reserved = reserve_ports(4).await.unwrap();
    let ports: Vec<u16> = reserved.iter().map(ReservedPort::number).collect();
    let directory = std::env::temp_dir().join(format!("medlarreel-entry-{}", ports[0]));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("entry.ini");
    std::fs::write(&file, adapt(settings_text(&ports, store))).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_medlarreel-entry"))
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    Instance {
        child,
        directory,
        callers: reserved[0].address(),
        readiness: reserved[1].address(),
        metrics: reserved[3].address(),
        _ports: reserved,
    }
}

/// A store, upstreams of a keyed and of a plain service, and one instance.
pub struct TestCluster {
    pub store: Server<Store>,
    pub keyed: Vec<Server<Upstream>>,
    pub plain: Vec<Server<Upstream>>,
    pub instance: Instance,
    sequence: u64,
}

/// Starts a cluster with two upstreams of each service and waits until it serves
/// requests.
pub async fn start_cluster() -> TestCluster {
    let store = store::start(any_port()).await.unwrap();
    let (mut keyed, mut plain) = (Vec::new(), Vec::new());
    for number in 0..2 {
        let id = format!("k{number}");
        keyed.push(upstream::start(any_port(), &id, true).await.unwrap());
        let id = format!("p{number}");
        plain.push(upstream::start(any_port(), &id, false).await.unwrap());
    }
    let instance = start_instance(store.address()).await;
    let mut cluster = TestCluster {
        store,
        keyed,
        plain,
        instance,
        sequence: 0,
    };
    for number in 0..2 {
        cluster.register_upstreams(number, "ready");
    }
    cluster.publish_config(1);
    cluster.wait_until_served().await;
    cluster
}

impl TestCluster {
    /// Registers upstream `number` of both services with the given state.
    pub fn register_upstreams(&mut self, number: usize, state: &str) {
        self.register_upstreams_in("a", number, state);
    }

    /// Registers upstream `number` of both services in the given failure domain.
    pub fn register_upstreams_in(&mut self, domain: &str, number: usize, state: &str) {
        let keyed = self.keyed[number].address();
        let plain = self.plain[number].address();
        self.register_as(domain, "keyed", &format!("k{number}"), keyed, state, 0.0);
        self.register_as(domain, "plain", &format!("p{number}"), plain, state, 0.0);
    }

    /// Registers a further upstream of the plain service.
    pub fn register_plain_upstream(&mut self, id: &str, address: SocketAddr) {
        self.register("plain", id, address, "ready");
    }

    /// Registers a further upstream of the keyed service.
    pub fn register_keyed_upstream(&mut self, id: &str, address: SocketAddr) {
        self.register("keyed", id, address, "ready");
    }

    /// Registers the upstreams of the keyed service as cold for `warmup_s` seconds from now.
    pub fn register_keyed_as_cold(&mut self, warmup_s: f64) {
        for number in 0..self.keyed.len() {
            let (id, address) = (format!("k{number}"), self.keyed[number].address());
            self.register_as("a", "keyed", &id, address, "ready", warmup_s);
        }
    }

    fn register(&mut self, service: &str, id: &str, address: SocketAddr, state: &str) {
        self.register_as("a", service, id, address, state, 0.0);
    }

    fn register_as(
        &mut self,
        domain: &str,
        service: &str,
        id: &str,
        address: SocketAddr,
        state: &str,
        warmup_s: f64,
    ) {
        self.sequence += 1;
        let registration = json!({
            "service": service, "address": address.to_string(),
            "zone": domain, "version": "v1", "slots": 6, "state": state,
            "warmupLeftS": warmup_s, "sequence": self.sequence, "born": 1000,
        });
        self.store
            .service()
            .put("keyed.servers", id, registration.to_string().as_bytes());
    }

    /// Writes a configuration with the given version to the store.
    pub fn publish_config(&self, version: u64) {
        let text = config_text(version, 1 << 20);
        self.store
            .service()
            .put("keyed.op", "config", text.as_bytes());
    }

    /// Waits until requests of the keyed and of the plain service are served.
    pub async fn wait_until_served(&self) {
        wait_until("requests are served", async || {
            let keyed = self.get("/status/x", "probe").await;
            let plain = self.get("/catalogue/x", "probe").await;
            keyed.starts_with("HTTP/1.1 200") && plain.starts_with("HTTP/1.1 200")
        })
        .await;
    }

    /// Sends a GET request on a new connection and returns the response, or an empty
    /// string if there is none.
    pub async fn get(&self, path: &str, attempt: &str) -> String {
        send_request(
            self.instance.callers,
            &request_text("GET", path, attempt, ""),
        )
        .await
    }

    /// Sends a POST request on a new connection and returns the response, or an empty
    /// string if there is none.
    pub async fn post(&self, path: &str, attempt: &str, body: &str) -> String {
        send_request(
            self.instance.callers,
            &request_text("POST", path, attempt, body),
        )
        .await
    }

    /// Number of runs of an attempt that have started, over all upstreams.
    pub fn run_count(&self, attempt: &str) -> usize {
        let servers = self.keyed.iter().chain(&self.plain);
        let runs = servers.flat_map(|server| server.service().runs());
        runs.filter(|run| run.attempt == attempt).count()
    }

    /// Number of keys that upstreams hold. A key with two holders counts twice.
    pub fn held_key_count(&self) -> usize {
        let upstreams = self.keyed.iter().map(Server::service);
        upstreams.map(|upstream| upstream.held_key_count()).sum()
    }

    /// Sets how all upstreams respond.
    pub fn set_mode(&self, mode: upstream::ResponseMode) {
        for server in self.keyed.iter().chain(&self.plain) {
            server.service().set_mode(mode);
        }
    }
}

/// Returns a configuration with the given version and limit of request bodies.
pub fn config_text(version: u64, body_bytes: usize) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"entryType": "routes", "metadata": {"name": name}, "spec": {
            "host": "loft.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutS": 5, "targetLatencyS": 0.5, "priority": 1, "service": service,
            "maxAttempts": 2}})
    };
    let service = |name: &str, keyed: bool| {
        json!({"entryType": "services", "metadata": {"name": name}, "spec": {
            "healthPath": "/health", "maxConnections": 100, "protocol": "h1",
            "tls": false, "sharded": keyed, "warmS": 5.0,
                "warmupS": 3.0, "warmupPerS": 5.0, "grants": "per_call"}})
    };
    let config = json!({"version": version, "resources": [
        route("status", "safe", "keyed"), route("booking", "unsafe", "keyed"),
        route("catalogue", "safe", "plain"), service("keyed", true),
        service("plain", false),
        {"entryType": "limits", "metadata": {}, "spec": {
            "maxHeaderBytes": 16384, "maxBodyBytes": body_bytes, "headerTimeoutS": 3,
            "idleTimeoutS": 15}}]});
    config.to_string()
}

/// Starts `count` further instances and waits until they are ready.
pub async fn start_followers(cluster: &TestCluster, count: usize) -> Vec<Instance> {
    let mut followers = Vec::new();
    for _ in 0..count {
        followers.push(start_instance(cluster.store.address()).await);
    }
    for follower in &followers {
        wait_until("an instance is ready", async || is_ready(follower).await).await;
    }
    followers
}

/// Whether an instance reports that it is ready.
pub async fn is_ready(instance: &Instance) -> bool {
    let request = "GET /medlarreel/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    let response = send_request(instance.readiness, request).await;
    response.starts_with("HTTP/1.1 200")
}

/// Value of a metric of an instance; 0 if it has none.
pub async fn metric(instance: &Instance, name: &str) -> u64 {
    let request = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
    let metrics = send_request(instance.metrics, request).await;
    let mut values = metrics.lines().filter_map(|line| line.rsplit_once(' '));
    let value = values.find(|(found, _)| *found == name);
    value.map_or(0, |(_, value)| value.parse().unwrap())
}

/// Formats a request.
pub fn request_text(method: &str, path: &str, attempt: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: loft.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: 4000\r\nShard-Key: 77\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a new connection and returns the response, or an empty string if
/// there is none.
pub async fn send_request(address: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return String::new();
    }
    timeout(TEST_TIMEOUT, read_response(&mut stream))
        .await
        .unwrap_or_default()
}

/// Reads the next complete response. Returns what has arrived if the connection ends
/// first.
pub async fn read_response(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !is_complete(&text) {
        let mut byte = [0];
        match stream.read(&mut byte).await {
            Ok(1) => text.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn is_complete(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length.is_none_or(|length| body.len() >= length.trim().parse().unwrap_or(0))
}

/// Memory budget of a client in a test.
pub fn memory() -> Memory {
    Memory::new(Clock::start(), 256_000_000)
}

/// Waits until a condition holds. `what` describes it in the failure message.
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let waiting = async {
        while !condition().await {
            sleep(POLL_INTERVAL).await;
        }
    };
    let result = timeout(TEST_TIMEOUT, waiting).await;
    assert!(result.is_ok(), "timed out waiting until {what}");
}
