//! Parsing and validation of settings.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use medlarreel_core::code::Code;
use medlarreel_core::config::value::{address, choice, count, duration, name, number, size};
use medlarreel_core::config::{Document, Mistake, Section, SectionSchema, ValueError};
use tracing::Level;

use super::defaults::{
    DEFAULT_DRAIN_TIMEOUT, DEFAULT_HEAD_TIMEOUT, DEFAULT_MAX_HEAD_BYTES, DEFAULT_MAX_OPEN_REQUESTS,
    DEFAULT_STREAM, DEFAULT_WORKERS, SAMPLE_SECRET,
};
use super::{Identity, Limits, Listen, LogFormat, Logging, Platform, Secret, Security, Settings};

/// Sections of a settings file.
pub const SCHEMA: &[SectionSchema] = &[
    SectionSchema {
        kind: "instance",
        named: false,
        keys: &["club", "domain"],
    },
    SectionSchema {
        kind: "listen",
        named: false,
        keys: &["callers", "peers", "operators"],
    },
    SectionSchema {
        kind: "platform",
        named: false,
        keys: &["log", "list", "stream"],
    },
    SectionSchema {
        kind: "security",
        named: false,
        keys: &["cluster_secret", "operator_token"],
    },
    SectionSchema {
        kind: "limits",
        named: false,
        keys: &[
            "open_requests",
            "head_size",
            "head_timeout",
            "workers",
            "drain",
        ],
    },
    SectionSchema {
        kind: "log",
        named: false,
        keys: &["format", "level"],
    },
];

/// Length of a secret, in characters. 16 random characters resist guessing.
const SECRET_LENGTH: RangeInclusive<usize> = 16..=256;

const KIB: u32 = 1024;

impl Settings {
    /// Parses settings from INI text.
    ///
    /// # Errors
    ///
    /// Returns every mistake in the text, with its line.
    pub fn parse(text: &str) -> Result<Settings, Vec<Mistake>> {
        let document = Document::parse(text, SCHEMA);
        let settings = read_settings(&document);
        document.finish(settings)
    }
}

fn read_settings(document: &Document) -> Option<Settings> {
    let instance = document.require("instance").and_then(identity);
    let listen = document.require("listen").and_then(listen);
    let platform = document.require("platform").and_then(platform);
    let security = document.require("security").and_then(security);
    let limits = read_section_or(document, "limits", limits, Limits::default());
    let log = read_section_or(document, "log", logging, Logging::default());
    Some(Settings {
        instance: instance?,
        listen: listen?,
        platform: platform?,
        security: security?,
        limits: limits?,
        log: log?,
    })
}

