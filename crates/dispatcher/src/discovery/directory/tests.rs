use super::*;
use crate::dns::{Address, Srv, Text};
use std::net::{Ipv4Addr, SocketAddr};

/// An answer that lists these engines: id, whether it drains, when it started.
fn answer(serial: u32, engines: &[(&str, bool, f64)]) -> Answer {
    let mut answer = Answer {
        serial: Some(serial),
        ..Answer::default()
    };
    for (nth, &(id, drains, started)) in engines.iter().enumerate() {
        let target = format!("{id}.east.hosts");
        answer.srv.push(Srv {
            priority: u16::from(drains),
            port: 10080,
            target: target.clone(),
        });
        answer.addresses.push(Address {
            name: target.clone(),
            ip: Ipv4Addr::new(10, 1, 0, 9 + nth as u8),
        });
        answer.texts.push(Text {
            name: target,
            strings: vec![
                "kind=std".into(),
                "cell=2".into(),
                format!("started={started}"),
            ],
        });
    }
    answer
}

const TWO: &[(&str, bool, f64)] = &[("s-1", false, 0.0), ("s-2", false, 0.0)];

/// A directory with both engines ready, from the answer to query 10.
fn directory_of_two(serial: u32) -> EndpointDirectory {
    let mut directory = EndpointDirectory::default();
    directory.set_serial(serial - 1);
    assert!(matches!(
        directory.apply_answer(&answer(serial, TWO), 10),
        AnswerOutcome::Updated(_)
    ));
    directory
}

fn status(directory: &EndpointDirectory, id: &str) -> Option<EndpointState> {
    let engine_id = u64::from(tansymux_operator_config::name_hash(id));
    directory
        .endpoints()
        .iter()
        .find(|e| e.engine_id == engine_id)
        .map(|e| e.state)
}

#[test]
fn an_engine_without_records_is_gone_and_an_older_answer_is_ignored() {
    let mut directory = EndpointDirectory::default();
    directory.set_serial(3);
    assert_eq!(
        directory.apply_answer(&answer(3, TWO), 1),
        AnswerOutcome::Unchanged
    );
    let old = directory.engine_id("s-old");
    directory.upsert_endpoint(EndpointEntry {
        engine_id: old,
        address: None,
        kind: "std".into(),
        zone: "east".into(),
        cell: 1,
        state: EndpointState::Ready,
        started_ms: None,
    });
    let AnswerOutcome::Updated(listed) =
        directory.apply_answer(&answer(4, &[("s-1", true, 0.0)]), 2)
    else {
        panic!()
    };
    let entries: Vec<_> = listed
        .iter()
        .map(|e| (e.engine_id == old, e.state, e.kind.as_str(), e.cell))
        .collect();
    assert_eq!(
        entries,
        [
            (false, EndpointState::Draining, "std", 2),
            (true, EndpointState::Gone, "std", 1)
        ]
    );
    assert_eq!(
        listed[0].address,
        Some(SocketAddr::from(([10, 1, 0, 9], 10080)))
    );
    // Answers to earlier queries bring nothing new, in any order and number.
    assert_eq!(
        directory.apply_answer(&answer(4, &[("s-1", true, 0.0)]), 1),
        AnswerOutcome::Unchanged
    );
    assert_eq!(
        directory.apply_answer(&answer(3, TWO), 1),
        AnswerOutcome::Unchanged
    );
    assert_eq!(
        directory.apply_answer(&answer(3, TWO), 2),
        AnswerOutcome::Unchanged
    );
    assert_eq!(
        (directory.engine_ids.counts(), directory.engine_id("s-old")),
        ((1, 1), old)
    );
}

