//! Stand-ins for the review's scripts, with the standard library only: the platform's
//! store, back ends, callers, and the platform's part in starting, probing and limiting
//! the entry processes. `review/build.sh` builds it; `review/N/run.sh` runs a case.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Memory of a machine in the users' site files (`memoryMb`), in bytes.
const MEMORY_LIMIT: u64 = 260 * 1024 * 1024;

/// Interval at which registrations are renewed (`heartbeatS`).
const HEARTBEAT: Duration = Duration::from_millis(870);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(&folder));
    let result = match case.as_str() {
        "reborn" => reborn(&record, trouble),
        "uploads" => uploads(&record, trouble),
        "heads" => heads(&record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(true) => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("result: the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}

/// What was sent, answered and run, with seconds since the start.
struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn create(folder: &Path) -> Arc<Record> {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Arc::new(Record {
            file: Mutex::new(file),
            start: Instant::now(),
        })
    }

    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {text}").ok();
    }
}

/// An HTTP message: the start line, header fields in lower case, and the body.
struct Message {
    start: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }

    fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection.
fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    // Heads are small, and a byte at a time leaves the body unread.
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 || head.len() > 65_536 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message {
        start,
        headers,
        body,
    })
}

fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Accepts connections and serves each in a thread of its own.
fn serve(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_nodelay(true).ok();
            let serve = Arc::clone(&serve);
            spawn(move || serve(stream));
        }
    });
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address");
    (listener, address)
}

/// The platform's store: topics with one partition.
#[derive(Default)]
struct Store {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
}

impl Store {
    fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store::default());
        let address = store.listen(Arc::default(), None);
        (store, address)
    }

    /// Opens a further address. Calls to it are neither carried out nor answered while
    /// `cut` is set. With a `network`, the machine at its index sees the addresses of its
    /// peers as those of the links to them.
    fn listen(
        self: &Arc<Store>,
        cut: Arc<AtomicBool>,
        network: Option<(Arc<Network>, usize)>,
    ) -> SocketAddr {
        let (listener, address) = listen();
        let store = Arc::clone(self);
        serve(listener, move |mut stream| {
            while let Some(request) = read_message(&mut stream) {
                if cut.load(Ordering::SeqCst) {
                    sleep(Duration::from_secs(10));
                    return;
                }
                let answer = match &network {
                    Some((network, index)) if request.path().contains(INSTANCES_TOPIC) => {
                        store.answer_translated(&request, network, *index)
                    }
                    _ => store.answer(&request),
                };
                // What is on its way when the link is cut is lost.
                if cut.load(Ordering::SeqCst) || stream.write_all(&answer).is_err() {
                    return;
                }
            }
        });
        address
    }

    /// Newest record of a key.
    fn newest_value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic)?.iter().rev();
        let mut values = records.filter_map(|record| {
            let (found, value) = record[1..].split_at(record[0].into());
            (found == key.as_bytes()).then(|| value.to_vec())
        });
        values.next()
    }

    /// Answers a call of the machine `index` on the list of instances. Each entry holds
    /// the UDP address of its writer, which is replaced by that of the link to it.
    fn answer_translated(&self, request: &Message, network: &Network, index: usize) -> Vec<u8> {
        if !request.path().starts_with("/medlarreel/log-newest") {
            return self.answer(request);
        }
        let topics = self.topics.lock().unwrap();
        let translated: Vec<Vec<u8>> = topics
            .get(INSTANCES_TOPIC)
            .into_iter()
            .flatten()
            .map(|record| {
                let (key, value) = record.split_at(1 + usize::from(record[0]));
                let value = network.translate(value, index);
                [key, &value].concat()
            })
            .collect();
        drop(topics);
        let copy = Store::default();
        copy.topics
            .lock()
            .unwrap()
            .insert(INSTANCES_TOPIC.to_owned(), translated);
        copy.newest(INSTANCES_TOPIC)
    }

    fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(content);
        drop(topics);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        match path {
            "/medlarreel/log-append" => self.append(topic, number("asOf"), &request.body),
            "/medlarreel/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                self.read(topic, number("from").unwrap_or(0) as usize, wait)
            }
            "/medlarreel/log-newest" => self.newest(topic),
            _ => response("404 Not Found", "", b""),
        }
    }

    fn append(&self, topic: &str, as_of: Option<u64>, body: &[u8]) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if as_of.is_some_and(|end| end != offset as u64) {
            let text = format!("{{\"end\":{offset}}}");
            return response("412 Precondition Failed", "", text.as_bytes());
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let (length, after) = rest.split_at(4);
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            records.push(after[..length].to_vec());
            rest = &after[length..];
        }
        let text = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
        drop(topics);
        self.changed.notify_all();
        response("200 OK", "", text.as_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.entry(topic.to_owned()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return response("200 OK", "", &body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(record[0].into());
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let (key, value) = (String::from_utf8_lossy(key), base64(value));
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        let text = format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}");
        response("200 OK", "", text.as_bytes())
    }
}

/// Topic in which instances announce their addresses.
const INSTANCES_TOPIC: &str = "keyed.medlarreel-instances";

/// UDP links between machines. Each machine has a port of its own for each of the others,
/// and everything between two machines passes through the ports of both for each other.
struct Network {
    /// UDP ports of the processes.
    ports: Vec<u16>,
    /// Port that a machine (first index) uses for another one.
    links: Vec<Vec<UdpSocket>>,
    /// Whether a machine is cut off from all others.
    cut: Vec<AtomicBool>,
}

