//! Typed reading of the keys of one table, with their positions for the faults.

use crate::fault::FaultLog;
use crate::position::{Located, Position, WHOLE_FILE};
use crate::suggestion::suggestion;
use std::cell::RefCell;
use std::ops::{Range, RangeInclusive};
use std::rc::Rc;
use stileroute_dispatch::types::Time;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One table of a file. Its methods return `None` where a key is missing, which is no fault, and where its value is wrong, which
/// is added to the log.
pub struct Section<'a> {
    log: Rc<FaultLog>,
    table: &'a DeTable<'a>,
    /// Offset in bytes at which the table begins.
    offset: usize,
    /// The path of the table, empty for the outermost one.
    path: String,
    /// The keys that were asked for: all others in the table are unknown.
    asked: RefCell<Vec<String>>,
}

/// The longest time that can be set, 24 h in tenths of a millisecond: more is a slip, and sums of two cannot overflow.
const MAX_TIME: Time = 24 * 3600 * 10_000;

impl<'a> Section<'a> {
    /// The outermost table of a file.
    pub(crate) fn root(log: Rc<FaultLog>, table: &'a DeTable<'a>) -> Section<'a> {
        Section { log, table, offset: 0, path: String::new(), asked: RefCell::default() }
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
        self.asked.borrow_mut().push(key.to_string());
        let (name, value) = self.table.iter().find(|(name, _)| name.get_ref() == key)?;
        Some((self.log.position(name.span().start, &self.path_of(key)), value))
    }

    fn wrong<T>(&self, position: Position, reason: impl Into<String>) -> Option<T> {
        self.log.add(position, reason, None);
        None
    }

    fn string(&self, key: &str, what: &str) -> Option<Located<&'a str>> {
        let (position, value) = self.find(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(Located { value: text.as_ref(), position }),
            other => self.wrong(position, format!("must be {what}, not {}", name_of(other))),
        }
    }

    /// Text that is not empty.
    pub fn text(&self, key: &str) -> Option<Located<String>> {
        let text = self.string(key, "a text in quotes")?;
        if text.value.is_empty() {
            return self.wrong(text.position, "is empty");
        }
        Some(Located { value: text.value.to_string(), position: text.position })
    }

    /// One of some words; the value is what stands beside the word in `words`.
    pub fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Option<Located<T>> {
        let text = self.string(key, "a word in quotes")?;
        match words.iter().find(|(word, _)| *word == text.value) {
            Some((_, value)) => Some(Located { value: *value, position: text.position }),
            None => {
                let all: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
                let hint = suggestion(text.value, &all);
                self.wrong(text.position, format!("'{}' is none of {}{hint}", text.value, all.join(", ")))
            }
        }
    }

    /// A time with its unit, as "250ms" or "1m 30s", at most 24 h; the value is in tenths of a millisecond.
    pub fn time(&self, key: &str) -> Option<Located<Time>> {
        let text = self.string(key, "a time with its unit, as \"250ms\"")?;
        let (given, position) = (text.value, text.position);
        if given.bytes().all(|b| b.is_ascii_digit()) {
            return self.wrong(position, format!("'{given}' has no unit: ms, s, m or h"));
        }
        match humantime::parse_duration(given) {
            Err(error) => self.wrong(position, format!("'{given}' is no time: {error}")),
            Ok(time) => match Time::try_from(time.as_micros() / 100) {
                Ok(value) if value <= MAX_TIME => Some(Located { value, position }),
                _ => self.wrong(position, format!("'{given}' is more than 24h")),
            },
        }
    }

    /// True or false.
    pub fn flag(&self, key: &str) -> Option<Located<bool>> {
        let (position, value) = self.find(key)?;
        match value.get_ref() {
            DeValue::Boolean(value) => Some(Located { value: *value, position }),
            other => self.wrong(position, format!("must be true or false, not {}", name_of(other))),
        }
    }

    /// A number within a range.
    pub fn number(&self, key: &str, range: RangeInclusive<f64>) -> Option<Located<f64>> {
        let (position, value) = self.find(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(number) => {
                i64::from_str_radix(number.as_str(), number.radix()).ok().map(|n| n as f64)
            }
            DeValue::Float(number) => number.as_str().parse::<f64>().ok(),
            other => return self.wrong(position, format!("must be a number, not {}", name_of(other))),
        };
        match number.filter(|number| range.contains(number)) {
            Some(value) => Some(Located { value, position }),
            None => self.wrong(position, format!("must be from {} to {}", range.start(), range.end())),
        }
    }

    /// A whole number within a range.
    pub fn count(&self, key: &str, range: RangeInclusive<usize>) -> Option<Located<usize>> {
        let (position, value) = self.find(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(number) => usize::from_str_radix(number.as_str(), number.radix()).ok(),
            other => return self.wrong(position, format!("must be a whole number, not {}", name_of(other))),
        };
        match number.filter(|number| range.contains(number)) {
            Some(value) => Some(Located { value, position }),
            None => self
                .wrong(position, format!("must be a whole number from {} to {}", range.start(), range.end())),
        }
    }

    /// A list of at least one text.
    pub fn texts(&self, key: &str) -> Option<Located<Vec<Located<String>>>> {
        let (position, value) = self.find(key)?;
        let DeValue::Array(entries) = value.get_ref() else {
            return self
                .wrong(position, format!("must be a list of texts, not {}", name_of(value.get_ref())));
        };
        if entries.is_empty() {
            return self.wrong(position, "is an empty list");
        }
        let mut all = Vec::new();
        for entry in entries.iter() {
            let own = self.log.position(entry.span().start, &self.path_of(key));
            match entry.get_ref() {
                DeValue::String(text) => all.push(Located { value: text.to_string(), position: own }),
                other => return self.wrong(own, format!("must be a text, not {}", name_of(other))),
            }
        }
        Some(Located { value: all, position })
    }

    fn inner(&self, span: &Range<usize>, path: String, table: &'a DeTable<'a>) -> Section<'a> {
        Section { log: self.log.clone(), table, offset: span.start, path, asked: RefCell::default() }
    }

    /// The table under a key.
    pub fn table(&self, key: &str) -> Option<Section<'a>> {
        let (position, value) = self.find(key)?;
        match value.get_ref() {
            DeValue::Table(table) => {
                let mut inner = self.inner(&value.span(), self.path_of(key), table);
                // A table of dotted keys has no offset of its own.
                inner.offset = inner.offset.max(self.log.offset(&position));
                Some(inner)
            }
            other => self.wrong(position, format!("must be a table, not {}", name_of(other))),
        }
    }

    /// The entries of the list of tables under a key; none where it is missing.
    pub fn tables(&self, key: &str) -> Vec<Section<'a>> {
        let Some((position, value)) = self.find(key) else { return Vec::new() };
        let DeValue::Array(entries) = value.get_ref() else {
            self.log.add(position, format!("must be a list of tables: [[{key}]]"), None);
            return Vec::new();
        };
        let mut all = Vec::new();
        for (number, entry) in entries.iter().enumerate() {
            let path = format!("{}[{number}]", self.path_of(key));
            match entry.get_ref() {
                DeValue::Table(table) => all.push(self.inner(&entry.span(), path, table)),
                _ => self.log.add(self.log.position(entry.span().start, &path), "must be a table", None),
            }
        }
        all
    }

    /// The tables in the table under a key, with their names, which the file chooses.
    pub fn named_tables(&self, key: &str) -> Vec<(Located<String>, Section<'a>)> {
        let Some(outer) = self.table(key) else { return Vec::new() };
        let mut all = Vec::new();
        for (name, value) in outer.table.iter() {
            let path = outer.path_of(name.get_ref());
            let position = self.log.position(name.span().start, &path);
            match value.get_ref() {
                DeValue::Table(table) => {
                    let keys = outer.inner(&(name.span().start..0), path, table);
                    all.push((Located { value: name.get_ref().to_string(), position }, keys));
                }
                _ => self.log.add(position, "must be a table", None),
            }
        }
        all
    }

    /// The texts in the table under a key, with their names, which the file chooses.
    pub fn named_texts(&self, key: &str) -> Vec<(Located<String>, String)> {
        let Some(outer) = self.table(key) else { return Vec::new() };
        let mut all = Vec::new();
        for (name, value) in outer.table.iter() {
            let position = self.log.position(name.span().start, &outer.path_of(name.get_ref()));
            match value.get_ref() {
                DeValue::String(text) => {
                    all.push((Located { value: name.get_ref().to_string(), position }, text.to_string()));
                }
                other => self.log.add(position, format!("must be a text, not {}", name_of(other)), None),
            }
        }
        all
    }

    /// Ends the reading of the table: every key in it that was not asked for is a fault, with the most similar one that was.
    pub fn finish(self) {
        let asked = self.asked.borrow();
        let words: Vec<&str> = asked.iter().map(String::as_str).collect();
        for (name, _) in self.table.iter() {
            if !words.contains(&name.get_ref().as_ref()) {
                let position = self.log.position(name.span().start, &self.path_of(name.get_ref()));
                let hint = suggestion(name.get_ref(), &words);
                self.log.add(position, format!("is not known{hint}"), None);
            }
        }
    }
}

/// The type of a value, in words.
fn name_of(value: &DeValue) -> &'static str {
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
