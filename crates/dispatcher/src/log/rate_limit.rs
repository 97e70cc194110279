//! The rate limit of the log: a token bucket and a count of suppressed lines per call site. The first line of each kind
//! at a call site is always written; the kind is a hash of the fields in [`KIND_FIELDS`].

use rustc_hash::FxHasher;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::hash::Hasher;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use std::time::Instant;
use tracing::callsite::Identifier;
use tracing::field::{Field, Visit};
use tracing::{Event, Metadata};

/// Sustained rate (lines per second) of one call site.
static LINES_PER_SECOND: AtomicU32 = AtomicU32::new(5);
/// Burst (lines) of one call site.
static BURST_LINES: AtomicU32 = AtomicU32::new(20);
/// Lines of all call sites suppressed since the start.
static SUPPRESSED: AtomicU64 = AtomicU64::new(0);

/// Fields whose values determine the kind of a line.
const KIND_FIELDS: [&str; 4] = ["reason", "cause", "after", "outcome"];
/// Maximum number of kinds recorded per call site: a bound on memory. The first line of any further kind needs a token.
const MAX_KINDS: usize = 32;

/// The kind of a line: a hash of its fields in [`KIND_FIELDS`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct LineKind(u64);

impl LineKind {
    /// The kind of an event.
    pub(super) fn of(event: &Event<'_>) -> Self {
        let mut hasher = KindHasher(FxHasher::default());
        event.record(&mut hasher);
        LineKind(hasher.0.finish())
    }
}

/// Hashes the values of the fields in [`KIND_FIELDS`].
struct KindHasher(FxHasher);

impl Visit for KindHasher {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        if KIND_FIELDS.contains(&field.name()) {
            // Writing to a hasher cannot fail.
            let _ = write!(self, "{value:?};");
        }
    }
}

impl std::fmt::Write for KindHasher {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// The token bucket of one call site.
struct RateLimit {
    /// Lines that the bucket allows now.
    tokens: f64,
    refilled_at: Instant,
    /// Lines suppressed since the call site's last written line.
    suppressed: u64,
    callsite: &'static Metadata<'static>,
    /// Kinds of lines that the call site has written, at most [`MAX_KINDS`].
    kinds: Vec<LineKind>,
}

impl RateLimit {
    /// Whether this is the first line of its kind, and there is room to record the kind. Records it.
    fn is_first_of(&mut self, kind: LineKind) -> bool {
        let is_first = self.kinds.len() < MAX_KINDS && !self.kinds.contains(&kind);
        if is_first {
            self.kinds.push(kind);
        }
        is_first
    }
}

thread_local! {
    static RATE_LIMITS: RefCell<HashMap<Identifier, RateLimit>> = RefCell::default();
}

/// Takes a token from the call site's bucket. Returns true if there was a token or the line is the first of its kind;
/// otherwise counts a suppressed line and returns false.
pub(super) fn try_acquire(
    callsite: &'static Metadata<'static>,
    kind: LineKind,
    now: Instant,
) -> bool {
    let burst = f64::from(BURST_LINES.load(Relaxed));
    let rate = f64::from(LINES_PER_SECOND.load(Relaxed));
    RATE_LIMITS.with_borrow_mut(|limits| {
        let limit = limits
            .entry(callsite.callsite())
            .or_insert_with(|| RateLimit {
                tokens: burst,
                refilled_at: now,
                suppressed: 0,
                callsite,
                kinds: Vec::new(),
            });
        let elapsed_s = now
            .saturating_duration_since(limit.refilled_at)
            .as_secs_f64();
        limit.tokens = (limit.tokens + elapsed_s * rate).min(burst);
        limit.refilled_at = now;
        let is_first = limit.is_first_of(kind);
        if limit.tokens < 1.0 && !is_first {
            limit.suppressed += 1;
            SUPPRESSED.fetch_add(1, Relaxed);
            return false;
        }
        limit.tokens = (limit.tokens - 1.0).max(0.0);
        true
    })
}

/// Takes the count of lines suppressed since the call site's last written line, and resets it.
pub(super) fn take_suppressed(callsite: &Metadata) -> u64 {
    RATE_LIMITS.with_borrow_mut(|limits| {
        limits
            .get_mut(&callsite.callsite())
            .map_or(0, |limit| std::mem::take(&mut limit.suppressed))
    })
}

/// Lines of all call sites that the rate limit has suppressed since the start.
pub fn suppressed_lines() -> u64 {
    SUPPRESSED.load(Relaxed)
}

/// Sets the rate and the burst of all call sites.
pub(super) fn configure(lines_per_second: u32, burst_lines: u32) {
    LINES_PER_SECOND.store(lines_per_second, Relaxed);
    BURST_LINES.store(burst_lines, Relaxed);
}

/// Takes the counts of suppressed lines of all call sites that have written no line since, and resets them.
pub(super) fn take_all_suppressed() -> Vec<(u64, &'static Metadata<'static>)> {
    let mut unreported = Vec::new();
    RATE_LIMITS.with_borrow_mut(|limits| {
        for limit in limits.values_mut().filter(|limit| limit.suppressed > 0) {
            unreported.push((std::mem::take(&mut limit.suppressed), limit.callsite));
        }
    });
    unreported
}

#[cfg(test)]
mod tests;
