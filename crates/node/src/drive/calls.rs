//! The operators' address: one call to a connection, answered whatever the clients do.

use super::clients::Clients;
use super::listener;
use super::membership_report::MembershipReport;
use crate::life::budget::{CALLERS, LEAVING};
use crate::life::spawn;
use crate::port::Order;
use crate::say;
use crate::store::figures::Figures;
use crate::store::outs::{is_name, Outs, State, LOOK};
use crate::wire::call::{answer, Call, Inbox};
use crossbeam_channel::{bounded, Receiver, Sender};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use stileroute_dispatch::state::LearnedState;
use thiserror::Error;

/// How long one may take to send a call, or to take its answer in.
const SLOW: Duration = Duration::from_secs(5);
const BRIEF: Duration = Duration::from_millis(500);
/// In how many looks to look once whether another process lives.
const BESIDE: u64 = 25;
/// What must be carried out some time; it fails only when the desk has gone.
const NO_HURRY: Duration = Duration::from_secs(86_400);
/// Within this a call is answered, however long the other process takes: a second is owed.
const OWED: Duration = Duration::from_millis(700);
/// While places are being left.
const MOMENT: Duration = Duration::from_millis(1);

struct Caller {
    stream: TcpStream,
    /// Its call is whole: from then on it keeps its place.
    whole: AtomicBool,
}

/// What the calls act on.
pub struct Reach {
    pub figures: Arc<Figures>,
    pub clients: Arc<Clients>,
    pub desk: Sender<Order>,
    pub outs: Outs,
    pub learned: Receiver<LearnedState>,
    /// The other instances, where they may talk.
    pub members: Option<Arc<MembershipReport>>,
}

pub struct Calls {
    reach: Reach,
    callers: Mutex<VecDeque<Arc<Caller>>>,
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

impl Calls {
    pub fn new(reach: Reach) -> Arc<Calls> {
        Arc::new(Calls { reach, callers: Mutex::default(), open: AtomicUsize::new(0) })
    }

    /// Opens the address and serves it by a thread of its own; the address, with the port that was given.
    pub fn open(self: Arc<Calls>, address: SocketAddr) -> Result<SocketAddr, OperatorsAddressError> {
        let listener = TcpListener::bind(address).and_then(|listener| Ok((listener.local_addr()?, listener)));
        let (at, listener) = listener.map_err(|source| OperatorsAddressError::Bind { address, source })?;
        let thread = OperatorsAddressError::Thread;
        let outs = &self.reach.outs;
        outs.carried_out(outs.state().number);
        self.reach.look_beside(Duration::ZERO);
        if outs.is_shared() {
            let watch = self.clone();
            spawn("outs", move || watch.follow()).map_err(thread)?;
        }
        spawn("calls", move || self.accept(&listener)).map(|_| at).map_err(thread)
    }

    /// Carries out here what was called out at another process of this node.
    fn follow(&self) {
        let outs = &self.reach.outs;
        for round in 1.. {
            std::thread::sleep(LOOK);
            if round % BESIDE == 0 {
                self.reach.look_beside(NO_HURRY);
            }
            if let Some(text) =
                self.reach.learned.try_iter().last().and_then(|m| serde_json::to_string(&m).ok())
            {
                outs.keep(&text);
            }
            if let Some(state) = outs.news() {
                if self.reach.carry_out(&state, Instant::now() + NO_HURRY) {
                    outs.carried_out(state.number);
                }
            }
        }
    }

