//! Collects the faults of one text while it is read, so that all are reported at once.

use crate::error::{ConfigError, SettingsFault};
use crate::reason::FaultReason;
use std::cell::RefCell;
use std::fmt::Display;

/// Maximum number of faults reported for one text. A small text can hold a million faults, whose lines would take more memory
/// than the rest of the process.
const MAX_REPORTED_FAULTS: usize = 64;

/// Collector of the faults of one text.
pub struct FaultCollector {
    file: String,
    collected: RefCell<Collected>,
}

#[derive(Default)]
struct Collected {
    faults: Vec<SettingsFault>,
    /// Number of faults found after the maximum number of reported faults was reached.
    omitted: usize,
}

impl FaultCollector {
    /// Creates a collector without faults; `file` is the file name in the faults that it collects.
    pub fn new(file: &str) -> FaultCollector {
        FaultCollector { file: file.to_string(), collected: RefCell::default() }
    }

    /// Records a fault at a key; an empty key means the text as a whole.
    pub fn add(&self, key: impl Display, reason: FaultReason) {
        let mut collected = self.collected.borrow_mut();
        if collected.faults.len() == MAX_REPORTED_FAULTS {
            collected.omitted += 1;
            return;
        }
        collected.faults.push(SettingsFault { file: self.file.clone(), key: key.to_string(), reason });
    }

    /// Returns the parsed value if no fault was recorded. This is the only way to get the value: values parsed alongside a fault
    /// may be placeholders.
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

    /// Returns the error of a text that cannot be parsed at all, which has a single fault.
    pub fn refuse(self, reason: FaultReason) -> ConfigError {
        self.add("", reason);
        ConfigError { faults: self.collected.into_inner().faults }
    }
}
