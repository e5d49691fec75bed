//! Contact with the control group, as the program sees it.

/// Whether the control nodes hear this store. Without them and without a peer it may be the one that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlContact {
    /// A control node has answered lately.
    pub is_heard: bool,
    /// The last answer is so old that the control nodes may declare this store's session lapsed.
    pub session_may_have_lapsed: bool,
    /// The control node that answers may itself be cut off from the others, for so long that these may have listed this store as
    /// gone.
    pub group_may_be_lost: bool,
}

impl ControlContact {
    /// As long as control nodes answer and hear one another.
    pub const FULL: ControlContact =
        ControlContact { is_heard: true, session_may_have_lapsed: false, group_may_be_lost: false };

    /// Whether control nodes that this store can't hear may have listed it as gone.
    pub(crate) fn may_be_listed_as_gone(self) -> bool {
        self.session_may_have_lapsed || self.group_may_be_lost || !self.is_heard
    }
}
