//! Errors of malformed experiments.

#[test]
fn error_of_a_malformed_experiment_names_the_key() {
    let valid = "hall { name: \"a\" } class { name: \"look\" } arm { name: \"base\" }";
    assert!(super::read(valid).is_ok());
    for (appended, expected) in [
        (
            " fault { hall: \"b\" begins_s: 1 ends_s: 2 }",
            "fault.0 names an unknown hall",
        ),
        (
            " fault { hall: \"a\" begins_s: 2 ends_s: 2 }",
            "ends before",
        ),
        (
            " class { rate: -1 }",
            "class.1: rate, work_ms, threads, target_ms and wait_ms must be",
        ),
        (
            " arm { operator: \"halls { spill { } }\" }",
            "arm.1.operator: 1:9: halls.spill.0.most is missing",
        ),
        (" seconds: 0", "seconds"),
        (" sekonds: 1", "sekonds"),
    ] {
        let error = super::read(&format!("{valid}{appended}"))
            .unwrap_err()
            .to_string();
        assert!(error.contains(expected), "{expected} in {error}");
    }
}
