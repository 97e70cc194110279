//! Datagrams of commit 0fd3fce: each is decoded, and the same values are encoded to the same bytes.

use tansymux_codec::test_support::{fixture_lines, from_hex, to_hex};
use tansymux_coordination::disruption_budget::{HaltReason, Scope};
use tansymux_coordination::{
    Ballot, DisruptionReason, LeasedRecord, Record, RecordValue, ReleaseStage, Stamp, UnitKind,
};
use tansymux_rollout::codec::{decode, encode};
use tansymux_rollout::message::{Answer, Command, Message, Report, Status, ZoneList};
use tansymux_rollout::rollout_plan::Release;
use tansymux_zone_evacuation::codec::{LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::{
    Evidence, MemberReport, Reachability, Reason, Stage as ZoneStage, ZoneStatus,
};

/// Lines of the form `name hex`: the messages of `samples` as encoded by commit 0fd3fce.
const FIXTURES: &str = include_str!("fixtures/datagrams.hex");

const CALL: u64 = 0x0102_0304_0506_0708;
const NONCE: u64 = 0x1112_1314_1516_1718;
const ID: u64 = 0x2122_2324_2526_2728;
const GRANT_ID: u64 = 0x3132_3334_3536_3738;
const NUMBER: u32 = 0x4142_4344;
const ZONE: u32 = 0x5152_5354;

fn records() -> Vec<LeasedRecord> {
    let stamp = Stamp {
        ballot: Ballot {
            round: 0x6162_6364,
            leader: ID,
        },
        number: 9,
    };
    let halt = RecordValue::Halt {
        number: NUMBER,
        by: ID,
        reason: 1,
    };
    let lease = RecordValue::Disruption {
        kind: UnitKind::Dispatcher,
        reason: DisruptionReason::RestartLease,
        zone: ZONE,
        session: 77,
        grant_id: GRANT_ID,
    };
    [(1, halt, None), (3, lease, Some(12_345))]
        .into_iter()
        .map(|(key, value, remaining)| LeasedRecord {
            record: Record { key, stamp, value },
            remaining_ms: remaining,
        })
        .collect()
}

fn report() -> Report {
    Report {
        digest: 0x7172_7374,
        round: 0x6162_6364,
        zone: ZONE,
        version: 8,
        session: 77,
        utilization: 0.625,
        threads: 12.5,
        succeeded: 1000,
        total: 1024,
        failing_engine: 6,
        echoed_tick: 0x8182_8384,
        grant_id: GRANT_ID,
    }
}

fn commands() -> Vec<Command> {
    vec![
        Command::Status,
        Command::RequestLease {
            id: ID,
            to: 9,
            grant_id: GRANT_ID,
        },
        Command::ReturnLease {
            id: ID,
            grant_id: GRANT_ID,
        },
        Command::Drain {
            engine: ID,
            grant_id: GRANT_ID,
        },
        Command::Undrain { engine: ID },
        Command::Release {
            number: NUMBER,
            to: 9,
            from: 8,
        },
        Command::RollBack { number: NUMBER },
        Command::Halt { number: NUMBER },
        Command::Resume { number: NUMBER },
        Command::Forget { id: ID },
        Command::EvacuateZone {
            zone: ZONE,
            dry_run: true,
        },
        Command::EvacuateZone {
            zone: ZONE,
            dry_run: false,
        },
        Command::ReturnToZone { zone: ZONE },
        Command::ListZones,
    ]
}

fn status(halt: Option<(HaltReason, u32)>, release: Option<Release>) -> Answer {
    Answer::Status(Status {
        leader: ID,
        members: 301,
        unavailable: 302,
        lost: 303,
        engines: 304,
        engines_unavailable: 305,
        halt,
        release,
        released: 306,
        remaining: 307,
        pairs: 308,
        mean_difference: -0.0625,
    })
}

fn zone_entries() -> Vec<ZoneEntry> {
    let evacuated = ZoneStatus {
        stage: ZoneStage::Evacuated,
        step: 0,
        decision_number: 41,
        reason: Reason::CutOff,
    };
    let recovering = ZoneStatus {
        stage: ZoneStage::Recovering,
        step: 3,
        decision_number: 42,
        reason: Reason::Reached,
    };
    vec![
        ZoneEntry {
            zone: ZONE,
            status: evacuated,
            quota: 0.0,
        },
        ZoneEntry {
            zone: ZONE + 1,
            status: recovering,
            quota: 7.5,
        },
    ]
}

fn halted(reason: HaltReason) -> Answer {
    Answer::Halted {
        reason,
        by: ID,
        number: NUMBER,
    }
}

fn budget_exhausted(scope: Scope) -> Answer {
    Answer::BudgetExhausted {
        scope,
        unavailable: 4,
        max_unavailable: 3,
    }
}

fn answers() -> Vec<Answer> {
    let mut list = ZoneList::default();
    for (slot, entry) in list.iter_mut().zip(zone_entries()) {
        *slot = Some(entry);
    }
    let mut answers = vec![
        Answer::NoLeader,
        Answer::Pending,
        Answer::Granted {
            remaining_ms: 29_000,
        },
        Answer::Done,
        Answer::TooSoon { wait_ms: 1500 },
        Answer::InsufficientCapacity {
            load: 24.0,
            remaining: 20.5,
        },
        Answer::UnknownUnit,
        Answer::OthersFirst,
        Answer::PausedAfterZone,
        Answer::NoSuchRelease,
        Answer::Already,
        Answer::ReleaseInProgress { number: NUMBER },
        Answer::NoPreviousVersion,
        Answer::TooManyCoresEvacuated { fraction: 0.375 },
        Answer::Zones(list),
        status(None, None),
        status(
            Some((HaltReason::Inconclusive, NUMBER)),
            Some(Release {
                number: NUMBER + 1,
                to: 9,
                from: 8,
                stage: ReleaseStage::RollingBack,
            }),
        ),
    ];
    let halts = [
        HaltReason::Operator,
        HaltReason::CanaryWorse,
        HaltReason::BudgetExhausted,
        HaltReason::MembersLost,
        HaltReason::Inconclusive,
    ];
    answers.extend(halts.map(halted));
    answers.extend([Scope::Fleet, Scope::Zone, Scope::Version].map(budget_exhausted));
    let reasons = [
        DisruptionReason::RestartLease,
        DisruptionReason::Drain,
        DisruptionReason::Ejected,
        DisruptionReason::Lost,
        DisruptionReason::Announced,
    ];
    answers.extend(reasons.map(|reason| Answer::AlreadyOut { reason }));
    answers
}

fn zone_report() -> Message {
    let reachabilities = [
        Reachability::Unknown,
        Reachability::Reachable,
        Reachability::Recovering,
        Reachability::Unreachable,
    ];
    let zones = reachabilities
        .into_iter()
        .zip(0..)
        .map(|(reachability, offset)| Evidence {
            zone: ZONE + offset,
            reachability,
            threads: 2.5,
            successes: 0x9192,
            failures: 0xA1A2,
        });
    Message::ZoneReport(MemberReport {
        session: 77,
        sequence_number: NUMBER,
        is_isolated: true,
        zones: zones.collect(),
    })
}

fn samples() -> Vec<(&'static str, Message)> {
    let mut samples = vec![
        ("report", Message::Report(report())),
        (
            "gossip",
            Message::Gossip {
                leader: ID,
                tick: 0x8182_8384,
                records: records(),
            },
        ),
        ("want", Message::RecordsRequest),
        ("hand", Message::Records { records: records() }),
        ("hello", Message::Hello { call: CALL }),
        (
            "nonce",
            Message::Nonce {
                call: CALL,
                nonce: NONCE,
            },
        ),
        ("zone-report", zone_report()),
        (
            "zone-plan",
            Message::ZonePlan(LeaderReply {
                sequence_number: NUMBER,
                zones: zone_entries(),
            }),
        ),
    ];
    for command in commands() {
        samples.push((
            "command",
            Message::Command {
                call: CALL,
                command,
            },
        ));
        samples.push((
            "call",
            Message::Call {
                call: CALL,
                nonce: NONCE,
                command,
            },
        ));
    }
    for answer in answers() {
        samples.push(("answer", Message::Answer { call: CALL, answer }));
    }
    samples
}

#[test]
fn datagrams_of_commit_0fd3fce_are_decoded_and_encoded_to_the_same_bytes() {
    let fixtures = fixture_lines(FIXTURES);
    let samples = samples();
    assert_eq!(fixtures.len(), samples.len());
    for ((name, message), (fixture, expected)) in samples.iter().zip(fixtures) {
        assert_eq!(*name, fixture);
        assert_eq!(to_hex(&encode(message)), expected, "{message:?}");
        assert_eq!(
            decode(&from_hex(expected)).as_ref(),
            Ok(message),
            "{message:?}"
        );
    }
}
