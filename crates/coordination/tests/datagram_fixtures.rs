//! Datagrams of commit 0fd3fce decode to the expected values, and the same values encode to the same bytes.

use tansymux_codec::test_support::{fixture_lines, from_hex, to_hex};
use tansymux_codec::DecodeError;
use tansymux_coordination::codec::{decode, encode};
use tansymux_coordination::{
    Ballot, DisruptionReason, LeasedRecord, Message, Record, RecordValue, ReleaseStage, Stamp,
    UnitKind,
};

/// One `name hex` pair per line, as encoded by commit 0fd3fce.
const FIXTURES: &str = include_str!("fixtures/datagrams.hex");

const BALLOT: Ballot = Ballot {
    round: 0x0102_0304,
    leader: 0x1122_3344_5566_7788,
};

fn record(key: u64, number: u32, value: RecordValue, remaining_ms: Option<u32>) -> LeasedRecord {
    let stamp = Stamp {
        ballot: BALLOT,
        number,
    };
    LeasedRecord {
        record: Record { key, stamp, value },
        remaining_ms,
    }
}

fn disruption(kind: UnitKind, reason: DisruptionReason) -> RecordValue {
    RecordValue::Disruption {
        kind,
        reason,
        zone: 0x0A0B_0C0D,
        session: 0x0E0F_1011,
        grant_id: 0x2122_2324_2526_2728,
    }
}

fn release(stage: ReleaseStage) -> RecordValue {
    RecordValue::Release {
        number: 0x3132_3334,
        to: 0x4142_4344,
        from: 0x5152_5354,
        stage,
    }
}

fn accept(number: u32, records: Vec<LeasedRecord>) -> Message {
    Message::Accept {
        ballot: BALLOT,
        number,
        records,
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "one list with a sample of each message"
)]
fn samples() -> Vec<(&'static str, Message)> {
    let halt = RecordValue::Halt {
        number: 0x6162_6364,
        by: 0x7172_7374_7576_7778,
        reason: 3,
    };
    let zone = RecordValue::Zone {
        zone: 0x8182_8384,
        stage: 1,
        step: 4,
        reason: 2,
        number: 0x9192_9394,
    };
    let promised = vec![
        record(1, 7, halt, None),
        record(2, 8, release(ReleaseStage::Canaries), None),
        record(0x5A4F_4E45_8182_8384, 9, zone, Some(0)),
    ];
    vec![
        (
            "prepare",
            Message::Prepare {
                ballot: BALLOT,
                nonce: 0xDEAD_BEEF_0BAD_F00D,
            },
        ),
        (
            "promise",
            Message::Promise {
                ballot: BALLOT,
                nonce: 0xDEAD_BEEF_0BAD_F00D,
                fragment: 1,
                fragment_count: 3,
                records: promised,
            },
        ),
        ("write-none", accept(10, Vec::new())),
        (
            "write-out-dispatcher",
            accept(
                11,
                vec![
                    record(
                        3,
                        1,
                        disruption(UnitKind::Dispatcher, DisruptionReason::RestartLease),
                        Some(30_000),
                    ),
                    record(
                        4,
                        2,
                        disruption(UnitKind::Dispatcher, DisruptionReason::Lost),
                        None,
                    ),
                    record(5, 3, RecordValue::Tombstone, Some(1)),
                ],
            ),
        ),
        (
            "write-out-engine",
            accept(
                12,
                vec![
                    record(
                        6,
                        4,
                        disruption(UnitKind::Engine, DisruptionReason::Drain),
                        None,
                    ),
                    record(
                        7,
                        5,
                        disruption(UnitKind::Engine, DisruptionReason::Ejected),
                        Some(u32::MAX - 1),
                    ),
                    record(
                        8,
                        6,
                        disruption(UnitKind::Engine, DisruptionReason::Announced),
                        None,
                    ),
                ],
            ),
        ),
        (
            "write-release",
            accept(
                13,
                vec![
                    record(2, 10, release(ReleaseStage::Waves), None),
                    record(2, 11, release(ReleaseStage::RollingBack), None),
                    record(2, 12, release(ReleaseStage::Completed), None),
                ],
            ),
        ),
        (
            "write-undone",
            accept(
                14,
                vec![record(2, 13, release(ReleaseStage::RolledBack), None)],
            ),
        ),
        (
            "written",
            Message::Accepted {
                ballot: BALLOT,
                number: 11,
                digest: 0xCAFE_BABE,
            },
        ),
        ("no", Message::Reject { ballot: BALLOT }),
    ]
}

#[test]
fn datagrams_of_commit_0fd3fce_are_decoded_and_encoded_to_the_same_bytes() {
    let fixtures = fixture_lines(FIXTURES);
    let samples = samples();
    assert_eq!(fixtures.len(), samples.len());
    for ((name, message), (fixture, expected)) in samples.iter().zip(fixtures) {
        assert_eq!(*name, fixture);
        assert_eq!(to_hex(&encode(message)), expected, "{name}");
        assert_eq!(decode(&from_hex(expected)).as_ref(), Ok(message), "{name}");
    }
}

#[test]
fn malformed_datagrams_give_a_typed_error() {
    let prepare = encode(&samples()[0].1);
    assert_eq!(decode(&[]), Err(DecodeError::Truncated));
    for length in 0..prepare.len() {
        assert_eq!(decode(&prepare[..length]), Err(DecodeError::Truncated));
    }
    let unknown_message = [&[9], &prepare[1..]].concat();
    let error = decode(&unknown_message).expect_err("no message has this code");
    assert_eq!(error.to_string(), "message has no code 9");
}
