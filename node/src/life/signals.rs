//! The signals: to end, and to read the configuration again.

use crate::desk::Event;
use crate::drive::directory::Post;
use crate::life::start;
use crate::say;
use crossbeam_channel::Sender;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::Arc;

/// Tells the desk of the first signal to end, and of each further one. SIGHUP must be caught from the first
/// moment: left alone, it ends the process with all that it holds.
pub fn watch(desk: Sender<Event>, post: Arc<Post>) -> Result<(), String> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|error| format!("signals: {error}"))?;
    let run = move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                turn(&post);
            } else if desk.send(Event::End).is_err() {
                return;
            }
        }
    };
    super::spawn("signals", run).map(|_| ()).map_err(|error| format!("signals: {error}"))
}

/// Takes from the new configuration what may change while the node runs. A faulty one changes nothing.
fn turn(post: &Post) {
    match start::again(|name| std::env::var(name).ok()) {
        Ok(start) => {
            say!("configuration read again: discovery {}, before {}", start.discovery, post.at());
            post.turn(start.discovery);
        }
        Err(problem) => say!("configuration not taken: {problem}"),
    }
}
