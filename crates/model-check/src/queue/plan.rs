//! What `make test-model` goes through of the queue.

use super::fleet::{QueueBounds, QueueScript};
use super::invariants::QueueProperty;
use stileroute_queue::PlantedFault;

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
pub const QUEUE_FAULTS: [(PlantedFault, QueueProperty, QueueBounds); 12] = [
    (PlantedFault::EarlyAnswer, QueueProperty::AcceptedIsKept, TAKING),
    (PlantedFault::CopyUnsynced, QueueProperty::AcceptedIsKept, TWICE),
    (PlantedFault::FenceUnheeded, QueueProperty::OwnerStarts, TAKING),
    (PlantedFault::ReleasedEarly, QueueProperty::OwnerStarts, TWICE),
    (PlantedFault::OldCopyList, QueueProperty::OwnerStarts, TWICE),
    (PlantedFault::TermUnraised, QueueProperty::EndIsTold, TWICE),
    (PlantedFault::TakenUnasked, QueueProperty::OwnerStarts, EMPTYING),
    (PlantedFault::RetiredEarly, QueueProperty::EmptiedIsNotNeeded, EMPTYING),
    (PlantedFault::RelievedForever, QueueProperty::EmptiedIsNotNeeded, EMPTYING),
    (PlantedFault::OrphansUnheeded, QueueProperty::EmptiedIsNotNeeded, EMPTYING),
    (PlantedFault::CopiesUnconfirmed, QueueProperty::EmptiedIsNotNeeded, TWICE_EMPTYING),
    (PlantedFault::EndsGoAlong, QueueProperty::EndIsTold, EMPTYING),
];
