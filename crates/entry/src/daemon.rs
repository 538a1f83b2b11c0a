//! Startup, settings reload and shutdown of an instance.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Context, Result};
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tracing_appender::non_blocking::ErrorCounter;

use crate::callers::Callers;
use crate::check;
use crate::crashes;
use crate::leader::{self, LeaderTask};
use crate::listeners;
use crate::peers;
use crate::permits;
use crate::platform::SETTINGS_ENV_VAR;
use crate::reader;
use crate::reader::feed::Topic;
use crate::settings::Settings;
use crate::sharing::Division;
use crate::state::State;

const USAGE: &str = "usage: medlarreel-entry [--settings FILE] [--check]
       medlarreel-entry --check-config FILE [--in-force FILE] [--json]";

/// Time from withdrawing readiness until no new connections arrive: the platform probes
/// once a second and removes an instance after two failed probes.
const READINESS_DELAY: Duration = Duration::from_millis(2_600);

/// Part of the shutdown's time in which responses are still sent, but none is waited for.
const RESPONSE_RESERVE: Duration = Duration::from_millis(150);

/// Interval between checks whether all connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two runs of the cleanup in `sweep_periodically`.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the program with the given command-line arguments.
///
/// # Errors
///
/// Returns an error if the command line or the settings are invalid, or if a socket
/// cannot be bound.
pub fn main(arguments: impl Iterator<Item = String>) -> Result<ExitCode> {
    let mut options = getopts::Options::new();
    options.optopt("s", "settings", "settings file", "FILE");
    options.optflag("c", "check", "check the settings and exit");
    options.optopt(
        "",
        "check-config",
        "check a configuration and exit with 0, 1 (warnings) or 2 (errors)",
        "FILE",
    );
    options.optopt("", "in-force", "configuration that it replaces", "FILE");
    options.optflag("", "json", "print the check as JSON");
    options.optflag("h", "help", "show this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(ExitCode::SUCCESS);
    }
    if let Some(file) = matches.opt_str("check-config") {
        let in_force = matches.opt_str("in-force").map(PathBuf::from);
        let as_json = matches.opt_present("json");
        return check::run(Path::new(&file), in_force.as_deref(), as_json);
    }
    let argument = matches.opt_str("settings").map(PathBuf::from);
    let path = argument.or_else(|| std::env::var_os(SETTINGS_ENV_VAR).map(PathBuf::from));
    let path =
        path.ok_or_else(|| eyre::eyre!("no settings: pass --settings or set {SETTINGS_ENV_VAR}"))?;
    let settings = Settings::load(&path)?;
    if matches.opt_present("check") {
        return Ok(ExitCode::SUCCESS);
    }
    let (_guard, dropped) = crate::log::start();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(settings, &path, dropped))?;
    Ok(ExitCode::SUCCESS)
}

async fn run(settings: Settings, path: &Path, dropped: ErrorCounter) -> Result<()> {
    let listen =
        |address| listeners::bind(address).wrap_err_with(|| format!("cannot listen on {address}"));
    let caller_listener = listen(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let metrics = listen(settings.metrics)?;
    let socket = Rc::new(UdpSocket::bind(settings.peers).await?);
    let state = State::new(settings);
    let (stop, stopped) = watch::channel(false);
    tracing::info!(
        name = state.name(),
        started = state.started,
        "instance started"
    );
    spawn_local(listeners::serve_status(Rc::clone(&state), readiness));
    spawn_local(listeners::serve_status(Rc::clone(&state), metrics));
    spawn_local(listeners::serve_callers(
        Rc::clone(&state),
        caller_listener,
        stopped,
    ));
    for topic in Topic::ALL {
        spawn_local(reader::follow(Rc::clone(&state), topic, Rc::clone(&socket)));
    }
    spawn_local(peers::handler::receive(
        Rc::clone(&state),
        Rc::clone(&socket),
    ));
    spawn_local(peers::report(Rc::clone(&state), Rc::clone(&socket)));
    spawn_local(permits::exchange(Rc::clone(&state), Rc::clone(&socket)));
    spawn_local(crashes::exchange(Rc::clone(&state), Rc::clone(&socket)));
    spawn_local(sweep_periodically(Rc::clone(&state), dropped));
    spawn_local({
        let (state, socket) = (Rc::clone(&state), Rc::clone(&socket));
        async move {
            leader::join_cluster(&state, &socket).await;
            LeaderTask::new(state, socket).run().await;
        }
    });
    wait_for_stop(&state, path).await?;
    shut_down(&state, &socket, &state.callers, &stop).await;
    Ok(())
}

/// Waits for a termination signal and reloads the settings on `SIGHUP`.
async fn wait_for_stop(state: &State, path: &Path) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => match Settings::load(path) {
                Ok(settings) => {
                    tracing::info!("settings reloaded");
                    *state.settings.borrow_mut() = settings;
                }
                Err(error) => tracing::error!(%error, "settings rejected, keeping the current ones"),
            },
        }
    }
}

/// Periodically divides the upstreams among the instances, closes stale idle connections, drops the queue's state of upstreams that
/// have ended, looks for upstreams that have crashed, and counts dropped log lines.
async fn sweep_periodically(state: Rc<State>, dropped: ErrorCounter) {
    let mut counted = 0;
    let mut division = Division::default();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        division.update(&state);
        let opened = state.pool.take_opened();
        state.metrics.connections_opened.inc_by(opened);
        let lines = dropped.dropped_lines();
        state
            .metrics
            .log_lines_dropped
            .inc_by((lines - counted) as u64);
        counted = lines;
        let now = state.clock.now();
        let usable = |upstream| {
            let directory = state.directory.borrow();
            directory.get(upstream).is_some_and(|record| record.usable)
        };
        state.pool.close_stale(now, usable);
        state.order_pool.close_stale(now, |_| true);
        // A leaving owner still gets requests, and its rate limit holds until its end.
        let exists = |upstream| {
            let directory = state.directory.borrow();
            let record = directory.get(upstream);
            record.is_some_and(|record| !record.removed) && !directory.has_ended(upstream)
        };
        state.queue.borrow_mut().retain_upstreams(exists);
        crashes::check_abandoned(&state);
        let unread_limit = state.route_table.borrow().config().limits.idle_timeout;
        let closed = state.callers.close_unread(unread_limit);
        state.metrics.unread_connections.inc_by(closed as u64);
        state.update_gauges();
    }
}

/// Shuts down: withdraws readiness, transfers leadership and waits until all connections
/// of callers have ended, for at most `shutdown_grace`.
async fn shut_down(
    state: &Rc<State>,
    socket: &UdpSocket,
    connections: &Callers,
    stop: &watch::Sender<bool>,
) {
    let shutdown_grace = state.settings.borrow().shutdown_grace;
    tracing::info!(connections = connections.open_count(), "shutdown started");
    state.stopping.set(true);
    let stop_at = state.clock.now() + shutdown_grace.saturating_sub(RESPONSE_RESERVE);
    state.stop_at.send_replace(Some(stop_at));
    let drained = async {
        tokio::time::sleep(READINESS_DELAY).await;
        state.refusing.set(true);
        stop.send_replace(true);
        connections.close_gracefully();
        while connections.open_count() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    // Requests are still served while leadership is transferred.
    let (drained, ()) = tokio::join!(
        tokio::time::timeout(shutdown_grace, drained),
        leader::transfer_leadership(state, socket),
    );
    let finished = drained.is_ok();
    tracing::info!(
        finished,
        cut_off = connections.open_count(),
        "shutdown finished"
    );
}
