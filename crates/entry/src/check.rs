//! Check of a configuration before it is published, as a command of the program.

use std::fmt::Write;
use std::path::Path;
use std::process::ExitCode;

use eyre::{Context, Result};
use medlarreel_core::entry::check::{self, Entry, Problem, Severity};
use medlarreel_core::entry::difference::{self, Difference};
use medlarreel_core::entry::routes::Config;
use medlarreel_macros::data;

use crate::platform::config;

/// Exit code if requests would be refused or reach the wrong service.
const ERROR_STATUS: u8 = 2;

/// Exit code if parts of the configuration have no effect.
const WARNING_STATUS: u8 = 1;

/// Result of a check.
#[data(value)]
pub struct Report {
    /// Version of the configuration.
    pub version: u64,
    /// Problems, the gravest first.
    pub problems: Vec<Problem>,
    /// Differences from the configuration in force; empty if none was given.
    pub differences: Vec<Difference>,
}

impl Report {
    /// Exit code of the command.
    pub fn status(&self) -> u8 {
        let severities = self.problems.iter().map(|problem| problem.severity);
        match severities.max() {
            Some(Severity::Error) => ERROR_STATUS,
            Some(Severity::Warning) => WARNING_STATUS,
            None => 0,
        }
    }

    /// Lines for people.
    pub fn text(&self) -> String {
        let mut text = format!("configuration {}\n", self.version);
        for problem in &self.problems {
            let severity = match problem.severity {
                Severity::Error => "error",
                Severity::Warning => "warning",
            };
            // Writing to a string cannot fail.
            writeln!(text, "{severity}: {}: {}", problem.entry, problem.text).ok();
        }
        for difference in &self.differences {
            match difference {
                Difference::Added(entry) => writeln!(text, "added: {entry}").ok(),
                Difference::Removed(entry) => writeln!(text, "removed: {entry}").ok(),
                Difference::Changed(entry, fields) => {
                    for field in fields {
                        let (name, before, after) = (&field.name, &field.before, &field.after);
                        writeln!(text, "changed: {entry}: {name}: {before} -> {after}").ok();
                    }
                    Some(())
                }
            };
        }
        text
    }
}

/// Checks the text of a configuration against that of the one in force.
pub fn check_text(text: &[u8], in_force: Option<&Config>) -> Report {
    let (config, invalid) = match config::decode_valid(text) {
        Ok(decoded) => decoded,
        Err(error) => {
            let problem = Problem::error(Entry::Config, error.to_string());
            return Report {
                version: 0,
                problems: vec![problem],
                differences: Vec::new(),
            };
        }
    };
    let invalid = invalid.into_iter().map(|resource| {
        let entry = match resource.kind.as_str() {
            "routes" => Entry::Route(resource.name),
            "services" => Entry::Service(resource.name),
            _ => Entry::Limits,
        };
        Problem::error(entry, resource.error.to_string())
    });
    let differences = in_force.map(|before| difference::compare(before, &config));
    Report {
        version: config.version,
        problems: invalid
            .chain(check::find_problems(&config, in_force))
            .collect(),
        differences: differences.unwrap_or_default(),
    }
}

/// Checks a configuration file, prints the report and returns the exit code of the command.
///
/// # Errors
///
/// Returns an error if a file cannot be read, or if the configuration in force is invalid.
pub fn run(file: &Path, in_force: Option<&Path>, as_json: bool) -> Result<ExitCode> {
    let read = |path: &Path| {
        std::fs::read(path).wrap_err_with(|| format!("cannot read {}", path.display()))
    };
    let decode = |path: &Path| {
        config::decode(&read(path)?).wrap_err_with(|| format!("cannot decode {}", path.display()))
    };
    let before = in_force.map(decode).transpose()?;
    let report = check_text(&read(file)?, before.as_ref());
    match as_json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{}", report.text()),
    }
    Ok(ExitCode::from(report.status()))
}
