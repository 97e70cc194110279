//! Tests of the rollout controller's decisions without a network: a single voter is its own majority.

use proptest::prelude::*;
use tansymux_coordination::disruption_budget::{DisruptionBudget, Limit, Scope, Unit};
use tansymux_coordination::{
    DisruptionReason, QuorumConfig, QuorumNode, Record, RecordValue, UnitKind, VoterMemory,
    VoterStart,
};
use tansymux_membership::MemberState;
use tansymux_rollout::codec;
use tansymux_rollout::message::{Answer, Command, Message, Report};
use tansymux_rollout::{RolloutConfig, RolloutController};

/// Start of the virtual time (ms).
const START_MS: f64 = 1e12;

/// A leader's voter and controller with members that have reported.
struct LeaderFixture {
    node: QuorumNode,
    controller: RolloutController,
    now_ms: f64,
}

/// Engines in two zones; `is_available` tells by id whether an engine is available.
fn engines(count: u64, is_available: impl Fn(u64) -> bool) -> Vec<Unit> {
    (1..=count)
        .map(|id| Unit {
            id,
            zone: (id % 2) as u32,
            version: 0,
            available: is_available(id),
            capacity: 8.0,
        })
        .collect()
}

/// A voter that is its own majority.
fn voter(config: QuorumConfig, memory: VoterMemory) -> QuorumNode {
    let start = VoterStart {
        memory,
        round: 0,
        seed: 1,
    };
    QuorumNode::new(1, &[1], config, start, START_MS)
}

impl LeaderFixture {
    fn new(config: RolloutConfig, members: u64) -> Self {
        let quorum_config = QuorumConfig {
            max_datagram_delay_ms: 0.0,
            ..QuorumConfig::default()
        };
        let node = voter(quorum_config, VoterMemory::NeverVoted);
        let mut fixture = LeaderFixture {
            node,
            controller: RolloutController::new(config),
            now_ms: START_MS,
        };
        while fixture.node.poll(START_MS).is_some() {}
        fixture
            .controller
            .set_members((1..=members).map(|id| (id, MemberState::Alive)));
        fixture.advance(10_000.0);
        for id in 1..=members {
            fixture.report(
                id,
                Report {
                    zone: (id % 2) as u32 + 1,
                    version: 7,
                    session: 1,
                    ..Report::default()
                },
            );
        }
        fixture
    }

    /// Advances the virtual time, with an evaluation every 100 ms.
    fn advance(&mut self, ms: f64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += 100.0;
            while self.node.poll(self.now_ms).is_some() {}
            self.controller.evaluate(&mut self.node, self.now_ms);
        }
    }

    /// Delivers a report of a member that echoes the current tick.
    fn report(&mut self, id: u64, report: Report) {
        let report = Report {
            echoed_tick: RolloutController::tick(self.now_ms),
            ..report
        };
        self.controller
            .on_report(&self.node, id, report, self.now_ms);
    }

    fn command(&mut self, command: Command) -> Answer {
        self.controller
            .on_command(&mut self.node, command, self.now_ms)
    }

    /// Number of disruption records of one kind of unit and one reason.
    fn disruption_count(&self, kind: UnitKind, reason: DisruptionReason) -> usize {
        let is_counted = |value: &RecordValue| match value {
            RecordValue::Disruption {
                kind: recorded_kind,
                reason: recorded_reason,
                ..
            } => *recorded_kind == kind && *recorded_reason == reason,
            _ => false,
        };
        self.node
            .all_active()
            .filter(|leased| is_counted(&leased.record.value))
            .count()
    }
}

/// A request for a restart lease without a change of the dispatcher's version.
fn request_lease(id: u64, grant_id: u64) -> Command {
    Command::RequestLease {
        id,
        to: 0,
        grant_id,
    }
}

/// Configuration with budgets of at most these numbers of unavailable dispatchers and engines.
fn config(dispatchers: u32, engines: u32) -> RolloutConfig {
    let budget = |max_count| DisruptionBudget {
        fleet: Limit {
            max_count: Some(max_count),
            max_fraction: None,
        },
        ..DisruptionBudget::default()
    };
    RolloutConfig {
        dispatchers: budget(dispatchers),
        engines: budget(engines),
        ..RolloutConfig::default()
    }
}

