//! How one attempt to deliver a message to an executor ended.

/// The result of an attempt, as the executor's answer or the connection shows it.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The message has been processed.
    Completed {
        /// The executor's proof of completion.
        seal: String,
    },
    /// The executor says that this message can never be processed: it has failed for good.
    Rejected,
    /// Processing failed; another attempt may succeed.
    Failed,
    /// The executor's own queue has no capacity.
    ExecutorFull,
    /// The service received more requests than its rate limit allows.
    RateLimited,
    /// The executor still processes an earlier attempt of the same message.
    AlreadyRunning,
    /// Another executor than the expected one answers at that address.
    WrongServer,
    /// The executor did not start the message, for a reason that needs no reaction.
    NotRun,
    /// The executor stopped the message when its time was over.
    TimedOut,
    /// No connection could be made.
    NotConnected,
    /// All connections that this store may open to the executor are in use.
    NoFreeConnection,
    /// The connection broke after the request had been sent.
    ConnectionBroken,
    /// No response came in time.
    NoResponse,
    /// The response could not be understood.
    MalformedResponse,
}

impl AttemptOutcome {
    /// Whether the message ran to no good end, or may have run: the next attempt then counts as a retry. A message stopped at
    /// its time belongs here, for the work was done in vain.
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
