//! What commands print, and the exit statuses of the program (a table in `docs/server.md`).

use std::io::Write;
use std::process::ExitCode;

/// How a command prints its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Lines for a reader.
    Text,
    /// One JSON value.
    Json,
}

impl OutputFormat {
    /// The format that the flag `--json` asks for.
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
    /// The command found all well, or the process ended in order.
    Success = 0,
    /// A role could not start or go on, nobody answered, or a disk is damaged.
    Failure = 1,
    /// Settings, arguments or files that can't be used; nothing has been started or changed.
    Unusable = 2,
    /// Another content is in force, an order was rejected, or a retirement is not complete.
    Differs = 3,
    /// No control node gave a clear answer in time: the order may have been carried out or not.
    Unclear = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Prints to standard output. A reader that has closed its end is no error.
pub fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}
