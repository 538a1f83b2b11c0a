//! Open-loop HTTP/1.1 load generator.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

pub mod output;
pub mod report;
pub mod schedule;
pub mod send;
pub mod settings;

pub use report::Report;
pub use schedule::{PlannedRequest, Schedule};
pub use settings::{Command, Settings};

use crate::Error;
use send::{SendResult, Sender};

/// Time before a request's start at which the thread stops sleeping and polls
/// the clock, because sleeps of the operating system overshoot by about this much.
const POLLING_WINDOW: Duration = Duration::from_micros(80);

/// Runs the command given by the arguments and returns its exit code: 1 if a run
/// served no request, otherwise 0.
///
/// # Errors
///
/// The command line is invalid, or the run cannot be started.
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
        // The summary line goes to stderr so that stdout is one JSON document.
        println!("{}", output::json(&report));
        eprintln!("served {} of {}", report.all.served, report.all.due);
    } else {
        print!("{}", output::table(&report));
    }
    Ok(u8::from(report.all.served == 0))
}

/// Sends the scheduled requests and reports their results.
///
/// # Errors
///
/// The runtime cannot be started.
pub fn run(settings: &Settings) -> Result<Report, Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let report = Arc::new(Mutex::new(Report::new(settings)));
    let mut tasks = JoinSet::new();
    send_on_schedule(settings, &runtime, &report, &mut tasks);
    runtime.block_on(async { while tasks.join_next().await.is_some() {} });
    let report = lock_report(&report).clone();
    Ok(report)
}

/// Starts each request at its scheduled time, even if earlier ones are still open.
///
/// A request that is due while `max_open_requests` are open is recorded as not sent.
fn send_on_schedule(
    settings: &Settings,
    runtime: &Runtime,
    report: &Arc<Mutex<Report>>,
    tasks: &mut JoinSet<()>,
) {
    let _context = runtime.enter();
    let sender = Arc::new(Sender::new(settings));
    let start = Instant::now();
    for request in Schedule::new(settings) {
        let due = start + request.start_offset;
        wait_until(due);
        while tasks.try_join_next().is_some() {}
        // Recorded apart from latency to tell a slow generator from a slow target.
        lock_report(report).record_lag(due.elapsed());
        if tasks.len() >= settings.max_open_requests {
            lock_report(report).record(&request, due.elapsed(), SendResult::NotSent);
            continue;
        }
        let (sender, report) = (Arc::clone(&sender), Arc::clone(report));
        tasks.spawn(async move {
            let result = sender.send(&request).await;
            let latency = due.elapsed();
            lock_report(&report).record(&request, latency, result);
        });
    }
}

fn wait_until(due: Instant) {
    let remaining = due.saturating_duration_since(Instant::now());
    if remaining > POLLING_WINDOW {
        std::thread::sleep(remaining - POLLING_WINDOW);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}

fn lock_report(report: &Mutex<Report>) -> MutexGuard<'_, Report> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}
