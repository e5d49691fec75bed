//! Typed reading of `jzon` values, with the path of each key.

use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddrV4;

use jzon::object::Object;
use jzon::JsonValue;

use crate::error::{Fault, Faults};

/// Longest text that is read.
pub const LONGEST: usize = 8 << 20;
/// Faults that are told. A small text can hold a million of them, and their lines would outweigh the process.
const TOLD: usize = 64;
/// Longest span of time in ms, thirty years: far from where sums of times would overflow.
const LONGEST_MS: f64 = 1e12;
/// Longest number as written. `jzon` counts the places after the point in 16 bits without a check.
const DIGITS: usize = 1100;
/// Digits before an exponent; `jzon` drops what does not fit into 64 bits, and nobody could tell.
const EXACT: usize = 19;
/// Memory that the values of one text may take, and what a list or object and a comma count for at most.
/// Without it the longest text, made of brackets alone, would take more than a machine has.
const MEMORY: usize = 96 << 20;
const OPENED: usize = 400;
const COMMA: usize = 224;

/// The faults of one text, as they are found.
pub struct Notes {
    file: String,
    faults: RefCell<(Vec<Fault>, usize)>,
}

impl Notes {
    pub fn new(file: &str) -> Notes {
        Notes { file: file.to_string(), faults: RefCell::default() }
    }

    pub fn add(&self, key: impl Display, reason: impl Display) {
        let (faults, more) = &mut *self.faults.borrow_mut();
        if faults.len() == TOLD {
            *more += 1;
            return;
        }
        faults.push(Fault { file: self.file.clone(), key: key.to_string(), reason: reason.to_string() });
    }

    /// What was read, if nothing is wrong with it. The only way out: values read beside a fault are
    /// placeholders.
    pub fn check<T>(self, read: T) -> Result<T, Faults> {
        let (mut faults, more) = self.faults.into_inner();
        if more > 0 {
            let reason = format!("{more} more faults are not told");
            faults.push(Fault { file: self.file, key: String::new(), reason });
        }
        if faults.is_empty() {
            Ok(read)
        } else {
            Err(Faults(faults))
        }
    }

    /// The one fault of a text of which nothing can be read.
    pub fn refuse(self, reason: impl Display) -> Faults {
        self.add("", reason);
        Faults(self.faults.into_inner().0)
    }
}

/// The object that a text holds. Of a key that stands twice, `jzon` keeps the last; all nodes read the same
/// bytes with this code, so all of them see the same.
pub fn object(bytes: &[u8]) -> Result<Object, String> {
    if bytes.len() > LONGEST {
        return Err(format!("longer than {LONGEST} bytes"));
    }
    let text = std::str::from_utf8(bytes).map_err(|e| format!("not UTF-8: {e}"))?;
    bounded(text)?;
    // Deep nesting ends in an error: the parser keeps its own stack and takes 512 levels.
    match jzon::parse(text) {
        Ok(JsonValue::Object(object)) => Ok(object),
        Ok(other) => Err(format!("must be an object, is {}", shown(&other))),
        Err(e) => Err(format!("not JSON: {e}")),
    }
}

/// What the parser does not look after itself: numbers beyond its counters, blanks that JSON does not know,
/// and memory. Of a text that is no JSON this may miss anything, which the parser then refuses.
fn bounded(text: &str) -> Result<(), String> {
    let (mut quoted, mut escaped, mut memory) = (false, false, 0);
    // Of the number at hand: characters, and digits before its exponent.
    let (mut run, mut digits) = (0, 0);
    for byte in text.bytes() {
        if quoted {
            quoted = escaped || byte != b'"';
            escaped = !escaped && byte == b'\\';
            continue;
        }
        match byte {
            b'"' => quoted = true,
            b'{' | b'[' => memory += OPENED,
            b',' => memory += COMMA,
            0x0b | 0x0c => return Err("not JSON: holds a blank that JSON does not know".into()),
            _ => (),
        }
        (run, digits) = match byte {
            b'0'..=b'9' => (run + 1, digits + 1),
            b'e' | b'E' if digits > EXACT => return Err("holds a number with too many digits".into()),
            b'e' | b'E' | b'.' | b'+' | b'-' => (run + 1, digits),
            _ => (0, 0),
        };
        if run > DIGITS {
            return Err(format!("holds a number of more than {DIGITS} characters"));
        }
    }
    if memory > MEMORY {
        return Err("holds too many values".into());
    }
    Ok(())
}

