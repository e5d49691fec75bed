//! What `make test-model` goes through of the queue.

use super::fleet::{QueueBounds, QueueScript};
use super::invariants::QueueProperty;
use stileroute_queue::Planted;

const TAKING: QueueBounds = QueueBounds {
    stores: 3,
    script: QueueScript::Taking,
    troubles: 1,
    delays: 0,
    one_span: false,
    one_away: false,
    every: 1,
    planted: None,
};
const EMPTYING: QueueBounds = QueueBounds { script: QueueScript::Emptying, ..TAKING };
const TWO: QueueBounds = QueueBounds { stores: 2, ..TAKING };

const LATE: QueueBounds = QueueBounds { delays: 1, ..TAKING };
const LATE_EMPTYING: QueueBounds = QueueBounds { delays: 1, ..EMPTYING };
const TWICE: QueueBounds = QueueBounds { troubles: 2, one_span: true, ..TAKING };
const TWICE_EMPTYING: QueueBounds = QueueBounds { troubles: 2, one_span: true, one_away: true, ..EMPTYING };

pub const QUEUE_PLAN: [QueueBounds; 8] = [
    TAKING,
    EMPTYING,
    TWO,
    LATE,
    LATE_EMPTYING,
    TWICE,
    TWICE_EMPTYING,
    QueueBounds { troubles: 2, one_span: true, ..TWO },
];

/// Each fault that shows within these bounds, and the property that tells of it first. The others are found by
/// `crates/model-check/tests/queue_planted.rs`.
pub const QUEUE_FAULTS: [(Planted, QueueProperty, QueueBounds); 12] = [
    (Planted::EarlyAnswer, QueueProperty::AcceptedIsKept, TAKING),
    (Planted::CopyUnsynced, QueueProperty::AcceptedIsKept, TWICE),
    (Planted::FenceUnheeded, QueueProperty::OwnerStarts, TAKING),
    (Planted::ReleasedEarly, QueueProperty::OwnerStarts, TWICE),
    (Planted::OldCopyList, QueueProperty::OwnerStarts, TWICE),
    (Planted::TermUnraised, QueueProperty::EndIsTold, TWICE),
    (Planted::TakenUnasked, QueueProperty::OwnerStarts, EMPTYING),
    (Planted::RetiredEarly, QueueProperty::EmptiedIsNotNeeded, EMPTYING),
    (Planted::RelievedForever, QueueProperty::EmptiedIsNotNeeded, EMPTYING),
    (Planted::OrphansUnheeded, QueueProperty::EmptiedIsNotNeeded, EMPTYING),
    (Planted::CopiesUnconfirmed, QueueProperty::EmptiedIsNotNeeded, TWICE_EMPTYING),
    (Planted::EndsGoAlong, QueueProperty::EndIsTold, EMPTYING),
];
