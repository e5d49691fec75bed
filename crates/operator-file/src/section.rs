//! Reads the keys of one table as typed values, each with its position for fault reports.

use crate::fault::FaultLog;
use crate::position::{Located, Position, WHOLE_FILE};
use crate::suggestion::suggestion;
use std::cell::RefCell;
use std::ops::{Range, RangeInclusive};
use std::rc::Rc;
use stileroute_dispatch::types::Time;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One table of a file. Its methods return `None` if a key is missing, which is not a fault, or if its value is wrong, which is
/// added to the log as one.
pub struct Section<'a> {
    log: Rc<FaultLog>,
    table: &'a DeTable<'a>,
    /// The offset in bytes at which the table begins.
    offset: usize,
    /// The path of the table's key, such as `route[2].match`; empty for the outermost table.
    path: String,
    /// The keys that the caller has asked for. All other keys in the table are reported as unknown.
    requested_keys: RefCell<Vec<String>>,
}

/// The longest time that a file can set, 24 h in tenths of a millisecond. A longer one is taken for a typing error, and with this
/// limit the sum of two times cannot overflow.
const MAX_TIME: Time = 24 * 3600 * 10_000;

impl<'a> Section<'a> {
    /// A section for the outermost table of a file.
    pub(crate) fn root(log: Rc<FaultLog>, table: &'a DeTable<'a>) -> Section<'a> {
        Section { log, table, offset: 0, path: String::new(), requested_keys: RefCell::default() }
    }

    /// The log to which the faults of the file go.
    pub fn log(&self) -> &Rc<FaultLog> {
        &self.log
    }

    /// The position of the table itself.
    pub fn position(&self) -> Position {
        self.log.position(self.offset, if self.path.is_empty() { WHOLE_FILE } else { &self.path })
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn find(&self, key: &str) -> Option<(Position, &'a Spanned<DeValue<'a>>)> {
        self.requested_keys.borrow_mut().push(key.to_string());
        let (name, value) = self.table.iter().find(|(name, _)| name.get_ref() == key)?;
        Some((self.log.position(name.span().start, &self.path_of(key)), value))
    }

    fn reject<T>(&self, position: Position, reason: impl Into<String>) -> Option<T> {
        self.log.add(position, reason, None);
        None
    }

    fn string(&self, key: &str, expected: &str) -> Option<Located<&'a str>> {
        let (position, value) = self.find(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(Located { value: text.as_ref(), position }),
            other => self.reject(position, format!("must be {expected}, not {}", type_name(other))),
        }
    }

    /// Reads a text that must not be empty.
    pub fn text(&self, key: &str) -> Option<Located<String>> {
        let text = self.string(key, "a text in quotes")?;
        if text.value.is_empty() {
            return self.reject(text.position, "is empty");
        }
        Some(Located { value: text.value.to_string(), position: text.position })
    }

    /// Reads one of several words. The result is the value that `choices` pairs with the word.
    pub fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Option<Located<T>> {
        let text = self.string(key, "a word in quotes")?;
        match choices.iter().find(|(choice, _)| *choice == text.value) {
            Some((_, value)) => Some(Located { value: *value, position: text.position }),
            None => {
                let names: Vec<&str> = choices.iter().map(|(choice, _)| *choice).collect();
                let hint = suggestion(text.value, &names);
                self.reject(text.position, format!("'{}' is none of {}{hint}", text.value, names.join(", ")))
            }
        }
    }

    /// Reads a time with its unit, such as "250ms" or "1m 30s", of at most 24 h. The result is in tenths of a millisecond.
    pub fn time(&self, key: &str) -> Option<Located<Time>> {
        let text = self.string(key, "a time with its unit, as \"250ms\"")?;
        let (given, position) = (text.value, text.position);
        if given.bytes().all(|b| b.is_ascii_digit()) {
            return self.reject(position, format!("'{given}' has no unit: ms, s, m or h"));
        }
        match humantime::parse_duration(given) {
            Err(error) => self.reject(position, format!("'{given}' is not a time: {error}")),
            Ok(time) => match Time::try_from(time.as_micros() / 100) {
                Ok(value) if value <= MAX_TIME => Some(Located { value, position }),
                _ => self.reject(position, format!("'{given}' is more than 24h")),
            },
        }
    }

    /// Reads a boolean.
    pub fn flag(&self, key: &str) -> Option<Located<bool>> {
        let (position, value) = self.find(key)?;
        match value.get_ref() {
            DeValue::Boolean(value) => Some(Located { value: *value, position }),
            other => self.reject(position, format!("must be true or false, not {}", type_name(other))),
        }
    }

    /// Reads a number, whole or not, that must lie within a range.
    pub fn number(&self, key: &str, range: RangeInclusive<f64>) -> Option<Located<f64>> {
        let (position, value) = self.find(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(number) => {
                i64::from_str_radix(number.as_str(), number.radix()).ok().map(|n| n as f64)
            }
            DeValue::Float(number) => number.as_str().parse::<f64>().ok(),
            other => return self.reject(position, format!("must be a number, not {}", type_name(other))),
        };
        match number.filter(|number| range.contains(number)) {
            Some(value) => Some(Located { value, position }),
            None => self.reject(position, format!("must be from {} to {}", range.start(), range.end())),
        }
    }

    /// Reads a whole number that must lie within a range.
    pub fn count(&self, key: &str, range: RangeInclusive<usize>) -> Option<Located<usize>> {
        let (position, value) = self.find(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(number) => usize::from_str_radix(number.as_str(), number.radix()).ok(),
            other => {
                return self.reject(position, format!("must be a whole number, not {}", type_name(other)))
            }
        };
        match number.filter(|number| range.contains(number)) {
            Some(value) => Some(Located { value, position }),
            None => self.reject(
                position,
                format!("must be a whole number from {} to {}", range.start(), range.end()),
            ),
        }
    }

    /// Reads a list of at least one text.
    pub fn text_list(&self, key: &str) -> Option<Located<Vec<Located<String>>>> {
        let (position, value) = self.find(key)?;
        let DeValue::Array(entries) = value.get_ref() else {
            return self
                .reject(position, format!("must be a list of texts, not {}", type_name(value.get_ref())));
        };
        if entries.is_empty() {
            return self.reject(position, "is an empty list");
        }
        let mut texts = Vec::new();
        for entry in entries.iter() {
            let entry_position = self.log.position(entry.span().start, &self.path_of(key));
            match entry.get_ref() {
                DeValue::String(text) => {
                    texts.push(Located { value: text.to_string(), position: entry_position })
                }
                other => {
                    return self.reject(entry_position, format!("must be a text, not {}", type_name(other)))
                }
            }
        }
        Some(Located { value: texts, position })
    }

    fn subsection(&self, span: &Range<usize>, path: String, table: &'a DeTable<'a>) -> Section<'a> {
        Section { log: self.log.clone(), table, offset: span.start, path, requested_keys: RefCell::default() }
    }

    /// Reads the table under a key.
    pub fn table(&self, key: &str) -> Option<Section<'a>> {
        let (position, value) = self.find(key)?;
        match value.get_ref() {
            DeValue::Table(table) => {
                let mut subsection = self.subsection(&value.span(), self.path_of(key), table);
                // A table made by dotted keys (`a.b = 1`) has no offset of its own in the parser's result: use that of its key.
                subsection.offset = subsection.offset.max(self.log.offset(&position));
                Some(subsection)
            }
            other => self.reject(position, format!("must be a table, not {}", type_name(other))),
        }
    }

    /// Reads the list of tables under a key; empty if the key is missing.
    pub fn tables(&self, key: &str) -> Vec<Section<'a>> {
        let Some((position, value)) = self.find(key) else { return Vec::new() };
        let DeValue::Array(entries) = value.get_ref() else {
            self.log.add(position, format!("must be a list of tables: [[{key}]]"), None);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (number, entry) in entries.iter().enumerate() {
            let path = format!("{}[{number}]", self.path_of(key));
            match entry.get_ref() {
                DeValue::Table(table) => sections.push(self.subsection(&entry.span(), path, table)),
                _ => self.log.add(self.log.position(entry.span().start, &path), "must be a table", None),
            }
        }
        sections
    }

    /// Reads all tables within the table under a key, with their names, which the operator chooses.
    pub fn named_tables(&self, key: &str) -> Vec<(Located<String>, Section<'a>)> {
        let Some(parent) = self.table(key) else { return Vec::new() };
        let mut all = Vec::new();
        for (name, value) in parent.table.iter() {
            let path = parent.path_of(name.get_ref());
            let position = self.log.position(name.span().start, &path);
            match value.get_ref() {
                DeValue::Table(table) => {
                    let section = parent.subsection(&(name.span().start..0), path, table);
                    all.push((Located { value: name.get_ref().to_string(), position }, section));
                }
                _ => self.log.add(position, "must be a table", None),
            }
        }
        all
    }

    /// Reads all texts within the table under a key, with their names, which the operator chooses.
    pub fn named_texts(&self, key: &str) -> Vec<(Located<String>, String)> {
        let Some(parent) = self.table(key) else { return Vec::new() };
        let mut all = Vec::new();
        for (name, value) in parent.table.iter() {
            let position = self.log.position(name.span().start, &parent.path_of(name.get_ref()));
            match value.get_ref() {
                DeValue::String(text) => {
                    all.push((Located { value: name.get_ref().to_string(), position }, text.to_string()));
                }
                other => self.log.add(position, format!("must be a text, not {}", type_name(other)), None),
            }
        }
        all
    }

    /// Finishes reading the table. Each key that the caller has not asked for is reported as unknown, with a similar known key as a
    /// suggestion.
    pub fn finish(self) {
        let requested_keys = self.requested_keys.borrow();
        let known_keys: Vec<&str> = requested_keys.iter().map(String::as_str).collect();
        for (name, _) in self.table.iter() {
            if !known_keys.contains(&name.get_ref().as_ref()) {
                let position = self.log.position(name.span().start, &self.path_of(name.get_ref()));
                let hint = suggestion(name.get_ref(), &known_keys);
                self.log.add(position, format!("is not known{hint}"), None);
            }
        }
    }
}

/// The type of a value, as operators' messages name it.
fn type_name(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}
