//! For tests only: a library that is loaded before the C library (LD_PRELOAD) and replaces some of its functions. The
//! test's [`FaultTable`] defines which replacements return an error (EINTR, for example) or transfer fewer bytes than
//! requested, and the offset of the wall clock.
//!
//! Only calls through the C library are affected: the sockets, files and clocks of the standard library. System calls
//! that a program makes directly, such as async-io's connect and epoll, are not affected. The table counts every
//! injected fault.

use libc::{c_char, c_int, c_void, iovec, off_t, size_t, sockaddr, socklen_t, ssize_t};
use std::sync::atomic::{AtomicBool, AtomicPtr, AtomicU64, Ordering};
use tansymux_fault_table::{Call, FaultTable, Mode, TABLE_VARIABLE};

/// Nanoseconds in a second.
const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Increment of the random number generator (splitmix64).
const RANDOM_STEP: u64 = 0x9E37_79B9_7F4A_7C15;
/// Multiplier of the random number generator (splitmix64).
const RANDOM_MIX: u64 = 0xBF58_476D_1CE4_E5B9;

/// The mapped table. Null until it is mapped, and if the environment names no table that can be mapped.
static TABLE: AtomicPtr<FaultTable> = AtomicPtr::new(std::ptr::null_mut());
/// Whether the environment names no table or a table that cannot be mapped.
static TABLE_UNAVAILABLE: AtomicBool = AtomicBool::new(false);
/// State of the random number generator.
static RANDOM_STATE: AtomicU64 = AtomicU64::new(0);

/// The test's table, mapped at the first call. `None` if the environment names no table that can be mapped.
fn table() -> Option<&'static FaultTable> {
    let known = TABLE.load(Ordering::Acquire);
    // SAFETY: the pointer is null or points to a table that is never unmapped.
    if let Some(table) = unsafe { known.as_ref() } {
        return Some(table);
    }
    if TABLE_UNAVAILABLE.load(Ordering::Relaxed) {
        return None;
    }
    // SAFETY: the variable's name ends in 0; the programs under test do not change the environment.
    let path: *mut c_char = unsafe { libc::getenv(TABLE_VARIABLE.as_ptr()) };
    let mapped = if path.is_null() {
        None
    } else {
        // SAFETY: values of the environment end in 0.
        FaultTable::map(unsafe { std::ffi::CStr::from_ptr(path) })
    };
    match mapped {
        Some(table) => TABLE.store(std::ptr::from_ref(table).cast_mut(), Ordering::Release),
        None => TABLE_UNAVAILABLE.store(true, Ordering::Relaxed),
    }
    mapped
}

/// The next random number. Each process has its own sequence.
fn random() -> u32 {
    // SAFETY: the call has no preconditions.
    let pid = unsafe { libc::getpid() } as u64;
    let mut mixed =
        RANDOM_STATE.fetch_add(RANDOM_STEP, Ordering::Relaxed) ^ pid.wrapping_mul(RANDOM_MIX);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(RANDOM_MIX);
    (mixed >> 32) as u32
}

/// Decides whether a call fails, and returns the error number if so.
fn injected_error(call: Call) -> Option<c_int> {
    table()?.draw(call, Mode::Error, random())
}

/// Decides whether a transfer is short, and returns its reduced length if so.
fn short_length(call: Call, length: size_t) -> Option<size_t> {
    if length < 2 {
        return None;
    }
    table()?.draw(call, Mode::Short, random())?;
    Some(1 + random() as size_t % (length - 1))
}

/// Sets the error number and returns the result of a failed call.
fn failed<T: From<i8>>(errno: c_int) -> T {
    // SAFETY: the C library returns a valid address for each thread.
    unsafe { *libc::__errno_location() = errno };
    T::from(-1)
}

/// Returns the length of a transfer, reduced if the transfer is short.
///
/// # Errors
/// The error number, if the call fails.
fn transfer_length(call: Call, length: size_t) -> Result<size_t, c_int> {
    match injected_error(call) {
        Some(errno) => Err(errno),
        None => Ok(short_length(call, length).unwrap_or(length)),
    }
}

/// Whether a file is standard input, output or error. No faults are injected into `write` and `writev` to these.
fn is_standard_stream(file: c_int) -> bool {
    file <= libc::STDERR_FILENO
}

