use super::*;
use crate::dns::{Address, Srv, Text};
use std::net::{Ipv4Addr, SocketAddr};

/// Returns an answer that lists engines, each given as id, whether it is draining, and start time (Unix ms).
fn answer(serial: u32, engines: &[(&str, bool, f64)]) -> Answer {
    let mut answer = Answer {
        serial: Some(serial),
        ..Answer::default()
    };
    for (index, &(id, is_draining, started_ms)) in engines.iter().enumerate() {
        let target = format!("{id}.east.hosts");
        answer.srv.push(Srv {
            priority: u16::from(is_draining),
            port: 10080,
            target: target.clone(),
        });
        answer.addresses.push(Address {
            name: target.clone(),
            ip: Ipv4Addr::new(10, 1, 0, 9 + index as u8),
        });
        answer.texts.push(Text {
            name: target,
            strings: vec![
                "kind=std".into(),
                "cell=2".into(),
                format!("started={started_ms}"),
            ],
        });
    }
    answer
}

const TWO_ENGINES: &[(&str, bool, f64)] = &[("s-1", false, 0.0), ("s-2", false, 0.0)];

/// Returns a directory in which both engines are ready, from the answer to query 10.
fn directory_of_two(serial: u32) -> EndpointDirectory {
    let mut directory = EndpointDirectory::default();
    directory.set_serial(serial - 1);
    assert!(matches!(
        directory.apply_answer(&answer(serial, TWO_ENGINES), 10),
        AnswerOutcome::Updated(_)
    ));
    directory
}

fn state_of(directory: &EndpointDirectory, id: &str) -> Option<EndpointState> {
    let engine_id = u64::from(tansymux_operator_config::name_hash(id));
    directory
        .endpoints()
        .iter()
        .find(|entry| entry.engine_id == engine_id)
        .map(|entry| entry.state)
}

