//! Faults that unit tests inject to prove that they would be noticed. Only test builds have the switch: in any other build
//! [`is_injected`] is a constant `false`, and the compiler drops what depends on it.

/// A fault. Each switches one rule off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An edge is told that a message is stored before the disk has it.
    AnswerBeforeDisk,
    /// A reply is taken as the one to the pending call without a look at the request that it names.
    RepliesMatchedByOrder,
    /// A call that was sent and never answered is reported as never sent.
    SilenceReportedAsNotSent,
    /// A connection is used again on which bytes came that answer no call.
    ConnectionKeptAfterStrayBytes,
    /// A reply that the end of the connection cut short is taken as complete.
    TruncatedReplyAccepted,
}

/// Whether the fault is injected on this thread.
#[cfg(not(test))]
#[inline(always)]
pub const fn is_injected(_: InjectedFault) -> bool {
    false
}

#[cfg(test)]
thread_local! {
    static FAULT: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Whether the fault is injected on this thread.
#[cfg(test)]
pub fn is_injected(fault: InjectedFault) -> bool {
    FAULT.get() == Some(fault)
}

/// Runs `run` with a fault injected, on this thread alone.
#[cfg(test)]
pub fn with_fault<T>(fault: Option<InjectedFault>, run: impl FnOnce() -> T) -> T {
    let before = FAULT.replace(fault);
    let result = run();
    FAULT.set(before);
    result
}
