//! A relay on every link: between two members, and from a member to an engine. It does what the scenario says, and the
//! processes know nothing of it: each member is known by an address of the relay's, and each engine, to each member, by
//! another.

use super::scenario::LinkConditions;
use crate::engine::refuse_silently;
use crate::program::free_udp_address;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct State {
    way: LinkConditions,
    late: f64,
    /// Whether what one sends reaches another.
    passes: Vec<Vec<bool>>,
    rng: Pcg32,
    flying: BTreeMap<(Instant, u64), (usize, usize, Vec<u8>)>,
    number: u64,
}

/// The links between members.
#[derive(Debug)]
pub struct Relay {
    /// Where each member is known, and where it listens.
    pub public: Vec<SocketAddr>,
    pub private: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
    pub bytes: Arc<AtomicU64>,
}

impl Relay {
    pub fn start(members: usize, late: f64, seed: u64) -> Self {
        let sockets: Vec<Arc<UdpSocket>> = (0..members)
            .map(|_| {
                let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has a free port");
                socket
                    .set_read_timeout(Some(Duration::from_millis(50)))
                    .expect("a socket takes a timeout");
                Arc::new(socket)
            })
            .collect();
        let public = sockets
            .iter()
            .map(|s| s.local_addr().expect("a bound socket has an address"))
            .collect();
        let private: Vec<SocketAddr> = (0..members).map(|_| free_udp_address()).collect();
        let state = Arc::new(Mutex::new(State {
            way: LinkConditions {
                delay: 1.0,
                ..LinkConditions::GOOD
            },
            late,
            passes: vec![vec![true; members]; members],
            rng: Pcg32::seed_from_u64(seed),
            flying: BTreeMap::new(),
            number: 0,
        }));
        let (over, bytes) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        for (to, socket) in sockets.iter().enumerate() {
            let (socket, private, state) = (socket.clone(), private.clone(), state.clone());
            let (over, bytes) = (over.clone(), bytes.clone());
            thread::spawn(move || {
                let mut buffer = [0; 2048];
                while !over.load(Ordering::Relaxed) {
                    let Ok((count, source)) = socket.recv_from(&mut buffer) else {
                        continue;
                    };
                    let Some(from) = private.iter().position(|at| *at == source) else {
                        continue;
                    };
                    bytes.fetch_add(count as u64, Ordering::Relaxed);
                    state
                        .lock()
                        .expect("no holder panics")
                        .takes(from, to, &buffer[..count]);
                }
            });
        }
        {
            let (private, state, over) = (private.clone(), state.clone(), over.clone());
            thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    thread::sleep(TICK);
                    let due = {
                        let mut state = state.lock().expect("no holder panics");
                        let later = state.flying.split_off(&(Instant::now(), 0));
                        std::mem::replace(&mut state.flying, later)
                    };
                    for (from, to, bytes) in due.into_values() {
                        // From the address by which the sender is known, so that it can be answered.
                        let _ = sockets[from].send_to(&bytes, private[to]);
                    }
                }
            });
        }
        Relay {
            public,
            private,
            state,
            over,
            bytes,
        }
    }

    pub fn links(&self, way: LinkConditions) {
        self.state.lock().expect("no holder panics").way = way;
    }

    /// Nothing goes between these and the others; one way: nothing from these to the others.
    pub fn cut(&self, side: &[usize], one_way: bool) {
        let mut state = self.state.lock().expect("no holder panics");
        let members = state.passes.len();
        for from in 0..members {
            for to in 0..members {
                let (a, b) = (side.contains(&from), side.contains(&to));
                state.passes[from][to] = a == b || one_way && !a;
            }
        }
    }

    pub fn heal(&self) {
        let mut state = self.state.lock().expect("no holder panics");
        state
            .passes
            .iter_mut()
            .flatten()
            .for_each(|passes| *passes = true);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

impl State {
    fn takes(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if !self.passes[from][to] {
            return;
        }
        let many = if self.rng.random_bool(self.way.doubled) {
            2
        } else {
            1
        };
        for _ in 0..many {
            if self.rng.random_bool(self.way.loss) {
                continue;
            }
            let late = self.rng.random_bool(self.way.late);
            let delay = if late {
                self.late
            } else {
                self.rng.random_range(0.0..=self.way.delay)
            };
            self.number += 1;
            let when = Instant::now() + Duration::from_secs_f64(delay / 1000.0);
            self.flying
                .insert((when, self.number), (from, to, bytes.to_vec()));
        }
    }
}

/// A link to an engine: while it is cut, nothing gets through and nothing is told, as on a network.
#[derive(Debug, Clone)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    over: Arc<AtomicBool>,
}

impl Link {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let link = Link {
            address,
            cut: Arc::default(),
            over: Arc::default(),
        };
        let own = link.clone();
        listener
            .set_nonblocking(true)
            .expect("a listener need not block");
        thread::spawn(move || {
            while !own.over.load(Ordering::Relaxed) {
                if own.cut.load(Ordering::Relaxed) {
                    // No connection comes up: as on a network, and not as at a relay that still accepts.
                    let held = refuse_silently(&listener);
                    while own.cut.load(Ordering::Relaxed) && !own.over.load(Ordering::Relaxed) {
                        thread::sleep(TICK);
                    }
                    drop(held);
                    let _ = socket2::SockRef::from(&listener).listen(128);
                }
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(TICK);
                    continue;
                };
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                own.copies(near, far);
                own.copies(far_too, near_too);
            }
        });
        link
    }

    fn copies(&self, mut from: TcpStream, mut to: TcpStream) {
        let own = self.clone();
        thread::spawn(move || {
            let mut buffer = [0; 16 * 1024];
            while let Ok(count) = from.read(&mut buffer) {
                while own.cut.load(Ordering::Relaxed) && !own.over.load(Ordering::Relaxed) {
                    thread::sleep(TICK);
                }
                if count == 0 || to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            let _ = (from.shutdown(Shutdown::Read), to.shutdown(Shutdown::Write));
        });
    }

    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    pub fn ends(&self) {
        self.over.store(true, Ordering::Relaxed);
    }
}