    fn callers(&self) -> MutexGuard<'_, VecDeque<Arc<Caller>>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(self: Arc<Calls>, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((stream, _)) => self.welcome(stream),
                Err(error) => {
                    say!("operators' address: accept failed: {error}");
                    std::thread::sleep(listener::PAUSE);
                }
            }
        }
    }

    /// Nobody is owed a place for holding a connection: who has waited longest with no whole call gives way to
    /// whoever comes, at once. A crowd of them must not keep one honest call out for its second.
    fn welcome(self: &Arc<Calls>, stream: TcpStream) {
        while self.open.load(Ordering::Relaxed) >= CALLERS + LEAVING {
            std::thread::sleep(MOMENT);
        }
        let caller = Arc::new(Caller { stream, whole: AtomicBool::new(false) });
        let mut callers = self.callers();
        if callers.len() >= CALLERS {
            let oldest = callers.iter().position(|caller| !caller.whole.load(Ordering::Relaxed));
            let Some(gone) = callers.remove(oldest.unwrap_or(0)) else { return };
            let _ = gone.stream.shutdown(Shutdown::Both);
        }
        callers.push_back(caller.clone());
        drop(callers);
        self.open.fetch_add(1, Ordering::Relaxed);
        let (calls, own) = (self.clone(), caller.clone());
        let serve = move || {
            calls.serve(&own);
            calls.leave(&own);
        };
        if let Err(error) = spawn("call", serve) {
            say!("operators' address: no thread for a call: {error}");
            self.leave(&caller);
        }
    }

    fn leave(&self, own: &Arc<Caller>) {
        self.callers().retain(|caller| !Arc::ptr_eq(caller, own));
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    fn serve(&self, caller: &Caller) {
        let (mut inbox, mut chunk, until) = (Inbox::default(), [0; 1024], Instant::now() + SLOW);
        let mut stream = &caller.stream;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(BRIEF));
        let (status, text) = loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
                break (408, "the call took too long to come\n".to_string());
            }
            match stream.read(&mut chunk) {
                Ok(0) => return,
                Ok(read) => match inbox.feed(&chunk[..read]) {
                    Ok(None) => {}
                    Ok(Some(call)) => {
                        caller.whole.store(true, Ordering::Relaxed);
                        break self.answer(&call);
                    }
                    Err(fault) => break (fault.status, format!("{}\n", fault.why)),
                },
                Err(error) if super::passing(&error) => {}
                Err(_) => return,
            }
        };
        if stream.write_all(answer(status, &text).as_bytes()).is_ok() {
            let _ = stream.shutdown(Shutdown::Write);
            // What is not read when it closes would reset the connection, and the answer with it.
            let _ = stream.set_read_timeout(Some(BRIEF / 5));
            while matches!(stream.read(&mut chunk), Ok(1..)) && Instant::now() < until {}
        }
    }

    fn answer(&self, call: &Call) -> (u16, String) {
        let text = |status, text: &str| (status, format!("{text}\n"));
        match call {
            Call::Ready if self.reach.clients.is_ready() => text(200, "takes clients"),
            Call::Ready => text(503, "takes no clients"),
            Call::Figures => {
                let members = self.reach.members.as_ref().map_or(String::new(), |members| members.metrics());
                (200, self.reach.figures.text() + &members)
            }
            Call::Members => match &self.reach.members {
                Some(members) => (200, members.members()),
                None => text(404, "no members: the operators' file has no such section"),
            },
            Call::Turn { name, out } => match self.reach.turn(name, *out, Instant::now() + OWED) {
                Ok(()) if *out => text(200, &format!("{name} is out")),
                Ok(()) => text(200, &format!("{name} is in use")),
                Err((status, why)) => text(status, &why),
            },
        }
    }
}

impl Reach {
    /// Keeps to half of what this process may hold for as long as another one lives.
    fn look_beside(&self, most: Duration) {
        let beside = self.outs.beside();
        if self.clients.beside.swap(beside, Ordering::Relaxed) != beside {
            say!(
                "another process of this node {}",
                if beside { "lives: half of all places" } else { "has ended" }
            );
            let _ = self.desk.send_timeout(Order::Beside(beside), most);
        }
    }

    /// Asks the desk, which answers as soon as it has done so.
    fn ask(&self, order: impl FnOnce(Sender<bool>) -> Order, until: Instant) -> Option<bool> {
        let (reply, answer) = bounded(1);
        self.desk.send_deadline(order(reply), until).ok()?;
        answer.recv_deadline(until).ok()
    }

    fn carry_out(&self, state: &State, until: Instant) -> bool {
        self.ask(|reply| Order::Outs(state.clone(), reply), until).is_some()
    }

    /// Takes an executor out or puts it back, here and at each other process of this node, before it says yes.
    fn turn(&self, name: &str, out: bool, until: Instant) -> Result<(), (u16, String)> {
        let late = || (503, "the node did not answer in time".to_string());
        let mut known = self.outs.state().names.contains(name);
        if !known && is_name(name) {
            known = self.ask(|reply| Order::Known(name.to_string(), reply), until).ok_or_else(late)?;
        }
        if !known {
            return Err((404, format!("no executor '{name}' was ever listed here")));
        }
        if self.clients.shared && !self.outs.is_shared() {
            return Err((503, "no folder in TMPDIR: a successor would not know".to_string()));
        }
        let state = self.outs.change(name, out).map_err(|error| (503, format!("not kept: {error}")))?;
        if !self.carry_out(&state, until) {
            return Err(late());
        }
        self.outs.carried_out(state.number);
        // What the other process does not say in time it does all the same: it reads the file.
        while !self.outs.all_have(state.number) && Instant::now() < until {
            std::thread::sleep(LOOK / 4);
        }
        Ok(())
    }
}
