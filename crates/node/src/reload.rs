//! SIGHUP: reloads the part of the configuration that may change at run time, completely or not at all.

use crate::interfaces::Event;
use crate::log_info;
use crate::net::discovery::DiscoveryAddress;
use crate::process::{operator_file, settings};
use crossbeam_channel::Sender;
use std::path::PathBuf;
use stileroute_route_limits::PlatformSettings;

/// Applies what may change while the node runs. An invalid configuration changes nothing. Both files are read
/// before either is applied, so that a fault in one does not leave a partial change in effect.
pub fn apply(
    dispatch_loop: &Sender<Event>,
    discovery_address: &DiscoveryAddress,
    operator: Option<&(PathBuf, PlatformSettings)>,
) {
    let settings = settings::reload(|name| std::env::var(name).ok());
    let routes = match operator.map(|(path, ground)| operator_file::read(path, ground)) {
        Some(Err(faults)) => {
            operator_file::fault_lines(&faults)
                .iter()
                .for_each(|line| log_info!("operators' file not taken: {line}"));
            return;
        }
        Some(Ok(operator)) => Some(operator.routes),
        None => None,
    };
    match settings {
        Ok(settings) => {
            if let Some(routes) = routes {
                log_info!("operators' file read again: {} rules", routes.rules.len());
                let _ = dispatch_loop.send(Event::Routes(routes));
            }
            log_info!(
                "configuration read again: discovery {}, before {}",
                settings.discovery,
                discovery_address.address()
            );
            discovery_address.change_address(settings.discovery);
        }
        Err(problem) => log_info!("configuration not taken: {problem}"),
    }
}
