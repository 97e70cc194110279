use super::*;
use crate::client::admission_limits::AdmissionLimits;
use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Instant;

/// Maximum wait for what the kernel delivers over the loopback.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The receiving half of a connection over the loopback, and the client's end.
fn connection() -> (Rc<ReceiveHalf>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_nodelay(true).unwrap();
    let (stream, _) = listener.accept().unwrap();
    let reader = Reader::new(&AdmissionLimits {
        max_connections: 10,
        max_buffered_bytes: 4 << 20,
        ..AdmissionLimits::default()
    });
    let stream = Async::new(stream).unwrap();
    (ReceiveHalf::new(stream, &reader, Clock::start()), client)
}

/// Waits until the presence is `expected`.
fn wait_for_presence(receive_half: &ReceiveHalf, expected: ClientPresence) {
    let started = Instant::now();
    while receive_half.presence() != expected {
        assert!(started.elapsed() < MAX_WAIT, "never {expected:?}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Writes as much as the system takes until nothing has been taken for 50 ms.
fn fill(client: &mut TcpStream) -> usize {
    client.set_nonblocking(true).unwrap();
    let mut sent = 0;
    let mut last_sent = Instant::now();
    while last_sent.elapsed() < Duration::from_millis(50) {
        match client.write(&[b'x'; 64 * 1024]) {
            Ok(count) => {
                sent += count;
                last_sent = Instant::now();
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
    sent
}

#[test]
fn client_that_sent_nothing_or_one_request_is_connected_until_it_closes_the_connection() {
    let (receive_half, mut client) = connection();
    assert_eq!(receive_half.presence(), ClientPresence::Connected);
    // A request of the largest size is read in several full reads, and has nothing behind it.
    client.write_all(&[b'x'; 64 * 1024]).unwrap();
    let started = Instant::now();
    while receive_half.buffer().len() < 64 * 1024 {
        assert!(started.elapsed() < MAX_WAIT);
        receive_half.presence();
    }
    receive_half.set_request_len(64 * 1024);
    assert_eq!(receive_half.presence(), ClientPresence::Connected);
    receive_half.consume(64 * 1024);
    assert_eq!(receive_half.presence(), ClientPresence::Connected);
    drop(client);
    wait_for_presence(&receive_half, ClientPresence::Disconnected);
}

#[test]
fn end_behind_bytes_that_fit_into_the_buffer_is_seen() {
    for count in [1, 1000, 200 * 1024, 900 * 1024] {
        let (receive_half, mut client) = connection();
        let sender = thread::spawn(move || client.write_all(&vec![b'x'; count]).unwrap());
        wait_for_presence(&receive_half, ClientPresence::Disconnected);
        sender.join().unwrap();
    }
}

/// Guards against taking a client for connected whose end cannot be seen.
#[test]
fn client_that_sent_more_than_is_read_ahead_is_never_known_to_be_connected() {
    for leaves in [true, false] {
        let (receive_half, mut client) = connection();
        assert!(fill(&mut client) > 1 << 20);
        let client = (!leaves).then_some(client);
        let expected = if leaves {
            ClientPresence::Disconnected
        } else {
            ClientPresence::Connected
        };
        let started = Instant::now();
        loop {
            match receive_half.presence() {
                ClientPresence::Unknown => {}
                presence => {
                    assert_eq!(presence, expected);
                    break;
                }
            }
            assert!(started.elapsed() < MAX_WAIT);
            // As a session that refuses one request after another.
            let count = receive_half.buffer().len().min(40_000);
            receive_half.consume(count);
            thread::sleep(Duration::from_millis(1));
        }
        drop(client);
    }
}

/// Guards against a link with a delay, over which the end arrives only after the bytes before it have been read.
#[test]
fn presence_is_unknown_until_bytes_on_their_way_would_have_arrived() {
    let (receive_half, mut client) = connection();
    client.write_all(&[b'x'; 64 * 1024]).unwrap();
    while receive_half.buffer().len() < 64 * 1024 {
        receive_half.presence();
    }
    receive_half.set_request_len(1000);
    assert_eq!(receive_half.presence(), ClientPresence::Unknown);
    thread::sleep(Duration::from_secs_f64(SETTLE_MS / 1000.0));
    assert_eq!(receive_half.presence(), ClientPresence::Connected);
}

#[test]
fn client_is_disconnected_once_its_session_has_ended() {
    let (receive_half, _client) = connection();
    let handle = receive_half.client();
    assert_eq!(handle.presence(), ClientPresence::Connected);
    drop(receive_half);
    assert_eq!(handle.presence(), ClientPresence::Disconnected);
}
