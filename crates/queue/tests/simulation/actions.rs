//! Actions of a scenario besides sending messages.

use super::*;

/// Time after which the session of a store that has lost its connection to the control nodes expires.
const SESSION_GRACE_MS: u64 = 1500;

const LAPSED: ControlContact = ControlContact { session_may_have_lapsed: true, ..ControlContact::FULL };
const UNHEARD: ControlContact = ControlContact { is_reachable: false, ..LAPSED };

/// What an isolated store knows of the control nodes, by milliseconds after the cut. It last heard them just before.
const ISOLATED_ALONE: [(u64, ControlContact); 2] = [(1500, LAPSED), (2500, UNHEARD)];
/// What a store knows that is cut off together with a control node. The control node has an answer for it 1.6 s after
/// the cut, with the age of its own contact.
const ISOLATED_WITH_CONTROL_NODE: [(u64, ControlContact); 3] = [
    (1900, ControlContact { group_may_be_lost: true, ..ControlContact::FULL }),
    (3100, ControlContact { group_may_be_lost: true, ..LAPSED }),
    (4100, ControlContact { group_may_be_lost: true, ..UNHEARD }),
];

impl Simulation {
    /// Cuts a store off; the control nodes of the others list it as gone after `expires_after` milliseconds.
    fn isolate(&mut self, at: usize, ms: u64, contacts: &[(u64, ControlContact)], expires_after: u64) {
        self.record_fault(self.now + ms);
        let incarnation = self.stores[at].incarnation;
        self.stores[at].control.is_isolated = true;
        for other in (0..self.stores.len()).filter(|other| *other != at) {
            let pair = (at.min(other), at.max(other));
            self.partitions.insert(pair);
            if let Some(link) = self.connections.get(&pair).copied() {
                self.schedule(5, Event::Disconnect { a: pair.0, b: pair.1, link });
            }
        }
        for (after, contact) in contacts {
            self.schedule(*after, Event::ControlLost { at, incarnation, contact: *contact });
        }
        self.schedule(expires_after, Event::SessionExpires { at, incarnation });
        self.schedule(ms, Event::IsolationEnds { at, incarnation });
    }

    pub(super) fn perform(&mut self, act: Action) {
        match act {
            Action::Inject(at, fault) => {
                self.inject(at, fault);
                self.turn(at);
            }
            Action::Cut(a, b) => {
                self.record_fault(self.now);
                let pair = (a.min(b), a.max(b));
                self.partitions.insert(pair);
                if let Some(link) = self.connections.get(&pair).copied() {
                    self.schedule(1000, Event::Disconnect { a: pair.0, b: pair.1, link });
                }
            }
            Action::Isolate(at, ms) => self.isolate(at, ms, &ISOLATED_ALONE, 1700),
            Action::IsolateWithControlNode(at, ms) => self.isolate(at, ms, &ISOLATED_WITH_CONTROL_NODE, 1800),
            Action::Reconnect(a, b) => {
                self.record_fault(self.now);
                self.partitions.remove(&(a.min(b), a.max(b)));
                self.schedule(50, Event::Connect { a, b });
            }
            Action::Retire(at) => {
                if let Some((queue, now)) = self.queue(at) {
                    queue.retire(now);
                }
                self.turn(at);
            }
            Action::DiskFull(at, full) => {
                self.record_fault(self.now);
                self.stores[at].disk.largest_synced_write = if full { 0 } else { usize::MAX };
            }
            Action::DiskTakesAtMost(at, bytes) => {
                self.record_fault(self.now);
                self.stores[at].disk.largest_synced_write = bytes;
            }
            Action::DiskSlow(at, ms) => {
                self.record_fault(self.now);
                self.stores[at].disk.sync_ms = ms;
            }
            Action::HoldWrites(at, ms) => {
                self.record_fault(self.now + ms);
                self.stores[at].disk.hold_writes(self.now + ms);
            }
            Action::HoldSyncs(at, ms) => {
                self.record_fault(self.now + ms);
                self.stores[at].disk.hold_syncs(self.now + ms);
            }
            Action::PowerLossOfAll => (0..self.stores.len()).for_each(|at| self.inject(at, Fault::PowerLoss)),
            Action::Remove(at) => {
                self.inject(at, Fault::DiskLoss);
                self.stores[at].is_removed = true;
            }
            Action::RemoveSilently(at) => {
                self.stop(at, SILENCE_DETECTION_MS, SILENCE_DETECTION_MS + SESSION_GRACE_MS);
                self.stores[at].disk.cut(DiskCut::DiskLoss);
                self.stores[at].is_removed = true;
            }
            Action::Add => self.add_store(),
            Action::DiskLossInBlackout(at) => {
                let others = self.present_stores().into_iter().filter(|other| *other != at);
                others.collect::<Vec<_>>().into_iter().for_each(|other| self.inject(other, Fault::PowerLoss));
                self.inject(at, Fault::DiskLoss);
            }
            Action::Absent(at, ms) => self.be_absent(at, ms),
            Action::Checkpoint(at) => self.checkpoint(at),
            Action::Endpoint(up) => self.is_endpoint_up = up,
            Action::Configure(extra) => {
                self.config = config(self.config.revision + 1, extra, self.max_tries, self.max_wait_s);
                for at in 0..self.stores.len() {
                    self.schedule(20 + 30 * at as u64, Event::ConfigurationAnnounced { at });
                }
            }
        }
    }
}
