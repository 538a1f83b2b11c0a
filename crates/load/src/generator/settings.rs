//! Command line of the load generator.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use medlarreel_core::preset::Rank;

use super::plan::Mix;
use crate::Error;

const EXAMPLES: &str = "\
Examples:
    medlar-load --target 127.0.0.1:8001 --rate 500/s --duration 10s
    medlar-load --target 127.0.0.1:8001,127.0.0.1:8002 --rate 2000/s --duration 1m \\
        --service intake=3,workshop=1 --rank status=50,order=30,archive=20 \\
        --club kashmir=1,souss=1 --post 10% --seed 7 --json

The exit code is 0 if at least one request was served, 1 if none was, and 2 if
the command line is not valid.";

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum Command {
    /// Print this text.
    Help(String),
    /// Send requests.
    Run(Box<Settings>),
}

/// Checked settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of entry instances, chosen at random per request.
    pub targets: Vec<SocketAddr>,
    /// Requests per second.
    pub rate: f64,
    /// Length of the schedule.
    pub duration: Duration,
    /// Seed of the schedule.
    pub seed: u64,
    /// Services by weight.
    pub services: Mix<String>,
    /// Ranks by weight.
    pub ranks: Mix<Rank>,
    /// Clubs by weight; without any, no `medlar-club` header is sent.
    pub clubs: Mix<String>,
    /// Number of distinct keys.
    pub keys: u64,
    /// Part of the requests sent as POST, from 0 to 1.
    pub post: f64,
    /// Value of `medlar-deadline-ms`, if it is sent.
    pub deadline: Option<Duration>,
    /// Time after which a request is given up.
    pub timeout: Duration,
    /// Size of a POST body in bytes.
    pub body: usize,
    /// Requests open at a time; further ones count as not sent.
    pub open: usize,
    /// Threads that send.
    pub threads: usize,
    /// Whether the report is JSON.
    pub json: bool,
}

impl Command {
    /// Reads the arguments after the program name.
    ///
    /// # Errors
    ///
    /// The first argument that is unknown, malformed or out of range.
    pub fn parse(args: &[String]) -> Result<Command, Error> {
        let options = options();
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
        if let Some(extra) = matches.free.first() {
            return Err(Error::Usage(format!("unexpected argument {extra:?}")));
        }
        Settings::from_matches(&matches).map(|settings| Command::Run(Box::new(settings)))
    }
}

fn options() -> Options {
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
    /// Settings with defaults for everything but the targets.
    pub fn new(targets: Vec<SocketAddr>) -> Settings {
        Settings {
            targets,
            rate: 100.0,
            duration: Duration::from_secs(10),
            seed: 1,
            services: Mix::new(vec![("intake".to_owned(), 1)]),
            ranks: Mix::new(Rank::ALL.map(|rank| (rank, 1)).to_vec()),
            clubs: Mix::new(Vec::new()),
            keys: 10_000,
            post: 0.0,
            deadline: None,
            timeout: Duration::from_secs(10),
            body: 128,
            open: 10_000,
            threads: 2,
            json: false,
        }
    }

    fn from_matches(matches: &Matches) -> Result<Settings, Error> {
        let mut settings = Settings::new(targets(&matches.opt_strs("target"))?);
        let read = |name: &str| matches.opt_str(name);
        set(&mut settings.rate, "rate", read("rate"), rate)?;
        set(&mut settings.duration, "duration", read("duration"), span)?;
        set(&mut settings.seed, "seed", read("seed"), number)?;
        let text = |name: &str| (!name.is_empty()).then(|| name.to_owned());
        set(&mut settings.services, "service", read("service"), |list| {
            mix(list, text)
        })?;
        set(&mut settings.ranks, "rank", read("rank"), |list| {
            mix(list, Rank::parse)
        })?;
        set(&mut settings.clubs, "club", read("club"), |list| {
            mix(list, text)
        })?;
        set(&mut settings.keys, "keys", read("keys"), positive)?;
        set(&mut settings.post, "post", read("post"), percent)?;
        set(
            &mut settings.deadline,
            "deadline",
            read("deadline"),
            |text| span(text).map(Some),
        )?;
        set(&mut settings.timeout, "timeout", read("timeout"), span)?;
        set(&mut settings.body, "body", read("body"), size)?;
        set(&mut settings.open, "open", read("open"), positive)?;
        set(&mut settings.threads, "threads", read("threads"), positive)?;
        settings.json = matches.opt_present("json");
        Ok(settings)
    }
}

fn set<T>(
    slot: &mut T,
    name: &str,
    text: Option<String>,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<(), Error> {
    if let Some(text) = text {
        let usage = || Error::Usage(format!("--{name}: {text:?} is not valid"));
        *slot = parse(&text).ok_or_else(usage)?;
    }
    Ok(())
}

fn targets(lists: &[String]) -> Result<Vec<SocketAddr>, Error> {
    let texts = lists.iter().flat_map(|list| list.split(','));
    let targets = texts.map(target).collect::<Result<Vec<_>, _>>()?;
    if targets.is_empty() {
        return Err(Error::Usage("--target is required".to_owned()));
    }
    Ok(targets)
}

fn target(text: &str) -> Result<SocketAddr, Error> {
    let usage = |_| Error::Usage(format!("--target: {text:?} is not ip:port"));
    let address: SocketAddr = text.parse().map_err(usage)?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(Error::NotLoopback(address))
    }
}

fn number<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn positive<T: FromStr + PartialOrd + From<u8>>(text: &str) -> Option<T> {
    number(text).filter(|value| *value >= T::from(1))
}

fn rate(text: &str) -> Option<f64> {
    let rate: f64 = number(text.strip_suffix("/s")?)?;
    (rate > 0.0 && rate <= 1e6).then_some(rate)
}

fn percent(text: &str) -> Option<f64> {
    let percent: f64 = number(text.strip_suffix('%')?)?;
    (0.0..=100.0).contains(&percent).then_some(percent / 100.0)
}

fn span(text: &str) -> Option<Duration> {
    let digits = text.find(|letter: char| !letter.is_ascii_digit())?;
    let (amount, unit) = text.split_at(digits);
    let factor = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return None,
    };
    let millis = number::<u64>(amount)?.checked_mul(factor)?;
    (1..=86_400_000)
        .contains(&millis)
        .then(|| Duration::from_millis(millis))
}

fn size(text: &str) -> Option<usize> {
    let digits = text.find(|letter: char| !letter.is_ascii_digit())?;
    let (amount, unit) = text.split_at(digits);
    let factor = match unit {
        "B" => 1,
        "KB" => 1_000,
        _ => return None,
    };
    let bytes = number::<usize>(amount)?.checked_mul(factor)?;
    (bytes <= 16_000_000).then_some(bytes)
}

fn mix<T>(list: &str, parse: impl Fn(&str) -> Option<T>) -> Option<Mix<T>> {
    let entry = |text: &str| {
        let (name, weight) = text.split_once('=').unwrap_or((text, "1"));
        Some((parse(name)?, positive(weight)?))
    };
    list.split(',')
        .map(entry)
        .collect::<Option<_>>()
        .map(Mix::new)
}
