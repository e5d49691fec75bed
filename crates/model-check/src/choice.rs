//! The choices of a search: what may go another way than it does by itself.

use stileroute_control_group_planted::Millis;

/// Something that goes another way, at the state before a step. Spans are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Choice {
    /// The process ends, and is started again after `back`; the first `synced` records under way are on disk.
    Kill {
        /// Whose process.
        node: usize,
        /// How many records.
        synced: usize,
        /// How long it is away.
        back: Millis,
    },
    /// The machine loses power, and is started again after `back`; the first `synced` records under way are on disk.
    PowerLoss {
        /// Which machine.
        node: usize,
        /// How many records.
        synced: usize,
        /// How long it is away.
        back: Millis,
    },
    /// The machine loses its disk, and is started again, empty.
    DiskLoss {
        /// Which machine.
        node: usize,
        /// How long it is away.
        back: Millis,
    },
    /// The process is stopped for a while, and continues.
    Freeze {
        /// Whose process.
        node: usize,
        /// How long.
        span: Millis,
    },
    /// Two nodes hear each other no more.
    Partition {
        /// The one.
        a: usize,
        /// The other.
        b: usize,
        /// How long.
        span: Millis,
    },
    /// A node and all others hear each other no more.
    Isolate {
        /// Which node.
        node: usize,
        /// How long.
        span: Millis,
    },
    /// What one node sends reaches the other only later; the other direction is not affected.
    HoldOneWay {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// How long.
        span: Millis,
    },
    /// A node hears nobody, and is heard.
    HoldIncoming {
        /// Which node.
        node: usize,
        /// How long.
        span: Millis,
    },
    /// A node hears all others, and nobody hears it.
    HoldOutgoing {
        /// Which node.
        node: usize,
        /// How long.
        span: Millis,
    },
    /// One more node comes.
    Join {
        /// The new one.
        node: usize,
    },
    /// A node is lost for good, and an empty one comes a moment later.
    Replace {
        /// The lost one.
        node: usize,
        /// The new one.
        with: usize,
    },
    /// A node is isolated, and an empty one comes a moment later; then the first one is back.
    ReplaceWhileIsolated {
        /// The isolated one.
        node: usize,
        /// The new one.
        with: usize,
    },
    /// An empty node comes, and another is told to end, for good.
    PlannedReplacement {
        /// The one that ends.
        node: usize,
        /// The new one.
        with: usize,
    },
    /// A node is lost for good, and none comes in its place.
    Lose {
        /// The lost one.
        node: usize,
    },
    /// Two nodes hear each other, and none of the rest.
    Split {
        /// The one.
        node: usize,
        /// The other.
        with: usize,
        /// How long.
        span: Millis,
    },
    /// A machine loses its disk while all others lose power; all are started again after `back`.
    Blackout {
        /// The one that loses its disk.
        node: usize,
        /// Whether the records under way at the others are on disk.
        are_synced: bool,
        /// How long all are away.
        back: Millis,
    },
    /// A process is told to end, and is started again.
    ShutDown {
        /// Whose process.
        node: usize,
    },
    /// The next message from one node to another, and all that are in flight behind it, come later.
    DelayMessages {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// How much later.
        by: Millis,
    },
    /// A connection breaks and is opened again at once: what is in flight, in both directions, is lost.
    ResetConnection {
        /// The one end.
        from: usize,
        /// The other end.
        to: usize,
    },
    /// The records that are on their way to a disk are synced later.
    DelayDisk {
        /// Whose disk.
        node: usize,
        /// How much later.
        by: Millis,
    },
    /// The disk refuses the next record.
    RefuseRecord {
        /// Whose disk.
        node: usize,
    },
}

impl Choice {
    /// Choices with the same key come to much the same, a little earlier or later.
    pub fn similarity_key(&self) -> (u8, usize, usize, Millis) {
        match *self {
            Choice::Kill { node, back, .. } => (0, node, 0, back),
            Choice::PowerLoss { node, back, .. } => (1, node, 0, back),
            Choice::DiskLoss { node, back } => (2, node, 0, back),
            Choice::Freeze { node, span } => (3, node, 0, span),
            Choice::Partition { a, b, span } => (4, a.min(b), a.max(b), span),
            Choice::Isolate { node, span } => (5, node, 0, span),
            Choice::ShutDown { node } => (6, node, 0, 0),
            Choice::DelayMessages { from, to, by } => (7, from, to, by),
            Choice::ResetConnection { from, to } => (8, from.min(to), from.max(to), 0),
            Choice::DelayDisk { node, by } => (9, node, 0, by),
            Choice::RefuseRecord { node } => (10, node, 0, 0),
            Choice::HoldOneWay { from, to, span } => (11, from, to, span),
            Choice::HoldIncoming { node, span } => (12, node, 0, span),
            Choice::HoldOutgoing { node, span } => (13, node, 0, span),
            Choice::Join { node } => (14, node, 0, 0),
            Choice::Replace { node, with } => (15, node, with, 0),
            Choice::PlannedReplacement { node, with } => (16, node, with, 0),
            Choice::Lose { node } => (17, node, 0, 0),
            Choice::Split { node, with, span } => (18, node, with, span),
            Choice::ReplaceWhileIsolated { node, with } => (19, node, with, 0),
            Choice::Blackout { node, are_synced, back } => (20, node, usize::from(are_synced), back),
        }
    }
    /// Whether it counts as a fault; else it counts as a delay.
    pub fn is_fault(&self) -> bool {
        !matches!(
            self,
            Choice::DelayMessages { .. }
                | Choice::ResetConnection { .. }
                | Choice::DelayDisk { .. }
                | Choice::RefuseRecord { .. }
        )
    }
}
