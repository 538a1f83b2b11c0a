//! Commands that run without an instance.

use std::path::Path;

use medlarreel_core::code::Code;
use medlarreel_core::config::SectionSchema;
use medlarreel_core::preset::Preset;
use medlarreel_core::preset::parse::SCHEMA as PRESET_SCHEMA;
use serde_json::json;

use super::command::FileKind;
use super::{CommandError, Report};
use crate::operators::advice::advice;
use crate::settings::{self, InvalidFileError, SCHEMA as SETTINGS_SCHEMA, Settings, read_text};

/// Annotated sample preset.
const SAMPLE_PRESET: &str = include_str!("../../../../examples/presets/ordinary.ini");

/// Validates a settings file or preset.
pub fn check(file: &str) -> Result<Report, CommandError> {
    let text = read_text(Path::new(file))
        .map_err(|mistake| CommandError::unreadable_file(file, &mistake))?;
    let (kind, checked) = match detect_kind(&text) {
        FileKind::Preset => ("preset", Preset::parse(&text).map(drop)),
        FileKind::Settings => ("settings", Settings::parse(&text).map(drop)),
    };
    checked.map_err(|mistakes| {
        CommandError::invalid_file(InvalidFileError {
            file: file.to_owned(),
            mistakes,
        })
    })?;
    let json = json!({"file": file, "kind": kind, "mistakes": []});
    Ok(Report::success(format!("{file}: valid {kind}\n"), json))
}

/// Detects the kind of a file by its first known section; settings if there is none.
fn detect_kind(text: &str) -> FileKind {
    let contains_section =
        |schema: &[SectionSchema], name: &str| schema.iter().any(|section| section.kind == name);
    let headers = text
        .lines()
        .filter_map(|line| line.trim().strip_prefix('['));
    let names = headers.filter_map(|header| header.split([' ', '\t', ']']).next());
    let mut kinds = names.filter_map(|name| match name {
        name if contains_section(PRESET_SCHEMA, name) => Some(FileKind::Preset),
        name if contains_section(SETTINGS_SCHEMA, name) => Some(FileKind::Settings),
        _ => None,
    });
    kinds.next().unwrap_or(FileKind::Settings)
}

/// Returns an annotated file: the default settings or a sample preset.
pub fn defaults(kind: FileKind) -> Report {
    let text = match kind {
        FileKind::Settings => settings::annotated_defaults(),
        FileKind::Preset => SAMPLE_PRESET.to_owned(),
    };
    let json = json!({"text": text});
    Report::success(text, json)
}

/// Lists the result codes.
pub fn codes() -> Report {
    let outcome = |code: &Code| code.outcome().map_or("", |outcome| outcome.text());
    let line = |code: &Code| {
        let (number, text) = (code.number(), code.text());
        format!("{number} {:8} {text}: {}\n", outcome(code), advice(*code))
    };
    let code_json = |code: &Code| {
        json!({
            "code": code.number(),
            "status": code.status(),
            "outcome": code.outcome().map(|outcome| outcome.text()),
            "text": code.text(),
            "hint": advice(*code),
        })
    };
    let text = Code::ALL.iter().map(line).collect();
    Report::success(text, Code::ALL.iter().map(code_json).collect())
}
