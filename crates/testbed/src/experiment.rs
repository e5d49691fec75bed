//! Reads an experiment file. What is wrong is told in one line that names file, line, key and reason; nothing is
//! guessed.

use crate::plan::Plan;
use std::fmt;
use std::path::Path;
use toml::de::{DeTable, DeValue};
use toml::{Table, Value};

/// A fault of an experiment file: `file:line: key: reason`.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong {
    pub file: String,
    pub line: usize,
    pub key: String,
    pub reason: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.key, self.reason)
    }
}

/// One point of the grid with its seed.
#[derive(Clone, Debug)]
pub struct Cell {
    /// What is varied, as `key=value`, joined by spaces; empty where nothing is.
    pub label: String,
    pub seed: u64,
    pub plan: Plan,
}

/// An experiment: its file, read and checked.
#[derive(Clone, Debug)]
pub struct Experiment {
    pub plan: Plan,
    pub cells: Vec<Cell>,
    /// Label of the cells that the others are held against.
    pub against: Option<String>,
    texts: Texts,
}

impl Experiment {
    /// A fault at a key that only shows when something is to be done with the experiment.
    pub fn wrong(&self, key: &str, reason: &str) -> Wrong {
        self.texts.wrong(&key.split('.').map(str::to_string).collect::<Vec<_>>(), reason)
    }

    /// Whether each point can be played with processes on this machine; what stands against it where not.
    pub fn bears(&self) -> Result<(), Wrong> {
        let most = self.cells.iter().map(|cell| cell.plan.nodes.count).max().unwrap_or(0);
        crate::play::machine::bears(most).map_err(|reason| self.wrong("nodes.count", &reason))
    }
}

