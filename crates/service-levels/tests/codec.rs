//! Messages between dispatchers: what is encoded is decoded, and messages and fingerprints of the version before the
//! renames (commit 7790f50) are kept byte for byte.

use tansymux_service_levels::codec::{self, DecodeError, PeerReport, DEPTH_UNKNOWN};
use tansymux_service_levels::{
    ClassFraction, Condition, Config, Degradation, Level, LevelStateMachine, Signal, Trigger,
};

fn trigger(signal: Signal, enter_threshold: f64, leave_threshold: f64) -> Trigger {
    Trigger {
        signal,
        enter_threshold,
        leave_threshold,
        enter_hold_ms: 3000.0,
        leave_hold_ms: 5000.0,
    }
}

fn level(name: &str, enter: f64, leave: f64, concurrency_factor: f64) -> Level {
    Level {
        name: name.into(),
        enter: Condition {
            all: vec![trigger(Signal::PressuredEngines(None), enter, leave)],
            any: Vec::new(),
        },
        min_stay_ms: 20_000.0,
        degradation: Degradation {
            concurrency_factor,
            ..Degradation::default()
        },
    }
}

fn three_levels() -> Config {
    Config {
        levels: vec![
            level("spare", 0.4, 0.3, 0.8),
            level("short", 0.6, 0.5, 0.5),
            level("bare", 0.8, 0.7, 0.2),
        ],
    }
}

/// A level with all signals and settings, and values that are hard to print.
fn level_with_everything() -> Level {
    let east = Some("east".to_owned());
    let accented = Some("a\u{e9}\\b".to_owned());
    let report = Some("report".to_owned());
    Level {
        name: "every \"one\"\n".into(),
        enter: Condition {
            all: vec![
                trigger(Signal::PressuredEngines(east), 0.1 + 0.2, 0.25),
                trigger(Signal::ConcurrencyUsed, 1e-7, 1e17),
                trigger(Signal::LateQueries(accented), f64::NAN, f64::INFINITY),
                trigger(Signal::LateQueries(None), 0.5, 0.4),
            ],
            any: vec![
                trigger(Signal::RejectedQueries(report), 0.5, 0.4),
                trigger(Signal::RejectedQueries(None), 0.5, 0.4),
                trigger(Signal::ReadyEngines, 0.5, 0.7),
                trigger(Signal::WarmingUpEngines, 0.5, 0.4),
                trigger(Signal::EjectedEngines, 0.5, 0.4),
                trigger(Signal::Memory, 0.9, 0.8),
                trigger(Signal::Descriptors, 0.9, 0.8),
            ],
        },
        min_stay_ms: 60_000.5,
        degradation: Degradation {
            concurrency_factor: 0.8,
            demotion_factor: 0.9,
            grant_factor: 0.7,
            retry_after_factor: 2.5,
            retry_after_jitter: 0.2,
            withhold_low_retries: true,
            reject_over_quota: true,
            min_confidence: 0.3,
            classes: vec![
                ClassFraction {
                    class: "report".into(),
                    fraction: 0.5,
                },
                ClassFraction {
                    class: "load \"x\"".into(),
                    fraction: 0.0,
                },
            ],
        },
    }
}

#[test]
fn encoded_messages_are_decoded_and_other_bytes_refused() {
    let report = PeerReport {
        config_fingerprint: 0xBEEF,
        depth: 2,
        wanted_depth: 1,
        sequence_number: 513,
    };
    let bytes = codec::encode(report);
    assert_eq!(codec::decode(&bytes), Ok(report));
    let mut other_version = bytes;
    other_version[1] = 9;
    assert_eq!(
        codec::decode(&other_version),
        Err(DecodeError::NotLevelReport)
    );
    assert_eq!(codec::decode(&bytes[..7]), Err(DecodeError::NotLevelReport));
    let longer = [bytes.as_slice(), &[1, 2, 3]].concat();
    assert_eq!(codec::decode(&longer), Ok(report));
}

#[test]
fn messages_of_the_version_before_are_read_and_written_byte_for_byte() {
    let settled = PeerReport {
        config_fingerprint: 0xBEEF,
        depth: 2,
        wanted_depth: 1,
        sequence_number: 513,
    };
    let new_instance = PeerReport {
        config_fingerprint: 0x0102,
        depth: DEPTH_UNKNOWN,
        wanted_depth: 0,
        sequence_number: 1,
    };
    for (bytes, report) in [
        ([2, 1, 0xbe, 0xef, 2, 1, 2, 1], settled),
        ([2, 1, 1, 2, 0xff, 0, 0, 1], new_instance),
    ] {
        assert_eq!(codec::encode(report), bytes);
        assert_eq!(codec::decode(&bytes), Ok(report));
    }
}

#[test]
fn fingerprints_are_those_of_the_version_before() {
    assert_eq!(Config::default().fingerprint(), 0x3f98);
    assert_eq!(three_levels().fingerprint(), 0x234e);
    let everything = Config {
        levels: vec![level_with_everything()],
    };
    assert_eq!(everything.fingerprint(), 0x95d0);
}

#[test]
fn messages_of_a_run_are_those_of_the_version_before() {
    let mut machine = LevelStateMachine::new(three_levels());
    let mut sent = Vec::new();
    let mut now_ms = 0.0;
    while now_ms < 30_000.0 {
        machine.evaluate(&[0.95], now_ms);
        sent.extend(machine.poll_message(now_ms));
        now_ms += 100.0;
    }
    let asking = (1..=4).map(|number| [2, 1, 0x23, 0x4e, DEPTH_UNKNOWN, 0, 0, number]);
    let settled = (5..=11).map(|number| [2, 1, 0x23, 0x4e, 3, 3, 0, number]);
    let expected: Vec<[u8; 8]> = asking.chain(settled).collect();
    assert_eq!(sent, expected);
}
