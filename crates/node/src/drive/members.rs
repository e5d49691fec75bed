//! Carries the messages of membership: one socket, one thread, a datagram each. Nothing waits on it; what it finds out goes
//! to the desk when it changes, and to operators when they ask.

use crate::life::members::MembersAt;
use crate::life::spawn;
use crate::port::Event;
use crate::say;
use crossbeam_channel::Sender;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use stileroute_gossip::wire::MAX_MESSAGE_BYTES;
use stileroute_gossip::{Datagram, Detector, Entry, Evidence, Member, MemberCount, Time, SECOND};
use thiserror::Error;

/// How long one look for messages takes at the most: time is looked at in between.
const LOOK: Duration = Duration::from_millis(25);
/// Between two tellings of operators.
const SHOWN: Time = SECOND / 2;
/// Until so long after its start it takes the settings' number of nodes for the least: it has not heard all yet.
const HEARS_ALL: Time = 30 * SECOND;

/// What operators read.
#[derive(Default)]
pub struct Shown {
    lines: Mutex<(String, String)>,
}

impl Shown {
    fn lines(&self) -> std::sync::MutexGuard<'_, (String, String)> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A line a member.
    pub fn members(&self) -> String {
        self.lines().0.clone()
    }

    /// The figures, in Prometheus' text form.
    pub fn figures(&self) -> String {
        self.lines().1.clone()
    }
}

/// The thread that carries it.
pub struct Carrier {
    pub shown: Arc<Shown>,
    pub at: SocketAddrV4,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

/// Why a node takes no part in membership.
#[derive(Debug, Error)]
pub enum MembersError {
    /// Its address can't be opened, or there is no thread for it.
    #[error("members: {listen}: {source}")]
    Open { listen: SocketAddrV4, source: io::Error },
    /// The socket that was opened has an address of another family.
    #[error("members: no IPv4 address")]
    NotIpv4,
}

/// Who this instance is.
pub struct Me {
    pub id: u64,
    pub domain: u8,
    /// Nodes that the settings name.
    pub nodes: usize,
    pub seed: u64,
}

impl Carrier {
    pub fn open(at: &MembersAt, me: Me, desk: Sender<Event>) -> Result<Carrier, MembersError> {
        let wrong = |source: io::Error| MembersError::Open { listen: at.listen, source };
        let socket = UdpSocket::bind(at.listen).map_err(wrong)?;
        socket.set_read_timeout(Some(LOOK)).map_err(wrong)?;
        let SocketAddr::V4(bound) = socket.local_addr().map_err(wrong)? else {
            return Err(MembersError::NotIpv4);
        };
        let own = at.advertise.unwrap_or(bound);
        // Later than that of any process before, unless the clock was set back; then it is told so.
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let members =
            Detector::new(me.id, incarnation, own, me.domain, at.settings.clone(), me.seed ^ incarnation);
        let (shown, stop) = (Arc::new(Shown::default()), Arc::new(AtomicBool::new(false)));
        let mut run = Run {
            socket,
            members,
            desk,
            shown: shown.clone(),
            start: Instant::now(),
            nodes: me.nodes,
            all: at.all,
            told: (MemberCount::default(), 0),
            show_at: 0,
            was_over: false,
        };
        let stopped = stop.clone();
        let thread = spawn("members", move || run.run(&stopped)).map_err(wrong)?;
        Ok(Carrier { shown, at: own, stop, thread })
    }

