//! The simulator itself: runs of one seed are equal, a zone is lost and returns, and reports contain a run's figures.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends at the first thing that is not as it should be"
)]

use tansymux_simulator::schema::Experiment;
use tansymux_simulator::{compare, experiment, report, simulation};

fn zone_cut(seeds: u32, seconds: f64) -> Experiment {
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
    let experiment = zone_cut(2, 30.0);
    let (one, four) = (
        compare::run_all(&experiment, 1, true),
        compare::run_all(&experiment, 4, true),
    );
    for (a, b) in one.iter().flatten().zip(four.iter().flatten()) {
        assert_eq!(
            (a.asked, a.in_time, a.late, a.rejected, a.failed),
            (b.asked, b.in_time, b.late, b.rejected, b.failed)
        );
    }
}

#[test]
fn a_zone_is_lost_and_regained_with_all_queries_answered_and_spill_within_its_limit() {
    let experiment = zone_cut(1, 50.0);
    let run = simulation::run(&experiment, 1, 3);
    assert!(run.asked > 5000, "{}", run.asked);
    assert_eq!(
        run.in_time + run.late + run.rejected + run.failed,
        run.asked,
        "each query has one answer"
    );
    assert_eq!(
        (run.violations, run.engines_fallen),
        (0, 0),
        "{:?}",
        run.first_violation
    );
    // A dispatcher's share is less than a report here: the limit of 0.3 of 12 cores holds over time.
    let during: Vec<f64> = run
        .samples
        .iter()
        .filter(|sample| sample.at_s > 9.0 && sample.at_s <= 18.0)
        .map(|sample| sample.spilled[1])
        .collect();
    let spilled = during.iter().sum::<f64>() / during.len() as f64;
    assert!(spilled <= 0.3 * 12.0, "{spilled}");
    let threads = |from: f64, to: f64| {
        run.samples
            .iter()
            .filter(|sample| sample.at_s > from && sample.at_s <= to)
            .map(|sample| sample.threads[0])
            .sum::<f64>()
    };
    assert!(
        threads(10.0, 17.5) < 0.05 * threads(1.0, 8.0),
        "nothing runs in a zone that is cut"
    );
    assert!(
        threads(42.0, 49.0) > 0.7 * threads(1.0, 8.0),
        "it is used again: {} {}",
        threads(42.0, 49.0),
        threads(1.0, 8.0)
    );
    assert!(run.full_service_after_ms.is_some());
}

#[test]
fn table_lines_and_page_hold_the_figures_of_a_run() {
    let experiment = zone_cut(2, 10.0);
    let arms = compare::run_all(&experiment, 2, true);
    let table = report::table(&experiment, &arms);
    assert!(
        table.contains("value during faults") && table.contains("+-"),
        "{table}"
    );
    assert_eq!(
        report::json_lines(&arms).lines().count(),
        2 * experiment.arm.len()
    );
    let page = report::html_page(&experiment, "<experiment>", &table, &[]).unwrap();
    assert!(page.contains("&lt;experiment&gt;") && page.contains("value before"));
}
