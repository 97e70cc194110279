//! The table of faults: a file that a test maps and writes, and that the fault shim in the process under test maps and
//! reads. It defines which system calls fail, how and how often, and the offset of the wall clock. The shim counts the
//! faults that it has injected in it, so that a test can prove that its faults took place.
//!
//! This package owns the layout and the mapping, and injects nothing. All fields are atomics: both sides may use them at
//! any time.
//! Start reading at [`FaultTable`].

use std::ffi::CStr;
use std::sync::atomic::{AtomicI32, AtomicI64, AtomicU32, AtomicU64, Ordering};

/// Environment variable that names the table's file to the shim.
pub const TABLE_VARIABLE: &CStr = c"TANSYMUX_FAULT_TABLE";
/// Rates are given in this many calls.
pub const RATE_BASE: u32 = 10_000;

/// A system call that the shim can make fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Call {
    /// `recv`: reads from TCP connections.
    Recv,
    /// `send`: plain writes to TCP connections.
    Send,
    /// `writev`: gathered writes to TCP connections.
    Writev,
    /// `recvfrom`: datagrams in.
    RecvFrom,
    /// `sendto`: datagrams out.
    SendTo,
    /// `accept4`.
    Accept,
    /// `socket`, as the standard library calls it.
    Socket,
    /// `bind`.
    Bind,
    /// `listen`.
    Listen,
    /// `read`: pipes and files.
    Read,
    /// `write` to files other than the standard streams.
    Write,
    /// `fsync` and `fdatasync`.
    Sync,
}

/// All calls, in the order of their numbers.
pub const CALLS: [Call; 12] = [
    Call::Recv,
    Call::Send,
    Call::Writev,
    Call::RecvFrom,
    Call::SendTo,
    Call::Accept,
    Call::Socket,
    Call::Bind,
    Call::Listen,
    Call::Read,
    Call::Write,
    Call::Sync,
];

/// How a call is made to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Mode {
    /// It returns the rule's error and has no effect.
    Error,
    /// It transfers fewer bytes than requested.
    Short,
}

/// Number of variants of [`Mode`].
const MODES: usize = 2;

/// One call's faults of one mode.
#[derive(Debug, Default)]
#[repr(C)]
pub struct FaultRule {
    /// The fault is injected into this many of [`RATE_BASE`] calls.
    rate: AtomicU32,
    /// The error number.
    errno: AtomicI32,
    /// Faults that are still to be injected; negative for no limit.
    remaining: AtomicI64,
    /// Faults that were injected.
    injected: AtomicU64,
}

/// The table of faults, as it is mapped.
#[derive(Debug, Default)]
#[repr(C)]
pub struct FaultTable {
    /// Offset that is added to the wall clock (ns).
    wall_offset_ns: AtomicI64,
    rules: [[FaultRule; MODES]; CALLS.len()],
}

impl FaultTable {
    /// Bytes of the table's file.
    pub const BYTES: usize = size_of::<FaultTable>();

    /// Maps the table's file for the rest of the process. Returns `None` where it can't be opened or is too short.
    pub fn map(path: &CStr) -> Option<&'static FaultTable> {
        // SAFETY: the C library's calls with valid arguments; the mapping is never undone.
        let mapped = unsafe {
            let file = libc::open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC);
            if file < 0 {
                return None;
            }
            let access = libc::PROT_READ | libc::PROT_WRITE;
            let mapped = libc::mmap(
                std::ptr::null_mut::<libc::c_void>(),
                Self::BYTES,
                access,
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
        // SAFETY: mapped for good at this length; every field is an atomic, for which any bytes are valid.
        unsafe { mapped.cast::<FaultTable>().as_ref() }
    }

    /// Sets the offset of the wall clock (ns).
    pub fn set_wall_offset_ns(&self, nanos: i64) {
        self.wall_offset_ns.store(nanos, Ordering::Relaxed);
    }

    /// The offset of the wall clock (ns).
    pub fn wall_offset_ns(&self) -> i64 {
        self.wall_offset_ns.load(Ordering::Relaxed)
    }

    /// Makes `rate` of [`RATE_BASE`] calls fail with `errno`, at most `count` times.
    pub fn fail(&self, call: Call, errno: i32, rate: u32, count: Option<u32>) {
        self.set(call, Mode::Error, errno, rate, count);
    }

    /// Makes `rate` of [`RATE_BASE`] calls transfer fewer bytes than requested.
    pub fn shorten(&self, call: Call, rate: u32) {
        self.set(call, Mode::Short, 0, rate, None);
    }

    fn set(&self, call: Call, mode: Mode, errno: i32, rate: u32, count: Option<u32>) {
        let rule = &self.rules[call as usize][mode as usize];
        rule.rate.store(0, Ordering::SeqCst);
        rule.errno.store(errno, Ordering::SeqCst);
        let remaining = count.map_or(-1, i64::from);
        rule.remaining.store(remaining, Ordering::SeqCst);
        rule.rate.store(rate, Ordering::SeqCst);
    }

    /// Ends all faults of calls. The offset of the wall clock remains.
    pub fn clear(&self) {
        for rule in self.rules.iter().flatten() {
            rule.rate.store(0, Ordering::SeqCst);
        }
    }

    /// Number of faults of both modes that were injected into a call.
    pub fn injected(&self, call: Call) -> u64 {
        let rules = self.rules[call as usize].iter();
        rules
            .map(|rule| rule.injected.load(Ordering::Relaxed))
            .sum()
    }

    /// Number of faults that were injected into all calls.
    pub fn injected_in_all(&self) -> u64 {
        CALLS.iter().map(|call| self.injected(*call)).sum()
    }

    /// For the shim: decides by a random number whether this call is to fail in this mode. Returns the error number and
    /// counts the fault if so.
    pub fn draw(&self, call: Call, mode: Mode, random: u32) -> Option<i32> {
        let rule = &self.rules[call as usize][mode as usize];
        if random % RATE_BASE >= rule.rate.load(Ordering::Relaxed) {
            return None;
        }
        let take = |left: i64| match left {
            0 => None,
            1.. => Some(left - 1),
            _ => Some(left),
        };
        let taken = rule
            .remaining
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.ok()?;
        rule.injected.fetch_add(1, Ordering::Relaxed);
        Some(rule.errno.load(Ordering::Relaxed))
    }
}
