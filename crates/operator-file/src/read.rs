//! Reads a complete file.

use crate::fault::{Fault, FaultLog};
use crate::position::{Position, WHOLE_FILE};
use crate::section::Section;
use std::path::Path;
use toml::de::DeTable;

/// Reads the text of a file. `read_sections` gets the outermost table, reads the keys that it knows, and returns the value that
/// they make; or `None` if a key is missing or wrong, which it must have reported as a fault.
///
/// # Errors
///
/// All faults, in the order of the file, if there are any.
pub fn read<T>(
    file: &str,
    text: &str,
    read_sections: impl FnOnce(&Section) -> Option<T>,
) -> Result<T, Vec<Fault>> {
    let log = FaultLog::new(file, text);
    let table = match DeTable::parse(text) {
        Ok(table) => table,
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            log.add(log.position(offset, WHOLE_FILE), error.message(), None);
            return Err(log.faults());
        }
    };
    let root = Section::root(log.clone(), table.get_ref());
    let value = read_sections(&root);
    root.finish();
    let faults = log.faults();
    match value {
        Some(value) if faults.is_empty() => Ok(value),
        _ => Err(faults),
    }
}

/// Loads the text of a file from disk.
///
/// # Errors
///
/// A single fault, with the reason why the file cannot be read.
pub fn load(path: &Path) -> Result<String, Vec<Fault>> {
    std::fs::read_to_string(path).map_err(|error| {
        let position = Position { line: 1, column: 1, key: WHOLE_FILE.to_string() };
        let file = path.display().to_string();
        vec![Fault { file, position, reason: error.to_string(), rule: None }]
    })
}
