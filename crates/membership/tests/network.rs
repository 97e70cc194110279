//! Members on a network in virtual time: loss, doubles, disorder, delay, forgery, partitions, pauses, restarts.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansymux_membership::seal::Keys;
use tansymux_membership::wire::{self, id_of, Datagram, Gossip, What};
use tansymux_membership::{Settings, State, SwimDetector};

const STEP: f64 = 10.0;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250 + 1) as u8], 7946))
}

fn name(n: usize) -> String {
    format!("n{n}")
}

/// What may be done to a datagram on its way.
#[derive(Clone, Copy)]
struct Way {
    loss: f64,
    doubled: f64,
    /// Longest delay (ms); some take ten seconds.
    delay: f64,
    late: f64,
}

const GOOD: Way = Way {
    loss: 0.0,
    doubled: 0.0,
    delay: 5.0,
    late: 0.0,
};

struct Net {
    groups: Vec<Option<SwimDetector>>,
    paused: Vec<bool>,
    /// Time, order, from, to, bytes.
    flying: BTreeMap<(u64, u64), (usize, SocketAddr, Vec<u8>)>,
    sent: u64,
    bytes: u64,
    longest: usize,
    rng: Pcg32,
    way: Way,
    now: f64,
    keys: Keys,
    at: BTreeMap<SocketAddr, usize>,
}

impl Net {
    fn new(many: usize, seed: u64) -> Self {
        Net::with_keys(many, seed, Keys::default())
    }

    fn with_keys(many: usize, seed: u64, keys: Keys) -> Self {
        let mut net = Net {
            groups: (0..many).map(|_| None).collect(),
            paused: vec![false; many],
            flying: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            longest: 0,
            rng: Pcg32::seed_from_u64(seed),
            way: GOOD,
            now: 0.0,
            keys,
            at: (0..many).map(|n| (address(n), n)).collect(),
        };
        (0..many).for_each(|n| net.start(n, 0));
        net
    }

    fn start(&mut self, n: usize, incarnation: u32) {
        let settings = Settings {
            seeds: vec![address(0), address(1)],
            ..Settings::default()
        };
        let seed = self.rng.random();
        self.groups[n] = Some(SwimDetector::new(
            &name(n),
            address(n),
            incarnation,
            settings,
            self.keys.clone(),
            seed,
        ));
    }

    /// So long, with datagrams let through where `reaches` says so.
    fn run(&mut self, lasts: f64, reaches: impl Fn(usize, usize) -> bool) {
        let end = self.now + lasts;
        while self.now < end {
            self.now += STEP;
            let due = self.flying.split_off(&((self.now * 1000.0) as u64, 0));
            let arrived = std::mem::replace(&mut self.flying, due);
            for (from, to, bytes) in arrived.into_values() {
                let Some(to) = self.at.get(&to).copied().filter(|to| !self.paused[*to]) else {
                    continue;
                };
                if let Some(group) = &mut self.groups[to] {
                    group.handle(self.now, address(from), &bytes);
                }
            }
            for n in 0..self.groups.len() {
                if self.paused[n] {
                    continue;
                }
                let Some(group) = &mut self.groups[n] else {
                    continue;
                };
                let (out, _) = group.poll(self.now);
                for (to, bytes) in out {
                    self.sends(n, to, bytes, &reaches);
                }
            }
        }
    }

