//! The relay between dispatchers: each one is known to the others by an address of the relay's, and a further address
//! reaches all. It loses and doubles some of what passes.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Fractions of datagrams that are lost and doubled.
const LOSS: f64 = 0.1;
const DOUBLED: f64 = 0.05;
/// How often a thread looks whether the relay was dropped.
const POLL: Duration = Duration::from_millis(100);

/// The relay, until it is dropped.
#[derive(Debug)]
pub struct PeerRelay {
    /// By which each dispatcher is known.
    pub each: Vec<SocketAddr>,
    /// Reaches all but the sender.
    pub all: SocketAddr,
    is_closed: Arc<AtomicBool>,
}

impl PeerRelay {
    /// A relay between dispatchers that listen at these addresses.
    ///
    /// # Panics
    /// The loopback has no free port.
    pub fn start(listen: &[SocketAddr], seed: u64) -> Self {
        let bind = || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has a free port");
            let _ = socket.set_read_timeout(Some(POLL));
            socket
        };
        let address = |socket: &UdpSocket| socket.local_addr().expect("a bound socket has one");
        let sockets: Arc<Vec<UdpSocket>> = Arc::new(listen.iter().map(|_| bind()).collect());
        let broadcast = bind();
        let relay = PeerRelay {
            each: sockets.iter().map(address).collect(),
            all: address(&broadcast),
            is_closed: Arc::default(),
        };
        let listen: Arc<Vec<SocketAddr>> = Arc::new(listen.to_vec());
        for to in 0..listen.len() {
            let (sockets, listen) = (sockets.clone(), listen.clone());
            let is_closed = relay.is_closed.clone();
            let mut rng = Pcg32::seed_from_u64(seed ^ to as u64);
            thread::spawn(move || {
                receive(&sockets[to], &is_closed, |from, bytes| {
                    if let Some(from) = listen.iter().position(|address| *address == from) {
                        pass_on(&sockets[from], listen[to], bytes, &mut rng);
                    }
                });
            });
        }
        let is_closed = relay.is_closed.clone();
        let mut rng = Pcg32::seed_from_u64(!seed);
        thread::spawn(move || {
            receive(&broadcast, &is_closed, |from, bytes| {
                let Some(from) = listen.iter().position(|address| *address == from) else {
                    return;
                };
                for (to, address) in listen.iter().enumerate() {
                    if to != from {
                        pass_on(&sockets[from], *address, bytes, &mut rng);
                    }
                }
            });
        });
        relay
    }
}

impl Drop for PeerRelay {
    fn drop(&mut self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }
}

fn receive(socket: &UdpSocket, is_closed: &AtomicBool, mut take: impl FnMut(SocketAddr, &[u8])) {
    let mut buffer = [0; 2048];
    while !is_closed.load(Ordering::SeqCst) {
        if let Ok((count, from)) = socket.recv_from(&mut buffer) {
            take(from, &buffer[..count]);
        }
    }
}

fn pass_on(socket: &UdpSocket, to: SocketAddr, bytes: &[u8], rng: &mut Pcg32) {
    if rng.random_bool(LOSS) {
        return;
    }
    let _ = socket.send_to(bytes, to);
    if rng.random_bool(DOUBLED) {
        let _ = socket.send_to(bytes, to);
    }
}
