//! Tests of the simulator: runs of one seed are equal, a zone is cut off and recovers, and reports contain a run's
//! figures.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use tansymux_simulator::schema::Experiment;
use tansymux_simulator::{compare, experiment, report, simulation};

fn small_zone_cut(seeds: u32, seconds: f64) -> Experiment {
    let mut experiment =
        experiment::read(include_str!("../experiments/zone-cut.textproto")).unwrap();
    experiment.seeds = Some(seeds);
    experiment.seconds = Some(seconds);
    experiment
        .class
        .iter_mut()
        .for_each(|class| class.rate = Some(class.rate() / 4.0));
    experiment
        .hall
        .iter_mut()
        .for_each(|zone| zone.cores = Some(2.0));
    for fault in &mut experiment.fault {
        fault.begins_s = Some(8.0);
        fault.ends_s = Some(18.0);
    }
    experiment
}

#[test]
fn a_seed_gives_the_same_run_on_any_number_of_threads() {
    let experiment = small_zone_cut(2, 30.0);
    let (one_thread, four_threads) = (
        compare::run_all(&experiment, 1, true),
        compare::run_all(&experiment, 4, true),
    );
    for (a, b) in one_thread
        .iter()
        .flatten()
        .zip(four_threads.iter().flatten())
    {
        assert_eq!(
            (a.asked, a.in_time, a.late, a.rejected, a.failed),
            (b.asked, b.in_time, b.late, b.rejected, b.failed)
        );
    }
}

#[test]
fn zone_cut_and_recovery_answer_all_queries_and_keep_spill_within_its_limit() {
    let experiment = small_zone_cut(1, 50.0);
    let run = simulation::run(&experiment, 1, 3);
    assert!(run.asked > 5000, "{}", run.asked);
    assert_eq!(
        run.in_time + run.late + run.rejected + run.failed,
        run.asked,
        "each query must have exactly one answer"
    );
    assert_eq!(
        (run.violations, run.engine_failures),
        (0, 0),
        "{:?}",
        run.first_violation
    );
    // Each dispatcher's share of the limit is less than the threads of one report query, so the limit of 0.3 of 12
    // cores holds for the mean over time, not for each sample.
    let spilled_during_cut: Vec<f64> = run
        .samples
        .iter()
        .filter(|sample| sample.at_s > 9.0 && sample.at_s <= 18.0)
        .map(|sample| sample.spilled[1])
        .collect();
    let mean_spilled = spilled_during_cut.iter().sum::<f64>() / spilled_during_cut.len() as f64;
    assert!(mean_spilled <= 0.3 * 12.0, "{mean_spilled}");
    let threads = |from_s: f64, to_s: f64| {
        run.samples
            .iter()
            .filter(|sample| sample.at_s > from_s && sample.at_s <= to_s)
            .map(|sample| sample.threads[0])
            .sum::<f64>()
    };
    assert!(
        threads(10.0, 17.5) < 0.05 * threads(1.0, 8.0),
        "queries run in a zone that is cut off"
    );
    assert!(
        threads(42.0, 49.0) > 0.7 * threads(1.0, 8.0),
        "the zone is not used again: {} threads, {} before the cut",
        threads(42.0, 49.0),
        threads(1.0, 8.0)
    );
    assert!(run.full_service_after_ms.is_some());
}

#[test]
fn table_json_lines_and_page_contain_the_figures_of_a_run() {
    let experiment = small_zone_cut(2, 10.0);
    let runs = compare::run_all(&experiment, 2, true);
    let table = report::table(&experiment, &runs);
    assert!(
        table.contains("value during faults") && table.contains("+-"),
        "{table}"
    );
    assert_eq!(
        report::json_lines(&runs).lines().count(),
        2 * experiment.arm.len()
    );
    let page = report::html_page(&experiment, "<experiment>", &table, &[]).unwrap();
    assert!(page.contains("&lt;experiment&gt;") && page.contains("value before"));
}