impl Network {
    fn start(count: usize) -> Arc<Network> {
        let link = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let network = Arc::new(Network {
            ports: (0..count).map(|_| free_udp_port()).collect(),
            links: (0..count)
                .map(|_| (0..count).map(|_| link()).collect())
                .collect(),
            cut: (0..count).map(|_| AtomicBool::new(false)).collect(),
        });
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let network = Arc::clone(&network);
                spawn(move || network.forward(from, to));
            }
        }
        network
    }

    fn forward(&self, from: usize, to: usize) {
        let mut buffer = vec![0; 65_536];
        while let Ok((length, _)) = self.links[from][to].recv_from(&mut buffer) {
            let is_cut = [from, to]
                .iter()
                .any(|index| self.cut[*index].load(Ordering::SeqCst));
            if !is_cut {
                let target = ("127.0.0.1", self.ports[to]);
                self.links[to][from].send_to(&buffer[..length], target).ok();
            }
        }
    }

    /// An entry of the list of instances as the machine `index` is to see it. It begins
    /// with the kind of address (0), four bytes and the port as a variable-length number.
    fn translate(&self, value: &[u8], index: usize) -> Vec<u8> {
        let length = value[5..]
            .iter()
            .position(|byte| byte & 0x80 == 0)
            .unwrap_or(0)
            + 1;
        let digits = value[5..5 + length].iter().rev();
        let port = digits.fold(0u32, |port, byte| port << 7 | u32::from(byte & 0x7f));
        let writer = self
            .ports
            .iter()
            .position(|known| u32::from(*known) == port);
        let Some(writer) = writer.filter(|writer| *writer != index) else {
            return value.to_vec();
        };
        let mut port = self.links[index][writer]
            .local_addr()
            .expect("the address")
            .port();
        let mut translated = value[..5].to_vec();
        while port >= 0x80 {
            translated.push(port as u8 | 0x80);
            port >>= 7;
        }
        translated.push(port as u8);
        translated.extend_from_slice(&value[5 + length..]);
        translated
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// How a back end answers the requests that it has run.
type Answer = dyn Fn(&Message, &mut TcpStream) -> std::io::Result<()> + Send + Sync;

/// Starts a back end and keeps its registration alive. Calls are passed to `answer`.
fn start_backend(
    store: &Arc<Store>,
    service: &str,
    zone: &str,
    slots: u32,
    answer: Arc<Answer>,
) -> String {
    let (listener, address) = listen();
    let id = format!("i-{:08x}", u32::from(address.port()) * 2_654_435);
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let own_id = id.clone();
    serve(listener, move |mut stream| {
        while let Some(request) = read_message(&mut stream) {
            let is_other = request
                .header("target-instance")
                .is_some_and(|target| target != own_id);
            let done = match is_other {
                true => stream.write_all(&response(
                    "421 Misdirected Request",
                    &format!("Instance-Id: {own_id}\r\n"),
                    b"",
                )),
                false => answer(&request, &mut stream),
            };
            if done.is_err() {
                return;
            }
        }
    });
    let (store, service, zone) = (Arc::clone(store), service.to_owned(), zone.to_owned());
    let registered = id.clone();
    spawn(move || {
        for sequence in 1.. {
            let value = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"warmupLeftS\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            );
            store.put("keyed.servers", &registered, value.as_bytes());
            sleep(HEARTBEAT);
        }
    });
    id
}

/// A sound answer of a back end.
fn sound_answer(request: &Message, body: &[u8]) -> Vec<u8> {
    let id = request.header("attempt-id").unwrap_or_default();
    let headers = format!(
        "Attempt-Id: {id}\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
         Backend-Load: 1,0,6\r\nKeep-Alive: timeout=10\r\n"
    );
    response("200 OK", &headers, body)
}

fn free_port() -> u16 {
    let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
    tcp.local_addr().expect("the address").port()
}

fn free_udp_port() -> u16 {
    let udp = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    udp.local_addr().expect("the address").port()
}

/// A machine with one entry process, which the platform starts again after it has ended.
struct Machine {
    name: String,
    callers: u16,
    readiness: u16,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
    /// Number of times that the process has ended by itself or was over its memory.
    ends: AtomicUsize,
    peak: AtomicU64,
}

/// All machines, and the folder with their settings, which is removed at the end.
struct Fleet {
    machines: Vec<Arc<Machine>>,
    folder: PathBuf,
    stopping: Arc<AtomicBool>,
    record: Arc<Record>,
}

impl Fleet {
    /// Starts `count` machines. `links` has the store's address and the UDP port of each.
    fn start(
        record: &Arc<Record>,
        count: usize,
        links: impl Fn(usize) -> (SocketAddr, u16),
    ) -> Result<Fleet, String> {
        let unique = format!("medlarreel-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut fleet = Fleet {
            machines: Vec::new(),
            folder,
            stopping: Arc::default(),
            record: Arc::clone(record),
        };
        for index in 0..count {
            let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
            let name = format!("edge-{zone}-{index}");
            let (callers, readiness, metrics) = (free_port(), free_port(), free_port());
            let (store, peers) = links(index);
            let text = format!(
                "[instance]\nname = {name}\ndomain = {zone}\nprocessor = 0.2\n\
                 [listen]\ncallers = 127.0.0.1:{callers}\nreadiness = 127.0.0.1:{readiness}\n\
                 peers = 127.0.0.1:{peers}\nmetrics = 127.0.0.1:{metrics}\n\
                 [platform]\nstore = {store}\nheartbeat = 0.87 s\n\
                 [bounds]\ngrace = 6 s\nhold_max = 10 s\ndrain = 2 s\nretry_ratio = 0.2\n"
            );
            let settings = fleet.folder.join(format!("{name}.ini"));
            std::fs::write(&settings, text).map_err(|error| error.to_string())?;
            let machine = Arc::new(Machine {
                name,
                callers,
                readiness,
                settings,
                child: Mutex::new(None),
                ends: AtomicUsize::new(0),
                peak: AtomicU64::new(0),
            });
            machine.launch()?;
            fleet.machines.push(Arc::clone(&machine));
            let (stopping, record) = (Arc::clone(&fleet.stopping), Arc::clone(record));
            spawn(move || machine.keep_running(&stopping, &record));
        }
        fleet.wait_until_ready(Duration::from_secs(15))?;
        Ok(fleet)
    }

    fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while !self.machines.iter().all(|machine| machine.is_ready()) {
            if Instant::now() > until {
                return Err("the machines are not ready in time".into());
            }
            sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Gives each process its share of a core from now on.
    fn limit_processors(&self) {
        for machine in &self.machines {
            let (machine, stopping) = (Arc::clone(machine), Arc::clone(&self.stopping));
            spawn(move || machine.limit_processor(&stopping));
        }
    }

    /// Number of times that the process of each machine has ended.
    fn ends(&self) -> Vec<usize> {
        let machines = self.machines.iter();
        machines
            .map(|machine| machine.ends.load(Ordering::SeqCst))
            .collect()
    }

    fn report_peaks(&self) {
        for machine in &self.machines {
            let peak = machine.peak.load(Ordering::SeqCst) / 1024 / 1024;
            let ends = machine.ends.load(Ordering::SeqCst);
            self.record
                .line(&format!("{}: peak {peak} MB, {ends} ends", machine.name));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        for machine in &self.machines {
            if let Some(mut child) = machine.child.lock().unwrap().take() {
                child.kill().ok();
                child.wait().ok();
            }
        }
        if std::env::var("KEEP").is_err() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

impl Machine {
    fn launch(&self) -> Result<(), String> {
        let log = self.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new("target/release/medlarreel-entry")
            .env("MEDLARREEL_BOOT", &self.settings)
            .stdout(Stdio::from(log))
            .spawn();
        let child = child.map_err(|error| format!("medlarreel-entry: {error}"))?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Ends the process if it uses more memory than the machine has, and starts it again
    /// half a second after it has ended.
    fn keep_running(&self, stopping: &AtomicBool, record: &Record) {
        while !stopping.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(10));
            let why = {
                let mut child = self.child.lock().unwrap();
                let Some(child) = child.as_mut() else {
                    return;
                };
                let memory = resident_bytes(child.id());
                self.peak.fetch_max(memory, Ordering::SeqCst);
                if let Ok(Some(status)) = child.try_wait() {
                    Some(format!("ended: {status}"))
                } else if memory > MEMORY_LIMIT {
                    child.kill().ok();
                    child.wait().ok();
                    Some(format!("killed: {} MB of 260 MB", memory / 1024 / 1024))
                } else {
                    None
                }
            };
            if let Some(why) = why {
                self.ends.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("{} {why}", self.name));
                sleep(Duration::from_millis(500));
                if stopping.load(Ordering::SeqCst) || self.launch().is_err() {
                    return;
                }
            }
        }
    }

    fn is_ready(&self) -> bool {
        let request = "GET /medlarreel/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let Ok(mut stream) = TcpStream::connect(("127.0.0.1", self.readiness)) else {
            return false;
        };
        stream
            .set_read_timeout(Some(Duration::from_millis(500)))
            .ok();
        stream.write_all(request.as_bytes()).ok();
        read_message(&mut stream).is_some_and(|answer| answer.status() == 200)
    }
}

unsafe extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
}

/// Part of each tenth of a second for which a process runs: `cpuShare` 0.2, played as a
/// quota (DEPLOY.md, "How these days are played").
const QUOTA: Duration = Duration::from_millis(20);
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

impl Machine {
    /// Stops and continues the process so that it gets its share of a core.
    fn limit_processor(&self, stopping: &AtomicBool) {
        let (stop, go) = if cfg!(target_os = "linux") {
            (19, 18)
        } else {
            (17, 19)
        };
        let signal = |signal| {
            let child = self.child.lock().unwrap();
            if let Some(child) = child.as_ref() {
                // SAFETY: sends a signal to a child that has not been waited for.
                unsafe { kill(child.id() as i32, signal) };
            }
        };
        let mut next = Instant::now();
        while !stopping.load(Ordering::SeqCst) {
            signal(go);
            sleep(QUOTA);
            signal(stop);
            next += QUOTA_PERIOD;
            sleep(next.saturating_duration_since(Instant::now()));
        }
        signal(go);
    }
}

/// Memory of a process, without what its sockets hold.
fn resident_bytes(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

/// Sends one request on a new connection; the status and length of the answer, or 0.
fn send(port: u16, head: &str, body: &[u8], limit: Duration) -> (u16, usize) {
    let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) else {
        return (0, 0);
    };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(limit)).ok();
    stream.set_write_timeout(Some(limit)).ok();
    if stream.write_all(head.as_bytes()).is_err() || stream.write_all(body).is_err() {
        return (0, 0);
    }
    let answer = read_message(&mut stream);
    answer.map_or((0, 0), |answer| (answer.status(), answer.body.len()))
}

