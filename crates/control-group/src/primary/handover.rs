//! Handing leadership over to another replica, and the orderly end of a process.

use super::Role;
use crate::{ControlGroup, Effect, Message, Millis, NodeId};

/// A node that is told to end waits at most so long for its leadership or its vote to be taken from it.
const LEAVE: Millis = 500;

impl ControlGroup {
    /// The process is to end: leadership goes to a replica that is here.
    pub fn shut_down(&mut self, now: Millis) {
        match &mut self.role {
            Role::Lead(lead) => lead.leave_by = Some(now + LEAVE),
            _ if self.leaving.is_some() => return,
            _ => {
                self.step_down(now);
                if self.leave(now, now + LEAVE) {
                    return;
                }
                self.released = true;
                return self.effects.push(Effect::ReadyToExit);
            }
        }
        self.lead(now);
    }

    /// A replica holds whatever was answered, settled or not: it is told that this one acts no more.
    pub(super) fn hand_over(&mut self, now: Millis, ends: bool) {
        let Some(view) = self.view.clone() else { return };
        let Role::Lead(lead) = &self.role else { return };
        let able =
            |v: &&NodeId| **v != self.settings.node_id && lead.here(now, v) && !lead.unfilled.contains(v);
        let next = view.replicas.iter().filter(able).find(|v| self.links.get(v) != Some(&false)).copied();
        if next.is_none() && !ends {
            return;
        }
        self.step_down(now);
        if let Some(next) = next {
            self.send(next, Message::Handover { epoch: view.epoch, is_shutting_down: ends });
        }
        if ends {
            self.leaving = None;
            self.released = true;
            self.effects.push(Effect::ReadyToExit);
        }
    }

    /// A voter is told to end.
    pub(crate) fn leaves(&mut self, now: Millis, from: NodeId, epoch: u64) {
        let mine = self.epoch();
        if let Role::Lead(lead) = &mut self.role {
            if epoch == mine {
                lead.leaving.insert(from);
                self.lead(now);
            }
        }
    }
}
