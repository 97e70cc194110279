//! Service levels in virtual time: loads that oscillate around thresholds, joining and lost peers, clock jumps and
//! changes of configuration. Most runs check every change of level against the invariants.

mod fleet;
mod invariants;

use fleet::Fleet;
use invariants::{run_load, three_levels, Invariants, EVALUATION_MS};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tansymux_service_levels::{Condition, Config, Degradation, LevelStateMachine, Reason, Signal};

#[test]
fn configuration_of_these_tests_is_valid() {
    assert_eq!(three_levels().validate(), []);
}

#[test]
fn loads_oscillating_around_each_threshold_keep_the_invariants() {
    for threshold in [0.3, 0.4, 0.5, 0.6, 0.7, 0.8] {
        for period in [
            1.0, 2.0, 5.0, 7.0, 13.0, 30.0, 47.0, 60.0, 61.0, 90.0, 121.0, 240.0,
        ]
        .map(|s| s * 1000.0)
        {
            for amplitude in [0.02, 0.1, 0.4] {
                let phase = |t: f64| t / period * std::f64::consts::TAU;
                run_load(&three_levels(), |t| threshold + amplitude * phase(t).sin());
                run_load(&three_levels(), |t| {
                    threshold + amplitude * phase(t).sin().signum()
                });
                run_load(&three_levels(), |t| {
                    threshold + amplitude * (2.0 * (t / period).fract() - 1.0)
                });
            }
        }
    }
}

#[test]
fn noise_and_random_walks_keep_the_invariants() {
    for seed in 0..1000 {
        let mut rng = Pcg32::seed_from_u64(seed);
        if seed % 2 == 0 {
            let (mean, deviation) = (rng.random_range(0.2..0.9), rng.random_range(0.01..0.5));
            let mut plateau = (0.0, mean);
            run_load(&three_levels(), |t| {
                if t >= plateau.0 {
                    plateau = (
                        t + rng.random_range(0.0..20_000.0),
                        mean + rng.random_range(-deviation..deviation),
                    );
                }
                plateau.1
            });
        } else {
            let mut position: f64 = 0.5;
            run_load(&three_levels(), |_| {
                position = (position + rng.random_range(-0.02..0.02)).clamp(0.0, 1.0);
                position
            });
        }
    }
}

#[test]
fn periods_close_to_the_minimum_stay_and_change_interval_cause_no_extra_changes() {
    for period in [
        20_000.0, 23_000.0, 28_000.0, 60_000.0, 60_500.0, 60_600.0, 61_000.0, 66_000.0, 69_000.0,
    ] {
        for duty in [0.1, 0.3, 0.5, 0.9] {
            let (changes, deepest) = run_load(&three_levels(), |t| {
                if (t / period).fract() < duty {
                    0.95
                } else {
                    0.05
                }
            });
            assert!(changes <= 3 * 11, "{changes}");
            assert!(deepest <= 3);
        }
    }
}

#[test]
fn constant_load_leads_to_its_level_without_extra_changes() {
    for (load, depth) in [(0.2, 0), (0.45, 1), (0.65, 2), (0.95, 3)] {
        let mut machine = LevelStateMachine::new(three_levels());
        let mut changes = 0;
        for n in 0..6000 {
            changes += usize::from(
                machine
                    .evaluate(&[load], f64::from(n) * EVALUATION_MS)
                    .is_some(),
            );
        }
        assert_eq!(machine.depth(), depth, "{load}");
        assert!(changes <= depth, "{changes} at {load}");
    }
}

#[test]
fn level_is_entered_only_after_an_uninterrupted_hold_time() {
    let mut machine = LevelStateMachine::new(three_levels());
    let mut entered = None;
    for n in 0..200 {
        let now = f64::from(n) * EVALUATION_MS;
        // High from 5 s on, except for one reading at 7 s.
        let load = if now < 5000.0 || now == 7000.0 {
            0.1
        } else {
            0.5
        };
        if machine.evaluate(&[load], now).is_some() {
            entered = Some(now);
            break;
        }
    }
    assert_eq!(entered, Some(10_000.0));
}

#[test]
fn one_engine_of_eight_with_fluctuating_pressure_changes_no_level() {
    let mut rng = Pcg32::seed_from_u64(1);
    let (changes, _) = run_load(&three_levels(), |_| {
        if rng.random_bool(0.5) {
            1.0 / 8.0
        } else {
            0.0
        }
    });
    assert_eq!(changes, 0);
}