/// Publishes a configuration with one plain service and one route for each kind.
fn publish_config(store: &Store) {
    let route = |name: &str, kind: &str, prefix: &str| {
        format!(
            "{{\"entryType\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
             \"host\":\"shop.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutS\":2.5,\"targetLatencyS\":2.5,\"priority\":2,\
             \"service\":\"workshop\",\"maxAttempts\":2}}}}"
        )
    };
    let mut text = String::from("{\"version\":7,\"baseVersion\":0,\"resources\":[");
    write!(text, "{},", route("catalogue", "safe", "/catalogue/")).ok();
    write!(text, "{},", route("orders", "unsafe", "/orders/")).ok();
    text.push_str(
        "{\"entryType\":\"services\",\"metadata\":{\"name\":\"workshop\"},\"spec\":{\
         \"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}},\
         {\"entryType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}]}",
    );
    store.put("keyed.op", "config", text.as_bytes());
}

/// Size of an upload; `maxBodyBytes` of the pages' configuration is 64 MiB.
const UPLOAD_BYTES: usize = 48 * 1024 * 1024;

/// Callers at each machine, and those that are there during the burst (x = 2.5).
const UPLOADERS: usize = 2;
const BURST_UPLOADERS: usize = 5;

/// Number of bursts, the calm time before each and after the last, and the length of each
/// (5.5 s in the site file).
const BURSTS: u32 = 2;
const CALM_TIME: Duration = Duration::from_secs(6);
const BURST_TIME: Duration = Duration::from_millis(5_500);

