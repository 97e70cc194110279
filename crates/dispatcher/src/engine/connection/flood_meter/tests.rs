use super::*;

#[test]
fn too_many_replies_or_bytes_within_a_window_are_a_flood() {
    let mut meter = FloodMeter::default();
    let floods = |meter: &mut FloodMeter, count: u64, bytes, now_ms| {
        (0..count).any(|_| meter.record_ignored_reply(bytes, now_ms))
    };
    assert!(!floods(&mut meter, MAX_REPLIES, 70, 10.0));
    // The next window starts from zero.
    assert!(!floods(&mut meter, MAX_REPLIES, 70, 10.0 + WINDOW_MS));
    assert!(floods(&mut meter, 1, 70, 10.0 + 1.5 * WINDOW_MS));
    let pages = (MAX_BYTES / 6000) as u64;
    assert!(!floods(&mut meter, pages, 6000, 10_000.0));
    assert!(floods(&mut meter, 1, 6000, 10_000.0));
}
