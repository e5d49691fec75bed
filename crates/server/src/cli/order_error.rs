//! Errors of operator commands that call the control nodes.

use super::output::ExitStatus;

/// Errors of an operator command that calls the control nodes.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// Some processes answer, but none of them is a control node.
    #[error("unclear: no control node is known")]
    NoControlNode,
    /// No control node gave a definite answer in time.
    #[error("unclear, send it again: {last_answer}")]
    NoDefiniteAnswer {
        /// The last answer of a control node, or the reason why there was none.
        last_answer: String,
    },
    /// A control node gave an answer that this command does not expect.
    #[error("unclear: {reason}")]
    UnexpectedAnswer {
        /// HTTP status and reason of the control node's answer.
        reason: String,
    },
    /// No configuration is in force yet.
    #[error("no configuration is in force yet")]
    NoConfigurationInForce,
    /// The control nodes rejected the configuration.
    #[error("refused: {reason}")]
    ConfigurationRejected {
        /// HTTP status and reason of the control node's answer.
        reason: String,
    },
    /// The control nodes rejected the retirement of the store.
    #[error("refused: {reason}")]
    RetirementRejected {
        /// HTTP status and reason of the control node's answer.
        reason: String,
    },
    /// There is no store with the given name, or its retirement was not requested.
    #[error("{name}: {reason}")]
    UnknownStore {
        /// The store name that was given.
        name: String,
        /// HTTP status and reason of the control node's answer.
        reason: String,
    },
}

impl OrderError {
    /// The exit status of the command for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            OrderError::NoControlNode
            | OrderError::NoDefiniteAnswer { .. }
            | OrderError::UnexpectedAnswer { .. } => ExitStatus::OutcomeUnknown,
            OrderError::NoConfigurationInForce | OrderError::RetirementRejected { .. } => ExitStatus::Differs,
            OrderError::ConfigurationRejected { .. } | OrderError::UnknownStore { .. } => {
                ExitStatus::Unusable
            }
        }
    }
}