/// Callers send large bodies, within the operator's limits; during bursts there are more
/// of them at the same time.
fn uploads(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let (store, address) = Store::start();
    publish_config(&store);
    for index in 0..9 {
        let answer = move |request: &Message, stream: &mut TcpStream| {
            sleep(Duration::from_millis(200));
            stream.write_all(&sound_answer(request, &[b'a'; 1_500]))
        };
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        start_backend(&store, "workshop", zone, 6, Arc::new(answer));
    }
    let fleet = Fleet::start(record, 3, |_| (address, free_udp_port()))?;
    let attempts = AtomicU64::new(0);
    let statuses: Mutex<BTreeMap<u16, u64>> = Mutex::default();
    let body = vec![b'b'; UPLOAD_BYTES];
    let started = Instant::now();
    std::thread::scope(|scope| {
        for machine in &fleet.machines {
            for caller in 0..BURST_UPLOADERS {
                let (attempts, statuses, body) = (&attempts, &statuses, &body);
                scope.spawn(move || {
                    let round = CALM_TIME + BURST_TIME;
                    while started.elapsed() < round * BURSTS + CALM_TIME {
                        let rounds = started.elapsed().as_millis() / round.as_millis();
                        let since = started.elapsed() - round * rounds as u32;
                        let is_burst = trouble && rounds < BURSTS.into() && since >= CALM_TIME;
                        if caller >= UPLOADERS && !is_burst {
                            sleep(Duration::from_millis(50));
                            continue;
                        }
                        let attempt = attempts.fetch_add(1, Ordering::SeqCst);
                        let head = format!(
                            "POST /orders/{attempt} HTTP/1.1\r\nHost: shop.example\r\n\
                             Attempt-Id: {attempt:016x}\r\nDeadline-Ms: 2500\r\n\
                             Content-Length: {}\r\n\r\n",
                            body.len()
                        );
                        let limit = Duration::from_secs(3);
                        let (status, _) = send(machine.callers, &head, body, limit);
                        *statuses.lock().unwrap().entry(status).or_default() += 1;
                        record.line(&format!(
                            "{} {attempt:016x} answered {status}",
                            machine.name
                        ));
                        sleep(Duration::from_millis(500));
                    }
                });
            }
        }
    });
    fleet.report_peaks();
    let ends = fleet.ends();
    let sent = attempts.load(Ordering::SeqCst);
    let statuses = statuses.into_inner().unwrap();
    record.line(&format!(
        "{sent} requests, statuses {statuses:?}, ends {ends:?}"
    ));
    Ok(ends.iter().filter(|ends| **ends >= 3).count() < 2)
}

/// A back end of a service that is divided by key.
struct KeyedBackend {
    name: &'static str,
    id: String,
    address: SocketAddr,
    is_up: AtomicBool,
    is_draining: AtomicBool,
    sequence: AtomicU64,
    born: AtomicU64,
    keys: Mutex<Vec<KeyLease>>,
    connections: Mutex<Vec<TcpStream>>,
}

#[derive(Clone, Copy, Default)]
struct KeyLease {
    /// Highest fence seen since the start.
    fence: u64,
    until: Option<Instant>,
}

