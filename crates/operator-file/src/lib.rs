//! Reads an operator's file. Whoever needs a section of it asks for its keys one by one; what is missing, wrong or
//! not known is gathered, so that all faults of a file are told at once, and each value keeps the place it came from.
//!
//! No I/O but [`load`]; no section is known here.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::missing_errors_doc, missing_docs)]

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::{Deref, Range, RangeInclusive};
use std::path::Path;
use std::rc::Rc;
use stileroute_dispatch::types::Time;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Where something stands in a file, counted from one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub line: usize,
    pub column: usize,
    pub key: String,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, {}", self.line, self.key)
    }
}

/// A value and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Set<T> {
    pub value: T,
    pub place: Place,
}

impl<T> Deref for Set<T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.value
    }
}

/// One of the four rules that a setting would break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    NoOpLost = 1,
    NoEffectTwice = 2,
    DrainsKept = 3,
    ColdNotPushedOver = 4,
}

/// What is wrong with a file: `file:line:column: key: reason [rule 2]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    pub file: String,
    pub place: Place,
    pub reason: String,
    pub rule: Option<Rule>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Place { line, column, key } = &self.place;
        write!(f, "{}:{line}:{column}: {key}: {}", self.file, self.reason)?;
        match self.rule {
            Some(rule) => write!(f, " [rule {}]", rule as u8),
            None => Ok(()),
        }
    }
}

/// A file being read, with the faults found so far.
#[derive(Debug)]
pub struct Faults {
    file: String,
    /// Where each line begins.
    lines: Vec<usize>,
    all: RefCell<BTreeSet<Fault>>,
}

impl Faults {
    pub fn new(file: &str, text: &str) -> Rc<Faults> {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
        let lines = std::iter::once(0).chain(ends).collect();
        Rc::new(Faults { file: file.to_string(), lines, all: RefCell::default() })
    }

    pub fn place(&self, at: usize, key: &str) -> Place {
        let line = self.lines.partition_point(|begin| *begin <= at).max(1);
        let column = at - self.lines[line - 1] + 1;
        Place { line, column, key: key.to_string() }
    }

    pub fn say(&self, place: Place, reason: impl Into<String>, rule: Option<Rule>) {
        let reason = reason.into().lines().collect::<Vec<_>>().join(" ");
        self.all.borrow_mut().insert(Fault { file: self.file.clone(), place, reason, rule });
    }

    /// All faults in the order of the file.
    pub fn all(&self) -> Vec<Fault> {
        self.all.borrow().iter().cloned().collect()
    }
}

/// One table, and which of its keys were asked for.
pub struct Keys<'a> {
    faults: Rc<Faults>,
    table: &'a DeTable<'a>,
    at: usize,
    path: String,
    known: RefCell<Vec<String>>,
}

/// The most that a time may be: more is a slip of the pen, and sums of two can't overflow.
const MOST_TIME: Time = 24 * 3600 * 10_000;

impl<'a> Keys<'a> {
    pub fn faults(&self) -> &Rc<Faults> {
        &self.faults
    }

    /// Where the table itself begins.
    pub fn place(&self) -> Place {
        self.faults.place(self.at, if self.path.is_empty() { "file" } else { &self.path })
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn find(&self, key: &str) -> Option<(Place, &'a Spanned<DeValue<'a>>)> {
        self.known.borrow_mut().push(key.to_string());
        let (name, value) = self.table.iter().find(|(name, _)| name.get_ref() == key)?;
        Some((self.faults.place(name.span().start, &self.path_of(key)), value))
    }

    fn wrong<T>(&self, place: Place, reason: impl Into<String>) -> Option<T> {
        self.faults.say(place, reason, None);
        None
    }

    fn string(&self, key: &str, what: &str) -> Option<Set<&'a str>> {
        let (place, value) = self.find(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(Set { value: text.as_ref(), place }),
            other => self.wrong(place, format!("must be {what}, not {}", name_of(other))),
        }
    }

    /// A text that is not empty.
    pub fn text(&self, key: &str) -> Option<Set<String>> {
        let text = self.string(key, "a text in quotes")?;
        if text.value.is_empty() {
            return self.wrong(text.place, "is empty");
        }
        Some(Set { value: text.value.to_string(), place: text.place })
    }

    /// One of some words.
    pub fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Option<Set<T>> {
        let text = self.string(key, "a word in quotes")?;
        match words.iter().find(|(word, _)| *word == text.value) {
            Some((_, value)) => Some(Set { value: *value, place: text.place }),
            None => {
                let all: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
                let near = nearest(text.value, &all);
                self.wrong(text.place, format!("'{}' is none of {}{near}", text.value, all.join(", ")))
            }
        }
    }

