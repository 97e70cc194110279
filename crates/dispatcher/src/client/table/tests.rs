use super::*;

#[test]
fn those_that_ask_no_more_go_first_and_none_with_a_request_in_hand() {
    let table = ConnectionTable::new(6);
    let states = [
        (State::Active, 0.0),
        (State::Idle, 9000.0),
        (State::New, 9400.0),
        (State::Idle, 2000.0),
    ];
    let fresh = [(State::New, 9950.0), (State::Closing, 9940.0)];
    let taken: Vec<Rc<Entry>> = states
        .into_iter()
        .chain(fresh)
        .map(|(state, since)| {
            let entry = table.admit(since);
            entry.is(state, since);
            entry
        })
        .collect();
    assert!(table.full());
    let evicted = || taken.iter().map(|p| p.evicted.get()).collect::<Vec<bool>>();
    for nth in [5, 3, 2, 1] {
        let before = evicted();
        assert!(table.evict_one(10_000.0));
        assert!(evicted()[nth] && !before[nth], "{nth}: {:?}", evicted());
    }
    // What is left has a request in hand, or has just come.
    assert!(!table.evict_one(10_000.0));
    assert!(table.evict_one(10_100.0) && evicted()[4] && !evicted()[0]);
    table.release(&taken[3]);
    assert!(!table.full());
}
