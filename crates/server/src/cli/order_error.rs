//! Why an order of an operator has no result.

use super::output::ExitStatus;

/// Why an order has no result.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// Processes answer, but no control node among them.
    #[error("unclear: no control node is known")]
    NoControlNode,
    /// No control node gave a clear answer in time.
    #[error("unclear, send it again: {last}")]
    NoClearAnswer {
        /// What the last one said, or why it said nothing.
        last: String,
    },
    /// A control node answered what this command does not expect.
    #[error("unclear: {reason}")]
    Unclear {
        /// Status and reason of the answer.
        reason: String,
    },
    /// There is nothing to read yet.
    #[error("no configuration is in force yet")]
    NothingInForce,
    /// The configuration can't be used as it is.
    #[error("refused: {reason}")]
    ConfigurationRejected {
        /// Status and reason of the answer.
        reason: String,
    },
    /// The store may not be retired.
    #[error("refused: {reason}")]
    RetirementRejected {
        /// Status and reason of the answer.
        reason: String,
    },
    /// There is no such store, or it is not to be retired.
    #[error("{name}: {reason}")]
    UnknownStore {
        /// The name that was given.
        name: String,
        /// Status and reason of the answer.
        reason: String,
    },
}

impl OrderError {
    /// The exit status that the command ends with.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            OrderError::NoControlNode | OrderError::NoClearAnswer { .. } | OrderError::Unclear { .. } => {
                ExitStatus::Unclear
            }
            OrderError::NothingInForce | OrderError::RetirementRejected { .. } => ExitStatus::Differs,
            OrderError::ConfigurationRejected { .. } | OrderError::UnknownStore { .. } => {
                ExitStatus::Unusable
            }
        }
    }
}