/// An object within a text, and where it stands.
#[derive(Clone, Copy)]
pub struct Place<'a> {
    pub notes: &'a Notes,
    pub object: &'a Object,
    /// The key of the object, or of the list it stands in; empty for the text itself.
    pub key: &'static str,
    pub index: Option<usize>,
}

impl<'a> Place<'a> {
    pub fn path(&self, key: &str) -> String {
        match (self.key, self.index) {
            ("", _) => key.to_string(),
            (own, Some(index)) => format!("{own}[{index}].{key}"),
            (own, None) => format!("{own}.{key}"),
        }
    }

    pub fn fault(&self, key: &str, reason: impl Display) {
        self.notes.add(self.path(key), reason);
    }

    /// The value of a key as `read` takes it, or the default where the key is missing and there is one. Else
    /// the fault is noted and what comes back is a placeholder.
    pub fn get<T: Default>(
        &self,
        key: &str,
        default: Option<T>,
        must: &str,
        read: impl Fn(&JsonValue) -> Option<T>,
    ) -> T {
        let Some(value) = self.object.get(key) else {
            return default.unwrap_or_else(|| {
                self.fault(key, "missing");
                T::default()
            });
        };
        read(value).unwrap_or_else(|| {
            self.fault(key, format_args!("must be {must}, is {}", shown(value)));
            T::default()
        })
    }

    /// Text that must be there and hold something.
    pub fn text(&self, key: &str) -> String {
        self.get(key, None, "text that is not empty", text)
    }

    pub fn flag(&self, key: &str) -> bool {
        self.get(key, Some(false), "true or false", JsonValue::as_bool)
    }

    pub fn whole(&self, key: &str, default: Option<u64>) -> u64 {
        self.get(key, default, "a whole number from 0 up", whole)
    }

    /// A whole number that fits the narrower type.
    pub fn small<T: TryFrom<u64> + Default>(&self, key: &str, default: T) -> T {
        let narrow = |value: &JsonValue| T::try_from(whole(value)?).ok();
        self.get(key, Some(default), "a whole number from 0 up that is not too large", narrow)
    }

    /// A finite number that is not negative.
    pub fn number(&self, key: &str, default: f64) -> f64 {
        self.get(key, Some(default), "a finite number from 0 up", number)
    }

    /// A span of time in ms. Keys that end in `_s` hold seconds, others milliseconds; either may have a
    /// fraction.
    pub fn span(&self, key: &str, default: Option<u64>) -> u64 {
        let unit = if key.ends_with("_s") { 1000.0 } else { 1.0 };
        self.get(key, default, "a span of time from 0 up that is not too long", |value| span(value, unit))
    }

    /// An address, where one is named.
    pub fn address(&self, key: &str) -> Option<SocketAddrV4> {
        let read = |value: &JsonValue| if value.is_null() { Some(None) } else { address(value).map(Some) };
        self.get(key, Some(None), "ip:port or null", read)
    }

