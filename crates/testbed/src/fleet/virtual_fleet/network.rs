//! Datagrams between members: loss, delay, duplication and partitions.

use crate::fleet::links::LinkConditions;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Delay of a datagram that stays on its host (ms).
const LOCAL_DELAY_MS: f64 = 1.0;
/// Number of keys that a datagram reserves for its copies. Each copy needs a unique key.
const KEYS_PER_DATAGRAM: u64 = 4;

/// A datagram in flight.
pub(super) struct Datagram {
    /// The member on whose host the destination is.
    pub host: usize,
    pub source: SocketAddr,
    pub destination: SocketAddr,
    pub bytes: Vec<u8>,
}

/// Arrival time of a datagram (true microseconds), and its unique key, which orders datagrams of the same time.
type ArrivalKey = (u64, u64);

/// A cut between some members and the others.
struct Partition {
    /// For each member, whether it is on the first side.
    first_side: Vec<bool>,
    /// Only datagrams from the first side are lost.
    one_way: bool,
}

/// The links between members.
pub(super) struct Network {
    conditions: LinkConditions,
    partition: Option<Partition>,
    bytes_sent: u64,
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
    /// Sets the conditions of all links.
    pub fn set_conditions(&mut self, conditions: LinkConditions) {
        self.conditions = conditions;
    }

    /// Cuts `side` off from the other members; with `one_way`, only the datagrams that `side` sends are lost.
    pub fn cut(&mut self, members: usize, side: &[usize], one_way: bool) {
        self.partition = Some(Partition {
            first_side: (0..members).map(|member| side.contains(&member)).collect(),
            one_way,
        });
    }

    /// Ends the cut, if any.
    pub fn heal(&mut self) {
        self.partition = None;
    }

    /// Number of bytes that members have sent to other hosts.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Sends a datagram to a port on the sender's host.
    pub fn send_locally(&mut self, datagram: Datagram, now_ms: f64) {
        let key = self.reserve_keys();
        self.in_flight
            .insert((arrival_us(now_ms + LOCAL_DELAY_MS), key), datagram);
    }

    /// Sends a datagram's copies to another host, each with a delay drawn from `rng`. A late copy is delayed by
    /// `late_ms`.
    pub fn send(
        &mut self,
        from: usize,
        datagram: &Datagram,
        now_ms: f64,
        late_ms: f64,
        rng: &mut Pcg32,
    ) {
        let first_key = self.reserve_keys();
        self.bytes_sent += datagram.bytes.len() as u64;
        if !self.is_reachable(from, datagram.host) {
            return;
        }
        let delays_ms = self.conditions.draw_delays_ms(late_ms, rng);
        for (copy, delay_ms) in delays_ms.into_iter().enumerate() {
            let copied = Datagram {
                bytes: datagram.bytes.clone(),
                ..*datagram
            };
            let key = (arrival_us(now_ms + delay_ms), first_key + copy as u64);
            self.in_flight.insert(key, copied);
        }
    }

    fn reserve_keys(&mut self) -> u64 {
        self.datagram_count += 1;
        self.datagram_count * KEYS_PER_DATAGRAM
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

    /// Removes and returns the datagrams that have arrived by now, in the order of their arrival.
    pub fn take_arrived(&mut self, now_ms: f64) -> impl Iterator<Item = Datagram> {
        let later = self.in_flight.split_off(&(arrival_us(now_ms), 0));
        std::mem::replace(&mut self.in_flight, later).into_values()
    }
}

fn arrival_us(at_ms: f64) -> u64 {
    (at_ms * 1000.0) as u64
}
