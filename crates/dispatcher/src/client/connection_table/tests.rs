use super::*;

#[test]
fn abandoned_connections_are_evicted_first_and_active_ones_never() {
    let table = ConnectionTable::new(6);
    let states = [
        (ConnectionState::Active, 0.0),
        (ConnectionState::Idle, 9000.0),
        (ConnectionState::New, 9400.0),
        (ConnectionState::Idle, 2000.0),
    ];
    let fresh = [
        (ConnectionState::New, 9950.0),
        (ConnectionState::Closing, 9940.0),
    ];
    let taken: Vec<Rc<Entry>> = states
        .into_iter()
        .chain(fresh)
        .map(|(state, since)| {
            let entry = table.insert(since);
            entry.set_state(state, since);
            entry
        })
        .collect();
    assert!(table.is_full());
    let evicted = || taken.iter().map(|p| p.evicted.get()).collect::<Vec<bool>>();
    for nth in [5, 3, 2, 1] {
        let before = evicted();
        assert!(table.evict_one(10_000.0));
        assert!(evicted()[nth] && !before[nth], "{nth}: {:?}", evicted());
    }
    // The others have a request under way, or have just connected.
    assert!(!table.evict_one(10_000.0));
    assert!(table.evict_one(10_100.0) && evicted()[4] && !evicted()[0]);
    table.release(&taken[3]);
    assert!(!table.is_full());
}
