//! A global allocator that counts the bytes that are allocated.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, with a count of the allocated bytes.
struct CountingAllocator;

// SAFETY: all calls are passed on to the system's allocator with the same arguments.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Relaxed);
        // SAFETY: the caller's guarantees are those of `System::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller's guarantees are those of `System::dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Bytes that are allocated now.
pub fn allocated_bytes() -> usize {
    ALLOCATED_BYTES.load(Relaxed)
}
