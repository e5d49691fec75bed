//! Asking for another view, and counting the voters that grant it.

use super::Role;
use crate::voter::majority;
use crate::{After, ControlGroup, Effect, Message, Millis, NodeId, RoleChange, View};
use std::collections::BTreeSet;

/// A view that is asked for.
#[derive(Clone, Debug)]
pub(crate) struct Candidacy {
    pub view: View,
    pub before: View,
    pub grants: BTreeSet<NodeId>,
    /// They have given another their vote for this epoch.
    pub against: BTreeSet<NodeId>,
    pub since: Millis,
    pub released: bool,
}

impl Candidacy {
    pub fn new(since: Millis, view: View, before: View, released: bool) -> Candidacy {
        Candidacy { view, before, grants: BTreeSet::new(), against: BTreeSet::new(), since, released }
    }
    /// Those who may still grant it are no majority.
    pub fn lost(&self) -> bool {
        !majority(&self.view.voters, self.view.voters.iter().filter(|v| !self.against.contains(v)))
    }
    /// Granted by a majority of those who vote now and of those who will; `with` one more.
    pub fn won(&self, with: Option<NodeId>) -> bool {
        let grants = self.grants.iter().chain(with.as_ref());
        majority(&self.view.voters, grants.clone()) && majority(&self.before.voters, grants)
    }
}

impl ControlGroup {
    pub(super) fn ask_change(&mut self, now: Millis, next: View) {
        let Some(before) = self.view.clone() else { return };
        let Role::Lead(lead) = &mut self.role else { return };
        let asked = lead.asked_for().map_or(before.epoch, |asked| asked.epoch);
        let next = View { epoch: asked + 1, membership_epoch: asked + 1, ..next };
        let before_voters = before.voters.clone();
        lead.change = Some(Candidacy::new(now, next.clone(), before, false));
        lead.asked = now;
        self.persist_view(next.clone(), After::OwnGrant { view: next.clone() });
        self.propose(&next, &before_voters, false);
    }

    /// A voter has a view on its disk that this node asked for.
    pub(crate) fn granted(&mut self, now: Millis, from: NodeId, view: View) {
        match &mut self.role {
            Role::Candidacy(candidacy) if candidacy.view == view => {
                candidacy.grants.insert(from);
                self.count_grants(now);
            }
            Role::Lead(lead) => {
                let Some(change) = lead.change.as_mut().filter(|c| c.view == view) else { return };
                change.grants.insert(from);
                if !change.won(None) || !change.grants.contains(&self.settings.node_id) {
                    return;
                }
                let before = std::mem::take(&mut change.before.voters);
                lead.change = None;
                self.safe = self.safe.max(view.epoch);
                // Whoever was left out counts anew, should it come again.
                lead.acks.retain(|v, _| view.voters.contains(v) || !before.contains(v));
                lead.heartbeat_at = now;
                self.effects
                    .push(Effect::RoleChanged { epoch: view.epoch, change: RoleChange::MembershipChanged });
                self.view = Some(view.clone());
                self.vote_for(self.settings.node_id);
                // Who votes no more hears it too: it may wait for that to end.
                for voter in before.into_iter().filter(|v| !view.voters.contains(v)) {
                    self.send(voter, Message::ViewReply { view: Some(view.clone()) });
                }
                self.lead(now);
            }
            _ => {}
        }
    }
}
