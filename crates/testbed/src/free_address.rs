//! Addresses on the loopback for programs that a test starts.
//!
//! A program binds its address only some time after the test has chosen it. The ports are below the system's ephemeral
//! port range, so that no socket of another test is assigned the same port in between.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;

/// First port of the range.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in the range; the last one is below 32,768, where the ephemeral port range begins.
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports of two processes with consecutive ids, so that test processes start at different
/// ports.
const PROCESS_STRIDE: u32 = 997;

/// Number of candidate ports that this process has tried so far.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);
/// Sockets of the other transport protocol (UDP or TCP) on the chosen ports, held until the process exits. Other test
/// processes skip these ports even before a program has bound them.
static RESERVATIONS: Mutex<Vec<Reservation>> = Mutex::new(Vec::new());

/// A socket that reserves a port.
#[derive(Debug)]
enum Reservation {
    /// Reserves an address for a program that listens for connections.
    Udp(#[expect(dead_code, reason = "held, not used")] UdpSocket),
    /// Reserves an address for a program that receives datagrams.
    Tcp(#[expect(dead_code, reason = "held, not used")] TcpListener),
}

/// Reserves and returns a TCP address on which no program listens and that no running test process has reserved.
///
/// # Panics
/// No port of the range is free.
pub fn free_address() -> SocketAddr {
    reserve_next_address(|address| {
        TcpListener::bind(address)?;
        UdpSocket::bind(address).map(Reservation::Udp)
    })
}

/// Reserves and returns a UDP address to which no program is bound and that no running test process has reserved.
///
/// # Panics
/// No port of the range is free.
pub fn free_udp_address() -> SocketAddr {
    reserve_next_address(|address| {
        UdpSocket::bind(address)?;
        TcpListener::bind(address).map(Reservation::Tcp)
    })
}

/// Reserves the next candidate address for which `try_reserve` succeeds.
fn reserve_next_address(try_reserve: impl Fn(SocketAddr) -> io::Result<Reservation>) -> SocketAddr {
    let reserve_candidate = |_| {
        let candidate = next_candidate();
        let reservation = try_reserve(candidate).ok()?;
        RESERVATIONS
            .lock()
            .expect("the lock is not poisoned")
            .push(reservation);
        Some(candidate)
    };
    (0..PORT_COUNT)
        .find_map(reserve_candidate)
        .expect("a port of the range is free")
}

fn next_candidate() -> SocketAddr {
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE);
    let offset = first.wrapping_add(PORTS_TRIED.fetch_add(1, Ordering::Relaxed));
    let port = FIRST_PORT + (offset % u32::from(PORT_COUNT)) as u16;
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

#[cfg(test)]
mod tests;