    /// A time with its unit, as "250ms" or "1m 30s", in tenths of a millisecond.
    pub fn time(&self, key: &str) -> Option<Set<Time>> {
        let text = self.string(key, "a time with its unit, as \"250ms\"")?;
        let (given, place) = (text.value, text.place);
        if given.bytes().all(|b| b.is_ascii_digit()) {
            return self.wrong(place, format!("'{given}' has no unit: ms, s, m or h"));
        }
        match humantime::parse_duration(given) {
            Err(error) => self.wrong(place, format!("'{given}' is no time: {error}")),
            Ok(time) => match Time::try_from(time.as_micros() / 100) {
                Ok(value) if value <= MOST_TIME => Some(Set { value, place }),
                _ => self.wrong(place, format!("'{given}' is more than 24h")),
            },
        }
    }

    pub fn flag(&self, key: &str) -> Option<Set<bool>> {
        let (place, value) = self.find(key)?;
        match value.get_ref() {
            DeValue::Boolean(value) => Some(Set { value: *value, place }),
            other => self.wrong(place, format!("must be true or false, not {}", name_of(other))),
        }
    }

    /// A number within a range.
    pub fn number(&self, key: &str, range: RangeInclusive<f64>) -> Option<Set<f64>> {
        let (place, value) = self.find(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(number) => {
                i64::from_str_radix(number.as_str(), number.radix()).ok().map(|n| n as f64)
            }
            DeValue::Float(number) => number.as_str().parse::<f64>().ok(),
            other => return self.wrong(place, format!("must be a number, not {}", name_of(other))),
        };
        match number.filter(|number| range.contains(number)) {
            Some(value) => Some(Set { value, place }),
            None => self.wrong(place, format!("must be from {} to {}", range.start(), range.end())),
        }
    }

    /// A whole number within a range.
    pub fn count(&self, key: &str, range: RangeInclusive<usize>) -> Option<Set<usize>> {
        let (place, value) = self.find(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(number) => usize::from_str_radix(number.as_str(), number.radix()).ok(),
            other => return self.wrong(place, format!("must be a whole number, not {}", name_of(other))),
        };
        match number.filter(|number| range.contains(number)) {
            Some(value) => Some(Set { value, place }),
            None => {
                self.wrong(place, format!("must be a whole number from {} to {}", range.start(), range.end()))
            }
        }
    }

    /// A list of texts, one at least.
    pub fn texts(&self, key: &str) -> Option<Set<Vec<Set<String>>>> {
        let (place, value) = self.find(key)?;
        let DeValue::Array(entries) = value.get_ref() else {
            return self.wrong(place, format!("must be a list of texts, not {}", name_of(value.get_ref())));
        };
        if entries.is_empty() {
            return self.wrong(place, "is an empty list");
        }
        let mut all = Vec::new();
        for entry in entries.iter() {
            let own = self.faults.place(entry.span().start, &self.path_of(key));
            match entry.get_ref() {
                DeValue::String(text) => all.push(Set { value: text.to_string(), place: own }),
                other => return self.wrong(own, format!("must be a text, not {}", name_of(other))),
            }
        }
        Some(Set { value: all, place })
    }