#[test]
fn engines_drained_by_the_name_service_use_up_the_disruption_budget() {
    let mut fixture = LeaderFixture::new(
        RolloutConfig {
            ejection_witnesses: Some(2),
            ..config(1, 3)
        },
        4,
    );
    fixture.controller.set_engines(&engines(8, |id| id > 4));
    let answer = fixture.command(Command::Drain {
        engine: 6,
        grant_id: 5,
    });
    assert_eq!(
        answer,
        Answer::BudgetExhausted {
            scope: Scope::Fleet,
            unavailable: 4,
            max_unavailable: 3
        }
    );
    // Reports of failures eject no engine either.
    (1..=4).for_each(|id| {
        fixture.report(
            id,
            Report {
                session: 1,
                version: 7,
                failing_engine: 6,
                ..Report::default()
            },
        )
    });
    fixture.advance(1000.0);
    assert_eq!(
        fixture.disruption_count(UnitKind::Engine, DisruptionReason::Ejected),
        0
    );
    // The drained engines are available again, so the budget allows the drain.
    fixture.controller.set_engines(&engines(8, |_| true));
    assert_eq!(
        fixture.command(Command::Drain {
            engine: 6,
            grant_id: 5
        }),
        Answer::Done
    );
}

#[test]
fn two_hundred_simultaneous_failure_reports_eject_no_more_engines_than_the_budget_allows() {
    let mut fixture = LeaderFixture::new(
        RolloutConfig {
            ejection_witnesses: Some(3),
            ejection_term_ms: 20_000.0,
            ..config(1, 1)
        },
        200,
    );
    fixture.controller.set_engines(&engines(8, |_| true));
    // Only member 7 reports engine 5. About half of the others report engine 2, and the rest engine 3.
    for id in 1..=200 {
        let failing_engine = if id == 7 { 5 } else { 2 + id % 2 };
        fixture.report(
            id,
            Report {
                session: 1,
                version: 7,
                failing_engine,
                ..Report::default()
            },
        );
    }
    fixture.advance(2000.0);
    assert_eq!(
        fixture.disruption_count(UnitKind::Engine, DisruptionReason::Ejected),
        1
    );
    assert!(fixture
        .node
        .active(Record::unit_key(UnitKind::Engine, 5))
        .is_none());
    // The ejection expires.
    fixture.advance(30_000.0);
    assert_eq!(
        fixture.disruption_count(UnitKind::Engine, DisruptionReason::Ejected),
        0
    );
}

#[test]
fn drain_is_refused_with_load_and_capacity_if_the_other_engines_could_not_carry_the_load() {
    let mut fixture = LeaderFixture::new(config(1, 4), 2);
    fixture.controller.set_engines(&engines(4, |_| true));
    (1..=2).for_each(|id| {
        fixture.report(
            id,
            Report {
                session: 1,
                version: 7,
                threads: 12.0,
                ..Report::default()
            },
        )
    });
    let answer = fixture.command(Command::Drain {
        engine: 1,
        grant_id: 5,
    });
    assert_eq!(
        answer,
        Answer::InsufficientCapacity {
            load: 24.0,
            remaining: 24.0
        }
    );
}

#[test]
fn lease_ends_once_the_dispatcher_restarted_under_it_but_not_after_a_crash_of_the_dispatcher() {
    let mut fixture = LeaderFixture::new(config(1, 1), 3);
    let lease = request_lease(2, 99);
    assert!(matches!(fixture.command(lease), Answer::Granted { .. }));
    assert!(matches!(
        fixture.command(request_lease(3, 98)),
        Answer::BudgetExhausted { .. }
    ));
    fixture.advance(1000.0);
    // The dispatcher crashed and came back before its lease was used. The holder of the lease may still use it.
    fixture.report(
        2,
        Report {
            zone: 1,
            version: 7,
            session: 2,
            ..Report::default()
        },
    );
    fixture.advance(1000.0);
    assert_eq!(
        fixture.disruption_count(UnitKind::Dispatcher, DisruptionReason::RestartLease),
        1
    );
    fixture.report(
        2,
        Report {
            zone: 1,
            version: 7,
            session: 3,
            grant_id: 99,
            ..Report::default()
        },
    );
    fixture.advance(1000.0);
    assert_eq!(
        fixture.disruption_count(UnitKind::Dispatcher, DisruptionReason::RestartLease),
        0
    );
    assert!(matches!(
        fixture.command(request_lease(3, 98)),
        Answer::Granted { .. }
    ));
}

