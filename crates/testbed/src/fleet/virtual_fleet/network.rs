//! Datagrams between members: loss, delay, duplication and partitions.

use super::settings::{host_of, member_address};
use super::VirtualFleet;
use crate::fleet::links::LinkConditions;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The largest datagram that members may send (bytes).
const MAX_DATAGRAM_BYTES: usize = 256;
/// Datagrams that a stalled process's socket holds; later ones are lost.
const SOCKET_BUFFER_DATAGRAMS: usize = 200;
/// Delay of a datagram that stays on its host (ms).
const LOCAL_DELAY_MS: f64 = 1.0;

/// A datagram under way.
struct Datagram {
    host: usize,
    source: SocketAddr,
    destination: SocketAddr,
    bytes: Vec<u8>,
}

/// When a datagram arrives (true microseconds), and its number, which orders those of one instant.
type ArrivalKey = (u64, u64);

/// A cut between some members and the others.
pub(super) struct Partition {
    /// For each member, whether it is on the first side.
    first_side: Vec<bool>,
    /// Only what the first side sends is lost.
    one_way: bool,
}

/// The links between members.
pub(super) struct Network {
    pub conditions: LinkConditions,
    pub partition: Option<Partition>,
    /// Bytes that members sent to other hosts.
    pub bytes_sent: u64,
    in_flight: BTreeMap<ArrivalKey, Datagram>,
    datagram_count: u64,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            conditions: LinkConditions::GOOD,
            partition: None,
            bytes_sent: 0,
            in_flight: BTreeMap::new(),
            datagram_count: 0,
        }
    }
}

impl Network {
    /// Cuts `side` off from the other members; with `one_way`, only what `side` sends is lost.
    pub fn cut(&mut self, members: usize, side: &[usize], one_way: bool) {
        self.partition = Some(Partition {
            first_side: (0..members).map(|n| side.contains(&n)).collect(),
            one_way,
        });
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        match &self.partition {
            Some(partition) => {
                partition.first_side[from] == partition.first_side[to]
                    || partition.one_way && !partition.first_side[from]
            }
            None => true,
        }
    }

    /// Takes out all that has arrived by now.
    fn take_arrived(&mut self, now_ms: f64) -> BTreeMap<ArrivalKey, Datagram> {
        let later = self.in_flight.split_off(&((now_ms * 1000.0) as u64, 0));
        std::mem::replace(&mut self.in_flight, later)
    }
}

impl VirtualFleet {
    /// Sends a datagram; one that stays on its host is never lost.
    pub(super) fn send_datagram(
        &mut self,
        from: usize,
        source: SocketAddr,
        destination: SocketAddr,
        bytes: Vec<u8>,
    ) {
        let Some(host) = host_of(destination).filter(|host| *host < self.members.len()) else {
            return;
        };
        if bytes.len() > MAX_DATAGRAM_BYTES {
            self.report
                .violations
                .push(format!("a datagram of {} bytes", bytes.len()));
        }
        self.network.datagram_count += 1;
        let datagram = Datagram {
            host,
            source,
            destination,
            bytes,
        };
        // Room for two copies, which must not have one key.
        let first_key = self.network.datagram_count * 4;
        if host == from {
            let arrival_us = ((self.now_ms + LOCAL_DELAY_MS) * 1000.0) as u64;
            self.network
                .in_flight
                .insert((arrival_us, first_key), datagram);
            return;
        }
        self.network.bytes_sent += datagram.bytes.len() as u64;
        if self.network.is_reachable(from, host) {
            self.transmit(&datagram, first_key);
        }
    }

    /// Puts a datagram's copies on the link between two hosts.
    fn transmit(&mut self, datagram: &Datagram, first_key: u64) {
        let conditions = self.network.conditions;
        let delays_ms = conditions.draw_delays_ms(self.scenario.late, &mut self.rng);
        for (copy, delay_ms) in delays_ms.into_iter().enumerate() {
            let arrival_us = ((self.now_ms + delay_ms) * 1000.0) as u64;
            let copied = Datagram {
                bytes: datagram.bytes.clone(),
                ..*datagram
            };
            self.network
                .in_flight
                .insert((arrival_us, first_key + copy as u64), copied);
        }
    }

    /// Hands all datagrams that are due to members, supervisors and operators.
    pub(super) fn deliver_due_datagrams(&mut self) {
        for datagram in self.network.take_arrived(self.now_ms).into_values() {
            let host = datagram.host;
            if datagram.destination.port() != member_address(host).port() {
                self.deliver_to_caller(host, datagram.destination, &datagram.bytes);
                continue;
            }
            let member = &mut self.members[host];
            if member.is_running() && self.now_ms < member.stalled_until_ms {
                if member.queued_datagrams.len() < SOCKET_BUFFER_DATAGRAMS {
                    member
                        .queued_datagrams
                        .push((datagram.source, datagram.bytes));
                }
                continue;
            }
            let process_ms = member.process_clock_ms(self.now_ms);
            if let Some(fleet) = &mut member.fleet {
                let event = tansymux_rollout::FleetEvent::DatagramReceived {
                    from: datagram.source,
                    datagram: &datagram.bytes,
                };
                fleet.handle(event, process_ms);
                member.next_poll_ms = member.next_poll_ms.min(self.now_ms);
            }
        }
    }
}
