//! Collects the faults of one text while it is read, so that all are reported at once.

use crate::error::{ConfigError, SettingsFault};
use crate::reason::FaultReason;
use std::cell::RefCell;
use std::fmt::Display;

/// Faults that are reported. A small text can hold a million of them, and their lines would outweigh the process.
const MAX_REPORTED_FAULTS: usize = 64;

/// The faults of one text.
pub struct FaultCollector {
    file: String,
    collected: RefCell<Collected>,
}

#[derive(Default)]
struct Collected {
    faults: Vec<SettingsFault>,
    /// How many came after the last that is reported.
    omitted: usize,
}

impl FaultCollector {
    /// No faults yet; `file` is what they will name.
    pub fn new(file: &str) -> FaultCollector {
        FaultCollector { file: file.to_string(), collected: RefCell::default() }
    }

    /// Notes a fault at a key; an empty key means the text as a whole.
    pub fn add(&self, key: impl Display, reason: FaultReason) {
        let mut collected = self.collected.borrow_mut();
        if collected.faults.len() == MAX_REPORTED_FAULTS {
            collected.omitted += 1;
            return;
        }
        collected.faults.push(SettingsFault { file: self.file.clone(), key: key.to_string(), reason });
    }

    /// Gives out what was read, if nothing is wrong with it. The only way to get at it: values that were read beside a fault may
    /// be placeholders.
    pub fn finish<T>(self, value: T) -> Result<T, ConfigError> {
        let Collected { mut faults, omitted } = self.collected.into_inner();
        if omitted > 0 {
            let reason = FaultReason::MoreFaults { count: omitted };
            faults.push(SettingsFault { file: self.file, key: String::new(), reason });
        }
        if faults.is_empty() {
            Ok(value)
        } else {
            Err(ConfigError { faults })
        }
    }

    /// The error of a text of which nothing can be read.
    pub fn refuse(self, reason: FaultReason) -> ConfigError {
        self.add("", reason);
        ConfigError { faults: self.collected.into_inner().faults }
    }
}
