//! Tests of the cost model.

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
    outcome: ExecutionOutcome::Completed,
    waited: false,
    warming_up: false,
};

fn cost_model() -> CostModel {
    CostModel::new(CostModelConfig::default(), 64)
}

fn cost(model: &mut CostModel, shape: u128, now: f64) -> f64 {
    model.estimate(shape, PRIOR, 8.0, now).cost_ms
}

fn estimate_after(model: &mut CostModel, shape: u128, samples: usize, execution: Execution) -> f64 {
    (0..samples).for_each(|_| model.record(shape, PRIOR, &execution));
    cost(model, shape, execution.ended_at_ms)
}

#[test]
fn single_outlier_moves_estimate_little_and_lasting_change_is_followed() {
    let mut model = cost_model();
    let before_outlier = estimate_after(&mut model, 1, 20, EXECUTION);
    assert!(
        (before_outlier / 10.0 - 1.0).abs() < 0.05,
        "{before_outlier}"
    );
    let after_outlier = estimate_after(
        &mut model,
        1,
        1,
        Execution {
            latency_ms: 1000.0,
            ..EXECUTION
        },
    );
    assert!(after_outlier < 11.0, "{after_outlier}");
    estimate_after(&mut model, 1, 1, EXECUTION);
    let shifted = estimate_after(
        &mut model,
        1,
        3,
        Execution {
            latency_ms: 1000.0,
            engine_id: 2,
            ..EXECUTION
        },
    );
    assert!((shifted / 1000.0 - 1.0).abs() < 0.2, "{shifted}");
}

#[test]
fn confidence_grows_with_samples_and_falls_with_age_and_scatter() {
    let mut model = cost_model();
    let confidence = |model: &mut CostModel, now| model.estimate(1, PRIOR, 8.0, now).confidence;
    assert!(confidence(&mut model, 0.0) < 0.01);
    estimate_after(&mut model, 1, 1, EXECUTION);
    let one_sample = confidence(&mut model, 0.0);
    estimate_after(&mut model, 1, 20, EXECUTION);
    let many_samples = confidence(&mut model, 0.0);
    assert!(
        0.1 < one_sample && one_sample < 0.3 && many_samples > 0.7,
        "{one_sample} {many_samples}"
    );
    assert!(confidence(&mut model, 40.0 * 3_600_000.0) < 0.1);
    let mut scattered = cost_model();
    for n in 0..40 {
        estimate_after(
            &mut scattered,
            1,
            1,
            Execution {
                latency_ms: if n % 2 == 0 { 10.0 } else { 25.0 },
                ..EXECUTION
            },
        );
    }
    assert!(confidence(&mut scattered, 0.0) < many_samples - 0.1);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn upper_bounds_hardly_raise_an_estimate_and_lower_bounds_never_lower_it() {
    for upper_bound in [
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
        estimate_after(&mut model, 1, 10, EXECUTION);
        let raised = estimate_after(
            &mut model,
            1,
            1,
            Execution {
                latency_ms: 19.0,
                ..upper_bound
            },
        );
        assert!(raised < 10.2, "{raised}");
        let lowered = estimate_after(
            &mut model,
            1,
            10,
            Execution {
                latency_ms: 6.0,
                ..upper_bound
            },
        );
        assert!(lowered < 9.0, "{lowered}");
    }
    let mut model = cost_model();
    estimate_after(&mut model, 1, 10, EXECUTION);
    let interrupted = Execution {
        outcome: ExecutionOutcome::Interrupted,
        ..EXECUTION
    };
    assert!(
        estimate_after(
            &mut model,
            1,
            10,
            Execution {
                latency_ms: 1.0,
                ..interrupted
            }
        ) > 9.9
    );
    assert!(
        estimate_after(
            &mut model,
            1,
            10,
            Execution {
                latency_ms: 500.0,
                ..interrupted
            }
        ) > 200.0
    );
}

#[test]
fn engine_that_is_slow_for_all_shapes_does_not_change_their_costs() {
    let mut model = cost_model();
    for n in 0..400 {
        let (shape, engine) = (u128::from(n % 8_u32), u64::from(n % 4));
        estimate_after(
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
    let mut max_estimate = 0.0_f64;
    for n in 400..1200_u32 {
        let (shape, engine) = (u128::from(n / 4 % 8), u64::from(n % 4));
        let latency = if engine == 3 { 18.0 } else { 10.0 };
        estimate_after(
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
        max_estimate = max_estimate.max(cost(&mut model, shape, f64::from(n)));
    }
    // Without slowdowns of engines the estimate would be the geometric mean of the latencies, 11.6 ms.
    let learned = cost(&mut model, 0, 1200.0);
    assert!(
        (learned - 10.0).abs() < 0.4 && max_estimate < 11.6,
        "{learned} {max_estimate}"
    );
}

#[test]
fn invalid_samples_are_ignored_and_memory_is_bounded() {
    let mut model = cost_model();
    for latency in [f64::NAN, f64::INFINITY, -1.0] {
        estimate_after(
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
        estimate_after(
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