/// All keyed back ends, and what the rule needs to know of them.
struct Owners {
    backends: Mutex<Vec<Arc<KeyedBackend>>>,
    /// Highest fence with which any back end took each key, and which.
    highest: Mutex<Vec<(u64, &'static str)>>,
    record: Arc<Record>,
    runs: Mutex<Vec<(Instant, u16, &'static str)>>,
    /// Grants that were taken: when, by which back end, the first and the last key.
    grants: Mutex<Vec<(Instant, &'static str, usize, usize)>>,
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Value of a number in a flat JSON object.
fn json_number(text: &str, name: &str) -> Option<f64> {
    let after = text.split_once(&format!("\"{name}\":"))?.1;
    let end = after.find([',', '}'])?;
    after[..end].trim().parse().ok()
}

impl Owners {
    fn add(self: &Arc<Owners>, store: &Arc<Store>, name: &'static str) -> Arc<KeyedBackend> {
        let (listener, address) = listen();
        let backend = Arc::new(KeyedBackend {
            name,
            id: format!("i-{name}{:05x}", address.port()),
            address,
            is_up: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            born: AtomicU64::new(unix_millis()),
            keys: Mutex::new(vec![KeyLease::default(); 65_536]),
            connections: Mutex::default(),
        });
        self.backends.lock().unwrap().push(Arc::clone(&backend));
        let (owners, served) = (Arc::clone(self), Arc::clone(&backend));
        serve(listener, move |mut stream| {
            // A process that is down refuses connections; here they are closed at once.
            if !served.is_up.load(Ordering::SeqCst) {
                return;
            }
            let born = served.born.load(Ordering::SeqCst);
            if let Ok(copy) = stream.try_clone() {
                served.connections.lock().unwrap().push(copy);
            }
            while let Some(request) = read_message(&mut stream) {
                let answer = owners.answer(&served, &request);
                let is_same = born == served.born.load(Ordering::SeqCst);
                let is_up = is_same && served.is_up.load(Ordering::SeqCst);
                if !is_up || stream.write_all(&answer).is_err() {
                    return;
                }
            }
        });
        let (store, registered) = (Arc::clone(store), Arc::clone(&backend));
        spawn(move || {
            loop {
                if registered.is_up.load(Ordering::SeqCst) {
                    registered.register(&store);
                }
                sleep(HEARTBEAT);
            }
        });
        backend
    }

    fn answer(&self, backend: &KeyedBackend, request: &Message) -> Vec<u8> {
        if request
            .header("target-instance")
            .is_some_and(|target| target != backend.id)
        {
            let header = format!("Instance-Id: {}\r\n", backend.id);
            return response("421 Misdirected Request", &header, b"");
        }
        match request.path() {
            "/medlarreel/grant" => self.grant(backend, &request.body),
            "/medlarreel/release" => self.release(backend, &request.body),
            _ => self.run(backend, request),
        }
    }

    fn grant(&self, backend: &KeyedBackend, body: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(body);
        let number = |name| json_number(&text, name);
        let (Some(from), Some(to), Some(fence), Some(hold)) = (
            number("from"),
            number("target"),
            number("fence"),
            number("holdS"),
        ) else {
            return response("400 Bad Request", "", b"");
        };
        let (from, to, fence) = (from as usize, to as usize, fence as u64);
        let mut keys = backend.keys.lock().unwrap();
        if keys[from..=to].iter().any(|key| key.fence > fence) {
            return response("409 Conflict", "", b"");
        }
        let until = Instant::now() + Duration::from_secs_f64(hold);
        for key in &mut keys[from..=to] {
            (key.fence, key.until) = (fence, Some(until));
        }
        drop(keys);
        let mut highest = self.highest.lock().unwrap();
        let is_below = |(other, name): &(u64, &str)| *other >= fence && *name != backend.name;
        let below = highest[from..=to].iter().position(is_below);
        if let Some(offset) = below {
            let (other, name) = highest[from + offset];
            let key = from + offset;
            self.record.line(&format!(
                "{} takes key {key} with fence {fence}, though {name} had it with {other}",
                backend.name
            ));
        }
        for key in &mut highest[from..=to] {
            if fence > key.0 {
                *key = (fence, backend.name);
            }
        }
        drop(highest);
        self.record.line(&format!(
            "{} granted {from} to {to}, fence {fence}",
            backend.name
        ));
        self.grants
            .lock()
            .unwrap()
            .push((Instant::now(), backend.name, from, to));
        response("200 OK", "", b"")
    }

    fn release(&self, backend: &KeyedBackend, body: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(body);
        let number = |name| json_number(&text, name);
        let (Some(from), Some(to), Some(fence)) =
            (number("from"), number("target"), number("fence"))
        else {
            return response("400 Bad Request", "", b"");
        };
        let (from, to, fence) = (from as usize, to as usize, fence as u64);
        let mut keys = backend.keys.lock().unwrap();
        for key in keys[from..=to].iter_mut().filter(|key| key.fence <= fence) {
            (key.fence, key.until) = (fence, None);
        }
        drop(keys);
        self.record.line(&format!(
            "{} released {from} to {to}, fence {fence}",
            backend.name
        ));
        // Runs take 20 ms; those on these keys have ended after that.
        sleep(Duration::from_millis(25));
        response("200 OK", "Handover: 5c0e7a21d94b36f8\r\n", b"")
    }

    fn run(&self, backend: &KeyedBackend, request: &Message) -> Vec<u8> {
        let key = request
            .header("shard-key")
            .and_then(|key| key.parse::<u16>().ok());
        if !key.is_some_and(|key| backend.holds(key.into())) {
            return response("421 Misdirected Request", "Not-Executed: 1\r\n", b"");
        }
        if let Some(key) = key {
            self.runs
                .lock()
                .unwrap()
                .push((Instant::now(), key, backend.name));
        }
        sleep(Duration::from_millis(20));
        sound_answer(request, backend.name.as_bytes())
    }

    /// Names of the back ends that are up and hold a key now.
    fn holders(&self, key: usize) -> Vec<&'static str> {
        let backends = self.backends.lock().unwrap();
        let holders = backends
            .iter()
            .filter(|backend| backend.is_up.load(Ordering::SeqCst) && backend.holds(key));
        holders.map(|backend| backend.name).collect()
    }
}

impl KeyedBackend {
    fn holds(&self, key: usize) -> bool {
        let until = self.keys.lock().unwrap()[key].until;
        until.is_some_and(|until| Instant::now() < until)
    }

    fn register(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let value = format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{}\",\"warmupLeftS\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.address,
            if self.is_draining.load(Ordering::SeqCst) {
                "draining"
            } else {
                "ready"
            },
            self.born.load(Ordering::SeqCst)
        );
        store.put("keyed.servers", &self.id, value.as_bytes());
    }

    fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            connection.shutdown(std::net::Shutdown::Both).ok();
        }
    }

