//! Outcomes of an attempt to deliver a message to an executor.

/// The result of a delivery attempt, as seen in the executor's response or in the state of the connection.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The executor has processed the message.
    Completed {
        /// The executor's proof that it completed the message.
        seal: String,
    },
    /// The executor reports that this message can never be processed; the message fails permanently.
    Rejected,
    /// The executor reports that processing failed; another attempt may succeed.
    Failed,
    /// The executor rejected the message because its own queue is full.
    ExecutorFull,
    /// The service received more requests than its rate limit allows.
    RateLimited,
    /// The executor is still processing an earlier attempt of the same message.
    AlreadyRunning,
    /// A different executor than the expected one answered at the address.
    WrongServer,
    /// The executor did not start the message, for a reason that needs no reaction.
    NotRun,
    /// The executor stopped the message at its time limit.
    TimedOut,
    /// No connection to the executor could be opened.
    NotConnected,
    /// All connections that this store may open to the executor are in use.
    NoFreeConnection,
    /// The connection broke after the request was sent.
    ConnectionBroken,
    /// No response arrived within the time limit.
    NoResponse,
    /// The response could not be parsed.
    MalformedResponse,
}

impl AttemptOutcome {
    /// Whether the attempt ran, or may have run, without completing the message, so that the next attempt counts as a
    /// retry. An attempt that was stopped at its time limit is included, because its work was wasted.
    pub(crate) const fn may_have_run(&self) -> bool {
        matches!(
            self,
            Self::Failed
                | Self::TimedOut
                | Self::ConnectionBroken
                | Self::NoResponse
                | Self::MalformedResponse
        )
    }
}
