//! The table of faults: a file that a test maps and writes, and that the fault shim in the process under test maps and
//! reads. It says which system calls fail, how and how often, and how far the wall clock is off; the shim counts there
//! what it has injected, so that a test can show that its faults took place.
//!
//! It owns the layout and the mapping, and injects nothing. All fields are atomics: both sides may use them at any time.
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
    /// It returns the rule's error and does nothing.
    Error,
    /// It transfers fewer bytes than it was given.
    Short,
}

const MODES: usize = 2;

/// One call's faults of one mode.
#[derive(Debug, Default)]
#[repr(C)]
pub struct FaultRule {
    /// In how many of [`RATE_BASE`] calls it is injected.
    rate: AtomicU32,
    /// The error number.
    errno: AtomicI32,
    /// How many more are injected; negative for no bound.
    remaining: AtomicI64,
    /// How many were injected.
    injected: AtomicU64,
}

/// The table.
#[derive(Debug, Default)]
#[repr(C)]
pub struct FaultTable {
    /// Added to the wall clock (ns).
    wall_offset_ns: AtomicI64,
    rules: [[FaultRule; MODES]; CALLS.len()],
}

impl FaultTable {
    /// Bytes of the table's file.
    pub const BYTES: usize = size_of::<FaultTable>();

    /// Maps the table's file, for good. `None` where it can't be opened or is too short to map.
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

    /// Sets how far the wall clock is off (ns).
    pub fn set_wall_offset_ns(&self, nanos: i64) {
        self.wall_offset_ns.store(nanos, Ordering::Relaxed);
    }

    /// How far the wall clock is off (ns).
    pub fn wall_offset_ns(&self) -> i64 {
        self.wall_offset_ns.load(Ordering::Relaxed)
    }

    /// Lets `rate` of [`RATE_BASE`] calls fail with `errno`, `count` times at most.
    pub fn fail(&self, call: Call, errno: i32, rate: u32, count: Option<u32>) {
        self.set(call, Mode::Error, errno, rate, count);
    }

    /// Lets `rate` of [`RATE_BASE`] calls transfer fewer bytes than they were given.
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

    /// Ends all faults of calls. The wall clock stays as it is.
    pub fn clear(&self) {
        for rule in self.rules.iter().flatten() {
            rule.rate.store(0, Ordering::SeqCst);
        }
    }

    /// How many faults of a call were injected, of both modes.
    pub fn injected(&self, call: Call) -> u64 {
        let rules = self.rules[call as usize].iter();
        rules
            .map(|rule| rule.injected.load(Ordering::Relaxed))
            .sum()
    }

    /// How many faults were injected in all.
    pub fn injected_in_all(&self) -> u64 {
        CALLS.iter().map(|call| self.injected(*call)).sum()
    }

    /// For the shim: whether this call is to fail in this mode, by a random number below [`RATE_BASE`]; the error number
    /// then. Counts it.
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
