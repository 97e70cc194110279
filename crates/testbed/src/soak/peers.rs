//! The UDP relay between dispatchers. It has one address per dispatcher, at which the others reach that dispatcher, and
//! one broadcast address. It drops some of the datagrams and duplicates others.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Fraction of datagrams that are dropped.
const LOSS_FRACTION: f64 = 0.1;
/// Fraction of datagrams that are delivered twice.
const DUPLICATE_FRACTION: f64 = 0.05;
/// Interval at which a receiving thread checks whether the relay was dropped.
const POLL: Duration = Duration::from_millis(100);

/// A relay between dispatchers. Dropping it stops the relay.
#[derive(Debug)]
pub struct PeerRelay {
    /// For each dispatcher, the relay address at which the others reach it.
    pub unicast: Vec<SocketAddr>,
    /// The relay address at which a dispatcher reaches all others.
    pub broadcast: SocketAddr,
    is_closed: Arc<AtomicBool>,
}

impl PeerRelay {
    /// Starts a relay between dispatchers that listen at these addresses.
    ///
    /// # Panics
    /// The loopback has no free port.
    pub fn start(listen: &[SocketAddr], seed: u64) -> Self {
        let bind = || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has a free port");
            let _ = socket.set_read_timeout(Some(POLL));
            socket
        };
        let address =
            |socket: &UdpSocket| socket.local_addr().expect("a bound socket has an address");
        let sockets: Vec<UdpSocket> = listen.iter().map(|_| bind()).collect();
        let broadcast = bind();
        let relay = PeerRelay {
            unicast: sockets.iter().map(address).collect(),
            broadcast: address(&broadcast),
            is_closed: Arc::default(),
        };
        let peers = Arc::new(Peers {
            listen: listen.to_vec(),
            sockets,
        });
        for to in 0..listen.len() {
            let rng = Pcg32::seed_from_u64(seed ^ to as u64);
            relay.spawn_unicast(peers.clone(), to, rng);
        }
        relay.spawn_broadcast(peers, broadcast, Pcg32::seed_from_u64(!seed));
        relay
    }

    /// Starts a thread that forwards datagrams to one dispatcher.
    fn spawn_unicast(&self, peers: Arc<Peers>, to: usize, mut rng: Pcg32) {
        let is_closed = self.is_closed.clone();
        thread::spawn(move || {
            receive(&peers.sockets[to], &is_closed, |source, bytes| {
                if let Some(from) = peers.sender(source) {
                    peers.forward(from, to, bytes, &mut rng);
                }
            });
        });
    }

    /// Starts a thread that forwards broadcast datagrams to all dispatchers but the sender.
    fn spawn_broadcast(&self, peers: Arc<Peers>, socket: UdpSocket, mut rng: Pcg32) {
        let is_closed = self.is_closed.clone();
        thread::spawn(move || {
            receive(&socket, &is_closed, |source, bytes| {
                let Some(from) = peers.sender(source) else {
                    return;
                };
                for to in 0..peers.listen.len() {
                    if to != from {
                        peers.forward(from, to, bytes, &mut rng);
                    }
                }
            });
        });
    }
}

impl Drop for PeerRelay {
    fn drop(&mut self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }
}

fn receive(socket: &UdpSocket, is_closed: &AtomicBool, mut handle: impl FnMut(SocketAddr, &[u8])) {
    let mut buffer = [0; 2048];
    while !is_closed.load(Ordering::SeqCst) {
        if let Ok((count, from)) = socket.recv_from(&mut buffer) {
            handle(from, &buffer[..count]);
        }
    }
}

/// The addresses of the dispatchers and the relay's sockets.
struct Peers {
    /// The address at which each dispatcher listens and from which it sends.
    listen: Vec<SocketAddr>,
    /// For each dispatcher, the socket at whose address the others reach it.
    sockets: Vec<UdpSocket>,
}

impl Peers {
    /// The index of the dispatcher that sends from this address.
    fn sender(&self, source: SocketAddr) -> Option<usize> {
        self.listen.iter().position(|address| *address == source)
    }

    /// Forwards a datagram from the relay address of its sender. Drops some datagrams and sends some twice.
    fn forward(&self, from: usize, to: usize, bytes: &[u8], rng: &mut Pcg32) {
        if rng.random_bool(LOSS_FRACTION) {
            return;
        }
        let socket = &self.sockets[from];
        let _ = socket.send_to(bytes, self.listen[to]);
        if rng.random_bool(DUPLICATE_FRACTION) {
            let _ = socket.send_to(bytes, self.listen[to]);
        }
    }
}
