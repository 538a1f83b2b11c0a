//! Parsing of settings: every mistake is reported, secrets are never shown.

use std::path::Path;
use std::time::Duration;

use medlarreel::settings::{Limits, LogFormat, Logging, SCHEMA, Settings, annotated_defaults};
use medlarreel_core::code::Code;
use medlarreel_core::preset::parse::SCHEMA as PRESET_SCHEMA;
use proptest::prelude::*;

const SAMPLE_SECRET: &str = "replace-with-a-random-value";

/// The annotated defaults with two valid secrets.
fn complete_settings() -> String {
    let text = annotated_defaults();
    let text = text.replacen(SAMPLE_SECRET, "0123456789abcdef", 1);
    text.replacen(SAMPLE_SECRET, "fedcba9876543210", 1)
}

/// Codes and lines of the mistakes after a replacement in the complete file.
fn mistakes_after_replacing(from: &str, to: &str) -> Vec<(Code, String)> {
    let text = complete_settings();
    assert!(text.contains(from), "the fixture lacks {from:?}");
    let text = text.replacen(from, to, 1);
    let mistakes = Settings::parse(&text).expect_err("text is wrong");
    let line = |line: usize| text.lines().nth(line - 1).unwrap_or_default();
    let mistakes = mistakes.iter();
    mistakes
        .map(|entry| (entry.code, line(entry.line).to_owned()))
        .collect()
}

/// Guards against annotated defaults that lack a key or differ from the built-in values.
#[test]
fn annotated_defaults_show_every_key_and_the_built_in_values() {
    let settings = Settings::parse(&complete_settings()).expect("defaults are valid");

    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.log, Logging::default());
    assert_eq!(settings.limits.drain, Duration::from_secs(30));
    assert_eq!(settings.platform.stream, "control");
    for section in SCHEMA {
        assert!(annotated_defaults().contains(&format!("\n[{}]\n", section.kind)));
        for key in section.keys {
            assert!(
                annotated_defaults().contains(&format!("\n{key} = ")),
                "{key}"
            );
        }
    }
}

/// Guards against deployments that keep the published sample secrets.
#[test]
fn sample_secrets_are_not_accepted() {
    let mistakes = Settings::parse(&annotated_defaults()).expect_err("secrets are samples");

    let codes: Vec<_> = mistakes.iter().map(|entry| entry.code).collect();
    assert_eq!(codes, [Code::BadValue, Code::BadValue]);
}

/// Guards against optional sections that become required.
#[test]
fn limits_and_log_may_be_left_out() {
    let text = complete_settings();
    let (needed, _) = text.split_once("[limits]").expect("limits follow");

    let settings = Settings::parse(needed).expect("the rest has defaults");

    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.log.format, LogFormat::Text);
}

/// Guards against a mistake that is accepted, or reported with a wrong line or code.
#[test]
fn each_mistake_has_its_line_and_code() {
    let cases = [
        (
            "club = kashmir",
            "club = Kashmir",
            Code::BadValue,
            "club = Kashmir",
        ),
        ("domain = loft-a\n", "", Code::MissingSetting, "[instance]"),
        (
            "callers = 127.0.0.1",
            "callers = localhost",
            Code::BadValue,
            "callers = localhost:7000",
        ),
        (
            "7002",
            "7001",
            Code::Inconsistent,
            "operators = 127.0.0.1:7001",
        ),
        ("7002", "0", Code::OutOfRange, "operators = 127.0.0.1:0"),
        (
            "peers = 127.0.0.1",
            "peers = 0.0.0.0",
            Code::BadValue,
            "peers = 0.0.0.0:7001",
        ),
        (
            "http://127.0.0.1:7100",
            "127.0.0.1:7100",
            Code::BadValue,
            "log = 127.0.0.1:7100",
        ),
        (
            "http://127.0.0.1:7100",
            "http://log:7100",
            Code::BadValue,
            "log = http://log:7100",
        ),
        (
            "0123456789abcdef",
            "short",
            Code::BadValue,
            "cluster_secret = short",
        ),
        (
            "fedcba9876543210",
            "0123456789abcdef",
            Code::Inconsistent,
            "operator_token = 0123456789abcdef",
        ),
        (
            "4096 requests",
            "4096",
            Code::BadUnit,
            "open_requests = 4096",
        ),
        ("16 KiB", "4 KiB", Code::OutOfRange, "head_size = 4 KiB"),
        ("drain = 30 s", "drain = 30", Code::BadUnit, "drain = 30"),
        ("workers = 2", "worker = 2", Code::UnknownKey, "worker = 2"),
        (
            "level = info",
            "level = loud",
            Code::BadValue,
            "level = loud",
        ),
        ("[log]", "[limits]", Code::Duplicate, "[limits]"),
        ("[log]", "[logs]", Code::UnknownSection, "[logs]"),
    ];
    for (from, to, code, line) in cases {
        let mistakes = mistakes_after_replacing(from, to);
        assert_eq!(
            mistakes[0],
            (code, line.to_owned()),
            "{from:?} replaced by {to:?}"
        );
    }
}

