//! A library for tests that replaces the C library's `clock_gettime` by `LD_PRELOAD`, so that the test controls the
//! clocks of the program under test. It imitates a platform that runs processes on virtual time.
//!
//! The file that `TANSYMUX_CLOCK_SHIM` names holds four numbers of 8 bytes, in nanoseconds: the offset of the monotonic
//! clocks, the offset of the wall clock, and for each of the two the reading at which it is stopped (0: it runs).
//! The test may change the numbers at any time.

use std::ffi::{c_char, c_int, c_void, CStr};
use std::sync::atomic::{AtomicI64, AtomicPtr, Ordering};

/// Size of the file in bytes: four numbers of 8 bytes.
const FILE_BYTES: usize = 32;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// The mapped content of the file. Index 0 is for the monotonic clocks, 1 for the wall clock.
#[repr(C)]
pub struct Adjustments {
    offsets: [AtomicI64; 2],
    stopped_at: [AtomicI64; 2],
}

static ADJUSTMENTS: AtomicPtr<Adjustments> = AtomicPtr::new(std::ptr::null_mut());

/// Returns the numbers of the file, which the first call maps into memory. Returns `None` if the variable names no file
/// or the file cannot be mapped.
fn adjustments() -> Option<&'static Adjustments> {
    let cached = ADJUSTMENTS.load(Ordering::Acquire);
    // SAFETY: a pointer that is not null refers to a mapping of this length, which is never unmapped and only read
    // through atomics.
    if let Some(adjustments) = unsafe { cached.as_ref() } {
        return Some(adjustments);
    }
    let mapped = map_file()?;
    ADJUSTMENTS.store(mapped, Ordering::Release);
    // SAFETY: as above.
    unsafe { mapped.as_ref() }
}

fn map_file() -> Option<*mut Adjustments> {
    // SAFETY: calls of the C library with valid arguments; the mapping is never unmapped.
    let mapped = unsafe {
        let path: *mut c_char = libc::getenv(c"TANSYMUX_CLOCK_SHIM".as_ptr());
        if path.is_null() || CStr::from_ptr(path).is_empty() {
            return None;
        }
        let file = libc::open(path, libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let mapped = libc::mmap(
            std::ptr::null_mut::<c_void>(),
            FILE_BYTES,
            libc::PROT_READ,
            libc::MAP_SHARED,
            file,
            0,
        );
        libc::close(file);
        mapped
    };
    (mapped != libc::MAP_FAILED).then_some(mapped.cast())
}

/// Replaces the C library's `clock_gettime`: reads the clock by the system call, and adjusts the reading.
///
/// # Safety
/// As for the C library's function, `to` must be valid for writing, or null.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut libc::timespec) -> c_int {
    // SAFETY: the caller's arguments are passed on unchanged.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) } as c_int;
    if result != 0 {
        return result;
    }
    // SAFETY: the system call has written to `to`, which is null or valid.
    if let (Some(adjustments), Some(reading)) = (adjustments(), unsafe { to.as_mut() }) {
        let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
        adjust(reading, adjustments, usize::from(is_wall_clock));
    }
    result
}

fn adjust(reading: &mut libc::timespec, adjustments: &Adjustments, clock: usize) {
    let stopped_at = adjustments.stopped_at[clock].load(Ordering::Relaxed);
    let base_ns = if stopped_at > 0 {
        stopped_at
    } else {
        reading.tv_sec * NANOS_PER_SECOND + reading.tv_nsec
    };
    let offset = adjustments.offsets[clock].load(Ordering::Relaxed);
    let adjusted_ns = (base_ns + offset).max(0);
    reading.tv_sec = adjusted_ns / NANOS_PER_SECOND;
    reading.tv_nsec = adjusted_ns % NANOS_PER_SECOND;
}
