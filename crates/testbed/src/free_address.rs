//! Addresses on the loopback for programs that a test starts.
//!
//! A program binds its address some time after the test has chosen it. The ports come from below the range from which
//! the system assigns ports by itself, so that no socket of another test can take one in between.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;

/// The first port that is chosen.
const FIRST_PORT: u16 = 12_000;
/// Number of ports; the last one is below 32,768, where the system's own range begins.
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports of two processes with consecutive ids: test processes start at different ports.
const PROCESS_STRIDE: u32 = 997;

/// Ports chosen so far by this process.
static CHOSEN: AtomicU32 = AtomicU32::new(0);
/// Sockets of the other protocol on the chosen ports, held until the process ends: other test processes pass these ports
/// over, also while no program has bound them yet.
static RESERVATIONS: Mutex<Vec<Reservation>> = Mutex::new(Vec::new());

/// A socket that reserves a port.
#[derive(Debug)]
enum Reservation {
    /// Reserves an address for a program that listens.
    Datagrams(#[expect(dead_code, reason = "held, not used")] UdpSocket),
    /// Reserves an address for a program that receives datagrams.
    Connections(#[expect(dead_code, reason = "held, not used")] TcpListener),
}

/// An address on which nobody listens now, and that no test process has chosen before.
///
/// # Panics
/// No port of the range is free.
pub fn free_address() -> SocketAddr {
    choose(|address| {
        TcpListener::bind(address)?;
        UdpSocket::bind(address).map(Reservation::Datagrams)
    })
}

/// The same for datagrams.
///
/// # Panics
/// No port of the range is free.
pub fn free_udp_address() -> SocketAddr {
    choose(|address| {
        UdpSocket::bind(address)?;
        TcpListener::bind(address).map(Reservation::Connections)
    })
}

/// The next address that can be reserved.
fn choose(reserve: impl Fn(SocketAddr) -> io::Result<Reservation>) -> SocketAddr {
    let next_reserved = |_| {
        let candidate = next_candidate();
        let reservation = reserve(candidate).ok()?;
        RESERVATIONS
            .lock()
            .expect("no holder panics")
            .push(reservation);
        Some(candidate)
    };
    (0..PORT_COUNT)
        .find_map(next_reserved)
        .expect("a port of the range is free")
}

fn next_candidate() -> SocketAddr {
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE);
    let offset = first.wrapping_add(CHOSEN.fetch_add(1, Ordering::Relaxed));
    let port = FIRST_PORT + (offset % u32::from(PORT_COUNT)) as u16;
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

#[cfg(test)]
mod tests;
