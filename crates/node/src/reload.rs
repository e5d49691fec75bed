//! SIGHUP: what may change while the node runs, taken whole or not at all.

use crate::drive::directory::Post;
use crate::life::{operator, start};
use crate::port::Event;
use crate::say;
use crossbeam_channel::Sender;
use std::path::PathBuf;
use stileroute_route_limits::PlatformSettings;

/// Takes from the new configuration what may change while the node runs. A faulty one changes nothing.
/// Both files are read before either is taken: the one must not go on under half of what was meant.
pub fn turn(desk: &Sender<Event>, post: &Post, operator: Option<&(PathBuf, PlatformSettings)>) {
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
