//! For tests only: a library that is loaded before the C library (LD_PRELOAD) and takes the place of some of its calls,
//! so that they fail, are interrupted or transfer fewer bytes, and so that the wall clock is off, as the
//! [`FaultTable`] of the test says.
//!
//! It reaches what the program calls through the C library: the standard library's sockets, files and clocks. It does
//! not reach system calls that a program makes itself, as async-io's connect and epoll. Every fault is counted in the
//! table.

use libc::{c_char, c_int, c_void, iovec, off_t, size_t, sockaddr, socklen_t, ssize_t};
use std::sync::atomic::{AtomicBool, AtomicPtr, AtomicU64, Ordering};
use tansymux_fault_table::{Call, FaultTable, Mode, TABLE_VARIABLE};

const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Increment and multiplier of the random sequence (splitmix64).
const RANDOM_STEP: u64 = 0x9E37_79B9_7F4A_7C15;
const RANDOM_MIX: u64 = 0xBF58_476D_1CE4_E5B9;

static TABLE: AtomicPtr<FaultTable> = AtomicPtr::new(std::ptr::null_mut());
static IS_WITHOUT_TABLE: AtomicBool = AtomicBool::new(false);
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// The test's table, mapped at the first call; `None` where the environment names none.
fn table() -> Option<&'static FaultTable> {
    let known = TABLE.load(Ordering::Acquire);
    // SAFETY: what is kept was mapped for good.
    if let Some(table) = unsafe { known.as_ref() } {
        return Some(table);
    }
    if IS_WITHOUT_TABLE.load(Ordering::Relaxed) {
        return None;
    }
    // SAFETY: the variable's name ends in 0; the environment is not changed by the programs under test.
    let path: *mut c_char = unsafe { libc::getenv(TABLE_VARIABLE.as_ptr()) };
    let mapped = if path.is_null() {
        None
    } else {
        // SAFETY: a value of the environment ends in 0.
        FaultTable::map(unsafe { std::ffi::CStr::from_ptr(path) })
    };
    match mapped {
        Some(table) => TABLE.store(std::ptr::from_ref(table).cast_mut(), Ordering::Release),
        None => IS_WITHOUT_TABLE.store(true, Ordering::Relaxed),
    }
    mapped
}

/// A random number: each process and each call another.
fn random() -> u32 {
    // SAFETY: a call without arguments.
    let pid = unsafe { libc::getpid() } as u64;
    let mut mixed = RANDOM.fetch_add(RANDOM_STEP, Ordering::Relaxed) ^ pid.wrapping_mul(RANDOM_MIX);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(RANDOM_MIX);
    (mixed >> 32) as u32
}

/// The error that a call is to return, if it is to fail.
fn injected_error(call: Call) -> Option<c_int> {
    table()?.draw(call, Mode::Error, random())
}

/// The length that a transfer is cut to, if it is to be short.
fn shortened(call: Call, length: size_t) -> Option<size_t> {
    if length < 2 {
        return None;
    }
    table()?.draw(call, Mode::Short, random())?;
    Some(1 + random() as size_t % (length - 1))
}

/// Sets the error number and returns what a failed call returns.
fn failed<T: From<i8>>(errno: c_int) -> T {
    // SAFETY: the C library gives each thread a valid place.
    unsafe { *libc::__errno_location() = errno };
    T::from(-1)
}

/// Declares a call that fails as the table says, and else is the system's own.
macro_rules! failing {
    ($(#[$doc:meta])* $name:ident($($argument:ident: $type:ty),*) -> $result:ty, $call:expr, $number:expr) => {
        $(#[$doc])*
        ///
        /// # Safety
        /// As the C library's call.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($argument: $type),*) -> $result {
            match injected_error($call) {
                Some(errno) => failed(errno),
                // SAFETY: passed on as it came.
                None => unsafe { libc::syscall($number, $($argument),*) as $result },
            }
        }
    };
}

failing!(
    /// Takes the place of `accept4`.
    accept4(socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int,
    Call::Accept, libc::SYS_accept4
);
failing!(
    /// Takes the place of `socket`.
    socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int, Call::Socket, libc::SYS_socket
);
failing!(
    /// Takes the place of `bind`.
    bind(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int, Call::Bind, libc::SYS_bind
);
failing!(
    /// Takes the place of `listen`.
    listen(socket: c_int, backlog: c_int) -> c_int, Call::Listen, libc::SYS_listen
);
failing!(
    /// Takes the place of `fsync`.
    fsync(file: c_int) -> c_int, Call::Sync, libc::SYS_fsync
);
failing!(
    /// Takes the place of `fdatasync`.
    fdatasync(file: c_int) -> c_int, Call::Sync, libc::SYS_fdatasync
);

/// Takes the place of `recv`.
///
/// # Safety
/// As the C library's call.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(errno) = injected_error(Call::Recv) {
        return failed(errno);
    }
    let length = shortened(Call::Recv, length).unwrap_or(length);
    let nobody = std::ptr::null_mut::<c_void>();
    // SAFETY: passed on as it came, or with less of the buffer.
    unsafe {
        libc::syscall(
            libc::SYS_recvfrom,
            socket,
            buffer,
            length,
            flags,
            nobody,
            nobody,
        ) as ssize_t
    }
}

/// Takes the place of `send`.
///
/// # Safety
/// As the C library's call.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(errno) = injected_error(Call::Send) {
        return failed(errno);
    }
    let length = shortened(Call::Send, length).unwrap_or(length);
    let nobody = std::ptr::null_mut::<c_void>();
    // SAFETY: passed on as it came, or with less of the buffer.
    unsafe { libc::syscall(libc::SYS_sendto, socket, buffer, length, flags, nobody, 0) as ssize_t }
}

