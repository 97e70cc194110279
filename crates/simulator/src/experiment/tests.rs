//! Malformed experiments and their errors.

#[test]
fn error_of_a_malformed_experiment_names_the_key() {
    let good = "hall { name: \"a\" } class { name: \"look\" } arm { name: \"base\" }";
    assert!(super::read(good).is_ok());
    for (more, says) in [
        (
            " fault { hall: \"b\" begins_s: 1 ends_s: 2 }",
            "fault.0 names",
        ),
        (
            " fault { hall: \"a\" begins_s: 2 ends_s: 2 }",
            "ends before",
        ),
        (" class { rate: -1 }", "class.1 has a rate"),
        (
            " arm { operator: \"halls { spill { } }\" }",
            "arm.1.operator: 1:9: halls.spill.0.most is missing",
        ),
        (" seconds: 0", "seconds"),
        (" sekonds: 1", "sekonds"),
    ] {
        let wrong = super::read(&format!("{good}{more}"))
            .unwrap_err()
            .to_string();
        assert!(wrong.contains(says), "{says} in {wrong}");
    }
}
