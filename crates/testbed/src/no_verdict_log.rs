//! A list of the plays that had no verdict, in the file that `NO_VERDICT_LOG` names: a test that passes says nothing of them, and CI
//! prints the list at its end.

use std::fs::OpenOptions;
use std::io::Write;

/// The variable that names the file. Without it nothing is listed.
pub const VARIABLE: &str = "NO_VERDICT_LOG";

/// Lists a play that had no verdict and is played again.
pub fn list_played_again(play: &str, reason: &str) {
    let Some(path) = std::env::var_os(VARIABLE) else { return };
    let line = format!("PLAYED AGAIN {play}: {reason}").replace('\n', " ");
    let appended = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&path)
        .and_then(|mut file| writeln!(file, "{line}"));
    if let Err(error) = appended {
        eprintln!("{}: {error}", path.to_string_lossy());
    }
}