    fn sends(
        &mut self,
        from: usize,
        to: SocketAddr,
        bytes: Vec<u8>,
        reaches: &impl Fn(usize, usize) -> bool,
    ) {
        self.sent += 1;
        self.bytes += bytes.len() as u64;
        self.longest = self.longest.max(bytes.len());
        let Some(at) = self.at.get(&to).copied().filter(|at| reaches(from, *at)) else {
            return;
        };
        let _ = at;
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
                10_000.0
            } else {
                self.rng.random_range(0.0..=self.way.delay)
            };
            let when = ((self.now + delay) * 1000.0) as u64;
            self.flying
                .insert((when, self.sent * 2 + many), (from, to, bytes.clone()));
        }
    }

    fn group(&self, n: usize) -> &SwimDetector {
        self.groups[n].as_ref().expect("it runs")
    }

    /// How many of those that run hold a member for there.
    fn holds(&self, n: usize) -> usize {
        let there = |group: &SwimDetector| {
            group
                .state(id_of(&name(n)))
                .is_some_and(|state| state <= State::Suspect)
        };
        self.groups
            .iter()
            .flatten()
            .filter(|group| there(group))
            .count()
    }

    /// Whether all that run know all that run, and nobody else for there.
    fn agrees(&self) -> bool {
        let running = self.groups.iter().flatten().count();
        self.groups
            .iter()
            .flatten()
            .all(|group| group.count() == running)
    }

    fn until(
        &mut self,
        most: f64,
        reaches: impl Fn(usize, usize) -> bool,
        done: impl Fn(&Net) -> bool,
    ) -> Option<f64> {
        let from = self.now;
        while self.now - from < most {
            if done(self) {
                return Some(self.now - from);
            }
            self.run(100.0, &reaches);
        }
        done(self).then_some(most)
    }

    fn deaths(&self) -> usize {
        let dead = |group: &SwimDetector| {
            group
                .history()
                .iter()
                .filter(|change| change.state == State::Dead)
                .count()
        };
        self.groups.iter().flatten().map(dead).sum()
    }
}

fn all(_: usize, _: usize) -> bool {
    true
}

#[test]
fn a_hundred_that_start_at_once_find_each_other() {
    for (many, most) in [(3, 5_000.0), (30, 15_000.0), (100, 30_000.0)] {
        let mut net = Net::new(many, 1);
        let took = net.until(most, all, Net::agrees);
        assert!(
            took.is_some(),
            "{many} members: {:?}",
            net.groups.iter().flatten().map(SwimDetector::count).min()
        );
        assert!(net.longest <= wire::MOST, "{}", net.longest);
    }
}

#[test]
fn a_member_that_dies_is_found_out_by_all_and_nobody_else_is() {
    let mut net = Net::new(20, 2);
    net.until(30_000.0, all, Net::agrees).unwrap();
    net.groups[7] = None;
    let took = net.until(60_000.0, all, |net| net.holds(7) == 0);
    assert!(took.is_some_and(|took| took < 30_000.0), "{took:?}");
    assert!(net.agrees() && net.deaths() <= 19, "{}", net.deaths());
}

#[test]
fn under_heavy_loss_doubles_disorder_and_late_ones_the_living_stay_in() {
    let mut net = Net::new(12, 3);
    net.until(30_000.0, all, Net::agrees).unwrap();
    net.way = Way {
        loss: 0.3,
        doubled: 0.1,
        delay: 120.0,
        late: 0.02,
    };
    net.run(180_000.0, all);
    // Some are suspected now and then; nobody is out at the end, and few were ever held for dead.
    net.way = GOOD;
    assert!(net.until(60_000.0, all, Net::agrees).is_some());
    assert!(net.deaths() <= 12, "{}", net.deaths());
}

#[test]
fn halves_that_are_cut_find_each_other_again() {
    let mut net = Net::new(10, 4);
    net.until(30_000.0, all, Net::agrees).unwrap();
    let halves = |a: usize, b: usize| a % 2 == b % 2;
    net.run(60_000.0, halves);
    assert!(net.groups.iter().flatten().all(|group| group.count() == 5));
    let took = net.until(120_000.0, all, Net::agrees);
    assert!(
        took.is_some(),
        "{:?}",
        net.groups
            .iter()
            .flatten()
            .map(SwimDetector::count)
            .collect::<Vec<_>>()
    );
}

#[test]
fn one_whose_answers_are_lost_one_way_is_asked_for_by_others() {
    let mut net = Net::new(8, 5);
    net.until(30_000.0, all, Net::agrees).unwrap();
    // Nothing goes between 2 and 3; all others reach both.
    net.run(120_000.0, |a, b| !(a == 2 && b == 3 || a == 3 && b == 2));
    assert_eq!((net.holds(2), net.holds(3)), (7, 7));
    assert_eq!(net.deaths(), 0);
}

