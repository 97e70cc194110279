//! The socket to a member of the fleet, and the exchange of datagrams with that member.

use super::{FleetClientError, MS_PER_S};
use rand::RngExt;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};
use tansymux_operator_config::schema;
use tansymux_rollout::message::{Answer, Command};
use tansymux_rollout::{ClientAction, FleetClient, FleetConfig};

/// Maximum wait for a datagram. After each wait the client sends the datagrams that are due.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(20);
/// Size (bytes) of the receive buffer; the fleet's messages are shorter.
const MAX_DATAGRAM_BYTES: usize = 512;

/// A socket to a member of the fleet, and the fleet's configuration, whose keys sign the datagrams.
pub(super) struct MemberConnection {
    socket: UdpSocket,
    member: SocketAddr,
    pub(super) config: FleetConfig,
    opened_at: Instant,
}

impl MemberConnection {
    /// Opens a socket to `member`, or by default to `fleet.listen` of the operators' file.
    pub fn open(
        member: Option<SocketAddr>,
        fleet: &schema::Fleet,
    ) -> Result<Self, FleetClientError> {
        let config =
            tansymux_operator_config::fleet_config(fleet, 0).ok_or(FleetClientError::Incomplete)?;
        let member = member.map_or_else(|| configured_member(fleet), Ok)?;
        let local_ip = if member.ip().is_loopback() {
            [127, 0, 0, 1]
        } else {
            [0, 0, 0, 0]
        };
        let socket = UdpSocket::bind(SocketAddr::from((local_ip, 0)))?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        Ok(MemberConnection {
            socket,
            member,
            config,
            opened_at: Instant::now(),
        })
    }

    /// Milliseconds since the socket was opened: the clock of the protocol's client side.
    pub fn now_ms(&self) -> f64 {
        self.opened_at.elapsed().as_secs_f64() * MS_PER_S
    }

    /// Sends the datagram that is due, if any, and waits up to [`RECEIVE_TIMEOUT`] for a datagram, which it passes to
    /// `receive`. A refused connection counts as a missing answer.
    pub fn exchange(
        &self,
        outgoing: Option<ClientAction>,
        mut receive: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        if let Some(ClientAction::Send { datagram }) = outgoing {
            // A datagram that cannot be sent counts as lost: the client retransmits it.
            let _ = self.socket.send_to(&datagram, self.member);
        }
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        match self.socket.recv_from(&mut buffer) {
            Ok((length, _)) => receive(&buffer[..length]),
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock
                | io::ErrorKind::TimedOut
                | io::ErrorKind::Interrupted => {}
                io::ErrorKind::ConnectionRefused => std::thread::sleep(RECEIVE_TIMEOUT),
                _ => return Err(error),
            },
        }
        Ok(())
    }

    /// Sends a command, retransmits it until a member answers or the command times out, and returns the answer.
    pub fn request(&self, command: Command) -> io::Result<Answer> {
        let keys = self.config.keys.clone();
        let mut client = FleetClient::new(keys, command, self.now_ms(), rand::rng().random());
        loop {
            let outgoing = client.poll(self.now_ms());
            if let Some(answer) = client.answer() {
                return Ok(answer);
            }
            self.exchange(outgoing, |datagram| client.handle(datagram))?;
        }
    }
}

/// The address in `fleet.listen` of the operators' file.
fn configured_member(fleet: &schema::Fleet) -> Result<SocketAddr, FleetClientError> {
    let listen = fleet.listen();
    listen.parse().map_err(|_| FleetClientError::InvalidListen {
        value: listen.to_owned(),
    })
}
