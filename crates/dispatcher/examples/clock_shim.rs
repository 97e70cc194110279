//! For tests only: a library that is loaded before the C library and takes the place of `clock_gettime`, so that the
//! program under test runs on clocks of its own, as on a platform that runs processes on virtual time.
//!
//! The file that `TANSYMUX_CLOCK_SHIM` names holds four numbers of 8 bytes, in nanoseconds: the offset of the monotonic
//! clocks, the offset of the wall clock, and for each of the two the reading at which it is stopped (0: it runs).
//! The test may change them at any time.

use std::ffi::{c_char, c_int, c_void, CStr};
use std::sync::atomic::{AtomicI64, AtomicPtr, Ordering};

/// Bytes of the file: four numbers of 8 bytes.
const FILE_BYTES: usize = 32;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// The file, as it is mapped. Index 0 is the monotonic clocks, 1 the wall clock.
#[repr(C)]
pub struct Adjustments {
    offsets: [AtomicI64; 2],
    stopped_at: [AtomicI64; 2],
}

static ADJUSTMENTS: AtomicPtr<Adjustments> = AtomicPtr::new(std::ptr::null_mut());

/// The file's numbers, mapped at the first call; `None` where there is no such file.
fn adjustments() -> Option<&'static Adjustments> {
    let known = ADJUSTMENTS.load(Ordering::Acquire);
    // SAFETY: what is kept was mapped for good, at this length, and is only read, as atomics.
    if let Some(adjustments) = unsafe { known.as_ref() } {
        return Some(adjustments);
    }
    let mapped = map_file()?;
    ADJUSTMENTS.store(mapped, Ordering::Release);
    // SAFETY: as above.
    unsafe { mapped.as_ref() }
}

fn map_file() -> Option<*mut Adjustments> {
    // SAFETY: the C library's calls with valid arguments; the mapping is never undone.
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

/// Takes the place of the C library's call.
///
/// # Safety
/// As there: `to` is valid for writing, or null.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut libc::timespec) -> c_int {
    // SAFETY: passed on as it came.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) } as c_int;
    if result != 0 {
        return result;
    }
    // SAFETY: the call above has written to it.
    if let (Some(adjustments), Some(reading)) = (adjustments(), unsafe { to.as_mut() }) {
        let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
        adjust(reading, adjustments, usize::from(is_wall_clock));
    }
    result
}

fn adjust(reading: &mut libc::timespec, adjustments: &Adjustments, clock: usize) {
    let stopped_at = adjustments.stopped_at[clock].load(Ordering::Relaxed);
    let real = if stopped_at > 0 {
        stopped_at
    } else {
        reading.tv_sec * NANOS_PER_SECOND + reading.tv_nsec
    };
    let offset = adjustments.offsets[clock].load(Ordering::Relaxed);
    let adjusted = (real + offset).max(0);
    reading.tv_sec = adjusted / NANOS_PER_SECOND;
    reading.tv_nsec = adjusted % NANOS_PER_SECOND;
}