#[test]
fn a_member_that_leaves_is_gone_at_once_and_one_that_restarts_is_back() {
    let mut net = Net::new(8, 6);
    net.until(30_000.0, all, Net::agrees).unwrap();
    let now = net.now;
    net.groups[4].as_mut().unwrap().leave(now);
    net.run(50.0, all);
    net.groups[4] = None;
    let took = net.until(10_000.0, all, |net| net.holds(4) == 0);
    assert!(took.is_some_and(|took| took <= 4000.0), "{took:?}");
    // It comes back under its name, knowing nothing of its earlier life.
    net.start(4, 0);
    assert!(net.until(30_000.0, all, Net::agrees).is_some());
    assert!(
        net.group(4).incarnation() > 1,
        "it had to say so more loudly"
    );
    // And once more, killed outright, with what it had kept.
    let kept = net.group(4).incarnation();
    net.groups[4] = None;
    net.run(3000.0, all);
    net.start(4, kept);
    assert!(net.until(30_000.0, all, Net::agrees).is_some());
}

#[test]
fn a_process_that_pauses_holds_nobody_for_dead_and_is_taken_back() {
    let mut net = Net::new(8, 7);
    net.until(30_000.0, all, Net::agrees).unwrap();
    net.paused[3] = true;
    net.run(10_000.0, all);
    net.paused[3] = false;
    net.run(1000.0, all);
    let dead = net
        .group(3)
        .history()
        .iter()
        .filter(|change| change.state == State::Dead)
        .count();
    assert_eq!(dead, 0, "its own pause is no member's fault");
    assert!(net.group(3).slow() > 0);
    assert!(net.until(40_000.0, all, Net::agrees).is_some());
}

#[test]
fn two_instances_under_one_name_are_one_member_and_break_nothing() {
    let mut net = Net::new(6, 8);
    net.until(30_000.0, all, Net::agrees).unwrap();
    // A second n2 at another address.
    let settings = Settings {
        seeds: vec![address(0)],
        ..Settings::default()
    };
    net.at.insert(address(99), 6);
    net.groups.push(Some(SwimDetector::new(
        &name(2),
        address(99),
        0,
        settings,
        Keys::default(),
        9,
    )));
    net.paused.push(false);
    net.run(60_000.0, all);
    let others = [0, 1, 3, 4, 5];
    assert!(
        others.iter().all(|n| net.group(*n).count() == 6),
        "one name is one member"
    );
    assert!(net.longest <= wire::MOST);
}

#[test]
fn forged_and_foreign_datagrams_bring_nobody_in_and_put_nobody_out() {
    let keys = Keys {
        seals: Some([7; 16]),
        opens: Some([7; 16]),
    };
    let mut net = Net::with_keys(6, 10, keys);
    net.until(30_000.0, all, Net::agrees).unwrap();
    let forged = |state: State, id: u64| {
        let news = Gossip {
            id,
            address: address(200),
            state,
            incarnation: 1000,
        };
        wire::write(&Datagram {
            what: What::Ping,
            from: id_of("n1"),
            number: 1,
            news: vec![news],
        })
    };
    let now = net.now;
    for victim in 0..6 {
        for bytes in [
            forged(State::Dead, id_of("n3")),
            forged(State::Alive, id_of("stranger")),
            b"\x04".to_vec(),
        ] {
            net.groups[victim]
                .as_mut()
                .unwrap()
                .handle(now, address(1), &bytes);
        }
    }
    net.run(20_000.0, all);
    assert!(net.agrees() && net.deaths() == 0);
    assert!(net.longest <= wire::MOST);
}

#[test]
fn keys_rotate_during_a_partition() {
    let step = |seals: u8, opens: u8| Keys {
        seals: Some([seals; 16]),
        opens: Some([opens; 16]),
    };
    let mut net = Net::with_keys(6, 11, step(1, 1));
    net.until(30_000.0, all, Net::agrees).unwrap();
    let halves = |a: usize, b: usize| a / 3 == b / 3;
    net.run(30_000.0, halves);
    // One half has both keys, the other seals with the new one already: they understand each other.
    for n in 0..6 {
        net.groups[n]
            .as_mut()
            .unwrap()
            .set_keys(if n < 3 { step(1, 2) } else { step(2, 1) });
    }
    net.run(10_000.0, halves);
    assert!(net.until(120_000.0, all, Net::agrees).is_some());
}

