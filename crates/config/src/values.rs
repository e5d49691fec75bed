//! Conversion of single JSON values; `None` where a value does not have the type or the range asked for.

use jzon::JsonValue;
use std::net::SocketAddrV4;

/// Longest span of time in ms, thirty years: far from where sums of times would overflow.
const MAX_DURATION_MS: f64 = 1e12;
/// Most characters of a text that a fault quotes: long ones in many faults would outweigh the process.
const MAX_QUOTED_CHARACTERS: usize = 40;

/// Text that is not empty.
pub fn text(value: &JsonValue) -> Option<String> {
    value.as_str().filter(|text| !text.is_empty()).map(str::to_string)
}

/// A list, if all of it can be read.
pub fn list<T>(value: &JsonValue, read: impl Fn(&JsonValue) -> Option<T>) -> Option<Vec<T>> {
    value.as_array()?.iter().map(read).collect()
}

/// A whole number from 0 up, however it is written: 70, 70.0 and 7e1 are the same. `None` where `jzon` may have dropped digits.
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

/// A whole number of either sign.
pub fn signed(value: &JsonValue) -> Option<i64> {
    let number = value.as_number()?;
    if number.is_sign_positive() {
        return i64::try_from(unsigned(value)?).ok();
    }
    0i64.checked_sub_unsigned(unsigned(&JsonValue::Number(-number))?)
}

/// A finite number from 0 up.
pub fn non_negative(value: &JsonValue) -> Option<f64> {
    let number = value.as_number()?;
    // Zero times ten to the thousandth is zero, but not a number to the conversion.
    let float = if number.is_zero() { 0.0 } else { f64::from(number) };
    (float.is_finite() && float >= 0.0).then_some(float)
}

/// A span of time in whole ms, of a value in units of `unit_ms`. It is rounded, but only zero becomes zero.
pub fn duration_ms(value: &JsonValue, unit_ms: f64) -> Option<u64> {
    let duration_ms = non_negative(value)? * unit_ms;
    let least = u64::from(!value.as_number()?.is_zero());
    (duration_ms <= MAX_DURATION_MS).then_some((duration_ms.round() as u64).max(least))
}

/// An address that can be connected to; one with port 0 cannot.
pub fn address(value: &JsonValue) -> Option<SocketAddrV4> {
    value.as_str()?.parse().ok().filter(|address: &SocketAddrV4| address.port() != 0)
}

/// A value in a few words, however large it is.
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

/// The beginning of a text, in quotes and with its control characters escaped.
pub fn quoted(text: &str) -> String {
    format!("{:?}", text.chars().take(MAX_QUOTED_CHARACTERS).collect::<String>())
}
