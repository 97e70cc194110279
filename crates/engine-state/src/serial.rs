//! Comparison of numbers that wrap around, as in RFC 1982 (serial number arithmetic).

use std::cmp::Ordering;

/// Limit on the distance by which a number is after another one.
const MAX_DISTANCE: u32 = 0x7fff_ffff;

/// Whether `candidate` is before or after `current`.
pub(crate) fn compare(candidate: u32, current: u32) -> Ordering {
    match candidate.wrapping_sub(current) {
        0 => Ordering::Equal,
        1..=MAX_DISTANCE => Ordering::Greater,
        _ => Ordering::Less,
    }
}
