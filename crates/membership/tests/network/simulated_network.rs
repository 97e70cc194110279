//! A group of detectors on a simulated network in virtual time.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansymux_membership::{member_id_of, Config, Event, Keys, MemberState, SwimDetector};

/// Resolution of virtual time (ms).
pub const STEP_MS: f64 = 10.0;

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250 + 1) as u8], 7946))
}

pub fn name(n: usize) -> String {
    format!("n{n}")
}

/// Loss, duplication and delay of datagrams.
#[derive(Clone, Copy)]
pub struct LinkConditions {
    /// Probabilities from 0 to 1 that a datagram is lost, duplicated, or delayed by 10 s.
    pub loss: f64,
    pub duplication: f64,
    pub long_delay: f64,
    /// Maximum delay of all other datagrams (ms).
    pub max_delay_ms: f64,
}

pub const GOOD_LINK: LinkConditions = LinkConditions {
    loss: 0.0,
    duplication: 0.0,
    long_delay: 0.0,
    max_delay_ms: 5.0,
};

pub struct InFlightDatagram {
    pub sender: usize,
    pub to: SocketAddr,
    pub bytes: Vec<u8>,
}

pub struct Network {
    /// The detector of each process; `None` while the process is not running.
    pub detectors: Vec<Option<SwimDetector>>,
    pub paused: Vec<bool>,
    /// Datagrams in flight, by arrival time (us) and send order.
    pub in_flight: BTreeMap<(u64, u64), InFlightDatagram>,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    pub longest_datagram: usize,
    pub rng: Pcg32,
    pub conditions: LinkConditions,
    pub now_ms: f64,
    pub keys: Keys,
    pub process_by_address: BTreeMap<SocketAddr, usize>,
}

impl Network {
    pub fn new(member_count: usize, seed: u64) -> Self {
        Network::with_keys(member_count, seed, Keys::default())
    }

    pub fn with_keys(member_count: usize, seed: u64, keys: Keys) -> Self {
        let mut network = Network {
            detectors: (0..member_count).map(|_| None).collect(),
            paused: vec![false; member_count],
            in_flight: BTreeMap::new(),
            datagrams_sent: 0,
            bytes_sent: 0,
            longest_datagram: 0,
            rng: Pcg32::seed_from_u64(seed),
            conditions: GOOD_LINK,
            now_ms: 0.0,
            keys,
            process_by_address: (0..member_count).map(|n| (address(n), n)).collect(),
        };
        (0..member_count).for_each(|n| network.start(n, 0));
        network
    }

    pub fn start(&mut self, n: usize, incarnation: u32) {
        let config = Config {
            seeds: vec![address(0), address(1)],
            ..Config::default()
        };
        let seed = self.rng.random();
        self.detectors[n] = Some(SwimDetector::new(
            &name(n),
            address(n),
            incarnation,
            config,
            self.keys.clone(),
            seed,
        ));
    }

    /// Advances virtual time by `duration_ms`. A datagram is dropped at the sender unless `reaches(sender, receiver)`.
    pub fn run(&mut self, duration_ms: f64, reaches: impl Fn(usize, usize) -> bool) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let still_in_flight = self
                .in_flight
                .split_off(&((self.now_ms * 1000.0) as u64, 0));
            let arrived = std::mem::replace(&mut self.in_flight, still_in_flight);
            for InFlightDatagram { sender, to, bytes } in arrived.into_values() {
                let Some(receiver) = self
                    .process_by_address
                    .get(&to)
                    .copied()
                    .filter(|process| !self.paused[*process])
                else {
                    continue;
                };
                if let Some(detector) = &mut self.detectors[receiver] {
                    let event = Event::DatagramReceived {
                        from: address(sender),
                        bytes: &bytes,
                    };
                    detector.handle(event, self.now_ms);
                }
            }
            for n in 0..self.detectors.len() {
                if self.paused[n] {
                    continue;
                }
                let Some(detector) = &mut self.detectors[n] else {
                    continue;
                };
                let output = detector.poll(self.now_ms);
                for datagram in output.datagrams {
                    self.send(n, datagram.to, datagram.bytes, &reaches);
                }
            }
        }
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "the network takes ownership of the datagram"
    )]
    pub fn send(
        &mut self,
        from: usize,
        to: SocketAddr,
        bytes: Vec<u8>,
        reaches: &impl Fn(usize, usize) -> bool,
    ) {
        self.datagrams_sent += 1;
        self.bytes_sent += bytes.len() as u64;
        self.longest_datagram = self.longest_datagram.max(bytes.len());
        let receiver = self.process_by_address.get(&to).copied();
        if !receiver.is_some_and(|receiver| reaches(from, receiver)) {
            return;
        }
        let copies = if self.rng.random_bool(self.conditions.duplication) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.rng.random_bool(self.conditions.loss) {
                continue;
            }
            let is_long_delay = self.rng.random_bool(self.conditions.long_delay);
            let delay_ms = if is_long_delay {
                10_000.0
            } else {
                self.rng.random_range(0.0..=self.conditions.max_delay_ms)
            };
            let arrival_us = ((self.now_ms + delay_ms) * 1000.0) as u64;
            self.in_flight.insert(
                (arrival_us, self.datagrams_sent * 2 + copies),
                InFlightDatagram {
                    sender: from,
                    to,
                    bytes: bytes.clone(),
                },
            );
        }
    }

    pub fn detector(&self, n: usize) -> &SwimDetector {
        self.detectors[n].as_ref().expect("the process is running")
    }

    /// Returns the number of running detectors that count a member as present.
    pub fn present_in_count(&self, n: usize) -> usize {
        let is_present_in = |detector: &SwimDetector| {
            detector
                .state(member_id_of(&name(n)))
                .is_some_and(|state| state <= MemberState::Suspect)
        };
        self.detectors
            .iter()
            .flatten()
            .filter(|detector| is_present_in(detector))
            .count()
    }

    /// Whether every running detector counts as many present members as there are running processes.
    pub fn has_converged(&self) -> bool {
        let running = self.detectors.iter().flatten().count();
        self.detectors
            .iter()
            .flatten()
            .all(|detector| detector.present_count() == running)
    }

    /// Runs until `done`, for at most `timeout_ms`. Returns the elapsed time (ms), or `None` on timeout.
    pub fn run_until(
        &mut self,
        timeout_ms: f64,
        reaches: impl Fn(usize, usize) -> bool,
        done: impl Fn(&Network) -> bool,
    ) -> Option<f64> {
        let start_ms = self.now_ms;
        while self.now_ms - start_ms < timeout_ms {
            if done(self) {
                return Some(self.now_ms - start_ms);
            }
            self.run(100.0, &reaches);
        }
        done(self).then_some(timeout_ms)
    }

    /// Runs without partitions until the group has converged. Panics if that takes more than 30 s.
    pub fn converge(&mut self) {
        self.run_until(30_000.0, fully_connected, Network::has_converged)
            .expect("the group converges within 30 s");
    }

    /// Returns the number of times that the running detectors declared a member dead.
    pub fn death_count(&self) -> usize {
        let deaths_in = |detector: &SwimDetector| {
            detector
                .history()
                .iter()
                .filter(|change| change.state == MemberState::Dead)
                .count()
        };
        self.detectors.iter().flatten().map(deaths_in).sum()
    }
}

/// The receipt of a datagram from the address of member 1.
pub fn received_from_member_1(bytes: &[u8]) -> Event<'_> {
    Event::DatagramReceived {
        from: address(1),
        bytes,
    }
}

/// Connectivity without partitions: every process reaches all others.
pub fn fully_connected(_: usize, _: usize) -> bool {
    true
}
