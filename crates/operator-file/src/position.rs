//! Positions of keys and values in a file.

use std::fmt;
use std::ops::Deref;

/// The key that is shown for faults of the file as a whole.
pub(crate) const WHOLE_FILE: &str = "file";

/// A position in a file, and the key there.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line number, starting at 1.
    pub line: usize,
    /// The column in bytes, starting at 1.
    pub column: usize,
    /// The path of the key, such as `route[2].wait`; `file` for the file as a whole.
    pub key: String,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, {}", self.line, self.key)
    }
}

/// A value with its position in the file. It dereferences to the value.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value that the file sets.
    pub value: T,
    /// The position of the value's key, or of the value itself in a list.
    pub position: Position,
}

impl<T> Deref for Located<T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.value
    }
}