#[test]
fn dispatcher_that_does_not_rejoin_counts_as_lost_until_it_is_forgotten() {
    let mut fixture = LeaderFixture::new(config(1, 1), 3);
    assert!(matches!(
        fixture.command(request_lease(2, 99)),
        Answer::Granted { .. }
    ));
    fixture.controller.set_members(
        [
            (1, MemberState::Alive),
            (2, MemberState::Left),
            (3, MemberState::Alive),
        ]
        .into_iter(),
    );
    fixture.advance(60_000.0);
    assert_eq!(
        (
            fixture.disruption_count(UnitKind::Dispatcher, DisruptionReason::RestartLease),
            fixture.disruption_count(UnitKind::Dispatcher, DisruptionReason::Lost)
        ),
        (0, 1)
    );
    assert!(matches!(
        fixture.command(request_lease(3, 98)),
        Answer::BudgetExhausted { .. }
    ));
    assert_eq!(fixture.command(Command::Forget { id: 2 }), Answer::Pending);
    assert_eq!(fixture.command(Command::Forget { id: 2 }), Answer::Done);
    assert!(matches!(
        fixture.command(request_lease(3, 98)),
        Answer::Granted { .. }
    ));
}

#[test]
fn halt_ends_by_its_own_number_only_and_a_repeated_command_has_no_further_effect() {
    let mut fixture = LeaderFixture::new(config(1, 1), 3);
    assert_eq!(fixture.command(Command::Halt { number: 5 }), Answer::Done);
    assert!(matches!(
        fixture.command(request_lease(2, 1)),
        Answer::Halted { number: 5, .. }
    ));
    assert!(matches!(
        fixture.command(Command::Resume { number: 4 }),
        Answer::Halted { number: 5, .. }
    ));
    fixture.command(Command::Resume { number: 5 });
    assert_eq!(fixture.command(Command::Resume { number: 5 }), Answer::Done);
    assert_eq!(fixture.command(Command::Halt { number: 6 }), Answer::Done);
    // A delayed resume of the first halt does not end the second one.
    assert!(matches!(
        fixture.command(Command::Resume { number: 5 }),
        Answer::Halted { number: 6, .. }
    ));
}

#[test]
fn new_leader_decides_nothing_before_it_has_collected_reports() {
    let quorum_config = QuorumConfig {
        max_datagram_delay_ms: 0.0,
        ..QuorumConfig::default()
    };
    let mut node = voter(quorum_config, VoterMemory::MayBeLost);
    let mut controller = RolloutController::new(config(1, 1));
    let get_status = |now_ms: f64, node: &mut QuorumNode, controller: &mut RolloutController| {
        while node.poll(now_ms).is_some() {}
        controller.evaluate(node, now_ms);
        controller.on_command(node, Command::Status, now_ms)
    };
    let mut now_ms = START_MS;
    let settled_after_ms = loop {
        now_ms += 500.0;
        if get_status(now_ms, &mut node, &mut controller) != Answer::NoLeader {
            break now_ms - START_MS;
        }
    };
    assert!(
        settled_after_ms >= quorum_config.quarantine_ms() + 3000.0,
        "{settled_after_ms}"
    );
}

proptest! {
    #[test]
    fn decoders_never_panic_and_read_what_the_encoders_write(bytes in proptest::collection::vec(any::<u8>(), 0..260), call: u64, number: u32) {
        let _ = codec::decode(&bytes);
        let _ = tansymux_coordination::codec::decode(&bytes);
        for code in 16..26 {
            let framed: Vec<u8> = [&[code], bytes.as_slice()].concat();
            if let Ok(decoded) = codec::decode(&framed) {
                let reencoded = codec::encode(&decoded);
                prop_assert!(reencoded.len() <= tansymux_coordination::codec::MAX_DATAGRAM_BYTES);
                prop_assert_eq!(codec::decode(&reencoded), Ok(decoded));
            }
        }
        let command = Message::Command { call, command: Command::Release { number, to: number ^ 1, from: 3 } };
        prop_assert_eq!(codec::decode(&codec::encode(&command)), Ok(command));
    }
}
