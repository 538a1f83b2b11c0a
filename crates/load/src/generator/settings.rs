//! Command line of the load generator.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use medlarreel_core::preset::Rank;

use super::schedule::Mix;
use crate::Error;

const EXAMPLES: &str = "\
Examples:
    medlar-load --target 127.0.0.1:8001 --rate 500/s --duration 10s
    medlar-load --target 127.0.0.1:8001,127.0.0.1:8002 --rate 2000/s --duration 1m \\
        --service intake=3,workshop=1 --rank status=50,order=30,archive=20 \\
        --club kashmir=1,souss=1 --post 10% --seed 7 --json

The exit code is 0 if at least one request was served, 1 if none was, and 2 if
the command line is not valid.";

/// Command selected by the arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Prints the contained help text.
    Help(String),
    /// Sends requests.
    Run(Box<Settings>),
}

/// Validated settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Loopback addresses of instances, or of upstreams to measure without the router;
    /// each request goes to a random one.
    pub targets: Vec<SocketAddr>,
    /// Mean arrival rate over all targets.
    pub requests_per_second: f64,
    /// Length of the schedule.
    pub duration: Duration,
    /// Seed of the schedule.
    pub seed: u64,
    /// Services that requests are addressed to, each with its weight.
    pub services: Mix<String>,
    /// Ranks that requests are sent with, each with its weight.
    pub ranks: Mix<Rank>,
    /// Clubs named in the `medlar-club` header, each with its weight; if empty, the
    /// header is not sent.
    pub clubs: Mix<String>,
    /// Number of distinct shard keys.
    pub key_count: u64,
    /// Fraction of requests sent as POST, from 0 to 1.
    pub post_fraction: f64,
    /// Value of the `medlar-deadline-ms` header; if `None`, the header is not sent.
    pub deadline: Option<Duration>,
    /// Time from sending a request until it is abandoned without a complete response.
    pub timeout: Duration,
    /// Size of a POST body.
    pub body_bytes: usize,
    /// Most requests open at a time; further ones count as not sent.
    pub max_open_requests: usize,
    /// Worker threads of the runtime that sends the requests.
    pub worker_threads: usize,
    /// Whether the report is printed as JSON.
    pub json: bool,
}

impl Command {
    /// Parses the arguments after the program name.
    ///
    /// # Errors
    ///
    /// An argument is missing, unknown, malformed or out of range, or a target is not a
    /// loopback address.
    pub fn parse(args: &[String]) -> Result<Command, Error> {
        let options = command_options();
        let matches = options
            .parse(args)
            .map_err(|error| Error::Usage(error.to_string()))?;
        if matches.opt_present("help") {
            let brief = "Usage: medlar-load --target IP:PORT[,..] [options]";
            return Ok(Command::Help(format!(
                "{}\n{EXAMPLES}",
                options.usage(brief)
            )));
        }
        if let Some(argument) = matches.free.first() {
            return Err(Error::Usage(format!("unexpected argument {argument:?}")));
        }
        Settings::from_matches(&matches).map(|settings| Command::Run(Box::new(settings)))
    }
}

fn command_options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "t",
        "target",
        "loopback addresses, comma-separated or repeated",
        "IP:PORT",
    );
    options.optopt("r", "rate", "mean arrivals, default 100/s", "N/s");
    options.optopt(
        "d",
        "duration",
        "length of the schedule, default 10s",
        "N(ms|s|m)",
    );
    options.optopt("", "seed", "seed of the schedule, default 1", "N");
    options.optopt(
        "",
        "service",
        "services by weight, default intake",
        "NAME[=W],..",
    );
    options.optopt(
        "",
        "rank",
        "ranks by weight, default all equal",
        "NAME[=W],..",
    );
    options.optopt(
        "",
        "club",
        "clubs by weight, default no header",
        "NAME[=W],..",
    );
    options.optopt("", "keys", "number of distinct keys, default 10000", "N");
    options.optopt("", "post", "part of POST requests, default 0%", "N%");
    options.optopt(
        "",
        "deadline",
        "medlar-deadline-ms, default not sent",
        "N(ms|s)",
    );
    options.optopt(
        "",
        "timeout",
        "time after which a request is given up, default 10s",
        "N(ms|s)",
    );
    options.optopt("", "body", "size of a POST body, default 128B", "N(B|KB)");
    options.optopt("", "open", "requests open at a time, default 10000", "N");
    options.optopt("", "threads", "threads that send, default 2", "N");
    options.optflag("", "json", "print the report as JSON");
    options.optflag("h", "help", "print this text");
    options
}

impl Settings {
    /// Settings with default values for everything except the targets.
    pub fn new(targets: Vec<SocketAddr>) -> Settings {
        Settings {
            targets,
            requests_per_second: 100.0,
            duration: Duration::from_secs(10),
            seed: 1,
            services: Mix::new(vec![("intake".to_owned(), 1)]),
            ranks: Mix::new(Rank::ALL.map(|rank| (rank, 1)).to_vec()),
            clubs: Mix::new(Vec::new()),
            key_count: 10_000,
            post_fraction: 0.0,
            deadline: None,
            timeout: Duration::from_secs(10),
            body_bytes: 128,
            max_open_requests: 10_000,
            worker_threads: 2,
            json: false,
        }
    }

