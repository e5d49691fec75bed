//! The error of a refused text: all its faults, each with file, key and reason.

use crate::reason::FaultReason;
use std::fmt::{self, Display, Formatter};

/// One thing that is wrong in a text.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsFault {
    /// The file, or `configuration` for one that was sent.
    pub file: String,
    /// Where in it, as `routes[3].timeout_ms`; empty if the text as a whole is meant.
    pub key: String,
    /// What is wrong there.
    pub reason: FaultReason,
}

/// Why a text is refused: all that is wrong with it, one line each when printed.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// The faults in the order in which they were found; never empty. If there were too many, the last one says how many were
    /// left out.
    pub faults: Vec<SettingsFault>,
}

impl Display for SettingsFault {
    /// One line, with `all` for the key of the whole text. Control characters are escaped: with the line ends in what was sent,
    /// a client could forge lines of the log.
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let key = if self.key.is_empty() { "all" } else { &self.key };
        let line = format!("{}: {key}: {}", self.file, self.reason);
        line.chars().try_for_each(|c| match c.is_control() {
            true => write!(f, "{}", c.escape_default()),
            false => write!(f, "{c}"),
        })
    }
}

impl Display for ConfigError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsFault {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.reason)
    }
}

impl std::error::Error for ConfigError {}

impl miette::Diagnostic for ConfigError {
    fn code<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        Some(Box::new("charter::refused"))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        Some(Box::new("nothing of it is in force; mend every line and hand it in again"))
    }
}
