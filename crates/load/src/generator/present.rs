//! Report as a table or JSON.

use std::collections::BTreeMap;
use std::fmt::{Display, Write};

use serde_json::json;

use super::Report;
use super::report::{Group, Summary};

/// Report as text, ending in `served N of M`.
pub fn table(report: &Report) -> String {
    let mut text = String::new();
    let columns = [
        "group", "due", "served", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms",
    ];
    for (index, column) in columns.iter().enumerate() {
        let _ = match index {
            0 => write!(text, "{column:<20}"),
            _ => write!(text, "{column:>10}"),
        };
    }
    text.push('\n');
    row(&mut text, "all", &report.all);
    for (name, group) in &report.ranks {
        row(&mut text, &format!("rank {name}"), group);
    }
    for (name, group) in &report.clubs {
        row(&mut text, &format!("club {name}"), group);
    }
    counts(&mut text, "status", &report.statuses);
    counts(&mut text, "medlar-code", &report.codes);
    counts(&mut text, "medlar-outcome", &report.outcomes);
    counts(&mut text, "no answer", &report.faults);
    let lag = report.lag.value_at_quantile(0.99) as f64 / 1e3;
    let _ = writeln!(text, "generator lag p99: {lag:.3} ms");
    let _ = writeln!(text, "served {} of {}", report.all.served, report.all.due);
    text
}

/// Report as one JSON object.
pub fn json(report: &Report) -> String {
    let summaries = |groups: &BTreeMap<String, Group>| -> BTreeMap<String, Summary> {
        let entries = groups.iter();
        entries
            .map(|(name, group)| (name.clone(), group.summary()))
            .collect()
    };
    let value = json!({
        "all": report.all.summary(),
        "ranks": summaries(&report.ranks),
        "clubs": summaries(&report.clubs),
        "statuses": report.statuses,
        "codes": report.codes,
        "outcomes": report.outcomes,
        "no_answer": report.faults,
        "lag_p99_ms": report.lag.value_at_quantile(0.99) as f64 / 1e3,
    });
    value.to_string()
}

fn row(text: &mut String, name: &str, group: &Group) {
    let one = group.summary();
    let _ = write!(text, "{name:<20}{:>10}{:>10}", one.due, one.served);
    for figure in [one.p50_ms, one.p90_ms, one.p99_ms, one.p999_ms, one.max_ms] {
        let _ = write!(text, "{figure:>10.3}");
    }
    text.push('\n');
}

fn counts<K: Display>(text: &mut String, title: &str, counts: &BTreeMap<K, u64>) {
    if counts.is_empty() {
        return;
    }
    let entry = |(key, count): (&K, &u64)| format!("{key}: {count}");
    let list: Vec<String> = counts.iter().map(entry).collect();
    let _ = writeln!(text, "{title:<16}{}", list.join(", "));
}
