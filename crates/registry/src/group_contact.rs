//! How recently this control node was known to be in contact with the others, as the program reports it to the
//! registry.

use crate::messages::Millis;

/// Maximum age of a contact that counts as fresh. In normal operation every heartbeat of the primary confirms
/// the contact.
const CONTACT_FRESHNESS_LIMIT: Millis = 600;

/// Whether this control node knows that the other control nodes have not continued without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupContact {
    /// This control node is not the primary and hears no primary that holds the lease.
    Lost,
    /// This control node was last in contact with the others `age` milliseconds ago.
    Held {
        /// Milliseconds since the last confirmed contact.
        age: Millis,
    },
}

impl GroupContact {
    /// A contact that was confirmed at this moment.
    pub const NOW: GroupContact = GroupContact::Held { age: 0 };

    /// The contact at `now`. `last_contact` is the time of the last confirmed contact, or `None` if that
    /// contact no longer counts.
    pub fn since(last_contact: Option<Millis>, now: Millis) -> GroupContact {
        match last_contact {
            Some(contact_time) => GroupContact::Held { age: now.saturating_sub(contact_time) },
            None => GroupContact::Lost,
        }
    }

    pub(crate) fn is_lost(self) -> bool {
        self == GroupContact::Lost
    }

    pub(crate) fn is_fresh(self) -> bool {
        matches!(self, GroupContact::Held { age } if age <= CONTACT_FRESHNESS_LIMIT)
    }

    /// The contact age that a node is sent with a membership update, in milliseconds. Updates that carry a
    /// configuration are also sent without contact; their age is then `u64::MAX`, which claims no contact.
    pub(crate) fn age_ms(self) -> u64 {
        match self {
            GroupContact::Held { age } => age,
            GroupContact::Lost => u64::MAX,
        }
    }
}
