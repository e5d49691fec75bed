//! Faults that unit tests inject to prove that the tests detect them. Only test builds have the switch: in other
//! builds [`is_injected`] is a constant `false`, and the compiler removes the code that depends on it.

/// Fault that a test can inject. Each fault disables one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A store confirms to an edge that a message is stored before the message is on disk.
    AnswerBeforeDisk,
    /// A reply is assigned to the pending call without a check of the request identifier in the reply.
    RepliesMatchedByOrder,
    /// A call that was sent and never answered is reported as never sent.
    TimeoutReportedAsNotSent,
    /// A connection is reused after it received bytes that answer no call.
    ConnectionKeptAfterStrayBytes,
    /// A reply that was cut short by the end of the connection is accepted as complete.
    TruncatedReplyAccepted,
}

/// Returns whether the fault is injected on the current thread.
#[cfg(not(test))]
#[inline(always)]
pub const fn is_injected(_: InjectedFault) -> bool {
    false
}

#[cfg(test)]
thread_local! {
    static FAULT: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Returns whether the fault is injected on the current thread.
#[cfg(test)]
pub fn is_injected(fault: InjectedFault) -> bool {
    FAULT.get() == Some(fault)
}

/// Runs `run` with a fault injected on the current thread only.
#[cfg(test)]
pub fn with_fault<T>(fault: Option<InjectedFault>, run: impl FnOnce() -> T) -> T {
    let previous = FAULT.replace(fault);
    let result = run();
    FAULT.set(previous);
    result
}
