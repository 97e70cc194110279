//! Relays on the links between members and from members to engines, which apply the scenario's faults. The processes
//! use only the relays' addresses: the other members reach a member through its public address at the relay, and each
//! member reaches each engine through a separate link with its own address.

use super::links::LinkConditions;
use crate::engine::{fill_accept_backlog, Engine};
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

/// Interval at which relays check for due datagrams, new connections and the end of a cut.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Interval at which a receiving thread checks whether the relay was dropped.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
/// Size of the receive buffer (bytes), larger than any datagram of the fleet.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// Size of the copy buffer between a member and an engine (bytes).
const COPY_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum delay between members until the scenario sets other conditions (ms).
const DEFAULT_DELAY_MS: f64 = 1.0;

/// A datagram in flight between two members.
#[derive(Debug)]
struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Conditions of the links between members, and the datagrams in flight.
#[derive(Debug)]
struct LinkState {
    conditions: LinkConditions,
    late_ms: f64,
    /// `reachable[from][to]`: whether datagrams from member `from` reach member `to`.
    reachable: Vec<Vec<bool>>,
    rng: Pcg32,
    /// Datagrams by arrival time and sequence number, which orders datagrams of the same time.
    in_flight: BTreeMap<(Instant, u64), Datagram>,
    datagram_count: u64,
}

impl LinkState {
    /// Schedules the arrival of a datagram's copies, unless the link is cut.
    fn enqueue(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if !self.reachable[from][to] {
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
    stopped: Arc<AtomicBool>,
}

impl Relay {
    /// Starts the links between `members` members. Late datagrams are delayed by `late_ms`. `seed` is the seed of all
    /// random draws.
    ///
    /// # Panics
    /// If the loopback interface has no free port.
    pub fn start(members: usize, late_ms: f64, seed: u64) -> Self {
        let sockets: Vec<Arc<UdpSocket>> = (0..members).map(|_| relay_socket()).collect();
        let state = LinkState {
            conditions: LinkConditions {
                delay: DEFAULT_DELAY_MS,
                ..LinkConditions::GOOD
            },
            late_ms,
            reachable: vec![vec![true; members]; members],
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
            stopped: Arc::default(),
        };
        for (to, socket) in sockets.iter().enumerate() {
            relay.spawn_receiver(to, socket.clone());
        }
        relay.spawn_sender(sockets);
        relay
    }

    /// Starts the thread that receives the datagrams sent to member `to`.
    fn spawn_receiver(&self, to: usize, socket: Arc<UdpSocket>) {
        let private = self.private.clone();
        let state = self.state.clone();
        let stopped = self.stopped.clone();
        let bytes = self.bytes.clone();
        thread::spawn(move || {
            let mut buffer = [0; RECEIVE_BUFFER_BYTES];
            while !stopped.load(Ordering::Relaxed) {
                let Ok((count, source)) = socket.recv_from(&mut buffer) else {
                    continue;
                };
                let Some(from) = private.iter().position(|address| *address == source) else {
                    continue;
                };
                bytes.fetch_add(count as u64, Ordering::Relaxed);
                state
                    .lock()
                    .expect("the lock is not poisoned")
                    .enqueue(from, to, &buffer[..count]);
            }
        });
    }

    /// Starts the thread that forwards due datagrams from the sender's public address, so that they can be answered.
    fn spawn_sender(&self, sockets: Vec<Arc<UdpSocket>>) {
        let private = self.private.clone();
        let state = self.state.clone();
        let stopped = self.stopped.clone();
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                thread::sleep(POLL_INTERVAL);
                let due = state.lock().expect("the lock is not poisoned").take_due();
                for datagram in due.into_values() {
                    let _ = sockets[datagram.from].send_to(&datagram.bytes, private[datagram.to]);
                }
            }
        });
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    /// Sets the conditions of all links between members.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        self.state().conditions = conditions;
    }

    /// Cuts `side` off from the other members; with `one_way`, only the datagrams that `side` sends are lost.
    pub fn cut(&self, side: &[usize], one_way: bool) {
        let mut state = self.state();
        let members = state.reachable.len();
        for from in 0..members {
            for to in 0..members {
                let from_inside = side.contains(&from);
                let to_inside = side.contains(&to);
                state.reachable[from][to] = from_inside == to_inside || one_way && !from_inside;
            }
        }
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        for reachable in self.state().reachable.iter_mut().flatten() {
            *reachable = true;
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn relay_socket() -> Arc<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has a free port");
    socket
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .expect("a socket takes a timeout");
    Arc::new(socket)
}

/// A link from one member to one engine. While it is cut, no bytes pass and neither side sees an error, as in a
/// network partition.
#[derive(Debug, Clone)]
pub struct EngineLink {
    /// The address by which the member knows the engine.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl EngineLink {
    /// Starts a link to the engine at `engine`.
    ///
    /// # Panics
    /// If the loopback interface has no free port.
    pub fn start(engine: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let link = EngineLink {
            address,
            cut: Arc::default(),
            stopped: Arc::default(),
        };
        listener
            .set_nonblocking(true)
            .expect("a listener can be non-blocking");
        let accepting_link = link.clone();
        thread::spawn(move || accepting_link.accept_connections(&listener, engine));
        link
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed) && !self.stopped.load(Ordering::Relaxed)
    }

    fn accept_connections(&self, listener: &TcpListener, engine: SocketAddr) {
        while !self.stopped.load(Ordering::Relaxed) {
            if self.cut.load(Ordering::Relaxed) {
                // Fills the accept backlog, so that a connect gets no answer, as in a network partition. With free
                // places in the backlog, the kernel would complete the connect during the cut.
                let pending_connections = fill_accept_backlog(listener);
                while self.is_cut() {
                    thread::sleep(POLL_INTERVAL);
                }
                drop(pending_connections);
                let _ = socket2::SockRef::from(listener).listen(128);
            }
            let Ok((member_stream, _)) = listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let Ok(engine_stream) = TcpStream::connect(engine) else {
                continue;
            };
            let _ = member_stream.set_nodelay(true);
            let _ = engine_stream.set_nodelay(true);
            let (Ok(member_clone), Ok(engine_clone)) =
                (member_stream.try_clone(), engine_stream.try_clone())
            else {
                continue;
            };
            self.spawn_copy(member_stream, engine_stream);
            self.spawn_copy(engine_clone, member_clone);
        }
    }

    /// Starts a thread that copies one direction of a connection. Bytes that arrive during a cut are forwarded after
    /// its end.
    fn spawn_copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let link = self.clone();
        thread::spawn(move || {
            let mut buffer = [0; COPY_BUFFER_BYTES];
            while let Ok(count) = from.read(&mut buffer) {
                while link.is_cut() {
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

    /// Cuts or heals the link.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Ends any cut and accepts no further connections. An established connection remains until one side closes it.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Starts a separate link from each member to each engine. Returns the links of each member.
pub(super) fn start_engine_links(members: usize, engines: &[Engine]) -> Vec<Vec<EngineLink>> {
    let links_of_member = |_| {
        engines
            .iter()
            .map(|engine| EngineLink::start(engine.address))
            .collect()
    };
    (0..members).map(links_of_member).collect()
}
