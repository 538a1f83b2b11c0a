//! Status page: one HTML document without scripts or external assets.
//!
//! Names come from the platform's list, presets and other instances, so all text is
//! escaped for use in element content and in attributes.

use std::fmt::{Display, Write};

use super::api::AuditEntry;
use super::status::{Health, LeaseState, Member, RankCounts, Service, Status, Upstream};

/// Audit entries shown on the page; `medlarctl audit` lists the rest.
const MAX_AUDIT_ROWS: usize = 50;

/// Upstreams shown on the page, and likewise members; `medlarctl status` lists the rest.
const MAX_TABLE_ROWS: usize = 500;

/// Interval at which a browser reloads the page, in seconds.
const REFRESH_SECONDS: u32 = 5;

const STYLE: &str = "\
body{font:14px/1.4 system-ui,sans-serif;margin:1rem;color:#222;background:#fff}\
table{border-collapse:collapse;margin:.3rem 0 1rem}\
th,td{border:1px solid #ccc;padding:.15rem .5rem;text-align:left}\
th{background:#f0f0f0}td.n{text-align:right}\
.bad{background:#fbd5d5}.warn{background:#fdf0c4}h2{margin:.8rem 0 .2rem;font-size:1.1rem}";

/// Table cell with its CSS class.
struct Cell {
    text: String,
    class: &'static str,
}

