//! `stileroute`: the decisions of the library as a node on sockets. The parts are put together here.

mod desk;
mod drive;
mod life;
mod port;
mod reload;
mod store;
#[cfg(test)]
mod tests;
mod wire;

use clap::Parser;
use crossbeam_channel::{bounded, Sender};
use desk::{Desk, Operators};
use drive::calls::{Calls, OperatorsAddressError, Reach};
use drive::clients::Clients;
use drive::directory::Post;
use drive::executors::Executors;
use drive::listener::{self, ListenError};
use drive::members::{Instance, MembersError, MembershipThread};
use drive::outlet::Http;
use drive::peers::{Peers, PeersError};
use life::members::MembersAt;
use life::operator::Operator;
use life::signals::SignalsError;
use life::start::Start;
use life::start::StartError;
use life::words::{Command, Words};
use life::{operator, signals, spawn, start};
use port::{Carrier, Event};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, RwLock};
use stileroute_dispatch::types::name_hash;
use stileroute_route_limits::Ground;
use store::figures::Figures;
use store::outs::Outs;
use store::pool::Pool;
use store::seats::Seats;
use thiserror::Error;

/// Events that may wait for the desk; who tells more has to wait.
const EVENTS: usize = 1024;
/// Orders of operators that may wait.
const ORDERS: usize = 8;

/// Why the node has ended: one line for the log.
#[derive(Debug, Error)]
enum RunError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The faults of the operators' file, each on a line of its own.
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

/// The operators' file, and what it was checked against.
struct OperatorFile {
    path: PathBuf,
    ground: Ground,
    content: Operator,
}

impl OperatorFile {
    fn read(path: &Path, start: &Start) -> Result<OperatorFile, RunError> {
        let ground = start.ground();
        let content = operator::read(path, &ground)
            .map_err(|faults| RunError::OperatorFile(operator::told(&faults)))?;
        Ok(OperatorFile { path: path.to_path_buf(), ground, content })
    }
}

/// Takes part in membership from here on.
fn open_members(
    at: &MembersAt,
    start: &Start,
    desk: Sender<Event>,
) -> Result<MembershipThread, MembersError> {
    let terms = &start.tariff.terms;
    let own = Instance {
        id: name_hash(&start.name),
        domain: terms.domain as u8,
        nodes: terms.nodes,
        seed: start.seed,
    };
    MembershipThread::open(at, own, desk)
}

/// Exchanges messages with the other nodes from here on.
fn open_peers(
    nodes: &[SocketAddr],
    start: &Start,
    desk: Sender<Event>,
) -> Result<Box<dyn Carrier>, RunError> {
    let peers = Peers::open(start.tariff.terms.me, nodes)?;
    let receive = peers.receiver()?;
    spawn("peers", move || receive(desk)).map_err(RunError::Thread)?;
    Ok(Box::new(peers))
}