#[test]
fn state_stays_bounded_whatever_is_told() {
    let settings = Settings::default();
    let mut group = SwimDetector::new("n0", address(0), 0, settings, Keys::default(), 1);
    for n in 0..200_000_u64 {
        let news = Gossip {
            id: n,
            address: address(1),
            state: State::Alive,
            incarnation: 1,
        };
        let bytes = wire::write(&Datagram {
            what: What::Ask(n),
            from: n + 1,
            number: 1,
            news: vec![news],
        });
        group.handle(n as f64, address(1), &bytes);
        if n % 1000 == 0 {
            group.poll(n as f64);
        }
    }
    assert!(group.members().count() <= tansymux_membership::MAX_MEMBERS);
}

#[test]
fn three_hundred_agree_and_under_heavy_loss_none_that_lives_is_buried() {
    let mut net = Net::new(300, 12);
    let took = net.until(30_000.0, all, Net::agrees);
    assert!(
        took.is_some(),
        "{:?}",
        net.groups.iter().flatten().map(SwimDetector::count).min()
    );
    net.way = Way { loss: 0.3, ..GOOD };
    let (bytes, from) = (net.bytes, net.now);
    net.run(20_000.0, all);
    let rate = (net.bytes - bytes) as f64 / (net.now - from) * 1000.0 / 300.0;
    assert!(rate < 2048.0, "{rate} bytes a second each");
    assert!(net.deaths() <= 2, "{}", net.deaths());
    net.groups[299] = None;
    let found = net.until(30_000.0, all, |net| net.holds(299) == 0);
    assert!(
        found.is_some(),
        "{} still hold it for there",
        net.holds(299)
    );
}

#[test]
fn what_is_carried_arrives_as_it_was_and_is_no_news_of_members() {
    let keys = Keys {
        seals: Some([7; 16]),
        opens: Some([7; 16]),
    };
    let mut net = Net::with_keys(3, 13, keys);
    net.until(10_000.0, all, Net::agrees).unwrap();
    let content = vec![9; wire::MAX_CARRIED];
    assert!(net.groups[0].as_mut().unwrap().carry(id_of("n1"), &content));
    assert!(!net.groups[0]
        .as_mut()
        .unwrap()
        .carry(id_of("nobody"), &content));
    assert!(!net.groups[0]
        .as_mut()
        .unwrap()
        .carry(id_of("n1"), &vec![9; wire::MAX_CARRIED + 1]));
    net.run(100.0, all);
    let carried = net.groups[1].as_mut().unwrap().next_carried().unwrap();
    assert_eq!((carried.from, carried.content), (id_of("n0"), content));
    assert!(net.groups[1].as_mut().unwrap().next_carried().is_none() && net.agrees());
    assert!(net.longest <= wire::MOST);
}

/// What the pages say of it: `cargo test -p tansymux-membership --release -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn measured_detection_and_bytes() {
    for many in [3, 30, 300] {
        for loss in [0.0, 0.3] {
            let mut net = Net::new(many, 20);
            let joined = net.until(120_000.0, all, Net::agrees);
            net.way = Way { loss, ..GOOD };
            let (bytes, from) = (net.bytes, net.now);
            net.run(60_000.0, all);
            let rate = (net.bytes - bytes) as f64 / (net.now - from) * 1000.0 / many as f64;
            let false_deaths = net.deaths();
            net.groups[many - 1] = None;
            let found = net.until(120_000.0, all, |net| net.holds(many - 1) == 0);
            println!("{many} members, loss {loss}: joined {joined:?} ms, {rate:.0} bytes/s each, {false_deaths} false deaths a minute in all, found out after {found:?} ms");
        }
    }
}

proptest::proptest! {
    #[test]
    fn no_bytes_make_it_panic_or_answer_with_more_than_fits(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..300)) {
        let mut group = SwimDetector::new("n0", address(0), 0, Settings::default(), Keys::default(), 1);
        let mut framed = vec![wire::KIND, 1];
        framed.extend_from_slice(&bytes);
        group.handle(0.0, address(1), &bytes);
        group.handle(1.0, address(1), &framed);
        let (out, _) = group.poll(2000.0);
        assert!(out.iter().all(|(_, bytes)| bytes.len() <= wire::MOST));
    }
}