    /// Starts again under the same id and address. It knows nothing of before.
    fn restart(&self, store: &Store) {
        *self.keys.lock().unwrap() = vec![KeyLease::default(); 65_536];
        self.born.store(unix_millis(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.register(store);
    }
}

/// Length of the cut (`core_cut`); the site file has up to 5.5 s.
const CUT_TIME: Duration = Duration::from_millis(5_400);

/// Time for which a back end is down (`srv_crash`); the site file has up to 4.5 s.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Back ends that stay from the start on.
const FIRST_BACKENDS: [&str; 7] = ["A", "B", "F", "G", "H", "I", "J"];

/// Every how many keys the holders are checked.
const KEY_STEP: usize = 64;

/// The leader is cut off from the store and from the other machines, another one moves
/// keys, and a back end that has lost some of them starts again.
fn reborn(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let (store, _) = Store::start();
    let text = "{\"version\":7,\"baseVersion\":0,\"resources\":[\
         {\"entryType\":\"routes\",\"metadata\":{\"name\":\"status\"},\"spec\":{\
         \"host\":\"shop.example\",\"pathPrefix\":\"/status/\",\"kind\":\"safe\",\
         \"timeoutS\":1,\"targetLatencyS\":0.5,\"priority\":1,\"service\":\"desk\",\
         \"maxAttempts\":2}},\
         {\"entryType\":\"services\",\"metadata\":{\"name\":\"desk\"},\"spec\":{\
         \"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"sharded\":true,\"warmS\":5.0,\"grants\":\"per_call\"}},\
         {\"entryType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}]}";
    store.put("keyed.op", "config", text.as_bytes());
    let owners = Arc::new(Owners {
        backends: Mutex::default(),
        highest: Mutex::new(vec![(0, "nobody"); 65_536]),
        record: Arc::clone(record),
        runs: Mutex::default(),
        grants: Mutex::default(),
    });
    for name in FIRST_BACKENDS {
        owners.add(&store, name);
    }
    let last = owners.add(&store, "E");
    let network = Network::start(3);
    let cuts: Vec<Arc<AtomicBool>> = (0..3).map(|_| Arc::default()).collect();
    let addresses: Vec<SocketAddr> = (0..3)
        .map(|index| {
            store.listen(
                Arc::clone(&cuts[index]),
                Some((Arc::clone(&network), index)),
            )
        })
        .collect();
    let fleet = Fleet::start(record, 3, |index| (addresses[index], network.ports[index]))?;
    let wait_until_held = |allowed: &[&str]| {
        let until = Instant::now() + Duration::from_secs(15);
        let is_held = |key| {
            owners
                .holders(key)
                .iter()
                .any(|name| allowed.contains(name))
        };
        while !(0..65_536).step_by(KEY_STEP).all(is_held) {
            if Instant::now() > until {
                return Err("the keys are not granted in time");
            }
            sleep(Duration::from_millis(50));
        }
        Ok(())
    };
    wait_until_held(&[&FIRST_BACKENDS[..], &["E"]].concat())?;
    // Its keys go to the others, some of which then hold more than one range.
    record.line("back end E drains");
    last.is_draining.store(true, Ordering::SeqCst);
    last.register(&store);
    wait_until_held(&FIRST_BACKENDS)?;
    sleep(Duration::from_millis(2_500));
    record.line("back end E ends");
    last.crash();
    store.put("keyed.servers", &last.id, b"");
    sleep(Duration::from_millis(780));
    let leader_of = || {
        let value = store.newest_value("keyed.medlarreel", "lead")?;
        let name = value.get(1..1 + usize::from(*value.first()?))?.to_vec();
        fleet
            .machines
            .iter()
            .position(|machine| machine.name.as_bytes() == name)
    };
    let leader = leader_of().ok_or("no leader")?;
    record.line(&format!("leader: {}", fleet.machines[leader].name));
    let done = AtomicBool::new(false);
    let statuses: Mutex<BTreeMap<u16, u64>> = Mutex::default();
    std::thread::scope(|scope| {
        for machine in &fleet.machines {
            let (done, statuses) = (&done, &statuses);
            scope.spawn(move || {
                for attempt in 0u64.. {
                    if done.load(Ordering::SeqCst) {
                        return;
                    }
                    scope.spawn(move || {
                        let key = attempt * 7_919 % 65_536;
                        let id = format!("{}-{attempt}", machine.callers);
                        let head = format!(
                            "GET /status/{key} HTTP/1.1\r\nHost: shop.example\r\n\
                             Attempt-Id: {id}\r\nDeadline-Ms: 2000\r\nShard-Key: {key}\r\n\r\n"
                        );
                        let (status, _) = send(machine.callers, &head, b"", Duration::from_secs(3));
                        *statuses.lock().unwrap().entry(status).or_default() += 1;
                    });
                    sleep(Duration::from_millis(50));
                }
            });
        }
        let outcome = watch_owners(
            record,
            &store,
            &owners,
            trouble,
            &|is_cut| {
                network.cut[leader].store(is_cut, Ordering::SeqCst);
                cuts[leader].store(is_cut, Ordering::SeqCst);
            },
            &|| leader_of() != Some(leader),
        );
        done.store(true, Ordering::SeqCst);
        record.line(&format!("answers: {:?}", statuses.lock().unwrap()));
        outcome
    })
}

fn watch_owners(
    record: &Arc<Record>,
    store: &Arc<Store>,
    owners: &Arc<Owners>,
    trouble: bool,
    set_cut: &dyn Fn(bool),
    has_new_leader: &dyn Fn() -> bool,
) -> Result<bool, String> {
    let cut_at = Instant::now();
    if trouble {
        record.line("the leader is cut off from the store and the other machines");
        set_cut(true);
    }
    sleep(Duration::from_millis(300));
    owners.add(store, "C");
    owners.add(store, "D");
    record.line("back ends C and D are added");
    // A back end that had a range before the cut of which it holds nothing any more.
    let find_loser = || {
        let grants = owners.grants.lock().unwrap().clone();
        let recent = grants.iter().filter(|(at, ..)| {
            *at < cut_at && cut_at.duration_since(*at) < Duration::from_millis(1_500)
        });
        let mut lost = recent.filter(|(_, name, from, to)| {
            let mut keys = (0..65_536)
                .step_by(KEY_STEP)
                .filter(|key| (from..=to).contains(&key));
            let is_moved = |key| {
                let holders = owners.holders(key);
                !holders.is_empty() && !holders.contains(name)
            };
            to - from > KEY_STEP && keys.all(is_moved)
        });
        let (_, name, from, to) = lost.next()?;
        record.line(&format!("{name} has lost its range {from} to {to}"));
        let backends = owners.backends.lock().unwrap();
        let loser = backends
            .iter()
            .find(|backend| backend.name == *name)
            .cloned()?;
        Some((loser, *from, *to))
    };
    let mut crashed: Option<(Instant, Arc<KeyedBackend>, usize, usize)> = None;
    let mut restarted = false;
    let mut shared_since: HashMap<usize, Instant> = HashMap::new();
    let mut worst: Option<(Duration, usize, Vec<&str>)> = None;
    let mut healed = !trouble;
    while cut_at.elapsed() < CUT_TIME + Duration::from_secs(4) {
        if !healed && cut_at.elapsed() >= CUT_TIME {
            record.line("the cut heals");
            set_cut(false);
            healed = true;
        }
        if trouble
            && !healed
            && crashed.is_none()
            && has_new_leader()
            && let Some((loser, from, to)) = find_loser()
        {
            record.line(&format!(
                "another machine leads; back end {} crashes",
                loser.name
            ));
            loser.crash();
            crashed = Some((Instant::now(), loser, from, to));
        }
        if let Some((at, loser, ..)) = &crashed
            && at.elapsed() > DOWN_TIME
            && !restarted
        {
            record.line(&format!(
                "{} starts again under its id, at its address",
                loser.name
            ));
            loser.restart(store);
            restarted = true;
        }
        for key in (0..65_536).step_by(KEY_STEP) {
            let holders = owners.holders(key);
            if holders.len() < 2 {
                shared_since.remove(&key);
                continue;
            }
            let since = *shared_since.entry(key).or_insert_with(Instant::now);
            if worst
                .as_ref()
                .is_none_or(|(longest, ..)| since.elapsed() > *longest)
            {
                worst = Some((since.elapsed(), key, holders));
            }
        }
        sleep(Duration::from_millis(20));
    }
    if trouble && !restarted {
        return Err("no keys were moved while the leader was cut off".into());
    }
    let Some((longest, key, holders)) = worst else {
        return Ok(true);
    };
    record.line(&format!(
        "key {key} was held by {holders:?} for {} ms",
        longest.as_millis()
    ));
    if let Some((crashed_at, _, from, to)) = crashed {
        let runs = owners.runs.lock().unwrap();
        let runs = runs
            .iter()
            .filter(|(at, key, _)| *at > crashed_at && (from..=to).contains(&usize::from(*key)));
        for (at, key, name) in runs {
            let at = at.duration_since(record.start).as_secs_f64();
            record.line(&format!("  run of key {key} at {name}, {at:.3} s"));
        }
    }
    Ok(longest <= Duration::from_millis(500))
}

/// Requests a second at each machine; the site's machines have up to 60.
const LOOKUP_RATE: u64 = 40;

/// Time before the back ends garble answers, for which they do (up to 5 s for x = 0.05 in
/// the site file), and after it.
const BEFORE_GARBLE: Duration = Duration::from_secs(5);
const GARBLE_TIME: Duration = Duration::from_millis(4_900);
const AFTER_GARBLE: Duration = Duration::from_secs(3);

/// Back ends of nine that garble, and every how many of their answers.
const GARBLING_BACKENDS: usize = 4;
const GARBLE_INTERVAL: u64 = 20;

/// `timeoutS` of the route, and the time after it by which the rule counts.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Some answers of some back ends are heads without end: none of them is the final one.
fn heads(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let (store, address) = Store::start();
    let text = "{\"version\":7,\"baseVersion\":0,\"resources\":[\
         {\"entryType\":\"routes\",\"metadata\":{\"name\":\"lookup\"},\"spec\":{\
         \"host\":\"shop.example\",\"pathPrefix\":\"/lookup/\",\"kind\":\"safe\",\
         \"timeoutS\":1,\"targetLatencyS\":0.5,\"priority\":1,\"service\":\"workshop\",\
         \"maxAttempts\":2}},\
         {\"entryType\":\"services\",\"metadata\":{\"name\":\"workshop\"},\"spec\":{\
         \"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}},\
         {\"entryType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}]}";
    store.put("keyed.op", "config", text.as_bytes());
    let garbling = Arc::new(AtomicBool::new(false));
    let heads = Arc::new(b"HTTP/1.1 100 C\r\n\r\n".repeat(4_000));
    for index in 0..9 {
        let (record, garbling) = (Arc::clone(record), Arc::clone(&garbling));
        let (heads, count) = (Arc::clone(&heads), AtomicU64::new(0));
        let answer = move |request: &Message, stream: &mut TcpStream| {
            let id = request.header("attempt-id").unwrap_or_default();
            sleep(Duration::from_millis(160));
            let is_garbled = index < GARBLING_BACKENDS
                && garbling.load(Ordering::SeqCst)
                && (count.fetch_add(1, Ordering::SeqCst) + 1) % GARBLE_INTERVAL == 0;
            if !is_garbled {
                return stream.write_all(&sound_answer(request, &[b'a'; 400]));
            }
            record.line(&format!(
                "back end {index} answers {id} with heads without end"
            ));
            let (started, mut sent) = (Instant::now(), 0);
            loop {
                if let Err(error) = stream.write_all(&heads) {
                    let took = started.elapsed().as_secs_f64();
                    record.line(&format!("{id} is closed after {sent} bytes, {took:.3} s"));
                    return Err(error);
                }
                sent += heads.len();
            }
        };
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        start_backend(&store, "workshop", zone, 6, Arc::new(answer));
    }
    let fleet = Fleet::start(record, 3, |_| (address, free_udp_port()))?;
    fleet.limit_processors();
    let attempts = AtomicU64::new(0);
    let answers: Mutex<Vec<(u16, Duration)>> = Mutex::default();
    let started = Instant::now();
    std::thread::scope(|scope| {
        for machine in &fleet.machines {
            let (attempts, answers) = (&attempts, &answers);
            scope.spawn(move || {
                while started.elapsed() < BEFORE_GARBLE + GARBLE_TIME + AFTER_GARBLE {
                    scope.spawn(move || {
                        let attempt = attempts.fetch_add(1, Ordering::SeqCst);
                        let head = format!(
                            "GET /lookup/{attempt} HTTP/1.1\r\nHost: shop.example\r\n\
                             Attempt-Id: {attempt:016x}\r\nDeadline-Ms: 2000\r\n\r\n"
                        );
                        let sent = Instant::now();
                        // The caller leaves at its deadline.
                        let limit = Duration::from_millis(2_000);
                        let (status, _) = send(machine.callers, &head, b"", limit);
                        let took = sent.elapsed();
                        answers.lock().unwrap().push((status, took));
                        if status != 200 || took > ROUTE_TIMEOUT {
                            let took = took.as_secs_f64();
                            let name = &machine.name;
                            record
                                .line(&format!("{name} {attempt:016x} {status} after {took:.3} s"));
                        }
                    });
                    sleep(Duration::from_millis(1_000 / LOOKUP_RATE));
                }
            });
        }
        sleep(BEFORE_GARBLE);
        garbling.store(trouble, Ordering::SeqCst);
        sleep(GARBLE_TIME);
        garbling.store(false, Ordering::SeqCst);
    });
    fleet.report_peaks();
    let answers = answers.into_inner().unwrap();
    let count = |is_meant: &dyn Fn(&(u16, Duration)) -> bool| {
        answers.iter().filter(|answer| is_meant(answer)).count()
    };
    let unanswered_at = |at: Duration| count(&|(status, took)| *status == 0 || *took > at);
    let late = unanswered_at(ROUTE_TIMEOUT);
    let too_late = unanswered_at(ROUTE_TIMEOUT + TIMEOUT_SLACK);
    let never = count(&|(status, _)| *status == 0);
    record.line(&format!(
        "{} requests, {late} unanswered after 1 s, {too_late} after 1.5 s, {never} never",
        answers.len()
    ));
    Ok(too_late * 2 <= late)
}