/// Line, from one, in which a span begins.
fn line_at(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

/// Line of the deepest part of a path that stands in the text, and how deep that is.
fn line_of(text: &str, path: &[String]) -> (usize, usize) {
    let Ok(table) = DeTable::parse(text) else { return (1, 0) };
    let (mut line, mut depth) = (1, 0);
    let mut value = DeValue::Table(table.into_inner());
    for part in path {
        let next = match &value {
            DeValue::Table(table) => {
                table.iter().find(|(key, _)| key.get_ref() == part).map(|(key, value)| {
                    let listed = matches!(value.get_ref(), DeValue::Array(_) | DeValue::Table(_));
                    (if listed { value.span().start.min(key.span().start) } else { key.span().start }, value)
                })
            }
            DeValue::Array(array) => part
                .parse::<usize>()
                .ok()
                .and_then(|at| array.get(at))
                .map(|value| (value.span().start, value)),
            _ => None,
        };
        let Some((at, inner)) = next else { break };
        (line, depth) = (line_at(text, at), depth + 1);
        value = inner.get_ref().clone();
    }
    (line, depth)
}

/// Sets a key by its path, in which a number names an entry of a list. A key that may be left out is added; a table
/// on the way must be there.
fn set(table: &mut Table, path: &str, value: &Value) -> Result<(), String> {
    let (last, way) = path.rsplit_once('.').map_or((path, None), |(way, last)| (last, Some(way)));
    let mut parts = way.into_iter().flat_map(|way| way.split('.'));
    let mut at = table;
    while let Some(part) = parts.next() {
        at = match at.get_mut(part) {
            Some(Value::Table(table)) => table,
            Some(Value::Array(entries)) => {
                let entry = parts.next().and_then(|number| number.parse::<usize>().ok());
                match entry.and_then(|number| entries.get_mut(number)) {
                    Some(Value::Table(table)) => table,
                    _ => return Err(format!("'{part}' is a list, and no entry of it is named")),
                }
            }
            _ => return Err(format!("there is no table '{part}'")),
        };
    }
    at.insert(last.to_string(), value.clone());
    Ok(())
}

/// How a value reads in a label: one word, and not a long one.
fn shown(value: &Value) -> String {
    match value {
        Value::String(text) if text.is_empty() => "none".to_string(),
        Value::String(text) => {
            text.split_whitespace().collect::<Vec<_>>().join("_").chars().take(40).collect()
        }
        other => other.to_string(),
    }
}

/// The texts that an experiment is made of: its own, then those of the files which it extends, one after the other.
#[derive(Clone, Debug)]
struct Texts {
    all: Vec<(String, String)>,
}

impl Texts {
    /// A fault at a path: in the text that has most of it, the experiment's own before the other.
    fn wrong(&self, path: &[String], reason: &str) -> Wrong {
        let found = |(at, (_, text)): (usize, &(String, String))| {
            let (line, depth) = line_of(text, path);
            (depth, std::cmp::Reverse(at), line)
        };
        let (_, std::cmp::Reverse(at), line) =
            self.all.iter().enumerate().map(found).max().unwrap_or((0, std::cmp::Reverse(0), 1));
        let key = if path.is_empty() { "file".to_string() } else { path.join(".") };
        let reason = reason.lines().map(str::trim).collect::<Vec<_>>().join(" ");
        Wrong { file: self.all[at].0.clone(), line, key, reason: reason.trim().to_string() }
    }

    fn table(&self, at: usize) -> Result<Table, Wrong> {
        let (file, text) = &self.all[at];
        text.parse::<Table>().map_err(|error| {
            let line = line_at(text, error.span().map_or(0, |span| span.start));
            let begun = text.lines().nth(line - 1).unwrap_or_default();
            let key = begun.split('=').next().unwrap_or_default().trim().to_string();
            let reason = error.message().lines().collect::<Vec<_>>().join(" ");
            Wrong { file: file.clone(), line, key, reason }
        })
    }

    /// Reads a table as a plan and checks it.
    fn plan(&self, table: Table) -> Result<Plan, Wrong> {
        let plan: Plan = serde_path_to_error::deserialize(table).map_err(|error| {
            let mut path: Vec<String> = Vec::new();
            for segment in error.path() {
                match segment {
                    serde_path_to_error::Segment::Seq { index } => path.push(index.to_string()),
                    serde_path_to_error::Segment::Map { key } => path.push(key.clone()),
                    _ => {}
                }
            }
            let reason = error.inner().message().to_string();
            let unknown = reason.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
            if let Some(key) = unknown.filter(|key| path.last().is_none_or(|last| last != key)) {
                path.push(key.to_string());
            }
            self.wrong(&path, &reason)
        })?;
        plan.check().map_err(|(path, reason)| self.wrong(&path, &reason))?;
        crate::settings::routes(&plan).map_err(|reason| self.wrong(&["operator".to_string()], &reason))?;
        Ok(plan)
    }
}

/// Lays one table over another: tables are merged, all else is replaced.
fn over(under: &mut Table, table: Table) {
    for (key, value) in table {
        match (under.get_mut(&key), value) {
            (Some(Value::Table(under)), Value::Table(table)) => over(under, table),
            (_, value) => {
                under.insert(key, value);
            }
        }
    }
}

/// Reads and checks the text of an experiment; `file` is its name in messages. A file that it extends is looked for
/// beside it.
pub fn read(file: &str, text: &str) -> Result<Experiment, Wrong> {
    let mut texts = Texts { all: vec![(file.to_string(), text.to_string())] };
    let mut whole = texts.table(0)?;
    let path = ["extends".to_string()];
    while let Some(base) = whole.remove("extends") {
        let base = base.as_str().ok_or_else(|| texts.wrong(&path, "must be the name of a file"))?.to_string();
        if texts.all.len() > 4 {
            return Err(texts.wrong(&path, "files extend each other without end"));
        }
        // Beside the file that says so, which is not the experiment's own where that extends one of another folder.
        let from = texts.all.last().map_or(file, |(from, _)| from);
        let beside = Path::new(from).with_file_name(&base);
        let text = std::fs::read_to_string(&beside)
            .map_err(|error| texts.wrong(&path, &format!("{base}: {error}")))?;
        texts.all.push((beside.display().to_string(), text));
        let mut under = texts.table(texts.all.len() - 1)?;
        over(&mut under, whole);
        whole = under;
    }
    let plan = texts.plan(whole.clone())?;
    let mut grid: Vec<(String, Table)> = vec![(String::new(), whole.clone())];
    for (path, values) in &plan.vary {
        let key = ["vary".to_string(), path.clone()];
        let values = values.as_array().ok_or_else(|| texts.wrong(&key, "must be a list of values"))?;
        if values.is_empty() {
            return Err(texts.wrong(&key, "the list is empty, so there is nothing to play"));
        }
        let mut next = Vec::new();
        for (label, table) in &grid {
            for value in values {
                let mut table = table.clone();
                set(&mut table, path, value).map_err(|reason| texts.wrong(&key, &reason))?;
                let own = format!("{path}={}", shown(value));
                next.push((if label.is_empty() { own } else { format!("{label} {own}") }, table));
            }
        }
        grid = next;
    }
    let mut cells = Vec::new();
    for (label, table) in grid {
        let point = texts.plan(table).map_err(|wrong| {
            let key = ["vary".to_string()];
            if label.is_empty() {
                wrong
            } else {
                texts.wrong(&key, &format!("{label}: {}: {}", wrong.key, wrong.reason))
            }
        })?;
        for seed in &plan.seeds {
            cells.push(Cell { label: label.clone(), seed: *seed, plan: point.clone() });
        }
    }
    let mut against = Vec::new();
    for (path, value) in &plan.against {
        let known =
            plan.vary.get(path).and_then(Value::as_array).is_some_and(|values| values.contains(value));
        if !known {
            let key = ["against".to_string(), path.clone()];
            return Err(texts.wrong(&key, "is no value that vary gives this key"));
        }
        against.push(format!("{path}={}", shown(value)));
    }
    let against = (!against.is_empty()).then(|| against.join(" "));
    Ok(Experiment { plan, cells, against, texts })
}

/// Reads and checks an experiment file.
pub fn load(path: &Path) -> Result<Experiment, Wrong> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| Wrong {
        file: file.clone(),
        line: 1,
        key: "file".to_string(),
        reason: error.to_string(),
    })?;
    read(&file, &text)
}
