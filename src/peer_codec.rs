//! How dispatchers write to each other: a kind, then for each engine two bytes drawn from its number and its low
//! threads. Two engines in 65,536 marks rarely share one; then the first is meant.

pub const OWN: u8 = 0;
pub const SUM: u8 = 1;
const ENTRY: usize = 3;
const MAX_ENTRIES: usize = 85;

pub fn mark_of(engine_id: u64) -> [u8; 2] {
    let mixed = (engine_id as u32).wrapping_mul(0x9E37_79B1).to_be_bytes();
    [mixed[0], mixed[1]]
}

/// Hands over as many messages as the entries take, one at the least.
pub fn write(kind: u8, threads: impl Iterator<Item = (u64, f64)>, mut message: impl FnMut(&[u8])) {
    let mut bytes = [0; 1 + ENTRY * MAX_ENTRIES];
    bytes[0] = kind;
    let mut end = 1;
    for (engine_id, threads) in threads {
        if end == bytes.len() {
            message(&bytes);
            end = 1;
        }
        let [a, b] = mark_of(engine_id);
        bytes[end..end + ENTRY].copy_from_slice(&[a, b, threads.clamp(0.0, 255.0) as u8]);
        end += ENTRY;
    }
    message(&bytes[..end]);
}

/// The entries: marks and threads.
pub fn read(content: &[u8]) -> impl Iterator<Item = ([u8; 2], f64)> + '_ {
    let entries = content.get(1..).unwrap_or(&[]).chunks_exact(ENTRY);
    entries.map(|entry| ([entry[0], entry[1]], f64::from(entry[2])))
}
