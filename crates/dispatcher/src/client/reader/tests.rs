use super::*;

fn reader() -> Reader {
    Reader::new(&AdmissionLimits {
        max_connections: 10,
        max_buffered_bytes: 1 << 20,
        ..AdmissionLimits::default()
    })
}

/// Appends bytes that arrived at `at_ms`.
fn receive(buffer: &mut ReadBuffer, bytes: &[u8], at_ms: f64) {
    buffer.bytes.extend_from_slice(bytes);
    buffer.record_arrival(at_ms);
}

#[test]
fn request_arrives_with_its_last_byte_even_if_later_bytes_are_buffered() {
    let reader = reader();
    let mut buffer = reader.buffer();
    receive(&mut buffer, b"first", 10.0);
    receive(&mut buffer, b"second", 20.0);
    receive(&mut buffer, b"third", 30.0);
    assert_eq!(buffer.arrived_ms(5), Some(10.0));
    assert_eq!(buffer.arrived_ms(6), Some(20.0));
    assert_eq!(buffer.arrived_ms(16), Some(30.0));
    assert_eq!(buffer.arrived_ms(17), None);
    buffer.consume(5);
    assert_eq!(buffer.arrived_ms(6), Some(20.0));
    assert_eq!(buffer.bytes(), b"secondthird");
    buffer.consume(11);
    assert!(buffer.is_empty() && buffer.arrivals.is_empty());
}

#[test]
fn bytes_beyond_the_limit_of_arrival_times_count_as_earlier_never_later() {
    let reader = reader();
    let mut buffer = reader.buffer();
    for index in 0..500 {
        receive(&mut buffer, b"x", f64::from(index));
    }
    assert_eq!(buffer.arrivals.len(), MAX_ARRIVALS);
    for count in 1..=500 {
        let arrived_ms = buffer.arrived_ms(count).unwrap();
        assert!(arrived_ms <= (count - 1) as f64, "{count}: {arrived_ms}");
    }
}
