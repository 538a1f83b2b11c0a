//! Settings of an entry instance, parsed from INI text and validated.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use medlarreel_core::config::value::{self, ValueError};
use medlarreel_core::config::{Document, Section, SectionSchema};

use crate::platform::store::MAX_KEY_BYTES;

/// Upper bound of the lease duration, even if `hold_max` allows more. Keys of a lost
/// upstream are unavailable for about this time, and leases are renewed three times within
/// it.
const MAX_LEASE_DURATION: Duration = Duration::from_secs(4);

/// Part of `grace` that is kept as a safety margin before the platform kills a process
/// that was told to stop.
const GRACE_RESERVE: Duration = Duration::from_millis(500);

const SCHEMA: &[SectionSchema] = &[
    SectionSchema {
        kind: "instance",
        named: false,
        keys: &["name", "domain", "processor"],
    },
    SectionSchema {
        kind: "listen",
        named: false,
        keys: &["callers", "readiness", "peers", "metrics"],
    },
    SectionSchema {
        kind: "platform",
        named: false,
        keys: &["store", "heartbeat"],
    },
    SectionSchema {
        kind: "bounds",
        named: false,
        keys: &[
            "grace",
            "hold_max",
            "drain",
            "retry_ratio",
            "evacuate",
            "warmup_overage",
            "warmup_slack",
        ],
    },
    SectionSchema {
        kind: "limits",
        named: false,
        keys: &["memory", "descriptors", "link"],
    },
];

/// Memory of a process whose settings name none, in bytes.
const DEFAULT_MEMORY: u64 = 256 * MEGABYTE;

/// File descriptors of a process whose settings name none.
const DEFAULT_DESCRIPTORS: u32 = 1_024;

const MEGABYTE: u64 = 1_000_000;

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Processor time allotted to the instance, in percent of a core.
    pub cpu_percent: u32,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the platform probes readiness.
    pub readiness: SocketAddr,
    /// UDP address for messages between instances.
    pub peers: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval at which upstreams renew their registrations.
    pub heartbeat_interval: Duration,
    /// Time that a shutdown may take: `grace` less a safety margin.
    pub shutdown_grace: Duration,
    /// Duration of the leases of keys: `hold_max`, but at most 4 s.
    pub lease_duration: Duration,
    /// Time from the moment an upstream starts to leave until it must not be sent any
    /// requests.
    pub drain_limit: Duration,
    /// Retries per request that all instances together may make, from 0 to 1.
    pub retry_ratio: f64,
    /// Time from an operator's evacuation of a failure domain until its upstreams must not be
    /// sent any requests.
    pub evacuation_limit: Duration,
    /// Factor by which all instances together may exceed the rate that a cold upstream takes.
    pub warmup_overage: f64,
    /// Requests by which they may exceed it besides, in any second.
    pub warmup_slack: f64,
    /// Memory of the process in bytes; it ends when it exceeds it.
    pub memory: u64,
    /// File descriptors of the process.
    pub descriptors: u32,
    /// Rate of the machine's network link in bits per second; `None` if it is not known.
    pub link: Option<f64>,
}

impl Settings {
    /// Loads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or one that lists all mistakes in it
    /// with their lines.
    pub fn load(path: &Path) -> eyre::Result<Settings> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| eyre::eyre!("{}: {error}", path.display()))?;
        Settings::parse(&text).map_err(|mistakes| {
            let lines: Vec<_> = mistakes.iter().map(ToString::to_string).collect();
            eyre::eyre!("{}: {}", path.display(), lines.join("; "))
        })
    }

    /// Parses INI text.
    ///
    /// # Errors
    ///
    /// Returns all mistakes in the text, with their lines.
    pub fn parse(text: &str) -> Result<Settings, Vec<medlarreel_core::config::Mistake>> {
        let document = Document::parse(text, SCHEMA);
        let settings = read_settings(&document);
        document.finish(settings)
    }
}

