//! The encoding of messages between dispatchers.
//!
//! A message has one byte for its kind, and three bytes per engine: a tag of two bytes, computed from the engine id,
//! and the engine's low-lane threads in one byte. Engines rarely share one of the 65,536 tags; if they do, an entry
//! applies to the first of them in the engine table.

/// Kind of a message with the sender's own low-lane threads.
pub const OWN_LOAD: u8 = 0;
/// Kind of a message with the sum of all dispatchers' low-lane threads.
pub const TOTAL_LOAD: u8 = 1;
/// Length of an entry (bytes).
const ENTRY_BYTES: usize = 3;
/// Maximum entries of a message, so that it has at most 256 bytes.
const MAX_ENTRIES: usize = 85;

/// The tag of an engine.
pub fn engine_tag(engine_id: u64) -> [u8; 2] {
    let mixed = (engine_id as u32).wrapping_mul(0x9E37_79B1).to_be_bytes();
    [mixed[0], mixed[1]]
}

/// Encodes low-lane threads by engine id, and calls `send` with each message. There is at least one message, and more
/// if the entries exceed `MAX_ENTRIES`. Thread counts are truncated to integers from 0 to 255.
pub fn encode(
    kind: u8,
    threads_by_engine: impl Iterator<Item = (u64, f64)>,
    mut send: impl FnMut(&[u8]),
) {
    let mut bytes = [0; 1 + ENTRY_BYTES * MAX_ENTRIES];
    bytes[0] = kind;
    let mut length = 1;
    for (engine_id, threads) in threads_by_engine {
        if length == bytes.len() {
            send(&bytes);
            length = 1;
        }
        let [first, second] = engine_tag(engine_id);
        let threads = threads.clamp(0.0, 255.0) as u8;
        bytes[length..length + ENTRY_BYTES].copy_from_slice(&[first, second, threads]);
        length += ENTRY_BYTES;
    }
    send(&bytes[..length]);
}

/// Decodes the entries of a message: tags and low-lane threads. Ignores an incomplete last entry.
pub fn decode(content: &[u8]) -> impl Iterator<Item = ([u8; 2], f64)> + '_ {
    let entries = content.get(1..).unwrap_or(&[]).chunks_exact(ENTRY_BYTES);
    entries.map(|entry| ([entry[0], entry[1]], f64::from(entry[2])))
}
