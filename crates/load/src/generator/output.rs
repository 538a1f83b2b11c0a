//! Formats a report as a text table or as JSON.

use std::collections::BTreeMap;
use std::fmt::{Display, Write};

use serde_json::json;

use super::Report;
use super::report::{Stats, Summary};

/// Formats the report as a table whose last line is `served N of M`.
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
    write_stats(&mut text, "all", &report.all);
    for (name, stats) in &report.ranks {
        write_stats(&mut text, &format!("rank {name}"), stats);
    }
    for (name, stats) in &report.clubs {
        write_stats(&mut text, &format!("club {name}"), stats);
    }
    write_counts(&mut text, "status", &report.statuses);
    write_counts(&mut text, "medlar-code", &report.codes);
    write_counts(&mut text, "medlar-outcome", &report.outcomes);
    write_counts(&mut text, "no answer", &report.unanswered);
    let lag_ms = report.lag_us.value_at_quantile(0.99) as f64 / 1e3;
    let _ = writeln!(text, "generator lag p99: {lag_ms:.3} ms");
    let _ = writeln!(text, "served {} of {}", report.all.served, report.all.due);
    text
}

/// Formats the report as one JSON object.
pub fn json(report: &Report) -> String {
    let summaries = |groups: &BTreeMap<String, Stats>| -> BTreeMap<String, Summary> {
        let entries = groups.iter();
        entries
            .map(|(name, stats)| (name.clone(), stats.summary()))
            .collect()
    };
    let value = json!({
        "all": report.all.summary(),
        "ranks": summaries(&report.ranks),
        "clubs": summaries(&report.clubs),
        "statuses": report.statuses,
        "codes": report.codes,
        "outcomes": report.outcomes,
        "no_answer": report.unanswered,
        "lag_p99_ms": report.lag_us.value_at_quantile(0.99) as f64 / 1e3,
    });
    value.to_string()
}

fn write_stats(text: &mut String, name: &str, stats: &Stats) {
    let summary = stats.summary();
    let _ = write!(text, "{name:<20}{:>10}{:>10}", summary.due, summary.served);
    for millis in [
        summary.p50_ms,
        summary.p90_ms,
        summary.p99_ms,
        summary.p999_ms,
        summary.max_ms,
    ] {
        let _ = write!(text, "{millis:>10.3}");
    }
    text.push('\n');
}

fn write_counts<K: Display>(text: &mut String, title: &str, counts: &BTreeMap<K, u64>) {
    if counts.is_empty() {
        return;
    }
    let entry = |(key, count): (&K, &u64)| format!("{key}: {count}");
    let entries: Vec<String> = counts.iter().map(entry).collect();
    let _ = writeln!(text, "{title:<16}{}", entries.join(", "));
}
