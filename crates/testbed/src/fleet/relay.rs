//! A relay on every link: between two members, and from a member to an engine. It applies the scenario's faults, unnoticed
//! by the processes: other members know a member by an address of the relay, and each member knows each engine by a
//! separate address.

use super::links::LinkConditions;
use crate::engine::{refuse_silently, Engine};
use crate::program::free_udp_address;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which the relay sends datagrams that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Interval at which a receiving thread checks whether the relay was dropped.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
/// Larger than any datagram of the fleet (bytes).
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// The most bytes that are copied at a time between a member and an engine.
const COPY_BUFFER_BYTES: usize = 16 * 1024;
/// Delay between members unless the scenario sets another (ms).
const DEFAULT_DELAY_MS: f64 = 1.0;

/// A datagram in flight between two members.
#[derive(Debug)]
struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

#[derive(Debug)]
struct LinkState {
    conditions: LinkConditions,
    late_ms: f64,
    /// Whether what the first sends reaches the second.
    passes: Vec<Vec<bool>>,
    rng: Pcg32,
    /// By time of arrival, and number for those of one instant.
    in_flight: BTreeMap<(Instant, u64), Datagram>,
    datagram_count: u64,
}

impl LinkState {
    fn accept(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if !self.passes[from][to] {
            return;
        }
        for delay_ms in self.conditions.draw_delays_ms(self.late_ms, &mut self.rng) {
            self.datagram_count += 1;
            let arrival = Instant::now() + Duration::from_secs_f64(delay_ms / 1000.0);
            let bytes = bytes.to_vec();
            self.in_flight
                .insert((arrival, self.datagram_count), Datagram { from, to, bytes });
        }
    }

    fn take_due(&mut self) -> BTreeMap<(Instant, u64), Datagram> {
        let later = self.in_flight.split_off(&(Instant::now(), 0));
        std::mem::replace(&mut self.in_flight, later)
    }
}

/// The links between members.
#[derive(Debug)]
pub struct Relay {
    /// The address by which each member is known to the others.
    pub public: Vec<SocketAddr>,
    /// The address at which each member listens.
    pub private: Vec<SocketAddr>,
    /// Bytes received from members.
    pub bytes: Arc<AtomicU64>,
    state: Arc<Mutex<LinkState>>,
    over: Arc<AtomicBool>,
}

impl Relay {
    /// Starts the links between so many members. Datagrams that are late come after `late_ms`; all else is drawn from
    /// `seed`.
    ///
    /// # Panics
    /// The loopback has no free port.
    pub fn start(members: usize, late_ms: f64, seed: u64) -> Self {
        let sockets: Vec<Arc<UdpSocket>> = (0..members).map(|_| relay_socket()).collect();
        let state = LinkState {
            conditions: LinkConditions {
                delay: DEFAULT_DELAY_MS,
                ..LinkConditions::GOOD
            },
            late_ms,
            passes: vec![vec![true; members]; members],
            rng: Pcg32::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            datagram_count: 0,
        };
        let relay = Relay {
            public: sockets
                .iter()
                .map(|socket| socket.local_addr().expect("a bound socket has an address"))
                .collect(),
            private: (0..members).map(|_| free_udp_address()).collect(),
            bytes: Arc::default(),
            state: Arc::new(Mutex::new(state)),
            over: Arc::default(),
        };
        for (to, socket) in sockets.iter().enumerate() {
            relay.spawn_receiver(to, socket.clone());
        }
        relay.spawn_sender(sockets);
        relay
    }

    /// Receives what other members send to member `to`.
    fn spawn_receiver(&self, to: usize, socket: Arc<UdpSocket>) {
        let private = self.private.clone();
        let state = self.state.clone();
        let over = self.over.clone();
        let bytes = self.bytes.clone();
        thread::spawn(move || {
            let mut buffer = [0; RECEIVE_BUFFER_BYTES];
            while !over.load(Ordering::Relaxed) {
                let Ok((count, source)) = socket.recv_from(&mut buffer) else {
                    continue;
                };
                let Some(from) = private.iter().position(|address| *address == source) else {
                    continue;
                };
                bytes.fetch_add(count as u64, Ordering::Relaxed);
                state
                    .lock()
                    .expect("no holder panics")
                    .accept(from, to, &buffer[..count]);
            }
        });
    }

