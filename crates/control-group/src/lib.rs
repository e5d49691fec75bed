//! The control group agrees on which control node is primary and which nodes store the control state. It is a state machine
//! without I/O: it takes events and readings of a monotonic clock, and returns [`Effect`]s.
//!
//! The protocol is primary/backup replication with views that a majority of voters grants, as in PacificA (Lin et al. 2008) and
//! viewstamped replication, and with leases as in Gray and Cheriton 1989. The replicated state is a single value, a
//! [`ControlState`]: the operators' configuration and the retired stores, with a serial that rises with each write. The primary
//! writes the whole value to every replica before it acknowledges a change. A small group of voters stores only the [`View`]:
//! the epoch, the primary, the replicas and the voters. A new view needs grants from a majority of voters, and each voter writes
//! the view to disk before it grants it. No log is replicated.
//!
//! Safety rests on these rules:
//! - A candidate has to be a replica according to the newest membership that a majority knows, so it has every acknowledged
//!   write. A membership is as new as the epoch in which a primary had it granted, not as the epoch of a later candidate that
//!   took it over unchanged.
//! - A primary acts only on acknowledgements of heartbeats that it sent within the lease period, and a voter that acknowledged
//!   one grants no view to another node for a longer period. Both periods are measured on monotonic clocks, never by the time of
//!   day.
//! - A node that has lost its disk no longer knows which views it granted. It votes again only after a majority of the other
//!   voters has sent it their views. It also has no control state, and does not become a candidate before the primary has sent
//!   it the value.
//!
//! The modules, from the lowest layer up: `clock`, `view`, `control_state`, `retirement`, `state_change`, `message`, `record`,
//! `effect` and `settings` define the data types; `proposal`, `replicated_write`, `role` and `node_state` hold a node's state;
//! `control_group` dispatches events; `voter`, `backup`, `candidate`, `primary`, `departure`, `view_recovery` and `persistence`
//! handle them.

mod backup;
mod candidate;
mod clock;
mod control_group;
mod control_state;
mod departure;
mod effect;
#[cfg(feature = "planted")]
mod fingerprint;
mod message;
mod node_state;
mod persistence;
mod planted;
mod primary;
mod primary_contact;
mod proposal;
mod record;
mod replicated_write;
mod retirement;
mod role;
mod settings;
mod state_change;
mod view;
mod view_recovery;
mod voter;

pub use clock::{lease_ends_first, Millis, GRACE_PERIOD, LEASE_PERIOD, MAX_CLOCK_DRIFT_PER_MILLE};
pub use control_group::ControlGroup;
pub use control_state::{ControlState, Rank};
pub use effect::{Effect, RoleChange, Verdict};
#[cfg(feature = "planted")]
pub use fingerprint::Fingerprinter;
pub use message::{Heartbeat, HeartbeatAck, Message};
#[cfg(feature = "planted")]
pub use planted::Planted;
pub use record::{LegacyConfiguration, PersistedState, Record, Vote};
pub use retirement::{Retirement, RetirementStage, MAX_RETIREMENTS};
pub use settings::GroupSettings;
pub use state_change::StateChange;
pub use view::{NodeId, View};

#[cfg(not(feature = "planted"))]
use planted::Planted;
