//! The records on disk, and the state that results from reading them. The order of variants and fields is the disk format: see
//! `tests/encoding.rs`.

use crate::{ControlState, NodeId, View};
use serde::{Deserialize, Serialize};

/// One record of the node's log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A view that this node has granted, adopted or proposed.
    View(View),
    /// The control state as builds before 0.2 wrote it. It is read but never written; to be removed one release later.
    LegacyConfiguration(LegacyConfiguration),
    /// The primary whose heartbeats this node acknowledges.
    ///
    /// Written once per epoch, and nothing waits for the write. Without this record, a process that has just started waits until
    /// any lease that its earlier incarnation may have acknowledged has expired.
    Vote(Vote),
    /// The replicated control state.
    ControlState(ControlState),
}

/// A node's vote for a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The epoch of the primary's view.
    pub epoch: u64,
    /// The primary that has the vote. No other node gets it in this epoch.
    pub primary: NodeId,
}

/// A configuration without a serial or retirements, as an older build stored it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LegacyConfiguration {
    /// The version that the operators gave the configuration. It is also used as the serial.
    pub version: u64,
    /// The configuration, as the operators sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl From<LegacyConfiguration> for ControlState {
    fn from(LegacyConfiguration { version, body }: LegacyConfiguration) -> ControlState {
        ControlState { serial: version, version, body, retirements: Vec::new() }
    }
}

/// The state on a node's disk: the result of applying all its records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistedState {
    /// The view with the highest epoch. `None` if the disk is new or was lost.
    pub view: Option<View>,
    /// The control state that was written last.
    pub state: Option<ControlState>,
    /// The vote that was written last.
    pub vote: Option<Vote>,
}

impl PersistedState {
    /// Applies one more record. Records have to be applied in the order of the log.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::View(view) => {
                if self.view.as_ref().is_none_or(|known| known.epoch <= view.epoch) {
                    self.view = Some(view);
                }
            }
            // The last control state in the log counts, not the highest: the current value overwrites that of an abandoned
            // write.
            Record::ControlState(state) => self.state = Some(state),
            Record::LegacyConfiguration(old) => self.state = Some(old.into()),
            Record::Vote(vote) => self.vote = Some(vote),
        }
    }

    /// The smallest set of records that yields the same state, for a snapshot.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let view = self.view.iter().cloned().map(Record::View);
        let state = self.state.iter().cloned().map(Record::ControlState);
        view.chain(state).chain(self.vote.map(Record::Vote))
    }
}
