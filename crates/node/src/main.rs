//! `stileroute`: a dispatcher node on sockets. This file connects the modules.

mod dispatch_loop;
mod interfaces;
mod net;
mod process;
mod reload;
mod state;
#[cfg(test)]
mod tests;
mod wire;

use clap::Parser;
use crossbeam_channel::{bounded, Sender};
use dispatch_loop::{AdminHandle, DispatchLoop};
use interfaces::{Event, PeerTransport};
use net::admin::{AdminContext, AdminServer, OperatorsAddressError};
use net::clients::Clients;
use net::discovery::DiscoveryAddress;
use net::executors::Executors;
use net::http_transport::HttpTransport;
use net::listener::{self, ListenError};
use net::membership::{Instance, MembersError, MembershipThread};
use net::peers::{Peers, PeersError};
use process::cli::{Arguments, Command};
use process::members_section::MembersSettings;
use process::operator_file::OperatorSettings;
use process::settings::NodeSettings;
use process::settings::StartError;
use process::signals::SignalsError;
use process::{operator_file, settings, signals, spawn};
use state::buffer_pool::Pool;
use state::client_slots::ClientSlots;
use state::disabled_executors::DisabledExecutors;
use state::metrics::Metrics;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, RwLock};
use stileroute_dispatch::types::name_hash;
use stileroute_route_limits::PlatformSettings;
use thiserror::Error;

/// Number of events that may wait for the dispatch loop; beyond it senders block.
const EVENT_QUEUE_LENGTH: usize = 1024;
/// Number of admin commands that may wait.
const COMMAND_QUEUE_LENGTH: usize = 8;

