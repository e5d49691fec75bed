//! Where things are in a file.

use std::fmt;
use std::ops::Deref;

/// The key of faults that concern the file as a whole.
pub(crate) const WHOLE_FILE: &str = "file";

/// A position in a file, and the key there.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line, from 1 on.
    pub line: usize,
    /// The column in bytes, from 1 on.
    pub column: usize,
    /// The path of the key, as `route[2].wait`; `file` for the file as a whole.
    pub key: String,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, {}", self.line, self.key)
    }
}

/// A value and where it comes from. It dereferences to the value.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The position of its key, or of itself in a list.
    pub position: Position,
}

impl<T> Deref for Located<T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.value
    }
}
