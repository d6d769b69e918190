//! Values with units, as written in INI files.

use crate::prelude::*;
use crate::value_error::ValueError;
use std::str::FromStr;
use strum::VariantArray;

/// Units of time, with their length in milliseconds; greatest first.
const TIME_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("min", 60_000), ("s", 1000), ("ms", 1)];
/// The time units in error messages.
const TIME_UNIT_NAMES: &str = "ms, s, min, h, for example 250ms";
/// The percent unit in error messages.
const PERCENT_UNIT_NAMES: &str = "%, for example 30%";
/// The version unit in error messages.
const VERSION_UNIT_NAMES: &str = "versions, for example 2 versions";
/// Longest valid duration: a week.
const MAX_TIME_MS: u64 = 7 * 24 * 3_600_000;
/// Greatest valid plain number, and number of versions.
const MAX_NUMBER: u64 = 1_000_000;
/// Longest valid name.
const MAX_NAME_BYTES: usize = 64;

/// Splits a value into its whole number and its unit. `expected` describes a valid value.
fn split_number<'a>(text: &'a str, expected: &str) -> Result<(u64, &'a str), ValueError> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    if digits.is_empty() {
        return Err(ValueError::NotANumber {
            expected: expected.to_owned(),
        });
    }
    // A number that overflows u64 saturates, so that it is reported as too large.
    let number = digits.parse().unwrap_or(u64::MAX);
    Ok((number, unit.trim()))
}

fn unknown_unit(unit: &str, valid: &'static str) -> ValueError {
    if unit.is_empty() {
        return ValueError::MissingUnit { valid };
    }
    ValueError::UnknownUnit {
        unit: unit.to_owned(),
        valid,
    }
}

/// Parses a duration such as `250ms`, `1s` or `31min`.
///
/// # Errors
///
/// The number is missing, its unit is missing or unknown, or the duration exceeds a week.
pub fn parse_time(text: &str) -> Result<Millis, ValueError> {
    let (number, unit) = split_number(text, "a whole number with a time unit")?;
    let found = TIME_UNITS.iter().find(|(name, _)| *name == unit);
    let (_, length) = found.ok_or_else(|| unknown_unit(unit, TIME_UNIT_NAMES))?;
    let total = number.saturating_mul(*length);
    if total > MAX_TIME_MS {
        return Err(ValueError::TooLarge {
            max: format_time(Millis(MAX_TIME_MS)),
        });
    }
    Ok(Millis(total))
}

/// Formats a duration in the greatest unit that needs no fraction.
pub fn format_time(length: Millis) -> String {
    let fits = |(_, unit): &&(&str, u64)| length.0 != 0 && length.0.is_multiple_of(*unit);
    match TIME_UNITS.iter().find(fits) {
        Some((name, unit)) => format!("{}{name}", length.0 / unit),
        None => format!("{}ms", length.0),
    }
}

/// Parses a share such as `30%`.
///
/// # Errors
///
/// The number is missing, its unit is missing or unknown, or the share exceeds 100%.
pub fn parse_percent(text: &str) -> Result<u32, ValueError> {
    let (number, unit) = split_number(text, "a whole number with %")?;
    if unit != "%" {
        return Err(unknown_unit(unit, PERCENT_UNIT_NAMES));
    }
    match u32::try_from(number) {
        Ok(percent) if percent <= 100 => Ok(percent),
        _ => Err(ValueError::TooLarge {
            max: "100%".to_owned(),
        }),
    }
}

/// Parses a number of weight versions such as `2 versions`.
///
/// # Errors
///
/// The number is missing, its unit is missing or unknown, or the number exceeds a million.
pub fn parse_versions(text: &str) -> Result<u64, ValueError> {
    let (number, unit) = split_number(text, "a whole number with `versions`")?;
    if unit != "versions" && unit != "version" {
        return Err(unknown_unit(unit, VERSION_UNIT_NAMES));
    }
    check_max(number, "versions")
}

/// Formats a number of weight versions with its unit.
pub fn format_versions(versions: u64) -> String {
    let unit = if versions == 1 { "version" } else { "versions" };
    format!("{versions} {unit}")
}

/// Parses a whole number without a unit.
///
/// # Errors
///
/// The value is not a whole number or exceeds a million.
pub fn parse_number(text: &str) -> Result<u32, ValueError> {
    const EXPECTED: &str = "a whole number without a unit";
    let (number, unit) = split_number(text, EXPECTED)?;
    if !unit.is_empty() {
        return Err(ValueError::NotANumber {
            expected: EXPECTED.to_owned(),
        });
    }
    check_max(number, "").map(|number| number as u32)
}

fn check_max(number: u64, unit: &str) -> Result<u64, ValueError> {
    if number > MAX_NUMBER {
        return Err(ValueError::TooLarge {
            max: format!("{MAX_NUMBER} {unit}").trim_end().to_owned(),
        });
    }
    Ok(number)
}

/// Parses `yes` or `no`.
///
/// # Errors
///
/// The value is neither `yes` nor `no`.
pub fn parse_yes_no(text: &str) -> Result<bool, ValueError> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(ValueError::NotOneOf {
            valid: "yes, no".to_owned(),
        }),
    }
}

/// Formats as `yes` or `no`.
pub fn format_yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Parses a name: 1 to 64 ASCII letters, digits, `-`, `_` and `.`.
///
/// # Errors
///
/// The name is empty, too long, or contains another character.
pub fn parse_name(text: &str) -> Result<String, ValueError> {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    if fits && text.chars().all(is_valid) {
        return Ok(text.to_owned());
    }
    Err(ValueError::BadName)
}

/// Parses the name of an enum variant.
///
/// # Errors
///
/// No variant has this name; the error lists the valid names.
pub fn parse_variant<T>(text: &str) -> Result<T, ValueError>
where
    T: FromStr + VariantArray + Copy + Into<&'static str>,
{
    text.parse().map_err(|_| {
        let names = T::VARIANTS.iter().map(|variant| (*variant).into());
        ValueError::NotOneOf {
            valid: names.collect::<Vec<&str>>().join(", "),
        }
    })
}
