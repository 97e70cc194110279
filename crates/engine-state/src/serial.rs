//! Serial number arithmetic (RFC 1982): the order of numbers that wrap around.

use std::cmp::Ordering;

/// Maximum distance, modulo 2^32, at which a number still counts as later.
const MAX_DISTANCE: u32 = 0x7fff_ffff;

/// Returns the order of `candidate` relative to `current`.
pub(crate) fn compare(candidate: u32, current: u32) -> Ordering {
    match candidate.wrapping_sub(current) {
        0 => Ordering::Equal,
        1..=MAX_DISTANCE => Ordering::Greater,
        _ => Ordering::Less,
    }
}
