//! The faults found in a file, and the log that collects them.

use crate::position::Position;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// One of the four safety rules of the system that a setting may break. Operators see its number in the messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SafetyRule {
    /// No request is lost.
    NoRequestLost = 1,
    /// No request takes effect twice.
    NoDuplicateEffect = 2,
    /// Draining executors get no new requests.
    NoNewWorkWhileDraining = 3,
    /// Executors that are warming up are not overloaded.
    NoOverloadWhileWarmingUp = 4,
}

/// A fault in a file; printed as `file:line:column: key: reason [rule 2]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The name of the file.
    pub file: String,
    /// The position of the fault in the file.
    pub position: Position,
    /// What is wrong with the value or key, in one line.
    pub reason: String,
    /// The safety rule that the setting would break, if that is the reason.
    pub rule: Option<SafetyRule>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column, key } = &self.position;
        write!(f, "{}:{line}:{column}: {key}: {}", self.file, self.reason)?;
        match self.rule {
            Some(rule) => write!(f, " [rule {}]", rule as u8),
            None => Ok(()),
        }
    }
}

impl std::error::Error for Fault {}

/// Collects the faults of one file while it is read.
#[derive(Debug)]
pub struct FaultLog {
    file: String,
    /// The offset in bytes at which each line begins.
    line_offsets: Vec<usize>,
    faults: RefCell<BTreeSet<Fault>>,
}

impl FaultLog {
    /// An empty log for a file with this name and text.
    pub fn new(file: &str, text: &str) -> Rc<FaultLog> {
        let line_ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_offsets = std::iter::once(0).chain(line_ends.map(|(offset, _)| offset + 1)).collect();
        Rc::new(FaultLog { file: file.to_string(), line_offsets, faults: RefCell::default() })
    }

    /// The position of a key, by its offset in bytes.
    pub fn position(&self, offset: usize, key: &str) -> Position {
        let line = self.line_offsets.partition_point(|line_start| *line_start <= offset).max(1);
        let column = offset - self.line_offsets[line - 1] + 1;
        Position { line, column, key: key.to_string() }
    }

    /// The offset in bytes of a position.
    pub(crate) fn offset(&self, position: &Position) -> usize {
        self.line_offsets[position.line - 1] + position.column - 1
    }

    /// Adds a fault, unless the log has it already. A reason of several lines is joined into one.
    pub fn add(&self, position: Position, reason: impl Into<String>, rule: Option<SafetyRule>) {
        let reason = reason.into().lines().collect::<Vec<_>>().join(" ");
        self.faults.borrow_mut().insert(Fault { file: self.file.clone(), position, reason, rule });
    }

    /// All faults, by their position in the file.
    pub fn faults(&self) -> Vec<Fault> {
        self.faults.borrow().iter().cloned().collect()
    }
}
