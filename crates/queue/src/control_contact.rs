//! Contact with the control group, as the program sees it.

/// Whether the control nodes hear this store. Without them and without a peer it may be the one that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlContact {
    /// A control node has answered lately.
    pub is_heard: bool,
    /// The last answer is so old that the control nodes may declare this store's session lapsed.
    pub session_may_have_lapsed: bool,
}
