//! Commands that ask no instance.

use std::path::Path;

use medlarreel_core::code::Code;
use medlarreel_core::config::SectionSchema;
use medlarreel_core::preset::Preset;
use medlarreel_core::preset::parse::SCHEMA as PRESET_SCHEMA;
use serde_json::json;

use super::command::Kind;
use super::{CommandError, Report};
use crate::operators::advice::advice;
use crate::settings::{self, InvalidFileError, SCHEMA as SETTINGS_SCHEMA, Settings, read_text};

/// The ordinary preset, which is annotated.
const SAMPLE: &str = include_str!("../../../../examples/presets/ordinary.ini");

/// Checks a settings file or preset.
pub fn check(file: &str) -> Result<Report, CommandError> {
    let text =
        read_text(Path::new(file)).map_err(|mistake| CommandError::unreadable(file, &mistake))?;
    let (kind, checked) = match kind(&text) {
        Kind::Preset => ("preset", Preset::parse(&text).map(drop)),
        Kind::Settings => ("settings", Settings::parse(&text).map(drop)),
    };
    checked.map_err(|mistakes| {
        CommandError::invalid_file(InvalidFileError {
            file: file.to_owned(),
            mistakes,
        })
    })?;
    let json = json!({"file": file, "kind": kind, "mistakes": []});
    Ok(Report::done(format!("{file}: valid {kind}\n"), json))
}

/// Kind of a text, by its first known section; settings if there is none.
fn kind(text: &str) -> Kind {
    let known =
        |shapes: &[SectionSchema], word: &str| shapes.iter().any(|shape| shape.kind == word);
    let headers = text
        .lines()
        .filter_map(|line| line.trim().strip_prefix('['));
    let words = headers.filter_map(|header| header.split([' ', '\t', ']']).next());
    let mut kinds = words.filter_map(|word| match word {
        word if known(PRESET_SCHEMA, word) => Some(Kind::Preset),
        word if known(SETTINGS_SCHEMA, word) => Some(Kind::Settings),
        _ => None,
    });
    kinds.next().unwrap_or(Kind::Settings)
}

/// Prints an annotated file.
pub fn defaults(kind: Kind) -> Report {
    let text = match kind {
        Kind::Settings => settings::annotated_defaults(),
        Kind::Preset => SAMPLE.to_owned(),
    };
    let json = json!({"text": text});
    Report::done(text, json)
}

/// Lists the result codes.
pub fn codes() -> Report {
    let outcome = |code: &Code| code.outcome().map_or("", |outcome| outcome.text());
    let line = |code: &Code| {
        let (number, text) = (code.number(), code.text());
        format!("{number} {:8} {text}: {}\n", outcome(code), advice(*code))
    };
    let object = |code: &Code| {
        json!({
            "code": code.number(),
            "status": code.status(),
            "outcome": code.outcome().map(|outcome| outcome.text()),
            "text": code.text(),
            "hint": advice(*code),
        })
    };
    let text = Code::ALL.iter().map(line).collect();
    Report::done(text, Code::ALL.iter().map(object).collect())
}
