//! What the leader decides, without a network: one voter that agrees with itself.

use proptest::prelude::*;
use tansymux_coordination::limits::{Bounds, Limit, Scope, Unit};
use tansymux_coordination::{Kind, QuorumNode, Record, Terms, Value, Why};
use tansymux_membership::MemberState as State;
use tansymux_rollout::message::{self, Answer, Command, Message, Report};
use tansymux_rollout::{RolloutController, Told};

const T0: f64 = 1e12;

struct Desk {
    council: QuorumNode,
    steward: RolloutController,
    now: f64,
}

fn engines(many: u64, ready: impl Fn(u64) -> bool) -> Vec<Unit> {
    (1..=many)
        .map(|id| Unit {
            id,
            zone: (id % 2) as u32,
            version: 0,
            there: ready(id),
            capacity: 8.0,
        })
        .collect()
}

impl Desk {
    fn new(told: Told, members: u64) -> Self {
        let terms = Terms {
            late: 0.0,
            ..Terms::default()
        };
        let council = QuorumNode::new(1, &[1], terms, T0, true, 0, 1);
        let mut desk = Desk {
            council,
            steward: RolloutController::new(told),
            now: T0,
        };
        desk.council.poll(T0);
        desk.steward
            .members((1..=members).map(|id| (id, State::Alive)));
        desk.goes_on(10_000.0);
        for id in 1..=members {
            desk.reports(
                id,
                Report {
                    zone: (id % 2) as u32 + 1,
                    version: 7,
                    session: 1,
                    ..Report::default()
                },
            );
        }
        desk
    }

    fn goes_on(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 100.0;
            self.council.poll(self.now);
            self.steward.look(self.now, &mut self.council);
        }
    }

    fn reports(&mut self, id: u64, report: Report) {
        let report = Report {
            echo: RolloutController::tick(self.now),
            ..report
        };
        self.steward.report(self.now, &self.council, id, report);
    }

    fn asks(&mut self, command: Command) -> Answer {
        self.steward.command(self.now, &mut self.council, command)
    }

    fn out(&self, kind: Kind, why: Why) -> usize {
        let of = |value: &Value| matches!(value, Value::Out { kind: k, why: w, .. } if *k == kind && *w == why);
        self.council
            .all_standing()
            .filter(|(record, _)| of(&record.value))
            .count()
    }
}

fn told(dispatchers: u32, engines: u32) -> Told {
    let bounds = |most| Bounds {
        fleet: Limit {
            number: Some(most),
            part: None,
        },
        ..Bounds::default()
    };
    Told {
        dispatchers: bounds(dispatchers),
        engines: bounds(engines),
        ..Told::default()
    }
}

#[test]
fn half_of_the_engines_drained_by_the_name_service_use_the_limit_up() {
    let mut desk = Desk::new(
        Told {
            witnesses: Some(2),
            ..told(1, 3)
        },
        4,
    );
    desk.steward.engines(&engines(8, |id| id > 4));
    let answer = desk.asks(Command::Drain {
        engine: 6,
        grant: 5,
    });
    assert_eq!(
        answer,
        Answer::Full {
            scope: Scope::Fleet,
            out: 4,
            most: 3
        }
    );
    // Nor is one put out, whoever finds it bad.
    (1..=4).for_each(|id| {
        desk.reports(
            id,
            Report {
                session: 1,
                version: 7,
                bad: 6,
                ..Report::default()
            },
        )
    });
    desk.goes_on(1000.0);
    assert_eq!(desk.out(Kind::Engine, Why::Ejected), 0);
    // They are back: now there is room.
    desk.steward.engines(&engines(8, |_| true));
    assert_eq!(
        desk.asks(Command::Drain {
            engine: 6,
            grant: 5
        }),
        Answer::Done
    );
}

#[test]
fn two_hundred_that_see_the_same_bad_answers_at_once_put_one_engine_out_and_no_more_than_the_limit()
{
    let mut desk = Desk::new(
        Told {
            witnesses: Some(3),
            ejected: 20_000.0,
            ..told(1, 1)
        },
        200,
    );
    desk.steward.engines(&engines(8, |_| true));
    // Half blame one engine, half another one, and one alone a third.
    for id in 1..=200 {
        let bad = if id == 7 { 5 } else { 2 + id % 2 };
        desk.reports(
            id,
            Report {
                session: 1,
                version: 7,
                bad,
                ..Report::default()
            },
        );
    }
    desk.goes_on(2000.0);
    assert_eq!(desk.out(Kind::Engine, Why::Ejected), 1);
    assert!(desk
        .council
        .standing(Record::key_of(Kind::Engine, 5))
        .is_none());
    // It comes back by itself, and then the other one may go.
    desk.goes_on(30_000.0);
    assert_eq!(desk.out(Kind::Engine, Why::Ejected), 0);
}

#[test]
fn an_engine_whose_loss_the_others_would_not_carry_is_refused_with_the_figures() {
    let mut desk = Desk::new(told(1, 4), 2);
    desk.steward.engines(&engines(4, |_| true));
    (1..=2).for_each(|id| {
        desk.reports(
            id,
            Report {
                session: 1,
                version: 7,
                threads: 12.0,
                ..Report::default()
            },
        )
    });
    let answer = desk.asks(Command::Drain {
        engine: 1,
        grant: 5,
    });
    assert_eq!(
        answer,
        Answer::NotCarried {
            load: 24.0,
            left: 24.0
        }
    );
}