fn read_section_or<T>(
    document: &Document,
    kind: &'static str,
    read: impl Fn(Section<'_>) -> Option<T>,
    default: T,
) -> Option<T> {
    let section = document.sections(kind).next();
    section.map_or(Some(default), read)
}

fn identity(section: Section<'_>) -> Option<Identity> {
    let club = section.require("club", name);
    let domain = section.require("domain", name);
    Some(Identity {
        club: club?,
        domain: domain?,
    })
}

fn listen(section: Section<'_>) -> Option<Listen> {
    let callers = section.require("callers", address);
    let peers = section.require("peers", advertised_address);
    let operators = section.require("operators", address);
    check_distinct(section, "peers", peers, &[callers]);
    check_distinct(section, "operators", operators, &[callers, peers]);
    Some(Listen {
        callers: callers?,
        peers: peers?,
        operators: operators?,
    })
}

/// Parses an address that can be advertised to peers, which must not be a wildcard.
fn advertised_address(text: &str) -> Result<SocketAddr, ValueError> {
    let address = address(text)?;
    if address.ip().is_unspecified() {
        let hint = "peers are told this address, so name the instance's own";
        return Err(ValueError::invalid("the address of one interface", hint));
    }
    Ok(address)
}

fn check_distinct(
    section: Section<'_>,
    key: &'static str,
    address: Option<SocketAddr>,
    others: &[Option<SocketAddr>],
) {
    let overlaps = |other: &SocketAddr, address: &SocketAddr| {
        let wildcard = other.ip().is_unspecified() || address.ip().is_unspecified();
        other.port() == address.port() && (wildcard || other.ip() == address.ip())
    };
    let conflicting = address.and_then(|address| {
        let mut others = others.iter().flatten();
        others.find(|other| overlaps(other, &address))
    });
    if let Some(conflicting) = conflicting {
        let detail = format!("`{key}` overlaps with {conflicting} of another listener");
        section.report(key, Code::Inconsistent, detail, "choose another port");
    }
}

fn platform(section: Section<'_>) -> Option<Platform> {
    let log = section.require("log", http_address);
    let list = section.require("list", http_address);
    let stream = section.or("stream", name, DEFAULT_STREAM.to_owned());
    Some(Platform {
        log: log?,
        list: list?,
        stream: stream?,
    })
}

/// Parses the address from a URL of the form `http://ip:port`.
fn http_address(text: &str) -> Result<SocketAddr, ValueError> {
    let invalid = || {
        let hint = "write the scheme, an IP address and a port, without a path";
        ValueError::invalid("an address such as http://127.0.0.1:7100", hint)
    };
    let rest = text.strip_prefix("http://").ok_or_else(invalid)?;
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    address(rest).map_err(|error| match error.code {
        Code::BadValue => invalid(),
        _ => error,
    })
}

fn security(section: Section<'_>) -> Option<Security> {
    let cluster_secret = section.require("cluster_secret", secret);
    let operator_token = section.require("operator_token", secret);
    if cluster_secret.is_some() && cluster_secret == operator_token {
        let detail = "`operator_token` equals `cluster_secret`".into();
        let hint = "choose two values, so that operators cannot act as peers";
        section.report("operator_token", Code::Inconsistent, detail, hint);
    }
    Some(Security {
        cluster_secret: cluster_secret?,
        operator_token: operator_token?,
    })
}

fn secret(text: &str) -> Result<Secret, ValueError> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if visible && SECRET_LENGTH.contains(&text.len()) && text != SAMPLE_SECRET {
        return Ok(Secret(text.to_owned()));
    }
    let (from, to) = SECRET_LENGTH.into_inner();
    let expected = format!("{from} to {to} visible ASCII characters, not the sample text");
    Err(ValueError::invalid(
        expected,
        "generate a random value, the same for the whole fleet",
    )
    .with_hidden_value())
}

fn limits(section: Section<'_>) -> Option<Limits> {
    let open_requests = count("requests", 1..=1_000_000);
    let open_requests = section.or("open_requests", open_requests, DEFAULT_MAX_OPEN_REQUESTS);
    // The read buffer of the HTTP library holds at least 8 KiB.
    let head_size = section.or(
        "head_size",
        size(8 * KIB..=256 * KIB),
        DEFAULT_MAX_HEAD_BYTES,
    );
    let head_timeout = duration(Duration::from_millis(100)..=Duration::from_secs(60));
    let head_timeout = section.or("head_timeout", head_timeout, DEFAULT_HEAD_TIMEOUT);
    let workers = section.or("workers", number(1..=256), DEFAULT_WORKERS);
    let drain = duration(Duration::from_secs(1)..=Duration::from_secs(600));
    let drain = section.or("drain", drain, DEFAULT_DRAIN_TIMEOUT);
    Some(Limits {
        open_requests: open_requests?,
        head_size: head_size?,
        head_timeout: head_timeout?,
        workers: workers?,
        drain: drain?,
    })
}

fn logging(section: Section<'_>) -> Option<Logging> {
    let default = Logging::default();
    let format = choice(&[("text", LogFormat::Text), ("json", LogFormat::Json)]);
    let format = section.or("format", format, default.format);
    let level = choice(&[
        ("error", Level::ERROR),
        ("warn", Level::WARN),
        ("info", Level::INFO),
        ("debug", Level::DEBUG),
        ("trace", Level::TRACE),
    ]);
    let level = section.or("level", level, default.level);
    Some(Logging {
        format: format?,
        level: level?,
    })
}
