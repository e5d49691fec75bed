//! The output of commands, and the exit statuses of the program (listed in a table in `docs/server.md`).

use std::io::Write;
use std::process::ExitCode;

/// The format in which a command prints its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable lines.
    Text,
    /// A single JSON value.
    Json,
}

impl OutputFormat {
    /// The output format that the flag `--json` selects.
    pub fn from_json_flag(is_set: bool) -> OutputFormat {
        if is_set {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        }
    }
}

/// Exit statuses of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded and found no fault, or the process shut down gracefully.
    Success = 0,
    /// A role could not start or had to stop, no process answered, or a disk is damaged.
    Failure = 1,
    /// Settings, arguments or files are unusable; nothing has been started or changed.
    Unusable = 2,
    /// A different configuration is in force, a command was rejected, or the retirement of a store is not complete.
    Differs = 3,
    /// No control node gave a definite answer in time, so that the command may or may not have been executed.
    OutcomeUnknown = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Prints text to standard output. A pipe that its reader has closed is not an error.
pub fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}
