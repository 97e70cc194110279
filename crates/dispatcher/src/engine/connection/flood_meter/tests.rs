use super::*;

#[test]
fn too_many_replies_or_bytes_within_a_span_are_a_flood() {
    let mut meter = FloodMeter::default();
    let floods = |meter: &mut FloodMeter, count: u64, bytes, now_ms| {
        (0..count).any(|_| meter.is_flooded_by(bytes, now_ms))
    };
    assert!(!floods(&mut meter, MAX_REPLIES, 70, 10.0));
    // The next span begins anew.
    assert!(!floods(&mut meter, MAX_REPLIES, 70, 10.0 + SPAN_MS));
    assert!(floods(&mut meter, 1, 70, 10.0 + 1.5 * SPAN_MS));
    let pages = (MAX_BYTES / 6000) as u64;
    assert!(!floods(&mut meter, pages, 6000, 10_000.0));
    assert!(floods(&mut meter, 1, 6000, 10_000.0));
}
