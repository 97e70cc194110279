//! For tests only: loaded before the C library, it bends the clocks of the program that is tested, as a platform that
//! runs a process on a clock of its own does. The file that TANSYMUX_WARP names holds four numbers of 8 bytes, in
//! nanoseconds: what is added to the monotonic clocks and to the one of the day, and at what reading each stands still
//! (0: it runs). Whoever holds the file may change them at any time.

use std::ffi::{c_char, c_int, c_void, CStr};
use std::sync::atomic::{AtomicI64, AtomicPtr, Ordering};

const LENGTH: usize = 32;
const NANOS: i64 = 1_000_000_000;

#[repr(C)]
pub struct Bent {
    added: [AtomicI64; 2],
    stands: [AtomicI64; 2],
}

static BENT: AtomicPtr<Bent> = AtomicPtr::new(std::ptr::null_mut());

/// The file's numbers, mapped at the first call; none where there is no such file.
fn bent() -> Option<&'static Bent> {
    let known = BENT.load(Ordering::Acquire);
    // SAFETY: what is kept was mapped for good, at this length, and is only read, as atomics.
    if let Some(bent) = unsafe { known.as_ref() } {
        return Some(bent);
    }
    // SAFETY: the C library's calls with valid arguments; the mapping is never undone.
    let mapped = unsafe {
        let path: *mut c_char = libc::getenv(c"TANSYMUX_WARP".as_ptr());
        if path.is_null() || CStr::from_ptr(path).is_empty() {
            return None;
        }
        let file = libc::open(path, libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let mapped = libc::mmap(
            std::ptr::null_mut::<c_void>(),
            LENGTH,
            libc::PROT_READ,
            libc::MAP_SHARED,
            file,
            0,
        );
        libc::close(file);
        mapped
    };
    if mapped == libc::MAP_FAILED {
        return None;
    }
    BENT.store(mapped.cast(), Ordering::Release);
    // SAFETY: as above.
    unsafe { mapped.cast::<Bent>().as_ref() }
}

/// The C library's call of this name.
///
/// # Safety
/// As there: `to` is valid for writing, or null.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut libc::timespec) -> c_int {
    // SAFETY: passed on as it came.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) } as c_int;
    let day = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    // SAFETY: the call above has written to it if it succeeded.
    if let (0, Some(bent), Some(to)) = (result, bent(), unsafe { to.as_mut() }) {
        let n = usize::from(day);
        let stands = bent.stands[n].load(Ordering::Relaxed);
        let real = if stands > 0 {
            stands
        } else {
            to.tv_sec * NANOS + to.tv_nsec
        };
        let bent = (real + bent.added[n].load(Ordering::Relaxed)).max(0);
        (to.tv_sec, to.tv_nsec) = (bent / NANOS, bent % NANOS);
    }
    result
}
