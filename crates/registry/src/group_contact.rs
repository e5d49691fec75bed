//! Contact of this control node with the others, as the registry is told of it.

use crate::messages::Millis;

/// A contact that is older than this is no longer fresh. While all is well it is confirmed with every heartbeat of the primary.
const FRESHNESS_LIMIT: Millis = 600;

/// Whether this control node knows that the others have not gone on without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupContact {
    /// It hears no primary that holds the lease, nor is it one.
    Lost,
    /// It was in contact so long ago.
    Held {
        /// Milliseconds since the last confirmed contact.
        age: Millis,
    },
}

impl GroupContact {
    /// Contact at this moment.
    pub const NOW: GroupContact = GroupContact::Held { age: 0 };

    /// `last_contact` is the time of the last confirmed contact, if it still counts.
    pub fn since(last_contact: Option<Millis>, now: Millis) -> GroupContact {
        match last_contact {
            Some(at) => GroupContact::Held { age: now.saturating_sub(at) },
            None => GroupContact::Lost,
        }
    }

    pub(crate) fn is_lost(self) -> bool {
        self == GroupContact::Lost
    }

    pub(crate) fn is_fresh(self) -> bool {
        matches!(self, GroupContact::Held { age } if age <= FRESHNESS_LIMIT)
    }

    /// What a node is told with an update. A configuration is sent without contact too, and says nothing of any.
    pub(crate) fn age_ms(self) -> u64 {
        match self {
            GroupContact::Held { age } => age,
            GroupContact::Lost => u64::MAX,
        }
    }
}
