//! The replicas of the control state: one that is lost is replaced by a voter that was filled before it is named.

use super::orders::Waiting;
use super::{Role, LOST};
use crate::{ControlGroup, Millis, NodeId, Planted, View};

impl ControlGroup {
    /// Too few replicas, or one that does not answer: another voter is filled, and then named.
    pub(super) fn look_after_replicas(&mut self, now: Millis, view: &View) {
        if !self.holds_lease(now) {
            return;
        }
        let want = self.wanted_replicas(view);
        let own = self.state.clone();
        let lost = self.lost_replicas(now, view);
        let link_down = |v: &NodeId| self.links.get(v) == Some(&false);
        let Role::Lead(lead) = &mut self.role else { return };
        if lead.change.is_some() {
            return;
        }
        if lead.leave_by.is_some() {
            return self.look_after_voters(now, view);
        }
        if view.membership_epoch != view.epoch {
            return self.ask_change(now, view.clone());
        }
        let other = view.voters.iter().filter(|v| !view.replicas.contains(v) && !lead.leaving.contains(v));
        let other = other.copied().find(|v| lead.here(now, v) && !link_down(v));
        if let Some(job) = &lead.job {
            let slow = now > job.since + LOST;
            match &job.joins {
                Some((v, _)) if slow || link_down(v) || !lead.here(now, v) => lead.job = None,
                Some(_) => return,
                None if lost.is_empty() || !job.missing.iter().all(|v| lost.contains(v)) => return,
                None if other.is_none() => return,
                // A write that waits for one that is gone is settled with the replicas that come after it.
                None => {
                    let order = lead.job.take().and_then(|job| job.change);
                    if let Some(order) = order.filter(|order| order.ticket.is_some()) {
                        lead.queue.push_front(Waiting { order, since: now, begun: true });
                    }
                    // Those that are left are made alike again: what was answered late may be on all of them.
                    lead.settled = false;
                }
            }
        }
        if let Some(voter) = other.filter(|_| view.replicas.len() - lost.len() < want) {
            if self.planted(Planted::UnfilledNamed) {
                return self.change_replicas(now, voter, &lost);
            }
            return self.write(now, own, None, vec![voter], Some((voter, lost)));
        }
        self.look_after_voters(now, view);
    }

    fn wanted_replicas(&self, view: &View) -> usize {
        (self.settings.tolerated(view.voters.len()) + 1).min(view.voters.len())
    }

    /// Copies that are gone, or whose disk does not take what they are sent.
    fn lost_replicas(&self, now: Millis, view: &View) -> Vec<NodeId> {
        let Role::Lead(lead) = &self.role else { return Vec::new() };
        let slow = lead.job.as_ref().filter(|job| now > job.since + LOST);
        let gone = |v: &NodeId| {
            self.links.get(v) == Some(&false)
                || Self::leaves_by(lead, view, v)
                || lead.silent(now, v, LOST)
                || slow.is_some_and(|job| job.missing.contains(v))
        };
        view.replicas.iter().copied().filter(|v| *v != self.settings.node_id && gone(v)).collect()
    }

    /// Asks for the view without the replicas that were lost, and with one that has been filled. No more than are wanted: each
    /// write waits for all, and whether one that seemed lost is back does not matter any more.
    pub(super) fn change_replicas(&mut self, now: Millis, joins: NodeId, lost: &[NodeId]) {
        let Some(mut next) = self.view.clone() else { return };
        next.replicas.retain(|v| !lost.contains(v));
        next.replicas.push(joins);
        self.ask_change(now, next);
    }
}
