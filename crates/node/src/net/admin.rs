//! The operators' address: one call to a connection, answered whatever the clients do.

use super::clients::Clients;
use super::listener;
use super::membership_report::MembershipReport;
use crate::interfaces::AdminCommand;
use crate::log_info;
use crate::process::budget::{MAX_ADMIN_CLIENTS, MAX_CLOSING_ADMIN_CLIENTS};
use crate::process::spawn;
use crate::state::disabled_executors::{is_name, DisabledExecutors, DisabledSet, POLL_INTERVAL};
use crate::state::metrics::Metrics;
use crate::wire::admin_request::{answer, AdminRequest, RequestParser};
use crossbeam_channel::{bounded, Receiver, Sender};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use stileroute_dispatch::state::Memory;
use thiserror::Error;

/// How long one may take to send a call, or to take its answer in.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// In how many looks to look once whether another process lives.
const POLLS_PER_SIBLING_CHECK: u64 = 25;
/// What must be carried out some time; it fails only when the desk has gone.
const UNBOUNDED_WAIT: Duration = Duration::from_secs(86_400);
/// Within this a call is answered, however long the other process takes: a second is owed.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(700);
/// While places are being left.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(1);

struct AdminClient {
    stream: TcpStream,
    /// Its call is whole: from then on it keeps its place.
    is_request_complete: AtomicBool,
}

/// What the calls act on.
pub struct AdminContext {
    pub metrics: Arc<Metrics>,
    pub clients: Arc<Clients>,
    pub commands: Sender<AdminCommand>,
    pub disabled_executors: DisabledExecutors,
    pub learned_rx: Receiver<Memory>,
    /// The other instances, where they may talk.
    pub members: Option<Arc<MembershipReport>>,
}

pub struct AdminServer {
    context: AdminContext,
    clients: Mutex<VecDeque<Arc<AdminClient>>>,
    /// Descriptors in use, those of callers that are on their way out too.
    open: AtomicUsize,
}

/// Why operators can't call.
#[derive(Debug, Error)]
pub enum OperatorsAddressError {
    /// Their address can't be opened.
    #[error("admin_addr: {address}: {source}")]
    Bind { address: SocketAddr, source: std::io::Error },
    /// No thread can be started for them.
    #[error("admin_addr: no thread: {0}")]
    Thread(std::io::Error),
}

impl AdminServer {
    pub fn new(context: AdminContext) -> Arc<AdminServer> {
        Arc::new(AdminServer { context, clients: Mutex::default(), open: AtomicUsize::new(0) })
    }

    /// Opens the address and serves it by a thread of its own; the address, with the port that was given.
    pub fn open(self: Arc<AdminServer>, address: SocketAddr) -> Result<SocketAddr, OperatorsAddressError> {
        let listener = TcpListener::bind(address).and_then(|listener| Ok((listener.local_addr()?, listener)));
        let (at, listener) = listener.map_err(|source| OperatorsAddressError::Bind { address, source })?;
        let thread = OperatorsAddressError::Thread;
        let disabled_executors = &self.context.disabled_executors;
        disabled_executors.mark_applied(disabled_executors.state().number);
        self.context.update_sibling(Duration::ZERO);
        if disabled_executors.is_shared() {
            let follower = self.clone();
            spawn("outs", move || follower.follow_disabled_set()).map_err(thread)?;
        }
        spawn("calls", move || self.accept(&listener)).map(|_| at).map_err(thread)
    }

    /// Carries out here what was called out at another process of this node.
    fn follow_disabled_set(&self) {
        let disabled_executors = &self.context.disabled_executors;
        for poll in 1.. {
            std::thread::sleep(POLL_INTERVAL);
            if poll % POLLS_PER_SIBLING_CHECK == 0 {
                self.context.update_sibling(UNBOUNDED_WAIT);
            }
            if let Some(text) =
                self.context.learned_rx.try_iter().last().and_then(|m| serde_json::to_string(&m).ok())
            {
                disabled_executors.save_learned_state(&text);
            }
            if let Some(state) = disabled_executors.poll_change() {
                if self.context.apply(&state, Instant::now() + UNBOUNDED_WAIT) {
                    disabled_executors.mark_applied(state.number);
                }
            }
        }
    }

