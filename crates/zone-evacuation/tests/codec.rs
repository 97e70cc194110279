//! Messages of commit 7790f50 decode to the expected values, and the same values encode to the same bytes.

use tansymux_codec::test_support::from_hex;
use tansymux_zone_evacuation::codec::{self, DecodeError, LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::{Evidence, MemberReport, Reachability, Reason, Stage, ZoneStatus};

fn evidence(
    zone: u32,
    reachability: Reachability,
    threads: f32,
    successes: u16,
    failures: u16,
) -> Evidence {
    Evidence {
        zone,
        reachability,
        threads,
        successes,
        failures,
    }
}

fn entry(zone: u32, stage: Stage, step: u8, reason: Reason, quota: f32) -> ZoneEntry {
    let status = ZoneStatus {
        stage,
        step,
        decision_number: zone + 6,
        reason,
    };
    ZoneEntry {
        zone,
        status,
        quota,
    }
}

#[test]
fn report_of_commit_7790f50_is_decoded_and_encoded_to_the_same_bytes() {
    let bytes = from_hex(
        "010203040506070801000000010000000000000000000000000201402000000011000300000003023dcccccd\
        ffff0001deadbeef034480000001000200",
    );
    let report = MemberReport {
        session: 0x0102_0304,
        sequence_number: 0x0506_0708,
        is_isolated: true,
        zones: vec![
            evidence(1, Reachability::Unknown, 0.0, 0, 0),
            evidence(2, Reachability::Reachable, 2.5, 17, 3),
            evidence(3, Reachability::Recovering, 0.1, 65_535, 1),
            evidence(0xDEAD_BEEF, Reachability::Unreachable, 1024.0, 256, 512),
        ],
    };
    assert_eq!(codec::encode_report(&report), bytes);
    assert_eq!(codec::decode_report(&bytes), Ok(report));
}

#[test]
fn reply_of_commit_7790f50_is_decoded_and_encoded_to_the_same_bytes() {
    let bytes = from_hex(
        "05060708000000010000000000070000000000000000020000000000080100000000000000030000000000090200000000\
        0000000401030000000a033e8000000000000501010000000b043e0000000000000601080000000c053f800000",
    );
    let reply = LeaderReply {
        sequence_number: 0x0506_0708,
        zones: vec![
            entry(1, Stage::Evacuated, 0, Reason::Lost, 0.0),
            entry(2, Stage::Evacuated, 0, Reason::CutOff, 0.0),
            entry(3, Stage::Evacuated, 0, Reason::Operator, 0.0),
            entry(4, Stage::Recovering, 3, Reason::Reached, 0.25),
            entry(5, Stage::Recovering, 1, Reason::FailuresIncreased, 0.125),
            entry(6, Stage::Recovering, 8, Reason::Restored, 1.0),
        ],
    };
    assert_eq!(codec::encode_reply(&reply), bytes);
    assert_eq!(codec::decode_reply(&bytes), Ok(reply));
}

#[test]
fn truncated_messages_are_rejected_with_their_length() {
    let report = codec::decode_report(&[0; 8]);
    assert_eq!(report, Err(DecodeError::Truncated { len: 8, min_len: 9 }));
    let reply = codec::decode_reply(&[0; 3]);
    assert_eq!(reply, Err(DecodeError::Truncated { len: 3, min_len: 4 }));
}

#[test]
fn printed_texts_of_reasons_are_unchanged() {
    let printed: Vec<String> = (0..6)
        .filter_map(Reason::from_code)
        .map(|reason| reason.to_string())
        .collect();
    assert_eq!(
        printed,
        ["Lost", "CutOff", "ByHand", "Reached", "Worsened", "Whole"]
    );
}
