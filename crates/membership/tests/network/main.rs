//! Groups of detectors on a simulated network in virtual time, under loss, duplication, reordering, delay, forgery,
//! partitions, pauses and restarts.

mod indirect_probes;
mod simulated_network;

use simulated_network::{
    address, fully_connected, name, received_from_member_1, LinkConditions, Network, GOOD_LINK,
};
use tansymux_membership::codec::{self, Datagram, Gossip, Message};
use tansymux_membership::{member_id_of, Config, Event, Keys, MemberState, SwimDetector};

#[test]
fn groups_of_up_to_100_members_started_together_converge() {
    for (member_count, timeout_ms) in [(3, 5_000.0), (30, 15_000.0), (100, 30_000.0)] {
        let mut network = Network::new(member_count, 1);
        let elapsed_ms = network.run_until(timeout_ms, fully_connected, Network::has_converged);
        assert!(
            elapsed_ms.is_some(),
            "{member_count} members, lowest count of present members: {:?}",
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
fn crashed_member_is_detected_by_all_and_no_other_member_is_declared_dead() {
    let mut network = Network::new(20, 2);
    network.converge();
    network.detectors[7] = None;
    let elapsed_ms = network.run_until(60_000.0, fully_connected, |network| {
        network.present_in_count(7) == 0
    });
    assert!(
        elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms < 30_000.0),
        "{elapsed_ms:?}"
    );
    assert!(
        network.has_converged() && network.death_count() <= 19,
        "{}",
        network.death_count()
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
    network.run(180_000.0, fully_connected);
    // Running members may be suspected, and a few may be declared dead, but all are present again in the end.
    network.conditions = GOOD_LINK;
    assert!(network
        .run_until(60_000.0, fully_connected, Network::has_converged)
        .is_some());
    assert!(network.death_count() <= 12, "{}", network.death_count());
}

#[test]
fn halves_of_a_partitioned_group_merge_after_the_partition() {
    let mut network = Network::new(10, 4);
    network.converge();
    let is_same_half = |a: usize, b: usize| a % 2 == b % 2;
    network.run(60_000.0, is_same_half);
    assert!(network
        .detectors
        .iter()
        .flatten()
        .all(|detector| detector.present_count() == 5));
    let elapsed_ms = network.run_until(120_000.0, fully_connected, Network::has_converged);
    assert!(
        elapsed_ms.is_some(),
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
fn members_without_a_direct_link_stay_present_by_indirect_probes() {
    let mut network = Network::new(8, 5);
    network.converge();
    // Members 2 and 3 cannot reach each other; all other members reach both.
    network.run(120_000.0, |a, b| !(a == 2 && b == 3 || a == 3 && b == 2));
    assert_eq!(
        (network.present_in_count(2), network.present_in_count(3)),
        (7, 7)
    );
    assert_eq!(network.death_count(), 0);
}

#[test]
fn departure_is_known_within_4_s_and_restarted_member_rejoins() {
    let mut network = Network::new(8, 6);
    network.converge();
    let now = network.now_ms;
    network.detectors[4]
        .as_mut()
        .unwrap()
        .handle(Event::LeaveRequested, now);
    network.run(50.0, fully_connected);
    network.detectors[4] = None;
    let elapsed_ms = network.run_until(10_000.0, fully_connected, |network| {
        network.present_in_count(4) == 0
    });
    assert!(
        elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 4000.0),
        "{elapsed_ms:?}"
    );
    // The member restarts under the same name, without its last incarnation.
    network.start(4, 0);
    assert!(network
        .run_until(30_000.0, fully_connected, Network::has_converged)
        .is_some());
    assert!(
        network.detector(4).incarnation() > 1,
        "a member that was recorded as left must raise its incarnation"
    );
    // The member crashes and restarts with its last incarnation.
    let stored_incarnation = network.detector(4).incarnation();
    network.detectors[4] = None;
    network.run(3000.0, fully_connected);
    network.start(4, stored_incarnation);
    assert!(network
        .run_until(30_000.0, fully_connected, Network::has_converged)
        .is_some());
}

#[test]
fn paused_process_declares_no_member_dead_and_rejoins() {
    let mut network = Network::new(8, 7);
    network.converge();
    network.paused[3] = true;
    network.run(10_000.0, fully_connected);
    network.paused[3] = false;
    network.run(1000.0, fully_connected);
    let deaths_declared = network
        .detector(3)
        .history()
        .iter()
        .filter(|change| change.state == MemberState::Dead)
        .count();
    assert_eq!(
        deaths_declared, 0,
        "a pause of this process is not evidence against other members"
    );
    assert!(network.detector(3).local_health() > 0);
    assert!(network
        .run_until(40_000.0, fully_connected, Network::has_converged)
        .is_some());
}

#[test]
fn two_processes_with_the_same_name_count_as_one_member() {
    let mut network = Network::new(6, 8);
    network.converge();
    // A second process with the name n2, at another address.
    let config = Config {
        seeds: vec![address(0)],
        ..Config::default()
    };
    network.process_by_address.insert(address(99), 6);
    network.detectors.push(Some(SwimDetector::new(
        &name(2),
        address(99),
        0,
        config,
        Keys::default(),
        9,
    )));
    network.paused.push(false);
    network.run(60_000.0, fully_connected);
    let others = [0, 1, 3, 4, 5];
    assert!(
        others
            .iter()
            .all(|n| network.detector(*n).present_count() == 6),
        "processes with the same name must count as one member"
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
    for target in 0..6 {
        for bytes in [
            forged(MemberState::Dead, member_id_of("n3")),
            forged(MemberState::Alive, member_id_of("stranger")),
            b"\x04".to_vec(),
        ] {
            network.detectors[target]
                .as_mut()
                .unwrap()
                .handle(received_from_member_1(&bytes), now);
        }
    }
    network.run(20_000.0, fully_connected);
    assert!(network.has_converged() && network.death_count() == 0);
    assert!(network.longest_datagram <= codec::MAX_DATAGRAM_LEN);
}

#[test]
fn keys_can_be_rotated_during_a_partition() {
    let keys = |signing: u8, also_accepted: u8| Keys {
        signing: Some([signing; 16]),
        also_accepted: Some([also_accepted; 16]),
    };
    let mut network = Network::with_keys(6, 11, keys(1, 1));
    network.converge();
    let is_same_half = |a: usize, b: usize| a / 3 == b / 3;
    network.run(30_000.0, is_same_half);
    // One half signs with the old key and the other half with the new key; both halves accept both keys.
    for n in 0..6 {
        network.detectors[n].as_mut().unwrap().set_keys(if n < 3 {
            keys(1, 2)
        } else {
            keys(2, 1)
        });
    }
    network.run(10_000.0, is_same_half);
    assert!(network
        .run_until(120_000.0, fully_connected, Network::has_converged)
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
        detector.handle(received_from_member_1(&bytes), n as f64);
        if n % 1000 == 0 {
            detector.poll(n as f64);
        }
    }
    assert!(detector.members().count() <= tansymux_membership::MAX_MEMBERS);
}

#[test]
fn group_of_300_converges_and_detects_a_crash_under_heavy_loss() {
    let mut network = Network::new(300, 12);
    let elapsed_ms = network.run_until(30_000.0, fully_connected, Network::has_converged);
    assert!(
        elapsed_ms.is_some(),
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
    let (initial_bytes, start_ms) = (network.bytes_sent, network.now_ms);
    network.run(20_000.0, fully_connected);
    let bytes_per_s =
        (network.bytes_sent - initial_bytes) as f64 / (network.now_ms - start_ms) * 1000.0 / 300.0;
    assert!(bytes_per_s < 2048.0, "{bytes_per_s} bytes/s per member");
    assert!(network.death_count() <= 2, "{}", network.death_count());
    network.detectors[299] = None;
    let detection_ms = network.run_until(30_000.0, fully_connected, |network| {
        network.present_in_count(299) == 0
    });
    assert!(
        detection_ms.is_some(),
        "{} detectors still count the crashed member as present",
        network.present_in_count(299)
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
        .run_until(10_000.0, fully_connected, Network::has_converged)
        .unwrap();
    let content = vec![9; codec::MAX_USER_MESSAGE_LEN];
    assert!(network.detectors[0]
        .as_mut()
        .unwrap()
        .send_user_message(member_id_of("n1"), &content));
    assert!(!network.detectors[0]
        .as_mut()
        .unwrap()
        .send_user_message(member_id_of("unknown"), &content));
    assert!(!network.detectors[0].as_mut().unwrap().send_user_message(
        member_id_of("n1"),
        &vec![9; codec::MAX_USER_MESSAGE_LEN + 1]
    ));
    network.run(100.0, fully_connected);
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

/// Prints detection times and bytes per second. Run with `cargo test -p tansymux-membership --release -- --ignored
/// --nocapture`.
#[test]
#[ignore = "a measurement"]
fn measure_detection_time_and_bytes() {
    for member_count in [3, 30, 300] {
        for loss in [0.0, 0.3] {
            let mut network = Network::new(member_count, 20);
            let converged_ms =
                network.run_until(120_000.0, fully_connected, Network::has_converged);
            network.conditions = LinkConditions { loss, ..GOOD_LINK };
            let (initial_bytes, start_ms) = (network.bytes_sent, network.now_ms);
            network.run(60_000.0, fully_connected);
            let bytes_per_s =
                (network.bytes_sent - initial_bytes) as f64 / (network.now_ms - start_ms) * 1000.0
                    / member_count as f64;
            let false_deaths = network.death_count();
            network.detectors[member_count - 1] = None;
            let detection_ms = network.run_until(120_000.0, fully_connected, |network| {
                network.present_in_count(member_count - 1) == 0
            });
            println!("{member_count} members, loss {loss}: converged in {converged_ms:?} ms, {bytes_per_s:.0} bytes/s per member, {false_deaths} false deaths per minute in total, crash detected after {detection_ms:?} ms");
        }
    }
}

proptest::proptest! {
    #[test]
    fn arbitrary_input_causes_no_panic_and_no_oversized_datagram(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..300)) {
        let mut detector = SwimDetector::new("n0", address(0), 0, Config::default(), Keys::default(), 1);
        let mut framed = vec![codec::DATAGRAM_KIND, 1];
        framed.extend_from_slice(&bytes);
        detector.handle(received_from_member_1(&bytes), 0.0);
        detector.handle(received_from_member_1(&framed), 1.0);
        let output = detector.poll(2000.0);
        assert!(output.datagrams.iter().all(|datagram| datagram.bytes.len() <= codec::MAX_DATAGRAM_LEN));
    }
}
