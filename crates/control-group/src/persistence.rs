//! Records that are being written to disk, and the actions that follow once they are durable.

use crate::node_state::OnPersisted;
use crate::{ControlGroup, Effect, Message, Millis, Record, View};

impl ControlGroup {
    pub(crate) fn persist(&mut self, record: Record, then: OnPersisted) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.pending_persists.insert(ticket, then);
        self.effects.push(Effect::Persist { ticket, record });
    }

    /// Writes a view to disk, unless that write is under way. It is called again when the view is requested again, because the
    /// disk may have refused the first write.
    pub(crate) fn persist_view(&mut self, view: View, then: OnPersisted) {
        if !self.pending_persists.values().any(|pending| pending.view() == Some(&view)) {
            self.persist(Record::View(view), then);
        }
    }

    /// Handles the result of writing a record: it is on disk, or `is_durable` is false and the disk could not write it.
    pub fn persisted(&mut self, now: Millis, ticket: u64, is_durable: bool) {
        let Some(then) = self.pending_persists.remove(&ticket) else { return };
        if is_durable {
            self.record_is_durable(now, then);
        } else if matches!(then, OnPersisted::CountOwnReplica { .. } | OnPersisted::CountOwnGrant { .. }) {
            self.own_disk_failed(now);
        }
    }

    fn record_is_durable(&mut self, now: Millis, then: OnPersisted) {
        match then {
            OnPersisted::SendGrant { to, view } => {
                // A view that was superseded while it was being written is no longer granted.
                if self.view_is_durable(&view) {
                    self.send(to, Message::Granted { view });
                }
            }
            OnPersisted::CountOwnGrant { view } => {
                self.view_is_durable(&view);
                self.granted(now, self.settings.node_id, view);
            }
            OnPersisted::ConfirmView { view } => {
                self.view_is_durable(&view);
            }
            OnPersisted::SendStored { to, epoch, write_id, state } => {
                if epoch == self.epoch() {
                    self.state = state;
                    self.has_state = true;
                    self.send(to, Message::Stored { epoch, write_id });
                }
            }
            OnPersisted::CountOwnReplica { write_id } => {
                self.stored(now, self.settings.node_id, self.epoch(), write_id);
            }
            OnPersisted::Nothing => {}
        }
    }

    /// Records that a view is on disk, if it is still the newest one. Returns whether it is.
    fn view_is_durable(&mut self, view: &View) -> bool {
        let is_newest = self.view.as_ref() == Some(view);
        if is_newest {
            self.durable_epoch = self.durable_epoch.max(view.epoch);
        }
        is_newest
    }
}
