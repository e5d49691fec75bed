//! Counts the bytes on the heap, so that the state of a node can be told apart from that of the others.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    /// Each thread counts for itself: a fleet is played by one, and tests play several at a time.
    static LIVE: Cell<i64> = const { Cell::new(0) };
}

struct Counting;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn count(bytes: i64) {
    // A thread that is ending counts no more.
    let _ = LIVE.try_with(|live| live.set(live.get() + bytes));
}

// SAFETY: every call goes to the system's allocator unchanged; only sizes are counted beside it.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as i64);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as i64));
        System.dealloc(pointer, layout)
    }
}

/// Bytes that this thread has asked for and not given back. What the allocator needs beside them is not in it.
pub fn live_bytes() -> i64 {
    LIVE.with(Cell::get)
}

/// Bytes on the heap that `build` has left behind in what it gives back.
pub fn heap_of<T>(build: impl FnOnce() -> T) -> (T, i64) {
    let before = live_bytes();
    let built = build();
    (built, live_bytes() - before)
}
