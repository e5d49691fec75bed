//! Whether this store is in contact with the control group, as the program observes it.

/// State of the contact with the control nodes. A store that reaches neither them nor a peer may be the one that is
/// partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlContact {
    /// A control node has answered this store recently.
    pub is_reachable: bool,
    /// The last answer of a control node is so old that the control nodes may have declared this store's session
    /// lapsed.
    pub session_may_have_lapsed: bool,
    /// The control node that answers may itself be partitioned from the other control nodes, for so long that they may
    /// have removed this store from the membership.
    pub group_may_be_lost: bool,
}

impl ControlContact {
    /// Full contact: control nodes answer this store and reach one another.
    pub const FULL: ControlContact =
        ControlContact { is_reachable: true, session_may_have_lapsed: false, group_may_be_lost: false };

    /// Whether control nodes that this store cannot reach may have removed it from the membership.
    pub(crate) fn may_be_removed_from_membership(self) -> bool {
        self.session_may_have_lapsed || self.group_may_be_lost || !self.is_reachable
    }
}