#[test]
fn an_engine_without_records_is_gone_and_an_older_answer_is_ignored() {
    let mut directory = EndpointDirectory::default();
    directory.set_serial(3);
    assert_eq!(
        directory.apply_answer(&answer(3, TWO_ENGINES), 1),
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
        .map(|entry| {
            (
                entry.engine_id == old,
                entry.state,
                entry.kind.as_str(),
                entry.cell,
            )
        })
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
    // Answers to earlier queries have no effect, in any order and number.
    assert_eq!(
        directory.apply_answer(&answer(4, &[("s-1", true, 0.0)]), 1),
        AnswerOutcome::Unchanged
    );
    assert_eq!(
        directory.apply_answer(&answer(3, TWO_ENGINES), 1),
        AnswerOutcome::Unchanged
    );
    assert_eq!(
        directory.apply_answer(&answer(3, TWO_ENGINES), 2),
        AnswerOutcome::Unchanged
    );
    assert_eq!(
        (directory.engine_ids.counts(), directory.engine_id("s-old")),
        ((1, 1), old)
    );
}

#[test]
fn an_implausible_serial_is_rejected_and_later_updates_are_accepted() {
    let mut directory = directory_of_two(5);
    let corrupt = answer(5 | 1 << 20, &[("s-1", false, 0.0)]);
    assert_eq!(
        directory.apply_answer(&corrupt, 11),
        AnswerOutcome::Rejected(RejectReason::SerialTooFarAhead)
    );
    // A duplicate of an answer does not confirm it.
    assert!(matches!(
        directory.apply_answer(&corrupt, 11),
        AnswerOutcome::Rejected(_)
    ));
    assert_eq!(
        directory.apply_answer(&answer(5, TWO_ENGINES), 12),
        AnswerOutcome::Unchanged
    );
    assert!(
        matches!(
            directory.apply_answer(&corrupt, 13),
            AnswerOutcome::Rejected(_)
        ),
        "an answer in between discards the unconfirmed one"
    );
    assert!(matches!(
        directory.apply_answer(&answer(6, &[("s-1", false, 0.0)]), 14),
        AnswerOutcome::Updated(_)
    ));
    // After a long outage the serial is far ahead: the list is accepted once a second answer confirms it.
    assert!(matches!(
        directory.apply_answer(&answer(90_000, TWO_ENGINES), 15),
        AnswerOutcome::Rejected(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(90_001, TWO_ENGINES), 16),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(directory.serial(), 90_001);
}

#[test]
fn a_corrupt_update_is_replaced_once_two_answers_agree() {
    let mut directory = directory_of_two(5);
    // One bit of the serial is flipped and a record is lost: the answer still looks plausible.
    assert!(matches!(
        directory.apply_answer(&answer(7, &[("s-1", false, 0.0)]), 11),
        AnswerOutcome::Updated(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(5, TWO_ENGINES), 12),
        AnswerOutcome::Rejected(RejectReason::SerialOlder)
    ));
    assert!(
        matches!(
            directory.apply_answer(&answer(5, TWO_ENGINES), 12),
            AnswerOutcome::Rejected(_)
        ),
        "a duplicate does not confirm"
    );
    assert!(matches!(
        directory.apply_answer(&answer(5, TWO_ENGINES), 13),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(directory.serial(), 5);
    // Different records under the same serial are accepted on the second answer, too.
    let other = [("s-1", true, 0.0), ("s-2", false, 0.0)];
    let rejected = AnswerOutcome::Rejected(RejectReason::RecordsDiffer);
    assert_eq!(directory.apply_answer(&answer(5, &other), 14), rejected);
    assert!(matches!(
        directory.apply_answer(&answer(5, &other), 15),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(state_of(&directory, "s-1"), Some(EndpointState::Draining));
}

#[test]
fn a_lagging_name_service_does_not_revert_drains_or_departures() {
    // One name service reported that s-1 is draining and s-3 is gone. The next answers come from another name
    // service, which lags behind.
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
    let latest = [("s-1", true, 0.0), ("s-2", false, 0.0)];
    assert!(matches!(
        directory.apply_answer(&answer(8, &latest), 12),
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
    assert_eq!(state_of(&directory, "s-1"), Some(EndpointState::Draining));
    assert_eq!(state_of(&directory, "s-2"), Some(EndpointState::Ready));
    assert_eq!(state_of(&directory, "s-3"), None);
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
    assert_eq!(state_of(&directory, "s-1"), Some(EndpointState::Ready));
}

#[test]
fn an_older_update_is_accepted_if_otherwise_no_engine_would_be_ready() {
    let mut directory = directory_of_two(5);
    assert!(matches!(
        directory.apply_answer(&answer(7, &[("s-9", false, 0.0)]), 11),
        AnswerOutcome::Updated(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(5, TWO_ENGINES), 12),
        AnswerOutcome::Rejected(_)
    ));
    assert!(matches!(
        directory.apply_answer(&answer(5, TWO_ENGINES), 13),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(state_of(&directory, "s-1"), Some(EndpointState::Ready));
}

#[test]
fn an_engine_with_duplicate_records_is_draining_if_one_record_is() {
    let mut directory = directory_of_two(5);
    let duplicates = [("s-1", false, 0.0), ("s-1", true, 0.0), ("s-2", false, 0.0)];
    let AnswerOutcome::Updated(listed) = directory.apply_answer(&answer(6, &duplicates), 11) else {
        panic!()
    };
    assert_eq!(listed.len(), 2);
    assert_eq!(state_of(&directory, "s-1"), Some(EndpointState::Draining));
}

#[test]
fn an_engine_is_gone_if_a_newer_engine_has_its_address() {
    let mut directory = directory_of_two(5);
    let mut update = answer(
        6,
        &[
            ("s-1", false, 0.0),
            ("s-2", false, 0.0),
            ("s-3", false, 9.0),
        ],
    );
    update.addresses[2].ip = update.addresses[0].ip;
    let AnswerOutcome::Updated(listed) = directory.apply_answer(&update, 11) else {
        panic!()
    };
    let gone: Vec<u64> = listed
        .iter()
        .filter(|entry| entry.state == EndpointState::Gone)
        .map(|entry| entry.engine_id)
        .collect();
    assert_eq!(
        gone,
        [u64::from(tansymux_operator_config::name_hash("s-1"))]
    );
    assert_eq!(state_of(&directory, "s-3"), Some(EndpointState::Ready));
}

#[test]
fn serials_wrap_around() {
    let mut directory = directory_of_two(u32::MAX);
    assert!(matches!(
        directory.apply_answer(&answer(0, TWO_ENGINES), 11),
        AnswerOutcome::Updated(_)
    ));
    assert_eq!(
        directory.apply_answer(&answer(u32::MAX, TWO_ENGINES), 10),
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
