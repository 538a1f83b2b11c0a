//! Status page: one HTML document without scripts or external assets.
//!
//! Names come from the platform's list, presets and other instances, so every
//! text is escaped, in element content and in attributes alike.

use std::fmt::{Display, Write};

use super::api::AuditEntry;
use super::status::{Health, LeaseState, Member, RankCounts, Service, Status, Upstream};

/// Audit entries that the page shows; `medlarctl audit` lists the rest.
const ENTRIES: usize = 50;

/// Upstreams and members that the page shows; `medlarctl status` lists the rest.
const ROWS: usize = 500;

/// Seconds after which a browser loads the page again.
const REFRESH: u32 = 5;

const STYLE: &str = "\
body{font:14px/1.4 system-ui,sans-serif;margin:1rem;color:#222;background:#fff}\
table{border-collapse:collapse;margin:.3rem 0 1rem}\
th,td{border:1px solid #ccc;padding:.15rem .5rem;text-align:left}\
th{background:#f0f0f0}td.n{text-align:right}\
.bad{background:#fbd5d5}.warn{background:#fdf0c4}h2{margin:.8rem 0 .2rem;font-size:1.1rem}";

/// Cell of a table.
struct Cell {
    text: String,
    class: &'static str,
}

/// Page that shows the status.
pub fn render(status: &Status) -> String {
    let mut page = String::with_capacity(16 * 1024);
    let title = format!("medlarreel {} {}", status.club, status.domain);
    page.push_str("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    // Writing to a string does not fail.
    let _ = write!(page, "<meta http-equiv=\"refresh\" content=\"{REFRESH}\">");
    let _ = write!(
        page,
        "<title>{}</title><style>{STYLE}</style></head>",
        escape_html(&title)
    );
    let _ = write!(page, "<body><h1>{}</h1>", escape_html(&title));
    summary(&mut page, status);
    ranks(&mut page, &status.ranks);
    upstreams(&mut page, &status.upstreams);
    services(&mut page, &status.services);
    members(&mut page, &status.members);
    audit(&mut page, &status.audit);
    page.push_str("</body></html>\n");
    page
}

/// The text with the characters replaced that HTML gives a meaning.
pub fn escape_html(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for char in text.chars() {
        match char {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            char => escaped.push(char),
        }
    }
    escaped
}

fn summary(page: &mut String, status: &Status) {
    let preset = status.preset.as_ref().map_or(bad("none"), |preset| {
        cell(format!(
            "{} version {}, since offset {}, activation {}",
            preset.name, preset.version, preset.since, status.activations
        ))
    });
    let budget = status.preset.as_ref().map_or(String::new(), |preset| {
        format!("{} of {} slots", preset.club_slots, preset.budget)
    });
    let holder = status.holder.as_ref().map_or(bad("unknown"), |holder| {
        cell(format!(
            "{} at {}, term {}, round {}",
            holder.instance, holder.peers, holder.term, holder.round
        ))
    });
    let ready = if status.ready { cell("yes") } else { bad("no") };
    let log = if status.log_reachable {
        cell("reachable")
    } else {
        bad("unreachable")
    };
    let rows = vec![
        vec![cell("Instance"), cell(status.instance)],
        vec![cell("Ready"), ready],
        vec![cell("Preset in force"), preset],
        vec![cell("Budget of the club"), cell(budget)],
        vec![cell("Control holder"), holder],
        vec![cell("Log"), log],
        vec![cell("Next offset"), cell(status.next)],
    ];
    table(page, "State", &[], rows);
}

fn ranks(page: &mut String, ranks: &[RankCounts]) {
    let row = |served: &RankCounts| {
        let counts = [
            served.answered,
            served.refused,
            served.unknown,
            served.waiting.into(),
        ];
        std::iter::once(cell(&served.rank))
            .chain(counts.map(number))
            .collect()
    };
    let head = ["rank", "answered", "refused", "unknown", "waiting"];
    table(
        page,
        "Service by rank",
        &head,
        ranks.iter().map(row).collect(),
    );
}

fn upstreams(page: &mut String, upstreams: &[Upstream]) {
    let row = |upstream: &Upstream| {
        let dispatcher = upstream.dispatcher.as_deref().unwrap_or("unknown");
        vec![
            cell(&upstream.name),
            cell(&upstream.service),
            cell(&upstream.domain),
            cell(&upstream.address),
            cell(dispatcher),
            number(upstream.in_flight),
            number(upstream.allowance),
            number(upstream.waiting),
            health(upstream.health),
            lease(upstream.lease, upstream.lease_left_ms),
        ]
    };
    let head = [
        "upstream",
        "service",
        "domain",
        "address",
        "dispatcher",
        "in flight",
        "allowance",
        "waiting",
        "health",
        "lease",
    ];
    let title = shown("Upstreams", upstreams.len());
    table(
        page,
        &title,
        &head,
        upstreams.iter().take(ROWS).map(row).collect(),
    );
}

fn services(page: &mut String, services: &[Service]) {
    let row = |service: &Service| {
        let owners = service.owners.iter();
        let owners: Vec<_> = owners
            .map(|owned| format!("{} {}", owned.upstream, owned.shards))
            .collect();
        let unowned = Cell {
            class: if service.unowned > 0 { "n bad" } else { "n" },
            ..number(service.unowned)
        };
        vec![
            cell(&service.name),
            number(service.shards),
            unowned,
            cell(owners.join(", ")),
        ]
    };
    let head = ["service", "shards", "without owner", "shards by owner"];
    table(page, "Owners", &head, services.iter().map(row).collect());
}

fn members(page: &mut String, members: &[Member]) {
    let mut sorted: Vec<_> = members.iter().collect();
    sorted.sort_by(|a, b| (&a.domain, &a.peers).cmp(&(&b.domain, &b.peers)));
    let row = |member: &Member| {
        let heard = if member.heard {
            cell("heard")
        } else {
            bad("silent")
        };
        vec![
            cell(&member.domain),
            cell(&member.peers),
            cell(member.instance),
            heard,
        ]
    };
    let head = ["domain", "peers' address", "instance", "state"];
    let title = shown("Members", members.len());
    table(
        page,
        &title,
        &head,
        sorted.into_iter().take(ROWS).map(row).collect(),
    );
}

fn audit(page: &mut String, entries: &[AuditEntry]) {
    let row = |entry: &AuditEntry| {
        vec![
            number(entry.offset),
            cell(&entry.subject),
            cell(&entry.cause),
            cell(&entry.before),
            cell(&entry.after),
        ]
    };
    let head = ["offset", "subject", "cause", "before", "after"];
    let newest = entries.iter().rev().take(ENTRIES);
    table(page, "Recent changes", &head, newest.map(row).collect());
}

fn health(health: Health) -> Cell {
    match health {
        Health::Alive => cell("alive"),
        Health::Starting => warn("starting"),
        Health::Draining => warn("draining"),
        Health::Ejected => bad("ejected"),
        Health::Dead => bad("dead"),
    }
}

fn lease(lease: LeaseState, left: Option<u64>) -> Cell {
    match (lease, left) {
        (LeaseState::Held, Some(left)) => cell(format!("held, {left} ms left")),
        (LeaseState::Held, None) => cell("held"),
        (LeaseState::Moving, _) => warn("moving"),
        (LeaseState::Lapsed, _) => bad("lapsed"),
        (LeaseState::Unknown, _) => warn("unknown"),
    }
}

fn shown(title: &str, count: usize) -> String {
    match count > ROWS {
        true => format!("{title} ({ROWS} of {count})"),
        false => format!("{title} ({count})"),
    }
}

fn table(page: &mut String, title: &str, head: &[&str], rows: Vec<Vec<Cell>>) {
    let _ = write!(page, "<h2>{}</h2><table>", escape_html(title));
    if !head.is_empty() {
        let cells: String = head
            .iter()
            .map(|text| format!("<th>{}</th>", escape_html(text)))
            .collect();
        let _ = write!(page, "<tr>{cells}</tr>");
    }
    for row in rows {
        page.push_str("<tr>");
        for cell in row {
            let _ = write!(
                page,
                "<td class=\"{}\">{}</td>",
                cell.class,
                escape_html(&cell.text)
            );
        }
        page.push_str("</tr>\n");
    }
    page.push_str("</table>\n");
}

fn cell(text: impl Display) -> Cell {
    Cell {
        text: text.to_string(),
        class: "",
    }
}

fn number(value: impl Into<u64>) -> Cell {
    Cell {
        text: value.into().to_string(),
        class: "n",
    }
}

fn warn(text: &str) -> Cell {
    Cell {
        text: text.to_owned(),
        class: "warn",
    }
}

fn bad(text: &str) -> Cell {
    Cell {
        text: text.to_owned(),
        class: "bad",
    }
}
