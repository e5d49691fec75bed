//! The processor time of a thread.

/// Processor time that the calling thread has used so far, in nanoseconds; 0 if the system does not say.
pub fn thread_cpu_ns() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call only fills `time`, which outlives it.
    let has_failed = unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) } != 0;
    if has_failed {
        return 0;
    }
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}