#[test]
fn a_turn_is_free_again_once_its_holder_is_back_under_it_and_not_for_another_life() {
    let mut desk = Desk::new(told(1, 1), 3);
    let turn = Command::Turn {
        id: 2,
        to: 0,
        grant: 99,
    };
    assert!(matches!(desk.asks(turn), Answer::Granted { .. }));
    assert!(matches!(
        desk.asks(Command::Turn {
            id: 3,
            to: 0,
            grant: 98
        }),
        Answer::Full { .. }
    ));
    desk.goes_on(1000.0);
    // It crashed and came back before its turn was used: whoever has the turn may still use it.
    desk.reports(
        2,
        Report {
            zone: 1,
            version: 7,
            session: 2,
            ..Report::default()
        },
    );
    desk.goes_on(1000.0);
    assert_eq!(desk.out(Kind::Dispatcher, Why::Turn), 1);
    desk.reports(
        2,
        Report {
            zone: 1,
            version: 7,
            session: 3,
            turn: 99,
            ..Report::default()
        },
    );
    desk.goes_on(1000.0);
    assert_eq!(desk.out(Kind::Dispatcher, Why::Turn), 0);
    assert!(matches!(
        desk.asks(Command::Turn {
            id: 3,
            to: 0,
            grant: 98
        }),
        Answer::Granted { .. }
    ));
}

#[test]
fn one_that_does_not_come_back_is_lost_and_counts_until_it_is_there_or_forgotten() {
    let mut desk = Desk::new(told(1, 1), 3);
    assert!(matches!(
        desk.asks(Command::Turn {
            id: 2,
            to: 0,
            grant: 99
        }),
        Answer::Granted { .. }
    ));
    desk.steward
        .members([(1, State::Alive), (2, State::Left), (3, State::Alive)].into_iter());
    desk.goes_on(60_000.0);
    assert_eq!(
        (
            desk.out(Kind::Dispatcher, Why::Turn),
            desk.out(Kind::Dispatcher, Why::Lost)
        ),
        (0, 1)
    );
    assert!(matches!(
        desk.asks(Command::Turn {
            id: 3,
            to: 0,
            grant: 98
        }),
        Answer::Full { .. }
    ));
    assert_eq!(desk.asks(Command::Forget { id: 2 }), Answer::Pending);
    assert_eq!(desk.asks(Command::Forget { id: 2 }), Answer::Done);
    assert!(matches!(
        desk.asks(Command::Turn {
            id: 3,
            to: 0,
            grant: 98
        }),
        Answer::Granted { .. }
    ));
}

#[test]
fn a_halt_ends_by_its_own_number_only_and_a_command_that_comes_twice_does_nothing_twice() {
    let mut desk = Desk::new(told(1, 1), 3);
    assert_eq!(desk.asks(Command::Halt { number: 5 }), Answer::Done);
    assert!(matches!(
        desk.asks(Command::Turn {
            id: 2,
            to: 0,
            grant: 1
        }),
        Answer::Halted { number: 5, .. }
    ));
    assert!(matches!(
        desk.asks(Command::Resume { number: 4 }),
        Answer::Halted { number: 5, .. }
    ));
    desk.asks(Command::Resume { number: 5 });
    assert_eq!(desk.asks(Command::Resume { number: 5 }), Answer::Done);
    assert_eq!(desk.asks(Command::Halt { number: 6 }), Answer::Done);
    // The first one's end, come late, does not end the second.
    assert!(matches!(
        desk.asks(Command::Resume { number: 5 }),
        Answer::Halted { number: 6, .. }
    ));
}

#[test]
fn nobody_leads_before_it_has_listened() {
    let terms = Terms {
        late: 0.0,
        ..Terms::default()
    };
    let mut council = QuorumNode::new(1, &[1], terms, T0, false, 0, 1);
    let mut steward = RolloutController::new(told(1, 1));
    let asks = |now: f64, council: &mut QuorumNode, steward: &mut RolloutController| {
        council.poll(now);
        steward.look(now, council);
        steward.command(now, council, Command::Status)
    };
    let mut now = T0;
    let first = loop {
        now += 500.0;
        if asks(now, &mut council, &mut steward) != Answer::NoLeader {
            break now - T0;
        }
    };
    assert!(first >= terms.quarantine() + 3000.0, "{first}");
}

proptest! {
    #[test]
    fn no_bytes_make_the_readers_panic_and_what_is_written_is_read(bytes in proptest::collection::vec(any::<u8>(), 0..260), call: u64, number: u32) {
        let _ = message::read(&bytes);
        let _ = tansymux_coordination::wire::read(&bytes);
        for code in 16..26 {
            let framed: Vec<u8> = [&[code], bytes.as_slice()].concat();
            if let Some(read) = message::read(&framed) {
                let again = message::write(&read);
                prop_assert!(again.len() <= tansymux_coordination::wire::MOST);
                prop_assert_eq!(message::read(&again), Some(read));
            }
        }
        let command = Message::Command { call, command: Command::Release { number, to: number ^ 1, from: 3 } };
        prop_assert_eq!(message::read(&message::write(&command)), Some(command));
    }
}