    fn clients(&self) -> MutexGuard<'_, VecDeque<Arc<AdminClient>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(self: Arc<AdminServer>, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((stream, _)) => self.accept_connection(stream),
                Err(error) => {
                    log_info!("operators' address: accept failed: {error}");
                    std::thread::sleep(listener::ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// Nobody is owed a place for holding a connection: who has waited longest with no whole call gives way to
    /// whoever comes, at once. A crowd of them must not keep one honest call out for its second.
    fn accept_connection(self: &Arc<AdminServer>, stream: TcpStream) {
        while self.open.load(Ordering::Relaxed) >= MAX_ADMIN_CLIENTS + MAX_CLOSING_ADMIN_CLIENTS {
            std::thread::sleep(CAPACITY_POLL_INTERVAL);
        }
        let client = Arc::new(AdminClient { stream, is_request_complete: AtomicBool::new(false) });
        let mut clients = self.clients();
        if clients.len() >= MAX_ADMIN_CLIENTS {
            let oldest =
                clients.iter().position(|client| !client.is_request_complete.load(Ordering::Relaxed));
            let Some(evicted) = clients.remove(oldest.unwrap_or(0)) else { return };
            let _ = evicted.stream.shutdown(Shutdown::Both);
        }
        clients.push_back(client.clone());
        drop(clients);
        self.open.fetch_add(1, Ordering::Relaxed);
        let (server, own_client) = (self.clone(), client.clone());
        let serve = move || {
            server.serve(&own_client);
            server.remove_client(&own_client);
        };
        if let Err(error) = spawn("call", serve) {
            log_info!("operators' address: no thread for a call: {error}");
            self.remove_client(&client);
        }
    }

    fn remove_client(&self, own_client: &Arc<AdminClient>) {
        self.clients().retain(|client| !Arc::ptr_eq(client, own_client));
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    fn serve(&self, client: &AdminClient) {
        let (mut parser, mut chunk, deadline) =
            (RequestParser::default(), [0; 1024], Instant::now() + REQUEST_TIMEOUT);
        let mut stream = &client.stream;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        let (status, text) = loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
                break (408, "the call took too long to come\n".to_string());
            }
            match stream.read(&mut chunk) {
                Ok(0) => return,
                Ok(read) => match parser.feed(&chunk[..read]) {
                    Ok(None) => {}
                    Ok(Some(request)) => {
                        client.is_request_complete.store(true, Ordering::Relaxed);
                        break self.answer(&request);
                    }
                    Err(fault) => break (fault.status, format!("{}\n", fault.reason)),
                },
                Err(error) if super::is_transient(&error) => {}
                Err(_) => return,
            }
        };
        if stream.write_all(answer(status, &text).as_bytes()).is_ok() {
            let _ = stream.shutdown(Shutdown::Write);
            // What is not read when it closes would reset the connection, and the answer with it.
            let _ = stream.set_read_timeout(Some(WRITE_TIMEOUT / 5));
            while matches!(stream.read(&mut chunk), Ok(1..)) && Instant::now() < deadline {}
        }
    }

    fn answer(&self, request: &AdminRequest) -> (u16, String) {
        let text = |status, text: &str| (status, format!("{text}\n"));
        match request {
            AdminRequest::Ready if self.context.clients.is_ready() => text(200, "takes clients"),
            AdminRequest::Ready => text(503, "takes no clients"),
            AdminRequest::Metrics => {
                let members =
                    self.context.members.as_ref().map_or(String::new(), |members| members.metrics());
                (200, self.context.metrics.to_prometheus() + &members)
            }
            AdminRequest::Members => match &self.context.members {
                Some(members) => (200, members.members()),
                None => text(404, "no members: the operators' file has no such section"),
            },
            AdminRequest::SetDisabled { name, disabled } => {
                match self.context.set_disabled(name, *disabled, Instant::now() + COMMAND_TIMEOUT) {
                    Ok(()) if *disabled => text(200, &format!("{name} is out")),
                    Ok(()) => text(200, &format!("{name} is in use")),
                    Err((status, reason)) => text(status, &reason),
                }
            }
        }
    }
}

impl AdminContext {
    /// Keeps to half of what this process may hold for as long as another one lives.
    fn update_sibling(&self, max_wait: Duration) {
        let has_sibling = self.disabled_executors.has_sibling();
        if self.clients.has_sibling.swap(has_sibling, Ordering::Relaxed) != has_sibling {
            log_info!(
                "another process of this node {}",
                if has_sibling { "lives: half of all places" } else { "has ended" }
            );
            let _ = self.commands.send_timeout(AdminCommand::SiblingProcess(has_sibling), max_wait);
        }
    }

    /// Asks the desk, which answers as soon as it has done so.
    fn ask(&self, command: impl FnOnce(Sender<bool>) -> AdminCommand, deadline: Instant) -> Option<bool> {
        let (reply, answer) = bounded(1);
        self.commands.send_deadline(command(reply), deadline).ok()?;
        answer.recv_deadline(deadline).ok()
    }

    fn apply(&self, state: &DisabledSet, deadline: Instant) -> bool {
        self.ask(|reply| AdminCommand::SetDisabled(state.clone(), reply), deadline).is_some()
    }

    /// Takes an executor out or puts it back, here and at each other process of this node, before it says yes.
    fn set_disabled(&self, name: &str, disabled: bool, deadline: Instant) -> Result<(), (u16, String)> {
        let timed_out = || (503, "the node did not answer in time".to_string());
        let mut is_known = self.disabled_executors.state().names.contains(name);
        if !is_known && is_name(name) {
            is_known = self
                .ask(|reply| AdminCommand::IsListed(name.to_string(), reply), deadline)
                .ok_or_else(timed_out)?;
        }
        if !is_known {
            return Err((404, format!("no executor '{name}' was ever listed here")));
        }
        if self.clients.shared && !self.disabled_executors.is_shared() {
            return Err((503, "no folder in TMPDIR: a successor would not know".to_string()));
        }
        let state = self
            .disabled_executors
            .change(name, disabled)
            .map_err(|error| (503, format!("not kept: {error}")))?;
        if !self.apply(&state, deadline) {
            return Err(timed_out());
        }
        self.disabled_executors.mark_applied(state.number);
        // What the other process does not say in time it does all the same: it reads the file.
        while !self.disabled_executors.all_applied(state.number) && Instant::now() < deadline {
            std::thread::sleep(POLL_INTERVAL / 4);
        }
        Ok(())
    }
}
