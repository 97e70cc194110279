use super::*;

#[test]
fn report_lists_counters_and_consistent_sums() {
    let counters = Counters::default();
    (0..3).for_each(|_| counters.admitted.increment());
    (0..2).for_each(|_| counters.attempts.increment());
    counters.completed.increment();
    counters.count_outcome(Outcome::NotSent);
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
