//! Tests of learned costs.

use super::engine_slowdown::MAX_ENGINES;
use super::*;

const PRIOR: PriorCost = PriorCost {
    class: Class::LookUp,
    cost_ms: 20.0,
};

const EXECUTION: Execution = Execution {
    ended_at_ms: 0.0,
    engine_id: 1,
    latency_ms: 10.0,
    threads: 1.0,
    end: ExecutionEnd::Completed,
    waited: false,
    warming_up: false,
};

fn cost_model() -> CostModel {
    CostModel::new(CostModelConfig::default(), 64)
}

fn cost(model: &mut CostModel, shape: u128, now: f64) -> f64 {
    model.estimate(shape, PRIOR, 8.0, now).cost_ms
}

fn after(model: &mut CostModel, shape: u128, samples: usize, execution: Execution) -> f64 {
    (0..samples).for_each(|_| model.record(shape, PRIOR, &execution));
    cost(model, shape, execution.ended_at_ms)
}

#[test]
fn one_outlier_moves_an_estimate_little_and_a_changed_cost_is_followed() {
    let mut model = cost_model();
    let usual = after(&mut model, 1, 20, EXECUTION);
    assert!((usual / 10.0 - 1.0).abs() < 0.05, "{usual}");
    let once = after(
        &mut model,
        1,
        1,
        Execution {
            latency_ms: 1000.0,
            ..EXECUTION
        },
    );
    assert!(once < 11.0, "{once}");
    after(&mut model, 1, 1, EXECUTION);
    let changed = after(
        &mut model,
        1,
        3,
        Execution {
            latency_ms: 1000.0,
            engine_id: 2,
            ..EXECUTION
        },
    );
    assert!((changed / 1000.0 - 1.0).abs() < 0.2, "{changed}");
}

#[test]
fn confidence_grows_with_samples_and_falls_with_age_and_scatter() {
    let mut model = cost_model();
    let confidence = |model: &mut CostModel, now| model.estimate(1, PRIOR, 8.0, now).confidence;
    assert!(confidence(&mut model, 0.0) < 0.01);
    after(&mut model, 1, 1, EXECUTION);
    let one = confidence(&mut model, 0.0);
    after(&mut model, 1, 20, EXECUTION);
    let many = confidence(&mut model, 0.0);
    assert!(0.1 < one && one < 0.3 && many > 0.7, "{one} {many}");
    assert!(confidence(&mut model, 40.0 * 3_600_000.0) < 0.1);
    let mut wild = cost_model();
    for n in 0..40 {
        after(
            &mut wild,
            1,
            1,
            Execution {
                latency_ms: if n % 2 == 0 { 10.0 } else { 25.0 },
                ..EXECUTION
            },
        );
    }
    assert!(confidence(&mut wild, 0.0) < many - 0.1);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn waits_and_warming_engines_hardly_raise_an_estimate_and_interrupted_attempts_never_lower_it() {
    for upper in [
        Execution {
            waited: true,
            ..EXECUTION
        },
        Execution {
            warming_up: true,
            ..EXECUTION
        },
    ] {
        let mut model = cost_model();
        after(&mut model, 1, 10, EXECUTION);
        let raised = after(
            &mut model,
            1,
            1,
            Execution {
                latency_ms: 19.0,
                ..upper
            },
        );
        assert!(raised < 10.2, "{raised}");
        let lowered = after(
            &mut model,
            1,
            10,
            Execution {
                latency_ms: 6.0,
                ..upper
            },
        );
        assert!(lowered < 9.0, "{lowered}");
    }
    let mut model = cost_model();
    after(&mut model, 1, 10, EXECUTION);
    let cut = Execution {
        end: ExecutionEnd::Interrupted,
        ..EXECUTION
    };
    assert!(
        after(
            &mut model,
            1,
            10,
            Execution {
                latency_ms: 1.0,
                ..cut
            }
        ) > 9.9
    );
    assert!(
        after(
            &mut model,
            1,
            10,
            Execution {
                latency_ms: 500.0,
                ..cut
            }
        ) > 200.0
    );
}

#[test]
fn engine_that_is_slow_for_all_shapes_does_not_change_their_costs() {
    let mut model = cost_model();
    for n in 0..400 {
        let (shape, engine) = (u128::from(n % 8_u32), u64::from(n % 4));
        after(
            &mut model,
            shape,
            1,
            Execution {
                engine_id: engine,
                latency_ms: 10.0,
                ended_at_ms: f64::from(n),
                ..EXECUTION
            },
        );
    }
    let mut slow = 0.0_f64;
    for n in 400..1200_u32 {
        let (shape, engine) = (u128::from(n / 4 % 8), u64::from(n % 4));
        let latency = if engine == 3 { 18.0 } else { 10.0 };
        after(
            &mut model,
            shape,
            1,
            Execution {
                engine_id: engine,
                latency_ms: latency,
                ended_at_ms: f64::from(n),
                ..EXECUTION
            },
        );
        slow = slow.max(cost(&mut model, shape, f64::from(n)));
    }
    // Without slowdowns of engines it would be the mean of the logs: 11.6.
    let learned = cost(&mut model, 0, 1200.0);
    assert!(
        (learned - 10.0).abs() < 0.4 && slow < 11.6,
        "{learned} {slow}"
    );
}

#[test]
fn invalid_samples_are_ignored_and_memory_is_bounded() {
    let mut model = cost_model();
    for latency in [f64::NAN, f64::INFINITY, -1.0] {
        after(
            &mut model,
            1,
            1,
            Execution {
                latency_ms: latency,
                ..EXECUTION
            },
        );
    }
    assert_eq!(model.len(), 0);
    for n in 0..20_000_u64 {
        after(
            &mut model,
            u128::from(n),
            1,
            Execution {
                engine_id: n,
                ..EXECUTION
            },
        );
    }
    assert!(model.len() <= 64 && model.engines.len() <= MAX_ENGINES);
}
