//! The records on disk, and what they come to. Their order and fields are the disk format: see `tests/encoding.rs`.

use crate::{ControlState, NodeId, View};
use serde::{Deserialize, Serialize};

/// One record of the node's log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A view that this node has granted, adopted or proposed.
    View(View),
    /// Read, never written: the value as builds before 0.2 wrote it. To be removed one release later.
    LegacyConfiguration(LegacyConfiguration),
    /// Whose heartbeats this node acknowledges.
    ///
    /// Written once in an epoch, and nothing waits for it: without it a process that has just started waits until whatever
    /// its earlier incarnation may have acknowledged has run out.
    Vote(Vote),
    /// The replicated value.
    ControlState(ControlState),
}

/// To which primary a node has given its vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// Of the primary's view.
    pub epoch: u64,
    /// Nobody else gets the vote in this epoch.
    pub primary: NodeId,
}

/// A configuration without a serial and without retirements, from an older build's disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LegacyConfiguration {
    /// The operators' own number; it is taken for the serial too.
    pub version: u64,
    /// The configuration.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl From<LegacyConfiguration> for ControlState {
    fn from(LegacyConfiguration { version, body }: LegacyConfiguration) -> ControlState {
        ControlState { serial: version, version, body, retirements: Vec::new() }
    }
}

/// What a node's disk holds: all its records, folded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistedState {
    /// The view of the highest epoch. None: the disk is new, or was lost.
    pub view: Option<View>,
    /// The value that was written last.
    pub state: Option<ControlState>,
    /// The vote that was given last.
    pub vote: Option<Vote>,
}

impl PersistedState {
    /// Folds one more record, in the order of the log.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::View(view) => {
                if self.view.as_ref().is_none_or(|known| known.epoch <= view.epoch) {
                    self.view = Some(view);
                }
            }
            // The last one stored, not the highest: a write that was abandoned is overwritten by the value that counts.
            Record::ControlState(state) => self.state = Some(state),
            Record::LegacyConfiguration(old) => self.state = Some(old.into()),
            Record::Vote(vote) => self.vote = Some(vote),
        }
    }

    /// The fewest records that come to the same, for a snapshot.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let view = self.view.iter().cloned().map(Record::View);
        let state = self.state.iter().cloned().map(Record::ControlState);
        view.chain(state).chain(self.vote.map(Record::Vote))
    }
}
