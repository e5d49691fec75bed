//! The faults of a file, and the log that collects them.

use crate::position::Position;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// One of the four rules of the system that a setting would break. The number is what operators see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No request is lost.
    NoOpLost = 1,
    /// No request takes effect twice.
    NoEffectTwice = 2,
    /// Executors that drain are given nothing new.
    DrainsKept = 3,
    /// Executors that warm up are not overloaded.
    ColdNotPushedOver = 4,
}

/// What is wrong with a file; printed as `file:line:column: key: reason [rule 2]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The name of the file.
    pub file: String,
    /// Where in it.
    pub position: Position,
    /// What is wrong, in one line.
    pub reason: String,
    /// The rule that the setting would break, if that is the reason.
    pub rule: Option<Rule>,
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
    /// An empty log for a file of this name and text.
    pub fn new(file: &str, text: &str) -> Rc<FaultLog> {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_offsets = std::iter::once(0).chain(ends.map(|(offset, _)| offset + 1)).collect();
        Rc::new(FaultLog { file: file.to_string(), line_offsets, faults: RefCell::default() })
    }

    /// The position of a key at an offset in bytes.
    pub fn position(&self, offset: usize, key: &str) -> Position {
        let line = self.line_offsets.partition_point(|begin| *begin <= offset).max(1);
        let column = offset - self.line_offsets[line - 1] + 1;
        Position { line, column, key: key.to_string() }
    }

    /// The offset in bytes of a position.
    pub(crate) fn offset(&self, position: &Position) -> usize {
        self.line_offsets[position.line - 1] + position.column - 1
    }

    /// Adds a fault. One that is there already is not added again; several lines of a reason are joined.
    pub fn add(&self, position: Position, reason: impl Into<String>, rule: Option<Rule>) {
        let reason = reason.into().lines().collect::<Vec<_>>().join(" ");
        self.faults.borrow_mut().insert(Fault { file: self.file.clone(), position, reason, rule });
    }

    /// All faults in the order of the file.
    pub fn faults(&self) -> Vec<Fault> {
        self.faults.borrow().iter().cloned().collect()
    }
}
