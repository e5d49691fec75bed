//! Counts the bytes on the heap, so that the state of one node can be told from that of the others.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    /// Each thread counts for itself: a fleet runs on one thread, and tests run several fleets at once.
    static LIVE_BYTES: Cell<i64> = const { Cell::new(0) };
}

/// The system's allocator, with a count beside it.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn count(bytes: i64) {
    // A thread that is ending has no counter any more.
    let _ = LIVE_BYTES.try_with(|live| live.set(live.get() + bytes));
}

// SAFETY: every call goes to the system's allocator unchanged; only sizes are counted beside it.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as i64);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as i64));
        System.dealloc(pointer, layout)
    }
}

/// Bytes that this thread has allocated and not freed. The allocator's own overhead is not in it.
pub fn live_bytes() -> i64 {
    LIVE_BYTES.with(Cell::get)
}

/// Calls `build`, and returns with its result how many more bytes are on the heap than before.
pub fn heap_of<T>(build: impl FnOnce() -> T) -> (T, i64) {
    let before = live_bytes();
    let built = build();
    (built, live_bytes() - before)
}
