//! The rate limit of the log: a token bucket for each call site, and the counts of suppressed lines.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use std::time::Instant;
use tracing::callsite::Identifier;
use tracing::Metadata;

/// Sustained lines a second of one call site.
static LINES_PER_SECOND: AtomicU32 = AtomicU32::new(5);
/// Burst: lines that one call site may write at once.
static BURST_LINES: AtomicU32 = AtomicU32::new(20);
/// Lines suppressed since the start, of all call sites.
static SUPPRESSED: AtomicU64 = AtomicU64::new(0);

/// The token bucket of one call site.
struct RateLimit {
    /// Lines that may be written now.
    tokens: f64,
    refilled_at: Instant,
    /// Lines suppressed since the call site's last written line.
    suppressed: u64,
    callsite: &'static Metadata<'static>,
}

thread_local! {
    static RATE_LIMITS: RefCell<HashMap<Identifier, RateLimit>> = RefCell::default();
}

/// Takes a token of the call site's bucket; false, and counts a suppressed line, if there is none.
pub(super) fn try_acquire(callsite: &'static Metadata<'static>, now: Instant) -> bool {
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
            });
        let elapsed_s = now
            .saturating_duration_since(limit.refilled_at)
            .as_secs_f64();
        limit.tokens = (limit.tokens + elapsed_s * rate).min(burst);
        limit.refilled_at = now;
        if limit.tokens < 1.0 {
            limit.suppressed += 1;
            SUPPRESSED.fetch_add(1, Relaxed);
            return false;
        }
        limit.tokens -= 1.0;
        true
    })
}

/// The number of lines suppressed since the call site's last written line. Resets it.
pub(super) fn take_suppressed(callsite: &Metadata) -> u64 {
    RATE_LIMITS.with_borrow_mut(|limits| {
        limits
            .get_mut(&callsite.callsite())
            .map_or(0, |limit| std::mem::take(&mut limit.suppressed))
    })
}

/// Lines that the rate limit suppressed since the start, of all call sites.
pub fn suppressed_lines() -> u64 {
    SUPPRESSED.load(Relaxed)
}

/// Sets rate and burst of all call sites.
pub(super) fn configure(lines_per_second: u32, burst_lines: u32) {
    LINES_PER_SECOND.store(lines_per_second, Relaxed);
    BURST_LINES.store(burst_lines, Relaxed);
}

/// The call sites that wrote no line after a suppressed one, each with its number of suppressed lines. Resets the numbers.
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