/// Takes the place of `writev`.
///
/// # Safety
/// As the C library's call.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, slices: *const iovec, count: c_int) -> ssize_t {
    if file <= libc::STDERR_FILENO {
        // SAFETY: passed on as it came.
        return unsafe { libc::syscall(libc::SYS_writev, file, slices, count) as ssize_t };
    }
    if let Some(errno) = injected_error(Call::Writev) {
        return failed(errno);
    }
    // SAFETY: there is a first slice where the count says so.
    let first = unsafe { slices.as_ref() }.filter(|_| count > 0);
    if let Some((first, length)) =
        first.and_then(|first| Some((first, shortened(Call::Writev, first.iov_len)?)))
    {
        // SAFETY: less of the first slice.
        return unsafe { libc::syscall(libc::SYS_write, file, first.iov_base, length) as ssize_t };
    }
    // SAFETY: passed on as it came.
    unsafe { libc::syscall(libc::SYS_writev, file, slices, count) as ssize_t }
}

/// Takes the place of `recvfrom`.
///
/// # Safety
/// As the C library's call.
#[no_mangle]
pub unsafe extern "C" fn recvfrom(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
    from: *mut sockaddr,
    from_length: *mut socklen_t,
) -> ssize_t {
    if let Some(errno) = injected_error(Call::RecvFrom) {
        return failed(errno);
    }
    // SAFETY: passed on as it came.
    unsafe {
        libc::syscall(
            libc::SYS_recvfrom,
            socket,
            buffer,
            length,
            flags,
            from,
            from_length,
        ) as ssize_t
    }
}

/// Takes the place of `sendto`.
///
/// # Safety
/// As the C library's call.
#[no_mangle]
pub unsafe extern "C" fn sendto(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
    to: *const sockaddr,
    to_length: socklen_t,
) -> ssize_t {
    if let Some(errno) = injected_error(Call::SendTo) {
        return failed(errno);
    }
    // SAFETY: passed on as it came.
    unsafe {
        libc::syscall(
            libc::SYS_sendto,
            socket,
            buffer,
            length,
            flags,
            to,
            to_length,
        ) as ssize_t
    }
}

/// Takes the place of `read`.
///
/// # Safety
/// As the C library's call.
#[no_mangle]
pub unsafe extern "C" fn read(file: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    if let Some(errno) = injected_error(Call::Read) {
        return failed(errno);
    }
    // SAFETY: passed on as it came.
    unsafe { libc::syscall(libc::SYS_read, file, buffer, length) as ssize_t }
}

/// Takes the place of `write`.
///
/// # Safety
/// As the C library's call.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if file > libc::STDERR_FILENO {
        if let Some(errno) = injected_error(Call::Write) {
            return failed(errno);
        }
    }
    let length = match file > libc::STDERR_FILENO {
        true => shortened(Call::Write, length).unwrap_or(length),
        false => length,
    };
    // SAFETY: passed on as it came, or with less of the buffer.
    unsafe { libc::syscall(libc::SYS_write, file, buffer, length) as ssize_t }
}

/// Takes the place of `pwrite64`.
///
/// # Safety
/// As the C library's call.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    file: c_int,
    buffer: *const c_void,
    length: size_t,
    offset: off_t,
) -> ssize_t {
    if let Some(errno) = injected_error(Call::Write) {
        return failed(errno);
    }
    // SAFETY: passed on as it came.
    unsafe { libc::syscall(libc::SYS_pwrite64, file, buffer, length, offset) as ssize_t }
}

/// Takes the place of `clock_gettime`: the wall clock is off as the table says.
///
/// # Safety
/// As the C library's call.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut libc::timespec) -> c_int {
    // SAFETY: passed on as it came.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) } as c_int;
    let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if result != 0 || !is_wall_clock {
        return result;
    }
    // SAFETY: the call above has written to it.
    if let (Some(table), Some(reading)) = (table(), unsafe { to.as_mut() }) {
        let nanos = reading.tv_sec * NANOS_PER_SECOND + reading.tv_nsec + table.wall_offset_ns();
        reading.tv_sec = nanos.div_euclid(NANOS_PER_SECOND);
        reading.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
    }
    result
}