    fn from_matches(matches: &Matches) -> Result<Settings, Error> {
        let mut settings = Settings::new(parse_targets(&matches.opt_strs("target"))?);
        let read = |name: &str| matches.opt_str(name);
        apply_option(
            &mut settings.requests_per_second,
            "rate",
            read("rate"),
            parse_rate,
        )?;
        apply_option(
            &mut settings.duration,
            "duration",
            read("duration"),
            parse_duration,
        )?;
        apply_option(&mut settings.seed, "seed", read("seed"), parse_number)?;
        let non_empty = |name: &str| (!name.is_empty()).then(|| name.to_owned());
        apply_option(&mut settings.services, "service", read("service"), |list| {
            parse_mix(list, non_empty)
        })?;
        apply_option(&mut settings.ranks, "rank", read("rank"), |list| {
            parse_mix(list, Rank::parse)
        })?;
        apply_option(&mut settings.clubs, "club", read("club"), |list| {
            parse_mix(list, non_empty)
        })?;
        apply_option(
            &mut settings.key_count,
            "keys",
            read("keys"),
            parse_positive,
        )?;
        apply_option(
            &mut settings.post_fraction,
            "post",
            read("post"),
            parse_percent,
        )?;
        apply_option(
            &mut settings.deadline,
            "deadline",
            read("deadline"),
            |text| parse_duration(text).map(Some),
        )?;
        apply_option(
            &mut settings.timeout,
            "timeout",
            read("timeout"),
            parse_duration,
        )?;
        apply_option(&mut settings.body_bytes, "body", read("body"), parse_size)?;
        apply_option(
            &mut settings.max_open_requests,
            "open",
            read("open"),
            parse_positive,
        )?;
        apply_option(
            &mut settings.worker_threads,
            "threads",
            read("threads"),
            parse_positive,
        )?;
        settings.json = matches.opt_present("json");
        Ok(settings)
    }
}

fn apply_option<T>(
    field: &mut T,
    name: &str,
    text: Option<String>,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<(), Error> {
    if let Some(text) = text {
        let invalid = || Error::Usage(format!("--{name}: {text:?} is not valid"));
        *field = parse(&text).ok_or_else(invalid)?;
    }
    Ok(())
}

fn parse_targets(lists: &[String]) -> Result<Vec<SocketAddr>, Error> {
    let texts = lists.iter().flat_map(|list| list.split(','));
    let targets = texts.map(parse_target).collect::<Result<Vec<_>, _>>()?;
    if targets.is_empty() {
        return Err(Error::Usage("--target is required".to_owned()));
    }
    Ok(targets)
}

fn parse_target(text: &str) -> Result<SocketAddr, Error> {
    let invalid = |_| Error::Usage(format!("--target: {text:?} is not ip:port"));
    let address: SocketAddr = text.parse().map_err(invalid)?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(Error::NotLoopback(address))
    }
}

fn parse_number<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn parse_positive<T: FromStr + PartialOrd + From<u8>>(text: &str) -> Option<T> {
    parse_number(text).filter(|value| *value >= T::from(1))
}

fn parse_rate(text: &str) -> Option<f64> {
    let rate: f64 = parse_number(text.strip_suffix("/s")?)?;
    (rate > 0.0 && rate <= 1e6).then_some(rate)
}

fn parse_percent(text: &str) -> Option<f64> {
    let percent: f64 = parse_number(text.strip_suffix('%')?)?;
    (0.0..=100.0).contains(&percent).then_some(percent / 100.0)
}

fn parse_duration(text: &str) -> Option<Duration> {
    let unit_start = text.find(|character: char| !character.is_ascii_digit())?;
    let (amount, unit) = text.split_at(unit_start);
    let factor = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return None,
    };
    let millis = parse_number::<u64>(amount)?.checked_mul(factor)?;
    (1..=86_400_000)
        .contains(&millis)
        .then(|| Duration::from_millis(millis))
}

fn parse_size(text: &str) -> Option<usize> {
    let unit_start = text.find(|character: char| !character.is_ascii_digit())?;
    let (amount, unit) = text.split_at(unit_start);
    let factor = match unit {
        "B" => 1,
        "KB" => 1_000,
        _ => return None,
    };
    let bytes = parse_number::<usize>(amount)?.checked_mul(factor)?;
    (bytes <= 16_000_000).then_some(bytes)
}

fn parse_mix<T>(list: &str, parse: impl Fn(&str) -> Option<T>) -> Option<Mix<T>> {
    let entry = |text: &str| {
        let (name, weight) = text.split_once('=').unwrap_or((text, "1"));
        Some((parse(name)?, parse_positive(weight)?))
    };
    list.split(',')
        .map(entry)
        .collect::<Option<_>>()
        .map(Mix::new)
}
