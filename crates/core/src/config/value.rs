//! Typed readers for the values of settings and presets.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::code::Code;

/// Longest name, in bytes: the limit for a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * 1024;

/// Reason why a value was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueError {
    /// What is wrong.
    pub code: Code,
    /// What was expected.
    pub expected: String,
    /// How to correct it.
    pub hint: &'static str,
    /// Whether the value must not appear in messages.
    pub secret: bool,
}

impl ValueError {
    /// Error for a value that cannot be read.
    pub fn invalid(expected: impl Into<String>, hint: &'static str) -> ValueError {
        ValueError {
            code: Code::BadValue,
            expected: expected.into(),
            hint,
            secret: false,
        }
    }

    /// Marks the value as secret; messages then show `(hidden)` in its place.
    pub fn with_hidden_value(self) -> ValueError {
        ValueError {
            secret: true,
            ..self
        }
    }

    fn bad_unit(expected: String) -> ValueError {
        ValueError {
            code: Code::BadUnit,
            ..ValueError::invalid(expected, "write the number followed by its unit")
        }
    }

    fn out_of_range(expected: String) -> ValueError {
        ValueError {
            code: Code::OutOfRange,
            ..ValueError::invalid(expected, "choose a value within the range")
        }
    }
}

/// Reads a name of at most `MAX_NAME_BYTES`: words of lower-case letters and digits,
/// joined by single dashes, beginning with a letter.
///
/// # Errors
///
/// `BadValue` for any other text.
pub fn name(text: &str) -> Result<String, ValueError> {
    let is_word = |word: &str| {
        let mut bytes = word.bytes();
        !word.is_empty() && bytes.all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit())
    };
    let starts_with_letter = text.starts_with(|first: char| first.is_ascii_lowercase());
    if starts_with_letter && text.len() <= MAX_NAME_BYTES && text.split('-').all(is_word) {
        return Ok(text.to_owned());
    }
    let expected = format!("a name of at most {MAX_NAME_BYTES} characters, such as `loft-2`");
    Err(ValueError::invalid(
        expected,
        "use lower-case letters, digits and single dashes, beginning with a letter",
    ))
}

/// Reads `yes` or `no`.
///
/// # Errors
///
/// `BadValue` for any other text.
pub fn flag(text: &str) -> Result<bool, ValueError> {
    choice(&[("yes", true), ("no", false)])(text)
}