fn read_settings(document: &Document) -> Option<Settings> {
    let instance = document.require("instance");
    let listen = document.require("listen");
    let platform = document.require("platform");
    let bounds = document.sections("bounds").next();
    let duration = |key, default| seconds_or(bounds, key, default);
    let grace = duration("grace", Duration::from_secs(6));
    let hold_max = duration("hold_max", Duration::from_secs(10));
    let drain = duration("drain", Duration::from_secs(2));
    let retry_ratio = bounds.map_or(Some(0.2), |bounds| bounds.or("retry_ratio", ratio, 0.2));
    let evacuate = duration("evacuate", Duration::from_secs(5));
    let number =
        |key, default| bounds.map_or(Some(default), |bounds| bounds.or(key, factor, default));
    let (overage, slack) = (number("warmup_overage", 1.0), number("warmup_slack", 0.0));
    let limits = document.sections("limits").next();
    let memory = limits.map_or(Some(DEFAULT_MEMORY), |limits| {
        limits.or("memory", megabytes, DEFAULT_MEMORY)
    });
    let descriptors = limits.map_or(Some(DEFAULT_DESCRIPTORS), |limits| {
        limits.or(
            "descriptors",
            value::number(64..=u32::MAX),
            DEFAULT_DESCRIPTORS,
        )
    });
    let link = limits.map_or(Some(None), |limits| limits.or("link", link_rate, None));
    let address = |key| listen.and_then(|section| section.require(key, value::address));
    let (callers, readiness) = (address("callers"), address("readiness"));
    let (peers, metrics) = (address("peers"), address("metrics"));
    let instance = instance.map(|section| {
        let name = section.require("name", instance_name);
        let domain = section.require("domain", non_empty);
        (name, domain, section.or("processor", ratio, 1.0))
    });
    let platform = platform.map(|section| {
        let store = section.require("store", value::address);
        (
            store,
            section.or("heartbeat", seconds, Duration::from_secs(1)),
        )
    });
    let ((name, domain, processor), (store, heartbeat)) = (instance?, platform?);
    Some(Settings {
        name: name?,
        domain: domain?,
        cpu_percent: (processor? * 100.0) as u32,
        callers: callers?,
        readiness: readiness?,
        peers: peers?,
        metrics: metrics?,
        store: store?,
        heartbeat_interval: heartbeat?,
        shutdown_grace: grace?.saturating_sub(GRACE_RESERVE),
        lease_duration: hold_max?.min(MAX_LEASE_DURATION),
        drain_limit: drain?,
        retry_ratio: retry_ratio?,
        evacuation_limit: evacuate?,
        warmup_overage: overage?,
        warmup_slack: slack?,
        memory: memory?,
        descriptors: descriptors?,
        link: link?,
    })
}

fn seconds_or(
    section: Option<Section<'_>>,
    key: &'static str,
    default: Duration,
) -> Option<Duration> {
    section.map_or(Some(default), |section| section.or(key, seconds, default))
}

/// Parses a duration in seconds with an optional fraction, such as `0.87 s`.
fn seconds(text: &str) -> Result<Duration, ValueError> {
    let invalid_duration =
        || ValueError::invalid("a time such as `0.5 s`", "write seconds and the unit s");
    let number = text.strip_suffix('s').ok_or_else(invalid_duration)?.trim();
    let number: f64 = number.parse().map_err(|_| invalid_duration())?;
    Duration::try_from_secs_f64(number).map_err(|_| invalid_duration())
}

/// Parses a number that is not negative, such as `1.5`.
fn factor(text: &str) -> Result<f64, ValueError> {
    let number = text.parse::<f64>().ok();
    number
        .filter(|number| number.is_finite() && *number >= 0.0)
        .ok_or_else(|| ValueError::invalid("a number of 0 or more", "write a number such as 1.5"))
}

/// Parses an amount of memory such as `260 MB`, in bytes.
fn megabytes(text: &str) -> Result<u64, ValueError> {
    let number = text
        .strip_suffix("MB")
        .and_then(|number| number.trim().parse().ok());
    number
        .filter(|megabytes| (16..=1_000_000).contains(megabytes))
        .map(|megabytes: u64| megabytes * MEGABYTE)
        .ok_or_else(|| {
            ValueError::invalid(
                "an amount of memory such as `260 MB`",
                "write a number and MB",
            )
        })
}

/// Parses the rate of a link such as `10 Mbit/s`, in bits per second.
fn link_rate(text: &str) -> Result<Option<f64>, ValueError> {
    let number = text
        .strip_suffix("Mbit/s")
        .map(|number| factor(number.trim()));
    let megabits = number.unwrap_or_else(|| {
        Err(ValueError::invalid(
            "a rate such as `10 Mbit/s`",
            "write a number and Mbit/s",
        ))
    });
    megabits.map(|megabits| Some(megabits * 1e6))
}

fn ratio(text: &str) -> Result<f64, ValueError> {
    let number = text.parse::<f64>().ok();
    number
        .filter(|number| (0.0..=1.0).contains(number))
        .ok_or_else(|| ValueError::invalid("a number from 0 to 1", "write a fraction such as 0.2"))
}

/// Parses the name of an instance, which is the key of its record in the store.
fn instance_name(text: &str) -> Result<String, ValueError> {
    match text.len() {
        1..=MAX_KEY_BYTES => Ok(text.to_owned()),
        _ => Err(ValueError::invalid(
            format!("a name of 1 to {MAX_KEY_BYTES} bytes"),
            "write a shorter name",
        )),
    }
}

fn non_empty(text: &str) -> Result<String, ValueError> {
    match text.is_empty() {
        true => Err(ValueError::invalid("a name", "write the name")),
        false => Ok(text.to_owned()),
    }
}
