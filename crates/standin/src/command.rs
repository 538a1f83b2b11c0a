//! Command-line interfaces of the stand-in programs.

use std::fmt::Display;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use eyre::{WrapErr, bail, eyre};
use getopts::{Matches, Options};
use medlarreel_core::preset::Fencing;

use crate::client::{ClientRequest, ClientResponse};
use crate::error::Error;
use crate::server::{self, Server};
use crate::{list, log, ports, upstream};

/// Runs `standin-log`.
///
/// # Errors
///
/// The command line is invalid, or the address cannot be bound.
pub async fn run_log(args: Vec<String>) -> eyre::Result<()> {
    let mut options = server_options();
    options.optopt("", "retention", "records kept in each stream", "N");
    let Some(matches) = parse_args(&options, "standin-log", &args)? else {
        return Ok(());
    };
    let mut config = log::Config::default();
    config.retention = parse_option(&matches, "retention", config.retention)?;
    serve(log::start(listen_address(&matches)?, config).await).await
}

/// Runs `standin-list`.
///
/// # Errors
///
/// The command line is invalid, or the address cannot be bound.
pub async fn run_list(args: Vec<String>) -> eyre::Result<()> {
    let mut options = server_options();
    options.optopt("", "lag", "age of the entries that answers show", "TIME");
    let Some(matches) = parse_args(&options, "standin-list", &args)? else {
        return Ok(());
    };
    let lag = parse_duration(&matches, "lag", Duration::ZERO)?;
    serve(list::start(listen_address(&matches)?, lag).await).await
}

/// Runs `standin-upstream`.
///
/// # Errors
///
/// The command line is invalid, or the address cannot be bound.
pub async fn run_upstream(args: Vec<String>) -> eyre::Result<()> {
    let mut options = server_options();
    options.optopt("", "service", "service that the upstream runs", "NAME");
    options.optopt("", "name", "name shown in answers", "NAME");
    options.optopt(
        "",
        "fencing",
        "whether grants and epochs are checked",
        "checked|unchecked",
    );
    options.optflag(
        "",
        "keyed",
        "refuse requests without a shard (checked only)",
    );
    options.optopt("", "slots", "requests run at a time", "N");
    options.optopt("", "connections", "connections open at a time", "N");
    options.optopt("", "work", "time that a request takes", "TIME");
    options.optopt("", "cold", "length of the cold start", "TIME");
    options.optopt("", "cold-factor", "slowdown during the cold start", "N");
    options.optflag(
        "",
        "deduplicate",
        "answer repeated idempotency keys from memory",
    );
    options.optopt("", "runs", "runs recorded for GET /admin/runs", "N");
    let Some(matches) = parse_args(&options, "standin-upstream", &args)? else {
        return Ok(());
    };
    let config = upstream_config(&matches)?;
    serve(upstream::start(listen_address(&matches)?, config).await).await
}

/// Runs `standin-client`: sends one request, or prints free ports. After a request, the
/// exit code is a failure unless a response with a status below 400 arrived.
///
/// # Errors
///
/// The command line is invalid, or no free port can be bound.
pub async fn run_client(args: Vec<String>) -> eyre::Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "to", "address of the server", "IP:PORT");
    options.optopt(
        "",
        "method",
        "method; GET without a body, else POST",
        "METHOD",
    );
    options.optopt("", "path", "path with query", "PATH");
    options.optmulti("", "header", "header; may be repeated", "'NAME: VALUE'");
    options.optopt("", "body", "body of the request", "TEXT");
    options.optopt("", "timeout", "longest wait, 5s unless given", "TIME");
    options.optflag("", "print-body", "print the answer's body only");
    options.optopt(
        "",
        "free-ports",
        "print N free loopback ports and exit",
        "N",
    );
    let Some(matches) = parse_args(&options, "standin-client", &args)? else {
        return Ok(ExitCode::SUCCESS);
    };
    if let Some(count) = matches.opt_get("free-ports").wrap_err("--free-ports")? {
        for port in ports::reserve_ports(count).await? {
            println!("{}", port.number());
        }
        return Ok(ExitCode::SUCCESS);
    }
    let address = required_option(&matches, "to")?.parse().wrap_err("--to")?;
    let timeout = parse_duration(&matches, "timeout", Duration::from_secs(5))?;
    let response = build_request(&matches)?.send(address, timeout).await;
    Ok(print_result(response, matches.opt_present("print-body")))
}