#[test]
fn a_leaping_serial_is_rejected_and_good_updates_continue() {
    let mut directory = directory_of_two(5);
    let corrupt = answer(5 | 1 << 20, &[("s-1", false, 0.0)]);
    assert_eq!(
        directory.apply_answer(&corrupt, 11),
        AnswerOutcome::Rejected(RejectReason::SerialLeapsAhead)
    );
    // A duplicate does not confirm it.
    assert!(matches!(
        directory.apply_answer(&corrupt, 11),
        AnswerOutcome::Rejected(_)
    ));
    assert_eq!(
        directory.apply_answer(&answer(5, TWO), 12),
        AnswerOutcome::Unchanged
    );
    assert!(
        matches!(
            directory.apply_answer(&corrupt, 13),
            AnswerOutcome::Rejected(_)
        ),
        "what lies between breaks the chain"
    );
    assert!(matches!(
        directory.apply_answer(&answer(6, &[("s-1", false, 0.0)]), 14),
        AnswerOutcome::Updated(_)
    ));
    // After a long absence a leap is real: two answers agree.
    assert!(matches!(
        directory.apply_answer(&answer(90_000, TWO), 15),
        AnswerOutcome::Rejected(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(90_001, TWO), 16),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(directory.serial(), 90_001);
}

#[test]
fn a_corrupt_update_is_replaced_once_two_answers_agree() {
    let mut directory = directory_of_two(5);
    // One flipped bit in the serial and a lost record: nothing shows that it is corrupt.
    assert!(matches!(
        directory.apply_answer(&answer(7, &[("s-1", false, 0.0)]), 11),
        AnswerOutcome::Updated(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(5, TWO), 12),
        AnswerOutcome::Rejected(RejectReason::SerialGoesBack)
    ));
    assert!(
        matches!(
            directory.apply_answer(&answer(5, TWO), 12),
            AnswerOutcome::Rejected(_)
        ),
        "a copy"
    );
    assert!(matches!(
        directory.apply_answer(&answer(5, TWO), 13),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(directory.serial(), 5);
    // The same with different records under the same serial.
    let other = [("s-1", true, 0.0), ("s-2", false, 0.0)];
    let rejected = AnswerOutcome::Rejected(RejectReason::RecordsDiffer);
    assert_eq!(directory.apply_answer(&answer(5, &other), 14), rejected);
    assert!(matches!(
        directory.apply_answer(&answer(5, &other), 15),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(status(&directory, "s-1"), Some(EndpointState::Draining));
}

#[test]
fn a_lagging_name_service_does_not_revert_drains_or_departures() {
    // One name service said that s-1 drains and s-3 is gone. Another one, queried from now on, lags behind.
    let mut directory = directory_of_two(5);
    let three = [
        ("s-1", false, 0.0),
        ("s-2", false, 0.0),
        ("s-3", false, 0.0),
    ];
    assert!(matches!(
        directory.apply_answer(&answer(6, &three), 11),
        AnswerOutcome::Updated(_)
    ));
    let now = [("s-1", true, 0.0), ("s-2", false, 0.0)];
    assert!(matches!(
        directory.apply_answer(&answer(8, &now), 12),
        AnswerOutcome::Updated(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(6, &three), 13),
        AnswerOutcome::Rejected(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(6, &three), 14),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(status(&directory, "s-1"), Some(EndpointState::Draining));
    assert_eq!(status(&directory, "s-2"), Some(EndpointState::Ready));
    assert_eq!(status(&directory, "s-3"), None);
    // An engine that has restarted since is ready again.
    let mut directory = directory_of_two(5);
    assert!(matches!(
        directory.apply_answer(&answer(6, &[("s-2", false, 0.0)]), 11),
        AnswerOutcome::Updated(_)
    ));
    let restarted = [("s-1", false, 9.0), ("s-2", false, 0.0)];
    assert!(matches!(
        directory.apply_answer(&answer(5, &restarted), 12),
        AnswerOutcome::Rejected(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(5, &restarted), 13),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(status(&directory, "s-1"), Some(EndpointState::Ready));
}

#[test]
fn an_older_update_is_accepted_if_otherwise_no_engine_would_be_ready() {
    let mut directory = directory_of_two(5);
    assert!(matches!(
        directory.apply_answer(&answer(7, &[("s-9", false, 0.0)]), 11),
        AnswerOutcome::Updated(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(5, TWO), 12),
        AnswerOutcome::Rejected(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(5, TWO), 13),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(status(&directory, "s-1"), Some(EndpointState::Ready));
}

#[test]
fn of_two_records_of_one_engine_draining_wins() {
    let mut directory = directory_of_two(5);
    let twice = [("s-1", false, 0.0), ("s-1", true, 0.0), ("s-2", false, 0.0)];
    let AnswerOutcome::Updated(listed) = directory.apply_answer(&answer(6, &twice), 11) else {
        panic!()
    };
    assert_eq!(listed.len(), 2);
    assert_eq!(status(&directory, "s-1"), Some(EndpointState::Draining));
}

#[test]
fn an_engine_whose_address_a_newer_engine_has_is_gone() {
    let mut directory = directory_of_two(5);
    let mut both = answer(
        6,
        &[
            ("s-1", false, 0.0),
            ("s-2", false, 0.0),
            ("s-3", false, 9.0),
        ],
    );
    both.addresses[2].ip = both.addresses[0].ip;
    let AnswerOutcome::Updated(listed) = directory.apply_answer(&both, 11) else {
        panic!()
    };
    let gone: Vec<u64> = listed
        .iter()
        .filter(|e| e.state == EndpointState::Gone)
        .map(|e| e.engine_id)
        .collect();
    assert_eq!(
        gone,
        [u64::from(tansymux_operator_config::name_hash("s-1"))]
    );
    assert_eq!(status(&directory, "s-3"), Some(EndpointState::Ready));
}

#[test]
fn serials_wrap_around() {
    let mut directory = directory_of_two(u32::MAX);
    assert!(matches!(
        directory.apply_answer(&answer(0, TWO), 11),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(
        directory.apply_answer(&answer(u32::MAX, TWO), 10),
        AnswerOutcome::Unchanged
    );
}

#[test]
fn engine_ids_are_stable_and_unique() {
    let mut directory = EndpointDirectory::default();
    let engine_id = directory.engine_id("s-341e1dd2");
    assert_eq!(
        (
            directory.engine_id("s-341e1dd2"),
            EndpointDirectory::default().engine_id("s-341e1dd2")
        ),
        (engine_id, engine_id)
    );
    let mut taken = EndpointDirectory::default();
    taken.engine_ids.reserve(engine_id);
    assert_eq!(taken.engine_id("s-341e1dd2"), (engine_id + 1) & 0xffff_ffff);
}