#[test]
fn levels_are_left_in_order_while_engines_warm_up() {
    let mut machine = LevelStateMachine::new(three_levels());
    let mut depths = vec![0];
    for n in 0..9000 {
        let now = f64::from(n) * EVALUATION_MS;
        // High pressure for four minutes; then it decreases as an engine that has returned warms up.
        let load = if now < 5000.0 {
            0.1
        } else if now < 240_000.0 {
            0.9
        } else {
            (0.9 - (now - 240_000.0) / 120_000.0).max(0.05)
        };
        if let Some(change) = machine.evaluate(&[load], now) {
            depths.push(change.to);
        }
    }
    assert_eq!(depths, [0, 1, 2, 3, 2, 1, 0]);
}

#[test]
fn missing_signal_enters_no_level_and_clears_after_its_timeout() {
    let run = |missing: f64| {
        let mut machine = LevelStateMachine::new(three_levels());
        let mut depths = vec![0];
        for n in 0..4000 {
            let now = f64::from(n) * EVALUATION_MS;
            let load = if now < 20_000.0 { 0.5 } else { missing };
            let readings = if now > 100_000.0 { vec![] } else { vec![load] };
            if let Some(change) = machine.evaluate(&readings, now) {
                depths.push(change.to);
            }
        }
        depths
    };
    assert_eq!(run(f64::NAN), [0, 1, 0]);
    // An infinite reading is a reading: it exceeds all thresholds.
    assert_eq!(run(f64::INFINITY)[..3], [0, 1, 2]);
    // Without any engine the fraction is NaN from the start on.
    let mut machine = LevelStateMachine::new(three_levels());
    assert!((0..3000).all(|n| machine
        .evaluate(&[f64::NAN], f64::from(n) * EVALUATION_MS)
        .is_none()));
}

#[test]
fn clock_jumps_and_pauses_keep_the_invariants() {
    for seed in 0..200 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let (mut machine, mut invariants, mut now) = (
            LevelStateMachine::new(three_levels()),
            Invariants::new(),
            1e9,
        );
        for _ in 0..4000 {
            now += match rng.random_range(0..100) {
                0 => rng.random_range(0.0..300_000.0),
                1 => -rng.random_range(0.0..100_000.0),
                _ => EVALUATION_MS,
            };
            let load = if rng.random_bool(0.5) { 0.9 } else { 0.1 };
            invariants.check(machine.evaluate(&[load], now));
        }
    }
    // A pause does not count towards the hold time, which starts again after it.
    let mut machine = LevelStateMachine::new(three_levels());
    (0..40).for_each(|n| {
        drop(
            machine
                .evaluate(&[0.1], f64::from(n) * EVALUATION_MS)
                .cloned(),
        )
    });
    assert!(machine.evaluate(&[0.5], 5000.0).is_none());
    assert!(machine.evaluate(&[0.5], 600_000.0).is_none());
    assert!(machine.evaluate(&[0.5], 602_000.0).is_none());
    assert!(machine.evaluate(&[0.5], 603_000.0).is_some());
}

#[test]
fn peers_agree_on_the_median_so_that_one_alone_changes_no_level() {
    let mut fleet = Fleet::new(5);
    // One dispatcher reads a high load, four a low one.
    fleet.run(
        300_000.0,
        |n, _| if n == 0 { 0.95 } else { 0.1 },
        |_, _| true,
        0.2,
    );
    assert_eq!(fleet.depths(), [0; 5]);
    // Three of five read a high load: all enter the level.
    fleet.run(
        300_000.0,
        |n, _| if n < 3 { 0.65 } else { 0.1 },
        |_, _| true,
        0.2,
    );
    assert_eq!(fleet.depths(), [2; 5]);
    fleet.run(400_000.0, |_, _| 0.1, |_, _| true, 0.2);
    assert_eq!(fleet.depths(), [0; 5]);
}

#[test]
fn dispatchers_agree_within_their_side_of_a_partition() {
    let mut fleet = Fleet::new(6);
    fleet.run(300_000.0, |_, _| 0.65, |_, _| true, 0.0);
    assert_eq!(fleet.depths(), [2; 6]);
    // A partition into halves: each half agrees by its own readings.
    let halves = |a: usize, b: usize| a / 3 == b / 3;
    fleet.run(
        400_000.0,
        |n, _| if n < 3 { 0.65 } else { 0.1 },
        halves,
        0.0,
    );
    assert_eq!(fleet.depths(), [2, 2, 2, 0, 0, 0]);
    // No messages arrive: each dispatcher decides by its own readings.
    fleet.run(
        400_000.0,
        |n, _| if n % 2 == 0 { 0.45 } else { 0.1 },
        |_, _| false,
        0.0,
    );
    assert_eq!(fleet.depths(), [1, 0, 1, 0, 1, 0]);
}

