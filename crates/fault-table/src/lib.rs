//! The fault table: a file that a test maps and writes, and that the fault shim in the process under test maps and
//! reads. The table defines which system calls fail, how and how often, and the offset of the wall clock. The shim
//! counts injected faults in the table, so that a test can check that its faults took place.
//!
//! This package owns the layout and the mapping, and injects no faults. All fields are atomics: both processes may
//! access them at any time.
//!
//! Start reading at [`FaultTable`].

use std::ffi::CStr;
use std::sync::atomic::{AtomicI32, AtomicI64, AtomicU32, AtomicU64, Ordering};

/// Environment variable with the path of the table's file, read by the shim.
pub const TABLE_VARIABLE: &CStr = c"TANSYMUX_FAULT_TABLE";
/// Denominator of rates: a rate is a number of faults per this many calls.
pub const RATE_BASE: u32 = 10_000;

/// A system call that the shim can make fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Call {
    /// `recv`: reads from TCP connections.
    Recv,
    /// `send`: writes of one buffer to TCP connections.
    Send,
    /// `writev`: vectored writes to TCP connections and to files other than the standard streams.
    Writev,
    /// `recvfrom`: receives datagrams.
    RecvFrom,
    /// `sendto`: sends datagrams.
    SendTo,
    /// `accept4`.
    Accept,
    /// `socket`, as the standard library calls it.
    Socket,
    /// `bind`.
    Bind,
    /// `listen`.
    Listen,
    /// `read` from pipes and files.
    Read,
    /// `write` to files other than the standard streams, and `pwrite64`.
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

/// The kind of fault that is injected into a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Mode {
    /// The call returns the rule's error and has no effect.
    Error,
    /// The call transfers fewer bytes than requested.
    Short,
}

/// Number of variants of [`Mode`].
const MODE_COUNT: usize = 2;

/// The faults of one mode that are injected into one call.
#[derive(Debug, Default)]
#[repr(C)]
pub struct FaultRule {
    /// Number of faults per [`RATE_BASE`] calls.
    rate: AtomicU32,
    /// The error number that a failed call returns.
    errno: AtomicI32,
    /// Number of faults that remain to be injected; negative for no limit.
    remaining: AtomicI64,
    /// Number of faults that were injected.
    injected: AtomicU64,
}

/// The fault table in its mapped layout.
#[derive(Debug, Default)]
#[repr(C)]
pub struct FaultTable {
    /// Offset that is added to the wall clock (ns).
    wall_offset_ns: AtomicI64,
    rules: [[FaultRule; MODE_COUNT]; CALLS.len()],
}

impl FaultTable {
    /// Size of the table's file (bytes).
    pub const BYTES: usize = size_of::<FaultTable>();

    /// Maps the table's file, which must have [`Self::BYTES`] bytes, until the process ends. Returns `None` if the file
    /// cannot be opened or mapped.
    pub fn map(path: &CStr) -> Option<&'static FaultTable> {
        // SAFETY: the C library is called with valid arguments, and the file is never unmapped.
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
        // SAFETY: the file is mapped at this length and never unmapped. All fields are atomics, for which any bytes are
        // valid.
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

    /// Makes `rate` of [`RATE_BASE`] calls fail with `errno`, at most `count` times if a count is given.
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

    /// Stops the injection of faults into all calls. The offset of the wall clock remains.
    pub fn clear(&self) {
        for rule in self.rules.iter().flatten() {
            rule.rate.store(0, Ordering::SeqCst);
        }
    }

    /// Number of faults of both modes injected into a call.
    pub fn injected(&self, call: Call) -> u64 {
        let rules = self.rules[call as usize].iter();
        rules
            .map(|rule| rule.injected.load(Ordering::Relaxed))
            .sum()
    }

    /// Number of faults injected into all calls together.
    pub fn injected_in_all(&self) -> u64 {
        CALLS.iter().map(|call| self.injected(*call)).sum()
    }

    /// For the shim: decides by a random number whether a fault of this mode is injected into a call. If so, counts the
    /// fault and returns the error number.
    pub fn draw(&self, call: Call, mode: Mode, random: u32) -> Option<i32> {
        let rule = &self.rules[call as usize][mode as usize];
        if random % RATE_BASE >= rule.rate.load(Ordering::Relaxed) {
            return None;
        }
        let decrement = |remaining: i64| match remaining {
            0 => None,
            1.. => Some(remaining - 1),
            _ => Some(remaining),
        };
        let decremented =
            rule.remaining
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        decremented.ok()?;
        rule.injected.fetch_add(1, Ordering::Relaxed);
        Some(rule.errno.load(Ordering::Relaxed))
    }
}
