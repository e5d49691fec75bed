//! The socket and the thread of the membership protocol: one datagram for each message. Nothing waits on it; the number of members
//! goes to the desk when it changes, and a report to operators when they ask.

use super::membership_report::MembershipReport;
use crate::interfaces::Event;
use crate::log_info;
use crate::process::members_section::MembersSettings;
use crate::process::spawn;
use crossbeam_channel::Sender;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use stileroute_gossip::wire::MAX_MESSAGE_BYTES;
use stileroute_gossip::{Datagram, Detector, MemberCount, Time, SECOND};
use thiserror::Error;

/// Messages are waited for, or received in a row, for so long at most: in between the detector's timers are looked at.
const RECEIVE_LIMIT: Duration = Duration::from_millis(25);
/// The report for operators is written so often.
const REPORT_INTERVAL: Time = SECOND / 2;
/// For so long after its start this instance may not have heard of all: there are at least as many as the settings name.
const STARTUP_PERIOD: Time = 30 * SECOND;

/// The running membership protocol of this instance.
pub struct MembershipThread {
    pub report: Arc<MembershipReport>,
    /// Where others reach it.
    pub address: SocketAddrV4,
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

/// What this instance announces of itself, and what its settings say of the fleet.
pub struct Instance {
    /// Its identifier.
    pub id: u64,
    /// Its failure domain.
    pub domain: u8,
    /// How many nodes the settings name.
    pub nodes: usize,
    /// Of its random numbers.
    pub seed: u64,
}

impl MembershipThread {
    pub fn open(
        settings: &MembersSettings,
        instance: Instance,
        dispatch_loop: Sender<Event>,
    ) -> Result<MembershipThread, MembersError> {
        let failed = |source: io::Error| MembersError::Open { listen: settings.listen, source };
        let socket = UdpSocket::bind(settings.listen).map_err(failed)?;
        socket.set_read_timeout(Some(RECEIVE_LIMIT)).map_err(failed)?;
        let SocketAddr::V4(bound) = socket.local_addr().map_err(failed)? else {
            return Err(MembersError::NotIpv4);
        };
        let address = settings.advertise.unwrap_or(bound);
        // Later than that of any process before, unless the clock was set back; then it is told so.
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let seed = instance.seed ^ incarnation;
        let detector = Detector::new(
            instance.id,
            incarnation,
            address,
            instance.domain,
            settings.settings.clone(),
            seed,
        );
        let (report, stop) = (Arc::new(MembershipReport::default()), Arc::new(AtomicBool::new(false)));
        let mut event_loop = EventLoop {
            socket,
            detector,
            dispatch_loop,
            report: report.clone(),
            started_at: Instant::now(),
            configured_nodes: instance.nodes,
            are_all_members: settings.all,
            published: Published::default(),
            next_report_at: 0,
            was_replacement_logged: false,
        };
        let stopped = stop.clone();
        let thread = spawn("members", move || event_loop.run(&stopped)).map_err(failed)?;
        Ok(MembershipThread { report, address, stop, thread })
    }

    /// Tells the others that this instance goes.
    pub fn leave(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

/// What the desk was last told.
#[derive(Default, PartialEq)]
struct Published {
    /// What was counted.
    count: MemberCount,
    /// How many are likely to live: after the startup period that no longer rests on the settings.
    likely: usize,
}

struct EventLoop {
    socket: UdpSocket,
    detector: Detector,
    dispatch_loop: Sender<Event>,
    report: Arc<MembershipReport>,
    started_at: Instant,
    configured_nodes: usize,
    /// Every node of the fleet takes part: who has not been heard of is not there.
    are_all_members: bool,
    published: Published,
    next_report_at: Time,
    was_replacement_logged: bool,
}

impl EventLoop {
    fn now(&self) -> Time {
        (self.started_at.elapsed().as_micros() / 100) as Time
    }

    fn run(&mut self, stop: &AtomicBool) {
        let mut bytes = [0; MAX_MESSAGE_BYTES + 1];
        while !stop.load(Ordering::Relaxed) {
            // A burst of messages must not keep time from being looked at.
            let until = Instant::now() + RECEIVE_LIMIT;
            while let Ok((read, SocketAddr::V4(from))) = self.socket.recv_from(&mut bytes) {
                let sends = self.detector.receive(self.now(), from, &bytes[..read]);
                self.send(&sends);
                if Instant::now() >= until {
                    break;
                }
            }
            let now = self.now();
            let sends = self.detector.tick(now);
            self.send(&sends);
            self.publish(now);
        }
        let sends = self.detector.leave();
        self.send(&sends);
    }

    /// One that can't leave is lost, as any may be.
    fn send(&self, sends: &[Datagram]) {
        for send in sends {
            let _ = self.socket.send_to(&send.bytes, send.to);
        }
    }

    /// Tells the desk and operators what has changed.
    fn publish(&mut self, now: Time) {
        let current = self.count_members(now);
        if current != self.published && self.tell_desk(&current) {
            let MemberCount { likely, possibly_sending, .. } = &current.count;
            log_info!("members: {likely} live, {possibly_sending} may be sending");
            self.published = current;
        }
        if self.detector.is_stopped && !self.was_replacement_logged {
            self.was_replacement_logged = true;
            log_info!("members: another process has this node's name, and its place");
        }
        if now >= self.next_report_at {
            self.next_report_at = now + REPORT_INTERVAL;
            self.report.update(&self.detector, &self.published.count, now);
        }
    }

    fn count_members(&self, now: Time) -> Published {
        let mut count = self.detector.count(now);
        let may_miss_some = !self.are_all_members || now < STARTUP_PERIOD;
        if may_miss_some {
            count.possibly_sending = count.possibly_sending.max(self.configured_nodes);
        }
        // Until it has heard of others, or where not all are members, who is likely to be there stands in the settings.
        let likely = if may_miss_some { count.likely.max(self.configured_nodes) } else { count.likely };
        Published { count, likely }
    }

    /// Whether it could be told: it is tried again otherwise.
    fn tell_desk(&self, current: &Published) -> bool {
        let event =
            Event::FleetSize { live: current.likely, possibly_sending: current.count.possibly_sending };
        self.dispatch_loop.try_send(event).is_ok()
    }
}