    /// The object under a key; an empty one where it is missing.
    pub fn inner(&self, key: &'static str) -> Place<'a> {
        static EMPTY: std::sync::OnceLock<Object> = std::sync::OnceLock::new();
        let object = match self.object.get(key) {
            Some(JsonValue::Object(object)) => Some(object),
            Some(other) => {
                self.fault(key, format_args!("must be an object, is {}", shown(other)));
                None
            }
            None => None,
        };
        Place { object: object.unwrap_or_else(|| EMPTY.get_or_init(Object::new)), key, index: None, ..*self }
    }

    /// The objects in the list under a key, which must be there.
    pub fn list(&self, key: &'static str, most: usize) -> Vec<Place<'a>> {
        let values: &[JsonValue] = match self.object.get(key) {
            Some(JsonValue::Array(values)) if values.len() <= most => values,
            Some(JsonValue::Array(_)) => {
                self.fault(key, format_args!("holds more than {most}"));
                &[]
            }
            Some(other) => {
                self.fault(key, format_args!("must be a list, is {}", shown(other)));
                &[]
            }
            None => {
                self.fault(key, "missing");
                &[]
            }
        };
        let each = values.iter().enumerate().filter_map(|(index, value)| {
            if let JsonValue::Object(object) = value {
                return Some(Place { object, key, index: Some(index), ..*self });
            }
            let reason = format!("must be an object, is {}", shown(value));
            self.notes.add(format_args!("{key}[{index}]"), reason);
            None
        });
        each.collect()
    }
}

pub fn text(value: &JsonValue) -> Option<String> {
    value.as_str().filter(|text| !text.is_empty()).map(str::to_string)
}

/// A whole number, however it is written: 70, 70.0 and 7e1 are one. Where `jzon` may have dropped digits,
/// none.
pub fn whole(value: &JsonValue) -> Option<u64> {
    let (positive, mut mantissa, mut exponent) = value.as_number()?.as_parts();
    if mantissa == 0 {
        return Some(0);
    }
    if !positive || (exponent != 0 && mantissa >= u64::MAX / 10) {
        return None;
    }
    while exponent < 0 && mantissa % 10 == 0 {
        (mantissa, exponent) = (mantissa / 10, exponent + 1);
    }
    mantissa.checked_mul(10u64.checked_pow(u32::try_from(exponent).ok()?)?)
}

/// A whole number of either sign.
pub fn signed(value: &JsonValue) -> Option<i64> {
    let number = value.as_number()?;
    if number.is_sign_positive() {
        return i64::try_from(whole(value)?).ok();
    }
    0i64.checked_sub_unsigned(whole(&JsonValue::Number(-number))?)
}

pub fn number(value: &JsonValue) -> Option<f64> {
    let number = value.as_number()?;
    // Nothing times ten to the thousandth is nothing, yet not a number to the conversion.
    let float = if number.is_zero() { 0.0 } else { f64::from(number) };
    (float.is_finite() && float >= 0.0).then_some(float)
}

/// A span of time in ms, of a value in units of so many ms. What is not nothing does not become nothing.
pub fn span(value: &JsonValue, unit: f64) -> Option<u64> {
    let ms = number(value)? * unit;
    let least = u64::from(!value.as_number()?.is_zero());
    (ms <= LONGEST_MS).then_some((ms.round() as u64).max(least))
}

/// An address that can be called; port 0 cannot.
pub fn address(value: &JsonValue) -> Option<SocketAddrV4> {
    value.as_str()?.parse().ok().filter(|address: &SocketAddrV4| address.port() != 0)
}

/// A value in a few words, however large it is.
fn shown(value: &JsonValue) -> String {
    match value {
        JsonValue::Object(_) => "an object".into(),
        JsonValue::Array(_) => "a list".into(),
        JsonValue::Number(number) => format!("{:?}", f64::from(*number)),
        JsonValue::Boolean(flag) => flag.to_string(),
        JsonValue::Null => "null".into(),
        _ => quoted(value.as_str().unwrap_or_default()),
    }
}

/// The beginning of a text, for a fault: a long one in each of many would outweigh the process.
pub fn quoted(text: &str) -> String {
    format!("{:?}", text.chars().take(40).collect::<String>())
}
