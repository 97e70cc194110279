//! The UDP proxy in front of the name service, which can drop questions and delay answers.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time limit for the name service's answer to a question; also the interval at which the proxy checks whether it was
/// dropped.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a datagram (bytes).
const MAX_BYTES: usize = 64 * 1024;

#[derive(Debug, Default)]
struct Shared {
    is_silent: AtomicBool,
    delay_ms: AtomicU64,
    is_closed: AtomicBool,
}

/// A proxy in front of the name service. Dropping it stops the proxy.
#[derive(Debug)]
pub struct NameServiceProxy {
    /// The address to which dispatchers send questions.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl NameServiceProxy {
    /// Starts a proxy to `target`.
    ///
    /// # Panics
    /// The loopback has no free port.
    pub fn start(target: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = socket.local_addr().expect("a bound socket has an address");
        let _ = socket.set_read_timeout(Some(ANSWER_TIMEOUT));
        let shared = Arc::new(Shared::default());
        let forward_shared = shared.clone();
        thread::spawn(move || forward(&socket, target, &forward_shared));
        NameServiceProxy { address, shared }
    }

    /// Sets whether questions remain unanswered.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Sets the delay of answers (ms).
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::SeqCst);
    }
}

impl Drop for NameServiceProxy {
    fn drop(&mut self) {
        self.shared.is_closed.store(true, Ordering::SeqCst);
    }
}

fn forward(socket: &UdpSocket, target: SocketAddr, shared: &Arc<Shared>) {
    let mut question = [0; 512];
    while !shared.is_closed.load(Ordering::SeqCst) {
        let Ok((count, from)) = socket.recv_from(&mut question) else {
            continue;
        };
        if shared.is_silent.load(Ordering::SeqCst) {
            continue;
        }
        let (Ok(reply_socket), question, shared) = (
            socket.try_clone(),
            question[..count].to_vec(),
            shared.clone(),
        ) else {
            continue;
        };
        thread::spawn(move || answer(&reply_socket, from, target, &question, &shared));
    }
}

/// Forwards a question to the name service and, after the delay, its answers to the dispatcher.
fn answer(
    reply_socket: &UdpSocket,
    to: SocketAddr,
    target: SocketAddr,
    question: &[u8],
    shared: &Shared,
) {
    let Ok(upstream) = UdpSocket::bind("127.0.0.1:0") else {
        return;
    };
    let _ = upstream.set_read_timeout(Some(ANSWER_TIMEOUT));
    if upstream.send_to(question, target).is_err() {
        return;
    }
    let mut buffer = vec![0; MAX_BYTES];
    // The name service may send a stray datagram before the answer.
    for _ in 0..2 {
        let Ok(count) = upstream.recv(&mut buffer) else {
            return;
        };
        let delay_ms = shared.delay_ms.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(delay_ms));
        if !shared.is_silent.load(Ordering::SeqCst) {
            let _ = reply_socket.send_to(&buffer[..count], to);
        }
    }
}
