//! The signals: to end, and to read the configuration again.

use crate::desk::Event;
use crate::drive::directory::Post;
use crate::life::{operator, start};
use crate::say;
use crossbeam_channel::Sender;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;
use std::sync::Arc;
use stileroute_routes::Ground;

/// Tells the desk of the first signal to end, and of each further one. SIGHUP must be caught from the first
/// moment: left alone, it ends the process with all that it holds.
pub fn watch(
    desk: Sender<Event>,
    post: Arc<Post>,
    operator: Option<(PathBuf, Ground)>,
) -> Result<(), String> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|error| format!("signals: {error}"))?;
    let run = move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                turn(&desk, &post, operator.as_ref());
            } else if desk.send(Event::End).is_err() {
                return;
            }
        }
    };
    super::spawn("signals", run).map(|_| ()).map_err(|error| format!("signals: {error}"))
}

/// Takes from the new configuration what may change while the node runs. A faulty one changes nothing.
/// Both files are read before either is taken: the one must not go on under half of what was meant.
fn turn(desk: &Sender<Event>, post: &Post, operator: Option<&(PathBuf, Ground)>) {
    let start = start::again(|name| std::env::var(name).ok());
    let routes = match operator.map(|(path, ground)| operator::read(path, ground)) {
        Some(Err(faults)) => {
            operator::told(&faults).iter().for_each(|line| say!("operators' file not taken: {line}"));
            return;
        }
        Some(Ok(operator)) => Some(operator.routes),
        None => None,
    };
    match start {
        Ok(start) => {
            if let Some(routes) = routes {
                say!("operators' file read again: {} rules", routes.rules.len());
                let _ = desk.send(Event::Routes(routes));
            }
            say!("configuration read again: discovery {}, before {}", start.discovery, post.at());
            post.turn(start.discovery);
        }
        Err(problem) => say!("configuration not taken: {problem}"),
    }
}
