//! Processes, stand-ins and callers of the tests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use medlarreel_standin::platform::store::{self, Store};
use medlarreel_standin::platform::upstream::{self, Upstream};
use medlarreel_standin::server::{Server, any_port, free_ports};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Longest time until something that must happen has happened. It is far above
/// the usual one, so that a busy machine does not change a verdict.
pub const PATIENCE: Duration = Duration::from_secs(40);

/// Pause between two looks.
const STEP: Duration = Duration::from_millis(20);

/// A running instance, killed when it is dropped.
pub struct Instance {
    child: Child,
    folder: PathBuf,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
}

impl Instance {
    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits for the end of the process and returns whether it ended well.
    pub async fn ended(&mut self) -> bool {
        let deadline = tokio::time::Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "the process goes on"
            );
            sleep(STEP).await;
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It may have ended by itself.
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Settings text with the given addresses.
pub fn settings(ports: &[u16], store: SocketAddr) -> String {
    format!(
        "[instance]\nname = entry-{0}\ndomain = a\n\
         [listen]\ncallers = 127.0.0.1:{0}\nreadiness = 127.0.0.1:{1}\n\
         peers = 127.0.0.1:{2}\nmetrics = 127.0.0.1:{3}\n\
         [platform]\nstore = {store}\nheartbeat = 1 s\n\
         [bounds]\ngrace = 6 s\nhold_max = 10 s\ndrain = 2 s\nretry_ratio = 0.2\n",
        ports[0], ports[1], ports[2], ports[3]
    )
}

/// Starts an instance.
pub async fn instance(store: SocketAddr) -> Instance {
    let ports = free_ports(4).await.unwrap();
    let folder = std::env::temp_dir().join(format!("medlarreel-entry-{}", ports[0]));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("entry.ini");
    std::fs::write(&file, settings(&ports, store)).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_medlarreel-entry"))
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    Instance {
        child,
        folder,
        callers: SocketAddr::from(([127, 0, 0, 1], ports[0])),
        readiness: SocketAddr::from(([127, 0, 0, 1], ports[1])),
        metrics: SocketAddr::from(([127, 0, 0, 1], ports[3])),
    }
}

/// A store, upstreams of a keyed and a plain service, and one instance.
pub struct Site {
    pub store: Server<Store>,
    pub keyed: Vec<Server<Upstream>>,
    pub plain: Vec<Server<Upstream>>,
    pub instance: Instance,
    sequence: u64,
}

/// Site that serves, with two upstreams of each service.
pub async fn site() -> Site {
    let store = store::start(any_port()).await.unwrap();
    let (mut keyed, mut plain) = (Vec::new(), Vec::new());
    for number in 0..2 {
        let id = format!("k{number}");
        keyed.push(upstream::start(any_port(), &id, true).await.unwrap());
        let id = format!("p{number}");
        plain.push(upstream::start(any_port(), &id, false).await.unwrap());
    }
    let instance = instance(store.address()).await;
    let mut site = Site {
        store,
        keyed,
        plain,
        instance,
        sequence: 0,
    };
    for number in 0..2 {
        site.register(number, "ready");
    }
    site.configure(1);
    site.until_served().await;
    site
}

impl Site {
    /// Registers upstream `number` of both services in a state.
    pub fn register(&mut self, number: usize, state: &str) {
        self.sequence += 1;
        for (service, prefix, servers) in [("keyed", "k", &self.keyed), ("plain", "p", &self.plain)]
        {
            let entry = json!({
                "service": service, "address": servers[number].address().to_string(),
                "zone": "a", "version": "v1", "slots": 6, "state": state,
                "warmupLeftS": 0, "sequence": self.sequence, "born": 1000,
            });
            let id = format!("{prefix}{number}");
            self.store
                .service()
                .put("keyed.servers", &id, entry.to_string().as_bytes());
        }
    }

    /// Puts a configuration in force.
    pub fn configure(&self, version: u64) {
        let route = |name: &str, kind: &str, service: &str| {
            json!({"entryType": "routes", "metadata": {"name": name}, "spec": {
                "host": "loft.example", "pathPrefix": format!("/{name}/"), "kind": kind,
                "timeoutS": 5, "targetLatencyS": 0.5, "priority": 1, "service": service,
                "maxAttempts": 2}})
        };
        let service = |name: &str, keyed: bool| {
            json!({"entryType": "services", "metadata": {"name": name}, "spec": {
                "healthPath": "/health", "maxConnections": 100, "protocol": "h1",
                "tls": false, "sharded": keyed, "warmS": 5.0, "grants": "per_call"}})
        };
        let config = json!({"version": version, "resources": [
            route("status", "safe", "keyed"), route("booking", "unsafe", "keyed"),
            route("catalogue", "safe", "plain"), service("keyed", true),
            service("plain", false),
            {"entryType": "limits", "metadata": {}, "spec": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3,
                "idleTimeoutS": 15}}]});
        let text = config.to_string();
        self.store
            .service()
            .put("keyed.op", "config", text.as_bytes());
    }

    /// Waits until keys and plain requests are served.
    pub async fn until_served(&self) {
        until("requests are served", async || {
            let keyed = self.get("/status/x", "probe").await;
            let plain = self.get("/catalogue/x", "probe").await;
            keyed.starts_with("HTTP/1.1 200") && plain.starts_with("HTTP/1.1 200")
        })
        .await;
    }

    /// Answer to a GET request on a connection of its own, or empty text.
    pub async fn get(&self, path: &str, attempt: &str) -> String {
        exchange(self.instance.callers, &request("GET", path, attempt, "")).await
    }

    /// Answer to a POST request on a connection of its own, or empty text.
    pub async fn post(&self, path: &str, attempt: &str, body: &str) -> String {
        exchange(self.instance.callers, &request("POST", path, attempt, body)).await
    }

    /// Runs of an attempt at all upstreams.
    pub fn runs(&self, attempt: &str) -> usize {
        let servers = self.keyed.iter().chain(&self.plain);
        let runs = servers.flat_map(|server| server.service().runs());
        runs.filter(|run| run.attempt == attempt).count()
    }

    /// Sets how all upstreams answer.
    pub fn set_mode(&self, mode: upstream::ResponseMode) {
        for server in self.keyed.iter().chain(&self.plain) {
            server.service().set_mode(mode);
        }
    }
}

/// Text of a request.
pub fn request(method: &str, path: &str, attempt: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: loft.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: 4000\r\nShard-Key: 77\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Answer to a request on a connection of its own, or empty text.
pub async fn exchange(address: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return String::new();
    }
    timeout(PATIENCE, answer(&mut stream))
        .await
        .unwrap_or_default()
}

/// Next whole answer on a connection; what has arrived if it ends before.
pub async fn answer(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !is_whole(&text) {
        let mut byte = [0];
        match stream.read(&mut byte).await {
            Ok(1) => text.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn is_whole(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length.is_none_or(|length| body.len() >= length.trim().parse().unwrap_or(0))
}

/// Waits until a condition holds.
pub async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let waiting = async {
        while !condition().await {
            sleep(STEP).await;
        }
    };
    let held = timeout(PATIENCE, waiting).await;
    assert!(held.is_ok(), "in vain: {what}");
}
