//! SIGHUP: what may change while the node runs, taken whole or not at all.

use crate::interfaces::Event;
use crate::net::discovery::Post;
use crate::process::{operator_file, settings};
use crate::say;
use crossbeam_channel::Sender;
use std::path::PathBuf;
use stileroute_route_limits::Ground;

/// Takes from the new configuration what may change while the node runs. A faulty one changes nothing.
/// Both files are read before either is taken: the one must not go on under half of what was meant.
pub fn turn(desk: &Sender<Event>, post: &Post, operator: Option<&(PathBuf, Ground)>) {
    let start = settings::again(|name| std::env::var(name).ok());
    let routes = match operator.map(|(path, ground)| operator_file::read(path, ground)) {
        Some(Err(faults)) => {
            operator_file::told(&faults).iter().for_each(|line| say!("operators' file not taken: {line}"));
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