/// Defines a function that fails as the table defines, and otherwise makes the system call with the same arguments.
macro_rules! failing {
    ($(#[$doc:meta])* $name:ident($($argument:ident: $type:ty),*) -> $result:ty, $call:expr, $number:expr) => {
        $(#[$doc])*
        ///
        /// # Safety
        /// Same as for the C library's function.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($argument: $type),*) -> $result {
            match injected_error($call) {
                Some(errno) => failed(errno),
                // SAFETY: the caller's arguments are passed on unchanged.
                None => unsafe { libc::syscall($number, $($argument),*) as $result },
            }
        }
    };
}

failing!(
    /// Replaces `accept4`.
    accept4(socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int,
    Call::Accept, libc::SYS_accept4
);
failing!(
    /// Replaces `socket`.
    socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int, Call::Socket, libc::SYS_socket
);
failing!(
    /// Replaces `bind`.
    bind(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int, Call::Bind, libc::SYS_bind
);
failing!(
    /// Replaces `listen`.
    listen(socket: c_int, backlog: c_int) -> c_int, Call::Listen, libc::SYS_listen
);
failing!(
    /// Replaces `fsync`.
    fsync(file: c_int) -> c_int, Call::Sync, libc::SYS_fsync
);
failing!(
    /// Replaces `fdatasync`.
    fdatasync(file: c_int) -> c_int, Call::Sync, libc::SYS_fdatasync
);

failing!(
    /// Replaces `recvfrom`.
    recvfrom(
        socket: c_int,
        buffer: *mut c_void,
        length: size_t,
        flags: c_int,
        from: *mut sockaddr,
        from_length: *mut socklen_t
    ) -> ssize_t,
    Call::RecvFrom, libc::SYS_recvfrom
);
failing!(
    /// Replaces `sendto`.
    sendto(
        socket: c_int,
        buffer: *const c_void,
        length: size_t,
        flags: c_int,
        to: *const sockaddr,
        to_length: socklen_t
    ) -> ssize_t,
    Call::SendTo, libc::SYS_sendto
);
failing!(
    /// Replaces `read`.
    read(file: c_int, buffer: *mut c_void, length: size_t) -> ssize_t, Call::Read, libc::SYS_read
);
failing!(
    /// Replaces `pwrite64`.
    pwrite64(file: c_int, buffer: *const c_void, length: size_t, offset: off_t) -> ssize_t,
    Call::Write, libc::SYS_pwrite64
);

/// Replaces `recv`. The transfer may be short.
///
/// # Safety
/// Same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let length = match transfer_length(Call::Recv, length) {
        Ok(length) => length,
        Err(errno) => return failed(errno),
    };
    let null = std::ptr::null_mut::<c_void>();
    // SAFETY: the caller's arguments are passed on, with at most the length of the buffer.
    unsafe {
        libc::syscall(
            libc::SYS_recvfrom,
            socket,
            buffer,
            length,
            flags,
            null,
            null,
        ) as ssize_t
    }
}

/// Replaces `send`. The transfer may be short.
///
/// # Safety
/// Same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let length = match transfer_length(Call::Send, length) {
        Ok(length) => length,
        Err(errno) => return failed(errno),
    };
    let null = std::ptr::null_mut::<c_void>();
    // SAFETY: the caller's arguments are passed on, with at most the length of the buffer.
    unsafe { libc::syscall(libc::SYS_sendto, socket, buffer, length, flags, null, 0) as ssize_t }
}

/// Replaces `write`. The transfer may be short.
///
/// # Safety
/// Same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let allowed_length = if is_standard_stream(file) {
        Ok(length)
    } else {
        transfer_length(Call::Write, length)
    };
    match allowed_length {
        // SAFETY: the caller's arguments are passed on, with at most the length of the buffer.
        Ok(length) => unsafe { libc::syscall(libc::SYS_write, file, buffer, length) as ssize_t },
        Err(errno) => failed(errno),
    }
}

/// Replaces `writev`. A short transfer writes only a part of the first slice.
///
/// # Safety
/// Same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, slices: *const iovec, count: c_int) -> ssize_t {
    if !is_standard_stream(file) {
        if let Some(errno) = injected_error(Call::Writev) {
            return failed(errno);
        }
        // SAFETY: `slices` points to a first slice if the count is above 0.
        let first = unsafe { slices.as_ref() }.filter(|_| count > 0);
        let short =
            first.and_then(|first| Some((first, short_length(Call::Writev, first.iov_len)?)));
        if let Some((first, length)) = short {
            // SAFETY: writes a part of the first slice.
            let written = unsafe { libc::syscall(libc::SYS_write, file, first.iov_base, length) };
            return written as ssize_t;
        }
    }
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_writev, file, slices, count) as ssize_t }
}

/// Replaces `clock_gettime`: adds the table's offset to readings of the wall clock.
///
/// # Safety
/// Same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut libc::timespec) -> c_int {
    // SAFETY: the caller's arguments are passed on unchanged.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) } as c_int;
    let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if result != 0 || !is_wall_clock {
        return result;
    }
    // SAFETY: the call above succeeded and has written to `to`.
    if let (Some(table), Some(reading)) = (table(), unsafe { to.as_mut() }) {
        let nanos = reading.tv_sec * NANOS_PER_SECOND + reading.tv_nsec + table.wall_offset_ns();
        reading.tv_sec = nanos.div_euclid(NANOS_PER_SECOND);
        reading.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
    }
    result
}