#[test]
fn level_wanted_by_lost_peers_is_left_only_after_the_hold_time() {
    let mut fleet = Fleet::new(3);
    // Two dispatchers want a level, the third only follows them.
    fleet.run(
        200_000.0,
        |n, _| if n < 2 { 0.45 } else { 0.1 },
        |_, _| true,
        0.0,
    );
    assert_eq!(fleet.depths(), [1, 1, 1]);
    let lost_at_ms = fleet.now_ms;
    // The messages of the two stop. The third reads a low load: it returns to full service, but only after the hold
    // time has passed again since the loss of its peers.
    let mut left_after_ms = None;
    while left_after_ms.is_none() && fleet.now_ms - lost_at_ms < 200_000.0 {
        fleet.run(
            EVALUATION_MS,
            |n, _| if n < 2 { 0.45 } else { 0.1 },
            |from, _| from == 2,
            0.0,
        );
        left_after_ms = (fleet.machines[2].depth() == 0).then_some(fleet.now_ms - lost_at_ms);
    }
    let left_after_ms =
        left_after_ms.expect("the third dispatcher leaves the level after the loss of its peers");
    // The last reports were up to 4 s old, and expired after 20 s; the hold time is 5 s.
    assert!(left_after_ms > 16_000.0 + 5000.0, "{left_after_ms}");
    // A dispatcher that reads a high load itself stays at the level.
    assert_eq!(fleet.machines[0].depth(), 1);
}

#[test]
fn expired_repeated_foreign_and_malformed_messages_are_ignored() {
    let mut machine = LevelStateMachine::new(three_levels());
    let mut other = LevelStateMachine::new(three_levels());
    for n in 0..400 {
        machine.evaluate(&[0.1], f64::from(n) * EVALUATION_MS);
        other.evaluate(&[0.95], f64::from(n) * EVALUATION_MS);
        // The machine receives one message fifty times, whose report then expires, and in every step a message with
        // another fingerprint and an empty message.
        if n == 60 {
            let repeated = other.poll_message(6000.0).unwrap();
            (0..50).for_each(|_| machine.handle_peer_message(1, &repeated, 6000.0));
        }
        machine.handle_peer_message(
            2,
            &[2, 1, 0, 0, 3, 3, 0, n as u8],
            f64::from(n) * EVALUATION_MS,
        );
        machine.handle_peer_message(3, b"", f64::from(n) * EVALUATION_MS);
    }
    assert_eq!((machine.depth(), machine.status().peer_count), (0, 0));
}