    /// Forwards datagrams that are due from the address by which the sender is known, so that they can be answered.
    fn spawn_sender(&self, sockets: Vec<Arc<UdpSocket>>) {
        let private = self.private.clone();
        let state = self.state.clone();
        let over = self.over.clone();
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                thread::sleep(POLL_INTERVAL);
                let due = state.lock().expect("no holder panics").take_due();
                for datagram in due.into_values() {
                    let _ = sockets[datagram.from].send_to(&datagram.bytes, private[datagram.to]);
                }
            }
        });
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().expect("no holder panics")
    }

    /// Sets the conditions of all links between members.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        self.state().conditions = conditions;
    }

    /// Cuts `side` off from the other members; with `one_way`, only what `side` sends is lost.
    pub fn cut(&self, side: &[usize], one_way: bool) {
        let mut state = self.state();
        let members = state.passes.len();
        for from in 0..members {
            for to in 0..members {
                let from_inside = side.contains(&from);
                let to_inside = side.contains(&to);
                state.passes[from][to] = from_inside == to_inside || one_way && !from_inside;
            }
        }
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        for passes in self.state().passes.iter_mut().flatten() {
            *passes = true;
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn relay_socket() -> Arc<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has a free port");
    socket
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .expect("a socket takes a timeout");
    Arc::new(socket)
}

/// A link from one member to one engine. While it is cut, nothing gets through and neither side learns of it, as on a
/// network.
#[derive(Debug, Clone)]
pub struct EngineLink {
    /// The address by which the member knows the engine.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    over: Arc<AtomicBool>,
}

impl EngineLink {
    /// Starts a link to the engine at `engine`.
    ///
    /// # Panics
    /// The loopback has no free port.
    pub fn start(engine: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let link = EngineLink {
            address,
            cut: Arc::default(),
            over: Arc::default(),
        };
        listener
            .set_nonblocking(true)
            .expect("a listener need not block");
        let own = link.clone();
        thread::spawn(move || own.accept_connections(&listener, engine));
        link
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed) && !self.over.load(Ordering::Relaxed)
    }

    fn accept_connections(&self, listener: &TcpListener, engine: SocketAddr) {
        while !self.over.load(Ordering::Relaxed) {
            if self.cut.load(Ordering::Relaxed) {
                // No connection is established, as on a network: a relay that still accepts would look different.
                let held = refuse_silently(listener);
                while self.is_cut() {
                    thread::sleep(POLL_INTERVAL);
                }
                drop(held);
                let _ = socket2::SockRef::from(listener).listen(128);
            }
            let Ok((near, _)) = listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let Ok(far) = TcpStream::connect(engine) else {
                continue;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let (Ok(near_again), Ok(far_again)) = (near.try_clone(), far.try_clone()) else {
                continue;
            };
            self.spawn_copy(near, far);
            self.spawn_copy(far_again, near_again);
        }
    }

    /// Copies one direction of a connection; bytes that arrive during a cut are forwarded after its end.
    fn spawn_copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let own = self.clone();
        thread::spawn(move || {
            let mut buffer = [0; COPY_BUFFER_BYTES];
            while let Ok(count) = from.read(&mut buffer) {
                while own.is_cut() {
                    thread::sleep(POLL_INTERVAL);
                }
                if count == 0 || to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            let _ = from.shutdown(Shutdown::Read);
            let _ = to.shutdown(Shutdown::Write);
        });
    }

    /// Cuts the link or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Ends the link; established connections end with their next byte.
    pub fn stop(&self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// For each member, a link of its own to each engine.
pub(super) fn start_engine_links(members: usize, engines: &[Engine]) -> Vec<Vec<EngineLink>> {
    let links_of_member = |_| {
        engines
            .iter()
            .map(|engine| EngineLink::start(engine.address))
            .collect()
    };
    (0..members).map(links_of_member).collect()
}
