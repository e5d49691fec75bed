//! The socket and thread of the membership protocol, with one message per datagram. No other part waits for it:
//! the dispatch loop is notified when the number of members changes, and operators read a report.

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

/// Longest time for waiting for messages, or for receiving them in a row, before the detector's timers are
/// checked.
const RECEIVE_LIMIT: Duration = Duration::from_millis(25);
/// Interval between updates of the report for operators.
const REPORT_INTERVAL: Time = SECOND / 2;
/// During this time after its start the instance may not know all members yet, so it assumes at least as many
/// as the settings name.
const STARTUP_PERIOD: Time = 30 * SECOND;

/// The running membership protocol of this instance.
pub struct MembershipThread {
    pub report: Arc<MembershipReport>,
    /// The address at which the other instances reach this one.
    pub address: SocketAddrV4,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

/// Why membership could not be started.
#[derive(Debug, Error)]
pub enum MembersError {
    /// The address could not be bound, or the thread could not be started.
    #[error("members: {listen}: {source}")]
    Open { listen: SocketAddrV4, source: io::Error },
    /// The bound socket has an address that is not IPv4.
    #[error("members: no IPv4 address")]
    NotIpv4,
}

/// The identity that this instance announces, and the fleet's size according to the settings.
pub struct Instance {
    pub id: u64,
    /// The instance's failure domain.
    pub domain: u8,
    /// Number of nodes in the settings.
    pub nodes: usize,
    /// Seed of the random numbers of the failure detector.
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
        // Higher than the incarnation of any earlier process, unless the system clock was set back. In that
        // case the other members report the higher one.
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

    /// Announces to the other members that this instance is leaving, and stops the thread.
    pub fn leave(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

/// The member counts that were last sent to the dispatch loop.
#[derive(Default, PartialEq)]
struct Published {
    /// The counts of the failure detector.
    count: MemberCount,
    /// Number of nodes that are likely to be live. After the startup period it no longer depends on the
    /// settings.
    likely: usize,
}

struct EventLoop {
    socket: UdpSocket,
    detector: Detector,
    dispatch_loop: Sender<Event>,
    report: Arc<MembershipReport>,
    started_at: Instant,
    configured_nodes: usize,
    /// All nodes of the fleet are members, so a node that has not been heard from does not exist.
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
            // Bounds the time spent on a burst of messages, so that the timers are still checked.
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

    /// Sends datagrams. One that cannot be sent is lost, which the protocol tolerates for any message.
    fn send(&self, sends: &[Datagram]) {
        for send in sends {
            let _ = self.socket.send_to(&send.bytes, send.to);
        }
    }

    /// Sends changes to the dispatch loop and updates the operators' report.
    fn publish(&mut self, now: Time) {
        let current = self.count_members(now);
        if current != self.published && self.notify_dispatch_loop(&current) {
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
        // Before other members are heard from, or if not all nodes are members, the settings determine how many
        // nodes are likely to be live.
        let likely = if may_miss_some { count.likely.max(self.configured_nodes) } else { count.likely };
        Published { count, likely }
    }

    /// Returns whether the event was sent; if not, it is sent again later.
    fn notify_dispatch_loop(&self, current: &Published) -> bool {
        let event =
            Event::FleetSize { live: current.likely, possibly_sending: current.count.possibly_sending };
        self.dispatch_loop.try_send(event).is_ok()
    }
}
