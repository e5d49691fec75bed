//! Who votes: a node that is gone is left out, and one that comes joins, one change at a time.

use super::{Candidacy, Lead, Role, ABSENT, LOST};
use crate::voter::majority;
use crate::{ControlGroup, Millis, NodeId, Planted, View};

impl ControlGroup {
    /// One voter comes or goes at a time, so that any majority of before and any of after meet: one that has granted a change
    /// which was never granted by enough still needs a majority of the voters that it knows, and so may the others.
    pub(super) fn look_after_voters(&mut self, now: Millis, view: &View) {
        let committed = self.committed.as_ref().map_or(0, |c| c.serial);
        let Role::Lead(lead) = &self.role else { return };
        if committed == 0 || lead.job.is_some() || !lead.settled {
            return;
        }
        let Some(voters) = self.next_voters(now, lead, view) else { return };
        if lead.leave_by.is_some() && !self.half_replaced(now, lead, view) {
            return;
        }
        // One that is asked for and never granted holds up everything: it is not begun without a majority of both in sight.
        let present = |v: &&NodeId| {
            **v == self.settings.node_id || self.present(now, lead, v) || self.planted(Planted::BlindChange)
        };
        let enough = |list: &[NodeId]| majority(list, list.iter().filter(present));
        if enough(&voters) && enough(&view.voters) {
            self.ask_change(now, View { voters, ..view.clone() });
        }
    }

    /// One that is gone is replaced in two changes, one right after the other. It is left out first: so the loss of the one that
    /// comes, as it comes, holds nothing up. Without one that comes it stays, for it may only be starting again; but of an even
    /// number of voters, who bear no more losses than one less, it is left out at once.
    fn next_voters(&self, now: Millis, lead: &Lead, view: &View) -> Option<Vec<NodeId>> {
        let voters = &view.voters;
        let others = || voters.iter().filter(|v| **v != self.settings.node_id);
        let comes = |v: &NodeId| {
            lead.here(now, v) && !voters.contains(v) && !lead.leaving.contains(v) && !self.link_down(v)
        };
        let joins = self.learners.iter().copied().find(comes);
        let with = |joins: NodeId| {
            let mut next: Vec<NodeId> = voters.iter().copied().chain([joins]).collect();
            next.sort();
            next
        };
        // A replica is let go only when another was filled in its place; where there is none yet, it comes first.
        let gone = others().find(|v| !view.replicas.contains(v) && self.gone(now, lead, view, v));
        if let Some(gone) = gone.filter(|_| joins.is_some() || voters.len().is_multiple_of(2)) {
            let next = joins.filter(|_| self.planted(Planted::SwapAtOnce)).map_or(voters.clone(), with);
            return Some(next.into_iter().filter(|v| v != gone).collect());
        }
        // Who has just fallen silent may be gone: until that is known nobody joins, or the group would bear less than before.
        let open = others().any(|v| !self.present(now, lead, v) && !self.gone(now, lead, view, v));
        joins.filter(|_| !open).map(with)
    }

    /// One that is gone was left out, and the one that comes is yet to join: one that ends now would be the second loss.
    pub(super) fn half_replaced(&self, now: Millis, lead: &Lead, view: &View) -> bool {
        let more = |next: Vec<NodeId>| next.len() > view.voters.len();
        view.voters.len().is_multiple_of(2) && self.next_voters(now, lead, view).is_some_and(more)
    }

    /// Other voters were asked for, and those who would have to grant it are gone: the voters stay as they were. Whoever has
    /// granted it needs a majority of the voters asked for, which has one in common with the majority that grants this.
    pub(super) fn take_back(&mut self, now: Millis, view: &View) {
        let Role::Lead(lead) = &self.role else { return };
        let waits = |change: &Candidacy| change.view.voters != view.voters && now > change.since + LOST;
        if lead.change.as_ref().is_some_and(waits) && !self.planted(Planted::BlindChange) {
            self.ask_change(now, view.clone());
        }
    }

    fn link_down(&self, voter: &NodeId) -> bool {
        self.links.get(voter) == Some(&false)
    }

    /// It acked the last heartbeats.
    fn present(&self, now: Millis, lead: &Lead, voter: &NodeId) -> bool {
        lead.acks.contains_key(voter)
            && !lead.silent(now, voter, 3 * self.settings.heartbeat_interval_ms)
            && !self.link_down(voter)
    }

    /// It has said that it goes for good, has been silent for long, or its connection broke and it was not back soon.
    fn gone(&self, now: Millis, lead: &Lead, view: &View, voter: &NodeId) -> bool {
        if self.planted(Planted::GoneStays) {
            return lead.acks.get(voter).map_or(now > lead.since + 3_000, |at| now > at + 3_000);
        }
        Self::leaves_by(lead, view, voter)
            || lead.silent(now, voter, if self.link_down(voter) { ABSENT } else { LOST })
    }

    /// It ends, and the group needs it no more. In an odd group whoever ends is taken for one that starts again.
    pub(super) fn leaves_by(lead: &Lead, view: &View, voter: &NodeId) -> bool {
        view.voters.len().is_multiple_of(2) && lead.leaving.contains(voter)
    }
}