fn run(words: &Words) -> Result<(), RunError> {
    let start = start::read(|name| std::env::var(name).ok())?;
    // Before anything else is opened, which might take the number of a descriptor that was not handed in.
    let inherited = start.inherited.map(listener::inherited).transpose()?;
    let mut operator = words.operator.as_deref().map(|path| OperatorFile::read(path, &start)).transpose()?;
    let json = operator.as_ref().is_some_and(|file| file.content.json);
    let routes = operator.as_ref().map(|file| file.content.routes.clone());
    let members_at = operator.as_mut().and_then(|file| file.content.members.take());
    let budget = start.budget;
    life::log::open(json).map_err(RunError::Thread)?;
    let (tell, events) = bounded::<Event>(EVENTS);
    let (ask, asked) = bounded(1);
    let figures = start.operators.map(|_| Figures::new(&start.categories));
    let executors = Arc::new(Executors {
        desk: tell.clone(),
        pool: Pool::new(budget.executors),
        gauges: Arc::new(start.gauges.clone()),
        figures: figures.clone(),
        dial: start.dial,
    });
    let clients = Arc::new(Clients {
        desk: tell.clone(),
        pool: Pool::new(budget.clients + budget.executors / 4),
        door: start.door.clone(),
        budget,
        seats: Seats::default(),
        ids: Arc::default(),
        ready: AtomicBool::new(false),
        shared: start.inherited.is_some(),
        leaving: AtomicBool::new(false),
        beside: AtomicBool::new(false),
        steer: AtomicBool::new(false),
        numbers: AtomicU64::new(1),
        figures: figures.clone(),
        wanted: routes.as_ref().map(|routes| RwLock::new(Arc::new(routes.headers.clone()))),
    });
    let outlet = Http::new(executors, budget.executors, start.keep_idle);
    let post = Post::new(start.discovery, ask.clone());
    let operator = operator.map(|file| (file.path, file.ground));
    let (told, turned) = (tell.clone(), post.clone());
    signals::watch(tell.clone(), move || reload::turn(&told, &turned, operator.as_ref()))?;
    let listener = inherited.map_or_else(|| listener::open(start.listen), Ok)?;
    let at = listener.local_addr().map_err(RunError::NoAddress)?;
    let thread = RunError::Thread;
    let told_by_peers = tell.clone();
    let members = members_at.map(|at| open_members(&at, &start, tell.clone())).transpose()?;
    let news = tell;
    let known = start.known.index;
    spawn("discovery", move || drive::directory::run(&post, known, asked, news)).map_err(thread)?;
    let nodes = start.peers.as_deref();
    let peers = nodes.map(|nodes| open_peers(nodes, &start, told_by_peers)).transpose()?;
    let (mut reach, mut kept) = (None, None);
    let operators = figures.map(|figures| {
        let ((order, orders), (learns, learned)) = (bounded(ORDERS), bounded(1));
        let outs = Outs::join(start.home.as_deref(), name_hash(&start.name));
        // Only where another process takes this one's place is it of use to keep what is learned.
        let learns = start.inherited.map(|_| learns);
        kept = learns.as_ref().and_then(|_| outs.kept());
        let own = Operators { orders, figures: figures.clone(), outs: outs.state(), learns };
        let members = members.as_ref().map(|members| members.report.clone());
        reach = Some(Reach { figures, clients: clients.clone(), desk: order, outs, learned, members });
        own
    });
    let mut desk = Desk::new(&start, Box::new(outlet), clients.clone(), ask, routes, peers, operators);
    let calls = match (start.operators, reach) {
        (Some(at), Some(reach)) => Some(Calls::new(reach).open(at)?),
        _ => None,
    };
    spawn("listener", move || listener::run(listener, clients)).map_err(thread)?;
    say!("{} serves at {at}: {budget:?}", start.name);
    if let Some(at) = calls {
        say!("operators call at {at}");
    }
    if let Some(kept) = kept.and_then(|text| serde_json::from_str(&text).ok()) {
        desk.recall(kept);
    }
    if let Some(members) = &members {
        say!("members: heard at {}", members.address);
    }
    desk.run(&events);
    if let Some(members) = members {
        members.leave();
    }
    say!("{} ended", start.name);
    Ok(())
}

fn main() {
    let words = Words::parse();
    if words.command.as_ref().is_some_and(|command| !matches!(command, Command::Serve)) {
        match words.answer() {
            Ok(lines) => {
                // Whoever reads them may have had enough.
                let mut out = std::io::stdout().lock();
                let _ = lines.iter().try_for_each(|line| writeln!(out, "{line}"));
            }
            Err(lines) => {
                lines.iter().for_each(|line| life::log::write(format_args!("stileroute: {line}")));
                std::process::exit(2);
            }
        }
        return;
    }
    let result = run(&words);
    if let Err(problem) = &result {
        life::log::write(format_args!("stileroute: {problem}"));
    }
    life::log::close();
    if result.is_err() {
        std::process::exit(2);
    }
}
