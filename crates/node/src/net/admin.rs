//! The admin server: one request per connection, answered independently of the load by clients.

use super::clients::Clients;
use super::listener;
use super::membership_report::MembershipReport;
use crate::interfaces::AdminCommand;
use crate::log_info;
use crate::process::budget::{MAX_ADMIN_CLIENTS, MAX_CLOSING_ADMIN_CLIENTS};
use crate::process::spawn;
use crate::state::disabled_executors::{is_valid_name, DisabledExecutors, DisabledSet, POLL_INTERVAL};
use crate::state::metrics::Metrics;
use crate::wire::admin_request::{answer, AdminRequest, RequestParser};
use crossbeam_channel::{bounded, Receiver, Sender};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use stileroute_dispatch::state::LearnedState;
use thiserror::Error;

/// How long a client may take to send its request, and how long one write of the response may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of polls of the disabled set per check whether a sibling process is running.
const POLLS_PER_SIBLING_CHECK: u64 = 25;
/// Time limit for commands that must be delivered eventually; they fail only if the dispatch loop has ended.
const UNBOUNDED_WAIT: Duration = Duration::from_secs(86_400);
/// Time limit for a command, however slow the sibling process is. Operators are promised an answer within a
/// second.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(700);
/// Poll interval while the server waits for closing connections to go.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(1);

struct AdminClient {
    stream: TcpStream,
    /// Its request is complete, so the connection is not evicted any more.
    is_request_complete: AtomicBool,
}

/// The shared state that admin requests read and change.
pub struct AdminContext {
    pub metrics: Arc<Metrics>,
    pub clients: Arc<Clients>,
    pub commands: Sender<AdminCommand>,
    pub disabled_executors: DisabledExecutors,
    pub learned_rx: Receiver<LearnedState>,
    /// The membership report; `None` if membership is off.
    pub members: Option<Arc<MembershipReport>>,
}

pub struct AdminServer {
    context: AdminContext,
    clients: Mutex<VecDeque<Arc<AdminClient>>>,
    /// Open descriptors, including those of connections that are closing.
    open: AtomicUsize,
}

/// Why the admin server could not start.
#[derive(Debug, Error)]
pub enum OperatorsAddressError {
    /// The admin address could not be bound.
    #[error("admin_addr: {address}: {source}")]
    Bind { address: SocketAddr, source: std::io::Error },
    /// A thread of the admin server could not be started.
    #[error("admin_addr: no thread: {0}")]
    Thread(std::io::Error),
}

impl AdminServer {
    pub fn new(context: AdminContext) -> Arc<AdminServer> {
        Arc::new(AdminServer { context, clients: Mutex::default(), open: AtomicUsize::new(0) })
    }

    /// Binds the address and starts the threads. Returns the address with the actual port.
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

    /// Applies changes of the disabled set that another process of this node has written.
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
                    log_info!("admin_addr: accept failed: {error}");
                    std::thread::sleep(listener::ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// Accepts a connection. If all slots are taken, the connection that has waited longest without a complete
    /// request is closed at once. This way a crowd of idle connections cannot delay a valid request beyond its
    /// one second.
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
            log_info!("admin_addr: no thread for a request: {error}");
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
                break (408, "request not received in time\n".to_string());
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
            // Unread bytes at the close would reset the connection and could lose the response.
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
    /// Limits this process to half of its capacity while a sibling process of the node is running.
    fn update_sibling(&self, max_wait: Duration) {
        let has_sibling = self.disabled_executors.has_sibling();
        if self.clients.has_sibling.swap(has_sibling, Ordering::Relaxed) != has_sibling {
            log_info!(
                "another process of this node {}",
                if has_sibling { "is running: using half of the capacity" } else { "has ended" }
            );
            let _ = self.commands.send_timeout(AdminCommand::SiblingProcess(has_sibling), max_wait);
        }
    }

    /// Sends a command to the dispatch loop and waits for the reply.
    fn ask(&self, command: impl FnOnce(Sender<bool>) -> AdminCommand, deadline: Instant) -> Option<bool> {
        let (reply, answer) = bounded(1);
        self.commands.send_deadline(command(reply), deadline).ok()?;
        answer.recv_deadline(deadline).ok()
    }

    fn apply(&self, state: &DisabledSet, deadline: Instant) -> bool {
        self.ask(|reply| AdminCommand::SetDisabled(state.clone(), reply), deadline).is_some()
    }

    /// Disables or enables an executor in this process and in each sibling process before it reports success.
    fn set_disabled(&self, name: &str, disabled: bool, deadline: Instant) -> Result<(), (u16, String)> {
        let timed_out = || (503, "the node did not answer in time".to_string());
        let mut is_known = self.disabled_executors.state().names.contains(name);
        if !is_known && is_valid_name(name) {
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
        // A sibling process that does not confirm in time still applies the change, because it polls the file.
        while !self.disabled_executors.all_applied(state.number) && Instant::now() < deadline {
            std::thread::sleep(POLL_INTERVAL / 4);
        }
        Ok(())
    }
}
