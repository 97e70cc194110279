//! The TCP proxy in front of each engine, which simulates faults of the network between the dispatchers and the engine.
//!
//! It delays bytes towards the engine by a few milliseconds at most, because the checker takes an attempt's arrival at
//! the engine for its start. Bytes that are sent during a cut are lost.

use crate::engine::fill_accept_backlog;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a copying thread checks whether its connection must be reset.
const POLL: Duration = Duration::from_millis(20);
/// Idle time after which a link with [`LinkFaults::drops_idle`] drops a connection's state.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the listener polls for connections.
const ACCEPT_POLL: Duration = Duration::from_millis(2);
/// Number of connections that may wait in the listener's backlog.
const BACKLOG: i32 = 128;

/// The faults of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkFaults {
    /// Bytes towards the engine are lost.
    pub cut_to_engine: bool,
    /// Bytes from the engine are lost.
    pub cut_from_engine: bool,
    /// Bytes are forwarded in small pieces.
    pub splits: bool,
    /// Idle connections stop forwarding bytes, without a close or a reset.
    pub drops_idle: bool,
    /// No connection is established: the listener's backlog is full.
    pub blocks_connects: bool,
    /// Each forwarded block of bytes resets its connection with a probability of 30 %.
    pub resets: bool,
}

#[derive(Debug)]
struct Shared {
    target: Mutex<SocketAddr>,
    faults: Mutex<LinkFaults>,
    /// Connections of an earlier generation are reset.
    reset_generation: AtomicU64,
    is_closed: AtomicBool,
}

/// A proxy in front of one engine. Dropping it stops the proxy and resets its connections.
#[derive(Debug)]
pub struct Link {
    /// The address to which dispatchers connect.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Link {
    /// Starts a proxy to `target`.
    ///
    /// # Panics
    /// The loopback has no free port.
    pub fn start(target: SocketAddr, seed: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            faults: Mutex::default(),
            reset_generation: AtomicU64::new(0),
            is_closed: AtomicBool::new(false),
        });
        let accept_shared = shared.clone();
        thread::spawn(move || accept(&listener, &accept_shared, seed));
        Link { address, shared }
    }

    /// Changes the faults of the link.
    pub fn change(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut self.shared.faults.lock().expect("the lock is not poisoned"));
    }

    /// Resets all connections that are open.
    pub fn reset_all(&self) {
        self.shared.reset_generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Sets the address of the engine to which new connections are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target.lock().expect("the lock is not poisoned") = target;
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.is_closed.store(true, Ordering::SeqCst);
        self.reset_all();
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let _ = listener.set_nonblocking(true);
    // Streams that fill the backlog while connects are blocked.
    let mut fillers = Vec::new();
    while !shared.is_closed.load(Ordering::SeqCst) {
        let blocks_connects = shared.faults().blocks_connects;
        if blocks_connects && !fillers.is_empty() {
            thread::sleep(ACCEPT_POLL);
            continue;
        }
        if !blocks_connects && !fillers.is_empty() {
            fillers.clear();
            let _ = socket2::SockRef::from(listener).listen(BACKLOG);
        }
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let target = *shared.target.lock().expect("the lock is not poisoned");
                let connection_shared = shared.clone();
                let connection_seed = rng.random();
                thread::spawn(move || connection_shared.serve(stream, target, connection_seed));
            }
            // All established connections have been accepted, so that the backlog can be filled.
            Err(_) if blocks_connects => fillers = fill_accept_backlog(listener),
            Err(_) => thread::sleep(ACCEPT_POLL),
        }
    }
}

/// Closes a connection with a TCP reset.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

impl Shared {
    fn faults(&self) -> LinkFaults {
        *self.faults.lock().expect("the lock is not poisoned")
    }

    fn serve(self: Arc<Self>, client: TcpStream, target: SocketAddr, seed: u64) {
        let Ok(engine) = TcpStream::connect(target) else {
            return reset(&client);
        };
        let generation = self.reset_generation.load(Ordering::SeqCst);
        let last_use = Arc::new(Mutex::new(Instant::now()));
        let is_dropped = Arc::new(AtomicBool::new(false));
        let copier = |from: &TcpStream, to: &TcpStream, to_engine| -> Option<Copier> {
            let _ = from.set_nodelay(true);
            let _ = from.set_read_timeout(Some(POLL));
            Some(Copier {
                shared: self.clone(),
                from: from.try_clone().ok()?,
                to: to.try_clone().ok()?,
                to_engine,
                generation,
                last_use: last_use.clone(),
                is_dropped: is_dropped.clone(),
                rng: Pcg32::seed_from_u64(seed ^ u64::from(to_engine)),
            })
        };
        let (Some(to_engine), Some(from_engine)) = (
            copier(&client, &engine, true),
            copier(&engine, &client, false),
        ) else {
            return;
        };
        drop((client, engine));
        thread::spawn(move || from_engine.run());
        to_engine.run();
    }
}

/// Forwards the bytes of one direction of a connection.
struct Copier {
    shared: Arc<Shared>,
    from: TcpStream,
    to: TcpStream,
    to_engine: bool,
    generation: u64,
    /// Time of the last bytes received in either direction.
    last_use: Arc<Mutex<Instant>>,
    /// Whether the connection has lost bytes. It then discards all further ones, in both directions.
    is_dropped: Arc<AtomicBool>,
    rng: Pcg32,
}

impl Copier {
    fn run(mut self) {
        let mut buffer = [0; 16 * 1024];
        loop {
            if self.shared.reset_generation.load(Ordering::SeqCst) != self.generation {
                reset(&self.from);
                reset(&self.to);
                return;
            }
            let count = match (&self.from).read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => count,
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    continue;
                }
                Err(_) => return self.close(),
            };
            if !self.forward(&buffer[..count]) {
                return self.close();
            }
        }
        // The other direction stays open until its sender closes it.
        let _ = self.to.shutdown(Shutdown::Write);
    }

    /// Closes both sides of the connection.
    fn close(&self) {
        let _ = self.to.shutdown(Shutdown::Both);
        let _ = self.from.shutdown(Shutdown::Both);
    }

    /// Forwards bytes subject to the link's faults. Returns whether the connection stays open.
    fn forward(&mut self, bytes: &[u8]) -> bool {
        let faults = self.shared.faults();
        let idle = {
            let mut last_use = self.last_use.lock().expect("the lock is not poisoned");
            std::mem::replace(&mut *last_use, Instant::now()).elapsed()
        };
        if faults.drops_idle && idle > IDLE_TIMEOUT {
            self.is_dropped.store(true, Ordering::SeqCst);
        }
        let is_cut = if self.to_engine {
            faults.cut_to_engine
        } else {
            faults.cut_from_engine
        };
        if is_cut || self.is_dropped.load(Ordering::SeqCst) {
            // After a loss, the rest of the stream cannot be parsed: no further bytes are forwarded.
            self.is_dropped.store(true, Ordering::SeqCst);
            return true;
        }
        if faults.resets && self.rng.random_bool(0.3) {
            reset(&self.from);
            reset(&self.to);
            return false;
        }
        if !faults.splits {
            return self.to.write_all(bytes).is_ok();
        }
        for piece in bytes.chunks(1 + self.rng.random_range(0..97)) {
            if self.to.write_all(piece).is_err() {
                return false;
            }
            if self.rng.random_bool(0.02) {
                thread::sleep(Duration::from_millis(1));
            }
        }
        true
    }
}
