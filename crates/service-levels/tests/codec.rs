//! Messages between dispatchers: encoding and decoding, and compatibility with the messages and fingerprints recorded
//! at commit 7790f50.

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

/// A level with all signals and settings, and with values whose text needs escapes, exponents, NaN or infinity.
fn level_with_all_settings() -> Level {
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
fn encoded_messages_are_decoded_and_invalid_ones_rejected() {
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
fn recorded_messages_are_decoded_and_encoded_byte_for_byte() {
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
fn fingerprints_equal_the_recorded_ones() {
    assert_eq!(Config::default().fingerprint(), 0x3f98);
    assert_eq!(three_levels().fingerprint(), 0x234e);
    let all_settings = Config {
        levels: vec![level_with_all_settings()],
    };
    assert_eq!(all_settings.fingerprint(), 0x95d0);
}

#[test]
fn messages_of_a_run_equal_the_recorded_ones() {
    let mut machine = LevelStateMachine::new(three_levels());
    let mut sent = Vec::new();
    let mut now_ms = 0.0;
    while now_ms < 30_000.0 {
        machine.evaluate(&[0.95], now_ms);
        sent.extend(machine.poll_message(now_ms));
        now_ms += 100.0;
    }
    let startup_messages = (1..=4).map(|number| [2, 1, 0x23, 0x4e, DEPTH_UNKNOWN, 0, 0, number]);
    let later_messages = (5..=11).map(|number| [2, 1, 0x23, 0x4e, 3, 3, 0, number]);
    let expected: Vec<[u8; 8]> = startup_messages.chain(later_messages).collect();
    assert_eq!(sent, expected);
}
