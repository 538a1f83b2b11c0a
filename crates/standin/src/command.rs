//! Command lines of the programs.

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
use crate::{list, log, upstream};

/// Runs `standin-log`.
///
/// # Errors
///
/// The command line is wrong or the address cannot be bound.
pub async fn run_log(args: Vec<String>) -> eyre::Result<()> {
    let mut options = listening();
    options.optopt("", "retention", "records kept in each stream", "N");
    let Some(found) = parse(&options, "standin-log", &args)? else {
        return Ok(());
    };
    let mut config = log::Config::default();
    config.retention = value(&found, "retention", config.retention)?;
    serve(log::start(listen(&found)?, config).await).await
}

/// Runs `standin-list`.
///
/// # Errors
///
/// The command line is wrong or the address cannot be bound.
pub async fn run_list(args: Vec<String>) -> eyre::Result<()> {
    let mut options = listening();
    options.optopt("", "lag", "age of the entries that answers show", "TIME");
    let Some(found) = parse(&options, "standin-list", &args)? else {
        return Ok(());
    };
    let lag = span(&found, "lag", Duration::ZERO)?;
    serve(list::start(listen(&found)?, lag).await).await
}

/// Runs `standin-upstream`.
///
/// # Errors
///
/// The command line is wrong or the address cannot be bound.
pub async fn run_upstream(args: Vec<String>) -> eyre::Result<()> {
    let mut options = listening();
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
    let Some(found) = parse(&options, "standin-upstream", &args)? else {
        return Ok(());
    };
    let config = upstream_config(&found)?;
    serve(upstream::start(listen(&found)?, config).await).await
}

/// Runs `standin-client`: sends one request, or finds free ports. The exit code
/// shows failure unless the request was answered with success.
///
/// # Errors
///
/// The command line is wrong.
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
    let Some(found) = parse(&options, "standin-client", &args)? else {
        return Ok(ExitCode::SUCCESS);
    };
    if let Some(count) = found.opt_get("free-ports").wrap_err("--free-ports")? {
        for port in server::free_ports(count).await? {
            println!("{port}");
        }
        return Ok(ExitCode::SUCCESS);
    }
    let to = required(&found, "to")?.parse().wrap_err("--to")?;
    let limit = span(&found, "timeout", Duration::from_secs(5))?;
    let answer = ask(&found)?.send(to, limit).await;
    Ok(report(answer, found.opt_present("print-body")))
}

fn ask(found: &Matches) -> eyre::Result<ClientRequest> {
    let path = required(found, "path")?;
    let mut ask = match found.opt_str("body") {
        Some(body) => ClientRequest::post(&path, body),
        None => ClientRequest::get(&path),
    };
    if let Some(method) = found.opt_get("method").wrap_err("--method")? {
        ask.method = method;
    }
    for header in found.opt_strs("header") {
        let (name, value) = header
            .split_once(':')
            .ok_or_else(|| eyre!("--header {header}"))?;
        ask = ask.with_header(name.trim(), value.trim());
    }
    Ok(ask)
}

fn report(answer: Result<ClientResponse, Error>, body_only: bool) -> ExitCode {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            println!("upstream=- status=- code=- outcome=no-answer ({error})");
            return ExitCode::FAILURE;
        }
    };
    if body_only {
        println!("{}", String::from_utf8_lossy(&answer.body).trim_end());
    } else {
        println!("{}", summary(&answer));
    }
    if answer.status < 400 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn summary(answer: &ClientResponse) -> String {
    let echo = answer.json::<upstream::Echo>().ok();
    let upstream = echo.map_or_else(|| "-".to_owned(), |echo| echo.upstream);
    let code = answer.header("medlar-code").unwrap_or("-");
    let done = if answer.status < 400 { "done" } else { "-" };
    let outcome = answer.header("medlar-outcome").unwrap_or(done);
    let status = answer.status;
    format!("upstream={upstream} status={status} code={code} outcome={outcome}")
}

fn upstream_config(found: &Matches) -> eyre::Result<upstream::Config> {
    let standard = upstream::Config::default();
    let fencing = match found.opt_str("fencing").as_deref() {
        None | Some("checked") => Fencing::Checked,
        Some("unchecked") => Fencing::Unchecked,
        Some(other) => bail!("--fencing {other}: expected checked or unchecked"),
    };
    Ok(upstream::Config {
        name: value(found, "name", standard.name)?,
        service: value(found, "service", standard.service)?,
        fencing,
        keyed: found.opt_present("keyed"),
        slots: value(found, "slots", standard.slots)?,
        max_connections: value(found, "connections", standard.max_connections)?,
        work_time: span(found, "work", standard.work_time)?,
        cold_start: span(found, "cold", standard.cold_start)?,
        cold_factor: value(found, "cold-factor", standard.cold_factor)?,
        deduplicates: found.opt_present("deduplicate"),
        max_recorded_runs: value(found, "runs", standard.max_recorded_runs)?,
    })
}

/// Options that every server has.
fn listening() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "address; port 0 for a free one", "IP:PORT");
    options
}

/// Parses the arguments; `None` if help was asked for and printed.
fn parse(options: &Options, name: &str, args: &[String]) -> eyre::Result<Option<Matches>> {
    let mut options = options.clone();
    options.optflag("h", "help", "print this text");
    let found = options
        .parse(args)
        .wrap_err_with(|| format!("see {name} --help"))?;
    if found.opt_present("help") {
        print!("{}", options.usage(&format!("Usage: {name} [options]")));
        return Ok(None);
    }
    if let Some(extra) = found.free.first() {
        bail!("unexpected argument {extra}; see {name} --help");
    }
    Ok(Some(found))
}

fn listen(found: &Matches) -> eyre::Result<SocketAddr> {
    value(found, "listen", server::any_port())
}

/// Announces a server on standard output and runs it until the process ends.
async fn serve<S>(started: Result<Server<S>, Error>) -> eyre::Result<()> {
    let server = started?;
    println!("listening on {}", server.address());
    std::future::pending().await
}

fn required(found: &Matches, name: &str) -> eyre::Result<String> {
    found
        .opt_str(name)
        .ok_or_else(|| eyre!("--{name} is missing"))
}

fn value<T>(found: &Matches, name: &str, default: T) -> eyre::Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(text) = found.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|error| eyre!("--{name} {text}: {error}"))
}

/// Time such as `20ms` or `3 s`.
fn span(found: &Matches, name: &str, default: Duration) -> eyre::Result<Duration> {
    let Some(text) = found.opt_str(name) else {
        return Ok(default);
    };
    let wrong = || eyre!("--{name} {text}: expected a time such as 20ms or 3s");
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1),
        None => (text.strip_suffix('s').ok_or_else(wrong)?, 1_000),
    };
    let number: u64 = number.trim().parse().map_err(|_| wrong())?;
    Ok(Duration::from_millis(number.saturating_mul(unit)))
}
