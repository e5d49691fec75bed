//! What a scenario does beside sending messages.

use super::*;

impl Simulation {
    pub(super) fn perform(&mut self, act: Action) {
        match act {
            Action::Inject(at, fault) => {
                self.inject(at, fault);
                self.turn(at);
            }
            Action::Cut(a, b) => {
                self.note_fault(self.now);
                let pair = (a.min(b), a.max(b));
                self.partitions.insert(pair);
                if let Some(link) = self.connections.get(&pair).copied() {
                    self.at(1000, Event::Disconnect { a: pair.0, b: pair.1, link });
                }
            }
            Action::Isolate(at, ms) => {
                self.note_fault(self.now + ms);
                let life = self.stores[at].incarnation;
                self.stores[at].control.is_isolated = true;
                for other in (0..self.stores.len()).filter(|other| *other != at) {
                    let pair = (at.min(other), at.max(other));
                    self.partitions.insert(pair);
                    if let Some(link) = self.connections.get(&pair).copied() {
                        self.at(5, Event::Disconnect { a: pair.0, b: pair.1, link });
                    }
                }
                // It last heard the control nodes just before.
                self.at(1500, Event::ControlLost { at, life, lapsed: true });
                self.at(2500, Event::ControlLost { at, life, lapsed: false });
                self.at(1700, Event::SessionLapses { at, life });
                self.at(ms, Event::IsolationEnds { at, life });
            }
            Action::Reconnect(a, b) => {
                self.note_fault(self.now);
                self.partitions.remove(&(a.min(b), a.max(b)));
                self.at(50, Event::Connect { a, b });
            }
            Action::Retire(at) => {
                if let Some((queue, now)) = self.queue(at) {
                    queue.retire(now);
                }
                self.turn(at);
            }
            Action::DiskFull(at, full) => {
                self.note_fault(self.now);
                self.stores[at].is_disk_full = full;
            }
            Action::DiskSlow(at, ms) => {
                self.note_fault(self.now);
                self.stores[at].sync_ms = ms;
            }
            Action::PowerLossOfAll => (0..self.stores.len()).for_each(|at| self.inject(at, Fault::PowerLoss)),
            Action::Remove(at) => {
                self.inject(at, Fault::DiskLoss);
                self.stores[at].is_removed = true;
            }
            Action::Add => self.add_store(),
            Action::DiskLossInBlackout(at) => {
                let others = self.present_stores().into_iter().filter(|other| *other != at);
                others.collect::<Vec<_>>().into_iter().for_each(|other| self.inject(other, Fault::PowerLoss));
                self.inject(at, Fault::DiskLoss);
            }
            Action::Endpoint(up) => self.is_endpoint_up = up,
            Action::Configure(extra) => {
                self.config = config(self.config.revision + 1, extra, self.max_tries, self.max_wait_s);
                for at in 0..self.stores.len() {
                    self.at(20 + 30 * at as u64, Event::ConfigurationTold { at });
                }
            }
        }
    }
}
