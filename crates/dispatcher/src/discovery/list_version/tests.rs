use super::*;

fn answer(serial: u32, fingerprint: u64, query: u64) -> AnswerVersion {
    AnswerVersion {
        serial,
        fingerprint,
        query,
    }
}

#[test]
fn contradicting_answer_is_confirmed_only_by_the_answer_to_a_later_query() {
    let mut version = ListVersion::default();
    version.on_accepted(&answer(5, 1, 10));
    let contradicting = answer(4, 2, 11);
    assert!(matches!(
        version.relation(&contradicting, 2),
        Relation::Contradicting(RejectReason::SerialOlder)
    ));
    assert!(!version.confirm(contradicting));
    assert!(!version.confirm(contradicting));
    assert!(version.confirm(answer(4, 2, 12)));
}

#[test]
fn serial_may_advance_by_a_limited_number_of_changes_per_engine() {
    let mut version = ListVersion::default();
    version.on_accepted(&answer(5, 1, 10));
    let max_steps = (MAX_CHANGES_PER_ENGINE * 3) as u32;
    assert!(matches!(
        version.relation(&answer(5 + max_steps, 2, 11), 2),
        Relation::Newer
    ));
    assert!(matches!(
        version.relation(&answer(6 + max_steps, 2, 11), 2),
        Relation::Contradicting(RejectReason::SerialTooFarAhead)
    ));
}
