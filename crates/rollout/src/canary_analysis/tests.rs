use super::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

fn requests(succeeded: u32, total: u32) -> RequestCount {
    RequestCount { succeeded, total }
}

/// Returns the first window in which the release is found to be worse. `success_rates`: those of the baseline and of
/// the released dispatchers; `variation`: upper bound of the additional failure rate that both groups share in a
/// window.
fn window_found_worse(
    seed: u64,
    windows: u64,
    success_rates: [f64; 2],
    variation: f64,
) -> Option<u64> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut analysis = CanaryAnalysis::default();
    for window in 0..windows {
        let shared_failure_rate = variation * rng.random::<f64>();
        let groups = [Group::Baseline, Group::Released];
        for (group, success_rate) in groups.into_iter().zip(success_rates) {
            let total = 40 + rng.random_range(0..20_u32);
            let succeeded = (0..total)
                .filter(|_| rng.random::<f64>() < success_rate - shared_failure_rate)
                .count() as u32;
            analysis.report(window, 1, group, requests(succeeded, total));
        }
        if matches!(
            analysis.evaluate(&AnalysisConfig::default(), window + 1),
            AnalysisResult::Worse { .. }
        ) {
            return Some(window);
        }
    }
    None
}

#[test]
fn worse_release_is_detected_and_equal_release_is_rarely_called_worse_while_failure_rates_vary() {
    for variation in [0.0, 0.5] {
        let detected = (0..200)
            .filter(|seed| window_found_worse(*seed, 60, [0.97, 0.85], variation).is_some())
            .count();
        let false_positives = (0..200)
            .filter(|seed| window_found_worse(*seed, 60, [0.97, 0.97], variation).is_some())
            .count();
        assert!(
            detected >= 190,
            "{detected} of 200 worse releases detected at a variation of {variation}"
        );
        assert!(
            false_positives <= 8,
            "{false_positives} of 200 equal releases called worse at a variation of {variation}"
        );
    }
}

#[test]
fn too_few_requests_are_inconclusive_and_malformed_reports_are_ignored() {
    let mut analysis = CanaryAnalysis::default();
    for window in 0..50 {
        analysis.report(window, 1, Group::Baseline, requests(4, 4));
        analysis.report(window, 1, Group::Released, requests(0, 4));
        analysis.report(window, 1, Group::Released, requests(900, 4));
    }
    assert_eq!(
        analysis.evaluate(&AnalysisConfig::default(), 50),
        AnalysisResult::Inconclusive { pairs: 0 }
    );
}

#[test]
fn zone_that_fails_as_a_whole_does_not_count_against_the_release() {
    let mut analysis = CanaryAnalysis::default();
    for window in 0..50 {
        // In zone 1 half of the requests fail in both groups, and only zone 1 has released dispatchers.
        analysis.report(window, 1, Group::Baseline, requests(20, 40));
        analysis.report(window, 1, Group::Released, requests(20, 40));
        analysis.report(window, 2, Group::Baseline, requests(40, 40));
        assert!(!matches!(
            analysis.evaluate(&AnalysisConfig::default(), window + 1),
            AnalysisResult::Worse { .. }
        ));
    }
}
