//! Server process of one medlarreel instance.

use std::io::IsTerminal;
use std::path::Path;
use std::process::ExitCode;

use medlarreel::daemon::Daemon;
use medlarreel::settings::{LogFormat, Settings};
use tokio::signal::unix::{Signal, SignalKind, signal};

const USAGE: &str = "usage: medlarreeld --settings FILE";

fn main() -> ExitCode {
    match run() {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("medlarreeld: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> eyre::Result<u8> {
    let mut options = getopts::Options::new();
    options.optopt("s", "settings", "settings file", "FILE");
    options.optflag("h", "help", "show this help");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(0);
    }
    let Some(path) = matches.opt_str("settings") else {
        eyre::bail!("{USAGE}")
    };
    let settings =
        Settings::load(Path::new(&path)).map_err(|invalid_file| eyre::eyre!("{invalid_file}"))?;
    start_logging(&settings);
    let daemon = Daemon::start(&settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let code = runtime.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        wait_for_signal(&mut interrupt, &mut terminate).await;
        // A second signal forces the shutdown.
        eyre::Ok(
            daemon
                .stop(wait_for_signal(&mut interrupt, &mut terminate))
                .await,
        )
    })?;
    Ok(u8::try_from(code).unwrap_or(u8::MAX))
}

/// Waits for the next interrupt or termination signal.
async fn wait_for_signal(interrupt: &mut Signal, terminate: &mut Signal) {
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

fn start_logging(settings: &Settings) {
    let logs = tracing_subscriber::fmt()
        .with_max_level(settings.log.level)
        .with_ansi(std::io::stdout().is_terminal());
    match settings.log.format {
        LogFormat::Text => logs.init(),
        LogFormat::Json => logs.json().init(),
    }
}
