//! Counts the bytes on the heap, so that the state of a node can be told apart from that of the others.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static LIVE: AtomicUsize = AtomicUsize::new(0);

struct Counting;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

// SAFETY: every call goes to the system's allocator unchanged; only sizes are counted beside it.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        System.dealloc(pointer, layout)
    }
}

/// Bytes that all of the process has asked for and not given back. What the allocator needs beside them is not in it.
pub fn live_bytes() -> i64 {
    LIVE.load(Ordering::Relaxed) as i64
}

/// Bytes on the heap that `build` has left behind in what it gives back.
pub fn heap_of<T>(build: impl FnOnce() -> T) -> (T, i64) {
    let before = live_bytes();
    let built = build();
    (built, live_bytes() - before)
}