    fn keys(&self, at: &Range<usize>, path: String, table: &'a DeTable<'a>) -> Keys<'a> {
        Keys { faults: self.faults.clone(), table, at: at.start, path, known: RefCell::default() }
    }

    /// A table under a key.
    pub fn table(&self, key: &str) -> Option<Keys<'a>> {
        let (place, value) = self.find(key)?;
        match value.get_ref() {
            DeValue::Table(table) => {
                let mut keys = self.keys(&value.span(), self.path_of(key), table);
                // A table of dotted keys has no place of its own.
                keys.at = keys.at.max(self.offset(&place));
                Some(keys)
            }
            other => self.wrong(place, format!("must be a table, not {}", name_of(other))),
        }
    }

    fn offset(&self, place: &Place) -> usize {
        self.faults.lines[place.line - 1] + place.column - 1
    }

    /// The entries of a list of tables.
    pub fn tables(&self, key: &str) -> Vec<Keys<'a>> {
        let Some((place, value)) = self.find(key) else { return Vec::new() };
        let DeValue::Array(entries) = value.get_ref() else {
            self.faults.say(place, format!("must be a list of tables: [[{key}]]"), None);
            return Vec::new();
        };
        let mut all = Vec::new();
        for (number, entry) in entries.iter().enumerate() {
            let path = format!("{}[{number}]", self.path_of(key));
            match entry.get_ref() {
                DeValue::Table(table) => all.push(self.keys(&entry.span(), path, table)),
                _ => self.faults.say(self.faults.place(entry.span().start, &path), "must be a table", None),
            }
        }
        all
    }

    /// The tables under a key by their names, which the file chooses.
    pub fn named(&self, key: &str) -> Vec<(Set<String>, Keys<'a>)> {
        let Some(outer) = self.table(key) else { return Vec::new() };
        let mut all = Vec::new();
        for (name, value) in outer.table.iter() {
            let path = outer.path_of(name.get_ref());
            let place = self.faults.place(name.span().start, &path);
            match value.get_ref() {
                DeValue::Table(table) => {
                    let keys = outer.keys(&(name.span().start..0), path, table);
                    all.push((Set { value: name.get_ref().to_string(), place }, keys));
                }
                _ => self.faults.say(place, "must be a table", None),
            }
        }
        all
    }

    /// Texts under a key by their names, which the file chooses.
    pub fn pairs(&self, key: &str) -> Vec<(Set<String>, String)> {
        let Some(outer) = self.table(key) else { return Vec::new() };
        let mut all = Vec::new();
        for (name, value) in outer.table.iter() {
            let place = self.faults.place(name.span().start, &outer.path_of(name.get_ref()));
            match value.get_ref() {
                DeValue::String(text) => {
                    all.push((Set { value: name.get_ref().to_string(), place }, text.to_string()));
                }
                other => self.faults.say(place, format!("must be a text, not {}", name_of(other)), None),
            }
        }
        all
    }

    /// No more keys are known here: any other in the file is a fault, told with the nearest that is known.
    pub fn finish(self) {
        let known = self.known.borrow();
        let words: Vec<&str> = known.iter().map(String::as_str).collect();
        for (name, _) in self.table.iter() {
            if !words.contains(&name.get_ref().as_ref()) {
                let place = self.faults.place(name.span().start, &self.path_of(name.get_ref()));
                let near = nearest(name.get_ref(), &words);
                self.faults.say(place, format!("is not known{near}"), None);
            }
        }
    }
}

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

/// `; did you mean 'x'?` for the nearest word, if one is near.
pub fn nearest(given: &str, words: &[&str]) -> String {
    let near = |word: &&&str| strsim::jaro_winkler(given, word);
    match words.iter().max_by(|a, b| near(a).total_cmp(&near(b))) {
        Some(word) if near(&word) > 0.75 => format!("; did you mean '{word}'?"),
        _ => String::new(),
    }
}

/// Reads a text with whoever knows its sections; all faults if there is one.
pub fn read<T>(file: &str, text: &str, sections: impl FnOnce(&Keys) -> Option<T>) -> Result<T, Vec<Fault>> {
    let faults = Faults::new(file, text);
    let table = match DeTable::parse(text) {
        Ok(table) => table,
        Err(error) => {
            let at = error.span().map_or(0, |span| span.start);
            faults.say(faults.place(at, "file"), error.message(), None);
            return Err(faults.all());
        }
    };
    let keys = Keys {
        faults: faults.clone(),
        table: table.get_ref(),
        at: 0,
        path: String::new(),
        known: RefCell::default(),
    };
    let value = sections(&keys);
    keys.finish();
    let all = faults.all();
    match value {
        Some(value) if all.is_empty() => Ok(value),
        _ => Err(all),
    }
}

/// The text of a file; the fault of one that can't be read.
pub fn load(path: &Path) -> Result<String, Vec<Fault>> {
    std::fs::read_to_string(path).map_err(|error| {
        let place = Place { line: 1, column: 1, key: "file".to_string() };
        vec![Fault { file: path.display().to_string(), place, reason: error.to_string(), rule: None }]
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_faults_are_told_at_once_with_their_places() {
        let text =
            "wait = \"5\"\nshare = 2\nnmae = \"x\"\nmode = \"slwo\"\n[inner]\nflag = 1\nlong = \"99999h\"\n";
        let faults = read("f.toml", text, |keys| {
            keys.time("wait");
            keys.number("share", 0.0..=1.0);
            keys.text("name");
            keys.word("mode", &[("slow", 1), ("fast", 2)]);
            let inner = keys.table("inner")?;
            inner.flag("flag");
            inner.time("long");
            inner.finish();
            Some(())
        })
        .unwrap_err();
        let told: Vec<String> = faults.iter().map(Fault::to_string).collect();
        let expected = [
            "f.toml:1:1: wait: '5' has no unit: ms, s, m or h",
            "f.toml:2:1: share: must be from 0 to 1",
            "f.toml:3:1: nmae: is not known; did you mean 'name'?",
            "f.toml:4:1: mode: 'slwo' is none of slow, fast; did you mean 'slow'?",
            "f.toml:6:1: inner.flag: must be true or false, not a whole number",
            "f.toml:7:1: inner.long: '99999h' is more than 24h",
        ];
        assert_eq!(told, expected);
        let faults = read("f.toml", "a = \n", |_| Some(())).unwrap_err();
        assert!(faults.len() == 1 && faults[0].place.line == 1, "{faults:?}");
    }
}
