//! Parsing and validation of preset text.
//!
//! Every instance runs this parser when it folds a record, so the rules are part
//! of the state machine. A change to what is accepted needs a new record version;
//! otherwise instances of different releases would disagree about the same record.

use std::time::Duration;

use super::{
    ClubShare, Fencing, Isolation, Mistake, Preset, RANK_COUNT, Rank, RankLimits, ServiceLimits,
};
use crate::code::Code;
use crate::config::value::{choice, count, duration, flag, name, number, percent, size};
use crate::config::{Document, Section, SectionSchema, ValueError};

/// Maximum size of a preset's text; leaves room for the other fields of its record.
pub const MAX_TEXT_BYTES: usize = 128 * 1024;

/// Maximum budget, in slots. `Preset::club_slots` multiplies it by a percentage of up to
/// 100, which must not overflow a `u32`.
pub const MAX_BUDGET_SLOTS: u32 = 40_000_000;

/// Maximum number of shards of all services; limits the plans to 16 MiB of memory.
pub const MAX_SHARDS: u32 = 1 << 20;

/// Maximum sum of the ranks' floors; the rest remains available to urgent requests.
pub const MAX_FLOOR_SUM_PERCENT: u32 = 80;

/// Number of shards of a keyed service that does not set one.
pub const DEFAULT_SHARDS: u16 = 1_024;

/// Maximum deadline; idempotency keys are remembered for 60 s.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// Maximum request lifetime: one day.
const MAX_REQUEST_LIFETIME: Duration = Duration::from_secs(24 * 60 * 60);

/// Maximum body; instances hold whole bodies in memory and read no larger ones.
const MAX_BODY_BYTES: u32 = 16 * MIB;

const MILLISECOND: Duration = Duration::from_millis(1);
const KIB: u32 = 1024;
const MIB: u32 = 1024 * KIB;

/// Service name that is not available: upstreams serve this path prefix to the router.
const RESERVED_NAME: &str = "medlar";

/// Sections and keys of a preset.
pub const SCHEMA: &[SectionSchema] = &[
    SectionSchema {
        kind: "preset",
        named: false,
        keys: &["name", "budget", "retry"],
    },
    SectionSchema {
        kind: "club",
        named: true,
        keys: &["share", "weight"],
    },
    SectionSchema {
        kind: "service",
        named: true,
        keys: &[
            "club",
            "keyed",
            "shards",
            "slots",
            "connections",
            "fencing",
            "isolation",
            "request_lifetime",
            "deduplicates",
            "queue",
            "max_body",
        ],
    },
    SectionSchema {
        kind: "rank",
        named: true,
        keys: &["deadline", "floor"],
    },
];

impl Preset {
    /// Reads a preset from INI text.
    ///
    /// # Errors
    ///
    /// Every mistake in the text, with its line.
    pub fn parse(text: &str) -> Result<Preset, Vec<Mistake>> {
        let document = Document::parse(text, SCHEMA);
        if text.len() > MAX_TEXT_BYTES {
            let detail = format!(
                "{} bytes of text: expected at most {MAX_TEXT_BYTES}",
                text.len()
            );
            let hint = "remove comments or services that are not in use";
            document.report(1, Code::OutOfRange, detail, hint);
        }
        let preset = read_preset(&document);
        document.finish(preset)
    }
}

fn read_preset(document: &Document) -> Option<Preset> {
    let section = document.require("preset");
    let name = section.and_then(|section| section.require("name", name));
    let budget = count("slots", 1..=MAX_BUDGET_SLOTS);
    let budget = section.and_then(|section| section.require("budget", budget));
    let retry = section.and_then(|section| section.or("retry", percent(0..=100), 10));
    let clubs = read_clubs(document);
    let services = read_services(document);
    let ranks = read_ranks(document);
    Some(Preset {
        name: name?,
        budget: budget?,
        clubs: clubs?,
        services: services?,
        ranks: ranks?,
        retry: retry?,
    })
}

fn read_clubs(document: &Document) -> Option<Vec<ClubShare>> {
    if document.sections("club").next().is_none() {
        document.report_missing("[club NAME]".into());
    }
    let clubs: Vec<_> = document.sections("club").map(read_club).collect();
    let sum: u32 = clubs
        .iter()
        .flatten()
        .map(|club| u32::from(club.share))
        .sum();
    if let Some(last) = document.sections("club").last().filter(|_| sum > 100) {
        let detail = format!("the clubs' shares add up to {sum} %: expected at most 100 %");
        last.report("share", Code::Inconsistent, detail, "lower a share");
    }
    clubs.into_iter().collect()
}

fn read_club(section: Section<'_>) -> Option<ClubShare> {
    let name = section.checked_name();
    let share = section.require("share", percent(0..=100));
    let weight = section.or("weight", number(1..=1_000), 1);
    Some(ClubShare {
        name: name?,
        share: share?,
        weight: weight?,
    })
}

fn read_services(document: &Document) -> Option<Vec<ServiceLimits>> {
    if document.sections("service").next().is_none() {
        document.report_missing("[service NAME]".into());
    }
    let sections = document.sections("service");
    let services: Vec<_> = sections
        .map(|section| read_service(document, section))
        .collect();
    let shards: u32 = services
        .iter()
        .flatten()
        .map(|entry| u32::from(entry.shards))
        .sum();
    if let Some(last) = document
        .sections("service")
        .last()
        .filter(|_| shards > MAX_SHARDS)
    {
        let detail = format!("{shards} shards in all: expected at most {MAX_SHARDS}");
        last.report(
            "shards",
            Code::Inconsistent,
            detail,
            "lower a service's shards",
        );
    }
    services.into_iter().collect()
}

