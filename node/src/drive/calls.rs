//! The operators' address: one call to a connection, answered whatever the clients do.

use super::listener;
use crate::life::budget::{CALLERS, LEAVING};
use crate::life::spawn;
use crate::say;
use crate::store::figures::Figures;
use crate::wire::call::{answer, Call, Inbox};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long one may take to send a call, or to take its answer in.
const SLOW: Duration = Duration::from_secs(5);
const BRIEF: Duration = Duration::from_millis(500);
/// While places are being left.
const MOMENT: Duration = Duration::from_millis(1);

struct Caller {
    stream: TcpStream,
    /// Its call is whole: from then on it keeps its place.
    whole: AtomicBool,
}

pub struct Calls {
    pub figures: Arc<Figures>,
    /// This process takes clients.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
    callers: Mutex<VecDeque<Arc<Caller>>>,
    /// Descriptors in use, those of callers that are on their way out too.
    open: AtomicUsize,
}

impl Calls {
    pub fn new(figures: Arc<Figures>, ready: impl Fn() -> bool + Send + Sync + 'static) -> Arc<Calls> {
        Arc::new(Calls {
            figures,
            ready: Box::new(ready),
            callers: Mutex::default(),
            open: AtomicUsize::new(0),
        })
    }

    /// Opens the address and serves it by a thread of its own; the address, with the port that was given.
    pub fn open(self: Arc<Calls>, at: SocketAddr) -> Result<SocketAddr, String> {
        let listener = TcpListener::bind(at).and_then(|listener| Ok((listener.local_addr()?, listener)));
        let (at, listener) = listener.map_err(|error| format!("admin_addr: {at}: {error}"))?;
        spawn("calls", move || self.accept(&listener))
            .map(|_| at)
            .map_err(|error| format!("admin_addr: no thread: {error}"))
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
        match call {
            Call::Ready if (self.ready)() => (200, "takes clients\n".to_string()),
            Call::Ready => (503, "takes no clients\n".to_string()),
            Call::Figures => (200, self.figures.text()),
        }
    }
}
