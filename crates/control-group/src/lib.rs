//! The control group: which control node decides on the control state, and which nodes store it. A state machine without I/O:
//! events and the time of a steady clock go in, [`Effect`]s come out.
//!
//! The protocol is primary/backup replication with views that a majority of voters grants, as in PacificA (Lin et al. 2008) and
//! viewstamped replication, with leases as in Gray and Cheriton 1989. The state is one value, a [`ControlState`]: the
//! operators' configuration and the stores that are retired, with a serial that rises with each write. A primary writes the
//! whole value to every replica before it acknowledges a change. A small group of voters keeps only the [`View`]: the epoch, who
//! is primary, which nodes are replicas, and who votes. A new view is granted by a majority of voters, each with it on disk
//! first; no log is replicated.
//!
//! What makes it safe:
//! - A candidate is a replica by the newest membership that a majority knows, so it has whatever was acknowledged. A membership
//!   is as new as the epoch in which a primary had it granted, not as the epoch of a later candidate that took it over.
//! - A primary acts only on acknowledgements of heartbeats that it sent within the lease period, and a voter that acknowledged
//!   one grants nothing to others for longer than that: periods on steady clocks, never the time of day.
//! - A node that has lost its disk has forgotten what it granted. It votes again only after a majority of the others has told it
//!   their view. As a replica it has no value, and becomes no candidate before the primary has filled it.
//!
//! The modules, from the ground up: `clock`, `view`, `control_state`, `retirement`, `state_change`, `message`, `record`,
//! `effect` and `settings` are the vocabulary; `proposal`, `replicated_write`, `role` and `node_state` are what a node keeps;
//! `control_group` takes events in; `voter`, `backup`, `candidate`, `primary`, `departure`, `view_recovery` and `persistence`
//! are what it does with them.

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
