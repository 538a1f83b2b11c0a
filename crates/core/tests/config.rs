//! Parsing of presets, with the line and code of every mistake.

use std::time::Duration;

use medlarreel_core::code::Code;
use medlarreel_core::fold::State;
use medlarreel_core::ids::{Offset, Proposal};
use medlarreel_core::preset::{Fencing, Isolation, Preset, Rank};
use medlarreel_core::record::{Body, Record};
use proptest::prelude::*;

const PRESET: &str = "\
[preset]
name = ordinary
budget = 290 slots
retry = 10 %
[club kashmir]
share = 50 %
weight = 2
[club souss]
share = 50%
[service intake]
club = kashmir
keyed = yes
slots = 6 slots
connections = 100
fencing = checked
isolation = keep
request_lifetime = 90 s
queue = 64 requests
max_body = 256 KiB
[service registry]
club = souss
keyed = no
slots = 2 slots
connections = 50
fencing = unchecked
[rank status]
deadline = 250 ms
[rank order]
deadline = 2 s
floor = 20 %
[rank archive]
deadline = 1 min
floor = 10 %
";

/// Text in the fixture, its replacement, and the expected mistakes.
type Case = (&'static str, &'static str, &'static [(usize, Code)]);

/// Returns the lines and codes of the mistakes after a replacement in the fixture.
fn mistakes_after(from: &str, to: &str) -> Vec<(usize, Code)> {
    assert!(PRESET.contains(from), "the fixture lacks {from:?}");
    let mistakes = Preset::parse(&PRESET.replacen(from, to, 1)).expect_err("text is wrong");
    let pair = |mistake: &medlarreel_core::config::Mistake| (mistake.line, mistake.code);
    mistakes.iter().map(pair).collect()
}

/// Guards against values that end up in the wrong field or lose their unit.
#[test]
fn a_preset_is_converted_with_its_units_and_defaults() {
    let preset = Preset::parse(PRESET).expect("the fixture is valid");

    assert_eq!(
        (preset.name.as_str(), preset.budget, preset.retry),
        ("ordinary", 290, 10)
    );
    assert_eq!(preset.clubs[0].weight, 2);
    assert_eq!(preset.club_slots("souss"), 145);
    let intake = preset.service("intake").expect("service is listed");
    assert_eq!((intake.shards, intake.slots, intake.queue), (1_024, 6, 64));
    assert_eq!(intake.request_lifetime, Some(Duration::from_secs(90)));
    assert_eq!(
        (intake.isolation, intake.max_body),
        (Isolation::Keep, 256 * 1024)
    );
    let registry = preset.service("registry").expect("service is listed");
    assert_eq!((registry.fencing, registry.shards), (Fencing::Unchecked, 1));
    assert_eq!(registry.request_lifetime, None);
    assert_eq!(
        preset.ranks[Rank::Archive.index()].deadline,
        Duration::from_secs(60)
    );
}

/// Guards against mistakes that are accepted, or reported with a wrong line or code.
#[test]
fn each_mistake_has_its_line_and_code() {
    let cases: &[Case] = &[
        (
            "[club souss]",
            "[klub souss]",
            &[(8, Code::UnknownSection), (21, Code::Inconsistent)],
        ),
        (
            "[club souss]",
            "[club souss two]",
            &[(8, Code::UnknownSection), (21, Code::Inconsistent)],
        ),
        ("weight = 2", "wait = 2", &[(7, Code::UnknownKey)]),
        ("weight = 2", "share = 2 %", &[(7, Code::Duplicate)]),
        (
            "[club souss]\nshare = 50%",
            "[club kashmir]\nshare = 90%",
            &[(8, Code::Duplicate), (21, Code::Inconsistent)],
        ),
        (
            "[rank order]",
            "[rank status]",
            &[(28, Code::Duplicate), (33, Code::MissingSetting)],
        ),
        (
            "[rank order]",
            "[rank urgent]",
            &[(28, Code::UnknownSection), (33, Code::MissingSetting)],
        ),
        ("budget = 290 slots\n", "", &[(1, Code::MissingSetting)]),
        ("keyed = yes", "keyed = true", &[(12, Code::BadValue)]),
        (
            "keyed = yes",
            "keyed",
            &[(10, Code::MissingSetting), (12, Code::Syntax)],
        ),
        (
            "keyed = yes",
            "keyed = no\nshards = 9",
            &[(13, Code::Inconsistent)],
        ),
        ("290 slots", "290", &[(3, Code::BadUnit)]),
        ("290 slots", "290 requests", &[(3, Code::BadUnit)]),
        ("290 slots", "-1 slots", &[(3, Code::BadValue)]),
        ("290 slots", "40000001 slots", &[(3, Code::OutOfRange)]),
        (
            "290 slots",
            "99999999999999999999999 slots",
            &[(3, Code::OutOfRange)],
        ),
        ("= 250 ms", "= 250", &[(27, Code::BadUnit)]),
        ("= 250 ms", "= 0 ms", &[(27, Code::OutOfRange)]),
        (
            "= 1 min",
            "= 99999999999999999 min",
            &[(32, Code::OutOfRange)],
        ),
        ("= 1 min", "= 1.5 min", &[(32, Code::BadUnit)]),
        ("256 KiB", "256 KB", &[(19, Code::BadUnit)]),
        ("256 KiB", "17 MiB", &[(19, Code::OutOfRange)]),
        ("share = 50%", "share = 51%", &[(9, Code::Inconsistent)]),
        ("floor = 10 %", "floor = 61 %", &[(33, Code::Inconsistent)]),
        ("club = souss", "club = sous", &[(21, Code::Inconsistent)]),
        (
            "connections = 50",
            "connections = 1",
            &[(24, Code::Inconsistent)],
        ),
        (
            "[service registry]",
            "[service Registry]",
            &[(20, Code::BadValue)],
        ),
        (
            "[service registry]",
            "[service medlar]",
            &[(20, Code::BadValue)],
        ),
        (
            "name = ordinary",
            "name = two--dashes",
            &[(2, Code::BadValue)],
        ),
        (
            "[preset]",
            "retry = 1 %\n[preset]",
            &[(1, Code::UnknownSection)],
        ),
    ];
    for (from, to, expected) in cases {
        assert_eq!(
            mistakes_after(from, to),
            *expected,
            "{from:?} replaced by {to:?}"
        );
    }
}

/// Guards against reports that stop at the first mistake.
#[test]
fn all_mistakes_are_reported_at_once_by_line() {
    let text = PRESET
        .replace("retry = 10 %", "retry = 10")
        .replace("weight = 2", "weight")
        .replace("slots = 6 slots", "slots = many")
        .replace("floor = 20 %", "flor = 20 %");

    let mistakes = Preset::parse(&text).expect_err("text is wrong");

    let codes: Vec<_> = mistakes
        .iter()
        .map(|entry| (entry.line, entry.code))
        .collect();
    let expected = [
        (4, Code::BadUnit),
        (7, Code::Syntax),
        (13, Code::BadValue),
        (30, Code::UnknownKey),
    ];
    assert_eq!(codes, expected);
    assert!(mistakes[0].to_string().starts_with("4: code 406: "));
}

/// Guards against accepting an empty file, or one without clubs or services.
#[test]
fn an_empty_text_lists_every_missing_section() {
    let mistakes = Preset::parse("").expect_err("nothing is set");

    assert_eq!(mistakes.len(), 6);
    let missing = mistakes
        .iter()
        .all(|entry| entry.code == Code::MissingSetting);
    assert!(missing, "{mistakes:?}");
}

/// Applies a record at the next offset and returns its outcome.
fn apply(state: &mut State, body: Body) -> Result<(), Code> {
    let offset = state.next_offset();
    let proposal = Proposal(offset.0 + 1);
    state.apply(Offset(offset.0), Record { proposal, body })
}

/// Guards against example presets that cannot be published and activated in turn.
#[test]
fn example_presets_can_be_published_and_activated_in_turn() {
    let mut state = State::default();
    for (count, name) in (0..).zip(["ordinary", "peaks", "maintenance"]) {
        let root = env!("CARGO_MANIFEST_DIR");
        let path = format!("{root}/../../examples/presets/{name}.ini");
        let text = std::fs::read_to_string(path).expect("example exists");

        let preset = Preset::parse(&text).expect("example is valid");
        let publish = Body::Publish {
            name: name.into(),
            expected: 0,
            text,
        };
        let activate = Body::Activate {
            name: name.into(),
            version: 1,
            expected: count,
        };

        assert_eq!(apply(&mut state, publish), Ok(()), "{name}");
        assert_eq!(apply(&mut state, activate), Ok(()), "{name}");
        let slots: u32 = preset
            .clubs
            .iter()
            .map(|club| preset.club_slots(&club.name))
            .sum();
        assert!(
            slots <= preset.budget && slots + 2 > preset.budget,
            "{name}: {slots}"
        );
    }
}

proptest! {
    /// Guards against text that makes the parser panic.
    #[test]
    fn no_text_makes_the_parser_panic(text in "\\PC*") {
        let _ = Preset::parse(&text);
    }

    /// Guards against panics in the value readers, which need valid sections and keys
    /// to be reached.
    #[test]
    fn no_damaged_preset_makes_the_parser_panic(
        position in 0..PRESET.len(),
        removed in 0..40usize,
        inserted in "[\\[\\]=:;#%\\\\\"'a-zA-Z0-9 \r\n\t\u{0}é]{0,12}",
    ) {
        let end = (position + removed).min(PRESET.len());
        let text = format!("{}{}{}", &PRESET[..position], inserted, &PRESET[end..]);
        let _ = Preset::parse(&text);
    }
}