/// Guards against secrets that leak into a log through an error message or `Debug`.
#[test]
fn secrets_are_not_shown() {
    let settings = Settings::parse(&complete_settings()).expect("file is valid");
    let wrong = complete_settings().replace("0123456789abcdef", "hunter2");

    let mistakes = Settings::parse(&wrong).expect_err("secret is too short");

    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    assert!(!mistakes[0].to_string().contains("hunter2"));
    assert_eq!(
        settings.security.cluster_secret.expose(),
        "0123456789abcdef"
    );
}

/// Guards against an unreadable file that is reported without its path or code.
#[test]
fn an_unreadable_file_is_reported_with_its_path() {
    let rejected = Settings::load(Path::new("/nonexistent/instance.ini")).expect_err("no file");

    assert_eq!(rejected.mistakes[0].code, Code::FileUnreadable);
    assert!(
        rejected
            .to_string()
            .starts_with("/nonexistent/instance.ini:1: code 400")
    );
}

/// Guards against example settings that an instance would refuse.
#[test]
fn example_settings_lack_only_their_secrets() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/settings");
    let files: Vec<_> = std::fs::read_dir(folder).expect("examples exist").collect();

    assert!(files.len() >= 2);
    for file in files {
        let path = file.expect("folder can be read").path();
        let text = std::fs::read_to_string(&path).expect("example is text");
        let text = text.replacen(SAMPLE_SECRET, "0123456789abcdef", 1);
        let text = text.replacen(SAMPLE_SECRET, "fedcba9876543210", 1);
        let settings = Settings::parse(&text).expect("example is valid");
        let name = path.file_stem().expect("file has a name").to_string_lossy();
        let instance = &settings.instance;
        assert_eq!(name, format!("{}-{}", instance.club, instance.domain));
    }
}

/// Guards against sections and keys that `docs/settings.md` does not describe.
#[test]
fn the_reference_describes_every_section_and_key() {
    let reference = include_str!("../../../docs/settings.md");

    for section in SCHEMA.iter().chain(PRESET_SCHEMA) {
        let header = match section.named {
            true => format!("| `[{} NAME]` |", section.kind),
            false => format!("| `[{}]` |", section.kind),
        };
        let (_, rows) = reference.split_once(&header).expect("section is described");
        let rows = rows.split("| `[").next().expect("rows follow");
        for key in section.keys {
            assert!(rows.contains(&format!("`{key}` |")), "{key} in {header}");
        }
    }
}

proptest! {
    /// Guards against malformed settings that make the parser panic.
    #[test]
    fn no_damaged_settings_make_the_parser_panic(
        at in 0..2_000usize,
        inserted in "[\\[\\]=:;#%\\\\\"'a-z0-9 \r\n\t\u{0}é]{0,12}",
    ) {
        let mut text = complete_settings();
        text.insert_str(at.min(text.len()), &inserted);
        let _ = Settings::parse(&text);
    }
}