/// Renders the status as an HTML page.
pub fn render(status: &Status) -> String {
    let mut page = String::with_capacity(16 * 1024);
    let title = format!("medlarreel {} {}", status.club, status.domain);
    page.push_str("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    // Writing to a `String` cannot fail.
    let _ = write!(
        page,
        "<meta http-equiv=\"refresh\" content=\"{REFRESH_SECONDS}\">"
    );
    let _ = write!(
        page,
        "<title>{}</title><style>{STYLE}</style></head>",
        escape_html(&title)
    );
    let _ = write!(page, "<body><h1>{}</h1>", escape_html(&title));
    write_summary(&mut page, status);
    write_ranks(&mut page, &status.ranks);
    write_upstreams(&mut page, &status.upstreams);
    write_services(&mut page, &status.services);
    write_members(&mut page, &status.members);
    write_audit(&mut page, &status.audit);
    page.push_str("</body></html>\n");
    page
}

/// Escapes the characters that have a meaning in HTML.
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

fn write_summary(page: &mut String, status: &Status) {
    let preset = status.preset.as_ref().map_or(bad_cell("none"), |preset| {
        text_cell(format!(
            "{} version {}, since offset {}, activation {}",
            preset.name, preset.version, preset.since, status.activations
        ))
    });
    let budget = status.preset.as_ref().map_or(String::new(), |preset| {
        format!("{} of {} slots", preset.club_slots, preset.budget)
    });
    let holder = status
        .holder
        .as_ref()
        .map_or(bad_cell("unknown"), |holder| {
            text_cell(format!(
                "{} at {}, term {}, round {}",
                holder.instance, holder.peers, holder.term, holder.round
            ))
        });
    let ready = if status.ready {
        text_cell("yes")
    } else {
        bad_cell("no")
    };
    let log = if status.log_reachable {
        text_cell("reachable")
    } else {
        bad_cell("unreachable")
    };
    let rows = vec![
        vec![text_cell("Instance"), text_cell(status.instance)],
        vec![text_cell("Ready"), ready],
        vec![text_cell("Preset in force"), preset],
        vec![text_cell("Budget of the club"), text_cell(budget)],
        vec![text_cell("Control holder"), holder],
        vec![text_cell("Log"), log],
        vec![text_cell("Next offset"), text_cell(status.next)],
    ];
    write_table(page, "State", &[], rows);
}

fn write_ranks(page: &mut String, ranks: &[RankCounts]) {
    let row = |entry: &RankCounts| {
        let counts = [
            entry.answered,
            entry.refused,
            entry.unknown,
            entry.waiting.into(),
        ];
        std::iter::once(text_cell(&entry.rank))
            .chain(counts.map(number_cell))
            .collect()
    };
    let head = ["rank", "answered", "refused", "unknown", "waiting"];
    write_table(
        page,
        "Service by rank",
        &head,
        ranks.iter().map(row).collect(),
    );
}

fn write_upstreams(page: &mut String, upstreams: &[Upstream]) {
    let row = |upstream: &Upstream| {
        let dispatcher = upstream.dispatcher.as_deref().unwrap_or("unknown");
        vec![
            text_cell(&upstream.name),
            text_cell(&upstream.service),
            text_cell(&upstream.domain),
            text_cell(&upstream.address),
            text_cell(dispatcher),
            number_cell(upstream.in_flight),
            number_cell(upstream.allowance),
            number_cell(upstream.waiting),
            health_cell(upstream.health),
            lease_cell(upstream.lease, upstream.lease_left_ms),
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
    let title = title_with_count("Upstreams", upstreams.len());
    write_table(
        page,
        &title,
        &head,
        upstreams.iter().take(MAX_TABLE_ROWS).map(row).collect(),
    );
}

fn write_services(page: &mut String, services: &[Service]) {
    let row = |service: &Service| {
        let owners = service.owners.iter();
        let owners: Vec<_> = owners
            .map(|owned| format!("{} {}", owned.upstream, owned.shards))
            .collect();
        let unowned = Cell {
            class: if service.unowned > 0 { "n bad" } else { "n" },
            ..number_cell(service.unowned)
        };
        vec![
            text_cell(&service.name),
            number_cell(service.shards),
            unowned,
            text_cell(owners.join(", ")),
        ]
    };
    let head = ["service", "shards", "without owner", "shards by owner"];
    write_table(page, "Owners", &head, services.iter().map(row).collect());
}

fn write_members(page: &mut String, members: &[Member]) {
    let mut sorted: Vec<_> = members.iter().collect();
    sorted.sort_by(|a, b| (&a.domain, &a.peers).cmp(&(&b.domain, &b.peers)));
    let row = |member: &Member| {
        let heard = if member.heard {
            text_cell("heard")
        } else {
            bad_cell("silent")
        };
        vec![
            text_cell(&member.domain),
            text_cell(&member.peers),
            text_cell(member.instance),
            heard,
        ]
    };
    let head = ["domain", "peers' address", "instance", "state"];
    let title = title_with_count("Members", members.len());
    write_table(
        page,
        &title,
        &head,
        sorted.into_iter().take(MAX_TABLE_ROWS).map(row).collect(),
    );
}

fn write_audit(page: &mut String, entries: &[AuditEntry]) {
    let row = |entry: &AuditEntry| {
        vec![
            number_cell(entry.offset),
            text_cell(&entry.subject),
            text_cell(&entry.cause),
            text_cell(&entry.before),
            text_cell(&entry.after),
        ]
    };
    let head = ["offset", "subject", "cause", "before", "after"];
    let newest = entries.iter().rev().take(MAX_AUDIT_ROWS);
    write_table(page, "Recent changes", &head, newest.map(row).collect());
}

fn health_cell(health: Health) -> Cell {
    match health {
        Health::Alive => text_cell("alive"),
        Health::Starting => warn_cell("starting"),
        Health::Draining => warn_cell("draining"),
        Health::Ejected => bad_cell("ejected"),
        Health::Dead => bad_cell("dead"),
    }
}

fn lease_cell(lease: LeaseState, left: Option<u64>) -> Cell {
    match (lease, left) {
        (LeaseState::Held, Some(left)) => text_cell(format!("held, {left} ms left")),
        (LeaseState::Held, None) => text_cell("held"),
        (LeaseState::Moving, _) => warn_cell("moving"),
        (LeaseState::Lapsed, _) => bad_cell("lapsed"),
        (LeaseState::Unknown, _) => warn_cell("unknown"),
    }
}

fn title_with_count(title: &str, count: usize) -> String {
    match count > MAX_TABLE_ROWS {
        true => format!("{title} ({MAX_TABLE_ROWS} of {count})"),
        false => format!("{title} ({count})"),
    }
}

fn write_table(page: &mut String, title: &str, head: &[&str], rows: Vec<Vec<Cell>>) {
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

fn text_cell(text: impl Display) -> Cell {
    Cell {
        text: text.to_string(),
        class: "",
    }
}

fn number_cell(value: impl Into<u64>) -> Cell {
    Cell {
        text: value.into().to_string(),
        class: "n",
    }
}

fn warn_cell(text: &str) -> Cell {
    Cell {
        text: text.to_owned(),
        class: "warn",
    }
}

fn bad_cell(text: &str) -> Cell {
    Cell {
        text: text.to_owned(),
        class: "bad",
    }
}
