use super::*;

#[test]
fn half_closed_then_abandoned_connections_are_evicted_first_and_active_ones_never() {
    let table = ConnectionTable::new(6);
    let states = [
        (ConnectionState::Active, 0.0),
        (ConnectionState::Idle, 9000.0),
        (ConnectionState::New, 9400.0),
        (ConnectionState::Idle, 2000.0),
    ];
    let recent_states = [
        (ConnectionState::New, 9950.0),
        (ConnectionState::Closing, 9940.0),
    ];
    let entries: Vec<Rc<Entry>> = states
        .into_iter()
        .chain(recent_states)
        .map(|(state, since)| {
            let entry = table.insert(since);
            entry.set_state(state, since);
            entry
        })
        .collect();
    assert!(table.is_full());
    let evicted = || {
        entries
            .iter()
            .map(|entry| entry.evicted.get())
            .collect::<Vec<bool>>()
    };
    for index in [5, 3, 2, 1] {
        let before = evicted();
        assert!(table.evict_one(10_000.0));
        assert!(
            evicted()[index] && !before[index],
            "{index}: {:?}",
            evicted()
        );
    }
    // Of the remaining two, one has a request that is not answered yet, and the other has just connected.
    assert!(!table.evict_one(10_000.0));
    assert!(table.evict_one(10_100.0) && evicted()[4] && !evicted()[0]);
    table.release(&entries[3]);
    assert!(!table.is_full());
}
