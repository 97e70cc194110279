//! Detectors on a simulated network in virtual time: loss, duplicates, reordering, delay, forgery, partitions, pauses,
//! restarts.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansymux_membership::codec::{self, Datagram, Gossip, Message};
use tansymux_membership::{member_id_of, Config, Event, Keys, MemberState, SwimDetector};

/// Resolution of virtual time (ms).
const STEP_MS: f64 = 10.0;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250 + 1) as u8], 7946))
}

fn name(n: usize) -> String {
    format!("n{n}")
}

/// What the network does to datagrams.
#[derive(Clone, Copy)]
struct LinkConditions {
    /// Probabilities that a datagram is lost, duplicated, or delayed by ten seconds.
    loss: f64,
    duplication: f64,
    long_delay: f64,
    /// Longest delay of the others (ms).
    max_delay_ms: f64,
}

const GOOD_LINK: LinkConditions = LinkConditions {
    loss: 0.0,
    duplication: 0.0,
    long_delay: 0.0,
    max_delay_ms: 5.0,
};

struct InFlight {
    sender: usize,
    to: SocketAddr,
    bytes: Vec<u8>,
}

struct Network {
    /// The detector of each process; none while it is not running.
    detectors: Vec<Option<SwimDetector>>,
    paused: Vec<bool>,
    /// Datagrams under way, by time of arrival (us) and order.
    in_flight: BTreeMap<(u64, u64), InFlight>,
    datagrams_sent: u64,
    bytes_sent: u64,
    longest_datagram: usize,
    rng: Pcg32,
    conditions: LinkConditions,
    now_ms: f64,
    keys: Keys,
    processes: BTreeMap<SocketAddr, usize>,
}

impl Network {
    fn new(many: usize, seed: u64) -> Self {
        Network::with_keys(many, seed, Keys::default())
    }

