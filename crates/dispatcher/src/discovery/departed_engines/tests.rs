use super::*;
use tansymux::events::EndpointState;

fn entry(engine_id: u64, started_ms: Option<f64>) -> EndpointEntry {
    EndpointEntry {
        engine_id,
        address: None,
        kind: "std".into(),
        zone: "east".into(),
        cell: 0,
        state: EndpointState::Ready,
        started_ms,
    }
}

#[test]
fn departed_process_is_recognized_and_a_restarted_process_is_not() {
    let mut departed = DepartedEngines::default();
    departed.add(&[entry(1, Some(50.0))], 8);
    assert!(departed.contains(&entry(1, Some(50.0))));
    assert!(departed.contains(&entry(1, None)));
    assert!(!departed.contains(&entry(1, Some(60.0))));
    assert!(!departed.contains(&entry(2, Some(50.0))));
}

#[test]
fn oldest_departed_engine_is_forgotten_at_the_limit() {
    let mut departed = DepartedEngines::default();
    departed.add(&[entry(1, None), entry(2, None)], 2);
    departed.add(&[entry(3, None)], 2);
    let is_departed = [1, 2, 3].map(|engine_id| departed.contains_engine(engine_id));
    assert_eq!(is_departed, [false, true, true]);
}
