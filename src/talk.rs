//! How gateways write to each other: a kind, then for each engine two bytes drawn from its number and its low
//! threads. Two engines in 65,536 marks rarely share one; then the first is meant.

pub const OWN: u8 = 0;
pub const SUM: u8 = 1;
const ENTRY: usize = 3;
const MOST_ENTRIES: usize = 85;

pub fn mark_of(node: u64) -> [u8; 2] {
    let mixed = (node as u32).wrapping_mul(0x9E37_79B1).to_be_bytes();
    [mixed[0], mixed[1]]
}

/// As many messages as the entries take; one at the least.
pub fn write(kind: u8, threads: impl Iterator<Item = (u64, f64)>) -> Vec<Vec<u8>> {
    let mut messages = vec![vec![kind]];
    for (n, (node, threads)) in threads.enumerate() {
        if n > 0 && n % MOST_ENTRIES == 0 {
            messages.push(vec![kind]);
        }
        let last = messages.len() - 1;
        messages[last].extend(mark_of(node));
        messages[last].push(threads.clamp(0.0, 255.0) as u8);
    }
    messages
}

/// The entries whose engine is known here.
pub fn read(content: &[u8], find: impl Fn([u8; 2]) -> Option<usize>) -> Vec<(usize, f64)> {
    let entries = content.get(1..).unwrap_or(&[]).chunks_exact(ENTRY);
    entries.filter_map(|entry| Some((find([entry[0], entry[1]])?, f64::from(entry[2])))).collect()
}
