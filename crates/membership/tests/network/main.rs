//! Detectors on a simulated network in virtual time: loss, duplicates, reordering, delay, forgery, partitions, pauses,
//! restarts.

mod indirect_probes;
mod simulated_network;

use simulated_network::{address, all, from_member_one, name, LinkConditions, Network, GOOD_LINK};
use tansymux_membership::codec::{self, Datagram, Gossip, Message};
use tansymux_membership::{member_id_of, Config, Event, Keys, MemberState, SwimDetector};

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
    network.converge();
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
    network.converge();
    network.conditions = LinkConditions {
        loss: 0.3,
        duplication: 0.1,
        max_delay_ms: 120.0,
        long_delay: 0.02,
    };
    network.run(180_000.0, all);
    // Some members are suspected at times; all are present at the end, and few were ever declared dead.
    network.conditions = GOOD_LINK;
    assert!(network
        .until(60_000.0, all, Network::has_converged)
        .is_some());
    assert!(network.deaths() <= 12, "{}", network.deaths());
}

#[test]
fn partitioned_halves_merge_again() {
    let mut network = Network::new(10, 4);
    network.converge();
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
    network.converge();
    // Members 2 and 3 do not reach each other; all others reach both.
    network.run(120_000.0, |a, b| !(a == 2 && b == 3 || a == 3 && b == 2));
    assert_eq!((network.present_at(2), network.present_at(3)), (7, 7));
    assert_eq!(network.deaths(), 0);
}

#[test]
fn leaving_member_is_gone_at_once_and_restarted_member_rejoins() {
    let mut network = Network::new(8, 6);
    network.converge();
    let now = network.now_ms;
    network.detectors[4]
        .as_mut()
        .unwrap()
        .handle(Event::LeaveRequested, now);
    network.run(50.0, all);
    network.detectors[4] = None;
    let took = network.until(10_000.0, all, |network| network.present_at(4) == 0);
    assert!(took.is_some_and(|took| took <= 4000.0), "{took:?}");
    // The member restarts with its name and without its last incarnation.
    network.start(4, 0);
    assert!(network
        .until(30_000.0, all, Network::has_converged)
        .is_some());
    assert!(
        network.detector(4).incarnation() > 1,
        "it had to say so more loudly"
    );
    // The member is killed, and restarts with its last incarnation.
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
    network.converge();
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
    network.converge();
    // A second process with the name n2, at another address.
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
    network.converge();
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
    network.converge();
    let halves = |a: usize, b: usize| a / 3 == b / 3;
    network.run(30_000.0, halves);
    // One half seals with the old key and the other with the new one; both accept both.
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

/// Prints detection times and bytes a second: `cargo test -p tansymux-membership --release -- --ignored --nocapture`.
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
