//! Typed reading of the fields of one JSON object; faults name the path of each key.

use crate::fault_collector::FaultCollector;
use crate::key_use::KeyUse;
use crate::reason::FaultReason;
use crate::values::{self, describe};
use jzon::object::Object;
use jzon::JsonValue;
use std::net::SocketAddrV4;
use std::sync::OnceLock;

/// A JSON object within a text, and its path.
#[derive(Clone, Copy)]
pub struct Section<'a> {
    faults: &'a FaultCollector,
    key_use: &'a KeyUse,
    object: &'a Object,
    /// The key of the object, or of the list that contains it; empty for the outermost object.
    key: &'static str,
    /// Index of the object in its list; `None` if it is not in a list.
    index: Option<usize>,
}

impl<'a> Section<'a> {
    /// Returns the outermost object of a text.
    pub fn root(object: &'a Object, faults: &'a FaultCollector, key_use: &'a KeyUse) -> Section<'a> {
        Section { faults, key_use, object, key: "", index: None }
    }

    /// Returns the value of a key and records the key as read.
    fn get(&self, key: &str) -> Option<&'a JsonValue> {
        // The entries of a list are all read in the same way, so the keys read of the first entry stand for all entries.
        if self.index.is_none_or(|index| index == 0) {
            self.key_use.read(self.key, key);
        }
        self.object.get(key)
    }

    /// Records a fault at a key of this object.
    pub fn fault(&self, key: &str, reason: FaultReason) {
        self.faults.add(self.path(key), reason);
    }

    fn path(&self, key: &str) -> String {
        match (self.key, self.index) {
            ("", _) => key.to_string(),
            (own, Some(index)) => format!("{own}[{index}].{key}"),
            (own, None) => format!("{own}.{key}"),
        }
    }

    fn wrong_value(&self, key: &str, expected: &'static str, value: &JsonValue) {
        self.fault(key, FaultReason::WrongValue { expected, found: describe(value) });
    }

    /// Returns the value of a key as converted by `read`, or the default if the key is missing and there is a default. Otherwise
    /// it records a fault and returns a placeholder. `expected` describes in words the values that `read` accepts.
    pub fn value<T: Default>(
        &self,
        key: &str,
        default: Option<T>,
        expected: &'static str,
        read: impl Fn(&JsonValue) -> Option<T>,
    ) -> T {
        let Some(value) = self.get(key) else {
            return default.unwrap_or_else(|| {
                self.fault(key, FaultReason::Missing);
                T::default()
            });
        };
        read(value).unwrap_or_else(|| {
            self.wrong_value(key, expected, value);
            T::default()
        })
    }

    /// Reads a text that is required and must not be empty.
    pub fn text(&self, key: &str) -> String {
        self.value(key, None, "text that is not empty", values::text)
    }

    /// Reads a boolean; a missing key means `false`.
    pub fn flag(&self, key: &str) -> bool {
        self.value(key, Some(false), "true or false", JsonValue::as_bool)
    }

    /// Reads a whole number of at least 0; the key is required if there is no default.
    pub fn unsigned(&self, key: &str, default: Option<u64>) -> u64 {
        self.value(key, default, "a whole number from 0 up", values::unsigned)
    }

    /// Reads a whole number of at least 0 that fits a narrower integer type.
    pub fn narrow_unsigned<T: TryFrom<u64> + Default>(&self, key: &str, default: T) -> T {
        let read = |value: &JsonValue| T::try_from(values::unsigned(value)?).ok();
        self.value(key, Some(default), "a whole number from 0 up that is not too large", read)
    }

    /// Reads a finite number that is not negative.
    pub fn non_negative(&self, key: &str, default: f64) -> f64 {
        self.value(key, Some(default), "a finite number from 0 up", values::non_negative)
    }

    /// Reads a duration in ms; the key is required if there is no default. Keys that end in `_s` hold seconds, others
    /// milliseconds; both may have a fraction.
    pub fn duration_ms(&self, key: &str, default: Option<u64>) -> u64 {
        let unit_ms = if key.ends_with("_s") { 1000.0 } else { 1.0 };
        let expected = "a span of time from 0 up that is not too long";
        self.value(key, default, expected, |value| values::duration_ms(value, unit_ms))
    }

    /// Reads a network address; `None` if the key is missing or null.
    pub fn address(&self, key: &str) -> Option<SocketAddrV4> {
        let read = |value: &JsonValue| match value {
            JsonValue::Null => Some(None),
            other => values::address(other).map(Some),
        };
        self.value(key, Some(None), "ip:port or null", read)
    }

    /// Returns the object under a key; an empty object if the key is missing.
    pub fn section(&self, key: &'static str) -> Section<'a> {
        static EMPTY: OnceLock<Object> = OnceLock::new();
        self.key_use.open(key);
        let object = match self.get(key) {
            Some(JsonValue::Object(object)) => object,
            Some(other) => {
                self.wrong_value(key, "an object", other);
                EMPTY.get_or_init(Object::new)
            }
            None => EMPTY.get_or_init(Object::new),
        };
        Section { object, key, index: None, ..*self }
    }

    /// Whether the object has this key.
    pub fn has(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Reads the texts in the list under a key; an empty list if the key is missing. The texts may be secret, so no fault quotes
    /// them.
    pub fn secrets(&self, key: &str, limit: usize) -> Vec<String> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(secrets) = values::list(value, values::text) else {
            self.fault(key, FaultReason::NoKeys);
            return Vec::new();
        };
        if secrets.len() > limit {
            self.fault(key, FaultReason::TooManyEntries { limit });
        }
        secrets
    }

    /// Returns the objects in the required list under a key, with their indices. If the list is too long, none of its objects is
    /// read.
    pub fn sections(&self, key: &'static str, limit: usize) -> Vec<Section<'a>> {
        self.key_use.open(key);
        match self.get(key) {
            Some(JsonValue::Array(values)) if values.len() <= limit => self.elements(key, values),
            Some(JsonValue::Array(_)) => {
                self.fault(key, FaultReason::TooManyEntries { limit });
                Vec::new()
            }
            Some(other) => {
                self.wrong_value(key, "a list", other);
                Vec::new()
            }
            None => {
                self.fault(key, FaultReason::Missing);
                Vec::new()
            }
        }
    }

    fn elements(&self, key: &'static str, values: &'a [JsonValue]) -> Vec<Section<'a>> {
        let element = |(index, value): (usize, &'a JsonValue)| match value {
            JsonValue::Object(object) => Some(Section { object, key, index: Some(index), ..*self }),
            other => {
                let found = describe(other);
                let reason = FaultReason::WrongValue { expected: "an object", found };
                self.faults.add(format_args!("{key}[{index}]"), reason);
                None
            }
        };
        values.iter().enumerate().filter_map(element).collect()
    }
}