fn read_service(document: &Document, section: Section<'_>) -> Option<ServiceLimits> {
    let name = section.checked_name();
    let club = section.require("club", parse_club);
    let keyed = section.require("keyed", flag);
    let shards = section.or("shards", number(1..=u16::MAX), DEFAULT_SHARDS);
    let slots = section.require("slots", count("slots", 1..=10_000u16));
    let connections = section.require("connections", number(1..=10_000u16));
    let fencing = section.require("fencing", parse_fencing);
    let isolation = section.or("isolation", parse_isolation, Isolation::Lapse);
    let request_lifetime = section.or("request_lifetime", parse_lifetime, None);
    let deduplicates = section.or("deduplicates", flag, false);
    let queue = section.or("queue", count("requests", 1..=100_000u32), 256);
    let max_body = section.or("max_body", size(KIB..=MAX_BODY_BYTES), MIB);
    check_reserved_name(section);
    check_club_exists(document, section, club.as_deref());
    check_shards(section, keyed);
    check_connections(section, slots, connections);
    Some(ServiceLimits {
        name: name?,
        club: club?,
        shards: if keyed? { shards? } else { 1 },
        keyed: keyed?,
        slots: slots?,
        connections: connections?,
        fencing: fencing?,
        isolation: isolation?,
        request_lifetime: request_lifetime?,
        deduplicates: deduplicates?,
        queue: queue?,
        max_body: max_body?,
    })
}

fn parse_club(text: &str) -> Result<String, ValueError> {
    name(text)
}

fn parse_fencing(text: &str) -> Result<Fencing, ValueError> {
    choice(&[
        ("checked", Fencing::Checked),
        ("unchecked", Fencing::Unchecked),
    ])(text)
}

fn parse_isolation(text: &str) -> Result<Isolation, ValueError> {
    choice(&[("lapse", Isolation::Lapse), ("keep", Isolation::Keep)])(text)
}

fn parse_lifetime(text: &str) -> Result<Option<Duration>, ValueError> {
    match text {
        "never" => Ok(None),
        _ => duration(MILLISECOND..=MAX_REQUEST_LIFETIME)(text).map(Some),
    }
}

fn check_reserved_name(section: Section<'_>) {
    if section.name() == RESERVED_NAME {
        let detail =
            format!("[service {RESERVED_NAME}]: upstreams serve /{RESERVED_NAME} to the router");
        let hint = "choose another name for the service";
        section.report("", Code::BadValue, detail, hint);
    }
}

fn check_club_exists(document: &Document, section: Section<'_>, club: Option<&str>) {
    let known = |club: &str| document.sections("club").any(|entry| entry.name() == club);
    if let Some(club) = club.filter(|club| !known(club)) {
        let detail = format!("`club = {club}`: there is no section [club {club}]");
        let hint = "add the club's section or correct the name";
        section.report("club", Code::Inconsistent, detail, hint);
    }
}

fn check_shards(section: Section<'_>, keyed: Option<bool>) {
    if keyed == Some(false) && section.has("shards") {
        let detail = "`shards` is given for a service that is not keyed".into();
        let hint = "remove `shards` or set `keyed = yes`";
        section.report("shards", Code::Inconsistent, detail, hint);
    }
}

fn check_connections(section: Section<'_>, slots: Option<u16>, connections: Option<u16>) {
    // HTTP/1.1 carries only one request at a time on each connection.
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots
    {
        let detail = format!("{connections} connections cannot fill {slots} slots");
        let hint = "allow at least as many connections as slots";
        section.report("connections", Code::Inconsistent, detail, hint);
    }
}

fn read_ranks(document: &Document) -> Option<[RankLimits; RANK_COUNT]> {
    for section in document.sections("rank") {
        if Rank::parse(section.name()).is_none() {
            let detail = format!(
                "[rank {}]: expected status, order or archive",
                section.name()
            );
            section.report("", Code::UnknownSection, detail, "correct the rank's name");
        }
    }
    let ranks = Rank::ALL.map(|rank| {
        let section = document.require_named("rank", rank.text())?;
        read_rank_limits(section)
    });
    let sum: u32 = ranks
        .iter()
        .flatten()
        .map(|rank| u32::from(rank.floor))
        .sum();
    if let Some(last) = document
        .sections("rank")
        .last()
        .filter(|_| sum > MAX_FLOOR_SUM_PERCENT)
    {
        let detail =
            format!("the floors add up to {sum} %: expected at most {MAX_FLOOR_SUM_PERCENT} %");
        last.report("floor", Code::Inconsistent, detail, "lower a floor");
    }
    let [status, order, archive] = ranks;
    Some([status?, order?, archive?])
}

fn read_rank_limits(section: Section<'_>) -> Option<RankLimits> {
    let deadline = section.require("deadline", duration(MILLISECOND..=MAX_DEADLINE));
    let floor = section.or("floor", percent(0..=80), 0);
    Some(RankLimits {
        deadline: deadline?,
        floor: floor?,
    })
}
