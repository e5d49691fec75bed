//! What is wrong with a text, all of it at once.

use std::fmt::{self, Display, Formatter};

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The file, or `configuration`.
    pub file: String,
    /// Where in it, as `routes[3].timeout_ms`; empty where the text as a whole is meant.
    pub key: String,
    pub reason: String,
}

/// Why a text is refused. Never empty; the last one counts those that were left out.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults(pub Vec<Fault>);

impl Display for Fault {
    /// One line, with `all` for the key of the whole text. What was sent may hold line ends, with which it
    /// would write lines of its own into the log.
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let key = if self.key.is_empty() { "all" } else { &self.key };
        let line = format!("{}: {key}: {}", self.file, self.reason);
        line.chars().try_for_each(|c| match c.is_control() {
            true => write!(f, "{}", c.escape_default()),
            false => write!(f, "{c}"),
        })
    }
}

impl Display for Faults {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            write!(f, "{}{fault}", if at > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for Fault {}
impl std::error::Error for Faults {}

impl miette::Diagnostic for Faults {
    fn code<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        Some(Box::new("charter::refused"))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        Some(Box::new("nothing of it is in force; mend every line and hand it in again"))
    }
}