/// Why the node has ended: one line for the log.
#[derive(Debug, Error)]
enum RunError {
    #[error(transparent)]
    NodeSettings(#[from] StartError),
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The faults in the operators' file, one per line.
    #[error("{}", .0.join("\nstileroute: "))]
    OperatorFile(Vec<String>),
    #[error("threads: {0}")]
    Thread(io::Error),
    #[error("listen: {0}")]
    NoAddress(io::Error),
    #[error(transparent)]
    Signals(#[from] SignalsError),
    #[error(transparent)]
    Members(#[from] MembersError),
    #[error(transparent)]
    Peers(#[from] PeersError),
    #[error(transparent)]
    OperatorsAddress(#[from] OperatorsAddressError),
}

/// The operators' file, and the settings it was checked against.
struct OperatorFile {
    path: PathBuf,
    route_context: PlatformSettings,
    content: OperatorSettings,
}

impl OperatorFile {
    fn read(path: &Path, settings: &NodeSettings) -> Result<OperatorFile, RunError> {
        let route_context = settings.route_context();
        let content = operator_file::read(path, &route_context)
            .map_err(|faults| RunError::OperatorFile(operator_file::fault_lines(&faults)))?;
        Ok(OperatorFile { path: path.to_path_buf(), route_context, content })
    }
}

/// Starts the membership protocol.
fn open_members(
    address: &MembersSettings,
    settings: &NodeSettings,
    dispatch_loop: Sender<Event>,
) -> Result<MembershipThread, MembersError> {
    let terms = &settings.tariff.terms;
    let handle = Instance {
        id: name_hash(&settings.name),
        domain: terms.domain as u8,
        nodes: terms.nodes,
        seed: settings.seed,
    };
    MembershipThread::open(address, handle, dispatch_loop)
}

/// Starts the exchange of messages with the other nodes.
fn open_peers(
    nodes: &[SocketAddr],
    settings: &NodeSettings,
    dispatch_loop: Sender<Event>,
) -> Result<Box<dyn PeerTransport>, RunError> {
    let peers = Peers::open(settings.tariff.terms.me, nodes)?;
    let receive = peers.receiver()?;
    spawn("peers", move || receive(dispatch_loop)).map_err(RunError::Thread)?;
    Ok(Box::new(peers))
}

fn run(arguments: &Arguments) -> Result<(), RunError> {
    let settings = settings::read(|name| std::env::var(name).ok())?;
    // Taken over before anything else is opened, which could otherwise get the number of a descriptor that was
    // not inherited.
    let inherited = settings.inherited_descriptor.map(listener::inherited).transpose()?;
    let mut operator =
        arguments.operator.as_deref().map(|path| OperatorFile::read(path, &settings)).transpose()?;
    let json = operator.as_ref().is_some_and(|file| file.content.json);
    let routes = operator.as_ref().map(|file| file.content.routes.clone());
    let members_settings = operator.as_mut().and_then(|file| file.content.members.take());
    let budget = settings.budget;
    process::log::open(json).map_err(RunError::Thread)?;
    let (event_tx, events) = bounded::<Event>(EVENT_QUEUE_LENGTH);
    let (refresh_tx, refresh_rx) = bounded(1);
    let metrics = settings.admin_address.map(|_| Metrics::new(&settings.categories));
    let executors = Arc::new(Executors {
        dispatch_loop: event_tx.clone(),
        pool: Pool::new(budget.executors),
        gauges: Arc::new(settings.gauges.clone()),
        metrics: metrics.clone(),
        connect_timeout: settings.connect_timeout,
    });
    let clients = Arc::new(Clients {
        dispatch_loop: event_tx.clone(),
        pool: Pool::new(budget.clients + budget.executors / 4),
        request_rules: settings.request_rules.clone(),
        budget,
        client_slots: ClientSlots::default(),
        ids: Arc::default(),
        ready: AtomicBool::new(false),
        shared: settings.inherited_descriptor.is_some(),
        shutting_down: AtomicBool::new(false),
        has_sibling: AtomicBool::new(false),
        closing_connections: AtomicBool::new(false),
        next_number: AtomicU64::new(1),
        metrics: metrics.clone(),
        routed_headers: routes.as_ref().map(|routes| RwLock::new(Arc::new(routes.headers.clone()))),
    });
    let transport = HttpTransport::new(executors, budget.executors, settings.idle_timeout);
    let discovery = DiscoveryAddress::new(settings.discovery, refresh_tx.clone());
    let operator = operator.map(|file| (file.path, file.route_context));
    let (reload_tx, reload_address) = (event_tx.clone(), discovery.clone());
    signals::watch(event_tx.clone(), move || reload::apply(&reload_tx, &reload_address, operator.as_ref()))?;
    let listener = inherited.map_or_else(|| listener::open(settings.listen), Ok)?;
    let address = listener.local_addr().map_err(RunError::NoAddress)?;
    let thread = RunError::Thread;
    let peer_tx = event_tx.clone();
    let members =
        members_settings.map(|section| open_members(&section, &settings, event_tx.clone())).transpose()?;
    let discovery_tx = event_tx;
    let known = settings.known.index;
    spawn("discovery", move || net::discovery::run(&discovery, known, refresh_rx, discovery_tx))
        .map_err(thread)?;
    let nodes = settings.peers.as_deref();
    let peers = nodes.map(|nodes| open_peers(nodes, &settings, peer_tx)).transpose()?;
    let (mut context, mut learned_text) = (None, None);
    let admin = metrics.map(|metrics| {
        let ((command_tx, commands), (learned_tx, learned_rx)) = (bounded(COMMAND_QUEUE_LENGTH), bounded(1));
        let disabled_executors =
            DisabledExecutors::join(settings.state_dir.as_deref(), name_hash(&settings.name));
        // Saving learned state is useful only if a successor process can take over.
        let learned_tx = settings.inherited_descriptor.map(|_| learned_tx);
        learned_text = learned_tx.as_ref().and_then(|_| disabled_executors.load_learned_state());
        let handle = AdminHandle {
            commands,
            metrics: metrics.clone(),
            disabled_set: disabled_executors.state(),
            learned_tx,
        };
        let members = members.as_ref().map(|members| members.report.clone());
        context = Some(AdminContext {
            metrics,
            clients: clients.clone(),
            commands: command_tx,
            disabled_executors,
            learned_rx,
            members,
        });
        handle
    });
    let mut dispatch_loop =
        DispatchLoop::new(&settings, Box::new(transport), clients.clone(), refresh_tx, routes, peers, admin);
    let admin_address = match (settings.admin_address, context) {
        (Some(address), Some(context)) => Some(AdminServer::new(context).open(address)?),
        _ => None,
    };
    spawn("listener", move || listener::run(listener, clients)).map_err(thread)?;
    log_info!("{} serves at {address}: {budget:?}", settings.name);
    if let Some(address) = admin_address {
        log_info!("operators call at {address}");
    }
    if let Some(learned_text) = learned_text.and_then(|text| serde_json::from_str(&text).ok()) {
        dispatch_loop.restore(learned_text);
    }
    if let Some(members) = &members {
        log_info!("members: heard at {}", members.address);
    }
    dispatch_loop.run(&events);
    if let Some(members) = members {
        members.leave();
    }
    log_info!("{} ended", settings.name);
    Ok(())
}

fn main() {
    let arguments = Arguments::parse();
    if arguments.command.as_ref().is_some_and(|command| !matches!(command, Command::Serve)) {
        match arguments.run() {
            Ok(lines) => {
                // The reader of standard output may have closed the pipe.
                let mut out = std::io::stdout().lock();
                let _ = lines.iter().try_for_each(|line| writeln!(out, "{line}"));
            }
            Err(lines) => {
                lines.iter().for_each(|line| process::log::write(format_args!("stileroute: {line}")));
                std::process::exit(2);
            }
        }
        return;
    }
    let result = run(&arguments);
    if let Err(error) = &result {
        process::log::write(format_args!("stileroute: {error}"));
    }
    process::log::close();
    if result.is_err() {
        std::process::exit(2);
    }
}
