//! The FNV-1a hash (Fowler, Noll, Vo) in the widths that messages use.
//!
//! The hashes are part of wire formats, so all versions have to compute the same hash of a name. They do not resist
//! collisions that an attacker constructs.

/// Offset basis of 32-bit FNV-1a.
const OFFSET_BASIS_32: u32 = 0x811c_9dc5;
/// Prime of 32-bit FNV-1a.
const PRIME_32: u32 = 0x0100_0193;
/// Offset basis of 64-bit FNV-1a.
const OFFSET_BASIS_64: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const PRIME_64: u64 = 0x0100_0000_01b3;

/// 32-bit FNV-1a folded to 16 bits: the upper half XORed with the lower half.
pub fn fnv1a_16(bytes: &[u8]) -> u16 {
    let hash = fnv1a_32(bytes);
    (hash ^ hash >> 16) as u16
}

/// 32-bit FNV-1a.
pub fn fnv1a_32(bytes: &[u8]) -> u32 {
    let mut hash = OFFSET_BASIS_32;
    for byte in bytes {
        hash = (hash ^ u32::from(*byte)).wrapping_mul(PRIME_32);
    }
    hash
}

/// 64-bit FNV-1a.
pub fn fnv1a_64(bytes: &[u8]) -> u64 {
    let mut hash = OFFSET_BASIS_64;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME_64);
    }
    hash
}
