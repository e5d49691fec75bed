//! Faults that the tests of this package plant to see that they are found. The switch is in builds of tests alone: in any
//! other build it is `false`, and nothing of it is left.

/// A fault. Each undoes one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A message is answered before the disk has it.
    AnswerBeforeDisk,
    /// Whatever answer comes next is taken for that of the call under way.
    TiedByOrder,
    /// A call that was sent and met with silence is reported as never sent.
    SilenceNotSent,
    /// A connection on which bytes came that nobody asked for is used again.
    StrayKept,
    /// An answer that the end of the connection cut short is taken as whole.
    HalfTaken,
}

#[cfg(not(test))]
#[inline(always)]
pub const fn is_injected(_: InjectedFault) -> bool {
    false
}

#[cfg(test)]
thread_local! {
    static FAULT: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

#[cfg(test)]
pub fn is_injected(fault: InjectedFault) -> bool {
    FAULT.get() == Some(fault)
}

/// Runs something with a fault planted, on this thread alone.
#[cfg(test)]
pub fn with_fault<T>(fault: Option<InjectedFault>, run: impl FnOnce() -> T) -> T {
    let before = FAULT.replace(fault);
    let result = run();
    FAULT.set(before);
    result
}
