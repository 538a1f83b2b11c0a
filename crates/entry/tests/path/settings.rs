//! Settings files: accepted values and reported mistakes.

use std::time::Duration;

use medlarreel_entry::settings::Settings;

use crate::fixture::settings_text;

fn valid_text() -> String {
    settings_text(
        &[7_001, 7_002, 7_003, 7_004],
        ([127, 0, 0, 1], 7_000).into(),
    )
}

/// Guards against durations that are read in the wrong unit.
#[test]
fn times_are_seconds_with_fractions() {
    let text = valid_text().replace("heartbeat = 1 s", "heartbeat = 0.87 s");

    let settings = Settings::parse(&text).unwrap();

    assert_eq!(settings.heartbeat_interval, Duration::from_millis(870));
    assert_eq!(settings.drain_limit, Duration::from_secs(2));
    assert!(settings.lease_duration <= Duration::from_secs(10));
}

/// Guards against failing to start when a deployment has no `[bounds]` section.
#[test]
fn bounds_may_be_missing() {
    let text = valid_text();
    let (rest, _) = text.split_once("[bounds]").unwrap();

    let settings = Settings::parse(rest).unwrap();

    assert_eq!(settings.drain_limit, Duration::from_secs(2));
}

/// Guards against starting with invalid settings, and against reporting only one mistake.
#[test]
fn every_mistake_is_reported_with_its_line() {
    let text = valid_text().replace("store = 127.0.0.1:7000", "store = nowhere");
    let text = text.replace("retry_ratio = 0.2", "retry_ratio = 20");

    let mistakes = Settings::parse(&text).unwrap_err();

    let lines: Vec<usize> = mistakes.iter().map(|mistake| mistake.line).collect();
    assert_eq!(lines, [10, 16]);
}

/// Guards against an instance whose name does not fit into the key of its record.
#[test]
fn name_that_is_no_key_is_a_mistake() {
    let with_name = |name: &str| valid_text().replacen("name = ", &format!("name = {name}"), 1);

    assert!(Settings::parse(&with_name(&"n".repeat(200))).is_ok());
    assert!(Settings::parse(&with_name(&"n".repeat(255))).is_err());
}
