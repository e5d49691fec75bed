//! Conversion of single JSON values; `None` if a value does not have the required type or range.

use jzon::JsonValue;
use std::net::SocketAddrV4;

/// Maximum duration in ms, thirty years: far below values whose sums would overflow.
const MAX_DURATION_MS: f64 = 1e12;
/// Maximum number of characters of a text that a fault quotes: long quotes in many faults would take more memory than the rest of
/// the process.
const MAX_QUOTED_CHARACTERS: usize = 40;

/// Converts a text that must not be empty.
pub fn text(value: &JsonValue) -> Option<String> {
    value.as_str().filter(|text| !text.is_empty()).map(str::to_string)
}

/// Converts a list; `None` if any of its elements cannot be converted.
pub fn list<T>(value: &JsonValue, read: impl Fn(&JsonValue) -> Option<T>) -> Option<Vec<T>> {
    value.as_array()?.iter().map(read).collect()
}

/// Converts a whole number of at least 0 in any notation: 70, 70.0 and 7e1 are the same. `None` if `jzon` may have dropped
/// digits.
pub fn unsigned(value: &JsonValue) -> Option<u64> {
    let (is_positive, mut mantissa, mut exponent) = value.as_number()?.as_parts();
    if mantissa == 0 {
        return Some(0);
    }
    if !is_positive || (exponent != 0 && mantissa >= u64::MAX / 10) {
        return None;
    }
    while exponent < 0 && mantissa % 10 == 0 {
        (mantissa, exponent) = (mantissa / 10, exponent + 1);
    }
    let scale = 10u64.checked_pow(u32::try_from(exponent).ok()?)?;
    mantissa.checked_mul(scale)
}

/// Converts a whole number of either sign.
pub fn signed(value: &JsonValue) -> Option<i64> {
    let number = value.as_number()?;
    if number.is_sign_positive() {
        return i64::try_from(unsigned(value)?).ok();
    }
    0i64.checked_sub_unsigned(unsigned(&JsonValue::Number(-number))?)
}

/// Converts a finite number of at least 0.
pub fn non_negative(value: &JsonValue) -> Option<f64> {
    let number = value.as_number()?;
    // Zero with an exponent of a thousand is zero, but the conversion of `jzon` does not return a number for it.
    let float = if number.is_zero() { 0.0 } else { f64::from(number) };
    (float.is_finite() && float >= 0.0).then_some(float)
}

/// Converts a value in units of `unit_ms` to a duration in whole ms. The result is rounded, but only zero becomes 0 ms.
pub fn duration_ms(value: &JsonValue, unit_ms: f64) -> Option<u64> {
    let duration_ms = non_negative(value)? * unit_ms;
    let least = u64::from(!value.as_number()?.is_zero());
    (duration_ms <= MAX_DURATION_MS).then_some((duration_ms.round() as u64).max(least))
}

/// Converts a network address to connect to; port 0 is rejected.
pub fn address(value: &JsonValue) -> Option<SocketAddrV4> {
    value.as_str()?.parse().ok().filter(|address: &SocketAddrV4| address.port() != 0)
}

/// Describes a value in a few words, however large the value is.
pub fn describe(value: &JsonValue) -> String {
    match value {
        JsonValue::Object(_) => "an object".into(),
        JsonValue::Array(_) => "a list".into(),
        JsonValue::Number(number) => format!("{:?}", f64::from(*number)),
        JsonValue::Boolean(flag) => flag.to_string(),
        JsonValue::Null => "null".into(),
        _ => quoted(value.as_str().unwrap_or_default()),
    }
}

/// Returns the beginning of a text, in quotes and with control characters escaped.
pub fn quoted(text: &str) -> String {
    format!("{:?}", text.chars().take(MAX_QUOTED_CHARACTERS).collect::<String>())
}
