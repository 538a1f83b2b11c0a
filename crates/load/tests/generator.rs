//! Runs the load generator against a server in the same process.

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
use medlar_load::generator::schedule::Mix;
use medlar_load::generator::{Command, Schedule, Settings, output, run};
use medlarreel_core::preset::Rank;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Loopback server that delays every response until `min_requests` have arrived. It
/// rejects requests of rank `archive` with code 106 and serves the others.
struct Stub {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<(Method, HeaderMap)>>>,
    _runtime: tokio::runtime::Runtime,
}

fn start_stub(min_requests: usize) -> Stub {
    let runtime = tokio::runtime::Runtime::new().expect("runtime starts");
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"));
    let listener = listener.expect("loopback port is free");
    let address = listener.local_addr().expect("listener has an address");
    let seen = Arc::new(Mutex::new(Vec::new()));
    let gate = Arc::new(Semaphore::new(0));
    let requests = Arc::clone(&seen);
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (requests, gate) = (Arc::clone(&requests), Arc::clone(&gate));
            let service = service_fn(move |request| {
                respond(
                    request,
                    Arc::clone(&requests),
                    Arc::clone(&gate),
                    min_requests,
                )
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

async fn respond(
    request: Request<Incoming>,
    requests: Arc<Mutex<Vec<(Method, HeaderMap)>>>,
    gate: Arc<Semaphore>,
    min_requests: usize,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, _) = request.into_parts();
    let archive = head
        .headers
        .get("medlar-rank")
        .is_some_and(|rank| rank == "archive");
    let seen_count = {
        let mut requests = requests.lock().expect("the lock is not poisoned");
        requests.push((head.method, head.headers));
        requests.len()
    };
    if seen_count == min_requests {
        gate.add_permits(Semaphore::MAX_PERMITS / 2);
    }
    drop(gate.acquire().await);
    let response = Response::builder();
    let response = if archive {
        let rejected = response.status(503).header("medlar-code", "106");
        rejected.header("medlar-outcome", "not-run")
    } else {
        response
    };
    Ok(response.body(Full::default()).expect("response is valid"))
}

fn settings(address: SocketAddr) -> Settings {
    let mut settings = Settings::new(vec![address]);
    settings.requests_per_second = 400.0;
    settings.duration = Duration::from_millis(250);
    settings
}

fn parse(line: &str) -> Result<Command, Error> {
    let args: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    Command::parse(&args)
}

/// Guards against arrivals that wait for responses: the server responds to
/// nothing until all scheduled requests are open.
#[test]
fn arrivals_do_not_wait_for_responses() {
    let mut settings = settings(([127, 0, 0, 1], 0).into());
    let scheduled = Schedule::new(&settings).count();
    let stub = start_stub(scheduled);
    settings.targets = vec![stub.address];

    let report = run(&settings).expect("run starts");

    assert!(scheduled > 50);
    assert_eq!(report.all.due, scheduled as u64);
    assert_eq!(report.statuses.values().sum::<u64>(), scheduled as u64);
}

/// Guards against rejected requests counted as served, against missing request headers,
/// and against idempotency keys that repeat within a run.
#[test]
fn responses_are_counted_by_status_and_headers() {
    let stub = start_stub(1);
    let mut settings = settings(stub.address);
    settings.clubs = Mix::new(vec![("kashmir".to_owned(), 1)]);
    settings.post_fraction = 0.5;
    settings.deadline = Some(Duration::from_millis(750));

    let report = run(&settings).expect("run starts");

    let archive = report.ranks["archive"].due;
    assert_eq!(report.ranks["archive"].served, 0);
    assert_eq!(report.all.served, report.all.due - archive);
    assert_eq!(report.codes["106"], archive);
    assert_eq!(report.outcomes["not-run"], archive);
    assert_eq!(report.clubs["kashmir"].due, report.all.due);
    assert_eq!(report.all.latency_us.len(), report.all.served);
    let last = format!("served {} of {}\n", report.all.served, report.all.due);
    assert!(output::table(&report).ends_with(&last));
    let json: serde_json::Value = serde_json::from_str(&output::json(&report)).expect("JSON");
    assert_eq!(json["all"]["served"], report.all.served);

    let seen = stub.seen.lock().expect("server does not panic");
    let mut idempotency_keys: Vec<_> = Vec::new();
    for (method, headers) in seen.iter() {
        assert_eq!(headers["medlar-deadline-ms"], "750");
        assert!(headers.contains_key("medlar-key"));
        let idempotency_key = headers.get("idempotency-key");
        assert_eq!(idempotency_key.is_some(), *method == Method::POST);
        idempotency_keys.extend(idempotency_key.cloned());
    }
    let post_count = idempotency_keys.len();
    idempotency_keys.sort_by(|one, other| one.as_bytes().cmp(other.as_bytes()));
    idempotency_keys.dedup();
    assert_eq!(
        idempotency_keys.len(),
        post_count,
        "idempotency keys are unique"
    );
}

/// Guards against requests to an unreachable target counted as served.
#[test]
fn requests_to_a_closed_port_are_not_served() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("port is free");
    let address = listener.local_addr().expect("listener has an address");
    drop(listener);

    let report = run(&settings(address)).expect("run starts");

    assert_eq!(report.all.served, 0);
    assert_eq!(report.unanswered["unconnected"], report.all.due);
}

/// Guards against schedules that differ for the same seed or are equal for two seeds, and
/// against a wrong rate or wrong shares of the ranks.
#[test]
fn schedule_follows_seed_rate_and_weights() {
    let line = "--target 127.0.0.1:1 --rate 1000/s --duration 20s --rank status=3,order=1";
    let Ok(Command::Run(settings)) = parse(line) else {
        panic!("line is valid");
    };
    let first: Vec<_> = Schedule::new(&settings).collect();
    let again: Vec<_> = Schedule::new(&settings).collect();
    let mut other = settings.clone();
    other.seed = 2;

    assert_eq!(first, again);
    assert_ne!(first, Schedule::new(&other).collect::<Vec<_>>());
    assert!((19_000..21_000).contains(&first.len()));
    let status = first
        .iter()
        .filter(|request| request.rank == Rank::Status)
        .count();
    assert!((0.73..0.77).contains(&(status as f64 / first.len() as f64)));
}

/// Guards against load sent to other machines, and against arguments that are misread
/// instead of rejected, such as a rate or a duration without a unit.
#[test]
fn invalid_arguments_are_rejected() {
    let invalid_lines = [
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
    for line in invalid_lines {
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
