//! Where a command finds the running system, and how it prints what it finds.

use super::error::CommandError;
use super::output::OutputFormat;
use crate::links;
use crate::protocol::NodeRole;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use stileroute_config::NodeSettings;

/// Names the settings file where no option does.
const SETTINGS_VARIABLE: &str = "STILEROUTE_BOOT";

/// The settings file that the environment names.
pub fn settings_file_of_environment() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)
}

/// Where a command begins to look for the running system, and how it prints what it finds.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Where to begin.
    pub entry: EntryPoint<'a>,
    /// How the result is printed.
    pub format: OutputFormat,
}

/// Where a search for the running system begins.
#[derive(Clone, Copy, Debug)]
pub struct EntryPoint<'a> {
    /// What `--at` says: the internal address of a process, or a settings file.
    pub at: Option<&'a str>,
    /// The settings file that `--boot` names.
    pub settings: Option<&'a Path>,
}

/// Which processes a settings file leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsScope {
    /// Those of its own machine.
    Machine,
    /// Those of its own machine, and the seeds.
    MachineAndSeeds,
}

impl EntryPoint<'_> {
    /// Internal addresses at which the search begins; at some of them there may be no process.
    ///
    /// # Errors
    ///
    /// Where no settings file is named, or the one that is can't be used.
    pub fn addresses(&self, scope: SettingsScope) -> Result<Vec<SocketAddrV4>, CommandError> {
        if let Some(address) = self.at.and_then(|at| at.parse().ok()) {
            return Ok(vec![address]);
        }
        let file = self.at.map(PathBuf::from).or_else(|| self.settings.map(Path::to_path_buf));
        let file = file.or_else(settings_file_of_environment);
        let file = file.ok_or(CommandError::NoSettingsFile { option: "--at" })?;
        let boot = NodeSettings::read(&file).map_err(CommandError::Settings)?;
        let ports = (boot.internal_ports.first, boot.internal_ports.last);
        let address = |ip, class| links::listen_address(ports, ip, class);
        let classes = [NodeRole::Edge, NodeRole::Store, NodeRole::Control];
        let mut addresses = classes.map(|class| address(boot.ip, class)).to_vec();
        if scope == SettingsScope::MachineAndSeeds {
            addresses.extend(boot.seeds.iter().map(|seed| address(*seed.ip(), NodeRole::Control)));
        }
        Ok(addresses)
    }
}
