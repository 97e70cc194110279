//! Detectors on a simulated network in virtual time.

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
    /// Probabilities that a datagram is lost, duplicated, or delayed by ten seconds.
    pub loss: f64,
    pub duplication: f64,
    pub long_delay: f64,
    /// Limit on the delay of all other datagrams (ms).
    pub max_delay_ms: f64,
}

pub const GOOD_LINK: LinkConditions = LinkConditions {
    loss: 0.0,
    duplication: 0.0,
    long_delay: 0.0,
    max_delay_ms: 5.0,
};

pub struct InFlight {
    pub sender: usize,
    pub to: SocketAddr,
    pub bytes: Vec<u8>,
}

pub struct Network {
    /// The detector of each process; `None` while it is not running.
    pub detectors: Vec<Option<SwimDetector>>,
    pub paused: Vec<bool>,
    /// Datagrams in flight, by time of arrival (us) and order.
    pub in_flight: BTreeMap<(u64, u64), InFlight>,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    pub longest_datagram: usize,
    pub rng: Pcg32,
    pub conditions: LinkConditions,
    pub now_ms: f64,
    pub keys: Keys,
    pub processes: BTreeMap<SocketAddr, usize>,
}

impl Network {
    pub fn new(many: usize, seed: u64) -> Self {
        Network::with_keys(many, seed, Keys::default())
    }

    pub fn with_keys(many: usize, seed: u64, keys: Keys) -> Self {
        let mut network = Network {
            detectors: (0..many).map(|_| None).collect(),
            paused: vec![false; many],
            in_flight: BTreeMap::new(),
            datagrams_sent: 0,
            bytes_sent: 0,
            longest_datagram: 0,
            rng: Pcg32::seed_from_u64(seed),
            conditions: GOOD_LINK,
            now_ms: 0.0,
            keys,
            processes: (0..many).map(|n| (address(n), n)).collect(),
        };
        (0..many).for_each(|n| network.start(n, 0));
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

    /// Runs for `lasts` (ms). Datagrams are delivered where `reaches(sender, receiver)`.
    pub fn run(&mut self, lasts: f64, reaches: impl Fn(usize, usize) -> bool) {
        let end = self.now_ms + lasts;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            let still_in_flight = self
                .in_flight
                .split_off(&((self.now_ms * 1000.0) as u64, 0));
            let arrived = std::mem::replace(&mut self.in_flight, still_in_flight);
            for InFlight { sender, to, bytes } in arrived.into_values() {
                let Some(receiver) = self
                    .processes
                    .get(&to)
                    .copied()
                    .filter(|to| !self.paused[*to])
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
        reason = "a datagram is handed over to the network"
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
        let receiver = self.processes.get(&to).copied();
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
            let is_late = self.rng.random_bool(self.conditions.long_delay);
            let delay = if is_late {
                10_000.0
            } else {
                self.rng.random_range(0.0..=self.conditions.max_delay_ms)
            };
            let arrival_us = ((self.now_ms + delay) * 1000.0) as u64;
            self.in_flight.insert(
                (arrival_us, self.datagrams_sent * 2 + copies),
                InFlight {
                    sender: from,
                    to,
                    bytes: bytes.clone(),
                },
            );
        }
    }

    pub fn detector(&self, n: usize) -> &SwimDetector {
        self.detectors[n].as_ref().expect("it runs")
    }

    /// Number of running detectors that count a member as present.
    pub fn present_at(&self, n: usize) -> usize {
        let there = |detector: &SwimDetector| {
            detector
                .state(member_id_of(&name(n)))
                .is_some_and(|state| state <= MemberState::Suspect)
        };
        self.detectors
            .iter()
            .flatten()
            .filter(|detector| there(detector))
            .count()
    }

    /// Whether every running detector counts as many members as processes run.
    pub fn has_converged(&self) -> bool {
        let running = self.detectors.iter().flatten().count();
        self.detectors
            .iter()
            .flatten()
            .all(|detector| detector.present_count() == running)
    }

    /// Runs until `done`, for at most `most` (ms). Returns the elapsed time, or `None`.
    pub fn until(
        &mut self,
        most: f64,
        reaches: impl Fn(usize, usize) -> bool,
        done: impl Fn(&Network) -> bool,
    ) -> Option<f64> {
        let from = self.now_ms;
        while self.now_ms - from < most {
            if done(self) {
                return Some(self.now_ms - from);
            }
            self.run(100.0, &reaches);
        }
        done(self).then_some(most)
    }

    /// Runs on a network without partitions until all members know each other, for at most 30 s.
    pub fn converge(&mut self) {
        self.until(30_000.0, all, Network::has_converged)
            .expect("the group converges");
    }

    /// Number of times that a running detector declared a member dead.
    pub fn deaths(&self) -> usize {
        let dead = |detector: &SwimDetector| {
            detector
                .history()
                .iter()
                .filter(|change| change.state == MemberState::Dead)
                .count()
        };
        self.detectors.iter().flatten().map(dead).sum()
    }
}

/// A datagram from the address of member 1.
pub fn from_member_one(bytes: &[u8]) -> Event<'_> {
    Event::DatagramReceived {
        from: address(1),
        bytes,
    }
}

/// Every process reaches every other one.
pub fn all(_: usize, _: usize) -> bool {
    true
}
