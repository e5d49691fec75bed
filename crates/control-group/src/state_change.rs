//! Changes of the control state, and their application to the current one.

use crate::{ControlState, Retirement, RetirementStage, MAX_RETIREMENTS};

/// A change of the control state, as the primary accepts it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StateChange {
    /// Replaces the operators' configuration with a newer version.
    Configuration {
        /// The version of the new configuration; it has to be above the current one.
        version: u64,
        /// The new configuration.
        body: Vec<u8>,
    },
    /// Orders a store to be retired.
    Retire {
        /// Identifies the store by the hash of its name.
        node: u32,
        /// The store's name.
        name: String,
    },
    /// Records that a retirement has reached a later stage.
    Advance {
        /// Identifies the store by the hash of its name.
        node: u32,
        /// The stage that the retirement has reached.
        stage: RetirementStage,
    },
}

/// The result of applying a change to the current control state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChangeOutcome {
    /// The control state already contains the change or a newer one.
    Unchanged,
    /// The list is full: [`MAX_RETIREMENTS`] retirements are under way, and none of them is complete.
    NoCapacity,
    /// The next control state, with the next serial.
    Changed(ControlState),
}

/// How a configuration with the current version is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EqualVersion {
    Ignored,
    /// The configuration is accepted: a fault for the model checker to find.
    Accepted,
}

impl StateChange {
    pub(crate) fn apply(&self, present: &ControlState, equal_version: EqualVersion) -> ChangeOutcome {
        let mut next = ControlState { serial: present.serial + 1, ..present.clone() };
        let is_changed = match self {
            StateChange::Configuration { version, body } => {
                replace_configuration(&mut next, *version, body, equal_version)
            }
            StateChange::Retire { node, name } => {
                if present.retirement(*node).is_some() {
                    return ChangeOutcome::Unchanged;
                }
                if !ensure_capacity(&mut next.retirements) {
                    return ChangeOutcome::NoCapacity;
                }
                let stage = RetirementStage::Ordered;
                next.retirements.push(Retirement { node: *node, name: name.clone(), stage });
                true
            }
            StateChange::Advance { node, stage } => advance(&mut next.retirements, *node, *stage),
        };
        if is_changed {
            ChangeOutcome::Changed(next)
        } else {
            ChangeOutcome::Unchanged
        }
    }
}

fn replace_configuration(
    state: &mut ControlState,
    version: u64,
    body: &[u8],
    equal_version: EqualVersion,
) -> bool {
    let is_accepted = match equal_version {
        EqualVersion::Ignored => version > state.version,
        EqualVersion::Accepted => version >= state.version,
    };
    if !is_accepted {
        return false;
    }
    state.version = version;
    state.body = body.to_vec();
    true
}

/// Removes the oldest complete retirement if the list is full. Returns false if there is none to remove.
fn ensure_capacity(retirements: &mut Vec<Retirement>) -> bool {
    if retirements.len() < MAX_RETIREMENTS {
        return true;
    }
    let complete = |retirement: &Retirement| retirement.stage == RetirementStage::Complete;
    let Some(oldest) = retirements.iter().position(complete) else { return false };
    retirements.remove(oldest);
    true
}

fn advance(retirements: &mut [Retirement], node: u32, stage: RetirementStage) -> bool {
    let is_behind = |retirement: &&mut Retirement| retirement.node == node && retirement.stage < stage;
    let Some(retirement) = retirements.iter_mut().find(is_behind) else { return false };
    retirement.stage = stage;
    true
}
