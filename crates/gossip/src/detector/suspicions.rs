//! Suspicions: a member that did not answer has time to refute its suspicion; the more other members share the suspicion, the
//! shorter the time (Lifeguard's dynamic suspicion time-outs).

use super::{Detector, MAX_HEALTH_PENALTY};
use crate::member::{Entry, Evidence, State};
use crate::Time;

/// Ratio of the longest to the shortest duration of a suspicion.
const MAX_SUSPICION_FACTOR: f64 = 6.0;
/// Number of other members that must share a suspicion to reduce it to the shortest duration.
const MAX_CONFIRMATIONS: usize = 3;

/// A suspicion of one member.
pub(super) struct Suspicion {
    /// Time at which the suspicion began at this instance.
    pub began_at: Time,
    /// Identifiers of the members that share the suspicion.
    suspected_by: Vec<u64>,
}

impl Detector {
    /// Marks a member as suspect, or records that one more member shares the suspicion.
    pub(super) fn suspect(&mut self, now: Time, entry: Entry, evidence: Evidence) {
        let suspected_by = entry.suspected_by;
        if self.table.apply(now, entry, evidence) {
            let suspicion = Suspicion { began_at: now, suspected_by: vec![suspected_by] };
            self.suspicions.insert(entry.id, suspicion);
            self.disseminate(entry);
            return;
        }
        let Some(suspicion) = self.suspicions.get_mut(&entry.id) else { return };
        let known = self.table.members.get(&entry.id);
        let is_same = known.is_some_and(|member| member.entry.incarnation == entry.incarnation);
        let is_counted = suspicion.suspected_by.contains(&suspected_by);
        if is_same && !is_counted && suspicion.suspected_by.len() <= MAX_CONFIRMATIONS {
            suspicion.suspected_by.push(suspected_by);
            // An additional confirmation of a suspicion is forwarded, because it shortens the suspicion at other members too.
            self.disseminate(entry);
        }
    }

    /// Declares members dead that have not refuted a suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Time) {
        let interval = self.settings.probe_interval as f64;
        let shortest = self.settings.suspicion_multiplier * self.fleet_size().log10().max(1.0) * interval;
        let longest = shortest * MAX_SUSPICION_FACTOR;
        let own_health = 1.0 + self.health_penalty as f64 / MAX_HEALTH_PENALTY as f64;
        let mut dead = Vec::new();
        self.suspicions.retain(|id, suspicion| {
            let Some(member) = self.table.members.get(id) else { return false };
            if member.entry.state != State::Suspect {
                return false;
            }
            let shared = (suspicion.suspected_by.len() as f64).ln() / ((MAX_CONFIRMATIONS + 1) as f64).ln();
            let duration = (longest - (longest - shortest) * shared.min(1.0)) * own_health;
            let is_over = now >= suspicion.began_at + duration as Time;
            if is_over {
                dead.push(Entry { state: State::Dead, suspected_by: 0, ..member.entry });
            }
            !is_over
        });
        for entry in dead {
            if self.table.apply(now, entry, Evidence::NotRefuted) {
                self.disseminate(entry);
            }
        }
    }
}
