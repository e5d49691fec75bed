//! The copies of the control state: one that is lost is replaced by a voter that was filled before it is named.

use super::orders::Waiting;
use super::{Role, LOST};
use crate::{ControlGroup, Millis, Planted, View, Voter};

impl ControlGroup {
    /// Too few copies, or one that does not answer: another voter is filled, and then named.
    pub(super) fn look_after_copies(&mut self, now: Millis, view: &View) {
        if !self.leads(now) {
            return;
        }
        let want = self.wanted_copies(view);
        let own = self.state.clone();
        let lost = self.lost_copies(now, view);
        let link_down = |v: &Voter| self.links.get(v) == Some(&false);
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
        let other = view.voters.iter().filter(|v| !view.copies.contains(v) && !lead.leaving.contains(v));
        let other = other.copied().find(|v| lead.here(now, v) && !link_down(v));
        if let Some(job) = &lead.job {
            let slow = now > job.since + LOST;
            match &job.joins {
                Some((v, _)) if slow || link_down(v) || !lead.here(now, v) => lead.job = None,
                Some(_) => return,
                None if lost.is_empty() || !job.missing.iter().all(|v| lost.contains(v)) => return,
                None if other.is_none() => return,
                // A write that waits for one that is gone is settled with the copies that come after it.
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
        if let Some(voter) = other.filter(|_| view.copies.len() - lost.len() < want) {
            if self.planted(Planted::UnfilledNamed) {
                return self.change_copies(now, voter, &lost);
            }
            return self.write(now, own, None, vec![voter], Some((voter, lost)));
        }
        self.look_after_voters(now, view);
    }

    fn wanted_copies(&self, view: &View) -> usize {
        (self.settings.tolerated(view.voters.len()) + 1).min(view.voters.len())
    }

    /// Copies that are gone, or whose disk does not take what they are sent.
    fn lost_copies(&self, now: Millis, view: &View) -> Vec<Voter> {
        let Role::Lead(lead) = &self.role else { return Vec::new() };
        let slow = lead.job.as_ref().filter(|job| now > job.since + LOST);
        let gone = |v: &Voter| {
            self.links.get(v) == Some(&false)
                || Self::leaves_by(lead, view, v)
                || lead.silent(now, v, LOST)
                || slow.is_some_and(|job| job.missing.contains(v))
        };
        view.copies.iter().copied().filter(|v| *v != self.settings.me && gone(v)).collect()
    }

    /// Asks for the view without the copies that were lost, and with one that has been filled. No more than are wanted: each
    /// write waits for all, and whether one that seemed lost is back does not matter any more.
    pub(super) fn change_copies(&mut self, now: Millis, joins: Voter, lost: &[Voter]) {
        let Some(mut next) = self.view.clone() else { return };
        next.copies.retain(|v| !lost.contains(v));
        next.copies.push(joins);
        self.ask_change(now, next);
    }
}
