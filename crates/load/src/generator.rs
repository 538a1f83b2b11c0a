//! Open-loop HTTP/1.1 load generator.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

pub mod plan;
pub mod present;
pub mod report;
pub mod send;
pub mod settings;

pub use plan::{Plan, Shot};
pub use report::Report;
pub use settings::{Command, Settings};

use crate::Error;
use send::{Answer, Sender};

/// Time before a request's start at which the pacer stops sleeping and polls
/// the clock; the sleep of the operating system overshoots by about this much.
const POLL: Duration = Duration::from_micros(80);

/// Runs the command of the given arguments and returns its exit code.
///
/// # Errors
///
/// The command line is not valid, or the run cannot be started.
pub fn main(args: &[String]) -> Result<u8, Error> {
    let settings = match Command::parse(args)? {
        Command::Help(text) => {
            println!("{text}");
            return Ok(0);
        }
        Command::Run(settings) => settings,
    };
    let report = run(&settings)?;
    if settings.json {
        // The last line goes to stderr here, so that stdout is one JSON document.
        println!("{}", present::json(&report));
        eprintln!("served {} of {}", report.all.served, report.all.due);
    } else {
        print!("{}", present::table(&report));
    }
    Ok(u8::from(report.all.served == 0))
}

/// Sends the planned requests and reports what became of them.
///
/// # Errors
///
/// The runtime cannot be started.
pub fn run(settings: &Settings) -> Result<Report, Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let report = Arc::new(Mutex::new(Report::new(settings)));
    let mut tasks = JoinSet::new();
    pace(settings, &runtime, &report, &mut tasks);
    runtime.block_on(async { while tasks.join_next().await.is_some() {} });
    let report = lock(&report).clone();
    Ok(report)
}

/// Starts each request at its time, whatever became of the earlier ones.
fn pace(
    settings: &Settings,
    runtime: &Runtime,
    report: &Arc<Mutex<Report>>,
    tasks: &mut JoinSet<()>,
) {
    let _context = runtime.enter();
    let sender = Arc::new(Sender::new(settings));
    let start = Instant::now();
    for shot in Plan::new(settings) {
        let due = start + shot.at;
        wait_until(due);
        while tasks.try_join_next().is_some() {}
        // A generator that falls behind shows in its lag, not only in latencies.
        lock(report).record_lag(due.elapsed());
        if tasks.len() >= settings.open {
            lock(report).record(&shot, due.elapsed(), Answer::NotSent);
            continue;
        }
        let (sender, report) = (Arc::clone(&sender), Arc::clone(report));
        tasks.spawn(async move {
            let answer = sender.send(&shot).await;
            let latency = due.elapsed();
            lock(&report).record(&shot, latency, answer);
        });
    }
}

fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > POLL {
        std::thread::sleep(left - POLL);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}

fn lock(report: &Mutex<Report>) -> MutexGuard<'_, Report> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}