    /// Tells the others that this instance goes.
    pub fn leave(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

struct Run {
    socket: UdpSocket,
    members: Detector,
    desk: Sender<Event>,
    shown: Arc<Shown>,
    start: Instant,
    nodes: usize,
    all: bool,
    /// What was counted and what the desk was told to be likely: after a while that no longer rests on the settings.
    told: (MemberCount, usize),
    show_at: Time,
    was_over: bool,
}

impl Run {
    fn now(&self) -> Time {
        (self.start.elapsed().as_micros() / 100) as Time
    }

    fn run(&mut self, stop: &AtomicBool) {
        let mut bytes = [0; MAX_MESSAGE_BYTES + 1];
        while !stop.load(Ordering::Relaxed) {
            // A burst of messages must not keep time from being looked at.
            let until = Instant::now() + LOOK;
            while let Ok((read, SocketAddr::V4(from))) = self.socket.recv_from(&mut bytes) {
                let sends = self.members.receive(self.now(), from, &bytes[..read]);
                self.send(&sends);
                if Instant::now() >= until {
                    break;
                }
            }
            let now = self.now();
            let sends = self.members.tick(now);
            self.send(&sends);
            self.tell(now);
        }
        let sends = self.members.leave();
        self.send(&sends);
    }

    /// One that can't leave is lost, as any may be.
    fn send(&self, sends: &[Datagram]) {
        for send in sends {
            let _ = self.socket.send_to(&send.bytes, send.to);
        }
    }

    fn tell(&mut self, now: Time) {
        let mut count = self.members.count(now);
        if !self.all || now < HEARS_ALL {
            count.possibly_sending = count.possibly_sending.max(self.nodes);
        }
        // Until it has heard of others, or where not all are members, who is likely to be there stands in the settings.
        let likely = if self.all && now >= HEARS_ALL { count.likely } else { count.likely.max(self.nodes) };
        if (&count, likely) != (&self.told.0, self.told.1)
            && self.desk.try_send(Event::Fleet { likely, safe: count.possibly_sending }).is_ok()
        {
            say!("members: {} live, {} may be sending", count.likely, count.possibly_sending);
            self.told = (count, likely);
        }
        if self.members.is_stopped && !self.was_over {
            self.was_over = true;
            say!("members: another process has this node's name, and its place");
        }
        if now >= self.show_at {
            self.show_at = now + SHOWN;
            *self.shown.lines() = (self.lines(now), self.figures());
        }
    }

    fn lines(&self, now: Time) -> String {
        let mut out = line(self.members.own(), "itself", 0);
        for Member { entry, evidence, since, .. } in self.members.members() {
            let how = match evidence {
                Evidence::Itself => "from itself".to_string(),
                Evidence::ReportedBy(by) => format!("told by {by:016x}"),
                Evidence::NoReply => "did not answer here".to_string(),
                Evidence::NotRefuted => "did not answer a suspicion".to_string(),
            };
            out += &line(entry, &how, now - since);
        }
        out
    }

    fn figures(&self) -> String {
        let counters = &self.members.counters;
        let count = &self.told.0;
        let rows = [
            ("members_likely", "gauge", "Instances that are likely to live.", count.likely as u64),
            ("members_safe", "gauge", "Instances that may be sending.", count.possibly_sending as u64),
            ("members_sent_total", "counter", "Messages to other instances.", counters.sent),
            ("members_sent_bytes_total", "counter", "Their bytes.", counters.sent_bytes),
            ("members_heard_total", "counter", "Messages of other instances.", counters.received),
            ("members_garbled_total", "counter", "Messages that could not be read.", counters.malformed),
            ("members_strangers_total", "counter", "Messages without the key.", counters.unauthenticated),
            ("members_replayed_total", "counter", "Messages that came again.", counters.replayed),
            ("members_suspected_total", "counter", "Suspicions that began here.", counters.suspected),
            ("members_refuted_total", "counter", "Suspicions of this instance, answered.", counters.refuted),
            (
                "members_stood_still_total",
                "counter",
                "Times that this instance stood still.",
                counters.pauses,
            ),
        ];
        let mut out = String::new();
        for (name, kind, help, value) in rows {
            let _ = write!(out, "# HELP svc_{name} {help}\n# TYPE svc_{name} {kind}\nsvc_{name} {value}\n");
        }
        out
    }
}

fn line(entry: &Entry, how: &str, age: Time) -> String {
    let Entry { id, incarnation, address, domain, state, .. } = entry;
    format!(
        "{id:016x} {address} domain {domain} life {incarnation} {} for {:.1} s: {how}\n",
        state.label(),
        age as f64 / SECOND as f64
    )
}