#[test]
fn new_instance_starts_at_the_depth_of_its_peers_or_of_its_own_signals() {
    let mut fleet = Fleet::new(4);
    fleet.run(300_000.0, |_, _| 0.65, |_, _| true, 0.0);
    // One dispatcher of a fleet at depth 2 restarts, without load at first.
    (fleet.machines[3], fleet.invariants[3]) =
        (LevelStateMachine::new(three_levels()), Invariants::new());
    fleet.run(
        9000.0,
        |n, _| if n == 3 { 0.0 } else { 0.65 },
        |_, _| true,
        0.0,
    );
    assert_eq!(fleet.depths(), [2; 4]);
    let mut alone = LevelStateMachine::new(three_levels());
    for n in 0..30 {
        alone.evaluate(&[0.65], f64::from(n) * EVALUATION_MS);
    }
    assert_eq!(
        (alone.depth(), &alone.history()[0].reason),
        (2, &Reason::Startup { peers: 0 })
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn reconfiguration_removes_reorders_or_redefines_the_level_in_force() {
    let machine_under_load = |load: f64| {
        let mut machine = LevelStateMachine::new(three_levels());
        (0..2000).for_each(|n| {
            drop(
                machine
                    .evaluate(&[load], f64::from(n) * EVALUATION_MS)
                    .cloned(),
            )
        });
        machine
    };
    let names = |config: &Config| {
        config
            .levels
            .iter()
            .map(|level| level.name.clone())
            .collect::<Vec<_>>()
    };
    // The level in force is removed.
    let mut machine = machine_under_load(0.65);
    let mut without_second = three_levels();
    without_second.levels.remove(1);
    let change = machine
        .reconfigure(without_second, 200_000.0)
        .cloned()
        .unwrap();
    assert_eq!(
        (
            change.from,
            change.to,
            machine.level_name(machine.depth()).to_owned()
        ),
        (2, 1, "spare".to_owned())
    );
    // All levels are removed.
    let mut machine = machine_under_load(0.95);
    machine.reconfigure(Config::default(), 200_000.0);
    assert_eq!(
        (
            machine.depth(),
            machine.level_name(0),
            machine.degradation()
        ),
        (0, "full", Degradation::default())
    );
    assert!(machine.evaluate(&[], 300_000.0).is_none());
    // The order changes: the level in force stays in force.
    let mut machine = machine_under_load(0.65);
    let mut reordered = three_levels();
    reordered.levels.swap(0, 1);
    machine.reconfigure(reordered.clone(), 200_000.0);
    assert_eq!(
        (machine.depth(), names(&reordered)[0].as_str()),
        (2, "short")
    );
    // The thresholds change: the level must clear by the new thresholds.
    let mut machine = machine_under_load(0.45);
    let mut lower_threshold = three_levels();
    lower_threshold.levels[0].enter.all[0].leave_threshold = 0.1;
    assert!(machine.reconfigure(lower_threshold, 200_000.0).is_none());
    for n in 0..1000 {
        machine.evaluate(&[0.2], 200_000.0 + f64::from(n) * EVALUATION_MS);
    }
    assert_eq!(machine.depth(), 1);
    // Levels are added: a new level must not change for a minute.
    let mut machine = LevelStateMachine::new(Config::default());
    machine.evaluate(&[], 0.0);
    machine.evaluate(&[], 3000.0);
    machine.reconfigure(three_levels(), 4000.0);
    let entered = (0..2000)
        .map(|n| 4000.0 + f64::from(n) * EVALUATION_MS)
        .find(|now| machine.evaluate(&[0.95], *now).is_some());
    assert!(entered.unwrap() >= 64_000.0, "{entered:?}");
}

#[test]
fn pin_is_reached_step_by_step_and_ends_at_its_time() {
    let mut machine = LevelStateMachine::new(three_levels());
    let mut invariants = Invariants::new();
    let mut depths = Vec::new();
    for n in 0..10_000 {
        let now = f64::from(n) * EVALUATION_MS;
        if n == 100 {
            assert!(!machine.pin(Some("unknown"), 1e9));
            assert!(machine.pin(Some("bare"), 300_000.0));
        }
        let change = machine.evaluate(&[0.1], now).cloned();
        invariants.check(change.as_ref());
        depths.extend(change.map(|change| (change.to, change.at_ms)));
    }
    let order: Vec<usize> = depths.iter().map(|(to, _)| *to).collect();
    assert_eq!(order, [1, 2, 3, 2, 1, 0]);
    assert!(depths[3].1 >= 300_000.0);
    // Full service can be pinned as well.
    let mut machine = LevelStateMachine::new(three_levels());
    machine.pin(Some("full"), 1e9);
    assert!((0..3000).all(|n| machine
        .evaluate(&[0.95], f64::from(n) * EVALUATION_MS)
        .is_none()
        || n < 40));
}

#[test]
fn invalid_configurations_are_rejected_with_the_reason() {
    let errors_of = |change: fn(&mut Config)| {
        let mut config = three_levels();
        change(&mut config);
        let errors = config.validate();
        errors
            .iter()
            .map(|error| {
                format!(
                    "{}.{}: {}, {}",
                    error.level, error.key, error.found, error.allowed
                )
            })
            .collect::<Vec<_>>()
            .join("; ")
    };
    for (expected, change) in [
        (
            "would flap",
            (|d| d.levels[0].enter.all[0].leave_threshold = 0.39) as fn(&mut Config),
        ),
        ("could not be left", |d| {
            d.levels[0].enter.all[0].leave_threshold = 0.0
        }),
        ("never be entered", |d| {
            d.levels[2].enter.all[0].enter_threshold = 1.2
        }),
        ("0.enter: missing", |d| {
            d.levels[0].enter = Condition::default()
        }),
        ("\"spare\" a second time", |d| {
            d.levels[1].name = "spare".into()
        }),
        ("0.name: \"full\"", |d| d.levels[0].name = "full".into()),
        ("1.enter: entered no later than \"spare\"", |d| {
            d.levels[1].enter = d.levels[0].enter.clone()
        }),
        ("1.act.bounds: milder", |d| {
            d.levels[1].degradation.concurrency_factor = 0.9
        }),
        ("1.act: the same", |d| {
            d.levels[1].degradation.concurrency_factor = 0.8
        }),
        ("0.act: without effect", |d| {
            d.levels[0].degradation.concurrency_factor = 1.0
        }),
        ("held by rejections alone", |d| {
            d.levels[0].enter.all[0].signal = Signal::RejectedQueries(None)
        }),
        ("would flap", |d| {
            d.levels[0].enter.all[0].enter_threshold = f64::NAN
        }),
    ] {
        assert!(
            errors_of(change).contains(expected),
            "{expected}: {}",
            errors_of(change)
        );
    }
}