    fn with_keys(many: usize, seed: u64, keys: Keys) -> Self {
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

    fn start(&mut self, n: usize, incarnation: u32) {
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

    /// Runs for `lasts` (ms); `reaches(sender, receiver)` says between whom datagrams are delivered.
    fn run(&mut self, lasts: f64, reaches: impl Fn(usize, usize) -> bool) {
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

    fn send(
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

    fn detector(&self, n: usize) -> &SwimDetector {
        self.detectors[n].as_ref().expect("it runs")
    }

    /// How many running detectors count a member as present.
    fn present_at(&self, n: usize) -> usize {
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
    fn has_converged(&self) -> bool {
        let running = self.detectors.iter().flatten().count();
        self.detectors
            .iter()
            .flatten()
            .all(|detector| detector.present_count() == running)
    }

    /// Runs until `done`, for `most` (ms) at the longest; how long it took.
    fn until(
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

    /// How often any running detector declared a member dead.
    fn deaths(&self) -> usize {
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

/// A datagram that comes from member one's address.
fn from_member_one(bytes: &[u8]) -> Event<'_> {
    Event::DatagramReceived {
        from: address(1),
        bytes,
    }
}

/// Every process reaches every other one.
fn all(_: usize, _: usize) -> bool {
    true
}

#[test]
fn groups_of_up_to_100_that_start_at_once_converge() {
    for (many, most) in [(3, 5_000.0), (30, 15_000.0), (100, 30_000.0)] {
        let mut network = Network::new(many, 1);
        let took = network.until(most, all, Network::has_converged);
        assert!(
            took.is_some(),
            "{many} members: {:?}",
            network
                .detectors
                .iter()
                .flatten()
                .map(SwimDetector::present_count)
                .min()
        );
        assert!(
            network.longest_datagram <= codec::MAX_DATAGRAM_LEN,
            "{}",
            network.longest_datagram
        );
    }
}

#[test]
fn crashed_member_is_detected_by_all_and_no_other_is_declared_dead() {
    let mut network = Network::new(20, 2);
    network
        .until(30_000.0, all, Network::has_converged)
        .unwrap();
    network.detectors[7] = None;
    let took = network.until(60_000.0, all, |network| network.present_at(7) == 0);
    assert!(took.is_some_and(|took| took < 30_000.0), "{took:?}");
    assert!(
        network.has_converged() && network.deaths() <= 19,
        "{}",
        network.deaths()
    );
}

#[test]
fn running_members_stay_present_under_loss_duplication_and_reordering() {
    let mut network = Network::new(12, 3);
    network
        .until(30_000.0, all, Network::has_converged)
        .unwrap();
    network.conditions = LinkConditions {
        loss: 0.3,
        duplication: 0.1,
        max_delay_ms: 120.0,
        long_delay: 0.02,
    };
    network.run(180_000.0, all);
    // Some are suspected now and then; nobody is out at the end, and few were ever held for dead.
    network.conditions = GOOD_LINK;
    assert!(network
        .until(60_000.0, all, Network::has_converged)
        .is_some());
    assert!(network.deaths() <= 12, "{}", network.deaths());
}

#[test]
fn partitioned_halves_merge_again() {
    let mut network = Network::new(10, 4);
    network
        .until(30_000.0, all, Network::has_converged)
        .unwrap();
    let halves = |a: usize, b: usize| a % 2 == b % 2;
    network.run(60_000.0, halves);
    assert!(network
        .detectors
        .iter()
        .flatten()
        .all(|detector| detector.present_count() == 5));
    let took = network.until(120_000.0, all, Network::has_converged);
    assert!(
        took.is_some(),
        "{:?}",
        network
            .detectors
            .iter()
            .flatten()
            .map(SwimDetector::present_count)
            .collect::<Vec<_>>()
    );
}

#[test]
fn indirect_probes_keep_members_present_whose_direct_link_is_cut() {
    let mut network = Network::new(8, 5);
    network
        .until(30_000.0, all, Network::has_converged)
        .unwrap();
    // Nothing goes between 2 and 3; all others reach both.
    network.run(120_000.0, |a, b| !(a == 2 && b == 3 || a == 3 && b == 2));
    assert_eq!((network.present_at(2), network.present_at(3)), (7, 7));
    assert_eq!(network.deaths(), 0);
}

#[test]
fn leaving_member_is_gone_at_once_and_restarted_member_rejoins() {
    let mut network = Network::new(8, 6);
    network
        .until(30_000.0, all, Network::has_converged)
        .unwrap();
    let now = network.now_ms;
    network.detectors[4]
        .as_mut()
        .unwrap()
        .handle(Event::LeaveRequested, now);
    network.run(50.0, all);
    network.detectors[4] = None;
    let took = network.until(10_000.0, all, |network| network.present_at(4) == 0);
    assert!(took.is_some_and(|took| took <= 4000.0), "{took:?}");
    // It comes back under its name, knowing nothing of its earlier life.
    network.start(4, 0);
    assert!(network
        .until(30_000.0, all, Network::has_converged)
        .is_some());
    assert!(
        network.detector(4).incarnation() > 1,
        "it had to say so more loudly"
    );
    // And once more, killed outright, with what it had kept.
    let kept = network.detector(4).incarnation();
    network.detectors[4] = None;
    network.run(3000.0, all);
    network.start(4, kept);
    assert!(network
        .until(30_000.0, all, Network::has_converged)
        .is_some());
}

#[test]
fn paused_process_declares_nobody_dead_and_rejoins() {
    let mut network = Network::new(8, 7);
    network
        .until(30_000.0, all, Network::has_converged)
        .unwrap();
    network.paused[3] = true;
    network.run(10_000.0, all);
    network.paused[3] = false;
    network.run(1000.0, all);
    let dead = network
        .detector(3)
        .history()
        .iter()
        .filter(|change| change.state == MemberState::Dead)
        .count();
    assert_eq!(dead, 0, "its own pause is no member's fault");
    assert!(network.detector(3).local_health() > 0);
    assert!(network
        .until(40_000.0, all, Network::has_converged)
        .is_some());
}

#[test]
fn two_processes_with_one_name_count_as_one_member() {
    let mut network = Network::new(6, 8);
    network
        .until(30_000.0, all, Network::has_converged)
        .unwrap();
    // A second n2 at another address.
    let config = Config {
        seeds: vec![address(0)],
        ..Config::default()
    };
    network.processes.insert(address(99), 6);
    network.detectors.push(Some(SwimDetector::new(
        &name(2),
        address(99),
        0,
        config,
        Keys::default(),
        9,
    )));
    network.paused.push(false);
    network.run(60_000.0, all);
    let others = [0, 1, 3, 4, 5];
    assert!(
        others
            .iter()
            .all(|n| network.detector(*n).present_count() == 6),
        "one name is one member"
    );
    assert!(network.longest_datagram <= codec::MAX_DATAGRAM_LEN);
}

#[test]
fn forged_datagrams_neither_add_nor_remove_members() {
    let keys = Keys {
        signing: Some([7; 16]),
        also_accepted: Some([7; 16]),
    };
    let mut network = Network::with_keys(6, 10, keys);
    network
        .until(30_000.0, all, Network::has_converged)
        .unwrap();
    let forged = |state: MemberState, id: u64| {
        let gossip = Gossip {
            id,
            address: address(200),
            state,
            incarnation: 1000,
        };
        codec::encode(&Datagram {
            message: Message::Ping,
            sender: member_id_of("n1"),
            sequence_number: 1,
            gossip: vec![gossip],
        })
    };
    let now = network.now_ms;
    for victim in 0..6 {
        for bytes in [
            forged(MemberState::Dead, member_id_of("n3")),
            forged(MemberState::Alive, member_id_of("stranger")),
            b"\x04".to_vec(),
        ] {
            network.detectors[victim]
                .as_mut()
                .unwrap()
                .handle(from_member_one(&bytes), now);
        }
    }
    network.run(20_000.0, all);
    assert!(network.has_converged() && network.deaths() == 0);
    assert!(network.longest_datagram <= codec::MAX_DATAGRAM_LEN);
}

#[test]
fn keys_can_be_rotated_during_a_partition() {
    let step = |seals: u8, opens: u8| Keys {
        signing: Some([seals; 16]),
        also_accepted: Some([opens; 16]),
    };
    let mut network = Network::with_keys(6, 11, step(1, 1));
    network
        .until(30_000.0, all, Network::has_converged)
        .unwrap();
    let halves = |a: usize, b: usize| a / 3 == b / 3;
    network.run(30_000.0, halves);
    // One half has both keys, the other seals with the new one already: they understand each other.
    for n in 0..6 {
        network.detectors[n].as_mut().unwrap().set_keys(if n < 3 {
            step(1, 2)
        } else {
            step(2, 1)
        });
    }
    network.run(10_000.0, halves);
    assert!(network
        .until(120_000.0, all, Network::has_converged)
        .is_some());
}

#[test]
fn member_table_stays_bounded_under_a_flood_of_gossip() {
    let config = Config::default();
    let mut detector = SwimDetector::new("n0", address(0), 0, config, Keys::default(), 1);
    for n in 0..200_000_u64 {
        let gossip = Gossip {
            id: n,
            address: address(1),
            state: MemberState::Alive,
            incarnation: 1,
        };
        let bytes = codec::encode(&Datagram {
            message: Message::PingRequest(n),
            sender: n + 1,
            sequence_number: 1,
            gossip: vec![gossip],
        });
        detector.handle(from_member_one(&bytes), n as f64);
        if n % 1000 == 0 {
            detector.poll(n as f64);
        }
    }
    assert!(detector.members().count() <= tansymux_membership::MAX_MEMBERS);
}

#[test]
fn group_of_300_converges_and_under_heavy_loss_no_running_member_is_declared_dead() {
    let mut network = Network::new(300, 12);
    let took = network.until(30_000.0, all, Network::has_converged);
    assert!(
        took.is_some(),
        "{:?}",
        network
            .detectors
            .iter()
            .flatten()
            .map(SwimDetector::present_count)
            .min()
    );
    network.conditions = LinkConditions {
        loss: 0.3,
        ..GOOD_LINK
    };
    let (bytes, from) = (network.bytes_sent, network.now_ms);
    network.run(20_000.0, all);
    let rate = (network.bytes_sent - bytes) as f64 / (network.now_ms - from) * 1000.0 / 300.0;
    assert!(rate < 2048.0, "{rate} bytes a second each");
    assert!(network.deaths() <= 2, "{}", network.deaths());
    network.detectors[299] = None;
    let found = network.until(30_000.0, all, |network| network.present_at(299) == 0);
    assert!(
        found.is_some(),
        "{} still hold it for there",
        network.present_at(299)
    );
}

#[test]
fn user_messages_arrive_unchanged_and_do_not_alter_membership() {
    let keys = Keys {
        signing: Some([7; 16]),
        also_accepted: Some([7; 16]),
    };
    let mut network = Network::with_keys(3, 13, keys);
    network
        .until(10_000.0, all, Network::has_converged)
        .unwrap();
    let content = vec![9; codec::MAX_USER_MESSAGE_LEN];
    assert!(network.detectors[0]
        .as_mut()
        .unwrap()
        .send_user_message(member_id_of("n1"), &content));
    assert!(!network.detectors[0]
        .as_mut()
        .unwrap()
        .send_user_message(member_id_of("nobody"), &content));
    assert!(!network.detectors[0].as_mut().unwrap().send_user_message(
        member_id_of("n1"),
        &vec![9; codec::MAX_USER_MESSAGE_LEN + 1]
    ));
    network.run(100.0, all);
    let message = network.detectors[1]
        .as_mut()
        .unwrap()
        .next_user_message()
        .unwrap();
    assert_eq!(
        (message.from, message.content),
        (member_id_of("n0"), content)
    );
    assert!(
        network.detectors[1]
            .as_mut()
            .unwrap()
            .next_user_message()
            .is_none()
            && network.has_converged()
    );
    assert!(network.longest_datagram <= codec::MAX_DATAGRAM_LEN);
}

/// What the pages say of it: `cargo test -p tansymux-membership --release -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn measure_detection_time_and_bytes() {
    for many in [3, 30, 300] {
        for loss in [0.0, 0.3] {
            let mut network = Network::new(many, 20);
            let joined = network.until(120_000.0, all, Network::has_converged);
            network.conditions = LinkConditions { loss, ..GOOD_LINK };
            let (bytes, from) = (network.bytes_sent, network.now_ms);
            network.run(60_000.0, all);
            let rate = (network.bytes_sent - bytes) as f64 / (network.now_ms - from) * 1000.0
                / many as f64;
            let false_deaths = network.deaths();
            network.detectors[many - 1] = None;
            let found = network.until(120_000.0, all, |network| network.present_at(many - 1) == 0);
            println!("{many} members, loss {loss}: joined {joined:?} ms, {rate:.0} bytes/s each, {false_deaths} false deaths a minute in all, found out after {found:?} ms");
        }
    }
}

proptest::proptest! {
    #[test]
    fn no_input_bytes_cause_a_panic_or_an_oversized_answer(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..300)) {
        let mut detector = SwimDetector::new("n0", address(0), 0, Config::default(), Keys::default(), 1);
        let mut framed = vec![codec::DATAGRAM_KIND, 1];
        framed.extend_from_slice(&bytes);
        detector.handle(from_member_one(&bytes), 0.0);
        detector.handle(from_member_one(&framed), 1.0);
        let output = detector.poll(2000.0);
        assert!(output.datagrams.iter().all(|datagram| datagram.bytes.len() <= codec::MAX_DATAGRAM_LEN));
    }
}
