//! The entry point at which a command finds the running system, and the format of its output.

use super::error::CommandError;
use super::output::OutputFormat;
use crate::links;
use crate::protocol::NodeRole;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use stileroute_config::NodeSettings;

/// The environment variable that names the settings file if no option does.
const SETTINGS_VARIABLE: &str = "STILEROUTE_BOOT";

/// The settings file that the environment variable `STILEROUTE_BOOT` names.
pub fn settings_file_of_environment() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)
}

/// The entry point at which a command starts to discover the running system, and the format of its output.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The entry point of the discovery.
    pub entry: EntryPoint<'a>,
    /// The format in which the result is printed.
    pub format: OutputFormat,
}

/// The entry point for the discovery of the running system.
#[derive(Clone, Copy, Debug)]
pub struct EntryPoint<'a> {
    /// The value of `--at`: the internal address of a process, or the path of a settings file.
    pub at: Option<&'a str>,
    /// The settings file that `--boot` names.
    pub settings: Option<&'a Path>,
}

/// Selects the processes whose addresses are taken from a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsScope {
    /// The processes of the machine that the settings file describes.
    Machine,
    /// The processes of the machine that the settings file describes, and the seed nodes.
    MachineAndSeeds,
}

impl EntryPoint<'_> {
    /// Internal addresses at which the discovery starts; some of them may have no process.
    ///
    /// # Errors
    ///
    /// If no settings file is named, or the named file can't be used.
    pub fn addresses(&self, scope: SettingsScope) -> Result<Vec<SocketAddrV4>, CommandError> {
        if let Some(address) = self.at.and_then(|at| at.parse().ok()) {
            return Ok(vec![address]);
        }
        let file = self.at.map(PathBuf::from).or_else(|| self.settings.map(Path::to_path_buf));
        let file = file.or_else(settings_file_of_environment);
        let file = file.ok_or(CommandError::NoSettingsFile { option: "--at" })?;
        let node_settings = NodeSettings::read(&file).map_err(CommandError::Settings)?;
        let ports = (node_settings.internal_ports.first, node_settings.internal_ports.last);
        let address = |ip, class| links::listen_address(ports, ip, class);
        let classes = [NodeRole::Edge, NodeRole::Store, NodeRole::Control];
        let mut addresses = classes.map(|class| address(node_settings.ip, class)).to_vec();
        if scope == SettingsScope::MachineAndSeeds {
            addresses.extend(node_settings.seeds.iter().map(|seed| address(*seed.ip(), NodeRole::Control)));
        }
        Ok(addresses)
    }
}
