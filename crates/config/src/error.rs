//! The error of a rejected text: all its faults, each with file, key and reason.

use crate::reason::FaultReason;
use std::fmt::{self, Display, Formatter};

/// One fault in a settings file or configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsFault {
    /// Name of the file, or `configuration` for a configuration that was sent in a request.
    pub file: String,
    /// Path of the faulty key in the text, such as `routes[3].timeout_ms`; empty if the fault concerns the whole text.
    pub key: String,
    /// Reason for which the value or the text is rejected.
    pub reason: FaultReason,
}

/// Error of a rejected text: all its faults, printed with one line for each.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// The faults in the order in which they were found; never empty. If there were too many, the last one says how many were
    /// left out.
    pub faults: Vec<SettingsFault>,
}

impl Display for SettingsFault {
    /// Formats a fault as one line, with `all` in place of the key if the fault concerns the whole text. Control characters are
    /// escaped: with line ends in the text that it sends, a client could forge lines of the log.
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