fn build_request(matches: &Matches) -> eyre::Result<ClientRequest> {
    let path = required_option(matches, "path")?;
    let mut request = match matches.opt_str("body") {
        Some(body) => ClientRequest::post(&path, body),
        None => ClientRequest::get(&path),
    };
    if let Some(method) = matches.opt_get("method").wrap_err("--method")? {
        request.method = method;
    }
    for header in matches.opt_strs("header") {
        let (name, value) = header
            .split_once(':')
            .ok_or_else(|| eyre!("--header {header}"))?;
        request = request.with_header(name.trim(), value.trim());
    }
    Ok(request)
}

fn print_result(response: Result<ClientResponse, Error>, body_only: bool) -> ExitCode {
    let response = match response {
        Ok(response) => response,
        Err(error) => {
            println!("upstream=- status=- code=- outcome=no-answer ({error})");
            return ExitCode::FAILURE;
        }
    };
    if body_only {
        println!("{}", String::from_utf8_lossy(&response.body).trim_end());
    } else {
        println!("{}", response_summary(&response));
    }
    if response.status < 400 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Result line of the client; `-` stands for an absent value.
fn response_summary(response: &ClientResponse) -> String {
    let echo = response.json::<upstream::Echo>().ok();
    let upstream = echo.map_or_else(|| "-".to_owned(), |echo| echo.upstream);
    let code = response.header("medlar-code").unwrap_or("-");
    let default_outcome = if response.status < 400 { "done" } else { "-" };
    let outcome = response.header("medlar-outcome").unwrap_or(default_outcome);
    let status = response.status;
    format!("upstream={upstream} status={status} code={code} outcome={outcome}")
}

fn upstream_config(matches: &Matches) -> eyre::Result<upstream::Config> {
    let defaults = upstream::Config::default();
    let fencing = match matches.opt_str("fencing").as_deref() {
        None | Some("checked") => Fencing::Checked,
        Some("unchecked") => Fencing::Unchecked,
        Some(other) => bail!("--fencing {other}: expected checked or unchecked"),
    };
    Ok(upstream::Config {
        name: parse_option(matches, "name", defaults.name)?,
        service: parse_option(matches, "service", defaults.service)?,
        fencing,
        keyed: matches.opt_present("keyed"),
        slots: parse_option(matches, "slots", defaults.slots)?,
        max_connections: parse_option(matches, "connections", defaults.max_connections)?,
        work_time: parse_duration(matches, "work", defaults.work_time)?,
        cold_start: parse_duration(matches, "cold", defaults.cold_start)?,
        cold_factor: parse_option(matches, "cold-factor", defaults.cold_factor)?,
        deduplicates: matches.opt_present("deduplicate"),
        max_recorded_runs: parse_option(matches, "runs", defaults.max_recorded_runs)?,
    })
}

/// Options common to all servers.
fn server_options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "address; port 0 for a free one", "IP:PORT");
    options
}

/// Parses the arguments. Returns `None` if `--help` was given and the usage was
/// printed.
fn parse_args(options: &Options, name: &str, args: &[String]) -> eyre::Result<Option<Matches>> {
    let mut options = options.clone();
    options.optflag("h", "help", "print this text");
    let matches = options
        .parse(args)
        .wrap_err_with(|| format!("see {name} --help"))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(&format!("Usage: {name} [options]")));
        return Ok(None);
    }
    if let Some(extra) = matches.free.first() {
        bail!("unexpected argument {extra}; see {name} --help");
    }
    Ok(Some(matches))
}

fn listen_address(matches: &Matches) -> eyre::Result<SocketAddr> {
    parse_option(matches, "listen", server::any_port())
}

/// Prints a server's address to standard output and runs it until the process ends.
async fn serve<S>(started: Result<Server<S>, Error>) -> eyre::Result<()> {
    let server = started?;
    println!("listening on {}", server.address());
    std::future::pending().await
}

fn required_option(matches: &Matches, name: &str) -> eyre::Result<String> {
    matches
        .opt_str(name)
        .ok_or_else(|| eyre!("--{name} is missing"))
}

fn parse_option<T>(matches: &Matches, name: &str, default: T) -> eyre::Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|error| eyre!("--{name} {text}: {error}"))
}

/// Parses an option such as `20ms` or `3 s`.
fn parse_duration(matches: &Matches, name: &str, default: Duration) -> eyre::Result<Duration> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    let invalid_duration = || eyre!("--{name} {text}: expected a time such as 20ms or 3s");
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1),
        None => (text.strip_suffix('s').ok_or_else(invalid_duration)?, 1_000),
    };
    let number: u64 = number.trim().parse().map_err(|_| invalid_duration())?;
    Ok(Duration::from_millis(number.saturating_mul(unit)))
}
