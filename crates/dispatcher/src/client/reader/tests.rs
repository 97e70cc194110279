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
    assert!(bytes.len() <= buffer.space());
    buffer.append(bytes);
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

/// Guards against buffers that keep the capacity of consumed bytes while the limit counts only the bytes that wait.
#[test]
fn memory_of_consumed_bytes_counts_against_the_limit_until_it_is_freed() {
    let reader = reader();
    let limit = 1 << 20;
    let chunk = [b'x'; 4096];
    let mut buffers = Vec::new();
    for _ in 0..10 {
        let mut buffer = reader.buffer();
        while buffer.space() >= chunk.len() {
            receive(&mut buffer, &chunk, 1.0);
        }
        // Nearly all is consumed, as on a connection whose quick requests are answered and whose next one is not.
        buffer.consume(buffer.len() - 100);
        buffers.push(buffer);
        let held = buffers.iter().map(held_bytes).sum::<usize>();
        assert_eq!(reader.memory.held_bytes(), held);
        assert!(held <= limit, "{held}");
    }
    drop(buffers);
    assert_eq!(reader.memory.held_bytes(), 0);
}

/// Guards against a shared limit that a few large buffers use up for all other connections.
#[test]
fn each_connection_has_its_even_share_while_others_hold_all_they_can() {
    let reader = reader();
    let mut buffers: Vec<_> = (0..10).map(|_| reader.buffer()).collect();
    for buffer in &mut buffers {
        let even_share = (1 << 20) / 2 / 10;
        assert!(buffer.space() >= even_share - 64, "{}", buffer.space());
        while buffer.space() > 0 {
            let count = buffer.space().min(16 * 1024);
            receive(buffer, &vec![b'x'; count], 1.0);
        }
    }
    let held = buffers.iter().map(held_bytes).sum::<usize>();
    assert!(held <= 1 << 20, "{held}");
    assert_eq!(reader.memory.held_bytes(), held);
}

#[test]
fn nearly_empty_buffer_frees_most_of_its_memory() {
    let reader = reader();
    let mut buffer = reader.buffer();
    for _ in 0..16 {
        receive(&mut buffer, &[b'x'; 16 * 1024], 1.0);
    }
    buffer.consume(buffer.len() - 1000);
    assert!(held_bytes(&buffer) < 8000, "{}", held_bytes(&buffer));
}

/// The memory that a buffer's collections have allocated.
fn held_bytes(buffer: &ReadBuffer) -> usize {
    buffer.bytes.capacity() + buffer.arrivals.capacity() * size_of::<Arrival>()
}
