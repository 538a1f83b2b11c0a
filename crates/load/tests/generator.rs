//! Load generator against a server in the same process.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use medlar_load::Error;
use medlar_load::generator::plan::Mix;
use medlar_load::generator::{Command, Plan, Settings, present, run};
use medlarreel_core::preset::Rank;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Server on loopback that answers nothing until `hold` requests are open.
struct Stub {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<(Method, HeaderMap)>>>,
    _runtime: tokio::runtime::Runtime,
}

fn stub(hold: usize) -> Stub {
    let runtime = tokio::runtime::Runtime::new().expect("runtime starts");
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"));
    let listener = listener.expect("loopback port is free");
    let address = listener.local_addr().expect("listener has an address");
    let seen = Arc::new(Mutex::new(Vec::new()));
    let gate = Arc::new(Semaphore::new(0));
    let log = Arc::clone(&seen);
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (log, gate) = (Arc::clone(&log), Arc::clone(&gate));
            let service = service_fn(move |request| {
                answer(request, Arc::clone(&log), Arc::clone(&gate), hold)
            });
            let io = TokioIo::new(stream);
            tokio::spawn(http1::Builder::new().serve_connection(io, service));
        }
    });
    Stub {
        address,
        seen,
        _runtime: runtime,
    }
}

async fn answer(
    request: Request<Incoming>,
    log: Arc<Mutex<Vec<(Method, HeaderMap)>>>,
    gate: Arc<Semaphore>,
    hold: usize,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, _) = request.into_parts();
    let archive = head
        .headers
        .get("medlar-rank")
        .is_some_and(|rank| rank == "archive");
    let seen = {
        let mut log = log.lock().expect("no test panics while logging");
        log.push((head.method, head.headers));
        log.len()
    };
    if seen == hold {
        gate.add_permits(Semaphore::MAX_PERMITS / 2);
    }
    drop(gate.acquire().await);
    let response = Response::builder();
    let response = if archive {
        let refused = response.status(503).header("medlar-code", "106");
        refused.header("medlar-outcome", "not-run")
    } else {
        response
    };
    Ok(response.body(Full::default()).expect("answer is valid"))
}

fn settings(address: SocketAddr) -> Settings {
    let mut settings = Settings::new(vec![address]);
    settings.rate = 400.0;
    settings.duration = Duration::from_millis(250);
    settings
}

fn parse(line: &str) -> Result<Command, Error> {
    let args: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    Command::parse(&args)
}

/// Guards against arrivals that wait for answers: this server answers nothing
/// until all planned requests are open.
#[test]
fn arrivals_do_not_wait_for_answers() {
    let mut settings = settings(([127, 0, 0, 1], 0).into());
    let planned = Plan::new(&settings).count();
    let stub = stub(planned);
    settings.targets = vec![stub.address];

    let report = run(&settings).expect("run starts");

    assert!(planned > 50);
    assert_eq!(report.all.due, planned as u64);
    assert_eq!(report.statuses.values().sum::<u64>(), planned as u64);
}

/// Guards against refusals counted as served and against lost headers.
#[test]
fn answers_are_counted_by_what_they_say() {
    let stub = stub(1);
    let mut settings = settings(stub.address);
    settings.clubs = Mix::new(vec![("kashmir".to_owned(), 1)]);
    settings.post = 0.5;
    settings.deadline = Some(Duration::from_millis(750));

    let report = run(&settings).expect("run starts");

    let archive = report.ranks["archive"].due;
    assert_eq!(report.ranks["archive"].served, 0);
    assert_eq!(report.all.served, report.all.due - archive);
    assert_eq!(report.codes["106"], archive);
    assert_eq!(report.outcomes["not-run"], archive);
    assert_eq!(report.clubs["kashmir"].due, report.all.due);
    assert_eq!(report.all.latency.len(), report.all.served);
    let last = format!("served {} of {}\n", report.all.served, report.all.due);
    assert!(present::table(&report).ends_with(&last));
    let json: serde_json::Value = serde_json::from_str(&present::json(&report)).expect("JSON");
    assert_eq!(json["all"]["served"], report.all.served);

    let seen = stub.seen.lock().expect("server does not panic");
    let mut identities: Vec<_> = Vec::new();
    for (method, headers) in seen.iter() {
        assert_eq!(headers["medlar-deadline-ms"], "750");
        assert!(headers.contains_key("medlar-key"));
        let identity = headers.get("idempotency-key");
        assert_eq!(identity.is_some(), *method == Method::POST);
        identities.extend(identity.cloned());
    }
    let posts = identities.len();
    identities.sort_by(|one, other| one.as_bytes().cmp(other.as_bytes()));
    identities.dedup();
    assert_eq!(identities.len(), posts, "idempotency keys are unique");
}

/// Guards against a dead target counted as anything but not served.
#[test]
fn a_closed_port_serves_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("port is free");
    let address = listener.local_addr().expect("listener has an address");
    drop(listener);

    let report = run(&settings(address)).expect("run starts");

    assert_eq!(report.all.served, 0);
    assert_eq!(report.faults["unconnected"], report.all.due);
}

/// Guards against runs that cannot be repeated, and against a wrong mix or rate.
#[test]
fn the_schedule_follows_from_the_seed() {
    let line = "--target 127.0.0.1:1 --rate 1000/s --duration 20s --rank status=3,order=1";
    let Ok(Command::Run(settings)) = parse(line) else {
        panic!("line is valid");
    };
    let first: Vec<_> = Plan::new(&settings).collect();
    let again: Vec<_> = Plan::new(&settings).collect();
    let mut other = settings.clone();
    other.seed = 2;

    assert_eq!(first, again);
    assert_ne!(first, Plan::new(&other).collect::<Vec<_>>());
    assert!((19_000..21_000).contains(&first.len()));
    let status = first
        .iter()
        .filter(|shot| shot.rank == Rank::Status)
        .count();
    assert!((0.73..0.77).contains(&(status as f64 / first.len() as f64)));
}

/// Guards against load on other machines and against misread units.
#[test]
fn bad_arguments_are_refused() {
    let bad = [
        "",
        "--target 127.0.0.1",
        "--target 127.0.0.1:1 --rate 100",
        "--target 127.0.0.1:1 --rate 0/s",
        "--target 127.0.0.1:1 --duration 10",
        "--target 127.0.0.1:1 --duration 0s",
        "--target 127.0.0.1:1 --rank urgent",
        "--target 127.0.0.1:1 --club a=0",
        "--target 127.0.0.1:1 --post 120%",
        "--target 127.0.0.1:1 --open 0",
        "--target 127.0.0.1:1 extra",
        "--target 127.0.0.1:1 --unknown",
    ];
    for line in bad {
        assert!(matches!(parse(line), Err(Error::Usage(_))), "{line}");
    }
    for target in [
        "10.0.0.1:80",
        "127.0.0.1:1,192.168.0.1:80",
        "0.0.0.0:80",
        "[::]:80",
    ] {
        let line = format!("--target {target}");
        assert!(matches!(parse(&line), Err(Error::NotLoopback(_))), "{line}");
    }
    assert!(matches!(parse("--help"), Ok(Command::Help(_))));
    assert!(matches!(parse("-t [::1]:80"), Ok(Command::Run(_))));
}
