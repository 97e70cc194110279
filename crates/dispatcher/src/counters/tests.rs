use super::*;

#[test]
fn the_report_names_every_count_and_its_sums_agree() {
    let counters = Counters::default();
    (0..3).for_each(|_| counters.taken.add());
    (0..2).for_each(|_| counters.attempts.add());
    counters.finished.add();
    counters.ended(Outcome::NotSent);
    let report = counters.report(2);
    for line in [
        "taken 3\n",
        "finished 1\n",
        "submissions_not_sent 1\n",
        "submissions_out 1\n",
        "unanswered 2\n",
    ] {
        assert!(report.contains(line), "{line} in {report}");
    }
}
