//! What `make test-model` goes through of the queue.

use super::fleet::{QueueBounds, QueueScript};
use super::invariants::QueueProperty;
use stileroute_queue::PlantedFault;

const ONE_FAULT: QueueBounds = QueueBounds {
    stores: 3,
    script: QueueScript::Taking,
    troubles: 1,
    delays: 0,
    one_span: false,
    fleet_wide: false,
    every: 1,
    planted: None,
};
const RETIRING_ONE_FAULT: QueueBounds = QueueBounds { script: QueueScript::Emptying, ..ONE_FAULT };
const TWO_STORES: QueueBounds = QueueBounds { stores: 2, ..ONE_FAULT };

const ONE_FAULT_ONE_DELAY: QueueBounds = QueueBounds { delays: 1, ..ONE_FAULT };
const RETIRING_ONE_FAULT_ONE_DELAY: QueueBounds = QueueBounds { delays: 1, ..RETIRING_ONE_FAULT };
const TWO_FAULTS: QueueBounds = QueueBounds { troubles: 2, one_span: true, ..ONE_FAULT };
const RETIRING_TWO_FAULTS: QueueBounds = QueueBounds { troubles: 2, one_span: true, ..RETIRING_ONE_FAULT };

const FLEET_WIDE: QueueBounds = QueueBounds { fleet_wide: true, ..TWO_FAULTS };
const FLEET_WIDE_ONE_DELAY: QueueBounds = QueueBounds { fleet_wide: true, ..ONE_FAULT_ONE_DELAY };
const RETIRING_FLEET_WIDE: QueueBounds = QueueBounds { fleet_wide: true, ..RETIRING_TWO_FAULTS };

/// With idempotency keys, around the loss of one disk. Claims are many steps: with two faults each third is chosen at, all by hand.
const KEYS_ONE_FAULT: QueueBounds = QueueBounds { script: QueueScript::Keys, ..ONE_FAULT };
const KEYS_TWO_FAULTS: QueueBounds = QueueBounds { troubles: 2, every: 3, ..KEYS_ONE_FAULT };

/// The bounds that `make test-model` searches.
pub const QUEUE_PLAN: [QueueBounds; 13] = [
    ONE_FAULT,
    RETIRING_ONE_FAULT,
    TWO_STORES,
    ONE_FAULT_ONE_DELAY,
    RETIRING_ONE_FAULT_ONE_DELAY,
    TWO_FAULTS,
    RETIRING_TWO_FAULTS,
    QueueBounds { troubles: 2, one_span: true, ..TWO_STORES },
    FLEET_WIDE_ONE_DELAY,
    FLEET_WIDE,
    RETIRING_FLEET_WIDE,
    KEYS_ONE_FAULT,
    KEYS_TWO_FAULTS,
];

/// Each fault that shows within these bounds, and the property that tells of it first. The others are found by
/// `crates/model-check/tests/queue_planted.rs`.
pub const QUEUE_FAULTS: [(PlantedFault, QueueProperty, QueueBounds); 16] = [
    (PlantedFault::EarlyAnswer, QueueProperty::AcceptedIsKept, ONE_FAULT),
    (PlantedFault::CopyUnsynced, QueueProperty::AcceptedIsKept, TWO_FAULTS),
    (PlantedFault::FenceUnheeded, QueueProperty::OwnerStarts, ONE_FAULT),
    (PlantedFault::ReleasedEarly, QueueProperty::OwnerStarts, TWO_FAULTS),
    (PlantedFault::OldCopyList, QueueProperty::OwnerStarts, TWO_FAULTS),
    (PlantedFault::TermUnraised, QueueProperty::EndIsTold, TWO_FAULTS),
    (PlantedFault::TakenUnasked, QueueProperty::OwnerStarts, RETIRING_TWO_FAULTS),
    (PlantedFault::RetiredEarly, QueueProperty::EmptiedIsNotNeeded, RETIRING_ONE_FAULT),
    (PlantedFault::RelievedForever, QueueProperty::EmptiedIsNotNeeded, RETIRING_ONE_FAULT),
    (PlantedFault::OrphansUnheeded, QueueProperty::EmptiedIsNotNeeded, RETIRING_ONE_FAULT),
    (PlantedFault::CopiesUnconfirmed, QueueProperty::EmptiedIsNotNeeded, RETIRING_TWO_FAULTS),
    (PlantedFault::EndsGoAlong, QueueProperty::EndIsTold, RETIRING_ONE_FAULT),
    (PlantedFault::ListShortenedEarly, QueueProperty::OwnerStarts, RETIRING_TWO_FAULTS),
    (PlantedFault::RetiringUnasked, QueueProperty::OwnerStarts, RETIRING_TWO_FAULTS),
    (PlantedFault::FenceUnannounced, QueueProperty::OwnerStarts, FLEET_WIDE),
    (PlantedFault::BlankGrantCounts, QueueProperty::KeyRunsOnce, KEYS_TWO_FAULTS),
];