/// Returns a reader of one of the given words; it rejects others with `BadValue`.
pub fn choice<T: Copy>(options: &[(&'static str, T)]) -> impl Fn(&str) -> Result<T, ValueError> {
    move |text| {
        let found = options.iter().find(|(word, _)| *word == text);
        found.map(|(_, value)| *value).ok_or_else(|| {
            let words: Vec<_> = options.iter().map(|(word, _)| *word).collect();
            ValueError::invalid(words.join(" or "), "choose one of these words")
        })
    }
}

/// Returns a reader of a whole number without a unit; see `count` for its errors.
pub fn number<T>(range: RangeInclusive<T>) -> impl Fn(&str) -> Result<T, ValueError>
where
    T: TryFrom<u64> + PartialOrd + Display,
{
    count("", range)
}

/// Returns a reader of a whole number with a unit such as `slots`, `requests` or `%`.
///
/// It rejects text without a leading digit with `BadValue`, a missing or other unit with
/// `BadUnit`, and a number outside the range with `OutOfRange`.
pub fn count<T>(
    unit: &'static str,
    range: RangeInclusive<T>,
) -> impl Fn(&str) -> Result<T, ValueError>
where
    T: TryFrom<u64> + PartialOrd + Display,
{
    move |text| {
        let (from, to) = (range.start(), range.end());
        let expected = || format!("{from} to {to} {unit}").trim_end().to_owned();
        let (digits, given_unit) = split_unit(text, expected)?;
        if given_unit != unit {
            return Err(ValueError::bad_unit(expected()));
        }
        let value = digits.and_then(|value| T::try_from(value).ok());
        let value = value.filter(|value| range.contains(value));
        value.ok_or_else(|| ValueError::out_of_range(expected()))
    }
}

/// Returns a reader of a percentage, as a whole number followed by `%`.
pub fn percent(range: RangeInclusive<u8>) -> impl Fn(&str) -> Result<u8, ValueError> {
    count("%", range)
}

/// Returns a reader of a whole number of `ms`, `s` or `min`; see `count` for its errors.
pub fn duration(range: RangeInclusive<Duration>) -> impl Fn(&str) -> Result<Duration, ValueError> {
    move |text| {
        let (from, to) = (
            format_duration(*range.start()),
            format_duration(*range.end()),
        );
        let expected = || format!("{from} to {to}, in ms, s or min");
        let (digits, unit) = split_unit(text, expected)?;
        let factor = match unit {
            "ms" => 1,
            "s" => 1_000,
            "min" => 60_000,
            _ => return Err(ValueError::bad_unit(expected())),
        };
        let value = digits.and_then(|value| value.checked_mul(factor));
        let value = value.map(Duration::from_millis);
        let value = value.filter(|value| range.contains(value));
        value.ok_or_else(|| ValueError::out_of_range(expected()))
    }
}

/// Returns a reader of a whole number of `KiB` or `MiB`; see `count` for its errors. The
/// range and the result are in bytes.
pub fn size(range: RangeInclusive<u32>) -> impl Fn(&str) -> Result<u32, ValueError> {
    move |text| {
        let (from, to) = (format_size(*range.start()), format_size(*range.end()));
        let expected = || format!("{from} to {to}, in KiB or MiB");
        let (digits, unit) = split_unit(text, expected)?;
        let factor = match unit {
            "KiB" => KIB,
            "MiB" => MIB,
            _ => return Err(ValueError::bad_unit(expected())),
        };
        let value = digits.and_then(|value| value.checked_mul(factor));
        let value = value.and_then(|value| u32::try_from(value).ok());
        let value = value.filter(|value| range.contains(value));
        value.ok_or_else(|| ValueError::out_of_range(expected()))
    }
}

/// Reads a socket address as `ip:port`; host names are not resolved.
///
/// # Errors
///
/// `BadValue` for any other text, `OutOfRange` for port 0.
pub fn address(text: &str) -> Result<SocketAddr, ValueError> {
    let expected = "an address such as 127.0.0.1:7000 or [::1]:7000";
    let hint = "write an IP address and a port; host names are not looked up";
    let address: SocketAddr = text
        .parse()
        .map_err(|_| ValueError::invalid(expected, hint))?;
    match address.port() {
        0 => Err(ValueError::out_of_range("a port from 1 to 65535".into())),
        _ => Ok(address),
    }
}

/// Formats a duration in whole milliseconds, rounded down, or in seconds or minutes if
/// these divide it.
pub fn format_duration(duration: Duration) -> String {
    match duration.as_millis() {
        ms if ms > 0 && ms.is_multiple_of(60_000) => format!("{} min", ms / 60_000),
        ms if ms > 0 && ms.is_multiple_of(1_000) => format!("{} s", ms / 1_000),
        ms => format!("{ms} ms"),
    }
}

/// Formats a size in MiB if that divides it, else in KiB, rounded down.
pub fn format_size(bytes: u32) -> String {
    match u64::from(bytes) {
        bytes if bytes > 0 && bytes.is_multiple_of(MIB) => format!("{} MiB", bytes / MIB),
        bytes => format!("{} KiB", bytes / KIB),
    }
}

/// Splits a value into number and unit; the number is `None` if it exceeds 64 bits.
fn split_unit(
    text: &str,
    expected: impl Fn() -> String,
) -> Result<(Option<u64>, &str), ValueError> {
    let end = text.bytes().take_while(u8::is_ascii_digit).count();
    if end == 0 {
        return Err(ValueError::invalid(
            expected(),
            "write a whole number first",
        ));
    }
    Ok((text[..end].parse().ok(), text[end..].trim_start()))
}
