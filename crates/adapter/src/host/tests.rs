//! Valid and invalid batches in the form in which the simulator writes them.

use super::*;

const SETTINGS: &str = "balancers=2 zone=h kinds=std family-info.cores-by-kind=8 family-info.dop=1 \
    limits.max-attempts=3 limits.cancelling=true services.count=1 services.0.name=look services.0.aim-us=500000 \
    services.0.effect=read_like";

fn start_dispatchers(host: &mut Host, dispatchers: &[u64], endpoints: &str) -> String {
    let mut batch = format!(
        "batch 1000\ncensus 0 {}\n{endpoints}",
        endpoints.lines().count()
    );
    for dispatcher in dispatchers {
        batch += &format!("enlist {dispatcher} 9 {SETTINGS}\nupdate {dispatcher} C 1 0\n");
    }
    process_batch(host, &batch).unwrap()
}

fn process_batch(host: &mut Host, batch: &str) -> Result<String, InputError> {
    let mut output = Vec::new();
    host.process_batch(batch.as_bytes(), &mut output)
        .map(|()| String::from_utf8(output).unwrap())
}

#[test]
fn dispatchers_run_independently_and_use_only_their_own_endpoint_list() {
    let mut host = Host::default();
    start_dispatchers(&mut host, &[1], "m std h ready - 0 71 1\n");
    let batch = "batch 2000\ncensus 0 1\nm std h ready - 0 72 1\nenlist 2 9 ".to_owned()
        + SETTINGS
        + "\nupdate 2 C 1 0\ninbound 1 5 look - - 9000000 100 0 0 1\ninbound 2 6 look - - 9000000 100 0 0 1\n";
    let reply = process_batch(&mut host, &batch).unwrap();
    assert!(
        reply.contains("try 1 5 71 9000000\n") && reply.contains("try 2 6 72 9000000\n"),
        "{reply}"
    );
    assert!(reply.ends_with("finished\n"));
}

#[test]
fn endpoint_list_slot_can_be_reused_within_a_batch() {
    let mut host = Host::default();
    let batch = format!(
        "batch 1000\ncensus 0 1\nm std h ready - 0 71 1\nenlist 1 9 {SETTINGS}\nupdate 1 C 1 0\n\
         census 0 1\nm std h gone - 0 71 1\nupdate 1 D 2 0\ninbound 1 5 look - - 9000000 100 0 0 1\n"
    );
    assert!(process_batch(&mut host, &batch)
        .unwrap()
        .contains("not_now 1 5"));
}

#[test]
fn restart_within_a_batch_drops_all_earlier_events() {
    let mut host = Host::default();
    start_dispatchers(&mut host, &[1], "m std h ready - 0 71 1\n");
    let batch = format!(
        "batch 2000\ninbound 1 5 look - - 9000000 100 0 0 1\npower_off 1\nenlist 1 9 {SETTINGS}\n\
         update 1 C 1 0\ninbound 1 6 look - - 9000000 100 0 0 1\n"
    );
    let reply = process_batch(&mut host, &batch).unwrap();
    assert!(
        reply.contains("try 1 6 71") && !reply.contains(" 5 "),
        "{reply}"
    );
}

#[test]
fn invalid_line_is_reported_with_its_number_and_cause() {
    let cases = [
        ("vanished 1 x\n", 1, "txn \"x\" is not a valid number"),
        ("deadline_hit 1 1 2\n", 1, "unexpected field \"2\""),
        (
            "deadline_hit 1 1\nnonsense\n",
            2,
            "unknown event \"nonsense\"",
        ),
        (
            "deadline_hit 8 1\n",
            1,
            "dispatcher 8 is not started (no enlist line)",
        ),
        (
            "census 0 2\nm std h ready - 0 71 1\n",
            1,
            "the census has fewer than 2 entries",
        ),
        ("update 1 D 1 9\n", 1, "census slot 9 is empty"),
        (
            "closed_attempt 1 5 2 0 - served 71 10 -\n",
            1,
            "complete \"2\" is neither 1 nor 0",
        ),
        (
            "enlist 1 9 balancers=2\n",
            1,
            "setting services.count is missing",
        ),
    ];
    for (lines, line, expected_cause) in cases {
        let mut host = Host::default();
        start_dispatchers(&mut host, &[1], "m std h ready - 0 71 1\n");
        let error = process_batch(&mut host, &format!("batch 2000\n{lines}")).unwrap_err();
        let cause = error.cause.to_string();
        assert_eq!((error.line, cause.as_str()), (line, expected_cause));
    }
}

#[test]
fn events_of_unknown_queries_are_ignored() {
    let mut host = Host::default();
    start_dispatchers(&mut host, &[1], "m std h ready - 0 71 1\n");
    let batch = "batch 2000\nvanished 1 99\nclosed_attempt 1 99 1 0 - served 71 10 -\n\
                 status_note 1 99 0.5 1 0 71\nping_result 1 served 71 1400 -\nfirst 1 99 0 71 5\n";
    assert_eq!(process_batch(&mut host, batch).unwrap(), "finished\n");
}
