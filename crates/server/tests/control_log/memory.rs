//! Bytes that are allocated and not yet given back.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

struct Counting;

static LIVE: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let live = LIVE.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK.fetch_max(live, Ordering::Relaxed);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, place: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        System.dealloc(place, layout)
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

pub fn live() -> usize {
    LIVE.load(Ordering::Relaxed)
}

/// Most that was live at once since the last call, beyond what was live `before`.
// Each file of tests uses its part of it.
#[allow(dead_code)]
pub fn peak_since(before: usize) -> usize {
    PEAK.swap(live(), Ordering::Relaxed).saturating_sub(before)
}
