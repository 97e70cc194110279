//! Datagrams that the version before the renames wrote: each is still read, and the same values still give the same bytes.

use tansymux_coordination::wire::{read, write, Counted, Message};
use tansymux_coordination::{Ballot, Kind, Record, Stage, Stamp, Value, Why};

/// One `name hex` a line, as written by commit 0fd3fce.
const FIXTURES: &str = include_str!("fixtures/datagrams.hex");

const BALLOT: Ballot = Ballot {
    round: 0x0102_0304,
    leader: 0x1122_3344_5566_7788,
};

fn record(key: u64, number: u32, value: Value, left_ms: Option<u32>) -> Counted {
    let stamp = Stamp {
        ballot: BALLOT,
        number,
    };
    (Record { key, stamp, value }, left_ms)
}

fn out(kind: Kind, why: Why) -> Value {
    Value::Out {
        kind,
        why,
        zone: 0x0A0B_0C0D,
        session: 0x0E0F_1011,
        grant: 0x2122_2324_2526_2728,
    }
}

fn release(stage: Stage) -> Value {
    Value::Release {
        number: 0x3132_3334,
        to: 0x4142_4344,
        from: 0x5152_5354,
        stage,
    }
}

fn write_of(number: u32, records: Vec<Counted>) -> Message {
    Message::Write {
        ballot: BALLOT,
        number,
        records,
    }
}

fn samples() -> Vec<(&'static str, Message)> {
    let halt = Value::Halt {
        number: 0x6162_6364,
        by: 0x7172_7374_7576_7778,
        why: 3,
    };
    let zone = Value::Zone {
        zone: 0x8182_8384,
        stage: 1,
        step: 4,
        why: 2,
        number: 0x9192_9394,
    };
    let promised = vec![
        record(1, 7, halt, None),
        record(2, 8, release(Stage::Canaries), None),
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
                part: 1,
                parts: 3,
                records: promised,
            },
        ),
        ("write-none", write_of(10, Vec::new())),
        (
            "write-out-dispatcher",
            write_of(
                11,
                vec![
                    record(3, 1, out(Kind::Dispatcher, Why::Turn), Some(30_000)),
                    record(4, 2, out(Kind::Dispatcher, Why::Lost), None),
                    record(5, 3, Value::Over, Some(1)),
                ],
            ),
        ),
        (
            "write-out-engine",
            write_of(
                12,
                vec![
                    record(6, 4, out(Kind::Engine, Why::Drain), None),
                    record(7, 5, out(Kind::Engine, Why::Ejected), Some(u32::MAX - 1)),
                    record(8, 6, out(Kind::Engine, Why::Announced), None),
                ],
            ),
        ),
        (
            "write-release",
            write_of(
                13,
                vec![
                    record(2, 10, release(Stage::Waves), None),
                    record(2, 11, release(Stage::Back), None),
                    record(2, 12, release(Stage::Done), None),
                ],
            ),
        ),
        (
            "write-undone",
            write_of(14, vec![record(2, 13, release(Stage::Undone), None)]),
        ),
        (
            "written",
            Message::Written {
                ballot: BALLOT,
                number: 11,
                digest: 0xCAFE_BABE,
            },
        ),
        ("no", Message::No { ballot: BALLOT }),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .map(|n| u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).expect("hex digits"))
        .collect()
}

#[test]
fn datagrams_of_the_previous_version_are_read_and_the_same_values_give_the_same_bytes() {
    let fixtures: Vec<(&str, &str)> = FIXTURES
        .lines()
        .map(|line| line.split_once(' ').expect("a name and hex digits"))
        .collect();
    let samples = samples();
    assert_eq!(fixtures.len(), samples.len());
    for ((name, message), (fixture, expected)) in samples.iter().zip(fixtures) {
        assert_eq!(*name, fixture);
        assert_eq!(hex(&write(message)), expected, "{name}");
        assert_eq!(read(&bytes_of(expected)).as_ref(), Some(message), "{name}");
    }
}
